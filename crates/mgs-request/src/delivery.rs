//! Puts the pieces of an answer in order.

use std::collections::BTreeMap;

use mgs_schema::wire::Finished;
use mgs_schema::wire::TokenFrame;

/// Most early frames kept; later ones are dropped and asked for again.
const EARLY_FRAMES_MAX: usize = 1_024;

/// Frames of one answer: what was delivered, what came early, and the announced end.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Delivery {
    next_seq: u64,
    early: BTreeMap<u64, TokenFrame>,
    end: Option<Finished>,
}

impl Delivery {
    /// The next wanted frame.
    ///
    /// ```
    /// use mgs_request::delivery::Delivery;
    /// use mgs_schema::wire::TokenFrame;
    ///
    /// let mut delivery = Delivery::default();
    /// let early = TokenFrame { seq: 1, ..TokenFrame::default() };
    /// assert!(delivery.take(early).is_empty());
    /// assert_eq!(delivery.take(TokenFrame::default()).len(), 2);
    /// assert_eq!(delivery.next_seq(), 2);
    /// ```
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Takes a frame; gives those that may be delivered now, in order. Doubled frames are
    /// dropped.
    pub fn take(&mut self, frame: TokenFrame) -> Vec<TokenFrame> {
        let doubled = frame.seq < self.next_seq;
        let no_room = frame.seq > self.next_seq && self.early.len() >= EARLY_FRAMES_MAX;
        if doubled || no_room {
            return Vec::new();
        }
        self.early.entry(frame.seq).or_insert(frame);
        let mut ready = Vec::new();
        while let Some(frame) = self.early.remove(&self.next_seq) {
            self.next_seq += 1;
            ready.push(frame);
        }
        ready
    }

    /// Notes the announced end.
    pub fn announce(&mut self, end: Finished) {
        self.end = Some(end);
    }

    /// The announced end.
    pub fn announced(&self) -> Option<&Finished> {
        self.end.as_ref()
    }

    /// Whether each frame up to the announced end was delivered, and none beyond it.
    pub fn is_whole(&self) -> bool {
        let whole = |end: &Finished| end.frames == self.next_seq && self.early.is_empty();
        self.end.as_ref().is_some_and(whole)
    }

    /// Whether frames came that lie beyond the announced end: the answer contradicts itself.
    pub fn overran(&self) -> bool {
        let beyond = self.early.keys().next_back().map_or(0, |seq| seq + 1);
        let seen = self.next_seq.max(beyond);
        self.end.as_ref().is_some_and(|end| seen > end.frames)
    }
}
