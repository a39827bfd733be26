//! The connection of a caller, and its end as the handlers of its requests see it.

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::{Request, h1};
use bytes::Bytes;
use futures_core::Stream;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connections::OpenConnection;

/// Time for which bytes are read and dropped after the last response of a connection.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// Maximum number of bytes that are read and dropped after the last response of a connection.
const MAX_LINGER_BYTES: usize = 16 << 20;

/// Length of the buffer for bytes that are dropped.
const LINGER_BUFFER_BYTES: usize = 4 << 10;

/// Bytes that are read at once while no request is in hand. Requests in them are decoded, and a decoded request takes
/// many times its length.
const IDLE_READ_BYTES: usize = 2 << 10;

/// Bytes that are read ahead while a request is in hand and its body is not read.
const AHEAD_READ_BYTES: usize = 1 << 10;

/// Bytes that are read at once of the body of a request.
const BODY_READ_BYTES: usize = 16 << 10;

/// The connection of a caller, whose end is visible to the handlers of its requests.
///
/// The stream outlives the connection if it is also held elsewhere.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: Rc<RefCell<TcpStream>>,
    end: CallerEnd,
}

impl Connection {
    /// Creates a connection for an accepted stream.
    pub(crate) fn new(stream: Rc<RefCell<TcpStream>>, end: CallerEnd) -> Self {
        end.0.allowance.set(IDLE_READ_BYTES);
        end.0.touched_at.set(Some(Instant::now()));
        Self { stream, end }
    }

    /// Returns the caller's end of the connection.
    pub(crate) fn end(&self) -> &CallerEnd {
        &self.end
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let allowed = ready!(self.end.poll_allowance(cx)).min(buf.remaining());
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(allowed));
        ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        buf.advance(count);
        self.end.record_read(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, buf);
        if written.is_ready() {
            self.end.record_activity();
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library flushes the stream only if everything has been written to it.
        ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx))?;
        self.end.record_written();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.end.0.is_gone.set(true);
        drop(self.end.0.unwritten.take());
    }
}

/// Closes the sending side of a stream, and drops what the caller still sends, within bounds.
///
/// A close over unread bytes resets the connection, and the caller may lose the last response.
pub(crate) async fn linger(mut stream: TcpStream) {
    let _ = tokio::time::timeout(LINGER_TIME, drop_rest(&mut stream)).await;
}

async fn drop_rest(stream: &mut TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut buf = vec![0; LINGER_BUFFER_BYTES];
    let mut dropped = 0;
    while dropped < MAX_LINGER_BYTES {
        let count = stream.read(&mut buf).await?;
        if count == 0 {
            break;
        }
        dropped += count;
    }
    Ok(())
}

/// The caller's end of a connection.
///
/// A request stays in hand when its caller closes the sending side. The handler decides how long it goes on.
#[derive(Clone, Default)]
pub struct CallerEnd(Rc<EndState>);

impl fmt::Debug for CallerEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerEnd").field("is_closed", &self.0.is_closed).finish_non_exhaustive()
    }
}

#[derive(Default)]
struct EndState {
    is_closed: Cell<bool>,
    /// Whether the connection has been dropped.
    is_gone: Cell<bool>,
    /// Whether the connection is closed once its responses have been written.
    closes_after_response: Cell<bool>,
    /// Bytes that may still be read at once.
    allowance: Cell<usize>,
    /// Whether a request was received since everything was answered.
    has_requests: Cell<bool>,
    /// Wakes the task of the connection once more may be read.
    reader: Cell<Option<Waker>>,
    /// Whether the connection gives way to others.
    is_evicted: Cell<bool>,
    /// The place among the open connections, if they have a maximum.
    place: RefCell<Option<OpenConnection>>,
    /// The time of the last activity, or of the start.
    touched_at: Cell<Option<Instant>>,
    /// Bodies that have been handed over and not written. What they hold is released when they are.
    unwritten: RefCell<Vec<BoxBody>>,
    changed: Notify,
    /// Number of requests that were received and whose responses have not been written.
    in_hand: Cell<u32>,
    /// The time of the last activity; `None` before the first request.
    active_at: Cell<Option<Instant>>,
}

impl CallerEnd {
    /// Returns the caller's end of the connection on which a request was received.
    pub fn of(req: &Request) -> Self {
        req.conn_data::<Self>().cloned().unwrap_or_default()
    }

    /// Returns whether the caller has closed its sending side.
    pub(crate) fn is_closed(&self) -> bool {
        self.0.is_closed.get()
    }

    /// Waits until the caller has closed its sending side. The caller may have closed the whole connection.
    pub async fn closed(&self) {
        loop {
            let changed = self.0.changed.notified();
            if self.is_closed() {
                return;
            }
            changed.await;
        }
    }

    /// Counts a request as in hand until the guard is dropped.
    pub(crate) fn take_in_hand(&self) -> InHand {
        self.0.in_hand.set(self.0.in_hand.get() + 1);
        self.0.active_at.set(Some(Instant::now()));
        if let Some(place) = &*self.0.place.borrow() {
            place.set_busy(true);
        }
        if !self.0.has_requests.replace(true) {
            // What was read so far is the head of this request at most.
            self.0.allowance.set(AHEAD_READ_BYTES);
        }
        InHand(self.clone())
    }

    /// Allows more to be read of the body of the request in hand, as all that was read has been taken.
    fn take_more(&self) {
        self.allow(BODY_READ_BYTES);
    }

    /// Closes the connection once the response to the request in hand has been written. What the caller still sends
    /// is dropped.
    pub fn close_after_response(&self) {
        self.0.closes_after_response.set(true);
    }

    /// Returns whether the connection is closed once the response has been written.
    pub fn closes_after_response(&self) -> bool {
        self.0.closes_after_response.get()
    }

    /// Sets the place of the connection among the open ones.
    pub(crate) fn set_place(&self, place: OpenConnection) {
        self.0.place.replace(Some(place));
    }

    /// Gives back the place of the connection among the open ones.
    pub(crate) fn leave(&self) {
        drop(self.0.place.take());
    }

    /// Returns the time since which nothing was sent or read, if no request is in hand.
    pub(crate) fn silent_since(&self) -> Option<Instant> {
        if self.is_answered() { self.0.touched_at.get() } else { None }
    }

    /// Closes the connection, which gives way to others.
    pub(crate) fn evict(&self) {
        self.0.is_evicted.set(true);
        self.0.changed.notify_waiters();
    }

    /// Returns whether the connection gives way to others.
    pub(crate) fn is_evicted(&self) -> bool {
        self.0.is_evicted.get()
    }

    /// Waits until the connection gives way to others.
    pub(crate) async fn evicted(&self) {
        loop {
            let changed = self.0.changed.notified();
            if self.is_evicted() {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the connection has to be closed, and its responses have been written.
    pub(crate) async fn closing(&self) {
        loop {
            let changed = self.0.changed.notified();
            let is_due = self.closes_after_response() || self.0.is_evicted.get();
            if is_due && self.is_answered() {
                return;
            }
            changed.await;
        }
    }

    /// Returns whether all requests were answered, and the responses written.
    fn is_answered(&self) -> bool {
        self.0.in_hand.get() == 0 && self.0.unwritten.borrow().is_empty()
    }

    fn allow(&self, bytes: usize) {
        self.0.allowance.set(bytes);
        if let Some(reader) = self.0.reader.take() {
            reader.wake();
        }
    }

    /// Returns the number of bytes that may be read.
    fn poll_allowance(&self, cx: &Context<'_>) -> Poll<usize> {
        let allowance = self.0.allowance.get();
        if allowance > 0 {
            return Poll::Ready(allowance);
        }
        self.0.reader.set(Some(cx.waker().clone()));
        Poll::Pending
    }

    fn record_read(&self, count: usize) {
        if count == 0 {
            return self.close();
        }
        self.0.allowance.set(self.0.allowance.get() - count);
        self.record_activity();
    }

    /// Records that all that was answered so far has been written.
    fn record_written(&self) {
        drop(self.0.unwritten.take());
        if self.0.in_hand.get() > 0 {
            return;
        }
        if self.0.has_requests.replace(false)
            && let Some(place) = &*self.0.place.borrow()
        {
            place.set_busy(false);
        }
        self.allow(IDLE_READ_BYTES);
        if self.closes_after_response() {
            self.0.changed.notify_waiters();
        }
    }

    /// Keeps a body that has been handed over until it has been written.
    fn keep_unwritten(&self, body: BoxBody) {
        if !self.0.is_gone.get() {
            self.0.unwritten.borrow_mut().push(body);
        }
    }

    /// Returns the time since which the connection is idle; `None` with a request in hand or before the first one.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        if self.0.in_hand.get() > 0 { None } else { self.0.active_at.get() }
    }

    fn record_activity(&self) {
        self.0.touched_at.set(Some(Instant::now()));
        if self.0.active_at.get().is_some() {
            self.0.active_at.set(Some(Instant::now()));
        }
    }

    fn close(&self) {
        self.0.is_closed.set(true);
        self.0.changed.notify_waiters();
    }
}

/// A request in hand.
#[derive(Debug)]
pub(crate) struct InHand(CallerEnd);

impl Drop for InHand {
    fn drop(&mut self) {
        let state = &self.0.0;
        state.in_hand.set(state.in_hand.get() - 1);
        state.active_at.set(Some(Instant::now()));
    }
}

/// The body of a request, as its handler reads it.
///
/// More is read from the connection once the handler has taken all that was.
pub(crate) struct BodyReader {
    pub(crate) payload: h1::Payload,
    pub(crate) end: CallerEnd,
}

impl Stream for BodyReader {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let chunk = Pin::new(&mut self.payload).poll_next(cx);
        if chunk.is_pending() {
            self.end.take_more();
        }
        chunk
    }
}

/// The body of a response to a request that is in hand until the body has been written.
pub(crate) struct HeldBody {
    /// `None` once it has been handed over.
    body: Option<BoxBody>,
    in_hand: InHand,
}

impl HeldBody {
    /// Creates the body of the response to a request in hand.
    pub(crate) fn new(body: BoxBody, in_hand: InHand) -> Self {
        Self { body: Some(body), in_hand }
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        if let Some(body) = self.body.take() {
            self.in_hand.0.keep_unwritten(body);
        }
    }
}

impl MessageBody for HeldBody {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.as_ref().map_or(BodySize::None, |body| body.size())
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        match &mut self.body {
            Some(body) => Pin::new(body).poll_next(cx),
            None => Poll::Ready(None),
        }
    }
}
