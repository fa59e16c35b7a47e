//! Moving the bytes of one direction.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::proxy::connection::Connection;
use crate::proxy::connection::Pass;
use crate::proxy::faults::Direction;

const CHUNK_BYTES: usize = 32 * 1024;

/// How often a write that the peer doesn't take looks whether the connection was reset.
const WRITE_POLL_MS: u64 = 50;

/// How much later than held bytes the end of their connection comes. On a network the end of a
/// connection that was given up is a packet of its own, which may be lost and sent again.
const END_AFTER_HELD_MS: u64 = 500;

/// Moves bytes until the direction ends. `moved` learns of each write.
pub(super) fn run(connection: &Connection, direction: Direction, moved: impl Fn(u64)) {
    let (from, to) = connection.ends(direction);
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = retry_interrupted(|| (&mut &*from).read(&mut chunk));
        let bytes = *read.as_ref().unwrap_or(&0);
        let passing = match connection.wait_to_pass(direction, bytes) {
            Pass::Nothing => return,
            Pass::All => bytes,
            Pass::Some(passing) => passing,
        };
        if bytes == 0 && direction == Direction::ToTarget && connection.is_late() {
            thread::sleep(Duration::from_millis(END_AFTER_HELD_MS));
        }
        if read.is_err() {
            return connection.cut();
        }
        if bytes == 0 {
            // Fails only on a socket that the peer has reset.
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        let written = write(connection, to, &chunk[..passing]);
        if written.is_err() && direction == Direction::ToCaller && connection.is_late() {
            // The caller has gone, and what it sent before may still be on its way.
            return;
        }
        if written.is_err() || passing < bytes {
            return connection.cut();
        }
        connection.count(direction, passing as u64);
        moved(passing as u64);
    }
}

fn write(connection: &Connection, mut to: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    to.set_write_timeout(Some(Duration::from_millis(WRITE_POLL_MS)))?;
    while !bytes.is_empty() {
        match to.write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if is_transient(error.kind()) && !connection.is_cut() => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn is_transient(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}

fn retry_interrupted(mut read: impl FnMut() -> io::Result<usize>) -> io::Result<usize> {
    loop {
        match read() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
