//! What the parts of this crate share within one process.

use std::collections::HashSet;
use std::fmt;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mgs_platform::object::Objects;
use mgs_platform::table::Row;
use mgs_platform::table::Table;

use crate::batch::Op;
use crate::batch::Written;
use crate::clock::Clock;
use crate::durable::Options;
use crate::entry::answer_key;
use crate::entry::Body;
use crate::entry::Done;
use crate::entry::Ending;
use crate::entry::Entry;
use crate::entry::INLINE_MAX_BYTES;
use crate::executor::Answer;
use crate::executor::Executor;
use crate::grouper::Grouper;
use crate::lease::Watch;
use crate::metrics::Metrics;
use crate::pursuit::Action;
use crate::pursuit::Event;
use crate::pursuit::Pursuit;

/// Shortest wait before a row that another gateway holds is read again.
const FOLLOW_MIN: Duration = Duration::from_millis(50);

/// Longest such wait.
const FOLLOW_MAX: Duration = Duration::from_millis(1_000);

/// Wait before an object is written again.
const PUT_RETRY: Duration = Duration::from_millis(50);

/// Shared state of one process.
pub(crate) struct Core {
    pub(crate) options: Options,
    pub(crate) table: Arc<dyn Table>,
    pub(crate) objects: Arc<dyn Objects>,
    pub(crate) executor: Arc<dyn Executor>,
    pub(crate) grouper: Grouper,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) watch: Mutex<Watch>,
    pub(crate) clock: Mutex<Clock>,
    /// Nonces of the tenures that this process is at work on.
    pub(crate) active: Mutex<HashSet<u64>>,
    /// Tenures that this process gave up without knowing whether the store has them.
    pub(crate) surrendered: Mutex<Vec<Surrender>>,
    /// Keys of the durable requests that this process works on.
    pub(crate) working: Mutex<HashSet<String>>,
    /// Whether this gateway's row has been written.
    pub(crate) beaten: AtomicBool,
    /// Set when this process takes no more durable requests.
    pub(crate) draining: AtomicBool,
    /// Set when its threads must end.
    pub(crate) stopping: AtomicBool,
    pub(crate) started: Instant,
}

/// A tenure that was given up.
#[derive(Debug, Clone)]
pub(crate) struct Surrender {
    pub(crate) key: String,
    pub(crate) nonce: u64,
    pub(crate) until_ms: u64,
}

/// Locks a mutex whose holders don't panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}

impl fmt::Debug for Core {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Core")
            .field("options", &self.options)
            .finish_non_exhaustive()
    }
}

impl Core {
    /// Milliseconds of this process's monotonic clock.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The shared time; `None` if the store hasn't been read, or doesn't know this gateway yet.
    pub(crate) fn shared_ms(&self) -> Option<u64> {
        if !self.beaten.load(Ordering::Relaxed) {
            return None;
        }
        let now_ms = self.now_ms();
        lock(&self.clock).now_ms(now_ms)
    }

    pub(crate) fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Whether the holder of an entry is gone. Of this process's own tenures, those that nobody
    /// works on are.
    pub(crate) fn gone(&self, entry: &Entry) -> bool {
        if entry.holder == self.options.gateway {
            return !lock(&self.active).contains(&entry.nonce);
        }
        let now_ms = self.now_ms();
        entry.holder == 0 || lock(&self.watch).expired(entry.holder, now_ms)
    }

    /// A nonce for a new tenure, which counts as worked on until [`Core::leave`].
    pub(crate) fn enter(&self) -> u64 {
        let nonce = rand::random();
        lock(&self.active).insert(nonce);
        nonce
    }

    /// Ends work on a tenure.
    pub(crate) fn leave(&self, nonce: u64) {
        lock(&self.active).remove(&nonce);
    }

    /// Gives up a tenure that the store may have, so that others needn't wait for it.
    pub(crate) fn surrender(&self, key: &str, nonce: u64) {
        let until_ms = self.now_ms() + self.options.surrender_ms;
        let key = key.to_string();
        let surrender = Surrender {
            key,
            nonce,
            until_ms,
        };
        lock(&self.surrendered).push(surrender);
    }

    /// Makes a conditional write.
    pub(crate) fn write(&self, op: Op) -> Written {
        let patience = Duration::from_millis(self.options.write_patience_ms);
        self.grouper.write(op, patience)
    }

    /// Writes an object, again if need be: repeating a put is harmless.
    pub(crate) fn put(&self, key: &str, body: &[u8]) -> Result<(), mgs_platform::Error> {
        let until = Instant::now() + Duration::from_millis(self.options.write_patience_ms);
        loop {
            match self.objects.put(key, body) {
                Ok(()) => return Ok(()),
                Err(error) if Instant::now() >= until => return Err(error),
                Err(_) => thread::sleep(PUT_RETRY),
            }
        }
    }

    /// Does what a pursuit says until it needs its owner.
    pub(crate) fn drive(&self, pursuit: &mut Pursuit, action: Action, until: Instant) -> Action {
        let mut action = action;
        let mut wait = FOLLOW_MIN;
        loop {
            let event = match action {
                Action::Write(op) => Event::Written(self.write(op)),
                Action::Ask(target) => {
                    let tombstone_ms = self.options.tombstone_ms;
                    Event::Proof(self.executor.withdraw(&target, tombstone_ms))
                }
                Action::Follow if Instant::now() < until && !self.stopping() => {
                    thread::sleep(wait);
                    wait = (wait * 2).min(FOLLOW_MAX);
                    match self.table.get(pursuit.key()) {
                        Ok(row) => Event::Row(row),
                        Err(_) => continue,
                    }
                }
                other => return other,
            };
            action = pursuit.on(event, &|entry| self.gone(entry));
        }
    }

    /// The answer of a run as its row keeps it; a long body goes to the object store first.
    pub(crate) fn keep_answer(&self, row_key: &str, fencing: u64, answer: &Answer) -> Option<Done> {
        let mut done = Done::without_answer(answer.ending, &answer.reason);
        done.status = answer.status;
        done.content_type = answer.content_type.clone();
        done.body = self.keep_body(row_key, fencing, &answer.body)?;
        Some(done)
    }

    fn keep_body(&self, row_key: &str, fencing: u64, body: &[u8]) -> Option<Body> {
        if body.is_empty() {
            return Some(Body::None);
        }
        if let Ok(text) = std::str::from_utf8(body) {
            if text.len() <= INLINE_MAX_BYTES {
                return Some(Body::Inline(text.to_string()));
            }
        }
        let key = answer_key(row_key, fencing);
        match self.put(&key, body) {
            Ok(()) => Some(Body::Object(key)),
            Err(error) => {
                log::warn!(error:% = error, key = key.as_str(); "answer can't be kept yet");
                None
            }
        }
    }

    /// The answer that a row keeps; `Err` if the object store can't be read.
    pub(crate) fn read_answer(&self, done: &Done) -> Result<Answer, mgs_platform::Error> {
        let body = match &done.body {
            Body::None => Vec::new(),
            Body::Inline(text) => text.clone().into_bytes(),
            Body::Object(key) => match self.objects.get(key)? {
                Some(body) => body,
                None => return Ok(Answer::without_body(Ending::Failed, "incomplete")),
            },
        };
        Ok(Answer {
            ending: done.ending,
            reason: done.reason.clone(),
            status: done.status,
            content_type: done.content_type.clone(),
            body,
        })
    }

    /// Reads a row and its entry.
    pub(crate) fn read(&self, key: &str) -> Result<Option<(Row, Entry)>, mgs_platform::Error> {
        let row = self.table.get(key)?;
        Ok(row.and_then(|row| Entry::parse(&row.value).map(|entry| (row, entry))))
    }
}
