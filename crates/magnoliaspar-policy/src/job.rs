use std::time::{Duration, Instant};

use displaydoc::Display;
use magnoliaspar_core::{BlockHash, WorkspaceName};

/// One request for a completion, as far as decisions need to know it.
#[derive(Debug, Clone)]
pub struct Job {
    /// The workspace whose share the job uses.
    pub workspace: WorkspaceName,
    /// The share of the workspace relative to others; at least 1.
    pub share: u32,
    /// The chained hashes of the prompt's whole blocks.
    pub blocks: Box<[BlockHash]>,
    /// The length of the prompt in tokens, resumed tokens included.
    pub prompt_tokens: u32,
    /// The most tokens that the answer may have.
    pub max_output_tokens: u32,
    /// The expected number of output tokens.
    pub expected_output_tokens: u32,
    /// When the request was accepted.
    pub accepted_at: Instant,
    /// The target for the time from acceptance to the first token.
    pub ttft_target: Duration,
    /// When the caller gives up, if it said so.
    pub deadline: Option<Instant>,
    /// Whether the job may wait behind others.
    pub urgency: Urgency,
    /// How much the route cares for each measure.
    pub weights: Weights,
    /// Whether the job is suspected of crashing engines and must run apart from others.
    pub is_suspect: bool,
}

/// Whether a job may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// A person waits for the answer; a job that cannot meet its target is refused early.
    Interactive,
    /// The job may wait past its target, and is put behind interactive jobs.
    Deferrable,
}

/// How much a route cares for each measure, as weights that add up to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// The weight of not wasting prefill work.
    pub wasted_prefill: f64,
    /// The weight of answers within both latency targets.
    pub goodput: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { wasted_prefill: 0.5, goodput: 0.5 }
    }
}

/// Why a job is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub enum RefuseReason {
    /// no server of the pool can take the request
    NoServer,
    /// the latency target cannot be met
    TargetMissed,
    /// the caller's deadline cannot be met
    DeadlineMissed,
    /// the queue is full
    QueueFull,
    /// the retry budget is used up
    RetriesExhausted,
    /// the request does not fit into any engine's memory
    TooLarge,
}

/// The stage at which a job failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailedStage {
    /// The prefill engine refused or lost the job.
    Prefill,
    /// The decode engine refused the job before it imported anything.
    Admission,
    /// The transfer of the KV cache failed or stalled.
    Transfer,
    /// The decode engine was lost while the job ran.
    Decode,
}
