//! A listener, its target and its connections.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::port;
use crate::port::Port;
use crate::proxy::connection::Connection;
use crate::proxy::connection::ConnectionInfo;
use crate::proxy::faults::Direction;
use crate::proxy::faults::Faults;
use crate::proxy::pump;

const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Pause after a failed accept (no file descriptors left, say).
const ACCEPT_PAUSE_MS: u64 = 20;

const STACK_BYTES: usize = 128 * 1024;

/// A listener that passes connections on to one target. Dropping it resets them all.
///
/// ```
/// use std::net::TcpListener;
///
/// use mgs_testing::proxy::Route;
///
/// let target = TcpListener::bind("127.0.0.1:0").unwrap();
/// let route = Route::start(target.local_addr().unwrap()).unwrap();
/// route.refuse(true).unwrap();
/// assert!(std::net::TcpStream::connect(route.address()).is_err());
/// ```
pub struct Route {
    shared: Arc<Shared>,
    port: Port,
    accepting: Mutex<Option<Accepting>>,
}

struct Accepting {
    listener: Arc<TcpListener>,
    thread: JoinHandle<()>,
}

struct Shared {
    target: Mutex<SocketAddr>,
    new_faults: Mutex<Faults>,
    connections: Mutex<Vec<Arc<Connection>>>,
    opened: AtomicU64,
    to_target_bytes: AtomicU64,
    to_caller_bytes: AtomicU64,
}

impl Route {
    /// Listens on a free port and passes connections on to `target`.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let route = Self {
            shared: Arc::new(Shared {
                target: Mutex::new(target),
                new_faults: Mutex::new(Faults::default()),
                connections: Mutex::new(Vec::new()),
                opened: AtomicU64::new(0),
                to_target_bytes: AtomicU64::new(0),
                to_caller_bytes: AtomicU64::new(0),
            }),
            port: Port::take()?,
            accepting: Mutex::new(None),
        };
        route.refuse(false)?;
        Ok(route)
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Changes the target of connections to come.
    pub fn set_target(&self, target: SocketAddr) {
        *locked(&self.shared.target) = target;
    }

    /// Whether new connections are refused, as those to a closed port are. Existing ones stay.
    pub fn refuse(&self, refused: bool) -> io::Result<()> {
        let mut accepting = locked(&self.accepting);
        match accepting.take() {
            Some(open) if refused => open.stop(),
            None if !refused => *accepting = Some(self.accept()?),
            unchanged => *accepting = unchanged,
        }
        Ok(())
    }

    /// Sets the faults of existing connections and of those to come.
    pub fn set_all(&self, faults: Faults) {
        self.set_new(faults);
        self.set_existing(faults);
    }

    /// Sets the faults of connections to come.
    pub fn set_new(&self, faults: Faults) {
        *locked(&self.shared.new_faults) = faults;
    }

    /// Sets the faults of existing connections only.
    pub fn set_existing(&self, faults: Faults) {
        for connection in self.shared.list() {
            connection.set_faults(faults);
        }
    }

    /// Sets the faults of one connection; false if it has ended.
    pub fn set_connection(&self, id: u64, faults: Faults) -> bool {
        let found = self.shared.find(id);
        if let Some(connection) = &found {
            connection.set_faults(faults);
        }
        found.is_some()
    }

    /// Resets the existing connections; returns how many.
    pub fn cut(&self) -> usize {
        let connections = self.shared.list();
        for connection in &connections {
            connection.cut();
        }
        connections.len()
    }

    /// Resets one connection; false if it has ended.
    pub fn cut_connection(&self, id: u64) -> bool {
        let found = self.shared.find(id);
        if let Some(connection) = &found {
            connection.cut();
        }
        found.is_some()
    }

    /// The existing connections, oldest first.
    pub fn connections(&self) -> Vec<ConnectionInfo> {
        let connections = self.shared.list();
        connections.iter().map(|one| one.info()).collect()
    }

    /// Connections accepted so far.
    pub fn opened(&self) -> u64 {
        self.shared.opened.load(Ordering::Relaxed)
    }

    /// Bytes passed so far in a direction.
    pub fn bytes(&self, direction: Direction) -> u64 {
        self.shared.counter(direction).load(Ordering::Relaxed)
    }

    fn accept(&self) -> io::Result<Accepting> {
        let listener = Arc::new(self.port.listen()?);
        let shared = self.shared.clone();
        let accepted_from = listener.clone();
        let thread = spawn(move || shared.accept_all(&accepted_from))?;
        Ok(Accepting { listener, thread })
    }
}

impl Drop for Route {
    fn drop(&mut self) {
        if let Some(open) = locked(&self.accepting).take() {
            open.stop();
        }
        self.cut();
    }
}

impl Accepting {
    /// Closes the listener before it returns.
    fn stop(self) {
        port::wake(&self.listener);
        // A panic of the thread has been printed by the runtime.
        let _ = self.thread.join();
    }
}

impl Shared {
    fn accept_all(self: &Arc<Self>, listener: &TcpListener) {
        loop {
            match listener.accept() {
                Ok((caller, _)) => self.open(caller),
                Err(error) if error.kind() == io::ErrorKind::InvalidInput => return,
                Err(error) => {
                    log::warn!(error:% = error; "accept failed");
                    thread::sleep(Duration::from_millis(ACCEPT_PAUSE_MS));
                }
            }
        }
    }

    fn open(self: &Arc<Self>, caller: TcpStream) {
        let id = self.opened.fetch_add(1, Ordering::Relaxed);
        let shared = self.clone();
        let spawned = spawn(move || {
            if let Err(error) = shared.serve(id, caller) {
                log::debug!(error:% = error; "connection not passed on");
            }
        });
        if let Err(error) = spawned {
            log::warn!(error:% = error; "no thread for a connection");
        }
    }

    fn serve(self: &Arc<Self>, id: u64, caller: TcpStream) -> io::Result<()> {
        let target = *locked(&self.target);
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let target = TcpStream::connect_timeout(&target, limit).inspect_err(|_| {
            // A caller whose target is gone meets a reset rather than an orderly end.
            let _ = socket2::SockRef::from(&caller).set_linger(Some(Duration::ZERO));
        })?;
        caller.set_nodelay(true)?;
        target.set_nodelay(true)?;
        let faults = *locked(&self.new_faults);
        let connection = Arc::new(Connection::new(id, caller, target, faults));
        locked(&self.connections).push(connection.clone());
        let moved = self.pump_both(&connection);
        locked(&self.connections).retain(|other| other.id() != id);
        moved
    }

    fn pump_both(self: &Arc<Self>, connection: &Arc<Connection>) -> io::Result<()> {
        let shared = self.clone();
        let back = connection.clone();
        let replies = spawn(move || shared.pump(&back, Direction::ToCaller))?;
        self.pump(connection, Direction::ToTarget);
        // A panic of the thread has been printed by the runtime.
        let _ = replies.join();
        Ok(())
    }

    fn pump(&self, connection: &Connection, direction: Direction) {
        let counter = self.counter(direction);
        pump::run(connection, direction, |bytes| {
            counter.fetch_add(bytes, Ordering::Relaxed);
        });
    }

    fn counter(&self, direction: Direction) -> &AtomicU64 {
        match direction {
            Direction::ToTarget => &self.to_target_bytes,
            Direction::ToCaller => &self.to_caller_bytes,
        }
    }

    fn list(&self) -> Vec<Arc<Connection>> {
        locked(&self.connections).clone()
    }

    fn find(&self, id: u64) -> Option<Arc<Connection>> {
        let connections = locked(&self.connections);
        connections.iter().find(|one| one.id() == id).cloned()
    }
}

fn spawn(run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name("proxy".to_string())
        .stack_size(STACK_BYTES)
        .spawn(run)
}

/// A panic while the lock was held leaves a value that is still whole.
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
