//! Requests whose response is a single body, for services other than model engines.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::{BoxBody, MessageBody};
use actix_http::header;
use actix_http::{Response, ResponseHead};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use magnoliaspar_core::ServerKey;

use crate::call::{CallSpec, Incoming, call, record_silence, strip_connection_headers};
use crate::evidence::promises_not_run;
use crate::exchange::CallError;
use crate::gateway::Gateway;
use crate::guarantees::{Guarantee, is_disabled};
use crate::hedge::{Patience, ReservedRetry, Tally};
use crate::held_body::HeldBody;
use crate::permits::{PERMIT_TIMEOUT, obtain_permit};
use crate::quarantine::{CalledProcess, admit_call, may_repeat_call, report_answer};
use crate::refusal::Refusal;
use crate::selection::{
    Candidate, choose_server, has_unlimited, may_respond_within, time_until_room, within_limits,
    without_resting,
};
use crate::shared_limits;

/// Maximum length of a response that is buffered before it is forwarded, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 << 20;

/// Share of the latency target after which an idempotent request is sent to another server, too.
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.6;

/// Result of forwarding a request.
pub enum Outcome {
    /// The response of a server, to be forwarded unchanged, and the identifier of the server.
    Response(Response<BoxBody>, Box<str>),
    /// The gateway refuses the request.
    Refused(Refusal),
}

/// Sends a request to servers of its service until one responds or no further attempt is allowed. A server that
/// is silent for too long is awaited beside another one.
pub async fn forward(gateway: &Rc<Gateway>, req: &Incoming) -> Outcome {
    if let Err(refusal) = admit_call(gateway, req).await {
        return Outcome::Refused(refusal);
    }
    if let Err(refusal) = shared_limits::admit_call(gateway, req) {
        return Outcome::Refused(refusal);
    }
    let in_flight = InFlightAttempts::default();
    let mut attempts = FuturesUnordered::new();
    let mut tally = Tally::default();
    let mut patience = Patience::new(req.route.target_latency.mul_f64(ATTEMPT_TIMEOUT_SHARE));
    let mut failure: Option<(Response<BoxBody>, Box<str>)> = None;
    let mut last_error = Refusal::MayHaveRun;
    let mut has_crashed = false;
    let refusal = loop {
        if attempts.is_empty() {
            if req.remaining(gateway.clock.now()).is_zero() {
                break if tally.runs > 0 {
                    Refusal::Deadline
                } else {
                    Refusal::DeadlineBeforeStart
                };
            }
            if !tally.allows_attempt(&req.route) {
                break last_error;
            }
            if !gateway.may_start(req) {
                break Refusal::Stopping;
            }
            if has_crashed && !may_repeat_call(gateway, req).await {
                break last_error;
            }
            if tally.dispatches > 0 && is_too_late(gateway, req, &in_flight) {
                gateway.metrics.count_call("retry_too_late");
                break if tally.runs == 0 { Refusal::NoCapacity } else { last_error };
            }
            // The budget is checked first, so that no permit is obtained for a retry that is not made.
            let Ok(retry) = obtain_retry(gateway, req, tally).await else {
                break if tally.runs == 0 { Refusal::NoCapacity } else { Refusal::MayHaveRun };
            };
            tally.start();
            attempts.push(attempt(gateway, req, &in_flight, retry));
        }
        // A call that has crashed a server is repeated only after the coordinator was asked.
        let may_hedge = tally.allows_attempt(&req.route) && !has_crashed;
        let count = attempts.len();
        let ended = tokio::select! {
            biased;
            Some(ended) = attempts.next() => ended,
            silent = in_flight.wait(gateway, count, patience), if may_hedge => {
                if is_disabled(Guarantee::KeptAttempt) {
                    attempts.clear();
                }
                // A silent server may only be busy, and more requests would keep it so: none is borrowed.
                let retry = ReservedRetry::take(gateway, &req.service);
                report_silent(gateway, req, silent, retry.is_some());
                if retry.is_some() {
                    patience.renew(gateway.clock.now());
                    tally.start();
                    attempts.push(attempt(gateway, req, &in_flight, retry));
                } else {
                    patience.back_off(gateway.clock.now());
                }
                continue;
            }
        };
        match ended {
            Ended::Refused(refusal) => {
                tally.take_back();
                patience.back_off(gateway.clock.now());
                if attempts.is_empty() {
                    break if tally.runs == 0 { refusal } else { last_error };
                }
                log::info!(request = &*req.facts.id, won = "first", reason:% = refusal; "hedge_ended");
            }
            Ended::NotSent => tally.take_back(),
            Ended::NotRun => tally.refuse(),
            Ended::Answered { response, server, has_alternative } => {
                let may_improve = has_alternative
                    && tally.allows_attempt(&req.route)
                    && may_repeat_failure(gateway, req);
                let name = gateway.server_name(server);
                let is_final = attempts.is_empty() && !may_improve;
                if !response.status().is_server_error() || is_final {
                    report_winner(gateway, req, &name, &in_flight);
                    return Outcome::Response(response, name);
                }
                failure = Some((response, name));
            }
            Ended::Failed(CallError::TimedOut) => last_error = Refusal::Deadline,
            Ended::Failed(_) => last_error = Refusal::MayHaveRun,
            Ended::Crashed => {
                last_error = Refusal::MayHaveRun;
                has_crashed = true;
            }
        }
    };
    // An error response of a server is more specific than the refusal to retry.
    match failure {
        Some((response, server)) => Outcome::Response(response, server),
        None => Outcome::Refused(refusal),
    }
}

/// Returns whether no server that has not been tried can respond before the deadline, by their recent latencies.
fn is_too_late(gateway: &Gateway, req: &Incoming, in_flight: &InFlightAttempts) -> bool {
    let candidates = gateway.candidates(&req.service, &in_flight.tried.borrow());
    let remaining = req.remaining(gateway.clock.now());
    !candidates.is_empty() && !may_respond_within(&candidates, remaining)
}

/// Utilization of a service from which a failure that a server reports itself is not repeated: another run would take
/// the place of a call that has had none.
const MAX_REPEAT_UTILIZATION: f64 = 0.9;

/// Returns whether the servers have room for another run of a call that a server has answered with a failure.
fn may_repeat_failure(gateway: &Gateway, req: &Incoming) -> bool {
    let utilization = gateway.plain_loads.utilization(&req.service, gateway.clock.now());
    utilization.is_none_or(|utilization| utilization < MAX_REPEAT_UTILIZATION)
}

/// The retry budget of a service is used up.
struct BudgetUsedUp;

/// Takes a retry out of the budget, unless the request has reached no server so far.
async fn obtain_retry<'a>(
    gateway: &'a Rc<Gateway>,
    req: &'a Incoming,
    tally: Tally,
) -> Result<Option<ReservedRetry<'a>>, BudgetUsedUp> {
    if tally.dispatches == 0 {
        return Ok(None);
    }
    ReservedRetry::obtain(gateway, &req.service).await.map(Some).ok_or(BudgetUsedUp)
}

/// The servers of the attempts of one request.
#[derive(Default)]
struct InFlightAttempts {
    /// All servers that were chosen.
    tried: RefCell<Vec<ServerKey>>,
    /// The servers that have not responded, and the times at which the request was sent, in order.
    awaited: RefCell<Vec<(ServerKey, Instant)>>,
}

impl InFlightAttempts {
    /// Waits until another attempt is due beside `count` ones; returns the server that was sent the request last,
    /// and for how long it has been silent. None is due while a server is being chosen for one of them.
    async fn wait(
        &self,
        gateway: &Gateway,
        count: usize,
        patience: Patience,
    ) -> (ServerKey, Duration) {
        loop {
            let now = gateway.clock.now();
            let last = self.awaited.borrow().last().copied();
            let is_sent = self.awaited.borrow().len() == count;
            let left = match last {
                Some((server, sent_at)) if is_sent => {
                    let left = patience.left(sent_at, now);
                    if left.is_zero() {
                        return (server, now - sent_at);
                    }
                    left
                }
                _ => patience.limit(),
            };
            tokio::time::sleep(left).await;
        }
    }
}

/// Records and logs that a server is silent.
fn report_silent(
    gateway: &Rc<Gateway>,
    req: &Incoming,
    (server, silent): (ServerKey, Duration),
    is_allowed: bool,
) {
    record_silence(gateway, server, silent);
    let name = gateway.server_name(server);
    let silent_ms = silent.as_millis() as u64;
    let request = &*req.facts.id;
    let event = if is_allowed { "hedge_started" } else { "hedge_not_allowed" };
    log::info!(request, server = &*name, reason = "silent", silent_ms; "{event}");
}

/// Logs which of several attempts has won.
fn report_winner(gateway: &Gateway, req: &Incoming, name: &str, in_flight: &InFlightAttempts) {
    let dropped = in_flight.awaited.borrow().len();
    let Some((first, _)) = in_flight.awaited.borrow().first().copied() else { return };
    let given_up = gateway.server_name(first);
    log::info!(request = &*req.facts.id, server = name, given_up = &*given_up, dropped, reason = "it was sooner"; "hedge_ended");
}

/// Maximum wait for a permit of a limited server or for the end of a rest, as a share of the latency target. It halves with each
/// rank of the route, so that the routes of the highest priority are served first.
const START_WAIT_SHARE: f64 = 0.6;

/// Maximum number of servers in one request to the coordinator for a permit.
const MAX_PERMIT_SERVERS: usize = 16;

/// Maximum number of requests to the coordinator for a permit before one choice of a server.
const MAX_PERMIT_REQUESTS: u32 = 2;

/// The server for one attempt.
struct Choice {
    server: ServerKey,
    /// Whether there was another server.
    has_alternative: bool,
}

/// Chooses a server that has not been tried, and obtains a permit if the server is limited.
async fn choose(
    gateway: &Rc<Gateway>,
    req: &Incoming,
    tried: &[ServerKey],
) -> Result<Choice, Refusal> {
    let mut permit_requests = 0;
    loop {
        let candidates = gateway.candidates(&req.service, tried);
        if candidates.is_empty() {
            return Err(if tried.is_empty() { Refusal::NoServer } else { Refusal::NoCapacity });
        }
        let candidates = match without_resting(&candidates) {
            Ok(usable) => usable,
            Err(wait) if wait <= max_start_wait(gateway, req) => {
                tokio::time::sleep(wait).await;
                continue;
            }
            Err(_) => return Err(Refusal::ServersResting),
        };
        if let Some(wait) = time_until_room(&candidates)
            && let Some(wait) = useful_wait(gateway, req, wait, !tried.is_empty())
        {
            gateway.metrics.count_call("awaited_room");
            tokio::time::sleep(wait).await;
            continue;
        }
        let has_alternative = candidates.len() > 1;
        let now = gateway.clock.now();
        let (max_wait, decision_due_at) = match has_unlimited(&candidates) {
            true => (Duration::ZERO, req.deadline.min(now + PERMIT_TIMEOUT)),
            false => (max_start_wait(gateway, req), req.deadline),
        };
        let mut open = within_limits(&candidates, max_wait);
        if permit_requests == MAX_PERMIT_REQUESTS {
            open.retain(|candidate| candidate.permit_wait.is_none());
        }
        let chosen = gateway.with_rng(|rng| choose_server(&open, rng));
        let server = chosen.ok_or(Refusal::ServerLimit)?;
        if gateway.limit_of(server).is_none() {
            return Ok(Choice { server, has_alternative });
        }
        permit_requests += 1;
        let limited = preferred_first(&open, server);
        let permit = obtain_permit(gateway, &limited, max_wait, decision_due_at).await;
        if let Some((server, wait)) = permit {
            tokio::time::sleep(wait).await;
            return Ok(Choice { server, has_alternative });
        }
    }
}

/// Maximum part by which a wait for full servers is extended at random, so that the calls that wait do not all go to
/// the first server that has room.
const ROOM_WAIT_SPREAD: f64 = 0.5;

/// Returns for how long a call waits while all servers are full for `wait`; `None` if it is sent at once.
///
/// The first try of a call waits only if the call can be in time then. A further one waits for up to half of the time
/// left: a server that rejects it costs a retry.
fn useful_wait(
    gateway: &Gateway,
    req: &Incoming,
    wait: Duration,
    is_repeated: bool,
) -> Option<Duration> {
    let wait = wait.mul_f64(1.0 + ROOM_WAIT_SPREAD * gateway.random_fraction());
    let now = gateway.clock.now();
    let target = req.received + req.route.target_latency.mul_f64(START_WAIT_SHARE);
    let limit = if is_repeated { now + req.remaining(now) / 2 } else { target.min(req.deadline) };
    (now + wait <= limit).then_some(wait)
}

/// Returns the maximum wait for a permit or for the end of a rest with which a response can still be in time.
fn max_start_wait(gateway: &Gateway, req: &Incoming) -> Duration {
    let routing = gateway.routing();
    let rank = routing.map_or(0, |routing| routing.rank(&req.route, &req.service));
    let share = START_WAIT_SHARE * 0.5_f64.powi(rank as i32);
    let remaining = req.remaining(gateway.clock.now());
    req.route.target_latency.mul_f64(share).min(remaining / 2)
}

/// Returns limited servers among the candidates, the preferred one first.
fn preferred_first(candidates: &[Candidate], preferred: ServerKey) -> Vec<ServerKey> {
    let mut servers = vec![preferred];
    for candidate in candidates {
        if candidate.permit_wait.is_none() || candidate.key == preferred {
            continue;
        }
        if servers.len() == MAX_PERMIT_SERVERS {
            break;
        }
        servers.push(candidate.key);
    }
    servers
}

/// The end of an attempt.
enum Ended {
    /// There is no server for the attempt.
    Refused(Refusal),
    /// The request was not sent.
    NotSent,
    /// The server has refused the request without running it.
    NotRun,
    /// The server has responded.
    Answered {
        response: Response<BoxBody>,
        server: ServerKey,
        /// Whether there was another server.
        has_alternative: bool,
    },
    /// The request may have run, and has no response.
    Failed(CallError),
    /// The server has crashed, and the request may be the reason.
    Crashed,
}

/// Sends a request to a server that it has not been sent to.
async fn attempt<'a>(
    gateway: &'a Rc<Gateway>,
    req: &'a Incoming,
    in_flight: &'a InFlightAttempts,
    mut retry: Option<ReservedRetry<'a>>,
) -> Ended {
    let tried = in_flight.tried.borrow().clone();
    let Choice { server, has_alternative } = match choose(gateway, req, &tried).await {
        Ok(choice) => choice,
        Err(refusal) => return Ended::Refused(refusal),
    };
    // The choice may have waited while the request crashed other servers.
    if gateway.quarantined_for(&req.service, &req.parts).is_some() {
        return Ended::Refused(Refusal::Quarantined);
    }
    let process = CalledProcess::new(gateway, server);
    in_flight.tried.borrow_mut().push(server);
    in_flight.awaited.borrow_mut().push((server, gateway.clock.now()));
    if let Some(retry) = &mut retry {
        retry.is_used = true;
    }
    let result = fetch(gateway, req, server).await;
    in_flight.awaited.borrow_mut().retain(|(awaited, _)| *awaited != server);
    match result {
        Ok(Some(response)) => {
            report_answer(gateway, req);
            Ended::Answered { response, server, has_alternative }
        }
        Ok(None) => Ended::NotRun,
        Err(error) if error.is_not_sent() => {
            if let Some(retry) = &mut retry {
                retry.is_used = false;
            }
            Ended::NotSent
        }
        Err(error) if process.report_crash(gateway, req, &error).await => Ended::Crashed,
        Err(error) => Ended::Failed(error),
    }
}

/// Sends a request to a server and returns its whole response, or `None` if the server refused the request without
/// running it.
async fn fetch(
    gateway: &Rc<Gateway>,
    req: &Incoming,
    server: ServerKey,
) -> Result<Option<Response<BoxBody>>, CallError> {
    let started = gateway.clock.now();
    let remaining = req.remaining(started);
    let mut reply = call(gateway, req, server, &CallSpec::default(), remaining, None).await?;
    if reply.proves_not_run() {
        reply.finish_refusal().await;
        return Ok(None);
    }
    let rest = req.remaining(gateway.clock.now());
    let read = tokio::time::timeout(rest, reply.read_body(MAX_BUFFERED_RESPONSE_BYTES)).await;
    let body = read.unwrap_or(Err(CallError::TimedOut)).inspect_err(|error| {
        let name = gateway.server_name(server);
        log::warn!(request = &*req.facts.id, server = &*name, reason:% = error; "answer_incomplete");
        gateway.directory.borrow_mut().record_failure(server, gateway.clock.now());
    })?;
    let now = gateway.clock.now();
    gateway.directory.borrow_mut().record_answer(server, now - started, now);
    if reply.head.status.is_success() && !reply.is_sealed_success() {
        log::warn!(request = &*req.facts.id; "answer_without_seal");
        return Err(CallError::Malformed("a success response without the server's seal".into()));
    }
    if promises_not_run(reply.head.status) {
        log::warn!(request = &*req.facts.id, status = reply.head.status.as_u16(); "promise_without_statement");
        return Err(CallError::Malformed(UNPROVEN_PROMISE.into()));
    }
    let response = build_response(&reply.head, body);
    reply.finish();
    Ok(Some(response))
}

/// Message for a response whose status promises that its request has not run, which it does not state.
const UNPROVEN_PROMISE: &str = "a status that promises what the response does not state";

fn build_response(head: &ResponseHead, body: HeldBody) -> Response<BoxBody> {
    copy_response_head(head).set_body(body.boxed())
}

/// Creates a response with the status and the end-to-end headers of a server's response.
pub fn copy_response_head(head: &ResponseHead) -> Response<BoxBody> {
    let mut response = Response::new(head.status);
    let headers = response.headers_mut();
    for (name, value) in head.headers() {
        headers.append(name.clone(), value.clone());
    }
    strip_connection_headers(headers);
    headers.remove(header::CONTENT_LENGTH);
    response
}
