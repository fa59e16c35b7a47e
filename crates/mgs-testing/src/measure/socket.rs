//! Bytes that processes have sent and received on their open TCP sockets, as the kernel counts
//! them (`ss`, of iproute2).

use std::collections::HashMap;
use std::process::Command;

use crate::measure::Error;

/// Place of the other end's address in a line, after two queues and the own address.
const PEER_FIELD: usize = 3;

/// Payload bytes of the open sockets of one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Bytes {
    /// Sent.
    pub sent_bytes: u64,
    /// Received.
    pub received_bytes: u64,
    /// Sockets.
    pub sockets: u64,
}

/// Looks at all open sockets, by process, but for those towards the ports in `except`.
pub fn by_process(except: &[u16]) -> Result<HashMap<u32, Bytes>, Error> {
    let arguments = ["-t", "-i", "-n", "-p", "-H", "-O", "state", "established"];
    let output = Command::new("ss").args(arguments).output();
    let output = output.map_err(|error| Error::Watch(format!("ss: {error}")))?;
    if !output.status.success() {
        let reason = String::from_utf8_lossy(&output.stderr).into_owned();
        return Err(Error::Watch(format!("ss: {reason}")));
    }
    Ok(parse(&String::from_utf8_lossy(&output.stdout), except))
}

/// Sums the lines of `ss -tinpHO`.
///
/// ```
/// let line = "0 0 127.0.0.1:1 127.0.0.1:2 users:((\"a\",pid=7,fd=3)) cubic bytes_sent:5 \
///     bytes_acked:5 bytes_received:9 segs_out:1";
/// let bytes = mgs_testing::measure::socket::parse(line, &[80])[&7];
/// assert_eq!((bytes.sent_bytes, bytes.received_bytes), (5, 9));
/// ```
pub fn parse(lines: &str, except: &[u16]) -> HashMap<u32, Bytes> {
    let mut sums: HashMap<u32, Bytes> = HashMap::new();
    for line in lines.lines() {
        let Some(process) = number(line, "pid=") else {
            continue;
        };
        if peer_port(line).is_some_and(|port| except.contains(&port)) {
            continue;
        }
        let sum = sums.entry(process as u32).or_default();
        sum.sent_bytes += number(line, "bytes_sent:").unwrap_or_default();
        sum.received_bytes += number(line, "bytes_received:").unwrap_or_default();
        sum.sockets += 1;
    }
    sums
}

/// Port of the other end, the fourth field.
fn peer_port(line: &str) -> Option<u16> {
    let peer = line.split_whitespace().nth(PEER_FIELD)?;
    peer.rsplit_once(':')?.1.parse().ok()
}

fn number(line: &str, name: &str) -> Option<u64> {
    let (_, rest) = line.split_once(name)?;
    let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok()
}
