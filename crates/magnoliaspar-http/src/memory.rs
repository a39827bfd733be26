//! The account of the memory that grows with load, and the choice of what gives way when it is used up.
//!
//! Bodies of requests, responses and connections share one limit. Each kind has a part that the others can't
//! take, so that callers that use up one kind don't keep the others from service.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;

/// Number of kinds.
const KINDS: usize = 3;

/// Part of the limit that each kind always has. At 88 MB it holds a body of 4 MiB.
const GUARANTEED_PART: usize = 10;

/// Part of what bodies may hold that is left to short ones.
const SHORT_PART: usize = 8;

/// Maximum length of a body that counts as short, in bytes.
const SHORT_BYTES: usize = 32 << 10;

/// Silence after which a caller may be evicted. A caller that sends or reads pauses less, unless it loses packets.
pub const MIN_SILENCE: Duration = Duration::from_secs(1);

/// Time that evicted callers have to release their memory. They do when their task runs next.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);

new_key_type! {
    /// Key of a body that holds a part of the memory.
    struct BodyKey;
}

/// What memory is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryKind {
    /// Bodies of requests, while they are read, wait and are sent.
    Requests,
    /// Responses of servers.
    Responses,
    /// Connections of callers, with their buffers and what a request in hand needs beside its body.
    Connections,
}

impl MemoryKind {
    /// All kinds.
    pub const ALL: [Self; KINDS] = [Self::Requests, Self::Responses, Self::Connections];

    /// Returns the name of the kind in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Responses => "responses",
            Self::Connections => "connections",
        }
    }
}

/// What is known of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// Bytes that are held.
    pub held: usize,
    /// Number of refusals for lack of memory.
    pub refused: u64,
    /// Number of callers that were evicted.
    pub evicted: u64,
}

/// The memory that a process uses for requests, responses and connections.
#[derive(Debug)]
pub struct Memory {
    limit: Cell<usize>,
    usage: [Cell<MemoryUsage>; KINDS],
    bodies: RefCell<SlotMap<BodyKey, Body>>,
    /// Notified when the memory of a body is released.
    released: Notify,
    /// Notified when callers are evicted.
    evicted: Notify,
}

/// The body of one request.
#[derive(Debug, Clone, Copy)]
struct Body {
    held: usize,
    /// The time at which the caller sent something last; `None` once the body is whole.
    silent_since: Option<Instant>,
    is_evicted: bool,
}

impl Memory {
    /// Creates the memory of a process, in bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit: Cell::new(limit),
            usage: Default::default(),
            bodies: RefCell::default(),
            released: Notify::new(),
            evicted: Notify::new(),
        })
    }

    /// Sets the limit in bytes, which applies from the next use on.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Returns the limit of all kinds together, in bytes.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Returns what is known of a kind.
    pub fn usage(&self, kind: MemoryKind) -> MemoryUsage {
        self.usage[kind as usize].get()
    }

    /// Returns the bytes that a kind may hold now: what the others neither hold nor are guaranteed.
    pub fn room(&self, kind: MemoryKind) -> usize {
        let guaranteed = self.limit.get() / GUARANTEED_PART;
        let mut room = self.limit.get();
        for other in MemoryKind::ALL {
            if other != kind {
                room = room.saturating_sub(self.usage(other).held.max(guaranteed));
            }
        }
        room.max(guaranteed)
    }

    /// Adds bytes to what a kind holds, unless there is no room for them.
    pub fn try_add(&self, kind: MemoryKind, bytes: usize) -> bool {
        let fits = self.usage(kind).held + bytes <= self.room(kind);
        if fits {
            self.add(kind, bytes);
        }
        fits
    }

    /// Adds bytes to what a kind holds, whether or not there is room for them.
    pub fn add(&self, kind: MemoryKind, bytes: usize) {
        self.change(kind, |usage| usage.held += bytes);
    }

    /// Removes bytes from what a kind holds.
    pub fn remove(&self, kind: MemoryKind, bytes: usize) {
        self.change(kind, |usage| usage.held = usage.held.saturating_sub(bytes));
    }

    /// Counts a refusal for lack of memory.
    pub fn count_refused(&self, kind: MemoryKind) {
        self.change(kind, |usage| usage.refused += 1);
    }

    /// Counts a caller that was evicted.
    pub fn count_evicted(&self, kind: MemoryKind) {
        self.change(kind, |usage| usage.evicted += 1);
    }

    fn change(&self, kind: MemoryKind, change: impl FnOnce(&mut MemoryUsage)) {
        let mut usage = self.usage(kind);
        change(&mut usage);
        self.usage[kind as usize].set(usage);
    }

    /// Adds the body of a request that holds nothing yet.
    pub fn body(self: &Rc<Self>, now: Instant) -> BodyShare {
        let body = Body { held: 0, silent_since: Some(now), is_evicted: false };
        let key = self.bodies.borrow_mut().insert(body);
        BodyShare { memory: self.clone(), key }
    }

    fn try_hold(&self, key: BodyKey, bytes: usize) -> bool {
        let mut bodies = self.bodies.borrow_mut();
        let body = &mut bodies[key];
        let room = self.room(MemoryKind::Requests);
        let is_short = body.held + bytes <= SHORT_BYTES;
        let room = if is_short { room } else { room - room / SHORT_PART };
        if self.usage(MemoryKind::Requests).held + bytes > room {
            return false;
        }
        body.held += bytes;
        self.add(MemoryKind::Requests, bytes);
        true
    }

    /// Evicts callers that are silent within their bodies, and returns whether there were any.
    fn evict(&self, bytes: usize, now: Instant) -> bool {
        let mut bodies = self.bodies.borrow_mut();
        let mut candidates = Vec::new();
        for (key, body) in &*bodies {
            let Some(since) = body.silent_since.filter(|_| !body.is_evicted) else { continue };
            let silence = now.saturating_duration_since(since);
            candidates.push(Candidate { key, silence, held: body.held });
        }
        let chosen = choose_evicted(candidates, bytes);
        for key in &chosen {
            bodies[*key].is_evicted = true;
            self.count_evicted(MemoryKind::Requests);
        }
        self.evicted.notify_waiters();
        !chosen.is_empty()
    }
}

/// A caller that may be evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Candidate<K> {
    key: K,
    silence: Duration,
    held: usize,
}

/// Returns the callers to evict so that `bytes` become free: those that are silent, the longest first, by the
/// second, and of those the largest.
fn choose_evicted<K>(mut candidates: Vec<Candidate<K>>, bytes: usize) -> Vec<K> {
    candidates.retain(|candidate| candidate.silence >= MIN_SILENCE && candidate.held > 0);
    candidates
        .sort_by_key(|candidate| std::cmp::Reverse((candidate.silence.as_secs(), candidate.held)));
    let mut freed = 0;
    let mut chosen = Vec::new();
    for candidate in candidates {
        if freed >= bytes {
            break;
        }
        freed += candidate.held;
        chosen.push(candidate.key);
    }
    chosen
}

/// There is no memory for the body of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoMemory;

/// The memory of the body of a request, which is released on drop.
#[derive(Debug)]
pub struct BodyShare {
    memory: Rc<Memory>,
    key: BodyKey,
}

impl BodyShare {
    /// Adds bytes, for which callers that are silent are evicted.
    pub async fn hold(&self, bytes: usize, now: Instant) -> Result<(), NoMemory> {
        if self.memory.try_hold(self.key, bytes) {
            return Ok(());
        }
        let is_held = self.memory.evict(bytes, now) && self.hold_released(bytes).await;
        if !is_held {
            self.memory.count_refused(MemoryKind::Requests);
        }
        if is_held { Ok(()) } else { Err(NoMemory) }
    }

    /// Adds bytes once callers that were evicted have released them.
    async fn hold_released(&self, bytes: usize) -> bool {
        let held = async {
            loop {
                let released = self.memory.released.notified();
                if self.memory.try_hold(self.key, bytes) {
                    return;
                }
                released.await;
            }
        };
        tokio::time::timeout(RELEASE_TIMEOUT, held).await.is_ok()
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.memory.bodies.borrow()[self.key].held
    }

    /// Records that the caller has sent something.
    pub fn record_activity(&self, now: Instant) {
        self.memory.bodies.borrow_mut()[self.key].silent_since = Some(now);
    }

    /// Records that the body is whole. Its caller is not evicted any more.
    pub fn finish(&self) {
        self.memory.bodies.borrow_mut()[self.key].silent_since = None;
    }

    /// Waits until the caller is evicted.
    pub async fn evicted(&self) {
        loop {
            let evicted = self.memory.evicted.notified();
            if self.memory.bodies.borrow()[self.key].is_evicted {
                return;
            }
            evicted.await;
        }
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        let body = self.memory.bodies.borrow_mut().remove(self.key);
        self.memory.remove(MemoryKind::Requests, body.map_or(0, |body| body.held));
        self.memory.released.notify_waiters();
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::{Candidate, Memory, MemoryKind, NoMemory, choose_evicted};

    const MIB: usize = 1 << 20;

    #[test]
    fn each_kind_keeps_its_part_while_another_takes_the_rest() {
        let memory = Memory::new(100 * MIB);
        assert!(memory.try_add(MemoryKind::Requests, 80 * MIB));
        assert!(!memory.try_add(MemoryKind::Requests, 1));
        assert!(memory.try_add(MemoryKind::Responses, 10 * MIB));
        assert!(!memory.try_add(MemoryKind::Responses, 1));
        assert!(memory.try_add(MemoryKind::Connections, 10 * MIB));
    }

    #[test]
    fn the_longest_silent_are_evicted_first_and_of_those_the_largest() {
        let candidate = |key, millis, held| {
            let silence = Duration::from_millis(millis);
            Candidate { key, silence, held }
        };
        let all = vec![
            candidate("sends", 900, 9),
            candidate("short", 2_900, 1),
            candidate("long", 2_100, 5),
            candidate("recent", 1_500, 7),
            candidate("empty", 9_000, 0),
        ];
        assert_eq!(choose_evicted(all.clone(), 5), ["long"]);
        assert_eq!(choose_evicted(all, 100), ["long", "short", "recent"]);
    }

    #[actix_rt::test]
    async fn silent_bodies_give_way_and_others_do_not() {
        let memory = Memory::new(100 * MIB);
        let start = Instant::now();
        let later = start + Duration::from_secs(5);
        let (silent, whole, active) = (memory.body(start), memory.body(start), memory.body(start));
        for body in [&silent, &whole, &active] {
            body.hold(20 * MIB, start).await.unwrap();
        }
        whole.finish();
        active.record_activity(later);
        let next = memory.body(later);
        let (held, ()) = tokio::join!(next.hold(20 * MIB, later), async {
            silent.evicted().await;
            drop(silent);
        });
        held.unwrap();
        assert_eq!(next.hold(20 * MIB, later).await, Err(NoMemory));
        // Long bodies leave room for short ones.
        memory.body(later).hold(1, later).await.unwrap();
        let usage = memory.usage(MemoryKind::Requests);
        assert_eq!((usage.held, usage.refused, usage.evicted), (60 * MIB, 1, 1));
    }
}
