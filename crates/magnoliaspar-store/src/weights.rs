use async_trait::async_trait;

use crate::PlatformError;

/// The platform's rate-limited store of model weights.
#[async_trait(?Send)]
pub trait WeightStore {
    /// Requests permission to download `bytes` bytes; the service grants or rate-limits it.
    async fn acquire(&self, model: &str, bytes: u64) -> Result<(), PlatformError>;
}
