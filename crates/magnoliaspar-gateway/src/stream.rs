//! Completions, whose answers are streams of events.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::Response;
use actix_http::body::{BodyStream, BoxBody, MessageBody};
use bytes::Bytes;
use displaydoc::Display;
use futures_util::stream::unfold;
use magnoliaspar_core::ServerKey;

use crate::admission::{Placement, admit};
use crate::call::{
    CallSpec, Incoming, Reply, acquire, call, keep_connection, opens, release_kv_cache,
};
use crate::events::EventBuffer;
use crate::exchange::CallError;
use crate::gateway::{Gateway, InFlight};
use crate::place::Plan;
use crate::plain::{Ended, copy_head};
use crate::refusal::Refusal;
use crate::route::ServiceName;

/// How many times the longest pause that is on time a resumable stream may be silent before it
/// goes on at another engine.
const STALL_GAPS: u32 = 4;

/// The share of the latency target within which an engine must begin to answer for a resumable
/// stream, or it is started at another one, which can then still be on time.
const START_SHARE: f64 = 0.5;

/// Runs a completion and returns its stream once its engine has begun to answer.
pub async fn forward(gateway: &Rc<Gateway>, req: Rc<Incoming>, guard: InFlight) -> Ended {
    let mut progress = Progress::default();
    match progress.start(gateway, &req, req.facts.resume_after).await {
        Ok((reply, placement)) if reply.is_genuine_success() => {
            let response = copy_head(&reply.head);
            let server = gateway.server_name(reply.lease.server);
            let relay = Relay {
                gateway: gateway.clone(),
                events: EventBuffer::after(req.facts.resume_after),
                req,
                progress,
                current: Some((reply, placement)),
                has_event: false,
                _guard: guard,
            };
            Ended::Answer(relay.into_response(response), server)
        }
        Ok((mut reply, _)) => match reply.read_body(MAX_FAILURE).await {
            Ok(body) if !reply.head.status.is_success() => {
                let response = copy_head(&reply.head).set_body(body.boxed());
                let server = gateway.server_name(reply.lease.server);
                reply.finish();
                Ended::Answer(response, server)
            }
            _ => Ended::Refused(Refusal::MayHaveRun),
        },
        Err(refusal) => Ended::Refused(refusal),
    }
}

/// The longest failure that a server may explain, in bytes.
const MAX_FAILURE: usize = 1 << 20;

/// A retry that was taken out of the budget, and is given back unless it is made.
struct TakenRetry<'a> {
    gateway: &'a Gateway,
    service: &'a ServiceName,
    is_made: bool,
}

impl Drop for TakenRetry<'_> {
    fn drop(&mut self) {
        if !self.is_made {
            self.gateway.give_budget_back(self.service);
        }
    }
}

/// How far the tries of a completion have come.
#[derive(Default)]
struct Progress {
    tried: Vec<ServerKey>,
    /// Arrivals at servers, those at which only the prompt was read excluded.
    arrivals: u32,
    /// Arrivals at which the prompt was to be read; the first is not charged.
    prefills: u32,
    runs: u32,
    /// The KV cache of the prompt, until an engine has fetched it.
    cache: Option<HeldCache>,
    refusals_of_cache: u32,
}

impl Progress {
    /// Starts the completion at an engine, or goes on with it after an event.
    async fn start(
        &mut self,
        gateway: &Rc<Gateway>,
        req: &Rc<Incoming>,
        resume_after: Option<u64>,
    ) -> Result<(Reply, Placement), Refusal> {
        loop {
            let is_resumption = resume_after != req.facts.resume_after;
            // The budget comes before the memory: a completion that may not be sent again should not
            // wait for room, nor take it.
            let mut retry = match self.arrivals {
                0 => None,
                _ if !gateway.take_budget(&req.service) => {
                    return Err(self.refuse(Refusal::NoCapacity, Refusal::MayHaveRun));
                }
                _ => Some(TakenRetry { gateway, service: &req.service, is_made: false }),
            };
            let placement = match admit(gateway, req, &self.tried, is_resumption).await {
                Ok(placement) => placement,
                Err(refusal) => return Err(self.refuse(refusal, Refusal::MayHaveRun)),
            };
            let remaining = req.remaining(gateway.clock.now());
            if remaining.is_zero() {
                return Err(self.refuse(Refusal::DeadlineBeforeStart, Refusal::Deadline));
            }
            let can_go_on = req.route.allows_another(self.runs + 1);
            let patience = match can_go_on {
                true => req.route.target_latency.mul_f64(START_SHARE),
                false => remaining,
            };
            let patience = patience.min(remaining);
            if let Some(retry) = &mut retry {
                retry.is_made = true;
            }
            let attempted = self.attempt(gateway, req, &placement, resume_after, patience).await;
            if let (Some(retry), Err(error)) = (&mut retry, &attempted) {
                retry.is_made = !error.is_never_sent();
            }
            match attempted {
                Ok(reply) if reply.facts.is_not_run => {
                    self.arrivals += 1;
                    reply.finish();
                }
                Ok(reply) => {
                    self.arrivals += 1;
                    self.runs += 1;
                    return Ok((reply, placement));
                }
                Err(error) if error.is_never_sent() => {}
                Err(error) => {
                    self.arrivals += 1;
                    self.runs += 1;
                    let is_over = !req.route.allows_another(self.runs);
                    match (is_over, error) {
                        (false, _) => {}
                        (true, CallError::TimedOut) => return Err(Refusal::Deadline),
                        (true, _) => return Err(Refusal::MayHaveRun),
                    }
                }
            }
        }
    }

    fn refuse(&self, not_run: Refusal, may_have_run: Refusal) -> Refusal {
        if self.runs == 0 { not_run } else { may_have_run }
    }

    async fn attempt(
        &mut self,
        gateway: &Rc<Gateway>,
        req: &Incoming,
        placement: &Placement,
        resume_after: Option<u64>,
        patience: Duration,
    ) -> Result<Reply, CallError> {
        let decode = placement.plan.decode();
        self.tried.push(decode);
        // The connection comes first, so that no prompt is read for an engine that is gone.
        let connection = acquire(gateway, decode).await?;
        let mut spec = CallSpec { resume_after, ..CallSpec::default() };
        if let Plan::Split { prefill, .. } = placement.plan {
            let now = gateway.clock.now();
            let is_needed = self.cache.as_ref().is_none_or(|cache| !cache.is_kept(now));
            if is_needed && self.may_prefill(gateway, req) {
                let patience = placement.prefill_patience.min(req.remaining(now));
                self.cache = self.prefill(gateway, req, prefill, patience).await;
            }
            placement.prompt_read();
        }
        self.cache.take_if(|cache| !cache.is_kept(gateway.clock.now()));
        spec.kv_cache = self.cache.as_ref().map(|cache| (cache.server, cache.handle.clone()));
        let reply = call(gateway, req, decode, &spec, patience, Some(connection)).await;
        match &reply {
            // The cache is still there for another engine.
            Err(CallError::NotSent(_)) => {}
            Ok(reply) if reply.facts.is_not_run => self.refusals_of_cache += 1,
            Ok(_) | Err(_) => {
                if let Some(cache) = self.cache.take() {
                    cache.taken();
                }
            }
        }
        if self.refusals_of_cache > 1 {
            self.cache = None;
        }
        reply
    }

    /// Whether a prefill engine may be asked; if not, the decode engine can read the prompt itself.
    ///
    /// A first reading is a retry only if it fails, and is charged then; a further one always is.
    fn may_prefill(&self, gateway: &Gateway, req: &Incoming) -> bool {
        match self.prefills {
            0 => !gateway.is_budget_overdrawn(&req.service),
            _ => gateway.take_budget(&req.service),
        }
    }

    /// Has the prompt read; none if the decode engine has to read it itself.
    async fn prefill(
        &mut self,
        gateway: &Rc<Gateway>,
        req: &Incoming,
        prefill: ServerKey,
        patience: Duration,
    ) -> Option<HeldCache> {
        let spec = CallSpec { is_prefill: true, ..CallSpec::default() };
        let called = call(gateway, req, prefill, &spec, patience, None).await;
        let is_accepted = matches!(&called, Ok(reply) if !reply.facts.is_not_run);
        if !matches!(&called, Err(error) if error.is_never_sent()) {
            if self.prefills == 0 && !is_accepted {
                gateway.charge_budget(&req.service);
            }
            self.prefills += 1;
        }
        let mut reply = called.ok()?;
        let body = match tokio::time::timeout(patience, reply.read_body(MAX_FAILURE)).await {
            Ok(Ok(body)) => body,
            _ => return None,
        };
        let is_success = reply.head.status.is_success();
        reply.finish();
        if !is_success {
            return None;
        }
        let prefilled = gateway.dialect.read_prefill(&body);
        if prefilled.is_none() {
            log::warn!(request = &*req.facts.id; "prefill_unreadable");
        }
        let kept_until = gateway.clock.now() + CACHE_KEPT;
        let handle = prefilled?.handle;
        Some(HeldCache { gateway: gateway.clone(), server: prefill, handle, kept_until })
    }
}

/// How long a KV cache is taken to be kept; engines keep it for half a second or more.
const CACHE_KEPT: Duration = Duration::from_millis(450);

/// A KV cache that a prefill engine keeps, and that is freed unless it is taken.
struct HeldCache {
    gateway: Rc<Gateway>,
    server: ServerKey,
    handle: Box<str>,
    kept_until: Instant,
}

impl HeldCache {
    fn is_kept(&self, now: Instant) -> bool {
        now < self.kept_until
    }

    /// Takes in that a decode engine has fetched the cache.
    fn taken(mut self) {
        self.handle = "".into();
    }
}

impl Drop for HeldCache {
    fn drop(&mut self) {
        if !self.handle.is_empty() {
            release_kv_cache(&self.gateway, self.server, &self.handle);
        }
    }
}

/// Why a stream ends before its last event.
#[derive(Debug, Clone, Copy)]
#[derive(Display)]
enum RelayError {
    /// the stream broke off
    Broken,
}

impl std::error::Error for RelayError {}

/// A stream on its way to the caller.
struct Relay {
    gateway: Rc<Gateway>,
    req: Rc<Incoming>,
    progress: Progress,
    events: EventBuffer,
    current: Option<(Reply, Placement)>,
    has_event: bool,
    _guard: InFlight,
}

impl Relay {
    fn into_response(self, response: Response<BoxBody>) -> Response<BoxBody> {
        let body = unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        });
        response.set_body(BodyStream::new(Box::pin(body)).boxed())
    }

    /// Returns the next whole events, or none after the last one.
    async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        let mut silent_since = self.gateway.clock.now();
        loop {
            let Some((reply, _)) = &mut self.current else { return Ok(None) };
            let now = self.gateway.clock.now();
            let limit = self.req.route.max_gap.min(self.req.remaining(now));
            let error = match tokio::time::timeout(limit, reply.body.chunk()).await {
                Ok(Ok(Some(chunk))) => {
                    silent_since = self.gateway.clock.now();
                    let Some(events) = self.events.push(&chunk) else { continue };
                    self.took_events();
                    return Ok(Some(events));
                }
                Ok(Ok(None)) => return Ok(self.finish(now)),
                Ok(Err(error)) => error,
                Err(_) if self.is_given_up(silent_since).await => CallError::TimedOut,
                Err(_) => continue,
            };
            self.resume(error).await?;
            silent_since = self.gateway.clock.now();
        }
    }

    /// Whether a silent stream has reached its deadline or has to go on elsewhere.
    async fn is_given_up(&self, silent_since: Instant) -> bool {
        let now = self.gateway.clock.now();
        if self.req.remaining(now).is_zero() {
            return true;
        }
        let route = &self.req.route;
        if !route.allows_another(self.progress.runs) {
            return false;
        }
        let limit = (route.max_gap * STALL_GAPS).max(route.target_latency);
        if now - silent_since >= limit {
            return true;
        }
        let Some((reply, _)) = &self.current else { return false };
        is_lost(&self.gateway, reply.lease.server).await
    }

    /// Takes in that events came.
    fn took_events(&mut self) {
        let Some((_, placement)) = &self.current else { return };
        if !std::mem::replace(&mut self.has_event, true) {
            placement.prompt_read();
            let elapsed = self.gateway.clock.now() - self.req.received;
            let kind = self.req.route.kind.as_str();
            self.gateway.metrics.observe(kind, "first_event", elapsed);
        }
        let per_event = self.gateway.engine_spec(&self.req.service);
        let per_event = per_event.map_or(1, |spec| spec.tokens_per_event);
        placement.took_tokens(self.events.last_id().unwrap_or(0) * per_event);
    }

    fn finish(&mut self, now: Instant) -> Option<Bytes> {
        let (reply, _placement) = self.current.take()?;
        let kind = self.req.route.kind.as_str();
        self.gateway.metrics.observe(kind, "whole", now - self.req.received);
        self.gateway.metrics.count_request(kind, "answered");
        let elapsed_ms = (now - self.req.received).as_millis() as u64;
        let last_event = self.events.last_id();
        log::info!(request = &*self.req.facts.id, elapsed_ms, last_event:?, runs = self.progress.runs; "stream_ended");
        let idle_timeout = reply.facts.idle_timeout;
        let server = reply.lease.server;
        keep_connection(&self.gateway, server, reply.body, idle_timeout);
        let rest = self.events.take_rest();
        (!rest.is_empty()).then_some(rest)
    }

    /// Goes on at another engine, if the stream may.
    async fn resume(&mut self, error: CallError) -> Result<(), RelayError> {
        let request = &*self.req.facts.id;
        let last_event = self.events.last_id();
        let Some(failed) = self.current.take() else { return Err(RelayError::Broken) };
        let server = failed.0.lease.server;
        self.gateway.call_failed(server, &error);
        drop(failed);
        let remaining = self.req.remaining(self.gateway.clock.now());
        let runs = self.progress.runs;
        let is_allowed = self.req.route.allows_another(runs);
        log::warn!(request, reason:% = error, last_event:?, runs, is_allowed; "stream_broke");
        let kind = self.req.route.kind.as_str();
        if !is_allowed || remaining.is_zero() {
            self.gateway.metrics.count_request(kind, "broken");
            return Err(RelayError::Broken);
        }
        self.events.drop_rest();
        match self.progress.start(&self.gateway, &self.req, last_event).await {
            Ok((reply, placement)) if reply.is_genuine_success() => {
                self.gateway.metrics.resumptions.inc();
                log::info!(request, last_event:?; "stream_resumed");
                self.has_event = false;
                self.current = Some((reply, placement));
                Ok(())
            }
            Ok((reply, _)) => {
                let status = reply.head.status.as_u16();
                log::warn!(request, status; "stream_not_resumed");
                self.gateway.metrics.count_request(kind, "broken");
                Err(RelayError::Broken)
            }
            Err(refusal) => {
                log::warn!(request, reason:% = refusal; "stream_not_resumed");
                self.gateway.metrics.count_request(kind, "broken");
                Err(RelayError::Broken)
            }
        }
    }
}

/// Whether a silent server is gone, or no connection to it opens.
async fn is_lost(gateway: &Rc<Gateway>, server: ServerKey) -> bool {
    let is_known_lost = {
        let directory = gateway.directory.borrow();
        directory.get(server).is_none_or(|server| server.is_unreachable)
    };
    is_known_lost || !opens(gateway, server).await
}
