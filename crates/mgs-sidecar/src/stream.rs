//! The thread of one running request.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use mgs_engine::engine::Engine;
use mgs_engine::engine::Error;
use mgs_engine::engine::Stream;
use mgs_engine::message::Event;
use mgs_engine::message::Start;
use mgs_ledger::execution::NotStarted;
use mgs_ledger::execution::StreamState as Held;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Dispatch;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::Finished;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::TokenFrame;

use crate::service;
use crate::span;
use crate::state::failed;
use crate::state::locked;
use crate::state::Endpoint;
use crate::state::Shared;
use crate::state::Work;

/// Stack of a request's thread; it calls nothing deep.
const STACK_BYTES: usize = 256 << 10;

/// Shortest and longest pause before the engine is asked again, in milliseconds.
const PAUSE_MIN_MS: u64 = 10;
const PAUSE_MAX_MS: u64 = 250;

/// Reason by which an engine marks the end of a cancelled stream.
const CANCELLED: &str = "cancelled";

/// How a request ended.
struct End {
    body: Body,
    held: Held,
}

/// Starts the thread of a request that is to run.
pub(crate) fn spawn(shared: &Arc<Shared>, work: Arc<Work>) -> io::Result<()> {
    let shared = shared.clone();
    std::thread::Builder::new()
        .name("sidecar-stream".to_string())
        .stack_size(STACK_BYTES)
        .spawn(move || run(&shared, &work))
        .map(|_| ())
}

fn run(shared: &Arc<Shared>, work: &Work) {
    let dispatch = locked(&work.dispatch).take();
    let end = match (&shared.endpoint, dispatch) {
        (Endpoint::Engine(engine), Some(dispatch)) => {
            Reader::new(shared, work, engine.as_ref()).start(dispatch)
        }
        (Endpoint::Engine(engine), None) => {
            Some(Reader::new(shared, work, engine.as_ref()).read_on())
        }
        (Endpoint::Service(client), Some(dispatch)) => call(shared, work, client, dispatch),
        (Endpoint::Service(_), None) => None,
    };
    if let Some(end) = end {
        finish(shared, work, end);
    }
}

/// Tells the reader first and the ledger then, so that a resume finds the end.
fn finish(shared: &Arc<Shared>, work: &Work, end: End) {
    let mut generated_tokens = 0;
    if let Body::Finished(finished) = &end.body {
        generated_tokens = finished.generated_tokens;
        if finished.outcome() == Outcome::Failed || finished.outcome() == Outcome::Unknown {
            shared.reporter.count_failure();
        }
        let outcome = finished.outcome();
        if work.answer.end(end.body) {
            shared.metrics.ended(outcome);
        }
    }
    let bytes = work.answer.bytes() as u64;
    shared.tell(|ledger, now_ms| {
        ledger.ended(now_ms, work.id, end.held, bytes, generated_tokens);
    });
}

fn not_started(shared: &Arc<Shared>, work: &Work, dispatch: Dispatch, why: NotStarted) {
    // The request may wait for another turn.
    *locked(&work.dispatch) = Some(dispatch);
    shared.tell(|ledger, now_ms| ledger.not_started(now_ms, work.id, why));
}

/// Makes the call of a plain service, once.
fn call(
    shared: &Arc<Shared>,
    work: &Work,
    client: &service::Client,
    dispatch: Dispatch,
) -> Option<End> {
    let left_ms = work.deadline_ms.saturating_sub(shared.now_ms());
    let body = match client.call(&dispatch, left_ms) {
        Ok(finished) => Body::Finished(finished),
        Err(service::Error::Broken(detail)) => {
            failed(Outcome::Unknown, FailureReason::Endpoint, &detail)
        }
        Err(error) => {
            let why = match error {
                service::Error::Unreachable(_) => NotStarted::Unreachable,
                _ => NotStarted::Rejected,
            };
            not_started(shared, work, dispatch, why);
            return None;
        }
    };
    Some(End {
        body,
        held: Held::Released,
    })
}

/// Whether the engine has a stream.
enum Lookup {
    Found,
    Absent,
    /// The engine doesn't say.
    Silent,
}

/// Reads the answer of one request from the engine.
struct Reader<'a> {
    shared: &'a Arc<Shared>,
    work: &'a Work,
    engine: &'a dyn Engine,
    name: String,
    started_ms: u64,
    pause_ms: u64,
}

impl<'a> Reader<'a> {
    fn new(shared: &'a Arc<Shared>, work: &'a Work, engine: &'a dyn Engine) -> Self {
        Self {
            name: work.stream(),
            started_ms: shared.now_ms(),
            shared,
            work,
            engine,
            pause_ms: PAUSE_MIN_MS,
        }
    }

    /// Starts the stream and reads it; nothing is returned if it is proved not to have started.
    fn start(self, dispatch: Dispatch) -> Option<End> {
        if let Err(error) = span::import(self.shared, self.work, self.engine, &dispatch.kv) {
            log::debug!(error:% = error, stream = self.name; "a part can't be imported");
            not_started(self.shared, self.work, dispatch, NotStarted::Unreachable);
            return None;
        }
        let why = match self.engine.start(&self.message(&dispatch)) {
            Ok(stream) => {
                drop(dispatch);
                self.tell_started();
                return Some(self.read_from(stream));
            }
            Err(Error::Unreachable(_)) => NotStarted::Unreachable,
            Err(Error::Full) => NotStarted::Full,
            Err(Error::Rejected(_)) => NotStarted::Rejected,
            // The name is this attempt's alone, so the stream is its own.
            Err(Error::Exists) => {
                self.tell_started();
                return Some(self.read_on());
            }
            Err(error) => return Some(self.look_up(&error)),
        };
        not_started(self.shared, self.work, dispatch, why);
        None
    }

    fn message(&self, dispatch: &Dispatch) -> Start {
        Start {
            stream: self.name.clone(),
            model: dispatch.model.clone(),
            prompt: String::from_utf8_lossy(&dispatch.body).into_owned(),
            max_tokens: dispatch.max_tokens,
            priority: dispatch.priority,
            kv: dispatch.kv.iter().map(|part| part.kv.clone()).collect(),
        }
    }

    fn tell_started(&self) {
        let id = self.work.id;
        self.shared
            .tell(|ledger, now_ms| ledger.started(now_ms, id));
    }

    /// The answer to the start was lost: the engine's list says whether it took effect. A start
    /// that isn't in the list may still be on its way, so it is never made again.
    fn look_up(mut self, error: &Error) -> End {
        self.shared.metrics.lost_starts.inc();
        let begin_ms = self.shared.now_ms();
        let mut absent_ms = None;
        while !self.is_over() {
            let now_ms = self.shared.now_ms();
            match self.lookup() {
                Lookup::Found => {
                    self.tell_started();
                    return self.read_on();
                }
                Lookup::Absent => {
                    let since_ms = *absent_ms.get_or_insert(now_ms);
                    if now_ms - since_ms >= self.shared.options.start_lookup_ms {
                        break;
                    }
                }
                Lookup::Silent => {
                    if now_ms - begin_ms > self.shared.options.endpoint_silence_ms {
                        break;
                    }
                }
            }
            self.pause();
        }
        End {
            body: failed(
                Outcome::Unknown,
                FailureReason::Endpoint,
                &error.to_string(),
            ),
            held: Held::Unknown,
        }
    }

    fn lookup(&self) -> Lookup {
        match self.engine.streams() {
            Ok(list) if list.iter().any(|stream| stream.stream == self.name) => Lookup::Found,
            Ok(_) => Lookup::Absent,
            Err(_) => Lookup::Silent,
        }
    }

    /// Whether nobody waits for the answer any more.
    fn is_over(&self) -> bool {
        self.shared.is_stopped() || self.work.answer.is_ended()
    }

    fn pause(&mut self) {
        std::thread::sleep(Duration::from_millis(self.pause_ms));
        self.pause_ms = (self.pause_ms * 2).min(PAUSE_MAX_MS);
    }

    fn read_from(mut self, stream: Box<dyn Stream>) -> End {
        match self.read(stream) {
            Some(end) => end,
            None => self.read_on(),
        }
    }

    /// Reads the stream over new connections until it ends or the engine has lost it.
    fn read_on(mut self) -> End {
        let mut answered_ms = self.shared.now_ms();
        while !self.is_over() {
            self.shared.metrics.reopened.inc();
            let seq = self.work.answer.next_seq();
            match self.engine.resume(&self.name, seq) {
                Ok(stream) => {
                    if let Some(end) = self.read(stream) {
                        return end;
                    }
                }
                Err(Error::NotFound) => return lost(Held::Released, "the engine lost the stream"),
                Err(error) => log::debug!(error:% = error, stream = self.name; "no resume"),
            }
            match self.lookup() {
                Lookup::Found => answered_ms = self.shared.now_ms(),
                Lookup::Absent => return lost(Held::Released, "the engine lost the stream"),
                Lookup::Silent => {}
            }
            let silent_ms = self.shared.now_ms().saturating_sub(answered_ms);
            if silent_ms > self.shared.options.endpoint_silence_ms {
                return lost(Held::Unknown, "the engine doesn't answer");
            }
            self.pause();
        }
        lost(Held::Unknown, "nobody waits for the answer")
    }

    /// Reads a stream to its end; `None` if its connection broke or frames are missing.
    fn read(&mut self, mut stream: Box<dyn Stream>) -> Option<End> {
        loop {
            match stream.next() {
                Ok(Some(Event::Token { seq, text, tokens })) => {
                    self.pause_ms = PAUSE_MIN_MS;
                    self.push(TokenFrame { seq, tokens, text });
                }
                Ok(Some(end)) => return self.end(end),
                Ok(None) => return None,
                Err(error) => {
                    log::debug!(error:% = error, stream = self.name; "the stream broke");
                    return None;
                }
            }
        }
    }

    fn push(&mut self, frame: TokenFrame) {
        let first = frame.seq == 0 && self.work.answer.next_seq() == 0;
        self.work.answer.push(frame);
        if first {
            let id = self.work.id;
            self.shared
                .tell(|ledger, now_ms| ledger.first_token(now_ms, id));
            let took_ms = self.shared.now_ms().saturating_sub(self.started_ms);
            self.shared.metrics.first_token_ms.observe(took_ms as f64);
        }
    }

    /// The end, unless frames before it are missing.
    fn end(&self, event: Event) -> Option<End> {
        let Event::End {
            frames,
            prompt_tokens,
            cached_tokens,
            generated_tokens,
            finish_reason,
        } = event
        else {
            return None;
        };
        if finish_reason == CANCELLED {
            let body = failed(Outcome::Failed, FailureReason::Cancelled, "");
            return Some(End {
                body,
                held: Held::Released,
            });
        }
        if frames != self.work.answer.next_seq() {
            return None;
        }
        let body = Body::Finished(Finished {
            outcome: Outcome::Answered.into(),
            frames,
            prompt_tokens,
            cached_tokens,
            generated_tokens,
            finish_reason,
            ..Finished::default()
        });
        Some(End {
            body,
            held: Held::Released,
        })
    }
}

fn lost(held: Held, detail: &str) -> End {
    End {
        body: failed(Outcome::Failed, FailureReason::Endpoint, detail),
        held,
    }
}
