use actix_http::body::BoxBody;
use actix_http::{Payload, Response};
use awc::ClientResponse;
use bytes::Bytes;
use futures_util::future::{Either, select};
use magnoliaspar_core::{AttemptId, Outcome, Refusal, ServerName};
use magnoliaspar_declaration::{Route, ServiceRoute};
use magnoliaspar_event::EventKind;

use super::forward::{ForwardHead, limited, pass_on, refuse, whole};
use super::pick::ServicePick;
use super::{attempt_timeout, pick};
use crate::caller::body::read_body;
use crate::caller::context::CallContext;
use crate::service::ServiceError;

/// The largest body that is kept in memory for a retry, in bytes.
const MAX_RETRIED_BYTES: usize = 64 << 10;

/// How many rounds of calls one request has at most.
const MAX_ROUNDS: u32 = 3;

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
    let mut calls = RepeatedCall { cx, route, service, body, failed: Vec::new(), lost: false };
    calls.run().await
}

/// A call and its retries.
struct RepeatedCall<'a> {
    cx: &'a CallContext,
    route: &'a Route,
    service: &'a ServiceRoute,
    body: Bytes,
    failed: Vec<ServerName>,
    lost: bool,
}

/// An answer whose body has not arrived yet.
struct Answered {
    answer: ClientResponse,
    pick: ServicePick,
}

/// A call that gave no answer.
struct FailedCall {
    server: ServerName,
    error: ServiceError,
}

impl RepeatedCall<'_> {
    async fn run(&mut self) -> Result<Response<BoxBody>, Refusal> {
        let guard = self.cx.instance.service_guard.clone();
        let mut round = 0;
        loop {
            let error = match self.call_hedged().await {
                Ok(Ok(answered)) => return Ok(pass_on(answered.answer, answered.pick)),
                Ok(Err(error)) => error,
                Err(refusal) => return Err(self.refuse(refusal)),
            };
            round += 1;
            if round == MAX_ROUNDS || !guard.take_retry(&self.cx.chosen_route()?.name) {
                return Err(self.refuse(refuse(&error)));
            }
            tokio::time::sleep(guard.backoff(round - 1)).await;
        }
    }

    /// Calls one server, and a second one if the first is slow and the route allows that.
    async fn call_hedged(&mut self) -> Result<Result<Answered, ServiceError>, Refusal> {
        let guard = self.cx.instance.service_guard.clone();
        let route = self.cx.chosen_route()?.name.clone();
        let delay = guard.hedge_delay(&route, self.service.repeat);
        let first_pick = pick(self.cx, self.service, &self.failed)?;
        let first_server = first_pick.server.name.clone();
        let first = Box::pin(self.call_server(first_pick)?);
        let Some(delay) = delay else { return Ok(self.settle(first.await)) };
        let first = match select(first, Box::pin(tokio::time::sleep(delay))).await {
            Either::Left((ended, _)) => return Ok(self.settle(ended)),
            Either::Right((_, first)) => first,
        };
        let mut others = self.failed.clone();
        others.push(first_server.clone());
        let second_pick = pick(self.cx, self.service, &others)?;
        let has_other = second_pick.server.name != first_server;
        if !has_other || !guard.take_hedge(&route, self.service.repeat) {
            return Ok(self.settle(first.await));
        }
        let second = Box::pin(self.call_server(second_pick)?);
        let (ended, other) = match select(first, second).await {
            Either::Left((ended, other)) => (ended, Either::Left(other)),
            Either::Right((ended, other)) => (ended, Either::Right(other)),
        };
        if ended.is_ok() {
            return Ok(self.settle(ended));
        }
        let _ = self.settle(ended);
        let ended = match other {
            Either::Left(other) => other.await,
            Either::Right(other) => other.await,
        };
        Ok(self.settle(ended))
    }

    /// Starts a call of one server.
    fn call_server<'c>(
        &self,
        pick: ServicePick,
    ) -> Result<impl Future<Output = Result<Answered, FailedCall>> + use<'c>, Refusal> {
        let timeout = attempt_timeout(self.cx, self.route)?;
        let instance = self.cx.instance.clone();
        let route = self.cx.chosen_route()?.name.clone();
        let request_id = self.cx.request_id.clone();
        let attempt = AttemptId(self.failed.len() as u64 + 1);
        let head = ForwardHead::of(self.cx);
        let body = whole(&self.body);
        Ok(async move {
            let server = pick.server.name.clone();
            instance.journal.record_on(&request_id, &server, EventKind::Dispatched { attempt });
            let start = instance.clock.now();
            let result = head.send(&instance.services, &pick, body, timeout).await;
            instance.service_guard.record(&pick.server.pool, &pick.server, result.is_ok());
            match result {
                Ok(answer) => {
                    let latency = instance.clock.now().saturating_duration_since(start);
                    instance.service_guard.answered(&route, latency);
                    Ok(Answered { answer, pick })
                }
                Err(error) => {
                    let cause = error.to_string().into();
                    let failure = EventKind::AttemptFailed { attempt, cause };
                    instance.journal.record_on(&request_id, &server, failure);
                    Err(FailedCall { server, error })
                }
            }
        })
    }

    fn settle(&mut self, ended: Result<Answered, FailedCall>) -> Result<Answered, ServiceError> {
        ended.map_err(|failed| {
            self.lost |= !matches!(failed.error, ServiceError::NotReached(_));
            self.failed.push(failed.server);
            failed.error
        })
    }

    /// Refuses the request; it may have run if any of its calls may have.
    fn refuse(&self, mut refusal: Refusal) -> Refusal {
        if self.lost {
            refusal.outcome = Outcome::MayHaveRun;
        }
        refusal
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
