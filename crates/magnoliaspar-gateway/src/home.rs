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
use crate::ledger::{Booking, BookingId, InstanceId};
use crate::peers::News;
use crate::place::{DEFAULT_READING_SPEED, NoPlan, Plan, Prompt, choose_engines};
use crate::route::ServiceName;

/// How long the first event takes once a completion is admitted, until it is measured.
pub const START_TIME: Duration = Duration::from_millis(250);

/// What a completion needs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Want {
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
pub enum Verdict {
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
    waiters: RefCell<BTreeMap<(InstanceId, BookingId), Waiter>>,
}

#[derive(Debug, Clone)]
struct Waiter {
    want: Want,
    came_at: Instant,
    /// When it no longer waits.
    until: Instant,
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
    pub fn remove(&self, instance: &str, id: BookingId) {
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
    fn first(&self, now: Instant) -> Option<((InstanceId, BookingId), Want)> {
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|_, waiter| now < waiter.until);
        let first = waiters.iter().min_by_key(|(_, waiter)| rank(waiter, now));
        first.map(|(key, waiter)| (key.clone(), waiter.want.clone()))
    }
}

fn rank(waiter: &Waiter, now: Instant) -> (u8, i128) {
    let waited = now.saturating_duration_since(waiter.came_at);
    let waited_us = waited.as_micros() as i128;
    if waiter.want.is_resumption {
        return (0, -waited_us);
    }
    match waited + START_TIME <= Duration::from_millis(waiter.want.target_ms) {
        true => (1, waited_us),
        false => (2, -waited_us),
    }
}

/// Decides for an instance that asks; the same question again gets the same answer.
pub fn decide(gateway: &Rc<Gateway>, instance: &str, id: BookingId, want: Want) -> Verdict {
    let now = gateway.clock.now();
    if let Some(grant) = repeated_grant(gateway, instance, id) {
        return Verdict::Granted(grant);
    }
    let key = (InstanceId::from(instance), id);
    if gateway.queue.waiters.borrow().contains_key(&key) {
        return Verdict::Queued;
    }
    gateway.note_sizes(&want);
    match grant(gateway, instance, id, &want) {
        Ok(grant) => return Verdict::Granted(grant),
        Err(NoPlan::NoEngine) => return Verdict::NoEngine,
        Err(NoPlan::NoRoom) => {}
    }
    let limit = Duration::from_millis(want.limit_ms);
    let rate = {
        let ledger = gateway.ledger.borrow();
        ledger.freeing_rate(now).max(ledger.turnover(START_TIME))
    };
    let places = rate * limit.as_secs_f64();
    let waiting = gateway.queue.len();
    let is_hopeless = waiting as f64 > places && !want.is_resumption;
    log::debug!(asker = instance, id, waiting, places, is_hopeless; "no_room");
    if is_hopeless {
        return Verdict::Hopeless;
    }
    let came_at = now.checked_sub(Duration::from_millis(want.waited_ms)).unwrap_or(now);
    let waiter = Waiter { want, came_at, until: now + limit };
    gateway.queue.waiters.borrow_mut().insert(key, waiter);
    Verdict::Queued
}

/// Returns what was granted already, if the answer was lost on its way.
fn repeated_grant(gateway: &Gateway, instance: &str, id: BookingId) -> Option<Grant> {
    let ledger = gateway.ledger.borrow();
    let booking = ledger.booking(instance, id)?;
    let (decode, prefill) = (booking.decode.clone(), booking.prefill.clone());
    Some(Grant { decode, prefill, tokens_ahead: 0 })
}

/// Grants memory to those that wait for as long as there is any.
pub fn serve_queue(gateway: &Rc<Gateway>) {
    loop {
        let first = gateway.queue.first(gateway.clock.now());
        let Some(((instance, id), want)) = first else { return };
        let verdict = match grant(gateway, &instance, id, &want) {
            Ok(grant) => Verdict::Granted(grant),
            Err(NoPlan::NoRoom) => return,
            Err(NoPlan::NoEngine) => Verdict::NoEngine,
        };
        gateway.queue.remove(&instance, id);
        gateway.answer_ask(&instance, id, verdict);
    }
}

/// Books engines for a completion.
fn grant(
    gateway: &Rc<Gateway>,
    instance: &str,
    id: BookingId,
    want: &Want,
) -> Result<Grant, NoPlan> {
    let now = gateway.clock.now();
    let candidates = gateway.engines(want);
    let prompt = Prompt {
        tokens: want.prompt_tokens,
        target: Duration::from_millis(want.target_ms),
        reading_speed: DEFAULT_READING_SPEED,
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
            tokens_ahead = candidate.unread_tokens;
        }
    }
    log::debug!(asker = instance, id, decode = &*decode, prefill:?, fill, tokens_ahead, candidates = candidates.len(); "granted");
    let booking = Booking {
        decode: decode.clone(),
        prefill: prefill.clone(),
        prompt_tokens: want.prompt_tokens,
        expected_tokens: want.expected_tokens,
        most_tokens: want.most_tokens,
        starts_at: now + START_TIME,
        booked_at: now,
        progress: None,
    };
    gateway.ledger.borrow_mut().book(instance, id, booking);
    Ok(Grant { decode, prefill, tokens_ahead })
}

/// Takes in what an asking instance says of a completion of its own.
pub fn take_news(gateway: &Rc<Gateway>, from: &str, news: &News) {
    let now = gateway.clock.now();
    match news {
        News::PromptRead(id) => gateway.ledger.borrow_mut().prompt_read(from, *id, now),
        News::Freed(id) => {
            gateway.queue.remove(from, *id);
            gateway.ledger.borrow_mut().free(from, *id, now);
            serve_queue(gateway);
        }
        News::EngineUnusable(engine) => {
            let avoided = gateway.failing.borrow_mut().report(engine, from, now);
            if let Some(avoided) = avoided {
                let avoided_ms = avoided.as_millis() as u64;
                log::warn!(server = &**engine, reporter = from, avoided_ms; "engine_avoided");
            }
        }
        _ => {}
    }
}
