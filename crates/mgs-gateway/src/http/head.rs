//! What the gateway reads from a request's head.

use mgs_request::outcome::Refusal;
use mgs_schema::wire::RefusalReason;
use tiny_http::Header;
use tiny_http::Request;

/// Most headers.
const HEADERS_MAX: usize = 100;

/// Most bytes of request line and headers.
const HEAD_MAX_BYTES: usize = 32 * 1024;

/// Longest value of a header that is given back or logged, in bytes.
const ECHO_MAX_BYTES: usize = 128;

/// Kind of request if the caller names none.
const DEFAULT_KIND: &str = "default";

/// The parts of a head that matter here.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Head {
    /// Bearer key.
    pub bearer: Option<String>,
    /// Kind of request.
    pub kind: String,
    /// Allotted time that the caller asks for, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// The caller's own name for the request.
    pub request_id: Option<String>,
    /// What the caller says of repeating it.
    pub idempotent: Option<bool>,
    /// Key under which repeated requests are one.
    pub idempotency_key: Option<String>,
    /// Whether the caller wants to come back for the answer.
    pub respond_async: bool,
    /// Content type of the body.
    pub content_type: String,
}

fn bad(detail: &str) -> Refusal {
    Refusal::new(RefusalReason::BadRequest, detail)
}

impl Head {
    /// Reads and checks a head. Bounds are checked here because the HTTP library has none.
    pub fn read(request: &Request) -> Result<Self, Refusal> {
        check_size(request)?;
        check_framing(request.headers())?;
        let mut head = Self {
            kind: DEFAULT_KIND.to_string(),
            ..Self::default()
        };
        for header in request.headers() {
            head.take(header)?;
        }
        Ok(head)
    }

    fn take(&mut self, header: &Header) -> Result<(), Refusal> {
        let value = header.value.as_str().trim();
        match header.field.as_str().as_str().to_ascii_lowercase().as_str() {
            "authorization" => {
                let (scheme, key) = value.split_once(' ').unwrap_or((value, ""));
                if scheme.eq_ignore_ascii_case("bearer") && !key.trim().is_empty() {
                    self.bearer = Some(key.trim().to_string());
                }
            }
            "request-kind" => self.kind = name(value, "Request-Kind")?,
            "request-timeout-ms" => {
                let parsed: Option<u64> = value.parse().ok().filter(|ms| *ms > 0);
                let wrong = "Request-Timeout-Ms must be a whole number above 0";
                self.timeout_ms = Some(parsed.ok_or_else(|| bad(wrong))?);
            }
            "x-request-id" => self.request_id = Some(name(value, "X-Request-Id")?),
            "idempotent" => {
                let parsed = value.to_ascii_lowercase().parse().ok();
                let wrong = "Idempotent must be true or false";
                self.idempotent = Some(parsed.ok_or_else(|| bad(wrong))?);
            }
            "idempotency-key" => self.idempotency_key = Some(name(value, "Idempotency-Key")?),
            "prefer" => {
                let mut wishes = value.split(',');
                self.respond_async |= wishes.any(|wish| wish.trim() == "respond-async");
            }
            "content-type" => self.content_type = value.to_string(),
            _ => {}
        }
        Ok(())
    }
}

fn name(value: &str, header: &str) -> Result<String, Refusal> {
    let visible = value.bytes().all(|byte| (b' '..=b'~').contains(&byte));
    if value.is_empty() || value.len() > ECHO_MAX_BYTES || !visible {
        let detail = format!("{header} must be 1 to {ECHO_MAX_BYTES} visible characters");
        return Err(bad(&detail));
    }
    Ok(value.to_string())
}

fn check_size(request: &Request) -> Result<(), Refusal> {
    let headers = request.headers();
    let size = |header: &Header| header.field.as_str().len() + header.value.as_str().len();
    let bytes: usize = request.url().len() + headers.iter().map(size).sum::<usize>();
    if bytes > HEAD_MAX_BYTES || headers.len() > HEADERS_MAX {
        let detail = format!("the head may have {HEADERS_MAX} headers and {HEAD_MAX_BYTES} bytes");
        return Err(Refusal::new(RefusalReason::TooLarge, &detail));
    }
    Ok(())
}

/// Refuses heads that another server might frame in another way.
fn check_framing(headers: &[Header]) -> Result<(), Refusal> {
    let named = |name: &'static str| headers.iter().filter(move |h| h.field.equiv(name));
    let lengths = named("Content-Length").count();
    let encodings = named("Transfer-Encoding").count();
    if lengths > 1 || encodings > 1 || (lengths == 1 && encodings == 1) {
        return Err(bad("one Content-Length or one Transfer-Encoding, not more"));
    }
    // Stricter than `parse`, which takes a sign.
    let number =
        |text: &str| text.bytes().all(|b| b.is_ascii_digit()) && text.parse::<usize>().is_ok();
    if named("Content-Length").any(|header| !number(header.value.as_str().trim())) {
        return Err(bad("Content-Length must be a number"));
    }
    let chunked = |text: &str| text.trim().eq_ignore_ascii_case("chunked");
    if named("Transfer-Encoding").any(|header| !chunked(header.value.as_str())) {
        return Err(bad("Transfer-Encoding must be chunked"));
    }
    Ok(())
}
