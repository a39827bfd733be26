use std::time::Instant;

use magnoliaspar_core::{JobKey, ServerKey};
use magnoliaspar_policy::{Action, RefuseReason, Role, Urgency};

use super::Driver;
use crate::event::Event;
use crate::ledger::{End, Violation, WasteCause};
use crate::state::Stage;

impl Driver<'_> {
    /// Carries out an order of the policy.
    pub(super) fn apply(&mut self, now: Instant, action: Action) {
        match action {
            Action::Prefill { job, server, decode: _ } => self.order_prefill(now, job, server),
            Action::Transfer { job, prefill, decode } => {
                self.order_transfer(now, job, prefill, decode);
            }
            Action::Refuse { job, reason, retry_after: _ } => self.refuse(now, job, reason),
        }
    }

    fn order_prefill(&mut self, now: Instant, job: JobKey, server: ServerKey) {
        let Some((number, server)) = self.resolve(job, server, Role::Prefill) else { return };
        let request = &mut self.requests[number];
        if !matches!(request.stage, Stage::Waiting | Stage::Prefilled) {
            self.ledger.violations.push(Violation::WrongStage(number));
            return;
        }
        // The KV cache of the prefill before is given up, if there was one.
        let unsettled = std::mem::take(&mut request.unsettled_tokens);
        self.ledger.waste(request.waste_cause, unsettled);
        request.waste_cause = WasteCause::GivenUp;
        request.tag.prefill += 1;
        request.tag.transfer = 0;
        request.stage = Stage::Prefilling;
        request.ordered_at = now;
        request.prefill = Some(server);
        request.decode = None;
        request.held_until = None;
        let order = Event::PrefillOrder { server, request: number, tag: request.tag };
        self.events.push(now + self.servers[server].latency, order);
    }

    fn order_transfer(&mut self, now: Instant, job: JobKey, prefill: ServerKey, decode: ServerKey) {
        let Some((number, prefill)) = self.resolve(job, prefill, Role::Prefill) else { return };
        let Some((_, decode)) = self.resolve(job, decode, Role::Decode) else { return };
        let request = &mut self.requests[number];
        if request.stage != Stage::Prefilled || request.prefill != Some(prefill) {
            self.ledger.violations.push(Violation::WrongStage(number));
            return;
        }
        request.tag.transfer += 1;
        request.stage = Stage::Transferring;
        request.decode = Some(decode);
        let order = Event::TransferOrder { request: number, tag: request.tag };
        self.events.push(now + self.servers[decode].latency, order);
    }

    fn refuse(&mut self, now: Instant, job: JobKey, reason: RefuseReason) {
        let Some(number) = self.jobs.get(&job).copied() else {
            self.ledger.violations.push(Violation::UnknownKey);
            return;
        };
        if self.requests[number].tokens > 0 {
            self.ledger.violations.push(Violation::RefusedAfterTokens(number));
        }
        if !self.is_true(number, reason) {
            self.ledger.violations.push(Violation::UntrueReason(number, reason));
        }
        let cause = self.requests[number].waste_cause;
        self.cancel_on_engines(now, number, cause);
        self.end(number, End::Refused(reason));
    }

    /// Whether a reason for a refusal can be true.
    fn is_true(&self, number: usize, reason: RefuseReason) -> bool {
        let request = &self.requests[number];
        let arrival = &request.arrival;
        match reason {
            RefuseReason::NoServer => {
                self.count_known(Role::Prefill) == 0 || self.count_known(Role::Decode) == 0
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

    fn count_known(&self, role: Role) -> usize {
        let mut known = 0;
        for server in &self.servers {
            known += usize::from(server.key.is_some() && server.spec.role == role);
        }
        known
    }

    fn resolve(&mut self, job: JobKey, server: ServerKey, role: Role) -> Option<(usize, usize)> {
        let number = self.jobs.get(&job).copied();
        let server = self.server_keys.get(&server).copied();
        let (Some(number), Some(server)) = (number, server) else {
            self.ledger.violations.push(Violation::UnknownKey);
            return None;
        };
        if self.servers[server].key.is_none() || self.servers[server].spec.role != role {
            self.ledger.violations.push(Violation::UnknownKey);
            return None;
        }
        Some((number, server))
    }
}
