//! Permits for requests to servers that name a limit for all instances together.
//!
//! The coordinator issues one permit for each request to a limited server, whichever instance sends
//! it, so that no share of the limit lies idle at an instance without callers. Permits for engines
//! come with the admission of a completion. Every permit is reported to the other coordinators, so
//! that a successor continues where its predecessor ended. Instances that are cut off from the others
//! issue permits by their share of the instances.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use magnoliaspar_core::ServerKey;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc};
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::Gateway;
use crate::peers::Payload;
use crate::request_limit::{LimitState, RequestLimit};
use crate::reservations::InstanceId;

/// Number of a request for a permit, unique within its instance.
pub type PermitId = u64;

/// Timeout of one request to the coordinator for a permit.
pub const PERMIT_TIMEOUT: Duration = Duration::from_millis(40);

/// Requests for a permit that a coordinator may leave unanswered before the next one is asked.
const PERMIT_ATTEMPTS: u32 = 2;

/// Time for which a decision is kept, in case its message was lost and the request is repeated.
const DECISION_MAX_AGE: Duration = Duration::from_secs(1);

/// Delay before changed limits are sent, in which changes of several servers gather.
const SPREAD_DELAY: Duration = Duration::from_millis(10);

/// Minimum time between two messages with changed limits.
const SPREAD_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of limits in a message.
const MAX_LIMITS: usize = 64;

/// Maximum age of a lifted limit that is still sent to peers.
const LIFTED_MAX_AGE: Duration = Duration::from_secs(60);

/// The limit of a server in a message.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LimitEntry {
    server: Box<str>,
    /// Start time of the process that named the limit, in milliseconds since the Unix epoch.
    started_ms: u64,
    /// Requests per second; `None` if the server has stopped naming a limit.
    limit: Option<RequestLimit>,
    /// Time since the limit was last named, or since it was lifted, in milliseconds.
    age_ms: u64,
}

/// Request of an instance for a permit.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PermitRequest {
    /// The limited servers that can run the request, the preferred one first.
    pub servers: Vec<LimitEntry>,
    /// Maximum time until the permit is due, in milliseconds.
    pub max_wait_ms: u64,
}

/// Decision of the coordinator on a request for a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PermitDecision {
    /// The request may be sent to the server after a wait.
    Granted {
        /// The server.
        server: Box<str>,
        /// Time until the permit is due, in milliseconds.
        wait_ms: u64,
    },
    /// No permit is due in time.
    Refused {
        /// Time until one is due, in milliseconds.
        due_in_ms: u64,
    },
}

/// State of the permits that this instance issues and requests.
#[derive(Debug, Default)]
pub struct Permits {
    next_id: Cell<PermitId>,
    pending: RefCell<BTreeMap<PermitId, mpsc::UnboundedSender<PermitDecision>>>,
    decisions: RefCell<BTreeMap<(InstanceId, PermitId), (PermitDecision, Instant)>>,
    /// Servers whose changed limits are yet to be sent.
    changed: RefCell<BTreeSet<ServerKey>>,
    changed_notify: Notify,
    /// Instances that were refused and may ask again, as a leaky bucket in permits.
    refused: Cell<Option<(f64, Instant)>>,
}

impl Permits {
    /// Creates the state with a first number, which should differ between processes of an instance: a
    /// coordinator may remember decisions for the former process.
    pub fn new(first_id: PermitId) -> Self {
        Self { next_id: Cell::new(first_id), ..Self::default() }
    }

    /// Delivers a decision of the coordinator to the request that waits for it.
    pub fn receive(&self, id: PermitId, decision: PermitDecision) {
        let waiter = self.pending.borrow().get(&id).cloned();
        if waiter.is_none_or(|waiter| waiter.send(decision).is_err()) {
            log::debug!(id; "permit_not_awaited");
        }
    }

    /// Returns the number of refusals that the permits issued since do not make up for, with one more.
    fn count_refusal(&self, rate: f64, now: Instant) -> f64 {
        let (level, at) = self.refused.get().unwrap_or((0.0, now));
        let elapsed = now.saturating_duration_since(at).as_secs_f64();
        let level = (level - rate * elapsed).max(0.0) + 1.0;
        self.refused.set(Some((level, now)));
        level
    }
}

/// Maximum additional time for which refused instances are told to wait, so that not all of them ask
/// for the next permit.
const MAX_REFUSAL_SPREAD: Duration = Duration::from_secs(1);

/// Time for which limited servers are not used after no coordinator has decided in time.
const NO_DECISION_PAUSE: Duration = Duration::from_millis(500);

/// Requests a permit for one of `servers`, the preferred one first. Returns the server and the time
/// until the permit is due, or `None` if no permit is due within `max_wait` or no coordinator has
/// decided at `deadline`.
pub async fn obtain_permit(
    gateway: &Rc<Gateway>,
    servers: &[ServerKey],
    max_wait: Duration,
    deadline: Instant,
) -> Option<(ServerKey, Duration)> {
    let permits = &gateway.permits;
    let id = permits.next_id.get();
    permits.next_id.set(id.wrapping_add(1));
    let (tx, mut decisions) = mpsc::unbounded_channel();
    permits.pending.borrow_mut().insert(id, tx);
    let _pending = PendingPermit { gateway, id };
    let decision = wait_for_decision(gateway, id, servers, max_wait, deadline, &mut decisions);
    let pause = match decision.await {
        Some(PermitDecision::Granted { server, wait_ms }) => {
            let key = gateway.directory.borrow().key(&server)?;
            return Some((key, Duration::from_millis(wait_ms)));
        }
        Some(PermitDecision::Refused { due_in_ms }) => Duration::from_millis(due_in_ms),
        None => NO_DECISION_PAUSE,
    };
    let due_at = gateway.clock.now() + pause;
    for server in servers {
        gateway.directory.borrow_mut().record_permit_due(*server, due_at);
    }
    None
}

/// Removes a request for a permit on drop.
struct PendingPermit<'a> {
    gateway: &'a Gateway,
    id: PermitId,
}

impl Drop for PendingPermit<'_> {
    fn drop(&mut self) {
        self.gateway.permits.pending.borrow_mut().remove(&self.id);
    }
}

/// Asks coordinators until one has decided; returns `None` at the deadline.
async fn wait_for_decision(
    gateway: &Rc<Gateway>,
    id: PermitId,
    servers: &[ServerKey],
    max_wait: Duration,
    deadline: Instant,
    decisions: &mut mpsc::UnboundedReceiver<PermitDecision>,
) -> Option<PermitDecision> {
    let mut attempts = 0;
    loop {
        let now = gateway.clock.now();
        if now >= deadline {
            return None;
        }
        let request = PermitRequest {
            servers: limit_entries(gateway, servers, now),
            max_wait_ms: max_wait.as_millis() as u64,
        };
        let Some(coordinator) = gateway.coordinator() else {
            let instance = gateway.settings().instance.clone();
            return Some(decide_permit(gateway, &instance, id, request));
        };
        gateway.send(coordinator.address, Payload::RequestPermit(id, request));
        let timeout = PERMIT_TIMEOUT.min(deadline - now);
        if let Ok(decision) = tokio::time::timeout(timeout, decisions.recv()).await {
            return decision;
        }
        attempts += 1;
        if attempts == PERMIT_ATTEMPTS {
            log::warn!(home = &*coordinator.instance, permit = id; "home_silent");
            gateway.suspect_coordinator(&coordinator.instance);
            attempts = 0;
        }
    }
}

/// Decides on a request for a permit. A repeated request gets the same decision.
pub fn decide_permit(
    gateway: &Rc<Gateway>,
    instance: &str,
    id: PermitId,
    request: PermitRequest,
) -> PermitDecision {
    let now = gateway.clock.now();
    let key = (InstanceId::from(instance), id);
    let mut decisions = gateway.permits.decisions.borrow_mut();
    decisions.retain(|_, (_, at)| now.saturating_duration_since(*at) < DECISION_MAX_AGE);
    if let Some((decision, _)) = decisions.get(&key) {
        return decision.clone();
    }
    let decision = decide(gateway, instance, request, now);
    decisions.insert(key, (decision.clone(), now));
    decision
}

fn decide(
    gateway: &Rc<Gateway>,
    instance: &str,
    request: PermitRequest,
    now: Instant,
) -> PermitDecision {
    let max_wait = Duration::from_millis(request.max_wait_ms);
    let mut earliest: Option<(Duration, ServerKey, Box<str>)> = None;
    let mut rate = 0.0;
    let share = gateway.limit_share();
    for entry in request.servers {
        let id = entry.server.clone();
        let Some(server) = merge_limit(gateway, instance, entry, now) else { continue };
        let due = gateway.directory.borrow_mut().permit_due_in(server, share, now);
        let due = due.unwrap_or_default();
        rate += gateway.limit_of(server).map_or(0.0, |limit| limit.rate(share));
        if earliest.as_ref().is_none_or(|(earliest, ..)| due < *earliest) {
            earliest = Some((due, server, id));
        }
    }
    let Some((due, server, id)) = earliest else {
        // This instance knows none of the servers, or knows that their processes are gone.
        return PermitDecision::Refused { due_in_ms: PERMIT_TIMEOUT.as_millis() as u64 };
    };
    if due > max_wait {
        let ahead = gateway.permits.count_refusal(rate, now) / rate;
        let spread = MAX_REFUSAL_SPREAD.as_secs_f64().min(ahead) * gateway.random_fraction();
        let due = due + Duration::from_secs_f64(spread);
        log::debug!(asker = instance, due_ms = due.as_millis() as u64; "permit_refused");
        return PermitDecision::Refused { due_in_ms: due.as_millis() as u64 };
    }
    issue_permits(gateway, &[server]);
    log::debug!(asker = instance, server = &*id, due_ms = due.as_millis() as u64; "permit_issued");
    PermitDecision::Granted { server: id, wait_ms: due.as_millis() as u64 }
}

/// Counts a permit for each limited server among `servers`, and reports them to the other
/// coordinators.
pub fn issue_permits(gateway: &Gateway, servers: &[ServerKey]) {
    let now = gateway.clock.now();
    let share = gateway.limit_share();
    let mut limited = Vec::new();
    for server in servers {
        if gateway.limit_of(*server).is_some() {
            gateway.directory.borrow_mut().take_permit(*server, share, now);
            limited.push(*server);
        }
    }
    if !limited.is_empty() {
        let entries = limit_entries(gateway, &limited, now);
        gateway.send_to_other_coordinators(Payload::PermitsIssued(entries), None);
    }
}

/// Counts permits that another coordinator has issued.
pub fn record_issued(gateway: &Gateway, from: &str, entries: Vec<LimitEntry>) {
    let now = gateway.clock.now();
    let share = gateway.limit_share();
    for entry in entries {
        let Some(server) = merge_limit(gateway, from, entry, now) else { continue };
        gateway.directory.borrow_mut().take_permit(server, share, now);
    }
}

/// Returns the limits of servers for a message.
fn limit_entries(gateway: &Gateway, servers: &[ServerKey], now: Instant) -> Vec<LimitEntry> {
    let directory = gateway.directory.borrow();
    let mut entries = Vec::new();
    for server in servers {
        let Some(server) = directory.get(*server) else { continue };
        let Some(state) = server.limit_state() else { continue };
        entries.push(LimitEntry {
            server: server.record.id.clone(),
            started_ms: server.record.started_ms,
            limit: state.limit,
            age_ms: now.saturating_duration_since(state.observed_at).as_millis() as u64,
        });
    }
    entries
}

/// Takes over a limit that a peer has reported, if it is newer. Returns the server, if its process is
/// the one that named the limit.
fn merge_limit(
    gateway: &Gateway,
    from: &str,
    entry: LimitEntry,
    now: Instant,
) -> Option<ServerKey> {
    let server = {
        let directory = gateway.directory.borrow();
        let key = directory.key(&entry.server)?;
        let record = &directory.get(key)?.record;
        (record.started_ms == entry.started_ms).then_some(key)?
    };
    let age = Duration::from_millis(entry.age_ms);
    let observed_at = now.checked_sub(age).unwrap_or(now);
    let reported = LimitState { limit: entry.limit, observed_at };
    gateway.update_limit(server, from, |current| Some(LimitState::merge(current, reported)));
    Some(server)
}

/// Takes over the limits that a peer has reported.
pub fn merge_limits(gateway: &Gateway, from: &str, entries: Vec<LimitEntry>) {
    let now = gateway.clock.now();
    for entry in entries {
        merge_limit(gateway, from, entry, now);
    }
}

/// Returns a fingerprint of all limits, by which instances tell whether they know the same ones.
pub fn limits_digest(gateway: &Gateway) -> u64 {
    let directory = gateway.directory.borrow();
    let mut digest = 0;
    for (_, server) in directory.iter() {
        let Some(limit) = server.limit() else { continue };
        let record = &server.record;
        let text = format!("{}/{}/{}", record.id, record.started_ms, limit.per_second());
        // The order of the servers differs between instances.
        digest ^= xxh3_64(text.as_bytes());
    }
    digest
}

/// Returns the limits for a peer whose digest differs; a random part of them if they are many.
pub fn all_limits(gateway: &Gateway) -> Vec<LimitEntry> {
    let now = gateway.clock.now();
    let directory = gateway.directory.borrow();
    let is_recent = |state: LimitState| {
        state.limit.is_some() || now.saturating_duration_since(state.observed_at) < LIFTED_MAX_AGE
    };
    let known = directory.iter().filter(|(_, server)| server.limit_state().is_some_and(is_recent));
    let known = known.map(|(key, _)| key);
    let chosen = gateway.with_rng(|rng| known.choose_multiple(rng, MAX_LIMITS));
    drop(directory);
    limit_entries(gateway, &chosen, now)
}

/// Marks the limit of a server as changed, to be sent to the peers.
pub fn mark_changed(gateway: &Gateway, server: ServerKey) {
    gateway.permits.changed.borrow_mut().insert(server);
    gateway.permits.changed_notify.notify_one();
}

/// Sends changed limits to the coordinators, and from the coordinator to all instances, for as long
/// as the process runs.
pub async fn spread_limits(gateway: Rc<Gateway>) {
    loop {
        gateway.permits.changed_notify.notified().await;
        tokio::time::sleep(SPREAD_DELAY).await;
        let mut changed: Vec<ServerKey> = Vec::new();
        while changed.len() < MAX_LIMITS
            && let Some(server) = gateway.permits.changed.borrow_mut().pop_first()
        {
            changed.push(server);
        }
        if !gateway.permits.changed.borrow().is_empty() {
            gateway.permits.changed_notify.notify_one();
        }
        let entries = limit_entries(&gateway, &changed, gateway.clock.now());
        if !entries.is_empty() {
            gateway.send_limits(Payload::Limits(entries));
        }
        tokio::time::sleep(SPREAD_INTERVAL).await;
    }
}
