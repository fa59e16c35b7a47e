//! Bytes of a message: `bincode`, with variable-length integers.

use bincode::config::Configuration;
use bincode::config::Limit;
use bincode::config::LittleEndian;
use bincode::config::Varint;
use displaydoc::Display;

use crate::wire::envelope::Body;
use crate::wire::Envelope;

/// Largest encoded message: a prompt of a million tokens and room beside it, in bytes.
pub const MESSAGE_MAX_BYTES: usize = 16 * 1024 * 1024;

const CONFIG: Configuration<LittleEndian, Varint, Limit<MESSAGE_MAX_BYTES>> =
    bincode::config::standard().with_limit::<MESSAGE_MAX_BYTES>();

/// Why bytes are no message.
#[derive(Debug, Display)]
pub enum Error {
    /// message can't be encoded: {0}
    Encode(bincode::error::EncodeError),
    /// message can't be decoded: {0}
    Decode(bincode::error::DecodeError),
    /// {0} bytes follow the message
    TrailingBytes(usize),
    /// message has no body
    NoBody,
}

impl std::error::Error for Error {}

/// Encodes one message.
///
/// ```
/// use mgs_schema::codec;
/// use mgs_schema::wire::envelope::Body;
/// use mgs_schema::wire::Ping;
///
/// let bytes = codec::encode(Body::Ping(Ping { nonce: 7 })).unwrap();
/// assert!(matches!(codec::decode(&bytes).unwrap(), Body::Ping(Ping { nonce: 7 })));
/// ```
pub fn encode(body: Body) -> Result<Vec<u8>, Error> {
    let envelope = Envelope { body: Some(body) };
    bincode::serde::encode_to_vec(&envelope, CONFIG).map_err(Error::Encode)
}

/// Decodes one message, which must fill `bytes`.
///
/// ```
/// assert!(mgs_schema::codec::decode(&[9, 9, 9]).is_err());
/// ```
pub fn decode(bytes: &[u8]) -> Result<Body, Error> {
    let (envelope, used): (Envelope, usize) =
        bincode::serde::decode_from_slice(bytes, CONFIG).map_err(Error::Decode)?;
    if used != bytes.len() {
        return Err(Error::TrailingBytes(bytes.len() - used));
    }
    envelope.body.ok_or(Error::NoBody)
}
