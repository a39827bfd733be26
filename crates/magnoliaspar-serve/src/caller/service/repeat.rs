use actix_http::body::BoxBody;
use actix_http::{Payload, Response};
use bytes::Bytes;
use magnoliaspar_core::{AttemptId, Outcome, Refusal, ServerName};
use magnoliaspar_declaration::{Route, ServiceRoute};
use magnoliaspar_event::EventKind;

use super::forward::{ForwardHead, limited, pass_on, refuse, whole};
use super::{attempt_timeout, pick};
use crate::caller::body::read_body;
use crate::caller::context::CallContext;
use crate::service::ServiceError;

/// The largest body that is kept in memory for a retry, in bytes.
const MAX_RETRIED_BYTES: usize = 64 << 10;

/// How many attempts one request has at most.
const MAX_ATTEMPTS: u64 = 3;

/// Calls a service whose calls may be repeated, and tries another server after a failure.
///
/// A body that is too large to keep is streamed through once, so that a failure after the first
/// byte is passed on.
pub async fn call(
    cx: &mut CallContext,
    route: &Route,
    service: &ServiceRoute,
) -> Result<Response<BoxBody>, Refusal> {
    if !is_kept(cx) {
        return call_once(cx, route, service).await;
    }
    let limit = route.limits.body_bytes.min(MAX_RETRIED_BYTES);
    let body = read_body(&mut cx.payload, limit).await?;
    let mut failed = Vec::new();
    let mut may_have_run = false;
    loop {
        let attempt = AttemptId(failed.len() as u64 + 1);
        let error = match call_server(cx, route, service, &body, &mut failed).await? {
            Ok(res) => return Ok(res),
            Err(error) => error,
        };
        may_have_run |= !matches!(error, ServiceError::NotReached(_));
        if attempt.0 >= MAX_ATTEMPTS {
            let mut refusal = refuse(&error);
            if may_have_run {
                refusal.outcome = Outcome::MayHaveRun;
            }
            return Err(refusal);
        }
    }
}

async fn call_server(
    cx: &CallContext,
    route: &Route,
    service: &ServiceRoute,
    body: &Bytes,
    failed: &mut Vec<ServerName>,
) -> Result<Result<Response<BoxBody>, ServiceError>, Refusal> {
    let timeout = attempt_timeout(cx, route)?;
    let pick = pick(cx, service, failed)?;
    let attempt = AttemptId(failed.len() as u64 + 1);
    let name = pick.server.name.clone();
    cx.instance.journal.record_on(&cx.request_id, &name, EventKind::Dispatched { attempt });
    let head = ForwardHead::of(cx);
    match head.send(&cx.instance.services, &pick, whole(body), timeout).await {
        Ok(answer) => Ok(Ok(pass_on(answer, pick))),
        Err(error) => {
            let failure = EventKind::AttemptFailed { attempt, cause: error.to_string().into() };
            cx.instance.journal.record_on(&cx.request_id, &name, failure);
            failed.push(name);
            Ok(Err(error))
        }
    }
}

/// Streams a body through to one server.
async fn call_once(
    cx: &mut CallContext,
    route: &Route,
    service: &ServiceRoute,
) -> Result<Response<BoxBody>, Refusal> {
    let timeout = attempt_timeout(cx, route)?;
    let pick = pick(cx, service, &[])?;
    let payload = std::mem::replace(&mut cx.payload, Payload::None);
    let body = limited(payload, route.limits.body_bytes);
    let answer = ForwardHead::of(cx).send(&cx.instance.services, &pick, body, timeout).await;
    let answer = answer.map_err(|error| refuse(&error))?;
    Ok(pass_on(answer, pick))
}

/// Whether the body is known to be small enough to be kept for a retry.
fn is_kept(cx: &CallContext) -> bool {
    if cx.head.header("transfer-encoding").is_some() {
        return false;
    }
    let Some(length) = cx.head.header("content-length") else { return true };
    length.parse::<usize>().is_ok_and(|length| length <= MAX_RETRIED_BYTES)
}
