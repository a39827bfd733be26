//! The home of completions: the one instance that books engine memory for all.
//!
//! Instances that each booked for themselves would fill the same engine at the same moment. The home
//! is the first of a list that all instances rank alike; when it does not answer, the next one is
//! asked. It holds no state that its successor could not learn from the instances' own bookings.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::gateway::Gateway;
use crate::peers::Payload;
use crate::reservations::{InstanceId, Reservation, ReservationId};
use crate::route::ServiceName;
use crate::selection::{DEFAULT_PREFILL_TOKENS_PER_MS, Plan, PlanError, Prompt, choose_engines};

/// How long the first event takes once a completion is admitted, until it is measured.
pub const START_LATENCY: Duration = Duration::from_millis(250);

/// What a completion needs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// The service whose engines run it.
    pub service: ServiceName,
    /// The availability zone of the instance that asks.
    pub zone: Box<str>,
    /// The tokens of the prompt.
    pub prompt_tokens: u64,
    /// The tokens that are expected to be produced.
    pub expected_tokens: u64,
    /// The most tokens that may be produced.
    pub most_tokens: u64,
    /// Whether it goes on with a stream that has begun.
    pub is_resumption: bool,
    /// How long it has waited since it came, in milliseconds.
    pub waited_ms: u64,
    /// The time since it came within which its first event is on time, in milliseconds.
    pub target_ms: u64,
    /// How much longer it may wait for a place, in milliseconds.
    pub limit_ms: u64,
    /// Engines that the asking instance could not use.
    pub excluded: Vec<Box<str>>,
}

/// What the home answers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Decision {
    /// The completion may start.
    Granted(Grant),
    /// It waits for memory.
    Queued,
    /// There is no engine that could run it.
    NoEngine,
    /// So many wait that it would not start in time.
    Hopeless,
}

/// Which engines a completion may use.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// The engine that produces the tokens.
    pub decode: Box<str>,
    /// The engine that reads the prompt; without one the first engine does.
    pub prefill: Option<Box<str>>,
    /// The tokens of prompts that the prefill engine reads first.
    pub tokens_ahead: u64,
}

/// Completions that wait at their home.
#[derive(Debug, Default)]
pub struct Queue {
    waiters: RefCell<BTreeMap<(InstanceId, ReservationId), Waiter>>,
}

#[derive(Debug, Clone)]
struct Waiter {
    request: AdmissionRequest,
    arrived_at: Instant,
    /// When it no longer waits.
    expires_at: Instant,
}

impl Queue {
    /// Returns the number of completions that wait.
    pub fn len(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.borrow().is_empty()
    }

    /// Forgets a completion.
    pub fn remove(&self, instance: &str, id: ReservationId) {
        self.waiters.borrow_mut().remove(&(instance.into(), id));
    }

    /// Forgets the completions of an instance that is gone.
    pub fn remove_instance(&self, instance: &str) {
        self.waiters.borrow_mut().retain(|(owner, _), _| &**owner != instance);
    }

    /// Returns who goes first: resumptions, then the newest that can still be on time, then the
    /// oldest of the others.
    ///
    /// Answers bursts: served in order of arrival, all would wait until none is on time.
    fn next(&self, now: Instant) -> Option<((InstanceId, ReservationId), AdmissionRequest)> {
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|_, waiter| now < waiter.expires_at);
        let next = waiters.iter().min_by_key(|(_, waiter)| queue_priority(waiter, now));
        next.map(|(key, waiter)| (key.clone(), waiter.request.clone()))
    }
}

fn queue_priority(waiter: &Waiter, now: Instant) -> (u8, i128) {
    let waited = now.saturating_duration_since(waiter.arrived_at);
    let waited_us = waited.as_micros() as i128;
    if waiter.request.is_resumption {
        return (0, -waited_us);
    }
    match waited + START_LATENCY <= Duration::from_millis(waiter.request.target_ms) {
        true => (1, waited_us),
        false => (2, -waited_us),
    }
}

/// Decides for an instance that asks; the same question again gets the same answer.
pub fn decide(
    gateway: &Rc<Gateway>,
    instance: &str,
    id: ReservationId,
    request: AdmissionRequest,
) -> Decision {
    let now = gateway.clock.now();
    if let Some(grant) = existing_grant(gateway, instance, id) {
        return Decision::Granted(grant);
    }
    let key = (InstanceId::from(instance), id);
    if gateway.queue.waiters.borrow().contains_key(&key) {
        return Decision::Queued;
    }
    gateway.record_sizes(&request);
    match grant(gateway, instance, id, &request) {
        Ok(grant) => return Decision::Granted(grant),
        Err(PlanError::NoEngine) => return Decision::NoEngine,
        Err(PlanError::NoCapacity) => {}
    }
    let limit = Duration::from_millis(request.limit_ms);
    let completion_rate = {
        let reservations = gateway.ledger.borrow();
        reservations.completion_rate(now).max(reservations.expected_completion_rate(START_LATENCY))
    };
    let places = completion_rate * limit.as_secs_f64();
    let waiting = gateway.queue.len();
    let is_hopeless = waiting as f64 > places && !request.is_resumption;
    log::debug!(asker = instance, id, waiting, places, is_hopeless; "no_room");
    if is_hopeless {
        return Decision::Hopeless;
    }
    let arrived_at = now.checked_sub(Duration::from_millis(request.waited_ms)).unwrap_or(now);
    let waiter = Waiter { request, arrived_at, expires_at: now + limit };
    gateway.queue.waiters.borrow_mut().insert(key, waiter);
    Decision::Queued
}

/// Returns what was granted already, if the answer was lost on its way.
fn existing_grant(gateway: &Gateway, instance: &str, id: ReservationId) -> Option<Grant> {
    let reservations = gateway.ledger.borrow();
    let reservation = reservations.reservation(instance, id)?;
    let (decode, prefill) = (reservation.decode.clone(), reservation.prefill.clone());
    Some(Grant { decode, prefill, tokens_ahead: 0 })
}

/// Grants memory to those that wait for as long as there is any.
pub fn serve_queue(gateway: &Rc<Gateway>) {
    loop {
        let next = gateway.queue.next(gateway.clock.now());
        let Some(((instance, id), request)) = next else { return };
        let decision = match grant(gateway, &instance, id, &request) {
            Ok(grant) => Decision::Granted(grant),
            Err(PlanError::NoCapacity) => return,
            Err(PlanError::NoEngine) => Decision::NoEngine,
        };
        gateway.queue.remove(&instance, id);
        gateway.deliver_decision(&instance, id, decision);
    }
}

/// Books engines for a completion.
fn grant(
    gateway: &Rc<Gateway>,
    instance: &str,
    id: ReservationId,
    request: &AdmissionRequest,
) -> Result<Grant, PlanError> {
    let now = gateway.clock.now();
    let candidates = gateway.engines(request);
    let prompt = Prompt {
        tokens: request.prompt_tokens,
        target: Duration::from_millis(request.target_ms),
        prefill_tokens_per_ms: DEFAULT_PREFILL_TOKENS_PER_MS,
    };
    let plan = gateway.with_rng(|rng| choose_engines(&candidates, prompt, rng))?;
    let decode = gateway.server_name(plan.decode());
    let mut tokens_ahead = 0;
    let mut fill = 0.0;
    let prefill = match plan {
        Plan::Split { prefill, .. } => Some(gateway.server_name(prefill)),
        Plan::Decode(_) => None,
    };
    for candidate in &candidates {
        if candidate.key == plan.decode() {
            fill = candidate.fill;
        }
        if matches!(plan, Plan::Split { prefill, .. } if prefill == candidate.key) {
            tokens_ahead = candidate.queued_prefill_tokens;
        }
    }
    log::debug!(asker = instance, id, decode = &*decode, prefill:?, fill, tokens_ahead, candidates = candidates.len(); "granted");
    let reservation = Reservation {
        decode: decode.clone(),
        prefill: prefill.clone(),
        prompt_tokens: request.prompt_tokens,
        expected_tokens: request.expected_tokens,
        most_tokens: request.most_tokens,
        starts_at: now + START_LATENCY,
        reserved_at: now,
        progress: None,
    };
    gateway.ledger.borrow_mut().reserve(instance, id, reservation);
    Ok(Grant { decode, prefill, tokens_ahead })
}

/// Takes in what an asking instance says of a completion of its own.
pub fn apply_update(gateway: &Rc<Gateway>, from: &str, payload: &Payload) {
    let now = gateway.clock.now();
    match payload {
        Payload::PromptRead(id) => gateway.ledger.borrow_mut().finish_prefill(from, *id, now),
        Payload::Freed(id) => {
            gateway.queue.remove(from, *id);
            gateway.ledger.borrow_mut().release(from, *id, now);
            serve_queue(gateway);
        }
        Payload::EngineUnusable(engine) => {
            let avoided = gateway.failing_engines.borrow_mut().report(engine, from, now);
            if let Some(avoided) = avoided {
                let avoided_ms = avoided.as_millis() as u64;
                log::warn!(server = &**engine, reporter = from, avoided_ms; "engine_avoided");
            }
        }
        _ => {}
    }
}
