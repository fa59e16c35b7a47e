//! Sees whether the endpoint is there, and reads the engine's lists and cache events.

use std::net::TcpStream;
use std::net::ToSocketAddrs;
use std::sync::Arc;
use std::time::Duration;

use mgs_engine::engine::Engine;
use mgs_engine::engine::Error;
use mgs_engine::message::Info;
use mgs_ledger::cache::Change;
use mgs_ledger::reconcile::EngineEntry;

use crate::service::Client;
use crate::state::locked;
use crate::state::Endpoint;
use crate::state::Shared;

/// Looks that must fail one after another before the endpoint counts as down.
const FAILURES_MAX: u32 = 2;

/// The watcher's memory between looks.
#[derive(Default)]
pub(crate) struct Watcher {
    failures: u32,
    boot: u64,
    reconciled_ms: Option<u64>,
}

impl Watcher {
    /// Looks at intervals until the sidecar stops.
    pub(crate) fn run(mut self, shared: &Arc<Shared>) {
        let pause = Duration::from_millis(shared.options.endpoint_poll_ms);
        while !shared.is_stopped() {
            std::thread::sleep(pause);
            self.look(shared);
        }
    }

    /// Looks once.
    pub(crate) fn look(&mut self, shared: &Arc<Shared>) {
        let seen = match &shared.endpoint {
            Endpoint::Engine(engine) => self.look_at_engine(shared, engine.as_ref()),
            Endpoint::Service(client) => look_at_service(shared, client),
        };
        match seen {
            Ok(()) => self.failures = 0,
            Err(error) => self.fail(shared, &error),
        }
    }

    fn fail(&mut self, shared: &Arc<Shared>, error: &Error) {
        self.failures += 1;
        if self.failures != FAILURES_MAX {
            return;
        }
        log::warn!(endpoint = shared.options.name, error:% = error; "the endpoint is down");
        shared.tell(|ledger, now_ms| ledger.engine_down(now_ms));
        shared.reporter.push(shared);
    }

    fn look_at_engine(&mut self, shared: &Arc<Shared>, engine: &dyn Engine) -> Result<(), Error> {
        let info = engine.info()?;
        self.note_info(shared, info);
        let due = self
            .reconciled_ms
            .is_none_or(|at_ms| shared.now_ms() >= at_ms + shared.options.reconcile_ms);
        if due {
            reconcile(shared, engine)?;
            self.reconciled_ms = Some(shared.now_ms());
        }
        read_cache_events(shared, engine)
    }

    fn note_info(&mut self, shared: &Arc<Shared>, info: Info) {
        if self.boot != info.boot {
            if self.boot != 0 {
                log::warn!(endpoint = shared.options.name; "the engine was started again");
            }
            self.boot = info.boot;
            self.reconciled_ms = None;
            locked(&shared.cache).restart();
        }
        let (boot, capacity, streams) = (info.boot, info.kv_capacity_tokens, info.streams_max);
        shared.info.store(Arc::new(info));
        came_up(shared, boot, capacity, streams);
    }
}

/// Tells the ledger that the endpoint answered, and the gateways if that is news.
fn came_up(shared: &Arc<Shared>, boot: u64, capacity_tokens: u64, streams_max: u32) {
    let was_down = shared.tell(|ledger, now_ms| {
        let was_down = ledger.is_down();
        ledger.engine_up(now_ms, boot, capacity_tokens, streams_max as usize);
        was_down
    });
    if was_down {
        log::info!(endpoint = shared.options.name; "the endpoint is up");
        shared.reporter.push(shared);
    }
}

fn reconcile(shared: &Arc<Shared>, engine: &dyn Engine) -> Result<(), Error> {
    let streams: Vec<EngineEntry> = engine
        .streams()?
        .into_iter()
        .map(|stream| EngineEntry {
            name: stream.stream,
            tokens: if stream.finished { 0 } else { stream.kv_tokens },
            finished: stream.finished,
        })
        .collect();
    let kv: Vec<EngineEntry> = engine
        .kv()?
        .into_iter()
        .map(|kv| EngineEntry {
            name: kv.kv,
            tokens: kv.kv_tokens,
            finished: false,
        })
        .collect();
    shared.tell(|ledger, now_ms| ledger.reconcile(now_ms, &streams, &kv));
    Ok(())
}

fn read_cache_events(shared: &Shared, engine: &dyn Engine) -> Result<(), Error> {
    let seen = locked(&shared.cache).seen();
    let events = engine.cache_events(seen)?.events;
    let changes: Vec<Change> = events
        .iter()
        .map(|event| Change {
            number: event.number,
            block: event.block,
            cached: event.cached,
        })
        .collect();
    locked(&shared.cache).apply(&changes);
    Ok(())
}

/// A plain service has no call of its own for this: whoever accepts a connection is there.
fn look_at_service(shared: &Arc<Shared>, client: &Client) -> Result<(), Error> {
    let limit = Duration::from_millis(client.options().connect_timeout_ms);
    let unreachable = |error: String| Error::Unreachable(error);
    let address = client
        .authority()
        .to_socket_addrs()
        .map_err(|error| unreachable(error.to_string()))?
        .next()
        .ok_or_else(|| unreachable("no address".to_string()))?;
    TcpStream::connect_timeout(&address, limit).map_err(|error| unreachable(error.to_string()))?;
    came_up(shared, 1, 0, 0);
    Ok(())
}
