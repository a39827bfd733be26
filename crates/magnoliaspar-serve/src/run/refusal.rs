use std::time::Duration;

use magnoliaspar_core::{Refusal, RefusalCode};
use magnoliaspar_policy::RefuseReason;

use super::running::Run;

/// Refuses a run whose caller is gone.
pub fn cancelled(run: &Run) -> Refusal {
    refusal(run, RefusalCode::Cancelled, "the caller cancelled the request")
}

/// Refuses a run that took too long.
pub fn timed_out(run: &Run) -> Refusal {
    refusal(run, RefusalCode::Deadline, "the request took longer than it may")
}

/// Refuses a run for a reason of the policy.
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

/// Refuses a run; one that an engine may have worked on may have run.
pub fn refusal(run: &Run, code: RefusalCode, message: &str) -> Refusal {
    if run.may_have_run() {
        return Refusal::may_have_run(code, message);
    }
    Refusal::not_run(code, message)
}
