//! Handles a request of a caller: checks it, forwards it, and logs and counts its result.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::header;
use actix_http::{ConnectionType, Request, RequestHead, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use magnoliaspar_retry::PartId;

use crate::call::{Incoming, copy_request_head, strip_connection_headers};
use crate::dialect::RequestFacts;
use crate::gateway::Gateway;
use crate::refusal::Refusal;
use crate::route::{CallerLimits, Route, RouteKind, Routing, ServiceName};
use crate::stream;
use crate::unary::{self, Outcome};

/// Timeout of a request without one from the caller.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Serves one request.
pub async fn serve(gateway: Rc<Gateway>, mut req: Request) -> Response<BoxBody> {
    let guard = gateway.track_request();
    let received = gateway.clock.now();
    let mut cx = RequestContext { received, ..RequestContext::default() };
    let outcome = match check(&gateway, &mut req, &mut cx).await {
        Ok(incoming) => {
            let incoming = Rc::new(incoming);
            match incoming.route.kind {
                RouteKind::Stream { .. } => stream::forward(&gateway, incoming, guard).await,
                RouteKind::Idempotent | RouteKind::AtMostOnce => {
                    unary::forward(&gateway, &incoming).await
                }
            }
        }
        Err(refusal) => Outcome::Refused(refusal),
    };
    let mut response = finish(&gateway, &cx, outcome);
    if gateway.is_stopping() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

/// Results of the checks so far.
struct RequestContext {
    received: Instant,
    facts: Option<RequestFacts>,
    route: Option<Rc<Route>>,
    service: Option<ServiceName>,
    parts: Box<[PartId]>,
    version: u64,
}

impl Default for RequestContext {
    fn default() -> Self {
        Self {
            received: Instant::now(),
            facts: None,
            route: None,
            service: None,
            parts: Box::default(),
            version: 0,
        }
    }
}

impl RequestContext {
    /// Returns the time for which every instance refuses the request.
    fn quarantined_for(&self, gateway: &Gateway) -> Duration {
        let service = self.service.as_deref().unwrap_or_default();
        gateway.quarantined_for(service, &self.parts).unwrap_or_default()
    }
}

impl RequestContext {
    /// Returns the time after which the caller may send a request again that was refused, if it may.
    fn retry_after(&self, gateway: &Gateway, refusal: Refusal) -> Option<Duration> {
        if refusal.status() != StatusCode::SERVICE_UNAVAILABLE {
            return None;
        }
        let elapsed = gateway.clock.now() - self.received;
        let timeout = self.facts.as_ref().and_then(|facts| facts.timeout);
        let remaining = timeout.unwrap_or_default().saturating_sub(elapsed);
        let Some(route) = &self.route else { return Some(remaining.mul_f64(0.3)) };
        let spread = gateway.retry_after(route, remaining);
        let service = self.service.as_deref().unwrap_or_default();
        Some(match refusal {
            // Other instances can take the request immediately.
            Refusal::Stopping => Duration::ZERO,
            // Until then every instance refuses the request.
            Refusal::Quarantined => spread.max(self.quarantined_for(gateway)),
            Refusal::ServerLimit => {
                let candidates = gateway.candidates(service, &[]);
                let waits = candidates.iter().filter_map(|candidate| candidate.permit_wait);
                spread.max(waits.min().unwrap_or_default())
            }
            // The request itself may have led to the wish for rest. The callers of all instances would return at
            // once when it ends.
            Refusal::ServersResting | Refusal::NoServer | Refusal::NoCapacity => {
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
    let routing = gateway.routing().ok_or(Refusal::NoConfiguration)?;
    cx.version = routing.version;
    let facts = facts.ok_or(Refusal::NoIdentifier)?;
    if facts.intended_server.as_deref().is_some_and(|server| gateway.has_address_of(server)) {
        return Err(Refusal::SentByInstance);
    }
    let route = find_route(&routing, req.head()).ok_or(Refusal::NoRoute)?;
    cx.route = Some(route.clone());
    let body = read_body(req, &routing.limits).await?;
    // The configuration may have changed while the body was received.
    let routing = gateway.routing().ok_or(Refusal::NoConfiguration)?;
    let route = find_route(&routing, req.head()).unwrap_or(route);
    cx.version = routing.version;
    cx.route = Some(route.clone());
    if !gateway.can_finish(route.kind, &facts) {
        return Err(Refusal::Stopping);
    }
    let service =
        route.choose_service(gateway.random_fraction()).cloned().ok_or(Refusal::NoServer)?;
    cx.service = Some(service.clone());
    gateway.fund_retries(&service);
    let timeout = facts.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let mut head = copy_request_head(req.head());
    strip_connection_headers(&mut head.headers);
    let received = cx.received;
    let parts = parts_of(&facts, req.head(), &body);
    cx.parts.clone_from(&parts);
    let deadline = received + timeout;
    Ok(Incoming { facts, route, service, parts, head, body, received, deadline })
}

/// Returns the shared parts of a prompt and a fingerprint, by which a request that is sent again is
/// recognized.
fn parts_of(facts: &RequestFacts, head: &RequestHead, body: &[u8]) -> Box<[PartId]> {
    let mut content = head.uri.path().as_bytes().to_vec();
    content.push(0);
    content.extend_from_slice(body);
    let mut parts = facts.shared_parts.to_vec();
    parts.push(PartId::of(&content));
    parts.into()
}

fn find_route(routing: &Routing, head: &RequestHead) -> Option<Rc<Route>> {
    let host = head.headers().get(header::HOST)?.to_str().ok()?;
    routing.find(host, head.uri.path())
}

async fn read_body(req: &mut Request, limits: &CallerLimits) -> Result<Bytes, Refusal> {
    let mut payload = req.take_payload();
    let mut whole = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else { return Err(Refusal::BodyIncomplete) };
        if whole.len() + chunk.len() > limits.max_body {
            return Err(Refusal::BodyTooLarge);
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}

/// Logs and counts the result of a request, and builds the response.
fn finish(gateway: &Gateway, cx: &RequestContext, outcome: Outcome) -> Response<BoxBody> {
    let elapsed = gateway.clock.now() - cx.received;
    let elapsed_ms = elapsed.as_millis() as u64;
    let request = cx.facts.as_ref().map_or("", |facts| &facts.id);
    let kind = cx.route.as_ref().map_or("unrouted", |route| route.kind.as_str());
    let route = cx.route.as_ref().map_or("", |route| route.name.as_str());
    let service = cx.service.as_deref().unwrap_or_default();
    let version = cx.version;
    let servers_revision = gateway.servers_position.last_change();
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
            log::warn!(request, route, service, version, servers_revision, status, reason:% = refusal, elapsed_ms, retry_after_ms:?; "refused");
            let mut response = refusal.response(retry_after);
            gateway.dialect.write_refusal(response.headers_mut(), request);
            response
        }
    }
}
