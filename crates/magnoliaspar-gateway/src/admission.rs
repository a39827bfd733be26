//! Requests admission of completions from the coordinator and waits for its decision.

use std::rc::Rc;
use std::time::{Duration, Instant};

use magnoliaspar_core::ServerKey;
use tokio::sync::mpsc;

use crate::call::Incoming;
use crate::coordinator::{AdmissionRequest, Decision, Grant, START_LATENCY, decide};
use crate::directory::EngineRole;
use crate::gateway::Gateway;
use crate::peers::{Coordinator, Payload, ReservationEntry};
use crate::refusal::Refusal;
use crate::reservations::{Reservation, ReservationId};
use crate::selection::{DEFAULT_PREFILL_TOKENS_PER_MS, Plan};
use crate::shared_limits::Charge;

/// Maximum time that a completion waits for admission, as a multiple of its latency target.
///
/// Callers abandon a stream whose first event has not arrived after four times the target.
pub const MAX_WAIT_IN_TARGETS: f64 = 3.3;

/// Timeout of one admission request to the coordinator: about ten round trips.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(40);

/// Admission requests that a coordinator may leave unanswered before the next one is asked.
const ADMISSION_ATTEMPTS: u32 = 2;

/// Interval at which an admission request is repeated while the coordinator has it queued.
const ADMISSION_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which a stream that has begun asks again for an engine, while none can be used.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a prefill call, as a multiple of its expected duration.
const PREFILL_TIMEOUT_FACTOR: f64 = 2.5;

/// Lower bound of the timeout of a prefill call.
const MIN_PREFILL_TIMEOUT: Duration = Duration::from_millis(300);

/// An admitted completion and its reservation, which is released on drop.
pub struct Placement {
    gateway: Rc<Gateway>,
    id: ReservationId,
    /// The engines that run the completion.
    pub plan: Plan,
    /// Timeout of the prefill call.
    pub prefill_timeout: Duration,
}

impl Placement {
    /// Records that the prefill has finished.
    pub fn finish_prefill(&self) {
        self.gateway.send_to_coordinators(Payload::PrefillFinished(self.id));
    }

    /// Records that the completion has started: its first event has arrived.
    pub fn start(&self, req: &Incoming) {
        let (service, parts) = (req.service.clone(), req.parts.clone());
        self.gateway.send_to_coordinators(Payload::Started(self.id, service, parts));
    }
}

impl Placement {
    /// Records that `tokens` output tokens have arrived so far.
    pub fn record_tokens(&self, tokens: u64) {
        let now = self.gateway.clock.now();
        let instance = self.gateway.settings().instance.clone();
        self.gateway.reservations.borrow_mut().record_tokens(&instance, self.id, tokens, now);
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.gateway.send_to_coordinators(Payload::Released(self.id));
    }
}

/// The engines that may run a completion.
#[derive(Debug, Clone, Copy)]
pub struct Eligible<'a> {
    /// Engines that are left out, since the completion was sent to them.
    pub tried: &'a [ServerKey],
    /// The decode engines that may run it; empty if all others may.
    pub only: &'a [ServerKey],
}

/// What has become of a completion so far.
#[derive(Debug, Clone, Copy)]
pub struct History {
    /// Whether it resumes a stream that has already started.
    pub is_resumption: bool,
    /// Whether an engine crashed before the completion had started on it.
    pub has_crashed: bool,
}

/// Requests engines for a completion, and waits while there is no free engine memory.
pub async fn admit(
    gateway: &Rc<Gateway>,
    req: &Incoming,
    engines: Eligible<'_>,
    history: History,
) -> Result<Placement, Refusal> {
    let max_wait = req.route.target_latency.mul_f64(MAX_WAIT_IN_TARGETS);
    let start = if history.is_resumption { gateway.clock.now() } else { req.received };
    let expires_at = (start + max_wait).min(req.deadline);
    // A stream that has started cannot be refused; any other completion can come back after the rest.
    let starts_by = match history.is_resumption {
        true => expires_at,
        false => expires_at.min(req.received + req.route.target_latency),
    };
    let mut excluded = Vec::new();
    loop {
        let mut admission =
            PendingAdmission::new(gateway, req, engines, excluded.clone(), history, expires_at);
        let decision = admission.wait_for_decision().await;
        if decision == Some(Decision::NoEngine) {
            let home = admission.coordinator_name();
            drop(admission);
            if let Err(refusal) = wait_for_engine(gateway, req, engines, history, starts_by).await {
                if refusal == Refusal::NoServer {
                    let request = &*req.facts.id;
                    log::warn!(request, home = &*home, reason = "no engine"; "not_placed");
                }
                return Err(refusal);
            }
            continue;
        }
        let Some(Decision::Granted(grant)) = &decision else {
            return admission.resolve(decision, req);
        };
        let Some(engine) = unusable_engine(gateway, grant) else {
            return admission.resolve(decision, req);
        };
        req.state.is_charged.set(true);
        // Either the coordinator's list of servers is stale or this instance's; in both cases this
        // instance cannot use the engine.
        let request = &*req.facts.id;
        let coordinator = admission.coordinator_name();
        let servers_revision = gateway.servers_position.last_change().revision;
        log::warn!(request, home = &*coordinator, engine = &*engine, servers_revision; "grant_unusable");
        let key = gateway.directory.borrow().key(&engine);
        if key.is_some_and(|key| gateway.must_wait_for(key)) {
            // It is out of use for this instance only, and is left out of the next request.
            continue;
        }
        gateway.send_to_coordinators(Payload::EngineUnusable(engine.clone()));
        excluded.push(engine);
    }
}

/// Waits while no engine can be used, and refuses the completion if none could start it by `starts_by`.
async fn wait_for_engine(
    gateway: &Gateway,
    req: &Incoming,
    engines: Eligible<'_>,
    history: History,
    starts_by: Instant,
) -> Result<(), Refusal> {
    let rest = match engines.only.is_empty() {
        true => gateway.rest_of_service(&req.service, engines.tried),
        false => None,
    };
    if let Some(rest) = rest
        && !history.is_resumption
    {
        return wait_for_rest(gateway, req, rest, starts_by).await;
    }
    // An engine whose connection has broken is out of use until it accepts another one.
    let may_wait = history.is_resumption && has_engine(gateway, req, engines);
    if !may_wait || gateway.clock.now() >= starts_by {
        return Err(Refusal::NoServer);
    }
    tokio::time::sleep(ENGINE_POLL_INTERVAL).await;
    Ok(())
}

/// Returns whether a server that may run a completion is listed and does not leave, whether it can be used now or not.
fn has_engine(gateway: &Gateway, req: &Incoming, engines: Eligible<'_>) -> bool {
    let directory = gateway.directory.borrow();
    for (key, server) in directory.iter() {
        let record = &server.record;
        let is_choice = engines.only.is_empty() || engines.only.contains(&key);
        let is_listed = record.service == req.service && record.role == Some(EngineRole::Decode);
        if is_choice && is_listed && !record.is_draining && !engines.tried.contains(&key) {
            return true;
        }
    }
    false
}

/// Waits until the first of the engines ends its rest, or refuses the completion if it could not start by
/// `starts_by` then.
async fn wait_for_rest(
    gateway: &Gateway,
    req: &Incoming,
    rest: Duration,
    starts_by: Instant,
) -> Result<(), Refusal> {
    let request = &*req.facts.id;
    let rest_ms = rest.as_millis() as u64;
    let is_in_time = gateway.clock.now() + rest + START_LATENCY < starts_by;
    log::info!(request, rest_ms, is_in_time; "engines_rest");
    if !is_in_time {
        return Err(Refusal::ServersResting);
    }
    tokio::time::sleep(rest).await;
    Ok(())
}

/// Returns an engine of a grant that this instance cannot use in the granted role, if any.
fn unusable_engine(gateway: &Gateway, grant: &Grant) -> Option<Box<str>> {
    if !gateway.can_use_engine(&grant.decode, EngineRole::Decode) {
        return Some(grant.decode.clone());
    }
    let prefill = grant.prefill.as_ref()?;
    (!gateway.can_use_engine(prefill, EngineRole::Prefill)).then(|| prefill.clone())
}

/// An admission request to the coordinator. Dropping it without a placement withdraws the request.
struct PendingAdmission<'a> {
    gateway: &'a Rc<Gateway>,
    id: ReservationId,
    request: AdmissionRequest,
    engines: Eligible<'a>,
    /// Engines that were granted and could not be used.
    excluded: Vec<Box<str>>,
    received: Instant,
    expires_at: Instant,
    /// The coordinator that was asked last; `None` for this instance.
    coordinator: Option<Coordinator>,
    decisions: mpsc::UnboundedReceiver<Decision>,
    is_placed: bool,
}

/// Returns what a completion counts as against the limit of its workspace; zero if it has been charged before.
fn limit_cost(req: &Incoming) -> u64 {
    match &req.workspace {
        Some(workspace) if workspace.limit.is_some() && !req.state.is_charged.get() => {
            workspace.cost(req.facts.size())
        }
        _ => 0,
    }
}

impl<'a> PendingAdmission<'a> {
    fn new(
        gateway: &'a Rc<Gateway>,
        req: &Incoming,
        engines: Eligible<'a>,
        excluded: Vec<Box<str>>,
        history: History,
        expires_at: Instant,
    ) -> Self {
        let id = gateway.next_reservation_id();
        let (tx, decisions) = mpsc::unbounded_channel();
        gateway.pending_admissions.borrow_mut().insert(id, tx);
        let request = AdmissionRequest {
            service: req.service.clone(),
            zone: gateway.settings().zone.clone(),
            prompt_tokens: req.facts.prompt_tokens,
            expected_tokens: req.facts.expected_tokens,
            max_tokens: req.facts.max_tokens,
            is_resumption: history.is_resumption,
            parts: req.parts.clone(),
            part_tokens: req.facts.part_tokens.clone(),
            has_crashed: history.has_crashed,
            workspace: req.workspace.as_ref().map(|workspace| workspace.name.clone()),
            priority: req.priority(),
            limit_cost: limit_cost(req),
            waited_ms: 0,
            target_ms: req.route.target_latency.as_millis() as u64,
            max_gap_ms: req.route.max_gap.as_millis() as u64,
            limit_ms: 0,
            excluded: Vec::new(),
            only: engines.only.iter().map(|key| gateway.server_name(*key)).collect(),
        };
        Self {
            gateway,
            id,
            request,
            engines,
            excluded,
            received: req.received,
            expires_at,
            coordinator: None,
            decisions,
            is_placed: false,
        }
    }

    /// Asks coordinators until one has decided; returns `None` after `expires_at`.
    async fn wait_for_decision(&mut self) -> Option<Decision> {
        let mut attempts = 0;
        let mut is_queued = false;
        loop {
            let now = self.gateway.clock.now();
            if now >= self.expires_at {
                return None;
            }
            self.request.waited_ms = (now - self.received).as_millis() as u64;
            self.request.limit_ms = (self.expires_at - now).as_millis() as u64;
            self.send();
            let timeout = if is_queued { ADMISSION_RETRY_INTERVAL } else { ADMISSION_TIMEOUT };
            match self.wait_for_reply(timeout.min(self.expires_at - now), &mut is_queued).await {
                Some(decision) => return Some(decision),
                None if is_queued => attempts = 0,
                None => attempts += 1,
            }
            if attempts < ADMISSION_ATTEMPTS {
                continue;
            }
            if let Some(coordinator) = &self.coordinator {
                log::warn!(home = &*coordinator.instance, id = self.id; "home_silent");
                self.gateway.suspect_coordinator(&coordinator.instance);
            }
            attempts = 0;
        }
    }

    /// Waits for a decision; sets `is_queued` if the coordinator reports that the completion is
    /// queued.
    async fn wait_for_reply(
        &mut self,
        timeout: Duration,
        is_queued: &mut bool,
    ) -> Option<Decision> {
        *is_queued = false;
        let mut remaining = timeout;
        loop {
            match tokio::time::timeout(remaining, self.decisions.recv()).await {
                Ok(Some(Decision::Queued)) => {
                    *is_queued = true;
                    remaining =
                        ADMISSION_RETRY_INTERVAL.min(self.expires_at - self.gateway.clock.now());
                }
                Ok(decision) => return decision,
                Err(_) => return None,
            }
        }
    }

    fn send(&mut self) {
        // While the completion is queued, engines become usable again and others cease to be.
        self.request.excluded = self.gateway.unusable_servers(&self.request.service, self.engines);
        self.request.excluded.extend(self.excluded.iter().cloned());
        self.coordinator = self.gateway.coordinator();
        match &self.coordinator {
            Some(coordinator) => {
                let payload = Payload::RequestAdmission(self.id, Box::new(self.request.clone()));
                self.gateway.send(coordinator.address, payload);
            }
            None => {
                let instance = self.gateway.settings().instance.clone();
                let decision = decide(self.gateway, &instance, self.id, self.request.clone());
                self.gateway.deliver_decision(&instance, self.id, decision);
            }
        }
    }

    /// Logs the decision, and reserves the granted engines.
    fn resolve(
        &mut self,
        decision: Option<Decision>,
        req: &Incoming,
    ) -> Result<Placement, Refusal> {
        let request = &*req.facts.id;
        let coordinator = self.coordinator_name();
        let waited_ms = (self.gateway.clock.now() - req.received).as_millis() as u64;
        match decision {
            Some(Decision::OverLimit { retry_after_ms }) => {
                log::info!(request, home = &*coordinator, waited_ms, retry_after_ms, workspace = &*self.workspace_name(); "over_limit");
                req.state.over_limit_for.set(Duration::from_millis(retry_after_ms));
                Err(Refusal::OverLimit)
            }
            Some(Decision::Granted(grant)) => {
                let Grant { decode, prefill, tokens_ahead, held_tokens } = &grant;
                log::info!(request, home = &*coordinator, waited_ms, decode = &**decode, prefill = prefill.as_deref().unwrap_or("none"), tokens_ahead, held_tokens; "placed");
                self.accept(grant, req)
            }
            Some(Decision::NoEngine) => Err(Refusal::NoServer),
            Some(Decision::Quarantined) => {
                log::warn!(request, home = &*coordinator, waited_ms, reason = "quarantined"; "not_placed");
                Err(Refusal::Quarantined)
            }
            Some(Decision::Queued | Decision::Hopeless) => {
                log::warn!(request, home = &*coordinator, waited_ms, reason = "too many wait"; "not_placed");
                Err(Refusal::NoCapacity)
            }
            None => {
                log::warn!(request, home = &*coordinator, waited_ms, reason = "no memory in time"; "not_placed");
                Err(Refusal::NoCapacity)
            }
        }
    }

    fn workspace_name(&self) -> Box<str> {
        self.request.workspace.clone().map(Into::into).unwrap_or_default()
    }

    fn coordinator_name(&self) -> Box<str> {
        self.coordinator.as_ref().map_or("self".into(), |coordinator| coordinator.instance.clone())
    }

    fn accept(&mut self, grant: Grant, req: &Incoming) -> Result<Placement, Refusal> {
        let now = self.gateway.clock.now();
        let directory = self.gateway.directory.borrow();
        let decode = directory.key(&grant.decode).ok_or(Refusal::NoServer)?;
        if !self.engines.only.is_empty() && !self.engines.only.contains(&decode) {
            // A former version of the gateway does not know the limitation.
            return Err(Refusal::NoServer);
        }
        let prefill = grant.prefill.as_ref().and_then(|prefill| directory.key(prefill));
        let plan = match prefill {
            Some(prefill) => Plan::Split { prefill, decode },
            None => Plan::Decode(decode),
        };
        let granted_at = {
            // This instance has granted the engines itself if it is the coordinator.
            let reservations = self.gateway.reservations.borrow();
            let instance = &self.gateway.settings().instance;
            reservations.reservation(instance, self.id).and_then(|own| own.granted_at)
        };
        let reservation = Reservation {
            decode: grant.decode,
            prefill: grant.prefill,
            prompt_tokens: req.facts.prompt_tokens,
            expected_tokens: req.facts.expected_tokens,
            max_tokens: req.facts.max_tokens,
            starts_at: now + START_LATENCY,
            reserved_at: now,
            granted_at,
            prefill_tokens: req.facts.prompt_tokens.saturating_sub(grant.held_tokens),
            progress: None,
        };
        let mut entry = ReservationEntry::new(&reservation, now);
        entry.charge = Charge::of(&self.request);
        req.state.is_charged.set(true);
        let payload = Payload::Reserved(self.id, entry);
        let instance = self.gateway.settings().instance.clone();
        self.gateway.reservations.borrow_mut().reserve(&instance, self.id, reservation);
        self.gateway.send_to_other_coordinators(payload, self.coordinator.as_ref());
        self.is_placed = true;
        let tokens = grant.tokens_ahead + req.facts.prompt_tokens;
        let prefill_time =
            Duration::from_secs_f64(tokens as f64 / DEFAULT_PREFILL_TOKENS_PER_MS / 1_000.0);
        let prefill_timeout = MIN_PREFILL_TIMEOUT + prefill_time.mul_f64(PREFILL_TIMEOUT_FACTOR);
        Ok(Placement { gateway: self.gateway.clone(), id: self.id, plan, prefill_timeout })
    }
}

impl Drop for PendingAdmission<'_> {
    fn drop(&mut self) {
        self.gateway.pending_admissions.borrow_mut().remove(&self.id);
        if !self.is_placed {
            // The caller may have disconnected while the coordinator decided.
            self.gateway.send_to_coordinators(Payload::Released(self.id));
        }
    }
}
