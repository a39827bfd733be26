//! Limits that servers name for the requests of all instances together.

use std::time::Instant;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Requests per second that a server accepts from all instances together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestLimit(f64);

impl RequestLimit {
    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestLimit {
    type Error = InvalidLimit;

    fn try_from(per_second: f64) -> Result<Self, InvalidLimit> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self(per_second)).ok_or(InvalidLimit)
    }
}

impl From<RequestLimit> for f64 {
    fn from(limit: RequestLimit) -> Self {
        limit.0
    }
}

/// a limit must be a finite number of requests per second that is not negative
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub struct InvalidLimit;

impl std::error::Error for InvalidLimit {}

/// What a response says about the limit of its server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitNotice {
    /// It names no limit.
    #[default]
    Absent,
    /// It names something that is not a limit.
    Invalid,
    /// It names a limit.
    Named(RequestLimit),
}

/// The limit of a server, or that it has none any more, with its age.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitState {
    /// The limit; `None` if the server has stopped naming one.
    pub limit: Option<RequestLimit>,
    /// The time at which the last response that named the limit arrived, or the first one without.
    pub observed_at: Instant,
}

impl LimitState {
    /// Returns the state after a response that arrives at `now` to a call that began at `called_at`;
    /// `current` is the state before.
    ///
    /// Responses on different connections may overtake each other. A lower limit applies at once; a
    /// higher one, or none, only if the call began after the current limit was last named.
    pub fn after_response(
        current: Option<Self>,
        notice: LimitNotice,
        called_at: Instant,
        now: Instant,
    ) -> Option<Self> {
        let named = match notice {
            LimitNotice::Invalid => return current,
            LimitNotice::Named(limit) => Some(limit),
            LimitNotice::Absent => None,
        };
        let observed = Some(Self { limit: named, observed_at: now });
        let Some(current) = current else { return observed.filter(|state| state.limit.is_some()) };
        let is_higher = match (current.limit, named) {
            (Some(current), Some(named)) => named > current,
            (Some(_), None) => true,
            (None, Some(_)) => false,
            // The age of a limit that was lifted tells peers since when.
            (None, None) => return Some(current),
        };
        if is_higher && called_at < current.observed_at { Some(current) } else { observed }
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::{LimitNotice, LimitState, RequestLimit};

    const MS: Duration = Duration::from_millis(1);

    fn named(per_second: f64) -> LimitNotice {
        LimitNotice::Named(RequestLimit::try_from(per_second).unwrap())
    }

    #[test]
    fn numbers_that_are_no_limit_are_rejected() {
        for invalid in [f64::NAN, f64::INFINITY, -0.5] {
            assert!(RequestLimit::try_from(invalid).is_err());
        }
        for valid in [0.0, 0.2, 1e9] {
            assert_eq!(RequestLimit::try_from(valid).unwrap().per_second(), valid);
        }
    }

    #[test]
    fn a_response_that_was_overtaken_neither_raises_nor_lifts_a_limit() {
        let start = Instant::now();
        let after = |state, notice, called, now| {
            LimitState::after_response(state, notice, start + called * MS, start + now * MS)
        };
        let limit = |state: Option<LimitState>| state?.limit.map(RequestLimit::per_second);
        let state = after(None, named(5.0), 0, 100);
        assert_eq!(limit(after(state, LimitNotice::Absent, 50, 120)), Some(5.0));
        assert_eq!(limit(after(state, named(9.0), 50, 120)), Some(5.0));
        assert_eq!(limit(after(state, named(3.0), 50, 120)), Some(3.0));
        assert_eq!(limit(after(state, named(9.0), 110, 120)), Some(9.0));
        assert_eq!(limit(after(state, LimitNotice::Invalid, 110, 120)), Some(5.0));
        let lifted = after(state, LimitNotice::Absent, 110, 120);
        assert_eq!((lifted.is_some(), limit(lifted)), (true, None));
        assert_eq!(after(None, LimitNotice::Absent, 110, 120), None);
    }
}
