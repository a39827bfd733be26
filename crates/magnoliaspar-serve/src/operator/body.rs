use actix_http::Request;
use magnoliaspar_query::api::{ErrorCode, ErrorResponse};
use serde::de::DeserializeOwned;

use crate::caller::read_body;

/// The largest body in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Reads the body of a request as JSON.
pub async fn read_json<T: DeserializeOwned>(mut req: Request) -> Result<T, ErrorResponse> {
    let mut payload = req.take_payload();
    let body = read_body(&mut payload, MAX_BODY_BYTES)
        .await
        .map_err(|refusal| ErrorResponse::new(ErrorCode::BadRequest, refusal.message))?;
    serde_json::from_slice(&body)
        .map_err(|error| ErrorResponse::new(ErrorCode::BadRequest, error.to_string()))
}
