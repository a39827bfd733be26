//! Forwards calls to servers of plain services and relays their answers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::{BodyStream, BoxBody};
use actix_http::error::PayloadError;
use actix_http::header::HeaderMap;
use actix_http::{Method, Payload, Response};
use awc::ClientResponse;
use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt, stream};
use magnoliaspar_core::{Clock, Refusal, RefusalCode, RequestId};

use super::pick::ServicePick;
use crate::caller::context::CallContext;
use crate::service::{ServiceCall, ServiceClient, ServiceError, is_forwarded};

/// The parts of a caller's request that each attempt forwards, apart from the body.
pub struct ForwardHead {
    method: Method,
    path: Box<str>,
    headers: HeaderMap,
    request_id: RequestId,
    deadline: Option<Instant>,
    clock: Rc<dyn Clock>,
}

impl ForwardHead {
    /// Copies these parts from a request.
    pub fn of(cx: &CallContext) -> Self {
        let path = cx.head.uri.path_and_query().map_or("/", |path| path.as_str());
        Self {
            method: cx.head.method.clone(),
            path: path.into(),
            headers: cx.head.headers.clone(),
            request_id: cx.request_id.clone(),
            deadline: cx.deadline,
            clock: cx.instance.clock.clone(),
        }
    }

    /// Sends one attempt to a server and waits for the head of its answer.
    pub async fn send(
        &self,
        services: &ServiceClient,
        pick: &ServicePick,
        body: Payload,
        timeout: Duration,
    ) -> Result<ClientResponse, ServiceError> {
        let call = ServiceCall {
            method: self.method.clone(),
            path: &self.path,
            headers: &self.headers,
            request_id: &self.request_id,
            time_left: self.time_left(),
            body,
        };
        services.call(pick.server.address, call, timeout).await
    }

    /// Returns the time until the caller's deadline, if it set one.
    fn time_left(&self) -> Option<Duration> {
        Some(self.deadline?.saturating_duration_since(self.clock.now()))
    }
}

/// Returns a payload of a body that is in memory.
pub fn buffered_body(body: &Bytes) -> Payload {
    if body.is_empty() {
        return Payload::None;
    }
    let chunk = body.clone();
    Payload::Stream { payload: Box::pin(stream::once(async move { Ok(chunk) })) }
}

/// Returns a payload that fails once it exceeds `limit` bytes.
pub fn limited_body(payload: Payload, limit: usize) -> Payload {
    let mut bytes = 0;
    let counted = payload.map(move |chunk| {
        let chunk = chunk?;
        bytes += chunk.len();
        if bytes > limit { Err(PayloadError::Overflow) } else { Ok(chunk) }
    });
    Payload::Stream { payload: Box::pin(counted) }
}

/// Streams an answer to the caller; the call of `pick` counts as in progress until the answer ends.
pub fn relay_answer(answer: ClientResponse, pick: ServicePick) -> Response<BoxBody> {
    let mut res = copy_head(&answer);
    let body = answer.map_err(|error| error.to_string()).inspect(move |_| {
        let _in_flight = &pick;
    });
    res = res.map_body(|_, _| BoxBody::new(BodyStream::new(body)));
    res
}

/// Copies the status of an answer and those headers that are forwarded.
pub fn copy_head(answer: &ClientResponse) -> Response<BoxBody> {
    let mut res = Response::with_body(answer.status(), BoxBody::new(Bytes::new()));
    for (name, value) in answer.headers() {
        if is_forwarded(name.as_str()) {
            res.headers_mut().append(name.clone(), value.clone());
        }
    }
    res
}

/// Returns the refusal for a failed attempt, which states whether the call may have run.
pub fn to_refusal(error: &ServiceError) -> Refusal {
    let message = error.to_string();
    match error {
        ServiceError::NotReached(_) => Refusal::not_run(RefusalCode::ServerFailed, message),
        ServiceError::Lost(_) | ServiceError::Stalled(_) => {
            Refusal::may_have_run(RefusalCode::ServerFailed, message)
        }
    }
}
