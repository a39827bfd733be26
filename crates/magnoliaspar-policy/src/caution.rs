use std::time::Duration;

use crate::Weights;

/// The share of the KV hold time that every reservation keeps free.
const MIN_HOLD_MARGIN: f64 = 0.1;

/// The share of the hold time that a reservation keeps free besides, at full caution.
const HOLD_MARGIN_RANGE: f64 = 0.4;

/// The share of a job's slack that every job keeps free before its target.
const MIN_TARGET_MARGIN: f64 = 0.0;

/// The share of the slack that a job keeps free besides, at full caution.
const TARGET_MARGIN_RANGE: f64 = 0.05;

/// The price of a second of reading that the prefix cache could save, in seconds of delay.
const MIN_READ_PRICE: f64 = 0.1;

/// The price of a second of reading besides, at full caution.
const READ_PRICE_RANGE: f64 = 0.6;

/// The deviations below the mean that a count of ends is relied upon.
const MIN_DEVIATIONS: f64 = 2.5;

/// The deviations besides, at full caution.
const DEVIATIONS_RANGE: f64 = 1.5;

/// The share of the time before the last start that a KV cache may be held on average.
const MAX_WAIT: f64 = 0.3;

/// How careful the decisions for a job are, worked out from the weights of its route.
///
/// The more a route cares for wasted prefill, the larger are the margins; the more it cares for
/// goodput, the more readily a prefill is spent on a risky request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Caution {
    level: f64,
}

impl Caution {
    /// Returns the part of the hold time `hold` that a reservation keeps free.
    pub(crate) fn hold_margin(self, hold: Duration) -> Duration {
        hold.mul_f64(MIN_HOLD_MARGIN + HOLD_MARGIN_RANGE * self.level)
    }

    /// Returns the part of the slack before a target that the job keeps free.
    pub(crate) fn target_margin(self, slack: Duration) -> Duration {
        slack.mul_f64(MIN_TARGET_MARGIN + TARGET_MARGIN_RANGE * self.level)
    }

    /// Returns how many deviations below its mean a count of ends is relied upon.
    pub(crate) fn deviations(self) -> f64 {
        MIN_DEVIATIONS + DEVIATIONS_RANGE * self.level
    }

    /// Returns how long a KV cache may be held on average when it can be held for `hold`.
    pub(crate) fn wait(self, hold: Duration) -> Duration {
        hold.mul_f64(MAX_WAIT * (1.0 - self.level))
    }

    /// Returns the price of reading for `work`, as a delay that would be as bad.
    pub(crate) fn read_price(self, work: Duration) -> Duration {
        work.mul_f64(MIN_READ_PRICE + READ_PRICE_RANGE * self.level)
    }
}

impl From<Weights> for Caution {
    fn from(weights: Weights) -> Self {
        let sum = weights.wasted_prefill + weights.goodput;
        let level = if sum > 0.0 { weights.wasted_prefill / sum } else { 0.5 };
        Self { level: level.clamp(0.0, 1.0) }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::Caution;
    use crate::Weights;

    #[test]
    fn weight_of_wasted_prefill_widens_every_margin() {
        let careful = Caution::from(Weights { wasted_prefill: 0.8, goodput: 0.2 });
        let eager = Caution::from(Weights { wasted_prefill: 0.2, goodput: 0.8 });
        let second = Duration::from_secs(1);
        assert!(careful.hold_margin(second) > eager.hold_margin(second));
        assert!(careful.target_margin(second) > eager.target_margin(second));
        assert!(careful.read_price(second) > eager.read_price(second));
    }

    #[test]
    fn weights_without_a_sum_are_balanced() {
        let none = Caution::from(Weights { wasted_prefill: 0.0, goodput: 0.0 });
        assert_eq!(none, Caution::from(Weights::default()));
    }
}
