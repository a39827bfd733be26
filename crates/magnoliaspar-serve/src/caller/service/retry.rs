//! Calls of plain services that may be repeated: retries and hedged calls.

use actix_http::body::BoxBody;
use actix_http::{Payload, Response};
use awc::ClientResponse;
use bytes::Bytes;
use futures_util::future::{Either, select};
use magnoliaspar_core::{AttemptId, Outcome, Refusal, ServerName};
use magnoliaspar_declaration::{Route, ServiceRoute};
use magnoliaspar_event::EventKind;

use super::forward::{ForwardHead, buffered_body, limited_body, relay_answer, to_refusal};
use super::pick::ServicePick;
use super::{attempt_timeout, pick_server};
use crate::caller::body::read_body;
use crate::caller::context::CallContext;
use crate::service::ServiceError;

/// Maximum size of a body that is buffered for retries, in bytes.
const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;

/// Maximum number of rounds per request; a round is a call and possibly its hedged call.
const MAX_ROUNDS: u32 = 3;

/// Calls a service whose calls may be repeated, and retries on another server after a failure.
///
/// A body that is too large to buffer is streamed to one server, so its call is not retried and a
/// failure is reported to the caller.
pub async fn call(
    cx: &mut CallContext,
    route: &Route,
    service: &ServiceRoute,
) -> Result<Response<BoxBody>, Refusal> {
    if !is_bufferable(cx) {
        return call_unbuffered(cx, route, service).await;
    }
    let limit = route.limits.body_bytes.min(MAX_BUFFERED_BODY_BYTES);
    let body = read_body(&mut cx.payload, limit).await?;
    let mut calls =
        RetriedCall { cx, route, service, body, failed: Vec::new(), may_have_run: false };
    calls.run().await
}

/// A call and its retries.
struct RetriedCall<'a> {
    cx: &'a CallContext,
    route: &'a Route,
    service: &'a ServiceRoute,
    body: Bytes,
    /// The servers whose attempts failed.
    failed: Vec<ServerName>,
    /// True if any failed attempt may have run.
    may_have_run: bool,
}

/// A call whose answer has started; its body is still to be read.
struct AnsweredCall {
    answer: ClientResponse,
    pick: ServicePick,
}

/// A call that failed before the head of an answer.
struct FailedCall {
    server: ServerName,
    error: ServiceError,
}

impl RetriedCall<'_> {
    async fn run(&mut self) -> Result<Response<BoxBody>, Refusal> {
        let resilience = self.cx.instance.service_resilience.clone();
        let mut round = 0;
        loop {
            let error = match self.call_hedged().await {
                Ok(Ok(answered)) => return Ok(relay_answer(answered.answer, answered.pick)),
                Ok(Err(error)) => error,
                Err(refusal) => return Err(self.with_outcome(refusal)),
            };
            round += 1;
            if round == MAX_ROUNDS || !resilience.take_retry(&self.cx.chosen_route()?.name) {
                return Err(self.with_outcome(to_refusal(&error)));
            }
            tokio::time::sleep(resilience.backoff(round - 1)).await;
        }
    }

    /// Calls one server, and hedges with a second one if the first is slow and the route allows it.
    async fn call_hedged(&mut self) -> Result<Result<AnsweredCall, ServiceError>, Refusal> {
        let resilience = self.cx.instance.service_resilience.clone();
        let route = self.cx.chosen_route()?.name.clone();
        let delay = resilience.hedge_delay(&route, self.service.repeat);
        let first_pick = pick_server(self.cx, self.service, &self.failed)?;
        let first_server = first_pick.server.name.clone();
        let first = Box::pin(self.call_server(first_pick)?);
        let Some(delay) = delay else { return Ok(self.record_failure(first.await)) };
        let first = match select(first, Box::pin(tokio::time::sleep(delay))).await {
            Either::Left((ended, _)) => return Ok(self.record_failure(ended)),
            Either::Right((_, first)) => first,
        };
        let mut avoided = self.failed.clone();
        avoided.push(first_server.clone());
        let second_pick = pick_server(self.cx, self.service, &avoided)?;
        let is_other_server = second_pick.server.name != first_server;
        if !is_other_server || !resilience.take_hedge(&route, self.service.repeat) {
            return Ok(self.record_failure(first.await));
        }
        let second = Box::pin(self.call_server(second_pick)?);
        let (ended, other) = match select(first, second).await {
            Either::Left((ended, other)) => (ended, Either::Left(other)),
            Either::Right((ended, other)) => (ended, Either::Right(other)),
        };
        if ended.is_ok() {
            return Ok(self.record_failure(ended));
        }
        let _ = self.record_failure(ended);
        let ended = match other {
            Either::Left(other) => other.await,
            Either::Right(other) => other.await,
        };
        Ok(self.record_failure(ended))
    }

    /// Prepares an attempt on one server; the returned future sends it.
    fn call_server<'c>(
        &self,
        pick: ServicePick,
    ) -> Result<impl Future<Output = Result<AnsweredCall, FailedCall>> + use<'c>, Refusal> {
        let timeout = attempt_timeout(self.cx, self.route)?;
        let instance = self.cx.instance.clone();
        let route = self.cx.chosen_route()?.name.clone();
        let request_id = self.cx.request_id.clone();
        let attempt = AttemptId(self.failed.len() as u64 + 1);
        let head = ForwardHead::of(self.cx);
        let body = buffered_body(&self.body);
        Ok(async move {
            let server = pick.server.name.clone();
            instance.journal.record_on(&request_id, &server, EventKind::Dispatched { attempt });
            let start = instance.clock.now();
            let result = head.send(&instance.services, &pick, body, timeout).await;
            instance.service_resilience.record(&pick.server.pool, &pick.server, result.is_ok());
            match result {
                Ok(answer) => {
                    let latency = instance.clock.now().saturating_duration_since(start);
                    instance.service_resilience.answered(&route, latency);
                    Ok(AnsweredCall { answer, pick })
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

    /// Records the server of a failed attempt and whether the call may have run. Returns an answer
    /// unchanged.
    fn record_failure(
        &mut self,
        ended: Result<AnsweredCall, FailedCall>,
    ) -> Result<AnsweredCall, ServiceError> {
        ended.map_err(|failed| {
            self.may_have_run |= !matches!(failed.error, ServiceError::NotReached(_));
            self.failed.push(failed.server);
            failed.error
        })
    }

    /// Marks the refusal as may-have-run if any attempt may have run.
    fn with_outcome(&self, mut refusal: Refusal) -> Refusal {
        if self.may_have_run {
            refusal.outcome = Outcome::MayHaveRun;
        }
        refusal
    }
}

/// Streams the body to one server, without retries.
async fn call_unbuffered(
    cx: &mut CallContext,
    route: &Route,
    service: &ServiceRoute,
) -> Result<Response<BoxBody>, Refusal> {
    let timeout = attempt_timeout(cx, route)?;
    let pick = pick_server(cx, service, &[])?;
    let payload = std::mem::replace(&mut cx.payload, Payload::None);
    let body = limited_body(payload, route.limits.body_bytes);
    let answer = ForwardHead::of(cx).send(&cx.instance.services, &pick, body, timeout).await;
    let answer = answer.map_err(|error| to_refusal(&error))?;
    Ok(relay_answer(answer, pick))
}

/// Returns whether the body is known to be small enough to be buffered for retries.
fn is_bufferable(cx: &CallContext) -> bool {
    if cx.head.header("transfer-encoding").is_some() {
        return false;
    }
    let Some(length) = cx.head.header("content-length") else { return true };
    length.parse::<usize>().is_ok_and(|length| length <= MAX_BUFFERED_BODY_BYTES)
}
