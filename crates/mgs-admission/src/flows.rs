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

/// Time over which the movement of short prompts is remembered, in milliseconds.
const SHORT_MEMORY_MS: f64 = 4_000.0;

/// The same for others, of which few start in a second.
const LONG_MEMORY_MS: f64 = 30_000.0;

/// Rows that are looked at to see what is ahead of a request; more are taken to be like them.
const SAMPLE_ROWS: usize = 64;

/// Requests that wait for the same room: one blocks those behind it and no others.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class {
    /// Priority; 0 is served first.
    pub priority: u32,
    /// Whether its prompts are longer than short ones.
    pub is_long: bool,
    /// Model or service.
    pub model: String,
    /// Band of prompt length among the long ones.
    pub band: u32,
}

impl Class {
    fn new_drain(&self) -> Drain {
        Drain::new(if self.is_long {
            LONG_MEMORY_MS
        } else {
            SHORT_MEMORY_MS
        })
    }
}

/// Key of a [`Class`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassKey(pub u32);

/// The queue of one row in one class.
#[derive(Debug)]
struct Flow {
    queue: VecDeque<Key>,
    /// Weight with which it counts in its class while it isn't empty.
    weight: u32,
    tokens: u64,
    drain: Drain,
}

/// A row's place in virtual time.
#[derive(Debug, Default)]
struct Turn {
    at: u64,
    /// Requests that wait.
    queued: usize,
    /// Its queues; a row has few classes.
    flows: Vec<(ClassKey, Flow)>,
}

impl Turn {
    fn flow(&self, class: ClassKey) -> Option<&Flow> {
        let found = self.flows.iter().find(|(key, _)| *key == class);
        found.map(|(_, flow)| flow)
    }

    fn flow_mut(&mut self, class: ClassKey) -> Option<&mut Flow> {
        let found = self.flows.iter_mut().find(|(key, _)| *key == class);
        found.map(|(_, flow)| flow)
    }
}

/// What waits in one class.
#[derive(Debug, Clone)]
struct Active {
    /// Rows that wait, by their place in virtual time.
    rows: BTreeSet<(u64, RowKey)>,
    drain: Drain,
}

/// All queues.
#[derive(Debug, Default)]
pub struct Flows {
    classes: Vec<Class>,
    keys: HashMap<Class, ClassKey>,
    order: Vec<ClassKey>,
    active: Vec<Active>,
    turns: Vec<Turn>,
    /// Virtual time of the last start, by priority.
    now: [u64; PRIORITY_MAX as usize + 1],
    queued: usize,
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
        self.active.push(Active {
            rows: BTreeSet::new(),
            drain: class.new_drain(),
        });
        self.classes.push(class);
        key
    }

    /// Count of classes; each place in the order of service holds one.
    pub fn classes(&self) -> usize {
        self.order.len()
    }

    /// The class at a place in the order of service: by priority, short prompts before the rest,
    /// then by model and length.
    pub fn class_at(&self, place: usize) -> ClassKey {
        self.order[place]
    }

    /// The end of the classes that share their turns with the one at `place`: other lengths of the
    /// same model and priority. Short prompts share with none.
    pub fn turn_end(&self, place: usize) -> usize {
        let class = |place: usize| &self.classes[self.order[place].0 as usize];
        let first = class(place);
        let shares = |other: &Class| {
            (first.priority, first.is_long, &first.model)
                == (other.priority, other.is_long, &other.model)
        };
        let rest = place..self.order.len();
        rest.take_while(|p| shares(class(*p))).count() + place
    }

    /// Requests queued in all.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Requests queued in one flow.
    pub fn queued_in(&self, row: RowKey, class: ClassKey) -> usize {
        self.flow(row, class).map_or(0, |flow| flow.queue.len())
    }

    /// Time until all that waits in one flow, and `more` tokens, have left it, in milliseconds;
    /// `None` while too little was seen.
    ///
    /// Two estimates are made: from how fast the flow has been moving, and from how fast its class
    /// has been moving and what is ahead of the request in the order of fair queueing. The shorter
    /// one counts, since a flow of few and large requests stands still most of the time.
    pub fn wait_ms(&mut self, now_ms: u64, row: RowKey, class: ClassKey, more: u64) -> Option<u64> {
        let turn = self.turns.get_mut(row.0 as usize)?;
        let flow = turn.flow_mut(class)?;
        let active = &mut self.active[class.0 as usize];
        flow.drain.pass(now_ms, !flow.queue.is_empty());
        active.drain.pass(now_ms, !active.rows.is_empty());
        let tokens = (flow.tokens + more) as f64;
        let own_ms = flow.drain.time_ms(tokens, more as f64)?;
        let per_weight = tokens / f64::from(flow.weight.max(1));
        let drain = self.active[class.0 as usize].drain;
        let ahead = self.ahead(row, class, per_weight);
        let shared_ms = drain.time_ms(tokens + ahead, more as f64)?;
        Some(own_ms.min(shared_ms))
    }

    /// Tokens of other rows that start before a row has started `per_weight` tokens for each unit
    /// of its weight: of each row no more than that, and no more than it has waiting.
    fn ahead(&self, row: RowKey, class: ClassKey, per_weight: f64) -> f64 {
        let rows = &self.active[class.0 as usize].rows;
        let others = rows.iter().map(|(_, other)| *other).filter(|o| *o != row);
        let mut sum = 0.0;
        for other in others.take(SAMPLE_ROWS) {
            if let Some(flow) = self.flow(other, class) {
                sum += (flow.tokens as f64).min(per_weight * f64::from(flow.weight));
            }
        }
        sum * f64::max(1.0, rows.len() as f64 / SAMPLE_ROWS as f64)
    }

    /// Appends a request.
    pub fn push(&mut self, now_ms: u64, waiting: Waiting) {
        let Waiting { row, class, .. } = waiting;
        let priority = self.classes[class.0 as usize].priority as usize;
        while self.turns.len() <= row.0 as usize {
            self.turns.push(Turn::default());
        }
        let turn = &mut self.turns[row.0 as usize];
        let active = &mut self.active[class.0 as usize];
        if turn.queued == 0 {
            turn.at = turn.at.max(self.now[priority]);
        }
        if turn.flow(class).is_none() {
            let flow = Flow {
                queue: VecDeque::new(),
                weight: 0,
                tokens: 0,
                drain: self.classes[class.0 as usize].new_drain(),
            };
            turn.flows.push((class, flow));
        }
        let at = turn.at;
        let Some(flow) = turn.flow_mut(class) else {
            unreachable!("it was made just now");
        };
        flow.drain.pass(now_ms, !flow.queue.is_empty());
        active.drain.pass(now_ms, !active.rows.is_empty());
        if flow.queue.is_empty() {
            flow.weight = waiting.weight;
            active.rows.insert((at, row));
        }
        flow.queue.push_back(waiting.entry);
        flow.tokens += waiting.tokens;
        turn.queued += 1;
        self.queued += 1;
    }

    /// The oldest request of the row whose turn it is in a class, and that row's virtual time.
    pub fn first(&self, class: ClassKey) -> Option<(u64, Key)> {
        let (at, row) = *self.active[class.0 as usize].rows.first()?;
        let flow = self.flow(row, class)?;
        Some((at, *flow.queue.front()?))
    }

    /// Takes a request out of its flow without charging the row.
    pub fn remove(&mut self, now_ms: u64, waiting: Waiting) {
        let Waiting { row, class, .. } = waiting;
        let Some(turn) = self.turns.get_mut(row.0 as usize) else {
            return;
        };
        let at = turn.at;
        let Some(flow) = turn.flow_mut(class) else {
            return;
        };
        let Some(place) = flow.queue.iter().position(|key| *key == waiting.entry) else {
            return;
        };
        let active = &mut self.active[class.0 as usize];
        flow.drain.pass(now_ms, true);
        active.drain.pass(now_ms, true);
        flow.queue.remove(place);
        flow.tokens = flow.tokens.saturating_sub(waiting.tokens);
        if flow.queue.is_empty() {
            active.rows.remove(&(at, row));
        }
        turn.queued -= 1;
        self.queued -= 1;
    }

    /// Takes a request out because it starts: its row is charged by its weight.
    pub fn start(&mut self, now_ms: u64, waiting: Waiting, charge: Charge) {
        self.remove(now_ms, waiting);
        let Waiting { row, class, .. } = waiting;
        let priority = self.classes[class.0 as usize].priority as usize;
        let turn = &mut self.turns[row.0 as usize];
        if charge.waited {
            let active = &mut self.active[class.0 as usize];
            active.drain.left(waiting.tokens as f64);
            if let Some(flow) = turn.flow_mut(class) {
                flow.drain.left(waiting.tokens as f64);
            }
        }
        self.now[priority] = self.now[priority].max(turn.at);
        let before = turn.at;
        let units = charge.tokens.saturating_mul(UNITS_PER_TOKEN);
        turn.at = turn.at.saturating_add(units / u64::from(waiting.weight));
        for (other, flow) in &turn.flows {
            if !flow.queue.is_empty() {
                let active = &mut self.active[other.0 as usize].rows;
                active.remove(&(before, row));
                active.insert((turn.at, row));
            }
        }
    }

    fn flow(&self, row: RowKey, class: ClassKey) -> Option<&Flow> {
        self.turns.get(row.0 as usize)?.flow(class)
    }
}

/// A queued request as its flow knows it.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    /// Its row.
    pub row: RowKey,
    /// Its class.
    pub class: ClassKey,
    /// The request.
    pub entry: Key,
    /// Tokens of prompt and longest answer.
    pub tokens: u64,
    /// Weight of the row when it was queued, 1 or more.
    pub weight: u32,
}

/// What a start costs its row.
#[derive(Debug, Clone, Copy)]
pub struct Charge {
    /// Tokens to be paid for.
    pub tokens: u64,
    /// Whether the request had waited, so that its start says how fast the queue moves.
    pub waited: bool,
}
