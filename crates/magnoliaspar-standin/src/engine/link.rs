use std::time::Duration;

use tokio::sync::Semaphore;

/// A network link of limited bandwidth that runs one transfer at a time.
#[derive(Debug)]
pub struct Link {
    permit: Semaphore,
    tokens_per_second: f64,
}

impl Link {
    /// Creates an idle link.
    pub fn new(tokens_per_second: f64) -> Self {
        Self { permit: Semaphore::new(1), tokens_per_second }
    }

    /// Waits for earlier transfers and then for the duration of this one.
    pub async fn transfer(&self, tokens: u32) {
        let Ok(_permit) = self.permit.acquire().await else { return };
        let seconds = f64::from(tokens) / self.tokens_per_second;
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
    }
}
