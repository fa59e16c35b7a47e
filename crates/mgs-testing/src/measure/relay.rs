//! A relay that counts what passes through it.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;

const STACK_BYTES: usize = 128 * 1024;
const BUFFER_BYTES: usize = 16 * 1024;

/// Counts of a relay.
#[derive(Debug, Default)]
struct Counts {
    bytes: AtomicU64,
    connections: AtomicU64,
}

/// A relay on a loopback port that lives as long as this process.
#[derive(Debug, Clone)]
pub struct Relay {
    address: SocketAddr,
    counts: Arc<Counts>,
}

impl Relay {
    /// Relays to `to`.
    pub fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((to.ip(), 0))?;
        let relay = Self {
            address: listener.local_addr()?,
            counts: Arc::default(),
        };
        let counts = Arc::clone(&relay.counts);
        thread::Builder::new()
            .name("relay".to_string())
            .spawn(move || accept(&listener, to, &counts))?;
        Ok(relay)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Payload bytes of both directions.
    pub fn bytes(&self) -> u64 {
        self.counts.bytes.load(Ordering::Relaxed)
    }

    /// Connections taken.
    pub fn connections(&self) -> u64 {
        self.counts.connections.load(Ordering::Relaxed)
    }
}

fn accept(listener: &TcpListener, to: SocketAddr, counts: &Arc<Counts>) {
    for near in listener.incoming().flatten() {
        let Ok(far) = TcpStream::connect(to) else {
            continue;
        };
        counts.connections.fetch_add(1, Ordering::Relaxed);
        let pumps = near
            .try_clone()
            .and_then(|near| Ok((near, far.try_clone()?)));
        let Ok((near_copy, far_copy)) = pumps else {
            continue;
        };
        pump(near, far, counts);
        pump(far_copy, near_copy, counts);
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, counts: &Arc<Counts>) {
    let counts = Arc::clone(counts);
    let copy = move || {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(read) = from.read(&mut buffer) {
            counts.bytes.fetch_add(read as u64, Ordering::Relaxed);
            if read == 0 || to.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
        // Fails only when the other side has closed it already.
        let _ = to.shutdown(Shutdown::Write);
    };
    if let Err(error) = thread::Builder::new().stack_size(STACK_BYTES).spawn(copy) {
        log::warn!(error:% = error; "no thread for a relayed connection");
    }
}
