//! Waiting jobs: admission to the queue, wait timeouts and refusals.

use std::time::{Duration, Instant};

use magnoliaspar_core::JobKey;

use super::{Scheduler, is_transient};
use crate::explain::{Decision, Explanation, WaitReason};
use crate::margins::SafetyMargins;
use crate::placement::FIRST_TOKEN_STEPS;
use crate::prefill_load::duration_from_secs;
use crate::queue::QueueEntry;
use crate::state::{JobState, Stage};
use crate::{Action, Job, RefuseReason, Urgency};

/// The minimum time that a suspect may wait to run alone before it is refused.
const MIN_SUSPECT_TIMEOUT: Duration = Duration::from_secs(30);

/// The delay after which a caller may retry if the reason for the refusal may soon pass.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The action on a job that has waited as long as it can.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TimeoutAction {
    Refuse(RefuseReason),
    Deprioritize,
}

impl Scheduler {
    pub(super) fn accept(&mut self, now: Instant, job: Job) -> JobKey {
        let workspace = self.queue.register_job(&job.workspace, job.share);
        let key = self.jobs.insert(JobState {
            job,
            workspace,
            stage: Stage::Paused,
            produced_tokens: 0,
            predicted_at_tokens: 0,
            retries: 0,
            refusals: 0,
            is_past_target: false,
            avoided_server: None,
            kv_holder: None,
            charged: None,
            first_token_at: None,
            timer: None,
            explanation: Box::new(Explanation::waiting(now, WaitReason::Queued)),
        });
        if self.is_too_large(key) {
            self.refuse(now, key, RefuseReason::TooLarge);
        } else if self.make_room(now, key) {
            self.enqueue(now, key);
        } else {
            self.refuse(now, key, RefuseReason::QueueFull);
        }
        self.polled_at = self.polled_at.or(Some(now));
        key
    }

    /// Queues a job for its prefill.
    pub(super) fn enqueue(&mut self, now: Instant, job: JobKey) {
        let Some(state) = self.jobs.get(job) else { return };
        let (is_suspect, order_at) = (state.job.is_suspect, order_at(state));
        let entry = QueueEntry { workspace: state.workspace, class: state.class(), order_at };
        let timer = self.wait_timeout(now, state).map(|(at, _)| at);
        if is_suspect {
            self.suspects.insert((order_at, job));
            self.jobs[job].stage = Stage::AwaitingIsolation { order_at };
        } else {
            self.queue.push(entry, job);
            self.jobs[job].stage = Stage::Queued(entry);
        }
        self.set_timer(job, timer);
        self.is_changed = true;
    }

    /// Handles the jobs whose timer has expired.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some((at, job)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.set_timer(job, None);
            let Some(state) = self.jobs.get(job) else { continue };
            match state.stage {
                Stage::Queued(_) | Stage::AwaitingIsolation { .. } => {
                    self.handle_wait_timeout(now, job)
                }
                Stage::Paused => self.enqueue(now, job),
                Stage::Held { .. } => self.discard_held(now, job),
                _ => {}
            }
        }
    }

    /// Refuses a job that has produced no token.
    pub(super) fn refuse(&mut self, now: Instant, job: JobKey, reason: RefuseReason) {
        let Some(state) = self.jobs.get_mut(job) else { return };
        state.explanation.decision = Decision::Refuse(reason);
        state.explanation.decided_at = now;
        let retry_after = is_transient(reason).then_some(RETRY_AFTER);
        self.remove_job(now, job);
        self.actions.push(Action::Refuse { job, reason, retry_after });
    }

    fn handle_wait_timeout(&mut self, now: Instant, job: JobKey) {
        let Some(state) = self.jobs.get(job) else { return };
        let Some((at, action)) = self.wait_timeout(now, state) else { return };
        // Prefix cache hits may have shortened the job since its timer was set.
        if at > now {
            self.set_timer(job, Some(at));
            return;
        }
        match action {
            TimeoutAction::Refuse(reason) => self.refuse(now, job, reason),
            TimeoutAction::Deprioritize => {
                self.release(now, job);
                self.jobs[job].is_past_target = true;
                self.enqueue(now, job);
            }
        }
    }

    /// Returns the time until which a job can wait, and the action that is due then.
    fn wait_timeout(&self, now: Instant, state: &JobState) -> Option<(Instant, TimeoutAction)> {
        // A started answer is never refused, no matter how late it is.
        if state.produced_tokens > 0 {
            return None;
        }
        let by_target = self.target_timeout(now, state);
        let by_deadline = self.deadline_timeout(now, state);
        match (by_target, by_deadline) {
            (Some(one), Some(other)) => Some(if other.0 <= one.0 { other } else { one }),
            (one, other) => one.or(other),
        }
    }

    fn target_timeout(&self, now: Instant, state: &JobState) -> Option<(Instant, TimeoutAction)> {
        let job = &state.job;
        let has_servers = self.has_servers();
        if job.is_suspect && has_servers {
            let at = job.accepted_at + job.ttft_target.max(MIN_SUSPECT_TIMEOUT);
            return Some((at, TimeoutAction::Refuse(RefuseReason::TargetMissed)));
        }
        if !has_servers {
            return Some((state.target_at(), TimeoutAction::Refuse(RefuseReason::NoServer)));
        }
        if state.is_past_target {
            return None;
        }
        let action = match job.urgency {
            Urgency::Interactive => TimeoutAction::Refuse(RefuseReason::TargetMissed),
            Urgency::Deferrable => TimeoutAction::Deprioritize,
        };
        let min_ttft = self.min_ttft(now, job);
        let Some(slack) = job.ttft_target.checked_sub(min_ttft) else {
            return Some((job.accepted_at, action));
        };
        let margin = SafetyMargins::from(job.weights).target_margin(slack) + self.lateness.margin();
        Some((job.accepted_at + slack.saturating_sub(margin), action))
    }

    fn deadline_timeout(&self, now: Instant, state: &JobState) -> Option<(Instant, TimeoutAction)> {
        let job = &state.job;
        let deadline = job.deadline?;
        let steps = job.expected_output_tokens.saturating_sub(1);
        let decoding = duration_from_secs(self.pool.capabilities().seconds_per_token) * steps;
        let min_latency = self.min_ttft(now, job) + decoding;
        let at = deadline.checked_sub(min_latency).unwrap_or(job.accepted_at);
        Some((at, TimeoutAction::Refuse(RefuseReason::DeadlineMissed)))
    }

    /// Returns the time to the first token on an idle pool.
    fn min_ttft(&self, now: Instant, job: &Job) -> Duration {
        if !self.has_servers() {
            return Duration::ZERO;
        }
        let capabilities = self.pool.capabilities();
        let mut cached_tokens = 0;
        for server in self.prefixes.holders(&job.blocks, 2) {
            cached_tokens =
                cached_tokens.max(self.prefixes.cached_tokens(now, server, &job.blocks));
        }
        let uncached_tokens = job.prompt_tokens.saturating_sub(cached_tokens);
        duration_from_secs(f64::from(uncached_tokens) / capabilities.prefill_tokens_per_second)
            + duration_from_secs(f64::from(job.prompt_tokens) / capabilities.link_tokens_per_second)
            + duration_from_secs(capabilities.seconds_per_token) * FIRST_TOKEN_STEPS
    }

    fn has_servers(&self) -> bool {
        let capabilities = self.pool.capabilities();
        capabilities.prefill_servers > 0 && capabilities.decode_servers > 0
    }

    fn is_too_large(&self, job: JobKey) -> bool {
        let capabilities = self.pool.capabilities();
        let state = &self.jobs[job];
        let prompt_tokens = u64::from(state.job.prompt_tokens);
        let memory_tokens = u64::from(self.memory_tokens(state));
        capabilities.prefill_servers > 0 && prompt_tokens > capabilities.prefill_memory_tokens
            || capabilities.decode_servers > 0 && memory_tokens > capabilities.decode_memory_tokens
    }

    /// Makes room in a full queue by refusing the last job of the workspace with the most jobs.
    ///
    /// Returns whether there is room for the new job.
    fn make_room(&mut self, now: Instant, job: JobKey) -> bool {
        if self.waiting() < self.settings.max_waiting {
            return true;
        }
        let workspace = self.jobs[job].workspace;
        let Some((largest_workspace, len)) = self.queue.longest_backlog() else { return false };
        if largest_workspace == workspace || len <= self.queue.workspace_len(workspace) + 1 {
            return false;
        }
        let Some(last) = self.queue.last_job_of(largest_workspace) else { return false };
        // A started answer is never refused in favor of a new job.
        if self.jobs.get(last).is_none_or(|state| state.produced_tokens > 0) {
            return false;
        }
        self.refuse(now, last, RefuseReason::QueueFull);
        true
    }
}

fn order_at(state: &JobState) -> Instant {
    if state.produced_tokens > 0 {
        return state.job.accepted_at;
    }
    let due = state.target_at();
    state.job.deadline.map_or(due, |deadline| due.min(deadline))
}
