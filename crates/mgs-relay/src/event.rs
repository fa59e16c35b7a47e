//! Events of a stream, cut out of bytes that arrive in any portions.

use bytes::Bytes;
use bytes::BytesMut;

const END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

/// Longest event that is waited for, in bytes; endpoints send some hundred.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// Cuts whole events out of a stream and remembers the last identifier.
#[derive(Debug, Default)]
pub(crate) struct Events {
    partial: BytesMut,
    last_id: Option<String>,
}

impl Events {
    /// Takes what arrived; answers the whole events among it and what was kept, as they came.
    pub(crate) fn take(&mut self, arrived: &[u8]) -> Bytes {
        self.partial.extend_from_slice(arrived);
        let Some(end) = last_end(&self.partial) else {
            return Bytes::new();
        };
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Identifier of the last whole event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether an event was begun and not ended.
    pub(crate) fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Whether an event has grown beyond all bounds.
    pub(crate) fn is_excessive(&self) -> bool {
        self.partial.len() > EVENT_BYTES_MAX
    }
}

fn last_end(bytes: &[u8]) -> Option<usize> {
    let at = bytes.windows(END.len()).rposition(|window| window == END)?;
    Some(at + END.len())
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    for line in lines {
        let Some(value) = line.strip_prefix(ID_FIELD) else {
            continue;
        };
        let text = String::from_utf8_lossy(value);
        return Some(text.trim().to_string());
    }
    None
}
