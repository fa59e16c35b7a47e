//! Refusal at arrival of prompts that can't be served: asks [`refusal_at_arrival`] when a prompt
//! arrives, and exchanges demand with peers. Does nothing while the part is off.

use std::net::SocketAddr;
use std::rc::Rc;

use mgs_placing::dispatch::DispatchDecision;
use mgs_placing::dispatch::WaitingPrompt;
use mgs_placing::load_table::PeerKey;
use mgs_placing::queue_demand::GatewayDemand;
use mgs_placing::queue_demand::QueueDemand;
use mgs_placing::queue_demand::QueuedPrompt;
use mgs_placing::refusal_at_arrival;
use mgs_placing::refusal_at_arrival::Estimate;

use crate::core::Core;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::peers::Datagram;
use crate::place::active_endpoints;
use crate::place::Prompt;
use crate::place_log;
use crate::view::Fleet;
use crate::wait::RETRY_AFTER_MAX_MS;
use crate::wait::RETRY_AFTER_MIN_MS;

/// Demand that one relay knows.
#[derive(Debug, Default)]
pub(crate) struct ArrivalDemand {
    /// The figures while the part is on.
    demand: Option<QueueDemand>,
    /// Sequence number of the last report.
    sequence: u64,
}

impl ArrivalDemand {
    fn take_up(&mut self, now_ms: f64) -> &mut QueueDemand {
        self.demand
            .get_or_insert_with(|| QueueDemand::started_at(now_ms))
    }
}

impl Core {
    /// Whether prompts are refused at arrival. Forgets all figures otherwise, since they would be
    /// outdated later.
    fn refuses_at_arrival(&self) -> bool {
        let is_on = self.published.live_settings().refusal_at_arrival;
        if !is_on {
            self.arrival_demand.borrow_mut().demand = None;
        }
        is_on
    }

    /// Counts a prompt that arrives, for which `decision` was made, and refuses it if it can't be served.
    pub(crate) fn check_arrival(
        &self,
        prompt: &Prompt<'_>,
        fleet: &Fleet,
        waiting: &WaitingPrompt<'_>,
        decision: DispatchDecision,
    ) -> Result<(), Refusal> {
        if !self.refuses_at_arrival() {
            return Ok(());
        }
        let now_ms = self.now_ms();
        let (dispatch_options, options) = (&self.options.dispatch, &self.options.refusal);
        let mut arrival_demand = self.arrival_demand.borrow_mut();
        let demand = arrival_demand.take_up(now_ms);
        let ahead = demand.ahead_of(waiting.score, &self.queued_prompts(), now_ms);
        refusal_at_arrival::record_arrival(demand, waiting, dispatch_options, now_ms);
        let engines = active_endpoints(self, fleet, prompt.service).len();
        let estimate = Estimate::of(waiting, &ahead, engines, dispatch_options, options);
        let is_refused = refusal_at_arrival::is_refused_at_arrival(
            waiting,
            decision,
            &estimate,
            dispatch_options,
            options,
        );
        if !is_refused {
            return Ok(());
        }
        let room_in_ms =
            refusal_at_arrival::room_in_ms(waiting, &estimate, dispatch_options, options);
        let retry_after_ms = (room_in_ms as u64).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
        place_log::refused_at_arrival(prompt, waiting, &ahead, &estimate, retry_after_ms);
        Err(Refusal::after(Fault::NoTurn, retry_after_ms))
    }

    /// The prompts that wait in the queue of long ones here.
    fn queued_prompts(&self) -> Vec<QueuedPrompt> {
        self.waiting.borrow().values().copied().collect()
    }

    /// The datagram with this gateway's demand; `None` while the part is off or there is no demand.
    pub(crate) fn waiting_datagram(&self) -> Option<Datagram> {
        if !self.refuses_at_arrival() {
            return None;
        }
        let mut arrival_demand = self.arrival_demand.borrow_mut();
        let demand = arrival_demand.demand.as_ref()?;
        let demand = demand.report(&self.queued_prompts(), self.now_ms());
        if demand.is_empty() {
            return None;
        }
        arrival_demand.sequence += 1;
        Some(Datagram::Waiting {
            from: self.incarnation,
            sequence: arrival_demand.sequence,
            demand,
        })
    }

    /// Takes a peer's demand.
    pub(crate) fn record_peer_waiting(
        self: &Rc<Self>,
        address: SocketAddr,
        peer: u64,
        sequence: u64,
        demand: GatewayDemand,
    ) {
        let peer = PeerKey(peer);
        if !self.load_table.borrow().knows_peer(peer) || !self.refuses_at_arrival() {
            return;
        }
        let now_ms = self.now_ms();
        let mut arrival_demand = self.arrival_demand.borrow_mut();
        let known = arrival_demand.take_up(now_ms);
        if known.record_peer(now_ms, peer, sequence, demand) {
            self.metrics.peer_faults.inc();
            log::warn!(peer:% = address; "a peer's queue has figures that aren't usable");
        }
    }

    /// Forgets the demand of a peer that fell silent.
    pub(crate) fn drop_peer_waiting(&self, peer: PeerKey) {
        if let Some(demand) = &mut self.arrival_demand.borrow_mut().demand {
            demand.drop_peer(peer);
        }
    }
}
