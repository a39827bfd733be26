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

/// What of a caller's request is passed on with each attempt.
pub struct ForwardHead {
    method: Method,
    path: Box<str>,
    headers: HeaderMap,
    request_id: RequestId,
    deadline: Option<Instant>,
    clock: Rc<dyn Clock>,
}

impl ForwardHead {
    /// Copies the head of a request.
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

    /// Returns what is left of the time that the caller gave, if it gave any.
    fn time_left(&self) -> Option<Duration> {
        Some(self.deadline?.saturating_duration_since(self.clock.now()))
    }
}

/// Returns a body that is in memory.
pub fn whole(body: &Bytes) -> Payload {
    if body.is_empty() {
        return Payload::None;
    }
    let chunk = body.clone();
    Payload::Stream { payload: Box::pin(stream::once(async move { Ok(chunk) })) }
}

/// Returns a body that ends with an error after more than `limit` bytes.
pub fn limited(payload: Payload, limit: usize) -> Payload {
    let mut bytes = 0;
    let counted = payload.map(move |chunk| {
        let chunk = chunk?;
        bytes += chunk.len();
        if bytes > limit { Err(PayloadError::Overflow) } else { Ok(chunk) }
    });
    Payload::Stream { payload: Box::pin(counted) }
}

/// Passes an answer on while it arrives; `pick` counts as running until then.
pub fn pass_on(answer: ClientResponse, pick: ServicePick) -> Response<BoxBody> {
    let mut res = copy_head(&answer);
    let body = answer.map_err(|error| error.to_string()).inspect(move |_| {
        let _running = &pick;
    });
    res = res.map_body(|_, _| BoxBody::new(BodyStream::new(body)));
    res
}

/// Copies the status and the headers of an answer.
pub fn copy_head(answer: &ClientResponse) -> Response<BoxBody> {
    let mut res = Response::with_body(answer.status(), BoxBody::new(Bytes::new()));
    for (name, value) in answer.headers() {
        if is_forwarded(name.as_str()) {
            res.headers_mut().append(name.clone(), value.clone());
        }
    }
    res
}

/// Refuses a call whose attempt failed.
pub fn refuse(error: &ServiceError) -> Refusal {
    let message = error.to_string();
    match error {
        ServiceError::NotReached(_) => Refusal::not_run(RefusalCode::ServerFailed, message),
        ServiceError::Lost(_) | ServiceError::Stalled(_) => {
            Refusal::may_have_run(RefusalCode::ServerFailed, message)
        }
    }
}
