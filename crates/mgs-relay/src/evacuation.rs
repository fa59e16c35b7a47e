//! Orders of operators to evacuate availability zones, as one gateway knows them.
//!
//! Each zone has a last-writer-wins register, ordered by the store's revision (era, then number).
//! A zone without a register isn't evacuated. Restored zones keep their register, so that a late
//! datagram with an older order loses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::membership::ENTRY_EXPIRY_MS;
use crate::source::Revision;

/// Maximum length of a zone's name in an order, in bytes.
pub const ZONE_BYTES_MAX: usize = 200;

/// Maximum number of restored zones that are remembered, so that a writer of ever new zones can't
/// fill a host's memory. Orders to evacuate are never dropped.
const RESTORED_MAX: usize = 100;

/// Whether an order may name this zone: an empty name is nobody's zone, and one that is longer than
/// [`ZONE_BYTES_MAX`] can't be an endpoint's.
///
/// ```
/// use mgs_relay::evacuation::is_zone_name;
///
/// assert!(is_zone_name("north"));
/// assert!(!is_zone_name(""));
/// assert!(!is_zone_name(&"n".repeat(201)));
/// ```
pub fn is_zone_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= ZONE_BYTES_MAX
}

/// What the operators ordered for a zone, as of a revision of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrder {
    /// Name of the zone.
    pub zone: String,
    /// Revision at which the store held the order, or no longer held it.
    pub revision: Revision,
    /// Whether the zone is evacuated; otherwise it is restored.
    pub is_evacuated: bool,
}

/// A full read of the operators' rows.
#[derive(Debug, Clone)]
pub struct FullRead {
    /// The orders to evacuate that the store lists.
    pub listed: Vec<ZoneOrder>,
    /// Revision of the store up to which the read is complete.
    pub revision: Revision,
    /// When the read began, in milliseconds.
    pub began_ms: u64,
}

/// The register of one zone.
#[derive(Debug, Clone)]
struct Register {
    revision: Revision,
    is_evacuated: bool,
    /// When this gateway learnt of the last restoration, in milliseconds.
    restored_ms: Option<u64>,
    /// Since when the store, in a later era than the order's, is known to lack the order, in
    /// milliseconds.
    missing_since_ms: Option<u64>,
}

/// The orders that one gateway knows.
///
/// ```
/// use mgs_relay::evacuation::Evacuations;
/// use mgs_relay::evacuation::ZoneOrder;
/// use mgs_relay::source::Revision;
///
/// let order = |number, is_evacuated| ZoneOrder {
///     zone: "north".to_string(),
///     revision: Revision { era: 1, number },
///     is_evacuated,
/// };
/// let mut evacuations = Evacuations::default();
/// evacuations.merge(&[order(8, false)], 0);
/// // A late datagram with an older order loses.
/// evacuations.merge(&[order(7, true)], 10);
/// assert!(!evacuations.is_evacuated("north"));
/// evacuations.merge(&[order(9, true)], 20);
/// assert!(evacuations.is_evacuated("north"));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    registers: BTreeMap<String, Register>,
    /// Revision up to which this gateway has read all of the store's orders.
    read_until: Option<Revision>,
    /// Number of changes of the registers so far.
    changes: u64,
}

impl Evacuations {
    /// Applies orders that the store reports as changes up to `revision`. Returns the orders that
    /// are new.
    pub fn apply_changes(
        &mut self,
        orders: &[ZoneOrder],
        revision: Revision,
        now_ms: u64,
    ) -> Vec<ZoneOrder> {
        let taken = self.apply_newer(orders, now_ms);
        self.read_until = Some(revision);
        taken
    }

    /// Merges the orders that a peer reports. Returns those that are new.
    pub fn merge(&mut self, orders: &[ZoneOrder], now_ms: u64) -> Vec<ZoneOrder> {
        let mut current = Vec::new();
        for order in orders.iter().filter(|order| is_zone_name(&order.zone)) {
            match self.read_after(order.revision) {
                Some(read_until) if order.is_evacuated => self.refute(order, read_until),
                _ => current.push(order.clone()),
            }
        }
        self.apply_newer(&current, now_ms)
    }

    /// Applies a full read. An order that it lacks was removed if the order isn't newer than the
    /// read. An order of an earlier era may only have been lost when the store was restored from an
    /// older copy; it stays in force until a read that begins [`ENTRY_EXPIRY_MS`] later lacks it
    /// too. Returns the orders that are new.
    pub fn apply_full_read(&mut self, read: &FullRead, now_ms: u64) -> Vec<ZoneOrder> {
        if self.is_first_of_era(read.revision) {
            self.apply_rollback(read.revision, now_ms);
        }
        let mut taken = self.apply_newer(&read.listed, now_ms);
        let listed: BTreeSet<&str> = read.listed.iter().map(|order| &*order.zone).collect();
        let removed: Vec<ZoneOrder> = self
            .registers
            .iter()
            .filter(|(zone, register)| {
                !listed.contains(zone.as_str()) && register.is_removed_by(read)
            })
            .map(|(zone, _)| ZoneOrder {
                zone: zone.clone(),
                revision: read.revision,
                is_evacuated: false,
            })
            .collect();
        taken.extend(self.apply_newer(&removed, now_ms));
        let registers = self.registers.values_mut();
        for register in registers.filter(|r| !r.revision.is_outdated_by(read.revision)) {
            register.missing_since_ms = None;
        }
        self.read_until = Some(read.revision);
        taken
    }

    /// Records that the store was restored from an older copy: from now on, orders of earlier eras
    /// that it lacks must be confirmed as removed by a later full read.
    fn apply_rollback(&mut self, revision: Revision, now_ms: u64) {
        let registers = self.registers.values_mut();
        for register in registers.filter(|r| r.revision.is_outdated_by(revision)) {
            register.missing_since_ms = Some(now_ms);
        }
    }

    fn is_first_of_era(&self, revision: Revision) -> bool {
        let is_later = |known: Revision| known.is_outdated_by(revision);
        self.read_until.is_none_or(is_later)
    }

    /// When the store must be read in full again to find out whether an order that a restored older
    /// copy lacks was removed, in milliseconds; `None` if there is no such order.
    pub fn full_read_due_ms(&self) -> Option<u64> {
        let registers = self.registers.values();
        let missing = registers.filter(|register| register.is_evacuated);
        let missing_since_ms = missing.filter_map(|register| register.missing_since_ms);
        missing_since_ms
            .min()
            .map(|since_ms| since_ms + ENTRY_EXPIRY_MS)
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let register = self.registers.get(zone);
        register.is_some_and(|register| register.is_evacuated)
    }

    /// When this gateway last learnt that a zone was restored, in milliseconds on its clock; `None`
    /// if it never did. The zone may be evacuated again since. A process that hasn't read the store
    /// also hears of zones that were restored long ago, so that only the end of an evacuation that
    /// it knew of counts.
    ///
    /// ```
    /// use mgs_relay::evacuation::Evacuations;
    /// use mgs_relay::evacuation::ZoneOrder;
    /// use mgs_relay::source::Revision;
    ///
    /// let order = |number, is_evacuated| ZoneOrder {
    ///     zone: "north".to_string(),
    ///     revision: Revision { era: 1, number },
    ///     is_evacuated,
    /// };
    /// let mut evacuations = Evacuations::default();
    /// evacuations.merge(&[order(7, true)], 100);
    /// assert_eq!(evacuations.restored_ms("north"), None);
    /// evacuations.merge(&[order(8, false)], 200);
    /// assert_eq!(evacuations.restored_ms("north"), Some(200));
    /// ```
    pub fn restored_ms(&self, zone: &str) -> Option<u64> {
        self.registers.get(zone)?.restored_ms
    }

    /// When this gateway last learnt of the restoration of zones, by zone, see
    /// [`Self::restored_ms`].
    pub fn restored_zones(&self) -> BTreeMap<String, u64> {
        let registers = self.registers.iter();
        let restored = registers.filter_map(|(zone, r)| Some((zone.clone(), r.restored_ms?)));
        restored.collect()
    }

    /// Number of changes of the orders so far, for whoever keeps what is derived from them.
    ///
    /// ```
    /// use mgs_relay::evacuation::Evacuations;
    /// use mgs_relay::evacuation::ZoneOrder;
    /// use mgs_relay::source::Revision;
    ///
    /// let order = ZoneOrder {
    ///     zone: "north".to_string(),
    ///     revision: Revision { era: 1, number: 7 },
    ///     is_evacuated: true,
    /// };
    /// let mut evacuations = Evacuations::default();
    /// evacuations.merge(&[order.clone()], 0);
    /// let changes = evacuations.changes();
    /// evacuations.merge(&[order], 10);
    /// assert_eq!(evacuations.changes(), changes);
    /// ```
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The evacuated zones.
    pub fn evacuated_zones(&self) -> BTreeSet<String> {
        let registers = self.registers.iter();
        let evacuated = registers.filter(|(_, register)| register.is_evacuated);
        evacuated.map(|(zone, _)| zone.clone()).collect()
    }

    /// All known orders: evacuated zones first, then restored ones, each by name.
    pub fn orders(&self) -> Vec<ZoneOrder> {
        let order = |(zone, register): (&String, &Register)| ZoneOrder {
            zone: zone.clone(),
            revision: register.revision,
            is_evacuated: register.is_evacuated,
        };
        let mut orders: Vec<ZoneOrder> = self.registers.iter().map(order).collect();
        orders.sort_by_key(|order| !order.is_evacuated);
        orders
    }

    /// The revision up to which this gateway has read the store, if it is in the same era as
    /// `revision` and not before it. A zone whose order is as old and that has no register wasn't
    /// evacuated any more by then.
    fn read_after(&self, revision: Revision) -> Option<Revision> {
        let is_after = |read: &Revision| read.era == revision.era && *read >= revision;
        self.read_until.filter(is_after)
    }

    /// Records a zone as restored because a peer holds an order to evacuate it that the store no
    /// longer lists. Otherwise a peer that is cut off from the store would never learn of a removal
    /// that all others have forgotten by restarting.
    fn refute(&mut self, order: &ZoneOrder, read_until: Revision) {
        let known = self.registers.get(&order.zone);
        let is_settled = known.is_some_and(|k| k.is_evacuated || k.revision >= order.revision);
        if is_settled {
            return;
        }
        let register = Register {
            revision: read_until,
            is_evacuated: false,
            // The zone was in use here, so its endpoints aren't cold.
            restored_ms: known.and_then(|known| known.restored_ms),
            missing_since_ms: None,
        };
        self.put(&order.zone, register);
    }

    fn put(&mut self, zone: &str, register: Register) {
        self.registers.insert(zone.to_string(), register);
        self.changes += 1;
    }

    /// Takes the orders that are newer than the registers of their zones, and returns them.
    fn apply_newer(&mut self, orders: &[ZoneOrder], now_ms: u64) -> Vec<ZoneOrder> {
        let mut taken = Vec::new();
        for order in orders {
            if self.apply(order, now_ms) {
                taken.push(order.clone());
            }
        }
        self.limit_restored();
        taken
    }

    /// Takes an order if it is newer than the register of its zone; returns whether it did.
    fn apply(&mut self, order: &ZoneOrder, now_ms: u64) -> bool {
        let known = self.registers.get(&order.zone);
        if known.is_some_and(|known| known.revision >= order.revision) {
            return false;
        }
        // A zone that was restored before this process started was in use here all the time.
        let may_have_been_evacuated = match known {
            Some(known) => known.is_evacuated || self.read_until.is_some(),
            None => self.read_until.is_some() && self.read_after(order.revision).is_none(),
        };
        let restored_ms = match !order.is_evacuated && may_have_been_evacuated {
            true => Some(now_ms),
            false => known.and_then(|known| known.restored_ms),
        };
        // The store was read in a later era and didn't list the order.
        let is_missing = self
            .read_until
            .is_some_and(|read_until| order.revision.is_outdated_by(read_until));
        let register = Register {
            revision: order.revision,
            is_evacuated: order.is_evacuated,
            restored_ms,
            missing_since_ms: is_missing.then_some(now_ms),
        };
        self.put(&order.zone, register);
        true
    }

    /// Forgets the oldest restored zones beyond [`RESTORED_MAX`].
    fn limit_restored(&mut self) {
        let restored = self.registers.iter().filter(|(_, r)| !r.is_evacuated);
        let mut restored: Vec<(Revision, String)> = restored
            .map(|(zone, register)| (register.revision, zone.clone()))
            .collect();
        let excess = restored.len().saturating_sub(RESTORED_MAX);
        restored.sort();
        for (_, zone) in restored.into_iter().take(excess) {
            self.registers.remove(&zone);
        }
    }
}

impl Register {
    /// Whether a full read that lacks the order shows that it was removed.
    fn is_removed_by(&self, read: &FullRead) -> bool {
        if !self.is_evacuated {
            return false;
        }
        if self.revision.is_outdated_by(read.revision) {
            let is_confirmed = |since_ms: u64| read.began_ms >= since_ms + ENTRY_EXPIRY_MS;
            return self.missing_since_ms.is_some_and(is_confirmed);
        }
        // A peer may have read a later revision than this one.
        self.revision <= read.revision
    }
}
