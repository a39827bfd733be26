//! Retry budgets of routes.

use std::time::{Duration, Instant};

/// Limits the retries of one route to a fraction of its successful calls, as a token bucket.
///
/// If the whole backend fails, successes stop and so do retries. A small constant refill rate lets
/// routes with little traffic retry, too.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    /// Available retries; negative if the budget is overdrawn.
    tokens: f64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(cfg: RetryBudgetConfig, now: Instant) -> Self {
        Self { cfg, tokens: cfg.burst, refilled_at: now }
    }

    /// Replaces the limits; the available retries are cut to the new burst but never increased.
    pub fn set_config(&mut self, cfg: RetryBudgetConfig) {
        self.cfg = cfg;
        self.tokens = self.tokens.min(cfg.burst);
    }

    /// Adds the tokens for a call that succeeded, whether it was a first attempt or a retry.
    pub fn succeeded(&mut self) {
        self.add(self.cfg.retries_per_success);
    }

    /// Takes one retry out of the budget; returns false if none is available.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns a retry to the budget that was taken but not made.
    pub fn give_back(&mut self) {
        self.add(1.0);
    }

    /// Charges a retry that was already made; the budget may become negative.
    pub fn charge(&mut self, now: Instant) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Returns true if more retries were charged than were available.
    pub fn is_overdrawn(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens < 0.0
    }

    /// Returns the available retries, without the refill since the last
    /// [`take`](Self::take), [`charge`](Self::charge) or [`is_overdrawn`](Self::is_overdrawn).
    pub fn left(&self) -> f64 {
        self.tokens
    }

    /// Returns the time until the constant refill alone makes a retry available.
    pub fn time_until_refill(&self) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / self.cfg.retries_per_second)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.add(elapsed.as_secs_f64() * self.cfg.retries_per_second);
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.cfg.burst);
    }
}

/// Limits of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries added by each successful call.
    pub retries_per_success: f64,
    /// Retries added per second, independent of traffic.
    pub retries_per_second: f64,
    /// Maximum number of accumulated retries.
    pub burst: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self { retries_per_success: 0.1, retries_per_second: 0.2, burst: 10.0 }
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::{RetryBudget, RetryBudgetConfig};

    #[test]
    fn retries_are_limited_to_a_fraction_of_successes() {
        let start = Instant::now();
        let cfg = RetryBudgetConfig { retries_per_second: 0.01, ..RetryBudgetConfig::default() };
        let mut budget = RetryBudget::new(cfg, start);
        let mut retries = 0;
        for request in 0..1000 {
            // Half of the requests fail, first attempts and retries alike.
            match request % 2 {
                0 => budget.succeeded(),
                _ => retries += u32::from(budget.take(start)),
            }
        }
        assert!((50..=60).contains(&retries), "{retries}");
        while budget.take(start) {}
        assert!(budget.time_until_refill() <= Duration::from_secs(100));
        assert!(budget.take(start + Duration::from_secs(100)));
    }

    #[test]
    fn charging_retries_afterwards_makes_the_budget_negative() {
        let start = Instant::now();
        let cfg = RetryBudgetConfig {
            retries_per_second: 0.5,
            burst: 1.0,
            ..RetryBudgetConfig::default()
        };
        let mut budget = RetryBudget::new(cfg, start);
        assert!(budget.take(start));
        budget.give_back();
        budget.charge(start);
        assert!(!budget.is_overdrawn(start));
        budget.charge(start);
        assert!(budget.is_overdrawn(start));
        assert!(!budget.take(start + Duration::from_secs(3)));
        assert!(!budget.is_overdrawn(start + Duration::from_secs(3)));
        assert!(budget.take(start + Duration::from_secs(4)));
    }
}
