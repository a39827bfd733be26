//! The stages of one run: admission, prefill, KV transfer, decode and resumption.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use log::warn;
use magnoliaspar_core::{AttemptId, BlockHash, Incarnation, Outcome, RefusalCode, hash_blocks};
use magnoliaspar_declaration::WaitRule;
use magnoliaspar_engine::{
    DecodeCall, EndReason, EngineError, KvSource, PrefillCall, Prefilled, StreamFrame, StreamId,
    TokenStream,
};
use magnoliaspar_event::EventKind;
use magnoliaspar_policy::{FailedStage, Job, Urgency, Weights};
use magnoliaspar_retry::{Admission, Fingerprint};

use super::completion::{Completed, CompletionRequest, Placement};
use super::dispatcher::{Dispatcher, EngineHandle, EnginePair, JobGuard, Step};
use super::driver::{Driver, RunSettings};
use super::memory::HeldMemory;
use super::plan::PlanContext;
use super::refusal::{refusal, refused};
use super::running::{Run, RunResult};
use crate::quarantine::EngineHealth;
use crate::reaping::OwnedStream;

/// Estimated bytes of prompt text per token.
const ESTIMATED_BYTES_PER_TOKEN: usize = 4;

/// Maximum retries of a prefill call while its engine still answers status calls.
const MAX_PREFILL_RETRIES: u32 = 12;

/// Maximum consecutive reattachments to a stream without a new token, after its connection broke or
/// stalled.
const MAX_REATTACHES: u32 = 3;

/// The execution of one run.
pub struct RunTask<'a> {
    driver: &'a Driver,
    run: &'a Rc<Run>,
    req: &'a CompletionRequest,
    settings: &'a RunSettings,
    blocks: Box<[BlockHash]>,
    fingerprint: Fingerprint,
    is_isolated: bool,
    held: HeldMemory,
    prefilled: Option<HeldPrefill>,
}

/// A finished prefill whose KV cache the prefill engine holds.
#[derive(Clone)]
struct HeldPrefill {
    result: Prefilled,
    /// The index in the whole answer of the first token that decode will produce.
    first_index: u32,
    held_until: Instant,
}

/// The result of transfer and decode.
enum TransferOutcome {
    Complete { tokens: u32, reason: EndReason },
    Failed(FailedStage),
}

impl<'a> RunTask<'a> {
    /// Creates a task that holds no engine memory yet.
    pub fn new(
        driver: &'a Driver,
        run: &'a Rc<Run>,
        req: &'a CompletionRequest,
        settings: &'a RunSettings,
    ) -> Self {
        let blocks = hash_blocks(req.prompt.as_bytes());
        Self {
            driver,
            run,
            req,
            settings,
            blocks,
            fingerprint: Fingerprint::of(&req.route, req.prompt.as_bytes()),
            is_isolated: false,
            held: HeldMemory::default(),
            prefilled: None,
        }
    }

    /// Executes the run until it has a result.
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

    /// Runs one job to its end. Returns `None` if the quarantine's admission of the request has
    /// changed, so that it must be admitted again.
    async fn run_job(
        &mut self,
        dispatcher: &Rc<Dispatcher>,
        admission: Admission,
    ) -> Option<RunResult> {
        self.is_isolated = admission == Admission::Isolated;
        let mut job = dispatcher.submit(self.build_job());
        self.run.set_job(job.handle());
        while let Some(step) = job.next().await {
            let failure = match step {
                Step::Refuse { reason, retry_after } => {
                    return Some(RunResult::Refused(refused(self.run, reason, retry_after)));
                }
                Step::Prefill(engine) => self.prefill(&job, &engine).await.err(),
                Step::Transfer(pair) => match self.transfer(&job, &pair).await {
                    TransferOutcome::Complete { tokens, reason } => {
                        job.finished();
                        return Some(self.complete(tokens, reason));
                    }
                    TransferOutcome::Failed(failure) => Some(failure),
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

    fn build_job(&self) -> Job {
        let tokens = self.req.prompt.len().div_ceil(ESTIMATED_BYTES_PER_TOKEN) as u32
            + self.run.token_count();
        let expected = self.settings.route.expected_output_tokens.min(self.req.max_tokens);
        Job {
            workspace: self.req.id.workspace.clone(),
            share: self.settings.share,
            blocks: self.blocks.clone(),
            prompt_tokens: tokens,
            max_output_tokens: self.req.max_tokens,
            expected_output_tokens: expected,
            accepted_at: self.req.accepted_at,
            ttft_target: self.settings.route.ttft_target,
            deadline: Some(self.req.deadline),
            urgency: match self.settings.route.wait {
                WaitRule::RefuseLate => Urgency::Interactive,
                WaitRule::MayWait => Urgency::Deferrable,
            },
            weights: self.weights(),
            is_suspect: self.is_isolated,
        }
    }

    /// Attaches to the stream of an earlier attempt whose home instance was lost. Returns `None` if
    /// the stream cannot be resumed.
    async fn resume(&mut self) -> Option<RunResult> {
        let placement = self.req.placement.clone()?;
        self.run.set_may_have_run(true);
        let stream = self.stream_id(placement.attempt);
        let server = self.driver.directory.find_by_address(placement.decode)?;
        let age = self.driver.clock.now().saturating_duration_since(self.req.accepted_at);
        let owned = self.driver.ownership.adopt(&server.name, &stream, age).ok()?;
        let connected = self.driver.connector.connect(placement.decode);
        let address = placement.decode;
        let engine = EngineHandle::new(server.name, address, connected, server.incarnation);
        let owned = Rc::new(owned);
        self.held.track(&engine, &stream, owned.clone());
        let from = self.run.token_count();
        let frames = engine.client.attach(&stream, from).await.ok()?;
        self.record_on(&engine, EventKind::Resumed { attempt: stream.attempt, offset: from });
        self.run.set_placement(placement);
        let (tokens, reason) = self.relay(frames, &owned, None).await.ok()?;
        self.held.untrack(&engine, &stream);
        Some(self.complete(tokens, reason))
    }

    async fn prefill(&mut self, job: &JobGuard, engine: &EngineHandle) -> Result<(), FailedStage> {
        self.held.free_all();
        // A crash is counted once per incarnation, so a suspected request runs only on an engine
        // whose incarnation is known.
        let known = engine.incarnation.get();
        if self.is_isolated && !self.check_health(job, engine, known).await.is_running() {
            return Err(FailedStage::Prefill);
        }
        let stream = self.stream_id(self.driver.attempts.next(&*self.driver.clock));
        if self.register_stream(engine, &stream).is_none() {
            return Err(FailedStage::Prefill);
        }
        let started_on = engine.incarnation.get();
        let in_flight =
            self.driver.quarantine.start(&engine.name, self.fingerprint, self.is_isolated);
        self.record_plan(job, engine, stream.attempt);
        self.record_on(engine, EventKind::PrefillStarted { attempt: stream.attempt });
        let emitted = self.run.tokens();
        let first_index = emitted.len() as u32;
        let call = PrefillCall {
            stream: stream.clone(),
            owner: self.driver.ownership.owner(),
            model: self.settings.route.model.clone(),
            version: self.settings.route.version.clone(),
            adapters: self.settings.route.adapters.to_vec(),
            prompt: self.req.prompt.clone(),
            emitted,
            blocks: self.blocks.to_vec(),
            priority: self.priority(),
        };
        let may_have_run = self.run.may_have_run();
        self.run.set_may_have_run(true);
        let result = self.prefill_with_retries(job, engine, started_on, &call).await;
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
                self.check_health(job, engine, started_on).await;
                drop(in_flight);
                Err(FailedStage::Prefill)
            }
        }
    }

    /// Calls an engine for a prefill, and retries on a new connection if the connection stalls or
    /// breaks.
    ///
    /// The engine identifies the stream, so a retry does not repeat the computation.
    async fn prefill_with_retries(
        &self,
        job: &JobGuard,
        engine: &EngineHandle,
        started_on: Incarnation,
        call: &PrefillCall,
    ) -> Result<Prefilled, EngineError> {
        let mut uncertain = match engine.client.prefill(call).await {
            Err(error) if !error.is_not_run() => error,
            result => return result,
        };
        for _ in 0..MAX_PREFILL_RETRIES {
            if self.check_health(job, engine, started_on).await != EngineHealth::Unchanged {
                return Err(uncertain);
            }
            match self.driver.connector.connect(engine.address).prefill(call).await {
                // An engine that answers on a new connection is still busy with the prefill.
                Err(error @ EngineError::Stalled(_)) => uncertain = error,
                // The first call may have had an effect even if the retry certainly had none.
                Err(error) if error.is_not_run() => return Err(uncertain),
                result => return result,
            }
        }
        Err(uncertain)
    }

    /// Checks the health of an engine and cordons it if it has crashed.
    async fn check_health(
        &self,
        job: &JobGuard,
        engine: &EngineHandle,
        before: Incarnation,
    ) -> EngineHealth {
        let health = self.driver.quarantine.check_health(engine, before).await;
        if health == EngineHealth::Crashed {
            job.report_engine_crash(&engine.name);
        }
        health
    }

    async fn transfer(&mut self, job: &JobGuard, pair: &EnginePair) -> TransferOutcome {
        let Some(prefilled) = self.prefilled.clone() else {
            return TransferOutcome::Failed(FailedStage::Transfer);
        };
        let stream = prefilled.result.stream.clone();
        let Some(owned) = self.register_stream(&pair.decode, &stream) else {
            return TransferOutcome::Failed(FailedStage::Admission);
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
        let started_on = pair.decode.incarnation.get();
        let frames = match pair.decode.client.decode(&call).await {
            Ok(frames) => frames,
            Err(error) if error.is_not_run() => {
                self.record_failure(&pair.decode, &stream, &error);
                self.held.untrack(&pair.decode, &stream);
                return TransferOutcome::Failed(FailedStage::Admission);
            }
            Err(error) => return self.fail_transfer(pair, &stream, &error),
        };
        let in_flight =
            self.driver.quarantine.start(&pair.decode.name, self.fingerprint, self.is_isolated);
        let placement = Placement { decode: pair.decode.address, attempt: stream.attempt };
        self.run.set_placement(placement);
        let outcome = self.relay_with_reattach(job, pair, &owned, frames).await;
        match &outcome {
            TransferOutcome::Complete { .. } => in_flight.finish(),
            TransferOutcome::Failed(_) => {
                self.check_health(job, &pair.decode, started_on).await;
            }
        }
        outcome
    }

    /// Relays an answer, and reattaches on a new connection if the connection stalls or breaks.
    async fn relay_with_reattach(
        &mut self,
        job: &JobGuard,
        pair: &EnginePair,
        owned: &OwnedStream,
        mut frames: TokenStream,
    ) -> TransferOutcome {
        let stream = owned.stream();
        let mut reattaches = 0;
        loop {
            let before = self.run.token_count();
            let error = match self.relay(frames, owned, Some(job)).await {
                Ok((tokens, reason)) => {
                    self.held.untrack(&pair.decode, stream);
                    return TransferOutcome::Complete { tokens, reason };
                }
                Err(error) => error,
            };
            if owned.is_lease_lost() {
                return self.fail_transfer(pair, stream, &error);
            }
            if self.run.token_count() > before {
                reattaches = 0;
            }
            reattaches += 1;
            let engine = self.driver.connector.reconnect(pair.decode.address);
            let from = self.run.token_count();
            match engine.attach(stream, from).await {
                Ok(fresh) if reattaches <= MAX_REATTACHES => {
                    let attempt = stream.attempt;
                    self.record_on(&pair.decode, EventKind::Resumed { attempt, offset: from });
                    frames = fresh;
                }
                _ => return self.fail_transfer(pair, stream, &error),
            }
        }
    }

    /// Relays the frames of an answer up to its end mark.
    async fn relay(
        &self,
        mut frames: TokenStream,
        owned: &OwnedStream,
        job: Option<&JobGuard>,
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
    ) -> TransferOutcome {
        self.record_failure(&pair.decode, stream, error);
        self.held.free(&pair.decode, stream);
        let has_tokens = self.run.token_count() > self.first_decoded_index();
        let stage = if has_tokens { FailedStage::Decode } else { FailedStage::Transfer };
        TransferOutcome::Failed(stage)
    }

    /// Returns the time until which the KV cache can still be exported after a stage failed, or
    /// `None` if it cannot.
    fn kv_held_until(&self, stage: FailedStage) -> Option<Instant> {
        let prefilled = self.prefilled.as_ref()?;
        match stage {
            FailedStage::Admission => Some(prefilled.held_until),
            // The decode engine may already have fetched the cache, which frees it at its source.
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

    /// Returns the index of the first token that decode of the current attempt produces.
    fn first_decoded_index(&self) -> u32 {
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

    /// Records the explanation of the placement on this engine.
    fn record_plan(&self, job: &JobGuard, engine: &EngineHandle, attempt: AttemptId) {
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

    /// Records the result of the run.
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
        let weights = self.settings.route.weights;
        Weights { wasted_prefill: weights.wasted_prefill, goodput: weights.goodput }
    }

    fn priority(&self) -> i32 {
        match self.settings.route.wait {
            WaitRule::RefuseLate => 1,
            WaitRule::MayWait => 0,
        }
    }

    /// Registers the ownership of a stream before it is opened on an engine, and tracks its memory.
    fn register_stream(
        &mut self,
        engine: &EngineHandle,
        stream: &StreamId,
    ) -> Option<Rc<OwnedStream>> {
        let owned = match self.driver.ownership.open(&engine.name, stream) {
            Ok(owned) => Rc::new(owned),
            Err(error) => {
                let request = self.run.id.request.as_str();
                warn!(request, server = engine.name.as_str(); "failed to open a stream: {error}");
                return None;
            }
        };
        self.held.track(engine, stream, owned.clone());
        Some(owned)
    }
}

/// Waits for the next frame. Fails if the lease on the stream expires first.
async fn next_frame(
    frames: &mut TokenStream,
    owned: &OwnedStream,
) -> Result<Option<StreamFrame>, EngineError> {
    tokio::select! {
        frame = frames.next() => frame.transpose(),
        () = owned.lease_lost() => Err(EngineError::Lost("the lease on the stream ran out".into())),
    }
}
