//! Admits completions where engine memory is free, and keeps the others waiting.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use magnoliaspar_core::ServerKey;
use tokio::sync::oneshot;

use crate::call::Incoming;
use crate::gateway::Gateway;
use crate::ledger::{Booking, BookingId};
use crate::peers::{BookingEntry, News};
use crate::place::{DEFAULT_READING_SPEED, NoPlan, Plan, Prompt, choose_engines};
use crate::refusal::Refusal;

/// How long the first event takes once a completion is admitted, until it is measured.
const START_TIME: Duration = Duration::from_millis(250);

/// The longest wait of a completion, as a multiple of its latency target.
///
/// Callers leave a stream whose first event has not come after four times the target.
const LONGEST_WAIT_TARGETS: f64 = 3.3;

/// How much each live instance adds to the time over which instances spread their tries for freed
/// memory; about the time that a booking takes to reach the others.
const DISPATCH_SPREAD: Duration = Duration::from_millis(3);

/// How much later than expected a prompt may be read before its engine counts as failed.
const PREFILL_CAUTION: f64 = 2.5;

/// The least time that a prefill engine has for a prompt.
const MIN_PREFILL_TIME: Duration = Duration::from_millis(300);

/// A completion that may start, and its booking.
pub struct Placement {
    gateway: Rc<Gateway>,
    id: BookingId,
    /// Which engines run it.
    pub plan: Plan,
    /// How long the prefill engine may take.
    pub prefill_patience: Duration,
}

impl Placement {
    /// Takes in that the prompt was read.
    pub fn prompt_read(&self) {
        let now = self.gateway.clock.now();
        let instance = self.gateway.settings().instance.clone();
        self.gateway.ledger.borrow_mut().prompt_read(&instance, self.id, now);
        self.gateway.tell_peers(News::PromptRead(self.id));
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let instance = self.gateway.settings().instance.clone();
        self.gateway.ledger.borrow_mut().free(&instance, self.id, now);
        self.gateway.tell_peers(News::Freed(self.id));
        self.gateway.memory_freed();
    }
}

/// Completions that wait for engine memory.
#[derive(Default)]
pub struct Waiting {
    waiters: RefCell<BTreeMap<u64, Waiter>>,
    next: RefCell<u64>,
}

struct Waiter {
    req: Rc<Incoming>,
    tried: Vec<ServerKey>,
    is_resumption: bool,
    placed: oneshot::Sender<Result<Placement, Refusal>>,
}

impl Waiting {
    /// Returns the number of completions that wait.
    pub fn len(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.borrow().is_empty()
    }

    fn add(&self, waiter: Waiter) -> u64 {
        let mut next = self.next.borrow_mut();
        *next += 1;
        self.waiters.borrow_mut().insert(*next, waiter);
        *next
    }

    /// Returns who goes first: resumptions, then the newest that can still be on time, then the
    /// oldest of the others.
    ///
    /// Answers bursts: served in order of arrival, all would wait until none is on time.
    fn first(&self, now: Instant) -> Option<u64> {
        let waiters = self.waiters.borrow();
        let mut best: Option<((u8, i128), u64)> = None;
        for (id, waiter) in waiters.iter() {
            if waiter.placed.is_closed() {
                continue;
            }
            let rank = rank(waiter, now);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, *id));
            }
        }
        best.map(|(_, id)| id)
    }
}

fn rank(waiter: &Waiter, now: Instant) -> (u8, i128) {
    let waited = now.saturating_duration_since(waiter.req.received);
    let waited_us = waited.as_micros() as i128;
    if waiter.is_resumption {
        return (0, -waited_us);
    }
    match waited + START_TIME <= waiter.req.route.target_latency {
        true => (1, waited_us),
        false => (2, -waited_us),
    }
}

/// Books engines for a completion, and waits for memory if there is none.
pub async fn admit(
    gateway: &Rc<Gateway>,
    req: &Rc<Incoming>,
    tried: &[ServerKey],
    is_resumption: bool,
) -> Result<Placement, Refusal> {
    match place(gateway, req, tried) {
        Ok(placement) => return Ok(placement),
        Err(NoPlan::NoEngine) => return Err(Refusal::NoServer),
        Err(NoPlan::NoRoom) => {}
    }
    let now = gateway.clock.now();
    let longest = req.route.target_latency.mul_f64(LONGEST_WAIT_TARGETS);
    let limit = (req.received + longest).min(req.deadline).saturating_duration_since(now);
    let waiting = gateway.waiting.len();
    let rate = gateway.ledger.borrow().freeing_rate(now) / gateway.live_instances() as f64;
    let is_hopeless = waiting as f64 > rate * limit.as_secs_f64();
    let request = &*req.facts.id;
    let wait_limit_ms = limit.as_millis() as u64;
    if is_hopeless && !is_resumption {
        log::info!(request, waiting, rate, wait_limit_ms; "not_admitted");
        return Err(Refusal::NoCapacity);
    }
    log::info!(request, waiting, rate, wait_limit_ms; "waits_for_memory");
    let (tx, rx) = oneshot::channel();
    let waiter = Waiter { req: req.clone(), tried: tried.to_vec(), is_resumption, placed: tx };
    let id = gateway.waiting.add(waiter);
    let _guard = WaiterGuard { gateway: gateway.clone(), id };
    match tokio::time::timeout(limit, rx).await {
        Ok(Ok(placed)) => placed,
        Ok(Err(_)) | Err(_) => Err(Refusal::NoCapacity),
    }
}

/// Removes a waiter also when its caller leaves.
struct WaiterGuard {
    gateway: Rc<Gateway>,
    id: u64,
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        self.gateway.waiting.waiters.borrow_mut().remove(&self.id);
    }
}

/// Tries to place one that waits, a moment later, and goes on for as long as there is room.
///
/// Instances that all filled the same engine at once would book it several times over, so each
/// places one at a time and hears of the others' bookings in between.
pub fn dispatch_soon(gateway: Rc<Gateway>) {
    if gateway.waiting.is_empty() || gateway.is_dispatching.replace(true) {
        return;
    }
    actix_rt::spawn(async move {
        loop {
            let others = gateway.live_instances() - 1;
            let spread = DISPATCH_SPREAD * u32::try_from(others).unwrap_or(u32::MAX);
            tokio::time::sleep(spread.mul_f64(gateway.draw())).await;
            if !dispatch_one(&gateway) {
                break;
            }
        }
        gateway.is_dispatching.set(false);
    });
}

/// Places the one that goes first; returns whether another one could be tried.
fn dispatch_one(gateway: &Rc<Gateway>) -> bool {
    let Some(id) = gateway.waiting.first(gateway.clock.now()) else { return false };
    let (req, tried) = {
        let waiters = gateway.waiting.waiters.borrow();
        let Some(waiter) = waiters.get(&id) else { return false };
        (waiter.req.clone(), waiter.tried.clone())
    };
    let placed = match place(gateway, &req, &tried) {
        Ok(placement) => Ok(placement),
        Err(NoPlan::NoRoom) => return false,
        Err(NoPlan::NoEngine) => Err(Refusal::NoServer),
    };
    let waiter = gateway.waiting.waiters.borrow_mut().remove(&id);
    let Some(waiter) = waiter else { return false };
    let waited_ms = (gateway.clock.now() - req.received).as_millis() as u64;
    log::info!(request = &*req.facts.id, waited_ms; "admitted_after_wait");
    // A caller that has just left drops the placement, which frees its booking.
    drop(waiter.placed.send(placed));
    true
}

fn place(gateway: &Rc<Gateway>, req: &Incoming, tried: &[ServerKey]) -> Result<Placement, NoPlan> {
    let now = gateway.clock.now();
    let candidates = gateway.engines(&req.service, tried, &req.facts);
    let prompt = Prompt {
        tokens: req.facts.prompt_tokens,
        target: req.route.target_latency,
        reading_speed: DEFAULT_READING_SPEED,
    };
    let plan = gateway.with_rng(|rng| choose_engines(&candidates, prompt, rng))?;
    let (decode, prefill) = {
        let directory = gateway.directory.borrow();
        let id = |key| directory.get(key).map(|server| server.record.id.clone());
        let prefill = match plan {
            Plan::Split { prefill, .. } => id(prefill),
            Plan::Decode(_) => None,
        };
        (id(plan.decode()).ok_or(NoPlan::NoEngine)?, prefill)
    };
    let mut fill = 0.0;
    let mut unread = 0;
    for candidate in &candidates {
        if candidate.key == plan.decode() {
            fill = candidate.fill;
        }
        if matches!(plan, Plan::Split { prefill, .. } if prefill == candidate.key) {
            unread = candidate.unread_tokens;
        }
    }
    log::info!(request = &*req.facts.id, decode = &*decode, prefill:? = prefill, fill, unread, candidates = candidates.len(), instances = gateway.live_instances(); "placed");
    let booking = Booking {
        decode,
        prefill,
        prompt_tokens: req.facts.prompt_tokens,
        expected_tokens: req.facts.expected_tokens,
        most_tokens: req.facts.most_tokens,
        starts_at: now + START_TIME,
    };
    let id = gateway.next_booking();
    gateway.tell_peers(News::Booked(id, BookingEntry::new(&booking, now)));
    let instance = gateway.settings().instance.clone();
    gateway.ledger.borrow_mut().book(&instance, id, booking);
    let reading = (unread + req.facts.prompt_tokens) as f64 / DEFAULT_READING_SPEED / 1_000.0;
    let prefill_patience = MIN_PREFILL_TIME + Duration::from_secs_f64(reading * PREFILL_CAUTION);
    Ok(Placement { gateway: gateway.clone(), id, plan, prefill_patience })
}
