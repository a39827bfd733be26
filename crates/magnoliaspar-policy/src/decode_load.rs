//! Accounting of the load of a decode engine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use magnoliaspar_core::JobKey;

use crate::history::History;
use crate::{LoadReport, ServerSpec};

/// The time that an overdue answer is expected to take from now on.
const OVERDUE_EXTENSION: Duration = Duration::from_millis(100);

/// The time for which an engine that refused a job counts as full unless a newer report arrives.
const REFUSAL_TTL: Duration = Duration::from_millis(500);

/// The smoothing factor of the estimate of the extra memory per job, for one report.
const EXTRA_SMOOTHING: f64 = 0.3;

/// The minimum number of running jobs for which a report updates the extra memory per job.
const MIN_REPORTED_JOBS: u32 = 4;

/// The load of a decode engine: running jobs, reservations, and jobs of other schedulers.
///
/// KV cache memory is counted in pieces, the allocation units of the engine.
#[derive(Debug, Default)]
pub(crate) struct DecodeLoad {
    grants: BTreeMap<JobKey, Grant>,
    /// The predicted ends of the running jobs, in order.
    predicted_ends: BTreeSet<(Instant, JobKey)>,
    running: Usage,
    reserved: Usage,
    external: Usage,
    refused_at: Option<Instant>,
    /// The learned number of pieces that the engine allocates per job beyond the predicted need.
    extra_per_job: f64,
    slot_history: History,
    piece_history: History,
}

/// A number of slots and pieces of KV cache memory.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    /// The number of slots.
    pub(crate) slots: u32,
    /// The number of pieces of memory.
    pub(crate) pieces: u32,
}

/// The time when an engine has a slot for one more job. An earlier slot compares as less.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SlotAvailability {
    /// A slot is free.
    Free,
    /// A slot becomes free at the predicted time.
    FreeAt(Instant),
    /// The slots of all running jobs are already reserved for other jobs.
    Full,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    granted_at: Instant,
    pieces: u32,
    /// The predicted end of the job, if it runs.
    ends_at: Option<Instant>,
}

impl DecodeLoad {
    /// Reserves a slot and memory for a job.
    pub(crate) fn reserve(&mut self, now: Instant, job: JobKey, pieces: u32) {
        self.release(now, job);
        self.reserved.add(pieces);
        self.grants.insert(job, Grant { granted_at: now, pieces, ends_at: None });
    }

    /// Marks a job as running, whether or not it has a reservation.
    pub(crate) fn start(&mut self, now: Instant, job: JobKey, pieces: u32, ends_at: Instant) {
        self.release(now, job);
        self.running.add(pieces);
        self.predicted_ends.insert((ends_at, job));
        self.grants.insert(job, Grant { granted_at: now, pieces, ends_at: Some(ends_at) });
    }

    /// Updates the predicted memory and end of a running job.
    pub(crate) fn update(&mut self, job: JobKey, pieces: u32, ends_at: Instant) {
        let Some(grant) = self.grants.get_mut(&job) else { return };
        let Some(old) = grant.ends_at.replace(ends_at) else { return };
        self.predicted_ends.remove(&(old, job));
        self.predicted_ends.insert((ends_at, job));
        self.running.pieces = self.running.pieces - grant.pieces + pieces;
        grant.pieces = pieces;
    }

    /// Releases the slot and memory of a job, running or reserved.
    pub(crate) fn release(&mut self, now: Instant, job: JobKey) {
        let Some(grant) = self.grants.remove(&job) else { return };
        let Some(ends_at) = grant.ends_at else {
            self.reserved.remove(grant.pieces);
            return;
        };
        self.predicted_ends.remove(&(ends_at, job));
        self.running.remove(grant.pieces);
        self.slot_history.record_end(now, grant.granted_at, 1);
        self.piece_history.record_end(now, grant.granted_at, grant.pieces);
        // The released slot is known to be free, so an earlier refusal no longer applies.
        self.refused_at = None;
    }

    /// Applies a load report.
    ///
    /// Load that exceeds the grants at the time of the report is attributed to other schedulers.
    pub(crate) fn apply_report(&mut self, report: &LoadReport) {
        let at = report.made_at;
        let mut slots = self.slot_history.count_at(at);
        let mut pieces = self.piece_history.amount_at(at);
        for grant in self.grants.values() {
            if grant.ends_at.is_some() && grant.granted_at <= at {
                slots += 1;
                pieces += grant.pieces;
            }
        }
        self.external.slots = (report.running + report.waiting).saturating_sub(slots);
        self.external.pieces = report.used_pieces.saturating_sub(pieces);
        if self.external.slots == 0 && slots >= MIN_REPORTED_JOBS {
            let error = f64::from(report.used_pieces) - f64::from(pieces);
            let extra_per_job = self.extra_per_job + EXTRA_SMOOTHING * error / f64::from(slots);
            self.extra_per_job = extra_per_job.clamp(0.0, f64::from(pieces) / f64::from(slots));
        }
        if self.refused_at.is_some_and(|refused_at| refused_at < at) {
            self.refused_at = None;
        }
    }

    /// Records that the engine refused a job for which it appeared to have capacity.
    pub(crate) fn record_refusal(&mut self, now: Instant) {
        self.refused_at = Some(now);
    }

    /// Returns whether a job can start now in a slot that is not in use, reserved or not.
    pub(crate) fn has_capacity(&self, now: Instant, spec: &ServerSpec, pieces: u32) -> bool {
        !self.has_recent_refusal(now)
            && self.running.slots + self.external.slots < spec.slots
            && self.running.pieces + self.external.pieces + pieces <= spec.memory_pieces
    }

    /// Returns when one more job can start, after all jobs that have a reservation.
    ///
    /// Running jobs are assumed to end when predicted, and reserved ones never to end. The latter
    /// errs on the safe side as long as a prefill is short compared with an answer. Returns `None`
    /// if no predicted end frees enough capacity.
    pub(crate) fn available_at(
        &self,
        now: Instant,
        spec: &ServerSpec,
        pieces: u32,
    ) -> Option<Instant> {
        let used_slots = self.running.slots + self.reserved.slots + self.external.slots;
        let used_pieces = self.running.pieces + self.reserved.pieces + self.external.pieces;
        let mut free_slots = i64::from(spec.slots) - i64::from(used_slots);
        let mut free_pieces = i64::from(spec.memory_pieces) - i64::from(used_pieces);
        let needed = i64::from(pieces);
        let mut at = now;
        if let Some(refused_at) = self.refused_at {
            at = at.max(refused_at + REFUSAL_TTL);
        }
        if free_slots >= 1 && free_pieces >= needed {
            return Some(at);
        }
        for (ends_at, job) in &self.predicted_ends {
            free_slots += 1;
            free_pieces += i64::from(self.grants[job].pieces);
            if free_slots < 1 || free_pieces < needed {
                continue;
            }
            let ends_at = if *ends_at < now { now + OVERDUE_EXTENSION } else { *ends_at };
            return Some(at.max(ends_at));
        }
        None
    }

    /// Returns when the next unreserved slot becomes free, as a sort key for engines.
    pub(crate) fn slot_availability(&self, spec: &ServerSpec) -> SlotAvailability {
        let used = self.running.slots + self.reserved.slots + self.external.slots;
        let Some(index) = used.checked_sub(spec.slots) else { return SlotAvailability::Free };
        match self.predicted_ends.iter().nth(index as usize) {
            Some((at, _)) => SlotAvailability::FreeAt(*at),
            None => SlotAvailability::Full,
        }
    }

    /// Returns whether the engine recently refused a job.
    pub(crate) fn has_recent_refusal(&self, now: Instant) -> bool {
        self.refused_at.is_some_and(|refused_at| now < refused_at + REFUSAL_TTL)
    }

    /// Returns the number of pieces that the engine allocates per job beyond the predicted need.
    ///
    /// Engines differ in how much they allocate in advance for the rest of an answer.
    pub(crate) fn extra_pieces_per_job(&self) -> u32 {
        self.extra_per_job.round() as u32
    }

    /// Returns the usage of the running jobs.
    pub(crate) fn running(&self) -> Usage {
        self.running
    }

    /// Returns the reservations of jobs that do not run yet.
    pub(crate) fn reserved(&self) -> Usage {
        self.reserved
    }

    /// Returns the usage of other schedulers' jobs according to the last report.
    pub(crate) fn external(&self) -> Usage {
        self.external
    }

    /// Returns the jobs that have a reservation and do not run yet.
    pub(crate) fn reservations(&self) -> Vec<JobKey> {
        let mut jobs = Vec::new();
        for (job, grant) in &self.grants {
            if grant.ends_at.is_none() {
                jobs.push(*job);
            }
        }
        jobs
    }

    /// Returns the number of jobs that run on the engine or have a reservation.
    pub(crate) fn job_count(&self) -> usize {
        self.grants.len()
    }
}

impl Usage {
    fn add(&mut self, pieces: u32) {
        self.slots += 1;
        self.pieces += pieces;
    }

    fn remove(&mut self, pieces: u32) {
        self.slots -= 1;
        self.pieces -= pieces;
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use magnoliaspar_core::JobKey;
    use slotmap::SlotMap;

    use super::{DecodeLoad, REFUSAL_TTL, SlotAvailability, Usage};
    use crate::LoadReport;
    use crate::testing::decode_spec;

    const SECOND: Duration = Duration::from_secs(1);

    fn jobs(count: usize) -> Vec<JobKey> {
        let mut jobs: SlotMap<JobKey, ()> = SlotMap::with_key();
        (0..count).map(|_| jobs.insert(())).collect()
    }

    fn report(made_at: Instant, running: u32, used_pieces: u32) -> LoadReport {
        LoadReport { made_at, running, waiting: 0, used_pieces, queued_tokens: 0 }
    }

    #[test]
    fn a_reservation_takes_the_next_slot_that_becomes_free() {
        let mut spec = decode_spec("d");
        spec.slots = 2;
        let keys = jobs(4);
        let now = Instant::now();
        let mut load = DecodeLoad::default();
        load.start(now, keys[0], 10, now + SECOND);
        load.start(now, keys[1], 10, now + 3 * SECOND);
        assert_eq!(load.available_at(now, &spec, 10), Some(now + SECOND));
        assert_eq!(load.slot_availability(&spec), SlotAvailability::FreeAt(now + SECOND));
        load.reserve(now, keys[2], 10);
        assert_eq!(load.available_at(now, &spec, 10), Some(now + 3 * SECOND));
        load.reserve(now, keys[3], 10);
        assert_eq!(load.available_at(now, &spec, 10), None);
        assert!(!load.has_capacity(now, &spec, 10));
        load.release(now + SECOND, keys[0]);
        assert!(load.has_capacity(now + SECOND, &spec, 10));
    }

    #[test]
    fn memory_limits_admission_as_well_as_slots() {
        let mut spec = decode_spec("d");
        spec.memory_pieces = 100;
        let keys = jobs(3);
        let now = Instant::now();
        let mut load = DecodeLoad::default();
        load.start(now, keys[0], 60, now + SECOND);
        load.start(now, keys[1], 30, now + 2 * SECOND);
        assert_eq!(load.available_at(now, &spec, 10), Some(now));
        assert_eq!(load.available_at(now, &spec, 11), Some(now + SECOND));
        assert_eq!(load.available_at(now, &spec, 71), Some(now + 2 * SECOND));
        assert_eq!(load.available_at(now, &spec, 101), None);
        load.update(keys[0], 70, now + SECOND);
        assert_eq!(load.running(), Usage { slots: 2, pieces: 100 });
    }

    #[test]
    fn a_report_is_compared_with_the_grants_of_its_time() {
        let spec = decode_spec("d");
        let keys = jobs(2);
        let now = Instant::now();
        let mut load = DecodeLoad::default();
        load.start(now, keys[0], 10, now + 9 * SECOND);
        load.start(now + 2 * SECOND, keys[1], 10, now + 9 * SECOND);
        load.release(now + 3 * SECOND, keys[0]);
        // At the time of the report the first job ran and the second was not yet granted.
        load.apply_report(&report(now + SECOND, 1, 10));
        assert_eq!(load.external(), Usage::default());
        load.apply_report(&report(now + SECOND, 4, 25));
        assert_eq!(load.external(), Usage { slots: 3, pieces: 15 });
        load.apply_report(&report(now + 4 * SECOND, 1, 10));
        assert_eq!(load.external(), Usage::default());
        assert_eq!(load.available_at(now, &spec, 1), Some(now));
    }

    #[test]
    fn extra_memory_per_job_is_learned_from_reports() {
        let keys = jobs(5);
        let now = Instant::now();
        let mut load = DecodeLoad::default();
        let mut at = now;
        for _ in 0..20 {
            let pieces = 10 + load.extra_pieces_per_job();
            for key in &keys {
                load.start(at, *key, pieces, at + 9 * SECOND);
            }
            // The engine allocates 14 pieces per job.
            load.apply_report(&report(at, 5, 70));
            at += SECOND;
        }
        assert_eq!(load.extra_pieces_per_job(), 4);
    }

    #[test]
    fn a_refusal_applies_until_a_newer_report_or_its_expiry() {
        let spec = decode_spec("d");
        let now = Instant::now();
        let mut load = DecodeLoad::default();
        load.record_refusal(now);
        assert!(!load.has_capacity(now, &spec, 1));
        assert_eq!(load.available_at(now, &spec, 1), Some(now + REFUSAL_TTL));
        load.apply_report(&report(now - SECOND, 0, 0));
        assert!(load.has_recent_refusal(now));
        load.apply_report(&report(now + SECOND, 0, 0));
        assert!(load.has_capacity(now, &spec, 1));
        load.record_refusal(now);
        assert!(load.has_capacity(now + REFUSAL_TTL, &spec, 1));
    }
}
