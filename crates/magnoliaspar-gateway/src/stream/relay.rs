//! Forwards the stream of a completion to its caller, and goes on at another engine when one fails.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use actix_http::Response;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use displaydoc::Display;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::{Attempts, Missing, Opened, Raced};
use crate::call::{Incoming, keep_connection};
use crate::engine_stream::EngineStream;
use crate::gateway::Gateway;
use crate::response_memory::Share;
use crate::shutdown::DropCause;

/// Maximum length of what is handed to the connection of the caller at once, in bytes.
const MAX_PIECE_BYTES: usize = 16 << 10;

/// Reason why a stream ends before its last event.
#[derive(Debug, Clone, Copy)]
#[derive(Display)]
pub(super) enum RelayError {
    /// the stream broke off
    Broken,
}

impl std::error::Error for RelayError {}

/// Whole events on their way to the caller, with the memory that they hold.
struct Delivery {
    events: Bytes,
    share: Option<Share>,
}

/// A part of the stream, or its end in order.
enum Part {
    Events(Delivery),
    End,
}

/// A stream that is forwarded to the caller.
pub(super) struct Relay {
    pub gateway: Rc<Gateway>,
    pub req: Rc<Incoming>,
    pub attempts: Attempts,
    /// The engine that runs the completion.
    pub current: Option<Box<EngineStream>>,
    /// Events of the engine that were read before its stream is forwarded; the inner value is `None` after the
    /// last one.
    pub ready: Option<Option<Bytes>>,
    /// The pauses between the events so far.
    pub pauses: Pauses,
    /// The course of the stream, which its body reports.
    pub course: Rc<RelayCourse>,
}

/// The course of a stream that is forwarded.
#[derive(Debug, Default)]
pub(super) struct RelayCourse {
    /// Id of the last event that an engine has sent.
    last_event: Cell<Option<u64>>,
    /// Whether a line in the log says why the stream ends before its last event.
    is_reported: Cell<bool>,
}

/// The pauses between the events of a stream, of all its engines.
#[derive(Debug, Default)]
pub(super) struct Pauses {
    last_events_at: Option<Instant>,
    longest: Duration,
}

impl Pauses {
    /// Records that events have arrived.
    fn record_events(&mut self, now: Instant) {
        if let Some(last) = self.last_events_at.replace(now) {
            self.longest = self.longest.max(now.saturating_duration_since(last));
        }
    }
}

impl Relay {
    /// Forwards the stream as the body of a response.
    ///
    /// A task of its own reads the stream, since a body is not polled while the caller does not read.
    pub fn into_response(self, response: Response<BoxBody>) -> Response<BoxBody> {
        let (tx, rx) = mpsc::channel(1);
        let course = self.course.clone();
        let (gateway, req) = (self.gateway.clone(), self.req.clone());
        let reader = actix_rt::spawn(self.run(tx));
        let body =
            RelayedBody { gateway, req, course, rx, reader, delivery: None, has_ended: false };
        response.set_body(body.boxed())
    }

    /// Reads the stream until its end, and sends it to the body.
    async fn run(mut self, tx: mpsc::Sender<Part>) {
        loop {
            let part = match self.next().await {
                Ok(Some(events)) => Part::Events(self.delivery(events)),
                Ok(None) => Part::End,
                // The body takes the end of the channel for a failure.
                Err(RelayError::Broken) => return,
            };
            let is_end = matches!(part, Part::End);
            if !self.send(&tx, part).await || is_end {
                return;
            }
        }
    }

    /// Moves the memory of events to them.
    fn delivery(&self, events: Bytes) -> Delivery {
        let engine = self.current.as_ref();
        let share = engine.and_then(|engine| engine.reply.body.split_share(events.len()));
        Delivery { events, share }
    }

    /// Sends a part once the caller has read what is before it; returns whether the stream goes on.
    ///
    /// Beyond the deadline, and when the memory for responses is used up, the engine is given up, and the caller
    /// gets what is ready.
    async fn send(&mut self, tx: &mpsc::Sender<Part>, part: Part) -> bool {
        let remaining = self.req.remaining(self.gateway.clock.now());
        let sent = tx.send(part);
        tokio::pin!(sent);
        let reason = match &self.current {
            None => return sent.await.is_ok(),
            Some(engine) => tokio::select! {
                biased;
                sent = &mut sent => return sent.is_ok(),
                () = tokio::time::sleep(remaining) => "the deadline".into(),
                error = engine.reply.body.must_give_way() => error.to_string(),
            },
        };
        let request = &*self.req.facts.id;
        log::warn!(request, reason, last_event:? = self.last_event(); "unread_stream_cut");
        self.course.is_reported.set(true);
        self.current = None;
        // The body reports the failure after this part.
        drop(sent.await);
        false
    }

    fn last_event(&self) -> Option<u64> {
        self.current.as_ref()?.events.last_id()
    }

    /// Returns the next complete events, or `None` after the last one.
    async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        let Some(engine) = self.current.take() else { return Ok(None) };
        if let Some(events) = self.ready.take() {
            return Ok(self.deliver(Opened { engine, events }));
        }
        let (gateway, req) = (self.gateway.clone(), self.req.clone());
        let cx = super::Context { gateway: &gateway, req: &req };
        let last_event = engine.events.last_id();
        let resumed = match self.attempts.next_events(cx, engine).await {
            Raced::First(Ok(opened)) => return Ok(self.deliver(opened)),
            Raced::First(Err(_)) if self.may_resume() => self.attempts.open(cx, last_event).await,
            Raced::First(Err(error)) => Err(self.attempts.lacks_engine(&req, &gateway, &error)),
            Raced::Successor(opened) => Ok(opened),
            Raced::Lost(refusal) => Err(refusal),
        };
        match resumed {
            Ok(opened) => {
                gateway.metrics.resumptions.inc();
                log::info!(request = &*req.facts.id, last_event:?; "stream_resumed");
                Ok(self.deliver(opened))
            }
            Err(refusal) => {
                let failure = self.attempts.failure.take();
                let status = failure.map(|failure| failure.response.status().as_u16());
                let missing = self.attempts.missing.map_or("none", Missing::as_str);
                log::warn!(request = &*req.facts.id, reason:% = refusal, missing, last_event:?, status:?; "stream_not_resumed");
                self.course.is_reported.set(true);
                gateway.metrics.count_request(req.route.kind.as_str(), "broken");
                Err(RelayError::Broken)
            }
        }
    }

    /// Returns whether a stream that has failed may go on at another engine.
    fn may_resume(&self) -> bool {
        let remaining = self.req.remaining(self.gateway.clock.now());
        self.attempts.allows_attempt(&self.req.route) && !remaining.is_zero()
    }

    /// Returns the events of an engine, whose stream goes on unless they are the end.
    fn deliver(&mut self, opened: Opened) -> Option<Bytes> {
        match opened.events {
            Some(_) => {
                self.course.last_event.set(opened.engine.events.last_id());
                self.pauses.record_events(self.gateway.clock.now());
                self.current = Some(opened.engine);
            }
            None => self.finish(opened.engine),
        }
        opened.events
    }

    /// Records the end of a whole stream, and keeps the connection to its engine.
    fn finish(&self, engine: Box<EngineStream>) {
        let now = self.gateway.clock.now();
        let EngineStream { reply, events, placement: _placement, .. } = *engine;
        let kind = self.req.route.kind.as_str();
        self.gateway.metrics.observe(kind, "whole", now - self.req.received);
        self.gateway.metrics.count_request(kind, "answered");
        let elapsed_ms = (now - self.req.received).as_millis() as u64;
        let last_event = events.last_id();
        let server = reply.guard.server;
        let name = self.gateway.server_name(server);
        let framing = reply.body.framing_name();
        let runs = self.attempts.tally.runs;
        let longest_pause_ms = self.pauses.longest.as_millis() as u64;
        log::info!(request = &*self.req.facts.id, server = &*name, framing, elapsed_ms, longest_pause_ms, last_event:?, runs; "stream_ended");
        let idle_timeout = reply.facts.idle_timeout;
        keep_connection(&self.gateway, server, reply.body, idle_timeout);
    }
}

/// The body of a response whose stream another task reads.
struct RelayedBody {
    gateway: Rc<Gateway>,
    req: Rc<Incoming>,
    course: Rc<RelayCourse>,
    rx: mpsc::Receiver<Part>,
    reader: JoinHandle<()>,
    /// Events of which a part was handed to the connection.
    delivery: Option<Delivery>,
    has_ended: bool,
}

impl RelayedBody {
    /// Logs and counts a stream that ends before its last event, unless a line says why.
    fn report_dropped(&self, cause: DropCause) {
        if self.course.is_reported.replace(true) {
            return;
        }
        let state = &self.req.state;
        let (request, server) = (&**state.id.borrow(), &**state.server.borrow());
        let last_event = self.course.last_event.get();
        let elapsed = self.gateway.clock.now().saturating_duration_since(state.received);
        let elapsed_ms = elapsed.as_millis() as u64;
        log::info!(request, server, last_event:?, elapsed_ms, cause = cause.as_str(); "stream_dropped");
        self.gateway.metrics.count_dropped("body", cause);
    }

    /// Returns the next bytes of the events at hand.
    fn take_piece(&mut self) -> Option<Bytes> {
        let delivery = self.delivery.as_mut()?;
        let length = delivery.events.len().min(MAX_PIECE_BYTES);
        let piece = delivery.events.split_to(length);
        if let Some(share) = &delivery.share {
            share.release(length);
        }
        if delivery.events.is_empty() {
            self.delivery = None;
        }
        Some(piece)
    }
}

impl MessageBody for RelayedBody {
    type Error = RelayError;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, RelayError>>> {
        loop {
            if let Some(piece) = self.take_piece() {
                return Poll::Ready(Some(Ok(piece)));
            }
            if self.has_ended {
                return Poll::Ready(None);
            }
            match ready!(self.rx.poll_recv(cx)) {
                Some(Part::Events(delivery)) if delivery.events.is_empty() => {}
                Some(Part::Events(delivery)) => self.delivery = Some(delivery),
                Some(Part::End) => self.has_ended = true,
                None => {
                    // A reader that ends without a report has panicked.
                    self.report_dropped(DropCause::Panic);
                    return Poll::Ready(Some(Err(RelayError::Broken)));
                }
            }
        }
    }
}

impl Drop for RelayedBody {
    fn drop(&mut self) {
        // The caller has gone, and so must the request at the engine.
        self.reader.abort();
        if !self.has_ended {
            self.report_dropped(self.gateway.drop_cause());
        }
    }
}
