//! Exponential backoff with full jitter, and the timer that it waits on.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A timer in real or virtual time.
#[async_trait(?Send)]
pub trait Sleep {
    /// Returns after `duration`.
    async fn sleep(&self, duration: Duration);
}

/// The timer of the runtime.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimerSleep;

#[async_trait(?Send)]
impl Sleep for TimerSleep {
    async fn sleep(&self, duration: Duration) {
        tokio::time::sleep(duration).await;
    }
}

/// The number of attempts of a call and the delays between them.
#[derive(Clone)]
pub struct Backoff {
    /// Maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// Base of the delay; its upper bound before retry number `n` is this times 2^`n`.
    pub base_delay: Duration,
    /// Upper bound of the delay before any attempt.
    pub max_delay: Duration,
    /// The timer for the delays.
    pub sleep: Rc<dyn Sleep>,
}

impl Backoff {
    /// Creates a backoff for calls on the path of a request.
    pub fn new(sleep: Rc<dyn Sleep>) -> Self {
        let base_delay = Duration::from_millis(20);
        Self { max_attempts: 5, base_delay, max_delay: Duration::from_secs(1), sleep }
    }

    /// Waits before retry number `attempt`, counted from 1, with full jitter.
    ///
    /// Different seeds keep calls that failed at the same time from being retried at the same time.
    pub async fn wait(&self, attempt: u32, seed: u64) {
        let ceiling =
            self.base_delay.saturating_mul(1 << attempt.min(MAX_DOUBLINGS)).min(self.max_delay);
        let mut rng = StdRng::seed_from_u64(seed.wrapping_add(u64::from(attempt)));
        self.sleep.sleep(ceiling.mul_f64(rng.random())).await;
    }
}

/// Maximum number of times that the delay doubles.
const MAX_DOUBLINGS: u32 = 16;
