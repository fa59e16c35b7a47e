//! Limits, then fair queueing between rows within each priority, with ageing and early refusal.

mod options;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::ops::Range;

use mgs_schema::key::RequestId;
use mgs_schema::prefix::LONG_PROMPT_TOKENS;
use mgs_schema::prefix::SHORT_PROMPT_TOKENS;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::RefusalReason;

use crate::ageing::Ageing;
use crate::answer::Expectations;
use crate::arena::Arena;
use crate::arena::Key;
use crate::entry::Entry;
use crate::flows::Charge;
use crate::flows::Class;
use crate::flows::ClassKey;
use crate::flows::Flows;
use crate::lease::Limits;
use crate::queue::Action;
use crate::queue::Admission;
use crate::queue::Demand;
use crate::queue::Offer;
use crate::queue::Room;
use crate::queue::Verdict;
use crate::rows::RowKey;
use crate::rows::Rows;
pub use options::Options;

/// Wait from which a request is taken to contend with others, in milliseconds. Only then is it
/// refused because its answer is expected to take too long: the expectation errs now and then, and
/// without contention trying costs nobody else anything.
const CONTENDED_WAIT_MS: u64 = 50;

/// The product's admission.
///
/// ```
/// use mgs_admission::queue::Admission;
/// use mgs_admission::fair::FairQueue;
/// use mgs_admission::fair::Options;
///
/// let queue = FairQueue::new(Options { flow_max: 10, ..Options::default() });
/// # let _ = queue;
/// ```
#[derive(Debug, Default)]
pub struct FairQueue {
    options: Options,
    rows: Rows,
    answers: Expectations,
    flows: Flows,
    entries: Arena<Entry>,
    keys: HashMap<RequestId, Key>,
    deadlines: BTreeSet<(u64, Key)>,
    ageing: Ageing,
}

impl FairQueue {
    /// An empty queue without settings.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Rows in use with what they have in flight, for reports.
    pub fn rows(&self) -> &Rows {
        &self.rows
    }

    fn class_of(&mut self, row: RowKey, offer: &Offer) -> ClassKey {
        self.flows.class(Class {
            priority: self.rows.get(row).priority(),
            is_long: offer.prompt_tokens > SHORT_PROMPT_TOKENS,
            model: offer.model.clone(),
            band: u32::from(offer.prompt_tokens >= LONG_PROMPT_TOKENS),
        })
    }

    /// Checks what costs nothing: models and requests in flight.
    fn permit(&self, row: RowKey, offer: &Offer) -> Result<(), Verdict> {
        let row = self.rows.get(row);
        let allowed = &row.limits.models;
        if !allowed.is_empty() && !allowed.contains(&offer.model) {
            return Err(refused(RefusalReason::UnknownModel, 0));
        }
        if row.concurrent_max > 0 && row.in_flight >= row.concurrent_max {
            let retry_after_ms = self.options.retry_after_min_ms;
            return Err(refused(RefusalReason::Concurrency, retry_after_ms));
        }
        Ok(())
    }

    /// Checks the rates of the row and takes what the request costs.
    fn charge(&mut self, now_ms: u64, row: RowKey, offer: &Offer) -> Result<(), Verdict> {
        let cost = (offer.prompt_tokens + offer.max_tokens) as f64;
        let row = self.rows.get_mut(row);
        if let Err(wait_ms) = row.requests.take(now_ms, 1.0) {
            return Err(refused(RefusalReason::RequestRate, wait_ms));
        }
        if let Err(wait_ms) = row.tokens.take(now_ms, cost) {
            row.requests.refund(1.0);
            return Err(refused(RefusalReason::TokenRate, wait_ms));
        }
        Ok(())
    }

    /// Refuses what would wait too long, before it costs anything.
    fn foresee(&mut self, now_ms: u64, row: RowKey, offer: &Offer) -> Result<ClassKey, Verdict> {
        let class = self.class_of(row, offer);
        let tokens = offer.prompt_tokens + offer.max_tokens;
        let wait_ms = self.flows.wait_ms(now_ms, row, class, tokens);
        let full = self.flows.queued() >= self.options.queue_max
            || self.flows.queued_in(row, class) >= self.options.flow_max;
        if full {
            let retry_after_ms = self.bounded(wait_ms.unwrap_or(0));
            return Err(refused(RefusalReason::QueueFull, retry_after_ms));
        }
        let left_ms = offer.deadline_ms.saturating_sub(now_ms);
        let spare_ms = left_ms.saturating_sub(self.answers.answer_ms(row, class, offer.max_tokens));
        let share = if offer.prompt_tokens > SHORT_PROMPT_TOKENS {
            self.options.long_wait_share_max
        } else {
            self.options.short_wait_share_max
        };
        let share_ms = (left_ms as f64 * share) as u64;
        let most_ms = spare_ms.min(share_ms);
        match wait_ms {
            Some(wait_ms) if wait_ms > most_ms => {
                if wait_ms <= share_ms {
                    self.answers.doubt(row, class);
                }
                let retry_after_ms = self.bounded(wait_ms - most_ms);
                Err(refused(RefusalReason::Deadline, retry_after_ms))
            }
            _ => Ok(class),
        }
    }

    fn bounded(&self, retry_after_ms: u64) -> u64 {
        let least_ms = self.options.retry_after_min_ms;
        retry_after_ms.clamp(least_ms, self.options.retry_after_max_ms)
    }

    fn enqueue(&mut self, now_ms: u64, row: RowKey, class: ClassKey, offer: &Offer) {
        let entry = Entry {
            offer: offer.clone(),
            row,
            class,
            weight: self.rows.get(row).weight(),
            queued: true,
            first_token_at_ms: 0,
        };
        let key = self.entries.insert(entry);
        self.keys.insert(offer.id, key);
        self.deadlines.insert((offer.deadline_ms, key));
        if self.rows.get(row).priority() > 0 {
            self.ageing.insert(self.aged_ms(offer), key);
        }
        if let Some(entry) = self.entries.get(key) {
            self.flows.push(now_ms, entry.waiting(key));
        }
        self.rows.get_mut(row).in_flight += 1;
    }

    fn aged_ms(&self, offer: &Offer) -> u64 {
        let allotted_ms = offer.deadline_ms.saturating_sub(offer.arrived_ms);
        offer.arrived_ms + (allotted_ms as f64 * self.options.aged_share) as u64
    }

    /// Takes a queued request out of every structure but the arena.
    fn unqueue(&mut self, now_ms: u64, key: Key) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.queued = false;
        let waiting = entry.waiting(key);
        let deadline_ms = entry.offer.deadline_ms;
        self.flows.remove(now_ms, waiting);
        self.forget_times(deadline_ms, key);
    }

    fn forget_times(&mut self, deadline_ms: u64, key: Key) {
        self.deadlines.remove(&(deadline_ms, key));
        if let Some(entry) = self.entries.get(key) {
            let aged_ms = self.aged_ms(&entry.offer);
            self.ageing.remove(aged_ms, key);
        }
    }

    /// Drops a queued request that will not run and gives back what it paid.
    fn drop_queued(&mut self, now_ms: u64, key: Key) -> Option<RequestId> {
        self.unqueue(now_ms, key);
        let entry = self.entries.remove(key)?;
        self.keys.remove(&entry.offer.id);
        let row = self.rows.get_mut(entry.row);
        row.in_flight = row.in_flight.saturating_sub(1);
        row.tokens.refund(entry.tokens() as f64);
        Some(entry.offer.id)
    }

    fn refuse_late(&mut self, now_ms: u64, key: Key, actions: &mut Vec<Action>) {
        let retry_after_ms = match self.entries.get(key) {
            Some(entry) => self.flows.wait_ms(now_ms, entry.row, entry.class, 0),
            None => None,
        };
        let retry_after_ms = self.bounded(retry_after_ms.unwrap_or(0));
        if let Some(id) = self.drop_queued(now_ms, key) {
            actions.push(Action::Refuse {
                id,
                reason: RefusalReason::Deadline,
                retry_after_ms,
            });
        }
    }

    fn expire(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        while let Some((deadline_ms, key)) = self.deadlines.first().copied() {
            if deadline_ms > now_ms {
                break;
            }
            self.refuse_late(now_ms, key, actions);
        }
    }

    /// Starts a queued request if there is room, or refuses it if it would end too late. Returns
    /// whether the queue moved.
    fn try_start(
        &mut self,
        now_ms: u64,
        key: Key,
        room: &mut dyn Room,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(entry) = self.entries.get(key) else {
            return false;
        };
        let Some(first_token_ms) = room.first_token_ms(&entry.offer) else {
            return false;
        };
        let waited_ms = now_ms.saturating_sub(entry.offer.arrived_ms);
        let answer_ms = match waited_ms >= CONTENDED_WAIT_MS {
            true => self
                .answers
                .answer_ms(entry.row, entry.class, entry.offer.max_tokens),
            false => 0,
        };
        if now_ms + first_token_ms + answer_ms > entry.offer.deadline_ms {
            if now_ms + first_token_ms <= entry.offer.deadline_ms {
                let (row, class) = (entry.row, entry.class);
                self.answers.doubt(row, class);
            }
            self.refuse_late(now_ms, key, actions);
            return true;
        }
        room.taken(&entry.offer);
        actions.push(Action::Start(entry.offer.id));
        self.started(now_ms, key, first_token_ms);
        true
    }

    fn started(&mut self, now_ms: u64, key: Key, first_token_ms: u64) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.queued = false;
        entry.first_token_at_ms = now_ms + first_token_ms;
        let waiting = entry.waiting(key);
        let deadline_ms = entry.offer.deadline_ms;
        let max_tokens = entry.offer.max_tokens;
        let answer_tokens = self
            .answers
            .answer_tokens(entry.row, entry.class, max_tokens);
        let charge = Charge {
            tokens: entry.offer.prompt_tokens + answer_tokens as u64,
            waited: now_ms > entry.offer.arrived_ms,
        };
        self.flows.start(now_ms, waiting, charge);
        self.forget_times(deadline_ms, key);
        let share = self.options.aged_tokens_share;
        self.ageing.earn(charge.tokens, share);
    }

    /// Starts what there is room for in classes that share their turns.
    fn start_classes(
        &mut self,
        now_ms: u64,
        places: Range<usize>,
        room: &mut dyn Room,
        actions: &mut Vec<Action>,
    ) {
        let mut open: Vec<ClassKey> = places.map(|place| self.flows.class_at(place)).collect();
        loop {
            let first = |class: &ClassKey| Some((self.flows.first(*class)?, *class));
            let Some(((_, key), class)) = open.iter().filter_map(first).min() else {
                return;
            };
            if !self.try_start(now_ms, key, room, actions) {
                open.retain(|other| *other != class);
            }
        }
    }

    fn learn(&mut self, now_ms: u64, entry: &Entry, generated_tokens: u64) {
        let Some(seen) = entry.answer(now_ms, generated_tokens) else {
            return;
        };
        self.answers.learn(entry.row, entry.class, seen);
    }

    /// Lets aged requests of low priority start out of their turn, within their share.
    fn start_aged(&mut self, now_ms: u64, room: &mut dyn Room, actions: &mut Vec<Action>) {
        self.ageing.pass(now_ms);
        while let Some(key) = self.ageing.first() {
            let queued = self.entries.get(key).filter(|entry| entry.queued);
            if let Some(tokens) = queued.map(|entry| entry.offer.prompt_tokens) {
                if !self.ageing.has_credit() || !self.try_start(now_ms, key, room, actions) {
                    return;
                }
                self.ageing.spend(tokens);
            }
            self.ageing.drop_first();
        }
    }
}

fn refused(reason: RefusalReason, retry_after_ms: u64) -> Verdict {
    Verdict::Refused {
        reason,
        retry_after_ms,
    }
}

impl Admission for FairQueue {
    fn settings(&mut self, now_ms: u64, snapshot: &Snapshot) {
        self.rows.settings(now_ms, snapshot);
    }

    fn offer(&mut self, now_ms: u64, offer: &Offer) -> Verdict {
        let row = self.rows.find(now_ms, &offer.organisation, &offer.kind);
        let offered = self.rows.get_mut(row);
        offered.offered_requests += 1;
        offered.offered_tokens += offer.prompt_tokens + offer.max_tokens;
        let permitted = self.permit(row, offer);
        let class = permitted.and_then(|()| self.foresee(now_ms, row, offer));
        let charged = class.and_then(|class| self.charge(now_ms, row, offer).map(|()| class));
        match charged {
            Ok(class) => {
                self.enqueue(now_ms, row, class, offer);
                Verdict::Queued
            }
            Err(verdict) => verdict,
        }
    }

    fn next(&mut self, now_ms: u64, room: &mut dyn Room) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now_ms, &mut actions);
        self.start_aged(now_ms, room, &mut actions);
        let mut place = 0;
        while place < self.flows.classes() {
            let end = self.flows.turn_end(place);
            self.start_classes(now_ms, place..end, room, &mut actions);
            place = end;
        }
        actions
    }

    fn cancel(&mut self, now_ms: u64, id: RequestId) -> bool {
        let Some(key) = self.keys.get(&id).copied() else {
            return false;
        };
        let queued = self.entries.get(key).is_some_and(|entry| entry.queued);
        queued && self.drop_queued(now_ms, key).is_some()
    }

    fn finished(&mut self, now_ms: u64, id: RequestId, generated_tokens: u64) {
        let Some(key) = self.keys.remove(&id) else {
            return;
        };
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        let unused = entry.offer.max_tokens.saturating_sub(generated_tokens);
        let row = self.rows.get_mut(entry.row);
        row.in_flight = row.in_flight.saturating_sub(1);
        row.tokens.refund(unused as f64);
        self.learn(now_ms, &entry, generated_tokens);
    }

    fn demands(&mut self, now_ms: u64) -> Vec<Demand> {
        self.rows.demands(now_ms)
    }

    fn set_share(&mut self, now_ms: u64, organisation: &str, kind: &str, limits: &Limits) {
        let row = self.rows.find(now_ms, organisation, kind);
        self.rows.get_mut(row).set_share(now_ms, limits);
    }
}
