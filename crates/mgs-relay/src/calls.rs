//! The account of the calls to the store: which topic, and why.
//!
//! Each call is paid for, and the store bears so many a second from all gateways together, so an operator must see what
//! makes them.

use mgs_observe::metrics::Counters;
use mgs_observe::metrics::TwoLabelCounters;

use crate::source::Topic;

/// What following counts.
#[derive(Debug, Clone)]
pub struct Tallies {
    /// Rows that can't be understood, by what is wrong with them.
    pub bad_rows: Counters,
    /// Calls to the store by topic and reason.
    pub store_calls: TwoLabelCounters,
    /// Times at which the store was found to have come back from an older copy, by topic.
    pub store_rollbacks: Counters,
}

/// Why the store is called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reason {
    /// Nothing is known yet, or the store has dropped its history.
    Whole,
    /// To list this gateway.
    Register,
    /// To write that a work is held, or isn't any more.
    Hold,
    /// To know what has changed until now: the store was lost, a peer knows better, or nobody confirmed what is known.
    Probe,
    /// To wait for a change, as one of those that ask often.
    Wait,
    /// To wait for a change while others ask often.
    LongWait,
}

impl Reason {
    /// As it is counted and logged.
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

/// Counts the calls for one topic.
pub(crate) struct Calls {
    topic: Topic,
    counters: TwoLabelCounters,
}

impl Calls {
    pub(crate) fn new(topic: Topic, counters: TwoLabelCounters) -> Self {
        Self { topic, counters }
    }

    /// A call begins.
    pub(crate) fn count(&self, reason: Reason) {
        let (topic, reason) = (self.topic.name(), reason.name());
        self.counters.inc([topic, reason]);
        log::info!(topic = topic, reason = reason; "the store is called");
    }
}
