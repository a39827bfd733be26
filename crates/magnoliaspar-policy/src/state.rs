//! State of a job in the scheduler.

use std::time::{Duration, Instant};

use magnoliaspar_core::{ServerKey, WorkspaceKey};

use crate::queue::{PriorityClass, QueueEntry};
use crate::{Explanation, Job, Urgency};

/// A job that waits or runs.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) job: Job,
    pub(crate) workspace: WorkspaceKey,
    pub(crate) stage: Stage,
    /// The tokens that the answer has so far.
    pub(crate) produced_tokens: u32,
    /// The produced tokens at the last update of the predicted end.
    pub(crate) predicted_at_tokens: u32,
    /// The number of retries of the job.
    pub(crate) retries: u32,
    /// The number of times that a decode engine refused the job.
    pub(crate) refusals: u32,
    /// True if the job has missed its target and waits with lower priority.
    pub(crate) is_past_target: bool,
    /// The server that last failed the job.
    pub(crate) avoided_server: Option<ServerKey>,
    /// The prefill engine that last held the KV cache.
    pub(crate) kv_holder: Option<ServerKey>,
    /// The engine time of the answer that the workspace was charged.
    pub(crate) charged: Option<Charge>,
    /// The predicted time of the first token, unless the job was retried.
    pub(crate) first_token_at: Option<Instant>,
    /// The time of the job's timer, if it is set.
    pub(crate) timer: Option<Instant>,
    pub(crate) explanation: Box<Explanation>,
}

/// The charge of a workspace for an answer whose length is not known yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Charge {
    /// The engine time that was charged.
    pub(crate) amount: Duration,
    /// The engine time of one token.
    pub(crate) per_token: Duration,
}

/// The current stage of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The job waits in the queue.
    Queued(QueueEntry),
    /// The job is a suspect and waits to run alone.
    AwaitingIsolation {
        /// The time by which suspects are ordered.
        order_at: Instant,
    },
    /// The job is new or released, or backs off after a failure.
    Paused,
    /// A prefill engine processes the prompt.
    Prefilling { prefill: ServerKey, decode: Option<ServerKey> },
    /// A prefill engine holds the KV cache.
    Held { prefill: ServerKey, decode: Option<ServerKey>, held_until: Instant },
    /// The KV cache is being transferred.
    Transferring { prefill: ServerKey, decode: ServerKey },
    /// A decode engine produces tokens.
    Decoding { decode: ServerKey },
}

impl JobState {
    /// Returns when the first token is due.
    pub(crate) fn target_at(&self) -> Instant {
        self.job.accepted_at + self.job.ttft_target
    }

    /// Returns the priority class of the job. A started answer has the highest.
    pub(crate) fn class(&self) -> PriorityClass {
        if self.produced_tokens > 0 || self.job.urgency == Urgency::Interactive {
            return PriorityClass::Interactive;
        }
        if self.is_past_target { PriorityClass::PastTarget } else { PriorityClass::Deferrable }
    }

    /// Returns the number of tokens to prefill, with the tokens already produced.
    pub(crate) fn prefill_tokens(&self) -> u32 {
        self.job.prompt_tokens.saturating_add(self.produced_tokens)
    }

    /// Returns whether the job may start only if its first token can meet the target.
    pub(crate) fn is_bound_by_target(&self) -> bool {
        self.produced_tokens == 0 && !self.is_past_target && !self.job.is_suspect
    }
}

impl Stage {
    /// Returns the prefill engine that the job uses.
    pub(crate) fn prefill(&self) -> Option<ServerKey> {
        match self {
            Self::Prefilling { prefill, .. }
            | Self::Held { prefill, .. }
            | Self::Transferring { prefill, .. } => Some(*prefill),
            Self::Queued(_)
            | Self::AwaitingIsolation { .. }
            | Self::Paused
            | Self::Decoding { .. } => None,
        }
    }

    /// Returns the decode engine that the job uses or has a reservation on.
    pub(crate) fn decode(&self) -> Option<ServerKey> {
        match self {
            Self::Prefilling { decode, .. } | Self::Held { decode, .. } => *decode,
            Self::Transferring { decode, .. } | Self::Decoding { decode } => Some(*decode),
            Self::Queued(_) | Self::AwaitingIsolation { .. } | Self::Paused => None,
        }
    }

    /// Returns whether the job occupies an engine.
    pub(crate) fn occupies_engine(&self) -> bool {
        !matches!(self, Self::Queued(_) | Self::AwaitingIsolation { .. } | Self::Paused)
    }
}
