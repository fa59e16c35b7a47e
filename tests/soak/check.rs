//! Checks the promises to clients and endpoints over what both observed.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::backpressure::EndpointArrival;
use crate::clients::Record;
use crate::clients::RequestKind;
use crate::environment::EVENTS;
use crate::history::Component;
use crate::history::Crash;
use crate::history::History;
use crate::standin::client::stream_text;
use crate::standin::endpoint::Run;

/// Timeout of each route, and the time that a response may take beyond it.
const TIMEOUT: Duration = Duration::from_millis(800);
const TIMEOUT_SLACK: Duration = Duration::from_millis(700);

/// Time without disruptions that the time bounds presuppose.
pub(crate) const UNDISTURBED_PERIOD: Duration = Duration::from_secs(3);

/// Time in which a configuration must be in force everywhere; includes the delays of clients and of the test itself.
const PROPAGATION_TIMEOUT: Duration = Duration::from_millis(2_300);

/// Once a response shows a version, requests sent this much later must not be served under an older one.
const REGRESS_SLACK: Duration = Duration::from_millis(250);

/// Time after which a draining endpoint must get no new requests.
const DRAIN_DELAY: Duration = Duration::from_millis(2_300);

/// Engines that one request may crash: three before it is quarantined, and those that it is already dispatched to then.
pub(crate) const REQUEST_CRASHES_MAX: usize = 6;

/// Engines that requests with one part of a prompt may crash: five, and three that are on their way when it is quarantined.
pub(crate) const PART_CRASHES_MAX: usize = 8;

/// Time before and after a crash in which its gateway must be undisturbed to observe it.
const CRASH_NOTICE_WINDOW: Duration = Duration::from_millis(400);

/// Statuses that state that the request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Statuses that reject a request that each version of the configuration allows.
const DENIED: [u16; 4] = [400, 401, 403, 404];

/// The events of a run, the records of its clients, and what its endpoints ran and received.
pub(crate) struct Observations<'a> {
    pub(crate) history: &'a History,
    pub(crate) records: &'a [Record],
    pub(crate) runs: &'a [(String, Run)],
    pub(crate) arrivals: &'a [EndpointArrival],
    /// Engines that may be crashed by requests.
    pub(crate) crashes_max: usize,
}

impl Observations<'_> {
    /// Descriptions of the promises that were broken.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut found = self.history.violations.clone();
        let mut runs_of: HashMap<&str, Vec<&Run>> = HashMap::new();
        for (_, run) in self.runs {
            runs_of.entry(&run.request_id).or_default().push(run);
        }
        for record in self.records {
            let runs = runs_of
                .get(record.id.as_str())
                .map_or(&[][..], Vec::as_slice);
            self.check_runs(record, runs, &mut found);
            self.check_response(record, &mut found);
            self.check_completion(record, runs, &mut found);
        }
        self.check_quarantined(&mut found);
        self.check_crashes(&mut found);
        self.check_versions(&mut found);
        self.check_drains(&mut found);
        self.check_evacuations(&mut found);
        self.check_cold(&mut found);
        self.check_shares(&mut found);
        self.check_backpressure(&mut found);
        self.check_retries(&mut found);
        found
    }

    /// Checks that a request runs at most once where it must, and not at all where its status says so.
    fn check_runs(&self, record: &Record, runs: &[&Run], found: &mut Vec<String>) {
        if record.kind.is_at_most_once() && runs.len() > 1 {
            found.push(format!("{} ran {} times", record.id, runs.len()));
        }
        let status = record
            .response
            .as_ref()
            .map_or(0, |response| response.status);
        let must_not_have_run = !record.kind.is_stream() || is_quarantined(record);
        if NOT_RUN.contains(&status) && !runs.is_empty() && must_not_have_run {
            found.push(format!("{} got {status} and ran", record.id));
        }
    }

    /// Checks that the response belongs to the request and is intact.
    fn check_response(&self, record: &Record, found: &mut Vec<String>) {
        let Some(response) = &record.response else {
            return;
        };
        if DENIED.contains(&response.status) {
            found.push(format!("{} was denied: {}", record.id, response.status));
        }
        if response.status != 200 {
            return;
        }
        let echoed = response.head.header("request-id");
        if echoed != Some(&record.id) || response.head.header("server-stamp").is_none() {
            found.push(format!("{} got the response to another request", record.id));
        }
        if !response.is_complete {
            return;
        }
        let is_good = match record.kind.is_stream() {
            true => response.body == stream_text(EVENTS) || is_whole_text(record, &response.body),
            false => is_whole_text(record, &response.body),
        };
        if !is_good {
            found.push(format!(
                "{} got a corrupted response: {:?}",
                record.id, response.body
            ));
        }
    }

    /// Checks that a request ends in time, and that its connection isn't closed without a response.
    fn check_completion(&self, record: &Record, runs: &[&Run], found: &mut Vec<String>) {
        let process = [Component::Process(record.gateway)];
        if self.is_disrupted(&process, record.sent_at, record.ended_at) {
            return;
        }
        let took = record.ended_at - record.sent_at;
        if took > TIMEOUT + TIMEOUT_SLACK {
            found.push(format!("{} took {took:?}", record.id));
        }
        let is_closed = record.response.is_none();
        if is_closed && !runs.is_empty() {
            found.push(format!("{} ran and its connection was closed", record.id));
        }
        if is_closed && !record.is_reused {
            found.push(format!("{} was closed on a new connection", record.id));
        }
    }

    /// Checks that a configuration is in force in time, and that one process never returns to an older one.
    fn check_versions(&self, found: &mut Vec<String>) {
        let versions = self.records.iter().filter_map(|r| Some((r, version(r)?)));
        let versions: Vec<(&Record, u64)> = versions.collect();
        for (record, version) in &versions {
            let due = self.history.versions.iter().rev();
            let mut due = due.filter(|(_, at)| record.sent_at > *at + PROPAGATION_TIMEOUT);
            let Some((due, _)) = due.next() else {
                continue;
            };
            let dependencies = [
                Component::Process(record.gateway),
                Component::StorePath(record.gateway),
                Component::Store,
            ];
            let since = record.sent_at - UNDISTURBED_PERIOD - PROPAGATION_TIMEOUT;
            if version < due && !self.is_disrupted(&dependencies, since, record.sent_at) {
                found.push(format!(
                    "{} was served under version {version}, not {due}",
                    record.id
                ));
            }
        }
        for lifetime in &self.history.process_lifetimes {
            let is_in_lifetime = |record: &Record| {
                let ended_before = lifetime.until.is_none_or(|until| record.ended_at < until);
                record.gateway == lifetime.gateway && record.sent_at > lifetime.from && ended_before
            };
            let mut of_lifetime: Vec<_> =
                versions.iter().filter(|(r, _)| is_in_lifetime(r)).collect();
            of_lifetime.sort_by_key(|(record, _)| record.ended_at);
            for (index, (record, newer)) in of_lifetime.iter().enumerate() {
                let later = of_lifetime[index + 1..].iter();
                let mut later = later.filter(|(r, _)| r.sent_at > record.ended_at + REGRESS_SLACK);
                if let Some((older, version)) = later.find(|(_, version)| version < newer) {
                    found.push(format!(
                        "{} was served under version {version} after {newer}",
                        older.id
                    ));
                }
            }
        }
    }

    /// Checks that only requests that crash engines are quarantined.
    fn check_quarantined(&self, found: &mut Vec<String>) {
        for record in self.records.iter().filter(|record| !record.crashes_engine) {
            if is_quarantined(record) {
                found.push(format!(
                    "{} was quarantined but crashes no engine",
                    record.id
                ));
            }
        }
    }

    /// Checks that requests crash at most `crashes_max` engines. Crashes that its gateway couldn't observe don't
    /// count: those while it was killed or paused itself, or while the path was broken.
    fn check_crashes(&self, found: &mut Vec<String>) {
        let by_id: HashMap<&str, &Record> =
            self.records.iter().map(|r| (r.id.as_str(), r)).collect();
        let is_observable = |crash: &&Crash| {
            let mut runs = self.runs.iter().filter(|(id, _)| *id == crash.id);
            let last = runs.rfind(|(_, run)| {
                let record = by_id.get(run.request_id.as_str());
                record.is_some_and(|record| record.crashes_engine)
            });
            let gateway = last.and_then(|(_, run)| by_id.get(run.request_id.as_str()));
            let disruptions = [
                Component::Process(gateway.map_or(usize::MAX, |record| record.gateway)),
                Component::EndpointPath(crash.slot),
            ];
            !self.is_disrupted(
                &disruptions,
                crash.at - CRASH_NOTICE_WINDOW,
                crash.at + CRASH_NOTICE_WINDOW,
            )
        };
        let count = self.history.crashes.iter().filter(is_observable).count();
        if count > self.crashes_max {
            found.push(format!("a request crashed {count} engines"));
        }
    }

    /// Checks that draining endpoints get no new requests.
    fn check_drains(&self, found: &mut Vec<String>) {
        let by_id: HashMap<&str, &Record> =
            self.records.iter().map(|r| (r.id.as_str(), r)).collect();
        for drain in &self.history.drains {
            let of_it = self.runs.iter().filter(|(id, _)| *id == drain.id);
            for (_, run) in of_it.filter(|(_, run)| run.at > drain.at + DRAIN_DELAY) {
                let Some(record) = by_id.get(run.request_id.as_str()) else {
                    continue;
                };
                let dependencies = [
                    Component::Process(record.gateway),
                    Component::StorePath(record.gateway),
                    Component::Store,
                ];
                if !self.is_disrupted(&dependencies, drain.at - UNDISTURBED_PERIOD, run.at) {
                    found.push(format!(
                        "{} ran at {}, which was draining",
                        record.id, drain.id
                    ));
                }
            }
        }
    }

    /// Whether one of these components was disrupted at some time of the interval.
    pub(crate) fn is_disrupted(
        &self,
        components: &[Component],
        from: Instant,
        until: Instant,
    ) -> bool {
        let mut disruptions = self.history.disruptions.iter();
        disruptions.any(|disruption| {
            let ended_before = disruption.until.is_some_and(|end| end < from);
            components.contains(&disruption.component) && disruption.from <= until && !ended_before
        })
    }
}

/// Whether the response states that the request is quarantined.
fn is_quarantined(record: &Record) -> bool {
    let response = record.response.as_ref();
    response.is_some_and(|response| response.body.contains("quarantined"))
}

/// The version of the configuration that the response names.
fn version(record: &Record) -> Option<u64> {
    let response = record.response.as_ref().filter(|a| a.status == 200)?;
    if record.kind != RequestKind::Idempotent && record.kind != RequestKind::AtMostOnce {
        return None;
    }
    let (_, version) = response.body.split_once("nursery-")?;
    version.parse().ok()
}

fn is_whole_text(record: &Record, text: &str) -> bool {
    text == "stock: 7" || text.starts_with(&format!("{} nursery-", record.id))
}
