use async_trait::async_trait;
use bytes::Bytes;

use crate::PlatformError;

/// The platform's object store, for contents that are too large for a row.
#[async_trait(?Send)]
pub trait ObjectStore {
    /// Reads an object.
    async fn get(&self, name: &str) -> Result<Option<Bytes>, PlatformError>;

    /// Writes an object; objects are never changed once written, so a resend is harmless.
    async fn put(&self, name: &str, content: Bytes) -> Result<(), PlatformError>;
}
