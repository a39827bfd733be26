//! Arrivals, cancellations and deadlines of callers.

use std::time::Instant;

use magnoliaspar_policy::Job;

use super::Driver;
use crate::deployment::TTFT_TARGET;
use crate::event::Event;
use crate::state::Stage;
use crate::stats::{Outcome, Violation, WasteCause};

impl Driver<'_> {
    /// Schedules arrival, deadline and cancellation of all requests.
    pub(super) fn schedule_callers(&mut self) {
        for (index, request) in self.requests.iter().enumerate() {
            let at = request.accepted_at;
            self.events.push(at, Event::Arrival(index));
            self.events.push(at + request.arrival.deadline, Event::DeadlineExpired(index));
            let Some(after) = request.arrival.cancel_after else { continue };
            self.events.push(at + after, Event::Cancel(index));
        }
    }

    pub(super) fn arrive(&mut self, now: Instant, index: usize) -> bool {
        let workload = &self.deployment.workload;
        let request = &self.requests[index];
        let arrival = &request.arrival;
        let job = self.policy.submit(
            now,
            Job {
                workspace: arrival.workspace_name(),
                share: 1,
                blocks: arrival.blocks.clone(),
                prompt_tokens: arrival.prompt_tokens,
                max_output_tokens: workload.max_output_tokens,
                expected_output_tokens: workload.mean_output_tokens() as u32,
                accepted_at: request.accepted_at,
                ttft_target: TTFT_TARGET,
                deadline: Some(request.accepted_at + arrival.deadline),
                urgency: arrival.urgency,
                weights: self.deployment.weights,
                is_suspect: false,
            },
        );
        self.requests[index].job = Some(job);
        self.jobs.insert(job, index);
        true
    }

    pub(super) fn cancel(&mut self, now: Instant, index: usize) -> bool {
        self.abandon(now, index, Outcome::Cancelled)
    }

    pub(super) fn expire_deadline(&mut self, now: Instant, index: usize) -> bool {
        self.abandon(now, index, Outcome::DeadlinePassed)
    }

    /// Ends a request for its caller, unless it has ended or its answer is complete. Returns
    /// whether the policy was informed.
    fn abandon(&mut self, now: Instant, index: usize, outcome: Outcome) -> bool {
        let request = &self.requests[index];
        let is_complete = request.tokens == request.arrival.output_tokens;
        if request.stage == Stage::Ended || is_complete {
            return false;
        }
        let Some(job) = request.job else { return false };
        self.cancel_on_engines(now, index, WasteCause::Cancelled);
        self.policy.cancelled(now, job);
        self.end_request(index, outcome);
        true
    }

    /// Cancels a request on its engines and counts its prefill as wasted if no token was produced.
    pub(super) fn cancel_on_engines(&mut self, now: Instant, index: usize, cause: WasteCause) {
        let request = &self.requests[index];
        let (prefill, decode) = (request.prefill_server, request.decode_server);
        if let Some(server) = prefill {
            self.cancel_prefill(now, server, index, cause);
        }
        if let Some(server) = decode {
            self.cancel_decode(server, index);
        }
        let request = &mut self.requests[index];
        let tokens = std::mem::take(&mut request.unaccounted_tokens);
        // A prefill is used as soon as the first token of the answer is produced.
        if request.tokens == 0 {
            self.stats.add_waste(cause, tokens);
        }
    }

    fn cancel_prefill(&mut self, now: Instant, server: usize, index: usize, cause: WasteCause) {
        if !self.servers[server].is_reachable() {
            return;
        }
        let Some(engine) = self.servers[server].prefill_engine() else { return };
        let tokens = engine.cancel(now, index);
        self.stats.computed_tokens += u64::from(tokens);
        self.stats.add_waste(cause, tokens);
        self.start_next_prefill(now, server);
    }

    fn cancel_decode(&mut self, server: usize, index: usize) {
        if !self.servers[server].is_reachable() {
            return;
        }
        let Some(engine) = self.servers[server].decode_engine() else { return };
        engine.cancel(index);
    }

    /// Records the outcome of a request.
    pub(super) fn end_request(&mut self, index: usize, outcome: Outcome) {
        let request = &mut self.requests[index];
        request.outcome_count += 1;
        if request.stage == Stage::Ended {
            return;
        }
        request.stage = Stage::Ended;
        request.outcome = Some(outcome);
        if let Some(job) = request.job {
            self.jobs.remove(&job);
        }
        let (tokens, expected) = (request.tokens, request.arrival.output_tokens);
        if outcome == Outcome::Answered && tokens != expected {
            self.stats.violations.push(Violation::WrongTokenCount(index, tokens, expected));
        }
        self.open_requests -= 1;
    }
}
