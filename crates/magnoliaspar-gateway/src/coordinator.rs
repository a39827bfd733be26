//! The admission coordinator: the one instance that reserves engine memory for all instances.
//!
//! If each instance reserved for itself, several would fill the same engine at the same moment. The
//! coordinator is the first entry of a ranking that all instances compute alike; if it does not
//! answer, the next one is asked. It holds no state that its successor cannot rebuild from the
//! reservations that the instances report.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use magnoliaspar_core::WorkspaceName;
use magnoliaspar_limit::Verdict;
use magnoliaspar_retry::{CallRun, Crash, PartId};
use serde::{Deserialize, Serialize};

use crate::admission_order::{AdmissionOrder, Waiting};
use crate::cold_start::Knowledge;
use crate::gateway::{Gateway, display_parts};
use crate::peers::Payload;
use crate::permits::issue_permits;
use crate::prompt_cache::PromptPart;
use crate::quarantine::CallCrash;
use crate::reservations::{InstanceId, Reservation, ReservationId};
use crate::route::{Priority, ServiceName};
use crate::selection::{DEFAULT_PREFILL_TOKENS_PER_MS, Plan, PlanError, Prompt, choose_engines};
use crate::shared_limits::{self, Charge};

/// Assumed time from the admission of a completion to its first event, until the event arrives.
pub const START_LATENCY: Duration = Duration::from_millis(250);

/// Request of an instance to admit a completion.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// The service whose engines run the completion.
    pub service: ServiceName,
    /// The availability zone of the requesting instance.
    pub zone: Box<str>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Expected number of output tokens.
    pub expected_tokens: u64,
    /// Maximum number of output tokens.
    #[serde(rename = "most_tokens")]
    pub max_tokens: u64,
    /// Whether the completion resumes a stream that has already started.
    pub is_resumption: bool,
    /// Time since the request arrived, in milliseconds.
    pub waited_ms: u64,
    /// Latency target of the first event, counted from the arrival of the request, in milliseconds.
    pub target_ms: u64,
    /// Longest pause between two events of a stream that is in time, in milliseconds; zero if any is, and from former
    /// versions of the gateway.
    #[serde(default)]
    pub max_gap_ms: u64,
    /// Remaining time for which the completion may be queued, in milliseconds.
    pub limit_ms: u64,
    /// Engines that the requesting instance cannot use.
    pub excluded: Vec<Box<str>>,
    /// The decode engines that may run the completion; empty if any may, and from former versions of the gateway.
    #[serde(default)]
    pub only: Vec<Box<str>>,
    /// The shared parts of the prompt, and a fingerprint of the whole request.
    #[serde(default)]
    pub parts: Box<[PartId]>,
    /// Numbers of tokens of the shared parts; former versions of the gateway do not send them.
    #[serde(default, skip_serializing_if = "<[u64]>::is_empty")]
    pub part_tokens: Box<[u64]>,
    /// Whether an engine crashed before the completion had started on it.
    #[serde(default)]
    pub has_crashed: bool,
    /// The workspace of the caller; `None` for an anonymous one.
    #[serde(default)]
    pub workspace: Option<WorkspaceName>,
    /// Priority of the completion.
    #[serde(default)]
    pub priority: Priority,
    /// What the completion counts as against the limit of its workspace; zero for a further attempt.
    #[serde(default)]
    pub limit_cost: u64,
}

impl AdmissionRequest {
    /// Returns the parts of the prompt that others may share.
    pub fn prompt_parts(&self) -> Vec<PromptPart> {
        let parts = self.parts.iter().zip(&self.part_tokens);
        parts.map(|(id, tokens)| PromptPart { id: *id, tokens: *tokens }).collect()
    }
}

/// Decision of the coordinator on an admission request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Decision {
    /// The completion may start.
    Granted(Grant),
    /// The completion is queued until engine memory is free.
    Queued,
    /// No engine can run the completion.
    NoEngine,
    /// The queue is so long that the completion would not start in time.
    Hopeless,
    /// Prompts with these parts crash engines.
    Quarantined,
    /// The limit of the workspace is used up.
    OverLimit {
        /// Time until the completion is within it, in milliseconds.
        retry_after_ms: u64,
    },
}

/// The engines that a completion may use.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// The decode engine.
    pub decode: Box<str>,
    /// The prefill engine; without one, the decode engine prefills the prompt itself.
    pub prefill: Option<Box<str>>,
    /// Prompt tokens that are queued at the prefill engine before this prompt.
    pub tokens_ahead: u64,
    /// Tokens of the prompt that the prefill engine is expected to hold.
    #[serde(default)]
    pub held_tokens: u64,
}

/// Completions that are queued at the coordinator for engine memory.
#[derive(Debug, Default)]
pub struct Queue {
    waiters: RefCell<BTreeMap<(InstanceId, ReservationId), Waiter>>,
    order: RefCell<AdmissionOrder>,
    is_wake_scheduled: Cell<bool>,
    /// Whether a pass over the queue is due soon.
    is_pass_scheduled: Cell<bool>,
    /// Whether the last completion without room found the grants paced.
    is_paced: Cell<bool>,
}

/// A queued completion.
#[derive(Debug, Clone)]
struct Waiter {
    request: AdmissionRequest,
    arrived_at: Instant,
    /// The time at which the request leaves the queue undecided.
    expires_at: Instant,
}

impl Waiter {
    fn waiting(&self) -> Waiting<'_> {
        let Self { request, arrived_at, expires_at } = self;
        Waiting { request, arrived_at: *arrived_at, expires_at: *expires_at }
    }
}

impl Queue {
    /// Returns the number of queued completions.
    pub fn len(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiters.borrow().is_empty()
    }

    /// Removes a completion from the queue.
    pub fn remove(&self, instance: &str, id: ReservationId) {
        self.waiters.borrow_mut().remove(&(instance.into(), id));
    }

    fn is_waiting(&self, key: &(InstanceId, ReservationId)) -> bool {
        self.waiters.borrow().contains_key(key)
    }

    /// Sets the engines that the instance of a queued completion cannot use; returns whether they have changed.
    fn update_excluded(&self, key: &(InstanceId, ReservationId), excluded: Vec<Box<str>>) -> bool {
        let mut waiters = self.waiters.borrow_mut();
        let Some(waiter) = waiters.get_mut(key) else { return false };
        let is_changed = waiter.request.excluded != excluded;
        waiter.request.excluded = excluded;
        is_changed
    }

    /// Removes the completions of an instance that is gone.
    pub fn remove_instance(&self, instance: &str) {
        self.waiters.borrow_mut().retain(|(owner, _), _| &**owner != instance);
    }

    /// Returns the next completion to admit, except those in `passed_over`.
    fn next(
        &self,
        passed_over: &PassedOver,
        now: Instant,
    ) -> Option<((InstanceId, ReservationId), AdmissionRequest)> {
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|_, waiter| now < waiter.expires_at);
        let order = self.order.borrow();
        let left = waiters.iter().filter(|(key, waiter)| !passed_over.contains(key, waiter));
        let next = left.min_by_key(|(_, waiter)| order.position(waiter.waiting(), now));
        next.map(|(key, waiter)| (key.clone(), waiter.request.clone()))
    }

    /// Returns whether a completion comes after one that waits already for any engine of its service.
    fn is_preceded(&self, waiter: &Waiter, now: Instant) -> bool {
        let order = self.order.borrow();
        if !order.has_workspaces {
            return false;
        }
        let position = order.position(waiter.waiting(), now);
        let waiters = self.waiters.borrow();
        waiters.values().any(|other| {
            let is_same = other.request.service == waiter.request.service;
            let may_use_any = other.request.only.is_empty() && now < other.expires_at;
            is_same && may_use_any && order.position(other.waiting(), now) < position
        })
    }

    /// Removes and returns the completion that arrived last if more others wait than end within its limit. Without
    /// workspaces the order is by time alone, and those that wait are not judged again.
    fn take_beyond_limit(
        &self,
        arrived: &(InstanceId, ReservationId),
        rate: f64,
    ) -> Vec<(InstanceId, ReservationId)> {
        let mut waiters = self.waiters.borrow_mut();
        let others = waiters.len().saturating_sub(1) as f64;
        let Some(waiter) = waiters.get(arrived) else { return Vec::new() };
        let limit = Duration::from_millis(waiter.request.limit_ms);
        if waiter.request.is_resumption || others <= rate * limit.as_secs_f64() {
            return Vec::new();
        }
        waiters.remove(arrived);
        vec![arrived.clone()]
    }

    /// Removes and returns the completions of a service that would leave the queue before their turn, if there is room
    /// for `rate` completions per second.
    fn take_hopeless(
        &self,
        service: &str,
        rate: f64,
        now: Instant,
    ) -> Vec<(InstanceId, ReservationId)> {
        let mut waiters = self.waiters.borrow_mut();
        let mut waiting = Vec::new();
        for (key, waiter) in &*waiters {
            if &*waiter.request.service == service && now < waiter.expires_at {
                waiting.push((key.clone(), waiter.waiting()));
            }
        }
        let hopeless = self.order.borrow().hopeless(&waiting, rate, now);
        for key in &hopeless {
            waiters.remove(key);
        }
        hopeless
    }

    /// Records that a completion is granted engines.
    fn charge(&self, request: &AdmissionRequest) {
        let waiters = self.waiters.borrow();
        let waiting = waiters.values().map(|waiter| &waiter.request);
        self.order.borrow_mut().charge(request, waiting);
    }
}

/// Queued completions for which there is no room now.
#[derive(Debug, Default)]
struct PassedOver {
    completions: BTreeSet<(InstanceId, ReservationId)>,
    /// Services whose first completion that may use any engine has no room.
    services: BTreeSet<ServiceName>,
}

impl PassedOver {
    fn contains(&self, key: &(InstanceId, ReservationId), waiter: &Waiter) -> bool {
        self.services.contains(&waiter.request.service) || self.completions.contains(key)
    }
}

/// Decides on an admission request. A repeated request gets the same decision.
pub fn decide(
    gateway: &Rc<Gateway>,
    instance: &str,
    id: ReservationId,
    request: AdmissionRequest,
) -> Decision {
    let now = gateway.clock.now();
    if is_quarantined(gateway, &request) {
        return Decision::Quarantined;
    }
    if let Some(grant) = existing_grant(gateway, instance, id) {
        return Decision::Granted(grant);
    }
    let key = (InstanceId::from(instance), id);
    if gateway.queue.is_waiting(&key) {
        if gateway.queue.update_excluded(&key, request.excluded) {
            serve_queue(gateway);
        }
        return Decision::Queued;
    }
    match shared_limits::judge(gateway, instance, id, &request) {
        Verdict::Within => {}
        Verdict::Beyond(wait) => {
            return Decision::OverLimit { retry_after_ms: wait.as_millis() as u64 + 1 };
        }
        // The instance asks again shortly, as it does for a queued completion.
        Verdict::Unknown => return Decision::Queued,
    }
    follow_configuration(gateway);
    let charge = Charge::of(&request);
    let limit = Duration::from_millis(request.limit_ms);
    let arrived_at = now.checked_sub(Duration::from_millis(request.waited_ms)).unwrap_or(now);
    let waiter = Waiter { request, arrived_at, expires_at: now + limit };
    let is_preceded = gateway.queue.is_preceded(&waiter, now);
    let request = &waiter.request;
    let granted = match is_preceded {
        true => Err(PlanError::NoCapacity),
        false => grant(gateway, instance, id, request),
    };
    if granted != Err(PlanError::NoEngine) {
        // A stream that has begun asks again and again while no engine can be used.
        gateway.record_sizes(request);
    }
    match granted {
        Ok(grant) => {
            charge_admitted(gateway, instance, id, charge);
            return Decision::Granted(grant);
        }
        Err(PlanError::NoEngine) => return Decision::NoEngine,
        Err(PlanError::Quarantined) => return Decision::Quarantined,
        Err(PlanError::NoCapacity) => {}
    }
    let service = request.service.clone();
    schedule_wake(gateway, &service);
    gateway.queue.waiters.borrow_mut().insert(key.clone(), waiter);
    if is_preceded {
        // Room that has become free without a message is for the first in the order.
        serve_queue(gateway);
    }
    if refuse_hopeless(gateway, &service, &key) {
        return Decision::Hopeless;
    }
    charge_admitted(gateway, instance, id, charge);
    Decision::Queued
}

/// Applies to the queue whether the configuration has workspaces.
fn follow_configuration(gateway: &Gateway) {
    let routing = gateway.routing();
    let has_workspaces = routing.is_some_and(|routing| routing.workspaces.is_some());
    gateway.queue.order.borrow_mut().has_workspaces = has_workspaces;
}

/// Refuses the queued completions of a service that would leave the queue before their turn. Returns whether `arrived`,
/// whose instance waits for this decision, is one of them.
fn refuse_hopeless(
    gateway: &Rc<Gateway>,
    service: &str,
    arrived: &(InstanceId, ReservationId),
) -> bool {
    let has_workspaces = gateway.queue.order.borrow().has_workspaces;
    if has_workspaces && Knowledge::of(gateway).is_cold() {
        // The rate at which engines have room is not known yet.
        return false;
    }
    let now = gateway.clock.now();
    let rate = {
        let engines = gateway.engine_names(service);
        let is_of_service = |engine: &str| engines.contains(engine);
        let reservations = gateway.reservations.borrow();
        let rate = reservations.completion_rate(is_of_service, now);
        rate.max(reservations.expected_completion_rate(is_of_service, START_LATENCY))
    };
    let rate = rate.min(gateway.decode_rate_limit(service));
    let hopeless = match has_workspaces {
        true => gateway.queue.take_hopeless(service, rate, now),
        false => gateway.queue.take_beyond_limit(arrived, rate),
    };
    let (asker, id, waiting) = (&*arrived.0, arrived.1, gateway.queue.len());
    let (refused, is_hopeless) = (hopeless.len(), hopeless.contains(arrived));
    log::debug!(asker, id, waiting, rate, refused, is_hopeless; "no_room");
    for (instance, id) in hopeless {
        if (&instance, id) != (&arrived.0, arrived.1) {
            gateway.deliver_decision(&instance, id, Decision::Hopeless);
        }
    }
    is_hopeless
}

/// Charges a completion once, also if it is granted an engine after it was queued.
fn charge_admitted(gateway: &Gateway, instance: &str, id: ReservationId, charge: Option<Charge>) {
    if let Some(charge) = charge {
        shared_limits::charge(gateway, instance, id, &charge);
    }
}

/// Returns whether a completion may not run, or not once more after it has crashed an engine.
fn is_quarantined(gateway: &Gateway, request: &AdmissionRequest) -> bool {
    let AdmissionRequest { service, parts, .. } = request;
    let is_retry_of_suspect = request.has_crashed && gateway.is_suspected(service, parts);
    is_retry_of_suspect || gateway.quarantined_for(service, parts).is_some()
}

/// Returns the grant that an earlier copy of the request got, in case the reply was lost.
fn existing_grant(gateway: &Gateway, instance: &str, id: ReservationId) -> Option<Grant> {
    let reservations = gateway.reservations.borrow();
    let reservation = reservations.reservation(instance, id)?;
    let (decode, prefill) = (reservation.decode.clone(), reservation.prefill.clone());
    // Those that were granted later count, too, so that the prefill is not given up too early.
    let loads = reservations.loads(gateway.clock.now());
    let load = prefill.as_ref().and_then(|prefill| loads.get(prefill));
    let queued = load.map_or(0, |load| load.queued_prefill_tokens);
    let tokens_ahead = queued.saturating_sub(reservation.prefill_tokens);
    let held_tokens = reservation.prompt_tokens.saturating_sub(reservation.prefill_tokens);
    Some(Grant { decode, prefill, tokens_ahead, held_tokens })
}

/// Time in which several prefills end before the queue is served. Each pass considers all engines, and the prefills of a
/// large fleet end hundreds of times a second.
const PASS_DELAY: Duration = Duration::from_millis(10);

/// Serves the queue after a prefill has ended, together with those that end soon after.
fn serve_queue_soon(gateway: &Rc<Gateway>) {
    // Without workspaces completions do not wait for prefill engines.
    let waits = gateway.queue.order.borrow().has_workspaces && !gateway.queue.is_empty();
    if !waits || gateway.queue.is_pass_scheduled.replace(true) {
        return;
    }
    let gateway = gateway.clone();
    actix_rt::spawn(async move {
        tokio::time::sleep(PASS_DELAY).await;
        gateway.queue.is_pass_scheduled.set(false);
        serve_queue(&gateway);
    });
}

/// Admits queued completions while there is free engine memory.
pub fn serve_queue(gateway: &Rc<Gateway>) {
    let mut passed_over = PassedOver::default();
    follow_configuration(gateway);
    loop {
        let next = gateway.queue.next(&passed_over, gateway.clock.now());
        let Some(((instance, id), request)) = next else { return };
        let decision = if is_quarantined(gateway, &request) {
            Decision::Quarantined
        } else {
            match grant(gateway, &instance, id, &request) {
                Ok(grant) => Decision::Granted(grant),
                // Engines that it may not use can have room for others.
                Err(PlanError::NoCapacity) if !request.only.is_empty() => {
                    passed_over.completions.insert((instance, id));
                    continue;
                }
                Err(PlanError::NoCapacity) => {
                    schedule_wake(gateway, &request.service);
                    passed_over.services.insert(request.service);
                    continue;
                }
                Err(PlanError::NoEngine) => Decision::NoEngine,
                Err(PlanError::Quarantined) => Decision::Quarantined,
            }
        };
        gateway.queue.remove(&instance, id);
        gateway.deliver_decision(&instance, id, decision);
    }
}

/// Maximum time until queued completions are looked at again while engines are limited.
const MAX_WAKE_DELAY: Duration = Duration::from_millis(200);

/// Minimum time until queued completions are looked at again.
const MIN_WAKE_DELAY: Duration = Duration::from_millis(5);

/// Time until queued completions are looked at again while the coordinator does not know what the engines run.
const COLD_WAKE_DELAY: Duration = Duration::from_millis(50);

/// Serves the queue again once a permit for a limited decode engine is due, or the coordinator may know more.
fn schedule_wake(gateway: &Rc<Gateway>, service: &str) {
    let knowledge = Knowledge::of(gateway);
    let is_paced = knowledge.is_cold();
    if gateway.queue.is_paced.replace(is_paced) != is_paced {
        let Knowledge { known, reported, .. } = knowledge;
        log::info!(is_paced, known, reported; "grant_pace_changed");
    }
    let wait = match is_paced {
        true => Some(COLD_WAKE_DELAY),
        false => gateway.decode_permit_wait(service),
    };
    let Some(wait) = wait else { return };
    if gateway.queue.is_wake_scheduled.replace(true) {
        return;
    }
    let gateway = gateway.clone();
    actix_rt::spawn(async move {
        tokio::time::sleep(wait.clamp(MIN_WAKE_DELAY, MAX_WAKE_DELAY)).await;
        gateway.queue.is_wake_scheduled.set(false);
        serve_queue(&gateway);
    });
}

/// Selects engines for a completion and reserves their memory.
fn grant(
    gateway: &Rc<Gateway>,
    instance: &str,
    id: ReservationId,
    request: &AdmissionRequest,
) -> Result<Grant, PlanError> {
    let now = gateway.clock.now();
    let has_workspaces = gateway.queue.order.borrow().has_workspaces;
    let mut candidates = gateway.engines(request, has_workspaces);
    if has_workspaces {
        Knowledge::of(gateway).restrict(&mut candidates);
    }
    let prompt = Prompt {
        tokens: request.prompt_tokens,
        target: Duration::from_millis(request.target_ms),
        max_gap: Duration::from_millis(request.max_gap_ms),
        prefill_tokens_per_ms: DEFAULT_PREFILL_TOKENS_PER_MS,
        waits_for_queues: has_workspaces,
    };
    let plan = gateway.with_rng(|rng| choose_engines(&candidates, prompt, rng))?;
    if !gateway.allows_trial(&request.service, &request.parts) {
        return Err(PlanError::Quarantined);
    }
    let decode = gateway.server_name(plan.decode());
    let mut tokens_ahead = 0;
    let mut held_tokens = 0;
    let mut fill = 0.0;
    let prefill = match plan {
        Plan::Split { prefill, .. } => {
            issue_permits(gateway, &[prefill, plan.decode()]);
            if has_workspaces {
                gateway.record_prompt(prefill, request);
            }
            Some(gateway.server_name(prefill))
        }
        Plan::Decode(_) => {
            issue_permits(gateway, &[plan.decode()]);
            None
        }
    };
    for candidate in &candidates {
        if candidate.key == plan.decode() {
            fill = candidate.fill;
        }
        if matches!(plan, Plan::Split { prefill, .. } if prefill == candidate.key) {
            // A slow engine has more ahead of the prompt, and of the prompt itself, than its tokens.
            let tokens = candidate.tokens_to_prefill(request.prompt_tokens);
            tokens_ahead = candidate.usual_tokens(tokens).saturating_sub(request.prompt_tokens);
            held_tokens = candidate.held_prompt_tokens;
        }
    }
    log::debug!(asker = instance, id, decode = &*decode, prefill:?, fill, tokens_ahead, held_tokens, candidates = candidates.len(); "granted");
    let reservation = Reservation {
        decode: decode.clone(),
        prefill: prefill.clone(),
        prompt_tokens: request.prompt_tokens,
        expected_tokens: request.expected_tokens,
        max_tokens: request.max_tokens,
        starts_at: now + START_LATENCY,
        reserved_at: now,
        granted_at: Some(now),
        prefill_tokens: request.prompt_tokens.saturating_sub(held_tokens),
        progress: None,
    };
    gateway.reservations.borrow_mut().reserve(instance, id, reservation);
    gateway.queue.remove(instance, id);
    gateway.queue.charge(request);
    Ok(Grant { decode, prefill, tokens_ahead, held_tokens })
}

/// Applies an update from an instance about its own completions or about an engine.
pub fn apply_update(gateway: &Rc<Gateway>, from: &str, payload: &Payload) {
    let now = gateway.clock.now();
    match payload {
        Payload::PrefillFinished(id) => {
            gateway.reservations.borrow_mut().finish_prefill(from, *id, now);
            serve_queue_soon(gateway);
        }
        Payload::Started(id, service, parts) => {
            gateway.reservations.borrow_mut().finish_prefill(from, *id, now);
            if let Some(reservation) = gateway.reservations.borrow().reservation(from, *id) {
                gateway.failing_engines.borrow_mut().record_start(&reservation.decode);
            }
            record_start(gateway, from, service, parts);
            serve_queue_soon(gateway);
        }
        Payload::Answered(service, parts) => record_start(gateway, from, service, parts),
        Payload::Crashed(crash, service, parts) => {
            record_crash(gateway, from, (*crash).into(), service, parts);
        }
        Payload::CallCrashed(CallCrash { crash, service, parts, run_ms, survived }) => {
            let run_time = Duration::from_millis(*run_ms);
            let call = Some(CallRun { run_time, survived: *survived });
            let crash = Crash { id: *crash, call };
            record_crash(gateway, from, crash, service, parts);
        }
        Payload::Released(id) => {
            gateway.queue.remove(from, *id);
            gateway.reservations.borrow_mut().release(from, *id, now);
            serve_queue(gateway);
        }
        Payload::EngineLeaving(engine, started_ms) => {
            gateway.record_reported_leaving(engine, *started_ms, from);
        }
        Payload::EngineUnusable(engine) => {
            let avoided = gateway.failing_engines.borrow_mut().report(engine, from, now);
            if let Some(avoided) = avoided {
                let avoided_ms = avoided.as_millis() as u64;
                log::warn!(server = &**engine, reporter = from, avoided_ms; "engine_avoided");
            }
        }
        Payload::EngineRejected(engine) => {
            let avoided = gateway.failing_engines.borrow_mut().report_rejection(engine, now);
            if let Some(avoided) = avoided {
                let avoided_ms = avoided.as_millis() as u64;
                log::warn!(server = &**engine, reporter = from, avoided_ms, reason = "it rejects completions"; "engine_avoided");
            }
        }
        _ => {}
    }
}

/// Records that a request with these parts has started on a server.
fn record_start(gateway: &Gateway, reporter: &str, service: &ServiceName, parts: &[PartId]) {
    let is_lifted = gateway.with_quarantine(service, |quarantine| quarantine.record_start(parts));
    if is_lifted {
        gateway.spread_refusals();
        let parts = display_parts(parts);
        log::info!(reporter, service = &**service, parts; "refusal_lifted");
    }
}

/// Records that a server crashed before a request with these parts had started on it.
fn record_crash(
    gateway: &Gateway,
    reporter: &str,
    crash: Crash,
    service: &ServiceName,
    parts: &[PartId],
) {
    let now = gateway.clock.now();
    let refused =
        gateway.with_quarantine(service, |quarantine| quarantine.record_crash(now, crash, parts));
    if let Some(refused) = refused {
        gateway.spread_refusals();
        let parts = display_parts(&refused);
        log::warn!(reporter, service = &**service, parts = &*parts; "prompt_part_refused");
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use crate::route::Priority;

    use super::{AdmissionRequest, PassedOver, Queue, Waiter};

    const SECOND: Duration = Duration::from_secs(1);

    fn waiter(now: Instant, waited: Duration) -> Waiter {
        let request = AdmissionRequest {
            service: "engines".into(),
            zone: "a".into(),
            prompt_tokens: 5_000,
            expected_tokens: 700,
            max_tokens: 1_300,
            is_resumption: false,
            waited_ms: 0,
            max_gap_ms: 0,
            target_ms: 900,
            limit_ms: 3_000,
            excluded: Vec::new(),
            only: Vec::new(),
            parts: Box::default(),
            part_tokens: Box::default(),
            has_crashed: false,
            workspace: None,
            priority: Priority::default(),
            limit_cost: 0,
        };
        Waiter { request, arrived_at: now - waited, expires_at: now + 3 * SECOND }
    }

    #[test]
    fn one_whose_engines_have_no_room_does_not_keep_others_waiting() {
        let now = Instant::now();
        let queue = Queue::default();
        let mut resumption = waiter(now, SECOND);
        resumption.request.is_resumption = true;
        resumption.request.only = vec!["d1".into()];
        queue.waiters.borrow_mut().insert(("limited".into(), 0), resumption);
        queue.waiters.borrow_mut().insert(("other".into(), 0), waiter(now, SECOND));
        let (first, _) = queue.next(&PassedOver::default(), now).unwrap();
        assert_eq!(&*first.0, "limited");
        let passed_over = PassedOver { completions: [first].into(), ..PassedOver::default() };
        let (second, _) = queue.next(&passed_over, now).unwrap();
        assert_eq!(&*second.0, "other");
    }

    #[test]
    fn one_that_can_be_in_time_goes_before_one_that_is_late() {
        let now = Instant::now();
        let queue = Queue::default();
        let put = |name: &str, waited| {
            queue.waiters.borrow_mut().insert((name.into(), 0), waiter(now, waited));
        };
        put("late", 2 * SECOND);
        put("oldest", 3 * SECOND);
        put("in time", Duration::from_millis(100));
        put("newest", Duration::from_millis(20));
        let mut order = Vec::new();
        while let Some(((name, id), _)) = queue.next(&PassedOver::default(), now) {
            queue.remove(&name, id);
            order.push(name);
        }
        let order: Vec<&str> = order.iter().map(|name| &**name).collect();
        assert_eq!(order, ["newest", "in time", "oldest", "late"]);
    }

    #[test]
    fn a_service_without_room_does_not_keep_completions_of_others_waiting() {
        let now = Instant::now();
        let queue = Queue::default();
        queue.waiters.borrow_mut().insert(("first".into(), 0), waiter(now, Duration::ZERO));
        let mut other = waiter(now, SECOND);
        other.request.service = "others".into();
        queue.waiters.borrow_mut().insert(("second".into(), 0), other);
        let services = ["engines".into()].into();
        let passed_over = PassedOver { services, ..PassedOver::default() };
        let (next, _) = queue.next(&passed_over, now).unwrap();
        assert_eq!(&*next.0, "second");
    }

    /// Small completions took the room for which a larger one waited, and those of a low priority that of a higher one.
    #[test]
    fn an_arrival_takes_no_room_before_one_of_a_higher_priority_that_waits() {
        let now = Instant::now();
        let queue = Queue::default();
        queue.waiters.borrow_mut().insert(("a".into(), 0), waiter(now, Duration::ZERO));
        let mut arrival = waiter(now, Duration::ZERO);
        arrival.request.priority.route = 1;
        assert!(!queue.is_preceded(&arrival, now), "there are no workspaces");
        queue.order.borrow_mut().has_workspaces = true;
        assert!(queue.is_preceded(&arrival, now));
        arrival.request.service = "others".into();
        assert!(!queue.is_preceded(&arrival, now));
    }

    #[test]
    fn only_completions_of_the_service_without_room_are_refused() {
        let now = Instant::now();
        let queue = Queue::default();
        for id in 0..20 {
            queue.waiters.borrow_mut().insert(("a".into(), id), waiter(now, SECOND));
            let mut other = waiter(now, SECOND);
            other.request.service = "others".into();
            queue.waiters.borrow_mut().insert(("b".into(), id), other);
        }
        let refused = queue.take_hopeless("engines", 1.0, now);
        assert!(!refused.is_empty() && refused.iter().all(|(instance, _)| &**instance == "a"));
        assert_eq!(queue.len(), 40 - refused.len());
    }
}
