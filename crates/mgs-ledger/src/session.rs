//! Connected gateways, and the newest session of each.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::job::Sender;

/// One gateway incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Gateway {
    /// Its newest session.
    session: u64,
    /// Its open connections.
    connections: BTreeSet<u64>,
    /// When its last connection ended; valid only while `connections` is empty.
    disconnected_at_ms: u64,
}

/// Sessions by gateway incarnation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Sessions {
    gateways: BTreeMap<u64, Gateway>,
    /// Recently ended connections, whose messages may still be in processing.
    closed_connections: BTreeSet<u64>,
}

/// Maximum number of ended connections that are remembered.
const CLOSED_MAX: usize = 1_024;

impl Sessions {
    /// Records a message of a gateway, and returns whether its session is open. A session is closed
    /// by the end of its connection, and permanently by a newer session of the same gateway.
    ///
    /// ```
    /// use mgs_ledger::job::Sender;
    /// use mgs_ledger::session::Sessions;
    ///
    /// let mut sessions = Sessions::default();
    /// let older = Sender { gateway: 7, session: 1, connection: 1 };
    /// let newer = Sender { gateway: 7, session: 2, connection: 2 };
    /// assert!(sessions.message_received(&older));
    /// assert!(sessions.message_received(&newer));
    /// assert!(!sessions.message_received(&older));
    /// ```
    pub fn message_received(&mut self, sender: &Sender) -> bool {
        let gateway = self.gateways.entry(sender.gateway).or_insert(Gateway {
            session: sender.session,
            connections: BTreeSet::new(),
            disconnected_at_ms: 0,
        });
        if sender.session < gateway.session || self.closed_connections.contains(&sender.connection)
        {
            return false;
        }
        gateway.session = sender.session;
        gateway.connections.insert(sender.connection);
        true
    }

    /// Records the end of a connection.
    pub fn connection_closed(&mut self, now_ms: u64, connection: u64) {
        self.closed_connections.insert(connection);
        if self.closed_connections.len() > CLOSED_MAX {
            self.closed_connections.pop_first();
        }
        for gateway in self.gateways.values_mut() {
            if gateway.connections.remove(&connection) && gateway.connections.is_empty() {
                gateway.disconnected_at_ms = now_ms;
            }
        }
    }

    /// How long a gateway has been disconnected, in milliseconds; 0 while it is connected, and
    /// `u64::MAX` if it is unknown.
    pub fn disconnected_ms(&self, now_ms: u64, gateway: u64) -> u64 {
        match self.gateways.get(&gateway) {
            Some(gateway) if gateway.connections.is_empty() => {
                now_ms.saturating_sub(gateway.disconnected_at_ms)
            }
            Some(_) => 0,
            None => u64::MAX,
        }
    }

    /// Removes gateways that have been disconnected for longer than `keep_ms`.
    pub fn expire(&mut self, now_ms: u64, keep_ms: u64) {
        self.gateways.retain(|_, gateway| {
            !gateway.connections.is_empty()
                || now_ms.saturating_sub(gateway.disconnected_at_ms) <= keep_ms
        });
    }

    /// Number of known gateways.
    pub fn len(&self) -> usize {
        self.gateways.len()
    }

    /// Whether no gateway is known.
    pub fn is_empty(&self) -> bool {
        self.gateways.is_empty()
    }
}
