use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use log::warn;
use magnoliaspar_core::{AttemptId, BlockHash, Outcome, RefusalCode, hash_blocks};
use magnoliaspar_declaration::WaitRule;
use magnoliaspar_engine::{
    DecodeCall, EndReason, EngineError, KvSource, PrefillCall, Prefilled, StreamFrame, StreamId,
    TokenStream,
};
use magnoliaspar_event::EventKind;
use magnoliaspar_policy::{FailedStage, Job, Urgency, Weights};
use magnoliaspar_retry::{Admission, Fingerprint};

use super::completion::{Completed, CompletionRequest, Placement};
use super::dispatcher::{Dispatcher, EngineHandle, EnginePair, PlacedJob, Step};
use super::driver::{Driver, RunPlan};
use super::held::HeldMemory;
use super::plan::PlanContext;
use super::refusal::{refusal, refused};
use super::running::{Run, RunResult};
use crate::quarantine::EngineHealth;
use crate::reaping::OwnedStream;

/// How many bytes of prompt text count as one token in estimates.
const TOKEN_BYTES: usize = 4;

/// How often a prefill is asked for again while its engine answers otherwise.
const MAX_PREFILL_WAITS: u32 = 12;

/// How often a stream is attached to again after its connection broke or went silent.
const MAX_ATTACHES: u32 = 3;

/// One run on its way through the stages.
pub struct RunTask<'a> {
    driver: &'a Driver,
    run: &'a Rc<Run>,
    req: &'a CompletionRequest,
    plan: &'a RunPlan,
    blocks: Box<[BlockHash]>,
    fingerprint: Fingerprint,
    is_apart: bool,
    held: HeldMemory,
    prefilled: Option<HeldPrefill>,
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

impl<'a> RunTask<'a> {
    /// Creates a run that holds nothing yet.
    pub fn new(
        driver: &'a Driver,
        run: &'a Rc<Run>,
        req: &'a CompletionRequest,
        plan: &'a RunPlan,
    ) -> Self {
        let blocks = hash_blocks(req.prompt.as_bytes());
        Self {
            driver,
            run,
            req,
            plan,
            blocks,
            fingerprint: Fingerprint::of(&req.route, req.prompt.as_bytes()),
            is_apart: false,
            held: HeldMemory::default(),
            prefilled: None,
        }
    }

    /// Takes the run through its stages until it has ended.
    pub async fn run_to_end(&mut self, dispatcher: &Rc<Dispatcher>) -> RunResult {
        if let Some(result) = self.resume().await {
            return result;
        }
        loop {
            let admission = self.driver.quarantine.admit(self.fingerprint);
            if admission == Admission::Refused {
                let message = "the request has crashed two engines";
                let code = RefusalCode::Quarantined;
                return RunResult::Refused(refusal(self.run, code, message));
            }
            if let Some(result) = self.run_job(dispatcher, admission).await {
                return result;
            }
        }
    }

    /// Runs a job to its end; gives nothing if the request must be admitted again.
    async fn run_job(
        &mut self,
        dispatcher: &Rc<Dispatcher>,
        admission: Admission,
    ) -> Option<RunResult> {
        self.is_apart = admission == Admission::Apart;
        let mut job = dispatcher.submit(self.describe_job());
        self.run.set_job(job.handle());
        while let Some(step) = job.next().await {
            let failure = match step {
                Step::Refuse { reason, retry_after } => {
                    return Some(RunResult::Refused(refused(self.run, reason, retry_after)));
                }
                Step::Prefill(engine) => self.prefill(&job, &engine).await.err(),
                Step::Transfer(pair) => match self.transfer(&job, &pair).await {
                    Progress::Complete { tokens, reason } => {
                        job.finished();
                        return Some(self.complete(tokens, reason));
                    }
                    Progress::Failed(failure) => Some(failure),
                },
            };
            let Some(stage) = failure else { continue };
            job.failed(stage, self.kv_held_until(stage));
            if self.driver.quarantine.admit(self.fingerprint) != admission {
                return None;
            }
        }
        let message = "the instance stopped deciding";
        Some(RunResult::Refused(refusal(self.run, RefusalCode::Internal, message)))
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
            is_suspect: self.is_apart,
        }
    }

    /// Attaches to the stream of an earlier attempt whose home instance is gone.
    async fn resume(&mut self) -> Option<RunResult> {
        let placement = self.req.placement.clone()?;
        self.run.set_may_have_run(true);
        let stream = self.stream_id(placement.attempt);
        let server = self.driver.directory.find_address(placement.decode)?;
        let age = self.driver.clock.now().saturating_duration_since(self.req.accepted_at);
        let owned = self.driver.ownership.adopt(&server.name, &stream, age).ok()?;
        let connected = self.driver.connector.connect(placement.decode);
        let address = placement.decode;
        let engine = EngineHandle::new(server.name, address, connected, server.incarnation);
        let owned = Rc::new(owned);
        self.held.add(&engine, &stream, owned.clone());
        let from = self.run.token_count();
        let frames = engine.engine.attach(&stream, from).await.ok()?;
        self.record_on(&engine, EventKind::Resumed { attempt: stream.attempt, offset: from });
        self.run.set_placement(placement);
        let (tokens, reason) = self.relay(frames, &owned, None).await.ok()?;
        self.held.forget(&engine, &stream);
        Some(self.complete(tokens, reason))
    }

    async fn prefill(&mut self, job: &PlacedJob, engine: &EngineHandle) -> Result<(), FailedStage> {
        self.held.free_all();
        // A crash is counted once for each life, so a suspect runs only where the life is known.
        if self.is_apart && !self.check(job, engine).await.is_running() {
            return Err(FailedStage::Prefill);
        }
        let stream = self.stream_id(self.driver.attempts.next(&*self.driver.clock));
        if self.hold(engine, &stream).is_none() {
            return Err(FailedStage::Prefill);
        }
        let in_flight = self.driver.quarantine.start(&engine.name, self.fingerprint, self.is_apart);
        self.record_plan(job, engine, stream.attempt);
        self.record_on(engine, EventKind::PrefillStarted { attempt: stream.attempt });
        let emitted = self.run.tokens();
        let first_index = emitted.len() as u32;
        let call = PrefillCall {
            stream: stream.clone(),
            owner: self.driver.ownership.owner(),
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
        let result = self.prefill_settled(job, engine, &call).await;
        let was_refused = result.as_ref().is_err_and(EngineError::is_not_run);
        self.run.set_may_have_run(may_have_run || !was_refused);
        let now = self.driver.clock.now();
        match result {
            Ok(result) => {
                let held_until = now + Duration::from_millis(result.hold_ms.into());
                job.prefilled(result.cached_tokens, held_until);
                let (attempt, cached_tokens) = (stream.attempt, result.cached_tokens);
                self.record_on(engine, EventKind::Prefilled { attempt, cached_tokens });
                self.prefilled = Some(HeldPrefill { result, first_index, held_until });
                Ok(())
            }
            Err(error) => {
                self.record_failure(engine, &stream, &error);
                self.held.free(engine, &stream);
                self.check(job, engine).await;
                drop(in_flight);
                Err(FailedStage::Prefill)
            }
        }
    }

    /// Asks for a prefill; if the connection goes silent or breaks, asks again on a fresh one.
    ///
    /// The engine knows the stream, so that the second call reads nothing twice.
    async fn prefill_settled(
        &self,
        job: &PlacedJob,
        engine: &EngineHandle,
        call: &PrefillCall,
    ) -> Result<Prefilled, EngineError> {
        let mut first = match engine.engine.prefill(call).await {
            Err(error) if !error.is_not_run() => error,
            result => return result,
        };
        for _ in 0..MAX_PREFILL_WAITS {
            if self.check(job, engine).await != EngineHealth::Same {
                return Err(first);
            }
            match self.driver.connector.connect(engine.address).prefill(call).await {
                // An engine that answers on a fresh connection is still busy reading.
                Err(error @ EngineError::Stalled(_)) => first = error,
                // That the second call took no effect tells nothing about the first.
                Err(error) if error.is_not_run() => return Err(first),
                result => return result,
            }
        }
        Err(first)
    }

    /// Finds out whether an engine runs; one that has crashed gets no new work.
    async fn check(&self, job: &PlacedJob, engine: &EngineHandle) -> EngineHealth {
        let health = self.driver.quarantine.check(engine).await;
        if health == EngineHealth::Gone {
            job.engine_gone(&engine.name);
        }
        health
    }

    async fn transfer(&mut self, job: &PlacedJob, pair: &EnginePair) -> Progress {
        let Some(prefilled) = self.prefilled.clone() else {
            return Progress::Failed(FailedStage::Transfer);
        };
        let stream = prefilled.result.stream.clone();
        let Some(owned) = self.hold(&pair.decode, &stream) else {
            return Progress::Failed(FailedStage::Admission);
        };
        let started =
            EventKind::TransferStarted { attempt: stream.attempt, to: pair.decode.name.clone() };
        self.record_on(&pair.prefill, started);
        let call = DecodeCall {
            stream: stream.clone(),
            owner: self.driver.ownership.owner(),
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
                self.held.forget(&pair.decode, &stream);
                return Progress::Failed(FailedStage::Admission);
            }
            Err(error) => return self.fail_transfer(pair, &stream, &error),
        };
        let in_flight =
            self.driver.quarantine.start(&pair.decode.name, self.fingerprint, self.is_apart);
        let placement = Placement { decode: pair.decode.address, attempt: stream.attempt };
        self.run.set_placement(placement);
        let progress = self.relay_settled(job, pair, &owned, frames).await;
        match &progress {
            Progress::Complete { .. } => in_flight.finish(),
            Progress::Failed(_) => {
                self.check(job, &pair.decode).await;
            }
        }
        progress
    }

    /// Relays an answer; a connection that breaks or goes silent is replaced by a fresh one.
    async fn relay_settled(
        &mut self,
        job: &PlacedJob,
        pair: &EnginePair,
        owned: &OwnedStream,
        mut frames: TokenStream,
    ) -> Progress {
        let stream = owned.stream();
        let mut attaches = 0;
        loop {
            let before = self.run.token_count();
            let error = match self.relay(frames, owned, Some(job)).await {
                Ok((tokens, reason)) => {
                    self.held.forget(&pair.decode, stream);
                    return Progress::Complete { tokens, reason };
                }
                Err(error) => error,
            };
            if owned.is_lost() {
                return self.fail_transfer(pair, stream, &error);
            }
            if self.run.token_count() > before {
                attaches = 0;
            }
            attaches += 1;
            let engine = self.driver.connector.reconnect(pair.decode.address);
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
        owned: &OwnedStream,
        job: Option<&PlacedJob>,
    ) -> Result<(u32, EndReason), EngineError> {
        let stream = owned.stream();
        while let Some(frame) = next_frame(&mut frames, owned).await? {
            match frame {
                StreamFrame::Imported { stream: named } if named != *stream => {
                    return Err(EngineError::Mismatched("the answer names another stream".into()));
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
                        EngineError::Mismatched(format!("token {} is missing", gap.expected).into())
                    })?;
                    if let Some(job) = job {
                        job.progressed(self.run.token_count());
                    }
                }
                StreamFrame::End { tokens, reason } => {
                    if tokens != self.run.token_count() {
                        return Err(EngineError::Mismatched(
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
        self.held.free(&pair.decode, stream);
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
        self.run.observe(None, &kind);
        self.driver.journal.record(&self.run.id.request, kind);
    }

    fn record_on(&self, engine: &EngineHandle, kind: EventKind) {
        self.run.observe(Some(&engine.name), &kind);
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

    /// Records how the run has ended.
    pub fn record_end(&self) {
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

    /// Registers a stream that is about to be opened on an engine.
    fn hold(&mut self, engine: &EngineHandle, stream: &StreamId) -> Option<Rc<OwnedStream>> {
        let owned = match self.driver.ownership.open(&engine.name, stream) {
            Ok(owned) => Rc::new(owned),
            Err(error) => {
                let request = self.run.id.request.as_str();
                warn!(request, server = engine.name.as_str(); "no stream is opened: {error}");
                return None;
            }
        };
        self.held.add(engine, stream, owned.clone());
        Some(owned)
    }
}

/// Waits for the next frame, unless the lease on the stream runs out before.
async fn next_frame(
    frames: &mut TokenStream,
    owned: &OwnedStream,
) -> Result<Option<StreamFrame>, EngineError> {
    tokio::select! {
        frame = frames.next() => frame.transpose(),
        () = owned.lost() => Err(EngineError::Lost("the lease on the stream ran out".into())),
    }
}
