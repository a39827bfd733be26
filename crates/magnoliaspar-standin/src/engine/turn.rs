use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BTreeSet;

use tokio::sync::Notify;

/// Lets one holder work at a time: those of higher priority first, then those who came first.
#[derive(Debug, Default)]
pub struct PriorityTurn {
    queue: RefCell<Queue>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: BTreeSet<(Reverse<i32>, u64)>,
    is_held: bool,
    arrivals: u64,
}

impl PriorityTurn {
    /// Waits until it is the turn of a holder of `priority`.
    pub async fn take(&self, priority: i32) -> Turn<'_> {
        let place = self.queue.borrow_mut().join(priority);
        let waiting = Waiting { turn: self, place };
        loop {
            let changed = self.changed.notified();
            if self.queue.borrow_mut().try_hold(place) {
                drop(waiting);
                return Turn { turn: self };
            }
            changed.await;
        }
    }
}

impl Queue {
    fn join(&mut self, priority: i32) -> (Reverse<i32>, u64) {
        self.arrivals += 1;
        let place = (Reverse(priority), self.arrivals);
        self.waiting.insert(place);
        place
    }

    fn try_hold(&mut self, place: (Reverse<i32>, u64)) -> bool {
        if self.is_held || self.waiting.first() != Some(&place) {
            return false;
        }
        self.is_held = true;
        true
    }
}

/// A place in the queue, which is given up when its holder stops waiting.
struct Waiting<'a> {
    turn: &'a PriorityTurn,
    place: (Reverse<i32>, u64),
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.turn.queue.borrow_mut().waiting.remove(&self.place);
        self.turn.changed.notify_waiters();
    }
}

/// The right to work.
#[derive(Debug)]
pub struct Turn<'a> {
    turn: &'a PriorityTurn,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.turn.queue.borrow_mut().is_held = false;
        self.turn.changed.notify_waiters();
    }
}
