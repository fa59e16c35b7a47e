//! Admits a request, drives it to its end, and counts and logs that end.

use std::sync::Arc;

use mgs_durable::executor::Permits;
use mgs_request::outcome::End;
use mgs_request::outcome::Refusal;
use mgs_routing::policy::Choice;
use mgs_schema::name::Name;
use mgs_schema::settings::LimitRow;
use mgs_schema::wire::RefusalReason;

use crate::core::Core;
use crate::drive::Admitted;
use crate::drive::Drive;
use crate::drive::Report;
use crate::drive::Sink;
use crate::job::Job;

/// Runs a request; `permits` is asked before each dispatch.
pub(crate) fn run<S: Sink>(
    core: &Core,
    job: &Arc<Job>,
    body: Vec<u8>,
    permits: Option<&dyn Permits>,
    sink: &mut S,
) -> End {
    let choice = match admit(core, job) {
        Ok(choice) => choice,
        Err(refusal) => {
            core.metrics.refused_early(&refusal);
            let report = Report::refused(refusal);
            log_end(core, job, &report);
            return report.end;
        }
    };
    core.metrics.admitted.inc();
    let admitted = Admitted {
        job,
        body,
        choice,
        permits,
    };
    let report = Drive::run(core, admitted, sink);
    let generated_tokens = generated_tokens(&report.end);
    core.hub.finished(core, job.id, generated_tokens);
    ended(core, job, report)
}

/// Counts and logs the end of an admitted request.
pub(crate) fn ended(core: &Core, job: &Job, report: Report) -> End {
    core.metrics.ended(&report.end);
    log_end(core, job, &report);
    report.end
}

/// Whether a row allows a model or service.
pub(crate) fn allows(row: &LimitRow, model: &str) -> bool {
    row.models.is_empty() || row.models.iter().any(|allowed| allowed == model)
}

fn admit(core: &Core, job: &Arc<Job>) -> Result<Option<Choice>, Refusal> {
    let table = core.settings.table();
    let row = table.limit(&job.organisation, &job.kind);
    if !row.is_some_and(|row| allows(row, &job.model)) {
        let detail = "the row doesn't allow it";
        return Err(Refusal::new(RefusalReason::UnknownModel, detail));
    }
    core.check_fleet(job)?;
    core.hub.admit(core, job)
}

fn generated_tokens(end: &End) -> u64 {
    match end {
        End::Answered(finished) => finished.generated_tokens,
        _ => 0,
    }
}

fn log_end(core: &Core, job: &Job, report: &Report) {
    let reason = match &report.end {
        End::Answered(_) => String::new(),
        End::Refused(refusal) => refusal.reason.name(),
        End::Failed(reason, _) | End::Unknown(reason, _) => reason.name(),
    };
    log::info!(
        request_id:% = job.id,
        organisation = job.organisation,
        kind = job.kind,
        model = job.model,
        endpoint = report.endpoint,
        outcome = report.end.outcome().name(),
        reason = reason,
        attempts = report.attempts,
        prompt_tokens = job.prompt_tokens,
        took_ms = core.now_ms().saturating_sub(job.arrived_ms);
        "request finished"
    );
}
