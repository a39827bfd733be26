//! Policies in common use, against which the policy under test is compared.

mod placement;

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use magnoliaspar_core::{BLOCK_TOKENS, BlockHash, JobKey, ServerKey};
use magnoliaspar_policy::{
    Action, FailedStage, Job, LoadReport, Policy, RefuseReason, Role, ServerSpec, Urgency,
};
use slotmap::SlotMap;

pub use self::placement::Placement;

/// A policy that does not reserve decode slots.
///
/// It limits the number of jobs on each prefill engine and serves jobs first that can still meet
/// the TTFT target. It refuses late interactive jobs and jobs that exceed the queue limit. If a
/// decode engine is full, it retries with other decode engines while the KV cache is held.
#[derive(Debug)]
pub struct Baseline {
    placement: Placement,
    servers: SlotMap<ServerKey, ServerState>,
    jobs: SlotMap<JobKey, JobState>,
    /// The queue of jobs that can still meet the TTFT target, or that have produced tokens.
    on_time: VecDeque<JobKey>,
    /// The queue of deferrable jobs that can no longer meet the TTFT target.
    late: VecDeque<JobKey>,
    /// The jobs whose KV cache is held and that wait for a decode engine.
    held: Vec<JobKey>,
    actions: Vec<Action>,
    /// The number of choices of a server so far.
    choice_count: u64,
}

/// The state of a server as a baseline knows it.
#[derive(Debug)]
struct ServerState {
    spec: ServerSpec,
    is_cordoned: bool,
    report: Option<LoadReport>,
    blocks: BTreeSet<BlockHash>,
    /// The number of jobs that were assigned to the server and have not left it.
    jobs: u32,
    /// The number of uncached tokens of these jobs that are not yet prefilled, as estimated from
    /// the cache events.
    pending_prefill_tokens: u64,
    /// The times of the assignments that the last report does not include.
    unreported_assignments: VecDeque<Instant>,
    /// The sequence number of the last choice of this server.
    last_chosen: u64,
}

impl ServerState {
    /// Returns the number of tokens of a prompt that the server has not cached, as estimated from
    /// its cache events.
    fn uncached_tokens(&self, job: &Job) -> u64 {
        let mut cached = 0;
        for block in &job.blocks {
            if !self.blocks.contains(block) {
                break;
            }
            cached += BLOCK_TOKENS;
        }
        u64::from(job.prompt_tokens.saturating_sub(cached))
    }
}

#[derive(Debug)]
struct JobState {
    job: Job,
    prefill: Option<ServerKey>,
    decode: Option<ServerKey>,
    pending_prefill_tokens: u64,
    has_tokens: bool,
    failures: u32,
    held_until: Option<Instant>,
    retry_at: Instant,
}

/// Maximum number of queued jobs.
const MAX_QUEUED_JOBS: usize = 256;

/// Maximum queueing time of an on-time job, as a fraction of its TTFT target.
const MAX_QUEUE_TIME_SHARE: f64 = 0.2;

/// Maximum number of retries before a job is refused.
const MAX_FAILURES: u32 = 5;

/// Delay before a transfer is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

impl Baseline {
    /// Creates a policy that chooses servers by `placement`.
    pub fn new(placement: Placement) -> Self {
        Self {
            placement,
            servers: SlotMap::with_key(),
            jobs: SlotMap::with_key(),
            on_time: VecDeque::new(),
            late: VecDeque::new(),
            held: Vec::new(),
            actions: Vec::new(),
            choice_count: 0,
        }
    }

    /// Chooses the server with the lowest cost among those that may take a job, and records the
    /// assignment.
    fn select_server(&mut self, now: Instant, role: Role, job: JobKey) -> Option<ServerKey> {
        let job = &self.jobs[job].job;
        let max_prefill_jobs = self.placement.max_prefill_jobs();
        let mut best = None;
        for (key, server_state) in &self.servers {
            if server_state.spec.role != role || server_state.is_cordoned {
                continue;
            }
            if role == Role::Prefill && server_state.jobs >= max_prefill_jobs {
                continue;
            }
            let cost = (self.placement.cost(server_state, job), server_state.last_chosen);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, key));
            }
        }
        let (_, key) = best?;
        self.choice_count += 1;
        let server_state = &mut self.servers[key];
        server_state.last_chosen = self.choice_count;
        server_state.unreported_assignments.push_back(now);
        Some(key)
    }

    fn release(&mut self, server: Option<ServerKey>) {
        let Some(server_state) = server.and_then(|key| self.servers.get_mut(key)) else { return };
        server_state.jobs = server_state.jobs.saturating_sub(1);
    }

    /// Removes the prompt of a job from the pending prefill tokens of its server, because it was
    /// prefilled or will not be.
    fn clear_pending_prefill(&mut self, key: JobKey) {
        let Some(state) = self.jobs.get_mut(key) else { return };
        let tokens = std::mem::take(&mut state.pending_prefill_tokens);
        let Some(server_state) = state.prefill.and_then(|key| self.servers.get_mut(key)) else {
            return;
        };
        server_state.pending_prefill_tokens =
            server_state.pending_prefill_tokens.saturating_sub(tokens);
    }

    fn release_all(&mut self, key: JobKey) {
        self.clear_pending_prefill(key);
        let Some(state) = self.jobs.get_mut(key) else { return };
        let (prefill, decode) = (state.prefill.take(), state.decode.take());
        self.release(prefill);
        self.release(decode);
    }

    fn remove_job(&mut self, key: JobKey) {
        self.release_all(key);
        self.jobs.remove(key);
        self.on_time.retain(|queued| *queued != key);
        self.late.retain(|queued| *queued != key);
        self.held.retain(|held| *held != key);
    }

    fn refuse(&mut self, job: JobKey, reason: RefuseReason) {
        self.remove_job(job);
        self.actions.push(Action::Refuse { job, reason, retry_after: None });
    }

    /// Moves deferrable jobs that have waited too long for their target behind the others, and
    /// refuses interactive ones.
    fn demote_late_jobs(&mut self, now: Instant) {
        for key in std::mem::take(&mut self.on_time) {
            let state = &self.jobs[key];
            let is_late =
                now > state.job.accepted_at + state.job.ttft_target.mul_f64(MAX_QUEUE_TIME_SHARE);
            if !is_late || state.has_tokens {
                self.on_time.push_back(key);
            } else if state.job.urgency == Urgency::Interactive {
                self.refuse(key, RefuseReason::TargetMissed);
            } else {
                self.late.push_back(key);
            }
        }
    }

    fn start_prefills(&mut self, now: Instant) {
        while let Some(key) = self.on_time.front().or(self.late.front()).copied() {
            let Some(server) = self.select_server(now, Role::Prefill, key) else { return };
            if self.on_time.pop_front().is_none() {
                self.late.pop_front();
            }
            let server_state = &mut self.servers[server];
            let state = &mut self.jobs[key];
            state.prefill = Some(server);
            state.pending_prefill_tokens = server_state.uncached_tokens(&state.job);
            server_state.jobs += 1;
            server_state.pending_prefill_tokens += state.pending_prefill_tokens;
            self.actions.push(Action::Prefill { job: key, server, decode: None });
        }
    }

    fn start_transfers(&mut self, now: Instant) {
        for key in std::mem::take(&mut self.held) {
            let state = &self.jobs[key];
            if state.held_until.is_none_or(|until| until <= now) {
                self.requeue(key);
                continue;
            }
            if now < state.retry_at {
                self.held.push(key);
                continue;
            }
            self.start_transfer(now, key);
        }
    }

    fn start_transfer(&mut self, now: Instant, key: JobKey) {
        let Some(prefill) = self.jobs[key].prefill else { return };
        let Some(decode) = self.select_server(now, Role::Decode, key) else {
            self.held.push(key);
            return;
        };
        self.servers[decode].jobs += 1;
        self.jobs[key].decode = Some(decode);
        self.actions.push(Action::Transfer { job: key, prefill, decode });
    }

    fn requeue(&mut self, key: JobKey) {
        self.release_all(key);
        let state = &mut self.jobs[key];
        state.held_until = None;
        state.failures += 1;
        if state.failures > MAX_FAILURES && !state.has_tokens {
            self.refuse(key, RefuseReason::RetriesExhausted);
            return;
        }
        self.on_time.push_front(key);
    }
}

impl Policy for Baseline {
    fn add_server(&mut self, _now: Instant, spec: ServerSpec) -> ServerKey {
        self.servers.insert(ServerState {
            spec,
            is_cordoned: false,
            report: None,
            blocks: BTreeSet::new(),
            jobs: 0,
            pending_prefill_tokens: 0,
            unreported_assignments: VecDeque::new(),
            last_chosen: 0,
        })
    }

    fn cordon_server(&mut self, _now: Instant, server: ServerKey) {
        let Some(server_state) = self.servers.get_mut(server) else { return };
        server_state.is_cordoned = true;
    }

    fn remove_server(&mut self, _now: Instant, server: ServerKey) {
        self.servers.remove(server);
    }

    fn submit(&mut self, now: Instant, job: Job) -> JobKey {
        let is_full = self.on_time.len() + self.late.len() >= MAX_QUEUED_JOBS;
        let key = self.jobs.insert(JobState {
            job,
            prefill: None,
            decode: None,
            pending_prefill_tokens: 0,
            has_tokens: false,
            failures: 0,
            held_until: None,
            retry_at: now,
        });
        if is_full {
            self.refuse(key, RefuseReason::QueueFull);
        } else {
            self.on_time.push_back(key);
        }
        key
    }

    fn prefilled(&mut self, now: Instant, job: JobKey, _cached_tokens: u32, held_until: Instant) {
        self.clear_pending_prefill(job);
        let Some(state) = self.jobs.get_mut(job) else { return };
        state.held_until = Some(held_until);
        state.retry_at = now;
        self.held.push(job);
    }

    fn transferred(&mut self, _now: Instant, job: JobKey) {
        let Some(state) = self.jobs.get_mut(job) else { return };
        let prefill = state.prefill.take();
        self.release(prefill);
    }

    fn progressed(&mut self, _now: Instant, job: JobKey, _tokens: u32) {
        let Some(state) = self.jobs.get_mut(job) else { return };
        state.has_tokens = true;
    }

    fn finished(&mut self, _now: Instant, job: JobKey) {
        self.remove_job(job);
    }

    fn cancelled(&mut self, _now: Instant, job: JobKey) {
        self.remove_job(job);
    }

    fn failed(
        &mut self,
        now: Instant,
        job: JobKey,
        _stage: FailedStage,
        kv_held_until: Option<Instant>,
    ) {
        let Some(state) = self.jobs.get_mut(job) else { return };
        let decode = state.decode.take();
        let can_export = kv_held_until.is_some() && state.prefill.is_some();
        state.held_until = kv_held_until;
        state.retry_at = now + RETRY_INTERVAL;
        self.release(decode);
        if can_export {
            self.held.push(job);
        } else {
            self.requeue(job);
        }
    }

    fn report(&mut self, _now: Instant, server: ServerKey, report: LoadReport) {
        let Some(server_state) = self.servers.get_mut(server) else { return };
        server_state.report = Some(report);
        while server_state.unreported_assignments.front().is_some_and(|at| *at < report.made_at) {
            server_state.unreported_assignments.pop_front();
        }
    }

    fn cache_events(
        &mut self,
        _now: Instant,
        server: ServerKey,
        stored: &[BlockHash],
        evicted: &[BlockHash],
        _gap: bool,
    ) {
        let Some(server_state) = self.servers.get_mut(server) else { return };
        server_state.blocks.extend(stored);
        for block in evicted {
            server_state.blocks.remove(block);
        }
    }

    fn poll(&mut self, now: Instant) -> Vec<Action> {
        self.demote_late_jobs(now);
        self.start_transfers(now);
        self.start_prefills(now);
        std::mem::take(&mut self.actions)
    }

    fn next_poll(&self) -> Option<Instant> {
        let mut next = None;
        for key in &self.held {
            let at = self.jobs[*key].retry_at;
            next = Some(next.map_or(at, |before: Instant| before.min(at)));
        }
        next
    }
}
