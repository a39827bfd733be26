//! Start of prefills: placement of waiting jobs and charging of their workspaces.

use std::collections::BTreeSet;
use std::time::Instant;

use magnoliaspar_core::JobKey;

use super::Scheduler;
use crate::Action;
use crate::explain::{Decision, Explanation, WaitReason};
use crate::margins::SafetyMargins;
use crate::placement::{Demand, IsolatedPair, PlacementError, Plan};
use crate::prefill_load::duration_from_secs;
use crate::prefix::BlockStatus;
use crate::state::{Charge, JobState, Stage};

/// The budget of failed placement attempts in one poll.
///
/// It is small since most reasons why a job can't be placed also apply to other jobs.
const FAILED_ATTEMPT_BUDGET: u32 = 4;

impl Scheduler {
    /// Starts prefills in queue order while there is capacity.
    pub(super) fn start_prefills(&mut self, now: Instant) {
        self.start_suspect(now);
        let mut skipped = BTreeSet::new();
        let mut attempt_cost = 0;
        let mut blocked_class = None;
        while attempt_cost < FAILED_ATTEMPT_BUDGET {
            let Some(job) = self.queue.next(&skipped) else { return };
            let class = self.jobs[job].class();
            // Capacity that a class waits for is not given to a lower class.
            if blocked_class.is_some_and(|blocked| blocked < class) {
                return;
            }
            let Some(reason) = self.start_prefill(now, job, None) else { continue };
            skipped.insert(job);
            if reason == WaitReason::Target {
                attempt_cost += 1;
                continue;
            }
            attempt_cost += FAILED_ATTEMPT_BUDGET / 2;
            blocked_class = Some(class);
        }
    }

    /// Starts the prefill of a job, or returns the reason why it has to wait.
    pub(super) fn start_prefill(
        &mut self,
        now: Instant,
        job: JobKey,
        isolated_pair: Option<IsolatedPair>,
    ) -> Option<WaitReason> {
        let state = &self.jobs[job];
        let demand = self.demand(state, isolated_pair);
        match self.placement().plan(now, &demand) {
            Ok(plan) => {
                self.grant(now, job, plan);
                None
            }
            Err(error) => {
                let reason = error.reason;
                self.wait(now, job, error);
                Some(reason)
            }
        }
    }

    /// Returns the resources and constraints of a job.
    pub(super) fn demand<'a>(
        &self,
        state: &'a JobState,
        isolated_pair: Option<IsolatedPair>,
    ) -> Demand<'a> {
        let job = &state.job;
        let target_at = state.is_bound_by_target().then(|| state.target_at());
        let capabilities = self.pool.capabilities();
        let transfer_time = duration_from_secs(
            f64::from(job.prompt_tokens) / capabilities.link_tokens_per_second.max(1.0),
        );
        Demand {
            blocks: &job.blocks,
            tokens: state.prefill_tokens(),
            memory_tokens: self.memory_tokens(state),
            margins: SafetyMargins::from(job.weights),
            target_at,
            lateness_margin: self.lateness.margin(),
            slack: job.ttft_target.saturating_sub(transfer_time),
            avoided_server: state.avoided_server,
            isolated_pair,
        }
    }

    fn wait(&mut self, now: Instant, job: JobKey, error: PlacementError) {
        let at = error.recheck_at.max(now + super::transfer::MIN_RECHECK_DELAY);
        self.schedule_recheck(at);
        let Some(state) = self.jobs.get_mut(job) else { return };
        *state.explanation = Explanation {
            decision: Decision::Wait(error.reason),
            decided_at: now,
            inputs: Default::default(),
            rejected: error.rejected,
        };
    }

    pub(super) fn schedule_recheck(&mut self, at: Instant) {
        self.recheck_at = Some(self.recheck_at.map_or(at, |other| other.min(at)));
    }

    fn grant(&mut self, now: Instant, job: JobKey, plan: Plan) {
        self.release(now, job);
        let Plan { prefill, decode, transfer_at, inputs, rejected } = plan;
        let state = &self.jobs[job];
        let (tokens, memory_tokens) = (state.prefill_tokens(), self.memory_tokens(state));
        self.pool.update(prefill, |server| {
            let pieces = server.pieces(tokens);
            server.prefill_load.grant(now, job, inputs.prefill_time, tokens, pieces);
            server.link.plan_transfer(job, transfer_at, inputs.transfer_time);
        });
        self.pool.update(decode, |server| {
            server.decode_load.reserve(now, job, server.job_pieces(memory_tokens));
            server.link.plan_transfer(job, transfer_at, inputs.transfer_time);
        });
        self.prefixes.record(now, prefill, &self.jobs[job].job.blocks, BlockStatus::Expected);
        self.charge(job, &inputs, decode);
        let state = &mut self.jobs[job];
        let is_first_try = state.retries == 0 && state.refusals == 0;
        state.first_token_at = inputs.first_token_at.filter(|_| is_first_try);
        state.stage = Stage::Prefilling { prefill, decode: Some(decode) };
        let decision = Decision::Prefill { prefill, decode };
        *state.explanation = Explanation { decision, decided_at: now, inputs, rejected };
        self.actions.push(Action::Prefill { job, server: prefill, decode: Some(decode) });
    }

    /// Charges the workspace of a job for the engine time that the job is expected to use.
    fn charge(
        &mut self,
        job: JobKey,
        inputs: &crate::Inputs,
        decode: magnoliaspar_core::ServerKey,
    ) {
        let Some(server) = self.pool.get(decode) else { return };
        let per_token =
            duration_from_secs(server.spec.seconds_per_token) / server.spec.slots.max(1);
        let state = &mut self.jobs[job];
        let mut cost = inputs.prefill_time;
        // The answer is charged once, even if it takes several prefills.
        if state.charged.is_none() {
            let amount = per_token * state.job.expected_output_tokens;
            state.charged = Some(Charge { amount, per_token });
            cost += amount;
        }
        let (workspace, class) = (state.workspace, state.class());
        self.queue.charge(workspace, class, cost);
    }
}
