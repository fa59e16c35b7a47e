//! Faults of the platform, set while it runs, and counters of its calls.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mgs_platform::Error;
use serde::Deserialize;
use serde::Serialize;

const MS_PER_S: f64 = 1_000.0;

/// Which faults there are; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Every call is refused and nothing happens.
    pub outage: bool,
    /// Wait before a call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Wait after a call took effect and before it is answered, in milliseconds.
    pub reply_delay_ms: u64,
    /// Writes, from now on, that take effect and whose reply is lost.
    pub lose_next_replies: u64,
    /// Every Nth write takes effect and its reply is lost; 0 for none.
    pub lose_every: u64,
    /// Reads served in a second; 0 for no limit.
    pub reads_per_s: f64,
    /// Writes served in a second; 0 for no limit.
    pub writes_per_s: f64,
}

/// Counts of calls since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads that took effect.
    pub reads: u64,
    /// Writes that took effect.
    pub writes: u64,
    /// Calls refused by an outage.
    pub refused: u64,
    /// Calls refused by a limit.
    pub throttled: u64,
    /// Writes that took effect and whose reply was lost.
    pub replies_lost: u64,
    /// Keys and values read, in bytes.
    pub read_bytes: u64,
    /// Keys and values written, in bytes.
    pub write_bytes: u64,
}

/// A shared handle on the faults and counters.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    read_bytes: AtomicU64,
    write_bytes: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    settings: Settings,
    counters: Counters,
    read_bucket: Bucket,
    write_bucket: Bucket,
    writes_until_loss: u64,
}

/// A token bucket that holds at most a tenth of a second's worth.
#[derive(Debug, Default)]
pub(super) struct Bucket {
    level: f64,
    filled: Option<Instant>,
}

const BURST_S: f64 = 0.1;

impl Bucket {
    /// Takes one token, or says how long to wait for it, in milliseconds.
    pub(super) fn take(&mut self, per_s: f64, burst: f64) -> Result<(), u64> {
        let now = Instant::now();
        let gained = match self.filled.replace(now) {
            Some(before) => (now - before).as_secs_f64() * per_s,
            None => burst,
        };
        self.level = (self.level + gained).min(burst);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        Err(((1.0 - self.level) / per_s * MS_PER_S).ceil() as u64)
    }
}

impl Faults {
    /// Faults at the start.
    pub fn new(settings: Settings) -> Self {
        let faults = Self::default();
        faults.set(settings);
        faults
    }

    /// Replaces the faults.
    ///
    /// ```
    /// use mgs_standin::platform::faults::Faults;
    /// use mgs_standin::platform::faults::Settings;
    ///
    /// let faults = Faults::default();
    /// faults.set(Settings { outage: true, ..Settings::default() });
    /// assert!(faults.settings().outage);
    /// ```
    pub fn set(&self, settings: Settings) {
        let mut state = self.lock();
        state.writes_until_loss = settings.lose_every;
        state.settings = settings;
    }

    /// The faults as they are now.
    pub fn settings(&self) -> Settings {
        self.lock().settings.clone()
    }

    /// Begins or ends an outage.
    pub fn set_outage(&self, outage: bool) {
        self.lock().settings.outage = outage;
    }

    /// Loses the replies of the next `count` writes.
    pub fn lose_next_replies(&self, count: u64) {
        self.lock().settings.lose_next_replies = count;
    }

    /// The counters.
    pub fn counters(&self) -> Counters {
        Counters {
            read_bytes: self.shared.read_bytes.load(Ordering::Relaxed),
            write_bytes: self.shared.write_bytes.load(Ordering::Relaxed),
            ..self.lock().counters
        }
    }

    /// Passes a read through the faults.
    pub(super) fn read<T>(&self, effect: impl FnOnce() -> Result<T, Error>) -> Result<T, Error> {
        let reply_delay_ms = self.enter(Kind::Read)?;
        let result = effect();
        wait(reply_delay_ms);
        result
    }

    /// Passes a write through the faults.
    pub(super) fn write<T>(&self, effect: impl FnOnce() -> Result<T, Error>) -> Result<T, Error> {
        let reply_delay_ms = self.enter(Kind::Write)?;
        let result = effect();
        wait(reply_delay_ms);
        if result.is_ok() && self.loses_reply() {
            return Err(Error::Unknown("the reply was lost".to_string()));
        }
        result
    }

    /// Counts bytes read.
    pub(super) fn count_read(&self, bytes: usize) {
        self.shared
            .read_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes written.
    pub(super) fn count_write(&self, bytes: usize) {
        self.shared
            .write_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Refuses or delays a call; the outage is judged when the call would take effect.
    fn enter(&self, kind: Kind) -> Result<u64, Error> {
        let delay_ms = self.lock().settings.delay_ms;
        wait(delay_ms);
        let mut state = self.lock();
        if state.settings.outage {
            state.counters.refused += 1;
            return Err(Error::Unavailable("outage".to_string()));
        }
        state.throttle(kind)?;
        match kind {
            Kind::Read => state.counters.reads += 1,
            Kind::Write => state.counters.writes += 1,
        }
        Ok(state.settings.reply_delay_ms)
    }

    fn loses_reply(&self) -> bool {
        let mut state = self.lock();
        let lost = state.takes_next_loss() || state.reaches_nth_loss();
        if lost {
            state.counters.replies_lost += 1;
        }
        lost
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("no holder panics")
    }
}

#[derive(Debug, Clone, Copy)]
enum Kind {
    Read,
    Write,
}

impl State {
    fn throttle(&mut self, kind: Kind) -> Result<(), Error> {
        let (bucket, per_s) = match kind {
            Kind::Read => (&mut self.read_bucket, self.settings.reads_per_s),
            Kind::Write => (&mut self.write_bucket, self.settings.writes_per_s),
        };
        if per_s <= 0.0 {
            return Ok(());
        }
        let burst = (per_s * BURST_S).max(1.0);
        bucket.take(per_s, burst).map_err(|retry_after_ms| {
            self.counters.throttled += 1;
            Error::Throttled { retry_after_ms }
        })
    }

    fn takes_next_loss(&mut self) -> bool {
        let lost = self.settings.lose_next_replies > 0;
        self.settings.lose_next_replies -= u64::from(lost);
        lost
    }

    fn reaches_nth_loss(&mut self) -> bool {
        if self.settings.lose_every == 0 {
            return false;
        }
        self.writes_until_loss -= 1;
        if self.writes_until_loss > 0 {
            return false;
        }
        self.writes_until_loss = self.settings.lose_every;
        true
    }
}

fn wait(delay_ms: u64) {
    if delay_ms > 0 {
        thread::sleep(Duration::from_millis(delay_ms));
    }
}
