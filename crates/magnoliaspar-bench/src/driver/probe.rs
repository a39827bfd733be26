//! Probes a policy for slots that it did not release.

use std::time::{Duration, Instant};

use magnoliaspar_core::{JobKey, WorkspaceName};
use magnoliaspar_policy::{Action, Job, Policy, Urgency, Weights};

/// Maximum number of polls.
const MAX_POLLS: u32 = 600;

/// Virtual time between two polls if the policy returns no action.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Prompt length of a probe job, short enough that slots run out before memory.
const PROMPT_TOKENS: u32 = 64;

/// Answer length of a probe job.
const OUTPUT_TOKENS: u32 = 64;

/// Submits `jobs` small jobs, completes all actions at once and finishes no job. Returns the number
/// of jobs that started to decode.
pub(super) fn count_started_jobs(policy: &mut dyn Policy, now: Instant, jobs: u32) -> u32 {
    let workspace = WorkspaceName::try_from("probe").expect("the name has only allowed letters");
    let mut keys = Vec::new();
    for _ in 0..jobs {
        keys.push(policy.submit(now, job(&workspace, now)));
    }
    let mut decoding = 0;
    let mut at = now;
    for _ in 0..MAX_POLLS {
        let actions = policy.poll(at);
        if actions.is_empty() {
            at += POLL_INTERVAL;
        }
        for action in actions {
            decoding += u32::from(complete_action(policy, at, &keys, action));
        }
        if decoding == jobs {
            break;
        }
    }
    for key in keys {
        policy.cancelled(at, key);
    }
    decoding
}

/// Completes an action at once. Returns whether a probe job started to decode.
fn complete_action(policy: &mut dyn Policy, now: Instant, keys: &[JobKey], action: Action) -> bool {
    match action {
        Action::Prefill { job, .. } => {
            policy.prefilled(now, job, 0, now + Duration::from_millis(800));
            false
        }
        Action::Transfer { job, .. } => {
            policy.transferred(now, job);
            policy.progressed(now, job, 1);
            keys.contains(&job)
        }
        Action::Refuse { .. } => false,
    }
}

fn job(workspace: &WorkspaceName, now: Instant) -> Job {
    Job {
        workspace: workspace.clone(),
        share: 1,
        blocks: Box::new([]),
        prompt_tokens: PROMPT_TOKENS,
        max_output_tokens: OUTPUT_TOKENS,
        expected_output_tokens: OUTPUT_TOKENS,
        accepted_at: now,
        ttft_target: POLL_INTERVAL * MAX_POLLS,
        deadline: None,
        urgency: Urgency::Deferrable,
        weights: Weights::default(),
        is_suspect: false,
    }
}
