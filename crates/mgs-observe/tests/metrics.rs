//! Checks that handles count, and that the registry encodes their values.

use mgs_observe::metrics::Registry;

#[test]
fn labelled_counters_are_encoded() {
    let registry = Registry::new();
    let refusals = registry.counters("refused", "Requests refused, by reason", "reason");
    let busy = refusals.with_label_value("busy");
    busy.inc();
    refusals.inc("busy");
    refusals.inc_by("queue_full", 5);
    assert_eq!(refusals.get("busy"), 2);
    assert_eq!(refusals.get("never"), 0);
    let text = registry.encode();
    assert!(
        text.contains("mgs_refused_total{reason=\"busy\"} 2"),
        "{text}"
    );
    assert!(
        text.contains("mgs_refused_total{reason=\"queue_full\"} 5"),
        "{text}"
    );
}

#[test]
fn labelled_gauges_are_set_and_removed() {
    let registry = Registry::new();
    let load = registry.gauges("load", "Load", "endpoint");
    load.set("engine-1", 7);
    assert!(registry
        .encode()
        .contains("mgs_load{endpoint=\"engine-1\"} 7"));
    load.remove("engine-1");
    assert!(!registry.encode().contains("engine-1"));
}

#[test]
fn histograms_count_into_millisecond_buckets() {
    let registry = Registry::new();
    let first_token = registry.histograms_ms("first_token_ms", "Time to first token", "length");
    first_token.observe("1k", 30.0);
    first_token.with_label_value("1k").observe(70.0);
    let text = registry.encode();
    let line = "mgs_first_token_ms_bucket{le=\"50.0\",length=\"1k\"} 1";
    assert!(text.contains(line), "{text}");
    assert!(
        text.contains("mgs_first_token_ms_count{length=\"1k\"} 2"),
        "{text}"
    );
}

#[test]
fn clones_share_their_counts() {
    let registry = Registry::new();
    let counter = registry.counter("seen", "Things seen");
    let threads: Vec<_> = (0..4)
        .map(|_| {
            let counter = counter.clone();
            std::thread::spawn(move || (0..1_000).for_each(|_| counter.inc()))
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    assert_eq!(counter.get(), 4_000);
}
