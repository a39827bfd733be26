use std::time::{Duration, Instant};

use magnoliaspar_core::{JobKey, WorkspaceName};
use magnoliaspar_policy::{Action, Job, Policy, Urgency, Weights};

/// For how long the policy is asked, in steps of [`POLL_INTERVAL`].
const MAX_POLLS: u32 = 600;

/// The time between two questions.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The length of a prompt in the probe, short enough for slots to run out before memory.
const PROMPT_TOKENS: u32 = 64;

/// The length of an answer in the probe.
const OUTPUT_TOKENS: u32 = 64;

/// Submits `jobs` small jobs at engines that do everything at once, and returns how many of them
/// the policy brings to decoding while none of them finishes.
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

/// Carries out an order at once; returns whether a job of the probe began to decode.
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
