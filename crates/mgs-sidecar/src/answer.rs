//! The answer of one request, kept for its reader and for a resume.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Finished;
use mgs_schema::wire::TokenFrame;
use mgs_transport::server::Reply;

/// Frames and end of an answer, and who reads them. Shared by the thread that writes it and the
/// threads on which readers arrive.
#[derive(Debug, Default)]
pub struct Answer {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    frames: Vec<TokenFrame>,
    bytes: usize,
    end: Option<Body>,
    reader: Option<Reply>,
}

impl Inner {
    fn send(&mut self, body: Body) {
        let gone = match &self.reader {
            Some(reader) => reader.send(body).is_err(),
            None => false,
        };
        if gone {
            self.reader = None;
        }
    }
}

impl Answer {
    /// An empty answer without a reader.
    ///
    /// ```
    /// use mgs_sidecar::answer::Answer;
    ///
    /// assert_eq!(Answer::new().next_seq(), 0);
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a message to the present reader without keeping it.
    pub fn tell(&self, body: Body) {
        self.lock().send(body);
    }

    /// Adds a frame if it is the next one; others were seen before.
    pub fn push(&self, frame: TokenFrame) {
        let mut inner = self.lock();
        if frame.seq != inner.frames.len() as u64 || inner.end.is_some() {
            return;
        }
        inner.bytes += std::mem::size_of::<TokenFrame>() + frame.text.len();
        inner.frames.push(frame.clone());
        inner.send(Body::TokenFrame(frame));
    }

    /// Sequence number of the next frame.
    pub fn next_seq(&self) -> u64 {
        self.lock().frames.len() as u64
    }

    /// Memory that the frames take, in bytes.
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Ends the answer with a `Finished` or `Refused` and lets its reader go; the first end counts.
    pub fn end(&self, end: Body) {
        let mut inner = self.lock();
        if inner.end.is_some() {
            return;
        }
        inner.end = Some(end.clone());
        inner.send(end);
        inner.reader = None;
    }

    /// Whether the end is known.
    pub fn is_ended(&self) -> bool {
        self.lock().end.is_some()
    }

    /// Replaces the reader, and gives it what there is from `next_seq` on.
    pub fn attach(&self, reader: Reply, next_seq: u64) {
        let mut inner = self.lock();
        inner.reader = Some(reader);
        let first = usize::try_from(next_seq).unwrap_or(usize::MAX);
        let known: Vec<TokenFrame> = inner.frames.iter().skip(first).cloned().collect();
        for frame in known {
            inner.send(Body::TokenFrame(frame));
        }
        if let Some(end) = inner.end.clone() {
            inner.send(end);
            inner.reader = None;
        }
    }

    /// Forgets the frames of an ended answer; a later reader gets `end` alone.
    pub fn discard(&self, end: Finished) {
        let mut inner = self.lock();
        inner.frames = Vec::new();
        inner.bytes = 0;
        inner.end = Some(Body::Finished(end));
    }
}
