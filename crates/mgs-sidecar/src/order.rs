//! Orders to the engine, safe before engines that don't check the fencing number themselves.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;

use mgs_engine::engine::Engine;
use mgs_engine::engine::Error;
use mgs_engine::message;
use mgs_ledger::fence::Fence;
use mgs_ledger::fence::Verdict;
use mgs_ledger::plant::Plant;
use mgs_platform::table::Table;
use mgs_schema::wire::Order;
use mgs_schema::wire::OrderReply;

use crate::state::locked;

/// Most orders that are remembered, to answer a repeated one.
const DONE_MAX: usize = 32;

/// Key of the row that names the highest fencing number ever given out.
const LEASE_KEY: &str = "controller/lease";

/// The gate for orders; one passes at a time.
pub(crate) struct Orders {
    table: Option<Arc<dyn Table>>,
    inner: Mutex<Inner>,
}

struct Inner {
    fence: Fence,
    done: VecDeque<String>,
}

impl Orders {
    pub(crate) fn new(plant: Plant, table: Option<Arc<dyn Table>>) -> Self {
        Self {
            table,
            inner: Mutex::new(Inner {
                fence: Fence::new(plant),
                done: VecDeque::new(),
            }),
        }
    }

    /// Obeys an order, or says why not. Blocks while the engine and the table service answer.
    pub(crate) fn obey(&self, engine: &dyn Engine, order: &Order) -> OrderReply {
        let mut inner = locked(&self.inner);
        let result = self.try_obey(&mut inner, engine, order);
        OrderReply {
            done: result.is_ok(),
            highest_fencing: inner.fence.highest(),
            detail: result.err().unwrap_or_default(),
        }
    }

    fn try_obey(
        &self,
        inner: &mut Inner,
        engine: &dyn Engine,
        order: &Order,
    ) -> Result<(), String> {
        self.learn(inner, engine);
        match inner.fence.check(order.fencing) {
            Verdict::Obey => {}
            Verdict::Stale => return Err("a higher fencing number was seen".to_string()),
            Verdict::NotReady => {
                return Err("no earlier fencing number could be read".to_string());
            }
        }
        if inner.done.contains(&order.order_id) {
            return Ok(());
        }
        give(engine, order).map_err(|error| error.to_string())?;
        inner.done.push_back(order.order_id.clone());
        if inner.done.len() > DONE_MAX {
            inner.done.pop_front();
        }
        Ok(())
    }

    /// Reads what is kept elsewhere, before each order: orders are rare, and a holder that was
    /// paused may send one long after its lease went to another.
    fn learn(&self, inner: &mut Inner, engine: &dyn Engine) {
        if let Ok(info) = engine.info() {
            if info.fencing > 0 {
                inner.fence.learn(info.fencing);
            }
        }
        match self
            .table
            .as_ref()
            .map(|table| lease_fencing(table.as_ref()))
        {
            Some(Ok(number)) => inner.fence.learn(number),
            Some(Err(error)) => log::warn!(error = error; "the fencing number can't be read"),
            // Without a platform nothing was ever kept.
            None => inner.fence.learn(0),
        }
    }
}

fn lease_fencing(table: &dyn Table) -> Result<u64, String> {
    let row = table.get(LEASE_KEY).map_err(|error| error.to_string())?;
    let Some(row) = row else { return Ok(0) };
    let value: serde_json::Value =
        serde_json::from_str(&row.value).map_err(|error| error.to_string())?;
    let number = value.get("fencing").and_then(serde_json::Value::as_u64);
    number.ok_or_else(|| "the lease has no fencing number".to_string())
}

fn give(engine: &dyn Engine, order: &Order) -> Result<(), Error> {
    engine.order(&message::Order {
        fencing: order.fencing,
        action: order.action.clone(),
        subject: order.subject.clone(),
        subject_version: order.subject_version.clone(),
    })
}
