//! A history put in order: calls with their endings, executions, spans of faults.

use std::collections::BTreeMap;

use crate::history::Call;
use crate::history::Ending;
use crate::history::Entry;
use crate::history::Event;
use crate::history::Phase;
use crate::history::Request;
use crate::history::PLATFORM;

/// A call from its sending to its end.
pub(super) struct CallRecord {
    pub(super) call: Call,
    pub(super) request: Request,
    pub(super) gateway: String,
    pub(super) idempotent: bool,
    pub(super) allotted_ms: u64,
    pub(super) expected: String,
    pub(super) sent_ms: u64,
    /// When the system promised to keep it.
    pub(super) kept_ms: Option<u64>,
    pub(super) ended: Option<(u64, Ending)>,
}

impl CallRecord {
    /// When it ended; never, if it didn't.
    pub(super) fn ended_ms(&self) -> u64 {
        self.ended.as_ref().map_or(u64::MAX, |(at_ms, _)| *at_ms)
    }
}

/// One run of a request at an endpoint.
pub(super) struct Execution {
    pub(super) number: u32,
    pub(super) request: Request,
    pub(super) endpoint: String,
    pub(super) started_ms: u64,
    pub(super) ended_ms: u64,
}

/// A fault from its beginning to its end.
pub(super) struct FaultSpan {
    pub(super) place: String,
    pub(super) kind: String,
    pub(super) from_ms: u64,
    pub(super) to_ms: u64,
}

impl FaultSpan {
    pub(super) fn overlaps(&self, from_ms: u64, to_ms: u64) -> bool {
        self.from_ms <= to_ms && self.to_ms >= from_ms
    }

    pub(super) fn is_at(&self, place: &str) -> bool {
        self.place == place
    }

    pub(super) fn is_at_platform(&self) -> bool {
        self.place == PLATFORM
    }
}

/// Memory of an endpoint at the two ends of a run.
#[derive(Default)]
pub(super) struct MemoryRecord {
    pub(super) begin_tokens: Option<u64>,
    pub(super) end: Option<(u64, u64)>,
}

/// The whole history.
#[derive(Default)]
pub(super) struct Index<'a> {
    pub(super) entries: &'a [Entry],
    pub(super) calls: Vec<CallRecord>,
    pub(super) executions: Vec<Execution>,
    pub(super) faults: Vec<FaultSpan>,
    pub(super) memory: BTreeMap<String, MemoryRecord>,
    pub(super) process_starts: BTreeMap<String, u64>,
}

impl<'a> Index<'a> {
    pub(super) fn new(entries: &'a [Entry]) -> Self {
        let mut index = Self {
            entries,
            ..Self::default()
        };
        for entry in entries {
            index.add(entry);
        }
        index
    }

    /// Calls of a request.
    pub(super) fn calls_of(&self, request: Request) -> impl Iterator<Item = &CallRecord> {
        let of_request = move |record: &&CallRecord| record.request == request;
        self.calls.iter().filter(of_request)
    }

    /// Runs of a request.
    pub(super) fn executions_of(&self, request: Request) -> impl Iterator<Item = &Execution> {
        let of_request = move |execution: &&Execution| execution.request == request;
        self.executions.iter().filter(of_request)
    }

    /// Faults within a time.
    pub(super) fn faults_between(
        &self,
        from_ms: u64,
        to_ms: u64,
    ) -> impl Iterator<Item = &FaultSpan> {
        let within = move |fault: &&FaultSpan| fault.overlaps(from_ms, to_ms);
        self.faults.iter().filter(within)
    }

    /// The end of a time limit, counted anew from the end of each fault that `excuses` a delay.
    pub(super) fn extended_ms(
        &self,
        from_ms: u64,
        limit_ms: u64,
        excuses: impl Fn(&FaultSpan) -> bool,
    ) -> u64 {
        let mut end_ms = from_ms.saturating_add(limit_ms);
        loop {
            let between = self.faults_between(from_ms, end_ms);
            let latest = between.filter(|fault| excuses(fault)).map(|f| f.to_ms);
            let extended_ms = latest.max().unwrap_or(0).saturating_add(limit_ms);
            if extended_ms <= end_ms {
                return end_ms;
            }
            end_ms = extended_ms;
        }
    }

    fn add(&mut self, entry: &Entry) {
        let at_ms = entry.at_ms;
        match &entry.event {
            Event::Sent { .. } => self.add_call(at_ms, &entry.event),
            Event::Kept { call } => {
                self.with_call(*call, |record| record.kept_ms = Some(at_ms));
            }
            Event::Ended { call, ending } => {
                let ended = Some((at_ms, ending.clone()));
                self.with_call(*call, |record| record.ended = ended);
            }
            Event::Started { .. } => self.add_execution(at_ms, &entry.event),
            Event::Finished { execution, .. } => self.finish(at_ms, *execution),
            Event::Memory {
                endpoint,
                phase,
                used_tokens,
            } => self.add_memory(at_ms, endpoint, *phase, *used_tokens),
            Event::FaultBegun { place, kind } => self.faults.push(FaultSpan {
                place: place.clone(),
                kind: kind.clone(),
                from_ms: at_ms,
                to_ms: u64::MAX,
            }),
            Event::FaultEnded { place, kind } => self.end_fault(at_ms, place, kind),
            Event::ProcessStarted { process } => {
                self.process_starts.insert(process.clone(), at_ms);
            }
            _ => {}
        }
    }

    fn add_call(&mut self, at_ms: u64, event: &Event) {
        let Event::Sent {
            call,
            request,
            gateway,
            idempotent,
            allotted_ms,
            expected,
        } = event
        else {
            return;
        };
        self.calls.push(CallRecord {
            call: *call,
            request: *request,
            gateway: gateway.clone(),
            idempotent: *idempotent,
            allotted_ms: *allotted_ms,
            expected: expected.clone(),
            sent_ms: at_ms,
            kept_ms: None,
            ended: None,
        });
    }

    fn add_execution(&mut self, at_ms: u64, event: &Event) {
        if let Event::Started {
            execution,
            request,
            endpoint,
        } = event
        {
            self.executions.push(Execution {
                number: *execution,
                request: *request,
                endpoint: endpoint.clone(),
                started_ms: at_ms,
                ended_ms: u64::MAX,
            });
        }
    }

    fn with_call(&mut self, call: Call, change: impl FnOnce(&mut CallRecord)) {
        let found = self.calls.iter_mut().rev().find(|one| one.call == call);
        if let Some(record) = found {
            change(record);
        }
    }

    fn finish(&mut self, at_ms: u64, number: u32) {
        let mut executions = self.executions.iter_mut();
        if let Some(execution) = executions.find(|one| one.number == number) {
            execution.ended_ms = at_ms;
        }
    }

    fn add_memory(&mut self, at_ms: u64, endpoint: &str, phase: Phase, used_tokens: u64) {
        let record = self.memory.entry(endpoint.to_string()).or_default();
        match phase {
            Phase::Begin => record.begin_tokens = Some(used_tokens),
            Phase::End => record.end = Some((at_ms, used_tokens)),
        }
    }

    fn end_fault(&mut self, at_ms: u64, place: &str, kind: &str) {
        let open = |fault: &&mut FaultSpan| {
            fault.to_ms == u64::MAX && fault.is_at(place) && fault.kind == kind
        };
        if let Some(fault) = self.faults.iter_mut().find(open) {
            fault.to_ms = at_ms;
        }
    }
}
