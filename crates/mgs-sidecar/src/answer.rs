//! The answer of one request, kept for its reader and for a resume.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use mgs_schema::wire::envelope::Body;
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
    /// Sequence number of the first kept frame.
    start_seq: u64,
    frames: Vec<TokenFrame>,
    bytes: usize,
    end: Option<Body>,
    reader: Option<Reply>,
}

impl Inner {
    fn next_seq(&self) -> u64 {
        self.start_seq + self.frames.len() as u64
    }

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

    /// An empty answer whose frames before `start_seq` went elsewhere.
    pub fn starting_at(start_seq: u64) -> Self {
        let answer = Self::default();
        answer.lock().start_seq = start_seq;
        answer
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
        if frame.seq != inner.next_seq() || inner.end.is_some() {
            return;
        }
        inner.bytes += std::mem::size_of::<TokenFrame>() + frame.text.len();
        inner.frames.push(frame.clone());
        inner.send(Body::TokenFrame(frame));
    }

    /// Sequence number of the next frame.
    pub fn next_seq(&self) -> u64 {
        self.lock().next_seq()
    }

    /// Memory that the frames take, in bytes.
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Ends the answer with a `Finished` or `Refused` and lets its reader go. The first end counts;
    /// returns whether it was this one.
    pub fn end(&self, end: Body) -> bool {
        let mut inner = self.lock();
        if inner.end.is_some() {
            return false;
        }
        if let Body::Finished(finished) = &end {
            inner.bytes += finished.body.len();
        }
        inner.end = Some(end.clone());
        inner.send(end);
        inner.reader = None;
        true
    }

    /// Whether the end is known.
    pub fn is_ended(&self) -> bool {
        self.lock().end.is_some()
    }

    /// Replaces the reader, and gives it what there is from `next_seq` on; or gives the new reader
    /// back if frames that it wants went elsewhere.
    pub fn attach(&self, reader: Reply, next_seq: u64) -> Result<(), Reply> {
        let mut inner = self.lock();
        if next_seq < inner.start_seq {
            return Err(reader);
        }
        inner.reader = Some(reader);
        let first = usize::try_from(next_seq - inner.start_seq).unwrap_or(usize::MAX);
        let known: Vec<TokenFrame> = inner.frames.iter().skip(first).cloned().collect();
        for frame in known {
            inner.send(Body::TokenFrame(frame));
        }
        if let Some(end) = inner.end.clone() {
            inner.send(end);
            inner.reader = None;
        }
        Ok(())
    }
}
