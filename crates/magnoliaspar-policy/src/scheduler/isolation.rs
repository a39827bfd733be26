//! Isolation of suspects: jobs that may crash engines run alone on a reserved pair of servers.

use std::time::{Duration, Instant};

use magnoliaspar_core::{JobKey, ServerKey};

use super::Scheduler;
use crate::Role;
use crate::explain::WaitReason;
use crate::placement::IsolatedPair;

/// The time after its cordon for which a suspect waits for an engine to return, if it would have to
/// share the last other engine of the pool.
const ENGINE_RETURN_TIME: Duration = Duration::from_secs(10);

/// The pair of servers reserved for suspects, which run there one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Isolation {
    pair: IsolatedPair,
    /// True if no other job may run on the prefill engine, which requires another one in the pool.
    is_prefill_exclusive: bool,
    /// True if no other job may run on the decode engine, which requires another one in the pool.
    is_decode_exclusive: bool,
    /// The suspect that currently occupies the pair.
    running: Option<JobKey>,
}

impl Scheduler {
    /// Starts the first waiting suspect if it can run alone.
    pub(super) fn start_suspect(&mut self, now: Instant) {
        let Some((_, job)) = self.suspects.first().copied() else { return };
        self.end_failed_isolation(now);
        let Some(isolation) = self.isolate(now) else {
            self.record_wait(now, job, WaitReason::Isolation);
            return;
        };
        if self.running_suspect(&isolation).is_some() {
            return;
        }
        if !self.is_vacated(&isolation) {
            self.record_wait(now, job, WaitReason::Isolation);
            return;
        }
        let wait_reason = self.start_prefill(now, job, Some(isolation.pair));
        if wait_reason.is_none() {
            self.isolation = Some(Isolation { running: Some(job), ..isolation });
        }
    }

    /// Returns the isolated decode engine for a suspect whose KV cache is held, if it is vacated.
    pub(super) fn isolated_decode(&mut self, now: Instant, job: JobKey) -> Option<ServerKey> {
        let isolation = self.isolate(now)?;
        if self.running_suspect(&isolation).is_some_and(|running| running != job) {
            return None;
        }
        let server = self.pool.get(isolation.pair.decode)?;
        let others =
            server.decode_load.job_count() - usize::from(self.is_reserved(job, isolation.pair));
        if server.is_cooling_down(now) || isolation.is_decode_exclusive && others > 0 {
            return None;
        }
        let pieces = server.job_pieces(self.memory_tokens(&self.jobs[job]));
        if !server.decode_load.has_capacity(now, &server.spec, pieces) {
            return None;
        }
        self.isolation = Some(Isolation { running: Some(job), ..isolation });
        Some(isolation.pair.decode)
    }

    /// Frees the isolated pair for the next suspect, or ends the isolation if none is left.
    pub(super) fn end_isolation(&mut self, job: JobKey) {
        let Some(isolation) = &mut self.isolation else { return };
        if isolation.running == Some(job) {
            isolation.running = None;
        }
        if isolation.running.is_none() && self.suspects.is_empty() {
            self.clear_isolation();
        }
    }

    /// Ends the isolation if `server`, which gets no new work, belongs to it.
    pub(super) fn end_isolation_of(&mut self, server: ServerKey) {
        let Some(isolation) = self.isolation else { return };
        if isolation.pair.prefill == server || isolation.pair.decode == server {
            self.clear_isolation();
        }
    }

    /// Ends the isolation if no suspect runs and one of its servers is cooling down.
    fn end_failed_isolation(&mut self, now: Instant) {
        let Some(isolation) = self.isolation else { return };
        let is_cooling_down =
            |key| self.pool.get(key).is_none_or(|server| server.is_cooling_down(now));
        let is_any_cooling_down =
            is_cooling_down(isolation.pair.prefill) || is_cooling_down(isolation.pair.decode);
        if self.running_suspect(&isolation).is_none() && is_any_cooling_down {
            self.clear_isolation();
        }
    }

    fn clear_isolation(&mut self) {
        let Some(isolation) = self.isolation.take() else { return };
        self.pool.isolate(isolation.pair.prefill, false);
        self.pool.isolate(isolation.pair.decode, false);
        self.is_changed = true;
    }

    /// Reserves a pair of servers for suspects, or returns the existing one.
    ///
    /// Returns `None` if there is no pair, or if a server of it would be shared and a cordoned one
    /// may return soon.
    fn isolate(&mut self, now: Instant) -> Option<Isolation> {
        if self.isolation.is_some() {
            return self.isolation;
        }
        let (prefill, prefill_count) = self.least_loaded(now, Role::Prefill)?;
        let (decode, decode_count) = self.least_loaded(now, Role::Decode)?;
        for (role, count) in [(Role::Prefill, prefill_count), (Role::Decode, decode_count)] {
            let Some(at) = self.return_deadline(now, role).filter(|_| count == 1) else { continue };
            self.schedule_recheck(at);
            return None;
        }
        let isolation = Isolation {
            pair: IsolatedPair { prefill, decode },
            is_prefill_exclusive: prefill_count > 1,
            is_decode_exclusive: decode_count > 1,
            running: None,
        };
        self.pool.isolate(prefill, isolation.is_prefill_exclusive);
        self.pool.isolate(decode, isolation.is_decode_exclusive);
        self.isolation = Some(isolation);
        self.isolation
    }

    /// Returns the server of a role with the fewest jobs, and the number of servers of the role.
    ///
    /// A server that is cooling down is returned only if there are no others.
    fn least_loaded(&self, now: Instant, role: Role) -> Option<(ServerKey, usize)> {
        let mut best: Option<((bool, usize), ServerKey)> = None;
        let mut count = 0;
        for (key, server) in self.pool.iter() {
            if server.spec.role != role || server.is_cordoned {
                continue;
            }
            count += 1;
            let rank = (
                server.is_cooling_down(now),
                server.prefill_load.job_count() + server.decode_load.job_count(),
            );
            if best.is_none_or(|(lowest, _)| rank < lowest) {
                best = Some((rank, key));
            }
        }
        best.map(|(_, key)| (key, count))
    }

    /// Returns the time until which a cordoned server of a role may return, if there is one.
    fn return_deadline(&self, now: Instant, role: Role) -> Option<Instant> {
        let mut latest = None;
        for (_, server) in self.pool.iter() {
            if server.spec.role != role || !server.is_cordoned {
                continue;
            }
            let deadline = server.cordoned_at.map(|at| at + ENGINE_RETURN_TIME);
            latest = latest.max(deadline.filter(|at| *at > now));
        }
        latest
    }

    /// Returns the suspect that occupies the isolated pair.
    fn running_suspect(&self, isolation: &Isolation) -> Option<JobKey> {
        let running = isolation.running?;
        // A suspect that waits for its retry occupies no engine.
        let state = self.jobs.get(running)?;
        state.stage.occupies_engine().then_some(running)
    }

    fn is_vacated(&self, isolation: &Isolation) -> bool {
        let prefill = self.pool.get(isolation.pair.prefill);
        let decode = self.pool.get(isolation.pair.decode);
        let (Some(prefill), Some(decode)) = (prefill, decode) else { return false };
        let is_prefill_free =
            !isolation.is_prefill_exclusive || prefill.prefill_load.job_count() == 0;
        let is_decode_free = !isolation.is_decode_exclusive || decode.decode_load.job_count() == 0;
        is_prefill_free && is_decode_free
    }

    fn is_reserved(&self, job: JobKey, pair: IsolatedPair) -> bool {
        self.jobs.get(job).is_some_and(|state| state.stage.decode() == Some(pair.decode))
    }
}
