//! Reads a body within its bounds of size and time.

use std::io::Read;
use std::time::Duration;
use std::time::Instant;

use mgs_request::outcome::Refusal;
use mgs_schema::wire::RefusalReason;

const PART_BYTES: usize = 64 * 1024;

/// Bounds of a body.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Most bytes.
    pub max_bytes: usize,
    /// Longest time for all of it, in milliseconds.
    pub timeout_ms: u64,
}

/// Reads a whole body.
///
/// ```
/// use mgs_gateway::http::body;
///
/// let options = body::Options { max_bytes: 3, timeout_ms: 1_000 };
/// assert_eq!(body::read(&mut &b"fig"[..], &options).unwrap(), b"fig");
/// assert!(body::read(&mut &b"figs"[..], &options).is_err());
/// ```
pub fn read(reader: &mut dyn Read, options: &Options) -> Result<Vec<u8>, Refusal> {
    let until = Instant::now() + Duration::from_millis(options.timeout_ms);
    let mut body = Vec::new();
    let mut part = vec![0; PART_BYTES];
    loop {
        let count = reader.read(&mut part).map_err(|error| {
            let detail = format!("the body can't be read: {error}");
            Refusal::new(RefusalReason::BadRequest, &detail)
        })?;
        if count == 0 {
            return Ok(body);
        }
        if body.len() + count > options.max_bytes {
            return Err(too_large(options));
        }
        body.extend_from_slice(&part[..count]);
        if Instant::now() > until {
            let detail = "the body came too slowly";
            return Err(Refusal::new(RefusalReason::BadRequest, detail));
        }
    }
}

/// What is said of a body above the bound.
pub fn too_large(options: &Options) -> Refusal {
    let detail = format!("the body may have {} bytes", options.max_bytes);
    Refusal::new(RefusalReason::TooLarge, &detail)
}
