//! The log of edits in the platform's table service.
//!
//! | key | value |
//! |---|---|
//! | `settings/head` | [`Head`]: version of the newest edit and its identifier |
//! | `settings/log/VERSION` | one [`Edit`], for the newest versions |
//! | `settings/compacted` | [`Compacted`]: which snapshot the rest of the log follows on |
//! | object `settings/snapshot/VERSION` | a [`Snapshot`](mgs_schema::settings::Snapshot) |
//! | object `settings/archive/FIRST` | the [`ARCHIVE_EDITS`] edits from `FIRST` on |
//!
//! Values are JSON. An edit is one transaction on the head's version that sets the head and
//! inserts the next entry of the log, so that versions are dense and an accepted edit can't be
//! lost. [`edit`] makes edits, [`read`] reads the table, [`compact`] shortens the log.

pub mod compact;
pub mod edit;
pub mod read;

use displaydoc::Display;
use mgs_platform::table::Row;
use mgs_schema::settings::Edit;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;

use crate::table;

/// Key of the head.
pub const HEAD_KEY: &str = "settings/head";

/// Prefix of the log's keys.
pub const LOG_PREFIX: &str = "settings/log/";

/// Key of the pointer to the newest snapshot.
pub const COMPACTED_KEY: &str = "settings/compacted";

/// Edits in one object of the archive.
pub const ARCHIVE_EDITS: u64 = 256;

/// Why the store gave no result.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// {0}
    Platform(mgs_platform::Error),
    /// row or object {key} can't be read: {detail}
    Broken {
        /// Its key.
        key: String,
        /// What is wrong.
        detail: String,
    },
    /// the log lacks version {0}
    Gap(u64),
}

impl std::error::Error for Error {}

impl From<mgs_platform::Error> for Error {
    fn from(error: mgs_platform::Error) -> Self {
        Self::Platform(error)
    }
}

impl From<table::Error> for Error {
    fn from(error: table::Error) -> Self {
        let table::Error::Gap { table, .. } = error;
        Self::Gap(table + 1)
    }
}

/// The newest version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version of the newest edit; 0 before the first.
    pub version: u64,
    /// Identifier of the newest edit.
    pub edit_id: String,
}

/// The head as its row holds it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeadRow {
    /// Version of the row in the store; 0 if there is none yet.
    pub revision: u64,
    /// The head.
    pub head: Head,
}

/// What the log follows on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compacted {
    /// Version of the newest snapshot.
    pub snapshot: u64,
    /// First version that the log still has.
    pub first: u64,
}

/// Key of a version's entry in the log; keys sort as versions do.
///
/// ```
/// assert_eq!(mgs_settings::store::log_key(7), "settings/log/00000000000000000007");
/// ```
pub fn log_key(version: u64) -> String {
    format!("{LOG_PREFIX}{version:020}")
}

/// Key of a snapshot's object.
pub fn snapshot_key(version: u64) -> String {
    format!("settings/snapshot/{version}")
}

/// Key of the archive's object that has a version.
///
/// ```
/// assert_eq!(mgs_settings::store::archive_key(256), "settings/archive/1");
/// assert_eq!(mgs_settings::store::archive_key(257), "settings/archive/257");
/// ```
pub fn archive_key(version: u64) -> String {
    format!("settings/archive/{}", archive_first(version))
}

/// First version in the archive's object that has a version, which is 1 or more.
pub(crate) fn archive_first(version: u64) -> u64 {
    (version - 1) / ARCHIVE_EDITS * ARCHIVE_EDITS + 1
}

/// Text of a value in the store.
pub(crate) fn encode<T: Serialize>(key: &str, value: &T) -> Result<String, Error> {
    serde_json::to_string(value).map_err(|error| broken(key, &error))
}

pub(crate) fn decode<T: DeserializeOwned>(key: &str, text: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(text).map_err(|error| broken(key, &error))
}

fn broken(key: &str, error: &serde_json::Error) -> Error {
    Error::Broken {
        key: key.to_string(),
        detail: error.to_string(),
    }
}

pub(crate) fn decode_edits(rows: &[Row]) -> Result<Vec<Edit>, Error> {
    let edits = rows.iter();
    edits
        .map(|row| decode(&row.key, row.value.as_bytes()))
        .collect()
}
