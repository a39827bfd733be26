//! Builds responses to operators.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use magnoliaspar_query::api::ErrorResponse;
use serde::Serialize;

use crate::caller::json;

/// Returns a response with status 200 and a JSON body.
pub fn ok_json(value: &impl Serialize) -> Response<BoxBody> {
    json(StatusCode::OK, value)
}

/// Returns the response for an error, with the status that goes with its code.
pub fn refuse(error: &ErrorResponse) -> Response<BoxBody> {
    let status = StatusCode::from_u16(error.code.as_status())
        .expect("codes have statuses between 400 and 599");
    json(status, error)
}

/// Returns a response with a plain text body.
pub fn text(status: StatusCode, body: &str) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(body.to_owned()))
}
