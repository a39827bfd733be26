use std::time::{Duration, Instant};

use magnoliaspar_core::{ServerKey, WorkspaceKey};

use crate::queue::{Class, Ticket};
use crate::{Explanation, Job, Urgency};

/// A job that waits or runs.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) job: Job,
    pub(crate) workspace: WorkspaceKey,
    pub(crate) stage: Stage,
    /// The tokens that the answer has so far.
    pub(crate) produced: u32,
    /// The tokens at which the books of the decode engine were last brought up to date.
    pub(crate) booked_at: u32,
    /// How often the job was tried again.
    pub(crate) retries: u32,
    /// How often a decode engine refused the job.
    pub(crate) refusals: u32,
    /// Whether the job has missed its target and waits behind others.
    pub(crate) is_behind: bool,
    /// The server that last failed the job.
    pub(crate) avoid: Option<ServerKey>,
    /// The prefill engine that last held the KV cache.
    pub(crate) holder: Option<ServerKey>,
    /// The engine time of the answer that the workspace was charged.
    pub(crate) charged: Option<Charge>,
    /// When the first token is expected, as long as nothing went wrong.
    pub(crate) first_token_at: Option<Instant>,
    /// When the scheduler has to look at the job again.
    pub(crate) timer: Option<Instant>,
    pub(crate) explanation: Box<Explanation>,
}

/// What a workspace was charged for an answer before its length was known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Charge {
    /// The engine time that was charged.
    pub(crate) amount: Duration,
    /// The engine time of one token.
    pub(crate) per_token: Duration,
}

/// What a job is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The job waits in the queue.
    Queued(Ticket),
    /// The job waits apart from others, since it is a suspect.
    Apart {
        /// The time by which suspects are ordered.
        order_at: Instant,
    },
    /// The job waits for a pause after a failure to end.
    Paused,
    /// A prefill engine reads the prompt.
    Prefilling { prefill: ServerKey, decode: Option<ServerKey> },
    /// A prefill engine holds the KV cache.
    Held { prefill: ServerKey, decode: Option<ServerKey>, held_until: Instant },
    /// The KV cache is on its way.
    Transferring { prefill: ServerKey, decode: ServerKey },
    /// A decode engine produces tokens.
    Decoding { decode: ServerKey },
}

impl JobState {
    /// Returns when the first token is due.
    pub(crate) fn target_at(&self) -> Instant {
        self.job.accepted_at + self.job.ttft_target
    }

    /// Returns the class in which the job waits; a started answer goes first.
    pub(crate) fn class(&self) -> Class {
        if self.produced > 0 || self.job.urgency == Urgency::Interactive {
            return Class::Interactive;
        }
        if self.is_behind { Class::Behind } else { Class::Deferrable }
    }

    /// Returns the tokens that a prefill engine has to read.
    pub(crate) fn read_tokens(&self) -> u32 {
        self.job.prompt_tokens.saturating_add(self.produced)
    }

    /// Returns whether the job starts only while its first token can come before the target.
    pub(crate) fn is_bound_by_target(&self) -> bool {
        self.produced == 0 && !self.is_behind && !self.job.is_suspect
    }
}

impl Stage {
    /// Returns the prefill engine that the job uses.
    pub(crate) fn prefill(&self) -> Option<ServerKey> {
        match self {
            Self::Prefilling { prefill, .. }
            | Self::Held { prefill, .. }
            | Self::Transferring { prefill, .. } => Some(*prefill),
            Self::Queued(_) | Self::Apart { .. } | Self::Paused | Self::Decoding { .. } => None,
        }
    }

    /// Returns the decode engine that the job uses or has a reservation on.
    pub(crate) fn decode(&self) -> Option<ServerKey> {
        match self {
            Self::Prefilling { decode, .. } | Self::Held { decode, .. } => *decode,
            Self::Transferring { decode, .. } | Self::Decoding { decode } => Some(*decode),
            Self::Queued(_) | Self::Apart { .. } | Self::Paused => None,
        }
    }

    /// Returns whether an engine works for the job.
    pub(crate) fn is_on_engine(&self) -> bool {
        !matches!(self, Self::Queued(_) | Self::Apart { .. } | Self::Paused)
    }
}
