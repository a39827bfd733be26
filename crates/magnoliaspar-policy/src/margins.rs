//! Safety margins of the decisions for a job.

use std::time::Duration;

use crate::Weights;

/// The minimum margin before the end of the KV hold time, as a share of the hold time.
const MIN_HOLD_MARGIN: f64 = 0.1;

/// The additional share of the hold time if only wasted prefill has a weight.
const HOLD_MARGIN_RANGE: f64 = 0.4;

/// The minimum margin before a job's target, as a share of its slack.
const MIN_TARGET_MARGIN: f64 = 0.0;

/// The additional share of the slack if only wasted prefill has a weight.
const TARGET_MARGIN_RANGE: f64 = 0.05;

/// The minimum cost of a second of prefill, in seconds of equivalent delay.
///
/// The cost favors servers whose prefix cache saves prefill work.
const MIN_PREFILL_COST: f64 = 0.1;

/// The additional cost of a second of prefill if only wasted prefill has a weight.
const PREFILL_COST_RANGE: f64 = 0.6;

/// The minimum margin below the expected number of released slots, in standard deviations.
const MIN_DEVIATIONS: f64 = 2.5;

/// The additional standard deviations if only wasted prefill has a weight.
const DEVIATIONS_RANGE: f64 = 1.5;

/// The maximum expected wait for a slot as a share of the available hold time.
///
/// It applies if wasted prefill has no weight, and falls to zero as that weight grows to 1.
const MAX_EXPECTED_HOLD: f64 = 0.3;

/// The safety margins of a job, derived from the weights of its route.
///
/// A higher weight of wasted prefill widens the margins. A higher weight of goodput narrows them,
/// so that prefill work is spent on riskier requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct SafetyMargins {
    waste_weight: f64,
}

impl SafetyMargins {
    /// Returns the margin that a reservation keeps before the end of the hold time `hold`.
    pub(crate) fn hold_margin(self, hold: Duration) -> Duration {
        hold.mul_f64(MIN_HOLD_MARGIN + HOLD_MARGIN_RANGE * self.waste_weight)
    }

    /// Returns the margin that a job keeps before its target, out of its slack.
    pub(crate) fn target_margin(self, slack: Duration) -> Duration {
        slack.mul_f64(MIN_TARGET_MARGIN + TARGET_MARGIN_RANGE * self.waste_weight)
    }

    /// Returns the margin below the expected number of released slots, in standard deviations.
    pub(crate) fn release_deviations(self) -> f64 {
        MIN_DEVIATIONS + DEVIATIONS_RANGE * self.waste_weight
    }

    /// Returns the maximum expected wait of a KV cache for a slot if it can be held for `hold`.
    pub(crate) fn max_expected_hold(self, hold: Duration) -> Duration {
        hold.mul_f64(MAX_EXPECTED_HOLD * (1.0 - self.waste_weight))
    }

    /// Returns the cost of a prefill that takes `prefill_time`, as an equivalent delay.
    pub(crate) fn prefill_cost(self, prefill_time: Duration) -> Duration {
        prefill_time.mul_f64(MIN_PREFILL_COST + PREFILL_COST_RANGE * self.waste_weight)
    }
}

impl From<Weights> for SafetyMargins {
    fn from(weights: Weights) -> Self {
        let sum = weights.wasted_prefill + weights.goodput;
        let waste_weight = if sum > 0.0 { weights.wasted_prefill / sum } else { 0.5 };
        Self { waste_weight: waste_weight.clamp(0.0, 1.0) }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::SafetyMargins;
    use crate::Weights;

    #[test]
    fn weight_of_wasted_prefill_widens_every_margin() {
        let wide = SafetyMargins::from(Weights { wasted_prefill: 0.8, goodput: 0.2 });
        let narrow = SafetyMargins::from(Weights { wasted_prefill: 0.2, goodput: 0.8 });
        let second = Duration::from_secs(1);
        assert!(wide.hold_margin(second) > narrow.hold_margin(second));
        assert!(wide.target_margin(second) > narrow.target_margin(second));
        assert!(wide.prefill_cost(second) > narrow.prefill_cost(second));
    }

    #[test]
    fn zero_weights_count_as_balanced() {
        let none = SafetyMargins::from(Weights { wasted_prefill: 0.0, goodput: 0.0 });
        assert_eq!(none, SafetyMargins::from(Weights::default()));
    }
}
