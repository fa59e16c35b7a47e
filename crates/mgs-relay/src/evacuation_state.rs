//! Shares the orders to evacuate zones between the thread that follows the store and the one that
//! serves requests and hears peers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use arc_swap::ArcSwap;
use tokio::sync::Notify;

use crate::evacuation::Evacuations;
use crate::evacuation::ZoneOrder;

/// How an order was learnt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOrigin {
    /// From the store.
    Store,
    /// From a peer's datagram.
    Peer,
    /// From the snapshot of a peer.
    Snapshot,
}

impl OrderOrigin {
    /// Name in logs.
    fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Snapshot => "snapshot",
        }
    }
}

/// The zones as the known orders have them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Zones {
    /// The evacuated zones.
    pub evacuated: BTreeSet<String>,
    /// When zones were restored, in milliseconds of the process's clock. Their endpoints may have
    /// started meanwhile, so they count as cold from then on.
    pub restored_ms: BTreeMap<String, u64>,
    /// All known orders: evacuated zones first.
    pub orders: Vec<ZoneOrder>,
}

impl Zones {
    fn of(evacuations: &Evacuations) -> Self {
        Self {
            evacuated: evacuations.evacuated_zones(),
            restored_ms: evacuations.restored_zones(),
            orders: evacuations.orders(),
        }
    }
}

/// The known orders, with a snapshot of the zones for everything that depends on them.
#[derive(Debug, Default)]
pub struct EvacuationState {
    evacuations: Mutex<Evacuations>,
    zones: ArcSwap<Zones>,
    changed: Notify,
}

impl EvacuationState {
    /// Changes the orders by `apply`, which returns those that are new, and logs them.
    /// `store_age_ms` is the time since the store last confirmed the operators' rows.
    pub fn update(
        &self,
        origin: OrderOrigin,
        store_age_ms: Option<u64>,
        apply: impl FnOnce(&mut Evacuations) -> Vec<ZoneOrder>,
    ) {
        let mut evacuations = self.lock();
        let changes = evacuations.changes();
        let taken = apply(&mut evacuations);
        if evacuations.changes() == changes {
            return;
        }
        let zones = Arc::new(Zones::of(&evacuations));
        let before = self.zones.swap(zones.clone());
        drop(evacuations);
        for order in &taken {
            let is_changed = before.evacuated.contains(&order.zone) != order.is_evacuated;
            log_order(order, origin, store_age_ms, is_changed);
        }
        if before.evacuated != zones.evacuated {
            self.changed.notify_one();
        }
    }

    /// The zones; another snapshot is published whenever an order changes.
    ///
    /// ```
    /// use mgs_relay::evacuation::ZoneOrder;
    /// use mgs_relay::evacuation_state::EvacuationState;
    /// use mgs_relay::evacuation_state::OrderOrigin;
    /// use mgs_relay::source::Revision;
    ///
    /// let order = |number, is_evacuated| ZoneOrder {
    ///     zone: "north".to_string(),
    ///     revision: Revision { era: 1, number },
    ///     is_evacuated,
    /// };
    /// let state = EvacuationState::default();
    /// state.update(OrderOrigin::Peer, None, |e| e.merge(&[order(7, true)], 100));
    /// assert!(state.zones().evacuated.contains("north"));
    /// state.update(OrderOrigin::Peer, None, |e| e.merge(&[order(8, false)], 200));
    /// assert!(state.zones().evacuated.is_empty());
    /// assert_eq!(state.zones().restored_ms["north"], 200);
    /// ```
    pub fn zones(&self) -> Arc<Zones> {
        self.zones.load_full()
    }

    /// When the store must be read in full again, see [`Evacuations::full_read_due_ms`].
    pub fn full_read_due_ms(&self) -> Option<u64> {
        self.lock().full_read_due_ms()
    }

    /// Wakes the task that waits in [`Self::changed`].
    pub fn wake(&self) {
        self.changed.notify_one();
    }

    /// Completes when the evacuated zones change, or after [`Self::wake`].
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, Evacuations> {
        let evacuations = self.evacuations.lock();
        evacuations.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs a new order. `is_changed` says whether it evacuates or restores its zone; otherwise only its
/// revision is new.
fn log_order(order: &ZoneOrder, origin: OrderOrigin, store_age_ms: Option<u64>, is_changed: bool) {
    let text = match (is_changed, order.is_evacuated) {
        (true, true) => "a zone is evacuated",
        (true, false) => "a zone is restored",
        (false, _) => "an order for a zone has a later revision",
    };
    log::info!(
        zone = order.zone,
        evacuated = order.is_evacuated,
        era = order.revision.era,
        revision = order.revision.number,
        origin = origin.name(),
        store_age_ms = store_age_ms.unwrap_or(u64::MAX);
        "{text}"
    );
}
