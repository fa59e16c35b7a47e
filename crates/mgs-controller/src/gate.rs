//! The sidecar's judgement of an order.
//!
//! Each order has its own fencing number, and the row of the endpoint names the one that is in
//! force. An order is obeyed once, and only while the row names it: an order of a holder that was
//! paused, or a copy that comes late, is refused even where the engine ignores the number.

use mgs_platform::table::Table;
use mgs_schema::wire::Order;

use crate::order;
use crate::order::EndpointRecord;
use crate::Error;

/// What to do with an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// Give it to the engine, then call [`Gate::obeyed`].
    Obey,
    /// It took effect before; answer that it is done.
    AlreadyDone,
    /// Refuse it: it is old, or it isn't the one on record.
    Refuse,
}

/// Orders that one sidecar has seen.
///
/// ```
/// use mgs_controller::gate::Gate;
/// use mgs_controller::gate::Judgement;
/// use mgs_schema::wire::Order;
///
/// let mut gate = Gate::default();
/// let order = Order { fencing: 3, ..Order::default() };
/// assert_eq!(gate.judge(&order, None), Judgement::Refuse);
/// ```
#[derive(Debug, Default)]
pub struct Gate {
    highest: u64,
    obeyed: u64,
}

impl Gate {
    /// Judges an order, given the record of the endpoint as just read.
    pub fn judge(&mut self, order: &Order, record: Option<&EndpointRecord>) -> Judgement {
        let on_record = record.and_then(|record| record.order.as_ref());
        let number = on_record.map_or(0, |recorded| recorded.fencing);
        self.highest = self.highest.max(number);
        if order.fencing != 0 && order.fencing == self.obeyed {
            return Judgement::AlreadyDone;
        }
        let matches = on_record.is_some_and(|recorded| recorded.is(order));
        if !matches || order.fencing < self.highest {
            return Judgement::Refuse;
        }
        Judgement::Obey
    }

    /// An order took effect.
    pub fn obeyed(&mut self, fencing: u64) {
        self.obeyed = self.obeyed.max(fencing);
    }

    /// Highest fencing number seen.
    pub fn highest(&self) -> u64 {
        self.highest
    }
}

/// Reads the record of an endpoint. One read.
pub fn recorded(table: &dyn Table, endpoint: &str) -> Result<Option<EndpointRecord>, Error> {
    let row = table.get(&order::key(endpoint))?;
    row.map(|row| crate::decode(&row.key, &row.value))
        .transpose()
}
