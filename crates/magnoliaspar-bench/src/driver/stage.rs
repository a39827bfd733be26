use std::time::Instant;

use magnoliaspar_policy::FailedStage;

use super::Driver;
use crate::deployment::ITL_TARGET;
use crate::engine::{Link, PrefillTask, Run};
use crate::event::{Event, Tag};
use crate::ledger::{End, WasteCause, record};
use crate::state::Stage;

/// How many tokens a request produces between two messages about its progress.
const PROGRESS_TOKENS: u32 = 16;

impl Driver<'_> {
    pub(super) fn start_prefill(&mut self, now: Instant, server: usize, number: usize, tag: Tag) {
        let request = &self.requests[number];
        if request.tag != tag || request.stage != Stage::Prefilling {
            return;
        }
        if !self.servers[server].is_reachable() {
            return;
        }
        let task = PrefillTask {
            request: number,
            tag,
            blocks: request.arrival.blocks.clone(),
            prompt_tokens: request.arrival.prompt_tokens + request.tokens,
        };
        let Some(engine) = self.servers[server].prefill() else { return };
        if !engine.accept(task) {
            self.send_failure(now, server, number, FailedStage::Prefill);
            return;
        }
        self.start_next_prefill(now, server);
    }

    pub(super) fn start_next_prefill(&mut self, now: Instant, server: usize) {
        let Some(engine) = self.servers[server].prefill() else { return };
        let Some((at, epoch)) = engine.start(now) else { return };
        self.events.push(at, Event::PrefillEnd { server, epoch });
    }

    pub(super) fn end_prefill(&mut self, now: Instant, server: usize, epoch: u32) {
        if self.servers[server].is_dead {
            return;
        }
        let Some(engine) = self.servers[server].prefill() else { return };
        let Some(result) = engine.end(epoch) else { return };
        self.start_next_prefill(now, server);
        self.publish(now, server, result.change);
        self.ledger.computed_tokens += u64::from(result.computed_tokens);
        self.ledger.cached_tokens += u64::from(result.cached_tokens);
        let (number, tag) = (result.task.request, result.task.tag);
        let request = &mut self.requests[number];
        if request.tag != tag || request.stage != Stage::Prefilling {
            self.ledger.waste(WasteCause::EngineLost, result.computed_tokens);
            return;
        }
        request.unsettled_tokens = result.computed_tokens;
        request.read_at = now;
        if !self.servers[server].is_reachable() {
            request.waste_cause = WasteCause::EngineLost;
            return;
        }
        let held_until = now + self.deployment.engine.hold;
        request.held_until = Some(held_until);
        let latency = self.servers[server].latency;
        let cached_tokens = result.cached_tokens;
        let message = Event::Prefilled { request: number, tag, cached_tokens, held_until };
        self.events.push(now + latency, message);
        self.events.push(held_until, Event::HoldEnd { request: number, tag });
    }

    pub(super) fn prefilled(
        &mut self,
        now: Instant,
        number: usize,
        tag: Tag,
        cached_tokens: u32,
        held_until: Instant,
    ) -> bool {
        let request = &mut self.requests[number];
        if request.tag != tag || request.stage != Stage::Prefilling {
            return false;
        }
        let Some(job) = request.job else { return false };
        request.stage = Stage::Prefilled;
        self.policy.prefilled(now, job, cached_tokens, held_until);
        true
    }

    /// Ends the hold of a KV cache; an import that is not complete fails.
    pub(super) fn end_hold(&mut self, now: Instant, number: usize, tag: Tag) {
        let request = &mut self.requests[number];
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
        let tokens = std::mem::take(&mut request.unsettled_tokens);
        self.ledger.waste(cause, tokens);
        let request = &self.requests[number];
        let Some(server) = request.decode.filter(|_| request.stage == Stage::Transferring) else {
            return;
        };
        let Some(engine) = self.servers[server].decode() else { return };
        engine.cancel(number);
        self.send_failure(now, server, number, FailedStage::Transfer);
    }

    pub(super) fn start_transfer(&mut self, now: Instant, number: usize, tag: Tag) {
        let request = &self.requests[number];
        if request.tag != tag || request.stage != Stage::Transferring {
            return;
        }
        let (Some(prefill), Some(decode)) = (request.prefill, request.decode) else { return };
        if !self.servers[decode].is_reachable() {
            return;
        }
        if request.held_at(now).is_none() || self.servers[prefill].is_dead {
            self.send_failure(now, decode, number, FailedStage::Transfer);
            return;
        }
        let workload = &self.deployment.workload;
        let prompt_tokens = request.arrival.prompt_tokens;
        let run = Run {
            request: number,
            tag,
            pieces: self.deployment.engine.pieces(prompt_tokens, workload.max_output_tokens),
            context_tokens: prompt_tokens + request.tokens,
            remaining_tokens: request.arrival.output_tokens - request.tokens,
            is_imported: false,
            is_in_step: false,
        };
        let Some(engine) = self.servers[decode].decode() else { return };
        if !engine.accept(run) {
            self.requests[number].waste_cause = WasteCause::NoDecodeSlot;
            self.send_failure(now, decode, number, FailedStage::Admission);
            return;
        }
        // A transfer over a cut stalls until the hold ends.
        if self.servers[prefill].is_cut {
            return;
        }
        let end = self.book(now, prefill, decode, prompt_tokens);
        self.events.push(end, Event::TransferEnd { server: decode, request: number, tag });
    }

    fn book(&mut self, now: Instant, prefill: usize, decode: usize, tokens: u32) -> Instant {
        let is_near = self.servers[prefill].spec.zone == self.servers[decode].spec.zone;
        let latency = self.deployment.zone_latency;
        let Ok([from, to]) = self.servers.get_disjoint_mut([prefill, decode]) else { return now };
        let end = Link::book(now, &mut from.link, &mut to.link, tokens);
        if is_near { end } else { end + latency }
    }

    pub(super) fn end_transfer(&mut self, now: Instant, server: usize, number: usize, tag: Tag) {
        if self.servers[server].is_dead {
            return;
        }
        let Some(engine) = self.servers[server].decode() else { return };
        if !engine.import(number, tag) {
            return;
        }
        self.start_step(now, server);
        let request = &mut self.requests[number];
        if request.tag != tag || request.stage != Stage::Transferring {
            return;
        }
        request.stage = Stage::Decoding;
        request.imported_at = now;
        if !self.servers[server].is_reachable() {
            return;
        }
        let at = now + self.servers[server].latency;
        self.events.push(at, Event::Transferred { request: number, tag });
    }

    pub(super) fn transferred(&mut self, now: Instant, number: usize, tag: Tag) -> bool {
        let request = &self.requests[number];
        if request.tag != tag || request.stage != Stage::Decoding {
            return false;
        }
        let Some(job) = request.job else { return false };
        self.policy.transferred(now, job);
        true
    }

    fn start_step(&mut self, now: Instant, server: usize) {
        let Some(engine) = self.servers[server].decode() else { return };
        let Some((at, epoch)) = engine.start(now) else { return };
        self.events.push(at, Event::StepEnd { server, epoch });
    }

    pub(super) fn end_step(&mut self, now: Instant, server: usize, epoch: u32) {
        if self.servers[server].is_dead {
            return;
        }
        let Some(engine) = self.servers[server].decode() else { return };
        let served = engine.end(epoch);
        self.start_step(now, server);
        if !self.servers[server].is_reachable() {
            return;
        }
        for run in served {
            self.take_token(now, server, &run);
        }
    }

    fn take_token(&mut self, now: Instant, server: usize, run: &Run) {
        let at = now + self.servers[server].latency + self.deployment.caller_latency;
        let request = &mut self.requests[run.request];
        if request.tag != run.tag || request.stage != Stage::Decoding {
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
                request.gap_time += gap;
                if request.arrival.is_counted {
                    record(&mut self.ledger.itl, gap);
                }
            }
        }
        let tokens = request.tokens;
        if tokens == 1 || tokens.is_multiple_of(PROGRESS_TOKENS) {
            self.policy.progressed(now, job, tokens);
        }
        if run.remaining_tokens == 0 {
            let at = now + self.servers[server].latency;
            self.events.push(at, Event::Finished { request: run.request, tag: run.tag });
        }
    }

    pub(super) fn finished(&mut self, now: Instant, number: usize, tag: Tag) -> bool {
        let request = &mut self.requests[number];
        if request.tag != tag || request.stage != Stage::Decoding {
            return false;
        }
        let Some(job) = request.job else { return false };
        request.unsettled_tokens = 0;
        self.policy.finished(now, job);
        self.end(number, End::Answered);
        true
    }

    /// Sends word of a failed stage to the policy.
    fn send_failure(&mut self, now: Instant, server: usize, number: usize, stage: FailedStage) {
        let request = &self.requests[number];
        let held_until = request.held_at(now);
        let message = Event::Failed { request: number, tag: request.tag, stage, held_until };
        self.events.push(now + self.servers[server].latency, message);
    }

    pub(super) fn failed(
        &mut self,
        now: Instant,
        number: usize,
        tag: Tag,
        stage: FailedStage,
        held_until: Option<Instant>,
    ) -> bool {
        let request = &self.requests[number];
        if request.tag != tag || request.stage == Stage::Ended {
            return false;
        }
        self.tell_failure(now, number, stage, held_until);
        true
    }

    /// Tells the policy that a stage failed and that it is to decide.
    pub(super) fn tell_failure(
        &mut self,
        now: Instant,
        number: usize,
        stage: FailedStage,
        held_until: Option<Instant>,
    ) {
        let request = &mut self.requests[number];
        let Some(job) = request.job else { return };
        request.failures += 1;
        // Messages that are still on their way belong to the attempt that failed.
        request.tag.transfer += 1;
        request.decode = None;
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
