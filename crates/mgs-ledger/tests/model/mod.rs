//! Model of a ledger, an engine and the outcomes reported to gateways, as one state changed by
//! events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mgs_ledger::action::Action;
use mgs_ledger::execution::NotStarted;
use mgs_ledger::execution::StreamState;
use mgs_ledger::fault::InjectedFault;
use mgs_ledger::job::Job;
use mgs_ledger::job::OrganisationKey;
use mgs_ledger::job::Sender;
use mgs_ledger::ledger::DispatchResult;
use mgs_ledger::ledger::Ledger;
use mgs_ledger::ledger::Options;
use mgs_ledger::reconcile::parse_stream_name;
use mgs_ledger::reconcile::stream_name;
use mgs_ledger::reconcile::EngineEntry;
use mgs_schema::key::RequestId;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::WithdrawState;

/// Incarnation of the modelled sidecar.
const SIDECAR: u64 = 9;
const GATEWAY: u64 = 7;
const NEED_TOKENS: u64 = 60;
pub(crate) const CAPACITY_TOKENS: u64 = 100;
const LEASE_MS: u64 = 10;
const SPAN: u64 = 3;
const PART: &str = "part";
const IMPORTED: &str = "imported";
const PART_TOKENS: u64 = 40;
const BUDGET_MS: u64 = 50;

/// An event of the model. The number is the serial of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    /// A dispatch of the first attempt arrives on the session of the second field.
    Dispatch(u64, u64),
    /// A withdrawal of all attempts arrives.
    Withdraw(u64),
    /// A cancel arrives.
    Cancel(u64),
    /// The gateway opens session 2.
    NewSession,
    /// The gateway's connections are lost.
    GatewayLost,
    /// A start in flight takes effect at the engine and is answered.
    Started(u64),
    /// A start in flight is proved not to have happened.
    NotStarted(u64, NotStarted),
    /// The connection to the engine is lost; the start in flight has taken effect (or not).
    StartConnectionLost(u64, bool),
    /// A start whose connection was lost takes effect late.
    LateStart(u64),
    /// The sidecar gives up reading a running stream.
    StreamAbandoned(u64),
    /// The engine ends a stream, and its end is read.
    Finished(u64),
    /// The gateway reserves memory for the span.
    Reserve,
    /// The export of a part under the reservation starts.
    Export,
    /// The export is answered or its connection is lost; it has taken effect (or not yet).
    ExportEnds(bool),
    /// An export whose connection was lost takes effect late.
    LateExport,
    /// A starting request imports a part.
    Import(u64),
    /// The gateway releases its reservation.
    Release,
    /// Cancels in flight reach the engine.
    CancelsArrive,
    /// The engine's lists are reconciled with the ledger.
    Reconcile,
    /// The engine restarts without any state.
    EngineRestart,
    /// The sidecar is told to leave.
    Leave,
    /// More time than the gateway's lease passes.
    WaitLease,
    /// More time than any time budget passes.
    WaitDeadline,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Model {
    now_ms: u64,
    pub(crate) ledger: Ledger,
    boot: u64,
    /// Requests whose start is in flight: sent and not yet answered.
    starting: BTreeSet<RequestId>,
    /// Requests whose start was given up, but may still reach the engine.
    late_starts: BTreeSet<RequestId>,
    /// Requests whose stream is being read.
    reading: BTreeSet<RequestId>,
    /// Streams that the engine holds.
    pub(crate) engine_streams: BTreeSet<String>,
    cancels: BTreeSet<String>,
    /// KV that the engine holds.
    pub(crate) engine_kv: BTreeSet<&'static str>,
    kv_frees: BTreeSet<String>,
    exporting: bool,
    late_export: bool,
    /// Number of runs of each request at the engine.
    runs: BTreeMap<RequestId, u32>,
    /// Requests reported to a gateway as not run now or later.
    reported_not_run: BTreeSet<RequestId>,
}

fn id(number: u64) -> RequestId {
    RequestId {
        origin: GATEWAY,
        serial: number,
    }
}

fn job(number: u64, session: u64) -> Job {
    Job {
        id: id(number),
        attempt: 1,
        sender: Sender {
            gateway: GATEWAY,
            session,
            connection: session,
        },
        sidecar_incarnation: SIDECAR,
        organisation: OrganisationKey(number as u32),
        weight: 1,
        priority: 1,
        prompt_tokens: NEED_TOKENS,
        cached_tokens: 0,
        max_tokens: 0,
        budget_ms: BUDGET_MS,
        orphan_ms: 0,
        idempotent: false,
        // The second request uses the reservation.
        span: if number == 2 { SPAN } else { 0 },
        unloading: false,
    }
}

impl Model {
    pub(crate) fn new(injected_fault: InjectedFault) -> Self {
        let options = Options {
            gateway_lease_ms: LEASE_MS,
            free_retry_ms: 5,
            full_pause_ms: 1,
            adopt_ms: LEASE_MS,
            injected_fault,
            ..Options::default()
        };
        let mut ledger = Ledger::new(SIDECAR, options);
        ledger.engine_up(0, 1, CAPACITY_TOKENS, 2);
        Self {
            now_ms: 0,
            ledger,
            boot: 1,
            starting: BTreeSet::new(),
            late_starts: BTreeSet::new(),
            reading: BTreeSet::new(),
            engine_streams: BTreeSet::new(),
            cancels: BTreeSet::new(),
            engine_kv: BTreeSet::new(),
            kv_frees: BTreeSet::new(),
            exporting: false,
            late_export: false,
            runs: BTreeMap::new(),
            reported_not_run: BTreeSet::new(),
        }
    }

    /// Whether the event is possible in this state.
    pub(crate) fn can(&self, event: Event) -> bool {
        match event {
            Event::Started(n) | Event::NotStarted(n, _) | Event::StartConnectionLost(n, _) => {
                self.starting.contains(&id(n))
            }
            Event::LateStart(n) => self.late_starts.contains(&id(n)),
            Event::StreamAbandoned(n) | Event::Finished(n) => self.reading.contains(&id(n)),
            Event::CancelsArrive => !self.cancels.is_empty() || !self.kv_frees.is_empty(),
            Event::ExportEnds(_) => self.exporting,
            Event::LateExport => self.late_export,
            Event::Import(n) => self.starting.contains(&id(n)),
            _ => true,
        }
    }

    /// Applies the event; the error names the violated invariant.
    pub(crate) fn step(&mut self, event: Event) -> Result<(), String> {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        match event {
            Event::Dispatch(n, session) => self.dispatch(n, session)?,
            Event::Withdraw(n) => {
                let state = self
                    .ledger
                    .withdraw(now_ms, id(n), 0, SIDECAR, BUDGET_MS * 100);
                if state == WithdrawState::NeverStarted {
                    self.report_not_run(id(n))?;
                }
            }
            Event::Cancel(n) => {
                self.ledger.cancel(now_ms, id(n));
            }
            Event::NewSession => {
                self.ledger.message_received(&job(0, 2).sender);
            }
            Event::GatewayLost => {
                self.ledger.connection_closed(now_ms, 1);
                self.ledger.connection_closed(now_ms, 2);
            }
            Event::Started(n) => {
                self.record_run(id(n))?;
                self.starting.remove(&id(n));
                self.reading.insert(id(n));
                self.ledger.started(now_ms, id(n));
                self.ledger.first_token(now_ms, id(n));
            }
            Event::NotStarted(n, why) => {
                self.starting.remove(&id(n));
                self.ledger.not_started(now_ms, id(n), why);
            }
            Event::StartConnectionLost(n, applied) => {
                if applied {
                    self.record_run(id(n))?;
                } else {
                    self.late_starts.insert(id(n));
                }
                self.starting.remove(&id(n));
                self.ledger.ended(now_ms, id(n), StreamState::Unknown, 0, 0);
            }
            Event::LateStart(n) => {
                self.late_starts.remove(&id(n));
                self.record_run(id(n))?;
            }
            Event::StreamAbandoned(n) => {
                self.reading.remove(&id(n));
                self.ledger.ended(now_ms, id(n), StreamState::Unknown, 0, 0);
            }
            Event::Finished(n) => {
                self.reading.remove(&id(n));
                self.engine_streams.remove(&stream_name(id(n), 1));
                self.ledger
                    .ended(now_ms, id(n), StreamState::Released, 10, 5);
            }
            Event::Reserve => {
                let tokens = NEED_TOKENS;
                self.ledger
                    .span_reserve(now_ms, SPAN, tokens, BUDGET_MS, GATEWAY);
            }
            Event::Export => self.exporting |= self.ledger.span_export(SPAN, PART, PART_TOKENS),
            Event::ExportEnds(applied) => {
                self.exporting = false;
                self.late_export |= !applied;
                if applied {
                    self.engine_kv.insert(PART);
                }
                self.ledger.span_exported(now_ms, PART, PART_TOKENS);
            }
            Event::LateExport => {
                self.late_export = false;
                self.engine_kv.insert(PART);
            }
            Event::Import(n) => {
                self.ledger.importing(id(n), IMPORTED);
                self.engine_kv.insert(IMPORTED);
                self.ledger.imported(id(n), 1, IMPORTED, PART_TOKENS);
            }
            Event::Release => self.ledger.span_release(now_ms, SPAN),
            Event::CancelsArrive => self.cancels_arrive(),
            Event::Reconcile => self.reconcile(),
            Event::EngineRestart => self.engine_restart(),
            Event::Leave => self.ledger.set_leaving(now_ms, true),
            Event::WaitLease => self.advance_time(LEASE_MS + 1),
            Event::WaitDeadline => self.advance_time(BUDGET_MS + 1),
        }
        self.perform_actions()
    }

    fn dispatch(&mut self, number: u64, session: u64) -> Result<(), String> {
        let id = id(number);
        let has_started = self.starting.contains(&id) || self.runs.contains_key(&id);
        let verdict = self.ledger.dispatch(self.now_ms, &job(number, session));
        match verdict {
            DispatchResult::Queued { .. } if has_started => Err(format!("{id} was queued again")),
            // A refusal as a duplicate doesn't prove that the request has not run; any other does.
            DispatchResult::Refused { reason, .. }
                if has_started && reason != RefusalReason::Duplicate =>
            {
                Err(format!(
                    "{id} was refused as {reason:?} although it had begun"
                ))
            }
            _ => Ok(()),
        }
    }

    fn advance_time(&mut self, ms: u64) {
        self.now_ms += ms;
        self.ledger.tick(self.now_ms);
    }

    fn reconcile(&mut self) {
        let listed: Vec<EngineEntry> = self
            .engine_streams
            .iter()
            .map(|name| EngineEntry {
                name: name.clone(),
                tokens: NEED_TOKENS,
                finished: false,
            })
            .collect();
        let kv: Vec<EngineEntry> = self
            .engine_kv
            .iter()
            .map(|name| EngineEntry {
                name: name.to_string(),
                tokens: PART_TOKENS,
                finished: false,
            })
            .collect();
        self.ledger.reconcile(self.now_ms, &listed, &kv);
    }

    fn engine_restart(&mut self) {
        self.engine_streams.clear();
        self.engine_kv.clear();
        self.boot += 1;
        let (boot, now_ms) = (self.boot, self.now_ms);
        self.ledger.engine_up(now_ms, boot, CAPACITY_TOKENS, 2);
        for id in std::mem::take(&mut self.reading) {
            self.ledger.ended(now_ms, id, StreamState::Released, 0, 0);
        }
    }

    fn cancels_arrive(&mut self) {
        for kv in std::mem::take(&mut self.kv_frees) {
            self.engine_kv.remove(kv.as_str());
            self.ledger.kv_freed(self.now_ms, &kv);
        }
        for name in std::mem::take(&mut self.cancels) {
            self.engine_streams.remove(&name);
            let Some((id, attempt)) = parse_stream_name(&name) else {
                unreachable!("only requests' streams are modelled");
            };
            if self.reading.remove(&id) {
                self.ledger
                    .ended(self.now_ms, id, StreamState::Released, 0, 0);
            }
            self.ledger.stream_freed(self.now_ms, id, attempt);
            self.ledger.unowned_stream_freed(self.now_ms, &name);
        }
    }

    fn record_run(&mut self, id: RequestId) -> Result<(), String> {
        self.engine_streams.insert(stream_name(id, 1));
        let runs = self.runs.entry(id).or_default();
        *runs += 1;
        if *runs > 1 {
            return Err(format!("{id} ran twice"));
        }
        match self.reported_not_run.contains(&id) {
            true => Err(format!("{id} ran after it was said not to")),
            false => Ok(()),
        }
    }

    fn report_not_run(&mut self, id: RequestId) -> Result<(), String> {
        self.reported_not_run.insert(id);
        match self.runs.contains_key(&id) {
            true => Err(format!("{id} had run when it was said not to have")),
            false => Ok(()),
        }
    }

    fn perform_actions(&mut self) -> Result<(), String> {
        for action in self.ledger.take_actions() {
            match action {
                Action::Start(id) => {
                    if self.reported_not_run.contains(&id) {
                        return Err(format!("{id} started after it was said not to"));
                    }
                    self.starting.insert(id);
                }
                Action::Refuse { id, .. } => self.report_not_run(id)?,
                Action::CancelStream { id, attempt } => {
                    self.cancels.insert(stream_name(id, attempt));
                }
                Action::CancelUnownedStream(name) => {
                    self.cancels.insert(name);
                }
                Action::FreeKv(kv) => {
                    self.kv_frees.insert(kv);
                }
                Action::Fail { .. } | Action::DropAnswer(_) => {}
            }
        }
        match self.ledger.kv_used_tokens() > CAPACITY_TOKENS * 2 {
            true => Err("memory is counted beyond all bounds".to_string()),
            false => Ok(()),
        }
    }

    /// Lets time pass with a working engine and no gateway, and checks that no memory is leaked.
    pub(crate) fn settle(mut self) -> Result<(), String> {
        for _ in 0..4 {
            for id in self.starting.clone() {
                self.step(Event::Started(id.serial))?;
            }
            if self.exporting {
                self.step(Event::ExportEnds(true))?;
            }
            if self.late_export {
                self.step(Event::LateExport)?;
            }
            for id in self.late_starts.clone() {
                self.step(Event::LateStart(id.serial))?;
            }
            self.step(Event::GatewayLost)?;
            self.step(Event::WaitDeadline)?;
            self.step(Event::Reconcile)?;
            if self.can(Event::CancelsArrive) {
                self.step(Event::CancelsArrive)?;
            }
        }
        if !self.engine_streams.is_empty() || !self.engine_kv.is_empty() {
            let (streams, kv) = (&self.engine_streams, &self.engine_kv);
            return Err(format!("the engine still holds {streams:?} {kv:?}"));
        }
        match (self.ledger.kv_used_tokens(), self.ledger.is_idle()) {
            (0, true) => Ok(()),
            (used, idle) => Err(format!("ledger holds {used} tokens, idle: {idle}")),
        }
    }
}
