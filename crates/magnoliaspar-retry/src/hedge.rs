//! Hedging of lookups.

use std::collections::VecDeque;
use std::time::Duration;

use magnoliaspar_declaration::RepeatRule;

/// Number of recent latencies from which the hedging delay is computed.
const LATENCY_WINDOW: usize = 128;

/// Decides when to hedge a lookup, that is, to send it to a second server before the first answers.
#[derive(Debug, Clone)]
pub struct HedgePolicy {
    cfg: HedgeConfig,
    /// The most recent latencies, in order of arrival.
    latencies: VecDeque<Duration>,
    /// Available hedged calls.
    tokens: f64,
}

impl HedgePolicy {
    /// Creates a policy without latency samples, which hedges nothing until it has enough of them.
    pub fn new(cfg: HedgeConfig) -> Self {
        Self { cfg, latencies: VecDeque::new(), tokens: 0.0 }
    }

    /// Records the start of a call and returns the delay after which to hedge it.
    ///
    /// If there is no answer by then and [`take`](Self::take) returns true, a second call should be
    /// sent. Returns `None` for calls other than lookups, and as long as there are too few samples.
    pub fn started(&mut self, rule: RepeatRule) -> Option<Duration> {
        if rule != RepeatRule::Lookup {
            return None;
        }
        self.tokens = (self.tokens + self.cfg.hedges_per_lookup).min(self.cfg.burst);
        if self.latencies.len() < self.cfg.min_samples {
            return None;
        }
        let mut sorted: Vec<_> = self.latencies.iter().copied().collect();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * self.cfg.quantile) as usize;
        let delay = sorted[rank.min(sorted.len() - 1)];
        Some(delay.max(self.cfg.min_delay))
    }

    /// Takes one hedged call out of the budget; returns false if none is available.
    pub fn take(&mut self, rule: RepeatRule) -> bool {
        if rule != RepeatRule::Lookup || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Records the latency of a first call.
    pub fn answered(&mut self, latency: Duration) {
        self.latencies.push_back(latency);
        if self.latencies.len() > LATENCY_WINDOW {
            self.latencies.pop_front();
        }
    }
}

/// Delay and budget of hedged lookups.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgeConfig {
    /// Hedged calls added to the budget by each lookup.
    pub hedges_per_lookup: f64,
    /// Maximum number of accumulated hedged calls.
    pub burst: f64,
    /// Quantile of the recent latencies that is used as the delay, between 0 and 1.
    pub quantile: f64,
    /// Minimum delay.
    pub min_delay: Duration,
    /// Minimum number of latency samples before any call is hedged.
    pub min_samples: usize,
}

impl Default for HedgeConfig {
    fn default() -> Self {
        let min_delay = Duration::from_millis(5);
        Self { hedges_per_lookup: 0.05, burst: 5.0, quantile: 0.95, min_delay, min_samples: 20 }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use magnoliaspar_declaration::RepeatRule;

    use super::{HedgeConfig, HedgePolicy};

    #[test]
    fn only_a_fraction_of_lookups_and_no_other_calls_are_hedged() {
        let mut policy = HedgePolicy::new(HedgeConfig::default());
        for millis in 0..100 {
            policy.answered(Duration::from_millis(millis));
        }
        for rule in [RepeatRule::Idempotent, RepeatRule::AtMostOnce] {
            assert_eq!(policy.started(rule), None);
            assert!(!policy.take(rule));
        }
        let mut hedges = 0;
        for _ in 0..1000 {
            let delay = policy.started(RepeatRule::Lookup);
            assert_eq!(delay, Some(Duration::from_millis(95)));
            hedges += u32::from(policy.take(RepeatRule::Lookup));
        }
        assert!((45..=50).contains(&hedges), "{hedges}");
    }
}
