//! The stream of one engine, read as whole events.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;

use crate::admission::Placement;
use crate::call::{Incoming, Reply};
use crate::events::EventBuffer;
use crate::evidence::{Ending, StreamEnd};
use crate::exchange::CallError;
use crate::gateway::Gateway;

/// The stream of one engine.
pub struct EngineStream {
    /// The response, whose head has been read.
    pub reply: Reply,
    /// The engine's reservation.
    pub placement: Placement,
    /// The events read so far.
    pub events: EventBuffer,
    /// Whether the engine has sent a whole event.
    pub has_event: bool,
    /// Whether the stream continues after an event that another engine has sent.
    is_continuation: bool,
    /// The time of the last sign of the engine: the head, or bytes of the body.
    pub heard_at: Rc<Cell<Instant>>,
}

impl EngineStream {
    /// Creates the stream of an engine that has begun to respond; `last_event` is the id of the event after which
    /// it goes on.
    pub fn begin(
        gateway: &Gateway,
        reply: Reply,
        placement: Placement,
        last_event: Option<u64>,
    ) -> Box<Self> {
        Box::new(Self {
            reply,
            placement,
            events: EventBuffer::after(last_event),
            has_event: false,
            is_continuation: last_event.is_some(),
            heard_at: Rc::new(Cell::new(gateway.clock.now())),
        })
    }

    /// Returns the next whole events, or `None` after the last one. Fails at the deadline of the request, and if
    /// the stream is not whole.
    pub async fn next(
        &mut self,
        gateway: &Rc<Gateway>,
        req: &Incoming,
    ) -> Result<Option<Bytes>, CallError> {
        loop {
            let remaining = req.remaining(gateway.clock.now());
            if remaining.is_zero() {
                // A timeout does not end a stream that always has bytes ready.
                return Err(CallError::TimedOut);
            }
            let read = tokio::time::timeout(remaining, self.reply.body.chunk()).await;
            let Some(chunk) = read.unwrap_or(Err(CallError::TimedOut))? else {
                let remaining = req.remaining(gateway.clock.now());
                let ending = self.ending();
                let confirm = self.reply.confirm_end(ending);
                let confirmed = tokio::time::timeout(remaining, confirm).await;
                return confirmed.unwrap_or(Err(CallError::TimedOut)).map(|()| None);
            };
            self.heard_at.set(gateway.clock.now());
            let (held, length) = (self.events.held(), chunk.len());
            let remaining = req.remaining(gateway.clock.now());
            let hold = tokio::time::timeout(remaining, self.reply.body.hold(length));
            hold.await.unwrap_or(Err(CallError::TimedOut))?;
            let events = self.events.push(chunk);
            let delivered = events.as_ref().map_or(0, Bytes::len);
            // What is neither delivered nor a part of the next event was dropped.
            let dropped = held + length - delivered - self.events.held();
            self.reply.body.release(dropped);
            if self.events.lacks_progress() {
                return Err(CallError::Malformed("a stream without further events".into()));
            }
            if let Some(events) = events {
                self.record_events(gateway, req);
                return Ok(Some(events));
            }
        }
    }

    fn ending(&self) -> Ending {
        Ending::of_stream(StreamEnd {
            is_delimited: self.reply.body.is_delimited(),
            is_event_stream: self.reply.is_event_stream(),
            is_inside_event: self.events.has_partial(),
            has_event: self.has_event,
            is_continuation: self.is_continuation,
        })
    }

    /// Records the arrival of events.
    fn record_events(&mut self, gateway: &Gateway, req: &Incoming) {
        if !std::mem::replace(&mut self.has_event, true) {
            self.placement.start(req);
            let elapsed = gateway.clock.now() - req.received;
            gateway.metrics.observe(req.route.kind.as_str(), "first_event", elapsed);
        }
        let per_event = gateway.last_engine_spec(&req.service);
        let per_event = per_event.map_or(1, |spec| spec.tokens_per_event);
        let tokens = self.events.last_id().unwrap_or(0).saturating_mul(per_event);
        self.placement.record_tokens(tokens);
    }
}
