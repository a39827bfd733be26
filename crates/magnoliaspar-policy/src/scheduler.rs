use std::collections::VecDeque;
use std::time::Instant;

use magnoliaspar_core::{BlockHash, JobKey, ServerKey};
use slotmap::SlotMap;

use crate::{Action, FailedStage, Job, LoadReport, Policy, RefuseReason, Role, ServerSpec};

/// The policy that serves requests: first come, first served, onto the server with the fewest jobs.
#[derive(Debug, Default)]
pub struct Scheduler {
    servers: SlotMap<ServerKey, Server>,
    jobs: SlotMap<JobKey, JobState>,
    queue: VecDeque<JobKey>,
    actions: Vec<Action>,
}

#[derive(Debug)]
struct Server {
    spec: ServerSpec,
    is_sealed: bool,
    running: u32,
}

#[derive(Debug)]
struct JobState {
    prefill: Option<ServerKey>,
    decode: Option<ServerKey>,
    failures: u32,
}

/// How often a job is tried again before it is refused.
const MAX_FAILURES: u32 = 2;

impl Scheduler {
    /// Creates a scheduler without servers.
    pub fn new() -> Self {
        Self::default()
    }

    fn pick(&self, role: Role) -> Option<ServerKey> {
        let mut best: Option<(u32, ServerKey)> = None;
        for (key, server) in &self.servers {
            if server.spec.role != role || server.is_sealed || server.running >= server.spec.slots {
                continue;
            }
            if best.is_none_or(|(running, _)| server.running < running) {
                best = Some((server.running, key));
            }
        }
        best.map(|(_, key)| key)
    }

    fn release(&mut self, server: Option<ServerKey>) {
        let Some(server) = server.and_then(|key| self.servers.get_mut(key)) else { return };
        server.running = server.running.saturating_sub(1);
    }

    fn end(&mut self, job: JobKey) {
        let Some(state) = self.jobs.remove(job) else { return };
        self.queue.retain(|queued| *queued != job);
        self.release(state.prefill);
        self.release(state.decode);
    }
}

impl Policy for Scheduler {
    fn add_server(&mut self, _now: Instant, spec: ServerSpec) -> ServerKey {
        for (key, server) in &mut self.servers {
            if server.spec.name == spec.name {
                server.spec = spec;
                return key;
            }
        }
        self.servers.insert(Server { spec, is_sealed: false, running: 0 })
    }

    fn seal_server(&mut self, _now: Instant, server: ServerKey) {
        let Some(server) = self.servers.get_mut(server) else { return };
        server.is_sealed = true;
    }

    fn remove_server(&mut self, _now: Instant, server: ServerKey) {
        self.servers.remove(server);
    }

    fn submit(&mut self, _now: Instant, _job: Job) -> JobKey {
        let job = self.jobs.insert(JobState { prefill: None, decode: None, failures: 0 });
        self.queue.push_back(job);
        job
    }

    fn prefilled(&mut self, _now: Instant, job: JobKey, _cached: u32, _held_until: Instant) {
        let Some(state) = self.jobs.get(job) else { return };
        let (Some(prefill), Some(decode)) = (state.prefill, state.decode) else { return };
        self.actions.push(Action::Transfer { job, prefill, decode });
    }

    fn transferred(&mut self, _now: Instant, job: JobKey) {
        let Some(state) = self.jobs.get_mut(job) else { return };
        let prefill = state.prefill.take();
        self.release(prefill);
    }

    fn progressed(&mut self, _now: Instant, _job: JobKey, _tokens: u32) {}

    fn finished(&mut self, _now: Instant, job: JobKey) {
        self.end(job);
    }

    fn cancelled(&mut self, _now: Instant, job: JobKey) {
        self.end(job);
    }

    fn failed(&mut self, _: Instant, job: JobKey, _: FailedStage, _held: Option<Instant>) {
        let Some(state) = self.jobs.get_mut(job) else { return };
        state.failures += 1;
        let failures = state.failures;
        let (prefill, decode) = (state.prefill.take(), state.decode.take());
        self.release(prefill);
        self.release(decode);
        if failures <= MAX_FAILURES {
            self.queue.push_back(job);
            return;
        }
        self.jobs.remove(job);
        let reason = RefuseReason::RetriesExhausted;
        self.actions.push(Action::Refuse { job, reason, retry_after: None });
    }

    fn report(&mut self, _now: Instant, _server: ServerKey, _report: LoadReport) {}

    fn cache_events(
        &mut self,
        _now: Instant,
        _server: ServerKey,
        _stored: &[BlockHash],
        _evicted: &[BlockHash],
        _gap: bool,
    ) {
    }

    fn poll(&mut self, _now: Instant) -> Vec<Action> {
        while let Some(job) = self.queue.front().copied() {
            let (Some(prefill), Some(decode)) = (self.pick(Role::Prefill), self.pick(Role::Decode))
            else {
                break;
            };
            self.queue.pop_front();
            let Some(state) = self.jobs.get_mut(job) else { continue };
            state.prefill = Some(prefill);
            state.decode = Some(decode);
            self.servers[prefill].running += 1;
            self.servers[decode].running += 1;
            self.actions.push(Action::Prefill { job, server: prefill, decode: Some(decode) });
        }
        std::mem::take(&mut self.actions)
    }

    fn next_poll(&self) -> Option<Instant> {
        None
    }
}
