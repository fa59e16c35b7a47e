//! Sends all that this gateway knows of the store to peers that connect, and fetches the same from
//! peers (see [`crate::peer_fallback`]).

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::core::Core;
use crate::endpoint_list::EndpointList;
use crate::endpoint_list::ListOrigin;
use crate::endpoint_list::RowDetails;
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

/// A reply with what follows it: limits and cold endpoints, empty if the configuration has no
/// limits, where the list of endpoints is from, and what else its rows say. Earlier releases send
/// none of these, or the first ones only, and ignore what they don't know.
struct Received {
    reply: Reply,
    warm_up: Option<WarmUpSnapshot>,
    origin: Option<ListOrigin>,
    details: Option<RowDetails>,
}

/// All that a gateway needs to serve.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PeerSnapshot {
    pub(crate) configuration: Arc<Configuration>,
    endpoints: Vec<EndpointFacts>,
    /// Where the list of endpoints is from; follows the reply.
    #[serde(skip)]
    origin: ListOrigin,
    /// What else the rows of the endpoints say; follows the reply.
    #[serde(skip)]
    details: RowDetails,
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
        let list = published.endpoint_list();
        let (endpoints, origin, details) = list.to_message(published.now_ms());
        Some(Self {
            configuration,
            endpoints,
            origin,
            details,
            orders: published.evacuations().zones().orders.clone(),
            warm_up: WarmUpSnapshot::of(published),
        })
    }

    /// What follows the reply that carries this snapshot.
    fn encode_further(&self) -> Vec<u8> {
        let mut further = encode(&self.warm_up.clone().unwrap_or_default());
        further.extend(encode(&self.origin));
        further.extend(encode(&self.details));
        further
    }

    /// Takes the list of endpoints out of it.
    pub(crate) fn take_endpoints(&mut self, now_ms: u64) -> EndpointList {
        let endpoints = std::mem::take(&mut self.endpoints);
        let details = std::mem::take(&mut self.details);
        EndpointList::from_message(endpoints, &self.origin, details, now_ms)
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
    let further = snapshot.as_ref().map(PeerSnapshot::encode_further);
    let reply = snapshot.map_or(Reply::NothingYet, PeerSnapshot::into_reply);
    let mut message = encode(&reply);
    message.extend(further.unwrap_or_default());
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
        Ok(Ok(received)) => return received.into_snapshot(peer),
        Ok(Err(error)) => log::info!(peer:% = peer, error = error; "a peer told nothing"),
        Err(_) => log::info!(peer:% = peer; "a peer didn't answer in time"),
    }
    None
}

impl Received {
    /// The snapshot with what came beside it; `None` if the peer knows nothing yet.
    fn into_snapshot(self, peer: SocketAddr) -> Option<PeerSnapshot> {
        let (snapshot, orders) = match self.reply {
            Reply::NothingYet => {
                log::info!(peer:% = peer; "a peer knows nothing yet");
                return None;
            }
            Reply::All(snapshot) => (snapshot, Vec::new()),
            Reply::AllWithOrders(snapshot, orders) => (snapshot, orders),
        };
        let origin = self.origin.unwrap_or_default();
        log::info!(
            peer:% = peer, configuration = snapshot.configuration.version,
            endpoints = snapshot.endpoints.len(), zone_orders = orders.len(),
            revision:? = origin.revision();
            "a peer told what the store can't"
        );
        Some(PeerSnapshot {
            orders,
            warm_up: self.warm_up,
            origin,
            details: self.details.unwrap_or_default(),
            ..snapshot
        })
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
    let mut rest = &message[length..];
    Ok(Received {
        reply,
        warm_up: decode_next(&mut rest),
        origin: decode_next(&mut rest),
        details: decode_next(&mut rest),
    })
}

/// Decodes what comes next, if anything does: a message of an earlier release ends sooner.
fn decode_next<T: DeserializeOwned>(rest: &mut &[u8]) -> Option<T> {
    let decoded = bincode::serde::decode_from_slice(rest, bincode::config::standard());
    let (next, length) = decoded.ok()?;
    *rest = &rest[length..];
    Some(next)
}
