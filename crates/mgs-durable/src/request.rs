//! Durable requests: submitted once, found by any gateway, answered when asked.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mgs_platform::object::Objects;
use mgs_platform::table::Row;
use mgs_platform::table::Table;
use mgs_platform::table::Txn;
use mgs_platform::table::TxnOutcome;
use mgs_platform::table::PAGE_ROWS_MAX;
use mgs_platform::Error;
use mgs_schema::name::Name;
use mgs_schema::wire::RefusalReason;

use crate::batch::Written;
use crate::claim::entry;
use crate::claim::Asked;
use crate::core::lock;
use crate::core::Core;
use crate::entry::async_key;
use crate::entry::body_key;
use crate::entry::claim_key;
use crate::entry::id_of;
use crate::entry::is_id;
use crate::entry::key_id;
use crate::entry::Body;
use crate::entry::Done;
use crate::entry::Ending;
use crate::entry::Entry;
use crate::entry::State;
use crate::entry::ASYNC_PREFIX;
use crate::executor::Answer;
use crate::executor::Work;
use crate::pursuit;
use crate::pursuit::Action;
use crate::pursuit::Event;
use crate::pursuit::Pursuit;

/// When a caller should come back while the store is out, in milliseconds.
const OUTAGE_RETRY_MS: u64 = 5_000;

/// When a caller whose earlier request is under way should come back, in milliseconds.
const BUSY_RETRY_MS: u64 = 1_000;

/// Longest wait for an earlier submission of the same key, in milliseconds.
const SUBMITTING_WAIT_MS: u64 = 5_000;

/// Wait before the earlier submission is looked at again.
const SUBMITTING_LOOK: Duration = Duration::from_millis(50);

/// Tries of a cancellation that meets other writes of its row.
const CANCEL_TRIES: usize = 8;

/// What becomes of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Submitted {
    /// It is kept under this identifier: 202.
    Accepted(String),
    /// Its key was used by a request that has ended; this is its answer.
    Replay(Answer),
    /// Refused, and it will not run.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back, in milliseconds; 0 if never.
        retry_after_ms: u64,
    },
    /// It may be kept under this identifier; the caller can look there.
    Unsure(String),
    /// An earlier request of this key is under way, and may run: 409, come back.
    Busy {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}

impl Submitted {
    fn outage() -> Self {
        Submitted::Refused {
            reason: RefusalReason::StoreUnavailable,
            retry_after_ms: OUTAGE_RETRY_MS,
        }
    }

    fn busy() -> Self {
        Submitted::Busy {
            retry_after_ms: BUSY_RETRY_MS,
        }
    }

    fn conflict() -> Self {
        Submitted::Refused {
            reason: RefusalReason::KeyConflict,
            retry_after_ms: 0,
        }
    }
}

/// A submission that was kept, and the pursuit of its entry if this gateway holds it.
pub(crate) struct Kept {
    pub(crate) submitted: Submitted,
    pub(crate) held: Option<Pursuit>,
}

impl From<Submitted> for Kept {
    fn from(submitted: Submitted) -> Self {
        Self {
            submitted,
            held: None,
        }
    }
}

/// Keeps a request. With a key, the claim row comes first and leads to the same identifier.
pub(crate) fn submit(core: &Arc<Core>, asked: &Asked, work: &Work) -> Kept {
    let Some(shared_ms) = core.shared_ms() else {
        return Submitted::outage().into();
    };
    if asked.key.is_empty() {
        let id = format!("{:032x}", rand::random::<u128>());
        return keep(core, asked, work, &id, shared_ms);
    }
    let id = key_id(&asked.organisation, &asked.key);
    match move_claim(core, asked, &id, shared_ms) {
        Ok(()) => keep(core, asked, work, &id, shared_ms),
        Err(submitted) => submitted.into(),
    }
}

/// Makes the claim of the key point to the durable request.
fn move_claim(core: &Core, asked: &Asked, id: &str, shared_ms: u64) -> Result<(), Submitted> {
    let options = pursuit::Options {
        gateway: core.options.gateway,
        nonce: core.enter(),
        key: claim_key(id),
        forget_refused: true,
        mark_all: false,
        hold_accepted: false,
    };
    let mut pursuit = Pursuit::new(options, entry(core, asked, State::Async, shared_ms));
    let action = pursuit.insert();
    let action = drive_insert(core, &mut pursuit, action);
    core.leave(pursuit.nonce());
    match action {
        Insert::Made(Action::Moved) => Ok(()),
        Insert::Made(Action::Refuse(_)) => {
            core.surrender(pursuit.key(), pursuit.nonce());
            Err(Submitted::outage())
        }
        Insert::Met(found) if found.digest != asked.digest => Err(Submitted::conflict()),
        Insert::Met(found) => match found.state {
            State::Async => Ok(()),
            State::Done(done) => replay(core, &done),
            _ => Err(Submitted::busy()),
        },
        Insert::Made(_) | Insert::Broken => Err(Submitted::conflict()),
    }
}

fn replay(core: &Core, done: &Done) -> Result<(), Submitted> {
    let answer = core.read_answer(done).map_err(|_| Submitted::outage())?;
    core.metrics.replayed.add(1);
    Err(Submitted::Replay(answer))
}

enum Insert {
    /// The entry was inserted, or can't be; this is what follows.
    Made(Action),
    /// There is an entry already.
    Met(Entry),
    /// There is a row that is no entry.
    Broken,
}

/// Inserts, and leaves an entry that exists as it is: whoever holds it goes on with it.
fn drive_insert(core: &Core, pursuit: &mut Pursuit, action: Action) -> Insert {
    let Action::Write(op) = action else {
        return Insert::Made(action);
    };
    let written = core.write(op);
    if let Written::Conflict(Some(row)) = &written {
        return match Entry::parse(&row.value) {
            Some(found) => Insert::Met(found),
            None => Insert::Broken,
        };
    }
    let action = pursuit.on(Event::Written(written), &|entry| core.gone(entry));
    match action {
        Action::Write(_) => drive_insert(core, pursuit, action),
        action => Insert::Made(action),
    }
}

/// Keeps the request, after an earlier submission of the same key has come to its end.
fn keep(core: &Arc<Core>, asked: &Asked, work: &Work, id: &str, shared_ms: u64) -> Kept {
    let wait_ms = SUBMITTING_WAIT_MS.min(asked.budget_ms);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let kept = keep_once(core, asked, work, id, shared_ms);
        let busy = matches!(kept.submitted, Submitted::Busy { .. });
        if !busy || Instant::now() >= until {
            return kept;
        }
        thread::sleep(SUBMITTING_LOOK);
    }
}

fn keep_once(core: &Arc<Core>, asked: &Asked, work: &Work, id: &str, shared_ms: u64) -> Kept {
    let nonce = core.enter();
    let options = pursuit::Options {
        gateway: core.options.gateway,
        nonce,
        key: async_key(id),
        forget_refused: false,
        mark_all: true,
        hold_accepted: lock(&core.working).len() < core.options.held_max,
    };
    let mut wanted = entry(core, asked, State::Submitting, shared_ms);
    wanted.body = nonce;
    let mut pursuit = Pursuit::new(options, wanted);
    let action = pursuit.insert();
    let kept = match drive_insert(core, &mut pursuit, action) {
        Insert::Made(Action::Upload) => upload(core, pursuit.clone(), work, id),
        Insert::Made(_) => Submitted::outage().into(),
        Insert::Met(found) if found.digest != asked.digest => Submitted::conflict().into(),
        Insert::Met(found) if found.state == State::Submitting => Submitted::busy().into(),
        Insert::Met(_) => Submitted::Accepted(id.to_string()).into(),
        Insert::Broken => Submitted::conflict().into(),
    };
    if kept.held.is_none() {
        if !matches!(
            kept.submitted,
            Submitted::Accepted(_) | Submitted::Busy { .. }
        ) {
            core.surrender(pursuit.key(), nonce);
        }
        core.leave(nonce);
    }
    kept
}

fn upload(core: &Arc<Core>, mut pursuit: Pursuit, work: &Work, id: &str) -> Kept {
    let bytes = bincode::serde::encode_to_vec(work, bincode::config::standard());
    let bytes = bytes.expect("work has only plain types");
    let kept = core.put(&body_key(id, pursuit.nonce()), &bytes);
    if let Err(error) = &kept {
        log::warn!(error:% = error, id = id; "the body of a durable request can't be kept");
    }
    let action = pursuit.on(Event::Uploaded(kept.is_ok()), &|entry| core.gone(entry));
    match core.drive(&mut pursuit, action, Instant::now()) {
        Action::Accepted => {
            core.metrics.submitted.add(1);
            let held = pursuit.entry().state == State::Held;
            if !held {
                core.leave(pursuit.nonce());
            }
            Kept {
                submitted: Submitted::Accepted(id.to_string()),
                held: held.then_some(pursuit),
            }
        }
        Action::Unsure => Submitted::Unsure(id.to_string()).into(),
        _ => Submitted::outage().into(),
    }
}

/// Where a durable request stands, for its caller and for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Its identifier.
    pub id: String,
    /// Its entry.
    pub entry: Entry,
}

impl Status {
    /// `submitting`, `queued`, `held`, `running`, or the ending.
    pub fn state(&self) -> &'static str {
        match &self.entry.state {
            State::Submitting => "submitting",
            State::Queued => "queued",
            State::Held => "held",
            State::Dispatched(_) => "running",
            State::Async => "moved",
            State::Done(done) => match done.ending {
                Ending::Answered => "answered",
                Ending::Refused => "refused",
                Ending::Failed => "failed",
                Ending::Unknown => "unknown",
            },
        }
    }
}

/// Reads where a durable request stands; `None` if there is none.
pub fn status(table: &dyn Table, id: &str) -> Result<Option<Status>, Error> {
    if !is_id(id) {
        return Ok(None);
    }
    let row = table.get(&async_key(id))?;
    Ok(row.and_then(|row| of_row(&row)))
}

fn of_row(row: &Row) -> Option<Status> {
    let entry = Entry::parse(&row.value)?;
    let id = id_of(&row.key).to_string();
    Some(Status { id, entry })
}

/// Reads the body of an ended request's answer.
pub fn answer_body(objects: &dyn Objects, done: &Done) -> Result<Option<Vec<u8>>, Error> {
    match &done.body {
        Body::None => Ok(Some(Vec::new())),
        Body::Inline(text) => Ok(Some(text.clone().into_bytes())),
        Body::Object(key) => objects.get(key),
    }
}

/// A page of a list of durable requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct List {
    /// Requests in the order of their identifiers.
    pub requests: Vec<Status>,
    /// Key to go on from; `None` at the end.
    pub next: Option<String>,
}

/// Reads one page of the durable requests after a row's key; empty for the start.
pub fn list(table: &dyn Table, after: &str) -> Result<List, Error> {
    let page = table.scan(ASYNC_PREFIX, after, PAGE_ROWS_MAX)?;
    let last = page.rows.last().map(|row| row.key.clone());
    Ok(List {
        requests: page.rows.iter().filter_map(of_row).collect(),
        next: last.filter(|_| page.more),
    })
}

/// What becomes of a wish to cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// There is no such request.
    NotFound,
    /// It ended as refused, and didn't run.
    NotRun,
    /// It is held; whoever holds it ends it.
    Wanted,
    /// It had ended before.
    Ended,
}

/// Cancels a durable request. One that waits is ended at once; one that is held is marked, which
/// stops its next dispatch, and the scanner of its shard ends it at its endpoint.
pub fn cancel(table: &dyn Table, id: &str) -> Result<Cancelled, Error> {
    if !is_id(id) {
        return Ok(Cancelled::NotFound);
    }
    let key = async_key(id);
    for _ in 0..CANCEL_TRIES {
        let Some(row) = table.get(&key)? else {
            return Ok(Cancelled::NotFound);
        };
        let Some(mut entry) = Entry::parse(&row.value) else {
            return Ok(Cancelled::NotFound);
        };
        let outcome = match entry.state {
            State::Done(_) | State::Async => return Ok(Cancelled::Ended),
            _ if entry.cancelled => return Ok(Cancelled::Wanted),
            State::Queued => Cancelled::NotRun,
            _ => Cancelled::Wanted,
        };
        entry.cancelled = true;
        if outcome == Cancelled::NotRun {
            entry.nonce = rand::random();
            entry.fencing += 1;
            entry.state = State::Done(Done::without_answer(
                Ending::Refused,
                &RefusalReason::Cancelled.name(),
            ));
        }
        let txn = Txn::default()
            .when(&key, row.version)
            .put(&key, &entry.to_text());
        // A lost reply is settled by reading the row again.
        match table.commit(&txn) {
            Ok(TxnOutcome::Committed(_)) => return Ok(outcome),
            Ok(TxnOutcome::Conflict(_)) | Err(Error::Unknown(_)) => {}
            Err(error) => return Err(error),
        }
    }
    Err(Error::Unavailable("the row changes too often".to_string()))
}
