//! Limits that servers name for the requests of all instances together.

use std::time::{Duration, Instant};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Requests per second that a server accepts from all instances together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestLimit(f64);

/// Lowest rate at which a limited server gets requests, per second. Only its responses tell that a
/// limit has changed.
const MIN_RATE: f64 = 0.25;

/// Maximum time until the first permit is due. A coordinator counts from the start, and several may follow
/// each other.
const MAX_FIRST_WAIT: Duration = Duration::from_secs(1);

impl RequestLimit {
    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the requests per second of a group of instances with a `share` of the limit.
    pub fn rate(self, share: f64) -> f64 {
        self.0.max(MIN_RATE) * share
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

impl LimitState {
    /// Returns the newer one of the `current` state and one that a peer has reported.
    ///
    /// A report of the same limit does not renew it, since a message makes its age appear too low.
    pub fn merge(current: Option<Self>, reported: Self) -> Self {
        match current {
            Some(current)
                if current.limit == reported.limit
                    || current.observed_at >= reported.observed_at =>
            {
                current
            }
            _ => reported,
        }
    }
}

/// Time for which permits accumulate while no request uses them.
const BURST_TIME: Duration = Duration::from_millis(200);

/// Permits for the requests to one limited server, as a leaky bucket.
///
/// No permit is due at the start, since the server may have had requests just before its limit became
/// known.
#[derive(Debug, Clone, Copy, Default)]
pub struct PermitBucket {
    /// Permits issued that the limit does not cover yet, and the time of the count.
    level: Option<(f64, Instant)>,
}

impl PermitBucket {
    /// Returns the time until the next permit is due, at `rate` permits per second.
    pub fn wait(&mut self, rate: f64, now: Instant) -> Duration {
        let level = self.drain(rate, now);
        Duration::from_secs_f64((level + 1.0 - Self::burst(rate)).max(0.0) / rate)
    }

    /// Counts a permit that was issued here or by another instance.
    pub fn take(&mut self, rate: f64, now: Instant) {
        let level = self.drain(rate, now);
        self.level = Some((level + 1.0, now));
    }

    /// Counts the permits that have become due since the last count at `rate`, before the rate changes.
    pub fn drain(&mut self, rate: f64, now: Instant) -> f64 {
        let (level, at) = self.level.unwrap_or((Self::first_level(rate), now));
        let elapsed = now.saturating_duration_since(at);
        let level = (level - rate * elapsed.as_secs_f64()).max(0.0);
        self.level = Some((level, now.max(at)));
        level
    }

    /// Returns the level at which the first permit is due after the time between two, or after
    /// [`MAX_FIRST_WAIT`].
    fn first_level(rate: f64) -> f64 {
        Self::burst(rate) - 1.0 + (rate * MAX_FIRST_WAIT.as_secs_f64()).min(1.0)
    }

    fn burst(rate: f64) -> f64 {
        (rate * BURST_TIME.as_secs_f64()).max(1.0)
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::{LimitNotice, LimitState, PermitBucket, RequestLimit};

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
    fn reports_that_peers_return_do_not_keep_a_limit_that_was_lifted() {
        let start = Instant::now();
        let limit = RequestLimit::try_from(5.0).ok();
        let state = |limit, after| LimitState { limit, observed_at: start + after * MS };
        let mut current = state(limit, 0);
        for round in 1..100 {
            current = LimitState::merge(Some(current), state(limit, round));
        }
        let lifted = LimitState::merge(Some(current), state(None, 50));
        assert_eq!(lifted.limit, None);
        assert_eq!(LimitState::merge(Some(lifted), state(limit, 40)), lifted);
        assert_eq!(LimitState::merge(Some(lifted), state(limit, 60)).limit, limit);
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

    /// Takes permits as soon as they are due; returns the number of them in each second.
    fn permits_by_second(rates: &[f64]) -> Vec<usize> {
        let start = Instant::now();
        let mut bucket = PermitBucket::default();
        let mut counts = vec![0; rates.len()];
        let mut previous = rates[0];
        for tick in 0..rates.len() * 1_000 {
            let now = start + tick as u32 * MS;
            let rate = rates[tick / 1_000];
            if rate != previous {
                bucket.drain(previous, now);
                previous = rate;
            }
            if bucket.wait(rate, now).is_zero() {
                bucket.take(rate, now);
                counts[tick / 1_000] += 1;
            }
        }
        counts
    }

    #[test]
    fn a_bucket_issues_its_rate_from_the_start() {
        assert_eq!(permits_by_second(&[5.0, 5.0, 5.0]), [4, 5, 5]);
        // The first one after a second, then one in four.
        let counts = permits_by_second(&[0.25; 12]);
        assert_eq!(counts.iter().sum::<usize>(), 3);
    }

    #[test]
    fn a_bucket_follows_a_limit_that_changes() {
        let counts = permits_by_second(&[0.1, 0.1, 50.0, 50.0, 2.0, 2.0, 2.0]);
        assert_eq!(counts[..2], [0, 1]);
        assert!((40..=60).contains(&counts[2]) && (49..=51).contains(&counts[3]), "{counts:?}");
        assert!(counts[4..].iter().sum::<usize>() <= 6, "{counts:?}");
    }

    #[test]
    fn a_limit_of_zero_leaves_requests_that_tell_when_it_ends() {
        let limit = RequestLimit::try_from(0.0).unwrap();
        assert_eq!(limit.rate(1.0), 0.25);
        assert_eq!(RequestLimit::try_from(6.0).unwrap().rate(0.5), 3.0);
    }
}
