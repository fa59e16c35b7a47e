//! The other gateways: which live, and connections to them.

use std::net::SocketAddr;
use std::sync::Arc;
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

/// A live gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Gateway {
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    /// Where other gateways reach it; `None` for this one.
    pub(crate) address: Option<SocketAddr>,
}

/// The live gateways.
#[derive(Debug)]
pub(crate) struct Links {
    pool: Pool,
    /// Addresses from the process's own settings, for a start without the store.
    seeds: Vec<SocketAddr>,
    /// This gateway first.
    live: ArcSwap<Vec<Gateway>>,
}

impl Links {
    pub(crate) fn new(pool: Pool, seeds: Vec<SocketAddr>) -> Self {
        Self {
            pool,
            seeds,
            live: ArcSwap::default(),
        }
    }

    /// Takes the gateways that live, this one among them.
    pub(crate) fn found(&self, live: Vec<Gateway>) {
        let known = |at: &SocketAddr| live.iter().any(|gateway| gateway.address == Some(*at));
        self.pool
            .retain(|address| known(address) || self.seeds.contains(address));
        self.live.store(Arc::new(live));
    }

    /// Live gateways, this one first.
    pub(crate) fn live(&self) -> Arc<Vec<Gateway>> {
        self.live.load_full()
    }

    /// Count of live gateways, with this one.
    pub(crate) fn gateways(&self) -> u64 {
        self.live.load().len().max(1) as u64
    }

    /// Asks one gateway.
    pub(crate) fn ask(&self, address: SocketAddr, body: Body) -> Option<Body> {
        let connection = self.pool.connection(address).ok()?;
        connection.ask(body, ANSWER_WAIT).ok()
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let live = self.live.load();
        let live = live.iter().filter_map(|gateway| gateway.address);
        let mut addresses: Vec<SocketAddr> = live.collect();
        addresses.extend(&self.seeds);
        addresses.sort();
        addresses.dedup();
        addresses.truncate(ASKED_MAX);
        addresses
    }
}

/// The other gateways as a source of settings.
#[derive(Debug)]
pub(crate) struct SettingsPeers(pub(crate) Arc<Links>);

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
