//! Each fault of the proxy, over real sockets. Waits are generous limits on events; silence is
//! shown by what comes first, not by a clock.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use mgs_testing::proxy::Direction;
use mgs_testing::proxy::Faults;
use mgs_testing::proxy::Route;

const GENEROUS: Duration = Duration::from_secs(20);

/// A server that sends back what it gets, and a route to it.
fn echo() -> Route {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            thread::spawn(move || io::copy(&mut &stream, &mut &stream));
        }
    });
    Route::start(address).unwrap()
}

fn connect(route: &Route) -> TcpStream {
    let stream = TcpStream::connect(route.address()).unwrap();
    stream.set_read_timeout(Some(GENEROUS)).unwrap();
    stream
}

fn echoes(stream: &mut TcpStream, text: &[u8]) {
    stream.write_all(text).unwrap();
    assert_eq!(read(stream, text.len()), text);
}

fn read(stream: &mut TcpStream, bytes: usize) -> Vec<u8> {
    let mut buffer = vec![0; bytes];
    stream.read_exact(&mut buffer).unwrap();
    buffer
}

/// Waits for an event that must come.
fn until(mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < GENEROUS, "the event doesn't come");
        thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn passes_and_counts_bytes() {
    let route = echo();
    let mut stream = connect(&route);
    echoes(&mut stream, b"hello");
    assert_eq!(route.bytes(Direction::ToTarget), 5);
    until(|| route.bytes(Direction::ToCaller) == 5);
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(stream.read(&mut [0; 8]).unwrap(), 0);
    until(|| route.connections().is_empty());
}

#[test]
fn cut_resets_existing_connections_only() {
    let route = echo();
    let mut old = connect(&route);
    echoes(&mut old, b"before");
    assert_eq!(route.cut(), 1);
    let error = old.read(&mut [0; 8]).unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    echoes(&mut connect(&route), b"after");
}

#[rstest]
#[case::request(Direction::ToTarget, 0)]
#[case::reply(Direction::ToCaller, 3)]
fn cut_after_bytes(#[case] direction: Direction, #[case] passing: usize) {
    let route = echo();
    route.set_new(Faults::cut_after(direction, passing as u64));
    let mut stream = connect(&route);
    stream.write_all(b"hello").unwrap();
    let mut got = Vec::new();
    let error = stream.read_to_end(&mut got).unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    assert_eq!(got, &b"hello"[..passing]);
    assert_eq!(route.bytes(Direction::ToTarget) > 0, passing > 0);
}

/// The second connection is answered while the first, asked earlier, is not; then the first gets
/// what was held.
#[rstest]
#[case::request(Faults::silent_towards(Direction::ToTarget))]
#[case::reply(Faults::silent_towards(Direction::ToCaller))]
#[case::both(Faults::silent())]
fn half_dead_then_late(#[case] faults: Faults) {
    let route = echo();
    let mut old = connect(&route);
    echoes(&mut old, b"1");
    route.set_existing(faults);
    old.write_all(b"late").unwrap();
    echoes(&mut connect(&route), b"new");
    old.set_nonblocking(true).unwrap();
    let silent = old.read(&mut [0; 8]).unwrap_err();
    assert_eq!(silent.kind(), io::ErrorKind::WouldBlock);
    old.set_nonblocking(false).unwrap();
    route.set_existing(Faults::default());
    assert_eq!(read(&mut old, 4), b"late");
}

#[test]
fn holds_one_connection_while_another_passes() {
    let route = echo();
    let mut first = connect(&route);
    echoes(&mut first, b"1");
    let first_id = route.connections()[0].id;
    let mut second = connect(&route);
    assert!(route.set_connection(first_id, Faults::silent()));
    first.write_all(b"one").unwrap();
    echoes(&mut second, b"two");
    assert!(route.set_connection(first_id, Faults::default()));
    assert_eq!(read(&mut first, 3), b"one");
    assert!(route.cut_connection(first_id));
    echoes(&mut second, b"three");
}

#[test]
fn refuses_and_listens_again_on_the_same_port() {
    let route = echo();
    let mut old = connect(&route);
    echoes(&mut old, b"1");
    route.refuse(true).unwrap();
    let refused = TcpStream::connect(route.address()).unwrap_err();
    assert_eq!(refused.kind(), io::ErrorKind::ConnectionRefused);
    echoes(&mut old, b"2");
    route.refuse(false).unwrap();
    echoes(&mut connect(&route), b"3");
}

#[test]
fn delays_bytes() {
    let route = echo();
    let mut stream = connect(&route);
    echoes(&mut stream, b"1");
    route.set_all(Faults::delayed(100));
    let start = Instant::now();
    echoes(&mut stream, b"2");
    // A delay is a least time, so this holds on any machine.
    assert!(start.elapsed() >= Duration::from_millis(200));
}

#[test]
fn a_target_that_is_gone_resets_and_another_takes_over() {
    let route = echo();
    let gone = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let elsewhere = echo();
    route.set_target(gone);
    let mut lost = connect(&route);
    assert!(lost.read(&mut [0; 8]).is_err());
    route.set_target(elsewhere.address());
    echoes(&mut connect(&route), b"again");
}
