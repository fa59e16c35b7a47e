//! What all requests of a relay share. One thread owns it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use mgs_backpressure::table::Table;
use mgs_fleet::view::EndpointKey;
use mgs_placing::board::Board;
use mgs_placing::board::Held;
use mgs_placing::board::ZoneKey;
use mgs_placing::lengths::Band;
use mgs_placing::lengths::Lengths;
use mgs_placing::line::Firsts;
use mgs_placing::line::Score;
use mgs_placing::share::Reads;
use mgs_placing::spare::Spare;
use mgs_routing::outlier::OutlierDetector;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;

use crate::budget::Budget;
use crate::crash::Looks;
use crate::dialect::Dialect;
use crate::drain::Drain;
use crate::headcount::Headcount;
use crate::helpers::Helpers;
use crate::helpers::Reason;
use crate::metrics::Metrics;
use crate::quarantine::Crashes;
use crate::relay::Options;
use crate::traffic::Traffic;
use crate::view::Endpoint;
use crate::view::Published;

/// Peers below which all of them are told of each change at once: the bytes grow with the square of the gateways.
const FEW_PEERS: usize = 12;

/// Reading placed here that peers haven't been told of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FreshRead {
    pub(crate) endpoint: EndpointKey,
    pub(crate) read_ms: f64,
    pub(crate) reads: Reads,
}

/// The shared state.
pub(crate) struct Core {
    pub(crate) options: Options,
    pub(crate) dialect: Box<dyn Dialect>,
    pub(crate) published: Arc<Published>,
    pub(crate) board: RefCell<Board>,
    pub(crate) fresh_reads: RefCell<Vec<FreshRead>>,
    /// What this gateway holds more since peers were last told.
    pub(crate) fresh_held: RefCell<Vec<(EndpointKey, Held)>>,
    /// Whether peers are to be told all that this gateway holds at once.
    pub(crate) whole_wanted: Cell<bool>,
    /// Wakes the one who tells peers: something was placed, or the line has changed.
    pub(crate) board_changed: Notify,
    /// Prompts that wait for their turn here, by number.
    pub(crate) waiting: RefCell<HashMap<u64, Score>>,
    /// Short prompts that wait here for a spare place, by number.
    pub(crate) waiting_for_spare: RefCell<BTreeSet<u64>>,
    pub(crate) spare: RefCell<Spare>,
    /// How often long prompts of each length came here and were sent.
    pub(crate) lengths: RefCell<Lengths>,
    pub(crate) outliers: OutlierDetector,
    /// Endpoints that refuse to read parts of others' prompts.
    pub(crate) helpers: RefCell<Helpers>,
    /// What endpoints ask of those that send them requests.
    pub(crate) backpressure: RefCell<Table>,
    pub(crate) budget: RefCell<Budget>,
    /// Looks under way whether an endpoint has ended.
    pub(crate) looks: RefCell<Looks>,
    pub(crate) crashes: Crashes,
    pub(crate) metrics: Metrics,
    pub(crate) traffic: Traffic,
    pub(crate) drain: Drain,
    pub(crate) headcount: RefCell<Headcount>,
    pub(crate) random: RefCell<ChaCha8Rng>,
    /// Last number given to something of this process.
    pub(crate) last_number: Cell<u64>,
    /// Availability zone of this gateway, as peers are told it.
    pub(crate) zone: ZoneKey,
    /// This process, among its predecessors and peers.
    pub(crate) incarnation: u64,
}

impl Core {
    pub(crate) fn now_ms(&self) -> f64 {
        self.published.now_exact_ms()
    }

    /// The same in whole milliseconds, for beliefs that are kept for long.
    pub(crate) fn now_whole_ms(&self) -> u64 {
        self.published.now_ms()
    }

    /// When the store last confirmed which endpoints are listed, in milliseconds, here or at a peer.
    pub(crate) fn fleet_confirmed_ms(&self) -> Option<u64> {
        let age_ms = self.published.fleet_age_ms()?;
        Some(self.now_whole_ms().saturating_sub(age_ms))
    }

    /// An endpoint refused to help with a prompt; answers why, as far as it shows. `is_reserved`: whether memory was
    /// reserved there for it.
    pub(crate) fn help_refused(&self, endpoint: &Endpoint, is_reserved: bool) -> Reason {
        let parts = u32::from(self.board.borrow().held(endpoint.key).parts);
        let reason = match (parts >= endpoint.facts.slots, is_reserved) {
            (true, _) => Reason::Busy,
            (false, true) => Reason::Reservation,
            (false, false) => Reason::Leaves,
        };
        self.metrics.help_refusals.inc(reason.name());
        let now_ms = self.now_whole_ms();
        self.helpers
            .borrow_mut()
            .refused(endpoint.key, reason, now_ms);
        self.board_changed.notify_one();
        reason
    }

    /// A number that nothing else of this process has.
    pub(crate) fn next_number(&self) -> u64 {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        number
    }

    /// A number from 0 up to `below`.
    pub(crate) fn random_below(&self, below: u32) -> u32 {
        if below == 0 {
            return 0;
        }
        self.random.borrow_mut().next_u32() % below
    }

    /// A number from 0 up to 1.
    pub(crate) fn draw(&self) -> f64 {
        f64::from(self.random.borrow_mut().next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// Reading was placed by this gateway.
    pub(crate) fn place_read(&self, endpoint: EndpointKey, read_ms: f64, reads: Reads) {
        let now_ms = self.now_ms();
        self.board.borrow_mut().read(endpoint, now_ms, read_ms);
        self.fresh_reads.borrow_mut().push(FreshRead {
            endpoint,
            read_ms,
            reads,
        });
        self.board_changed.notify_one();
    }

    /// Whether telling all peers at each change costs little.
    pub(crate) fn has_few_peers(&self) -> bool {
        self.board.borrow().peers() < FEW_PEERS
    }

    /// Endpoints are free again for whom peers may wait.
    pub(crate) fn tell_freed(&self) {
        self.whole_wanted.set(true);
        self.board_changed.notify_one();
    }

    /// Who goes first among the prompts that wait here.
    pub(crate) fn first_waiting(&self) -> Firsts {
        let waiting = self.waiting.borrow();
        let scores = waiting.values();
        scores.fold(Firsts::default(), |firsts, score| firsts.with(*score))
    }

    /// How often prompts of a length are sent beside all others, by all gateways.
    pub(crate) fn sent_ratio(&self, band: Band) -> f64 {
        let mut counts = self.lengths.borrow().counts(self.now_ms());
        self.board.borrow().add_lengths(&mut counts);
        counts.ratio(band)
    }

    /// How many gateways share what all may spend, if that is known.
    pub(crate) fn gateways_sharing(&self) -> Option<usize> {
        let mut headcount = self.headcount.borrow_mut();
        if let Some(listed) = self.published.listed_gateways() {
            headcount.listed(listed);
        }
        headcount.sharing()
    }

    /// Takes one second try of the budget.
    pub(crate) fn may_try_again(&self, service: &str) -> bool {
        let now_ms = self.now_ms();
        let gateways = self.gateways_sharing();
        let live = self.published.live();
        let mut budget = self.budget.borrow_mut();
        budget.again(&live.budget, service, now_ms, gateways)
    }
}
