//! Applies settings, load reports and connection losses to a fleet, and checks its views.

use mgs_fleet::fleet::Fleet;
use mgs_fleet::fleet::Options;
use mgs_fleet::view::EndpointKey;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::EndpointState;
use mgs_schema::wire::LoadReport;

fn row(name: &str, zone: &str) -> EndpointRow {
    EndpointRow {
        name: name.into(),
        kind: EndpointKind::Engine.into(),
        sidecar_address: "127.0.0.1:7000".into(),
        zone: zone.into(),
        models: vec!["small".into()],
        started: true,
        ..EndpointRow::default()
    }
}

fn snapshot(version: u64, endpoints: Vec<EndpointRow>) -> Snapshot {
    Snapshot {
        version,
        endpoints,
        ..Snapshot::default()
    }
}

fn report(incarnation: u64, number: u64) -> LoadReport {
    LoadReport {
        incarnation,
        report: number,
        state: EndpointState::Live.into(),
        prefill_waiting_tokens: number * 10,
        ..LoadReport::default()
    }
}

fn fleet_with_live_endpoint() -> (Fleet, EndpointKey) {
    let mut fleet = Fleet::new(Options::default());
    fleet.apply_settings(&snapshot(1, vec![row("engine-1", "a")]));
    let key = fleet
        .find("engine-1")
        .expect("the endpoint is in the settings");
    assert!(fleet.apply_welcome(key, 7, "a"));
    assert!(fleet.apply_report(100, key, &report(7, 1)));
    (fleet, key)
}

#[test]
fn an_endpoint_is_down_until_it_reports() {
    let mut fleet = Fleet::new(Options::default());
    fleet.apply_settings(&snapshot(1, vec![row("engine-1", "a")]));
    let key = fleet
        .find("engine-1")
        .expect("the endpoint is in the settings");
    assert_eq!(fleet.view().get(key).unwrap().state, EndpointState::Down);
    fleet.apply_welcome(key, 7, "a");
    fleet.apply_report(100, key, &report(7, 1));
    assert_eq!(fleet.view().get(key).unwrap().state, EndpointState::Live);
}

#[test]
fn late_reports_are_dropped() {
    let (mut fleet, key) = fleet_with_live_endpoint();
    assert!(fleet.apply_report(110, key, &report(7, 3)));
    assert!(!fleet.apply_report(120, key, &report(7, 2)));
    assert!(!fleet.apply_report(120, key, &report(6, 9)));
    let view = fleet.view();
    assert_eq!(view.get(key).unwrap().load.prefill_waiting_tokens, 30);
    assert_eq!(view.get(key).unwrap().reported_ms, 110);
}

#[test]
fn a_replaced_incarnation_is_not_accepted_again() {
    let (mut fleet, key) = fleet_with_live_endpoint();
    assert!(fleet.apply_welcome(key, 8, "a"));
    assert!(!fleet.apply_welcome(key, 7, "a"));
    assert!(!fleet.apply_report(120, key, &report(7, 5)));
    assert!(fleet.apply_report(120, key, &report(8, 1)));
    assert_eq!(fleet.view().get(key).unwrap().incarnation, 8);
}

#[test]
fn a_stopped_endpoint_gets_no_new_requests_and_stays_in_the_view() {
    let (mut fleet, key) = fleet_with_live_endpoint();
    let stopped = EndpointRow {
        started: false,
        ..row("engine-1", "a")
    };
    fleet.apply_settings(&snapshot(2, vec![stopped]));
    let view = fleet.view();
    assert!(view.by_model["small"].is_empty());
    assert_eq!(view.get(key).unwrap().state, EndpointState::Leaving);
    fleet.apply_report(130, key, &report(7, 2));
    let view = fleet.view();
    assert!(view.by_model["small"].is_empty());
    assert_eq!(view.get(key).unwrap().state, EndpointState::Leaving);
}

#[test]
fn an_endpoint_on_a_leaving_host_gets_no_new_requests() {
    let (mut fleet, key) = fleet_with_live_endpoint();
    fleet.set_leaving(&["engine-1".to_string()]);
    fleet.apply_report(130, key, &report(7, 2));
    let view = fleet.view();
    assert!(view.by_model["small"].is_empty());
    assert_eq!(view.get(key).unwrap().state, EndpointState::Leaving);
    fleet.set_leaving(&[]);
    fleet.apply_report(140, key, &report(7, 3));
    let view = fleet.view();
    assert_eq!(view.by_model["small"], [key]);
    assert_eq!(view.get(key).unwrap().state, EndpointState::Live);
}

#[test]
fn older_settings_are_ignored() {
    let (mut fleet, key) = fleet_with_live_endpoint();
    fleet.apply_settings(&snapshot(3, vec![]));
    fleet.apply_settings(&snapshot(2, vec![row("engine-1", "a")]));
    assert!(fleet.view().get(key).is_none());
    assert_eq!(fleet.view().settings_version, 3);
}

#[test]
fn a_published_view_does_not_change() {
    let (mut fleet, key) = fleet_with_live_endpoint();
    let before = fleet.view();
    fleet.apply_report(200, key, &report(7, 50));
    fleet.mark_unreachable(210, key);
    assert_eq!(before.get(key).unwrap().state, EndpointState::Live);
    assert_eq!(fleet.view().get(key).unwrap().state, EndpointState::Down);
}

#[test]
fn cached_blocks_follow_events_and_stay_bounded() {
    let options = Options {
        cached_blocks_max: 4,
        ..Options::default()
    };
    let mut fleet = Fleet::new(options);
    fleet.apply_settings(&snapshot(1, vec![row("engine-1", "a")]));
    let key = fleet
        .find("engine-1")
        .expect("the endpoint is in the settings");
    fleet.apply_welcome(key, 7, "a");
    let caching = LoadReport {
        cached_hashes: (0..9).collect(),
        ..report(7, 1)
    };
    fleet.apply_report(1, key, &caching);
    assert_eq!(fleet.view().get(key).unwrap().cached.len(), 4);
    let evicting = LoadReport {
        evicted_hashes: vec![0, 1],
        ..report(7, 2)
    };
    fleet.apply_report(2, key, &evicting);
    assert_eq!(fleet.view().get(key).unwrap().cached.len(), 2);
    let gap = LoadReport {
        cache_reset: true,
        ..report(7, 3)
    };
    fleet.apply_report(3, key, &gap);
    assert!(fleet.view().get(key).unwrap().cached.is_empty());
}

#[test]
fn a_model_that_is_loaded_later_is_indexed() {
    let (mut fleet, key) = fleet_with_live_endpoint();
    let loaded = LoadReport {
        models: vec!["large".into()],
        models_known: true,
        ..report(7, 2)
    };
    fleet.apply_report(110, key, &loaded);
    let view = fleet.view();
    assert_eq!(view.by_model["large"], [key]);
    assert!(view.by_model["small"].is_empty());
}

fn large_fleet(count: usize) -> Vec<EndpointRow> {
    (0..count)
        .map(|i| row(&format!("engine-{i}"), ["a", "b", "c"][i % 3]))
        .collect()
}

fn subset_names(process: &str, rows: Vec<EndpointRow>) -> Vec<String> {
    let mut fleet = Fleet::new(Options {
        process: process.into(),
        zone: "a".into(),
        ..Options::default()
    });
    fleet.apply_settings(&snapshot(1, rows));
    let view = fleet.view();
    view.endpoints
        .iter()
        .flatten()
        .map(|e| e.name.clone())
        .collect()
}

#[test]
fn a_subset_of_a_large_fleet_is_bounded_and_stable() {
    let before = subset_names("gateway-1", large_fleet(5_300));
    assert_eq!(before.len(), Options::default().subset_max);
    let after = subset_names("gateway-1", large_fleet(5_301));
    let kept = before.iter().filter(|name| after.contains(name)).count();
    assert!(kept + 1 >= before.len(), "{kept}");
    let other = subset_names("gateway-2", large_fleet(5_300));
    assert_ne!(before, other);
}

#[test]
fn models_share_the_bound_evenly() {
    let mut rows = large_fleet(5_300);
    for (i, row) in rows.iter_mut().enumerate() {
        row.models = vec![format!("model-{}", i % 6)];
    }
    let names = subset_names("gateway-1", rows);
    let bound = Options::default().subset_max;
    assert_eq!(names.len(), bound);
    let of_model = |model: usize| {
        let number = |name: &String| name["engine-".len()..].parse::<usize>().unwrap();
        names.iter().filter(|n| number(n) % 6 == model).count()
    };
    assert!((0..6).all(|model| of_model(model) == bound / 6));
}

#[test]
fn a_fleet_within_the_bound_is_tracked_completely() {
    let bound = Options::default().subset_max;
    assert_eq!(subset_names("gateway-1", large_fleet(bound)).len(), bound);
}

#[test]
fn subsets_of_many_processes_cover_all_endpoints() {
    let mut process_counts = vec![0u32; 300];
    for process in 0..90 {
        for name in subset_names(&format!("gateway-{process}"), large_fleet(300)) {
            let index: usize = name["engine-".len()..].parse().unwrap();
            process_counts[index] += 1;
        }
    }
    assert!(process_counts.iter().all(|count| *count > 0));
}
