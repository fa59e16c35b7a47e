//! Messages inside an h2 body: a big-endian length of four bytes, then the encoded message.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use mgs_schema::codec;
use mgs_schema::wire::envelope::Body;

const HEAD_BYTES: usize = 4;

/// Encodes a message with its length.
pub(crate) fn encode(body: Body) -> Result<Bytes, codec::Error> {
    let message = codec::encode(body)?;
    let mut bytes = BytesMut::with_capacity(HEAD_BYTES + message.len());
    bytes.extend_from_slice(&(message.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&message);
    Ok(bytes.freeze())
}

/// Collects bytes until they are messages.
#[derive(Debug, Default)]
pub(crate) struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Adds received bytes.
    pub(crate) fn extend(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// The next whole message, if there is one.
    pub(crate) fn next(&mut self) -> Option<Result<Body, codec::Error>> {
        let head = self.buffer.get(..HEAD_BYTES)?;
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        if length > codec::MESSAGE_MAX_BYTES {
            return Some(Err(codec::Error::TrailingBytes(length)));
        }
        if self.buffer.len() < HEAD_BYTES + length {
            return None;
        }
        self.buffer.advance(HEAD_BYTES);
        let message = self.buffer.split_to(length);
        Some(codec::decode(&message))
    }
}
