//! What gateways spent on the store and on messages.

use std::collections::BTreeMap;

use crate::explain::Line;

/// Calls and bytes of all gateways.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Spent {
    /// Calls to the store by topic and reason.
    pub calls: BTreeMap<(String, String), u64>,
    /// Bytes by what they carry.
    pub bytes: BTreeMap<String, u64>,
}

impl Spent {
    pub(super) fn of(lines: &[Line]) -> Self {
        let mut spent = Self::default();
        for line in lines {
            match line.text.as_str() {
                "the store is called" => spent.count_call(line),
                "bytes carried" => spent.add_bytes(line),
                _ => {}
            }
        }
        spent
    }

    fn count_call(&mut self, line: &Line) {
        let call = (line.field("topic"), line.field("reason"));
        *self.calls.entry(call).or_default() += 1;
    }

    /// Each line tells what has come since the line before.
    fn add_bytes(&mut self, line: &Line) {
        for (what, bytes) in &line.fields {
            let bytes = bytes.as_u64().unwrap_or(0);
            *self.bytes.entry(what.clone()).or_default() += bytes;
        }
    }
}
