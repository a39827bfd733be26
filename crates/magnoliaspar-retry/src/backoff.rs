//! Exponential backoff of retries.

use std::time::Duration;

use rand::Rng;

/// Maximum number of times that the wait doubles; keeps the shift in range.
const MAX_DOUBLINGS: u32 = 16;

/// Exponential backoff with full jitter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// Upper limit of the wait before the first retry; it doubles with each further retry.
    pub first: Duration,
    /// Upper limit of the wait before any retry.
    pub longest: Duration,
}

impl Backoff {
    /// Returns a random wait before the retry with number `retry`, counted from 0.
    ///
    /// The wait is uniformly distributed between zero and its [`ceiling`](Self::ceiling), so that
    /// callers that failed at the same time do not retry at the same time.
    pub fn wait(&self, retry: u32, rng: &mut dyn rand::RngCore) -> Duration {
        self.ceiling(retry).mul_f64(rng.random())
    }

    /// Returns the upper limit of the wait before the retry with number `retry`, counted from 0.
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
