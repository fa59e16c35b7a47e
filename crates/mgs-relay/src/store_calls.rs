//! Counts calls to the store by topic and reason.
//!
//! Each call is paid for, and the store handles a limited number per second from all gateways
//! together, so operators need to see what causes them.

use mgs_observe::metrics::Counters;
use mgs_observe::metrics::TwoLabelCounters;

use crate::source::Topic;

/// Counters of a store follower.
#[derive(Debug, Clone)]
pub struct StoreMetrics {
    /// Rows that can't be parsed, by fault.
    pub bad_rows: Counters,
    /// Calls to the store by topic and reason.
    pub store_calls: TwoLabelCounters,
    /// Detected rollbacks of the store to an older copy, by topic.
    pub store_rollbacks: Counters,
}

/// Why the store is called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallReason {
    /// To read everything: nothing is known yet, or the store has dropped its history.
    Whole,
    /// To register this gateway.
    Register,
    /// To write that a request is held or released.
    Hold,
    /// To read changes without waiting: the store was unreachable, a peer has newer data, or nobody
    /// has confirmed the known data.
    Probe,
    /// To wait for a change, as one of the gateways that ask often.
    Wait,
    /// To wait longer for a change, while other gateways ask often.
    LongWait,
}

impl CallReason {
    /// Label in metrics and logs.
    fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Register => "register",
            Self::Hold => "hold",
            Self::Probe => "probe",
            Self::Wait => "wait",
            Self::LongWait => "long_wait",
        }
    }
}

/// Counts the calls of one topic.
pub(crate) struct StoreCalls {
    topic: Topic,
    counters: TwoLabelCounters,
}

impl StoreCalls {
    pub(crate) fn new(topic: Topic, counters: TwoLabelCounters) -> Self {
        Self { topic, counters }
    }

    /// Counts and logs the start of a call.
    pub(crate) fn count(&self, reason: CallReason) {
        let (topic, reason) = (self.topic.name(), reason.name());
        self.counters.inc([topic, reason]);
        log::info!(topic = topic, reason = reason; "the store is called");
    }
}
