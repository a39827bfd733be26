//! One call to one backend server.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header::{self, HeaderMap, HeaderName};
use actix_http::{Method, RequestHead, ResponseHead, StatusCode, Uri};
use magnoliaspar_access::Workspace;
use magnoliaspar_core::ServerKey;
use magnoliaspar_retry::{Backoff, PartId};

use crate::dialect::{Dispatch, RequestFacts, ResponseFacts};
use crate::evidence::{Ending, Owner, promises_not_run, proves_not_run};
use crate::exchange::{CallError, Connection, ResponseBody};
use crate::gateway::{Gateway, OWN_RESPONSE};
use crate::guarantees::{Guarantee, is_disabled};
use crate::held_body::HeldBody;
use crate::liveness::{Witness, ask_before_use};
use crate::notices::Notices;
use crate::request_body::RequestBody;
use crate::request_limit::{LimitNotice, LimitState};
use crate::route::{Priority, Route, ServiceName};
use crate::shutdown::RequestState;

/// Timeout of a new connection to a server. A longer wait means a lost packet or a lost server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Hop-by-hop headers.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::EXPECT,
];

/// A hop-by-hop header for which `actix_http` has no constant.
const KEEP_ALIVE: &str = "keep-alive";

/// A request whose body has been read completely.
pub struct Incoming {
    /// The caller's description of the request.
    pub facts: RequestFacts,
    /// The matching route.
    pub route: Rc<Route>,
    /// The workspace that the caller belongs to; `None` for an anonymous one.
    pub workspace: Option<Rc<Workspace>>,
    /// The service chosen by weight.
    pub service: ServiceName,
    /// The parts by which requests that crash servers are recognized.
    pub parts: Box<[PartId]>,
    /// The head without hop-by-hop headers.
    pub head: RequestHead,
    /// The complete body.
    pub body: RequestBody,
    /// The time at which the head was read.
    pub received: Instant,
    /// The end of the caller's or of the route's timeout, whichever is earlier.
    pub deadline: Instant,
    /// State of the request in flight.
    pub state: Rc<RequestState>,
}

impl Incoming {
    /// Returns the time left until the deadline.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the priority of the request.
    pub fn priority(&self) -> Priority {
        let workspace = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        Priority { workspace: workspace.unwrap_or_default(), route: self.route.priority }
    }
}

/// Copies the method, URI and headers of a request, without the state of its connection.
pub fn copy_request_head(head: &RequestHead) -> RequestHead {
    let mut copy = RequestHead::default();
    copy.method = head.method.clone();
    copy.uri = head.uri.clone();
    copy.headers = head.headers.clone();
    copy
}

/// Removes the hop-by-hop headers.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    for name in &CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}

/// Parameters of a call beyond the request itself.
#[derive(Debug, Clone, Default)]
pub struct CallSpec {
    /// Whether the server only prefills the prompt.
    pub is_prefill: bool,
    /// The server that holds the KV cache of the prompt, and the cache's handle.
    pub kv_cache: Option<(ServerKey, Box<str>)>,
    /// Id of the last event that was delivered to the caller.
    pub resume_after: Option<u64>,
}

/// Maximum length of the body of a refusal, or of the response to a release, after which its connection is kept, in
/// bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// Timeout for the body of a refusal. Opening another connection takes no longer.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(20);

/// The content type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// A response whose head has been read.
pub struct Reply {
    /// The head.
    pub head: ResponseHead,
    /// The server's description of the response.
    pub facts: ResponseFacts,
    /// The rest of the response.
    pub body: ResponseBody,
    /// Counts the request as in flight at the server.
    pub guard: ServerGuard,
    /// The process that sends the response.
    pub witness: Witness,
}

impl Reply {
    /// Returns whether the response is a success that carries the server's seal.
    pub fn is_sealed_success(&self) -> bool {
        let is_encoded = self.head.headers().contains_key(header::CONTENT_ENCODING);
        self.head.status.is_success() && self.facts.is_sealed && !is_encoded
    }

    /// Returns whether the response is a stream of events, which may be empty.
    pub fn is_event_stream(&self) -> bool {
        let content_type = self.head.headers().get(header::CONTENT_TYPE);
        let is_of_events =
            content_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM));
        self.head.status == StatusCode::OK && is_of_events
    }

    /// Reads the rest of the response, up to `limit` bytes; fails unless it is whole.
    pub async fn read_body(&mut self, limit: usize) -> Result<HeldBody, CallError> {
        let blocks = self.body.read_blocks(limit).await?;
        self.confirm_end(Ending::of_body(self.body.is_delimited())).await?;
        Ok(HeldBody::new(blocks, self.body.split_share(limit)))
    }

    /// Returns an error unless the response, which has ended in order, is whole.
    pub async fn confirm_end(&mut self, ending: Ending) -> Result<(), CallError> {
        self.witness.confirm(&self.guard.gateway, ending).await
    }

    /// Returns whether the response proves that the request has not run.
    pub fn proves_not_run(&self) -> bool {
        proves_not_run(self.head.status, self.facts.states_not_run)
    }

    /// Returns whether the response is a failure that every other server would give too.
    pub fn is_client_error(&self) -> bool {
        self.head.status.is_client_error() && !promises_not_run(self.head.status)
    }

    /// Reads the body of a refusal, which proves nothing more, and returns the connection to the pool.
    pub async fn finish_refusal(mut self) {
        let read = self.body.discard(MAX_REFUSAL_BYTES);
        if let Ok(Ok(_)) = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, read).await {
            self.finish();
        }
    }

    /// Returns the connection to the pool, if the server keeps it open.
    pub fn finish(self) {
        let gateway = self.guard.gateway.clone();
        let server = self.guard.server;
        let idle_timeout = self.facts.idle_timeout;
        keep_connection(&gateway, server, self.body, idle_timeout);
    }
}

/// Returns the connection of a completely read response to the pool, if the server keeps it open.
pub fn keep_connection(
    gateway: &Gateway,
    server: ServerKey,
    body: ResponseBody,
    idle_timeout: Option<Duration>,
) {
    let Some(connection) = body.into_connection() else { return };
    if gateway.directory.borrow().get(server).is_none() {
        return;
    }
    gateway.keep_idle(server, connection, idle_timeout);
}

/// Counts a request as in flight at a server until dropped.
pub struct ServerGuard {
    gateway: Rc<Gateway>,
    /// The server.
    pub server: ServerKey,
    started: Instant,
}

impl ServerGuard {
    fn new(gateway: &Rc<Gateway>, server: ServerKey) -> Self {
        let started = gateway.clock.now();
        if let Some(server) = gateway.directory.borrow_mut().get_mut(server) {
            server.in_flight += 1;
            server.load.start(started);
        }
        Self { gateway: gateway.clone(), server, started }
    }
}

impl Drop for ServerGuard {
    fn drop(&mut self) {
        if let Some(server) = self.gateway.directory.borrow_mut().get_mut(self.server) {
            server.in_flight -= 1;
            server.load.end(self.started);
        }
    }
}

/// Takes an idle connection to a server, or opens one.
pub async fn acquire(gateway: &Rc<Gateway>, server: ServerKey) -> Result<Connection, CallError> {
    let address = address_of(gateway, server)?;
    let pooled = gateway.pool.borrow_mut().take(server, gateway.clock.now());
    if let Some(connection) = pooled {
        return Ok(connection);
    }
    let opened = connect(gateway, address).await;
    if let Err(error) = &opened {
        log::warn!(server = gateway.server_name(server), address:%, reason:% = error; "server_unreachable");
        gateway.metrics.count_call("not_sent");
        gateway.report_engine(server);
        probe(gateway, server);
    }
    opened
}

/// Returns the address of a server, unless it is gone.
fn address_of(gateway: &Gateway, server: ServerKey) -> Result<SocketAddr, CallError> {
    let directory = gateway.directory.borrow();
    Ok(directory.get(server).ok_or_else(gone)?.record.address)
}

/// Returns the error of a call to a server without an entry.
pub fn gone() -> CallError {
    CallError::NotSent("the server is gone".into())
}

/// Opens a connection to a server.
pub async fn connect_to(gateway: &Gateway, server: ServerKey) -> Result<Connection, CallError> {
    connect(gateway, address_of(gateway, server)?).await
}

async fn connect(gateway: &Gateway, address: SocketAddr) -> Result<Connection, CallError> {
    gateway.metrics.connections.inc();
    let mut connection = Connection::open(address, CONNECT_TIMEOUT).await?;
    connection.set_opened_at(gateway.clock.now());
    Ok(connection)
}

/// Tries to open a connection to a server, and pools it. On failure the server is marked
/// unreachable.
pub async fn can_connect(gateway: &Rc<Gateway>, server: ServerKey) -> bool {
    let Ok(address) = address_of(gateway, server) else { return false };
    match connect(gateway, address).await {
        Ok(connection) => {
            gateway.keep_idle(server, connection, None);
            true
        }
        Err(error) => {
            log::warn!(server = gateway.server_name(server), reason:% = error; "server_lost");
            gateway.report_engine(server);
            gateway.pool.borrow_mut().drop_server(server);
            probe(gateway, server);
            false
        }
    }
}

/// Marks a server unreachable until a connection to it can be opened.
pub fn probe(gateway: &Rc<Gateway>, server: ServerKey) {
    {
        let mut directory = gateway.directory.borrow_mut();
        let Some(server) = directory.get_mut(server) else { return };
        if std::mem::replace(&mut server.is_unreachable, true) {
            return;
        }
    }
    actix_rt::spawn(probe_until_connected(gateway.clone(), server));
}

async fn probe_until_connected(gateway: Rc<Gateway>, server: ServerKey) {
    let started = gateway.clock.now();
    let mut failures = 0_u32;
    loop {
        let Ok(address) = address_of(&gateway, server) else { return };
        if let Ok(connection) = connect(&gateway, address).await {
            let now = gateway.clock.now();
            let unreachable_ms = (now - started).as_millis() as u64;
            log::info!(server = gateway.server_name(server), unreachable_ms; "server_reachable");
            if let Some(server) = gateway.directory.borrow_mut().get_mut(server) {
                server.is_unreachable = false;
            }
            gateway.keep_idle(server, connection, None);
            gateway.admit_queued();
            return;
        }
        tokio::time::sleep(PROBE_BACKOFF.ceiling(failures)).await;
        failures = failures.saturating_add(1);
    }
}

/// Backoff between two probes of a server.
pub const PROBE_BACKOFF: Backoff =
    Backoff { first: Duration::from_millis(100), longest: Duration::from_millis(800) };

/// Sends a request to a server and returns its response once the head has been read.
///
/// `connection` is one acquired for this call; with `None` the call acquires one itself.
pub async fn call(
    gateway: &Rc<Gateway>,
    req: &Incoming,
    server: ServerKey,
    spec: &CallSpec,
    timeout: Duration,
    connection: Option<Connection>,
) -> Result<Reply, CallError> {
    let started = gateway.clock.now();
    let guard = ServerGuard::new(gateway, server);
    let exchange = exchange(gateway, req, server, spec, guard, connection);
    let result = tokio::time::timeout(timeout, exchange).await;
    let result = result.unwrap_or(Err(CallError::TimedOut));
    if let Ok(reply) = &result {
        if reply.proves_not_run() && !spec.is_prefill {
            req.state.record_not_run();
        }
        observe_limit(gateway, server, reply.head.status, &reply.facts, started);
        end_trial(gateway, server);
    }
    let elapsed = gateway.clock.now() - started;
    report(gateway, req, server, spec, &result, elapsed);
    result
}

async fn exchange(
    gateway: &Rc<Gateway>,
    req: &Incoming,
    server: ServerKey,
    spec: &CallSpec,
    guard: ServerGuard,
    connection: Option<Connection>,
) -> Result<Reply, CallError> {
    let id = {
        let directory = gateway.directory.borrow();
        directory.get(server).ok_or_else(gone)?.record.id.clone()
    };
    let holder = match &spec.kv_cache {
        Some((holder, handle)) => Some((address_of(gateway, *holder)?, handle)),
        None => None,
    };
    let connection = match connection {
        Some(connection) => connection,
        None => acquire(gateway, server).await?,
    };
    let mut head = copy_request_head(&req.head);
    let dispatch = Dispatch {
        remaining: req.remaining(gateway.clock.now()),
        server: &id,
        is_prefill: spec.is_prefill,
        kv_cache: holder.map(|(address, handle)| (address, &**handle)),
        resume_after: spec.resume_after.filter(|_| !is_disabled(Guarantee::EventOrder)),
        workspace: req.workspace.as_ref().map(|workspace| workspace.name.as_str()),
        priority: req.workspace.as_ref().and_then(|workspace| workspace.priority),
    };
    gateway.dialect.write_dispatch(&mut head.headers, &dispatch);
    let reason = gateway.reason_not_to_send(server);
    let stops = (!gateway.may_start(req)).then_some("the instance stops");
    if let Some(reason) = reason.or(stops) {
        gateway.keep_unused(server, connection);
        return Err(CallError::NotSent(reason.into()));
    }
    let examine = |head: &ResponseHead, is_first| {
        examine(gateway, server, Some(&req.facts.id), head, is_first)
    };
    count_limited(gateway, server);
    let mut witness = Witness::new(gateway, server);
    if !spec.is_prefill {
        req.state.record_sent(&id);
    }
    let sent = connection.send(head, req.body.blocks(), examine).await;
    if !spec.is_prefill && matches!(&sent, Err(error) if error.is_not_sent()) {
        req.state.record_not_run();
    }
    let (head, mut body) = sent?;
    body.hold_in(&gateway.response_memory);
    let facts = gateway.dialect.read_response(&head);
    if facts.request_id.is_none() {
        // On a kept connection the next response of the server could not be told from this one.
        body.forbid_reuse();
    }
    if !body.is_delimited() {
        witness.attach(gateway).await;
    }
    Ok(Reply { head, facts, body, guard, witness })
}

/// Judges whose response to a request a head begins, and records what it says about the server itself.
///
/// `request` is `None` for a request without an identifier, whose response names none.
pub fn examine(
    gateway: &Rc<Gateway>,
    server: ServerKey,
    request: Option<&str>,
    head: &ResponseHead,
    is_first: bool,
) -> Owner {
    let facts = gateway.dialect.read_response(head);
    observe_server(gateway, server, &facts);
    match (request, &facts.request_id) {
        _ if is_disabled(Guarantee::OwnAnswer) => Owner::Own,
        (Some(request), named) => Owner::of(named.as_deref(), request, is_first),
        (None, None) => Owner::Own,
        (None, Some(_)) => Owner::Other,
    }
}

/// Records whether a server leaves or wants a rest, which any response on its connections tells.
pub fn observe_server(gateway: &Rc<Gateway>, server: ServerKey, facts: &ResponseFacts) {
    if facts.is_other_server {
        return;
    }
    let now = gateway.clock.now();
    let rest = facts.rest.filter(|_| !is_disabled(Guarantee::Rest));
    let is_former = gateway.directory.borrow().get(server).is_none();
    if is_former {
        let mut notices = Notices::default();
        if facts.is_leaving && !is_disabled(Guarantee::Leaving) {
            notices.record_leaving(now);
        }
        if let Some(rest) = rest {
            notices.record_rest(now, now + rest);
        }
        if !notices.are_in_force(now) {
            return;
        }
        // The process that responds may be the one that has taken its place in the list of servers since.
        let successor = gateway.directory.borrow_mut().record_unclear(server, &notices);
        if let Some(successor) = successor {
            ask_before_use(gateway, successor);
        }
        return;
    }
    if facts.is_leaving {
        gateway.record_leaving(server);
    }
    let Some(rest) = rest else { return };
    gateway.directory.borrow_mut().record_rest(server, now, now + rest);
    gateway.metrics.count_call("rest_requested");
    let rest_ms = rest.as_millis() as u64;
    log::info!(server = gateway.server_name(server), rest_ms; "server_rests");
}

/// Records that a server has responded to a request, and so has said whether it leaves or rests.
fn end_trial(gateway: &Gateway, server: ServerKey) {
    let was_on_trial = {
        let mut directory = gateway.directory.borrow_mut();
        let Some(server) = directory.get_mut(server) else { return };
        std::mem::replace(&mut server.is_on_trial, false)
    };
    if was_on_trial {
        gateway.admit_queued();
    }
}

/// Counts a request that is sent to a server that names a limit.
fn count_limited(gateway: &Gateway, server: ServerKey) {
    let directory = gateway.directory.borrow();
    let Some(server) = directory.get(server) else { return };
    if server.limit().is_some() {
        gateway.metrics.count_limited_call(&server.record.id);
    }
}

/// Records what a response to a call that began at `called_at` says about the limit of its server.
fn observe_limit(
    gateway: &Gateway,
    server: ServerKey,
    status: StatusCode,
    facts: &ResponseFacts,
    called_at: Instant,
) {
    // Only a response that the server itself gave to a request tells that it names no limit.
    let is_genuine = facts.is_sealed || status.is_success();
    if facts.is_other_server || (facts.limit == LimitNotice::Absent && !is_genuine) {
        return;
    }
    let is_known = {
        let directory = gateway.directory.borrow();
        directory.get(server).is_some_and(|server| server.limit_state().is_some())
    };
    if !is_known && facts.limit == LimitNotice::Absent {
        return;
    }
    let now = gateway.clock.now();
    gateway.update_limit(server, OWN_RESPONSE, |current| {
        LimitState::after_response(current, facts.limit, called_at, now)
    });
}

/// Records and logs the result of a call.
fn report(
    gateway: &Rc<Gateway>,
    req: &Incoming,
    server: ServerKey,
    spec: &CallSpec,
    result: &Result<Reply, CallError>,
    elapsed: Duration,
) {
    let now = gateway.clock.now();
    let name = gateway.server_name(server);
    let mut directory = gateway.directory.borrow_mut();
    let elapsed_ms = elapsed.as_millis() as u64;
    let request = &*req.facts.id;
    let prefill = spec.is_prefill;
    match result {
        Ok(reply) if reply.proves_not_run() => {
            match reply.facts.is_other_server {
                true => drop(directory.record_failure(server, now)),
                false => directory.record_full(server, now),
            }
            drop(directory);
            // A wish for rest concerns this instance only.
            if !prefill && reply.facts.rest.is_none() {
                gateway.report_rejection(server);
            }
            gateway.metrics.count_call("not_run");
            let status = reply.head.status.as_u16();
            log::warn!(request, server = name, prefill, status, elapsed_ms; "call_rejected");
        }
        Ok(reply) => {
            directory.record_success(server, now);
            gateway.metrics.count_call("answered");
            let (status, framing) = (reply.head.status.as_u16(), reply.body.framing_name());
            log::debug!(request, server = name, prefill, status, framing, elapsed_ms; "call_answered");
        }
        Err(CallError::TimedOut) => {
            drop(directory);
            let avoided = record_silence(gateway, server, elapsed);
            gateway.metrics.count_call("timed_out");
            let avoided_ms = avoided.map_or(0, |avoided| avoided.as_millis() as u64);
            log::warn!(request, server = name, prefill, reason = "late", elapsed_ms, avoided_ms; "call_failed");
        }
        Err(CallError::NotSent(reason)) => {
            log::warn!(request, server = name, prefill, reason = &**reason, elapsed_ms; "call_not_sent");
        }
        Err(error) => {
            drop(directory);
            let avoided = gateway.record_call_failure(server, error);
            gateway.metrics.count_call(match error {
                CallError::NotSent(_) => "not_sent",
                CallError::Broken(_) => "broken",
                CallError::Malformed(_) => "garbled",
                CallError::TimedOut => "timed_out",
                CallError::GaveWay { .. } => "gave_way",
            });
            let avoided_ms = avoided.map_or(0, |avoided| avoided.as_millis() as u64);
            log::warn!(request, server = name, prefill, reason:% = error, elapsed_ms, avoided_ms; "call_failed");
            gateway.pool.borrow_mut().drop_server(server);
            probe(gateway, server);
        }
    }
}

/// Records that a server is silent for longer than expected, though it may still go on; returns the duration for
/// which other servers are preferred.
pub fn record_silence(
    gateway: &Rc<Gateway>,
    server: ServerKey,
    silent: Duration,
) -> Option<Duration> {
    let now = gateway.clock.now();
    let mut directory = gateway.directory.borrow_mut();
    let state = directory.get(server)?;
    let (has_answered, was_avoided) = (state.has_answered_recently(now), state.is_avoided(now));
    if has_answered {
        directory.record_latency(server, silent, now);
        return None;
    }
    let avoided = directory.record_silence(server, now);
    if !was_avoided {
        let gateway = gateway.clone();
        actix_rt::spawn(async move { can_connect(&gateway, server).await });
    }
    avoided
}

/// Timeout of a call that releases a KV cache.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Releases an unused KV cache in the background.
pub fn release_kv_cache(gateway: &Rc<Gateway>, server: ServerKey, handle: &str) {
    let gateway = gateway.clone();
    let path = gateway.dialect.release_path(handle);
    let handle: Box<str> = handle.into();
    actix_rt::spawn(async move {
        let release = send_release(&gateway, server, &path);
        match tokio::time::timeout(RELEASE_TIMEOUT, release).await {
            Ok(Ok(())) => log::info!(handle; "kv_cache_released"),
            Ok(Err(error)) => log::warn!(handle, reason:% = error; "kv_cache_not_released"),
            Err(_) => log::warn!(handle, reason = "no answer in time"; "kv_cache_not_released"),
        }
    });
}

async fn send_release(
    gateway: &Rc<Gateway>,
    server: ServerKey,
    path: &str,
) -> Result<(), CallError> {
    let address = address_of(gateway, server)?;
    if gateway.limit_of(server).is_some() || gateway.is_resting(server) {
        // The KV cache expires by itself; the permits are for completions.
        return Err(CallError::NotSent("the server limits its requests or rests".into()));
    }
    let connection = acquire(gateway, server).await?;
    let mut head = RequestHead::default();
    head.method = Method::DELETE;
    head.uri = Uri::try_from(path).map_err(|error| CallError::NotSent(error.to_string().into()))?;
    let host = header::HeaderValue::try_from(address.to_string());
    head.headers.insert(header::HOST, host.expect("an address is a header value"));
    count_limited(gateway, server);
    let called_at = gateway.clock.now();
    let examine = |head: &ResponseHead, is_first| examine(gateway, server, None, head, is_first);
    let (head, mut body) = connection.send(head, &[], examine).await?;
    let facts = gateway.dialect.read_response(&head);
    observe_limit(gateway, server, head.status, &facts, called_at);
    body.discard(MAX_REFUSAL_BYTES).await?;
    keep_connection(gateway, server, body, facts.idle_timeout);
    Ok(())
}
