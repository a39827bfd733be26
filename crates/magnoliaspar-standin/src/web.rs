//! Helpers to read requests and to build responses.

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_core::Stream;
use futures_util::StreamExt;
use magnoliaspar_engine::Refused;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 32 << 20;

/// Reads the body of a request as JSON; a body that cannot be parsed gets status 400.
pub async fn read_json<T: DeserializeOwned>(req: Request) -> Result<T, Response<BoxBody>> {
    let body = read_body(req).await?;
    serde_json::from_slice(&body).map_err(|error| {
        refuse(StatusCode::BAD_REQUEST, Refused::Other { message: error.to_string().into() })
    })
}

/// Reads the whole body of a request; one that is larger than [`MAX_BODY_BYTES`] gets status 413.
pub async fn read_body(mut req: Request) -> Result<Bytes, Response<BoxBody>> {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else {
            return Err(Response::with_body(StatusCode::BAD_REQUEST, BoxBody::new(Bytes::new())));
        };
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            let body = BoxBody::new(Bytes::new());
            return Err(Response::with_body(StatusCode::PAYLOAD_TOO_LARGE, body));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Returns a JSON response with status 200.
pub fn json_response(value: &impl Serialize) -> Response<BoxBody> {
    json_response_with(StatusCode::OK, value)
}

/// Returns a JSON response with the given status.
pub fn json_response_with(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    let body = serde_json::to_vec(value).expect("messages have text keys only");
    let mut res = Response::with_body(status, BoxBody::new(Bytes::from(body)));
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res
}

/// Returns a response with status 200 and a streamed body.
pub fn stream_response<S>(stream: S) -> Response<BoxBody>
where
    S: Stream<Item = Result<Bytes, std::io::Error>> + 'static,
{
    Response::with_body(StatusCode::OK, BoxBody::new(BodyStream::new(stream)))
}

/// Returns the response of an engine that refuses a call.
pub fn refuse(status: StatusCode, refused: Refused) -> Response<BoxBody> {
    json_response_with(status, &refused)
}

/// Returns the value of a query parameter without percent-decoding it.
pub fn query_parameter<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    for pair in req.uri().query()?.split('&') {
        let Some((key, value)) = pair.split_once('=') else { continue };
        if key == name {
            return Some(value);
        }
    }
    None
}
