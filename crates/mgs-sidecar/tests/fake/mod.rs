//! A small engine inside the test's process, whose faults the test chooses.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;

use mgs_engine::engine::Engine;
use mgs_engine::engine::Error;
use mgs_engine::engine::Stream;
use mgs_engine::message::CacheEvents;
use mgs_engine::message::Event;
use mgs_engine::message::Info;
use mgs_engine::message::KvExport;
use mgs_engine::message::KvHandle;
use mgs_engine::message::Load;
use mgs_engine::message::Order;
use mgs_engine::message::Start;
use mgs_engine::message::StreamInfo;

/// One stream of the fake.
#[derive(Debug, Clone, Default)]
struct Running {
    frames: u64,
    kv_tokens: u64,
    prompt_tokens: u64,
    produced: u64,
    cancelled: bool,
}

/// What the fake holds.
#[derive(Debug, Default)]
pub(crate) struct State {
    running: BTreeMap<String, Running>,
    /// Every stream that ever started, in order.
    pub(crate) started: Vec<String>,
    /// Frames that may be produced; raised by [`Fake::allow`].
    allowed: u64,
    /// The next this many starts take effect and lose their answer.
    pub(crate) lose_start_answers: u32,
    /// The next this many starts break before the engine saw them.
    pub(crate) break_starts: u32,
    /// The next this many reads of a stream break.
    pub(crate) break_reads: u32,
    /// No call gets through.
    pub(crate) down: bool,
    /// No cancel gets through.
    pub(crate) deaf_to_cancel: bool,
    /// Number of the engine's start.
    pub(crate) boot: u64,
    /// Orders that took effect.
    pub(crate) orders: Vec<Order>,
    /// Highest fencing number that the engine says it kept.
    pub(crate) fencing: u64,
    /// Cache events to be published.
    pub(crate) cache: CacheEvents,
    /// KV held outside streams.
    pub(crate) kv: Vec<KvHandle>,
}

/// Shared handle of the fake.
#[derive(Debug, Clone, Default)]
pub(crate) struct Fake {
    inner: Arc<(Mutex<State>, Condvar)>,
}

impl Fake {
    /// A fake whose streams produce up to `allowed` frames each before they wait.
    pub(crate) fn new(allowed: u64) -> Self {
        let fake = Self::default();
        fake.change(|state| {
            state.allowed = allowed;
            state.boot = 1;
        });
        fake
    }

    /// Changes the state and wakes whoever waits.
    pub(crate) fn change<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let result = f(&mut self.inner.0.lock().unwrap());
        self.inner.1.notify_all();
        result
    }

    /// Lets streams produce up to this many frames each.
    pub(crate) fn allow(&self, frames: u64) {
        self.change(|state| state.allowed = frames);
    }

    /// Loses everything, as an engine that is started again.
    pub(crate) fn restart(&self) {
        self.change(|state| {
            state.running.clear();
            state.boot += 1;
        });
    }

    /// Adds a stream that this sidecar never started.
    pub(crate) fn plant_stream(&self, stream: &str, frames: u64, kv_tokens: u64) {
        self.change(|state| {
            let running = Running {
                frames,
                kv_tokens,
                ..Running::default()
            };
            state.running.insert(stream.to_string(), running);
        });
    }

    /// Memory that streams and KV hold.
    pub(crate) fn used_tokens(&self) -> u64 {
        self.change(|state| {
            let running = state.running.values().filter(|s| s.produced < s.frames);
            let streams: u64 = running.map(|s| s.kv_tokens).sum();
            streams + state.kv.iter().map(|kv| kv.kv_tokens).sum::<u64>()
        })
    }
}

/// Capacity of the fake's memory.
pub(crate) const CAPACITY_TOKENS: u64 = 100_000;

struct Reader {
    fake: Fake,
    stream: String,
    boot: u64,
    next: u64,
    ended: bool,
}

impl Stream for Reader {
    fn next(&mut self) -> Result<Option<Event>, Error> {
        if self.ended {
            return Ok(None);
        }
        let mut state = self.fake.inner.0.lock().unwrap();
        loop {
            if state.break_reads > 0 {
                state.break_reads -= 1;
                return Err(Error::Broken("read broke".into()));
            }
            if state.down || state.boot != self.boot {
                return Err(Error::Broken("engine died".into()));
            }
            let allowed = state.allowed;
            let Some(running) = state.running.get_mut(&self.stream) else {
                return Err(Error::Broken("stream is gone".into()));
            };
            if running.cancelled || self.next >= running.frames {
                let end = Event::End {
                    frames: running.frames,
                    prompt_tokens: running.prompt_tokens,
                    cached_tokens: 0,
                    generated_tokens: running.produced,
                    finish_reason: if running.cancelled {
                        "cancelled"
                    } else {
                        "stop"
                    }
                    .into(),
                };
                self.ended = true;
                return Ok(Some(end));
            }
            if self.next < allowed {
                let seq = self.next;
                self.next += 1;
                running.produced = running.produced.max(self.next);
                return Ok(Some(Event::Token {
                    seq,
                    text: format!("t{seq} "),
                    tokens: 1,
                }));
            }
            state = self.fake.inner.1.wait(state).unwrap();
        }
    }
}

impl Fake {
    fn up(&self) -> Result<(), Error> {
        self.change(|state| match state.down {
            true => Err(Error::Unreachable("down".into())),
            false => Ok(()),
        })
    }

    fn reader(&self, stream: &str, next: u64) -> Box<dyn Stream> {
        let boot = self.change(|state| state.boot);
        Box::new(Reader {
            fake: self.clone(),
            stream: stream.to_string(),
            boot,
            next,
            ended: false,
        })
    }
}

impl Engine for Fake {
    fn start(&self, start: &Start) -> Result<Box<dyn Stream>, Error> {
        self.up()?;
        self.change(|state| {
            if state.break_starts > 0 {
                state.break_starts -= 1;
                return Err(Error::Broken("start broke".into()));
            }
            if state.running.contains_key(&start.stream) {
                return Err(Error::Exists);
            }
            let prompt_tokens = mgs_schema::prefix::tokens(start.prompt.len());
            let running = Running {
                frames: start.max_tokens,
                kv_tokens: prompt_tokens + start.max_tokens,
                prompt_tokens,
                ..Running::default()
            };
            state.running.insert(start.stream.clone(), running);
            state.started.push(start.stream.clone());
            if state.lose_start_answers > 0 {
                state.lose_start_answers -= 1;
                return Err(Error::Broken("answer lost".into()));
            }
            Ok(())
        })?;
        Ok(self.reader(&start.stream, 0))
    }

    fn resume(&self, stream: &str, from: u64) -> Result<Box<dyn Stream>, Error> {
        self.up()?;
        if !self.change(|state| state.running.contains_key(stream)) {
            return Err(Error::NotFound);
        }
        Ok(self.reader(stream, from))
    }

    fn cancel(&self, stream: &str) -> Result<(), Error> {
        self.up()?;
        self.change(|state| {
            if state.deaf_to_cancel {
                return Err(Error::Broken("cancel lost".into()));
            }
            let running = state.running.get_mut(stream).ok_or(Error::NotFound)?;
            running.cancelled = true;
            running.frames = running.produced;
            Ok(())
        })
    }

    fn streams(&self) -> Result<Vec<StreamInfo>, Error> {
        self.up()?;
        Ok(self.change(|state| {
            let info = |(name, running): (&String, &Running)| StreamInfo {
                stream: name.clone(),
                finished: running.produced >= running.frames,
                kv_tokens: running.kv_tokens,
            };
            state.running.iter().map(info).collect()
        }))
    }

    fn export_kv(&self, _export: &KvExport) -> Result<KvHandle, Error> {
        Err(Error::Rejected("not served".into()))
    }

    fn import_kv(&self, _handle: &KvHandle) -> Result<KvHandle, Error> {
        Err(Error::Rejected("not served".into()))
    }

    fn kv(&self) -> Result<Vec<KvHandle>, Error> {
        self.up()?;
        Ok(self.change(|state| state.kv.clone()))
    }

    fn free_kv(&self, kv: &str) -> Result<(), Error> {
        self.up()?;
        self.change(|state| state.kv.retain(|handle| handle.kv != kv));
        Ok(())
    }

    fn load(&self) -> Result<Load, Error> {
        self.up()?;
        Ok(Load::default())
    }

    fn cache_events(&self, after: u64) -> Result<CacheEvents, Error> {
        self.up()?;
        let mut events = self.change(|state| state.cache.clone());
        events.events.retain(|event| event.number > after);
        Ok(events)
    }

    fn order(&self, order: &Order) -> Result<(), Error> {
        self.up()?;
        self.change(|state| state.orders.push(order.clone()));
        Ok(())
    }

    fn info(&self) -> Result<Info, Error> {
        self.up()?;
        Ok(self.change(|state| Info {
            boot: state.boot,
            models: vec!["m".into()],
            kv_capacity_tokens: CAPACITY_TOKENS,
            streams_max: 64,
            fencing: state.fencing,
            role: String::new(),
        }))
    }
}
