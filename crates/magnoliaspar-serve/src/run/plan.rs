//! Converts the policy's explanation of a placement to an event.

use std::time::{Duration, Instant};

use magnoliaspar_core::{AttemptId, ServerName};
use magnoliaspar_event::{Plan, RejectedServer};
use magnoliaspar_policy::{Explanation, Weights};

/// The parts of a [`Plan`] event that the policy's explanation lacks.
#[derive(Debug, Clone, Copy)]
pub struct PlanContext {
    /// The attempt.
    pub attempt: AttemptId,
    /// The time at which the request was accepted.
    pub accepted_at: Instant,
    /// The weights of the route's scheduling goals.
    pub weights: Weights,
}

impl PlanContext {
    /// Builds the event that describes the placement of an attempt.
    pub fn describe(
        &self,
        explanation: &Explanation,
        prefill: ServerName,
        decode: ServerName,
    ) -> Plan {
        let inputs = &explanation.inputs;
        let first_token_at = inputs.first_token_at.unwrap_or(explanation.decided_at);
        let mut rejected = Vec::new();
        for server in &explanation.rejected {
            let reason = server.reason.to_string().into();
            rejected.push(RejectedServer { server: server.server.clone(), reason, ttft_ms: None });
        }
        Plan {
            attempt: self.attempt,
            prefill_server: prefill,
            decode_server: decode,
            cached_tokens: inputs.cached_tokens,
            uncached_tokens: inputs.uncached_tokens,
            queue_ms: to_millis(inputs.queue_ahead),
            prefill_ms: to_millis(inputs.read_time),
            transfer_ms: to_millis(inputs.transfer_time),
            ttft_ms: to_millis(first_token_at.saturating_duration_since(self.accepted_at)),
            slack_ms: slack_millis(inputs.target_at, first_token_at),
            report_age_ms: to_millis(inputs.report_age.unwrap_or_default()),
            wasted_prefill_weight: self.weights.wasted_prefill,
            goodput_weight: self.weights.goodput,
            rejected: rejected.into(),
        }
    }
}

fn to_millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Returns the milliseconds between the predicted first token and the TTFT target; negative if the
/// target will be missed, and 0 without a target.
fn slack_millis(target_at: Option<Instant>, first_token_at: Instant) -> i64 {
    let Some(target_at) = target_at else { return 0 };
    let early = target_at.saturating_duration_since(first_token_at);
    let late = first_token_at.saturating_duration_since(target_at);
    early.as_millis() as i64 - late.as_millis() as i64
}
