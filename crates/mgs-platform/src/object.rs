//! The object store: bodies by key, written whole.

use crate::Error;

/// Largest object, in bytes.
pub const OBJECT_MAX_BYTES: usize = 64 * 1024 * 1024;

/// The object store.
pub trait Objects: Send + Sync {
    /// Writes an object; an object of the same key is replaced. Repeating a put is harmless.
    fn put(&self, key: &str, body: &[u8]) -> Result<(), Error>;

    /// Reads an object.
    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, Error>;

    /// Deletes an object; one that doesn't exist is answered alike.
    fn delete(&self, key: &str) -> Result<(), Error>;
}
