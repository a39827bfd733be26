//! A response body that reports its delivery.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;

/// A body that calls back when the connection takes it to write it to the caller.
pub struct DeliveredBody {
    content: Option<Bytes>,
    size: u64,
    on_taken: Option<Box<dyn FnOnce()>>,
}

impl DeliveredBody {
    /// Creates a body; `on_taken` is called once, or never if the caller disconnects first.
    pub fn new(content: Bytes, on_taken: Box<dyn FnOnce()>) -> Self {
        let size = content.len() as u64;
        Self { content: Some(content), size, on_taken: Some(on_taken) }
    }
}

impl MessageBody for DeliveredBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.size)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let Some(content) = self.content.take() else { return Poll::Ready(None) };
        if let Some(on_taken) = self.on_taken.take() {
            on_taken();
        }
        Poll::Ready(Some(Ok(content)))
    }
}
