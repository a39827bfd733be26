//! Calls of plain services.

mod claimed;
mod forward;
mod guard;
mod pick;
mod repeat;

pub use self::guard::ServiceGuard;
pub use self::pick::{ServiceLoad, ServicePick};

use actix_http::Response;
use actix_http::body::BoxBody;
use magnoliaspar_core::{Refusal, RefusalCode};
use magnoliaspar_declaration::{RepeatRule, Route, RouteTarget, ServiceRoute};

use super::context::CallContext;

/// Passes a call on to a plain service, as often as its route allows.
pub async fn call(cx: &mut CallContext) -> Result<Response<BoxBody>, Refusal> {
    let route = cx.chosen_route()?.route.clone();
    let RouteTarget::Service(service) = &route.target else {
        return Err(Refusal::not_run(RefusalCode::NotFound, "the route leads to a model"));
    };
    match service.repeat {
        RepeatRule::AtMostOnce => claimed::call(cx, &route, service).await,
        RepeatRule::Lookup | RepeatRule::Idempotent => repeat::call(cx, &route, service).await,
    }
}

/// Chooses a server of a route's pool, other than those in `failed`.
fn pick(
    cx: &CallContext,
    service: &ServiceRoute,
    failed: &[magnoliaspar_core::ServerName],
) -> Result<ServicePick, Refusal> {
    let servers = cx.instance.directory.live_servers(&service.pool);
    let servers = cx.instance.service_guard.usable(&service.pool, servers);
    cx.instance
        .service_load
        .pick(&servers, failed)
        .ok_or_else(|| Refusal::not_run(RefusalCode::NoServer, "no server of the pool is live"))
}

/// Returns how long one attempt may wait for the head of an answer.
fn attempt_timeout(cx: &CallContext, route: &Route) -> Result<std::time::Duration, Refusal> {
    let deadline = cx.deadline_within(route.limits.duration);
    let left = deadline.saturating_duration_since(cx.instance.clock.now());
    if left.is_zero() {
        return Err(Refusal::not_run(RefusalCode::Deadline, "the deadline has passed"));
    }
    Ok(left.min(route.limits.progress))
}
