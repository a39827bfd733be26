//! The memory that a process uses for responses, and the calls that give way when it is used up.
//!
//! The length of one response is bounded, but many long ones at once would use up the memory of the
//! machine, and with it end the requests of all callers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_http::{Memory, MemoryKind};
use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;

use crate::guarantees::{Guarantee, is_disabled};

/// Bytes that a call may always hold, so that short responses never wait for long ones.
const FREE_BYTES: usize = 32 << 10;

/// Time without any release of memory after which calls that wait for some make others give way.
const PATIENCE: Duration = Duration::from_millis(200);

/// Part of the memory that calls have to free when they give way.
const FREED_PART: usize = 4;

new_key_type! {
    /// Key of a call that holds a part of the memory.
    struct CallKey;
}

/// The bytes that all calls of a process hold for responses.
#[derive(Debug)]
pub struct ResponseMemory {
    /// The account of all memory, of which responses are a part.
    account: Rc<Memory>,
    limit: Cell<usize>,
    used: Cell<usize>,
    given_up: Cell<u64>,
    calls: RefCell<SlotMap<CallKey, Usage>>,
    /// Number of releases so far.
    releases: Cell<u64>,
    /// Notified when bytes are released.
    released: Notify,
    /// Notified when calls have to give way.
    gave_way: Notify,
}

/// The memory of one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Usage {
    /// Bytes that the call holds.
    held: usize,
    /// Bytes that its response still announces; `None` if it announces no length.
    announced: Option<u64>,
    gives_way: bool,
}

impl Usage {
    /// Returns the bytes that the call is expected to need until its response is whole. A response without a
    /// length is expected to be as long again.
    fn outstanding(&self) -> u64 {
        self.announced.unwrap_or(self.held as u64)
    }
}

impl ResponseMemory {
    /// Creates the memory of a process, in bytes, as a part of an account.
    pub fn new(limit: usize, account: Rc<Memory>) -> Rc<Self> {
        Rc::new(Self {
            account,
            limit: Cell::new(limit),
            used: Cell::new(0),
            given_up: Cell::new(0),
            calls: RefCell::default(),
            releases: Cell::new(0),
            released: Notify::new(),
            gave_way: Notify::new(),
        })
    }

    /// Returns the account of all memory.
    pub fn account(&self) -> &Rc<Memory> {
        &self.account
    }

    /// Sets the limit in bytes, which applies from the next reservation on.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Returns the number of bytes that calls hold.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Returns the number of calls that had to give way so far.
    pub fn given_up(&self) -> u64 {
        self.given_up.get()
    }

    /// Adds a call that holds nothing yet.
    pub fn share(self: &Rc<Self>) -> Share {
        let key = self.calls.borrow_mut().insert(Usage::default());
        Share { memory: self.clone(), key }
    }

    /// Adds bytes to a call, unless the memory is used up.
    fn try_hold(&self, key: CallKey, bytes: usize) -> bool {
        let mut calls = self.calls.borrow_mut();
        let usage = &mut calls[key];
        let is_free = usage.held + bytes <= FREE_BYTES || is_disabled(Guarantee::ResponseMemory);
        let room = self.account.room(MemoryKind::Responses).min(self.limit.get());
        if !is_free && self.used.get() + bytes > room {
            return false;
        }
        usage.held += bytes;
        self.account.add(MemoryKind::Responses, bytes);
        self.used.set(self.used.get() + bytes);
        true
    }

    fn release(&self, key: CallKey, bytes: usize) {
        let mut calls = self.calls.borrow_mut();
        let usage = &mut calls[key];
        let bytes = bytes.min(usage.held);
        usage.held -= bytes;
        self.account.remove(MemoryKind::Responses, bytes);
        self.used.set(self.used.get() - bytes);
        if bytes > 0 {
            self.releases.set(self.releases.get() + 1);
            self.released.notify_waiters();
        }
    }

    /// Makes calls give way, unless some already have and have not released their memory yet.
    fn make_way(&self) {
        let mut calls = self.calls.borrow_mut();
        if calls.values().any(|usage| usage.gives_way) {
            return;
        }
        for key in yielding(&calls, self.limit.get() / FREED_PART) {
            calls[key].gives_way = true;
            self.account.count_evicted(MemoryKind::Responses);
            self.given_up.set(self.given_up.get() + 1);
        }
        self.gave_way.notify_waiters();
    }
}

/// Returns the calls that give way so that `bytes` become free: first those that are furthest from the end of
/// their response, and of equal ones those that hold most.
fn yielding(calls: &SlotMap<CallKey, Usage>, bytes: usize) -> Vec<CallKey> {
    let mut order: Vec<(CallKey, Usage)> = Vec::new();
    for (key, usage) in calls {
        if usage.held > FREE_BYTES {
            order.push((key, *usage));
        }
    }
    order.sort_by_key(|(_, usage)| std::cmp::Reverse((usage.outstanding(), usage.held)));
    let mut chosen = Vec::new();
    let mut freed = 0;
    for (key, usage) in order {
        if freed >= bytes {
            break;
        }
        freed += usage.held;
        chosen.push(key);
    }
    chosen
}

/// The memory is used up, and this call has to give way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GaveWay {
    /// Bytes that the call held.
    pub held: usize,
    /// Bytes that all calls held.
    pub used: usize,
}

/// The memory of one call, which is released on drop.
#[derive(Debug)]
pub struct Share {
    memory: Rc<ResponseMemory>,
    key: CallKey,
}

impl Share {
    /// Adds bytes. Waits while the memory is used up, and fails if this call has to give way.
    pub async fn hold(&self, bytes: usize) -> Result<(), GaveWay> {
        loop {
            let released = self.memory.released.notified();
            let releases = self.memory.releases.get();
            self.check()?;
            if self.memory.try_hold(self.key, bytes) {
                return Ok(());
            }
            tokio::select! {
                () = released => {}
                gave_way = self.must_give_way() => return Err(gave_way),
                () = tokio::time::sleep(PATIENCE) => {
                    // The time of other calls may end together with this one's.
                    if releases == self.memory.releases.get() {
                        self.memory.make_way();
                    }
                }
            }
        }
    }

    /// Releases bytes.
    pub fn release(&self, bytes: usize) {
        self.memory.release(self.key, bytes);
    }

    /// Sets the number of bytes that the response still announces.
    pub fn announce(&self, bytes: Option<u64>) {
        self.memory.calls.borrow_mut()[self.key].announced = bytes;
    }

    /// Returns the number of bytes that the call holds.
    pub fn held(&self) -> usize {
        self.memory.calls.borrow()[self.key].held
    }

    /// Moves bytes of this call to one of their own, which outlives it.
    pub fn split_off(&self, bytes: usize) -> Self {
        let other = self.memory.share();
        let mut calls = self.memory.calls.borrow_mut();
        let bytes = bytes.min(calls[self.key].held);
        calls[self.key].held -= bytes;
        calls[other.key].held = bytes;
        // What is only left to be delivered is whole.
        calls[other.key].announced = Some(0);
        drop(calls);
        other
    }

    /// Waits until this call has to give way.
    pub async fn must_give_way(&self) -> GaveWay {
        loop {
            let gave_way = self.memory.gave_way.notified();
            if let Err(gave_way) = self.check() {
                return gave_way;
            }
            gave_way.await;
        }
    }

    fn check(&self) -> Result<(), GaveWay> {
        let usage = self.memory.calls.borrow()[self.key];
        match usage.gives_way {
            true => Err(GaveWay { held: usage.held, used: self.memory.used() }),
            false => Ok(()),
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.release(self.key, usize::MAX);
        self.memory.calls.borrow_mut().remove(self.key);
    }
}

#[cfg(test)]
mod tests {
    use std::rc::Rc;

    use magnoliaspar_http::Memory;

    use super::{FREE_BYTES, ResponseMemory};

    const MIB: usize = 1 << 20;

    fn memory(limit: usize) -> Rc<ResponseMemory> {
        ResponseMemory::new(limit, Memory::new(100 * MIB))
    }

    #[actix_rt::test]
    async fn short_responses_do_not_wait_for_long_ones() {
        let memory = memory(MIB);
        let long = memory.share();
        long.hold(MIB).await.unwrap();
        let short = memory.share();
        short.hold(FREE_BYTES).await.unwrap();
        assert_eq!(memory.used(), MIB + FREE_BYTES);
        drop(long);
        assert_eq!(memory.used(), FREE_BYTES);
    }

    #[actix_rt::test]
    async fn a_call_waits_for_the_memory_that_others_release() {
        let memory = memory(MIB);
        let (first, second) = (memory.share(), memory.share());
        first.hold(MIB).await.unwrap();
        let (held, ()) = tokio::join!(second.hold(MIB / 2), async { first.release(MIB / 2) });
        held.unwrap();
        assert_eq!(memory.given_up(), 0);
    }

    #[actix_rt::test]
    async fn a_response_without_end_gives_way_to_one_that_is_nearly_whole() {
        let memory = memory(4 * MIB);
        let (endless, nearly_whole) = (memory.share(), memory.share());
        endless.hold(MIB).await.unwrap();
        nearly_whole.announce(Some(MIB as u64 / 2));
        nearly_whole.hold(3 * MIB).await.unwrap();
        let (endless, whole) = tokio::join!(
            async {
                let gave_way = endless.hold(MIB).await.unwrap_err();
                drop(endless);
                gave_way
            },
            nearly_whole.hold(MIB / 2)
        );
        whole.unwrap();
        assert_eq!((endless.held, endless.used), (MIB, 4 * MIB));
        assert_eq!(memory.given_up(), 1);
    }

    #[actix_rt::test]
    async fn only_as_many_calls_give_way_as_are_needed() {
        let memory = memory(8 * MIB);
        let mut calls = Vec::new();
        for _ in 0..8 {
            let call = memory.share();
            call.hold(MIB).await.unwrap();
            calls.push(call);
        }
        let waiting = futures_util::future::join_all(calls.into_iter().map(|call| async move {
            let is_kept = call.hold(MIB / 8).await.is_ok();
            // A call that is kept holds its memory until all are decided.
            is_kept.then_some(call)
        }));
        let kept = waiting.await.into_iter().flatten().count();
        assert_eq!((kept, memory.given_up()), (6, 2));
    }
}
