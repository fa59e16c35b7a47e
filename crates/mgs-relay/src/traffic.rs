//! Accounts for the bytes that a gateway transfers, by purpose.
//!
//! Traffic between availability zones costs money, and the messages between gateways grow with the
//! square of their number, so operators need to see what causes it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use mgs_observe::metrics::Counters;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::core::Core;
use crate::link_use::LinkTotals;

/// Time between two log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// What bytes are transferred for. Header fields and transport overhead aren't counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TrafficKind {
    /// Request bodies from clients, as they arrive.
    Requests,
    /// Request bodies to endpoints, counted each time they are sent.
    Dispatches,
    /// Response bodies from endpoints.
    Answers,
    /// Short messages to peers about new load, counted for each peer.
    ShortMessages,
    /// Full messages to peers about all load, counted for each peer.
    FullMessages,
    /// Messages to peers about requests that crash endpoints, counted for each peer.
    CrashMessages,
    /// Messages to peers about evacuated zones, counted for each peer.
    EvacuationMessages,
    /// Messages from peers.
    HeardMessages,
}

impl TrafficKind {
    const ALL: [Self; 8] = [
        Self::Requests,
        Self::Dispatches,
        Self::Answers,
        Self::ShortMessages,
        Self::FullMessages,
        Self::CrashMessages,
        Self::EvacuationMessages,
        Self::HeardMessages,
    ];

    /// Whether the bytes arrive at this host.
    fn is_received(self) -> bool {
        matches!(self, Self::Requests | Self::Answers | Self::HeardMessages)
    }

    /// Whether the bytes leave this host. Answers arrive and leave.
    fn is_sent(self) -> bool {
        !matches!(self, Self::Requests | Self::HeardMessages)
    }

    /// Label in counters.
    fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Dispatches => "dispatches",
            Self::Answers => "answers",
            Self::ShortMessages => "short_messages",
            Self::FullMessages => "whole_messages",
            Self::CrashMessages => "crash_messages",
            Self::EvacuationMessages => "evacuation_messages",
            Self::HeardMessages => "messages_heard",
        }
    }
}

/// Bytes transferred since the last log line.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    unreported: [Cell<u64>; TrafficKind::ALL.len()],
    /// What the link has carried since the start.
    link: Cell<LinkTotals>,
    /// Messages that wait until the socket for peers takes them, and since when there are any.
    blocked: Cell<Option<(usize, Instant)>>,
}

/// A message that waits until the socket for peers takes it, until dropped.
#[derive(Debug)]
pub(crate) struct BlockedSend<'a> {
    traffic: &'a Traffic,
}

impl Drop for BlockedSend<'_> {
    fn drop(&mut self) {
        let traffic = self.traffic;
        let totals = traffic.link_totals();
        match traffic.blocked.get() {
            Some((waits, since)) if waits > 1 => traffic.blocked.set(Some((waits - 1, since))),
            _ => {
                traffic.link.set(totals);
                traffic.blocked.set(None);
            }
        }
    }
}

impl Traffic {
    pub(crate) fn add(&self, kind: TrafficKind, bytes: usize) {
        let cell = &self.unreported[kind as usize];
        cell.set(cell.get() + bytes as u64);
        let mut link = self.link.get();
        if kind.is_received() {
            link.received_bytes += bytes as u64;
        }
        if kind.is_sent() {
            link.sent_bytes += bytes as u64;
        }
        self.link.set(link);
    }

    /// Records that a message waits for the socket for peers. Messages that wait at the same time
    /// count once.
    pub(crate) fn begin_blocked(&self) -> BlockedSend<'_> {
        let (waits, since) = self.blocked.get().unwrap_or((0, Instant::now()));
        self.blocked.set(Some((waits + 1, since)));
        BlockedSend { traffic: self }
    }

    /// What the link has carried since the start, with the wait that is in progress.
    pub(crate) fn link_totals(&self) -> LinkTotals {
        let mut link = self.link.get();
        if let Some((_, since)) = self.blocked.get() {
            link.blocked_ms += since.elapsed().as_secs_f64() * 1e3;
        }
        link
    }

    /// Adds the bytes to the counters, and returns and resets them.
    fn drain_into(&self, counters: &Counters) -> [u64; TrafficKind::ALL.len()] {
        TrafficKind::ALL.map(|kind| {
            let bytes = self.unreported[kind as usize].take();
            counters.inc_by(kind.name(), bytes);
            bytes
        })
    }
}

/// Logs the bytes transferred, until the process ends.
pub(crate) async fn report(core: Rc<Core>) {
    loop {
        sleep(REPORT_INTERVAL).await;
        let totals = core.traffic.drain_into(&core.metrics.bytes);
        let [requests, dispatches, answers, short_messages, full_messages, crash_messages, evacuation_messages, received_messages] =
            totals;
        log::info!(
            requests = requests,
            dispatches = dispatches,
            answers = answers,
            short_messages = short_messages,
            whole_messages = full_messages,
            crash_messages = crash_messages,
            evacuation_messages = evacuation_messages,
            messages_heard = received_messages;
            "bytes carried"
        );
    }
}
