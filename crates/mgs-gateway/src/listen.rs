//! The callers' listening socket.
//!
//! The HTTP library reads without a timeout, and stops accepting for good after one accept has
//! failed. So the timeouts are set on the listening socket, from which accepted ones inherit them
//! (a connection to itself now and then keeps the timeout from ending an accept), and a server
//! whose accept failed is followed by another one on the same socket.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use socket2::Domain;
use socket2::Socket;
use socket2::TcpKeepalive;
use socket2::Type;
use tiny_http::Server;

use crate::core::Core;
use crate::workers::Workers;

/// Bounds on what a caller's connection may hold up.
#[derive(Debug, Clone)]
pub struct Options {
    /// Longest silence of a caller in the middle of a request, and between two requests on one
    /// connection, in milliseconds.
    pub read_timeout_ms: u64,
    /// Time between connections of the gateway to itself, which keep the read timeout from ending
    /// an accept, in milliseconds.
    pub probe_interval_ms: u64,
    /// Longest time that a caller takes no byte of its answer, in milliseconds.
    pub write_timeout_ms: u64,
    /// Longest time for a whole body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Largest body, in bytes.
    pub body_max_bytes: usize,
    /// Most requests open at once; more are refused.
    pub open_max: usize,
    /// Stack of a request's thread, in bytes.
    pub stack_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            read_timeout_ms: 30_000,
            probe_interval_ms: 10_000,
            write_timeout_ms: 10_000,
            body_timeout_ms: 60_000,
            body_max_bytes: 8 * 1024 * 1024,
            open_max: 4_096,
            stack_bytes: 256 * 1024,
        }
    }
}

const BACKLOG: i32 = 1_024;
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(200);

/// Pause before the next server after a failed accept; doubles while they fail.
const PAUSE_MIN: Duration = Duration::from_millis(50);
const PAUSE_MAX: Duration = Duration::from_millis(1_000);

/// Binds the callers' socket.
pub(crate) fn bind(address: SocketAddr, options: &Options) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_nodelay(true)?;
    let write_timeout = Duration::from_millis(options.write_timeout_ms);
    socket.set_tcp_user_timeout(Some(write_timeout))?;
    socket.set_write_timeout(Some(write_timeout))?;
    socket.set_read_timeout(Some(Duration::from_millis(options.read_timeout_ms)))?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Starts to serve callers.
pub(crate) fn start(core: &Arc<Core>, listener: TcpListener) -> io::Result<()> {
    let workers = Workers::start(core)?;
    let address = reachable(listener.local_addr()?);
    let probing = core.clone();
    spawn("listen-probe", move || probe(&probing, address))?;
    let accepting = Accepting {
        core: core.clone(),
        listener,
        workers,
    };
    accepting.start(PAUSE_MIN)
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new()
        .name(name.to_string())
        .spawn(run)
        .map(drop)
}

/// An address on which a listener of any address is reached.
fn reachable(address: SocketAddr) -> SocketAddr {
    let ip = match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => IpAddr::V4(Ipv4Addr::LOCALHOST),
        IpAddr::V6(ip) if ip.is_unspecified() => IpAddr::V6(Ipv6Addr::LOCALHOST),
        ip => ip,
    };
    SocketAddr::new(ip, address.port())
}

/// Connects now and then, so that no accept waits for as long as the read timeout.
fn probe(core: &Core, address: SocketAddr) {
    let every = core.options.callers.probe_interval_ms;
    while core.pause(every) {
        if let Err(error) = TcpStream::connect_timeout(&address, POLL) {
            log::warn!(error:% = error; "the callers' own socket can't be reached");
        }
    }
}

struct Accepting {
    core: Arc<Core>,
    listener: TcpListener,
    workers: Workers,
}

impl Accepting {
    fn start(self, pause: Duration) -> io::Result<()> {
        spawn("callers", move || self.run(pause))
    }

    /// Serves until the gateway stops or, after a failed accept, until the connections that were
    /// accepted before have gone quiet.
    fn run(self, pause: Duration) {
        let server = match self
            .listener
            .try_clone()
            .map(|l| Server::from_listener(l, None))
        {
            Ok(Ok(server)) => server,
            Ok(Err(error)) => return self.failed(&error.to_string(), pause),
            Err(error) => return self.failed(&error.to_string(), pause),
        };
        let began = Instant::now();
        loop {
            match server.recv_timeout(POLL) {
                Ok(Some(request)) => self.workers.serve(request),
                Ok(None) if self.core.is_stopped() => return,
                Ok(None) => {}
                Err(error) => {
                    let calm = began.elapsed() > PAUSE_MAX;
                    let pause = if calm { PAUSE_MIN } else { pause };
                    self.again().failed(&error.to_string(), pause);
                    return self.wind_down(&server);
                }
            }
        }
    }

    fn again(&self) -> Self {
        Self {
            core: self.core.clone(),
            // The descriptor was bound by this process and is never closed before.
            listener: self.listener.try_clone().expect("BUG: a bound listener"),
            workers: self.workers.clone(),
        }
    }

    /// Sets up the next server after a pause.
    fn failed(self, error: &str, pause: Duration) {
        self.core.metrics.accept_failures.inc();
        log::warn!(error = error; "accept failed");
        std::thread::sleep(pause);
        if let Err(error) = self.start((pause * 2).min(PAUSE_MAX)) {
            log::error!(error:% = error; "no thread to accept callers");
        }
    }

    /// Serves connections that were accepted before the failure.
    fn wind_down(&self, server: &Server) {
        let quiet = Duration::from_millis(self.core.options.callers.read_timeout_ms) * 2;
        let mut last = Instant::now();
        while last.elapsed() < quiet && !self.core.is_stopped() {
            if let Ok(Some(request)) = server.recv_timeout(POLL) {
                last = Instant::now();
                self.workers.serve(request);
            }
        }
    }
}
