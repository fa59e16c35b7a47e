//! Addresses for processes that listen on fixed ports.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Ports below those that Linux gives to sockets without one, unless it is set up otherwise.
const FIRST_PORT: u16 = 16_384;

/// Ports that this process has named so far.
static NAMED_COUNT: AtomicU16 = AtomicU16::new(0);

/// A loopback address that no other process of the machine uses: its last 23 bits are the identifier of this one.
fn own_ip() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 128 | high, middle, low)
}

/// Addresses that are each named once, and that the system gives to no listener of a test: one there would answer in
/// place of the process for which the address is meant.
pub(crate) fn own_addresses<const N: usize>() -> [SocketAddr; N] {
    [(); N].map(|()| {
        let port = FIRST_PORT + NAMED_COUNT.fetch_add(1, Ordering::Relaxed);
        SocketAddr::from((own_ip(), port))
    })
}
