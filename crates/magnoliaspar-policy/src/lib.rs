//! Decides where and when each request runs, without any I/O.
//!
//! A [`Policy`] is told what happened and answers with [`Action`]s. Time is passed in, so that the
//! same code runs behind a network and in virtual time.

mod caution;
mod decoding;
mod explain;
mod history;
mod job;
mod lateness;
mod link;
mod output;
mod placement;
mod pool;
mod prefix;
mod queue;
mod reading;
mod release;
mod retry;
mod scheduler;
mod server;
mod settings;
mod shard;
mod state;
#[cfg(test)]
mod testing;

pub use self::explain::{Decision, Explanation, Inputs, RejectReason, Rejected, WaitReason};
pub use self::job::{FailedStage, Job, RefuseReason, Urgency, Weights};
pub use self::scheduler::Scheduler;
pub use self::server::{LoadReport, Role, ServerSpec, ServerUsage};
pub use self::settings::SchedulerSettings;
pub use self::shard::rank_by_rendezvous;

use std::time::{Duration, Instant};

use magnoliaspar_core::{BlockHash, JobKey, ServerKey};

/// Decides for the backend servers of one pool.
///
/// The order of calls for one job: [`submit`](Self::submit), then after [`Action::Prefill`] either
/// [`prefilled`](Self::prefilled) or [`failed`](Self::failed), then after [`Action::Transfer`]
/// either [`transferred`](Self::transferred) or `failed`, then [`progressed`](Self::progressed)
/// any number of times, then [`finished`](Self::finished). [`cancelled`](Self::cancelled) may come
/// at any point and ends the job. After `failed` the policy answers with a new action for the job.
pub trait Policy {
    /// Adds a backend server, or replaces what is known of it, and returns its key.
    fn add_server(&mut self, now: Instant, spec: ServerSpec) -> ServerKey;

    /// Gives no new work to a server that is leaving; running work goes on.
    fn seal_server(&mut self, now: Instant, server: ServerKey);

    /// Gives a sealed server new work again, since its suspicion or drain was taken back.
    fn open_server(&mut self, _now: Instant, _server: ServerKey) {}

    /// Forgets a server that is gone. Jobs on it must be reported as failed by the driver.
    fn remove_server(&mut self, now: Instant, server: ServerKey);

    /// Takes a job into the queue.
    fn submit(&mut self, now: Instant, job: Job) -> JobKey;

    /// The prefill of a job is done and its KV cache is held until `held_until`.
    fn prefilled(&mut self, now: Instant, job: JobKey, cached_tokens: u32, held_until: Instant);

    /// The decode engine has imported the KV cache of a job and produces tokens.
    fn transferred(&mut self, now: Instant, job: JobKey);

    /// A running job has produced `tokens` tokens in all.
    fn progressed(&mut self, now: Instant, job: JobKey, tokens: u32);

    /// A job has its whole answer.
    fn finished(&mut self, now: Instant, job: JobKey);

    /// A job's caller is gone; the driver has cancelled it on its engines.
    fn cancelled(&mut self, now: Instant, job: JobKey);

    /// A stage of a job failed. `kv_held_until` tells whether its KV cache can still be exported.
    fn failed(
        &mut self,
        now: Instant,
        job: JobKey,
        stage: FailedStage,
        kv_held_until: Option<Instant>,
    );

    /// Takes in a load report that the server made at `report.made_at`.
    fn report(&mut self, now: Instant, server: ServerKey, report: LoadReport);

    /// Takes in the prefix blocks that a prefill engine stored and evicted.
    ///
    /// After a gap in the events, `gap` is set and blocks known before may be gone.
    fn cache_events(
        &mut self,
        now: Instant,
        server: ServerKey,
        stored: &[BlockHash],
        evicted: &[BlockHash],
        gap: bool,
    );

    /// Returns the decisions that are due.
    fn poll(&mut self, now: Instant) -> Vec<Action>;

    /// Returns when [`poll`](Self::poll) should be called next if nothing happens before.
    fn next_poll(&self) -> Option<Instant>;

    /// Returns what the policy has planned on a server, if it keeps books.
    fn usage(&self, _server: ServerKey) -> Option<ServerUsage> {
        None
    }

    /// Returns why a job runs where it does or waits, for jobs that are here or ended lately.
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
        /// The decode engine on which a slot is reserved, if the policy reserves.
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
    /// Refuse a job; it has produced no token.
    Refuse {
        /// The job, which the policy has forgotten.
        job: JobKey,
        /// Why the job is refused.
        reason: RefuseReason,
        /// After how long a retry is worthwhile.
        retry_after: Option<Duration>,
    },
}
