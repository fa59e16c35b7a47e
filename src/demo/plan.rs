//! What the demonstration sends: a seeded mix of lengths, organisations and kinds.

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::client::Delivery;

/// Model that the engines serve.
pub const MODEL: &str = "model-a";

/// Name of the plain service.
pub const SERVICE: &str = "stock";

/// Organisations that call.
pub const ORGANISATIONS: [&str; 4] = ["org-1", "org-2", "org-3", "org-4"];

/// Length of the longest prompt, in tokens.
pub const PROMPT_TOKENS_MAX: u64 = 1_000_000;

const BYTES_PER_TOKEN: u64 = 4;
const MS_PER_S: f64 = 1_000.0;

/// A kind of request: its row of limits and what it may ask.
#[derive(Debug)]
pub struct Kind {
    /// Name.
    pub name: &'static str,
    /// Priority; 0 is served first.
    pub priority: u32,
    /// Weight among rows of the same priority.
    pub weight: u32,
    /// Time allotted, in milliseconds.
    pub allotted_ms: u64,
}

/// The kinds of request, which are the rows of the demonstration's table.
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

/// A class of prompt lengths.
struct Class {
    share_percent: u32,
    least_tokens: u64,
    most_tokens: u64,
    kind: usize,
}

const CLASSES: [Class; 5] = [
    Class {
        share_percent: 60,
        least_tokens: 1_000,
        most_tokens: 4_000,
        kind: 0,
    },
    Class {
        share_percent: 20,
        least_tokens: 4_000,
        most_tokens: 16_000,
        kind: 0,
    },
    Class {
        share_percent: 12,
        least_tokens: 16_000,
        most_tokens: 64_000,
        kind: 2,
    },
    Class {
        share_percent: 6,
        least_tokens: 64_000,
        most_tokens: 256_000,
        kind: 2,
    },
    Class {
        share_percent: 2,
        least_tokens: 256_000,
        most_tokens: PROMPT_TOKENS_MAX,
        kind: 3,
    },
];

const SERVICE_PERCENT: u32 = 15;
const STREAMED_PERCENT: u32 = 70;
const LATER_PERCENT: u32 = 8;
const DOUBLED_PERCENT: u32 = 30;
const NON_IDEMPOTENT_PERCENT: u32 = 25;
const SHARED_PREFIX_PERCENT: u32 = 30;
const SHARED_PREFIX_TOKENS: u64 = 800;
const ANSWER_TOKENS_LEAST: u64 = 8;
const ANSWER_TOKENS_MOST: u64 = 96;
const ALONE_REQUESTS: u64 = 20;
const ALONE_GAP_MS: u64 = 75;
const ALONE_FIRST_NUMBER: u64 = 1 << 32;
const ORDER_KIND: usize = 1;

/// Settings of the mix.
#[derive(Debug, Clone)]
pub struct Options {
    /// Requests sent in a second, on average.
    pub requests_per_s: f64,
    /// Time over which requests are sent, in milliseconds.
    pub load_ms: u64,
    /// Seed of the mix.
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

/// What is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// A completion of a prompt.
    Completion {
        /// Prompt length.
        prompt_tokens: u64,
        /// Whether the prompt begins as others of its organisation do.
        shared_prefix: bool,
        /// Longest answer.
        max_tokens: u64,
        /// How the answer comes.
        delivery: Delivery,
    },
    /// A call of the plain service.
    Service,
}

/// A request to be sent.
#[derive(Debug, Clone)]
pub struct Planned {
    /// Its number, which makes its text unlike any other's.
    pub number: u64,
    /// When it is sent, counted from the start, in milliseconds.
    pub at_ms: u64,
    /// Index of its organisation.
    pub organisation: usize,
    /// Index of its kind.
    pub kind: usize,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it is sent to two gateways at once, under one key.
    pub doubled: bool,
    /// What is asked.
    pub call: Call,
}

/// Makes the mix; the same options give the same one.
pub fn make(options: &Options) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let mut planned = Vec::new();
    let mut at_ms = 0.0;
    while at_ms < options.load_ms as f64 {
        let number = planned.len() as u64;
        planned.push(draw(&mut random, number, at_ms as u64));
        at_ms += gap_ms(&mut random, options.requests_per_s);
    }
    add_extremes(&mut planned);
    planned
}

/// Time between two arrivals of a Poisson process.
fn gap_ms(random: &mut impl Rng, requests_per_s: f64) -> f64 {
    let uniform: f64 = random.random();
    -(1.0 - uniform).ln() / requests_per_s * MS_PER_S
}

/// Short streamed requests one at a time, to know how fast they are answered when nothing else
/// runs. Their numbers don't meet those of a mix.
pub fn alone() -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(0);
    let request = |index| {
        let mut request = draw(
            &mut random,
            ALONE_FIRST_NUMBER + index,
            index * ALONE_GAP_MS,
        );
        request.kind = CLASSES[0].kind;
        request.doubled = false;
        request.call = Call::Completion {
            prompt_tokens: random.random_range(CLASSES[0].least_tokens..=CLASSES[0].most_tokens),
            shared_prefix: false,
            max_tokens: ANSWER_TOKENS_LEAST,
            delivery: Delivery::Streamed,
        };
        request
    };
    (0..ALONE_REQUESTS).map(request).collect()
}

fn draw(random: &mut impl Rng, number: u64, at_ms: u64) -> Planned {
    let organisation = random.random_range(0..ORGANISATIONS.len());
    let idempotent = !percent(random, NON_IDEMPOTENT_PERCENT);
    let doubled = !idempotent && percent(random, DOUBLED_PERCENT);
    let (kind, call) = if percent(random, SERVICE_PERCENT) {
        (ORDER_KIND, Call::Service)
    } else {
        draw_completion(random)
    };
    Planned {
        number,
        at_ms,
        organisation,
        kind,
        idempotent,
        doubled,
        call,
    }
}

fn draw_completion(random: &mut impl Rng) -> (usize, Call) {
    let class = draw_class(random);
    let call = Call::Completion {
        prompt_tokens: random.random_range(class.least_tokens..=class.most_tokens),
        shared_prefix: percent(random, SHARED_PREFIX_PERCENT),
        max_tokens: random.random_range(ANSWER_TOKENS_LEAST..=ANSWER_TOKENS_MOST),
        delivery: draw_delivery(random),
    };
    (class.kind, call)
}

fn draw_delivery(random: &mut impl Rng) -> Delivery {
    match random.random_range(0..100) {
        drawn if drawn < STREAMED_PERCENT => Delivery::Streamed,
        drawn if drawn < STREAMED_PERCENT + LATER_PERCENT => Delivery::Later,
        _ => Delivery::Whole,
    }
}

fn draw_class(random: &mut impl Rng) -> &'static Class {
    let mut left = random.random_range(0..100);
    for class in &CLASSES {
        if left < class.share_percent {
            return class;
        }
        left -= class.share_percent;
    }
    unreachable!("BUG: the shares of the classes make up 100")
}

fn percent(random: &mut impl Rng, percent: u32) -> bool {
    random.random_range(0..100) < percent
}

/// A short mix may lack the longest prompts; one request in its middle always is of that length.
fn add_extremes(planned: &mut [Planned]) {
    let middle = planned.len() / 2;
    let Some(request) = planned.get_mut(middle) else {
        return;
    };
    request.kind = CLASSES[CLASSES.len() - 1].kind;
    request.call = Call::Completion {
        prompt_tokens: PROMPT_TOKENS_MAX,
        shared_prefix: false,
        max_tokens: ANSWER_TOKENS_MOST,
        delivery: Delivery::Streamed,
    };
}

/// The prompt of a planned completion: exactly `prompt_tokens` long and unlike any other.
pub fn prompt(planned: &Planned, prompt_tokens: u64, shared_prefix: bool) -> String {
    let length = (prompt_tokens * BYTES_PER_TOKEN) as usize;
    let mut text = String::with_capacity(length + 32);
    if shared_prefix {
        let shared = SHARED_PREFIX_TOKENS * BYTES_PER_TOKEN;
        fill(&mut text, planned.organisation as u64, shared as usize);
    }
    text.push_str(&format!("request {} ", planned.number));
    fill(&mut text, u64::MAX - planned.number, length);
    text.truncate(length);
    text
}

/// Path of a planned call as the plain service sees it, unlike any other's.
pub fn service_path(planned: &Planned) -> String {
    format!("/items/{}", planned.number)
}

/// Appends words until the text has `length` bytes or more.
fn fill(text: &mut String, seed: u64, length: usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    while text.len() < length {
        let word: u64 = random.random();
        text.push_str(&format!("{word:016x} "));
    }
}
