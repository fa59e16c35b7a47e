//! Splits a server-sent event stream, received in chunks of any size, into whole events.

use bytes::Bytes;
use bytes::BytesMut;

const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

/// Longest event that is accepted, in bytes; endpoints send some hundred.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// Extracts whole events from a stream and remembers the last event identifier.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    /// Number of bytes of the event that has begun in which its end was sought already.
    searched_bytes: usize,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds received bytes; returns all events that are complete now, unchanged.
    pub(crate) fn take(&mut self, arrived: &[u8]) -> Bytes {
        self.partial.extend_from_slice(arrived);
        // The end may have begun in what was searched.
        let from = self.searched_bytes.saturating_sub(EVENT_END.len() - 1);
        let Some(end) = last_boundary(&self.partial[from..]) else {
            self.searched_bytes = self.partial.len();
            return Bytes::new();
        };
        let end = from + end;
        let whole = self.partial.split_to(end).freeze();
        self.searched_bytes = self.partial.len();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Identifier of the last whole event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether an event has begun and not ended.
    pub(crate) fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Number of bytes of the event that has begun.
    pub(crate) fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Whether an incomplete event exceeds [`EVENT_BYTES_MAX`].
    pub(crate) fn is_excessive(&self) -> bool {
        self.partial.len() > EVENT_BYTES_MAX
    }
}

fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let at = bytes
        .windows(EVENT_END.len())
        .rposition(|window| window == EVENT_END)?;
    Some(at + EVENT_END.len())
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
