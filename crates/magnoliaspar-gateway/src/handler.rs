//! Handles a request of a caller: checks it, forwards it, and logs and counts its result.

use std::error::Error;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::header;
use actix_http::{ConnectionType, Request, RequestHead, Response, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use magnoliaspar_access::Workspace;
use magnoliaspar_http::CallerEnd;
use magnoliaspar_retry::{PartHasher, PartId};

use crate::access::{authenticate, refuse_unrouted};
use crate::call::{Incoming, copy_request_head, strip_connection_headers};
use crate::dialect::RequestFacts;
use crate::gateway::{Gateway, InFlight};
use crate::quarantine::parts_of_call;
use crate::refusal::Refusal;
use crate::request_body::RequestBody;
use crate::route::{Route, RouteKind, Routing, ServiceName};
use crate::shutdown::RequestState;
use crate::stream;
use crate::unary::{self, Outcome};

/// Timeout of a request without one from the caller.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Time after its deadline at which a request without a response gets one, whatever it waits for. It is longer than
/// what may follow the deadline in order: a connection that is opened, and a retry or permit that is asked for.
const OVERRUN_LIMIT: Duration = Duration::from_millis(350);

/// Time for which a request goes on after its caller has closed the sending side.
///
/// A caller that still reads gets an answer that is ready by then. One that has left looks the same.
const CLOSED_CALLER_TIME: Duration = Duration::from_millis(250);

/// Serves one request.
pub async fn serve(gateway: Rc<Gateway>, mut req: Request) -> Response<BoxBody> {
    let guard = gateway.track_request();
    let state = guard.state.clone();
    let mut cx = RequestContext::new(state.clone());
    let end = CallerEnd::of(&req);
    // No state of the gateway is borrowed while a request waits, and what the request holds is released on drop.
    let forwarded = AssertUnwindSafe(forward(&gateway, &mut req, &mut cx)).catch_unwind();
    let outcome = tokio::select! {
        biased;
        outcome = forwarded => outcome.unwrap_or_else(|_| Outcome::Refused(refuse_panicked(&state))),
        () = caller_left(end.clone()) => Outcome::Refused(state.refusal_to_closed_caller()),
        () = gateway.final_responses_due() => Outcome::Refused(state.final_refusal()),
    };
    let mut response = finish(&gateway, &cx, outcome);
    if gateway.is_stopping() || end.closes_after_response() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    state.has_responded.set(true);
    response.map_body(|_, body| GuardedBody::new(body, guard, end).boxed())
}

/// Waits until a caller that has closed its sending side gets no more time.
async fn caller_left(end: CallerEnd) {
    end.closed().await;
    tokio::time::sleep(CLOSED_CALLER_TIME).await;
}

/// Checks a request and forwards it to servers.
async fn forward(gateway: &Rc<Gateway>, req: &mut Request, cx: &mut RequestContext) -> Outcome {
    let incoming = match check(gateway, req, cx).await {
        Ok(incoming) => Rc::new(incoming),
        Err(refusal) => return Outcome::Refused(refusal),
    };
    let forwarded = async {
        match incoming.route.kind {
            RouteKind::Stream { .. } => stream::forward(gateway, incoming.clone()).await,
            RouteKind::Idempotent | RouteKind::AtMostOnce => {
                unary::forward(gateway, &incoming).await
            }
        }
    };
    tokio::select! {
        biased;
        outcome = forwarded => outcome,
        () = gateway.wait_until(incoming.deadline + OVERRUN_LIMIT) => {
            Outcome::Refused(refuse_overrun(&incoming.state))
        }
    }
}

/// Logs that the attempts of a request have outlasted its deadline and are dropped, and returns its refusal.
fn refuse_overrun(state: &RequestState) -> Refusal {
    let (request, server) = (&**state.id.borrow(), &**state.server.borrow());
    let may_have_run = state.may_have_run();
    log::error!(request, server, may_have_run; "deadline_overrun");
    if may_have_run { Refusal::Deadline } else { Refusal::DeadlineBeforeStart }
}

/// Logs that the handler of a request has panicked, and returns the refusal of the request.
fn refuse_panicked(state: &RequestState) -> Refusal {
    let (request, server) = (&**state.id.borrow(), &**state.server.borrow());
    let may_have_run = state.may_have_run();
    log::error!(request, server, may_have_run; "request_panicked");
    if may_have_run { Refusal::MayHaveRun } else { Refusal::Panicked }
}

/// A body whose request counts as in flight until it has been handed to the connection.
///
/// A stream ends without the end of its framing once its caller has left.
struct GuardedBody {
    body: BoxBody,
    guard: InFlight,
    /// Completes once the caller has left; `None` for a body that is whole.
    left: Option<LocalBoxFuture<'static, ()>>,
}

impl GuardedBody {
    fn new(body: BoxBody, guard: InFlight, end: CallerEnd) -> Self {
        let is_stream = matches!(body.size(), BodySize::Stream);
        let left = is_stream.then(|| Box::pin(caller_left(end)) as LocalBoxFuture<'static, ()>);
        Self { body, guard, left }
    }
}

impl MessageBody for GuardedBody {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if let Poll::Ready(part) = Pin::new(&mut self.body).poll_next(cx) {
            return Poll::Ready(part);
        }
        let Some(left) = &mut self.left else { return Poll::Pending };
        ready!(left.as_mut().poll(cx));
        log::info!(request = &**self.guard.state.id.borrow(); "stream_ended_by_caller");
        Poll::Ready(Some(Err("the caller has closed its sending side".into())))
    }
}

/// Results of the checks so far.
struct RequestContext {
    received: Instant,
    facts: Option<RequestFacts>,
    route: Option<Rc<Route>>,
    service: Option<ServiceName>,
    workspace: Option<Rc<Workspace>>,
    parts: Box<[PartId]>,
    version: u64,
    state: Rc<RequestState>,
}

impl RequestContext {
    fn new(state: Rc<RequestState>) -> Self {
        Self {
            received: state.received,
            facts: None,
            route: None,
            service: None,
            workspace: None,
            parts: Box::default(),
            version: 0,
            state,
        }
    }

    /// Returns the time for which every instance refuses the request.
    fn quarantined_for(&self, gateway: &Gateway) -> Duration {
        let service = self.service.as_deref().unwrap_or_default();
        gateway.quarantined_for(service, &self.parts).unwrap_or_default()
    }
}

impl RequestContext {
    /// Returns the time after which the caller may send a request again that was refused, if it may.
    fn retry_after(&self, gateway: &Gateway, refusal: Refusal) -> Option<Duration> {
        if refusal == Refusal::OverLimit {
            return Some(self.state.over_limit_for.get());
        }
        if refusal.status() != StatusCode::SERVICE_UNAVAILABLE {
            return None;
        }
        // Other instances can take the request immediately.
        if refusal == Refusal::Stopping {
            return Some(Duration::ZERO);
        }
        let elapsed = gateway.clock.now() - self.received;
        let timeout = self.facts.as_ref().and_then(|facts| facts.timeout);
        let remaining = timeout.unwrap_or_default().saturating_sub(elapsed);
        let Some(route) = &self.route else { return Some(remaining.mul_f64(0.3)) };
        let spread = gateway.retry_after(route, remaining);
        let service = self.service.as_deref().unwrap_or_default();
        Some(match refusal {
            // Until then every instance refuses the request.
            Refusal::Quarantined => spread.max(self.quarantined_for(gateway)),
            Refusal::ServerLimit => {
                let candidates = gateway.candidates(service, &[]);
                let waits = candidates.iter().filter_map(|candidate| candidate.permit_wait);
                spread.max(waits.min().unwrap_or_default())
            }
            // The request itself may have led to the wish for rest. The callers of all instances would return at
            // once when it ends.
            Refusal::NoCapacity => {
                gateway.retry_after_overload(remaining)
                    + gateway.rest_of_service(service, &[]).unwrap_or_default()
            }
            Refusal::ServersResting | Refusal::NoServer => {
                spread + gateway.rest_of_service(service, &[]).unwrap_or_default()
            }
            _ => spread,
        })
    }
}

/// Checks a request in order: configuration, identifier, route, body, shutdown deadline.
async fn check(
    gateway: &Gateway,
    req: &mut Request,
    cx: &mut RequestContext,
) -> Result<Incoming, Refusal> {
    let facts = gateway.dialect.read_request(req.head());
    cx.facts.clone_from(&facts);
    if let Some(facts) = &facts {
        cx.state.id.replace(facts.id.clone());
    }
    let unconfigured =
        if gateway.is_stopping() { Refusal::Stopping } else { Refusal::NoConfiguration };
    let routing = gateway.routing().ok_or(unconfigured)?;
    cx.version = routing.version;
    let facts = facts.ok_or(Refusal::NoIdentifier)?;
    if facts.intended_server.as_deref().is_some_and(|server| gateway.has_address_of(server)) {
        return Err(Refusal::SentByInstance);
    }
    let route = find_route(&routing, req.head()).ok_or_else(|| refuse_unrouted(gateway))?;
    cx.route = Some(route.clone());
    authenticate(gateway, &routing, &route, req.path(), facts.credentials)?;
    let timeout = facts.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    // A caller that still sends would lose an answer over an unread body, and a late body costs no server anything.
    let body_timeout = routing.limits.head_timeout.max(timeout);
    let body_due_at = cx.received + body_timeout;
    let body = tokio::select! {
        biased;
        body = RequestBody::read(gateway, req, &facts.id, routing.limits.max_body) => body?,
        () = gateway.wait_until(body_due_at) => return Err(Refusal::BodyLate),
    };
    let had_keys = routing.workspaces.is_some();
    // The configuration may have changed while the body was received. What was sent as a key stays one.
    let routing = gateway.routing().ok_or(unconfigured)?;
    let has_keys = had_keys || routing.workspaces.is_some();
    let route = find_route(&routing, req.head()).unwrap_or(route);
    cx.version = routing.version;
    cx.route = Some(route.clone());
    let workspace = authenticate(gateway, &routing, &route, req.path(), facts.credentials)?;
    cx.workspace.clone_from(&workspace);
    let service =
        route.choose_service(gateway.random_fraction()).cloned().ok_or(Refusal::NoServer)?;
    cx.service = Some(service.clone());
    let timeout = facts.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let mut head = copy_request_head(req.head());
    strip_connection_headers(&mut head.headers);
    if has_keys {
        head.headers.remove(header::AUTHORIZATION);
    }
    let received = cx.received;
    let parts = match route.kind {
        RouteKind::Stream { .. } => parts_of(&facts, req.head(), body.blocks()),
        RouteKind::Idempotent | RouteKind::AtMostOnce => {
            parts_of_call(req.head(), has_keys, workspace.as_deref(), body.blocks())
        }
    };
    cx.parts.clone_from(&parts);
    let deadline = received + timeout;
    let state = cx.state.clone();
    let incoming =
        Incoming { facts, route, workspace, service, parts, head, body, received, deadline, state };
    if !gateway.may_start(&incoming) {
        return Err(Refusal::Stopping);
    }
    gateway.fund_retries(&incoming.service);
    Ok(incoming)
}

/// Returns the shared parts of a completion's prompt and a fingerprint, by which a request that is sent again is
/// recognized.
fn parts_of(facts: &RequestFacts, head: &RequestHead, body: &[Bytes]) -> Box<[PartId]> {
    let mut content = PartHasher::default();
    content.add(head.uri.path().as_bytes());
    content.add(&[0]);
    for block in body {
        content.add(block);
    }
    let mut parts = facts.shared_parts.to_vec();
    parts.push(content.part());
    parts.into()
}

fn find_route(routing: &Routing, head: &RequestHead) -> Option<Rc<Route>> {
    let host = head.headers().get(header::HOST)?.to_str().ok()?;
    routing.find(host, head.uri.path())
}

/// Logs and counts the result of a request, and builds the response.
fn finish(gateway: &Gateway, cx: &RequestContext, outcome: Outcome) -> Response<BoxBody> {
    let elapsed = gateway.clock.now() - cx.received;
    let elapsed_ms = elapsed.as_millis() as u64;
    let request = cx.facts.as_ref().map_or("", |facts| &facts.id);
    let kind = cx.route.as_ref().map_or("unrouted", |route| route.kind.as_str());
    let route = cx.route.as_ref().map_or("", |route| &*route.name);
    let service = cx.service.as_deref().unwrap_or_default();
    let version = cx.version;
    let servers_revision = gateway.servers_position.last_change().revision;
    if let Some(workspace) = &cx.workspace {
        let is_refused = matches!(outcome, Outcome::Refused(_));
        let outcome = if is_refused { "refused" } else { "answered" };
        gateway.metrics.count_workspace_request(&workspace.name, outcome);
    }
    match outcome {
        Outcome::Response(response, server) => {
            let status = response.status().as_u16();
            let stage = if kind.ends_with("stream") { "head" } else { "whole" };
            gateway.metrics.observe(kind, stage, elapsed);
            if stage == "whole" {
                gateway.metrics.count_request(kind, "answered");
            }
            log::info!(request, route, service, version, servers_revision, server = &*server, status, elapsed_ms; "answered");
            response
        }
        Outcome::Refused(refusal) => {
            let retry_after = cx.retry_after(gateway, refusal);
            let status = refusal.status().as_u16();
            gateway.metrics.count_request(kind, "refused");
            gateway.metrics.count_refusal(refusal);
            let retry_after_ms = retry_after.map(|wait| wait.as_millis() as u64);
            let stops_in_ms = gateway.stops_in().map(|left| left.as_millis() as u64);
            log::warn!(request, route, service, version, servers_revision, status, reason:% = refusal, elapsed_ms, retry_after_ms:?, stops_in_ms:?; "refused");
            let mut response = refusal.response(retry_after);
            gateway.dialect.write_refusal(response.headers_mut(), request);
            response
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Instant;

    use super::{refuse_overrun, refuse_panicked};
    use crate::refusal::Refusal;
    use crate::shutdown::RequestState;

    #[test]
    fn a_request_that_a_server_may_have_run_is_never_refused_as_not_run() {
        let state = RequestState::new(Instant::now());
        assert_eq!(refuse_overrun(&state), Refusal::DeadlineBeforeStart);
        assert_eq!(refuse_panicked(&state), Refusal::Panicked);
        state.record_sent("s1");
        assert_eq!(refuse_overrun(&state), Refusal::Deadline);
        assert_eq!(refuse_panicked(&state), Refusal::MayHaveRun);
        state.record_not_run();
        assert_eq!(refuse_overrun(&state), Refusal::DeadlineBeforeStart);
    }
}
