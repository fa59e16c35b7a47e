//! Running one durable request that this process holds, on a thread of its own.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Sender;
use mgs_schema::name::Name;
use mgs_schema::wire::RefusalReason;

use crate::core::lock;
use crate::core::Core;
use crate::entry::body_key;
use crate::entry::id_of;
use crate::entry::Ending;
use crate::entry::Target;
use crate::executor::Answer;
use crate::executor::Work;
use crate::pursuit::Action;
use crate::pursuit::Pursuit;
use crate::tenure::Closing;
use crate::tenure::Tenure;

/// Reason of an answer that says only that this gateway stops; another one goes on.
pub const STOPPED: &str = "stopped";

/// First wait before a refused request is tried again.
const RETRY_MIN: Duration = Duration::from_millis(200);

/// Longest such wait.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Refusals that pass: a durable request waits them out within its allotted time.
const PASSING: [RefusalReason; 13] = [
    RefusalReason::RequestRate,
    RefusalReason::TokenRate,
    RefusalReason::Concurrency,
    RefusalReason::QueueFull,
    RefusalReason::NoEndpoint,
    RefusalReason::StaleIncarnation,
    RefusalReason::StaleSession,
    RefusalReason::Memory,
    RefusalReason::Leaving,
    RefusalReason::StoreUnavailable,
    RefusalReason::Busy,
    RefusalReason::EndpointDown,
    RefusalReason::NotReady,
];

/// Starts a thread that runs a request which this process holds since its submission.
pub(crate) fn start(core: &Arc<Core>, closers: &Sender<Closing>, pursuit: Pursuit) {
    let key = pursuit.key().to_string();
    lock(&core.working).insert(key.clone());
    let nonce = pursuit.nonce();
    let thread = thread::Builder::new().name("durable-run".to_string());
    let started = thread.spawn({
        let (core, closers, key) = (Arc::clone(core), closers.clone(), key.clone());
        move || {
            run(&core, &closers, pursuit, Action::Run);
            lock(&core.working).remove(&key);
        }
    });
    if let Err(error) = started {
        log::error!(error:% = error; "no thread for a durable request");
        lock(&core.working).remove(&key);
        core.surrender(&key, nonce);
        core.leave(nonce);
    }
}

/// Runs a held request to its end.
pub(crate) fn run(core: &Arc<Core>, closers: &Sender<Closing>, pursuit: Pursuit, action: Action) {
    let id = id_of(pursuit.key()).to_string();
    let deadline_ms = pursuit.entry().deadline_ms;
    let body = body_key(&id, pursuit.entry().body);
    let tenure = Tenure::new(Arc::clone(core), pursuit, closers.clone());
    let Some(work) = read_work(core, &body, deadline_ms) else {
        tenure.surrender();
        return;
    };
    let answer = match (work, action) {
        (Some(work), Action::Resume(target)) => resume(core, &work, &target, deadline_ms),
        (Some(work), _) => attempt(core, &work, &tenure, deadline_ms),
        (None, _) => Answer::without_body(Ending::Failed, "body_lost"),
    };
    let handed_over = core.draining() && answer.ending != Ending::Answered;
    if handed_over || answer.reason == STOPPED {
        tenure.surrender();
        return;
    }
    log::info!(id = id.as_str(), reason = answer.reason.as_str(); "durable request ended");
    tenure.finish(answer);
}

fn budget_ms(core: &Core, deadline_ms: u64) -> u64 {
    deadline_ms.saturating_sub(core.shared_ms().unwrap_or(0))
}

/// The request's body; `None` if it can't be read in time, `Some(None)` if there is none.
fn read_work(core: &Core, key: &str, deadline_ms: u64) -> Option<Option<Work>> {
    loop {
        match core.objects.get(key) {
            Ok(None) => return Some(None),
            Ok(Some(bytes)) => {
                let config = bincode::config::standard();
                let work = bincode::serde::decode_from_slice(&bytes, config);
                return Some(work.ok().map(|(work, _)| work));
            }
            Err(_) if core.draining() || budget_ms(core, deadline_ms) == 0 => return None,
            Err(error) => {
                log::warn!(error:% = error; "the body of a durable request can't be read yet");
                thread::sleep(RETRY_MIN);
            }
        }
    }
}

fn resume(core: &Core, work: &Work, target: &Target, deadline_ms: u64) -> Answer {
    core.executor
        .resume(work, target, budget_ms(core, deadline_ms))
}

/// Runs the request, and again after refusals that pass.
fn attempt(core: &Core, work: &Work, tenure: &Tenure, deadline_ms: u64) -> Answer {
    let mut wait = RETRY_MIN;
    loop {
        let budget_ms = budget_ms(core, deadline_ms);
        if budget_ms == 0 {
            return Answer::without_body(Ending::Refused, &RefusalReason::Deadline.name());
        }
        let answer = core.executor.run(work, budget_ms, tenure);
        if !passes(&answer) || tenure.ended() || core.draining() {
            return answer;
        }
        thread::sleep(wait.min(Duration::from_millis(budget_ms)));
        wait = (wait * 2).min(RETRY_MAX);
    }
}

fn passes(answer: &Answer) -> bool {
    let named = |reason: &RefusalReason| reason.name() == answer.reason;
    answer.ending == Ending::Refused && PASSING.iter().any(named)
}
