//! Interface to the platform's object store.

use async_trait::async_trait;
use bytes::Bytes;

use crate::StoreError;

/// The platform's object store. Objects are written in one call and never modified afterwards.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Writes an object.
    async fn put(&self, name: &str, body: Bytes) -> Result<(), StoreError>;

    /// Reads an object; returns `None` if it does not exist.
    async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreError>;

    /// Reads the bytes `start..end` of an object; returns `None` if the object does not exist.
    async fn get_range(
        &self,
        name: &str,
        start: u64,
        end: u64,
    ) -> Result<Option<Bytes>, StoreError>;

    /// Deletes an object; succeeds if it does not exist.
    async fn delete(&self, name: &str) -> Result<(), StoreError>;
}
