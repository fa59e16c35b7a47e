//! All that a gateway knows of the store, told to a peer that asks ([`crate::peer_fallback`]).

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

/// Longest wait for a peer, in all.
const ASK: Duration = Duration::from_millis(1_000);

/// Longest message, in bytes: a configuration of some ten thousand routes.
const BYTES_MAX: u64 = 32 * 1024 * 1024;

/// What a gateway answers a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum Answer {
    /// It has no configuration itself, as when all start at once.
    NothingYet,
    /// What it knows.
    All(Handover),
}

/// All that a gateway needs to serve.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Handover {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) endpoints: Vec<EndpointFacts>,
}

impl Handover {
    fn of(published: &Published) -> Option<Self> {
        let configuration = published.configuration()?;
        let fleet = published.fleet();
        let endpoints = fleet.by_key.values().map(|endpoint| endpoint.facts.clone());
        Some(Self {
            configuration,
            endpoints: endpoints.collect(),
        })
    }
}

/// Tells whoever connects, until the process ends.
pub(crate) async fn serve(core: Rc<Core>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                tokio::task::spawn_local(tell(core.clone(), stream, from));
            }
            Err(error) => log::warn!(error:% = error; "peers can't be told"),
        }
    }
}

async fn tell(core: Rc<Core>, mut stream: TcpStream, peer: SocketAddr) {
    let answer = Handover::of(&core.published).map_or(Answer::NothingYet, Answer::All);
    let message = bincode::serde::encode_to_vec(&answer, bincode::config::standard())
        .expect("BUG: a handover is plain data");
    let sending = async {
        stream.write_all(&message).await?;
        stream.shutdown().await
    };
    let sent = timeout(ASK, sending).await;
    let whole = matches!(sent, Ok(Ok(())));
    match answer {
        Answer::NothingYet => log::info!(peer:% = peer, whole = whole; "a peer was told nothing"),
        Answer::All(handover) => log::info!(
            peer:% = peer, configuration = handover.configuration.version,
            endpoints = handover.endpoints.len(), whole = whole;
            "a peer was told"
        ),
    }
}

/// Asks peers one after the other; the first that knows enough is taken.
pub(crate) async fn ask(peers: &[SocketAddr]) -> Option<Handover> {
    for peer in peers {
        match timeout(ASK, read(*peer)).await {
            Ok(Ok(Answer::NothingYet)) => log::info!(peer:% = peer; "a peer knows nothing yet"),
            Ok(Ok(Answer::All(handover))) => {
                log::info!(
                    peer:% = peer, configuration = handover.configuration.version,
                    endpoints = handover.endpoints.len();
                    "a peer told what the store can't"
                );
                return Some(handover);
            }
            Ok(Err(error)) => log::info!(peer:% = peer, error = error; "a peer told nothing"),
            Err(_) => log::info!(peer:% = peer; "a peer doesn't answer"),
        }
    }
    None
}

async fn read(peer: SocketAddr) -> Result<Answer, String> {
    let stream = TcpStream::connect(peer).await;
    let stream = stream.map_err(|error| error.to_string())?;
    let mut message = Vec::new();
    let mut bounded = stream.take(BYTES_MAX);
    let reading = bounded.read_to_end(&mut message).await;
    reading.map_err(|error| error.to_string())?;
    let decoded = bincode::serde::decode_from_slice(&message, bincode::config::standard());
    let (answer, _) = decoded.map_err(|error| error.to_string())?;
    Ok(answer)
}
