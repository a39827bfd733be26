use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use log::warn;
use magnoliaspar_core::{AttemptId, BlockHash, Clock, Outcome, Refusal, RefusalCode, hash_blocks};
use magnoliaspar_declaration::{CompletionRoute, WaitRule};
use magnoliaspar_engine::{
    DecodeCall, EndReason, EngineConnector, EngineError, KvSource, PrefillCall, Prefilled,
    StreamFrame, StreamId, TokenStream,
};
use magnoliaspar_event::EventKind;
use magnoliaspar_policy::{FailedStage, Job, RefuseReason, Urgency, Weights};

use super::attempt::AttemptIds;
use super::completion::{Completed, CompletionRequest, Placement};
use super::dispatcher::{Dispatcher, EngineHandle, EnginePair, PlacedJob, Step};
use super::plan::PlanContext;
use super::running::{Run, RunResult};
use crate::journal::Journal;

/// How many bytes of prompt text count as one token in estimates.
const TOKEN_BYTES: usize = 4;

/// How often a stream is attached to again after its connection broke or went silent.
const MAX_ATTACHES: u32 = 3;

/// How often memory is freed on an engine that does not answer, before the reaper takes over.
const MAX_CANCELS: u32 = 3;

/// How long to wait between two tries to free memory.
const CANCEL_PAUSE: Duration = Duration::from_millis(200);

/// Drives runs through prefill, transfer and decode.
pub struct Driver {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// Makes connections that were not used before.
    pub connector: Rc<dyn EngineConnector>,
    /// Numbers attempts.
    pub attempts: Rc<AttemptIds>,
    /// The name under which engines list the streams of this instance.
    pub owner: Box<str>,
    /// Records events.
    pub journal: Rc<Journal>,
}

impl Driver {
    /// Drives one run until it has ended or is cancelled.
    ///
    /// All engine memory of the run is free or being freed when this returns.
    pub async fn drive(
        &self,
        dispatcher: &Rc<Dispatcher>,
        run: &Rc<Run>,
        req: &CompletionRequest,
        plan: &RunPlan,
    ) {
        let mut task = RunTask {
            driver: self,
            run,
            req,
            plan,
            blocks: hash_blocks(req.prompt.as_bytes()),
            held: Vec::new(),
            prefilled: None,
        };
        let deadline = tokio::time::Instant::from_std(req.deadline);
        tokio::select! {
            result = task.run_to_end(dispatcher) => run.finish(result),
            () = run.cancelled() => run.finish(RunResult::Refused(cancelled(run))),
            () = tokio::time::sleep_until(deadline) => {
                run.finish(RunResult::Refused(timed_out(run)));
            }
        }
        task.free_all();
        task.record_end();
    }
}

/// How a run is to be driven.
#[derive(Debug, Clone)]
pub struct RunPlan {
    /// The route.
    pub route: CompletionRoute,
    /// The share of the caller's workspace.
    pub share: u32,
    /// Whether the request is suspected of crashing engines.
    pub is_suspect: bool,
}

/// One run on its way through the stages.
struct RunTask<'a> {
    driver: &'a Driver,
    run: &'a Rc<Run>,
    req: &'a CompletionRequest,
    plan: &'a RunPlan,
    blocks: Box<[BlockHash]>,
    held: Vec<HeldMemory>,
    prefilled: Option<HeldPrefill>,
}

/// Memory that the run may hold on an engine.
#[derive(Clone)]
struct HeldMemory {
    engine: EngineHandle,
    stream: StreamId,
}

/// A finished prefill whose KV cache is held.
#[derive(Clone)]
struct HeldPrefill {
    result: Prefilled,
    first_index: u32,
    held_until: Instant,
}

/// How a stage of a run ended, if it did not fail.
enum Progress {
    Complete { tokens: u32, reason: EndReason },
    Failed(FailedStage),
}

impl RunTask<'_> {
    async fn run_to_end(&mut self, dispatcher: &Rc<Dispatcher>) -> RunResult {
        if let Some(result) = self.resume().await {
            return result;
        }
        let mut job = dispatcher.submit(self.describe_job());
        while let Some(step) = job.next().await {
            match step {
                Step::Refuse { reason, retry_after } => {
                    return RunResult::Refused(refused(self.run, reason, retry_after));
                }
                Step::Prefill(engine) => self.prefill(&job, engine).await,
                Step::Transfer(pair) => match self.transfer(&job, pair).await {
                    Progress::Complete { tokens, reason } => {
                        job.finished();
                        return self.complete(tokens, reason);
                    }
                    Progress::Failed(stage) => job.failed(stage, self.kv_held_until(stage)),
                },
            }
        }
        let message = "the instance stopped deciding";
        RunResult::Refused(Refusal::may_have_run(RefusalCode::Internal, message))
    }

    fn describe_job(&self) -> Job {
        let tokens = self.req.prompt.len().div_ceil(TOKEN_BYTES) as u32 + self.run.token_count();
        let expected = self.plan.route.expected_output_tokens.min(self.req.max_tokens);
        Job {
            workspace: self.req.id.workspace.clone(),
            share: self.plan.share,
            blocks: self.blocks.clone(),
            prompt_tokens: tokens,
            max_output_tokens: self.req.max_tokens,
            expected_output_tokens: expected,
            accepted_at: self.req.accepted_at,
            ttft_target: self.plan.route.ttft_target,
            deadline: Some(self.req.deadline),
            urgency: match self.plan.route.wait {
                WaitRule::RefuseLate => Urgency::Interactive,
                WaitRule::MayWait => Urgency::Deferrable,
            },
            weights: self.weights(),
            is_suspect: self.plan.is_suspect,
        }
    }

    /// Attaches to the stream of an earlier attempt whose home instance is gone.
    async fn resume(&mut self) -> Option<RunResult> {
        let placement = self.req.placement.clone()?;
        self.run.set_may_have_run(true);
        let stream = self.stream_id(placement.attempt);
        let engine = self.driver.connector.connect(placement.decode);
        let frames = engine.attach(&stream, self.run.token_count()).await.ok()?;
        self.run.set_placement(placement);
        match self.relay(frames, &stream, None).await {
            Ok((tokens, reason)) => Some(self.complete(tokens, reason)),
            Err(_) => {
                let _ = engine.cancel(&stream).await;
                None
            }
        }
    }

    async fn prefill(&mut self, job: &PlacedJob, engine: EngineHandle) {
        let stream = self.stream_id(self.driver.attempts.next(&*self.driver.clock));
        self.hold(&engine, &stream);
        self.record_plan(job, &engine, stream.attempt);
        self.record_on(&engine, EventKind::PrefillStarted { attempt: stream.attempt });
        let emitted = self.run.tokens();
        let first_index = emitted.len() as u32;
        let call = PrefillCall {
            stream: stream.clone(),
            owner: self.driver.owner.clone(),
            model: self.plan.route.model.clone(),
            version: self.plan.route.version.clone(),
            adapters: self.plan.route.adapters.to_vec(),
            prompt: self.req.prompt.clone(),
            emitted,
            blocks: self.blocks.to_vec(),
            priority: self.priority(),
        };
        let may_have_run = self.run.may_have_run();
        self.run.set_may_have_run(true);
        let result = self.prefill_settled(&engine, &call).await;
        let was_refused = result.as_ref().is_err_and(EngineError::is_not_run);
        self.run.set_may_have_run(may_have_run || !was_refused);
        let now = self.driver.clock.now();
        match result {
            Ok(result) => {
                let held_until = now + Duration::from_millis(result.hold_ms.into());
                job.prefilled(result.cached_tokens, held_until);
                let (attempt, cached_tokens) = (stream.attempt, result.cached_tokens);
                self.record_on(&engine, EventKind::Prefilled { attempt, cached_tokens });
                self.prefilled = Some(HeldPrefill { result, first_index, held_until });
            }
            Err(error) => {
                self.record_failure(&engine, &stream, &error);
                self.free(&engine, &stream);
                job.failed(FailedStage::Prefill, None);
            }
        }
    }

    /// Asks for a prefill; if the connection goes silent or breaks, asks again on a fresh one.
    ///
    /// The engine knows the stream, so that the second call reads nothing twice.
    async fn prefill_settled(
        &self,
        engine: &EngineHandle,
        call: &PrefillCall,
    ) -> Result<Prefilled, EngineError> {
        let lost = match engine.engine.prefill(call).await {
            Err(
                error @ (EngineError::Stalled(_) | EngineError::Lost(_) | EngineError::Crossed(_)),
            ) => error,
            result => return result,
        };
        match self.driver.connector.connect_afresh(engine.address).prefill(call).await {
            // The first call may have run, whatever became of the second.
            Err(error) if error.is_not_run() => Err(lost),
            result => result,
        }
    }

    async fn transfer(&mut self, job: &PlacedJob, pair: EnginePair) -> Progress {
        let Some(prefilled) = self.prefilled.clone() else {
            return Progress::Failed(FailedStage::Transfer);
        };
        let stream = prefilled.result.stream.clone();
        self.hold(&pair.decode, &stream);
        let started =
            EventKind::TransferStarted { attempt: stream.attempt, to: pair.decode.name.clone() };
        self.record_on(&pair.prefill, started);
        let call = DecodeCall {
            stream: stream.clone(),
            owner: self.driver.owner.clone(),
            source: KvSource { address: pair.prefill.address, stream: stream.clone() },
            prompt_tokens: prefilled.result.prompt_tokens,
            first_index: prefilled.first_index,
            max_tokens: self.req.max_tokens,
            priority: self.priority(),
        };
        let frames = match pair.decode.engine.decode(&call).await {
            Ok(frames) => frames,
            Err(error) if error.is_not_run() => {
                self.record_failure(&pair.decode, &stream, &error);
                self.forget(&pair.decode, &stream);
                return Progress::Failed(FailedStage::Admission);
            }
            Err(error) => return self.fail_transfer(&pair, &stream, &error),
        };
        let placement = Placement { decode: pair.decode.address, attempt: stream.attempt };
        self.run.set_placement(placement);
        self.relay_settled(job, &pair, &stream, frames).await
    }

    /// Relays an answer; a connection that breaks or goes silent is replaced by a fresh one.
    async fn relay_settled(
        &mut self,
        job: &PlacedJob,
        pair: &EnginePair,
        stream: &StreamId,
        mut frames: TokenStream,
    ) -> Progress {
        let mut attaches = 0;
        loop {
            let before = self.run.token_count();
            let error = match self.relay(frames, stream, Some(job)).await {
                Ok((tokens, reason)) => {
                    self.forget(&pair.decode, stream);
                    return Progress::Complete { tokens, reason };
                }
                Err(error) => error,
            };
            if self.run.token_count() > before {
                attaches = 0;
            }
            attaches += 1;
            let engine = self.driver.connector.connect_afresh(pair.decode.address);
            let from = self.run.token_count();
            match engine.attach(stream, from).await {
                Ok(fresh) if attaches <= MAX_ATTACHES => {
                    let attempt = stream.attempt;
                    self.record_on(&pair.decode, EventKind::Resumed { attempt, offset: from });
                    frames = fresh;
                }
                _ => return self.fail_transfer(pair, stream, &error),
            }
        }
    }

    /// Relays the frames of an answer until its end mark.
    async fn relay(
        &self,
        mut frames: TokenStream,
        stream: &StreamId,
        job: Option<&PlacedJob>,
    ) -> Result<(u32, EndReason), EngineError> {
        while let Some(frame) = frames.next().await {
            match frame? {
                StreamFrame::Imported { stream: named } if named != *stream => {
                    return Err(EngineError::Crossed("the answer names another stream".into()));
                }
                StreamFrame::Imported { .. } => {
                    if let Some(job) = job {
                        job.transferred();
                    }
                }
                StreamFrame::Token { index, text } => {
                    if self.run.token_count() == 0 {
                        self.record(EventKind::FirstToken { attempt: stream.attempt });
                    }
                    let pushed = self.run.push_token(index, text);
                    pushed.map_err(|gap| {
                        EngineError::Crossed(format!("token {} is missing", gap.expected).into())
                    })?;
                    if let Some(job) = job {
                        job.progressed(self.run.token_count());
                    }
                }
                StreamFrame::End { tokens, reason } => {
                    if tokens != self.run.token_count() {
                        return Err(EngineError::Crossed(
                            "the end mark counts other tokens".into(),
                        ));
                    }
                    return Ok((tokens, reason));
                }
            }
        }
        Err(EngineError::Lost("the answer ended without an end mark".into()))
    }

    fn fail_transfer(
        &mut self,
        pair: &EnginePair,
        stream: &StreamId,
        error: &EngineError,
    ) -> Progress {
        self.record_failure(&pair.decode, stream, error);
        self.free(&pair.decode, stream);
        let has_tokens = self.run.token_count() > self.prefilled_index();
        let stage = if has_tokens { FailedStage::Decode } else { FailedStage::Transfer };
        Progress::Failed(stage)
    }

    /// Returns until when the KV cache can be exported again after a stage failed.
    fn kv_held_until(&self, stage: FailedStage) -> Option<Instant> {
        let prefilled = self.prefilled.as_ref()?;
        match stage {
            FailedStage::Admission => Some(prefilled.held_until),
            // The engine may have fetched the cache already, which frees it at its source.
            FailedStage::Prefill | FailedStage::Transfer | FailedStage::Decode => None,
        }
    }

    fn complete(&self, tokens: u32, reason: EndReason) -> RunResult {
        let result = self.prefilled.as_ref().map(|prefilled| &prefilled.result);
        RunResult::Completed(Completed {
            tokens,
            reason,
            prompt_tokens: result.map_or(0, |result| result.prompt_tokens),
            cached_tokens: result.map_or(0, |result| result.cached_tokens),
        })
    }

    fn prefilled_index(&self) -> u32 {
        self.prefilled.as_ref().map_or(0, |prefilled| prefilled.first_index)
    }

    fn record(&self, kind: EventKind) {
        self.driver.journal.record(&self.run.id.request, kind);
    }

    fn record_on(&self, engine: &EngineHandle, kind: EventKind) {
        self.driver.journal.record_on(&self.run.id.request, &engine.name, kind);
    }

    /// Records why the prefill goes to this engine.
    fn record_plan(&self, job: &PlacedJob, engine: &EngineHandle, attempt: AttemptId) {
        let accepted_at = self.req.accepted_at;
        let cx = PlanContext { attempt, accepted_at, weights: self.weights() };
        let Some(plan) = job.explain(&cx) else { return };
        self.record_on(engine, EventKind::Planned(Box::new(plan)));
    }

    fn record_failure(&self, engine: &EngineHandle, stream: &StreamId, error: &EngineError) {
        let request = self.run.id.request.as_str();
        warn!(request, server = engine.name.as_str(); "an attempt failed: {error}");
        let cause = error.to_string().into();
        self.record_on(engine, EventKind::AttemptFailed { attempt: stream.attempt, cause });
    }

    fn record_end(&self) {
        match self.run.result() {
            Some(RunResult::Completed(completed)) => {
                let tokens = completed.tokens;
                self.record(EventKind::Finished { outcome: Outcome::Answered, tokens });
            }
            Some(RunResult::Refused(refusal)) => self.record(EventKind::Refused {
                code: refusal.code,
                outcome: refusal.outcome,
                message: refusal.message,
            }),
            None => {}
        }
    }

    fn stream_id(&self, attempt: AttemptId) -> StreamId {
        StreamId { request: self.req.id.to_engine_id(), attempt }
    }

    fn weights(&self) -> Weights {
        let weights = self.plan.route.weights;
        Weights { wasted_prefill: weights.wasted_prefill, goodput: weights.goodput }
    }

    fn priority(&self) -> i32 {
        match self.plan.route.wait {
            WaitRule::RefuseLate => 1,
            WaitRule::MayWait => 0,
        }
    }

    fn hold(&mut self, engine: &EngineHandle, stream: &StreamId) {
        self.held.push(HeldMemory { engine: engine.clone(), stream: stream.clone() });
    }

    /// Forgets memory that the engine has freed by itself.
    fn forget(&mut self, engine: &EngineHandle, stream: &StreamId) {
        self.held.retain(|held| held.engine.address != engine.address || held.stream != *stream);
    }

    fn free(&mut self, engine: &EngineHandle, stream: &StreamId) {
        self.forget(engine, stream);
        actix_rt::spawn(free_memory(HeldMemory { engine: engine.clone(), stream: stream.clone() }));
    }

    fn free_all(&mut self) {
        for held in self.held.drain(..) {
            actix_rt::spawn(free_memory(held));
        }
    }
}

impl Drop for RunTask<'_> {
    fn drop(&mut self) {
        self.free_all();
    }
}

async fn free_memory(held: HeldMemory) {
    for _ in 0..MAX_CANCELS {
        if held.engine.engine.cancel(&held.stream).await.is_ok() {
            return;
        }
        tokio::time::sleep(CANCEL_PAUSE).await;
    }
}

fn cancelled(run: &Run) -> Refusal {
    refusal(run, RefusalCode::Cancelled, "the caller cancelled the request")
}

fn timed_out(run: &Run) -> Refusal {
    refusal(run, RefusalCode::Deadline, "the request took longer than it may")
}

fn refused(run: &Run, reason: RefuseReason, retry_after: Option<Duration>) -> Refusal {
    let code = match reason {
        RefuseReason::NoServer => RefusalCode::NoServer,
        RefuseReason::TargetMissed | RefuseReason::QueueFull => RefusalCode::Overloaded,
        RefuseReason::DeadlineMissed => RefusalCode::Deadline,
        RefuseReason::RetriesExhausted => RefusalCode::ServerFailed,
        RefuseReason::TooLarge => RefusalCode::TooLarge,
    };
    let mut refusal = refusal(run, code, &reason.to_string());
    refusal.retry_after = retry_after;
    refusal
}

fn refusal(run: &Run, code: RefusalCode, message: &str) -> Refusal {
    if run.may_have_run() {
        return Refusal::may_have_run(code, message);
    }
    Refusal::not_run(code, message)
}
