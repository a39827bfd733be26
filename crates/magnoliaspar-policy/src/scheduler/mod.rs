//! The scheduler, which combines queue, placement and load accounting into a [`Policy`].

mod failure;
mod isolation;
mod start;
mod transfer;
mod waiting;

use std::collections::BTreeSet;
use std::time::Instant;

use magnoliaspar_core::{BlockHash, JobKey, ServerKey};
use slotmap::SlotMap;

use self::isolation::Isolation;
use crate::explain::{Explanation, RecentExplanations, WaitReason};
use crate::lateness::Lateness;
use crate::output::OutputLengths;
use crate::placement::Placement;
use crate::pool::Pool;
use crate::prefix::{BlockStatus, PrefixIndex};
use crate::queue::Queue;
use crate::release::ReleaseRate;
use crate::retry::RetryBudget;
use crate::state::{JobState, Stage};
use crate::{Action, FailedStage, Job, LoadReport, Policy, RefuseReason, Role};
use crate::{SchedulerSettings, ServerSpec, ServerUsage};

/// The number of produced tokens after which the predicted end of an answer is updated.
const PREDICTION_UPDATE_TOKENS: u32 = 8;

/// The policy that schedules requests in production.
///
/// A prefill starts only with a reservation on a decode engine. The design notes on the decision
/// policy describe how the parts work together.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    pool: Pool,
    jobs: SlotMap<JobKey, JobState>,
    queue: Queue,
    /// The waiting suspects, in the order in which they start.
    suspects: BTreeSet<(Instant, JobKey)>,
    isolation: Option<Isolation>,
    /// The jobs whose KV cache is held, ordered by expiry.
    held: BTreeSet<(Instant, JobKey)>,
    timers: BTreeSet<(Instant, JobKey)>,
    prefixes: PrefixIndex,
    output_lengths: OutputLengths,
    lateness: Lateness,
    release_rate: ReleaseRate,
    retry_budget: RetryBudget,
    recent_explanations: RecentExplanations,
    actions: Vec<Action>,
    /// True if an event since the last poll may allow a waiting job to start.
    is_changed: bool,
    recheck_at: Option<Instant>,
    polled_at: Option<Instant>,
}

impl Scheduler {
    /// Creates a scheduler without servers and with default settings.
    pub fn new() -> Self {
        Self::with_settings(SchedulerSettings::default())
    }

    /// Creates a scheduler without servers.
    pub fn with_settings(settings: SchedulerSettings) -> Self {
        Self {
            pool: Pool::default(),
            jobs: SlotMap::with_key(),
            queue: Queue::default(),
            suspects: BTreeSet::new(),
            isolation: None,
            held: BTreeSet::new(),
            timers: BTreeSet::new(),
            prefixes: PrefixIndex::new(settings.max_index_blocks),
            output_lengths: OutputLengths::new(),
            lateness: Lateness::new(),
            release_rate: ReleaseRate::new(),
            retry_budget: RetryBudget::new(settings.retry_budget),
            recent_explanations: RecentExplanations::default(),
            actions: Vec::new(),
            is_changed: false,
            recheck_at: None,
            polled_at: None,
            settings,
        }
    }

    /// Returns the number of jobs that wait for a prefill.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.suspects.len()
    }

    /// Returns the number of jobs that wait or run.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the load that the scheduler accounts for on a server.
    pub fn usage(&self, server: ServerKey) -> Option<ServerUsage> {
        let server = self.pool.get(server)?;
        let (running, reserved) = (server.decode_load.running(), server.decode_load.reserved());
        let external = server.decode_load.external();
        Some(ServerUsage {
            is_cordoned: server.is_cordoned,
            prefills: server.prefill_load.prefills(),
            prefill_pieces: server.prefill_load.pieces(),
            running: running.slots,
            running_pieces: running.pieces,
            reserved: reserved.slots,
            reserved_pieces: reserved.pieces,
            external: external.slots,
            transfers: server.link.transfer_count() as u32,
        })
    }

    fn placement(&self) -> Placement<'_> {
        Placement {
            pool: &self.pool,
            prefixes: &self.prefixes,
            release_rate: &self.release_rate,
            zone: self.settings.zone.as_ref(),
            cross_zone_slowdown: self.settings.cross_zone_slowdown,
        }
    }

    fn set_timer(&mut self, job: JobKey, timer: Option<Instant>) {
        let Some(state) = self.jobs.get_mut(job) else { return };
        if let Some(old) = std::mem::replace(&mut state.timer, timer) {
            self.timers.remove(&(old, job));
        }
        if let Some(new) = timer {
            self.timers.insert((new, job));
        }
    }

    fn record_wait(&mut self, now: Instant, job: JobKey, reason: WaitReason) {
        let Some(state) = self.jobs.get_mut(job) else { return };
        *state.explanation = Explanation::waiting(now, reason);
    }

    /// Returns the KV cache memory that a decode engine needs for a job, in tokens.
    fn memory_tokens(&self, state: &JobState) -> u32 {
        state.job.prompt_tokens.saturating_add(self.predicted_output_tokens(state))
    }

    /// Returns the predicted total length of a job's answer, in tokens.
    fn predicted_output_tokens(&self, state: &JobState) -> u32 {
        let job = &state.job;
        self.output_lengths.predict(
            job.expected_output_tokens,
            state.produced_tokens,
            job.max_output_tokens,
        )
    }

    /// Updates the predicted end and memory of a decoding job.
    fn update_prediction(&mut self, now: Instant, job: JobKey) {
        let Some(state) = self.jobs.get(job) else { return };
        let Stage::Decoding { decode } = state.stage else { return };
        let Some(server) = self.pool.get(decode) else { return };
        let remaining_tokens =
            self.predicted_output_tokens(state).saturating_sub(state.produced_tokens);
        let ends_at = now
            + crate::prefill_load::duration_from_secs(server.spec.seconds_per_token)
                * remaining_tokens;
        let pieces = server.job_pieces(self.memory_tokens(state));
        let produced_tokens = state.produced_tokens;
        self.pool.update(decode, |server| server.decode_load.update(job, pieces, ends_at));
        self.jobs[job].predicted_at_tokens = produced_tokens;
    }

    /// Removes a job from the queue and releases everything that it holds on servers.
    fn release(&mut self, now: Instant, job: JobKey) {
        self.set_timer(job, None);
        let Some(state) = self.jobs.get_mut(job) else { return };
        let stage = std::mem::replace(&mut state.stage, Stage::Paused);
        match stage {
            Stage::Queued(entry) => self.queue.remove(entry, job),
            Stage::AwaitingIsolation { order_at } => {
                self.suspects.remove(&(order_at, job));
            }
            Stage::Held { held_until, .. } => {
                self.held.remove(&(held_until, job));
            }
            _ => {}
        }
        if let Some(prefill) = stage.prefill() {
            self.pool.update(prefill, |server| {
                server.prefill_load.release(now, job);
                server.link.remove_transfer(job);
            });
        }
        if let Some(decode) = stage.decode() {
            self.release_rate.advance(now, self.pool.totals().running);
            if matches!(stage, Stage::Decoding { .. }) {
                self.release_rate.record_release();
            }
            self.pool.update(decode, |server| {
                server.decode_load.release(now, job);
                server.link.remove_transfer(job);
            });
        }
        self.is_changed = true;
    }

    /// Removes a job that has ended, and keeps its explanation for a while.
    fn remove_job(&mut self, now: Instant, job: JobKey) {
        self.release(now, job);
        let Some(state) = self.jobs.remove(job) else { return };
        if let Some(charge) = state.charged {
            let cost = charge.per_token * state.produced_tokens;
            self.queue.adjust_charge(state.workspace, charge.amount, cost);
        }
        self.queue.unregister_job(state.workspace);
        self.recent_explanations.push(job, state.explanation);
        if state.job.is_suspect {
            self.end_isolation(job);
        }
    }
}

impl Default for Scheduler {
    fn default() -> Self {
        Self::new()
    }
}

impl Policy for Scheduler {
    fn add_server(&mut self, now: Instant, spec: ServerSpec) -> ServerKey {
        let is_prefill = spec.role == Role::Prefill;
        let memory = u64::from(spec.memory_pieces) * u64::from(spec.piece_tokens);
        let key = self.pool.add(now, spec);
        if is_prefill {
            self.prefixes.add_server(key, memory);
        }
        self.is_changed = true;
        key
    }

    fn cordon_server(&mut self, now: Instant, server: ServerKey) {
        if self.pool.cordon(now, server) {
            self.move_reservations(now, server);
        }
        self.is_changed = true;
    }

    fn uncordon_server(&mut self, _now: Instant, server: ServerKey) {
        self.pool.uncordon(server);
        self.is_changed = true;
    }

    fn remove_server(&mut self, now: Instant, server: ServerKey) {
        self.pool.cordon(now, server);
        self.move_reservations(now, server);
        self.prefixes.remove_server(server);
        self.pool.remove(server);
        self.is_changed = true;
    }

    fn submit(&mut self, now: Instant, job: Job) -> JobKey {
        self.accept(now, job)
    }

    fn prefilled(&mut self, now: Instant, job: JobKey, _cached_tokens: u32, held_until: Instant) {
        let Some(state) = self.jobs.get_mut(job) else { return };
        let Stage::Prefilling { prefill, decode } = state.stage else { return };
        state.stage = Stage::Held { prefill, decode, held_until };
        state.kv_holder = Some(prefill);
        self.held.insert((held_until, job));
        self.set_timer(job, Some(held_until));
        self.pool.update(prefill, |server| {
            server.prefill_load.hold(now, job);
            server.record_success();
        });
        self.prefixes.record(now, prefill, &self.jobs[job].job.blocks, BlockStatus::Stored);
        self.is_changed = true;
    }

    fn transferred(&mut self, now: Instant, job: JobKey) {
        let Some(state) = self.jobs.get_mut(job) else { return };
        let Stage::Transferring { prefill, decode } = state.stage else { return };
        state.stage = Stage::Decoding { decode };
        self.pool.update(prefill, |server| {
            server.prefill_load.release(now, job);
            server.link.remove_transfer(job);
        });
        self.pool.update(decode, |server| server.link.remove_transfer(job));
        self.update_prediction(now, job);
        self.is_changed = true;
    }

    fn progressed(&mut self, now: Instant, job: JobKey, tokens: u32) {
        self.transferred(now, job);
        let Some(state) = self.jobs.get_mut(job) else { return };
        if tokens <= state.produced_tokens || !matches!(state.stage, Stage::Decoding { .. }) {
            return;
        }
        if let Some(predicted_at) = state.first_token_at.take().filter(|_| tokens == 1) {
            self.lateness.observe(predicted_at, now);
        }
        state.produced_tokens = tokens;
        if tokens >= state.predicted_at_tokens + PREDICTION_UPDATE_TOKENS {
            self.update_prediction(now, job);
        }
    }

    fn finished(&mut self, now: Instant, job: JobKey) {
        let Some(state) = self.jobs.get(job) else { return };
        if state.produced_tokens > 0 {
            self.output_lengths.observe(state.job.expected_output_tokens, state.produced_tokens);
        }
        if let Some(decode) = state.stage.decode() {
            self.pool.update(decode, |server| server.record_success());
        }
        self.retry_budget.refill();
        self.remove_job(now, job);
    }

    fn cancelled(&mut self, now: Instant, job: JobKey) {
        self.remove_job(now, job);
        // A refusal that was not returned by `poll` yet no longer has a recipient.
        self.actions
            .retain(|action| !matches!(action, Action::Refuse { job: of, .. } if *of == job));
    }

    fn failed(
        &mut self,
        now: Instant,
        job: JobKey,
        stage: FailedStage,
        kv_held_until: Option<Instant>,
    ) {
        self.recover(now, job, stage, kv_held_until);
    }

    fn report(&mut self, now: Instant, server: ServerKey, report: LoadReport) {
        self.pool.update(server, |server| {
            // Reports may arrive out of order. Only the newest one counts.
            if server.reported_at.is_some_and(|at| report.made_at <= at) {
                return;
            }
            server.reported_at = Some(report.made_at);
            match server.spec.role {
                Role::Prefill => server.prefill_load.apply_report(now, &server.spec, &report),
                Role::Decode => server.decode_load.apply_report(&report),
            }
        });
        self.is_changed = true;
    }

    fn cache_events(
        &mut self,
        now: Instant,
        server: ServerKey,
        stored: &[BlockHash],
        evicted: &[BlockHash],
        gap: bool,
    ) {
        if gap {
            self.prefixes.record_gap(now, server);
        }
        self.prefixes.record(now, server, stored, BlockStatus::Stored);
        self.prefixes.evict(now, server, evicted);
    }

    fn poll(&mut self, now: Instant) -> Vec<Action> {
        self.polled_at = Some(now);
        self.release_rate.advance(now, self.pool.totals().running);
        self.expire(now);
        if self.is_changed || self.recheck_at.is_some_and(|at| at <= now) {
            self.recheck_at = None;
            self.start_transfers(now);
            // A job whose KV cache expired may already be too late for a second prefill.
            self.expire(now);
            self.start_prefills(now);
            // Placements made above free no capacity, and jobs that lost their KV cache were
            // already considered again, so neither calls for another pass.
            self.is_changed = false;
        }
        std::mem::take(&mut self.actions)
    }

    fn next_poll(&self) -> Option<Instant> {
        let now = self.polled_at.filter(|_| self.is_changed || !self.actions.is_empty());
        let timer = self.timers.first().map(|(at, _)| *at);
        let mut next = None;
        for at in [now, timer, self.recheck_at].into_iter().flatten() {
            next = Some(next.map_or(at, |other: Instant| other.min(at)));
        }
        next
    }

    fn usage(&self, server: ServerKey) -> Option<ServerUsage> {
        Self::usage(self, server)
    }

    fn explain(&self, job: JobKey) -> Option<&Explanation> {
        match self.jobs.get(job) {
            Some(state) => Some(&state.explanation),
            None => self.recent_explanations.get(job),
        }
    }
}

/// Returns whether the reason for a refusal may soon pass, so that a retry is worthwhile.
fn is_transient(reason: RefuseReason) -> bool {
    !matches!(reason, RefuseReason::TooLarge | RefuseReason::DeadlineMissed)
}
