//! What endpoints ask of gateways in their answers, and whether they get it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::callers::Record;
use crate::check::Seen;
use crate::history::What;
use crate::standin::endpoint::Arrival;

/// Time after which nothing comes any more from a gateway that was told of a leaving.
const LEFT: Duration = Duration::from_secs(2);

/// Time from its first naming until a limit binds, from an answer until its gateway is bound by it, and the span in which
/// requests are counted.
const LIMIT_BINDS_AFTER: Duration = Duration::from_secs(3);
const TOLD_BEFORE: Duration = Duration::from_millis(500);
const SPAN: Duration = Duration::from_secs(4);

/// What is allowed in it: so many times what the limit comes to, and more.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_MORE: f64 = 5.0;

/// Time from a refusal until the rest that it asks for begins, and what may come in it.
const REST_BEGINS_AFTER: Duration = Duration::from_millis(500);
const IN_REST_MAX: usize = 2;

/// A request that came to one life of an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Came {
    pub(crate) place: usize,
    pub(crate) id: String,
    /// Each life listens elsewhere, behind the proxy.
    pub(crate) life: SocketAddr,
    pub(crate) arrival: Arrival,
}

/// One of them and who sent it.
struct Sent<'a> {
    came: &'a Came,
    record: &'a Record,
}

impl Sent<'_> {
    fn said(&self, name: &str) -> Option<f64> {
        let mut lines = self.came.arrival.extra_headers.lines();
        let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))?;
        value.trim().parse().ok()
    }

    /// Whether the client got this very answer.
    fn is_passed_on(&self) -> bool {
        let answer = self.record.answer.as_ref();
        let is_whole = answer.is_some_and(|answer| answer.status == 200 && answer.is_complete);
        let said = answer.and_then(|answer| answer.head.header("server-leaving"));
        is_whole && said.is_some()
    }
}

impl Seen<'_> {
    pub(crate) fn check_asked(&self, found: &mut Vec<String>) {
        let by_id: HashMap<&str, &Record> =
            self.records.iter().map(|r| (r.id.as_str(), r)).collect();
        let mut by_life: HashMap<SocketAddr, Vec<Sent<'_>>> = HashMap::new();
        for came in self.came {
            if let Some(record) = by_id.get(came.arrival.request_id.as_str()) {
                let of_life = by_life.entry(came.life).or_default();
                of_life.push(Sent { came, record });
            }
        }
        for sent in by_life.values_mut() {
            sent.sort_by_key(|sent| sent.came.arrival.at);
            self.check_leaving(sent, found);
            self.check_limit(sent, found);
            self.check_rest(sent, found);
        }
    }

    /// Whether a gateway has run undisturbed from one moment to another.
    fn has_run(&self, gateway: usize, from: Instant, until: Instant) -> bool {
        !self.is_upset(&[What::Process(gateway)], from, until)
    }

    fn check_leaving(&self, all: &[Sent<'_>], found: &mut Vec<String>) {
        let mut told: HashMap<usize, Instant> = HashMap::new();
        let passed_on = all.iter().filter(|sent| sent.is_passed_on());
        for sent in passed_on.filter(|sent| sent.said("Server-Leaving").is_some()) {
            let at = told.entry(sent.record.gateway).or_insert(sent.record.ended);
            *at = (*at).min(sent.record.ended);
        }
        for sent in all {
            let (gateway, at) = (sent.record.gateway, sent.came.arrival.at);
            let told = told.get(&gateway);
            let Some(told) = told.filter(|told| sent.record.sent > **told + LEFT) else {
                continue;
            };
            if self.has_run(gateway, *told, at) {
                let (id, request) = (&sent.came.id, &sent.record.id);
                found.push(format!(
                    "{request} came to {id}, which had said that it leaves"
                ));
            }
        }
    }

    /// Counted are requests of gateways that were told and have run undisturbed since then, for as long as the endpoint names the
    /// same limit.
    fn check_limit(&self, all: &[Sent<'_>], found: &mut Vec<String>) {
        let named = |sent: &&Sent<'_>| sent.said("Server-Limit").is_some();
        let Some(first) = all.iter().find(named) else {
            return;
        };
        let per_s = first.said("Server-Limit").unwrap_or(0.0);
        let since = first.came.arrival.at + LIMIT_BINDS_AFTER;
        let bound = all.iter().filter(|sent| {
            let at = sent.came.arrival.at;
            let is_named = sent.said("Server-Limit") == Some(per_s);
            is_named && at >= since && self.is_told_of_limit(all, sent)
        });
        let bound: Vec<Instant> = bound.map(|sent| sent.came.arrival.at).collect();
        let most = bound.iter().map(|from| {
            let in_span = |at: &&Instant| **at >= *from && at.duration_since(*from) < SPAN;
            bound.iter().filter(in_span).count()
        });
        let most = most.max().unwrap_or(0);
        let allowed = per_s * SPAN.as_secs_f64() * ALLOWED_FACTOR + ALLOWED_MORE;
        if most as f64 > allowed {
            let id = &first.came.id;
            found.push(format!(
                "{id} takes {per_s} a second and got {most} in {SPAN:?}"
            ));
        }
    }

    /// Whether the gateway of a request had an answer with a limit from that endpoint.
    fn is_told_of_limit(&self, all: &[Sent<'_>], sent: &Sent<'_>) -> bool {
        let (gateway, at) = (sent.record.gateway, sent.came.arrival.at);
        let has_heard = |earlier: &&Sent<'_>| {
            let is_before = earlier.record.ended + TOLD_BEFORE < at;
            let is_answered = earlier
                .record
                .answer
                .as_ref()
                .is_some_and(|a| a.status == 200);
            let is_it = earlier.record.gateway == gateway && is_before && is_answered;
            is_it && earlier.said("Server-Limit").is_some()
        };
        let told = all.iter().find(has_heard);
        told.is_some_and(|told| self.has_run(gateway, told.record.sent, at))
    }

    fn check_rest(&self, all: &[Sent<'_>], found: &mut Vec<String>) {
        for asked in all.iter().filter(|sent| sent.came.arrival.is_refused) {
            let Some(rest_s) = asked.said("Retry-After") else {
                continue;
            };
            let from = asked.came.arrival.at;
            let until = from + Duration::from_secs_f64(rest_s);
            let upsets = [
                What::Process(asked.record.gateway),
                What::EndpointPath(asked.came.place),
            ];
            if self.is_upset(&upsets, from, until) {
                continue;
            }
            let in_rest = all.iter().filter(|sent| {
                let is_in = (from + REST_BEGINS_AFTER..until).contains(&sent.came.arrival.at);
                is_in && sent.record.gateway == asked.record.gateway
            });
            let came = in_rest.count();
            if came > IN_REST_MAX {
                let id = &asked.came.id;
                found.push(format!(
                    "{id} asked for {rest_s} s of rest and got {came} requests"
                ));
            }
        }
    }
}
