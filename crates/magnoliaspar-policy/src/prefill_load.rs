//! Accounting of the load of a prefill engine.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use magnoliaspar_core::JobKey;

use crate::history::History;
use crate::{LoadReport, ServerSpec};

/// The time that an overdue prefill is expected to take from now on.
const OVERDUE_EXTENSION: Duration = Duration::from_millis(20);

/// The time by which an engine may be overdue before it counts as unresponsive.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(150);

/// The time by which an engine has to be overdue to be tried again, since it may have recovered.
const UNRESPONSIVE_UNTIL: Duration = Duration::from_secs(5);

/// The smoothing factor of the overhead estimate, for one prefill.
const OVERHEAD_SMOOTHING: f64 = 0.1;

/// The upper bound of the overhead estimate.
const MAX_OVERHEAD_SECONDS: f64 = 0.1;

/// The load of a prefill engine: queued and running prefills, and held KV caches.
///
/// KV cache memory is counted in pieces, the allocation units of the engine.
#[derive(Debug)]
pub(crate) struct PrefillLoad {
    grants: BTreeMap<JobKey, Grant>,
    prefills: u32,
    pieces: u32,
    /// The predicted end of all prefills, with those of other schedulers.
    free_at: Instant,
    /// The predicted end of the prefills of other schedulers.
    external_until: Instant,
    /// The time when the engine last finished a prefill and could begin the next one.
    last_finished_at: Instant,
    overhead_seconds: f64,
    history: History,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    granted_at: Instant,
    work: Duration,
    tokens: u32,
    pieces: u32,
    is_prefilling: bool,
}

impl PrefillLoad {
    /// Creates the load of an idle engine.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            grants: BTreeMap::new(),
            prefills: 0,
            pieces: 0,
            free_at: now,
            external_until: now,
            last_finished_at: now,
            overhead_seconds: 0.0,
            history: History::default(),
        }
    }

    /// Adds a prefill of `tokens` that takes `work` and then holds `pieces` of memory.
    pub(crate) fn grant(
        &mut self,
        now: Instant,
        job: JobKey,
        work: Duration,
        tokens: u32,
        pieces: u32,
    ) {
        self.free_at = self.free_at(now) + work;
        self.prefills += 1;
        self.pieces += pieces;
        let grant = Grant { granted_at: now, work, tokens, pieces, is_prefilling: true };
        self.grants.insert(job, grant);
    }

    /// Marks the prefill of a job as done. Its memory stays in use while the KV cache is held.
    pub(crate) fn hold(&mut self, now: Instant, job: JobKey) {
        let Some(grant) = self.grants.get_mut(&job) else { return };
        if !grant.is_prefilling {
            return;
        }
        grant.is_prefilling = false;
        let grant = *grant;
        self.prefills -= 1;
        self.history.record_end(now, grant.granted_at, grant.tokens);
        self.update_overhead(now, &grant);
        self.update_free_at(now);
    }

    /// Accounts again for the KV cache that the engine still holds for a job that is retried.
    pub(crate) fn restore_hold(&mut self, now: Instant, job: JobKey, pieces: u32) {
        self.pieces += pieces;
        let work = Duration::ZERO;
        let grant = Grant { granted_at: now, work, tokens: 0, pieces, is_prefilling: false };
        self.grants.insert(job, grant);
    }

    /// Releases the memory of a job, and its place in the engine's queue.
    pub(crate) fn release(&mut self, now: Instant, job: JobKey) {
        let Some(grant) = self.grants.remove(&job) else { return };
        self.pieces -= grant.pieces;
        if !grant.is_prefilling {
            return;
        }
        self.prefills -= 1;
        self.history.record_end(now, grant.granted_at, grant.tokens);
        self.update_free_at(now);
    }

    /// Applies a load report.
    ///
    /// Load that exceeds the grants at the time of the report is attributed to other schedulers.
    pub(crate) fn apply_report(&mut self, now: Instant, spec: &ServerSpec, report: &LoadReport) {
        let mut granted_tokens = self.history.amount_at(report.made_at);
        for grant in self.grants.values() {
            if grant.is_prefilling && grant.granted_at <= report.made_at {
                granted_tokens += grant.tokens;
            }
        }
        let external_tokens = report.queued_tokens.saturating_sub(granted_tokens);
        let external_work =
            duration_from_secs(f64::from(external_tokens) / spec.prefill_tokens_per_second);
        self.external_until = report.made_at + external_work;
        self.update_free_at(now);
    }

    /// Returns when the engine is expected to have finished all granted prefills.
    pub(crate) fn free_at(&self, now: Instant) -> Instant {
        if self.prefills > 0 {
            return self.free_at.max(now + OVERDUE_EXTENSION);
        }
        self.free_at.max(now)
    }

    /// Returns whether the engine is so overdue with its prefills that it may be gone.
    pub(crate) fn is_unresponsive(&self, now: Instant) -> bool {
        let overdue = now.saturating_duration_since(self.free_at);
        self.prefills > 0 && overdue > UNRESPONSIVE_AFTER && overdue < UNRESPONSIVE_UNTIL
    }

    /// Returns the predicted end of all prefills as a sort key, which does not depend on `now`.
    pub(crate) fn unadjusted_free_at(&self) -> Instant {
        self.free_at
    }

    /// Returns the number of prefills that are queued or running on the engine.
    pub(crate) fn prefills(&self) -> u32 {
        self.prefills
    }

    /// Returns the number of pieces of memory in use by prefills and held KV caches.
    pub(crate) fn pieces(&self) -> u32 {
        self.pieces
    }

    /// Returns the number of jobs that have a prefill or a held KV cache on the engine.
    pub(crate) fn job_count(&self) -> usize {
        self.grants.len()
    }

    /// Returns the fixed overhead of a prefill on top of the time for its tokens.
    pub(crate) fn overhead(&self) -> Duration {
        duration_from_secs(self.overhead_seconds)
    }

    fn update_overhead(&mut self, now: Instant, grant: &Grant) {
        let started_at = grant.granted_at.max(self.last_finished_at);
        self.last_finished_at = now;
        let actual_seconds = now.saturating_duration_since(started_at).as_secs_f64();
        let error_seconds = actual_seconds - grant.work.as_secs_f64();
        let overhead_seconds = self.overhead_seconds + OVERHEAD_SMOOTHING * error_seconds;
        self.overhead_seconds = overhead_seconds.clamp(0.0, MAX_OVERHEAD_SECONDS);
    }

    fn update_free_at(&mut self, now: Instant) {
        let mut remaining_work = Duration::ZERO;
        for grant in self.grants.values() {
            if grant.is_prefilling {
                remaining_work += grant.work;
            }
        }
        self.free_at = now.max(self.external_until) + remaining_work;
    }
}

/// Returns a duration of `value` seconds, clamped to a day; NaN counts as a day.
pub(crate) fn duration_from_secs(value: f64) -> Duration {
    const MAX_SECONDS: f64 = 86_400.0;
    if value.is_nan() {
        return Duration::from_secs_f64(MAX_SECONDS);
    }
    Duration::from_secs_f64(value.clamp(0.0, MAX_SECONDS))
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use magnoliaspar_core::JobKey;
    use slotmap::SlotMap;

    use super::{PrefillLoad, duration_from_secs};
    use crate::LoadReport;
    use crate::testing::prefill_spec;

    const STEP: Duration = Duration::from_millis(100);

    fn report(made_at: Instant, queued_tokens: u32) -> LoadReport {
        LoadReport { made_at, running: 0, waiting: 0, used_pieces: 0, queued_tokens }
    }

    #[test]
    fn grants_queue_up_and_are_released() {
        let mut jobs: SlotMap<JobKey, ()> = SlotMap::with_key();
        let (a, b) = (jobs.insert(()), jobs.insert(()));
        let now = Instant::now();
        let mut load = PrefillLoad::new(now);
        load.grant(now, a, STEP, 1_000, 3);
        load.grant(now, b, STEP, 1_000, 4);
        assert_eq!(load.free_at(now), now + 2 * STEP);
        load.hold(now + STEP, a);
        assert_eq!(load.free_at(now + STEP), now + 2 * STEP);
        assert_eq!((load.prefills(), load.pieces(), load.job_count()), (1, 7, 2));
        load.release(now + STEP, a);
        load.release(now + STEP, b);
        load.release(now + STEP, b);
        assert_eq!((load.prefills(), load.pieces(), load.job_count()), (0, 0, 0));
        assert_eq!(load.free_at(now + STEP), now + STEP);
    }

    #[test]
    fn a_report_counts_only_what_was_granted_before_it() {
        let mut jobs: SlotMap<JobKey, ()> = SlotMap::with_key();
        let a = jobs.insert(());
        let now = Instant::now();
        let mut load = PrefillLoad::new(now);
        let spec = prefill_spec("p");
        load.grant(now + STEP, a, STEP, 1_000, 1);
        // The report is older than the grant, so its tokens belong to other schedulers.
        let tokens = spec.prefill_tokens_per_second as u32;
        load.apply_report(now + STEP, &spec, &report(now, tokens));
        assert_eq!(load.free_at(now + STEP), now + Duration::from_secs(1) + STEP);
        // The next report covers the grant and nothing else.
        load.apply_report(now + 2 * STEP, &spec, &report(now + STEP, 1_000));
        assert_eq!(load.free_at(now + STEP), now + 3 * STEP);
    }

    #[test]
    fn durations_have_a_limit() {
        assert_eq!(duration_from_secs(-1.0), Duration::ZERO);
        assert_eq!(duration_from_secs(f64::INFINITY), duration_from_secs(f64::NAN));
    }
}
