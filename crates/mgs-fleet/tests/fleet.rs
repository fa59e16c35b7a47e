//! Settings, reports and losses as a fleet takes them.

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

fn live_fleet() -> (Fleet, EndpointKey) {
    let mut fleet = Fleet::new(Options::default());
    fleet.settings(&snapshot(1, vec![row("engine-1", "a")]));
    let key = fleet.find("engine-1").expect("it is declared");
    assert!(fleet.welcome(key, 7, "a"));
    assert!(fleet.report(100, key, &report(7, 1)));
    (fleet, key)
}

#[test]
fn an_endpoint_is_down_until_it_reports() {
    let mut fleet = Fleet::new(Options::default());
    fleet.settings(&snapshot(1, vec![row("engine-1", "a")]));
    let key = fleet.find("engine-1").expect("it is declared");
    assert_eq!(fleet.view().get(key).unwrap().state, EndpointState::Down);
    fleet.welcome(key, 7, "a");
    fleet.report(100, key, &report(7, 1));
    assert_eq!(fleet.view().get(key).unwrap().state, EndpointState::Live);
}

#[test]
fn late_reports_are_dropped() {
    let (mut fleet, key) = live_fleet();
    assert!(fleet.report(110, key, &report(7, 3)));
    assert!(!fleet.report(120, key, &report(7, 2)));
    assert!(!fleet.report(120, key, &report(6, 9)));
    let view = fleet.view();
    assert_eq!(view.get(key).unwrap().load.prefill_waiting_tokens, 30);
    assert_eq!(view.get(key).unwrap().reported_ms, 110);
}

#[test]
fn an_incarnation_that_is_over_stays_over() {
    let (mut fleet, key) = live_fleet();
    assert!(fleet.welcome(key, 8, "a"));
    assert!(!fleet.welcome(key, 7, "a"));
    assert!(!fleet.report(120, key, &report(7, 5)));
    assert!(fleet.report(120, key, &report(8, 1)));
    assert_eq!(fleet.view().get(key).unwrap().incarnation, 8);
}

#[test]
fn a_stopped_endpoint_gets_no_new_work_and_stays_visible() {
    let (mut fleet, key) = live_fleet();
    let stopped = EndpointRow {
        started: false,
        ..row("engine-1", "a")
    };
    fleet.settings(&snapshot(2, vec![stopped]));
    let view = fleet.view();
    assert!(view.by_model["small"].is_empty());
    assert_eq!(view.get(key).unwrap().state, EndpointState::Leaving);
    fleet.report(130, key, &report(7, 2));
    let view = fleet.view();
    assert!(view.by_model["small"].is_empty());
    assert_eq!(view.get(key).unwrap().state, EndpointState::Leaving);
}

#[test]
fn an_endpoint_on_a_leaving_host_gets_no_new_work() {
    let (mut fleet, key) = live_fleet();
    fleet.leaving(&["engine-1".to_string()]);
    fleet.report(130, key, &report(7, 2));
    let view = fleet.view();
    assert!(view.by_model["small"].is_empty());
    assert_eq!(view.get(key).unwrap().state, EndpointState::Leaving);
    fleet.leaving(&[]);
    fleet.report(140, key, &report(7, 3));
    let view = fleet.view();
    assert_eq!(view.by_model["small"], [key]);
    assert_eq!(view.get(key).unwrap().state, EndpointState::Live);
}

#[test]
fn settings_never_go_back() {
    let (mut fleet, key) = live_fleet();
    fleet.settings(&snapshot(3, vec![]));
    fleet.settings(&snapshot(2, vec![row("engine-1", "a")]));
    assert!(fleet.view().get(key).is_none());
    assert_eq!(fleet.view().settings_version, 3);
}

#[test]
fn a_view_once_taken_does_not_change() {
    let (mut fleet, key) = live_fleet();
    let before = fleet.view();
    fleet.report(200, key, &report(7, 50));
    fleet.lost(210, key);
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
    fleet.settings(&snapshot(1, vec![row("engine-1", "a")]));
    let key = fleet.find("engine-1").expect("it is declared");
    fleet.welcome(key, 7, "a");
    let caching = LoadReport {
        cached_hashes: (0..9).collect(),
        ..report(7, 1)
    };
    fleet.report(1, key, &caching);
    assert_eq!(fleet.view().get(key).unwrap().cached.len(), 4);
    let evicting = LoadReport {
        evicted_hashes: vec![0, 1],
        ..report(7, 2)
    };
    fleet.report(2, key, &evicting);
    assert_eq!(fleet.view().get(key).unwrap().cached.len(), 2);
    let gap = LoadReport {
        cache_reset: true,
        ..report(7, 3)
    };
    fleet.report(3, key, &gap);
    assert!(fleet.view().get(key).unwrap().cached.is_empty());
}

#[test]
fn a_model_that_is_loaded_later_is_found() {
    let (mut fleet, key) = live_fleet();
    let loaded = LoadReport {
        models: vec!["large".into()],
        models_known: true,
        ..report(7, 2)
    };
    fleet.report(110, key, &loaded);
    let view = fleet.view();
    assert_eq!(view.by_model["large"], [key]);
    assert!(view.by_model["small"].is_empty());
}

fn large(count: usize) -> Vec<EndpointRow> {
    (0..count)
        .map(|i| row(&format!("engine-{i}"), ["a", "b", "c"][i % 3]))
        .collect()
}

fn members(process: &str, rows: Vec<EndpointRow>) -> Vec<String> {
    let mut fleet = Fleet::new(Options {
        process: process.into(),
        zone: "a".into(),
        ..Options::default()
    });
    fleet.settings(&snapshot(1, rows));
    let view = fleet.view();
    view.endpoints
        .iter()
        .flatten()
        .map(|e| e.name.clone())
        .collect()
}

#[test]
fn a_subset_of_a_large_fleet_is_bounded_stable_and_mostly_near() {
    let before = members("gateway-1", large(5_300));
    assert_eq!(before.len(), Options::default().subset_max);
    let after = members("gateway-1", large(5_301));
    let kept = before.iter().filter(|name| after.contains(name)).count();
    assert!(kept + 1 >= before.len(), "{kept}");
    let other = members("gateway-2", large(5_300));
    assert_ne!(before, other);
}

#[test]
fn models_share_the_bound_evenly() {
    let mut rows = large(5_300);
    for (i, row) in rows.iter_mut().enumerate() {
        row.models = vec![format!("model-{}", i % 6)];
    }
    let members = members("gateway-1", rows);
    let bound = Options::default().subset_max;
    assert_eq!(members.len(), bound);
    let of_model = |model: usize| {
        let number = |name: &String| name["engine-".len()..].parse::<usize>().unwrap();
        members.iter().filter(|n| number(n) % 6 == model).count()
    };
    assert!((0..6).all(|model| of_model(model) == bound / 6));
}

#[test]
fn a_fleet_within_the_bound_is_held_whole() {
    let bound = Options::default().subset_max;
    assert_eq!(members("gateway-1", large(bound)).len(), bound);
}

#[test]
fn subsets_of_many_processes_leave_no_endpoint_out() {
    let mut holders = vec![0u32; 300];
    for process in 0..90 {
        for name in members(&format!("gateway-{process}"), large(300)) {
            let index: usize = name["engine-".len()..].parse().unwrap();
            holders[index] += 1;
        }
    }
    assert!(holders.iter().all(|count| *count > 0));
}
