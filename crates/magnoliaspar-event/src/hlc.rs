//! A hybrid logical clock and its stamps.

use std::fmt;
use std::time::{Duration, SystemTime};

use chrono::{DateTime, SecondsFormat};
use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Number of low bits of a stamp that hold the counter within a millisecond.
const COUNTER_BITS: u32 = 16;

/// Maximum time by which a remote stamp may be ahead of the local wall clock.
pub const MAX_DRIFT: Duration = Duration::from_secs(1);

/// A hybrid logical clock: its stamps increase monotonically, stay close to wall-clock time and
/// order causes before effects.
#[derive(Debug, Clone, Copy, Default)]
pub struct Hlc {
    last: Stamp,
}

impl Hlc {
    /// Creates a clock that has issued no stamps.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a stamp that is later than all stamps issued or observed so far.
    pub fn tick(&mut self, wall: SystemTime) -> Stamp {
        let next = self.last.0.saturating_add(1);
        self.last = Stamp(next.max(Stamp::at(wall).0));
        self.last
    }

    /// Observes a remote stamp, so that all stamps issued from now on are later.
    ///
    /// Rejects a stamp more than [`MAX_DRIFT`] ahead of the wall clock, because one wrong clock
    /// must not advance the clocks of all instances.
    pub fn observe(&mut self, stamp: Stamp, wall: SystemTime) -> Result<(), DriftError> {
        let latest = Stamp::at(wall + MAX_DRIFT);
        if stamp.millis() > latest.millis() {
            let ahead = stamp.millis() - Stamp::at(wall).millis();
            return Err(DriftError { ahead: Duration::from_millis(ahead) });
        }
        self.last = self.last.max(stamp);
        Ok(())
    }
}

/// A stamp is too far ahead of the wall clock: {ahead:?}
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub struct DriftError {
    /// Time by which the stamp is ahead of the wall clock.
    pub ahead: Duration,
}

impl std::error::Error for DriftError {}

/// A stamp of a hybrid logical clock: 48 bits of Unix time in ms and a 16-bit counter.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl Stamp {
    /// Returns the first stamp of the millisecond that contains `wall`.
    pub fn at(wall: SystemTime) -> Self {
        let unix_time = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let millis = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX);
        Self(millis.min(u64::MAX >> COUNTER_BITS) << COUNTER_BITS)
    }

    /// Returns the Unix time in milliseconds.
    pub fn millis(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// Returns the counter, which orders stamps within one millisecond.
    pub fn counter(self) -> u16 {
        (self.0 & u64::from(u16::MAX)) as u16
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = i64::try_from(self.millis()).unwrap_or(i64::MAX);
        match DateTime::from_timestamp_millis(millis) {
            Some(time) => f.write_str(&time.to_rfc3339_opts(SecondsFormat::Millis, true))?,
            None => write!(f, "{millis}ms")?,
        }
        if self.counter() > 0 {
            write!(f, "+{}", self.counter())?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, SystemTime};

    use proptest::collection::vec;
    use proptest::prelude::{ProptestConfig, proptest};
    use proptest::test_runner::RngSeed;

    use super::{Hlc, MAX_DRIFT, Stamp};

    fn wall(millis: u64) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
    }

    #[test]
    fn a_stamp_shows_its_time() {
        let mut hlc = Hlc::new();
        assert_eq!(hlc.tick(wall(1_500)).to_string(), "1970-01-01T00:00:01.500Z");
        assert_eq!(hlc.tick(wall(1_500)).to_string(), "1970-01-01T00:00:01.500Z+1");
        assert_eq!(hlc.tick(wall(20)).to_string(), "1970-01-01T00:00:01.500Z+2");
    }

    #[test]
    fn a_stamp_far_ahead_is_refused() {
        let mut hlc = Hlc::new();
        let ahead = wall(1_000) + MAX_DRIFT + Duration::from_millis(1);
        let err = hlc.observe(Stamp::at(ahead), wall(1_000)).unwrap_err();
        assert_eq!(err.ahead, MAX_DRIFT + Duration::from_millis(1));
        assert_eq!(hlc.tick(wall(1_000)).millis(), 1_000);
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 256,
            failure_persistence: None,
            rng_seed: RngSeed::Fixed(42),
            ..ProptestConfig::default()
        })]

        #[test]
        fn stamps_only_grow_and_stay_near_the_wall_clock(steps in vec((0u64..5_000, 0u64..9_000), 1..60)) {
            let mut hlc = Hlc::new();
            let mut last = Stamp::default();
            let mut latest = 0;
            for (now, remote) in steps {
                latest = now.max(latest);
                let stamp = hlc.tick(wall(now));
                assert!(stamp > last);
                last = stamp;
                let remote = Stamp::at(wall(remote));
                if hlc.observe(remote, wall(now)).is_ok() {
                    last = hlc.tick(wall(now));
                    assert!(last > remote);
                }
                assert!(u128::from(last.millis()) <= u128::from(latest) + MAX_DRIFT.as_millis());
            }
        }
    }
}
