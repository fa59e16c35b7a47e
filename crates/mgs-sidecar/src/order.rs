//! Orders to the engine, safe before engines that don't check the fencing number themselves.
//!
//! The record of the endpoint in the table service names the order in force, and is read before
//! each order: a holder that was paused may send one long after its lease went to another. Where
//! there is no platform, the highest number seen by this process and by the engine counts.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use mgs_controller::gate;
use mgs_controller::gate::Gate;
use mgs_controller::gate::Judgement;
use mgs_engine::engine::Engine;
use mgs_engine::engine::Error;
use mgs_engine::message;
use mgs_ledger::fault::InjectedFault;
use mgs_ledger::fence::Fence;
use mgs_ledger::fence::Verdict;
use mgs_platform::table::Table;
use mgs_schema::wire::Order;
use mgs_schema::wire::OrderReply;

use crate::state::locked;
use crate::state::Shared;

/// The order by which an engine gives up a model.
const UNLOAD: &str = "unload";

/// How long requests of a model stay refused after an order to unload it had to wait, as a multiple
/// of its wait.
const HOLD_WAITS: u64 = 10;

/// Takes orders, one at a time.
pub(crate) struct Orders {
    /// Name of the endpoint.
    endpoint: String,
    table: Option<Arc<dyn Table>>,
    plant: InjectedFault,
    unloading: Mutex<Option<Unloading>>,
    inner: Mutex<Inner>,
}

/// A model that is about to be unloaded; requests for it are refused.
struct Unloading {
    model: String,
    /// Until when, unless the order comes again: its sender may have given it up.
    until_ms: u64,
}

struct Inner {
    gate: Gate,
    fence: Fence,
}

impl Orders {
    pub(crate) fn new(endpoint: &str, table: Option<Arc<dyn Table>>, plant: InjectedFault) -> Self {
        Self {
            endpoint: endpoint.to_string(),
            table,
            plant,
            unloading: Mutex::default(),
            inner: Mutex::new(Inner {
                gate: Gate::default(),
                fence: Fence::new(plant),
            }),
        }
    }

    /// Whether requests for a model are refused because it is about to be unloaded.
    pub(crate) fn is_unloading(&self, now_ms: u64, model: &str) -> bool {
        let unloading = locked(&self.unloading);
        let is_it = |known: &Unloading| known.model == model && now_ms < known.until_ms;
        unloading.as_ref().is_some_and(is_it)
    }

    /// Obeys an order, or says why not. Blocks while the engine and the table service answer, and
    /// for a while if the order must wait for running requests.
    pub(crate) fn obey(&self, shared: &Shared, engine: &dyn Engine, order: &Order) -> OrderReply {
        let mut inner = locked(&self.inner);
        let result = self.try_obey(shared, &mut inner, engine, order);
        OrderReply {
            done: result.is_ok(),
            highest_fencing: inner.gate.highest().max(inner.fence.highest()),
            detail: result.err().unwrap_or_default(),
        }
    }

    fn try_obey(
        &self,
        shared: &Shared,
        inner: &mut Inner,
        engine: &dyn Engine,
        order: &Order,
    ) -> Result<(), String> {
        let judgement = match &self.table {
            _ if self.plant == InjectedFault::IgnoredFence => Judgement::Obey,
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
        *locked(&self.unloading) = None;
        if order.action == UNLOAD {
            self.drain_model(shared, order)?;
        }
        give(engine, order).map_err(|error| error.to_string())?;
        inner.gate.obeyed(order.fencing);
        Ok(())
    }

    /// Refuses new requests of the model that is to be unloaded, and waits for those that there
    /// are. If they take too long, new ones stay refused for a while, so that the order can succeed
    /// when it comes again.
    fn drain_model(&self, shared: &Shared, order: &Order) -> Result<(), String> {
        let model = match order.subject_version.as_str() {
            "" => order.subject.clone(),
            version => format!("{}@{version}", order.subject),
        };
        let wait_ms = shared.options.unload_wait_ms;
        let until_ms = shared.now_ms() + wait_ms;
        *locked(&self.unloading) = Some(Unloading {
            model: model.clone(),
            until_ms: until_ms + HOLD_WAITS * wait_ms,
        });
        while shared.is_in_use(&model) {
            if shared.now_ms() >= until_ms || shared.is_stopped() {
                return Err("requests of the model still run".to_string());
            }
            std::thread::sleep(Duration::from_millis(shared.options.tick_ms));
        }
        Ok(())
    }
}

/// Judges an order without a platform.
fn judge_alone(fence: &mut Fence, engine: &dyn Engine, order: &Order) -> Result<Judgement, String> {
    let info = engine.info().map_err(|error| error.to_string())?;
    fence.restore(info.fencing);
    match fence.check(order.fencing) {
        Verdict::Accept => Ok(Judgement::Obey),
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
