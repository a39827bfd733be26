//! Counts the requests of callers that are in progress.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;

/// The number of requests in progress, up to the last byte of their answers.
#[derive(Debug, Clone, Default)]
pub struct InProgress(Rc<Cell<usize>>);

impl InProgress {
    /// Counts a request until the returned guard is dropped.
    pub fn enter(&self) -> InProgressGuard {
        self.0.set(self.0.get() + 1);
        InProgressGuard(self.0.clone())
    }

    /// Returns the number of requests in progress.
    pub fn count(&self) -> usize {
        self.0.get()
    }
}

/// Guard of a request that counts as in progress.
#[derive(Debug)]
pub struct InProgressGuard(Rc<Cell<usize>>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A response body whose request counts as in progress until the body was sent or dropped.
pub struct CountedBody {
    body: BoxBody,
    _guard: InProgressGuard,
}

impl CountedBody {
    /// Wraps a body, which keeps the guard of its request.
    pub fn new(body: BoxBody, guard: InProgressGuard) -> Self {
        Self { body, _guard: guard }
    }
}

impl MessageBody for CountedBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::InProgress;

    #[test]
    fn a_dropped_guard_is_not_counted() {
        let progress = InProgress::default();
        let guard = progress.enter();
        assert_eq!(progress.count(), 1);
        drop(guard);
        assert_eq!(progress.count(), 0);
    }
}
