//! Which requests are one and the same work.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// Names a work among gateways: a digest of all that makes two requests the same.
///
/// It isn't a defence against a caller who constructs collisions, and needn't be: the caller is a part of it, so
/// whoever does can only have its own requests held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkKey(pub u128);

/// What makes two requests the same work.
#[derive(Debug, Clone, Copy, Default)]
pub struct Work<'a> {
    /// Service that it goes to.
    pub service: &'a str,
    /// Host name that was asked for.
    pub host: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path with query.
    pub target: &'a str,
    /// Whose request it is; empty if nobody needs to say.
    pub caller: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl Work<'_> {
    /// The key.
    ///
    /// ```
    /// use mgs_quarantine::key::Work;
    ///
    /// let work = Work { target: "/a", body: b"bc", ..Work::default() };
    /// assert_eq!(work.key(), work.key());
    /// assert_ne!(work.key(), Work { target: "/ab", body: b"c", ..work }.key());
    /// ```
    pub fn key(&self) -> WorkKey {
        let mut hasher = Xxh3::new();
        for part in [
            self.service,
            self.host,
            self.method,
            self.target,
            self.caller,
        ] {
            add(&mut hasher, part.as_bytes());
        }
        add(&mut hasher, self.body);
        WorkKey(hasher.digest128())
    }
}

/// Adds a part so that nothing can move from one to the next.
fn add(hasher: &mut Xxh3, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}

impl fmt::Display for WorkKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for WorkKey {
    type Err = std::num::ParseIntError;

    /// Reads what [`fmt::Display`] writes.
    ///
    /// ```
    /// use mgs_quarantine::key::WorkKey;
    ///
    /// let key = WorkKey(7);
    /// assert_eq!(key.to_string().parse(), Ok(key));
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
