use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use magnoliaspar_query::api::ErrorResponse;
use serde::Serialize;

use crate::caller::json;

/// Answers with a JSON value.
pub fn answer(value: &impl Serialize) -> Response<BoxBody> {
    json(StatusCode::OK, value)
}

/// Answers with a refusal.
pub fn refuse(error: &ErrorResponse) -> Response<BoxBody> {
    let status = StatusCode::from_u16(error.code.as_status())
        .expect("codes have statuses between 400 and 599");
    json(status, error)
}

/// Answers with a line of text.
pub fn text(status: StatusCode, body: &str) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(body.to_owned()))
}
