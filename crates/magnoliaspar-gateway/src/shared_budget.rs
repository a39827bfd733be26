//! The retry budget of one service, which all instances share.

use std::time::Duration;

use magnoliaspar_retry::RetryBudgetConfig;

/// Share of the retry budget that all instances together use.
///
/// The rest covers the delay with which the platform counts the window of the budget.
const USABLE_SHARE: f64 = 0.8;

/// Share of the additional retries that instances have at hand without asking for one, and again that they gain in a
/// window.
const LOCAL_SHARE: f64 = 0.125;

/// Retry budget of one service, shared by all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedBudget {
    /// Retries that each request adds to the budget.
    pub ratio: f64,
    /// Additional retries per window.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

impl SharedBudget {
    /// Returns the budget that one out of `instances` has to itself.
    pub fn local(&self, instances: usize) -> RetryBudgetConfig {
        let part = self.usable_extra() * LOCAL_SHARE / instances.max(1) as f64;
        RetryBudgetConfig {
            retries_per_success: self.ratio * USABLE_SHARE,
            retries_per_second: part / self.window.as_secs_f64(),
            burst: part.max(1.0),
        }
    }

    /// Returns the budget that a coordinator lends to `instances`: what their own budgets leave. Half of it is lent
    /// at once, the other half evenly over a window.
    pub fn pool(&self, instances: usize) -> RetryBudgetConfig {
        let local = self.local(instances);
        let at_hand = local.burst * instances.max(1) as f64;
        let left = self.usable_extra() * (1.0 - LOCAL_SHARE) - at_hand;
        let left = left.max(0.0);
        RetryBudgetConfig {
            retries_per_success: 0.0,
            retries_per_second: left / 2.0 / self.window.as_secs_f64(),
            burst: left / 2.0,
        }
    }

    fn usable_extra(&self) -> f64 {
        self.extra * USABLE_SHARE
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use magnoliaspar_retry::RetryBudget;

    use super::SharedBudget;

    const BUDGET: SharedBudget =
        SharedBudget { ratio: 0.2, extra: 630.0, window: Duration::from_secs(10) };

    /// Plays a fleet whose instances try to send `wanted` retries a second each, and returns the most retries in any
    /// window.
    fn most_in_a_window(budget: SharedBudget, instances: usize, wanted: u32) -> usize {
        let start = Instant::now();
        let mut locals = Vec::new();
        for _ in 0..instances {
            locals.push(RetryBudget::new(budget.local(instances), start));
        }
        let mut pool = RetryBudget::new(budget.pool(instances), start);
        let mut sent = Vec::new();
        let step = Duration::from_millis(100);
        for tick in 0..300 {
            let now = start + step * tick;
            for local in &mut locals {
                for _ in 0..wanted.div_ceil(10) {
                    if local.take(now) || pool.take(now) {
                        sent.push(now);
                    }
                }
            }
        }
        let in_window = |from: Instant| {
            sent.iter().filter(|at| (from..from + budget.window).contains(*at)).count()
        };
        sent.iter().map(|from| in_window(*from)).max().unwrap_or_default()
    }

    #[test]
    fn all_instances_together_stay_within_the_budget() {
        for instances in [1, 6, 72, 295] {
            let most = most_in_a_window(BUDGET, instances, 20);
            assert!(most as f64 <= BUDGET.extra, "{most} retries of {instances} instances");
        }
    }

    #[test]
    fn a_fleet_whose_retries_are_needed_at_few_instances_uses_most_of_the_budget() {
        let start = Instant::now();
        let mut pool = RetryBudget::new(BUDGET.pool(295), start);
        let mut lent = 0;
        for tick in 0..100 {
            let now = start + Duration::from_millis(100) * tick;
            lent += (0..4).filter(|_| pool.take(now)).count();
        }
        assert!(lent > 100, "{lent} retries lent to one instance of 295");
    }

    #[test]
    fn a_budget_too_small_to_share_lends_nothing() {
        let small = SharedBudget { extra: 60.0, ..BUDGET };
        let mut pool = RetryBudget::new(small.pool(295), Instant::now());
        assert!(!pool.take(Instant::now()));
    }
}
