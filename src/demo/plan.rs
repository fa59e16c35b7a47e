//! Generates the load of the demonstration: a seeded mix of prompt lengths, organisations and kinds of request.

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::client::Delivery;

/// Name of the model that the engines serve.
pub const MODEL: &str = "model-a";

/// Name of the plain service.
pub const SERVICE: &str = "stock";

/// Names of the calling organisations.
pub const ORGANISATIONS: [&str; 4] = ["org-1", "org-2", "org-3", "org-4"];

/// Length of the longest prompt, in tokens.
pub const PROMPT_TOKENS_MAX: u64 = 1_000_000;

const BYTES_PER_TOKEN: u64 = 4;
const MS_PER_S: f64 = 1_000.0;

/// A kind of request with its limits.
#[derive(Debug)]
pub struct Kind {
    /// Name of the kind, as in the `Request-Kind` header.
    pub name: &'static str,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Weight among kinds of the same priority.
    pub weight: u32,
    /// Time allotted to a request, in milliseconds.
    pub allotted_ms: u64,
}

/// The kinds of request; each is a row of limits in the demonstration's table.
pub const KINDS: [Kind; 4] = [
    Kind {
        name: "query",
        priority: 0,
        weight: 4,
        allotted_ms: 20_000,
    },
    Kind {
        name: "order",
        priority: 1,
        weight: 2,
        allotted_ms: 20_000,
    },
    Kind {
        name: "review",
        priority: 4,
        weight: 2,
        allotted_ms: 60_000,
    },
    Kind {
        name: "audit",
        priority: 7,
        weight: 1,
        allotted_ms: 120_000,
    },
];

/// A class of prompt lengths: its share of the completions and its index in [`KINDS`].
struct LengthClass {
    share_percent: u32,
    min_prompt_tokens: u64,
    max_prompt_tokens: u64,
    kind: usize,
}

const LENGTH_CLASSES: [LengthClass; 5] = [
    LengthClass {
        share_percent: 60,
        min_prompt_tokens: 1_000,
        max_prompt_tokens: 4_000,
        kind: 0,
    },
    LengthClass {
        share_percent: 20,
        min_prompt_tokens: 4_000,
        max_prompt_tokens: 16_000,
        kind: 0,
    },
    LengthClass {
        share_percent: 12,
        min_prompt_tokens: 16_000,
        max_prompt_tokens: 64_000,
        kind: 2,
    },
    LengthClass {
        share_percent: 6,
        min_prompt_tokens: 64_000,
        max_prompt_tokens: 256_000,
        kind: 2,
    },
    LengthClass {
        share_percent: 2,
        min_prompt_tokens: 256_000,
        max_prompt_tokens: PROMPT_TOKENS_MAX,
        kind: 3,
    },
];

const SERVICE_PERCENT: u32 = 15;
const STREAMED_PERCENT: u32 = 70;
const ASYNC_PERCENT: u32 = 8;
const DUPLICATED_PERCENT: u32 = 30;
const NON_IDEMPOTENT_PERCENT: u32 = 25;
const SHARED_PREFIX_PERCENT: u32 = 30;
const SHARED_PREFIX_TOKENS: u64 = 800;
const ANSWER_TOKENS_MIN: u64 = 8;
const ANSWER_TOKENS_MAX: u64 = 96;
const BASELINE_REQUESTS: u64 = 20;
const BASELINE_GAP_MS: u64 = 75;
const BASELINE_FIRST_NUMBER: u64 = 1 << 32;
const SERVICE_KIND: usize = 1;

/// Options of the load.
#[derive(Debug, Clone)]
pub struct Options {
    /// Mean number of requests sent per second.
    pub requests_per_s: f64,
    /// Time over which requests are sent, in milliseconds.
    pub load_ms: u64,
    /// Seed of the random generator.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            requests_per_s: 20.0,
            load_ms: 10_000,
            seed: 1,
        }
    }
}

/// What a request calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Completes a prompt.
    Completion {
        /// Prompt length, in tokens.
        prompt_tokens: u64,
        /// Whether the prompt starts with the shared prefix of its organisation.
        shared_prefix: bool,
        /// Maximum length of the answer, in tokens.
        max_tokens: u64,
        /// How the answer is delivered.
        delivery: Delivery,
    },
    /// Calls the plain service.
    Service,
}

/// A request with its scheduled time.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// Unique number, which makes its prompt or path unique.
    pub number: u64,
    /// Time at which it is sent, in milliseconds after the start of the load.
    pub at_ms: u64,
    /// Index of its organisation in [`ORGANISATIONS`].
    pub organisation: usize,
    /// Index of its kind in [`KINDS`].
    pub kind: usize,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it is sent to two gateways at once, with the same idempotency key.
    pub duplicated: bool,
    /// What it calls.
    pub call: Call,
}

/// Generates the mixed load; the same options give the same requests.
pub fn generate(options: &Options) -> Vec<PlannedRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let mut planned = Vec::new();
    let mut at_ms = 0.0;
    while at_ms < options.load_ms as f64 {
        let number = planned.len() as u64;
        planned.push(draw_request(&mut random, number, at_ms as u64));
        at_ms += interarrival_ms(&mut random, options.requests_per_s);
    }
    include_longest_prompt(&mut planned);
    planned
}

/// Draws the time between two arrivals of a Poisson process, in milliseconds.
fn interarrival_ms(random: &mut impl Rng, requests_per_s: f64) -> f64 {
    let uniform: f64 = random.random();
    -(1.0 - uniform).ln() / requests_per_s * MS_PER_S
}

/// Generates short streamed requests that are sent one at a time, to measure their latency on an
/// idle fleet. Their numbers differ from those of the mixed load.
pub fn baseline_requests() -> Vec<PlannedRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(0);
    let request = |index| {
        let mut request = draw_request(
            &mut random,
            BASELINE_FIRST_NUMBER + index,
            index * BASELINE_GAP_MS,
        );
        request.kind = LENGTH_CLASSES[0].kind;
        request.duplicated = false;
        request.call = Call::Completion {
            prompt_tokens: random.random_range(
                LENGTH_CLASSES[0].min_prompt_tokens..=LENGTH_CLASSES[0].max_prompt_tokens,
            ),
            shared_prefix: false,
            max_tokens: ANSWER_TOKENS_MIN,
            delivery: Delivery::Streamed,
        };
        request
    };
    (0..BASELINE_REQUESTS).map(request).collect()
}

fn draw_request(random: &mut impl Rng, number: u64, at_ms: u64) -> PlannedRequest {
    let organisation = random.random_range(0..ORGANISATIONS.len());
    let idempotent = !chance(random, NON_IDEMPOTENT_PERCENT);
    let duplicated = !idempotent && chance(random, DUPLICATED_PERCENT);
    let (kind, call) = if chance(random, SERVICE_PERCENT) {
        (SERVICE_KIND, Call::Service)
    } else {
        draw_completion(random)
    };
    PlannedRequest {
        number,
        at_ms,
        organisation,
        kind,
        idempotent,
        duplicated,
        call,
    }
}

fn draw_completion(random: &mut impl Rng) -> (usize, Call) {
    let class = draw_class(random);
    let call = Call::Completion {
        prompt_tokens: random.random_range(class.min_prompt_tokens..=class.max_prompt_tokens),
        shared_prefix: chance(random, SHARED_PREFIX_PERCENT),
        max_tokens: random.random_range(ANSWER_TOKENS_MIN..=ANSWER_TOKENS_MAX),
        delivery: draw_delivery(random),
    };
    (class.kind, call)
}

fn draw_delivery(random: &mut impl Rng) -> Delivery {
    match random.random_range(0..100) {
        drawn if drawn < STREAMED_PERCENT => Delivery::Streamed,
        drawn if drawn < STREAMED_PERCENT + ASYNC_PERCENT => Delivery::Async,
        _ => Delivery::Buffered,
    }
}

fn draw_class(random: &mut impl Rng) -> &'static LengthClass {
    let mut left = random.random_range(0..100);
    for class in &LENGTH_CLASSES {
        if left < class.share_percent {
            return class;
        }
        left -= class.share_percent;
    }
    unreachable!("BUG: the shares of the classes make up 100")
}

fn chance(random: &mut impl Rng, percent: u32) -> bool {
    random.random_range(0..100) < percent
}

/// Replaces the middle request by one with the longest prompt, since a short load may contain none.
fn include_longest_prompt(planned: &mut [PlannedRequest]) {
    let middle = planned.len() / 2;
    let Some(request) = planned.get_mut(middle) else {
        return;
    };
    request.kind = LENGTH_CLASSES[LENGTH_CLASSES.len() - 1].kind;
    request.call = Call::Completion {
        prompt_tokens: PROMPT_TOKENS_MAX,
        shared_prefix: false,
        max_tokens: ANSWER_TOKENS_MAX,
        delivery: Delivery::Streamed,
    };
}

/// Text of a planned completion's prompt: exactly `prompt_tokens` long and unique.
pub fn prompt(planned: &PlannedRequest, prompt_tokens: u64, shared_prefix: bool) -> String {
    let length = (prompt_tokens * BYTES_PER_TOKEN) as usize;
    let mut text = String::with_capacity(length + 32);
    if shared_prefix {
        let shared = SHARED_PREFIX_TOKENS * BYTES_PER_TOKEN;
        append_words(&mut text, planned.organisation as u64, shared as usize);
    }
    text.push_str(&format!("request {} ", planned.number));
    append_words(&mut text, u64::MAX - planned.number, length);
    text.truncate(length);
    text
}

/// Path of a planned call as the plain service sees it; it is unique.
pub fn service_path(planned: &PlannedRequest) -> String {
    format!("/items/{}", planned.number)
}

/// Appends pseudo-random words until the text has at least `length` bytes.
fn append_words(text: &mut String, seed: u64, length: usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    while text.len() < length {
        let word: u64 = random.random();
        text.push_str(&format!("{word:016x} "));
    }
}
