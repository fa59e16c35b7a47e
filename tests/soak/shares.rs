//! Checks that an organisation that sends more than usual costs the others nothing, and that nobody is held to a share
//! while nothing is short.

use std::time::Duration;
use std::time::Instant;

use crate::check::Observations;
use crate::clients::Record;
use crate::endpoint_traits::ORGANISATION_KEYS;

/// Share of the others' prompts that may be refused as being over their share.
const OTHERS_REFUSED_MAX: f64 = 0.03;

/// Time from the end of a surge until nothing is short any more.
const SETTLE_TIME: Duration = Duration::from_secs(3);

impl Observations<'_> {
    /// Checks the refusals of prompts as being over the share of their organisation.
    pub(crate) fn check_shares(&self, found: &mut Vec<String>) {
        let surges = &self.history.surges;
        let is_in_surge = |record: &&Record| {
            let mut surges = surges.iter();
            surges.any(|(from, until)| {
                let ended_before = |until: Instant| until + SETTLE_TIME < record.sent_at;
                record.ended_at >= *from && !until.is_some_and(ended_before)
            })
        };
        let refused_early = self.records.iter().filter(|record| !is_in_surge(record));
        for record in refused_early.filter(|record| is_over_share(record)) {
            found.push(format!(
                "{} was refused as over share while nothing was short",
                record.id
            ));
        }
        let others: Vec<&Record> = self
            .records
            .iter()
            .filter(|r| r.kind.is_stream() && r.api_key != ORGANISATION_KEYS[0])
            .filter(is_in_surge)
            .collect();
        let refused = others.iter().filter(|record| is_over_share(record)).count();
        if refused as f64 > OTHERS_REFUSED_MAX * others.len() as f64 {
            found.push(format!(
                "{refused} of {} prompts of other organisations were refused as over share",
                others.len()
            ));
        }
    }
}

/// Whether a request was refused since its organisation's share is used up.
pub(crate) fn is_over_share(record: &Record) -> bool {
    let response = record.response.as_ref();
    response.is_some_and(|response| response.status == 503 && response.body.contains("over_share"))
}
