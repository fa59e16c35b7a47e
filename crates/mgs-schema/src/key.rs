//! Small `Copy` keys shared by the workspace.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

use crate::wire::Cancel;
use crate::wire::Dispatch;
use crate::wire::Resume;
use crate::wire::Withdraw;

/// Identifier of a request, unique over the fleet and over time.
///
/// ```
/// use mgs_schema::key::RequestId;
///
/// let id = RequestId { origin: 1, serial: 2 };
/// assert_eq!(id.to_string().parse::<RequestId>().unwrap(), id);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// Incarnation of the gateway that admitted the request.
    pub origin: u64,
    /// Serial number within the origin.
    pub serial: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.origin, self.serial)
    }
}

/// not a request identifier: {0}
#[derive(Debug, Display)]
pub struct ParseError(String);

impl std::error::Error for ParseError {}

impl FromStr for RequestId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fail = || ParseError(text.chars().take(64).collect());
        if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(fail());
        }
        let origin = u64::from_str_radix(&text[..16], 16).map_err(|_| fail())?;
        let serial = u64::from_str_radix(&text[16..], 16).map_err(|_| fail())?;
        Ok(Self { origin, serial })
    }
}

macro_rules! request_id {
    ($($message:ty),+) => {$(
        impl $message {
            /// The request that the message is about.
            pub fn request_id(&self) -> RequestId {
                RequestId { origin: self.request_origin, serial: self.request_serial }
            }
        }
    )+};
}

request_id!(Cancel, Dispatch, Resume, Withdraw);
