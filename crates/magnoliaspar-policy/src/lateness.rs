//! Margin for first tokens that come later than predicted.

use std::time::{Duration, Instant};

/// The target share of first tokens that come before the predicted time plus the margin.
const QUANTILE: f64 = 0.95;

/// The step in seconds by which one first token changes the margin, before weighting.
const STEP_SECONDS: f64 = 0.02;

/// The upper bound of the margin.
const MAX_MARGIN_SECONDS: f64 = 0.25;

/// An online estimate of a quantile of the lateness of first tokens.
///
/// A first token beyond the margin raises it by a large step, and one within it lowers it by a
/// small step, so that the margin converges to the [`QUANTILE`] quantile of the lateness.
#[derive(Debug, Clone)]
pub(crate) struct Lateness {
    margin_seconds: f64,
}

impl Lateness {
    /// Creates an estimate with a margin of zero.
    pub(crate) fn new() -> Self {
        Self { margin_seconds: 0.0 }
    }

    /// Updates the margin with an observed first token.
    pub(crate) fn observe(&mut self, predicted_at: Instant, arrived_at: Instant) {
        let late = arrived_at.saturating_duration_since(predicted_at).as_secs_f64();
        let step = if late > self.margin_seconds { QUANTILE } else { QUANTILE - 1.0 };
        self.margin_seconds =
            (self.margin_seconds + STEP_SECONDS * step).clamp(0.0, MAX_MARGIN_SECONDS);
    }

    /// Returns the margin to add to the predicted time of a first token.
    pub(crate) fn margin(&self) -> Duration {
        Duration::from_secs_f64(self.margin_seconds)
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::{Lateness, QUANTILE};

    #[test]
    fn the_margin_covers_the_target_quantile() {
        let now = Instant::now();
        let mut lateness = Lateness::new();
        let mut late = 0;
        for n in 0..2_000 {
            // The lateness is distributed evenly between 0 and 100 ms.
            let arrived_at = now + Duration::from_millis(n * 37 % 100);
            late += u32::from(arrived_at > now + lateness.margin());
            lateness.observe(now, arrived_at);
        }
        let share = f64::from(late) / 2_000.0;
        assert!((0.5..1.5).contains(&(share / (1.0 - QUANTILE))), "{late}");
        assert!(lateness.margin() <= Duration::from_millis(120));
    }

    #[test]
    fn the_margin_is_zero_while_predictions_hold() {
        let now = Instant::now();
        let mut lateness = Lateness::new();
        for _ in 0..100 {
            lateness.observe(now, now);
        }
        assert_eq!(lateness.margin(), Duration::ZERO);
    }
}
