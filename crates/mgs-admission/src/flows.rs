//! Weighted fair queueing: one queue per row and class, served in order of virtual time.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use crate::arena::Key;
use crate::drain::DrainRate;
use crate::rows::RowKey;
use crate::rows::PRIORITY_MAX;

/// Units of virtual time per token at weight 1.
const VIRTUAL_UNITS_PER_TOKEN: u64 = 1_024;

/// Time constant of the drain rate of short prompts, in milliseconds.
const SHORT_DECAY_MS: f64 = 4_000.0;

/// Time constant for longer prompts, in milliseconds; few of them start per second.
const LONG_DECAY_MS: f64 = 30_000.0;

/// Maximum number of rows sampled to estimate the work ahead of a request; the sum is scaled up to
/// all rows.
const SAMPLED_ROWS_MAX: usize = 64;

/// Scheduling class: requests that wait for the same capacity. A request that can't start blocks
/// only those behind it in its class.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class {
    /// Priority; 0 is served first.
    pub priority: u32,
    /// Whether the prompts are longer than the limit for short prompts.
    pub is_long: bool,
    /// Name of the model or service.
    pub model: String,
    /// Length band of the prompts: 1 from the limit for long prompts on, otherwise 0.
    pub band: u32,
}

impl Class {
    fn new_drain(&self) -> DrainRate {
        DrainRate::new(if self.is_long {
            LONG_DECAY_MS
        } else {
            SHORT_DECAY_MS
        })
    }
}

/// Index of a [`Class`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassKey(pub u32);

/// Queue of one row in one class.
#[derive(Debug)]
struct Flow {
    queue: VecDeque<Key>,
    /// Weight of the row when the queue last became non-empty.
    weight: u32,
    /// Tokens of the queued requests.
    tokens: u64,
    drain: DrainRate,
}

/// Virtual time and queues of one row.
#[derive(Debug, Default)]
struct RowQueues {
    virtual_time: u64,
    /// Number of queued requests.
    queued: usize,
    /// Queues by class, searched linearly since a row has few classes.
    flows: Vec<(ClassKey, Flow)>,
}

impl RowQueues {
    fn flow(&self, class: ClassKey) -> Option<&Flow> {
        let found = self.flows.iter().find(|(key, _)| *key == class);
        found.map(|(_, flow)| flow)
    }

    fn flow_mut(&mut self, class: ClassKey) -> Option<&mut Flow> {
        let found = self.flows.iter_mut().find(|(key, _)| *key == class);
        found.map(|(_, flow)| flow)
    }
}

/// Rows with queued requests in one class, and the drain rate of the class.
#[derive(Debug, Clone)]
struct ClassState {
    /// Rows with queued requests, ordered by virtual time.
    rows: BTreeSet<(u64, RowKey)>,
    drain: DrainRate,
}

/// The queues of all rows and classes.
#[derive(Debug, Default)]
pub struct Flows {
    classes: Vec<Class>,
    class_keys: HashMap<Class, ClassKey>,
    /// All classes, in the order of service.
    service_order: Vec<ClassKey>,
    class_states: Vec<ClassState>,
    queues_by_row: Vec<RowQueues>,
    /// Highest virtual time of a start, by priority.
    virtual_now: [u64; PRIORITY_MAX as usize + 1],
    queued: usize,
}

impl Flows {
    /// Returns the key of a class, which is added if it is new.
    pub fn class(&mut self, class: Class) -> ClassKey {
        if let Some(key) = self.class_keys.get(&class) {
            return *key;
        }
        let key = ClassKey(self.classes.len() as u32);
        let classes = &self.classes;
        let index = self
            .service_order
            .partition_point(|k| classes[k.0 as usize] < class);
        self.service_order.insert(index, key);
        self.class_keys.insert(class.clone(), key);
        self.class_states.push(ClassState {
            rows: BTreeSet::new(),
            drain: class.new_drain(),
        });
        self.classes.push(class);
        key
    }

    /// Number of classes in the service order.
    pub fn classes(&self) -> usize {
        self.service_order.len()
    }

    /// The class at an index of the service order, which sorts by priority, short before longer
    /// prompts, model and length band.
    pub fn class_at(&self, index: usize) -> ClassKey {
        self.service_order[index]
    }

    /// End index of the group of classes that starts at `index`. A group has the same priority,
    /// model and `is_long`, and its length bands are served together in order of virtual time. The
    /// class of short prompts forms a group by itself.
    pub fn group_end(&self, index: usize) -> usize {
        let class = |index: usize| &self.classes[self.service_order[index].0 as usize];
        let first = class(index);
        let shares = |other: &Class| {
            (first.priority, first.is_long, &first.model)
                == (other.priority, other.is_long, &other.model)
        };
        let rest = index..self.service_order.len();
        rest.take_while(|p| shares(class(*p))).count() + index
    }

    /// Number of queued requests in total.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Number of queued requests of one row in one class.
    pub fn queued_in_flow(&self, row: RowKey, class: ClassKey) -> usize {
        self.flow(row, class).map_or(0, |flow| flow.queue.len())
    }

    /// Predicted time until one flow has drained, including `extra_tokens` more, in milliseconds;
    /// `None` without enough observations.
    ///
    /// Returns the shorter of two estimates. One uses the drain rate of the flow; the other uses
    /// the drain rate of its class and the tokens that fair queueing serves first. The flow's own
    /// rate alone overestimates the wait of flows with few large requests, which rarely move.
    pub fn wait_ms(
        &mut self,
        now_ms: u64,
        row: RowKey,
        class: ClassKey,
        extra_tokens: u64,
    ) -> Option<u64> {
        let row_queues = self.queues_by_row.get_mut(row.0 as usize)?;
        let flow = row_queues.flow_mut(class)?;
        let state = &mut self.class_states[class.0 as usize];
        flow.drain.advance(now_ms, !flow.queue.is_empty());
        state.drain.advance(now_ms, !state.rows.is_empty());
        let tokens = (flow.tokens + extra_tokens) as f64;
        let flow_wait_ms = flow.drain.drain_time_ms(tokens, extra_tokens as f64)?;
        let tokens_per_weight = tokens / f64::from(flow.weight.max(1));
        let drain = self.class_states[class.0 as usize].drain;
        let tokens_ahead = self.tokens_ahead(row, class, tokens_per_weight);
        let class_wait_ms = drain.drain_time_ms(tokens + tokens_ahead, extra_tokens as f64)?;
        Some(flow_wait_ms.min(class_wait_ms))
    }

    /// Tokens of other rows that are served before a row has been served `tokens_per_weight` tokens
    /// per unit of its weight. Each row counts with at most `tokens_per_weight` times its weight, and
    /// with at most its queued tokens.
    fn tokens_ahead(&self, row: RowKey, class: ClassKey, tokens_per_weight: f64) -> f64 {
        let rows = &self.class_states[class.0 as usize].rows;
        let others = rows.iter().map(|(_, other)| *other).filter(|o| *o != row);
        let mut sum = 0.0;
        for other in others.take(SAMPLED_ROWS_MAX) {
            if let Some(flow) = self.flow(other, class) {
                sum += (flow.tokens as f64).min(tokens_per_weight * f64::from(flow.weight));
            }
        }
        sum * f64::max(1.0, rows.len() as f64 / SAMPLED_ROWS_MAX as f64)
    }

    /// Appends a request to its flow.
    pub fn push(&mut self, now_ms: u64, request: QueuedRequest) {
        let QueuedRequest { row, class, .. } = request;
        let priority = self.classes[class.0 as usize].priority as usize;
        while self.queues_by_row.len() <= row.0 as usize {
            self.queues_by_row.push(RowQueues::default());
        }
        let row_queues = &mut self.queues_by_row[row.0 as usize];
        let state = &mut self.class_states[class.0 as usize];
        if row_queues.queued == 0 {
            row_queues.virtual_time = row_queues.virtual_time.max(self.virtual_now[priority]);
        }
        if row_queues.flow(class).is_none() {
            let flow = Flow {
                queue: VecDeque::new(),
                weight: 0,
                tokens: 0,
                drain: self.classes[class.0 as usize].new_drain(),
            };
            row_queues.flows.push((class, flow));
        }
        let virtual_time = row_queues.virtual_time;
        let Some(flow) = row_queues.flow_mut(class) else {
            unreachable!("the flow was inserted above");
        };
        flow.drain.advance(now_ms, !flow.queue.is_empty());
        state.drain.advance(now_ms, !state.rows.is_empty());
        if flow.queue.is_empty() {
            flow.weight = request.weight;
            state.rows.insert((virtual_time, row));
        }
        flow.queue.push_back(request.entry);
        flow.tokens += request.tokens;
        row_queues.queued += 1;
        self.queued += 1;
    }

    /// The oldest request of the row with the lowest virtual time in a class, and that virtual
    /// time.
    pub fn next_request(&self, class: ClassKey) -> Option<(u64, Key)> {
        let (virtual_time, row) = *self.class_states[class.0 as usize].rows.first()?;
        let flow = self.flow(row, class)?;
        Some((virtual_time, *flow.queue.front()?))
    }

    /// Removes a request from its flow without charging the row.
    pub fn remove(&mut self, now_ms: u64, request: QueuedRequest) {
        let QueuedRequest { row, class, .. } = request;
        let Some(row_queues) = self.queues_by_row.get_mut(row.0 as usize) else {
            return;
        };
        let virtual_time = row_queues.virtual_time;
        let Some(flow) = row_queues.flow_mut(class) else {
            return;
        };
        let Some(index) = flow.queue.iter().position(|key| *key == request.entry) else {
            return;
        };
        let state = &mut self.class_states[class.0 as usize];
        flow.drain.advance(now_ms, true);
        state.drain.advance(now_ms, true);
        flow.queue.remove(index);
        flow.tokens = flow.tokens.saturating_sub(request.tokens);
        if flow.queue.is_empty() {
            state.rows.remove(&(virtual_time, row));
        }
        row_queues.queued -= 1;
        self.queued -= 1;
    }

    /// Removes a request that starts and advances the virtual time of its row by the charged tokens
    /// divided by the row's weight.
    pub fn start(&mut self, now_ms: u64, request: QueuedRequest, charge: Charge) {
        self.remove(now_ms, request);
        let QueuedRequest { row, class, .. } = request;
        let priority = self.classes[class.0 as usize].priority as usize;
        let row_queues = &mut self.queues_by_row[row.0 as usize];
        if charge.waited {
            let state = &mut self.class_states[class.0 as usize];
            state.drain.record_departure(request.tokens as f64);
            if let Some(flow) = row_queues.flow_mut(class) {
                flow.drain.record_departure(request.tokens as f64);
            }
        }
        self.virtual_now[priority] = self.virtual_now[priority].max(row_queues.virtual_time);
        let old_virtual_time = row_queues.virtual_time;
        let units = charge.tokens.saturating_mul(VIRTUAL_UNITS_PER_TOKEN);
        row_queues.virtual_time = row_queues
            .virtual_time
            .saturating_add(units / u64::from(request.weight));
        for (other, flow) in &row_queues.flows {
            if !flow.queue.is_empty() {
                let rows = &mut self.class_states[other.0 as usize].rows;
                rows.remove(&(old_virtual_time, row));
                rows.insert((row_queues.virtual_time, row));
            }
        }
    }

    fn flow(&self, row: RowKey, class: ClassKey) -> Option<&Flow> {
        self.queues_by_row.get(row.0 as usize)?.flow(class)
    }
}

/// A queued request as passed to [`Flows`].
#[derive(Debug, Clone, Copy)]
pub struct QueuedRequest {
    /// Row of the request.
    pub row: RowKey,
    /// Scheduling class of the request.
    pub class: ClassKey,
    /// Key of the request in the arena.
    pub entry: Key,
    /// Tokens of the prompt and the maximum number of generated tokens.
    pub tokens: u64,
    /// Weight of the row when the request was queued, at least 1.
    pub weight: u32,
}

/// Charge for the start of a request.
#[derive(Debug, Clone, Copy)]
pub struct Charge {
    /// Tokens charged to the row.
    pub tokens: u64,
    /// Whether the request had waited; only such a start is counted in the drain rate.
    pub waited: bool,
}
