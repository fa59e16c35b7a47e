//! Bytes that keep something else until they and all their clones are dropped.

use bytes::Bytes;

struct AttachedBytes<T> {
    bytes: Bytes,
    _attached: T,
}

impl<T> AsRef<[u8]> for AttachedBytes<T> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns the same bytes; `attached` is dropped with the last of their clones.
pub(crate) fn attach<T: Send + 'static>(bytes: Bytes, attached: T) -> Bytes {
    Bytes::from_owner(AttachedBytes {
        bytes,
        _attached: attached,
    })
}
