//! The rules by which baselines choose servers.

use displaydoc::Display;
use magnoliaspar_policy::{Job, Role};

use super::ServerState;

/// The rule by which a baseline chooses among servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub enum Placement {
    /// round-robin
    RoundRobin,
    /// least-loaded
    LeastLoaded,
    /// prefix-affinity
    PrefixAffinity,
    /// prefix-affinity-short
    PrefixAffinityShort,
}

impl Placement {
    /// All placements, in the order in which they are reported.
    pub const ALL: [Self; 4] =
        [Self::RoundRobin, Self::LeastLoaded, Self::PrefixAffinity, Self::PrefixAffinityShort];

    /// Returns the maximum number of jobs on a prefill engine, including those whose KV cache is
    /// held.
    ///
    /// A high limit lets prefix affinity choose freely up to capacity. A low one keeps the queues
    /// on the engines short under overload.
    pub(super) fn max_prefill_jobs(self) -> u32 {
        match self {
            Self::PrefixAffinity => 8,
            Self::RoundRobin | Self::LeastLoaded | Self::PrefixAffinityShort => 2,
        }
    }

    /// Returns the cost of placing a job on a server. Among servers of equal cost, the one that was
    /// chosen least recently takes the job.
    pub(super) fn cost(self, server: &ServerState, job: &Job) -> u64 {
        match self {
            Self::RoundRobin => 0,
            Self::LeastLoaded => reported_jobs(server),
            Self::PrefixAffinity | Self::PrefixAffinityShort => match server.spec.role {
                Role::Prefill => server.uncached_tokens(job) + server.pending_prefill_tokens,
                Role::Decode => u64::from(server.jobs),
            },
        }
    }
}

/// Returns the number of jobs on a server: those in its last report and those assigned since.
fn reported_jobs(server: &ServerState) -> u64 {
    let assigned = server.unreported_assignments.len() as u64;
    let Some(report) = &server.report else { return assigned };
    u64::from(report.running + report.waiting) + assigned
}
