//! Shows operators which requests are refused since they crash servers, and lets them in again.

use actix_http::body::{BoxBody, MessageBody};
use actix_http::header::{self, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};
use magnoliaspar_retry::PartId;
use serde::Serialize;

use crate::gateway::Gateway;
use crate::peers::Payload;
use crate::peers::reported_refusals;
use crate::route::ServiceName;

/// The path of the list of refused requests. With a part behind it, the path of the refusals with that part.
const PATH: &str = "/quarantine";

/// Refused requests of a service, as shown.
#[derive(Debug)]
#[derive(Serialize)]
struct Entry {
    service: ServiceName,
    /// Requests with all of these parts are refused.
    parts: Vec<String>,
    /// Time for which they are still refused, in milliseconds; zero if they are tried one at a time.
    remaining_ms: u64,
    /// The number of refusals so far.
    refusals: u32,
}

/// Responds to a request of an operator; returns `None` if it is not about refused requests.
///
/// `GET /quarantine` lists them, and `DELETE /quarantine/PART` lets those with a part in again, on all instances.
pub fn respond(gateway: &Gateway, req: &Request) -> Option<Response<BoxBody>> {
    let rest = req.path().strip_prefix(PATH)?;
    let part = rest.strip_prefix('/');
    Some(match (req.method(), part) {
        (&Method::GET, None) if rest.is_empty() => list(gateway),
        (&Method::DELETE, Some(part)) => match u64::from_str_radix(part, 16) {
            Ok(part) => release(gateway, PartId(part)),
            Err(_) => text(StatusCode::BAD_REQUEST, "a part is a hexadecimal number\n"),
        },
        _ if rest.is_empty() || part.is_some() => Response::new(StatusCode::METHOD_NOT_ALLOWED),
        _ => return None,
    })
}

fn list(gateway: &Gateway) -> Response<BoxBody> {
    let mut entries = Vec::new();
    let now = gateway.clock.now();
    for (service, quarantine) in &*gateway.quarantines.borrow() {
        for refusal in quarantine.refusals(now) {
            if refusal.is_lifted {
                continue;
            }
            entries.push(Entry {
                service: service.clone(),
                parts: refusal.parts.iter().map(PartId::to_string).collect(),
                remaining_ms: refusal.remaining.as_millis() as u64,
                refusals: refusal.version + 1,
            });
        }
    }
    let mut body = serde_json::to_string_pretty(&entries).expect("the entries have text keys");
    body.push('\n');
    let mut response = Response::new(StatusCode::OK).set_body(body.boxed());
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Lifts the refusals with a part, and tells all instances.
fn release(gateway: &Gateway, part: PartId) -> Response<BoxBody> {
    let mut released = 0_u32;
    for (service, quarantine) in &mut *gateway.quarantines.borrow_mut() {
        if quarantine.release(&[part]) {
            released += 1;
            log::info!(service = &**service, part:%; "refusal_released");
        }
    }
    if released == 0 {
        return text(StatusCode::NOT_FOUND, "no refused request has this part\n");
    }
    gateway.refusals_changed.notify_one();
    if let Some(peers) = gateway.peers() {
        peers.send_to_all(&Payload::Refusals(reported_refusals(gateway, gateway.clock.now())));
    }
    text(StatusCode::OK, "requests with this part are let in again\n")
}

fn text(status: StatusCode, body: &'static str) -> Response<BoxBody> {
    Response::new(status).set_body(body.boxed())
}
