//! Recovery of jobs from failures: retries, backoff, and replacement of reservations.

use std::time::{Duration, Instant};

use magnoliaspar_core::{JobKey, ServerKey};

use super::Scheduler;
use crate::explain::WaitReason;
use crate::state::Stage;
use crate::{FailedStage, RefuseReason};

/// The number of admissions that decode engines may refuse before one counts as a failure.
const MAX_ADMISSION_REFUSALS: u32 = 8;

/// The initial backoff of a started answer that has used up its retries.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// The maximum number of times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 6;

impl Scheduler {
    /// Retries a job after a failed stage, refuses it, or makes it back off.
    pub(super) fn recover(
        &mut self,
        now: Instant,
        job: JobKey,
        failed: FailedStage,
        kv_held_until: Option<Instant>,
    ) {
        let Some(state) = self.jobs.get(job) else { return };
        // A failure that is reported twice finds the job already waiting.
        let stage = state.stage;
        if !stage.occupies_engine() {
            return;
        }
        let held_kv_cache = self.surviving_kv_cache(now, job, failed, kv_held_until);
        self.release(now, job);
        self.attribute_failure(now, job, failed, stage);
        if !self.may_retry(job, failed, held_kv_cache.is_some()) {
            self.refuse_or_back_off(now, job);
            return;
        }
        match held_kv_cache {
            Some((prefill, held_until)) => self.restore_hold(now, job, prefill, held_until),
            None => self.enqueue(now, job),
        }
    }

    /// Moves the reservations on a server that gets no new work to other servers.
    pub(super) fn move_reservations(&mut self, now: Instant, server: ServerKey) {
        self.end_isolation_of(server);
        let Some(cordoned) = self.pool.get(server) else { return };
        for job in cordoned.decode_load.reservations() {
            self.pool.update(server, |server| {
                server.decode_load.release(now, job);
                server.link.remove_transfer(job);
            });
            let replacement = self.reserve_elsewhere(now, job);
            let Some(state) = self.jobs.get_mut(job) else { continue };
            match &mut state.stage {
                Stage::Prefilling { decode, .. } | Stage::Held { decode, .. } => {
                    *decode = replacement
                }
                _ => {}
            }
        }
    }

    /// Attributes a failure to its server, and sets the server that the job avoids next.
    fn attribute_failure(&mut self, now: Instant, job: JobKey, failed: FailedStage, stage: Stage) {
        let state = &mut self.jobs[job];
        let (prefill, decode) = (stage.prefill(), stage.decode());
        state.avoided_server = match failed {
            FailedStage::Prefill => prefill,
            FailedStage::Transfer | FailedStage::Decode => decode,
            FailedStage::Admission => None,
        };
        match (failed, prefill, decode) {
            (FailedStage::Prefill, Some(server), _) | (FailedStage::Decode, _, Some(server)) => {
                self.pool.update(server, |server| server.record_failure(now));
            }
            (FailedStage::Admission, _, Some(server)) => {
                self.pool.update(server, |server| server.decode_load.record_refusal(now));
            }
            // Either end of a transfer may have caused its failure, so neither cools down.
            _ => {}
        }
    }

    /// Returns the prefill engine that still holds the KV cache of a job, and when that expires.
    ///
    /// Returns `None` if the KV cache expires before a transfer could complete.
    fn surviving_kv_cache(
        &self,
        now: Instant,
        job: JobKey,
        failed: FailedStage,
        kv_held_until: Option<Instant>,
    ) -> Option<(ServerKey, Instant)> {
        if failed == FailedStage::Prefill {
            return None;
        }
        let state = &self.jobs[job];
        let prefill = state.stage.prefill().or(state.kv_holder)?;
        let held_until = kv_held_until?;
        let server = self.pool.get(prefill)?;
        let tokens = f64::from(state.job.prompt_tokens);
        let transfer_time =
            crate::prefill_load::duration_from_secs(tokens / server.spec.link_tokens_per_second);
        (now + transfer_time <= held_until).then_some((prefill, held_until))
    }

    fn may_retry(&mut self, job: JobKey, failed: FailedStage, has_held_kv_cache: bool) -> bool {
        let state = &mut self.jobs[job];
        if failed == FailedStage::Admission && state.refusals < MAX_ADMISSION_REFUSALS {
            state.refusals += 1;
            return true;
        }
        state.retries += 1;
        if state.retries > self.settings.retries_per_job {
            return false;
        }
        // Repeating only the transfer needs no prefill, so it isn't taken from the retry budget.
        has_held_kv_cache || self.retry_budget.spend()
    }

    /// Refuses a job that may not be retried. A started answer backs off instead.
    fn refuse_or_back_off(&mut self, now: Instant, job: JobKey) {
        let state = &self.jobs[job];
        if state.produced_tokens == 0 {
            self.refuse(now, job, RefuseReason::RetriesExhausted);
            return;
        }
        let backoff = INITIAL_BACKOFF * (1 << state.retries.min(MAX_DOUBLINGS));
        self.record_wait(now, job, WaitReason::Backoff);
        self.set_timer(job, Some(now + backoff));
    }

    fn restore_hold(&mut self, now: Instant, job: JobKey, prefill: ServerKey, held_until: Instant) {
        let tokens = self.jobs[job].job.prompt_tokens;
        self.pool.update(prefill, |server| {
            let pieces = server.pieces(tokens);
            server.prefill_load.restore_hold(now, job, pieces);
        });
        let decode = self.reserve_elsewhere(now, job);
        self.jobs[job].stage = Stage::Held { prefill, decode, held_until };
        self.held.insert((held_until, job));
        self.set_timer(job, Some(held_until));
        self.is_changed = true;
    }

    /// Reserves a slot for a job that lost its reservation, on the engine that has one first.
    fn reserve_elsewhere(&mut self, now: Instant, job: JobKey) -> Option<ServerKey> {
        let state = self.jobs.get(job)?;
        if state.job.is_suspect {
            return None;
        }
        let memory_tokens = self.memory_tokens(state);
        let mut best: Option<(Instant, ServerKey)> = None;
        for index in self.pool.zones().values() {
            for key in index.decode().take(2) {
                let Some(server) = self.pool.get(key) else { continue };
                if server.is_cooling_down(now) || state.avoided_server == Some(key) {
                    continue;
                }
                if server.decode_load.reserved().slots >= server.spec.slots {
                    continue;
                }
                let pieces = server.job_pieces(memory_tokens);
                let Some(at) = server.decode_load.available_at(now, &server.spec, pieces) else {
                    continue;
                };
                if best.is_none_or(|(soonest, _)| at < soonest) {
                    best = Some((at, key));
                }
            }
        }
        let (_, key) = best?;
        self.pool.update(key, |server| {
            server.decode_load.reserve(now, job, server.job_pieces(memory_tokens));
        });
        Some(key)
    }
}
