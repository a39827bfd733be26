//! Test servers, test jobs and a harness that drives the scheduler in virtual time.

#![allow(dead_code)]

use std::time::{Duration, Instant};

use magnoliaspar_core::{BlockHash, JobKey, ServerKey, ServerName, WorkspaceName, ZoneName};
use magnoliaspar_policy::{
    Action, Job, Policy, Role, Scheduler, SchedulerSettings, ServerSpec, Urgency, Weights,
};

/// The prefill rate of a prefill engine in tokens per second.
pub const PREFILL_TOKENS_PER_SECOND: f64 = 10_000.0;

/// The rate of a link for KV transfers in tokens per second.
pub const LINK_TOKENS_PER_SECOND: f64 = 40_000.0;

/// The time of a decode step in seconds per token.
pub const SECONDS_PER_TOKEN: f64 = 0.02;

/// A scheduler with a virtual clock.
pub struct Harness {
    pub scheduler: Scheduler,
    pub start: Instant,
    pub now: Instant,
}

impl Harness {
    pub fn new(prefill: usize, decode: usize) -> Self {
        Self::with_settings(prefill, decode, SchedulerSettings::default())
    }

    pub fn with_settings(prefill: usize, decode: usize, settings: SchedulerSettings) -> Self {
        let start = Instant::now();
        let mut harness = Self { scheduler: Scheduler::with_settings(settings), start, now: start };
        for n in 0..prefill {
            harness.scheduler.add_server(start, spec(Role::Prefill, &format!("p{n}"), "a"));
        }
        for n in 0..decode {
            harness.scheduler.add_server(start, spec(Role::Decode, &format!("d{n}"), "a"));
        }
        harness
    }

    pub fn add(&mut self, spec: ServerSpec) -> ServerKey {
        self.scheduler.add_server(self.now, spec)
    }

    pub fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    pub fn submit(&mut self, job: Job) -> JobKey {
        self.scheduler.submit(self.now, job)
    }

    pub fn poll(&mut self) -> Vec<Action> {
        self.scheduler.poll(self.now)
    }

    /// Reports the prefill of a job as done, with a hold time of 800 ms.
    pub fn prefilled(&mut self, job: JobKey) {
        let held_until = self.now + Duration::from_millis(800);
        self.scheduler.prefilled(self.now, job, 0, held_until);
    }

    /// Submits a job and drives it until it decodes. Returns its key and its engines.
    pub fn run_to_decode(&mut self, job: Job) -> (JobKey, ServerKey, ServerKey) {
        let job = self.submit(job);
        let actions = self.poll();
        assert_eq!(prefill_of(&actions, job).map(|_| ()), Some(()), "{actions:?}");
        self.advance(200);
        self.prefilled(job);
        let actions = self.poll();
        let Some((prefill, decode)) = transfer_of(&actions, job) else { panic!("{actions:?}") };
        self.advance(50);
        self.scheduler.transferred(self.now, job);
        (job, prefill, decode)
    }
}

pub fn prefill_of(actions: &[Action], of: JobKey) -> Option<ServerKey> {
    for action in actions {
        if let Action::Prefill { job, server, .. } = action
            && *job == of
        {
            return Some(*server);
        }
    }
    None
}

pub fn transfer_of(actions: &[Action], of: JobKey) -> Option<(ServerKey, ServerKey)> {
    for action in actions {
        if let Action::Transfer { job, prefill, decode } = action
            && *job == of
        {
            return Some((*prefill, *decode));
        }
    }
    None
}

pub fn spec(role: Role, name: &str, zone: &str) -> ServerSpec {
    ServerSpec {
        name: ServerName::try_from(name).unwrap(),
        zone: ZoneName::try_from(zone).unwrap(),
        role,
        slots: if role == Role::Prefill { 4 } else { 20 },
        memory_pieces: 2_000,
        piece_tokens: 64,
        prefill_tokens_per_second: PREFILL_TOKENS_PER_SECOND,
        link_tokens_per_second: LINK_TOKENS_PER_SECOND,
        seconds_per_token: SECONDS_PER_TOKEN,
        hold_seconds: 0.8,
    }
}

/// Returns an interactive job with a prompt of 2,000 tokens, whose prefill takes 200 ms.
pub fn job(now: Instant) -> Job {
    Job {
        workspace: WorkspaceName::try_from("w").unwrap(),
        share: 1,
        blocks: Box::default(),
        prompt_tokens: 2_000,
        max_output_tokens: 100,
        expected_output_tokens: 50,
        accepted_at: now,
        ttft_target: Duration::from_secs(1),
        deadline: None,
        urgency: Urgency::Interactive,
        weights: Weights::default(),
        is_suspect: false,
    }
}

/// Returns a job whose prompt is `document`, in complete blocks, and 10 more tokens.
pub fn document_job(now: Instant, document: u64, blocks: u64) -> Job {
    let blocks: Vec<_> = (0..blocks).map(|n| BlockHash(document * 10_000 + n)).collect();
    Job { prompt_tokens: blocks.len() as u32 * 64 + 10, blocks: blocks.into(), ..job(now) }
}
