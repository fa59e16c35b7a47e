//! Keyed requests: at most one run for an `Idempotency-Key`, whichever gateways its repeats reach.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel::Sender;
use mgs_schema::wire::RefusalReason;

use crate::core::Core;
use crate::entry::claim_key;
use crate::entry::key_id;
use crate::entry::Entry;
use crate::entry::State;
use crate::entry::Target;
use crate::executor::Answer;
use crate::pursuit;
use crate::pursuit::Action;
use crate::pursuit::Pursuit;
use crate::tenure::Closing;
use crate::tenure::Tenure;

/// When a caller whose earlier request still runs should come back, in milliseconds.
const BUSY_RETRY_MS: u64 = 2_000;

/// When a caller should come back while the store is out, in milliseconds.
const OUTAGE_RETRY_MS: u64 = 5_000;

/// A keyed request.
#[derive(Debug, Clone, Default)]
pub struct Asked {
    /// Name of the organisation.
    pub organisation: String,
    /// Kind of request.
    pub kind: String,
    /// Its `Idempotency-Key`.
    pub key: String,
    /// See [`crate::entry::body_digest`].
    pub digest: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// What is left of its allotted time, in milliseconds.
    pub budget_ms: u64,
}

/// What becomes of a keyed request.
#[derive(Debug)]
pub enum Claimed {
    /// Run it, asking the tenure before each dispatch, and finish the tenure.
    Run(Tenure),
    /// It runs, or ran, at this endpoint: read its answer there and finish the tenure.
    Resume(Tenure, Target),
    /// It has ended before; this is its answer.
    Replay(Answer),
    /// It became the durable request of this identifier.
    Moved(String),
    /// An earlier request of this key hasn't ended: 409, come back.
    Busy {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// Refused, and not run.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back, in milliseconds; 0 if never.
        retry_after_ms: u64,
    },
    /// The store is out, and the request may run more than once: run it without a claim.
    Unclaimed,
}

pub(crate) fn claim(core: &Arc<Core>, closers: &Sender<Closing>, asked: &Asked) -> Claimed {
    let Some(shared_ms) = core.shared_ms() else {
        return outage(asked);
    };
    let until = Instant::now() + Duration::from_millis(asked.budget_ms);
    let id = key_id(&asked.organisation, &asked.key);
    loop {
        let mut pursuit = start(core, asked, &id, shared_ms);
        let action = pursuit.insert();
        let action = core.drive(&mut pursuit, action, until);
        match action {
            Action::Over if Instant::now() < until => core.leave(pursuit.nonce()),
            action => return claimed(core, closers, asked, &id, pursuit, action),
        }
    }
}

fn start(core: &Core, asked: &Asked, id: &str, shared_ms: u64) -> Pursuit {
    let options = pursuit::Options {
        gateway: core.options.gateway,
        nonce: core.enter(),
        key: claim_key(id),
        forget_refused: true,
        mark_all: false,
        hold_accepted: false,
    };
    Pursuit::new(options, entry(core, asked, State::Held, shared_ms))
}

pub(crate) fn entry(core: &Core, asked: &Asked, state: State, shared_ms: u64) -> Entry {
    Entry {
        nonce: 0,
        write: 0,
        holder: 0,
        fencing: 0,
        idempotent: asked.idempotent,
        digest: asked.digest.clone(),
        state,
        cancelled: false,
        dispatched_before: false,
        body: 0,
        organisation: asked.organisation.clone(),
        kind: asked.kind.clone(),
        submitted_ms: shared_ms,
        deadline_ms: shared_ms + asked.budget_ms,
        expires_ms: shared_ms + asked.budget_ms + core.options.keep_ms,
    }
}

fn claimed(
    core: &Arc<Core>,
    closers: &Sender<Closing>,
    asked: &Asked,
    id: &str,
    pursuit: Pursuit,
    action: Action,
) -> Claimed {
    let tenure = |pursuit| Tenure::new(Arc::clone(core), pursuit, closers.clone());
    let (nonce, key) = (pursuit.nonce(), pursuit.key().to_string());
    if pursuit.entry().fencing > 1 && matches!(action, Action::Run | Action::Resume(_)) {
        core.metrics.taken_over.add(1);
    }
    match action {
        Action::Run => return Claimed::Run(tenure(pursuit)),
        Action::Resume(target) => return Claimed::Resume(tenure(pursuit), target),
        _ => core.leave(nonce),
    }
    match action {
        Action::Replay(done) => match core.read_answer(&done) {
            Ok(answer) => {
                core.metrics.replayed.add(1);
                Claimed::Replay(answer)
            }
            Err(_) => Claimed::Busy {
                retry_after_ms: OUTAGE_RETRY_MS,
            },
        },
        Action::Moved => Claimed::Moved(id.to_string()),
        Action::Refuse(RefusalReason::StoreUnavailable) => {
            core.surrender(&key, nonce);
            outage(asked)
        }
        Action::Refuse(reason) => Claimed::Refused {
            reason,
            retry_after_ms: 0,
        },
        _ => Claimed::Busy {
            retry_after_ms: BUSY_RETRY_MS,
        },
    }
}

/// Without the store nobody knows whether the key ran before.
fn outage(asked: &Asked) -> Claimed {
    if asked.idempotent {
        return Claimed::Unclaimed;
    }
    Claimed::Refused {
        reason: RefusalReason::StoreUnavailable,
        retry_after_ms: OUTAGE_RETRY_MS,
    }
}
