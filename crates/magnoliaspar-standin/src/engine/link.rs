use std::time::Duration;

use tokio::sync::Semaphore;

/// A link of limited rate that carries one transfer after the other.
#[derive(Debug)]
pub struct Link {
    turn: Semaphore,
    tokens_per_second: f64,
}

impl Link {
    /// Creates an idle link.
    pub fn new(tokens_per_second: f64) -> Self {
        Self { turn: Semaphore::new(1), tokens_per_second }
    }

    /// Waits for its turn and then for as long as the transfer takes.
    pub async fn carry(&self, tokens: u32) {
        let Ok(_turn) = self.turn.acquire().await else { return };
        let seconds = f64::from(tokens) / self.tokens_per_second;
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
    }
}
