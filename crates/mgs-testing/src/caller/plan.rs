//! What a caller sends.

use mgs_standin::engine::text;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::history::Request;

/// Begins each prompt and body, so that a run at an endpoint can be told from others.
const MARKER: &str = "request-";

const FILLER: &str = "words that stand for the text of a long prompt, over and over; ";

/// Bytes of text that count as a token.
const BYTES_PER_TOKEN: usize = mgs_schema::prefix::BYTES_PER_TOKEN;

const SHORT_TOKENS_MAX: usize = 800;

const LONG_TOKENS_MAX: usize = 12_000;

const ANSWER_TOKENS_MAX: u64 = 60;

const LONG_ANSWER_TOKENS_MAX: u64 = 200;

/// One request in so many can't be answered in time, and must be ended by the system.
const ENDLESS_ONE_IN: u32 = 40;

const ENDLESS_ANSWER_TOKENS: u64 = 30_000;

/// Time allotted to durable requests, in milliseconds.
const DURABLE_ALLOTTED_MS: u64 = 25_000;

const ENDLESS_ALLOTTED_MS: u64 = 3_000;

/// How a request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A completion whose answer is streamed.
    Streamed,
    /// A completion whose answer comes whole.
    Whole,
    /// A call of the plain service.
    Service,
    /// A completion whose answer is fetched later.
    Durable,
}

/// A request that a caller is to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Its number.
    pub request: Request,
    /// How it is sent.
    pub kind: Kind,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Prompt or body.
    pub text: String,
    /// Longest answer.
    pub max_tokens: u64,
    /// Time allotted to it.
    pub allotted_ms: u64,
}

impl Plan {
    /// A short streamed completion that may be repeated.
    ///
    /// ```
    /// use mgs_testing::caller::marker_of;
    /// use mgs_testing::caller::Plan;
    /// use mgs_testing::history::Request;
    ///
    /// let plan = Plan::new(Request(7), 100);
    /// assert_eq!(marker_of(&plan.text), Some(Request(7)));
    /// ```
    pub fn new(request: Request, prompt_tokens: usize) -> Self {
        Self {
            request,
            kind: Kind::Streamed,
            idempotent: true,
            key: None,
            text: marked(request, prompt_tokens),
            max_tokens: 20,
            allotted_ms: 15_000,
        }
    }

    /// Any request, from a seeded random source.
    pub fn random(request: Request, run: &str, random: &mut ChaCha8Rng) -> Self {
        let long = random.random_ratio(1, 12);
        let (prompt_max, answer_max) = match long {
            true => (LONG_TOKENS_MAX, LONG_ANSWER_TOKENS_MAX),
            false => (SHORT_TOKENS_MAX, ANSWER_TOKENS_MAX),
        };
        let kind = match random.random_range(0..8) {
            0 => Kind::Durable,
            1 | 2 => Kind::Whole,
            3 | 4 => Kind::Service,
            _ => Kind::Streamed,
        };
        let keyed = random.random_ratio(1, 4);
        let plan = Self {
            kind,
            idempotent: random.random_ratio(2, 5),
            key: keyed.then(|| format!("{run}-{}", request.0)),
            max_tokens: random.random_range(5..=answer_max),
            allotted_ms: random.random_range(8_000..=15_000),
            ..Self::new(request, random.random_range(8..=prompt_max))
        };
        match kind {
            _ if random.random_ratio(1, ENDLESS_ONE_IN) => plan.endless(),
            Kind::Durable => plan.patient(),
            _ => plan,
        }
    }

    /// The same request with time for another gateway to take it over.
    fn patient(self) -> Self {
        Self {
            allotted_ms: DURABLE_ALLOTTED_MS,
            ..self
        }
    }

    /// The same request with an answer that no engine ends within the time allotted.
    fn endless(self) -> Self {
        Self {
            max_tokens: ENDLESS_ANSWER_TOKENS,
            allotted_ms: ENDLESS_ALLOTTED_MS,
            ..self
        }
    }

    /// The whole answer that it must get.
    pub fn expected(&self) -> String {
        match self.kind {
            Kind::Streamed | Kind::Whole | Kind::Durable => {
                text::expected(&self.text, self.max_tokens)
            }
            // The stand-in of the service sends the body back.
            Kind::Service => self.text.clone(),
        }
    }
}

/// The request that a prompt or a body belongs to.
pub fn marker_of(text: &str) -> Option<Request> {
    let (number, _) = text.strip_prefix(MARKER)?.split_once(' ')?;
    number.parse().ok().map(Request)
}

fn marked(request: Request, tokens: usize) -> String {
    let bytes = tokens * BYTES_PER_TOKEN;
    let mut text = format!("{MARKER}{} ", request.0);
    while text.len() < bytes {
        text.push_str(FILLER);
    }
    text
}
