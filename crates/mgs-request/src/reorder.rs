//! A reorder buffer for the frames of a response.

use std::collections::BTreeMap;

use mgs_schema::wire::Finished;
use mgs_schema::wire::TokenFrame;

/// Maximum number of buffered out-of-order frames; further ones are dropped and requested again.
const PENDING_FRAMES_MAX: usize = 1_024;

/// Frames of one response: the next sequence number, buffered out-of-order frames, and the
/// announced end.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ReorderBuffer {
    next_seq: u64,
    pending: BTreeMap<u64, TokenFrame>,
    end: Option<Finished>,
}

impl ReorderBuffer {
    /// Sequence number of the next frame to deliver.
    ///
    /// ```
    /// use mgs_request::reorder::ReorderBuffer;
    /// use mgs_schema::wire::TokenFrame;
    ///
    /// let mut buffer = ReorderBuffer::default();
    /// let out_of_order = TokenFrame { seq: 1, ..TokenFrame::default() };
    /// assert!(buffer.push(out_of_order).is_empty());
    /// assert_eq!(buffer.push(TokenFrame::default()).len(), 2);
    /// assert_eq!(buffer.next_seq(), 2);
    /// ```
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Adds a frame and returns the frames that can be delivered now, in order. Duplicates are
    /// dropped.
    pub fn push(&mut self, frame: TokenFrame) -> Vec<TokenFrame> {
        let is_duplicate = frame.seq < self.next_seq;
        let is_full = frame.seq > self.next_seq && self.pending.len() >= PENDING_FRAMES_MAX;
        if is_duplicate || is_full {
            return Vec::new();
        }
        self.pending.entry(frame.seq).or_insert(frame);
        let mut ready = Vec::new();
        while let Some(frame) = self.pending.remove(&self.next_seq) {
            self.next_seq += 1;
            ready.push(frame);
        }
        ready
    }

    /// Stores the announced end of the response.
    pub fn set_end(&mut self, end: Finished) {
        self.end = Some(end);
    }

    /// The announced end of the response, once it is known.
    pub fn end(&self) -> Option<&Finished> {
        self.end.as_ref()
    }

    /// Whether exactly the announced number of frames was received and delivered.
    pub fn is_complete(&self) -> bool {
        let complete = |end: &Finished| end.frames == self.next_seq && self.pending.is_empty();
        self.end.as_ref().is_some_and(complete)
    }

    /// Whether frames were received beyond the announced end, which makes the response
    /// inconsistent.
    pub fn has_excess_frames(&self) -> bool {
        let pending_end = self.pending.keys().next_back().map_or(0, |seq| seq + 1);
        let seen = self.next_seq.max(pending_end);
        self.end.as_ref().is_some_and(|end| seen > end.frames)
    }
}
