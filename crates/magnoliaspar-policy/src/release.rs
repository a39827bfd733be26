use std::time::{Duration, Instant};

use crate::caution::Caution;

/// The time over which the rate of ends is averaged.
const AVERAGED_OVER: Duration = Duration::from_secs(20);

/// How often running jobs end, learned over the whole pool.
///
/// The end of one answer is hard to foretell, but the number of answers that end among many is
/// not. A prefill can so be started before it is known which slot it will get.
#[derive(Debug, Clone)]
pub(crate) struct ReleaseRate {
    /// The slot-seconds that were used, with old ones counting less.
    used: f64,
    /// The ends in that time, with old ones counting less.
    ends: f64,
    counted_at: Option<Instant>,
}

impl ReleaseRate {
    /// Creates a rate that nothing is known of.
    pub(crate) fn new() -> Self {
        Self { used: 0.0, ends: 0.0, counted_at: None }
    }

    /// Counts the time that has passed with `running` jobs.
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

    /// Counts a job that has ended.
    pub(crate) fn end(&mut self) {
        self.ends += 1.0;
    }

    /// Returns whether at least `needed` of `running` jobs end within a time, almost certainly.
    pub(crate) fn covers(
        &self,
        running: u32,
        within: Duration,
        needed: u32,
        caution: Caution,
    ) -> bool {
        let mean = self.rate(running) * within.as_secs_f64();
        // Ends are counted as a Poisson process, whose deviation is the root of its mean.
        mean - caution.deviations() * mean.sqrt() >= f64::from(needed)
    }

    /// Returns how long it takes on average until `needed` of `running` jobs have ended.
    pub(crate) fn time_for(&self, running: u32, needed: u32) -> Option<Duration> {
        let rate = self.rate(running);
        if rate <= 0.0 {
            return None;
        }
        Some(crate::reading::seconds(f64::from(needed) / rate))
    }

    fn rate(&self, running: u32) -> f64 {
        // Nothing is foretold before enough ends were seen.
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
    use crate::caution::Caution;

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
