//! Completions, whose responses are streams of events.

mod race;
mod relay;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::Response;
use actix_http::body::{BoxBody, MessageBody};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use magnoliaspar_core::ServerKey;
use tokio::sync::watch;

use self::race::{Raced, Watched};
use self::relay::{Pauses, Relay};
use crate::admission::{Eligible, History, MAX_WAIT_IN_TARGETS, Placement, admit};
use crate::call::{
    CallSpec, Incoming, Reply, acquire, call, can_connect, record_silence, release_kv_cache,
};
use crate::engine_stream::EngineStream;
use crate::evidence::promises_not_run;
use crate::exchange::CallError;
use crate::gateway::{Gateway, display_parts};
use crate::hedge::{Course, ReservedRetry, Tally};
use crate::refusal::Refusal;
use crate::route::Route;
use crate::selection::Plan;
use crate::unary::{Outcome, copy_response_head};

/// Silence after which a resumable stream is started at another engine, too, as a multiple of the route's
/// `max_gap`. The latency target of the route is the lower bound.
const STALL_TIMEOUT_GAPS: u32 = 4;

/// Share of the latency target within which an engine must start to respond to a resumable completion. After it
/// the completion is sent to another engine, too, which can still meet the target.
const START_TIMEOUT_SHARE: f64 = 0.5;

/// Runs a completion and returns its stream once an engine has started to respond.
pub async fn forward(gateway: &Rc<Gateway>, req: Rc<Incoming>) -> Outcome {
    let mut attempts = Attempts::default();
    let cx = Context { gateway, req: &req };
    let resume_after = req.facts.resume_after;
    let (engine, ready) = match attempts.find_engine(cx, resume_after).await {
        Ok(Started::Head(reply, placement)) => {
            (EngineStream::begin(gateway, *reply, placement, resume_after), None)
        }
        Ok(Started::Opened(opened)) => (opened.engine, Some(opened.events)),
        // The failure of an engine is more specific than the refusal to retry.
        Err(refusal) => {
            return match attempts.failure.take() {
                Some(failure) => Outcome::Response(failure.response, failure.server),
                None => Outcome::Refused(refusal),
            };
        }
    };
    let response = copy_response_head(&engine.reply.head);
    let server = gateway.server_name(engine.reply.guard.server);
    let relay = Relay {
        gateway: gateway.clone(),
        req: req.clone(),
        attempts,
        current: Some(engine),
        ready,
        pauses: Pauses::default(),
        course: Rc::default(),
    };
    Outcome::Response(relay.into_response(response), server)
}

/// The request that is run, and the gateway that runs it.
#[derive(Clone, Copy)]
struct Context<'a> {
    gateway: &'a Rc<Gateway>,
    req: &'a Rc<Incoming>,
}

/// The start of a completion at an engine.
enum Started {
    /// The engine has sent the head of its stream.
    Head(Box<Reply>, Placement),
    /// The engine was started beside a silent one, and has sent its first events before that one has sent anything.
    Opened(Opened),
}

/// A stream with its next events.
struct Opened {
    engine: Box<EngineStream>,
    /// The events, or `None` after the last one.
    events: Option<Bytes>,
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
                let server = gateway.server_name(reply.guard.server);
                log::warn!(request, server = &*server, reason:% = error; "answer_incomplete");
                let _ = gateway.record_call_failure(reply.guard.server, &error);
                return None;
            }
        };
        let response = copy_response_head(&reply.head).set_body(body.boxed());
        let server = gateway.server_name(reply.guard.server);
        reply.finish();
        Some(Self { response, server })
    }
}

/// Interval at which a stream that waits for a retry, or for an engine to which it returns, asks again.
const RETRY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Number of prefill engines after whose failures the decode engine prefills the prompt itself, which delays the
/// tokens of all that it runs.
const MAX_FAILED_PREFILLS: u32 = 2;

/// Maximum length of a buffered error or prefill response, in bytes.
const MAX_BUFFERED_BODY_BYTES: usize = 1 << 20;

/// Engines at which a completion has ended without a proof that they are lost.
type EndedRuns = Rc<RefCell<Vec<ServerKey>>>;

/// A run of a completion at an engine. Dropped before it is over, it has been given up, and the completion may return to
/// the engine.
struct Run {
    engine: ServerKey,
    ended: EndedRuns,
    is_over: bool,
}

impl Run {
    fn new(engine: ServerKey, ended: &EndedRuns) -> Self {
        Self { engine, ended: ended.clone(), is_over: false }
    }

    /// Records that the run has ended by itself, at an engine to which the completion may return if `is_returnable`.
    fn end(mut self, is_returnable: bool) {
        self.is_over = !is_returnable;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut ended = self.ended.borrow_mut();
        if !self.is_over && !ended.contains(&self.engine) {
            ended.push(self.engine);
        }
    }
}

/// The means that a further attempt needed and did not have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Missing {
    /// The retry budget allowed no retry.
    Retry,
    /// The coordinator did not admit the completion.
    Admission,
    /// There was no engine that the completion may be sent to.
    Engine,
    /// The deadline had passed.
    Deadline,
    /// The process ends before the completion would.
    Uptime,
}

impl Missing {
    fn as_str(self) -> &'static str {
        match self {
            Self::Retry => "retry",
            Self::Admission => "admission",
            Self::Engine => "engine",
            Self::Deadline => "deadline",
            Self::Uptime => "uptime",
        }
    }

    /// Returns what a completion that is refused admission lacks.
    fn of_admission(refusal: Refusal) -> Self {
        match refusal {
            Refusal::NoServer | Refusal::ServersResting => Self::Engine,
            Refusal::Stopping => Self::Uptime,
            _ => Self::Admission,
        }
    }
}

/// The attempts made for a completion.
#[derive(Default)]
struct Attempts {
    tried: Vec<ServerKey>,
    tally: Tally,
    /// The engines to which the completion may return.
    ended: EndedRuns,
    /// Number of silent attempts beside which this one was started, and which may go on.
    in_hand: Rc<Cell<u32>>,
    /// Prefill requests that reached a server. The first one is charged only if it fails.
    prefill_attempts: u32,
    /// Number of prefill engines that refused or failed to prefill the prompt.
    failed_prefills: u32,
    /// The KV cache of the prompt, until it is offered to an engine.
    kv_cache: Option<HeldKvCache>,
    /// Decode requests that an engine rejected; after the second, the KV cache is released.
    rejections: u32,
    /// What the last attempt that was not made lacked.
    missing: Option<Missing>,
    /// The last failure of an engine that may be forwarded.
    failure: Option<Failure>,
    /// Whether an engine crashed before the completion had started on it.
    has_crashed: Rc<Cell<bool>>,
    /// Number of engines that were gone after the completion had started on them.
    lost_engines: Rc<Cell<u32>>,
    /// The course of the attempt that was started last beside a silent one.
    course: watch::Sender<Course>,
}

impl Attempts {
    /// Sends the completion to engines, after an event if given, until one begins to respond with a stream or no
    /// further attempt is allowed.
    async fn find_engine(
        &mut self,
        cx: Context<'_>,
        resume_after: Option<u64>,
    ) -> Result<Started, Refusal> {
        let Context { gateway, req } = cx;
        loop {
            if gateway.quarantined_for(&req.service, &req.parts).is_some() {
                return Err(self.lack(Missing::Admission, Refusal::Quarantined));
            }
            if !gateway.may_start(req) {
                self.missing = Some(Missing::Uptime);
                return Err(Refusal::Stopping);
            }
            if !self.allows_attempt(&req.route) {
                self.missing = Some(Missing::Engine);
                return Err(Refusal::MayHaveRun);
            }
            let is_resumption = resume_after != req.facts.resume_after;
            // The budget is checked before admission: a completion that may not be retried must
            // neither wait for engine memory nor reserve it.
            let mut retry = None;
            if self.tally.dispatches > 0 {
                retry = self.obtain_retry(cx, is_resumption).await;
                if retry.is_none() {
                    log::info!(request = &*req.facts.id, reason = "the retry budget is used up"; "not_retried");
                    return Err(self.lack(Missing::Retry, Refusal::NoCapacity));
                }
            }
            let only = self.engines_to_return_to(&req.route);
            let mut tried = self.tried.clone();
            if self.may_return(&req.route) {
                tried.retain(|engine| !self.ended.borrow().contains(engine));
            }
            let history = History { is_resumption, has_crashed: self.has_crashed.get() };
            let engines = Eligible { tried: &tried, only: &only };
            let admitted = tokio::select! {
                admitted = admit(gateway, req, engines, history) => admitted,
                () = gateway.closed_for(req) => Err(Refusal::Stopping),
            };
            let placement = match admitted {
                Ok(placement) => placement,
                Err(refusal) => return Err(self.lack(Missing::of_admission(refusal), refusal)),
            };
            if req.remaining(gateway.clock.now()).is_zero() {
                self.missing = Some(Missing::Deadline);
                return Err(self.refuse(Refusal::DeadlineBeforeStart, Refusal::Deadline));
            }
            if let Some(retry) = &mut retry {
                retry.is_used = true;
            }
            let decode = placement.plan.decode();
            let (result, placement) = match self.attempt(cx, placement, resume_after).await {
                Raced::First(first) => first,
                Raced::Successor(opened) => return Ok(Started::Opened(opened)),
                Raced::Lost(refusal) => return Err(refusal),
            };
            if let (Some(retry), Err(error)) = (&mut retry, &result) {
                retry.is_used = !error.is_not_sent();
            }
            match result {
                Ok(reply) if reply.proves_not_run() => {
                    reply.finish_refusal().await;
                    self.pause_before_return(decode).await;
                }
                Ok(reply) if reply.is_sealed_success() => {
                    return Ok(Started::Head(Box::new(reply), placement));
                }
                Ok(reply) => {
                    drop(placement);
                    let may_succeed_elsewhere = !reply.is_client_error();
                    self.failure = Failure::read(gateway, req, reply).await;
                    if !may_succeed_elsewhere || !self.allows_attempt(&req.route) {
                        self.missing = Some(Missing::Engine);
                        return Err(Refusal::MayHaveRun);
                    }
                }
                Err(error) if error.is_not_sent() => {
                    // An engine that began to rest meanwhile can be used later.
                    self.tried.pop_if(|server| *server == decode && gateway.must_wait_for(decode));
                    self.pause_before_return(decode).await;
                }
                Err(error) if !self.allows_attempt(&req.route) => {
                    return Err(self.lacks_engine(req, gateway, &error));
                }
                Err(error @ CallError::TimedOut) => {
                    return Err(self.lacks_engine(req, gateway, &error));
                }
                Err(_) => {}
            }
        }
    }

    /// Waits before the completion returns once more to an engine that could not be used or had no room.
    async fn pause_before_return(&self, engine: ServerKey) {
        if self.has_ended_at(engine) {
            tokio::time::sleep(RETRY_POLL_INTERVAL).await;
        }
    }

    /// Returns whether a further attempt may be started now.
    fn allows_attempt(&self, route: &Route) -> bool {
        self.tally.allows_attempt(route) || self.may_return(route)
    }

    /// Returns whether the completion may return to an engine that may have run it.
    fn may_return(&self, route: &Route) -> bool {
        let may_be_the_prompt = self.has_crashed.get() || self.lost_engines.get() > 1;
        let has_engine = !self.ended.borrow().is_empty();
        !may_be_the_prompt && has_engine && self.tally.allows_return(route)
    }

    /// Returns the engines to which the completion is limited, as it may be sent to no others; empty if it may.
    fn engines_to_return_to(&self, route: &Route) -> Vec<ServerKey> {
        match self.tally.allows_attempt(route) {
            true => Vec::new(),
            false => self.ended.borrow().clone(),
        }
    }

    /// Takes a retry out of the budget. A stream that has begun waits for one that is due, since it cannot be refused,
    /// unless another attempt is in hand.
    async fn obtain_retry<'a>(
        &self,
        cx: Context<'a>,
        is_resumption: bool,
    ) -> Option<ReservedRetry<'a>> {
        let Context { gateway, req } = cx;
        let start = gateway.clock.now();
        let wait = req.route.target_latency.mul_f64(MAX_WAIT_IN_TARGETS);
        let until = (start + wait).min(req.deadline);
        loop {
            let retry = ReservedRetry::obtain(gateway, &req.service).await;
            let now = gateway.clock.now();
            let may_wait = is_resumption && self.in_hand.get() == 0 && now < until;
            if retry.is_some() || !may_wait || !gateway.is_retry_due_within(wait) {
                let waited_ms = (now - start).as_millis() as u64;
                if waited_ms >= RETRY_POLL_INTERVAL.as_millis() as u64 {
                    log::info!(request = &*req.facts.id, waited_ms, is_obtained = retry.is_some(); "retry_awaited");
                }
                return retry;
            }
            tokio::time::sleep(RETRY_POLL_INTERVAL.min(until - now)).await;
        }
    }

    /// Starts the completion at engines, after an event if given, until one has sent its first events or no
    /// further attempt is allowed.
    async fn open(
        &mut self,
        cx: Context<'_>,
        resume_after: Option<u64>,
    ) -> Result<Opened, Refusal> {
        loop {
            let engine = match self.find_engine(cx, resume_after).await? {
                Started::Opened(opened) => return Ok(opened),
                Started::Head(reply, placement) => {
                    EngineStream::begin(cx.gateway, *reply, placement, resume_after)
                }
            };
            match self.next_events(cx, engine).await {
                Raced::First(Ok(opened)) | Raced::Successor(opened) => return Ok(opened),
                Raced::First(Err(error)) if !self.allows_attempt(&cx.req.route) => {
                    return Err(self.lacks_engine(cx.req, cx.gateway, &error));
                }
                Raced::First(Err(_)) => self.report_course(Course::default()),
                Raced::Lost(refusal) => return Err(refusal),
            }
        }
    }

    /// Starts the completion at a successor of a silent engine.
    fn open_successor<'a>(
        &'a mut self,
        cx: Context<'a>,
        resume_after: Option<u64>,
    ) -> LocalBoxFuture<'a, Result<Opened, Refusal>> {
        Box::pin(self.open(cx, resume_after))
    }

    /// Waits for the next events of an engine. A stream that pauses is started at another engine, too, if the
    /// route allows it.
    async fn next_events(
        &mut self,
        cx: Context<'_>,
        mut engine: Box<EngineStream>,
    ) -> Raced<Result<Opened, CallError>> {
        let route = &cx.req.route;
        let last_event = engine.events.last_id();
        let watched = Watched {
            server: engine.reply.guard.server,
            silent_since: engine.heard_at.clone(),
            limit: (route.max_gap * STALL_TIMEOUT_GAPS).max(route.target_latency),
            check_interval: Some(route.max_gap).filter(|gap| !gap.is_zero()),
        };
        // The caller may not have asked for more events until now.
        engine.heard_at.set(cx.gateway.clock.now());
        let (tally, has_crashed) = (self.tally, self.has_crashed.clone());
        let lost_engines = self.lost_engines.clone();
        let run = Run::new(engine.reply.guard.server, &self.ended);
        let first = async move {
            let error = match engine.next(cx.gateway, cx.req).await {
                Ok(events) => {
                    run.end(false);
                    return Ok(Opened { engine, events });
                }
                Err(error) => error,
            };
            report_broken(cx, &engine, tally, &error);
            let (server, has_event) = (engine.reply.guard.server, engine.has_event);
            drop(engine);
            // An error before the first event may be due to the prompt.
            let is_returnable = has_event && is_of_connection(&error);
            if !is_returnable {
                run.end(false);
                if !has_event {
                    check_crash(cx, server, &error, &has_crashed).await;
                }
                return Err(error);
            }
            let is_lost = !can_connect(cx.gateway, server).await;
            run.end(!is_lost);
            lost_engines.set(lost_engines.get() + u32::from(is_lost));
            Err(error)
        };
        self.race(cx, &watched, last_event, first, Result::is_err).await
    }

    /// Returns whether the completion has ended at an engine to which it may return.
    fn has_ended_at(&self, engine: ServerKey) -> bool {
        self.ended.borrow().contains(&engine)
    }

    /// Reports the course of this attempt to the race in which it is the successor, if there is one.
    fn report_course(&self, course: Course) {
        self.course.send_replace(course);
    }

    /// Returns the refusal that is true for the number of runs so far.
    fn refuse(&self, not_run: Refusal, may_have_run: Refusal) -> Refusal {
        if self.tally.runs == 0 { not_run } else { may_have_run }
    }

    /// Records what the next attempt lacks; returns the refusal that is true for the number of runs so far, which is
    /// `not_run` if there was none.
    fn lack(&mut self, missing: Missing, not_run: Refusal) -> Refusal {
        self.missing = Some(missing);
        self.refuse(not_run, Refusal::MayHaveRun)
    }

    /// Records that the completion has failed at the last engine that it may be sent to; returns its refusal.
    fn lacks_engine(&mut self, req: &Incoming, gateway: &Gateway, error: &CallError) -> Refusal {
        let is_late = req.remaining(gateway.clock.now()).is_zero();
        self.missing = Some(if is_late { Missing::Deadline } else { Missing::Engine });
        final_refusal(error)
    }

    /// Prefills the prompt if needed, and sends the completion to the decode engine.
    async fn attempt(
        &mut self,
        cx: Context<'_>,
        placement: Placement,
        resume_after: Option<u64>,
    ) -> Raced<(Result<Reply, CallError>, Placement)> {
        let Context { gateway, req } = cx;
        let decode = placement.plan.decode();
        self.tried.push(decode);
        // The connection is opened first, so that no prompt is prefilled for an engine that is
        // gone.
        let connection = match acquire(gateway, decode).await {
            Ok(connection) => connection,
            Err(error) => return Raced::First((Err(error), placement)),
        };
        if let Plan::Split { prefill, .. } = placement.plan {
            let now = gateway.clock.now();
            let is_needed = self.kv_cache.as_ref().is_none_or(|kv_cache| !kv_cache.is_valid(now));
            if is_needed && self.may_prefill(gateway, req).await {
                let timeout = placement.prefill_timeout.min(req.remaining(now));
                self.kv_cache = self.run_prefill(cx, prefill, timeout).await;
                if self.kv_cache.is_none() {
                    self.failed_prefills += 1;
                }
                if self.kv_cache.is_none() && self.failed_prefills < MAX_FAILED_PREFILLS {
                    self.tried.pop();
                    self.tried.push(prefill);
                    gateway.keep_unused(decode, connection);
                    return Raced::First((Err(not_prefilled()), placement));
                }
            }
            placement.finish_prefill();
        }
        let now = gateway.clock.now();
        let kv_cache = self.kv_cache.take().filter(|kv_cache| kv_cache.is_valid(now));
        let spec = CallSpec {
            resume_after,
            kv_cache: kv_cache.as_ref().map(|kv_cache| (kv_cache.server, kv_cache.handle.clone())),
            ..CallSpec::default()
        };
        let is_return = !self.tally.allows_attempt(&req.route) || self.has_ended_at(decode);
        match is_return {
            true => self.tally.start_return(),
            false => self.tally.start(),
        }
        self.ended.borrow_mut().retain(|engine| *engine != decode);
        self.report_course(Course { sent_at: Some(now), has_begun: false, is_return });
        let watched = Watched {
            server: decode,
            silent_since: Rc::new(Cell::new(now)),
            limit: req.route.target_latency.mul_f64(START_TIMEOUT_SHARE),
            check_interval: None,
        };
        let has_crashed = self.has_crashed.clone();
        let run = Run::new(decode, &self.ended);
        let first = async move {
            let remaining = req.remaining(gateway.clock.now());
            let result = call(gateway, req, decode, &spec, remaining, Some(connection)).await;
            let is_not_run = match &result {
                Ok(reply) => reply.proves_not_run(),
                Err(error) => error.is_not_sent(),
            };
            run.end(is_return && is_not_run);
            if let Err(error) = &result {
                check_crash(cx, decode, error, &has_crashed).await;
            }
            (result, placement, kv_cache)
        };
        let has_not_begun = |(result, ..): &(Result<Reply, CallError>, _, _)| {
            !result.as_ref().is_ok_and(|reply| reply.is_sealed_success() || reply.is_client_error())
        };
        match self.race(cx, &watched, resume_after, first, has_not_begun).await {
            Raced::First((result, placement, kv_cache)) => {
                self.record(&result, kv_cache, is_return);
                Raced::First((result, placement))
            }
            Raced::Successor(opened) => Raced::Successor(opened),
            Raced::Lost(refusal) => Raced::Lost(refusal),
        }
    }

    /// Records the result of a decode request, to which a KV cache may have been offered.
    fn record(
        &mut self,
        result: &Result<Reply, CallError>,
        kv_cache: Option<HeldKvCache>,
        is_return: bool,
    ) {
        let is_unused = match result {
            Err(CallError::NotSent(_)) => {
                match is_return {
                    true => self.tally.take_back_return(),
                    false => self.tally.take_back(),
                }
                true
            }
            Ok(reply) if reply.proves_not_run() => {
                match is_return {
                    true => self.tally.refuse_return(),
                    false => self.tally.refuse(),
                }
                self.rejections += 1;
                self.rejections < 2
            }
            Ok(reply) if reply.is_sealed_success() => {
                self.course.send_modify(|course| course.has_begun = true);
                kv_cache.into_iter().for_each(HeldKvCache::mark_fetched);
                return;
            }
            Ok(_) | Err(_) => {
                kv_cache.into_iter().for_each(HeldKvCache::mark_fetched);
                self.report_course(Course::default());
                return;
            }
        };
        self.report_course(Course::default());
        // The KV cache is still available to another engine.
        if is_unused && self.kv_cache.is_none() {
            self.kv_cache = kv_cache;
        }
    }

    /// Returns whether a prefill engine may be used; if not, the decode engine can prefill the
    /// prompt itself.
    ///
    /// The first prefill counts as a retry only if it fails, and is charged then. Later ones are
    /// always charged.
    async fn may_prefill(&self, gateway: &Rc<Gateway>, req: &Incoming) -> bool {
        match self.prefill_attempts {
            0 => !gateway.is_budget_overdrawn(&req.service),
            _ => gateway.obtain_retry(&req.service).await,
        }
    }

    /// Runs the prefill. Returns `None` if the decode engine has to prefill the prompt itself.
    async fn run_prefill(
        &mut self,
        cx: Context<'_>,
        prefill: ServerKey,
        timeout: Duration,
    ) -> Option<HeldKvCache> {
        let Context { gateway, req } = cx;
        let spec = CallSpec { is_prefill: true, ..CallSpec::default() };
        let started = gateway.clock.now();
        // Counted before the call, which is dropped if the engine beside which it was started goes on.
        self.prefill_attempts += 1;
        let called = call(gateway, req, prefill, &spec, timeout, None).await;
        match &called {
            Err(error) if error.is_not_sent() => self.prefill_attempts -= 1,
            Ok(reply) if !reply.proves_not_run() => {}
            _ if self.prefill_attempts == 1 => gateway.charge_retry(&req.service),
            _ => {}
        }
        if let Err(error) = &called {
            check_crash(cx, prefill, error, &self.has_crashed).await;
        }
        let mut reply = called.ok()?;
        if reply.proves_not_run() {
            reply.finish_refusal().await;
            return None;
        }
        let left = timeout.saturating_sub(gateway.clock.now() - started);
        let read = reply.body.read_whole(MAX_BUFFERED_BODY_BYTES);
        let read = tokio::time::timeout(left, read).await;
        let body = match read.unwrap_or(Err(CallError::TimedOut)) {
            Ok(body) => body,
            Err(error) => {
                let server = gateway.server_name(prefill);
                log::warn!(request = &*req.facts.id, server = &*server, reason:% = error; "prefill_incomplete");
                let _ = gateway.record_call_failure(prefill, &error);
                check_crash(cx, prefill, &error, &self.has_crashed).await;
                return None;
            }
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

/// Returns whether an error is one of the connection or of what came on it, after which its engine may run the
/// completion again.
fn is_of_connection(error: &CallError) -> bool {
    matches!(error, CallError::Broken(_) | CallError::Malformed(_))
}

/// Returns the error of an attempt whose prompt another prefill engine may prefill.
fn not_prefilled() -> CallError {
    CallError::NotSent("the prompt was not prefilled".into())
}

/// Returns the refusal after the failure of the last attempt that is allowed.
fn final_refusal(error: &CallError) -> Refusal {
    if *error == CallError::TimedOut { Refusal::Deadline } else { Refusal::MayHaveRun }
}

/// Reports a crash if the engine broke off before the completion had started on it, and accepts no connections
/// since.
async fn check_crash(
    cx: Context<'_>,
    engine: ServerKey,
    error: &CallError,
    has_crashed: &Cell<bool>,
) {
    let Context { gateway, req } = cx;
    if matches!(error, CallError::Broken(_)) && !can_connect(gateway, engine).await {
        has_crashed.set(true);
        gateway.report_crash(engine, &req.service, &req.parts);
    }
}

/// Records and logs that the stream of an engine has failed.
fn report_broken(cx: Context<'_>, engine: &EngineStream, tally: Tally, error: &CallError) {
    let Context { gateway, req } = cx;
    let server = engine.reply.guard.server;
    match error {
        CallError::TimedOut => {
            let silent = gateway.clock.now() - engine.heard_at.get();
            record_silence(gateway, server, silent);
        }
        _ => drop(gateway.record_call_failure(server, error)),
    }
    let (request, name) = (&*req.facts.id, gateway.server_name(server));
    let framing = engine.reply.body.framing_name();
    let (last_event, has_event) = (engine.events.last_id(), engine.has_event);
    let is_allowed = tally.allows_attempt(&req.route);
    let (parts, runs) = (display_parts(&req.parts), tally.runs);
    log::warn!(request, server = &*name, framing, reason:% = error, last_event:?, has_event, parts, runs, is_allowed; "stream_broke");
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
