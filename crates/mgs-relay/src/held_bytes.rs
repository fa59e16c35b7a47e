//! Counts the bytes that a gateway holds for clients and endpoints that read or write slowly, and
//! decides what it may still take.
//!
//! Request bodies and open connections leave a part of the account to answers, since the request of
//! an answer has run already. Complete answers leave a part to streams, and a stream may hold only a
//! share of what is free. So clients that never read, however many, reach their bound before those
//! that read lose anything.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::Bytes;

use crate::attached_bytes::attach;

/// Share of the account up to which request bodies are accepted, in percent. The rest is left to
/// the answers of what was accepted.
const BODY_SHARE_PERCENT: u64 = 75;

/// Share of the account up to which complete answers are accepted, in percent. The rest is left to
/// streams, whose events would find no room in a full account although their clients read.
const ANSWER_SHARE_PERCENT: u64 = 90;

/// Share of the account that open connections may take on a host with a memory limit, in percent.
const LIMITED_CONNECTION_SHARE_PERCENT: u64 = 40;

/// What an open connection takes for its buffers and its task, in bytes. 240 connections, most of
/// them with a request, took 4 MB of a process's memory.
pub const CONNECTION_BYTES: usize = 17_000;

/// Part of what is free that the unread bytes of one stream may take: one in this many.
const STREAM_SHARE_DIVISOR: u64 = 8;

/// Part of the account that one connection may hold: one in this many.
const CONNECTION_SHARE_DIVISOR: u64 = 8;

/// Part of the host's memory that held bytes may take: one in this many. On the smallest host, of
/// 112 MB, that is 22 MB of the 60 MB that the process may use; connections, the allocator and what
/// the process needs when idle take the rest.
const MEMORY_SHARE_DIVISOR: u64 = 5;

/// Most bytes held on a host with a memory limit. The bound of 60 MB on the process doesn't grow
/// with the host's memory.
const LIMITED_TOTAL_MAX_BYTES: u64 = 24_000_000;

/// Send buffer of a client's connection on a host with a memory limit, in bytes. It carries 32 MB/s
/// at a round trip of 2 ms, and many clients that don't read stay within the host's memory.
const LIMITED_SEND_BUFFER_BYTES: usize = 64 * 1024;

/// How long a client may take nothing on a host with a memory limit, in milliseconds. With the send
/// buffer above, a client that reads 5 kB per second is not cut off.
const LIMITED_STALL_MS: u64 = 10_000;

/// Added to each hold for the allocations that go with it, in bytes.
const HOLD_OVERHEAD_BYTES: u64 = 256;

/// Bounds of the bytes that are held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Bound over all connections, in bytes.
    pub total_bytes: u64,
    /// Bound of what one client has yet to read, in bytes. A request body is bounded by the
    /// configuration instead.
    pub connection_bytes: u64,
    /// Bound of what open connections take themselves, in bytes.
    pub open_connections_bytes: u64,
    /// Bytes that the system may hold for one client that doesn't read; `None` leaves the choice to
    /// the system, which goes up to some megabytes.
    pub send_buffer_bytes: Option<usize>,
    /// How long a client may take nothing while there is something to send to it, in milliseconds.
    /// The system reports progress only once a third of the send buffer is free.
    pub stall_ms: u64,
}

impl Default for Options {
    /// No bounds, for a host without a memory limit. Held bytes are counted all the same.
    fn default() -> Self {
        Self {
            total_bytes: u64::MAX,
            connection_bytes: u64::MAX,
            open_connections_bytes: u64::MAX,
            send_buffer_bytes: None,
            stall_ms: u64::MAX,
        }
    }
}

impl Options {
    /// Bounds for a host with this much memory.
    ///
    /// ```
    /// use mgs_relay::held_bytes::Options;
    ///
    /// let small = Options::for_memory(112_000_000);
    /// assert_eq!(small.total_bytes, 22_400_000);
    /// assert_eq!(small.connection_bytes, 2_800_000);
    /// assert_eq!(Options::for_memory(512_000_000).total_bytes, 24_000_000);
    /// ```
    pub fn for_memory(memory_bytes: u64) -> Self {
        let total_bytes = (memory_bytes / MEMORY_SHARE_DIVISOR).min(LIMITED_TOTAL_MAX_BYTES);
        Self {
            total_bytes,
            connection_bytes: total_bytes / CONNECTION_SHARE_DIVISOR,
            open_connections_bytes: total_bytes / 100 * LIMITED_CONNECTION_SHARE_PERCENT,
            send_buffer_bytes: Some(LIMITED_SEND_BUFFER_BYTES),
            stall_ms: LIMITED_STALL_MS,
        }
    }

    /// Bytes held up to which request bodies and open connections are accepted.
    fn body_bytes(&self) -> u64 {
        self.total_bytes / 100 * BODY_SHARE_PERCENT
    }

    /// Bytes held up to which complete answers are accepted.
    fn answer_bytes(&self) -> u64 {
        self.total_bytes / 100 * ANSWER_SHARE_PERCENT
    }
}

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldKind {
    /// A client's request body, from its first byte until the request has ended.
    RequestBody,
    /// A complete answer, until the client has read it.
    Answer,
    /// Events of a stream that the client has yet to read.
    Stream,
    /// An open connection.
    OpenConnection,
}

impl HoldKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [
        Self::RequestBody,
        Self::Answer,
        Self::Stream,
        Self::OpenConnection,
    ];

    /// Label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::RequestBody => "request_bodies",
            Self::Answer => "answers",
            Self::Stream => "streams",
            Self::OpenConnection => "open_connections",
        }
    }

    /// Whether the client has yet to read these bytes.
    fn is_unread(self) -> bool {
        matches!(self, Self::Answer | Self::Stream)
    }
}

/// Which bound leaves no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoRoom {
    /// The bound of the connection.
    Connection,
    /// The bound over all connections, or the share that one stream may have of what is free.
    Total,
}

impl NoRoom {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Total => "total",
        }
    }
}

/// The bytes that one client has yet to read. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct ConnectionBytes {
    held: Arc<AtomicU64>,
}

impl ConnectionBytes {
    /// Bytes held now.
    pub fn held_bytes(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }
}

/// The account of all held bytes. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct HeldBytes {
    by_kind: Arc<[AtomicU64; HoldKind::ALL.len()]>,
}

impl HeldBytes {
    /// Bytes of one kind that are held now.
    pub fn held_bytes(&self, kind: HoldKind) -> u64 {
        self.by_kind[kind as usize].load(Ordering::Relaxed)
    }

    /// All bytes that are held now.
    pub fn total_bytes(&self) -> u64 {
        HoldKind::ALL.map(|kind| self.held_bytes(kind)).iter().sum()
    }

    /// Takes room for `bytes`, until the guard is dropped.
    ///
    /// ```
    /// use mgs_relay::held_bytes::{ConnectionBytes, HeldBytes, HoldKind, Options};
    ///
    /// let account = HeldBytes::default();
    /// let connection = ConnectionBytes::default();
    /// let options = Options { connection_bytes: 1_000, ..Options::default() };
    /// let held = account.try_hold(&options, HoldKind::Stream, &connection, 700);
    /// assert!(held.is_ok());
    /// assert!(account.try_hold(&options, HoldKind::Stream, &connection, 700).is_err());
    /// drop(held);
    /// assert_eq!(account.total_bytes(), 0);
    /// ```
    pub fn try_hold(
        &self,
        options: &Options,
        kind: HoldKind,
        connection: &ConnectionBytes,
        bytes: usize,
    ) -> Result<HeldGuard, NoRoom> {
        let mut guard = HeldGuard {
            account: self.clone(),
            connection: connection.clone(),
            kind,
            bytes: 0,
        };
        guard.try_grow(options, bytes as u64 + HOLD_OVERHEAD_BYTES)?;
        Ok(guard)
    }

    /// Whether there is room for `more` bytes. One thread takes room, so that nothing is taken
    /// between this check and the addition; any thread may release it.
    fn check(
        &self,
        options: &Options,
        kind: HoldKind,
        connection: &ConnectionBytes,
        more: u64,
    ) -> Result<(), NoRoom> {
        let total_bytes = self.total_bytes().saturating_add(more);
        let connection_bytes = connection.held_bytes().saturating_add(more);
        let free_bytes = options.total_bytes.saturating_sub(total_bytes);
        let is_connection_full = connection_bytes > options.connection_bytes;
        let is_total_full = match kind {
            HoldKind::RequestBody => total_bytes > options.body_bytes(),
            HoldKind::Answer => total_bytes > options.answer_bytes(),
            HoldKind::Stream => connection_bytes > free_bytes / STREAM_SHARE_DIVISOR,
            HoldKind::OpenConnection => {
                total_bytes > options.body_bytes()
                    || self.held_bytes(kind).saturating_add(more) > options.open_connections_bytes
            }
        };
        if kind.is_unread() && is_connection_full {
            return Err(NoRoom::Connection);
        }
        match is_total_full {
            true => Err(NoRoom::Total),
            false => Ok(()),
        }
    }
}

/// Room that was taken; dropping it releases the room.
#[derive(Debug)]
pub struct HeldGuard {
    account: HeldBytes,
    connection: ConnectionBytes,
    kind: HoldKind,
    bytes: u64,
}

impl HeldGuard {
    /// Bytes that keep the room until they and all their clones are dropped.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use mgs_relay::held_bytes::{ConnectionBytes, HeldBytes, HoldKind, Options};
    ///
    /// let (account, connection) = (HeldBytes::default(), ConnectionBytes::default());
    /// let held = account.try_hold(&Options::default(), HoldKind::Answer, &connection, 5);
    /// let bytes = held.unwrap().attach(Bytes::from_static(b"stock"));
    /// assert!(account.total_bytes() > 0);
    /// drop(bytes);
    /// assert_eq!(account.total_bytes(), 0);
    /// ```
    pub fn attach(self, bytes: Bytes) -> Bytes {
        attach(bytes, self)
    }

    /// Takes room for `more` bytes. If there is none, the guard keeps what it has.
    pub fn try_grow(&mut self, options: &Options, more: u64) -> Result<(), NoRoom> {
        self.account
            .check(options, self.kind, &self.connection, more)?;
        self.bytes += more;
        self.account.by_kind[self.kind as usize].fetch_add(more, Ordering::Relaxed);
        if self.kind.is_unread() {
            self.connection.held.fetch_add(more, Ordering::Relaxed);
        }
        Ok(())
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        self.account.by_kind[self.kind as usize].fetch_sub(self.bytes, Ordering::Relaxed);
        if self.kind.is_unread() {
            self.connection
                .held
                .fetch_sub(self.bytes, Ordering::Relaxed);
        }
    }
}

/// A body that is being read, with the room that it takes.
#[derive(Debug)]
pub struct HeldBuffer {
    bytes: Vec<u8>,
    guard: HeldGuard,
    /// Bytes for which room was taken.
    room_bytes: usize,
}

impl HeldBuffer {
    /// Takes room for a body of the announced length, or for nothing yet if none is announced.
    ///
    /// ```
    /// use mgs_relay::held_bytes::{ConnectionBytes, HeldBuffer, HeldBytes, HoldKind, Options};
    ///
    /// let (account, connection) = (HeldBytes::default(), ConnectionBytes::default());
    /// let options = Options::default();
    /// let kind = HoldKind::RequestBody;
    /// let mut body = HeldBuffer::begin(&account, &options, kind, &connection, None).unwrap();
    /// body.push(&options, b"how ").unwrap();
    /// body.push(&options, b"many?").unwrap();
    /// assert_eq!(body.finish(), "how many?");
    /// ```
    pub fn begin(
        account: &HeldBytes,
        options: &Options,
        kind: HoldKind,
        connection: &ConnectionBytes,
        announced_bytes: Option<usize>,
    ) -> Result<Self, NoRoom> {
        let room_bytes = announced_bytes.unwrap_or(0);
        let guard = account.try_hold(options, kind, connection, room_bytes)?;
        Ok(Self {
            bytes: Vec::with_capacity(room_bytes),
            guard,
            room_bytes,
        })
    }

    /// Adds received bytes.
    pub fn push(&mut self, options: &Options, data: &[u8]) -> Result<(), NoRoom> {
        let needed_bytes = self.bytes.len() + data.len();
        if needed_bytes > self.room_bytes {
            // Room grows by doubling. Near a bound it grows by what is needed, so that a body is
            // refused only if itself has no room.
            let doubled_bytes = needed_bytes.max(self.room_bytes * 2);
            let mut grow_to = |room_bytes: usize| {
                let more = room_bytes - self.room_bytes;
                self.guard.try_grow(options, more as u64)?;
                self.room_bytes = room_bytes;
                Ok(())
            };
            grow_to(doubled_bytes).or_else(|_: NoRoom| grow_to(needed_bytes))?;
            self.bytes.reserve_exact(self.room_bytes - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Number of bytes received.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether no byte was received.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The received bytes, which keep the room.
    pub fn finish(self) -> Bytes {
        self.guard.attach(Bytes::from(self.bytes))
    }
}
