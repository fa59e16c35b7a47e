//! The promises, checked over what clients and endpoints saw.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::asked::Came;
use crate::callers::Kind;
use crate::callers::Record;
use crate::history::Crash;
use crate::history::History;
use crate::history::What;
use crate::standin::endpoint::Run;
use crate::world::EVENTS;

/// Each route's timeout, and what an answer may take beyond it.
const TIMEOUT: Duration = Duration::from_millis(800);
const TIMEOUT_SLACK: Duration = Duration::from_millis(700);

/// Time for which nothing must have been disturbed for a bound to hold.
const CALM: Duration = Duration::from_secs(3);

/// Time in which a configuration must be in force, and for a client's and a test's own delays.
const IN_FORCE: Duration = Duration::from_millis(2_300);

/// A configuration that was seen in force must hold for requests sent this much later.
const REGRESS_SLACK: Duration = Duration::from_millis(250);

/// Time after which a leaving endpoint gets nothing new.
const LEFT: Duration = Duration::from_millis(2_300);

/// Engines that a deadly request may end: three before it is known, and what was on its way then.
const ENDED_MAX: usize = 6;

/// Time around an engine's end in which its gateway must be able to see it.
const SEEN: Duration = Duration::from_millis(400);

/// Answers that say that the request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Answers that deny what each configuration allows.
const DENIED: [u16; 4] = [400, 401, 403, 404];

/// All that was seen.
pub(crate) struct Seen<'a> {
    pub(crate) history: &'a History,
    pub(crate) records: &'a [Record],
    pub(crate) runs: &'a [(String, Run)],
    pub(crate) came: &'a [Came],
}

impl Seen<'_> {
    /// Promises that were broken.
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
            self.check_answer(record, &mut found);
            self.check_end(record, runs, &mut found);
        }
        self.check_held(&mut found);
        self.check_crashes(&mut found);
        self.check_versions(&mut found);
        self.check_leaves(&mut found);
        self.check_asked(&mut found);
        found
    }

    fn check_runs(&self, record: &Record, runs: &[&Run], found: &mut Vec<String>) {
        if record.kind.runs_once() && runs.len() > 1 {
            found.push(format!("{} ran {} times", record.id, runs.len()));
        }
        let status = record.answer.as_ref().map_or(0, |answer| answer.status);
        let must_not_have_run = !record.kind.is_stream() || is_held(record);
        if NOT_RUN.contains(&status) && !runs.is_empty() && must_not_have_run {
            found.push(format!("{} got {status} and ran", record.id));
        }
    }

    fn check_answer(&self, record: &Record, found: &mut Vec<String>) {
        let Some(answer) = &record.answer else {
            return;
        };
        if DENIED.contains(&answer.status) {
            found.push(format!("{} was denied: {}", record.id, answer.status));
        }
        if answer.status != 200 {
            return;
        }
        let echoed = answer.head.header("request-id");
        if echoed != Some(&record.id) || answer.head.header("server-stamp").is_none() {
            found.push(format!("{} got another one's answer", record.id));
        }
        if !answer.is_complete {
            return;
        }
        let is_good = match record.kind.is_stream() {
            true => answer.body == whole_stream() || is_whole_text(record, &answer.body),
            false => is_whole_text(record, &answer.body),
        };
        if !is_good {
            found.push(format!(
                "{} got a spoiled answer: {:?}",
                record.id, answer.body
            ));
        }
    }

    fn check_end(&self, record: &Record, runs: &[&Run], found: &mut Vec<String>) {
        let process = [What::Process(record.gateway)];
        if self.is_upset(&process, record.sent, record.ended) {
            return;
        }
        let took = record.ended - record.sent;
        if took > TIMEOUT + TIMEOUT_SLACK {
            found.push(format!("{} took {took:?}", record.id));
        }
        let is_closed = record.answer.is_none();
        if is_closed && !runs.is_empty() {
            found.push(format!("{} ran and its connection was closed", record.id));
        }
        if is_closed && !record.is_kept {
            found.push(format!("{} was closed on a new connection", record.id));
        }
    }

    /// A configuration is in force in time, and never goes back in one life of a process.
    fn check_versions(&self, found: &mut Vec<String>) {
        let versions = self.records.iter().filter_map(|r| Some((r, version(r)?)));
        let versions: Vec<(&Record, u64)> = versions.collect();
        for (record, version) in &versions {
            let due = self.history.versions.iter().rev();
            let mut due = due.filter(|(_, at)| record.sent > *at + IN_FORCE);
            let Some((due, _)) = due.next() else {
                continue;
            };
            let beliefs = [
                What::Process(record.gateway),
                What::StorePath(record.gateway),
                What::Store,
            ];
            let since = record.sent - CALM - IN_FORCE;
            if version < due && !self.is_upset(&beliefs, since, record.sent) {
                found.push(format!("{} met version {version}, not {due}", record.id));
            }
        }
        for life in &self.history.lives {
            let is_in = |record: &Record| {
                let ended_before = life.until.is_none_or(|until| record.ended < until);
                record.gateway == life.gateway && record.sent > life.from && ended_before
            };
            let mut of_life: Vec<_> = versions.iter().filter(|(r, _)| is_in(r)).collect();
            of_life.sort_by_key(|(record, _)| record.ended);
            for (index, (record, newer)) in of_life.iter().enumerate() {
                let later = of_life[index + 1..].iter();
                let mut later = later.filter(|(r, _)| r.sent > record.ended + REGRESS_SLACK);
                if let Some((older, version)) = later.find(|(_, version)| version < newer) {
                    found.push(format!("{} met {version} after {newer}", older.id));
                }
            }
        }
    }

    /// Nothing is held but what is deadly.
    fn check_held(&self, found: &mut Vec<String>) {
        for record in self.records.iter().filter(|record| !record.is_deadly) {
            if is_held(record) {
                found.push(format!("{} was held and isn't deadly", record.id));
            }
        }
    }

    /// A deadly request ends few engines. Those don't count of which its gateway could see no end: it was killed or paused
    /// itself, or the path was harmed.
    fn check_crashes(&self, found: &mut Vec<String>) {
        let by_id: HashMap<&str, &Record> =
            self.records.iter().map(|r| (r.id.as_str(), r)).collect();
        let is_seen = |crash: &&Crash| {
            let mut runs = self.runs.iter().filter(|(id, _)| *id == crash.id);
            let last = runs.rfind(|(_, run)| {
                let record = by_id.get(run.request_id.as_str());
                record.is_some_and(|record| record.is_deadly)
            });
            let gateway = last.and_then(|(_, run)| by_id.get(run.request_id.as_str()));
            let upsets = [
                What::Process(gateway.map_or(usize::MAX, |record| record.gateway)),
                What::EndpointPath(crash.place),
            ];
            !self.is_upset(&upsets, crash.at - SEEN, crash.at + SEEN)
        };
        let seen = self.history.crashes.iter().filter(is_seen).count();
        if seen > ENDED_MAX {
            found.push(format!("a deadly request ended {seen} engines"));
        }
    }

    fn check_leaves(&self, found: &mut Vec<String>) {
        let by_id: HashMap<&str, &Record> =
            self.records.iter().map(|r| (r.id.as_str(), r)).collect();
        for leave in &self.history.leaves {
            let of_it = self.runs.iter().filter(|(id, _)| *id == leave.id);
            for (_, run) in of_it.filter(|(_, run)| run.at > leave.at + LEFT) {
                let Some(record) = by_id.get(run.request_id.as_str()) else {
                    continue;
                };
                let beliefs = [
                    What::Process(record.gateway),
                    What::StorePath(record.gateway),
                    What::Store,
                ];
                if !self.is_upset(&beliefs, leave.at - CALM, run.at) {
                    found.push(format!("{} ran at {}, which had left", record.id, leave.id));
                }
            }
        }
    }

    pub(crate) fn is_upset(&self, what: &[What], from: Instant, until: Instant) -> bool {
        let mut upsets = self.history.upsets.iter();
        upsets.any(|upset| {
            let ended_before = upset.until.is_some_and(|end| end < from);
            what.contains(&upset.what) && upset.from <= until && !ended_before
        })
    }
}

/// Whether the client was told that such requests are held.
fn is_held(record: &Record) -> bool {
    let answer = record.answer.as_ref();
    answer.is_some_and(|answer| answer.body.contains("quarantined"))
}

/// The version that the answer names.
fn version(record: &Record) -> Option<u64> {
    let answer = record.answer.as_ref().filter(|a| a.status == 200)?;
    if record.kind != Kind::Safe && record.kind != Kind::Once {
        return None;
    }
    let (_, version) = answer.body.split_once("nursery-")?;
    version.parse().ok()
}

fn is_whole_text(record: &Record, text: &str) -> bool {
    text == "stock: 7" || text.starts_with(&format!("{} nursery-", record.id))
}

fn whole_stream() -> String {
    let event = |number| format!("id: {number}\ndata: piece {number}\n\n");
    (1..=EVENTS).map(event).collect()
}
