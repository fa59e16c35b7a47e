//! The duty, step by step, for the gateway that runs it on a thread of its own.

mod orders;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;

use mgs_platform::object::Objects;
use mgs_platform::table::scan_all;
use mgs_platform::table::Table;
use mgs_platform::table::Txn;
use mgs_platform::weight::Weights;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_settings::confirm;
use mgs_settings::hold::Holder;
use mgs_settings::member;
use mgs_settings::member::Observer;
use mgs_settings::store::compact;
use mgs_settings::store::read::Store;

use crate::demand;
use crate::demand::Smoothed;
use crate::dispatch::Dispatcher;
use crate::dispatch::Endpoints;
use crate::lease;
use crate::lease::Lease;
use crate::lease::Number;
use crate::order;
use crate::order::Action;
use crate::order::EndpointRecord;
use crate::placement;
use crate::placement::Engine;
use crate::placement::Move;
use crate::placement::Planner;
use crate::Error;

/// Settings of the duty.
#[derive(Debug, Clone)]
pub struct Options {
    /// The lease.
    pub lease: lease::Options,
    /// Placement.
    pub placement: placement::Options,
    /// Compaction of the settings' log.
    pub compact: compact::Options,
    /// How long a gateway's row stays unchanged before the gateway counts as dead, in milliseconds.
    pub member_lease_ms: u64,
    /// Reads per second that all gateways together may spend on watching the lease.
    pub watch_reads_per_s: u64,
    /// Time between looks at the fleet, in milliseconds.
    pub look_interval_ms: u64,
    /// Time before an order without an answer is sent again, in milliseconds.
    pub resend_interval_ms: u64,
    /// Time between compactions and removals of old rows, in milliseconds.
    pub clean_interval_ms: u64,
    /// How long a dead gateway's row is kept, in milliseconds.
    pub member_keep_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease: lease::Options::default(),
            placement: placement::Options::default(),
            compact: compact::Options::default(),
            member_lease_ms: member::Options::default().lease_ms,
            watch_reads_per_s: 50,
            look_interval_ms: 5_000,
            resend_interval_ms: 5_000,
            clean_interval_ms: 60_000,
            member_keep_ms: 600_000,
        }
    }
}

/// The platform's services that the duty uses.
#[derive(Clone)]
pub struct Platform {
    /// Lease, orders and rows of the fleet.
    pub table: Arc<dyn Table>,
    /// Snapshots of the settings.
    pub objects: Arc<dyn Objects>,
    /// Leave to load weights.
    pub weights: Arc<dyn Weights>,
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Platform").finish_non_exhaustive()
    }
}

/// What a step came to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Whether this process has the duty.
    pub held: bool,
    /// Orders sent in this step.
    pub sent: usize,
    /// Orders answered in this step.
    pub answered: usize,
    /// Orders on record without an answer.
    pub pending: usize,
}

/// The duty of one process.
#[derive(Debug)]
pub struct Runner {
    options: Options,
    platform: Platform,
    holder: Arc<Holder>,
    lease: Lease,
    dispatcher: Dispatcher,
    observer: Observer,
    duty: Option<Duty>,
}

/// What the holder of the duty knows; dropped with the duty.
#[derive(Debug, Default)]
struct Duty {
    records: BTreeMap<String, EndpointRecord>,
    /// Endpoints whose pending order an earlier holder numbered.
    inherited: HashSet<String>,
    /// Endpoints for which leave to load weights was given and not yet used.
    permitted: HashSet<String>,
    changed_ms: HashMap<String, u64>,
    /// The newest order sent to each endpoint, and when.
    sent: HashMap<String, Sent>,
    /// Models whose weights aren't to be had before a time.
    throttled_until_ms: HashMap<String, u64>,
    live: BTreeSet<String>,
    planner: Planner,
    demand: Smoothed,
    look_due_ms: u64,
    clean_due_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    fencing: u64,
    at_ms: u64,
}

impl Runner {
    /// A process, by name and incarnation, that doesn't have the duty.
    pub fn new(
        options: Options,
        platform: Platform,
        holder: Arc<Holder>,
        endpoints: Arc<dyn Endpoints>,
        process: (&str, u64),
    ) -> Self {
        let (name, incarnation) = process;
        Self {
            lease: Lease::new(options.lease.clone(), name, incarnation),
            dispatcher: Dispatcher::new(endpoints),
            observer: Observer::default(),
            options,
            platform,
            holder,
            duty: None,
        }
    }

    /// The way in which orders are sent, for a caller that waits for answers.
    pub fn dispatcher(&mut self) -> &mut Dispatcher {
        &mut self.dispatcher
    }

    /// Does what is due; call it about once a second. `gateways` is how many of them watch the
    /// lease. After an error what is known is read anew.
    pub fn tick(&mut self, now_ms: u64, gateways: u64) -> Result<Report, Error> {
        self.lease.watch_every(self.watch_interval_ms(gateways));
        let result = self.step(now_ms);
        if result.is_err() {
            self.duty = None;
        }
        result
    }

    fn watch_interval_ms(&self, gateways: u64) -> u64 {
        const MS_PER_S: u64 = 1_000;
        let fair_ms = gateways * MS_PER_S / self.options.watch_reads_per_s.max(1);
        self.options.lease.renew_interval_ms.max(fair_ms)
    }

    fn step(&mut self, now_ms: u64) -> Result<Report, Error> {
        if !self.lease.tick(now_ms, self.platform.table.as_ref())? {
            self.duty = None;
            return Ok(Report::default());
        }
        let mut duty = match self.duty.take() {
            Some(duty) => duty,
            None => self.take_over(now_ms)?,
        };
        let answered = self.take_answers(now_ms, &mut duty)?;
        self.look(now_ms, &mut duty)?;
        self.advance(now_ms, &mut duty)?;
        let sent = self.send(now_ms, &mut duty)?;
        self.clean(now_ms, &mut duty)?;
        let pending = duty.records.values().filter(|record| record.pending());
        let report = Report {
            held: true,
            sent,
            answered,
            pending: pending.count(),
        };
        self.duty = Some(duty);
        Ok(report)
    }

    /// Reads what earlier holders left.
    fn take_over(&mut self, now_ms: u64) -> Result<Duty, Error> {
        let rows = scan_all(self.platform.table.as_ref(), order::PREFIX)?;
        let mut duty = Duty {
            planner: Planner::new(self.options.placement.clone()),
            ..Duty::default()
        };
        for row in rows {
            let name = row.key.trim_start_matches(order::PREFIX).to_string();
            let record: EndpointRecord = crate::decode(&row.key, &row.value)?;
            if record.pending() {
                duty.inherited.insert(name.clone());
            }
            duty.changed_ms.insert(name.clone(), now_ms);
            duty.records.insert(name, record);
        }
        log::info!(fencing = self.lease.fencing(), endpoints = duty.records.len(); "controller duty taken");
        Ok(duty)
    }

    fn look(&mut self, now_ms: u64, duty: &mut Duty) -> Result<(), Error> {
        if now_ms < duty.look_due_ms {
            return Ok(());
        }
        duty.look_due_ms = now_ms + self.options.look_interval_ms;
        let table = self.platform.table.as_ref();
        let gateways = scan_all(table, member::GATEWAY_PREFIX)?;
        self.observer.observe(now_ms, &gateways)?;
        let live = self.observer.live(self.options.member_lease_ms);
        let rates = demand::sum(live.values().copied());
        let half_life_ms = self.options.placement.half_life_ms;
        duty.demand.update(now_ms, &rates, half_life_ms);
        let incarnations = live
            .iter()
            .map(|(name, m)| ((*name).to_string(), m.incarnation));
        let expected = confirm::Expected {
            gateways: incarnations.collect(),
            ..confirm::Expected::default()
        };
        let confirmed = scan_all(table, confirm::PREFIX)?;
        duty.live = confirm::connected(&expected, &confirmed)?;
        self.plan(now_ms, duty)
    }

    fn plan(&mut self, now_ms: u64, duty: &mut Duty) -> Result<(), Error> {
        let table = self.holder.table();
        let rows: Vec<&EndpointRow> = table.started(EndpointKind::Engine).collect();
        let models = rows.iter().flat_map(|row| row.models.iter().cloned());
        let models: BTreeSet<String> = models.collect();
        let live = rows.iter().filter(|row| duty.live.contains(&row.name));
        let engines: Vec<Engine> = live.map(|row| self.engine(duty, row)).collect();
        let rates = duty.demand.rates();
        let moves = duty.planner.plan(now_ms, &engines, &models, rates);
        for next in moves {
            self.begin(now_ms, duty, &next)?;
        }
        Ok(())
    }

    /// What the endpoint reports goes before what is on record: an engine that died comes back
    /// with the models of its start.
    fn engine(&self, duty: &Duty, row: &EndpointRow) -> Engine {
        let record = duty.records.get(&row.name);
        let pending = record.is_some_and(|record| record.pending() || record.next.is_some());
        let reported = self.dispatcher.endpoints().models(&row.name);
        let recorded = || record.map_or(&row.models, |record| &record.models).clone();
        Engine {
            name: row.name.clone(),
            zone: row.zone.clone(),
            models: reported.unwrap_or_else(recorded),
            changed_ms: duty.changed_ms.get(&row.name).copied(),
            pending,
        }
    }

    fn begin(&mut self, now_ms: u64, duty: &mut Duty, next: &Move) -> Result<(), Error> {
        if !self.permit(now_ms, duty, &next.to) {
            return Ok(());
        }
        let table = self.holder.table();
        let Some(row) = table.endpoint(&next.engine) else {
            return Ok(());
        };
        duty.permitted.insert(next.engine.clone());
        let record = EndpointRecord {
            models: self.engine(duty, row).models,
            next: Some(next.to.clone()),
            order: None,
        };
        let fencing = self.lease.next_fencing();
        let record = record.with_order(fencing, Action::Unload, &next.from);
        log::info!(endpoint:% = next.engine, from:% = next.from, to:% = next.to, fencing; "model moves");
        self.record(now_ms, duty, &next.engine, record, Number::Next)
    }

    fn clean(&mut self, now_ms: u64, duty: &mut Duty) -> Result<(), Error> {
        if now_ms < duty.clean_due_ms {
            return Ok(());
        }
        duty.clean_due_ms = now_ms + self.options.clean_interval_ms;
        let store = Store {
            table: self.platform.table.as_ref(),
            objects: self.platform.objects.as_ref(),
        };
        compact::run(store, &self.options.compact)?;
        for (key, version) in self.observer.older_than(self.options.member_keep_ms) {
            let name = key.trim_start_matches(member::GATEWAY_PREFIX);
            let txn = Txn::default()
                .when(&key, version)
                .delete(&key)
                .delete(&confirm::key(name));
            store.table.commit(&txn)?;
        }
        Ok(())
    }
}
