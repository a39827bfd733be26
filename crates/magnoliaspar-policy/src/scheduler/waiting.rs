//! Waiting jobs: admission to the queue, wait timeouts and refusals.

use std::time::{Duration, Instant};

use magnoliaspar_core::JobKey;

use super::{Scheduler, is_passing};
use crate::explain::{Decision, Explanation, WaitReason};
use crate::margins::Caution;
use crate::placement::FIRST_TOKEN_STEPS;
use crate::prefill_load::seconds;
use crate::queue::Ticket;
use crate::state::{JobState, Stage};
use crate::{Action, Job, RefuseReason, Urgency};

/// The minimum time that a suspect may wait to run alone before it is refused.
const SUSPECT_PATIENCE: Duration = Duration::from_secs(30);

/// The delay after which a refused caller may retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The action on a job that has waited as long as it can.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lapse {
    Refuse(RefuseReason),
    PutBehind,
}

impl Scheduler {
    pub(super) fn accept(&mut self, now: Instant, job: Job) -> JobKey {
        let workspace = self.queue.enter(&job.workspace, job.share);
        let key = self.jobs.insert(JobState {
            job,
            workspace,
            stage: Stage::Paused,
            produced: 0,
            booked_at: 0,
            retries: 0,
            refusals: 0,
            is_behind: false,
            avoid: None,
            holder: None,
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
        let ticket = Ticket { workspace: state.workspace, class: state.class(), order_at };
        let timer = self.lapse(now, state).map(|(at, _)| at);
        if is_suspect {
            self.suspects.insert((order_at, job));
            self.jobs[job].stage = Stage::Apart { order_at };
        } else {
            self.queue.push(ticket, job);
            self.jobs[job].stage = Stage::Queued(ticket);
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
                Stage::Queued(_) | Stage::Apart { .. } => self.lapse_now(now, job),
                Stage::Paused => self.enqueue(now, job),
                Stage::Held { .. } => self.give_up_held(now, job),
                _ => {}
            }
        }
    }

    /// Refuses a job that has produced no token.
    pub(super) fn refuse(&mut self, now: Instant, job: JobKey, reason: RefuseReason) {
        let Some(state) = self.jobs.get_mut(job) else { return };
        state.explanation.decision = Decision::Refuse(reason);
        state.explanation.decided_at = now;
        let retry_after = is_passing(reason).then_some(RETRY_AFTER);
        self.forget(now, job);
        self.actions.push(Action::Refuse { job, reason, retry_after });
    }

    fn lapse_now(&mut self, now: Instant, job: JobKey) {
        let Some(state) = self.jobs.get(job) else { return };
        let Some((at, lapse)) = self.lapse(now, state) else { return };
        // Prefix cache hits may have shortened the job since its timer was set.
        if at > now {
            self.set_timer(job, Some(at));
            return;
        }
        match lapse {
            Lapse::Refuse(reason) => self.refuse(now, job, reason),
            Lapse::PutBehind => {
                self.release(now, job);
                self.jobs[job].is_behind = true;
                self.enqueue(now, job);
            }
        }
    }

    /// Returns the time until which a job can wait, and the action that is due then.
    fn lapse(&self, now: Instant, state: &JobState) -> Option<(Instant, Lapse)> {
        // A started answer is never refused, no matter how late it is.
        if state.produced > 0 {
            return None;
        }
        let by_target = self.lapse_by_target(now, state);
        let by_deadline = self.lapse_by_deadline(now, state);
        match (by_target, by_deadline) {
            (Some(one), Some(other)) => Some(if other.0 <= one.0 { other } else { one }),
            (one, other) => one.or(other),
        }
    }

    fn lapse_by_target(&self, now: Instant, state: &JobState) -> Option<(Instant, Lapse)> {
        let job = &state.job;
        let has_servers = self.has_servers();
        if job.is_suspect && has_servers {
            let at = job.accepted_at + job.ttft_target.max(SUSPECT_PATIENCE);
            return Some((at, Lapse::Refuse(RefuseReason::TargetMissed)));
        }
        if !has_servers {
            return Some((state.target_at(), Lapse::Refuse(RefuseReason::NoServer)));
        }
        if state.is_behind {
            return None;
        }
        let lapse = match job.urgency {
            Urgency::Interactive => Lapse::Refuse(RefuseReason::TargetMissed),
            Urgency::Deferrable => Lapse::PutBehind,
        };
        let service = self.shortest_service(now, job);
        let Some(slack) = job.ttft_target.checked_sub(service) else {
            return Some((job.accepted_at, lapse));
        };
        let margin = Caution::from(job.weights).target_margin(slack) + self.lateness.margin();
        Some((job.accepted_at + slack.saturating_sub(margin), lapse))
    }

    fn lapse_by_deadline(&self, now: Instant, state: &JobState) -> Option<(Instant, Lapse)> {
        let job = &state.job;
        let deadline = job.deadline?;
        let steps = job.expected_output_tokens.saturating_sub(1);
        let decoding = seconds(self.pool.best().seconds_per_token) * steps;
        let service = self.shortest_service(now, job) + decoding;
        let at = deadline.checked_sub(service).unwrap_or(job.accepted_at);
        Some((at, Lapse::Refuse(RefuseReason::DeadlineMissed)))
    }

    /// Returns the time to the first token on an idle pool.
    fn shortest_service(&self, now: Instant, job: &Job) -> Duration {
        if !self.has_servers() {
            return Duration::ZERO;
        }
        let best = self.pool.best();
        let mut cached_tokens = 0;
        for server in self.prefixes.holders(&job.blocks, 2) {
            cached_tokens =
                cached_tokens.max(self.prefixes.cached_tokens(now, server, &job.blocks));
        }
        let uncached_tokens = job.prompt_tokens.saturating_sub(cached_tokens);
        seconds(f64::from(uncached_tokens) / best.prefill_tokens_per_second)
            + seconds(f64::from(job.prompt_tokens) / best.link_tokens_per_second)
            + seconds(best.seconds_per_token) * FIRST_TOKEN_STEPS
    }

    fn has_servers(&self) -> bool {
        let best = self.pool.best();
        best.prefill_servers > 0 && best.decode_servers > 0
    }

    fn is_too_large(&self, job: JobKey) -> bool {
        let best = self.pool.best();
        let state = &self.jobs[job];
        let prompt_tokens = u64::from(state.job.prompt_tokens);
        let memory_tokens = u64::from(self.memory_tokens(state));
        best.prefill_servers > 0 && prompt_tokens > best.prefill_memory_tokens
            || best.decode_servers > 0 && memory_tokens > best.decode_memory_tokens
    }

    /// Makes room in a full queue by refusing the last job of the workspace with the most jobs.
    ///
    /// Returns whether there is room for the new job.
    fn make_room(&mut self, now: Instant, job: JobKey) -> bool {
        if self.waiting() < self.settings.max_waiting {
            return true;
        }
        let workspace = self.jobs[job].workspace;
        let Some((longest, len)) = self.queue.longest() else { return false };
        if longest == workspace || len <= self.queue.len_of(workspace) + 1 {
            return false;
        }
        let Some(last) = self.queue.last_of(longest) else { return false };
        // A started answer is never refused in favor of a new job.
        if self.jobs.get(last).is_none_or(|state| state.produced > 0) {
            return false;
        }
        self.refuse(now, last, RefuseReason::QueueFull);
        true
    }
}

fn order_at(state: &JobState) -> Instant {
    if state.produced > 0 {
        return state.job.accepted_at;
    }
    let due = state.target_at();
    state.job.deadline.map_or(due, |deadline| due.min(deadline))
}
