use std::time::{Duration, Instant};

/// Bounds the retries of one route by a share of its successes.
///
/// When a backend fails as a whole, successes stop and so do retries. A small constant rate keeps
/// routes with little traffic from having none.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    tokens: f64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(cfg: RetryBudgetConfig, now: Instant) -> Self {
        Self { cfg, tokens: cfg.burst, refilled_at: now }
    }

    /// Replaces what the route may make, without giving it more than is saved up now.
    pub fn set_config(&mut self, cfg: RetryBudgetConfig) {
        self.cfg = cfg;
        self.tokens = self.tokens.min(cfg.burst);
    }

    /// Takes in that a first try or a retry succeeded.
    pub fn succeeded(&mut self) {
        self.add(self.cfg.share);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Gives a retry back that was taken and not made.
    pub fn give_back(&mut self) {
        self.add(1.0);
    }

    /// Charges a retry that was made already; the budget may owe retries afterwards.
    pub fn charge(&mut self, now: Instant) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Whether more retries were charged than there were.
    pub fn is_overdrawn(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens < 0.0
    }

    /// Returns how many retries are saved up, without what time has added since the last one.
    pub fn left(&self) -> f64 {
        self.tokens
    }

    /// Returns after which time a retry is possible without any success.
    pub fn wait(&self) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / self.cfg.per_second)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.add(elapsed.as_secs_f64() * self.cfg.per_second);
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.cfg.burst);
    }
}

/// How many retries a route may make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// How many retries each success adds.
    pub share: f64,
    /// How many retries each second adds.
    pub per_second: f64,
    /// The most retries that are saved up.
    pub burst: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self { share: 0.1, per_second: 0.2, burst: 10.0 }
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::{RetryBudget, RetryBudgetConfig};

    #[test]
    fn retries_are_a_share_of_successes() {
        let start = Instant::now();
        let cfg = RetryBudgetConfig { per_second: 0.01, ..RetryBudgetConfig::default() };
        let mut budget = RetryBudget::new(cfg, start);
        let mut retries = 0;
        for request in 0..1000 {
            // Half of the requests fail, first tries and retries alike.
            match request % 2 {
                0 => budget.succeeded(),
                _ => retries += u32::from(budget.take(start)),
            }
        }
        assert!((50..=60).contains(&retries), "{retries}");
        while budget.take(start) {}
        assert!(budget.wait() <= Duration::from_secs(100));
        assert!(budget.take(start + Duration::from_secs(100)));
    }
    #[test]
    fn retries_charged_afterwards_are_owed() {
        let start = Instant::now();
        let cfg = RetryBudgetConfig { per_second: 0.5, burst: 1.0, ..RetryBudgetConfig::default() };
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
