//! Calls of plain services: choice of a server, retries, hedging and at-most-once dispatch.

mod at_most_once;
mod forward;
mod pick;
mod resilience;
mod retry;

pub use self::pick::{ServiceLoad, ServicePick};
pub use self::resilience::ServiceResilience;

use actix_http::Response;
use actix_http::body::BoxBody;
use magnoliaspar_core::{Refusal, RefusalCode};
use magnoliaspar_declaration::{RepeatRule, Route, RouteTarget, ServiceRoute};

use super::context::CallContext;

/// Forwards a call to a plain service, with retries if its route allows them.
pub async fn call(cx: &mut CallContext) -> Result<Response<BoxBody>, Refusal> {
    let route = cx.chosen_route()?.route.clone();
    let RouteTarget::Service(service) = &route.target else {
        return Err(Refusal::not_run(
            RefusalCode::NotFound,
            "the route serves a model, not a plain service",
        ));
    };
    match service.repeat {
        RepeatRule::AtMostOnce => at_most_once::call(cx, &route, service).await,
        RepeatRule::Lookup | RepeatRule::Idempotent => retry::call(cx, &route, service).await,
    }
}

/// Chooses a server of a route's pool, and prefers those that are not in `failed`.
fn pick_server(
    cx: &CallContext,
    service: &ServiceRoute,
    failed: &[magnoliaspar_core::ServerName],
) -> Result<ServicePick, Refusal> {
    let servers = cx.instance.directory.live_servers(&service.pool);
    let servers = cx.instance.service_resilience.usable(&service.pool, servers);
    cx.instance
        .service_load
        .pick(&servers, failed)
        .ok_or_else(|| Refusal::not_run(RefusalCode::NoServer, "no server of the pool is live"))
}

/// Returns the timeout of one attempt, from its start to the head of the answer.
fn attempt_timeout(cx: &CallContext, route: &Route) -> Result<std::time::Duration, Refusal> {
    let deadline = cx.deadline_within(route.limits.duration);
    let time_left = deadline.saturating_duration_since(cx.instance.clock.now());
    if time_left.is_zero() {
        return Err(Refusal::not_run(RefusalCode::Deadline, "the deadline has passed"));
    }
    Ok(time_left.min(route.limits.progress))
}
