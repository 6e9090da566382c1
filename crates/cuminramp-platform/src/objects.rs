//! The object store.

use async_trait::async_trait;
use bytes::Bytes;

use crate::StoreError;

/// The platform's object store. Objects are written whole and, here, never changed.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Writes an object.
    async fn put(&self, name: &str, body: Bytes) -> Result<(), StoreError>;

    /// Reads an object; `None` where there is none.
    async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreError>;

    /// Reads bytes `start..end` of an object; `None` where there is none.
    async fn get_range(
        &self,
        name: &str,
        start: u64,
        end: u64,
    ) -> Result<Option<Bytes>, StoreError>;

    /// Deletes an object; deleting one that is not there is no error.
    async fn delete(&self, name: &str) -> Result<(), StoreError>;
}
