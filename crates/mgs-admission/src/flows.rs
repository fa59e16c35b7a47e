//! Queues by row and class, in the order of fair queueing.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use crate::arena::Key;
use crate::drain::Drain;
use crate::rows::RowKey;
use crate::rows::PRIORITY_MAX;

/// Units of virtual time for one token at weight 1.
const UNITS_PER_TOKEN: u64 = 1_024;

/// Requests that wait for the same room: one blocks those behind it and no others.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class {
    /// Priority; 0 is served first.
    pub priority: u32,
    /// Band of prompt length, 0 for the shortest.
    pub band: u32,
    /// Model or service.
    pub model: String,
}

/// Key of a [`Class`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassKey(pub u32);

/// The queue of one row in one class.
#[derive(Debug, Default)]
struct Flow {
    queue: VecDeque<Key>,
    tokens: u64,
    drain: Drain,
}

/// A row's place in virtual time.
#[derive(Debug, Default)]
struct Turn {
    at: u64,
    flows: HashMap<ClassKey, Flow>,
}

/// All queues.
#[derive(Debug)]
pub struct Flows {
    classes: Vec<Class>,
    keys: HashMap<Class, ClassKey>,
    order: Vec<ClassKey>,
    active: Vec<BTreeSet<(u64, RowKey)>>,
    turns: Vec<Turn>,
    now: [u64; PRIORITY_MAX as usize + 1],
    queued: usize,
}

impl Default for Flows {
    fn default() -> Self {
        Self {
            classes: Vec::new(),
            keys: HashMap::new(),
            order: Vec::new(),
            active: Vec::new(),
            turns: Vec::new(),
            now: [0; PRIORITY_MAX as usize + 1],
            queued: 0,
        }
    }
}

impl Flows {
    /// The key of a class, made if it is new.
    pub fn class(&mut self, class: Class) -> ClassKey {
        if let Some(key) = self.keys.get(&class) {
            return *key;
        }
        let key = ClassKey(self.classes.len() as u32);
        let classes = &self.classes;
        let place = self
            .order
            .partition_point(|k| classes[k.0 as usize] < class);
        self.order.insert(place, key);
        self.keys.insert(class.clone(), key);
        self.classes.push(class);
        self.active.push(BTreeSet::new());
        key
    }

    /// Count of classes; each place in the order of service holds one.
    pub fn classes(&self) -> usize {
        self.order.len()
    }

    /// The class at a place in the order of service: by priority, then the shorter prompts.
    pub fn class_at(&self, place: usize) -> ClassKey {
        self.order[place]
    }

    /// Requests queued in all.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Requests queued in one flow.
    pub fn queued_in(&self, row: RowKey, class: ClassKey) -> usize {
        self.flow(row, class).map_or(0, |flow| flow.queue.len())
    }

    /// Time until `tokens` more would leave one flow, as it has been moving, in milliseconds.
    pub fn wait_ms(&mut self, now_ms: u64, row: RowKey, class: ClassKey) -> Option<u64> {
        let flow = self.flow_mut(row, class)?;
        let busy = !flow.queue.is_empty();
        flow.drain.pass(now_ms, busy);
        flow.drain.time_ms(flow.tokens as f64)
    }

    /// Appends a request of so many tokens.
    pub fn push(&mut self, now_ms: u64, row: RowKey, class: ClassKey, entry: Key, tokens: u64) {
        let priority = self.classes[class.0 as usize].priority as usize;
        while self.turns.len() <= row.0 as usize {
            self.turns.push(Turn::default());
        }
        let turn = &mut self.turns[row.0 as usize];
        let was_idle = turn.flows.values().all(|flow| flow.queue.is_empty());
        if was_idle {
            turn.at = turn.at.max(self.now[priority]);
        }
        let flow = turn.flows.entry(class).or_default();
        flow.drain.pass(now_ms, !flow.queue.is_empty());
        flow.queue.push_back(entry);
        flow.tokens += tokens;
        self.active[class.0 as usize].insert((turn.at, row));
        self.queued += 1;
    }

    /// The row whose turn it is in a class, and its oldest request.
    pub fn first(&self, class: ClassKey) -> Option<(RowKey, Key)> {
        let (_, row) = *self.active[class.0 as usize].first()?;
        let flow = self.flow(row, class)?;
        Some((row, *flow.queue.front()?))
    }

    /// Takes a request out of its flow without charging the row.
    pub fn remove(&mut self, now_ms: u64, row: RowKey, class: ClassKey, entry: Key, tokens: u64) {
        let Some(turn) = self.turns.get_mut(row.0 as usize) else {
            return;
        };
        let at = turn.at;
        let Some(flow) = turn.flows.get_mut(&class) else {
            return;
        };
        let Some(place) = flow.queue.iter().position(|key| *key == entry) else {
            return;
        };
        flow.drain.pass(now_ms, true);
        flow.queue.remove(place);
        flow.tokens = flow.tokens.saturating_sub(tokens);
        if flow.queue.is_empty() {
            self.active[class.0 as usize].remove(&(at, row));
        }
        self.queued -= 1;
    }

    /// Takes a request out because it starts: its row is charged `cost` tokens by its weight.
    pub fn start(
        &mut self,
        now_ms: u64,
        row: RowKey,
        class: ClassKey,
        entry: Key,
        tokens: u64,
        charge: Charge,
    ) {
        self.remove(now_ms, row, class, entry, tokens);
        let turn = &mut self.turns[row.0 as usize];
        if charge.waited {
            if let Some(flow) = turn.flows.get_mut(&class) {
                flow.drain.left(tokens as f64);
            }
        }
        let priority = self.classes[class.0 as usize].priority as usize;
        self.now[priority] = self.now[priority].max(turn.at);
        let before = turn.at;
        let units = charge.tokens.saturating_mul(UNITS_PER_TOKEN);
        turn.at = turn.at.saturating_add(units / u64::from(charge.weight));
        for (other, flow) in &turn.flows {
            if !flow.queue.is_empty() {
                let active = &mut self.active[other.0 as usize];
                active.remove(&(before, row));
                active.insert((turn.at, row));
            }
        }
    }

    fn flow(&self, row: RowKey, class: ClassKey) -> Option<&Flow> {
        self.turns.get(row.0 as usize)?.flows.get(&class)
    }

    fn flow_mut(&mut self, row: RowKey, class: ClassKey) -> Option<&mut Flow> {
        self.turns.get_mut(row.0 as usize)?.flows.get_mut(&class)
    }
}

/// What a start costs its row.
#[derive(Debug, Clone, Copy)]
pub struct Charge {
    /// Tokens to be paid for.
    pub tokens: u64,
    /// Weight of the row.
    pub weight: u32,
    /// Whether the request had waited, so that its start says how fast the queue moves.
    pub waited: bool,
}
