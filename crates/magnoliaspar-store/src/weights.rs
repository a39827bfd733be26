use async_trait::async_trait;

use crate::PlatformError;

/// The platform's rate-limited store of model weights.
#[async_trait(?Send)]
pub trait WeightStore {
    /// Asks for leave to start one download of `bytes` bytes; it is granted or rate-limited.
    async fn acquire(&self, model: &str, bytes: u64) -> Result<(), PlatformError>;
}
