use std::time::{Duration, Instant};

/// A token bucket that is refilled at a constant rate.
///
/// A cost above the burst is granted when the bucket is full and leaves a debt, so that one large
/// cost is delayed but never impossible.
#[derive(Debug, Clone)]
pub struct RateBudget {
    per_second: f64,
    burst: f64,
    level: f64,
    updated: Instant,
}

impl RateBudget {
    /// Creates a full bucket.
    pub fn new(now: Instant, per_second: f64, burst: f64) -> Self {
        Self { per_second, burst, level: burst, updated: now }
    }

    /// Takes `cost` from the bucket, or returns after how long it could be taken.
    pub fn try_take(&mut self, now: Instant, cost: f64) -> Result<(), Duration> {
        self.refill(now);
        let missing = cost.min(self.burst) - self.level;
        if missing > ROUNDING {
            return Err(self.refill_time(missing));
        }
        self.level -= cost;
        Ok(())
    }

    /// Changes the rate and the burst; what is in the bucket stays, up to the new burst.
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

    fn refill_time(&self, missing: f64) -> Duration {
        if self.per_second <= 0.0 {
            return MAX_WAIT;
        }
        Duration::from_secs_f64((missing / self.per_second).min(MAX_WAIT.as_secs_f64()))
    }
}

/// What may be missing from the bucket because of rounding.
const ROUNDING: f64 = 1e-6;

/// The longest wait that a bucket names.
const MAX_WAIT: Duration = Duration::from_secs(3600);

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::RateBudget;

    #[test]
    fn a_bucket_grants_its_rate_and_no_more() {
        let start = Instant::now();
        let mut budget = RateBudget::new(start, 10.0, 5.0);
        let mut granted = 0;
        for step in 0..1000 {
            let now = start + Duration::from_millis(10 * step);
            granted += u32::from(budget.try_take(now, 1.0).is_ok());
        }
        // The burst, and the refill of 9.99 s.
        assert_eq!(granted, 5 + 99);
    }

    #[test]
    fn a_cost_above_the_burst_leaves_a_debt() {
        let start = Instant::now();
        let mut budget = RateBudget::new(start, 10.0, 5.0);
        assert_eq!(budget.try_take(start, 25.0), Ok(()));
        assert_eq!(budget.try_take(start, 5.0), Err(Duration::from_millis(2500)));
        assert_eq!(budget.try_take(start + Duration::from_millis(2500), 5.0), Ok(()));
    }
}
