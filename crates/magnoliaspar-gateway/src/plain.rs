//! Requests to plain services.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::header;
use actix_http::{Response, ResponseHead};
use bytes::Bytes;
use magnoliaspar_core::ServerKey;

use crate::call::{CallSpec, Incoming, call, strip_connection_headers};
use crate::exchange::CallError;
use crate::gateway::Gateway;
use crate::place::choose_server;
use crate::refusal::Refusal;

/// The longest answer that is held before it is passed on, in bytes.
const MAX_ANSWER: usize = 8 << 20;

/// The share of the latency target after which a repeatable request is sent to another server.
const PATIENCE_SHARE: f64 = 0.6;

/// What becomes of a request.
pub enum Ended {
    /// A server's answer, to be passed on unchanged, and the server.
    Answer(Response<BoxBody>, Box<str>),
    /// There is none.
    Refused(Refusal),
}

/// Sends a request to servers of its service until one answers or no further try is allowed.
pub async fn forward(gateway: &Rc<Gateway>, req: &Incoming) -> Ended {
    let mut tried: Vec<ServerKey> = Vec::new();
    let mut arrivals = 0_u32;
    let mut runs = 0_u32;
    let mut failure: Option<(Response<BoxBody>, Box<str>)> = None;
    let refused = loop {
        let now = gateway.clock.now();
        let remaining = req.remaining(now);
        if remaining.is_zero() {
            break if runs > 0 { Refusal::Deadline } else { Refusal::DeadlineBeforeStart };
        }
        let candidates = gateway.candidates(&req.service, &tried);
        let chosen = gateway.with_rng(|rng| choose_server(&candidates, rng));
        let Some(server) = chosen else {
            break match (runs, tried.is_empty()) {
                (0, true) => Refusal::NoServer,
                (0, false) => Refusal::NoCapacity,
                _ => Refusal::MayHaveRun,
            };
        };
        if arrivals > 0 && !gateway.take_budget(&req.service) {
            break if runs == 0 { Refusal::NoCapacity } else { Refusal::MayHaveRun };
        }
        tried.push(server);
        let can_go_on = req.route.allows_another(runs + 1) && candidates.len() > 1;
        let patience = match can_go_on {
            true => remaining.min(req.route.target_latency.mul_f64(PATIENCE_SHARE)),
            false => remaining,
        };
        match attempt(gateway, req, server, patience).await {
            Ok(Attempt::NotRun) => arrivals += 1,
            Ok(Attempt::Answered(response)) => {
                let is_failure = response.status().is_server_error();
                let name = gateway.server_name(server);
                if !is_failure || !can_go_on {
                    return Ended::Answer(response, name);
                }
                arrivals += 1;
                runs += 1;
                failure = Some((response, name));
            }
            Err(error) if error.is_never_sent() => {}
            Err(error) => {
                arrivals += 1;
                runs += 1;
                let is_over = !req.route.allows_another(runs);
                if is_over && error == CallError::TimedOut {
                    break Refusal::Deadline;
                }
                if is_over {
                    break Refusal::MayHaveRun;
                }
            }
        }
    };
    // A server's own failure says more than that no further try was made.
    match failure {
        Some((response, server)) => Ended::Answer(response, server),
        None => Ended::Refused(refused),
    }
}

enum Attempt {
    NotRun,
    Answered(Response<BoxBody>),
}

async fn attempt(
    gateway: &Rc<Gateway>,
    req: &Incoming,
    server: ServerKey,
    patience: Duration,
) -> Result<Attempt, CallError> {
    let started = gateway.clock.now();
    let deadline = started + patience;
    let mut reply = call(gateway, req, server, &CallSpec::default(), patience, None).await?;
    let rest = deadline.saturating_duration_since(gateway.clock.now());
    let read = tokio::time::timeout(rest, reply.read_body(MAX_ANSWER)).await;
    let body = read.unwrap_or(Err(CallError::TimedOut)).inspect_err(|error| {
        log::warn!(request = &*req.facts.id, reason:% = error; "answer_incomplete");
        gateway.directory.borrow_mut().failed(server, gateway.clock.now());
    })?;
    if reply.facts.is_not_run {
        reply.finish();
        return Ok(Attempt::NotRun);
    }
    let now = gateway.clock.now();
    gateway.directory.borrow_mut().measured(server, now - started, now);
    if reply.head.status.is_success() && !reply.is_genuine_success() {
        log::warn!(request = &*req.facts.id; "answer_without_seal");
        return Err(CallError::Garbled("a success without the server's seal".into()));
    }
    let response = build_response(&reply.head, body);
    reply.finish();
    Ok(Attempt::Answered(response))
}

fn build_response(head: &ResponseHead, body: Bytes) -> Response<BoxBody> {
    copy_head(head).set_body(body.boxed())
}

/// Starts an answer with the status and headers of a server's.
pub fn copy_head(head: &ResponseHead) -> Response<BoxBody> {
    let mut response = Response::new(head.status);
    let headers = response.headers_mut();
    for (name, value) in head.headers() {
        headers.append(name.clone(), value.clone());
    }
    strip_connection_headers(headers);
    headers.remove(header::CONTENT_LENGTH);
    response
}
