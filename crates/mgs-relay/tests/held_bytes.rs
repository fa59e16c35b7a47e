//! The account of held bytes stays within its bounds, releases all that it took, and leaves room to
//! those that read.
//!
//! Guards against a small gateway that ends for lack of memory since its clients don't read.

use mgs_relay::held_bytes::ConnectionBytes;
use mgs_relay::held_bytes::HeldBuffer;
use mgs_relay::held_bytes::HeldBytes;
use mgs_relay::held_bytes::HeldGuard;
use mgs_relay::held_bytes::HoldKind;
use mgs_relay::held_bytes::NoRoom;
use mgs_relay::held_bytes::Options;
use mgs_relay::held_bytes::CONNECTION_BYTES;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use rstest::rstest;

const EVENT_BYTES: usize = 400;

/// Bounds of the smallest gateway.
fn small() -> Options {
    Options::for_memory(112_000_000)
}

/// A stream whose client reads nothing.
#[derive(Default)]
struct UnreadStream {
    connection: ConnectionBytes,
    events: Vec<HeldGuard>,
}

impl UnreadStream {
    /// Holds one more event; drops all if there is no room, as the stream is broken off.
    fn push(&mut self, account: &HeldBytes, bytes: usize) -> Result<(), NoRoom> {
        let held = account.try_hold(&small(), HoldKind::Stream, &self.connection, bytes);
        match held {
            Ok(held) => self.events.push(held),
            Err(no_room) => {
                self.events.clear();
                return Err(no_room);
            }
        }
        Ok(())
    }
}

#[test]
fn a_stream_that_is_never_read_is_bounded_by_its_connection() {
    let account = HeldBytes::default();
    let mut stream = UnreadStream::default();
    while stream.push(&account, 10_000).is_ok() {
        assert!(account.total_bytes() <= small().connection_bytes);
    }
    assert_eq!(account.total_bytes(), 0);
    assert_eq!(stream.connection.held_bytes(), 0);
}

#[rstest]
#[case(1)]
#[case(30)]
#[case(1_000)]
fn streams_that_are_never_read_leave_room_to_others(#[case] unread_streams: usize) {
    let account = HeldBytes::default();
    let mut unread: Vec<UnreadStream> = (0..unread_streams)
        .map(|_| UnreadStream::default())
        .collect();
    let mut peak_bytes = 0;
    for _ in 0..300 {
        for stream in &mut unread {
            // A stream without room begins anew: its client comes back.
            let _ = stream.push(&account, 20_000);
            let reading = ConnectionBytes::default();
            let held = account.try_hold(&small(), HoldKind::Stream, &reading, EVENT_BYTES);
            assert!(held.is_ok(), "{} bytes are held", account.total_bytes());
            peak_bytes = peak_bytes.max(account.total_bytes());
        }
    }
    assert!(peak_bytes <= small().total_bytes, "{peak_bytes}");
}

#[test]
fn bodies_are_refused_before_answers_have_no_room() {
    let account = HeldBytes::default();
    let connection = ConnectionBytes::default();
    let hold = |kind| account.try_hold(&small(), kind, &connection, 1_000_000);
    let mut bodies = Vec::new();
    while let Ok(body) = hold(HoldKind::RequestBody) {
        bodies.push(body);
    }
    assert_eq!(bodies.len(), 16, "three quarters of 22.4 MB");
    assert_eq!(hold(HoldKind::RequestBody).err(), Some(NoRoom::Total));
    let answer = hold(HoldKind::Answer);
    assert!(answer.is_ok());
    bodies.pop();
    assert_eq!(
        hold(HoldKind::RequestBody).err(),
        Some(NoRoom::Total),
        "the answer took what the body left"
    );
    drop(answer);
    assert!(hold(HoldKind::RequestBody).is_ok());
}

#[test]
fn a_guard_that_finds_no_room_to_grow_keeps_what_it_has() {
    let account = HeldBytes::default();
    let connection = ConnectionBytes::default();
    let mut held = account
        .try_hold(&small(), HoldKind::Answer, &connection, 1_000)
        .expect("room");
    let before = account.total_bytes();
    assert!(held.try_grow(&small(), 1_000).is_ok());
    assert_eq!(account.total_bytes(), before + 1_000);
    assert_eq!(held.try_grow(&small(), u64::MAX), Err(NoRoom::Connection));
    assert_eq!(account.total_bytes(), before + 1_000);
    drop(held);
    assert_eq!(account.total_bytes(), 0);
}

#[test]
fn without_a_memory_limit_ordinary_traffic_has_room() {
    let account = HeldBytes::default();
    let options = Options::default();
    let connection = ConnectionBytes::default();
    let hold = |kind, bytes| account.try_hold(&options, kind, &connection, bytes);
    let bodies: Vec<_> = (0..40)
        .map(|_| hold(HoldKind::RequestBody, 4 * 1024 * 1024))
        .collect();
    assert!(bodies.iter().all(Result::is_ok));
    assert!(hold(HoldKind::Answer, 15 * 1024 * 1024).is_ok());
}

/// Guards against a bound that takes effect where no setting asks for it.
#[test]
fn without_a_memory_limit_nothing_is_bounded() {
    const GIB: usize = 1 << 30;
    let account = HeldBytes::default();
    let connection = ConnectionBytes::default();
    let held: Vec<_> = (0..100)
        .flat_map(|_| HoldKind::ALL)
        .map(|kind| account.try_hold(&Options::default(), kind, &connection, GIB))
        .collect();
    assert!(held.iter().all(Result::is_ok));
    assert_eq!(Options::default().send_buffer_bytes, None);
}

#[test]
fn open_connections_leave_room_to_requests() {
    let account = HeldBytes::default();
    let unread = ConnectionBytes::default();
    let hold = |kind, bytes| account.try_hold(&small(), kind, &unread, bytes);
    let mut open = Vec::new();
    while let Ok(connection) = hold(HoldKind::OpenConnection, CONNECTION_BYTES) {
        open.push(connection);
    }
    assert!((400..600).contains(&open.len()), "{}", open.len());
    assert!(hold(HoldKind::RequestBody, 4_000_000).is_ok());
    assert!(hold(HoldKind::Answer, 1_000_000).is_ok());
    open.pop();
    assert!(hold(HoldKind::OpenConnection, CONNECTION_BYTES).is_ok());
}

/// Guards against reading clients whose streams are cut off since clients that read nothing have filled the account.
#[test]
fn unread_answers_and_open_connections_leave_room_to_a_stream_that_is_read() {
    let account = HeldBytes::default();
    let mut unread = Vec::new();
    // Small holds fill the account to the last byte that it accepts.
    for (kind, bytes) in [
        (HoldKind::RequestBody, 100_000),
        (HoldKind::Answer, 100_000),
        (HoldKind::Answer, 100),
        (HoldKind::OpenConnection, CONNECTION_BYTES),
    ] {
        while let Ok(held) = account.try_hold(&small(), kind, &ConnectionBytes::default(), bytes) {
            unread.push(held);
        }
    }
    let reading = ConnectionBytes::default();
    let event = account.try_hold(&small(), HoldKind::Stream, &reading, 20_000);
    assert!(event.is_ok(), "{} bytes are held", account.total_bytes());
}

/// Guards against answers that find no room since connections without a request have taken it.
#[test]
fn open_connections_beside_long_bodies_leave_room_to_answers() {
    let account = HeldBytes::default();
    let connection = ConnectionBytes::default();
    let hold = |kind, bytes| account.try_hold(&small(), kind, &connection, bytes);
    let mut held = Vec::new();
    while let Ok(body) = hold(HoldKind::RequestBody, 1_000_000) {
        held.push(body);
    }
    while let Ok(open) = hold(HoldKind::OpenConnection, CONNECTION_BYTES) {
        held.push(open);
    }
    assert!(hold(HoldKind::Answer, 2_000_000).is_ok());
}

/// Guards against bodies without an announced length that are dropped at half of the bound.
#[rstest]
#[case::answer_on_a_small_host(small(), HoldKind::Answer, 2_790_000)]
#[case::request_body_on_a_small_host(small(), HoldKind::RequestBody, 16_790_000)]
#[case::longest_answer(Options::default(), HoldKind::Answer, 16 * 1024 * 1024)]
fn a_body_of_unknown_length_has_room_up_to_the_bound(
    #[case] options: Options,
    #[case] kind: HoldKind,
    #[case] bytes: usize,
) {
    let account = HeldBytes::default();
    let connection = ConnectionBytes::default();
    let mut body =
        HeldBuffer::begin(&account, &options, kind, &connection, None).expect("room to begin");
    // A frame that doesn't divide the bound.
    let frame = vec![7; 13_000];
    while body.len() < bytes {
        let next = frame.len().min(bytes - body.len());
        let pushed = body.push(&options, &frame[..next]);
        assert!(pushed.is_ok(), "{pushed:?} after {} bytes", body.len());
    }
    assert_eq!(body.finish().len(), bytes);
    assert_eq!(account.total_bytes(), 0);
}

#[test]
fn the_longest_complete_answer_has_room_if_its_length_is_announced() {
    let account = HeldBytes::default();
    let connection = ConnectionBytes::default();
    let longest = Some(16 * 1024 * 1024);
    let options = Options::default();
    let begun = HeldBuffer::begin(&account, &options, HoldKind::Answer, &connection, longest);
    assert!(begun.is_ok());
}

/// One step of a random history.
#[derive(Debug, Clone)]
enum Step {
    Hold {
        kind: HoldKind,
        connection: usize,
        bytes: usize,
    },
    Release {
        guard: usize,
    },
}

fn any_step() -> impl Strategy<Value = Step> {
    let kind = prop::sample::select(HoldKind::ALL.to_vec());
    (any::<bool>(), kind, 0..20usize, 0..4_000_000usize).prop_map(
        |(is_hold, kind, connection, bytes)| match is_hold {
            true => Step::Hold {
                kind,
                connection,
                bytes,
            },
            false => Step::Release { guard: bytes },
        },
    )
}

proptest! {
    #[test]
    fn no_history_exceeds_the_bounds_or_loses_room(steps in prop::collection::vec(any_step(), 1..300)) {
        let account = HeldBytes::default();
        let connections: Vec<ConnectionBytes> = (0..20).map(|_| ConnectionBytes::default()).collect();
        let mut guards = Vec::new();
        for step in steps {
            match step {
                Step::Hold { kind, connection, bytes } => {
                    let held = account.try_hold(&small(), kind, &connections[connection], bytes);
                    guards.extend(held);
                }
                Step::Release { guard } if !guards.is_empty() => {
                    guards.swap_remove(guard % guards.len());
                }
                Step::Release { .. } => {}
            }
            prop_assert!(account.total_bytes() <= small().total_bytes);
            for connection in &connections {
                prop_assert!(connection.held_bytes() <= small().connection_bytes);
            }
        }
        drop(guards);
        prop_assert_eq!(account.total_bytes(), 0);
        prop_assert!(connections.iter().all(|connection| connection.held_bytes() == 0));
    }
}
