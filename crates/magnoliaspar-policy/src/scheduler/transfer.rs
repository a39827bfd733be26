//! Start of KV transfers from prefill engines to decode engines.

use std::time::{Duration, Instant};

use magnoliaspar_core::{JobKey, ServerKey};

use super::Scheduler;
use crate::explain::Decision;
use crate::placement::Demand;
use crate::pool::Server;
use crate::prefill_load::seconds;
use crate::state::Stage;
use crate::{Action, Explanation};

/// The minimum delay before a job that cannot start is checked again.
pub(super) const MIN_STEP: Duration = Duration::from_millis(5);

/// The maximum number of held KV caches that one poll considers, in order of expiry.
const MAX_HELD: usize = 32;

/// The interval at which held KV caches are checked while no event arrives.
const HELD_STEP: Duration = Duration::from_millis(10);

impl Scheduler {
    /// Starts the transfers of held KV caches that have a free decode slot and free links.
    pub(super) fn start_transfers(&mut self, now: Instant) {
        let mut due = Vec::new();
        for (_, job) in self.held.iter().take(MAX_HELD) {
            due.push(*job);
        }
        for job in due {
            self.try_transfer(now, job);
        }
        if !self.held.is_empty() {
            self.look_again(now + HELD_STEP);
        }
    }

    /// Gives up a KV cache that expires before its transfer can complete, and queues the job again.
    pub(super) fn give_up_held(&mut self, now: Instant, job: JobKey) {
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
        let reserved = decode.filter(|key| self.can_take(now, from, *key, &demand, held_until));
        let rate = from.spec.link_tokens_per_second;
        let is_last_call = now + seconds(f64::from(demand.tokens) / rate) > held_until;
        let to = match reserved {
            Some(key) => Some(key),
            None if state.job.is_suspect => self.isolated_decode(now, job),
            None => self.placement().free_decode(now, prefill, &demand, held_until),
        };
        match to {
            Some(to) => self.start_transfer(now, job, to),
            None if is_last_call => self.give_up_held(now, job),
            None => {}
        }
    }

    fn can_take(
        &self,
        now: Instant,
        from: &Server,
        decode: ServerKey,
        demand: &Demand<'_>,
        held_until: Instant,
    ) -> bool {
        let Some(server) = self.pool.get(decode) else { return false };
        let transfer_time = self.placement().transfer_time(from, server, demand.tokens);
        let pieces = server.answer_pieces(demand.memory_tokens);
        !server.is_sealed
            && !server.is_cooling(now)
            && !server.link.is_silent(now)
            && server.link.busy_until(now).is_none()
            && server.decoding.has_room(now, &server.spec, pieces)
            && now + transfer_time <= held_until
    }

    fn start_transfer(&mut self, now: Instant, job: JobKey, decode: ServerKey) {
        let state = &self.jobs[job];
        let Stage::Held { prefill, decode: reserved, held_until } = state.stage else { return };
        let (Some(from), Some(to)) = (self.pool.get(prefill), self.pool.get(decode)) else {
            return;
        };
        let length = self.placement().transfer_time(from, to, state.read_tokens());
        let left = self.total_output(state).saturating_sub(state.produced);
        let ends_at = now + length + seconds(to.spec.seconds_per_token) * left;
        let pieces = to.answer_pieces(self.memory_tokens(state));
        self.held.remove(&(held_until, job));
        self.set_timer(job, None);
        self.releases.pass(now, self.pool.totals().running);
        self.pool.update(prefill, |server| server.link.run(job, now, length));
        self.pool.update(decode, |server| {
            server.decoding.run(now, job, pieces, ends_at);
            server.link.run(job, now, length);
        });
        if let Some(old) = reserved.filter(|old| *old != decode) {
            self.pool.update(old, |server| {
                server.decoding.release(now, job);
                server.link.free(job);
            });
            self.swap_reservation(now, decode, old);
        }
        let state = &mut self.jobs[job];
        state.stage = Stage::Transferring { prefill, decode };
        state.booked_at = state.produced;
        let Explanation { decision, decided_at, .. } = &mut *state.explanation;
        *decision = Decision::Transfer { prefill, decode };
        *decided_at = now;
        self.actions.push(Action::Transfer { job, prefill, decode });
    }

    /// Moves a reservation of a job that still prefills from an overcommitted server to another.
    fn swap_reservation(&mut self, now: Instant, from: ServerKey, to: ServerKey) {
        let Some(server) = self.pool.get(from) else { return };
        if server.taken().slots <= server.spec.slots {
            return;
        }
        if self.pool.get(to).is_none_or(|server| server.is_sealed || server.is_isolated) {
            return;
        }
        for job in server.decoding.reservations() {
            let Some(state) = self.jobs.get(job) else { continue };
            let Stage::Prefilling { prefill, .. } = state.stage else { continue };
            if state.job.is_suspect {
                continue;
            }
            let memory_tokens = self.memory_tokens(state);
            self.pool.update(from, |server| {
                server.decoding.release(now, job);
                server.link.free(job);
            });
            self.pool.update(to, |server| {
                server.decoding.reserve(now, job, server.answer_pieces(memory_tokens));
            });
            self.jobs[job].stage = Stage::Prefilling { prefill, decode: Some(to) };
            return;
        }
    }
}
