//! KV that an engine holds outside streams.

use std::collections::BTreeMap;

use mgs_engine::engine::Error;
use mgs_engine::message::KvHandle;

use super::memory::Hold;

#[derive(Debug)]
struct Entry {
    /// Tokens of the text that it stands for.
    text_tokens: u64,
    hold: Hold,
}

/// Held KV by identifier.
#[derive(Debug, Default)]
pub(super) struct HeldKv {
    entries: BTreeMap<String, Entry>,
}

impl HeldKv {
    /// Whether there is such KV.
    pub(super) fn contains(&self, kv: &str) -> bool {
        self.entries.contains_key(kv)
    }

    /// Holds KV that stands for a text of so many tokens.
    pub(super) fn insert(&mut self, kv: &str, text_tokens: u64, hold: Hold) {
        let entry = Entry { text_tokens, hold };
        self.entries.insert(kv.to_string(), entry);
    }

    /// Finds KV.
    pub(super) fn get(&self, kv: &str) -> Result<KvHandle, Error> {
        let entry = self.entries.get(kv).ok_or(Error::NotFound)?;
        Ok(handle(kv, entry))
    }

    /// Lists KV.
    pub(super) fn list(&self) -> Vec<KvHandle> {
        let entries = self.entries.iter();
        entries.map(|(kv, entry)| handle(kv, entry)).collect()
    }

    /// Gives up KV; its memory is the caller's to release.
    pub(super) fn remove(&mut self, kv: &str) -> Result<Hold, Error> {
        let entry = self.entries.remove(kv).ok_or(Error::NotFound)?;
        Ok(entry.hold)
    }

    /// Tokens of the texts that these stand for together.
    pub(super) fn text_tokens(&self, kv: &[String]) -> Result<u64, Error> {
        let mut tokens = 0;
        for kv in kv {
            let entry = self.entries.get(kv);
            let entry = entry.ok_or_else(|| Error::Rejected(format!("no such kv: {kv}")))?;
            tokens += entry.text_tokens;
        }
        Ok(tokens)
    }
}

fn handle(kv: &str, entry: &Entry) -> KvHandle {
    KvHandle {
        kv: kv.to_string(),
        kv_tokens: entry.hold.tokens(),
    }
}
