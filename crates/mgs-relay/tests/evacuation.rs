//! Orders to evacuate zones over random histories of starts, stops, partitions, lost and late
//! datagrams, outages of the store and restores of it from older copies.
//!
//! Guards against gateways that send requests to an evacuated zone because they forgot an order, and
//! against zones that stay unused because an order that was removed counts again.

mod evacuation_fleet;

use evacuation_fleet::play;
use evacuation_fleet::InjectedFault;
use mgs_relay::evacuation::Evacuations;
use mgs_relay::evacuation::FullRead;
use mgs_relay::evacuation::ZoneOrder;
use mgs_relay::membership::ENTRY_EXPIRY_MS;
use mgs_relay::source::Revision;
use rstest::rstest;

/// Numbers of gateways, and of histories that are played with each.
const FLEETS: [(usize, u64); 5] = [(4, 300), (30, 40), (48, 24), (103, 10), (300, 3)];

#[rstest]
fn orders_hold_and_all_gateways_agree_in_the_end(#[values(0, 1, 2, 3, 4)] fleet: usize) {
    let (gateways, histories) = FLEETS[fleet];
    for seed in 0..histories {
        let violations = play(gateways, seed, InjectedFault::Nothing);
        assert!(
            violations.is_empty(),
            "{gateways} gateways, seed {seed}:\n{}",
            violations.join("\n")
        );
    }
}

/// Each fault must be found at each number of gateways within the histories that are played there.
#[rstest]
fn the_property_finds_injected_faults(
    #[values(0, 1, 2, 3, 4)] fleet: usize,
    #[values(
        InjectedFault::StartForgetsOrders,
        InjectedFault::RemovalBeforeOrder,
        InjectedFault::OlderCopyWins
    )]
    fault: InjectedFault,
) {
    let (gateways, histories) = FLEETS[fleet];
    let is_found = (0..histories).any(|seed| !play(gateways, seed, fault).is_empty());
    assert!(is_found, "{fault:?} isn't found at {gateways} gateways");
}

fn order(era: u64, number: u64, is_evacuated: bool) -> ZoneOrder {
    ZoneOrder {
        zone: "north".to_string(),
        revision: Revision { era, number },
        is_evacuated,
    }
}

/// A full read that begins and ends at `now_ms`, with the order of `listed` if there is one.
fn read(evacuations: &mut Evacuations, era: u64, number: u64, listed: &[ZoneOrder], now_ms: u64) {
    let read = FullRead {
        listed: listed.to_vec(),
        revision: Revision { era, number },
        began_ms: now_ms,
    };
    evacuations.apply_full_read(&read, now_ms);
}

/// The store dropped the history in which the order was removed.
#[test]
fn a_full_read_that_lacks_an_order_restores_the_zone() {
    let mut evacuations = Evacuations::default();
    read(&mut evacuations, 1, 8, &[order(1, 7, true)], 0);
    assert!(evacuations.is_evacuated("north"));
    read(&mut evacuations, 1, 20, &[], 500);
    assert!(!evacuations.is_evacuated("north"));
    assert_eq!(evacuations.restored_ms("north"), Some(500));
}

/// Guards against a gateway that starts in an outage of the store and takes all endpoints of zones
/// that were restored long ago for cold.
#[test]
fn a_restoration_heard_before_the_store_was_read_counts_only_for_a_known_evacuation() {
    let mut evacuations = Evacuations::default();
    evacuations.merge(&[order(1, 7, false)], 0);
    assert_eq!(evacuations.restored_ms("north"), None);
    evacuations.merge(&[order(1, 9, false)], 100);
    assert_eq!(evacuations.restored_ms("north"), None);
    evacuations.merge(&[order(1, 11, true)], 200);
    evacuations.merge(&[order(1, 12, false)], 300);
    assert_eq!(evacuations.restored_ms("north"), Some(300));
    assert_eq!(evacuations.restored_zones()["north"], 300);
}

/// A peer has read more of the store than a read that began earlier.
#[test]
fn a_full_read_does_not_drop_a_newer_order_of_a_peer() {
    let mut evacuations = Evacuations::default();
    evacuations.merge(&[order(1, 30, true)], 0);
    read(&mut evacuations, 1, 20, &[], 10);
    assert!(evacuations.is_evacuated("north"));
}

#[test]
fn an_order_that_an_older_copy_lacks_stays_for_six_seconds_and_one_more_read() {
    let mut evacuations = Evacuations::default();
    read(&mut evacuations, 1, 8, &[order(1, 7, true)], 0);
    read(&mut evacuations, 2, 5, &[], 1_000);
    assert_eq!(
        evacuations.full_read_due_ms(),
        Some(1_000 + ENTRY_EXPIRY_MS)
    );
    read(&mut evacuations, 2, 5, &[], 1_000 + ENTRY_EXPIRY_MS - 1);
    assert!(evacuations.is_evacuated("north"));
    read(&mut evacuations, 2, 5, &[], 1_000 + ENTRY_EXPIRY_MS);
    assert!(!evacuations.is_evacuated("north"));
    assert_eq!(evacuations.full_read_due_ms(), None);
}

/// The second rollback may have lost again what the operators had written after the first.
#[test]
fn another_rollback_starts_the_six_seconds_again() {
    let mut evacuations = Evacuations::default();
    read(&mut evacuations, 1, 8, &[order(1, 7, true)], 0);
    read(&mut evacuations, 2, 5, &[], 1_000);
    read(&mut evacuations, 3, 5, &[], 5_000);
    read(&mut evacuations, 3, 5, &[], 1_000 + ENTRY_EXPIRY_MS);
    assert!(evacuations.is_evacuated("north"));
    read(&mut evacuations, 3, 5, &[], 5_000 + ENTRY_EXPIRY_MS);
    assert!(!evacuations.is_evacuated("north"));
}

/// A gateway that started after the rollback hears of the order from one that knew it before.
#[test]
fn an_order_of_an_earlier_era_binds_a_gateway_that_never_read_it() {
    let mut evacuations = Evacuations::default();
    read(&mut evacuations, 2, 5, &[], 0);
    evacuations.merge(&[order(1, 7, true)], 300);
    assert!(evacuations.is_evacuated("north"));
    read(&mut evacuations, 2, 5, &[], 300 + ENTRY_EXPIRY_MS);
    assert!(!evacuations.is_evacuated("north"));
}

#[test]
fn an_order_that_an_older_copy_holds_is_believed_until_it_is_removed_again() {
    let mut evacuations = Evacuations::default();
    evacuations.merge(&[order(1, 7, true), order(1, 9, false)], 0);
    read(&mut evacuations, 2, 8, &[order(2, 7, true)], 1_000);
    assert!(evacuations.is_evacuated("north"));
    let removal = Revision { era: 2, number: 9 };
    evacuations.apply_changes(&[order(2, 9, false)], removal, 2_000);
    assert!(!evacuations.is_evacuated("north"));
}

/// All gateways that knew of the removal have restarted; one that is cut off from the store still
/// holds the order.
#[test]
fn a_peer_with_an_order_that_the_store_no_longer_lists_learns_of_the_removal() {
    let mut evacuations = Evacuations::default();
    read(&mut evacuations, 1, 20, &[], 0);
    evacuations.merge(&[order(1, 7, true)], 300);
    assert!(!evacuations.is_evacuated("north"));
    // The zone was in use all the time, so its endpoints aren't cold.
    assert_eq!(evacuations.restored_ms("north"), None);
    let mut peer = Evacuations::default();
    peer.merge(&[order(1, 7, true)], 0);
    peer.merge(&evacuations.orders(), 600);
    assert!(!peer.is_evacuated("north"));
}

#[test]
fn orders_for_names_that_no_zone_can_have_are_ignored() {
    let mut evacuations = Evacuations::default();
    for zone in [String::new(), "n".repeat(201)] {
        let order = ZoneOrder {
            zone,
            ..order(1, 7, true)
        };
        evacuations.merge(&[order], 0);
    }
    assert!(evacuations.orders().is_empty());
}

/// Restored zones are remembered up to a number; orders to evacuate are all kept.
#[test]
fn a_writer_of_ever_new_zones_cannot_fill_the_memory_with_restored_ones() {
    let mut evacuations = Evacuations::default();
    for number in 1..=1_000 {
        let zone = format!("zone-{number}");
        let revision = Revision { era: 1, number };
        let order = ZoneOrder {
            zone,
            revision,
            is_evacuated: number % 2 == 0,
        };
        evacuations.apply_changes(&[order], revision, number);
    }
    assert_eq!(evacuations.evacuated_zones().len(), 500);
    assert_eq!(evacuations.orders().len(), 600);
}
