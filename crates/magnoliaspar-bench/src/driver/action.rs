//! Applies the actions of the policy to the simulation.

use std::time::Instant;

use magnoliaspar_core::{JobKey, ServerKey};
use magnoliaspar_policy::{Action, RefuseReason, Role, Urgency};

use super::Driver;
use crate::event::Event;
use crate::state::Stage;
use crate::stats::{Outcome, Violation, WasteCause};

impl Driver<'_> {
    /// Applies an action of the policy.
    pub(super) fn apply(&mut self, now: Instant, action: Action) {
        match action {
            Action::Prefill { job, server, decode: _ } => self.apply_prefill(now, job, server),
            Action::Transfer { job, prefill, decode } => {
                self.apply_transfer(now, job, prefill, decode);
            }
            Action::Refuse { job, reason, retry_after: _ } => self.refuse(now, job, reason),
        }
    }

    fn apply_prefill(&mut self, now: Instant, job: JobKey, server: ServerKey) {
        let Some((index, server)) = self.resolve(job, server, Role::Prefill) else { return };
        let request = &mut self.requests[index];
        if !matches!(request.stage, Stage::Waiting | Stage::Prefilled) {
            self.stats.violations.push(Violation::WrongStage(index));
            return;
        }
        // A new prefill discards the KV cache of the previous one, if there was one.
        let wasted_tokens = std::mem::take(&mut request.unaccounted_tokens);
        self.stats.add_waste(request.waste_cause, wasted_tokens);
        request.waste_cause = WasteCause::GivenUp;
        request.tag.prefill += 1;
        request.tag.transfer = 0;
        request.stage = Stage::Prefilling;
        request.prefill_ordered_at = now;
        request.prefill_server = Some(server);
        request.decode_server = None;
        request.held_until = None;
        let command = Event::PrefillCommand { server, request: index, tag: request.tag };
        self.events.push(now + self.servers[server].latency, command);
    }

    fn apply_transfer(&mut self, now: Instant, job: JobKey, prefill: ServerKey, decode: ServerKey) {
        let Some((index, prefill)) = self.resolve(job, prefill, Role::Prefill) else { return };
        let Some((_, decode)) = self.resolve(job, decode, Role::Decode) else { return };
        let request = &mut self.requests[index];
        if request.stage != Stage::Prefilled || request.prefill_server != Some(prefill) {
            self.stats.violations.push(Violation::WrongStage(index));
            return;
        }
        request.tag.transfer += 1;
        request.stage = Stage::Transferring;
        request.decode_server = Some(decode);
        let command = Event::TransferCommand { request: index, tag: request.tag };
        self.events.push(now + self.servers[decode].latency, command);
    }

    /// Ends a request that the policy refused and checks the reason.
    fn refuse(&mut self, now: Instant, job: JobKey, reason: RefuseReason) {
        let Some(index) = self.jobs.get(&job).copied() else {
            self.stats.violations.push(Violation::UnknownKey);
            return;
        };
        if self.requests[index].tokens > 0 {
            self.stats.violations.push(Violation::RefusedAfterTokens(index));
        }
        if !self.is_truthful(index, reason) {
            self.stats.violations.push(Violation::UntrueReason(index, reason));
        }
        let cause = self.requests[index].waste_cause;
        self.cancel_on_engines(now, index, cause);
        self.end_request(index, Outcome::Refused(reason));
    }

    /// Returns true if the reason of a refusal may be true in the current state.
    fn is_truthful(&self, index: usize, reason: RefuseReason) -> bool {
        let request = &self.requests[index];
        let arrival = &request.arrival;
        match reason {
            RefuseReason::NoServer => {
                self.count_registered(Role::Prefill) == 0
                    || self.count_registered(Role::Decode) == 0
            }
            RefuseReason::TargetMissed => arrival.urgency == Urgency::Interactive,
            RefuseReason::DeadlineMissed | RefuseReason::QueueFull => true,
            RefuseReason::RetriesExhausted => request.failures > 0,
            RefuseReason::TooLarge => {
                let engine = &self.deployment.engine;
                let max_output_tokens = self.deployment.workload.max_output_tokens;
                engine.pieces(arrival.prompt_tokens, max_output_tokens) > engine.memory_pieces
            }
        }
    }

    /// Counts the servers of a role that the policy knows.
    fn count_registered(&self, role: Role) -> usize {
        let mut count = 0;
        for server in &self.servers {
            count += usize::from(server.key.is_some() && server.spec.role == role);
        }
        count
    }

    /// Returns the indices of a job and a server, or records a violation if they do not
    /// exist or the server has another role.
    fn resolve(&mut self, job: JobKey, server: ServerKey, role: Role) -> Option<(usize, usize)> {
        let index = self.jobs.get(&job).copied();
        let server = self.server_keys.get(&server).copied();
        let (Some(index), Some(server)) = (index, server) else {
            self.stats.violations.push(Violation::UnknownKey);
            return None;
        };
        if self.servers[server].key.is_none() || self.servers[server].spec.role != role {
            self.stats.violations.push(Violation::UnknownKey);
            return None;
        }
        Some((index, server))
    }
}
