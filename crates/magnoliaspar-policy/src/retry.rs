//! Retry budget, which limits the retries of a pool relative to its successes.

/// The cost of one retry in thousandths.
const RETRY_COST: u32 = 1_000;

/// The refill per success in thousandths, which sustains one retry per ten successes.
const SUCCESS_REFILL: u32 = 100;

/// The retry budget of a pool, which successes refill.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    thousandths: u32,
    max: u32,
}

impl RetryBudget {
    /// Creates a full budget of `retries`.
    pub(crate) fn new(retries: u32) -> Self {
        let max = retries.saturating_mul(RETRY_COST);
        Self { thousandths: max, max }
    }

    /// Takes one retry from the budget. Returns false if the budget is exhausted.
    pub(crate) fn spend(&mut self) -> bool {
        let Some(remaining) = self.thousandths.checked_sub(RETRY_COST) else { return false };
        self.thousandths = remaining;
        true
    }

    /// Refills the budget for one success.
    pub(crate) fn refill(&mut self) {
        self.thousandths = self.thousandths.saturating_add(SUCCESS_REFILL).min(self.max);
    }
}

#[cfg(test)]
mod tests {
    use super::RetryBudget;

    #[test]
    fn ten_successes_pay_for_one_retry() {
        let mut budget = RetryBudget::new(2);
        assert!(budget.spend());
        assert!(budget.spend());
        assert!(!budget.spend());
        for _ in 0..9 {
            budget.refill();
        }
        assert!(!budget.spend());
        budget.refill();
        assert!(budget.spend());
    }

    #[test]
    fn successes_do_not_raise_the_budget_above_its_maximum() {
        let mut budget = RetryBudget::new(1);
        for _ in 0..100 {
            budget.refill();
        }
        assert!(budget.spend());
        assert!(!budget.spend());
    }
}
