//! Short calls of the engine that free memory, made by threads of their own so that nobody else
//! waits for a slow engine.

use std::collections::HashSet;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use mgs_engine::engine::Engine;
use mgs_engine::engine::Error;
use mgs_ledger::reconcile::stream_name;
use mgs_schema::key::RequestId;

use crate::state::locked;
use crate::state::Shared;

/// Threads that make the calls.
const THREADS: usize = 2;

/// Time between looks at whether the sidecar has stopped.
const LOOK_MS: u64 = 50;

/// A call that frees memory.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Call {
    /// Cancel the stream of an attempt.
    CancelStream {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: u32,
    },
    /// Cancel a stream that nobody owns.
    CancelForeign(String),
    /// Free KV that nobody owns.
    FreeKv(String),
}

/// Calls that are to be made; each once, however often it is asked for meanwhile.
pub(crate) struct Calls {
    sender: Sender<Call>,
    receiver: Receiver<Call>,
    pending: Mutex<HashSet<Call>>,
}

impl Default for Calls {
    fn default() -> Self {
        let (sender, receiver) = crossbeam::channel::unbounded();
        Self {
            sender,
            receiver,
            pending: Mutex::default(),
        }
    }
}

impl Calls {
    pub(crate) fn add(&self, call: Call) {
        if locked(&self.pending).insert(call.clone()) && self.sender.send(call).is_err() {
            unreachable!("the receiver lives as long as the sender");
        }
    }

    fn next(&self) -> Option<Call> {
        let look = Duration::from_millis(LOOK_MS);
        self.receiver.recv_timeout(look).ok()
    }
}

/// Starts the threads; none before a plain service.
pub(crate) fn spawn(shared: &Arc<Shared>) -> io::Result<Vec<JoinHandle<()>>> {
    if shared.engine().is_none() {
        return Ok(Vec::new());
    }
    let spawn_one = |_| {
        let shared = shared.clone();
        std::thread::Builder::new()
            .name("sidecar-caller".to_string())
            .spawn(move || run(&shared))
    };
    (0..THREADS).map(spawn_one).collect()
}

fn run(shared: &Arc<Shared>) {
    let Some(engine) = shared.engine() else {
        return;
    };
    while !shared.is_stopped() {
        let Some(call) = shared.calls.next() else {
            continue;
        };
        let result = make(engine, &call);
        locked(&shared.calls.pending).remove(&call);
        match result {
            Ok(()) | Err(Error::NotFound) => freed(shared, call),
            // The ledger asks again.
            Err(error) => log::debug!(error:% = error, call:? = call; "the engine freed nothing"),
        }
    }
}

fn make(engine: &dyn Engine, call: &Call) -> Result<(), Error> {
    match call {
        Call::CancelStream { id, attempt } => engine.cancel(&stream_name(*id, *attempt)),
        Call::CancelForeign(stream) => engine.cancel(stream),
        Call::FreeKv(kv) => engine.free_kv(kv),
    }
}

fn freed(shared: &Arc<Shared>, call: Call) {
    shared.tell(|ledger, now_ms| match call {
        Call::CancelStream { id, attempt } => ledger.stream_freed(now_ms, id, attempt),
        Call::CancelForeign(stream) => ledger.unowned_stream_freed(now_ms, &stream),
        Call::FreeKv(kv) => ledger.kv_freed(now_ms, &kv),
    });
}
