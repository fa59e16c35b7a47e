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
            warm_up: WarmUpSnapshot::of(published),
        })
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
    let reply = PeerSnapshot::of(&core.published).map_or(Reply::NothingYet, Reply::All);
    let mut message = encode(&reply);
    if let Reply::All(PeerSnapshot {
        warm_up: Some(warm_up),
        ..
    }) = &reply
    {
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
        Reply::All(snapshot) => log::info!(
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

/// Asks peers one after the other, and returns the first snapshot received.
pub(crate) async fn fetch_first(peers: &[SocketAddr]) -> Option<PeerSnapshot> {
    for peer in peers {
        match timeout(EXCHANGE_TIMEOUT, fetch(*peer)).await {
            Ok(Ok(Received {
                reply: Reply::NothingYet,
                ..
            })) => log::info!(peer:% = peer; "a peer knows nothing yet"),
            Ok(Ok(Received {
                reply: Reply::All(snapshot),
                warm_up,
            })) => {
                log::info!(
                    peer:% = peer, configuration = snapshot.configuration.version,
                    endpoints = snapshot.endpoints.len();
                    "a peer told what the store can't"
                );
                return Some(PeerSnapshot {
                    warm_up,
                    ..snapshot
                });
            }
            Ok(Err(error)) => log::info!(peer:% = peer, error = error; "a peer told nothing"),
            Err(_) => log::info!(peer:% = peer; "a peer didn't answer in time"),
        }
    }
    None
}

async fn fetch(peer: SocketAddr) -> Result<Received, String> {
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
