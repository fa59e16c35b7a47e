//! Leaving hosts, as one gateway reads them and others learn of them.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use mgs_platform::host::Host;
use mgs_platform::host::Hosts;
use mgs_platform::host::State;
use mgs_platform::Error as PlatformError;
use mgs_settings::host;
use mgs_settings::host::Leaving;
use mgs_standin::platform::memory::Memory;

fn host(address: &str, state: State) -> Host {
    Host {
        address: address.to_string(),
        zone: "a".to_string(),
        state,
    }
}

/// A list of its own.
struct List(Vec<Host>);

impl Hosts for List {
    fn list(&self) -> Result<Vec<Host>, PlatformError> {
        Ok(self.0.clone())
    }
}

fn addresses(leaving: &Leaving) -> Vec<&str> {
    leaving.addresses.iter().map(String::as_str).collect()
}

#[test]
fn what_one_gateway_reads_the_others_learn() {
    let memory = Memory::default();
    let leaves = List(vec![
        host("10.0.0.1", State::Leaving),
        host("10.0.0.2", State::Live),
    ]);
    let look = host::look(&leaves, &memory).unwrap();
    assert_eq!(
        (addresses(&look.leaving), look.hosts),
        (vec!["10.0.0.1"], 2)
    );
    assert_eq!(addresses(&host::read(&memory).unwrap()), ["10.0.0.1"]);
    let back = List(vec![
        host("10.0.0.1", State::Live),
        host("10.0.0.2", State::Live),
    ]);
    host::look(&back, &memory).unwrap();
    assert_eq!(host::read(&memory).unwrap(), Leaving::default());
}

#[test]
fn a_list_that_says_nothing_new_writes_nothing() {
    let memory = Memory::default();
    let calm = List(vec![host("10.0.0.1", State::Live)]);
    host::look(&calm, &memory).unwrap();
    assert_eq!(memory.faults().counters().writes, 0);
    let leaves = List(vec![host("10.0.0.1", State::Leaving)]);
    for _ in 0..5 {
        host::look(&leaves, &memory).unwrap();
    }
    assert_eq!(memory.faults().counters().writes, 1);
}

/// A list that others share while it is being read.
struct Overtaken<'a> {
    memory: &'a Memory,
    newer: List,
}

impl Hosts for Overtaken<'_> {
    fn list(&self) -> Result<Vec<Host>, PlatformError> {
        host::look(&self.newer, self.memory).expect("the store is up");
        Ok(vec![host("10.0.0.1", State::Live)])
    }
}

#[test]
fn an_older_list_does_not_come_back() {
    let memory = Memory::default();
    let before = List(vec![host("10.0.0.9", State::Leaving)]);
    host::look(&before, &memory).unwrap();
    let overtaken = Overtaken {
        memory: &memory,
        newer: List(vec![host("10.0.0.1", State::Leaving)]),
    };
    host::look(&overtaken, &memory).unwrap();
    assert_eq!(addresses(&host::read(&memory).unwrap()), ["10.0.0.1"]);
}

#[test]
fn the_list_counts_while_the_table_service_is_down() {
    let memory = Memory::default();
    memory.faults().set_outage(true);
    let leaves = List(vec![host("10.0.0.1", State::Leaving)]);
    let look = host::look(&leaves, &memory).unwrap();
    assert_eq!(addresses(&look.leaving), ["10.0.0.1"]);
}

#[test]
fn gateways_that_started_together_read_the_list_in_turn() {
    const HOUR_MS: u64 = 3_600_000;
    let interval_ms = host::interval_ms(5_300, host::list_bytes_per_s(450));
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut reads_ms = vec![0; 450];
    for _ in 0..450 {
        let mut now_ms = 0;
        while now_ms < HOUR_MS {
            now_ms += host::spread_ms(interval_ms, rng.random());
            reads_ms.push(now_ms);
        }
    }
    reads_ms.retain(|&read_ms| read_ms < HOUR_MS);
    reads_ms.sort_unstable();
    let per_gateway = reads_ms.len() as u64 / 450;
    assert!(per_gateway <= HOUR_MS / interval_ms + 2);
    let gaps = reads_ms.windows(2).map(|pair| pair[1] - pair[0]);
    let longest_ms = gaps.max().expect("there are reads");
    assert!(longest_ms < 30_000, "{longest_ms}");
}
