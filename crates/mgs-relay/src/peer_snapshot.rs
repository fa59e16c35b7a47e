//! Sends all that this gateway knows of the store to peers that connect, and fetches the same from
//! peers (see [`crate::peer_fallback`]).

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::core::Core;
use crate::evacuation::ZoneOrder;
use crate::source::EndpointFacts;
use crate::view::Configuration;
use crate::view::Published;

/// Timeout of a whole exchange with a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum size of a message, in bytes: a configuration of some ten thousand routes.
const SNAPSHOT_BYTES_MAX: u64 = 32 * 1024 * 1024;

/// A gateway's reply to a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum Reply {
    /// It has no configuration itself, as when all gateways start at the same time.
    NothingYet,
    /// All that it knows.
    All(PeerSnapshot),
    /// All that it knows, with orders to evacuate zones. Not used without any, since gateways of
    /// earlier builds can't decode it.
    AllWithOrders(PeerSnapshot, Vec<ZoneOrder>),
}

/// All that a gateway needs to serve.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PeerSnapshot {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) endpoints: Vec<EndpointFacts>,
    /// Orders to evacuate zones; they travel in a reply of their own.
    #[serde(skip)]
    pub(crate) orders: Vec<ZoneOrder>,
}

impl PeerSnapshot {
    fn of(published: &Published) -> Option<Self> {
        let configuration = published.configuration()?;
        let fleet = published.fleet();
        let endpoints = fleet.by_key.values().map(|endpoint| endpoint.facts.clone());
        Some(Self {
            configuration,
            endpoints: endpoints.collect(),
            orders: published.evacuations().orders(),
        })
    }

    /// The reply that carries this snapshot.
    fn into_reply(mut self) -> Reply {
        let orders = std::mem::take(&mut self.orders);
        match orders.is_empty() {
            true => Reply::All(self),
            false => Reply::AllWithOrders(self, orders),
        }
    }
}

/// Sends a snapshot on each connection until the process ends.
pub(crate) async fn serve(core: Rc<Core>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                tokio::task::spawn_local(send(core.clone(), stream, from));
            }
            Err(error) => log::warn!(error:% = error; "a peer's connection can't be accepted"),
        }
    }
}

async fn send(core: Rc<Core>, mut stream: TcpStream, peer: SocketAddr) {
    let reply = PeerSnapshot::of(&core.published);
    let reply = reply.map_or(Reply::NothingYet, PeerSnapshot::into_reply);
    let message = bincode::serde::encode_to_vec(&reply, bincode::config::standard())
        .expect("BUG: a snapshot is plain data");
    let sending = async {
        stream.write_all(&message).await?;
        stream.shutdown().await
    };
    let sent = timeout(EXCHANGE_TIMEOUT, sending).await;
    let whole = matches!(sent, Ok(Ok(())));
    match reply {
        Reply::NothingYet => log::info!(peer:% = peer, whole = whole; "a peer was told nothing"),
        Reply::All(snapshot) | Reply::AllWithOrders(snapshot, _) => log::info!(
            peer:% = peer, configuration = snapshot.configuration.version,
            endpoints = snapshot.endpoints.len(), whole = whole;
            "a peer was told"
        ),
    }
}

/// Asks peers one after the other, and returns the first snapshot received.
pub(crate) async fn fetch_first(peers: &[SocketAddr]) -> Option<PeerSnapshot> {
    for peer in peers {
        match timeout(EXCHANGE_TIMEOUT, fetch(*peer)).await {
            Ok(Ok(Reply::NothingYet)) => log::info!(peer:% = peer; "a peer knows nothing yet"),
            Ok(Ok(Reply::All(snapshot))) => return Some(received(*peer, snapshot, Vec::new())),
            Ok(Ok(Reply::AllWithOrders(snapshot, orders))) => {
                return Some(received(*peer, snapshot, orders));
            }
            Ok(Err(error)) => log::info!(peer:% = peer, error = error; "a peer told nothing"),
            Err(_) => log::info!(peer:% = peer; "a peer didn't answer in time"),
        }
    }
    None
}

/// Logs a received snapshot, and adds the orders of its reply.
fn received(peer: SocketAddr, snapshot: PeerSnapshot, orders: Vec<ZoneOrder>) -> PeerSnapshot {
    log::info!(
        peer:% = peer, configuration = snapshot.configuration.version,
        endpoints = snapshot.endpoints.len(), zone_orders = orders.len();
        "a peer told what the store can't"
    );
    PeerSnapshot { orders, ..snapshot }
}

async fn fetch(peer: SocketAddr) -> Result<Reply, String> {
    let stream = TcpStream::connect(peer).await;
    let stream = stream.map_err(|error| error.to_string())?;
    let mut message = Vec::new();
    let mut bounded = stream.take(SNAPSHOT_BYTES_MAX);
    let reading = bounded.read_to_end(&mut message).await;
    reading.map_err(|error| error.to_string())?;
    let decoded = bincode::serde::decode_from_slice(&message, bincode::config::standard());
    let (reply, _) = decoded.map_err(|error| error.to_string())?;
    Ok(reply)
}
