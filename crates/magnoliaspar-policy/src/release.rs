//! Prediction of when decode slots become free, from the release rate of the pool.

use std::time::{Duration, Instant};

use crate::margins::SafetyMargins;

/// The time constant of the exponential average of the release rate.
const AVERAGING_TIME: Duration = Duration::from_secs(20);

/// The rate at which running jobs release their decode slots, measured over the whole pool.
///
/// The end of a single answer is hard to predict, but the number of answers that end among many is
/// not. A prefill can therefore start before it is known which slot its job will get.
#[derive(Debug, Clone)]
pub(crate) struct ReleaseRate {
    /// The exponentially decayed sum of the used slot-seconds.
    slot_seconds: f64,
    /// The exponentially decayed number of released slots.
    releases: f64,
    updated_at: Option<Instant>,
}

impl ReleaseRate {
    /// Creates a rate without observations.
    pub(crate) fn new() -> Self {
        Self { slot_seconds: 0.0, releases: 0.0, updated_at: None }
    }

    /// Accounts for the time since the last call, during which `running` jobs ran.
    pub(crate) fn advance(&mut self, now: Instant, running: u32) {
        let before = self.updated_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(before).as_secs_f64();
        if elapsed == 0.0 {
            return;
        }
        let decay = (-elapsed / AVERAGING_TIME.as_secs_f64()).exp();
        self.slot_seconds = self.slot_seconds * decay + f64::from(running) * elapsed;
        self.releases *= decay;
    }

    /// Records that a running job has released its slot.
    pub(crate) fn record_release(&mut self) {
        self.releases += 1.0;
    }

    /// Returns whether at least `needed` of `running` jobs are very likely to end within a time.
    pub(crate) fn is_release_likely(
        &self,
        running: u32,
        within: Duration,
        needed: u32,
        margins: SafetyMargins,
    ) -> bool {
        let mean = self.rate(running) * within.as_secs_f64();
        // Releases are modeled as a Poisson process, so the variance equals the mean.
        mean - margins.release_deviations() * mean.sqrt() >= f64::from(needed)
    }

    /// Returns the expected time until `needed` of `running` jobs have ended, if it is known.
    pub(crate) fn expected_time(&self, running: u32, needed: u32) -> Option<Duration> {
        let rate = self.rate(running);
        if rate <= 0.0 {
            return None;
        }
        Some(crate::prefill_load::duration_from_secs(f64::from(needed) / rate))
    }

    fn rate(&self, running: u32) -> f64 {
        // With fewer observations the rate counts as unknown.
        const MIN_RELEASES: f64 = 4.0;
        if self.releases < MIN_RELEASES || self.slot_seconds <= 0.0 {
            return 0.0;
        }
        f64::from(running) * self.releases / self.slot_seconds
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::ReleaseRate;
    use crate::Weights;
    use crate::margins::SafetyMargins;

    fn observed_rate() -> ReleaseRate {
        let start = Instant::now();
        let mut rate = ReleaseRate::new();
        // One of 100 jobs ends every 100 ms.
        for n in 0..1_000 {
            rate.advance(start + Duration::from_millis(100 * n), 100);
            rate.record_release();
        }
        rate
    }

    #[test]
    fn releases_are_predicted_for_the_pool() {
        let rate = observed_rate();
        let time = rate.expected_time(100, 5).unwrap();
        assert!((0.45..0.55).contains(&time.as_secs_f64()), "{time:?}");
        let time = rate.expected_time(200, 5).unwrap();
        assert!((0.2..0.3).contains(&time.as_secs_f64()), "{time:?}");
        assert_eq!(ReleaseRate::new().expected_time(100, 1), None);
    }

    #[test]
    fn wider_margins_require_more_time() {
        let rate = observed_rate();
        let wide = SafetyMargins::from(Weights { wasted_prefill: 1.0, goodput: 0.0 });
        let narrow = SafetyMargins::from(Weights { wasted_prefill: 0.0, goodput: 1.0 });
        let second = Duration::from_secs(1);
        let max_likely_releases =
            |margins| (0..20).filter(|n| rate.is_release_likely(100, second, *n, margins)).count();
        assert!(max_likely_releases(narrow) > max_likely_releases(wide));
        assert!(!rate.is_release_likely(100, second, 10, narrow));
        assert!(rate.is_release_likely(100, 10 * second, 10, wide));
    }
}
