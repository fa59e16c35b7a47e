//! What the failure of an HTTP call proves.
//!
//! The clients of engines and of the platform tell apart a call that was never sent, which may be
//! made again, and one that may have taken effect. Both take the rule from here.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

use std::io;

use attohttpc::ErrorKind;

/// Whether the error proves that no byte of the call reached its server: there was no address to
/// connect to, or the connection was refused.
///
/// A timeout proves nothing, also one while connecting: the library reports it like one of a call
/// that was sent.
///
/// ```
/// let error = attohttpc::get("http://127.0.0.1:1/").send().unwrap_err();
/// assert!(mgs_http::is_unsent(&error));
/// ```
pub fn is_unsent(error: &attohttpc::Error) -> bool {
    match error.kind() {
        ErrorKind::ConnectError { .. } | ErrorKind::InvalidBaseUrl | ErrorKind::InvalidUrlHost => {
            true
        }
        ErrorKind::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
