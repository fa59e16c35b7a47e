//! Applies the operators' orders to evacuate zones.

use std::collections::HashSet;

use super::Follower;
use crate::bad_rows::BadRow;
use crate::evacuation::FullRead;
use crate::evacuation::ZoneOrder;
use crate::evacuation_state::OrderOrigin;
use crate::source::Revision;
use crate::source::RowFault;
use crate::source::Update;

impl Follower {
    /// Applies the orders of a read that began at `start_ms`.
    pub(super) fn apply_zone_orders(
        &mut self,
        updates: &[Update],
        revision: Revision,
        is_full_read: bool,
        start_ms: u64,
    ) {
        let order = |update: &Update| match update {
            Update::ZoneOrder(order) => Some(order.clone()),
            _ => None,
        };
        let orders: Vec<ZoneOrder> = updates.iter().filter_map(order).collect();
        let now_ms = self.published.now_ms();
        let read = FullRead {
            listed: orders,
            revision,
            began_ms: start_ms,
        };
        self.published
            .update_evacuations(OrderOrigin::Store, |evacuations| match is_full_read {
                true => evacuations.apply_full_read(&read, now_ms),
                false => evacuations.apply_changes(&read.listed, revision, now_ms),
            });
        self.full_read_at_ms = self.published.evacuations().full_read_due_ms();
        self.report_empty_zones();
    }

    /// Logs orders for zones without endpoints, which are most likely misspelt. They stay in force,
    /// since an endpoint of the zone may start.
    fn report_empty_zones(&mut self) {
        let zones = self.published.evacuations().zones();
        let orders = &zones.orders;
        let fleet = self.published.fleet();
        if orders.is_empty() || fleet.by_key.is_empty() {
            return;
        }
        let endpoints = fleet.by_key.values();
        let used: HashSet<&str> = endpoints.map(|e| e.facts.zone.as_str()).collect();
        for order in orders {
            if !order.is_evacuated || used.contains(order.zone.as_str()) {
                self.zone_rows.clear(self.topic, &order.zone);
                continue;
            }
            let row = BadRow {
                key: &order.zone,
                fault: RowFault::EmptyZone,
                detail: "",
                revision: order.revision,
            };
            self.zone_rows.report(self.topic, &row);
        }
    }
}
