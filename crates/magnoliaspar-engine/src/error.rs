use std::time::Duration;

use displaydoc::Display;

/// Why a backend server gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum EngineError {
    /// the server cannot be reached, so the call took no effect: {0}
    Unreachable(Box<str>),
    /// the server refused the call, which took no effect: {0}
    Refused(Box<str>),
    /// the server has no room, so the call took no effect
    Full,
    /// the server does not know the stream
    UnknownStream,
    /// the KV cache is no longer held by the prefill engine
    KvGone,
    /// the order carries fencing number {given}, which is older than {seen}
    Fenced {
        /// The number in the order.
        given: u64,
        /// The highest number that the server has seen.
        seen: u64,
    },
    /// the connection broke, and the call may have taken effect: {0}
    Lost(Box<str>),
    /// no progress for {0:?}, and the call may have taken effect
    Stalled(Duration),
    /// the server's answer does not belong to the call: {0}
    Crossed(Box<str>),
}

impl EngineError {
    /// Whether the call certainly took no effect.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::Refused(_) | Self::Full | Self::Fenced { .. } => true,
            Self::KvGone => true,
            // A stream that was cancelled or lost may have been worked on before.
            Self::UnknownStream => false,
            Self::Lost(_) | Self::Stalled(_) | Self::Crossed(_) => false,
        }
    }
}

impl std::error::Error for EngineError {}
