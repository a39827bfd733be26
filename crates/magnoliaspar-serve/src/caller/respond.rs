//! Builds refusals and other responses to callers.

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use magnoliaspar_core::{Outcome, Refusal, RefusalCode, RequestId};
use serde::Serialize;

use super::context::{CallContext, REQUEST_ID_HEADER};

/// Returns the response for a refusal, and counts it.
pub fn refuse(cx: &CallContext, refusal: &Refusal) -> Response<BoxBody> {
    cx.instance.metrics.count_refusal(refusal);
    let body = refusal_body(refusal, &cx.request_id);
    let status = StatusCode::from_u16(refusal.code.as_status())
        .expect("codes have statuses between 400 and 599");
    let mut res = json(status, &body);
    if let Some(retry_after) = refusal.retry_after {
        let seconds = retry_after.as_secs_f64().ceil() as u64;
        res.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    res
}

/// Returns the body of the response for a refusal.
pub fn refusal_body(refusal: &Refusal, request_id: &RequestId) -> RefusalBody {
    RefusalBody {
        error: RefusalDetail {
            code: refusal.code,
            outcome: refusal.outcome,
            message: refusal.message.clone(),
            retry_after_ms: refusal.retry_after.map(|after| after.as_millis() as u64),
        },
        request_id: request_id.clone(),
    }
}

/// The JSON body of a refusal.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct RefusalBody {
    error: RefusalDetail,
    request_id: RequestId,
}

#[derive(Debug, Clone)]
#[derive(Serialize)]
struct RefusalDetail {
    code: RefusalCode,
    outcome: Outcome,
    message: Box<str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    let body = serde_json::to_vec(value).expect("messages have string keys only");
    let mut res = Response::with_body(status, BoxBody::new(Bytes::from(body)));
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res
}

/// Adds the header with the identifier of the request.
pub fn add_request_id(res: &mut Response<BoxBody>, id: &RequestId) {
    let value = HeaderValue::from_str(id.as_str()).expect("identifiers are printable ASCII");
    res.headers_mut().insert(HeaderName::from_static(REQUEST_ID_HEADER), value);
}
