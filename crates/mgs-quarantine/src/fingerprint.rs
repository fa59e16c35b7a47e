//! Identifies repetitions of the same request.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// Digest of everything that makes two requests the same; equal at all gateways.
///
/// It doesn't resist deliberate collisions and needn't: the caller is part of the digest, so a
/// caller that constructs one can only get its own requests held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

/// What makes two requests the same.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestIdentity<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Host name in the request.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path with query.
    pub target: &'a str,
    /// Identity of the caller; empty if callers aren't identified.
    pub caller: &'a str,
    /// Request body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// The fingerprint of the request.
    ///
    /// ```
    /// use mgs_quarantine::fingerprint::RequestIdentity;
    ///
    /// let request = RequestIdentity { target: "/a", body: b"bc", ..RequestIdentity::default() };
    /// assert_eq!(request.fingerprint(), request.fingerprint());
    /// assert_ne!(
    ///     request.fingerprint(),
    ///     RequestIdentity { target: "/ab", body: b"c", ..request }.fingerprint()
    /// );
    /// ```
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hasher = Xxh3::new();
        for part in [
            self.service,
            self.host,
            self.method,
            self.target,
            self.caller,
        ] {
            hash_part(&mut hasher, part.as_bytes());
        }
        hash_part(&mut hasher, self.body);
        Fingerprint(hasher.digest128())
    }
}

/// A part of prompts that several requests of a service may share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Service that the prompts are for.
    pub service: String,
    /// Identifier of the part.
    pub id: String,
}

impl PromptPart {
    /// The key of the part, which no request has.
    ///
    /// ```
    /// use mgs_quarantine::fingerprint::PromptPart;
    ///
    /// let part = |service: &str, id: &str| PromptPart {
    ///     service: service.to_string(),
    ///     id: id.to_string(),
    /// };
    /// assert_eq!(part("model", "a").fingerprint(), part("model", "a").fingerprint());
    /// assert_ne!(part("model", "a").fingerprint(), part("other", "a").fingerprint());
    /// ```
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hasher = Xxh3::new();
        for part in ["part of a prompt", &self.service, &self.id] {
            hash_part(&mut hasher, part.as_bytes());
        }
        Fingerprint(hasher.digest128())
    }
}

/// Hashes the length before the content, so that moving bytes between parts changes the digest.
fn hash_part(hasher: &mut Xxh3, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    /// Parses the format of [`fmt::Display`].
    ///
    /// ```
    /// use mgs_quarantine::fingerprint::Fingerprint;
    ///
    /// let fingerprint = Fingerprint(7);
    /// assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
