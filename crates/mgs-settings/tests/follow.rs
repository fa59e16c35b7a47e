//! Followers at the start, in outages, behind compaction; versions never go back.

mod support;

use std::sync::Arc;

use mgs_platform::object::Objects;
use mgs_platform::Error as PlatformError;
use mgs_schema::settings::Edit;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::SettingsReply;
use mgs_schema::wire::SettingsRequest;
use mgs_settings::follow::Follower;
use mgs_settings::follow::NoPeers;
use mgs_settings::follow::Options;
use mgs_settings::follow::Peers;
use mgs_settings::hold::Holder;
use mgs_settings::store::compact;
use mgs_settings::store::read;
use mgs_standin::platform::memory::Memory;
use rstest::rstest;
use support::edit_now;
use support::fill;
use support::set_limit;
use support::store;
use support::weight;

fn follower(memory: &Arc<Memory>, peers: Box<dyn Peers>) -> Follower {
    let table: Arc<Memory> = Arc::clone(memory);
    Follower::new(Options::default(), table, memory.clone(), peers)
}

/// A peer that holds a table.
struct Peer(Arc<Holder>);

impl Peers for Peer {
    fn ask(&self, since_version: u64) -> Vec<SettingsReply> {
        vec![self.0.answer(&SettingsRequest { since_version })]
    }
}

fn peer_at(memory: &Arc<Memory>) -> Box<Peer> {
    let peer = follower(memory, Box::new(NoPeers));
    peer.poll(1, 0);
    Box::new(Peer(Arc::clone(peer.holder())))
}

/// Objects that can't be reached, beside a table service that can.
struct NoObjects;

impl Objects for NoObjects {
    fn put(&self, _key: &str, _body: &[u8]) -> Result<(), PlatformError> {
        Err(PlatformError::Unavailable("outage".to_string()))
    }

    fn get(&self, _key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        Err(PlatformError::Unavailable("outage".to_string()))
    }

    fn delete(&self, _key: &str) -> Result<(), PlatformError> {
        Err(PlatformError::Unavailable("outage".to_string()))
    }
}

#[test]
fn it_is_ready_once_as_new_as_the_store() {
    let memory = Arc::new(Memory::default());
    fill(store(&*memory), 3);
    let follower = follower(&memory, Box::new(NoPeers));
    assert!(!follower.ready());
    assert!(follower.poll(1, 0).changed);
    assert!(follower.ready());
    assert_eq!(follower.holder().version(), 3);
    edit_now(store(&*memory), "next", vec![set_limit("a", 7)]).unwrap();
    assert!(follower.poll(1, 0).changed);
    assert_eq!(weight(&follower.holder().table(), "a"), Some(7));
}

#[test]
fn it_serves_nothing_in_an_outage_without_peers() {
    let memory = Arc::new(Memory::default());
    fill(store(&*memory), 1);
    memory.faults().set_outage(true);
    let follower = follower(&memory, Box::new(NoPeers));
    assert!(follower.poll(1, 0).error.is_some());
    assert!(!follower.ready());
    memory.faults().set_outage(false);
    follower.poll(1, 0);
    assert!(follower.ready());
}

#[test]
fn in_an_outage_it_takes_what_the_newest_peer_holds() {
    let memory = Arc::new(Memory::default());
    fill(store(&*memory), 4);
    let peer = peer_at(&memory);
    memory.faults().set_outage(true);
    let follower = follower(&memory, peer);
    assert!(follower.poll(1, 0).changed);
    assert!(follower.ready());
    assert_eq!(follower.holder().version(), 4);
}

#[test]
fn a_peer_without_a_table_has_no_say() {
    let memory = Arc::new(Memory::default());
    memory.faults().set_outage(true);
    let follower = follower(&memory, Box::new(Peer(Arc::new(Holder::default()))));
    follower.poll(1, 0);
    assert!(!follower.ready());
}

#[rstest]
#[case::peer_as_new_as_the_log_reaches(600, true)]
#[case::peer_too_old(10, false)]
fn without_objects_peers_and_log_together_make_it_ready(
    #[case] peer_at_edit: u64,
    #[case] ready: bool,
) {
    let memory = Arc::new(Memory::default());
    fill(store(&*memory), peer_at_edit);
    let peer = peer_at(&memory);
    fill(store(&*memory), 700 - peer_at_edit);
    let keep = compact::Options { keep_edits: 50 };
    compact::run(store(&*memory), &keep).unwrap();
    let table: Arc<Memory> = Arc::clone(&memory);
    let follower = Follower::new(Options::default(), table, Arc::new(NoObjects), peer);
    follower.poll(1, 0);
    assert_eq!(follower.ready(), ready);
    assert_eq!(follower.holder().version(), if ready { 700 } else { 10 });
}

#[test]
fn a_follower_behind_the_log_reads_the_snapshot() {
    let memory = Arc::new(Memory::default());
    let follower = follower(&memory, Box::new(NoPeers));
    follower.poll(1, 0);
    fill(store(&*memory), 600);
    compact::run(store(&*memory), &compact::Options { keep_edits: 20 }).unwrap();
    assert!(follower.poll(1, 0).changed);
    assert_eq!(follower.holder().version(), 600);
}

#[test]
fn a_store_that_lost_edits_turns_nobody_back() {
    let memory = Arc::new(Memory::default());
    fill(store(&*memory), 3);
    let holder = Holder::default();
    holder.adopt_snapshot(read::load(store(&*memory)).unwrap().snapshot().clone());
    let older = Snapshot {
        version: 2,
        ..Snapshot::default()
    };
    assert!(!holder.adopt_snapshot(older.clone()));
    let reply = SettingsReply {
        version: 2,
        snapshot: Some(older),
        ..SettingsReply::default()
    };
    assert!(!holder.adopt_reply(reply).unwrap());
    let edit = |version| Edit {
        version,
        ..Edit::default()
    };
    assert!(!holder.adopt_edits(&[edit(1), edit(2), edit(3)]).unwrap());
    assert!(holder.adopt_edits(&[edit(5)]).is_err());
    assert!(holder.adopt_edits(&[edit(3), edit(4)]).unwrap());
    assert_eq!(holder.version(), 4);
}

#[test]
fn answers_are_edits_where_they_reach_and_the_table_otherwise() {
    let memory = Arc::new(Memory::default());
    fill(store(&*memory), 2);
    let follower = follower(&memory, Box::new(NoPeers));
    follower.poll(1, 0);
    fill(store(&*memory), 2);
    follower.poll(1, 0);
    let answer = |since_version| follower.holder().answer(&SettingsRequest { since_version });
    assert_eq!(answer(4).edits.len(), 0);
    assert!(answer(4).snapshot.is_none());
    assert_eq!(answer(3).edits.len(), 1);
    let sidecar = Holder::default();
    assert!(sidecar.adopt_reply(answer(0)).unwrap());
    assert_eq!(sidecar.version(), 4);
}

#[test]
fn a_consistent_read_waits_for_the_head() {
    let memory = Arc::new(Memory::default());
    let follower = follower(&memory, Box::new(NoPeers));
    follower.poll(1, 0);
    fill(store(&*memory), 5);
    let before = memory.faults().counters().reads;
    assert_eq!(follower.wait_for_head().unwrap(), 5);
    assert_eq!(follower.wait_for_head().unwrap(), 5);
    assert_eq!(memory.faults().counters().reads - before, 3);
}

#[rstest]
#[case(3, 750, 1_250)]
#[case(450, 1_688, 2_813)]
fn the_wait_is_jittered_and_grows_with_the_gateways(
    #[case] gateways: u64,
    #[case] least_ms: u64,
    #[case] most_ms: u64,
) {
    let memory = Arc::new(Memory::default());
    let follower = follower(&memory, Box::new(NoPeers));
    let waits: Vec<u64> = (0..5_000)
        .map(|random| follower.poll(gateways, random).wait_ms)
        .collect();
    assert_eq!(waits.iter().min(), Some(&least_ms));
    assert_eq!(waits.iter().max(), Some(&most_ms));
}
