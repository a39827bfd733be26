use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Waits, in real or virtual time.
#[async_trait(?Send)]
pub trait Sleep {
    /// Returns after `duration`.
    async fn sleep(&self, duration: Duration);
}

/// Waits by the runtime's timer.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimerSleep;

#[async_trait(?Send)]
impl Sleep for TimerSleep {
    async fn sleep(&self, duration: Duration) {
        tokio::time::sleep(duration).await;
    }
}

/// How often and after which waits a call is tried again.
#[derive(Clone)]
pub struct Backoff {
    /// The most tries, the first included.
    pub tries: u32,
    /// The longest wait before the second try; it doubles with each further one.
    pub first: Duration,
    /// The longest wait before any try.
    pub longest: Duration,
    /// What waits.
    pub sleep: Rc<dyn Sleep>,
}

impl Backoff {
    /// Creates a backoff for calls that a request waits for.
    pub fn new(sleep: Rc<dyn Sleep>) -> Self {
        let first = Duration::from_millis(20);
        Self { tries: 5, first, longest: Duration::from_secs(1), sleep }
    }

    /// Waits before the try with the number `attempt`, counted from 1, with full jitter.
    ///
    /// `seed` keeps callers that failed together from trying again together.
    pub async fn wait(&self, attempt: u32, seed: u64) {
        let ceiling = self.first.saturating_mul(1 << attempt.min(MAX_DOUBLINGS)).min(self.longest);
        let mut rng = StdRng::seed_from_u64(seed.wrapping_add(u64::from(attempt)));
        self.sleep.sleep(ceiling.mul_f64(rng.random())).await;
    }
}

/// How often the wait doubles at most.
const MAX_DOUBLINGS: u32 = 16;
