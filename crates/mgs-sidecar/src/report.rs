//! Load reports to the gateways that asked for them.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;

use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::EndpointState;
use mgs_schema::wire::LoadReport;
use mgs_transport::server::Reply;

use crate::state::locked;
use crate::state::Endpoint;
use crate::state::Shared;

/// One gateway that wants reports.
struct Subscriber {
    reply: Reply,
    interval_ms: u64,
    due_ms: u64,
    first: bool,
}

/// The gateways that want reports.
#[derive(Default)]
pub(crate) struct Reporter {
    subscribers: Mutex<Vec<Subscriber>>,
    number: AtomicU64,
}

impl Reporter {
    pub(crate) fn subscribe(&self, reply: Reply, interval_ms: u64) {
        locked(&self.subscribers).push(Subscriber {
            reply,
            interval_ms: interval_ms.max(1),
            due_ms: 0,
            first: true,
        });
    }

    /// Sends what is due at `now_ms`, or to all if `push`; forgets gateways that are gone.
    pub(crate) fn send(&self, now_ms: u64, push: bool, make: impl Fn(bool) -> LoadReport) {
        let mut subscribers = locked(&self.subscribers);
        subscribers.retain_mut(|subscriber| {
            if subscriber.reply.is_closed() {
                return false;
            }
            if !push && subscriber.due_ms > now_ms {
                return true;
            }
            let mut report = make(subscriber.first);
            report.report = self.number.fetch_add(1, Ordering::Relaxed) + 1;
            subscriber.first = false;
            subscriber.due_ms = now_ms + subscriber.interval_ms;
            subscriber.reply.send(Body::LoadReport(report)).is_ok()
        });
    }
}

/// What the sidecar says now.
pub(crate) fn load_report(shared: &Shared, first: bool) -> LoadReport {
    let mut report = LoadReport {
        incarnation: shared.incarnation,
        state: state(shared).into(),
        settings_version: shared.settings_version.load(Ordering::Acquire),
        ..LoadReport::default()
    };
    for entry in shared.entries().values() {
        if entry.answer.is_ended() {
            continue;
        }
        report.running_requests += 1;
        if entry.answer.next_seq() == 0 {
            report.prefill_waiting_tokens += entry.prompt_tokens;
        }
    }
    if let Endpoint::Engine(engine) = &shared.endpoint {
        if let Ok(info) = engine.info() {
            report.kv_capacity_tokens = info.kv_capacity_tokens;
            report.models_known = first;
            report.models = if first { info.models } else { Vec::new() };
        }
    }
    report
}

fn state(shared: &Shared) -> EndpointState {
    if shared.is_leaving() {
        EndpointState::Leaving
    } else {
        EndpointState::Live
    }
}
