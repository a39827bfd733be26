use std::collections::VecDeque;
use std::time::Duration;

use magnoliaspar_declaration::RepeatRule;

/// How many latencies the delay is computed from.
const WINDOW: usize = 128;

/// Decides when a lookup is sent a second time, to another server, before the first one answers.
#[derive(Debug, Clone)]
pub struct HedgePolicy {
    cfg: HedgeConfig,
    latencies: VecDeque<Duration>,
    tokens: f64,
}

impl HedgePolicy {
    /// Creates a policy without any latencies, which sends nothing twice.
    pub fn new(cfg: HedgeConfig) -> Self {
        Self { cfg, latencies: VecDeque::new(), tokens: 0.0 }
    }

    /// Takes in a call that starts, and returns after which time without answer to ask
    /// [`take`](Self::take) for a second one.
    pub fn started(&mut self, rule: RepeatRule) -> Option<Duration> {
        if rule != RepeatRule::Lookup {
            return None;
        }
        self.tokens = (self.tokens + self.cfg.share).min(self.cfg.burst);
        if self.latencies.len() < self.cfg.samples {
            return None;
        }
        let mut sorted: Vec<_> = self.latencies.iter().copied().collect();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * self.cfg.quantile) as usize;
        let delay = sorted[rank.min(sorted.len() - 1)];
        Some(delay.max(self.cfg.shortest))
    }

    /// Takes one second call out of the allowed share, if there is one.
    pub fn take(&mut self, rule: RepeatRule) -> bool {
        if rule != RepeatRule::Lookup || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Takes in how long a first call took.
    pub fn answered(&mut self, latency: Duration) {
        self.latencies.push_back(latency);
        if self.latencies.len() > WINDOW {
            self.latencies.pop_front();
        }
    }
}

/// When and how often lookups are sent twice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgeConfig {
    /// The most second calls for each lookup.
    pub share: f64,
    /// The most second calls that are saved up.
    pub burst: f64,
    /// The share of recent calls that were faster than the delay.
    pub quantile: f64,
    /// The shortest delay.
    pub shortest: Duration,
    /// How many latencies must be known before any second call.
    pub samples: usize,
}

impl Default for HedgeConfig {
    fn default() -> Self {
        let shortest = Duration::from_millis(5);
        Self { share: 0.05, burst: 5.0, quantile: 0.95, shortest, samples: 20 }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use magnoliaspar_declaration::RepeatRule;

    use super::{HedgeConfig, HedgePolicy};

    #[test]
    fn only_lookups_are_hedged_and_only_a_share_of_them() {
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
