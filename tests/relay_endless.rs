//! Endpoints that send bytes which are no answer, without end.
//!
//! Guards against an endpoint that keeps the host busy for as long as it likes, at the cost of other callers, or fills
//! its memory; and against a caller that gets no answer, or whose request runs twice.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;

mod common;
mod relay_process;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::wait_until;
use relay_process::Relay;
use rstest::rstest;
use standin::client::request;
use standin::client::ClientRequest;
use standin::client::Response;
use standin::endpoint::Behaviour;
use standin::endpoint::EndlessForm;
use standin::endpoint::Endpoint;
use standin::endpoint::ENDLESS_MARKER;
use standin::gateway::configuration;
use standin::gateway::store_with;
use standin::store::Store;

/// Time that a route allows for a request: as long could an answer without end keep a host busy.
const ROUTE_TIMEOUT_MS: u64 = 2_000;

/// Answers without end in each test, one after the other.
const ENDLESS_COUNT: usize = 4;

/// Callers with ordinary requests meanwhile.
const OTHERS: usize = 3;

/// Longest time to an ordinary answer on a busy test machine.
const ORDINARY_MAX: Duration = Duration::from_millis(600);

/// Most processor time that the host may use for each answer without end, in milliseconds, ordinary requests included. An
/// answer that isn't ended takes it all for [`ROUTE_TIMEOUT_MS`].
const BUSY_MAX_MS: u64 = ROUTE_TIMEOUT_MS / 8;

/// Most memory that the host may use, in kilobytes: half of its limit.
const MEMORY_MAX_KB: u64 = 60_000;

/// Settings of the smallest hosts.
const MEMORY_LIMIT: &str = "[limits]\nmemoryMb = 112\n";

/// A store whose routes allow [`ROUTE_TIMEOUT_MS`].
fn store_for(endpoints: &[&Endpoint]) -> Store {
    let store = store_with(endpoints);
    let mut changed = configuration(2);
    for route in changed["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = ROUTE_TIMEOUT_MS.into();
    }
    store.put("op", "config", &changed);
    store
}

/// A request that is answered without end.
fn endless_request(path: &str) -> ClientRequest {
    ClientRequest {
        body: ENDLESS_MARKER.to_string(),
        ..ClientRequest::to(path).with_header("Token-Count", "900,200")
    }
}

/// Processor time of a process so far, in milliseconds.
fn processor_ms(pid: u32) -> u64 {
    const MS_PER_TICK: u64 = 10;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("a process");
    let fields = stat.rsplit(')').next().expect("fields");
    let number = |at| {
        fields
            .split_whitespace()
            .nth(at)
            .and_then(|f| f.parse::<u64>().ok())
    };
    let (user, system) = (number(11).expect("a time"), number(12).expect("a time"));
    (user + system) * MS_PER_TICK
}

/// Most memory that a process has used, in kilobytes.
fn peak_memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.expect("a size")
}

/// Answers to ordinary requests, and how long each took, until `is_over`.
fn send_ordinary(relay: &Relay, is_over: &AtomicBool) -> Vec<(Response, Duration)> {
    let mut answers = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        let start = Instant::now();
        let answer = request(relay.client_address, &ClientRequest::to("/once/2"));
        answers.push((answer, start.elapsed()));
        thread::sleep(Duration::from_millis(10));
    }
    answers
}

/// What was seen while one caller got answers without end, one after the other.
struct Seen {
    endless: Vec<(Response, Duration)>,
    ordinary: Vec<(Response, Duration)>,
    /// Processor time for each answer without end.
    busy_ms: u64,
    memory_kb: u64,
}

fn play(relay: &Relay, path: &str) -> Seen {
    let pid = relay.child.id();
    let busy_before_ms = processor_ms(pid);
    let is_over = AtomicBool::new(false);
    let (endless, ordinary) = thread::scope(|scope| {
        let others: Vec<_> = (0..OTHERS)
            .map(|_| scope.spawn(|| send_ordinary(relay, &is_over)))
            .collect();
        let endless = (0..ENDLESS_COUNT).map(|_| {
            let start = Instant::now();
            let answer = request(relay.client_address, &endless_request(path));
            (answer, start.elapsed())
        });
        let endless: Vec<_> = endless.collect();
        // Others are watched for a while in any case.
        thread::sleep(Duration::from_millis(500));
        is_over.store(true, Ordering::SeqCst);
        let ordinary = others.into_iter().flat_map(|o| o.join().expect("answers"));
        (endless, ordinary.collect())
    });
    Seen {
        endless,
        ordinary,
        busy_ms: (processor_ms(pid) - busy_before_ms) / ENDLESS_COUNT as u64,
        memory_kb: peak_memory_kb(pid),
    }
}

/// Checks what must hold whatever the answer to the endless request is.
fn assert_harmless(seen: &Seen) {
    for (answer, took) in &seen.endless {
        assert!(answer.is_complete, "no answer: {answer:?}");
        assert!(
            *took < Duration::from_millis(ROUTE_TIMEOUT_MS + 500),
            "{took:?}"
        );
    }
    for (answer, took) in &seen.ordinary {
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert!(*took < ORDINARY_MAX, "{took:?}");
    }
    assert!(seen.busy_ms < BUSY_MAX_MS, "{} ms", seen.busy_ms);
    assert!(seen.memory_kb < MEMORY_MAX_KB, "{} kB", seen.memory_kb);
}

#[rstest]
#[case::header_line(EndlessForm::HeaderLine, 502)]
#[case::header_lines(EndlessForm::HeaderLines, 502)]
#[case::interim_responses(EndlessForm::InterimResponses, 502)]
#[case::no_status_line(EndlessForm::NoStatusLine, 502)]
#[case::empty_lines(EndlessForm::EmptyLines, 502)]
#[case::past_length(EndlessForm::PastLength, 200)]
#[case::chunk_size_zeros(EndlessForm::ChunkSizeZeros, 502)]
#[case::chunk_size_blanks(EndlessForm::ChunkSizeBlanks, 502)]
#[case::chunk_extension(EndlessForm::ChunkExtension, 502)]
#[case::trailers(EndlessForm::Trailers, 502)]
#[case::unframed_body(EndlessForm::UnframedBody, 502)]
fn bytes_without_end_in_a_complete_answer(#[case] form: EndlessForm, #[case] status: u16) {
    let desk = Endpoint::start("i-1", "desk", &[Behaviour::Endless(form)]);
    let spare = Endpoint::start("i-2", "desk", &[Behaviour::Endless(form)]);
    let store = store_for(&[&desk, &spare]);
    let relay = Relay::start_with(&store, MEMORY_LIMIT);
    let seen = play(&relay, "/once/1");
    assert_harmless(&seen);
    let statuses: Vec<u16> = seen
        .endless
        .iter()
        .map(|(answer, _)| answer.status)
        .collect();
    assert_eq!(statuses, [status; ENDLESS_COUNT]);
    let closed = || desk.endless_closed_count() + spare.endless_closed_count();
    wait_until("closed connections", || closed() == ENDLESS_COUNT);
    let runs = desk.runs().len() + spare.runs().len();
    assert_eq!(runs, seen.ordinary.len() + ENDLESS_COUNT, "none ran twice");
}

#[rstest]
#[case::interim_responses(EndlessForm::InterimResponses)]
#[case::chunk_size_zeros(EndlessForm::ChunkSizeZeros)]
#[case::event(EndlessForm::Event)]
fn bytes_without_end_in_a_stream(#[case] form: EndlessForm) {
    let engine = Endpoint::start("i-1", "model", &[Behaviour::Endless(form)]);
    let desk = Endpoint::start("i-2", "desk", &[Behaviour::Answer]);
    let store = store_for(&[&engine, &desk]);
    let relay = Relay::start_with(&store, MEMORY_LIMIT);
    let seen = play(&relay, "/once-talk/1");
    assert_harmless(&seen);
    assert!(seen.endless.iter().all(|(answer, _)| answer.status == 502));
    wait_until("closed connections", || {
        engine.endless_closed_count() == ENDLESS_COUNT
    });
    assert_eq!(engine.runs().len(), ENDLESS_COUNT, "none ran twice");
}

/// An endpoint that answers without end counts as failing, so that others get the requests.
#[rstest]
#[case::interim_responses(EndlessForm::InterimResponses)]
#[case::chunk_size_blanks(EndlessForm::ChunkSizeBlanks)]
fn an_endpoint_that_answers_without_end_is_avoided(#[case] form: EndlessForm) {
    const REQUESTS: usize = 30;
    let endless = Endpoint::start("i-1", "desk", &[Behaviour::Endless(form)]);
    let sound = Endpoint::start("i-2", "desk", &[Behaviour::Answer]);
    let store = store_for(&[&endless, &sound]);
    let relay = Relay::start(&store);
    for _ in 0..REQUESTS {
        request(relay.client_address, &endless_request("/once/1"));
    }
    let failed = endless.runs().len();
    assert!(failed <= REQUESTS / 3, "{failed} of {REQUESTS}");
}
