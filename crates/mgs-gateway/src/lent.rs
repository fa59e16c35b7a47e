//! What the gateway lends to the durable part: running a request and asking its endpoint.

use std::sync::Arc;
use std::time::Duration;

use mgs_durable::entry::Ending;
use mgs_durable::entry::Target;
use mgs_durable::executor::Answer;
use mgs_durable::executor::Executor;
use mgs_durable::executor::Permits;
use mgs_durable::executor::Work;
use mgs_durable::pursuit::Proof;
use mgs_request::outcome::Refusal;
use mgs_schema::key::RequestId;
use mgs_schema::name::Name;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Cancel;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::Withdraw;
use mgs_schema::wire::WithdrawState;

use crate::core::Core;
use crate::drive::Drive;
use crate::http::answer;
use crate::http::sse::Collect;
use crate::http::work::Origin;
use crate::http::work::Prepared;
use crate::run;

/// Longest wait for the answer to a withdraw.
const WITHDRAW_WAIT: Duration = Duration::from_millis(1_000);

/// The gateway as the durable part sees it.
pub(crate) struct Lent {
    pub(crate) core: Arc<Core>,
}

impl Executor for Lent {
    fn run(&self, work: &Work, budget_ms: u64, permits: &dyn Permits) -> Answer {
        let core = self.core.as_ref();
        let Prepared { job, body, shape } = match prepare(core, core.next_id(), work, budget_ms) {
            Ok(prepared) => prepared,
            Err(refusal) => return Answer::without_body(Ending::Refused, &refusal.reason.name()),
        };
        let mut collect = Collect::default();
        let end = run::run(core, &Arc::new(job), body, Some(permits), &mut collect);
        answer::ended(&shape, &collect.text, &end)
    }

    fn resume(&self, work: &Work, target: &Target, budget_ms: u64) -> Answer {
        resume(&self.core, work, target, budget_ms)
    }

    fn withdraw(&self, target: &Target, tombstone_ms: u64) -> Proof {
        let Some(session) = self.core.session_of(&target.endpoint) else {
            return Proof::Unreachable;
        };
        let withdraw = Withdraw {
            request_origin: target.request_origin,
            request_serial: target.request_serial,
            sidecar_incarnation: target.sidecar_incarnation,
            tombstone_ms,
            ..Withdraw::default()
        };
        let answer = session
            .connection
            .ask(Body::Withdraw(withdraw), WITHDRAW_WAIT);
        let Ok(Body::WithdrawReply(reply)) = answer else {
            return Proof::Unreachable;
        };
        match reply.state() {
            WithdrawState::NeverStarted => Proof::NeverStarted,
            WithdrawState::Running => Proof::Running,
            WithdrawState::Finished => Proof::Finished,
            WithdrawState::CannotTell | WithdrawState::Unspecified => Proof::CannotTell,
        }
    }

    fn cancel(&self, target: &Target) {
        let cancel = Cancel {
            request_origin: target.request_origin,
            request_serial: target.request_serial,
        };
        let session = self.core.session_of(&target.endpoint);
        let call = session.and_then(|s| s.connection.call(Body::Cancel(cancel)).ok());
        if let Some(call) = call {
            self.core.parting.keep(call);
        }
    }
}

/// Reads the whole answer of a request that was dispatched to `target`.
pub(crate) fn resume(core: &Core, work: &Work, target: &Target, budget_ms: u64) -> Answer {
    let Prepared { job, shape, .. } = match prepare(core, target.request_id(), work, budget_ms) {
        Ok(prepared) => prepared,
        // It was understood when it was dispatched, by other settings.
        Err(refusal) => return Answer::without_body(Ending::Unknown, &refusal.reason.name()),
    };
    let mut collect = Collect::default();
    core.metrics.admitted.inc();
    let report = Drive::resume_at(core, &job, target, &mut collect);
    let end = run::ended(core, &job, report);
    answer::ended(&shape, &collect.text, &end)
}

fn prepare(core: &Core, id: RequestId, work: &Work, budget_ms: u64) -> Result<Prepared, Refusal> {
    let table = core.settings.table();
    let row = table.limit(&work.organisation, &work.kind).cloned();
    let row = row.ok_or_else(|| Refusal::new(RefusalReason::UnknownModel, "no row"))?;
    let arrived_ms = core.now_ms();
    let origin = Origin {
        id,
        organisation: work.organisation.clone(),
        kind: work.kind.clone(),
        row,
        arrived_ms,
        deadline_ms: arrived_ms + budget_ms,
        idempotent: Some(work.idempotent),
        kept: true,
    };
    let (method, url) = (&work.method, &work.path);
    Prepared::new(&origin, method, url, &work.content_type, work.body.clone())
}
