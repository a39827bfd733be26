//! Moves requests through prefill, KV transfer and decode on the simulated engines.

use std::time::Instant;

use magnoliaspar_policy::FailedStage;

use super::Driver;
use crate::deployment::ITL_TARGET;
use crate::engine::{DecodeTask, Link, PrefillTask};
use crate::event::{AttemptTag, Event};
use crate::state::Stage;
use crate::stats::{Outcome, WasteCause, record};

/// Number of tokens between two progress messages of a request.
const PROGRESS_TOKENS: u32 = 16;

impl Driver<'_> {
    /// Handles the arrival of a prefill command at a prefill engine.
    pub(super) fn start_prefill(
        &mut self,
        now: Instant,
        server: usize,
        index: usize,
        tag: AttemptTag,
    ) {
        let request = &self.requests[index];
        if request.tag != tag || request.stage != Stage::Prefilling {
            return;
        }
        if !self.servers[server].is_reachable() {
            return;
        }
        let task = PrefillTask {
            request: index,
            tag,
            blocks: request.arrival.blocks.clone(),
            prompt_tokens: request.arrival.prompt_tokens + request.tokens,
        };
        let Some(engine) = self.servers[server].prefill_engine() else { return };
        if !engine.accept(task) {
            self.send_failure(now, server, index, FailedStage::Prefill);
            return;
        }
        self.start_next_prefill(now, server);
    }

    pub(super) fn start_next_prefill(&mut self, now: Instant, server: usize) {
        let Some(engine) = self.servers[server].prefill_engine() else { return };
        let Some((at, epoch)) = engine.start_prefill(now) else { return };
        self.events.push(at, Event::PrefillEnd { server, epoch });
    }

    pub(super) fn end_prefill(&mut self, now: Instant, server: usize, epoch: u32) {
        if self.servers[server].is_dead {
            return;
        }
        let Some(engine) = self.servers[server].prefill_engine() else { return };
        let Some(result) = engine.end_prefill(epoch) else { return };
        self.start_next_prefill(now, server);
        self.publish_cache_events(now, server, result.change);
        self.stats.computed_tokens += u64::from(result.computed_tokens);
        self.stats.cached_tokens += u64::from(result.cached_tokens);
        let (index, tag) = (result.task.request, result.task.tag);
        let request = &mut self.requests[index];
        if request.tag != tag || request.stage != Stage::Prefilling {
            self.stats.add_waste(WasteCause::EngineLost, result.computed_tokens);
            return;
        }
        request.unaccounted_tokens = result.computed_tokens;
        request.prefilled_at = now;
        if !self.servers[server].is_reachable() {
            request.waste_cause = WasteCause::EngineLost;
            return;
        }
        let held_until = now + self.deployment.engine.hold;
        request.held_until = Some(held_until);
        let latency = self.servers[server].latency;
        let cached_tokens = result.cached_tokens;
        let message = Event::Prefilled { request: index, tag, cached_tokens, held_until };
        self.events.push(now + latency, message);
        self.events.push(held_until, Event::HoldExpired { request: index, tag });
    }

    pub(super) fn prefilled(
        &mut self,
        now: Instant,
        index: usize,
        tag: AttemptTag,
        cached_tokens: u32,
        held_until: Instant,
    ) -> bool {
        let request = &mut self.requests[index];
        if request.tag != tag || request.stage != Stage::Prefilling {
            return false;
        }
        let Some(job) = request.job else { return false };
        request.stage = Stage::Prefilled;
        self.policy.prefilled(now, job, cached_tokens, held_until);
        true
    }

    /// Ends the hold of a KV cache. An import that is not complete fails.
    pub(super) fn end_hold(&mut self, now: Instant, index: usize, tag: AttemptTag) {
        let request = &mut self.requests[index];
        if request.tag.prefill != tag.prefill {
            return;
        }
        request.held_until = None;
        if !matches!(request.stage, Stage::Prefilled | Stage::Transferring) {
            return;
        }
        let cause = match request.waste_cause {
            WasteCause::GivenUp => WasteCause::HoldExpired,
            cause => cause,
        };
        request.waste_cause = cause;
        let tokens = std::mem::take(&mut request.unaccounted_tokens);
        self.stats.add_waste(cause, tokens);
        let request = &self.requests[index];
        let Some(server) = request.decode_server.filter(|_| request.stage == Stage::Transferring)
        else {
            return;
        };
        let Some(engine) = self.servers[server].decode_engine() else { return };
        engine.cancel(index);
        self.send_failure(now, server, index, FailedStage::Transfer);
    }

    /// Handles the arrival of a transfer command at a decode engine.
    pub(super) fn start_transfer(&mut self, now: Instant, index: usize, tag: AttemptTag) {
        let request = &self.requests[index];
        if request.tag != tag || request.stage != Stage::Transferring {
            return;
        }
        let (Some(prefill), Some(decode)) = (request.prefill_server, request.decode_server) else {
            return;
        };
        if !self.servers[decode].is_reachable() {
            return;
        }
        if request.active_hold(now).is_none() || self.servers[prefill].is_dead {
            self.send_failure(now, decode, index, FailedStage::Transfer);
            return;
        }
        let workload = &self.deployment.workload;
        let prompt_tokens = request.arrival.prompt_tokens;
        let task = DecodeTask {
            request: index,
            tag,
            pieces: self.deployment.engine.pieces(prompt_tokens, workload.max_output_tokens),
            context_tokens: prompt_tokens + request.tokens,
            remaining_tokens: request.arrival.output_tokens - request.tokens,
            is_imported: false,
            is_in_step: false,
        };
        let Some(engine) = self.servers[decode].decode_engine() else { return };
        if !engine.accept(task) {
            self.requests[index].waste_cause = WasteCause::NoDecodeSlot;
            self.send_failure(now, decode, index, FailedStage::Admission);
            return;
        }
        // A transfer across a partition makes no progress until the hold expires.
        if self.servers[prefill].is_partitioned {
            return;
        }
        let end = self.reserve_links(now, prefill, decode, prompt_tokens);
        self.events.push(end, Event::TransferEnd { server: decode, request: index, tag });
    }

    /// Reserves the links of two engines for a transfer and returns the time when it ends.
    fn reserve_links(
        &mut self,
        now: Instant,
        prefill: usize,
        decode: usize,
        tokens: u32,
    ) -> Instant {
        let is_same_zone = self.servers[prefill].spec.zone == self.servers[decode].spec.zone;
        let latency = self.deployment.zone_latency;
        let Ok([from, to]) = self.servers.get_disjoint_mut([prefill, decode]) else { return now };
        let end = Link::reserve(now, &mut from.link, &mut to.link, tokens);
        if is_same_zone { end } else { end + latency }
    }

    pub(super) fn end_transfer(
        &mut self,
        now: Instant,
        server: usize,
        index: usize,
        tag: AttemptTag,
    ) {
        if self.servers[server].is_dead {
            return;
        }
        let Some(engine) = self.servers[server].decode_engine() else { return };
        if !engine.complete_import(index, tag) {
            return;
        }
        self.start_step(now, server);
        let request = &mut self.requests[index];
        if request.tag != tag || request.stage != Stage::Transferring {
            return;
        }
        request.stage = Stage::Decoding;
        request.imported_at = now;
        if !self.servers[server].is_reachable() {
            return;
        }
        let at = now + self.servers[server].latency;
        self.events.push(at, Event::Transferred { request: index, tag });
    }

    pub(super) fn transferred(&mut self, now: Instant, index: usize, tag: AttemptTag) -> bool {
        let request = &self.requests[index];
        if request.tag != tag || request.stage != Stage::Decoding {
            return false;
        }
        let Some(job) = request.job else { return false };
        self.policy.transferred(now, job);
        true
    }

    fn start_step(&mut self, now: Instant, server: usize) {
        let Some(engine) = self.servers[server].decode_engine() else { return };
        let Some((at, epoch)) = engine.start_step(now) else { return };
        self.events.push(at, Event::StepEnd { server, epoch });
    }

    pub(super) fn end_step(&mut self, now: Instant, server: usize, epoch: u32) {
        if self.servers[server].is_dead {
            return;
        }
        let Some(engine) = self.servers[server].decode_engine() else { return };
        let served = engine.end_step(epoch);
        self.start_step(now, server);
        if !self.servers[server].is_reachable() {
            return;
        }
        for task in served {
            self.record_token(now, server, &task);
        }
    }

    /// Records a token and its latency, and informs the policy of the progress.
    fn record_token(&mut self, now: Instant, server: usize, task: &DecodeTask) {
        let at = now + self.servers[server].latency + self.deployment.caller_latency;
        let request = &mut self.requests[task.request];
        if request.tag != task.tag || request.stage != Stage::Decoding {
            return;
        }
        let Some(job) = request.job else { return };
        request.tokens += 1;
        let gap = at - request.last_token_at;
        request.last_token_at = at;
        match request.ttft {
            None => request.ttft = Some(gap),
            Some(_) => {
                request.late_gaps += u32::from(gap > ITL_TARGET);
                request.total_gap_time += gap;
                if request.arrival.is_counted {
                    record(&mut self.stats.itl, gap);
                }
            }
        }
        let tokens = request.tokens;
        if tokens == 1 || tokens.is_multiple_of(PROGRESS_TOKENS) {
            self.policy.progressed(now, job, tokens);
        }
        if task.remaining_tokens == 0 {
            let at = now + self.servers[server].latency;
            self.events.push(at, Event::Finished { request: task.request, tag: task.tag });
        }
    }

    pub(super) fn finished(&mut self, now: Instant, index: usize, tag: AttemptTag) -> bool {
        let request = &mut self.requests[index];
        if request.tag != tag || request.stage != Stage::Decoding {
            return false;
        }
        let Some(job) = request.job else { return false };
        request.unaccounted_tokens = 0;
        self.policy.finished(now, job);
        self.end_request(index, Outcome::Answered);
        true
    }

    /// Sends the notice of a failed stage to the policy, which arrives after the network latency.
    fn send_failure(&mut self, now: Instant, server: usize, index: usize, stage: FailedStage) {
        let request = &self.requests[index];
        let held_until = request.active_hold(now);
        let message = Event::Failed { request: index, tag: request.tag, stage, held_until };
        self.events.push(now + self.servers[server].latency, message);
    }

    pub(super) fn failed(
        &mut self,
        now: Instant,
        index: usize,
        tag: AttemptTag,
        stage: FailedStage,
        held_until: Option<Instant>,
    ) -> bool {
        let request = &self.requests[index];
        if request.tag != tag || request.stage == Stage::Ended {
            return false;
        }
        self.report_failure(now, index, stage, held_until);
        true
    }

    /// Reports a failed stage to the policy, which must return a new action for the request.
    pub(super) fn report_failure(
        &mut self,
        now: Instant,
        index: usize,
        stage: FailedStage,
        held_until: Option<Instant>,
    ) {
        let request = &mut self.requests[index];
        let Some(job) = request.job else { return };
        request.failures += 1;
        // Invalidates messages in flight, which belong to the failed attempt.
        request.tag.transfer += 1;
        request.decode_server = None;
        let held_until = held_until.filter(|until| now < *until);
        request.stage = match held_until {
            Some(_) => Stage::Prefilled,
            None => Stage::Waiting,
        };
        let tokens = request.tokens;
        if tokens > 0 {
            self.policy.progressed(now, job, tokens);
        }
        self.policy.failed(now, job, stage, held_until);
    }
}
