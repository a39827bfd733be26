//! Jobs as the policy sees them, and the reasons why they end early.

use std::time::{Duration, Instant};

use displaydoc::Display;
use magnoliaspar_core::{BlockHash, WorkspaceName};

/// The properties of a completion request that decisions depend on.
#[derive(Debug, Clone)]
pub struct Job {
    /// The workspace that is charged for the job.
    pub workspace: WorkspaceName,
    /// The share of the workspace relative to others; at least 1.
    pub share: u32,
    /// The chained hashes of the complete blocks of the prompt.
    pub blocks: Box<[BlockHash]>,
    /// The length of the prompt in tokens.
    ///
    /// If the answer is resumed, this includes the tokens produced before the job was submitted.
    pub prompt_tokens: u32,
    /// The maximum number of output tokens.
    pub max_output_tokens: u32,
    /// The expected number of output tokens.
    pub expected_output_tokens: u32,
    /// The time when the request was accepted.
    pub accepted_at: Instant,
    /// The target for the time from acceptance to the first token.
    pub ttft_target: Duration,
    /// The caller's deadline, if it set one.
    pub deadline: Option<Instant>,
    /// The urgency of the job.
    pub urgency: Urgency,
    /// The weights of the route.
    pub weights: Weights,
    /// True if the job is suspected of crashing engines and must run alone.
    pub is_suspect: bool,
}

/// The urgency of a job, which decides what happens when it cannot meet its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// A person waits for the answer. A job that cannot meet its target is refused early.
    Interactive,
    /// The job may wait past its target, and is served after interactive jobs.
    Deferrable,
}

/// The weights of a route's objectives, which add up to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// The weight of not wasting prefill work.
    pub wasted_prefill: f64,
    /// The weight of goodput, the answers within both latency targets.
    pub goodput: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { wasted_prefill: 0.5, goodput: 0.5 }
    }
}

/// The reason why a job is refused.
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
