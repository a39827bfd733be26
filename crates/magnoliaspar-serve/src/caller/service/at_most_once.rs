//! Calls of plain services that are dispatched at most once per idempotency key.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use magnoliaspar_claim::{
    ClaimRequest, ClaimTicket, ClaimVerdict, StoredBody, StoredHeader, StoredOutcome, fingerprint,
};
use magnoliaspar_core::{AttemptId, IdempotencyKey, Outcome, Refusal, RefusalCode};
use magnoliaspar_declaration::{Route, ServiceRoute};
use magnoliaspar_event::EventKind;

use super::forward::{ForwardHead, buffered_body, copy_head, to_refusal};
use super::{attempt_timeout, pick_server};
use crate::caller::body::read_body;
use crate::caller::context::CallContext;
use crate::instance::Instance;
use crate::service::ServiceError;

/// Header with the idempotency key, which a resend of a request repeats.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header that marks the stored answer of an earlier attempt.
const REPLAYED_HEADER: &str = "idempotency-replayed";

/// Maximum size of the answer to a claimed call in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Calls a service whose calls must be dispatched at most once.
///
/// The claim is written before the call is dispatched. The call runs in a separate task, so that
/// its outcome is stored even if the caller disconnects.
pub async fn call(
    cx: &mut CallContext,
    route: &Route,
    service: &ServiceRoute,
) -> Result<Response<BoxBody>, Refusal> {
    let key = read_key(cx)?;
    cx.body = read_body(&mut cx.payload, route.limits.body_bytes).await?;
    let request = claim_request(cx, &key)?;
    let verdict = cx.instance.claims.claim(&request).await;
    match verdict {
        ClaimVerdict::Dispatch(ticket) => {
            let event = EventKind::ClaimWritten { key: key.clone() };
            cx.instance.journal.record(&cx.request_id, event);
            dispatch(cx, route, service, key, ticket).await
        }
        ClaimVerdict::Replay(outcome) => Ok(replay(cx, key, &outcome)),
        ClaimVerdict::MayHaveRun { is_in_progress, .. } => {
            let outcome = Outcome::MayHaveRun;
            cx.instance.journal.record(&cx.request_id, EventKind::ClaimFound { key, outcome });
            Err(earlier_attempt_refusal(is_in_progress))
        }
        ClaimVerdict::Mismatch => {
            let message = "the idempotency key was used for a different request";
            Err(Refusal::not_run(RefusalCode::BadRequest, message))
        }
        ClaimVerdict::NotRun { reason, retry_after } => {
            let cause = reason.to_string().into();
            cx.instance.journal.record(&cx.request_id, EventKind::ClaimFailed { key, cause });
            let mut refusal = Refusal::not_run(RefusalCode::StoreUnavailable, reason.to_string());
            refusal.retry_after = retry_after;
            Err(refusal)
        }
    }
}

async fn dispatch(
    cx: &mut CallContext,
    route: &Route,
    service: &ServiceRoute,
    key: IdempotencyKey,
    ticket: ClaimTicket,
) -> Result<Response<BoxBody>, Refusal> {
    let prepared = attempt_timeout(cx, route)
        .and_then(|timeout| Ok((timeout, pick_server(cx, service, &[])?)));
    let (timeout, pick) = match prepared {
        Ok(prepared) => prepared,
        Err(refusal) => {
            cx.instance.claims.abandon(ticket).await;
            return Err(refusal);
        }
    };
    let attempt = AttemptId(1);
    let name = pick.server.name.clone();
    cx.instance.journal.record_on(&cx.request_id, &name, EventKind::Dispatched { attempt });
    let call = DispatchedCall {
        instance: cx.instance.clone(),
        request_id: cx.request_id.clone(),
        key,
        ticket,
    };
    let body = buffered_body(&cx.body);
    let head = ForwardHead::of(cx);
    let guard = cx.instance.in_progress.enter();
    let task = actix_rt::spawn(async move {
        let _guard = guard;
        let answer = head.send(&call.instance.services, &pick, body, timeout).await;
        call.instance.service_resilience.record(&pick.server.pool, &pick.server, answer.is_ok());
        call.store_outcome(answer).await
    });
    match task.await {
        Ok(result) => result,
        Err(error) => Err(Refusal::may_have_run(RefusalCode::Internal, error.to_string())),
    }
}

/// A dispatched call whose outcome must be stored.
struct DispatchedCall {
    instance: Rc<Instance>,
    request_id: magnoliaspar_core::RequestId,
    key: IdempotencyKey,
    ticket: ClaimTicket,
}

impl DispatchedCall {
    /// Stores the outcome of the call and returns its response.
    async fn store_outcome(
        self,
        answer: Result<awc::ClientResponse, ServiceError>,
    ) -> Result<Response<BoxBody>, Refusal> {
        let answer = match answer {
            Ok(answer) => answer,
            Err(error @ ServiceError::NotReached(_)) => {
                self.instance.claims.abandon(self.ticket).await;
                return Err(to_refusal(&error));
            }
            Err(error) => {
                self.instance.claims.mark_outcome_unknown(self.ticket);
                return Err(to_refusal(&error));
            }
        };
        let res = copy_head(&answer);
        let body = match read_answer(answer).await {
            Ok(body) => body,
            Err(refusal) => {
                self.instance.claims.mark_outcome_unknown(self.ticket);
                return Err(refusal);
            }
        };
        let outcome = stored_outcome(&res, &body);
        let is_stored = self.instance.claims.complete(self.ticket, outcome).await;
        let outcome = if is_stored { Outcome::Answered } else { Outcome::MayHaveRun };
        let event = EventKind::ClaimSettled { key: self.key, outcome };
        self.instance.journal.record(&self.request_id, event);
        Ok(res.map_body(|_, _| BoxBody::new(body)))
    }
}

async fn read_answer(mut answer: awc::ClientResponse) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    while let Some(chunk) = answer.next().await {
        let Ok(chunk) = chunk else {
            let message = "the server's answer broke off";
            return Err(Refusal::may_have_run(RefusalCode::ServerFailed, message));
        };
        if body.len() + chunk.len() > MAX_ANSWER_BYTES {
            let message = "the server's answer is too large";
            return Err(Refusal::may_have_run(RefusalCode::TooLarge, message));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn read_key(cx: &CallContext) -> Result<IdempotencyKey, Refusal> {
    let Some(text) = cx.head.header(IDEMPOTENCY_KEY_HEADER) else {
        let message = "calls of this route need an idempotency-key header";
        return Err(Refusal::not_run(RefusalCode::MissingIdempotencyKey, message));
    };
    IdempotencyKey::try_from(text).map_err(|error| {
        let message = format!("the idempotency key is not valid: {error}");
        Refusal::not_run(RefusalCode::BadRequest, message)
    })
}

fn claim_request(cx: &CallContext, key: &IdempotencyKey) -> Result<ClaimRequest, Refusal> {
    let path = cx.head.uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(ClaimRequest {
        workspace: cx.caller_workspace()?.name.clone(),
        key: key.clone(),
        fingerprint: fingerprint(cx.head.method.as_str(), path, &cx.body),
        route: cx.chosen_route()?.name.clone(),
    })
}

fn stored_outcome(res: &Response<BoxBody>, body: &Bytes) -> StoredOutcome {
    let mut headers = Vec::new();
    for (name, value) in res.headers() {
        let Ok(value) = value.to_str() else { continue };
        headers.push(StoredHeader { name: name.as_str().into(), value: value.into() });
    }
    StoredOutcome { status: res.status().as_u16(), headers, body: StoredBody::from(&**body) }
}

fn replay(cx: &CallContext, key: IdempotencyKey, stored: &StoredOutcome) -> Response<BoxBody> {
    let outcome = Outcome::Answered;
    cx.instance.journal.record(&cx.request_id, EventKind::ClaimFound { key, outcome });
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let body = Bytes::copy_from_slice(stored.body.as_bytes().unwrap_or_default());
    let mut res = Response::with_body(status, BoxBody::new(body));
    for header in &stored.headers {
        let Ok(name) = HeaderName::try_from(&*header.name) else { continue };
        let Ok(value) = HeaderValue::from_str(&header.value) else { continue };
        res.headers_mut().append(name, value);
    }
    let replayed = HeaderName::from_static(REPLAYED_HEADER);
    let value = if stored.body.as_bytes().is_some() { "whole" } else { "body-omitted" };
    res.headers_mut().insert(replayed, HeaderValue::from_static(value));
    res
}

fn earlier_attempt_refusal(is_in_progress: bool) -> Refusal {
    if is_in_progress {
        let message = "an earlier attempt with this idempotency key is in progress";
        return Refusal::may_have_run(RefusalCode::InProgress, message)
            .with_retry_after(std::time::Duration::from_secs(1));
    }
    let message = "an earlier attempt with this idempotency key may have run";
    Refusal::may_have_run(RefusalCode::ServerFailed, message)
}
