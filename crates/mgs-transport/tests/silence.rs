//! Connections that go silent, in one direction or both, while new ones work.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Dispatch;
use mgs_schema::wire::Hello;
use mgs_schema::wire::LoadReport;
use mgs_schema::wire::Pong;
use mgs_transport::client::Connection;
use mgs_transport::client::Error;
use mgs_transport::client::Options;
use mgs_transport::pool::Pool;
use mgs_transport::runtime::Runtime;
use mgs_transport::server;
use mgs_transport::server::Handler;
use mgs_transport::server::Incoming;
use mgs_transport::server::Reply;
use mgs_transport::server::Server;
use rstest::rstest;

const WAIT: Duration = Duration::from_secs(30);

/// A relay that can swallow what goes either way on the connections that are open now.
struct Relay {
    address: SocketAddr,
    /// For each connection: whether it swallows what goes out, and what comes back.
    swallow: Arc<Mutex<Vec<[Arc<AtomicBool>; 2]>>>,
    /// Whether everything waits, to be passed on later.
    hold: Arc<AtomicBool>,
}

impl Relay {
    fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let relay = Self {
            address: listener.local_addr().unwrap(),
            swallow: Arc::default(),
            hold: Arc::default(),
        };
        let hold = relay.hold.clone();
        let all = relay.swallow.clone();
        std::thread::spawn(move || {
            for client in listener.incoming() {
                let client = client.unwrap();
                let server = TcpStream::connect(target).unwrap();
                let flags: [Arc<AtomicBool>; 2] = Default::default();
                all.lock().unwrap().push(flags.clone());
                let [out, back] = flags;
                pump(
                    client.try_clone().unwrap(),
                    server.try_clone().unwrap(),
                    out,
                    &hold,
                );
                pump(server, client, back, &hold);
            }
        });
        relay
    }

    fn silence(&self, out: bool, back: bool) {
        for flags in self.swallow.lock().unwrap().iter() {
            flags[0].store(out, Ordering::Release);
            flags[1].store(back, Ordering::Release);
        }
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, swallow: Arc<AtomicBool>, hold: &Arc<AtomicBool>) {
    let hold = hold.clone();
    std::thread::spawn(move || {
        let mut buffer = vec![0; 64 << 10];
        while let Ok(count) = from.read(&mut buffer) {
            if count == 0 {
                break;
            }
            while hold.load(Ordering::Acquire) {
                std::thread::sleep(Duration::from_millis(1));
            }
            if !swallow.load(Ordering::Acquire) && to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}

/// Answers pings; keeps dispatches open; sends reports to whoever says hello.
#[derive(Default)]
struct Peer {
    open: Mutex<Vec<Reply>>,
    closed: AtomicUsize,
}

impl Handler for Peer {
    fn handle(&self, incoming: Incoming) {
        match incoming.body {
            Body::Ping(ping) => {
                let _ = incoming.reply.send(Body::Pong(Pong { nonce: ping.nonce }));
            }
            Body::Hello(_) => {
                std::thread::spawn(move || {
                    let report = || Body::LoadReport(LoadReport::default());
                    while incoming.reply.send(report()).is_ok() {
                        std::thread::sleep(Duration::from_millis(10));
                    }
                });
            }
            _ => self.open.lock().unwrap().push(incoming.reply),
        }
    }

    fn closed(&self, _connection: u64) {
        self.closed.fetch_add(1, Ordering::AcqRel);
    }
}

struct Bench {
    runtime: Runtime,
    peer: Arc<Peer>,
    _server: Server,
    relay: Relay,
}

fn bench(options: &server::Options) -> Bench {
    let runtime = Runtime::new(&Default::default()).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = Arc::<Peer>::default();
    let server = Server::start(&runtime, listener, options, peer.clone()).unwrap();
    let relay = Relay::start(server.address());
    Bench {
        runtime,
        peer,
        _server: server,
        relay,
    }
}

#[rstest]
#[case::both_ways(true, true)]
#[case::way_out(true, false)]
#[case::way_back(false, true)]
fn a_call_on_a_silent_connection_ends_and_a_new_connection_works(
    #[case] out: bool,
    #[case] back: bool,
) {
    let bench = bench(&Default::default());
    let pool = Pool::new(bench.runtime.clone(), Options::default());
    let connection = pool.connection(bench.relay.address).unwrap();
    // Reports go on coming back, and prove nothing of the way out.
    let hello = connection.call(Body::Hello(Hello::default())).unwrap();
    hello.recv_timeout(WAIT).unwrap();
    bench.relay.silence(out, back);
    let call = connection
        .call(Body::Dispatch(Dispatch::default()))
        .unwrap();
    assert_eq!(call.recv_timeout(WAIT), Err(Error::Silent));
    assert!(!connection.is_open());
    let connection = pool.connection(bench.relay.address).unwrap();
    let ping = mgs_schema::wire::Ping { nonce: 3 };
    let answer = connection.ask(Body::Ping(ping), WAIT).unwrap();
    assert_eq!(answer, Body::Pong(Pong { nonce: 3 }));
}

#[test]
fn a_waiting_call_on_a_living_connection_is_left_alone() {
    let options = Options {
        ping_interval_ms: 5,
        ..Options::default()
    };
    let bench = bench(&Default::default());
    let connection = Connection::open(&bench.runtime, bench.relay.address, &options).unwrap();
    let call = connection
        .call(Body::Dispatch(Dispatch::default()))
        .unwrap();
    // Many pings long.
    let end = call.recv_timeout(Duration::from_millis(300));
    assert_eq!(end, Err(Error::Timeout));
    assert!(connection.is_open());
}

#[test]
fn a_server_drops_a_silent_connection_although_calls_came_during_its_pings() {
    let bench = bench(&server::Options {
        silence_timeout_ms: 800,
        ..server::Options::default()
    });
    let options = Options {
        ping_timeout_ms: 600_000,
        ..Options::default()
    };
    let connection = Connection::open(&bench.runtime, bench.relay.address, &options).unwrap();
    let start = Instant::now();
    for round in 0..6 {
        // A ping is sent 400 ms after the last call; its answer and the next call are held back
        // and then come in the same bytes.
        std::thread::sleep(Duration::from_millis(370));
        bench.relay.hold.store(true, Ordering::Release);
        let ping = mgs_schema::wire::Ping { nonce: round };
        let call = connection.call(Body::Ping(ping)).unwrap();
        std::thread::sleep(Duration::from_millis(80));
        bench.relay.hold.store(false, Ordering::Release);
        call.recv_timeout(WAIT).unwrap();
    }
    bench.relay.silence(true, true);
    while bench.peer.closed.load(Ordering::Acquire) == 0 {
        assert!(start.elapsed() < WAIT, "the server keeps a dead connection");
        std::thread::sleep(Duration::from_millis(5));
    }
}
