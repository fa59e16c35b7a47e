//! The controller duty: one gateway at a time places models on engines and gives them orders.
//!
//! [`lease`] decides who has the duty and hands out fencing numbers, [`placement`] decides which
//! model an engine should serve, [`order`] records orders in the table service before they are
//! sent, [`gate`] is the sidecar's judgement of an order, and [`dispatch`] sends them, and [`runner`]
//! puts all of it together for the gateway that runs it. The holder keeps nothing that the table service doesn't have, so the
//! next one starts from there.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod demand;
pub mod dispatch;
pub mod gate;
pub mod lease;
pub mod order;
pub mod placement;
pub mod runner;

use displaydoc::Display;

/// Why a step gave no result.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// {0}
    Platform(mgs_platform::Error),
    /// {0}
    Settings(mgs_settings::store::Error),
    /// row {key} can't be read: {detail}
    Broken {
        /// Its key.
        key: String,
        /// What is wrong.
        detail: String,
    },
    /// the lease is held by another process or has lapsed
    NotHeld,
}

impl std::error::Error for Error {}

impl From<mgs_platform::Error> for Error {
    fn from(error: mgs_platform::Error) -> Self {
        Self::Platform(error)
    }
}

impl From<mgs_settings::store::Error> for Error {
    fn from(error: mgs_settings::store::Error) -> Self {
        Self::Settings(error)
    }
}

/// Reads a value as it stands in the table service.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(key: &str, text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|error| broken(key, &error))
}

/// Text of a value for the table service.
pub(crate) fn encode<T: serde::Serialize>(key: &str, value: &T) -> Result<String, Error> {
    serde_json::to_string(value).map_err(|error| broken(key, &error))
}

fn broken(key: &str, error: &serde_json::Error) -> Error {
    Error::Broken {
        key: key.to_string(),
        detail: error.to_string(),
    }
}
