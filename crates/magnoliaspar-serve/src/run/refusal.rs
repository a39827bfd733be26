//! Builds the refusals of runs.

use std::time::Duration;

use magnoliaspar_core::{Refusal, RefusalCode};
use magnoliaspar_policy::RefuseReason;

use super::running::Run;

/// Returns the refusal of a run that was cancelled.
pub fn cancelled(run: &Run) -> Refusal {
    refusal(run, RefusalCode::Cancelled, "the caller cancelled the request")
}

/// Returns the refusal of a run that reached its deadline.
pub fn timed_out(run: &Run) -> Refusal {
    refusal(run, RefusalCode::Deadline, "the request took longer than it may")
}

/// Returns the refusal of a run that the policy refused.
pub fn refused(run: &Run, reason: RefuseReason, retry_after: Option<Duration>) -> Refusal {
    let code = match reason {
        RefuseReason::NoServer => RefusalCode::NoServer,
        RefuseReason::TargetMissed | RefuseReason::QueueFull => RefusalCode::Overloaded,
        RefuseReason::DeadlineMissed => RefusalCode::Deadline,
        RefuseReason::RetriesExhausted => RefusalCode::ServerFailed,
        RefuseReason::TooLarge => RefusalCode::TooLarge,
    };
    let mut refusal = refusal(run, code, &reason.to_string());
    refusal.retry_after = retry_after;
    refusal
}

/// Returns a refusal with the outcome "may have run" if an engine may have worked on the run.
pub fn refusal(run: &Run, code: RefusalCode, message: &str) -> Refusal {
    if run.may_have_run() {
        return Refusal::may_have_run(code, message);
    }
    Refusal::not_run(code, message)
}
