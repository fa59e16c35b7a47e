//! An endpoint obeys no order from the past, and one holder at most uses a fencing number.

use std::collections::BTreeMap;

use crate::check::index::Index;
use crate::check::Finding;
use crate::check::Invariant;
use crate::history::Event;

pub(super) fn check(index: &Index<'_>) -> Finding {
    let mut finding = Finding::new(Invariant::Orders);
    let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    for entry in index.entries {
        match &entry.event {
            Event::Obeyed { endpoint, fencing } => {
                let seen = highest.entry(endpoint).or_default();
                let old = *fencing < *seen;
                let fault = old.then(|| {
                    format!("{endpoint} obeyed an order with number {fencing} after {seen}")
                });
                finding.judge(entry.at_ms, fault);
                *seen = (*seen).max(*fencing);
            }
            Event::LeaseTaken { fencing, holder } => {
                let first = *holders.entry(*fencing).or_insert(holder);
                let shared = first != holder;
                let fault =
                    shared.then(|| format!("{first} and {holder} both held number {fencing}"));
                finding.judge(entry.at_ms, fault);
            }
            _ => {}
        }
    }
    finding
}
