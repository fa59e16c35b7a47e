//! What a consistent read costs: from the store, and from a cache that waits for the head.

use std::sync::Arc;
use std::time::Instant;

use mgs_platform::http;
use mgs_platform::http::Client;
use mgs_settings::follow;
use mgs_settings::follow::Follower;
use mgs_settings::follow::NoPeers;
use mgs_settings::store::compact;
use mgs_settings::store::edit;
use mgs_settings::store::edit::commit;
use mgs_settings::store::edit::EDIT_CHANGES_MAX;
use mgs_settings::store::read;
use mgs_settings::store::read::Store;
use mgs_standin::platform;
use mgs_standin::platform::faults::Faults;
use mgs_standin::platform::Platform;
use serde::Serialize;

use super::race::set_row;

/// Cost of one read, on average.
#[derive(Debug, Clone, Serialize)]
pub struct Cost {
    /// Time, in milliseconds.
    pub time_ms: f64,
    /// Calls of the store.
    pub reads: f64,
    /// Bytes read from the table service and the object store.
    pub read_bytes: f64,
}

/// What was measured.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Rows of the table.
    pub rows: usize,
    /// The whole table read from the store.
    pub from_store: Cost,
    /// A cache that is up to date, after one read of the head.
    pub from_cache: Cost,
    /// A cache that is one edit behind.
    pub from_cache_behind: Cost,
}

const REPEATS: u32 = 20;

/// Edits made after the rows, so that the log is long enough to be compacted.
const EDITS: u64 = 300;

/// Measures with a table of so many rows; panics if the stand-in fails.
pub fn run(rows: usize) -> Report {
    let platform = Platform::start(platform::Options::default()).expect("a free port");
    let client = Arc::new(Client::new(http::Options {
        base_url: platform.url(),
        ..http::Options::default()
    }));
    let store = Store {
        table: client.as_ref(),
        objects: client.as_ref(),
    };
    fill(store, rows);
    let keep = compact::Options { keep_edits: 1 };
    compact::run(store, &keep).expect("the store is up");
    let options = follow::Options::default();
    let follower = Follower::new(options, client.clone(), client.clone(), Box::new(NoPeers));
    follower.poll(1, 0);
    let faults = platform.faults();
    let load = || drop(read::load(store).expect("the store is up"));
    let wait = || assert!(follower.wait_for_head().is_ok(), "the store is up");
    Report {
        rows,
        from_store: cost(faults, || {}, load),
        from_cache: cost(faults, || {}, wait),
        from_cache_behind: cost(faults, || one_edit(store), wait),
    }
}

fn fill(store: Store<'_>, rows: usize) {
    let kinds: Vec<String> = (0..rows).map(|row| format!("row-{row}")).collect();
    for chunk in kinds.chunks(EDIT_CHANGES_MAX) {
        let changes = chunk.iter().map(|kind| set_row(kind, 0)).collect();
        make(store, format!("fill-{}", chunk[0]), changes);
    }
    for _ in 0..EDITS {
        one_edit(store);
    }
}

fn one_edit(store: Store<'_>) {
    let head = read::head(store.table).expect("the store is up");
    let number = head.head.version;
    make(
        store,
        format!("edit-{number}"),
        vec![set_row("row-0", number)],
    );
}

fn make(store: Store<'_>, edit_id: String, changes: Vec<mgs_schema::settings::Change>) {
    let base = read::load(store).expect("the store is up");
    let options = edit::Options {
        edit_id,
        changes,
        ..edit::Options::default()
    };
    commit(store, &base, &options).expect("nobody races");
}

fn cost(faults: &Faults, prepare: impl Fn(), read: impl Fn()) -> Cost {
    let mut time_ms = 0.0;
    let (mut reads, mut bytes) = (0, 0);
    for _ in 0..REPEATS {
        prepare();
        let before = faults.counters();
        let begin = Instant::now();
        read();
        time_ms += begin.elapsed().as_secs_f64() * 1_000.0;
        let after = faults.counters();
        reads += after.reads - before.reads;
        bytes += after.read_bytes - before.read_bytes;
    }
    let average = |total: f64| total / f64::from(REPEATS);
    Cost {
        time_ms: average(time_ms),
        reads: average(reads as f64),
        read_bytes: average(bytes as f64),
    }
}
