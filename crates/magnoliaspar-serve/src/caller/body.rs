//! Reads request bodies of limited size.

use actix_http::Payload;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use magnoliaspar_core::{Refusal, RefusalCode};

/// Reads a whole body, and refuses one of more than `limit` bytes.
pub async fn read_body(payload: &mut Payload, limit: usize) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            let message = format!("the body cannot be read: {error}");
            Refusal::not_run(RefusalCode::BadRequest, message)
        })?;
        if body.len() + chunk.len() > limit {
            return Err(too_large(limit));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Returns the refusal of a body of more than `limit` bytes.
pub fn too_large(limit: usize) -> Refusal {
    let message = format!("the body has more than {limit} bytes");
    Refusal::not_run(RefusalCode::TooLarge, message)
}
