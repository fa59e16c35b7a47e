//! The other gateways: which live, and connections to them.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::SettingsReply;
use mgs_schema::wire::SettingsRequest;
use mgs_settings::follow::Peers;
use mgs_transport::pool::Pool;

/// Longest wait for another gateway's answer.
const ANSWER_WAIT: Duration = Duration::from_millis(500);

/// Most gateways asked at once.
const ASKED_MAX: usize = 8;

/// The other gateways.
#[derive(Debug)]
pub(crate) struct Links {
    pool: Pool,
    /// Addresses from the process's own settings, for a start without the store.
    seeds: Vec<SocketAddr>,
    live: ArcSwap<Vec<SocketAddr>>,
    gateways: AtomicU64,
}

impl Links {
    pub(crate) fn new(pool: Pool, seeds: Vec<SocketAddr>) -> Self {
        Self {
            pool,
            seeds,
            live: ArcSwap::default(),
            gateways: AtomicU64::new(1),
        }
    }

    /// Takes the addresses of the other gateways that live.
    pub(crate) fn found(&self, others: Vec<SocketAddr>) {
        self.gateways
            .store(others.len() as u64 + 1, Ordering::Release);
        self.pool
            .retain(|address| others.contains(address) || self.seeds.contains(address));
        self.live.store(others.into());
    }

    /// Live gateways, with this one.
    pub(crate) fn gateways(&self) -> u64 {
        self.gateways.load(Ordering::Acquire)
    }

    /// Asks one gateway.
    pub(crate) fn ask(&self, address: SocketAddr, body: Body) -> Option<Body> {
        let connection = self.pool.connection(address).ok()?;
        connection.ask(body, ANSWER_WAIT).ok()
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self.live.load().to_vec();
        addresses.extend(&self.seeds);
        addresses.sort();
        addresses.dedup();
        addresses.truncate(ASKED_MAX);
        addresses
    }
}

/// The other gateways as a source of settings.
#[derive(Debug)]
pub(crate) struct SettingsPeers(pub(crate) std::sync::Arc<Links>);

impl Peers for SettingsPeers {
    fn ask(&self, since_version: u64) -> Vec<SettingsReply> {
        let ask = |address| {
            let request = SettingsRequest { since_version };
            match self.0.ask(address, Body::SettingsRequest(request)) {
                Some(Body::SettingsReply(reply)) => Some(reply),
                _ => None,
            }
        };
        self.0.addresses().into_iter().filter_map(ask).collect()
    }
}
