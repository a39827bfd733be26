use std::collections::VecDeque;
use std::fmt::Write;
use std::time::{Duration, Instant};

use magnoliaspar_core::{
    BLOCK_TOKENS, BlockHash, Clock, JobKey, ManualClock, ServerKey, ServerName, WorkspaceName,
};
use magnoliaspar_policy::{
    Action, Job, LoadReport, Policy, Scheduler, ServerSpec, Urgency, Weights,
};
use slotmap::SecondaryMap;

use crate::deployment::Deployment;

/// The control time that the design size leaves for one request.
pub const DECISION_BUDGET: Duration = Duration::from_micros(217);

/// The numbers of servers for which decisions are timed.
pub const SERVERS: [usize; 5] = [4, 16, 64, 256, 1_000];

/// The numbers of waiting jobs for which decisions are timed.
pub const WAITING: [usize; 5] = [10, 100, 1_000, 10_000, 100_000];

/// The most decisions that are timed for one cell of the table.
const MAX_CYCLES: u32 = 2_000;

/// The longest time that is spent on one cell of the table.
const MAX_CELL_TIME: Duration = Duration::from_millis(400);

/// The blocks of a prompt.
const PROMPT_BLOCKS: u64 = 32;

/// The number of documents with which prompts begin.
const DOCUMENTS: u64 = 4_096;

/// How many prompts each server of the pool keeps in its cache.
const CACHED_PROMPTS_PER_SERVER: usize = 20;

/// How often the policy is told of the progress of each answer.
const PROGRESS_MESSAGES: u32 = 12;

/// How many tokens an answer gains between two messages.
const PROGRESS_TOKENS: u32 = 16;

/// The number of workspaces that send jobs.
const WORKSPACES: u64 = 64;

/// The time between two jobs for each server of the pool.
const INTERVAL_PER_SERVER: Duration = Duration::from_millis(500);

/// A pool that is full and has jobs waiting, for timing what one request costs.
pub struct Workbench {
    policy: Box<dyn Policy>,
    now: Instant,
    interval: Duration,
    decoding: VecDeque<JobKey>,
    servers: Vec<ServerKey>,
    /// The prompts of the jobs that have not been read.
    prompts: SecondaryMap<JobKey, Box<[BlockHash]>>,
    /// The prompts in the caches, the oldest first.
    cached: VecDeque<(ServerKey, Box<[BlockHash]>)>,
    submitted: u64,
    workspaces: Box<[WorkspaceName]>,
}

impl Workbench {
    /// Fills a pool of `servers` servers and adds `waiting` jobs to its queue.
    pub fn new(servers: usize, waiting: usize) -> Self {
        let mut bench = Self {
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
        let slots = bench.add_servers(specs);
        for _ in 0..slots {
            bench.submit();
            bench.now += bench.interval;
            bench.settle();
        }
        for _ in 0..waiting {
            bench.submit();
        }
        bench.settle();
        bench
    }

    /// Lets one request finish and another one take its place; returns how many began to decode.
    pub fn cycle(&mut self) -> usize {
        if let Some(job) = self.decoding.pop_front() {
            for message in 1..=PROGRESS_MESSAGES {
                self.policy.progressed(self.now, job, message * PROGRESS_TOKENS);
            }
            self.policy.finished(self.now, job);
        }
        self.report();
        self.submit();
        self.now += self.interval;
        self.settle()
    }

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

    /// Carries out all orders at once.
    fn settle(&mut self) -> usize {
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
                        self.publish(job, server);
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

    /// Sends the cache events of a prompt that was read, and of the one that left for it.
    fn publish(&mut self, job: JobKey, server: ServerKey) {
        let Some(prompt) = self.prompts.remove(job) else { return };
        self.policy.cache_events(self.now, server, &prompt, &[], false);
        self.cached.push_back((server, prompt));
        if self.cached.len() <= CACHED_PROMPTS_PER_SERVER * self.servers.len() {
            return;
        }
        let Some((server, prompt)) = self.cached.pop_front() else { return };
        self.policy.cache_events(self.now, server, &[], &prompt, false);
    }

    /// Sends the load report of one server, which comes about as often as a request.
    fn report(&mut self) {
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
        // The question is in no other prompt.
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

/// Times what one request costs as pool and queue grow, as a table in markdown.
///
/// The starts for each request show that the time is that of requests which are served.
pub fn slopes() -> String {
    let mut text =
        String::from("| servers | waiting | µs a request | of the budget | starts a request |\n");
    text.push_str("|---|---|---|---|---|\n");
    let mut first_row = Vec::new();
    let mut first_column = Vec::new();
    for servers in SERVERS {
        for waiting in WAITING {
            let (cost, starts) = cost(servers, waiting);
            let share = cost.div_duration_f64(DECISION_BUDGET);
            let micros = cost.as_secs_f64() * 1e6;
            let _ = write!(text, "| {servers} | {waiting} | {micros:.1} | {share:.2} |");
            let _ = writeln!(text, " {starts:.2} |");
            if servers == SERVERS[0] {
                first_row.push((waiting, cost));
            }
            if waiting == WAITING[2] {
                first_column.push((servers, cost));
            }
        }
    }
    let by_waiting = slope(&first_row);
    let by_servers = slope(&first_column);
    let _ = writeln!(text, "\nSlope for each server: {by_servers:.4} µs.");
    let _ = writeln!(text, "Slope for each waiting job: {by_waiting:.6} µs.");
    text
}

/// Returns what one request costs and how many requests begin to decode for each that comes.
fn cost(servers: usize, waiting: usize) -> (Duration, f64) {
    let mut bench = Workbench::new(servers, waiting);
    let mut cycles = 0;
    let mut starts = 0;
    let start = Instant::now();
    while cycles < MAX_CYCLES && start.elapsed() < MAX_CELL_TIME {
        starts += bench.cycle();
        cycles += 1;
    }
    (start.elapsed() / cycles, starts as f64 / f64::from(cycles))
}

/// Returns the slope of the least-squares line in microseconds.
fn slope(points: &[(usize, Duration)]) -> f64 {
    let count = points.len() as f64;
    let (mut sum_x, mut sum_y, mut sum_xx, mut sum_xy) = (0.0, 0.0, 0.0, 0.0);
    for (size, cost) in points {
        let (x, y) = (*size as f64, cost.as_secs_f64() * 1e6);
        sum_x += x;
        sum_y += y;
        sum_xx += x * x;
        sum_xy += x * y;
    }
    (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x)
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

/// Returns the specifications of `servers` servers, a quarter of which read prompts.
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
