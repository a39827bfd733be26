//! Responses that the gateway itself sends in place of a server's.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use actix_http::{Response, StatusCode};
use displaydoc::Display;

use crate::guarantees::{Guarantee, is_disabled};

/// Reason why a request has no response of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub enum Refusal {
    /// no_identifier
    NoIdentifier,
    /// no_route
    NoRoute,
    /// no_key
    NoKey,
    /// unknown_key
    UnknownKey,
    /// configuration_outdated
    ConfigurationOutdated,
    /// configuration_unproven
    ConfigurationUnproven,
    /// body_too_large
    BodyTooLarge,
    /// body_late
    BodyLate,
    /// body_incomplete
    BodyIncomplete,
    /// no_memory
    NoMemory,
    /// no_configuration
    NoConfiguration,
    /// sent_by_instance
    SentByInstance,
    /// no_server
    NoServer,
    /// no_capacity
    NoCapacity,
    /// over_limit
    OverLimit,
    /// server_limit
    ServerLimit,
    /// servers_resting
    ServersResting,
    /// stopping
    Stopping,
    /// caller_closed
    CallerClosed,
    /// quarantined
    Quarantined,
    /// deadline_before_start
    DeadlineBeforeStart,
    /// panicked
    Panicked,
    /// may_have_run
    MayHaveRun,
    /// deadline
    Deadline,
}

impl Refusal {
    /// Returns the status; 503 and 408 mean that the request has not run and will not run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoIdentifier | Self::BodyIncomplete => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey | Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyLate => StatusCode::REQUEST_TIMEOUT,
            // An instance takes it for the response of another server than the intended one.
            Self::SentByInstance => StatusCode::MISDIRECTED_REQUEST,
            Self::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoMemory
            | Self::NoConfiguration
            | Self::ConfigurationOutdated
            | Self::ConfigurationUnproven
            | Self::NoServer
            | Self::NoCapacity
            | Self::ServerLimit
            | Self::ServersResting
            | Self::Stopping
            | Self::CallerClosed
            | Self::Quarantined
            | Self::Panicked
            | Self::DeadlineBeforeStart => StatusCode::SERVICE_UNAVAILABLE,
            Self::MayHaveRun if is_disabled(Guarantee::TrueRefusal) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::MayHaveRun => StatusCode::BAD_GATEWAY,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Builds the response, with `Retry-After` in seconds if the caller may retry.
    pub fn response(self, retry_after: Option<Duration>) -> Response<BoxBody> {
        let mut response = Response::new(self.status());
        if let Some(wait) = retry_after {
            // Rounded up, so that a caller that waits so long does not come too early.
            let text = format!("{:.2}", wait.as_millis().div_ceil(10) as f64 / 100.0);
            let value = HeaderValue::try_from(text).expect("a number is a header value");
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        if response.status() == StatusCode::UNAUTHORIZED {
            let scheme = HeaderValue::from_static("Bearer");
            response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
        }
        response
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use actix_http::header::RETRY_AFTER;

    use super::Refusal;

    /// Guards against callers that return before their request is within the limit, and are refused again.
    #[test]
    fn the_time_until_a_retry_is_not_rounded_down() {
        for (wait_ms, expected) in [(0, "0.00"), (1, "0.01"), (10, "0.01"), (1_234, "1.24")] {
            let response = Refusal::OverLimit.response(Some(Duration::from_millis(wait_ms)));
            assert_eq!(response.headers().get(RETRY_AFTER).unwrap(), expected);
        }
    }
}
