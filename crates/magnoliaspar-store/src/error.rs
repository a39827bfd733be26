use std::time::Duration;

use displaydoc::Display;

/// The failure of a call to a platform service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum PlatformError {
    /// the platform is unavailable and the call took no effect: {0}
    Unavailable(Box<str>),
    /// no answer arrived, and the call may have taken effect: {0}
    Ambiguous(Box<str>),
    /// the platform limits the rate of calls
    RateLimited {
        /// The time to wait before a retry.
        retry_after: Duration,
    },
    /// the platform rejected the call: {0}
    Rejected(Box<str>),
}

impl std::error::Error for PlatformError {}
