//! Entries: the rows that stand for keyed and durable requests, and their keys in the store.

use mgs_schema::key::RequestId;
use mgs_schema::name::Name;
use mgs_schema::wire::RefusalReason;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Prefix of the rows of keyed requests.
pub const CLAIM_PREFIX: &str = "claim/";

/// Prefix of the rows of durable requests.
pub const ASYNC_PREFIX: &str = "async/";

/// Prefix of the objects that hold a durable request's body.
pub const BODY_PREFIX: &str = "async-body/";

/// Prefix of the objects that hold answers.
pub const ANSWER_PREFIX: &str = "answer/";

/// Longest answer kept within the row itself, in bytes.
pub const INLINE_MAX_BYTES: usize = 1_024;

/// Length of an entry's identifier, in hexadecimal digits.
const ID_DIGITS: usize = 32;

/// Length of the shard's name at the start of an identifier, in hexadecimal digits.
const SHARD_DIGITS: usize = 2;

/// Identifier of the entry of a keyed request: a digest, so that keys of any length and content
/// make rows of one size, and organisations can't meet.
///
/// ```
/// use mgs_durable::entry::key_id;
///
/// assert_eq!(key_id("org-1", "order-7"), key_id("org-1", "order-7"));
/// assert_ne!(key_id("org-1", "order-7"), key_id("org-2", "order-7"));
/// ```
pub fn key_id(organisation: &str, key: &str) -> String {
    let mut hash = Sha256::new();
    hash.update((organisation.len() as u64).to_le_bytes());
    hash.update(organisation.as_bytes());
    hash.update(key.as_bytes());
    let mut text = hex(&hash.finalize());
    text.truncate(ID_DIGITS);
    text
}

/// Digest of what a request asks for, to tell a repeated request from another one.
///
/// ```
/// use mgs_durable::entry::body_digest;
///
/// assert_ne!(body_digest("POST", "/a", b"x"), body_digest("POST", "/a", b"y"));
/// ```
pub fn body_digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut hash = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hex(&hash.finalize())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Whether a text from a caller has the form of an identifier.
///
/// ```
/// assert!(!mgs_durable::entry::is_id("../x"));
/// ```
pub fn is_id(text: &str) -> bool {
    let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    text.len() == ID_DIGITS && text.bytes().all(digit)
}

/// Key of a keyed request's row.
pub fn claim_key(id: &str) -> String {
    row_key(CLAIM_PREFIX, id)
}

/// Key of a durable request's row.
pub fn async_key(id: &str) -> String {
    row_key(ASYNC_PREFIX, id)
}

fn row_key(prefix: &str, id: &str) -> String {
    let shard = id.get(..SHARD_DIGITS).unwrap_or(id);
    format!("{prefix}{shard}/{id}")
}

/// The identifier in a row's key.
pub fn id_of(row_key: &str) -> &str {
    row_key.rsplit('/').next().unwrap_or(row_key)
}

/// Key of the object with a durable request's body. Submissions of one identifier differ in their
/// nonce, so clearing an abandoned one can't take the body of a later one.
pub fn body_key(id: &str, body: u64) -> String {
    format!("{BODY_PREFIX}{id}/{body:016x}")
}

/// Key of the object with an answer. Holders differ in their fencing number, so a late holder
/// can't overwrite the answer of a later one.
pub fn answer_key(row_key: &str, fencing: u64) -> String {
    let row = row_key.replace('/', "-");
    format!("{ANSWER_PREFIX}{row}/{fencing}")
}

/// Where a request was dispatched.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Target {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Incarnation of its sidecar that the dispatch was meant for.
    pub sidecar_incarnation: u64,
    /// Origin of the request's identifier there.
    pub request_origin: u64,
    /// Serial of the request's identifier there.
    pub request_serial: u64,
}

impl Target {
    /// The request's identifier at the endpoint.
    pub fn request_id(&self) -> RequestId {
        RequestId {
            origin: self.request_origin,
            serial: self.request_serial,
        }
    }
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// With its whole answer.
    Answered,
    /// Truly not run.
    Refused,
    /// Ran or partly ran, with no whole answer.
    Failed,
    /// May have run.
    Unknown,
}

/// Where an answer's body is.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// There is none.
    None,
    /// Here.
    Inline(String),
    /// In the object of this key.
    Object(String),
}

/// The end of a request, with its answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Done {
    /// How it ended.
    pub ending: Ending,
    /// Why, in lower case with underscores; empty when answered.
    pub reason: String,
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Body,
}

impl Done {
    /// An end without an answer.
    ///
    /// ```
    /// use mgs_durable::entry::Done;
    /// use mgs_durable::entry::Ending;
    ///
    /// assert_eq!(Done::without_answer(Ending::Failed, "deadline").reason, "deadline");
    /// ```
    pub fn without_answer(ending: Ending, reason: &str) -> Self {
        Self {
            ending,
            reason: reason.to_string(),
            status: 0,
            content_type: String::new(),
            body: Body::None,
        }
    }

    /// The end of a request that was refused.
    pub fn refused(reason: RefusalReason) -> Self {
        Self::without_answer(Ending::Refused, &reason.name())
    }
}

/// Where a request stands.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// A durable request whose body is being written; its caller has no 202 yet.
    Submitting,
    /// A durable request that waits for a holder.
    Queued,
    /// Its holder works on it and has dispatched it nowhere.
    Held,
    /// Its holder dispatches it, or has dispatched it, to this endpoint and to no other.
    Dispatched(Target),
    /// It has ended.
    Done(Done),
    /// A keyed request that became a durable one of the same identifier.
    Async,
}

/// An entry, the value of one row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Random for each tenure of a holder.
    pub nonce: u64,
    /// Number of the write within the tenure; with the nonce it makes each value unique, so a
    /// value read back shows whose write took effect.
    pub write: u64,
    /// Incarnation of the gateway that holds the entry, or wrote it last.
    pub holder: u64,
    /// Grows with each new holder.
    pub fencing: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// See [`body_digest`].
    pub digest: String,
    /// Where the request stands.
    pub state: State,
    /// Whether it may have run, in part or whole, under an earlier holder; only for a request that
    /// may run more than once. It can't end as refused then.
    #[serde(default)]
    pub dispatched_before: bool,
    /// Whether its caller wants it cancelled.
    pub cancelled: bool,
    /// Nonce in the key of a durable request's body; 0 for a keyed request.
    pub body: u64,
    /// Name of the organisation.
    pub organisation: String,
    /// Kind of request.
    pub kind: String,
    /// When it was submitted, in milliseconds of the shared clock.
    pub submitted_ms: u64,
    /// When its allotted time ends, in milliseconds of the shared clock.
    pub deadline_ms: u64,
    /// When the entry may be deleted, in milliseconds of the shared clock.
    pub expires_ms: u64,
}

impl Entry {
    /// The value as the store keeps it.
    ///
    /// ```
    /// # use mgs_durable::entry::Entry;
    /// # fn f(entry: &Entry) {
    /// assert_eq!(Entry::parse(&entry.to_text()).as_ref(), Some(entry));
    /// # }
    /// ```
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("an entry has only JSON's types")
    }

    /// The entry that a row's value stands for; `None` if it isn't one.
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}
