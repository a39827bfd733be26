use displaydoc::Display;
use magnoliaspar_policy::{Job, Role};

use super::ServerState;

/// How a baseline chooses among servers.
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

    /// Returns how many prompts a prefill engine has at the same time, held ones included.
    ///
    /// Many prompts let affinity choose freely up to capacity; few keep the waiting short beyond.
    pub(super) fn max_prompts(self) -> u32 {
        match self {
            Self::PrefixAffinity => 8,
            Self::RoundRobin | Self::LeastLoaded | Self::PrefixAffinityShort => 2,
        }
    }

    /// Returns what it costs to give a job to a server; among equals the one whose turn it is
    /// takes the job.
    pub(super) fn cost(self, server: &ServerState, job: &Job) -> u64 {
        match self {
            Self::RoundRobin => 0,
            Self::LeastLoaded => reported(server),
            Self::PrefixAffinity | Self::PrefixAffinityShort => match server.spec.role {
                Role::Prefill => server.uncached_tokens(job) + server.unread_tokens,
                Role::Decode => u64::from(server.jobs),
            },
        }
    }
}

/// Returns the jobs on a server by its last report, and those that were given to it since.
fn reported(server: &ServerState) -> u64 {
    let granted = server.unreported_assignments.len() as u64;
    let Some(report) = &server.report else { return granted };
    u64::from(report.running + report.waiting) + granted
}
