//! What an engine publishes of itself: its load, which lags, and cache events, late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use mgs_engine::message::CacheEvent;
use mgs_engine::message::CacheEvents;
use mgs_engine::message::Load;

use super::memory::Change;

const EVENTS_KEPT: usize = 65_536;
const EVENTS_PER_ANSWER: usize = 8_192;

/// Past loads, the newest last.
#[derive(Debug)]
pub(super) struct LoadLog {
    lag: Duration,
    past: VecDeque<(Instant, Load)>,
}

impl LoadLog {
    /// An idle engine's log.
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            past: VecDeque::new(),
        }
    }

    /// Notes the load as it is.
    pub(super) fn note(&mut self, now: Instant, load: Load) {
        if self.past.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        self.past.push_back((now, load));
        self.forget(now);
    }

    /// The load as it was a while ago.
    pub(super) fn lagging(&mut self, now: Instant) -> Load {
        self.forget(now);
        match self.past.front() {
            Some((at, load)) if *at + self.lag <= now => load.clone(),
            _ => Load::default(),
        }
    }

    /// Forgets what is older than the newest load that is due.
    fn forget(&mut self, now: Instant) {
        while self
            .past
            .get(1)
            .is_some_and(|(at, _)| *at + self.lag <= now)
        {
            self.past.pop_front();
        }
    }
}

/// Past cache events, the newest last.
#[derive(Debug)]
pub(super) struct CacheLog {
    delay: Duration,
    lose_every: u64,
    last_number: u64,
    past: VecDeque<(Instant, CacheEvent)>,
}

impl CacheLog {
    /// An empty log.
    pub(super) fn new(delay: Duration, lose_every: u64) -> Self {
        Self {
            delay,
            lose_every,
            last_number: 0,
            past: VecDeque::new(),
        }
    }

    /// Notes changes of the cache.
    pub(super) fn note(&mut self, now: Instant, changes: Vec<Change>) {
        for change in changes {
            self.last_number += 1;
            let lost = self.last_number.is_multiple_of(self.lose_every);
            if lost {
                continue;
            }
            let event = CacheEvent {
                number: self.last_number,
                block: change.block,
                cached: change.cached,
            };
            self.past.push_back((now + self.delay, event));
        }
        let surplus = self.past.len().saturating_sub(EVENTS_KEPT);
        self.past.drain(..surplus);
    }

    /// Events after a number that are due.
    pub(super) fn after(&self, now: Instant, number: u64) -> CacheEvents {
        let first = self.past.partition_point(|(_, e)| e.number <= number);
        let due = self.past.range(first..).take_while(|(due, _)| *due <= now);
        let events = due.take(EVENTS_PER_ANSWER).map(|(_, event)| *event);
        CacheEvents {
            events: events.collect(),
        }
    }
}
