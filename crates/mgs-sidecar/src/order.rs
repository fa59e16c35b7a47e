//! Orders to the engine, safe before engines that don't check the fencing number themselves.
//!
//! The record of the endpoint in the table service names the order in force, and is read before
//! each order: a holder that was paused may send one long after its lease went to another. Where
//! there is no platform, the highest number seen by this process and by the engine counts.

use std::sync::Arc;
use std::sync::Mutex;

use mgs_controller::gate;
use mgs_controller::gate::Gate;
use mgs_controller::gate::Judgement;
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

/// The door for orders; one passes at a time.
pub(crate) struct Orders {
    /// Name of the endpoint.
    endpoint: String,
    table: Option<Arc<dyn Table>>,
    plant: Plant,
    inner: Mutex<Inner>,
}

struct Inner {
    gate: Gate,
    fence: Fence,
}

impl Orders {
    pub(crate) fn new(endpoint: &str, table: Option<Arc<dyn Table>>, plant: Plant) -> Self {
        Self {
            endpoint: endpoint.to_string(),
            table,
            plant,
            inner: Mutex::new(Inner {
                gate: Gate::default(),
                fence: Fence::new(plant),
            }),
        }
    }

    /// Obeys an order, or says why not. Blocks while the engine and the table service answer.
    pub(crate) fn obey(&self, engine: &dyn Engine, order: &Order) -> OrderReply {
        let mut inner = locked(&self.inner);
        let result = self.try_obey(&mut inner, engine, order);
        OrderReply {
            done: result.is_ok(),
            highest_fencing: inner.gate.highest().max(inner.fence.highest()),
            detail: result.err().unwrap_or_default(),
        }
    }

    fn try_obey(
        &self,
        inner: &mut Inner,
        engine: &dyn Engine,
        order: &Order,
    ) -> Result<(), String> {
        let judgement = match &self.table {
            _ if self.plant == Plant::IgnoredFence => Judgement::Obey,
            Some(table) => {
                let recorded = gate::recorded(table.as_ref(), &self.endpoint);
                let recorded = recorded.map_err(|error| format!("store unavailable: {error}"))?;
                inner.gate.judge(order, recorded.as_ref())
            }
            None => judge_alone(&mut inner.fence, engine, order)?,
        };
        match judgement {
            Judgement::AlreadyDone => return Ok(()),
            Judgement::Refuse => return Err("not the order in force".to_string()),
            Judgement::Obey => {}
        }
        give(engine, order).map_err(|error| error.to_string())?;
        inner.gate.obeyed(order.fencing);
        Ok(())
    }
}

/// Judges an order without a platform.
fn judge_alone(fence: &mut Fence, engine: &dyn Engine, order: &Order) -> Result<Judgement, String> {
    let info = engine.info().map_err(|error| error.to_string())?;
    fence.learn(info.fencing);
    match fence.check(order.fencing) {
        Verdict::Obey => Ok(Judgement::Obey),
        Verdict::Stale | Verdict::NotReady => Ok(Judgement::Refuse),
    }
}

fn give(engine: &dyn Engine, order: &Order) -> Result<(), Error> {
    engine.order(&message::Order {
        fencing: order.fencing,
        action: order.action.clone(),
        subject: order.subject.clone(),
        subject_version: order.subject_version.clone(),
    })
}
