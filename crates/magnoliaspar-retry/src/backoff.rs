use std::time::Duration;

use rand::Rng;

/// How often a wait doubles at most.
const MAX_DOUBLINGS: u32 = 16;

/// Waits before retries that double in length, with full jitter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// The longest wait before the first retry.
    pub first: Duration,
    /// The longest wait before any retry.
    pub longest: Duration,
}

impl Backoff {
    /// Returns how long to wait before the retry with number `retry`, counted from 0.
    ///
    /// The wait is drawn evenly between zero and its longest, so that callers that failed together
    /// do not try again together.
    pub fn wait(&self, retry: u32, rng: &mut dyn rand::RngCore) -> Duration {
        self.ceiling(retry).mul_f64(rng.random())
    }

    /// Returns the longest wait before the retry with number `retry`, counted from 0.
    pub fn ceiling(&self, retry: u32) -> Duration {
        self.first.saturating_mul(1 << retry.min(MAX_DOUBLINGS)).min(self.longest)
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Self { first: Duration::from_millis(50), longest: Duration::from_secs(2) }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use rand::SeedableRng;
    use rand::rngs::StdRng;

    use super::Backoff;

    #[test]
    fn waits_spread_over_the_whole_range_and_stay_below_the_longest() {
        let backoff = Backoff::default();
        let mut rng = StdRng::seed_from_u64(1);
        let waits: Vec<_> = (0..1000).map(|_| backoff.wait(2, &mut rng)).collect();
        let low = waits.iter().filter(|wait| **wait < Duration::from_millis(100)).count();
        assert!((400..600).contains(&low), "{low}");
        assert!(waits.iter().all(|wait| *wait <= Duration::from_millis(200)));
        assert_eq!(backoff.ceiling(2), Duration::from_millis(200));
        assert_eq!(backoff.ceiling(u32::MAX), backoff.longest);
        assert!((0..100).all(|_| backoff.wait(40, &mut rng) <= backoff.longest));
    }
}
