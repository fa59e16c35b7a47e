//! State shared by all requests and background tasks of one relay. A single thread owns it, hence
//! the `Cell`s and `RefCell`s.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use mgs_backpressure::first_answers::FirstAnswers;
use mgs_backpressure::table::Backpressure;
use mgs_fleet::view::EndpointKey;
use mgs_placing::length_counts::LengthBand;
use mgs_placing::length_counts::LengthCounter;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::load_table::LoadTable;
use mgs_placing::load_table::ZoneKey;
use mgs_placing::peer_message::PrefillPart;
use mgs_placing::queue_demand::QueuedPrompt;
use mgs_placing::queue_order::QueueHeads;
use mgs_placing::spare_slots::SpareSlotRate;
use mgs_routing::outlier::OutlierDetector;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;

use crate::arrival_refusal::ArrivalDemand;
use crate::budget::RetryBudget;
use crate::dialect::Dialect;
use crate::drain::Drain;
use crate::engine_speeds::SharedSpeeds;
use crate::evacuation_gossip::EncodedOrders;
use crate::gateway_count::GatewayCount;
use crate::held_bytes::ConnectionBytes;
use crate::held_bytes::HeldBuffer;
use crate::held_bytes::HeldBytes;
use crate::held_bytes::HeldGuard;
use crate::held_bytes::HoldKind;
use crate::held_bytes::NoRoom;
use crate::held_bytes::CONNECTION_BYTES;
use crate::helper_refusals::HelperRefusals;
use crate::helper_refusals::RefusalReason;
use crate::link_use::LinkState;
use crate::link_use::LinkUse;
use crate::link_use::LoggedState;
use crate::link_use::MessagePace;
use crate::lost_run::EndpointProbes;
use crate::metrics::Metrics;
use crate::organisation_shares::OrganisationShares;
use crate::quarantine::CrashTracker;
use crate::relay::Options;
use crate::traffic::Traffic;
use crate::view::Endpoint;
use crate::view::Published;
use crate::warm_up::WarmUpState;

/// Number of peers below which every change is broadcast to all of them at once: the bytes sent
/// grow with the square of the number of gateways.
const FEW_PEERS: usize = 12;

/// Length up to which an event that has begun isn't counted as held, in bytes: what an open
/// connection counts for covers it.
const EVENT_BYTES_USUAL: usize = 8 * 1024;

/// Prefill that this gateway has placed on an endpoint and not yet reported to its peers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnreportedPrefill {
    pub(crate) endpoint: EndpointKey,
    pub(crate) prefill_ms: f64,
    pub(crate) part: PrefillPart,
}

/// The shared state of one relay.
pub(crate) struct Core {
    pub(crate) options: Options,
    /// How requests and answers look on the wire.
    pub(crate) dialect: Box<dyn Dialect>,
    /// Configuration and fleet, as the thread that follows the store publishes them.
    pub(crate) published: Arc<Published>,
    /// Load placed on each endpoint by this gateway and its peers.
    pub(crate) load_table: RefCell<LoadTable>,
    /// Prefill placed since the last message to peers.
    pub(crate) unreported_prefills: RefCell<Vec<UnreportedPrefill>>,
    /// Load that this gateway has placed on endpoints since its last message to peers.
    pub(crate) unreported_loads: RefCell<Vec<(EndpointKey, EndpointLoad)>>,
    /// Whether the next message to peers must be a whole one and must be sent at once.
    pub(crate) full_message_wanted: Cell<bool>,
    /// Wakes the broadcast task: load was placed, or the queue of waiting prompts has changed.
    pub(crate) broadcast_wanted: Notify,
    /// Prompts queued at this gateway, by serial number.
    pub(crate) waiting: RefCell<HashMap<u64, QueuedPrompt>>,
    /// Short prompts queued at this gateway for a spare slot on an engine, by serial number.
    pub(crate) waiting_for_spare: RefCell<BTreeSet<u64>>,
    /// How many late short prompts recently found a spare slot.
    pub(crate) spare: RefCell<SpareSlotRate>,
    /// How many long prompts of each length arrived at this gateway and how many of them were
    /// dispatched.
    pub(crate) lengths: RefCell<LengthCounter>,
    /// Failing endpoints that are skipped for a while.
    pub(crate) outliers: OutlierDetector,
    /// Endpoints that refuse to prefill parts of prompts that other endpoints answer.
    pub(crate) helpers: RefCell<HelperRefusals>,
    /// Rate limits, pauses and shutdown notices that endpoints ask their senders to observe.
    pub(crate) backpressure: RefCell<Backpressure>,
    pub(crate) warm_up: WarmUpState,
    /// Which endpoints have answered this process.
    pub(crate) first_answers: RefCell<FirstAnswers>,
    /// Budget of retries.
    pub(crate) budget: RefCell<RetryBudget>,
    /// Demand of organisations, and their shares when engines are short.
    pub(crate) shares: RefCell<OrganisationShares>,
    /// Estimated speeds of engines.
    pub(crate) speeds: RefCell<SharedSpeeds>,
    /// What is asked of the engines, here and at peers.
    pub(crate) arrival_demand: RefCell<ArrivalDemand>,
    /// Probes in flight that check whether an endpoint's process has ended.
    pub(crate) endpoint_probes: RefCell<EndpointProbes>,
    /// What is known of requests that crash endpoints.
    pub(crate) crashes: CrashTracker,
    /// Peers heard for the first time, which have yet to be sent the orders to evacuate zones.
    pub(crate) evacuation_newcomers: RefCell<Vec<SocketAddr>>,
    /// The orders to evacuate zones, encoded for peers.
    pub(crate) encoded_orders: RefCell<EncodedOrders>,
    pub(crate) metrics: Metrics,
    pub(crate) traffic: Traffic,
    /// Bytes held for clients and endpoints.
    pub(crate) held: HeldBytes,
    /// How much of this host's link is used.
    pub(crate) link: RefCell<LinkUse>,
    /// How much room the link had when it was last looked at.
    pub(crate) link_state: Cell<LinkState>,
    /// The same as it was last logged.
    pub(crate) logged_link_state: RefCell<LoggedState>,
    /// Cloned for each connection that is being refused.
    pub(crate) connections_refused: Rc<()>,
    pub(crate) drain: Drain,
    /// Number of gateways, for dividing fleet-wide budgets.
    pub(crate) gateway_count: RefCell<GatewayCount>,
    pub(crate) random: RefCell<ChaCha8Rng>,
    /// Serial number given out last, see [`Core::next_serial`].
    pub(crate) last_serial: Cell<u64>,
    /// Availability zone of this gateway, in the form sent to peers.
    pub(crate) zone: ZoneKey,
    /// Random identifier of this run of the process; distinguishes it from earlier runs and from
    /// peers.
    pub(crate) incarnation: u64,
}

impl Core {
    pub(crate) fn now_ms(&self) -> f64 {
        self.published.now_exact_ms()
    }

    /// The same clock in whole milliseconds, for long-lived records.
    pub(crate) fn now_whole_ms(&self) -> u64 {
        self.published.now_ms()
    }

    /// When the store last confirmed the list of endpoints, to this gateway or to a peer, in
    /// milliseconds of this process's clock; `None` if it never did.
    pub(crate) fn fleet_confirmed_ms(&self) -> Option<u64> {
        let age_ms = self.published.fleet_age_ms()?;
        Some(self.now_whole_ms().saturating_sub(age_ms))
    }

    /// Records that an endpoint refused to prefill a part of a prompt, and returns the likely
    /// reason. `is_reserved` says whether memory had been reserved at the endpoint for that prompt.
    pub(crate) fn help_refused(&self, endpoint: &Endpoint, is_reserved: bool) -> RefusalReason {
        let parts = u32::from(self.load_table.borrow().load(endpoint.key).parts);
        let reason = match (parts >= endpoint.facts.slots, is_reserved) {
            (true, _) => RefusalReason::Busy,
            (false, true) => RefusalReason::Reservation,
            (false, false) => RefusalReason::Leaves,
        };
        self.metrics.help_refusals.inc(reason.name());
        let now_ms = self.now_whole_ms();
        self.helpers
            .borrow_mut()
            .record_refusal(endpoint.key, reason, now_ms);
        self.broadcast_wanted.notify_one();
        reason
    }

    /// Looks at the use of this host's link; returns how often to send messages to peers.
    pub(crate) fn observe_link(&self) -> MessagePace {
        let options = &self.published.live_settings().link;
        let mut link = self.link.borrow_mut();
        link.observe(options, self.now_ms(), self.traffic.link_totals());
        let (pace, state) = (link.pace(options), link.state(options));
        let permille = |share: f64| (share * 1e3) as i64;
        let used_permille = permille(link.used_share(options));
        self.metrics.link_use_permille.set(used_permille);
        self.link_state.set(state);
        let mut logged_state = self.logged_link_state.borrow_mut();
        if logged_state.update(self.now_ms(), state) {
            log::info!(
                state = state.name(),
                used_permille = used_permille,
                backlog_ms = link.backlog_ms(options) as u64,
                blocked_permille = permille(link.blocked_share(options)),
                send_interval_ms = pace.send_interval_ms,
                full_interval_ms = pace.full_interval_ms;
                "the room on the link has changed"
            );
        }
        pace
    }

    /// Takes room for bytes of a connection.
    pub(crate) fn hold(
        &self,
        kind: HoldKind,
        connection: &ConnectionBytes,
        bytes: usize,
    ) -> Result<HeldGuard, NoRoom> {
        let options = &self.published.live_settings().held;
        self.held.try_hold(options, kind, connection, bytes)
    }

    /// Takes room for an event that has begun, if it is longer than events usually are.
    pub(crate) fn hold_partial_event(
        &self,
        connection: &ConnectionBytes,
        bytes: usize,
    ) -> Result<Option<HeldGuard>, NoRoom> {
        match bytes > EVENT_BYTES_USUAL {
            true => self.hold(HoldKind::Stream, connection, bytes).map(Some),
            false => Ok(None),
        }
    }

    /// Takes room for an open connection.
    pub(crate) fn hold_connection(&self) -> Result<HeldGuard, NoRoom> {
        let unread = ConnectionBytes::default();
        self.hold(HoldKind::OpenConnection, &unread, CONNECTION_BYTES)
    }

    /// Begins a buffer for a body of a connection.
    pub(crate) fn hold_body(
        &self,
        kind: HoldKind,
        connection: &ConnectionBytes,
        announced_bytes: Option<usize>,
    ) -> Result<HeldBuffer, NoRoom> {
        let options = &self.published.live_settings().held;
        HeldBuffer::begin(&self.held, options, kind, connection, announced_bytes)
    }

    /// Returns a serial number that is unique within this process.
    pub(crate) fn next_serial(&self) -> u64 {
        let serial = self.last_serial.get() + 1;
        self.last_serial.set(serial);
        serial
    }

    /// Returns a random integer in `0..below`, or 0 if `below` is 0.
    pub(crate) fn random_below(&self, below: u32) -> u32 {
        if below == 0 {
            return 0;
        }
        self.random.borrow_mut().next_u32() % below
    }

    /// Returns a random number in `[0, 1)`.
    pub(crate) fn random_unit(&self) -> f64 {
        f64::from(self.random.borrow_mut().next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// Records prefill that this gateway has placed on an endpoint, and queues it for the
    /// next message to peers.
    pub(crate) fn place_prefill(&self, endpoint: EndpointKey, prefill_ms: f64, part: PrefillPart) {
        let now_ms = self.now_ms();
        self.load_table
            .borrow_mut()
            .add_prefill(endpoint, now_ms, prefill_ms);
        self.unreported_prefills
            .borrow_mut()
            .push(UnreportedPrefill {
                endpoint,
                prefill_ms,
                part,
            });
        self.broadcast_wanted.notify_one();
    }

    /// Whether there are few enough peers to broadcast every change to all of them.
    pub(crate) fn has_few_peers(&self) -> bool {
        self.load_table.borrow().peer_count() < FEW_PEERS
    }

    /// Requests a full message to peers, since endpoints that peers may be waiting for are free
    /// again.
    pub(crate) fn announce_freed(&self) {
        self.full_message_wanted.set(true);
        self.broadcast_wanted.notify_one();
    }

    /// The scores of the prompts that are first in the queue of this gateway.
    pub(crate) fn queue_heads(&self) -> QueueHeads {
        let waiting = self.waiting.borrow();
        let queued = waiting.values();
        queued.fold(QueueHeads::default(), |heads, prompt| {
            heads.with_score(prompt.score)
        })
    }

    /// The rate at which prompts of a length band are sent relative to all other bands, over all
    /// gateways.
    pub(crate) fn sent_ratio(&self, band: LengthBand) -> f64 {
        let mut counts = self.lengths.borrow().counts(self.now_ms());
        self.load_table.borrow().add_length_counts(&mut counts);
        counts.sent_ratio(band)
    }

    /// Number of gateways that share fleet-wide budgets, or `None` while it isn't known.
    pub(crate) fn gateways_sharing(&self) -> Option<usize> {
        let mut gateway_count = self.gateway_count.borrow_mut();
        if let Some(listed) = self.published.listed_gateways() {
            gateway_count.set_listed(listed);
        }
        gateway_count.gateways_sharing()
    }

    /// Counts a client's request of a service for the retry budget.
    pub(crate) fn earn_retries(&self, service: &str) {
        let now_ms = self.now_ms();
        let live_settings = self.published.live_settings();
        let mut budget = self.budget.borrow_mut();
        budget.record_request(&live_settings.budget, service, now_ms);
    }

    /// Takes one retry from the retry budget of a service; returns whether there was one left.
    /// `reason` says why the request needs it.
    pub(crate) fn take_retry(&self, service: &str, request_id: &str, reason: &str) -> bool {
        let now_ms = self.now_ms();
        let gateways = self.gateways_sharing();
        let live_settings = self.published.live_settings();
        let options = &live_settings.budget;
        let mut budget = self.budget.borrow_mut();
        let available = budget.available_retries(options, service, now_ms, gateways);
        let is_allowed = budget.try_take_retry(options, service, now_ms, gateways);
        if !is_allowed {
            self.metrics.denied_retries.inc(reason);
        }
        log::info!(
            request_id = request_id,
            service = service,
            reason = reason,
            allowed = is_allowed,
            available = available,
            gateways = gateways.unwrap_or(0),
            up_ms = now_ms as u64;
            "retry asked for"
        );
        is_allowed
    }
}
