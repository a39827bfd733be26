//! Prediction of when decode slots become free, from the release rate of the pool.

use std::time::{Duration, Instant};

use crate::margins::Caution;

/// The time constant of the exponential average of the release rate.
const AVERAGED_OVER: Duration = Duration::from_secs(20);

/// The rate at which running jobs release their decode slots, measured over the whole pool.
///
/// The end of a single answer is hard to predict, but the number of answers that end among many is
/// not. A prefill can therefore start before it is known which slot its job will get.
#[derive(Debug, Clone)]
pub(crate) struct ReleaseRate {
    /// The exponentially decayed sum of the used slot-seconds.
    used: f64,
    /// The exponentially decayed number of released slots.
    ends: f64,
    counted_at: Option<Instant>,
}

impl ReleaseRate {
    /// Creates a rate without observations.
    pub(crate) fn new() -> Self {
        Self { used: 0.0, ends: 0.0, counted_at: None }
    }

    /// Accounts for the time since the last call, during which `running` jobs ran.
    pub(crate) fn pass(&mut self, now: Instant, running: u32) {
        let before = self.counted_at.replace(now).unwrap_or(now);
        let passed = now.saturating_duration_since(before).as_secs_f64();
        if passed == 0.0 {
            return;
        }
        let kept = (-passed / AVERAGED_OVER.as_secs_f64()).exp();
        self.used = self.used * kept + f64::from(running) * passed;
        self.ends *= kept;
    }

    /// Records that a running job has released its slot.
    pub(crate) fn end(&mut self) {
        self.ends += 1.0;
    }

    /// Returns whether at least `needed` of `running` jobs are very likely to end within a time.
    pub(crate) fn covers(
        &self,
        running: u32,
        within: Duration,
        needed: u32,
        caution: Caution,
    ) -> bool {
        let mean = self.rate(running) * within.as_secs_f64();
        // Releases are modeled as a Poisson process, so the variance equals the mean.
        mean - caution.deviations() * mean.sqrt() >= f64::from(needed)
    }

    /// Returns the expected time until `needed` of `running` jobs have ended, if it is known.
    pub(crate) fn time_for(&self, running: u32, needed: u32) -> Option<Duration> {
        let rate = self.rate(running);
        if rate <= 0.0 {
            return None;
        }
        Some(crate::prefill_load::seconds(f64::from(needed) / rate))
    }

    fn rate(&self, running: u32) -> f64 {
        // With fewer observations the rate counts as unknown.
        const MIN_ENDS: f64 = 4.0;
        if self.ends < MIN_ENDS || self.used <= 0.0 {
            return 0.0;
        }
        f64::from(running) * self.ends / self.used
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::ReleaseRate;
    use crate::Weights;
    use crate::margins::Caution;

    fn learned() -> ReleaseRate {
        let start = Instant::now();
        let mut rate = ReleaseRate::new();
        // One of 100 jobs ends every 100 ms.
        for n in 0..1_000 {
            rate.pass(start + Duration::from_millis(100 * n), 100);
            rate.end();
        }
        rate
    }

    #[test]
    fn ends_are_foretold_for_the_pool() {
        let rate = learned();
        let time = rate.time_for(100, 5).unwrap();
        assert!((0.45..0.55).contains(&time.as_secs_f64()), "{time:?}");
        let time = rate.time_for(200, 5).unwrap();
        assert!((0.2..0.3).contains(&time.as_secs_f64()), "{time:?}");
        assert_eq!(ReleaseRate::new().time_for(100, 1), None);
    }

    #[test]
    fn caution_asks_for_more_time() {
        let rate = learned();
        let careful = Caution::from(Weights { wasted_prefill: 1.0, goodput: 0.0 });
        let eager = Caution::from(Weights { wasted_prefill: 0.0, goodput: 1.0 });
        let second = Duration::from_secs(1);
        let most = |caution| (0..20).filter(|n| rate.covers(100, second, *n, caution)).count();
        assert!(most(eager) > most(careful));
        assert!(!rate.covers(100, second, 10, eager));
        assert!(rate.covers(100, 10 * second, 10, careful));
    }
}
