//! Ports for processes that listen on fixed ones.

use std::net::TcpListener;
use std::ops::Range;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Ports below those that Linux gives to sockets without one, unless it is set up otherwise.
const PORTS: Range<u16> = 16_384..32_768;

/// Ports between the first candidates of processes with consecutive identifiers.
const PORTS_PER_PROCESS: u32 = 64;

/// Ports that this process has considered so far.
static CONSIDERED_COUNT: AtomicU32 = AtomicU32::new(0);

/// Ports on which nothing listens. None is named twice, and the system doesn't give them to a listener of a test: such a
/// listener would answer in place of the process for which a port is meant.
pub(crate) fn free_ports<const N: usize>() -> [u16; N] {
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    [(); N].map(|()| loop {
        let considered = CONSIDERED_COUNT.fetch_add(1, Ordering::Relaxed);
        let offset = first.wrapping_add(considered) % u32::from(PORTS.end - PORTS.start);
        let port = PORTS.start + u16::try_from(offset).expect("an offset within the range");
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            break port;
        }
    })
}
