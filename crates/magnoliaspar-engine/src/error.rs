//! Errors of calls to backend servers.

use std::time::Duration;

use displaydoc::Display;

/// The failure of a call to a backend server.
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
    /// the order carries fencing token {given}, which is older than {seen}
    Fenced {
        /// The fencing token in the order.
        given: u64,
        /// The highest fencing token that the server has seen.
        seen: u64,
    },
    /// the connection broke, and the call may have taken effect: {0}
    Lost(Box<str>),
    /// no progress for {0:?}, and the call may have taken effect
    Stalled(Duration),
    /// the server's answer does not belong to the call: {0}
    Mismatched(Box<str>),
}

impl EngineError {
    /// Returns true if the call certainly took no effect.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::Refused(_) | Self::Full | Self::Fenced { .. } => true,
            Self::KvGone => true,
            // The server may have worked on the stream before it was cancelled or lost.
            Self::UnknownStream => false,
            Self::Lost(_) | Self::Stalled(_) | Self::Mismatched(_) => false,
        }
    }
}

impl std::error::Error for EngineError {}
