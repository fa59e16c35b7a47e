//! The engine's stand-in over HTTP.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use mgs_engine::engine::Engine as _;
use mgs_engine::engine::Error;
use mgs_engine::engine::Stream;
use mgs_engine::http::Client;
use mgs_engine::message::Event;
use mgs_engine::message::KvExport;
use mgs_engine::message::KvHandle;
use mgs_engine::message::Order;
use mgs_engine::message::Start;
use mgs_standin::engine::text::expected;
use mgs_standin::engine::Engine;
use mgs_standin::engine::Options;
use mgs_standin::engine::RunEnd;
use rstest::rstest;

const LONG: Duration = Duration::from_secs(30);
/// So slow that nothing ends by itself within a test.
const STILL: f64 = 0.000_1;

fn fast() -> Options {
    Options {
        time_scale: 1_000.0,
        load_lag_ms: 0,
        cache_event_delay_ms: 0,
        ..Options::default()
    }
}

fn start(options: Options) -> (Engine, Client) {
    let engine = Engine::start(options).expect("a free port");
    let client = Client::new(mgs_engine::http::Options {
        base_url: engine.url(),
        silence_timeout_ms: LONG.as_millis() as u64,
        ..mgs_engine::http::Options::default()
    });
    (engine, client)
}

fn prompt(words: usize) -> String {
    "olive whips ".repeat(words)
}

fn ask(stream: &str, prompt: &str, max_tokens: u64) -> Start {
    Start {
        stream: stream.to_string(),
        model: "model-a".to_string(),
        prompt: prompt.to_string(),
        max_tokens,
        ..Start::default()
    }
}

/// The text and the count of cached tokens.
fn read(stream: &mut dyn Stream) -> Result<(String, u64), Error> {
    let mut text = String::new();
    loop {
        match stream.next()? {
            Some(Event::Token { text: piece, .. }) => text.push_str(&piece),
            Some(Event::End { cached_tokens, .. }) => return Ok((text, cached_tokens)),
            None => panic!("no end"),
        }
    }
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < LONG, "{what}");
        thread::sleep(Duration::from_millis(1));
    }
}

#[rstest]
#[case(1, 1)]
#[case(300, 40)]
#[case(30_000, 3)]
#[case(10, 0)]
fn an_answer_is_whole_and_frees_its_memory(#[case] words: usize, #[case] max_tokens: u64) {
    let (engine, client) = start(fast());
    let prompt = prompt(words);
    let mut stream = client
        .start(&ask("s", &prompt, max_tokens))
        .expect("a stream");
    let (text, _) = read(&mut *stream).expect("an answer");
    assert_eq!(text, expected(&prompt, max_tokens));
    assert_eq!(engine.memory().used_tokens, 0);
    assert!(engine.memory().peak_tokens >= words as u64 * 3 + max_tokens);
    let runs = engine.executions();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].end, Some(RunEnd::Whole));
}

#[test]
fn a_known_stream_is_not_run_again() {
    let (engine, client) = start(fast());
    let ask = ask("s", "prompt", 3);
    read(&mut *client.start(&ask).expect("a stream")).expect("an answer");
    assert_eq!(client.start(&ask).err(), Some(Error::Exists));
    assert_eq!(engine.executions_of("s"), 1);
}

#[test]
fn a_resumed_stream_goes_on_exactly() {
    let (engine, client) = start(fast());
    let mut stream = client.start(&ask("s", "prompt", 200)).expect("a stream");
    stream.next().expect("an event");
    drop(stream);
    let mut rest = client.resume("s", 7).expect("a stream");
    let (text, _) = read(&mut *rest).expect("an answer");
    assert_eq!(text, expected("prompt", 200)[7 * 4..]);
    let (again, _) = read(&mut *client.resume("s", 0).expect("a stream")).expect("an answer");
    assert_eq!(again, expected("prompt", 200));
    assert_eq!(client.resume("t", 0).err(), Some(Error::NotFound));
    assert_eq!(engine.executions_of("s"), 1);
}

#[test]
fn finished_streams_are_forgotten_after_their_time() {
    let (_engine, client) = start(Options {
        keep_finished_ms: 0,
        ..fast()
    });
    read(&mut *client.start(&ask("s", "prompt", 1)).expect("a stream")).expect("an answer");
    wait_until("the end is noted as read", || {
        client.streams() == Ok(Vec::new())
    });
}

#[test]
fn a_cancelled_stream_frees_its_memory_and_ends() {
    let (engine, client) = start(Options {
        decode_step_ms: 1e9,
        ..fast()
    });
    let mut stream = client.start(&ask("s", &prompt(300), 9)).expect("a stream");
    let first = stream.next().expect("an event");
    assert!(matches!(first, Some(Event::Token { seq: 0, .. })));
    assert!(engine.memory().used_tokens > 0);
    assert_eq!(client.cancel("s"), Ok(()));
    assert_eq!(client.cancel("s"), Err(Error::NotFound));
    assert_eq!(engine.memory().used_tokens, 0);
    let end = stream.next().expect("an event");
    let Some(Event::End { finish_reason, .. }) = end else {
        panic!("{end:?}");
    };
    assert_eq!(finish_reason, "cancelled");
    assert_eq!(engine.executions()[0].end, Some(RunEnd::Cancelled));
}

#[test]
fn memory_is_reserved_before_the_prefill_and_waited_for() {
    let (engine, client) = start(Options {
        kv_capacity_tokens: 1_000,
        waiting_max: 1,
        time_scale: STILL,
        ..fast()
    });
    let too_long = client.start(&ask("s", &prompt(400), 1)).err();
    assert!(matches!(too_long, Some(Error::Rejected(_))), "{too_long:?}");
    let _first = client.start(&ask("a", "first", 900)).expect("a stream");
    let _second = client.start(&ask("b", "second", 900)).expect("a stream");
    let third = client.start(&ask("c", "third", 900)).err();
    assert_eq!(third, Some(Error::Full));
    let load = client.load().expect("a load");
    assert_eq!((load.running, load.waiting), (1, 1));
    client.cancel("a").expect("a known stream");
    wait_until("the second one runs", || engine.executions_of("b") == 1);
    assert_eq!(engine.executions_of("c"), 0);
}

#[test]
fn what_waits_is_served_by_priority() {
    let (engine, client) = start(Options {
        streams_max: 1,
        time_scale: 1.0,
        ..fast()
    });
    let endless = ask("first", &prompt(1_000), 100_000);
    let _first = client.start(&endless).expect("a stream");
    wait_until("the first one runs", || engine.executions_of("first") == 1);
    let mut streams = Vec::new();
    for (name, priority) in [("low", 5), ("high", 0)] {
        let start = Start {
            priority,
            ..ask(name, &prompt(1_000), 1)
        };
        streams.push(client.start(&start).expect("a stream"));
    }
    client.cancel("first").expect("a known stream");
    for stream in &mut streams {
        read(&mut **stream).expect("an answer");
    }
    let ran: Vec<_> = engine
        .executions()
        .into_iter()
        .map(|run| run.stream)
        .collect();
    assert_eq!(ran, ["first", "high", "low"]);
}

#[test]
fn a_short_prompt_passes_a_long_prefill_between_chunks() {
    let (engine, client) = start(Options {
        prefill_tokens_per_s: 10.0,
        ..fast()
    });
    let long = Start {
        priority: 1,
        ..ask("long", &prompt(30_000), 1)
    };
    let _long = client.start(&long).expect("a stream");
    wait_until("the prefill began", || engine.executions_of("long") == 1);
    let short = ask("short", "a stock query", 1);
    read(&mut *client.start(&short).expect("a stream")).expect("an answer");
    let ended: Vec<_> = engine.executions().iter().map(|run| run.end).collect();
    assert_eq!(ended, [None, Some(RunEnd::Whole)]);
}

#[test]
fn a_cached_prefix_is_found_and_published() {
    let (engine, client) = start(Options {
        cache_event_lose_every: 2,
        ..fast()
    });
    let prompt = prompt(300);
    read(&mut *client.start(&ask("a", &prompt, 1)).expect("a stream")).expect("an answer");
    let longer = format!("{prompt} and more");
    let mut second = client.start(&ask("b", &longer, 1)).expect("a stream");
    let (_, cached) = read(&mut *second).expect("an answer");
    assert_eq!(cached, 768);
    assert_eq!(engine.memory().cached_tokens, 768);
    let events = client.cache_events(0).expect("events").events;
    let hashes = mgs_schema::prefix::block_hashes(prompt.as_bytes(), 16);
    let seen: Vec<_> = events
        .iter()
        .map(|e| (e.number, e.block, e.cached))
        .collect();
    assert_eq!(seen, [(1, hashes[0], true), (3, hashes[2], true)]);
    assert_eq!(client.cache_events(3).expect("events").events, Vec::new());
}

#[test]
fn reports_lag() {
    let (_engine, client) = start(Options {
        load_lag_ms: 1_000_000_000,
        cache_event_delay_ms: 1_000_000_000,
        ..fast()
    });
    let ask = ask("a", &prompt(300), 1);
    read(&mut *client.start(&ask).expect("a stream")).expect("an answer");
    assert_eq!(client.load().map(|load| load.kv_used_tokens), Ok(0));
    assert_eq!(client.cache_events(0).expect("events").events, Vec::new());
}

#[test]
fn exported_and_imported_kv_is_held_until_freed() {
    let (engine, client) = start(Options {
        kv_capacity_tokens: 2_000,
        kv_import_ratio: 4,
        ..fast()
    });
    let export = KvExport {
        kv: "part".to_string(),
        model: "model-a".to_string(),
        text: prompt(300),
        priority: 0,
    };
    let handle = client.export_kv(&export).expect("kv");
    assert_eq!(handle.kv_tokens, 900);
    assert_eq!(client.export_kv(&export), Ok(handle.clone()));
    assert_eq!(engine.memory().used_tokens, 900);
    let far = KvHandle {
        kv: "far".to_string(),
        kv_tokens: 3_000,
    };
    assert_eq!(client.import_kv(&far).map(|held| held.kv_tokens), Ok(750));
    let prompt = prompt(1_050);
    let start = Start {
        kv: vec!["far".to_string()],
        ..ask("s", &prompt, 2)
    };
    let (text, _) = read(&mut *client.start(&start).expect("a stream")).expect("an answer");
    assert_eq!(text, expected(&prompt, 2));
    assert_eq!(client.kv().map(|kv| kv.len()), Ok(2));
    assert_eq!(client.free_kv("part"), Ok(()));
    assert_eq!(client.free_kv("part"), Err(Error::NotFound));
    assert_eq!(client.free_kv("far"), Ok(()));
    assert_eq!(engine.memory().used_tokens, 0);
}

#[rstest]
#[case(true, Err(Error::StaleFencing), "decode")]
#[case(false, Ok(()), "prefill")]
fn an_old_fencing_number(
    #[case] check_fencing: bool,
    #[case] outcome: Result<(), Error>,
    #[case] role: &str,
) {
    let (engine, client) = start(Options {
        check_fencing,
        ..fast()
    });
    let order = |fencing, subject: &str| Order {
        fencing,
        action: "role".to_string(),
        subject: subject.to_string(),
        subject_version: String::new(),
    };
    assert_eq!(client.order(&order(7, "decode")), Ok(()));
    assert_eq!(client.order(&order(6, "prefill")), outcome);
    let info = client.info().expect("information");
    assert_eq!(info.role, role);
    let obeyed: Vec<_> = engine.orders().iter().map(|seen| seen.obeyed).collect();
    assert_eq!(obeyed, [true, !check_fencing]);
}

#[test]
fn orders_load_and_unload_models() {
    let (_engine, client) = start(fast());
    let order = |action: &str, subject: &str| Order {
        fencing: 1,
        action: action.to_string(),
        subject: subject.to_string(),
        subject_version: "1".to_string(),
    };
    client.order(&order("load", "model-b")).expect("obeyed");
    client.order(&order("unload", "model-a")).expect("obeyed");
    let models = client.info().map(|info| info.models);
    assert_eq!(models, Ok(vec!["model-b".to_string()]));
    let gone = client.start(&ask("s", "prompt", 1)).err();
    assert!(matches!(gone, Some(Error::Rejected(_))), "{gone:?}");
}

#[test]
fn a_crash_forgets_all_but_what_ran() {
    let (engine, client) = start(Options {
        decode_step_ms: 1e9,
        ..fast()
    });
    let boot = client.info().expect("information").boot;
    let mut stream = client.start(&ask("s", "prompt", 9)).expect("a stream");
    stream.next().expect("an event");
    engine.crash();
    assert!(matches!(stream.next(), Err(Error::Broken(_))));
    assert_ne!(client.info().expect("information").boot, boot);
    assert_eq!(client.streams(), Ok(Vec::new()));
    assert_eq!(engine.memory().used_tokens, 0);
    assert_eq!(engine.executions()[0].end, Some(RunEnd::Crashed));
    assert!(client.start(&ask("s", "prompt", 1)).is_ok());
    wait_until("it runs again", || engine.executions_of("s") == 2);
}

#[test]
fn a_frozen_engine_says_nothing_and_goes_on_when_thawed() {
    let (engine, client) = start(fast());
    engine.freeze(true);
    let impatient = Client::new(mgs_engine::http::Options {
        base_url: engine.url(),
        call_timeout_ms: 50,
        ..mgs_engine::http::Options::default()
    });
    assert!(matches!(impatient.info(), Err(Error::Broken(_))));
    thread::scope(|scope| {
        let caller = scope.spawn(|| {
            client
                .start(&ask("s", "prompt", 3))
                .map(|mut s| read(&mut *s))
        });
        engine.freeze(false);
        let answer = caller.join().expect("no panic").expect("a stream");
        assert_eq!(answer.map(|(text, _)| text), Ok(expected("prompt", 3)));
    });
}
