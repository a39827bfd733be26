//! Monotonic and wall-clock time, with a manual clock for tests.

use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime};

use nix::time::{ClockId, clock_gettime};

/// A source of time.
///
/// Code that measures time takes a clock as a parameter, so that tests can run in virtual time.
pub trait Clock {
    /// Returns the current monotonic time.
    fn now(&self) -> Instant;

    /// Returns the current wall-clock time, which may step backwards.
    fn wall(&self) -> SystemTime;

    /// Returns the time since the system started, which includes the time for which it was suspended.
    ///
    /// The monotonic clock stops meanwhile.
    fn since_boot(&self) -> Duration;
}

/// The operating system's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn since_boot(&self) -> Duration {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has this clock");
        time.into()
    }
}

/// A clock that advances only through [`advance`](Self::advance).
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Cell<Duration>,
}

impl ManualClock {
    /// Creates a clock with an arbitrary start time and no elapsed time.
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed: Cell::new(Duration::ZERO) }
    }

    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        self.elapsed.set(self.elapsed.get() + step);
    }

    /// Returns the time by which the clock has been advanced since its start.
    pub fn elapsed(&self) -> Duration {
        self.elapsed.get()
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed.get()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed.get()
    }

    fn since_boot(&self) -> Duration {
        self.elapsed.get()
    }
}
