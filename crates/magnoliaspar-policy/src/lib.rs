//! Decides when each request runs and on which backend servers, without any I/O.
//!
//! A [`Policy`] receives events and returns [`Action`]s. Time is a parameter of every call, so the
//! same code runs in production and in simulations with virtual time.

mod decode_load;
mod explain;
mod history;
mod job;
mod lateness;
mod link;
mod margins;
mod output;
mod placement;
mod pool;
mod prefill_load;
mod prefix;
mod queue;
mod release;
mod rendezvous;
mod retry;
mod scheduler;
mod server;
mod settings;
mod state;
#[cfg(test)]
mod testing;

pub use self::explain::{Decision, Explanation, Inputs, RejectReason, Rejected, WaitReason};
pub use self::job::{FailedStage, Job, RefuseReason, Urgency, Weights};
pub use self::rendezvous::rank_by_rendezvous;
pub use self::scheduler::Scheduler;
pub use self::server::{LoadReport, Role, ServerSpec, ServerUsage};
pub use self::settings::SchedulerSettings;

use std::time::{Duration, Instant};

use magnoliaspar_core::{BlockHash, JobKey, ServerKey};

/// A scheduling policy for the backend servers of one pool.
///
/// The order of calls for one job: [`submit`](Self::submit), then after [`Action::Prefill`] either
/// [`prefilled`](Self::prefilled) or [`failed`](Self::failed), then after [`Action::Transfer`]
/// either [`transferred`](Self::transferred) or `failed`, then [`progressed`](Self::progressed)
/// any number of times, then [`finished`](Self::finished). [`cancelled`](Self::cancelled) may come
/// at any point and ends the job. After `failed`, the policy returns a new action for the job.
pub trait Policy {
    /// Adds a backend server, or replaces its specification if it is known, and returns its key.
    fn add_server(&mut self, now: Instant, spec: ServerSpec) -> ServerKey;

    /// Stops new work for a server that is leaving or suspected. Running work continues.
    fn cordon_server(&mut self, now: Instant, server: ServerKey);

    /// Allows new work for a cordoned server again, after its suspicion or drain was withdrawn.
    fn uncordon_server(&mut self, _now: Instant, _server: ServerKey) {}

    /// Removes a server that is gone. The driver must report the jobs on it as failed.
    fn remove_server(&mut self, now: Instant, server: ServerKey);

    /// Adds a job to the queue.
    fn submit(&mut self, now: Instant, job: Job) -> JobKey;

    /// Records that the prefill of a job is done and its KV cache is held until `held_until`.
    fn prefilled(&mut self, now: Instant, job: JobKey, cached_tokens: u32, held_until: Instant);

    /// Records that the decode engine has imported the KV cache of a job and produces tokens.
    fn transferred(&mut self, now: Instant, job: JobKey);

    /// Records that a running job has produced `tokens` tokens in total.
    fn progressed(&mut self, now: Instant, job: JobKey, tokens: u32);

    /// Records that the answer of a job is complete.
    fn finished(&mut self, now: Instant, job: JobKey);

    /// Records that the caller of a job is gone. The driver has cancelled the job on its engines.
    fn cancelled(&mut self, now: Instant, job: JobKey);

    /// Records that a stage of a job failed.
    ///
    /// If the KV cache can still be exported, `kv_held_until` is the time when it expires.
    fn failed(
        &mut self,
        now: Instant,
        job: JobKey,
        stage: FailedStage,
        kv_held_until: Option<Instant>,
    );

    /// Applies a load report that the server made at `report.made_at`.
    fn report(&mut self, now: Instant, server: ServerKey, report: LoadReport);

    /// Applies the cache events of a prefill engine: the prefix blocks that it stored and evicted.
    ///
    /// `gap` is set if events before these were lost, so that blocks known before may be gone.
    fn cache_events(
        &mut self,
        now: Instant,
        server: ServerKey,
        stored: &[BlockHash],
        evicted: &[BlockHash],
        gap: bool,
    );

    /// Returns the actions that are due.
    fn poll(&mut self, now: Instant) -> Vec<Action>;

    /// Returns when [`poll`](Self::poll) should be called next if no event comes before.
    fn next_poll(&self) -> Option<Instant>;

    /// Returns the load that the policy accounts for on a server, if it tracks load.
    fn usage(&self, _server: ServerKey) -> Option<ServerUsage> {
        None
    }

    /// Returns the explanation of the last decision about a job that is current or ended recently.
    fn explain(&self, _job: JobKey) -> Option<&Explanation> {
        None
    }
}

/// A decision about one job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start the prefill of a job.
    Prefill {
        /// The job.
        job: JobKey,
        /// The prefill engine to use.
        server: ServerKey,
        /// The decode engine on which a slot is reserved, if the policy makes reservations.
        decode: Option<ServerKey>,
    },
    /// Start the transfer of a job's KV cache and its decoding.
    Transfer {
        /// The job.
        job: JobKey,
        /// The prefill engine that holds the KV cache.
        prefill: ServerKey,
        /// The decode engine that imports it.
        decode: ServerKey,
    },
    /// Refuse a job that has produced no token.
    Refuse {
        /// The job, which the policy no longer tracks.
        job: JobKey,
        /// The reason for the refusal.
        reason: RefuseReason,
        /// The delay after which a retry is worthwhile.
        retry_after: Option<Duration>,
    },
}
