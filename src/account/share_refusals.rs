//! Prompts refused since the share of their organisation was used up while engines were short.

use std::collections::BTreeMap;

use crate::explain::LogLine;

/// Refusals by organisation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ShareRefusals {
    /// Number of refused prompts by the name of their organisation.
    pub by_organisation: BTreeMap<String, usize>,
}

impl ShareRefusals {
    pub(super) fn from_lines(lines: &[LogLine]) -> Self {
        let mut refusals = Self::default();
        let refused = lines
            .iter()
            .filter(|line| line.text == "refused since its organisation's share is used up");
        for line in refused {
            let organisation = line.field("organisation");
            *refusals.by_organisation.entry(organisation).or_default() += 1;
        }
        refusals
    }

    /// Organisations in descending order of their refusals.
    pub fn by_count(&self) -> Vec<(&String, usize)> {
        let all = self.by_organisation.iter();
        let mut all: Vec<_> = all.map(|(name, count)| (name, *count)).collect();
        all.sort_by_key(|(name, count)| (std::cmp::Reverse(*count), *name));
        all
    }
}
