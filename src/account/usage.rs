//! Store calls and message bytes of the gateways.

use std::collections::BTreeMap;

use crate::explain::LogLine;

/// Store calls and message bytes of all gateways.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Number of store calls by topic and reason.
    pub calls: BTreeMap<(String, String), u64>,
    /// Message bytes by kind of content.
    pub bytes: BTreeMap<String, u64>,
}

impl ResourceUsage {
    pub(super) fn from_lines(lines: &[LogLine]) -> Self {
        let mut usage = Self::default();
        for line in lines {
            match line.text.as_str() {
                "the store is called" => usage.add_call(line),
                "bytes carried" => usage.add_bytes(line),
                _ => {}
            }
        }
        usage
    }

    fn add_call(&mut self, line: &LogLine) {
        let call = (line.field("topic"), line.field("reason"));
        *self.calls.entry(call).or_default() += 1;
    }

    /// Each line reports the bytes since the previous one.
    fn add_bytes(&mut self, line: &LogLine) {
        for (content, bytes) in &line.fields {
            let bytes = bytes.as_u64().unwrap_or(0);
            *self.bytes.entry(content.clone()).or_default() += bytes;
        }
    }
}
