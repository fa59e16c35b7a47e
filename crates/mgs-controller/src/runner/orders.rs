//! Orders: recorded, then sent, then settled.

use mgs_platform::table::Txn;

use super::Duty;
use super::Runner;
use super::Sent;
use crate::dispatch::Answer;
use crate::lease::Number;
use crate::order;
use crate::order::Action;
use crate::order::EndpointRecord;
use crate::order::OrderRecord;
use crate::Error;

impl Runner {
    pub(super) fn take_answers(&mut self, now_ms: u64, duty: &mut Duty) -> Result<usize, Error> {
        let answers = self.dispatcher.answers();
        for answer in &answers {
            self.settle(now_ms, duty, answer)?;
        }
        Ok(answers.len())
    }

    /// Records an answer to the order on record; an answer to any other order is of no use.
    fn settle(&mut self, now_ms: u64, duty: &mut Duty, answer: &Answer) -> Result<(), Error> {
        let reply = match &answer.reply {
            Ok(reply) => reply,
            Err(error) => {
                log::warn!(endpoint:% = answer.endpoint, error:%; "order has no answer");
                return Ok(());
            }
        };
        let record = duty.records.get(&answer.endpoint);
        let current = |record: &&EndpointRecord| {
            let order = record.order.as_ref();
            order.is_some_and(|order| order.fencing == answer.fencing && !order.settled)
        };
        let Some(record) = record.filter(current).cloned() else {
            return Ok(());
        };
        let load = |order: &OrderRecord| order.action == Action::Load;
        let refused_load = !reply.done && record.order.as_ref().is_some_and(load);
        let mut next = record.settled(reply.done);
        if refused_load {
            self.hold_back(now_ms, duty, &record);
            next.next = self.fallback(&answer.endpoint, &next);
        }
        log::info!(
            endpoint:% = answer.endpoint,
            fencing = answer.fencing,
            done = reply.done,
            detail:% = reply.detail;
            "order settled"
        );
        self.record(now_ms, duty, &answer.endpoint, next, Number::Keep)?;
        duty.inherited.remove(&answer.endpoint);
        duty.changed_ms.insert(answer.endpoint.clone(), now_ms);
        Ok(())
    }

    /// A model that an engine refused isn't tried elsewhere for a while.
    fn hold_back(&self, now_ms: u64, duty: &mut Duty, record: &EndpointRecord) {
        if let Some(order) = &record.order {
            let until_ms = now_ms + self.options.placement.stay_ms;
            duty.throttled_until_ms
                .insert(order.subject.clone(), until_ms);
        }
    }

    /// After a load that was refused: a declared model, so that the place doesn't stay empty.
    fn fallback(&self, endpoint: &str, record: &EndpointRecord) -> Option<String> {
        let table = self.holder.table();
        let declared = table.endpoint(endpoint)?.models.iter();
        let subject = record.order.as_ref().map(|order| &order.subject);
        let mut missing = declared.filter(|model| !record.models.contains(model));
        missing.find(|model| Some(*model) != subject).cloned()
    }

    pub(super) fn record(
        &mut self,
        now_ms: u64,
        duty: &mut Duty,
        endpoint: &str,
        record: EndpointRecord,
        number: Number,
    ) -> Result<(), Error> {
        let key = order::key(endpoint);
        let txn = Txn::default().put(&key, &crate::encode(&key, &record)?);
        let table = self.platform.table.as_ref();
        self.lease.commit(now_ms, table, txn, number)?;
        duty.records.insert(endpoint.to_string(), record);
        Ok(())
    }

    /// Asks for leave to load weights; a refusal is remembered for as long as it says.
    pub(super) fn permit(&self, now_ms: u64, duty: &mut Duty, model: &str) -> bool {
        let until_ms = duty.throttled_until_ms.get(model).copied().unwrap_or(0);
        if now_ms < until_ms {
            return false;
        }
        let (name, version) = order::split_version(model);
        let ask = || self.platform.weights.permit(name, version);
        let wait_ms = match ask().or_else(|error| ask_again(error, ask)) {
            Ok(()) => return true,
            Err(mgs_platform::Error::Throttled { retry_after_ms }) => retry_after_ms,
            Err(_) => self.options.look_interval_ms,
        };
        let until_ms = now_ms + wait_ms;
        duty.throttled_until_ms.insert(model.to_string(), until_ms);
        false
    }

    /// Records the load that follows on a settled unload.
    pub(super) fn advance(&mut self, now_ms: u64, duty: &mut Duty) -> Result<(), Error> {
        let waits = |record: &EndpointRecord| record.next.is_some() && !record.pending();
        let waiting = duty.records.iter().filter(|(_, record)| waits(record));
        let waiting: Vec<(String, EndpointRecord)> = waiting
            .map(|(name, record)| (name.clone(), record.clone()))
            .collect();
        for (name, mut record) in waiting {
            let Some(model) = record.next.take() else {
                continue;
            };
            if !duty.permitted.remove(&name) && !self.permit(now_ms, duty, &model) {
                continue;
            }
            let fencing = self.lease.next_fencing();
            let record = record.with_order(fencing, Action::Load, &model);
            self.record(now_ms, duty, &name, record, Number::Next)?;
        }
        Ok(())
    }

    /// Sends orders on record that have no answer.
    pub(super) fn send(&mut self, now_ms: u64, duty: &mut Duty) -> Result<usize, Error> {
        let table = self.holder.table();
        let pending = duty.records.iter().filter(|(_, record)| record.pending());
        let names: Vec<String> = pending.map(|(name, _)| name.clone()).collect();
        let mut sent = 0;
        for name in names {
            let Some(row) = table.endpoint(&name) else {
                continue;
            };
            if !self.send_due(now_ms, duty, &name) {
                continue;
            }
            self.renumber_inherited(now_ms, duty, &name)?;
            let order = duty.records.get(&name).and_then(|r| r.order.as_ref());
            let Some(order) = order else {
                continue;
            };
            if let Err(error) = self.dispatcher.send(row, order.message()) {
                log::warn!(endpoint:% = name, error:%; "order can't be sent");
                continue;
            }
            let fencing = order.fencing;
            duty.sent.insert(
                name,
                Sent {
                    fencing,
                    at_ms: now_ms,
                },
            );
            sent += 1;
        }
        Ok(sent)
    }

    fn send_due(&self, now_ms: u64, duty: &Duty, name: &str) -> bool {
        let order = duty.records.get(name).and_then(|r| r.order.as_ref());
        let fencing = order.map_or(0, |order| order.fencing);
        let waits = |sent: &Sent| {
            let due_ms = sent.at_ms + self.options.resend_interval_ms;
            sent.fencing == fencing && now_ms < due_ms
        };
        !duty.sent.get(name).is_some_and(waits) && !self.dispatcher.in_flight(name)
    }

    /// An order of an earlier holder gets a number of this one's, so that a copy of the old one
    /// that is still on its way is refused.
    fn renumber_inherited(
        &mut self,
        now_ms: u64,
        duty: &mut Duty,
        name: &str,
    ) -> Result<(), Error> {
        if !duty.inherited.remove(name) {
            return Ok(());
        }
        let Some(record) = duty.records.get(name) else {
            return Ok(());
        };
        let record = record.renumbered(self.lease.next_fencing());
        self.record(now_ms, duty, name, record, Number::Next)
    }
}

/// A lost answer may have been leave; asking again costs at most one leave more.
fn ask_again(
    error: mgs_platform::Error,
    ask: impl Fn() -> Result<(), mgs_platform::Error>,
) -> Result<(), mgs_platform::Error> {
    match error {
        mgs_platform::Error::Unknown(_) => ask(),
        error => Err(error),
    }
}
