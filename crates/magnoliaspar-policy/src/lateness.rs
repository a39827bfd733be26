use std::time::{Duration, Instant};

/// The share of first tokens that should come before the predicted time plus the margin.
const QUANTILE: f64 = 0.95;

/// How many seconds one late first token adds to the margin.
const GAIN: f64 = 0.02;

/// The most seconds that the margin can have.
const MAX_MARGIN: f64 = 0.25;

/// How much later than predicted first tokens come, learned from the ones that came.
///
/// The margin follows a quantile: a late first token raises it by much, one in time lowers it by
/// little, so that it rests where the given share is in time.
#[derive(Debug, Clone)]
pub(crate) struct Lateness {
    margin: f64,
}

impl Lateness {
    /// Creates a margin of nothing.
    pub(crate) fn new() -> Self {
        Self { margin: 0.0 }
    }

    /// Learns from a first token.
    pub(crate) fn observe(&mut self, predicted_at: Instant, came_at: Instant) {
        let late = came_at.saturating_duration_since(predicted_at).as_secs_f64();
        let step = if late > self.margin { QUANTILE } else { QUANTILE - 1.0 };
        self.margin = (self.margin + GAIN * step).clamp(0.0, MAX_MARGIN);
    }

    /// Returns how much later than predicted a first token may come.
    pub(crate) fn margin(&self) -> Duration {
        Duration::from_secs_f64(self.margin)
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::{Lateness, QUANTILE};

    #[test]
    fn the_margin_covers_most_of_what_is_seen() {
        let now = Instant::now();
        let mut lateness = Lateness::new();
        let mut late = 0;
        for n in 0..2_000 {
            // First tokens come up to 100 ms late, evenly.
            let came_at = now + Duration::from_millis(n * 37 % 100);
            late += u32::from(came_at > now + lateness.margin());
            lateness.observe(now, came_at);
        }
        let share = f64::from(late) / 2_000.0;
        assert!((0.5..1.5).contains(&(share / (1.0 - QUANTILE))), "{late}");
        assert!(lateness.margin() <= Duration::from_millis(120));
    }

    #[test]
    fn no_margin_is_kept_while_predictions_hold() {
        let now = Instant::now();
        let mut lateness = Lateness::new();
        for _ in 0..100 {
            lateness.observe(now, now);
        }
        assert_eq!(lateness.margin(), Duration::ZERO);
    }
}
