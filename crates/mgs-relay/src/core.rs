//! What all requests of a relay share. One thread owns it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use mgs_fleet::view::EndpointKey;
use mgs_placing::board::Board;
use mgs_placing::lengths::Band;
use mgs_placing::lengths::Lengths;
use mgs_placing::line::Firsts;
use mgs_placing::line::Score;
use mgs_placing::spare::Spare;
use mgs_routing::outlier::Outliers;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;

use crate::budget::Budget;
use crate::dialect::Dialect;
use crate::drain::Drain;
use crate::headcount::Headcount;
use crate::metrics::Metrics;
use crate::relay::Options;
use crate::view::Published;

/// Reading placed here that peers haven't been told of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FreshRead {
    pub(crate) endpoint: EndpointKey,
    pub(crate) read_ms: f64,
}

/// The shared state.
pub(crate) struct Core {
    pub(crate) options: Options,
    pub(crate) dialect: Box<dyn Dialect>,
    pub(crate) published: Arc<Published>,
    pub(crate) board: RefCell<Board>,
    pub(crate) fresh_reads: RefCell<Vec<FreshRead>>,
    /// Wakes the one who tells peers.
    pub(crate) board_changed: Notify,
    /// Prompts that wait for their turn here, by number.
    pub(crate) waiting: RefCell<HashMap<u64, Score>>,
    /// Short prompts that wait here for a spare place, by number.
    pub(crate) waiting_for_spare: RefCell<BTreeSet<u64>>,
    pub(crate) spare: RefCell<Spare>,
    /// How often long prompts of each length came here and were sent.
    pub(crate) lengths: RefCell<Lengths>,
    pub(crate) outliers: Outliers,
    pub(crate) budget: RefCell<Budget>,
    pub(crate) metrics: Metrics,
    pub(crate) drain: Drain,
    pub(crate) headcount: RefCell<Headcount>,
    pub(crate) random: RefCell<ChaCha8Rng>,
    /// Last number given to something of this process.
    pub(crate) last_number: Cell<u64>,
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

    /// Reading was placed by this gateway.
    pub(crate) fn place_read(&self, endpoint: EndpointKey, read_ms: f64) {
        let now_ms = self.now_ms();
        self.board.borrow_mut().read(endpoint, now_ms, read_ms);
        self.fresh_reads
            .borrow_mut()
            .push(FreshRead { endpoint, read_ms });
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

    /// Takes one second try of the budget.
    pub(crate) fn may_try_again(&self, service: &str) -> bool {
        let now_ms = self.now_ms();
        let gateways = self.headcount.borrow().sharing();
        let live = self.published.live();
        let mut budget = self.budget.borrow_mut();
        budget.again(&live.budget, service, now_ms, gateways)
    }
}
