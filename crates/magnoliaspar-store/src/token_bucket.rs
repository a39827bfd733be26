//! A token bucket.

use std::time::{Duration, Instant};

/// A token bucket that is refilled at a constant rate.
///
/// A cost above the burst is granted when the bucket is full and makes its level negative, so that
/// a large cost is delayed but never impossible.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    level: f64,
    updated: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Instant, per_second: f64, burst: f64) -> Self {
        Self { per_second, burst, level: burst, updated: now }
    }

    /// Takes `cost` from the bucket, or returns the time until enough is available.
    pub fn try_take(&mut self, now: Instant, cost: f64) -> Result<(), Duration> {
        self.refill(now);
        let missing = cost.min(self.burst) - self.level;
        if missing > ROUNDING_TOLERANCE {
            return Err(self.time_to_refill(missing));
        }
        self.level -= cost;
        Ok(())
    }

    /// Changes the rate and the burst; the level is kept, up to the new burst.
    pub fn set_rate(&mut self, now: Instant, per_second: f64, burst: f64) {
        self.refill(now);
        self.per_second = per_second;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.updated = self.updated.max(now);
        self.level = (self.level + elapsed.as_secs_f64() * self.per_second).min(self.burst);
    }

    fn time_to_refill(&self, missing: f64) -> Duration {
        if self.per_second <= 0.0 {
            return MAX_WAIT;
        }
        Duration::from_secs_f64((missing / self.per_second).min(MAX_WAIT.as_secs_f64()))
    }
}

/// Shortfall that is ignored as a rounding error.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Upper bound of a returned waiting time.
const MAX_WAIT: Duration = Duration::from_secs(3600);

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::TokenBucket;

    #[test]
    fn a_bucket_grants_its_rate_and_no_more() {
        let start = Instant::now();
        let mut bucket = TokenBucket::new(start, 10.0, 5.0);
        let mut granted = 0;
        for step in 0..1000 {
            let now = start + Duration::from_millis(10 * step);
            granted += u32::from(bucket.try_take(now, 1.0).is_ok());
        }
        // The burst plus the refill of 9.99 s.
        assert_eq!(granted, 5 + 99);
    }

    #[test]
    fn a_cost_above_the_burst_leaves_a_debt() {
        let start = Instant::now();
        let mut bucket = TokenBucket::new(start, 10.0, 5.0);
        assert_eq!(bucket.try_take(start, 25.0), Ok(()));
        assert_eq!(bucket.try_take(start, 5.0), Err(Duration::from_millis(2500)));
        assert_eq!(bucket.try_take(start + Duration::from_millis(2500), 5.0), Ok(()));
    }
}
