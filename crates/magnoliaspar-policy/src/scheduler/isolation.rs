//! Isolation of suspects: jobs that may crash engines run alone on a reserved pair of servers.

use std::time::Instant;

use magnoliaspar_core::{JobKey, ServerKey};

use super::Scheduler;
use crate::Role;
use crate::explain::WaitReason;
use crate::placement::Apart;

/// The pair of servers reserved for suspects, which run there one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Isolation {
    apart: Apart,
    /// True if no other job may run on the prefill engine. This needs a second one in the pool.
    is_prefill_alone: bool,
    /// True if no other job may run on the decode engine. This needs a second one in the pool.
    is_decode_alone: bool,
    /// The suspect that currently occupies the pair.
    running: Option<JobKey>,
}

impl Scheduler {
    /// Starts the first waiting suspect if it can run alone.
    pub(super) fn start_suspect(&mut self, now: Instant) {
        let Some((_, job)) = self.suspects.first().copied() else { return };
        self.leave_cooling(now);
        let Some(isolation) = self.isolate(now) else { return };
        if self.occupant(&isolation).is_some() {
            return;
        }
        if !self.is_vacated(&isolation) {
            self.note_wait(now, job, WaitReason::Apart);
            return;
        }
        let obstacle = self.start_prefill(now, job, Some(isolation.apart));
        if obstacle.is_none() {
            self.isolation = Some(Isolation { running: Some(job), ..isolation });
        }
    }

    /// Returns the isolated decode engine for a suspect whose KV cache is held, if it is vacated.
    pub(super) fn isolated_decode(&mut self, now: Instant, job: JobKey) -> Option<ServerKey> {
        let isolation = self.isolate(now)?;
        if self.occupant(&isolation).is_some_and(|running| running != job) {
            return None;
        }
        let server = self.pool.get(isolation.apart.decode)?;
        let others = server.decoding.len() - usize::from(self.is_reserved(job, isolation.apart));
        if server.is_cooling(now) || isolation.is_decode_alone && others > 0 {
            return None;
        }
        let pieces = server.answer_pieces(self.memory_tokens(&self.jobs[job]));
        if !server.decoding.has_room(now, &server.spec, pieces) {
            return None;
        }
        self.isolation = Some(Isolation { running: Some(job), ..isolation });
        Some(isolation.apart.decode)
    }

    /// Frees the isolated pair for the next suspect, or ends the isolation if none is left.
    pub(super) fn end_isolation(&mut self, job: JobKey) {
        let Some(isolation) = &mut self.isolation else { return };
        if isolation.running == Some(job) {
            isolation.running = None;
        }
        if isolation.running.is_none() && self.suspects.is_empty() {
            self.lift_isolation();
        }
    }

    /// Ends the isolation if `server`, which gets no new work, belongs to it.
    pub(super) fn drop_isolation(&mut self, server: ServerKey) {
        let Some(isolation) = self.isolation else { return };
        if isolation.apart.prefill == server || isolation.apart.decode == server {
            self.lift_isolation();
        }
    }

    /// Ends the isolation if no suspect runs and one of its servers is cooling down.
    fn leave_cooling(&mut self, now: Instant) {
        let Some(isolation) = self.isolation else { return };
        let is_cooling = |key| self.pool.get(key).is_none_or(|server| server.is_cooling(now));
        let has_failed = is_cooling(isolation.apart.prefill) || is_cooling(isolation.apart.decode);
        if self.occupant(&isolation).is_none() && has_failed {
            self.lift_isolation();
        }
    }

    fn lift_isolation(&mut self) {
        let Some(isolation) = self.isolation.take() else { return };
        self.pool.isolate(isolation.apart.prefill, false);
        self.pool.isolate(isolation.apart.decode, false);
        self.is_changed = true;
    }

    /// Reserves a pair of servers for suspects, or returns the existing one.
    fn isolate(&mut self, now: Instant) -> Option<Isolation> {
        if self.isolation.is_some() {
            return self.isolation;
        }
        let (prefill, prefill_count) = self.emptiest(now, Role::Prefill)?;
        let (decode, decode_count) = self.emptiest(now, Role::Decode)?;
        let isolation = Isolation {
            apart: Apart { prefill, decode },
            is_prefill_alone: prefill_count > 1,
            is_decode_alone: decode_count > 1,
            running: None,
        };
        self.pool.isolate(prefill, isolation.is_prefill_alone);
        self.pool.isolate(decode, isolation.is_decode_alone);
        self.isolation = Some(isolation);
        self.isolation
    }

    /// Returns the server of a role with the fewest jobs, and the number of servers of the role.
    ///
    /// A server that is cooling down is returned only if there are no others.
    fn emptiest(&self, now: Instant, role: Role) -> Option<(ServerKey, usize)> {
        let mut best: Option<((bool, usize), ServerKey)> = None;
        let mut count = 0;
        for (key, server) in self.pool.iter() {
            if server.spec.role != role || server.is_sealed {
                continue;
            }
            count += 1;
            let rank = (server.is_cooling(now), server.reading.len() + server.decoding.len());
            if best.is_none_or(|(lowest, _)| rank < lowest) {
                best = Some((rank, key));
            }
        }
        best.map(|(_, key)| (key, count))
    }

    /// Returns the suspect that occupies the isolated pair.
    fn occupant(&self, isolation: &Isolation) -> Option<JobKey> {
        let running = isolation.running?;
        // A suspect that waits for its retry occupies no engine.
        let state = self.jobs.get(running)?;
        state.stage.is_on_engine().then_some(running)
    }

    fn is_vacated(&self, isolation: &Isolation) -> bool {
        let prefill = self.pool.get(isolation.apart.prefill);
        let decode = self.pool.get(isolation.apart.decode);
        let (Some(prefill), Some(decode)) = (prefill, decode) else { return false };
        let is_prefill_free = !isolation.is_prefill_alone || prefill.reading.len() == 0;
        let is_decode_free = !isolation.is_decode_alone || decode.decoding.len() == 0;
        is_prefill_free && is_decode_free
    }

    fn is_reserved(&self, job: JobKey, apart: Apart) -> bool {
        self.jobs.get(job).is_some_and(|state| state.stage.decode() == Some(apart.decode))
    }
}
