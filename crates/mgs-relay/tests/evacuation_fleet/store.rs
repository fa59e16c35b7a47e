//! The store of the emulated fleet: the operators' orders with revisions, and restores from older
//! copies.

use mgs_relay::evacuation::FullRead;
use mgs_relay::evacuation::ZoneOrder;
use mgs_relay::source::Revision;

/// Names of the zones.
pub(crate) const ZONES: [&str; 3] = ["east", "north", "west"];

/// A write of the operators: they order a zone to be evacuated, or remove the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Write {
    zone: usize,
    is_evacuated: bool,
}

/// The history of the store in one era.
#[derive(Debug, Clone, Default)]
struct Era {
    began_ms: u64,
    /// Number of writes that it took over from the copy.
    copied: usize,
    /// All writes; the revision number of a write is its position, counted from 1.
    writes: Vec<Write>,
}

impl Era {
    fn is_listed(&self, zone: usize, number: u64) -> bool {
        let writes = &self.writes[..self.writes.len().min(number as usize)];
        let last = writes.iter().rfind(|write| write.zone == zone);
        last.is_some_and(|write| write.is_evacuated)
    }

    /// Whether the operators removed an order for a zone in this era, after `from` and up to
    /// `until`.
    fn has_removal(&self, zone: usize, from: u64, until: u64) -> bool {
        let is_removal = |write: &Write| write.zone == zone && !write.is_evacuated;
        let until = self.writes.len().min(until as usize);
        let writes = self.writes.get(from as usize..until);
        writes.is_some_and(|writes| writes.iter().any(is_removal))
    }
}

/// The store.
pub(crate) struct Store {
    eras: Vec<Era>,
    pub(crate) is_up: bool,
    /// What the operators want, whatever the store has lost.
    pub(crate) wanted: [bool; ZONES.len()],
}

impl Store {
    pub(crate) fn new() -> Self {
        Self {
            eras: vec![Era::default()],
            is_up: true,
            wanted: [false; ZONES.len()],
        }
    }

    fn last_era(&self) -> &Era {
        self.eras.last().expect("BUG: there is a first era")
    }

    pub(crate) fn revision(&self) -> Revision {
        Revision {
            era: self.eras.len() as u64,
            number: self.last_era().writes.len() as u64,
        }
    }

    /// Writes what the operators want for a zone.
    pub(crate) fn write(&mut self, zone: usize, is_evacuated: bool) {
        self.wanted[zone] = is_evacuated;
        let era = self.eras.last_mut().expect("BUG: there is a first era");
        era.writes.push(Write { zone, is_evacuated });
    }

    /// Restores a copy that lacks this many of the last writes.
    pub(crate) fn roll_back(&mut self, lost: usize, now_ms: u64) {
        let mut writes = self.last_era().writes.clone();
        writes.truncate(writes.len().saturating_sub(lost));
        self.eras.push(Era {
            began_ms: now_ms,
            copied: writes.len(),
            writes,
        });
    }

    pub(crate) fn is_listed(&self, zone: usize) -> bool {
        let era = self.last_era();
        era.is_listed(zone, era.writes.len() as u64)
    }

    fn order(&self, number: usize, write: Write) -> ZoneOrder {
        ZoneOrder {
            zone: ZONES[write.zone].to_string(),
            revision: Revision {
                number: number as u64 + 1,
                ..self.revision()
            },
            is_evacuated: write.is_evacuated,
        }
    }

    /// The orders written after a revision number of the current era.
    pub(crate) fn changes(&self, after: u64) -> Vec<ZoneOrder> {
        let writes = self.last_era().writes.iter().enumerate();
        let newer = writes.skip(after as usize);
        newer.map(|(n, write)| self.order(n, *write)).collect()
    }

    pub(crate) fn full_read(&self, now_ms: u64) -> FullRead {
        let last_order = |zone: usize| {
            let mut orders = self.changes(0).into_iter();
            orders.rfind(|order| order.zone == ZONES[zone])
        };
        let orders = (0..ZONES.len()).filter_map(last_order);
        FullRead {
            listed: orders.filter(|order| order.is_evacuated).collect(),
            revision: self.revision(),
            began_ms: now_ms,
        }
    }

    /// Whether a gateway may hold a zone for restored as of one revision, although it knew it to be
    /// evacuated as of another: the operators removed the order, or a restored copy has lacked it
    /// for `expiry_ms`.
    pub(crate) fn may_restore(
        &self,
        zone: usize,
        evacuated: Revision,
        restored: Revision,
        now_ms: u64,
        expiry_ms: u64,
    ) -> bool {
        let Some(era) = self.eras.get((restored.era as usize).wrapping_sub(1)) else {
            return false;
        };
        if era.is_listed(zone, restored.number) {
            return false;
        }
        let is_removed_in = |(index, era): (usize, &Era)| {
            let number = index as u64 + 1;
            let from = match number == evacuated.era {
                true => evacuated.number,
                false => era.copied as u64,
            };
            let until = match number == restored.era {
                true => restored.number,
                false => u64::MAX,
            };
            let is_between = (evacuated.era..=restored.era).contains(&number);
            is_between && era.has_removal(zone, from, until)
        };
        let is_removed = self.eras.iter().enumerate().any(is_removed_in);
        let is_later_era = restored.era > evacuated.era;
        is_removed || (is_later_era && now_ms >= era.began_ms + expiry_ms)
    }
}
