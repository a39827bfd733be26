//! Start of prefills: placement of waiting jobs and charging of their workspaces.

use std::collections::BTreeSet;
use std::time::Instant;

use magnoliaspar_core::JobKey;

use super::Scheduler;
use crate::Action;
use crate::explain::{Decision, Explanation, WaitReason};
use crate::margins::Caution;
use crate::placement::{Apart, Demand, Obstacle, Plan};
use crate::prefill_load::seconds;
use crate::prefix::Sign;
use crate::state::{Charge, JobState, Stage};

/// The budget of failed placement attempts in one poll.
///
/// It is small since most reasons why a job can't be placed also apply to other jobs.
const MAX_TRYING: u32 = 4;

impl Scheduler {
    /// Starts prefills in queue order as far as there is capacity.
    pub(super) fn start_prefills(&mut self, now: Instant) {
        self.start_suspect(now);
        let mut skipped = BTreeSet::new();
        let mut trying = 0;
        let mut blocked = None;
        while trying < MAX_TRYING {
            let Some(job) = self.queue.next(&skipped) else { return };
            let class = self.jobs[job].class();
            // Capacity that a class waits for is not given to a lower class.
            if blocked.is_some_and(|blocked| blocked < class) {
                return;
            }
            let Some(obstacle) = self.start_prefill(now, job, None) else { continue };
            skipped.insert(job);
            if obstacle == WaitReason::Target {
                trying += 1;
                continue;
            }
            trying += MAX_TRYING / 2;
            blocked = Some(class);
        }
    }

    /// Starts the prefill of a job, or returns the reason why it has to wait.
    pub(super) fn start_prefill(
        &mut self,
        now: Instant,
        job: JobKey,
        apart: Option<Apart>,
    ) -> Option<WaitReason> {
        let state = &self.jobs[job];
        let demand = self.demand(state, apart);
        match self.placement().plan(now, &demand) {
            Ok(plan) => {
                self.grant(now, job, plan);
                None
            }
            Err(obstacle) => {
                let reason = obstacle.reason;
                self.wait(now, job, obstacle);
                Some(reason)
            }
        }
    }

    /// Returns the resources and constraints of a job.
    pub(super) fn demand<'a>(&self, state: &'a JobState, apart: Option<Apart>) -> Demand<'a> {
        let job = &state.job;
        let target_at = state.is_bound_by_target().then(|| state.target_at());
        let best = self.pool.best();
        let transfer = seconds(f64::from(job.prompt_tokens) / best.link_tokens_per_second.max(1.0));
        Demand {
            blocks: &job.blocks,
            tokens: state.read_tokens(),
            memory_tokens: self.memory_tokens(state),
            caution: Caution::from(job.weights),
            target_at,
            lateness: self.lateness.margin(),
            slack: job.ttft_target.saturating_sub(transfer),
            avoid: state.avoid,
            apart,
        }
    }

    fn wait(&mut self, now: Instant, job: JobKey, obstacle: Obstacle) {
        let at = obstacle.look_again_at.max(now + super::transfer::MIN_STEP);
        self.look_again(at);
        let Some(state) = self.jobs.get_mut(job) else { return };
        *state.explanation = Explanation {
            decision: Decision::Wait(obstacle.reason),
            decided_at: now,
            inputs: Default::default(),
            rejected: obstacle.rejected,
        };
    }

    pub(super) fn look_again(&mut self, at: Instant) {
        self.look_again_at = Some(self.look_again_at.map_or(at, |other| other.min(at)));
    }

    fn grant(&mut self, now: Instant, job: JobKey, plan: Plan) {
        self.release(now, job);
        let Plan { prefill, decode, transfer_at, inputs, rejected } = plan;
        let state = &self.jobs[job];
        let (tokens, memory_tokens) = (state.read_tokens(), self.memory_tokens(state));
        self.pool.update(prefill, |server| {
            let pieces = server.pieces(tokens);
            server.reading.grant(now, job, inputs.read_time, tokens, pieces);
            server.link.plan(job, transfer_at, inputs.transfer_time);
        });
        self.pool.update(decode, |server| {
            server.decoding.reserve(now, job, server.answer_pieces(memory_tokens));
            server.link.plan(job, transfer_at, inputs.transfer_time);
        });
        self.prefixes.note(now, prefill, &self.jobs[job].job.blocks, Sign::Grant);
        self.charge(job, &inputs, decode);
        let state = &mut self.jobs[job];
        let is_first_try = state.retries == 0 && state.refusals == 0;
        state.first_token_at = inputs.first_token_at.filter(|_| is_first_try);
        state.stage = Stage::Prefilling { prefill, decode: Some(decode) };
        let decision = Decision::Prefill { prefill, decode };
        *state.explanation = Explanation { decision, decided_at: now, inputs, rejected };
        self.actions.push(Action::Prefill { job, server: prefill, decode: Some(decode) });
    }

    /// Charges the workspace of a job for the engine time that it will use.
    fn charge(
        &mut self,
        job: JobKey,
        inputs: &crate::Inputs,
        decode: magnoliaspar_core::ServerKey,
    ) {
        let Some(server) = self.pool.get(decode) else { return };
        let per_token = seconds(server.spec.seconds_per_token) / server.spec.slots.max(1);
        let state = &mut self.jobs[job];
        let mut cost = inputs.read_time;
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
