//! The account of the bytes that a gateway carries, by what they are for.
//!
//! Bytes between availability zones are paid for, and messages to peers grow with the square of the gateways, so an
//! operator must see what makes them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use mgs_observe::metrics::Counters;
use tokio::time::sleep;

use crate::core::Core;

/// Time between two lines of the log.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// What bytes are for. Those of fields and of the transport aren't counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TrafficKind {
    /// Bodies from clients.
    Requests,
    /// Bodies to endpoints, each time they are sent.
    Dispatches,
    /// Bodies from endpoints.
    Answers,
    /// Messages to peers of what was placed, for each peer.
    ShortMessages,
    /// Messages to peers of all that is held.
    WholeMessages,
    /// Messages to peers of requests that crash endpoints.
    CrashMessages,
    /// Messages from peers.
    HeardMessages,
}

impl TrafficKind {
    const ALL: [Self; 7] = [
        Self::Requests,
        Self::Dispatches,
        Self::Answers,
        Self::ShortMessages,
        Self::WholeMessages,
        Self::CrashMessages,
        Self::HeardMessages,
    ];

    /// Name in counters.
    fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Dispatches => "dispatches",
            Self::Answers => "answers",
            Self::ShortMessages => "short_messages",
            Self::WholeMessages => "whole_messages",
            Self::CrashMessages => "crash_messages",
            Self::HeardMessages => "messages_heard",
        }
    }
}

/// Bytes carried since the last line.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    unreported: [Cell<u64>; TrafficKind::ALL.len()],
}

impl Traffic {
    pub(crate) fn add(&self, kind: TrafficKind, bytes: usize) {
        let cell = &self.unreported[kind as usize];
        cell.set(cell.get() + bytes as u64);
    }

    /// Takes what was carried into the counters, and answers it.
    fn drain_into(&self, counters: &Counters) -> [u64; TrafficKind::ALL.len()] {
        TrafficKind::ALL.map(|kind| {
            let bytes = self.unreported[kind as usize].take();
            counters.inc_by(kind.name(), bytes);
            bytes
        })
    }
}

/// Tells what was carried until the process ends.
pub(crate) async fn report(core: Rc<Core>) {
    loop {
        sleep(REPORT_INTERVAL).await;
        let totals = core.traffic.drain_into(&core.metrics.bytes);
        let [requests, dispatches, answers, short_messages, whole_messages, crash_messages, messages_heard] =
            totals;
        log::info!(
            requests = requests,
            dispatches = dispatches,
            answers = answers,
            short_messages = short_messages,
            whole_messages = whole_messages,
            crash_messages = crash_messages,
            messages_heard = messages_heard;
            "bytes carried"
        );
    }
}
