//! An async lock that is granted by priority.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BTreeSet;

use tokio::sync::Notify;

/// An async lock that is granted by priority, highest first, and then in order of arrival.
#[derive(Debug, Default)]
pub struct PriorityLock {
    queue: RefCell<Queue>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: BTreeSet<(Reverse<i32>, u64)>,
    is_locked: bool,
    arrivals: u64,
}

impl PriorityLock {
    /// Waits for the lock; dropping the future leaves the queue.
    pub async fn acquire(&self, priority: i32) -> PriorityGuard<'_> {
        let position = self.queue.borrow_mut().enqueue(priority);
        let waiter = Waiter { lock: self, position };
        loop {
            let changed = self.changed.notified();
            if self.queue.borrow_mut().try_lock(position) {
                drop(waiter);
                return PriorityGuard { lock: self };
            }
            changed.await;
        }
    }
}

impl Queue {
    fn enqueue(&mut self, priority: i32) -> (Reverse<i32>, u64) {
        self.arrivals += 1;
        let position = (Reverse(priority), self.arrivals);
        self.waiting.insert(position);
        position
    }

    fn try_lock(&mut self, position: (Reverse<i32>, u64)) -> bool {
        if self.is_locked || self.waiting.first() != Some(&position) {
            return false;
        }
        self.is_locked = true;
        true
    }
}

/// An entry of the queue, which is removed on drop, also when the waiting future is cancelled.
struct Waiter<'a> {
    lock: &'a PriorityLock,
    position: (Reverse<i32>, u64),
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.lock.queue.borrow_mut().waiting.remove(&self.position);
        self.lock.changed.notify_waiters();
    }
}

/// Holds the lock until it is dropped.
#[derive(Debug)]
pub struct PriorityGuard<'a> {
    lock: &'a PriorityLock,
}

impl Drop for PriorityGuard<'_> {
    fn drop(&mut self) {
        self.lock.queue.borrow_mut().is_locked = false;
        self.lock.changed.notify_waiters();
    }
}
