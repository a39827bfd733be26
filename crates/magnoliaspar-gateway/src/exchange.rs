//! One request and its response on a connection to a backend server.
//!
//! The HTTP/1 codec is from `actix_http`. The connection is managed here, because whether a request
//! may be retried depends on how far it had progressed when its connection failed.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{self, HeaderMap};
use actix_http::{RequestHead, RequestHeadType, ResponseHead, StatusCode, Version};
use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;
use magnoliaspar_http::is_valid_status;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio_util::codec::{Decoder, Encoder};

use crate::blocks::Blocks;
use crate::evidence::Owner;
use crate::guarantees::{Guarantee, is_disabled};
use crate::response_memory::{GaveWay, ResponseMemory, Share};

/// Time for which sent bytes may stay unacknowledged before the connection counts as broken.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle time after which the kernel sends the first keep-alive probe.
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(1);

/// Interval between keep-alive probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which the connection counts as broken.
const KEEP_ALIVE_PROBES: u32 = 2;

/// Minimum free capacity of the buffer for a read, in bytes.
const MIN_READ_BYTES: usize = 4_096;

/// Maximum number of interim responses before a response.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Maximum number of bytes that are read of a response to an earlier request.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Maximum number of bytes that are read after a failed write; no head is longer.
const MAX_UNSOLICITED_BYTES: usize = 128 << 10;

/// Maximum number of bytes between two pieces of a body, such as the sizes of its chunks.
const MAX_FRAMING_BYTES: usize = 64 << 10;

/// Maximum number of responses to earlier requests that are skipped on one connection.
const MAX_STRAY_RESPONSES: u32 = 2;

/// Time for which the own response is awaited after one that may have been it. A server may be silent for a second
/// and then go on.
const OWN_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Message for a response that may belong to an earlier request on its connection.
const NAMELESS_RESPONSE: &str = "a response on a kept connection names no request";

/// Reason why a request has no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum CallError {
    /// the request was not sent: {0}
    NotSent(Box<str>),
    /// the connection broke: {0}
    Broken(Box<str>),
    /// the response is malformed: {0}
    Malformed(Box<str>),
    /// no answer came in time
    TimedOut,
    /// the memory for responses is used up: {held} of {used} bytes are for this one
    GaveWay {
        /// Bytes that were held for the response.
        held: usize,
        /// Bytes that were held for all responses.
        used: usize,
    },
}

impl std::error::Error for CallError {}

impl CallError {
    /// Returns whether the request was certainly not sent.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }

    fn from_io(error: &std::io::Error) -> Self {
        Self::Broken(error.to_string().into())
    }
}

impl From<GaveWay> for CallError {
    fn from(gave_way: GaveWay) -> Self {
        Self::GaveWay { held: gave_way.held, used: gave_way.used }
    }
}

/// An open connection without a pending request.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buf: BytesMut,
    opened_at: Option<Instant>,
    idle_until: Option<Instant>,
    /// Number of responses read so far.
    responses: u32,
}

impl Connection {
    /// Opens a connection within `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, CallError> {
        let opened = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
        let stream = match opened {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(CallError::NotSent(error.to_string().into())),
            Err(_) => return Err(CallError::NotSent("no connection in time".into())),
        };
        if let Err(error) = configure(&stream) {
            log::warn!(address:%; "cannot set socket options: {error}");
        }
        Ok(Self { stream, buf: BytesMut::new(), opened_at: None, idle_until: None, responses: 0 })
    }

    /// Returns the time at which the connection was open, if it is known.
    pub fn opened_at(&self) -> Option<Instant> {
        self.opened_at
    }

    /// Sets the time at which the connection was open.
    pub fn set_opened_at(&mut self, opened_at: Instant) {
        self.opened_at = Some(opened_at);
    }

    /// Returns whether an idle connection can take a request.
    pub fn is_usable(&self, now: Instant) -> bool {
        if self.idle_until.is_some_and(|until| now >= until) || !self.buf.is_empty() {
            return false;
        }
        let mut byte = [0];
        // Bytes without a request are unsolicited, and an end of file means that the connection is
        // closed.
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Returns the time until which the server keeps the connection open, if it has been idle.
    pub fn idle_until(&self) -> Option<Instant> {
        self.idle_until
    }

    /// Sets the time until which the server keeps the connection open.
    pub fn set_idle_until(&mut self, until: Option<Instant>) {
        self.idle_until = until;
    }

    /// Sends a request and returns the head of its response.
    ///
    /// `examine` judges whose response a head begins; its flag is true for the first one on the connection.
    /// Responses that are not the request's own are skipped.
    pub async fn send(
        mut self,
        head: RequestHead,
        body: &[Bytes],
        examine: impl Fn(&ResponseHead, bool) -> Owner,
    ) -> Result<(ResponseHead, ResponseBody), CallError> {
        let mut codec = ClientCodec::default();
        let mut out = BytesMut::new();
        let size = match body.iter().map(Bytes::len).sum() {
            0 if !head.headers.contains_key(header::CONTENT_LENGTH) => BodySize::None,
            length => BodySize::Sized(length as u64),
        };
        let is_head = head.method == actix_http::Method::HEAD;
        let message = Message::Item((RequestHeadType::Owned(head), size));
        codec
            .encode(message, &mut out)
            .map_err(|error| CallError::NotSent(error.to_string().into()))?;
        let mut rest = body;
        if let Some((first, others)) = body.split_first() {
            // A short body leaves in one segment with the head; the rest of a long one is not copied.
            out.extend_from_slice(first);
            rest = others;
        }
        let mut out = Outgoing { next: out.freeze(), rest };
        let mut strays = 0;
        let mut is_ambiguous = false;
        let mut decoder = HeadDecoder::new(codec);
        let (mut response, write) = self.exchange_head(&mut decoder, &mut out).await?;
        loop {
            let codec = decoder.codec;
            let owner = examine(&response, self.responses == 0);
            self.responses += 1;
            let mut response_body = ResponseBody::new(self, codec, &response, is_head, write);
            if owner == Owner::Own {
                return Ok((response, response_body));
            }
            is_ambiguous |= owner == Owner::Unknown;
            strays += 1;
            if strays > MAX_STRAY_RESPONSES {
                return Err(CallError::Malformed("responses to other requests".into()));
            }
            response_body.discard(MAX_DISCARDED_BYTES).await?;
            let Some(connection) = response_body.into_next_response() else {
                return Err(CallError::Broken(
                    "closed after the response to another request".into(),
                ));
            };
            self = connection;
            decoder = HeadDecoder::new(ClientCodec::default());
            let read = self.read_head(&mut decoder);
            response = match is_ambiguous {
                true => tokio::time::timeout(OWN_RESPONSE_TIMEOUT, read)
                    .await
                    .unwrap_or(Err(CallError::Malformed(NAMELESS_RESPONSE.into())))?,
                false => read.await?,
            };
        }
    }

    /// Writes the request and reads the head of the response, which may arrive before the request
    /// is fully written.
    async fn exchange_head(
        &mut self,
        decoder: &mut HeadDecoder,
        out: &mut Outgoing<'_>,
    ) -> Result<(ResponseHead, WriteState), CallError> {
        let (mut reader, mut writer) = self.stream.split();
        loop {
            tokio::select! {
                biased;
                write = write_some(&mut writer, &out.next), if !out.next.is_empty() => {
                    match write {
                        Ok(count) => out.advance(count),
                        // The server may have responded before it closed the connection.
                        Err(error) => {
                            drain_reader(&mut reader, &mut self.buf).await;
                            return match decoder.decode(&mut self.buf)? {
                                Some(head) => Ok((head, WriteState::Failed)),
                                None => Err(CallError::from_io(&error)),
                            };
                        }
                    }
                }
                read = read_some(&mut reader, &mut self.buf) => {
                    if read? == 0 {
                        return Err(CallError::Broken(CLOSED_BY_SERVER.into()));
                    }
                    if let Some(head) = decoder.decode(&mut self.buf)? {
                        let is_whole = out.next.is_empty();
                        let write = if is_whole { WriteState::Whole } else { WriteState::Partial };
                        return Ok((head, write));
                    }
                }
            }
        }
    }

    async fn read_head(&mut self, decoder: &mut HeadDecoder) -> Result<ResponseHead, CallError> {
        loop {
            if let Some(head) = decoder.decode(&mut self.buf)? {
                return Ok(head);
            }
            let (mut reader, _) = self.stream.split();
            if read_some(&mut reader, &mut self.buf).await? == 0 {
                return Err(CallError::Broken(CLOSED_BY_SERVER.into()));
            }
        }
    }
}

/// How much of a request was written when the head of its response had been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteState {
    /// All of it.
    Whole,
    /// A part; the rest is not written any more.
    Partial,
    /// A part, after which the connection failed.
    Failed,
}

/// The part of a request that has not been written.
struct Outgoing<'a> {
    /// Empty only if everything has been written.
    next: Bytes,
    rest: &'a [Bytes],
}

impl Outgoing<'_> {
    fn advance(&mut self, count: usize) {
        self.next.advance(count);
        if let (true, Some((next, rest))) = (self.next.is_empty(), self.rest.split_first()) {
            self.next = next.clone();
            self.rest = rest;
        }
    }
}

/// The rest of a response on its connection.
pub struct ResponseBody {
    connection: Connection,
    framing: Framing,
    is_reusable: bool,
    is_delimited: bool,
    /// Whether the connection failed when the request was written.
    has_failed: bool,
    /// The memory for what is held of the body, once there is some.
    share: Option<Share>,
}

/// Framing of a response body.
enum Framing {
    /// Delimited by a length, of which so many bytes are left.
    Length(u64),
    /// Delimited by chunks.
    Chunks(Box<ClientPayloadCodec>),
    /// Encoded for the transfer in a way that is not known.
    Unknown,
    /// Delimited by the end of the connection. `actix_http` treats such a body as empty.
    UntilClose,
    /// The body has been read completely.
    Complete,
}

impl Framing {
    /// Returns the framing that a head announces. `actix_http` takes a body for empty unless it has chunks or a
    /// length, and also with a length beside some other headers.
    fn of(head: &ResponseHead, codec: ClientCodec) -> Self {
        let header = |name| head.headers().get(name).and_then(|value| value.to_str().ok());
        let encoding = header(header::TRANSFER_ENCODING).unwrap_or("identity").trim();
        if encoding.eq_ignore_ascii_case("chunked") && head.version == Version::HTTP_11 {
            return match codec.message_type() {
                MessageType::Payload => Self::Chunks(Box::new(codec.into_payload_codec())),
                MessageType::None | MessageType::Stream => Self::Unknown,
            };
        }
        if !encoding.eq_ignore_ascii_case("identity") {
            return Self::Unknown;
        }
        match header(header::CONTENT_LENGTH).map(|length| length.trim().parse()) {
            None => Self::UntilClose,
            Some(Ok(0)) => Self::Complete,
            Some(Ok(length)) => Self::Length(length),
            Some(Err(_)) => Self::Unknown,
        }
    }
}

impl ResponseBody {
    fn new(
        connection: Connection,
        codec: ClientCodec,
        head: &ResponseHead,
        is_head: bool,
        write: WriteState,
    ) -> Self {
        let has_no_body = is_head
            || head.status == StatusCode::NO_CONTENT
            || head.status == StatusCode::NOT_MODIFIED;
        let framing = if has_no_body { Framing::Complete } else { Framing::of(head, codec) };
        let is_delimited = !matches!(framing, Framing::UntilClose);
        let is_reusable = write == WriteState::Whole && is_delimited && !is_closing(head.headers());
        let has_failed = write == WriteState::Failed;
        Self { connection, framing, is_reusable, is_delimited, has_failed, share: None }
    }

    /// Counts what is held of the body as a part of the memory for responses.
    pub fn hold_in(&mut self, memory: &Rc<ResponseMemory>) {
        let share = memory.share();
        share.announce(self.announced());
        self.share = Some(share);
    }

    /// Returns the number of bytes that the body still announces, if it does.
    fn announced(&self) -> Option<u64> {
        match self.framing {
            Framing::Length(left) => Some(left),
            Framing::Complete => Some(0),
            Framing::Chunks(_) | Framing::Unknown | Framing::UntilClose => None,
        }
    }

    /// Counts bytes of the body as held. Waits while the memory for responses is used up.
    pub async fn hold(&self, bytes: usize) -> Result<(), CallError> {
        let Some(share) = &self.share else { return Ok(()) };
        share.announce(self.announced());
        Ok(share.hold(bytes).await?)
    }

    /// Counts bytes of the body as released.
    pub fn release(&self, bytes: usize) {
        if let Some(share) = &self.share {
            share.release(bytes);
        }
    }

    /// Moves the memory of bytes of the body to a share that outlives it.
    pub fn split_share(&self, bytes: usize) -> Option<Share> {
        self.share.as_ref().map(|share| share.split_off(bytes))
    }

    /// Waits until the body has to give way to others, as the memory for responses is used up.
    pub async fn must_give_way(&self) -> CallError {
        match &self.share {
            Some(share) => share.must_give_way().await.into(),
            None => std::future::pending().await,
        }
    }

    /// Returns whether a length or chunks tell where the body ends, and not only its connection.
    pub fn is_delimited(&self) -> bool {
        self.is_delimited
    }

    /// Returns what the body ends with, for logs.
    pub fn framing_name(&self) -> &'static str {
        if self.is_delimited { "delimited" } else { "until_close" }
    }

    /// Returns the next bytes, or `None` after the last ones.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, CallError> {
        let mut framing_bytes = 0;
        loop {
            match &mut self.framing {
                Framing::Complete => return Ok(None),
                Framing::UntilClose if self.connection.buf.is_empty() => {}
                Framing::UntilClose => return Ok(Some(self.connection.buf.split().freeze())),
                Framing::Unknown => {
                    return Err(CallError::Malformed("an unknown transfer encoding".into()));
                }
                Framing::Length(_) if self.connection.buf.is_empty() => {}
                Framing::Length(left) => {
                    let available = self.connection.buf.len() as u64;
                    let chunk = self.connection.buf.split_to(available.min(*left) as usize);
                    *left -= chunk.len() as u64;
                    if *left == 0 {
                        self.framing = Framing::Complete;
                    }
                    return Ok(Some(chunk.freeze()));
                }
                Framing::Chunks(codec) => match codec.decode(&mut self.connection.buf) {
                    Ok(Some(Some(chunk))) => return Ok(Some(chunk)),
                    Ok(Some(None)) => {
                        self.framing = Framing::Complete;
                        return Ok(None);
                    }
                    Ok(None) => {}
                    Err(error) => return Err(CallError::Malformed(error.to_string().into())),
                },
            }
            let (mut reader, _) = self.connection.stream.split();
            let read = read_some(&mut reader, &mut self.connection.buf);
            let count = match &self.share {
                None => read.await?,
                Some(share) => tokio::select! {
                    biased;
                    gave_way = share.must_give_way() => return Err(gave_way.into()),
                    count = read => count?,
                },
            };
            if count > 0 {
                framing_bytes += count;
                if framing_bytes > MAX_FRAMING_BYTES {
                    return Err(CallError::Malformed("framing without content".into()));
                }
                continue;
            }
            if !matches!(self.framing, Framing::UntilClose) {
                return Err(CallError::Broken(CLOSED_BY_SERVER.into()));
            }
            // The kernel reports a reset once, to the write or to the read that meets it first. After a failed write the
            // end of the stream does not tell a reset from a graceful close.
            if self.has_failed && !is_disabled(Guarantee::FailedWrite) {
                return Err(CallError::Broken(RESET_BY_SERVER.into()));
            }
            self.framing = Framing::Complete;
            return Ok(None);
        }
    }

    /// Reads the rest of the body, up to `limit` bytes.
    pub async fn read_whole(&mut self, limit: usize) -> Result<Bytes, CallError> {
        Ok(self.read_blocks(limit).await?.take_joined())
    }

    /// Reads the rest of the body, up to `limit` bytes, into blocks.
    pub async fn read_blocks(&mut self, limit: usize) -> Result<Blocks, CallError> {
        if self.announced().is_some_and(|length| length > limit as u64) {
            return Err(too_long());
        }
        let mut blocks = Blocks::default();
        while let Some(piece) = self.chunk().await? {
            if blocks.len() + piece.len() > limit {
                return Err(too_long());
            }
            self.hold(piece.len()).await?;
            blocks.append(&piece);
        }
        Ok(blocks)
    }

    /// Reads the rest of the body, up to `limit` bytes, and keeps none of it.
    pub async fn discard(&mut self, limit: usize) -> Result<(), CallError> {
        let mut length = 0;
        while let Some(piece) = self.chunk().await? {
            length += piece.len();
            if length > limit {
                return Err(too_long());
            }
        }
        Ok(())
    }

    /// Closes the connection after the response.
    pub fn forbid_reuse(&mut self) {
        self.is_reusable = false;
    }

    /// Returns the connection to read the next response from, which may already be buffered.
    fn into_next_response(self) -> Option<Connection> {
        let is_complete = matches!(self.framing, Framing::Complete);
        (is_complete && self.is_reusable).then_some(self.connection)
    }

    /// Returns the connection for another request, if the server keeps it open.
    pub fn into_connection(self) -> Option<Connection> {
        self.into_next_response().filter(|connection| connection.buf.is_empty())
    }
}

fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_IDLE)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    socket.set_tcp_keepalive(&keep_alive)
}

fn too_long() -> CallError {
    CallError::Malformed("the response exceeds the length limit".into())
}

fn is_closing(headers: &HeaderMap) -> bool {
    let Some(value) = headers.get(header::CONNECTION) else { return false };
    value.as_bytes().to_ascii_lowercase().windows(5).any(|word| word == b"close")
}

async fn write_some(writer: &mut WriteHalf<'_>, bytes: &[u8]) -> std::io::Result<usize> {
    match writer.write(bytes).await? {
        0 => Err(ErrorKind::WriteZero.into()),
        count => Ok(count),
    }
}

/// Reads some bytes and returns their number, which is 0 at the end of the stream.
async fn read_some(reader: &mut ReadHalf<'_>, buf: &mut BytesMut) -> Result<usize, CallError> {
    buf.reserve(MIN_READ_BYTES);
    reader.read_buf(buf).await.map_err(|error| CallError::from_io(&error))
}

/// Message for a connection that the server closed.
const CLOSED_BY_SERVER: &str = "closed by the server";

/// Message for a connection that failed when a request was written.
const RESET_BY_SERVER: &str = "reset by the server before it had read the request";

/// Reads the bytes that arrived before the connection ended.
async fn drain_reader(reader: &mut ReadHalf<'_>, buf: &mut BytesMut) {
    while buf.len() < MAX_UNSOLICITED_BYTES
        && read_some(reader, buf).await.is_ok_and(|count| count > 0)
    {}
}

/// Decodes the heads of the responses to one request.
struct HeadDecoder {
    codec: ClientCodec,
    interim_responses: u32,
}

impl HeadDecoder {
    fn new(codec: ClientCodec) -> Self {
        Self { codec, interim_responses: 0 }
    }

    /// Decodes the head of a response and skips interim responses.
    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<ResponseHead>, CallError> {
        loop {
            let head = match self.codec.decode(buf) {
                Ok(Some(head)) => head,
                Ok(None) => return Ok(None),
                Err(error) => return Err(CallError::Malformed(error.to_string().into())),
            };
            if !is_valid_status(head.status) && !is_disabled(Guarantee::ValidStatus) {
                return Err(CallError::Malformed(format!("status {}", head.status).into()));
            }
            if head.status == StatusCode::SWITCHING_PROTOCOLS {
                return Err(CallError::Malformed("an upgrade that was not requested".into()));
            }
            if !head.status.is_informational() {
                return Ok(Some(head));
            }
            self.interim_responses += 1;
            if self.interim_responses > MAX_INTERIM_RESPONSES {
                return Err(CallError::Malformed("too many interim responses".into()));
            }
        }
    }
}
