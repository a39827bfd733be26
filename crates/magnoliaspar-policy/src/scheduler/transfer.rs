//! Start of KV transfers from prefill engines to decode engines.

use std::time::{Duration, Instant};

use magnoliaspar_core::{JobKey, ServerKey};

use super::Scheduler;
use crate::explain::Decision;
use crate::placement::Demand;
use crate::pool::Server;
use crate::prefill_load::duration_from_secs;
use crate::state::Stage;
use crate::{Action, Explanation};

/// The minimum delay before a job that cannot start is checked again.
pub(super) const MIN_RECHECK_DELAY: Duration = Duration::from_millis(5);

/// The maximum number of held KV caches that one poll considers, in order of expiry.
const MAX_HELD_PER_POLL: usize = 32;

/// The interval at which held KV caches are checked while no event arrives.
const HELD_RECHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Scheduler {
    /// Starts the transfers of held KV caches that have a free decode slot and free links.
    pub(super) fn start_transfers(&mut self, now: Instant) {
        let mut candidates = Vec::new();
        for (_, job) in self.held.iter().take(MAX_HELD_PER_POLL) {
            candidates.push(*job);
        }
        for job in candidates {
            self.try_transfer(now, job);
        }
        if !self.held.is_empty() {
            self.schedule_recheck(now + HELD_RECHECK_INTERVAL);
        }
    }

    /// Gives up a KV cache that expires before its transfer can complete, and queues the job again.
    pub(super) fn discard_held(&mut self, now: Instant, job: JobKey) {
        self.release(now, job);
        self.enqueue(now, job);
    }

    fn try_transfer(&mut self, now: Instant, job: JobKey) {
        let Some(state) = self.jobs.get(job) else { return };
        let Stage::Held { prefill, decode, held_until } = state.stage else { return };
        // If the server is gone, the driver reports the job as failed.
        let Some(from) = self.pool.get(prefill) else { return };
        if from.link.busy_until(now).is_some() {
            return;
        }
        let demand = self.demand(state, None);
        let reserved = decode.filter(|key| self.can_import(now, from, *key, &demand, held_until));
        let rate = from.spec.link_tokens_per_second;
        let is_expiring = now + duration_from_secs(f64::from(demand.tokens) / rate) > held_until;
        let to = match reserved {
            Some(key) => Some(key),
            None if state.job.is_suspect => self.isolated_decode(now, job),
            None => self.placement().choose_free_decode(now, prefill, &demand, held_until),
        };
        match to {
            Some(to) => self.start_transfer(now, job, to),
            None if is_expiring => self.discard_held(now, job),
            None => {}
        }
    }

    fn can_import(
        &self,
        now: Instant,
        from: &Server,
        decode: ServerKey,
        demand: &Demand<'_>,
        held_until: Instant,
    ) -> bool {
        let Some(server) = self.pool.get(decode) else { return false };
        let transfer_time = self.placement().transfer_time(from, server, demand.tokens);
        let pieces = server.job_pieces(demand.memory_tokens);
        !server.is_cordoned
            && !server.is_cooling_down(now)
            && !server.link.is_unresponsive(now)
            && server.link.busy_until(now).is_none()
            && server.decode_load.has_capacity(now, &server.spec, pieces)
            && now + transfer_time <= held_until
    }

    fn start_transfer(&mut self, now: Instant, job: JobKey, decode: ServerKey) {
        let state = &self.jobs[job];
        let Stage::Held { prefill, decode: reserved, held_until } = state.stage else { return };
        let (Some(from), Some(to)) = (self.pool.get(prefill), self.pool.get(decode)) else {
            return;
        };
        let transfer_time = self.placement().transfer_time(from, to, state.prefill_tokens());
        let remaining_tokens =
            self.predicted_output_tokens(state).saturating_sub(state.produced_tokens);
        let ends_at =
            now + transfer_time + duration_from_secs(to.spec.seconds_per_token) * remaining_tokens;
        let pieces = to.job_pieces(self.memory_tokens(state));
        self.held.remove(&(held_until, job));
        self.set_timer(job, None);
        self.release_rate.advance(now, self.pool.totals().running);
        self.pool.update(prefill, |server| server.link.start_transfer(job, now, transfer_time));
        self.pool.update(decode, |server| {
            server.decode_load.start(now, job, pieces, ends_at);
            server.link.start_transfer(job, now, transfer_time);
        });
        if let Some(old) = reserved.filter(|old| *old != decode) {
            self.pool.update(old, |server| {
                server.decode_load.release(now, job);
                server.link.remove_transfer(job);
            });
            self.move_reservation(now, decode, old);
        }
        let state = &mut self.jobs[job];
        state.stage = Stage::Transferring { prefill, decode };
        state.predicted_at_tokens = state.produced_tokens;
        let Explanation { decision, decided_at, .. } = &mut *state.explanation;
        *decision = Decision::Transfer { prefill, decode };
        *decided_at = now;
        self.actions.push(Action::Transfer { job, prefill, decode });
    }

    /// Moves a reservation of a job that still prefills from an overcommitted server to another.
    fn move_reservation(&mut self, now: Instant, from: ServerKey, to: ServerKey) {
        let Some(server) = self.pool.get(from) else { return };
        if server.committed().slots <= server.spec.slots {
            return;
        }
        if self.pool.get(to).is_none_or(|server| server.is_cordoned || server.is_isolated) {
            return;
        }
        for job in server.decode_load.reservations() {
            let Some(state) = self.jobs.get(job) else { continue };
            let Stage::Prefilling { prefill, .. } = state.stage else { continue };
            if state.job.is_suspect {
                continue;
            }
            let memory_tokens = self.memory_tokens(state);
            self.pool.update(from, |server| {
                server.decode_load.release(now, job);
                server.link.remove_transfer(job);
            });
            self.pool.update(to, |server| {
                server.decode_load.reserve(now, job, server.job_pieces(memory_tokens));
            });
            self.jobs[job].stage = Stage::Prefilling { prefill, decode: Some(to) };
            return;
        }
    }
}
