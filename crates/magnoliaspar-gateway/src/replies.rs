//! Requests to another instance whose replies are awaited.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::oneshot;

/// Number of a request, unique among those of one kind within its instance.
pub type RequestNumber = u64;

/// The requests of one kind that have no reply so far.
#[derive(Debug)]
pub struct Replies<T> {
    next: Cell<RequestNumber>,
    pending: RefCell<BTreeMap<RequestNumber, oneshot::Sender<T>>>,
}

impl<T> Default for Replies<T> {
    fn default() -> Self {
        Self { next: Cell::new(0), pending: RefCell::default() }
    }
}

impl<T> Replies<T> {
    /// Sends a request with its number by `send`, and waits for the reply; returns `None` if there is none within
    /// `timeout`.
    pub async fn request(&self, timeout: Duration, send: impl FnOnce(RequestNumber)) -> Option<T> {
        let number = self.next.get();
        self.next.set(number.wrapping_add(1));
        let (tx, replied) = oneshot::channel();
        self.pending.borrow_mut().insert(number, tx);
        let _pending = Pending { replies: self, number };
        send(number);
        tokio::time::timeout(timeout, replied).await.ok()?.ok()
    }

    /// Delivers a reply to the request that waits for it.
    pub fn receive(&self, number: RequestNumber, reply: T) {
        let waiter = self.pending.borrow_mut().remove(&number);
        if waiter.is_none_or(|waiter| waiter.send(reply).is_err()) {
            log::debug!(number; "reply_not_awaited");
        }
    }
}

/// Removes a request on drop.
struct Pending<'a, T> {
    replies: &'a Replies<T>,
    number: RequestNumber,
}

impl<T> Drop for Pending<'_, T> {
    fn drop(&mut self) {
        self.replies.pending.borrow_mut().remove(&self.number);
    }
}
