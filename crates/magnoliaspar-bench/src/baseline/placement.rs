use displaydoc::Display;
use magnoliaspar_core::BLOCK_TOKENS;
use magnoliaspar_policy::{Job, Role};

use super::Known;

/// How a baseline chooses among servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Placement {
    /// round-robin
    RoundRobin,
    /// least-loaded
    LeastLoaded,
    /// prefix-affinity
    PrefixAffinity,
}

impl Placement {
    /// All placements, in the order in which they are reported.
    pub const ALL: [Self; 3] = [Self::RoundRobin, Self::LeastLoaded, Self::PrefixAffinity];

    /// Returns what it costs to give a job to a server; among equals the one whose turn it is
    /// takes the job.
    pub(super) fn cost(self, known: &Known, job: &Job) -> u64 {
        match self {
            Self::RoundRobin => 0,
            Self::LeastLoaded => reported(known),
            Self::PrefixAffinity if known.spec.role == Role::Prefill => {
                u64::from(job.prompt_tokens) - matched_tokens(known, job) + known.tokens
            }
            Self::PrefixAffinity => u64::from(known.jobs),
        }
    }
}

/// Returns the load of a server by its last report.
fn reported(known: &Known) -> u64 {
    let Some(report) = &known.report else { return 0 };
    match known.spec.role {
        Role::Prefill => u64::from(report.running + report.waiting),
        Role::Decode => u64::from(report.used_pieces),
    }
}

fn matched_tokens(known: &Known, job: &Job) -> u64 {
    let mut tokens = 0;
    for block in &job.blocks {
        if !known.blocks.contains(block) {
            break;
        }
        tokens += u64::from(BLOCK_TOKENS);
    }
    tokens
}
