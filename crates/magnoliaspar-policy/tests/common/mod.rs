//! Servers, jobs and a small driver for the tests of the scheduler.

#![allow(dead_code)]

use std::time::{Duration, Instant};

use magnoliaspar_core::{BlockHash, JobKey, ServerKey, ServerName, WorkspaceName, ZoneName};
use magnoliaspar_policy::{
    Action, Job, Policy, Role, Scheduler, SchedulerSettings, ServerSpec, Urgency, Weights,
};

/// The tokens that a prefill engine reads in a second.
pub const READ_RATE: f64 = 10_000.0;

/// The tokens of KV cache that a link carries in a second.
pub const LINK_RATE: f64 = 40_000.0;

/// The seconds that a decode engine takes for a token.
pub const STEP: f64 = 0.02;

/// A scheduler in virtual time.
pub struct Bench {
    pub scheduler: Scheduler,
    pub start: Instant,
    pub now: Instant,
}

impl Bench {
    pub fn new(prefill: usize, decode: usize) -> Self {
        Self::with_settings(prefill, decode, SchedulerSettings::default())
    }

    pub fn with_settings(prefill: usize, decode: usize, settings: SchedulerSettings) -> Self {
        let start = Instant::now();
        let mut bench = Self { scheduler: Scheduler::with_settings(settings), start, now: start };
        for n in 0..prefill {
            bench.scheduler.add_server(start, spec(Role::Prefill, &format!("p{n}"), "a"));
        }
        for n in 0..decode {
            bench.scheduler.add_server(start, spec(Role::Decode, &format!("d{n}"), "a"));
        }
        bench
    }

    pub fn add(&mut self, spec: ServerSpec) -> ServerKey {
        self.scheduler.add_server(self.now, spec)
    }

    pub fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    pub fn submit(&mut self, job: Job) -> JobKey {
        self.scheduler.submit(self.now, job)
    }

    pub fn poll(&mut self) -> Vec<Action> {
        self.scheduler.poll(self.now)
    }

    /// Reports the prefill of a job as done, with the usual hold time.
    pub fn prefilled(&mut self, job: JobKey) {
        let held_until = self.now + Duration::from_millis(800);
        self.scheduler.prefilled(self.now, job, 0, held_until);
    }

    /// Submits a job and takes it to the point where it decodes; returns its engines.
    pub fn run_to_decode(&mut self, job: Job) -> (JobKey, ServerKey, ServerKey) {
        let job = self.submit(job);
        let actions = self.poll();
        assert_eq!(prefill_of(&actions, job).map(|_| ()), Some(()), "{actions:?}");
        self.pass(200);
        self.prefilled(job);
        let actions = self.poll();
        let Some((prefill, decode)) = transfer_of(&actions, job) else { panic!("{actions:?}") };
        self.pass(50);
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
        prefill_tokens_per_second: READ_RATE,
        link_tokens_per_second: LINK_RATE,
        seconds_per_token: STEP,
        hold_seconds: 0.8,
    }
}

/// Returns an interactive job with a prompt of 2,000 tokens, which takes 200 ms to read.
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

/// Returns a job with a prompt of whole blocks that begins with a document.
pub fn job_on(now: Instant, document: u64, blocks: u64) -> Job {
    let blocks: Vec<_> = (0..blocks).map(|n| BlockHash(document * 10_000 + n)).collect();
    Job { prompt_tokens: blocks.len() as u32 * 64 + 10, blocks: blocks.into(), ..job(now) }
}
