//! Completions, whose responses are streams of events.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::Response;
use actix_http::body::{BodyStream, BoxBody, MessageBody};
use bytes::Bytes;
use displaydoc::Display;
use futures_util::stream::unfold;
use magnoliaspar_core::ServerKey;

use crate::admission::{History, Placement, admit};
use crate::call::{
    CallSpec, Incoming, Reply, acquire, call, can_connect, keep_connection, release_kv_cache,
};
use crate::events::EventBuffer;
use crate::evidence::{Ending, StreamEnd, promises_not_run};
use crate::exchange::CallError;
use crate::gateway::{Gateway, InFlight, display_parts};
use crate::refusal::Refusal;
use crate::route::ServiceName;
use crate::selection::Plan;
use crate::unary::{Outcome, copy_response_head};

/// Silence after which a resumable stream continues at another engine, as a multiple of the route's
/// `max_gap`. The latency target of the route is the lower bound.
const STALL_TIMEOUT_GAPS: u32 = 4;

/// Share of the latency target within which an engine must start to respond to a resumable
/// completion. After it the completion is sent to another engine, which can still meet the target.
const START_TIMEOUT_SHARE: f64 = 0.5;

/// Runs a completion and returns its stream once the engine has started to respond.
pub async fn forward(gateway: &Rc<Gateway>, req: Rc<Incoming>, guard: InFlight) -> Outcome {
    let mut attempts = Attempts::default();
    match attempts.start(gateway, &req, req.facts.resume_after).await {
        Ok(Start::Stream(reply, placement)) => {
            let response = copy_response_head(&reply.head);
            let server = gateway.server_name(reply.guard.server);
            let relay = Relay {
                gateway: gateway.clone(),
                events: EventBuffer::after(req.facts.resume_after),
                is_continuation: req.facts.resume_after.is_some(),
                req,
                attempts,
                current: Some((*reply, placement)),
                has_event: false,
                _guard: guard,
            };
            Outcome::Response(relay.into_response(response), server)
        }
        Ok(Start::Failed(failure)) => Outcome::Response(failure.response, failure.server),
        Err(refusal) => Outcome::Refused(refusal),
    }
}

/// The start of a completion.
enum Start {
    /// An engine has begun to respond.
    Stream(Box<Reply>, Placement),
    /// The last engine that responded has failed.
    Failed(Failure),
}

/// The failure of an engine, to be forwarded unchanged.
struct Failure {
    response: Response<BoxBody>,
    server: Box<str>,
}

impl Failure {
    /// Reads a response that is not a stream, until the deadline; returns `None` unless it is a whole failure
    /// that may be forwarded.
    async fn read(gateway: &Gateway, req: &Incoming, mut reply: Reply) -> Option<Self> {
        let status = reply.head.status;
        let request = &*req.facts.id;
        if status.is_success() || promises_not_run(status) {
            log::warn!(request, status = status.as_u16(); "answer_not_forwarded");
            return None;
        }
        let remaining = req.remaining(gateway.clock.now());
        let read = tokio::time::timeout(remaining, reply.read_body(MAX_BUFFERED_BODY_BYTES)).await;
        let body = match read.unwrap_or(Err(CallError::TimedOut)) {
            Ok(body) => body,
            Err(error) => {
                log::warn!(request, reason:% = error; "answer_incomplete");
                return None;
            }
        };
        let response = copy_response_head(&reply.head).set_body(body.boxed());
        let server = gateway.server_name(reply.guard.server);
        reply.finish();
        Some(Self { response, server })
    }
}

/// Maximum length of a buffered error or prefill response, in bytes.
const MAX_BUFFERED_BODY_BYTES: usize = 1 << 20;

/// A retry taken out of the budget, which is returned on drop unless it was used.
struct ReservedRetry<'a> {
    gateway: &'a Gateway,
    service: &'a ServiceName,
    is_used: bool,
}

impl Drop for ReservedRetry<'_> {
    fn drop(&mut self) {
        if !self.is_used {
            self.gateway.return_retry(self.service);
        }
    }
}

/// The attempts made for a completion.
#[derive(Default)]
struct Attempts {
    tried: Vec<ServerKey>,
    /// Requests that reached a server, except those for prefill only.
    dispatches: u32,
    /// Prefill requests that reached a server. The first one is charged only if it fails.
    prefill_attempts: u32,
    /// Requests that an engine may have run.
    runs: u32,
    /// The KV cache of the prompt, until an engine has fetched it.
    kv_cache: Option<HeldKvCache>,
    /// Decode requests that an engine rejected; after the second, the KV cache is released.
    rejections: u32,
    /// Whether an engine crashed before the completion had started on it.
    has_crashed: bool,
}

impl Attempts {
    /// Starts the completion at an engine, or resumes it after an event.
    async fn start(
        &mut self,
        gateway: &Rc<Gateway>,
        req: &Rc<Incoming>,
        resume_after: Option<u64>,
    ) -> Result<Start, Refusal> {
        let mut failure = None;
        let started = self.find_engine(gateway, req, resume_after, &mut failure).await;
        match (started, failure) {
            (Ok((reply, placement)), _) => Ok(Start::Stream(Box::new(reply), placement)),
            // The failure of an engine is more specific than the refusal to retry.
            (Err(_), Some(failure)) => Ok(Start::Failed(failure)),
            (Err(refusal), None) => Err(refusal),
        }
    }

    /// Sends the completion to engines until one begins to respond with a stream or no further attempt is
    /// allowed; `failure` is the last one that may be forwarded.
    async fn find_engine(
        &mut self,
        gateway: &Rc<Gateway>,
        req: &Rc<Incoming>,
        resume_after: Option<u64>,
        failure: &mut Option<Failure>,
    ) -> Result<(Reply, Placement), Refusal> {
        loop {
            if gateway.quarantined_for(&req.service, &req.parts).is_some() {
                return Err(self.refuse(Refusal::Quarantined, Refusal::MayHaveRun));
            }
            let is_resumption = resume_after != req.facts.resume_after;
            // The budget is checked before admission: a completion that may not be retried must
            // neither wait for engine memory nor reserve it.
            let mut retry = match self.dispatches {
                0 => None,
                _ if !gateway.take_retry(&req.service) => {
                    return Err(self.refuse(Refusal::NoCapacity, Refusal::MayHaveRun));
                }
                _ => Some(ReservedRetry { gateway, service: &req.service, is_used: false }),
            };
            let history = History { is_resumption, has_crashed: self.has_crashed };
            let placement = match admit(gateway, req, &self.tried, history).await {
                Ok(placement) => placement,
                Err(refusal) => return Err(self.refuse(refusal, Refusal::MayHaveRun)),
            };
            let remaining = req.remaining(gateway.clock.now());
            if remaining.is_zero() {
                return Err(self.refuse(Refusal::DeadlineBeforeStart, Refusal::Deadline));
            }
            let can_retry = req.route.allows_retry(self.runs + 1);
            let timeout = match can_retry {
                true => req.route.target_latency.mul_f64(START_TIMEOUT_SHARE),
                false => remaining,
            };
            let timeout = timeout.min(remaining);
            if let Some(retry) = &mut retry {
                retry.is_used = true;
            }
            let result = self.attempt(gateway, req, &placement, resume_after, timeout).await;
            if let (Some(retry), Err(error)) = (&mut retry, &result) {
                retry.is_used = !error.is_not_sent();
            }
            match result {
                Ok(reply) if reply.proves_not_run() => {
                    self.dispatches += 1;
                    reply.finish_refusal().await;
                }
                Ok(reply) => {
                    self.dispatches += 1;
                    self.runs += 1;
                    if reply.is_sealed_success() {
                        return Ok((reply, placement));
                    }
                    drop(placement);
                    let status = reply.head.status;
                    let may_succeed_elsewhere =
                        !status.is_client_error() || promises_not_run(status);
                    *failure = Failure::read(gateway, req, reply).await;
                    if !may_succeed_elsewhere || !req.route.allows_retry(self.runs) {
                        return Err(Refusal::MayHaveRun);
                    }
                }
                Err(error) if error.is_not_sent() => {
                    // An engine that began to rest meanwhile can be used later.
                    let decode = placement.plan.decode();
                    self.tried.pop_if(|server| *server == decode && gateway.must_wait_for(decode));
                }
                Err(error) => {
                    self.dispatches += 1;
                    self.runs += 1;
                    self.check_crash(gateway, req, placement.plan.decode(), &error).await;
                    let is_final = !req.route.allows_retry(self.runs);
                    match (is_final, error) {
                        (false, _) => {}
                        (true, CallError::TimedOut) => return Err(Refusal::Deadline),
                        (true, _) => return Err(Refusal::MayHaveRun),
                    }
                }
            }
        }
    }

    /// Reports a crash if the engine broke off before the completion had started on it, and accepts
    /// no connections since.
    async fn check_crash(
        &mut self,
        gateway: &Rc<Gateway>,
        req: &Incoming,
        engine: ServerKey,
        error: &CallError,
    ) {
        if matches!(error, CallError::Broken(_)) && !can_connect(gateway, engine).await {
            self.has_crashed = true;
            gateway.report_crash(engine, &req.service, &req.parts);
        }
    }

    /// Returns the refusal that is true for the number of runs so far.
    fn refuse(&self, not_run: Refusal, may_have_run: Refusal) -> Refusal {
        if self.runs == 0 { not_run } else { may_have_run }
    }

    /// Prefills the prompt if needed, and sends the completion to the decode engine.
    async fn attempt(
        &mut self,
        gateway: &Rc<Gateway>,
        req: &Incoming,
        placement: &Placement,
        resume_after: Option<u64>,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let decode = placement.plan.decode();
        self.tried.push(decode);
        // The connection is opened first, so that no prompt is prefilled for an engine that is
        // gone.
        let connection = acquire(gateway, decode).await?;
        let mut spec = CallSpec { resume_after, ..CallSpec::default() };
        if let Plan::Split { prefill, .. } = placement.plan {
            let now = gateway.clock.now();
            let is_needed = self.kv_cache.as_ref().is_none_or(|kv_cache| !kv_cache.is_valid(now));
            if is_needed && self.may_prefill(gateway, req) {
                let timeout = placement.prefill_timeout.min(req.remaining(now));
                self.kv_cache = self.run_prefill(gateway, req, prefill, timeout).await;
            }
            placement.finish_prefill();
        }
        self.kv_cache.take_if(|kv_cache| !kv_cache.is_valid(gateway.clock.now()));
        spec.kv_cache =
            self.kv_cache.as_ref().map(|kv_cache| (kv_cache.server, kv_cache.handle.clone()));
        let reply = call(gateway, req, decode, &spec, timeout, Some(connection)).await;
        match &reply {
            // The KV cache is still available to another engine.
            Err(CallError::NotSent(_)) => {}
            Ok(reply) if reply.proves_not_run() => self.rejections += 1,
            Ok(_) | Err(_) => {
                if let Some(kv_cache) = self.kv_cache.take() {
                    kv_cache.mark_fetched();
                }
            }
        }
        if self.rejections > 1 {
            self.kv_cache = None;
        }
        reply
    }

    /// Returns whether a prefill engine may be used; if not, the decode engine can prefill the
    /// prompt itself.
    ///
    /// The first prefill counts as a retry only if it fails, and is charged then. Later ones are
    /// always charged.
    fn may_prefill(&self, gateway: &Gateway, req: &Incoming) -> bool {
        match self.prefill_attempts {
            0 => !gateway.is_budget_overdrawn(&req.service),
            _ => gateway.take_retry(&req.service),
        }
    }

    /// Runs the prefill. Returns `None` if the decode engine has to prefill the prompt itself.
    async fn run_prefill(
        &mut self,
        gateway: &Rc<Gateway>,
        req: &Incoming,
        prefill: ServerKey,
        timeout: Duration,
    ) -> Option<HeldKvCache> {
        let spec = CallSpec { is_prefill: true, ..CallSpec::default() };
        let called = call(gateway, req, prefill, &spec, timeout, None).await;
        let is_accepted = matches!(&called, Ok(reply) if !reply.proves_not_run());
        if !matches!(&called, Err(error) if error.is_not_sent()) {
            if self.prefill_attempts == 0 && !is_accepted {
                gateway.charge_retry(&req.service);
            }
            self.prefill_attempts += 1;
        }
        let mut reply = called.ok()?;
        let body =
            match tokio::time::timeout(timeout, reply.body.read_whole(MAX_BUFFERED_BODY_BYTES))
                .await
            {
                Ok(Ok(body)) => body,
                _ => return None,
            };
        let is_success = reply.head.status.is_success();
        reply.finish();
        // A handle that can be read is whole, however its response ended.
        if !is_success {
            return None;
        }
        let prefilled = gateway.dialect.read_prefill(&body);
        if prefilled.is_none() {
            log::warn!(request = &*req.facts.id; "prefill_unreadable");
        }
        let expires_at = gateway.clock.now() + KV_CACHE_LIFETIME;
        let handle = prefilled?.handle;
        Some(HeldKvCache { gateway: gateway.clone(), server: prefill, handle, expires_at })
    }
}

/// Time for which a KV cache is assumed to be held. Engines hold it for at least half a second.
const KV_CACHE_LIFETIME: Duration = Duration::from_millis(450);

/// A KV cache held by a prefill engine, which is released on drop unless it was fetched.
struct HeldKvCache {
    gateway: Rc<Gateway>,
    server: ServerKey,
    handle: Box<str>,
    expires_at: Instant,
}

impl HeldKvCache {
    fn is_valid(&self, now: Instant) -> bool {
        now < self.expires_at
    }

    /// Records that a decode engine has fetched the KV cache.
    fn mark_fetched(mut self) {
        self.handle = "".into();
    }
}

impl Drop for HeldKvCache {
    fn drop(&mut self) {
        if !self.handle.is_empty() {
            release_kv_cache(&self.gateway, self.server, &self.handle);
        }
    }
}

/// Reason why a stream ends before its last event.
#[derive(Debug, Clone, Copy)]
#[derive(Display)]
enum RelayError {
    /// the stream broke off
    Broken,
}

impl std::error::Error for RelayError {}

/// A stream that is forwarded to the caller.
struct Relay {
    gateway: Rc<Gateway>,
    req: Rc<Incoming>,
    attempts: Attempts,
    events: EventBuffer,
    current: Option<(Reply, Placement)>,
    /// Whether the current engine has sent an event.
    has_event: bool,
    /// Whether the current engine continues after an event that was delivered.
    is_continuation: bool,
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

    /// Returns the next complete events, or `None` after the last one.
    async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        let mut silent_since = self.gateway.clock.now();
        loop {
            let Some((reply, _)) = &mut self.current else { return Ok(None) };
            let now = self.gateway.clock.now();
            let limit = self.req.route.max_gap.min(self.req.remaining(now));
            let error = match tokio::time::timeout(limit, reply.body.chunk()).await {
                Ok(Ok(Some(chunk))) => {
                    silent_since = self.gateway.clock.now();
                    match self.events.push(&chunk) {
                        Some(events) => {
                            self.record_events();
                            return Ok(Some(events));
                        }
                        None if self.events.is_too_long() => {
                            CallError::Malformed("an event exceeds the length limit".into())
                        }
                        None => continue,
                    }
                }
                Ok(Ok(None)) => {
                    let ending = Ending::of_stream(StreamEnd {
                        is_delimited: reply.body.is_delimited(),
                        is_event_stream: reply.is_event_stream(),
                        is_inside_event: self.events.has_partial(),
                        has_event: self.has_event,
                        is_continuation: self.is_continuation,
                    });
                    match reply.confirm_end(ending).await {
                        Ok(()) => {
                            self.finish();
                            return Ok(None);
                        }
                        Err(error) => error,
                    }
                }
                Ok(Err(error)) => error,
                Err(_) if self.should_abandon(silent_since).await => CallError::TimedOut,
                Err(_) => continue,
            };
            self.resume(error).await?;
            silent_since = self.gateway.clock.now();
        }
    }

    /// Returns whether a silent stream has reached its deadline or has to continue at another
    /// engine.
    async fn should_abandon(&self, silent_since: Instant) -> bool {
        let now = self.gateway.clock.now();
        if self.req.remaining(now).is_zero() {
            return true;
        }
        let route = &self.req.route;
        if !route.allows_retry(self.attempts.runs) {
            return false;
        }
        let limit = (route.max_gap * STALL_TIMEOUT_GAPS).max(route.target_latency);
        if now - silent_since >= limit {
            return true;
        }
        let Some((reply, _)) = &self.current else { return false };
        is_lost(&self.gateway, reply.guard.server).await
    }

    /// Records the arrival of events.
    fn record_events(&mut self) {
        let Some((_, placement)) = &self.current else { return };
        if !std::mem::replace(&mut self.has_event, true) {
            placement.start(&self.req);
            let elapsed = self.gateway.clock.now() - self.req.received;
            let kind = self.req.route.kind.as_str();
            self.gateway.metrics.observe(kind, "first_event", elapsed);
        }
        let per_event = self.gateway.engine_spec(&self.req.service);
        let per_event = per_event.map_or(1, |spec| spec.tokens_per_event);
        placement.record_tokens(self.events.last_id().unwrap_or(0) * per_event);
    }

    /// Records the end of a whole stream, and keeps the connection to its engine.
    fn finish(&mut self) {
        let now = self.gateway.clock.now();
        let Some((reply, _placement)) = self.current.take() else { return };
        let kind = self.req.route.kind.as_str();
        self.gateway.metrics.observe(kind, "whole", now - self.req.received);
        self.gateway.metrics.count_request(kind, "answered");
        let elapsed_ms = (now - self.req.received).as_millis() as u64;
        let last_event = self.events.last_id();
        let server = reply.guard.server;
        let name = self.gateway.server_name(server);
        let framing = reply.body.framing_name();
        log::info!(request = &*self.req.facts.id, server = &*name, framing, elapsed_ms, last_event:?, runs = self.attempts.runs; "stream_ended");
        let idle_timeout = reply.facts.idle_timeout;
        keep_connection(&self.gateway, server, reply.body, idle_timeout);
    }

    /// Resumes the stream at another engine, if the route allows it.
    async fn resume(&mut self, error: CallError) -> Result<(), RelayError> {
        let request = &*self.req.facts.id;
        let last_event = self.events.last_id();
        let Some(failed) = self.current.take() else { return Err(RelayError::Broken) };
        let server = failed.0.guard.server;
        let (name, framing) = (self.gateway.server_name(server), failed.0.body.framing_name());
        self.gateway.record_call_failure(server, &error);
        drop(failed);
        if !self.has_event {
            self.attempts.check_crash(&self.gateway, &self.req, server, &error).await;
        }
        let remaining = self.req.remaining(self.gateway.clock.now());
        let runs = self.attempts.runs;
        let is_allowed = self.req.route.allows_retry(runs);
        let has_event = self.has_event;
        let parts = display_parts(&self.req.parts);
        log::warn!(request, server = &*name, framing, reason:% = error, last_event:?, has_event, parts, runs, is_allowed; "stream_broke");
        let kind = self.req.route.kind.as_str();
        if !is_allowed || remaining.is_zero() {
            self.gateway.metrics.count_request(kind, "broken");
            return Err(RelayError::Broken);
        }
        self.events.discard_partial();
        match self.attempts.start(&self.gateway, &self.req, last_event).await {
            Ok(Start::Stream(reply, placement)) => {
                self.gateway.metrics.resumptions.inc();
                log::info!(request, last_event:?; "stream_resumed");
                self.has_event = false;
                self.is_continuation = last_event.is_some();
                self.current = Some((*reply, placement));
                Ok(())
            }
            Ok(Start::Failed(failure)) => {
                let status = failure.response.status().as_u16();
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

/// Returns whether a silent server is gone or refuses new connections.
async fn is_lost(gateway: &Rc<Gateway>, server: ServerKey) -> bool {
    let is_known_lost = {
        let directory = gateway.directory.borrow();
        directory.get(server).is_none_or(|server| server.is_unreachable)
    };
    is_known_lost || !can_connect(gateway, server).await
}
