//! Which gateways are there, and which of their sessions is the newest.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::job::Sender;

/// One gateway incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Gateway {
    session: u64,
    connections: BTreeSet<u64>,
    /// When its last connection was lost; meaningful while `connections` is empty.
    lost_ms: u64,
}

/// Sessions by gateway incarnation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Sessions {
    gateways: BTreeMap<u64, Gateway>,
    /// The last connections that ended; a call of theirs may still be on its way.
    closed: BTreeSet<u64>,
}

/// Most ended connections that are remembered.
const CLOSED_MAX: usize = 1_024;

impl Sessions {
    /// Notes a message of a gateway. Returns whether its session is still open: the end of its
    /// connection closes a session, and a newer one of the same gateway closes the older ones for
    /// good.
    ///
    /// ```
    /// use mgs_ledger::job::Sender;
    /// use mgs_ledger::session::Sessions;
    ///
    /// let mut sessions = Sessions::default();
    /// let older = Sender { gateway: 7, session: 1, connection: 1 };
    /// let newer = Sender { gateway: 7, session: 2, connection: 2 };
    /// assert!(sessions.heard(&older));
    /// assert!(sessions.heard(&newer));
    /// assert!(!sessions.heard(&older));
    /// ```
    pub fn heard(&mut self, sender: &Sender) -> bool {
        let gateway = self.gateways.entry(sender.gateway).or_insert(Gateway {
            session: sender.session,
            connections: BTreeSet::new(),
            lost_ms: 0,
        });
        if sender.session < gateway.session || self.closed.contains(&sender.connection) {
            return false;
        }
        gateway.session = sender.session;
        gateway.connections.insert(sender.connection);
        true
    }

    /// A connection has ended.
    pub fn closed(&mut self, now_ms: u64, connection: u64) {
        self.closed.insert(connection);
        if self.closed.len() > CLOSED_MAX {
            self.closed.pop_first();
        }
        for gateway in self.gateways.values_mut() {
            if gateway.connections.remove(&connection) && gateway.connections.is_empty() {
                gateway.lost_ms = now_ms;
            }
        }
    }

    /// How long a gateway has been gone, in milliseconds; 0 while it is connected.
    pub fn gone_ms(&self, now_ms: u64, gateway: u64) -> u64 {
        match self.gateways.get(&gateway) {
            Some(gateway) if gateway.connections.is_empty() => {
                now_ms.saturating_sub(gateway.lost_ms)
            }
            Some(_) => 0,
            None => u64::MAX,
        }
    }

    /// Forgets gateways that have been gone for longer than `keep_ms`.
    pub fn expire(&mut self, now_ms: u64, keep_ms: u64) {
        self.gateways.retain(|_, gateway| {
            !gateway.connections.is_empty() || now_ms.saturating_sub(gateway.lost_ms) <= keep_ms
        });
    }

    /// Count of gateways known.
    pub fn len(&self) -> usize {
        self.gateways.len()
    }

    /// Whether no gateway is known.
    pub fn is_empty(&self) -> bool {
        self.gateways.is_empty()
    }
}
