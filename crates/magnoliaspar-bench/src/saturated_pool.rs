//! A saturated pool on which the control cost of a request is measured.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use magnoliaspar_core::{
    BLOCK_TOKENS, BlockHash, Clock, JobKey, ManualClock, ServerKey, ServerName, WorkspaceName,
};
use magnoliaspar_policy::{
    Action, Job, LoadReport, Policy, Scheduler, ServerSpec, Urgency, Weights,
};
use slotmap::SecondaryMap;

use crate::deployment::Deployment;

/// Number of document blocks at the start of a prompt.
const PROMPT_BLOCKS: u64 = 32;

/// Number of documents with which prompts begin.
const DOCUMENTS: u64 = 4_096;

/// Number of cached prompts per server of the pool.
const CACHED_PROMPTS_PER_SERVER: usize = 20;

/// Number of progress messages to the policy per answer.
const PROGRESS_MESSAGES: u32 = 12;

/// Number of tokens between two progress messages of an answer.
const PROGRESS_TOKENS: u32 = 16;

/// Number of workspaces that send jobs.
const WORKSPACES: u64 = 64;

/// Time between two jobs, multiplied by the number of servers in the pool.
const INTERVAL_PER_SERVER: Duration = Duration::from_millis(500);

/// A pool whose decode slots are full and whose queue has waiting jobs.
pub struct SaturatedPool {
    policy: Box<dyn Policy>,
    now: Instant,
    interval: Duration,
    decoding: VecDeque<JobKey>,
    servers: Vec<ServerKey>,
    /// The prompts of the jobs that are not yet prefilled.
    prompts: SecondaryMap<JobKey, Box<[BlockHash]>>,
    /// The prompts in the prefix caches, oldest first.
    cached: VecDeque<(ServerKey, Box<[BlockHash]>)>,
    submitted: u64,
    workspaces: Box<[WorkspaceName]>,
}

impl SaturatedPool {
    /// Creates a pool of `servers` servers with full decode slots and `waiting` queued jobs.
    pub fn new(servers: usize, waiting: usize) -> Self {
        let mut pool = Self {
            policy: Box::new(Scheduler::new()),
            now: ManualClock::new().now(),
            interval: INTERVAL_PER_SERVER / servers as u32,
            decoding: VecDeque::new(),
            servers: Vec::new(),
            prompts: SecondaryMap::new(),
            cached: VecDeque::new(),
            submitted: 0,
            workspaces: workspaces(),
        };
        let specs = specs(servers);
        let slots = pool.add_servers(specs);
        for _ in 0..slots {
            pool.submit();
            pool.now += pool.interval;
            pool.complete_actions();
        }
        for _ in 0..waiting {
            pool.submit();
        }
        pool.complete_actions();
        pool
    }

    /// Finishes one request and submits another. Returns the number of requests that started to
    /// decode.
    pub fn cycle(&mut self) -> usize {
        if let Some(job) = self.decoding.pop_front() {
            for message in 1..=PROGRESS_MESSAGES {
                self.policy.progressed(self.now, job, message * PROGRESS_TOKENS);
            }
            self.policy.finished(self.now, job);
        }
        self.report_load();
        self.submit();
        self.now += self.interval;
        self.complete_actions()
    }

    /// Adds servers and returns the total number of their decode slots.
    fn add_servers(&mut self, specs: Vec<ServerSpec>) -> u32 {
        let mut slots = 0;
        for spec in specs {
            if spec.role == magnoliaspar_policy::Role::Decode {
                slots += spec.slots;
            }
            self.servers.push(self.policy.add_server(self.now, spec));
        }
        slots
    }

    fn submit(&mut self) {
        self.submitted += 1;
        let job = self.job(self.submitted);
        let prompt = job.blocks.clone();
        let key = self.policy.submit(self.now, job);
        self.prompts.insert(key, prompt);
    }

    /// Completes all actions of the policy at once, until it returns no more. Returns the number of
    /// requests that started to decode.
    fn complete_actions(&mut self) -> usize {
        let mut started = 0;
        loop {
            let actions = self.policy.poll(self.now);
            if actions.is_empty() {
                return started;
            }
            for action in actions {
                match action {
                    Action::Prefill { job, server, .. } => {
                        let held_until = self.now + Duration::from_millis(800);
                        self.policy.prefilled(self.now, job, 0, held_until);
                        self.publish_cache_events(job, server);
                    }
                    Action::Transfer { job, .. } => {
                        self.policy.transferred(self.now, job);
                        self.decoding.push_back(job);
                        started += 1;
                    }
                    Action::Refuse { job, .. } => {
                        self.prompts.remove(job);
                    }
                }
            }
        }
    }

    /// Sends the cache events of a prefilled prompt and of the oldest prompt, which it evicts if
    /// the caches are full.
    fn publish_cache_events(&mut self, job: JobKey, server: ServerKey) {
        let Some(prompt) = self.prompts.remove(job) else { return };
        self.policy.cache_events(self.now, server, &prompt, &[], false);
        self.cached.push_back((server, prompt));
        if self.cached.len() <= CACHED_PROMPTS_PER_SERVER * self.servers.len() {
            return;
        }
        let Some((server, prompt)) = self.cached.pop_front() else { return };
        self.policy.cache_events(self.now, server, &[], &prompt, false);
    }

    /// Sends the load report of one server. A load report arrives about as often as a request.
    fn report_load(&mut self) {
        let server = self.servers[self.submitted as usize % self.servers.len()];
        let report = LoadReport {
            made_at: self.now,
            running: 0,
            waiting: 0,
            used_pieces: 0,
            queued_tokens: 0,
        };
        self.policy.report(self.now, server, report);
    }

    fn job(&self, number: u64) -> Job {
        let first = (number % DOCUMENTS) * PROMPT_BLOCKS;
        let mut blocks = Vec::new();
        for block in first..first + PROMPT_BLOCKS {
            blocks.push(BlockHash(block));
        }
        // The block of the question is unique to each prompt.
        blocks.push(BlockHash(u64::MAX - number));
        Job {
            workspace: self.workspaces[(number % WORKSPACES) as usize].clone(),
            share: 1,
            blocks: blocks.into(),
            prompt_tokens: (PROMPT_BLOCKS as u32 + 1) * BLOCK_TOKENS,
            max_output_tokens: 256,
            expected_output_tokens: 128,
            accepted_at: self.now,
            ttft_target: Duration::from_secs(86_400),
            deadline: None,
            urgency: Urgency::Deferrable,
            weights: Weights::default(),
            is_suspect: false,
        }
    }
}

fn workspaces() -> Box<[WorkspaceName]> {
    let mut workspaces = Vec::new();
    for number in 0..WORKSPACES {
        let name = format!("workspace-{number}");
        let name = WorkspaceName::try_from(name.as_str());
        workspaces.push(name.expect("the name has only allowed letters"));
    }
    workspaces.into()
}

/// Returns the specifications of `servers` servers, a quarter of which are prefill engines.
fn specs(servers: usize) -> Vec<ServerSpec> {
    let mut deployment = Deployment::benang_merah();
    let prefill_engines = (servers / 4).max(1);
    deployment.prefill_engines = prefill_engines as u32;
    deployment.decode_engines = (servers - prefill_engines) as u32;
    let mut specs = deployment.servers();
    for (number, spec) in specs.iter_mut().enumerate() {
        let name = format!("server-{number}");
        spec.name = ServerName::try_from(name.as_str()).expect("the name is short");
    }
    specs
}
