//! What an engine has ever run and been ordered, for tests; a crash doesn't forget it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use mgs_engine::message::Order;
use serde::Serialize;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The whole answer was generated.
    Whole,
    /// It was cancelled.
    Cancelled,
    /// The engine crashed.
    Crashed,
}

/// One run of a stream: its prefill began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    /// Identifier of the stream.
    pub stream: String,
    /// The prompt, cut to the option `prompt_kept_bytes`.
    pub prompt: String,
    /// Names the whole prompt.
    pub prompt_hash: u64,
    /// When the stream was accepted.
    pub accepted: Instant,
    /// When its prefill began.
    pub started: Instant,
    /// When it ended.
    pub ended: Option<Instant>,
    /// How it ended.
    pub end: Option<RunEnd>,
}

/// One order as the engine met it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderSeen {
    /// The order.
    pub order: Order,
    /// When it came.
    pub at: Instant,
    /// Whether it took effect.
    pub obeyed: bool,
}

/// A run in the list of `GET /control/executions`; times count from the engine's start.
#[derive(Debug, Clone, Serialize)]
pub(super) struct ExecutionLine {
    stream: String,
    prompt: String,
    accepted_ms: u64,
    started_ms: u64,
    ended_ms: Option<u64>,
    end: Option<RunEnd>,
}

/// An order in the list of `GET /control/orders`; times count from the engine's start.
#[derive(Debug, Clone, Serialize)]
pub(super) struct OrderLine {
    order: Order,
    at_ms: u64,
    obeyed: bool,
}

/// The place of a run in the journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ExecutionKey(usize);

/// Runs and orders in the order in which they came.
#[derive(Debug)]
pub(super) struct Journal {
    born: Instant,
    executions: Mutex<Vec<Execution>>,
    orders: Mutex<Vec<OrderSeen>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}

impl Journal {
    /// An empty journal.
    pub(super) fn new() -> Self {
        Self {
            born: Instant::now(),
            executions: Mutex::default(),
            orders: Mutex::default(),
        }
    }

    /// Notes that a run began.
    pub(super) fn begin(&self, execution: Execution) -> ExecutionKey {
        let mut executions = lock(&self.executions);
        executions.push(execution);
        ExecutionKey(executions.len() - 1)
    }

    /// Notes how a run ended.
    pub(super) fn end(&self, key: ExecutionKey, end: RunEnd) {
        let execution = &mut lock(&self.executions)[key.0];
        execution.ended = Some(Instant::now());
        execution.end = Some(end);
    }

    /// Notes an order.
    pub(super) fn order(&self, order: &Order, obeyed: bool) {
        lock(&self.orders).push(OrderSeen {
            order: order.clone(),
            at: Instant::now(),
            obeyed,
        });
    }

    /// All runs.
    pub(super) fn executions(&self) -> Vec<Execution> {
        lock(&self.executions).clone()
    }

    /// All orders.
    pub(super) fn orders(&self) -> Vec<OrderSeen> {
        lock(&self.orders).clone()
    }

    /// All runs, for another process.
    pub(super) fn execution_lines(&self) -> Vec<ExecutionLine> {
        let line = |execution: &Execution| ExecutionLine {
            stream: execution.stream.clone(),
            prompt: execution.prompt.clone(),
            accepted_ms: self.ms(execution.accepted),
            started_ms: self.ms(execution.started),
            ended_ms: execution.ended.map(|ended| self.ms(ended)),
            end: execution.end,
        };
        lock(&self.executions).iter().map(line).collect()
    }

    /// All orders, for another process.
    pub(super) fn order_lines(&self) -> Vec<OrderLine> {
        let line = |seen: &OrderSeen| OrderLine {
            order: seen.order.clone(),
            at_ms: self.ms(seen.at),
            obeyed: seen.obeyed,
        };
        lock(&self.orders).iter().map(line).collect()
    }

    fn ms(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.born).as_millis() as u64
    }
}
