use async_trait::async_trait;
use bytes::Bytes;

use crate::PlatformError;

/// The platform's object store, for content that is too large for a row.
#[async_trait(?Send)]
pub trait ObjectStore {
    /// Reads an object; returns `None` if it does not exist.
    async fn get(&self, name: &str) -> Result<Option<Bytes>, PlatformError>;

    /// Writes an object; objects are immutable, so writing the same one again is harmless.
    async fn put(&self, name: &str, content: Bytes) -> Result<(), PlatformError>;
}
