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
use crate::warm_up::WarmUpSnapshot;

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

/// A reply with what follows it where the configuration limits requests to cold endpoints. Earlier
/// releases ignore bytes after the reply.
struct Received {
    reply: Reply,
    warm_up: Option<WarmUpSnapshot>,
}

/// All that a gateway needs to serve.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PeerSnapshot {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) endpoints: Vec<EndpointFacts>,
    /// Orders to evacuate zones; they travel in a reply of their own.
    #[serde(skip)]
    pub(crate) orders: Vec<ZoneOrder>,
    /// Limits and cold endpoints; they follow the reply.
    #[serde(skip)]
    pub(crate) warm_up: Option<WarmUpSnapshot>,
}

impl PeerSnapshot {
    fn of(published: &Published) -> Option<Self> {
        let configuration = published.configuration()?;
        let fleet = published.fleet();
        let endpoints = fleet.by_key.values().map(|endpoint| endpoint.facts.clone());
        Some(Self {
            configuration,
            endpoints: endpoints.collect(),
            orders: published.evacuations().zones().orders.clone(),
            warm_up: WarmUpSnapshot::of(published),
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
    let snapshot = PeerSnapshot::of(&core.published);
    let warm_up = snapshot.as_ref().and_then(|s| s.warm_up.clone());
    let reply = snapshot.map_or(Reply::NothingYet, PeerSnapshot::into_reply);
    let mut message = encode(&reply);
    if let Some(warm_up) = &warm_up {
        message.extend(encode(warm_up));
    }
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

fn encode(message: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard())
        .expect("BUG: a snapshot is plain data")
}

/// Asks a peer for its snapshot; `None` if it has none or doesn't answer.
pub(crate) async fn fetch(peer: SocketAddr) -> Option<PeerSnapshot> {
    match timeout(EXCHANGE_TIMEOUT, receive(peer)).await {
        Ok(Ok(Received { reply, warm_up })) => match reply {
            Reply::NothingYet => log::info!(peer:% = peer; "a peer knows nothing yet"),
            Reply::All(snapshot) => {
                return Some(received(peer, snapshot, Vec::new(), warm_up));
            }
            Reply::AllWithOrders(snapshot, orders) => {
                return Some(received(peer, snapshot, orders, warm_up));
            }
        },
        Ok(Err(error)) => log::info!(peer:% = peer, error = error; "a peer told nothing"),
        Err(_) => log::info!(peer:% = peer; "a peer didn't answer in time"),
    }
    None
}

/// Logs a received snapshot, and adds what came beside it.
fn received(
    peer: SocketAddr,
    snapshot: PeerSnapshot,
    orders: Vec<ZoneOrder>,
    warm_up: Option<WarmUpSnapshot>,
) -> PeerSnapshot {
    log::info!(
        peer:% = peer, configuration = snapshot.configuration.version,
        endpoints = snapshot.endpoints.len(), zone_orders = orders.len();
        "a peer told what the store can't"
    );
    PeerSnapshot {
        orders,
        warm_up,
        ..snapshot
    }
}

async fn receive(peer: SocketAddr) -> Result<Received, String> {
    let stream = TcpStream::connect(peer).await;
    let stream = stream.map_err(|error| error.to_string())?;
    let mut message = Vec::new();
    let mut bounded = stream.take(SNAPSHOT_BYTES_MAX);
    let reading = bounded.read_to_end(&mut message).await;
    reading.map_err(|error| error.to_string())?;
    let decoded = bincode::serde::decode_from_slice(&message, bincode::config::standard());
    let (reply, length) = decoded.map_err(|error| error.to_string())?;
    let rest = &message[length..];
    // A reply of an earlier release ends here.
    let warm_up = bincode::serde::decode_from_slice(rest, bincode::config::standard());
    let warm_up = warm_up.ok().map(|(warm_up, _)| warm_up);
    Ok(Received { reply, warm_up })
}
