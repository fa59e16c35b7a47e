//! Every fault is found, with its row and column.

mod support;

use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::OrganisationRow;
use mgs_schema::settings::Snapshot;
use mgs_settings::check;
use rstest::rstest;
use support::engine;
use support::limit;
use support::organisation;

fn valid() -> Snapshot {
    Snapshot {
        limits: vec![limit("chat", 1)],
        organisations: vec![organisation("org-1", "key")],
        endpoints: vec![engine("e1", 1)],
        ..Snapshot::default()
    }
}

#[test]
fn a_valid_table_has_no_fault() {
    assert_eq!(check::faults(&valid()), []);
}

#[rstest]
#[case("organisation", LimitRow { organisation: "other".into(), ..limit("a", 1) })]
#[case("kind", LimitRow { kind: "a b".into(), ..limit("a", 1) })]
#[case("weight", limit("a", 0))]
#[case("priority", LimitRow { priority: 10, ..limit("a", 1) })]
#[case("requests_per_s", LimitRow { requests_per_s: -1.0, ..limit("a", 1) })]
#[case("tokens_per_s", LimitRow { tokens_per_s: f64::NAN, ..limit("a", 1) })]
#[case("allotted_ms", LimitRow { allotted_ms: 0, ..limit("a", 1) })]
#[case("models", LimitRow { models: vec![String::new()], ..limit("a", 1) })]
fn faults_of_a_limit(#[case] column: &str, #[case] row: LimitRow) {
    let table = Snapshot {
        limits: vec![row],
        ..valid()
    };
    assert_eq!(columns(&table), [column]);
}

#[rstest]
#[case("name", EndpointRow { name: String::new(), ..engine("e2", 2) })]
#[case("kind", EndpointRow { kind: 0, ..engine("e2", 2) })]
#[case("sidecar_address", EndpointRow { sidecar_address: "host:1".into(), ..engine("e2", 2) })]
#[case("sidecar_address", engine("e2", 1))]
#[case("zone", EndpointRow { zone: String::new(), ..engine("e2", 2) })]
#[case("span", EndpointRow { kind: 2, span: true, ..engine("e2", 2) })]
#[case("models", EndpointRow { kind: 2, models: vec![], ..engine("e2", 2) })]
fn faults_of_an_endpoint(#[case] column: &str, #[case] row: EndpointRow) {
    let table = Snapshot {
        endpoints: vec![engine("e1", 1), row],
        ..valid()
    };
    assert_eq!(columns(&table), [column]);
}

#[rstest]
#[case("name", OrganisationRow { name: "x y".into(), ..organisation("x", "other") })]
#[case("key_digests", organisation("x", "key"))]
#[case("key_digests", OrganisationRow { key_digests: vec!["AB".into()], ..organisation("x", "y") })]
fn faults_of_an_organisation(#[case] column: &str, #[case] row: OrganisationRow) {
    let table = Snapshot {
        organisations: vec![organisation("org-1", "key"), row],
        ..valid()
    };
    assert_eq!(columns(&table), [column]);
}

#[test]
fn all_faults_are_listed_at_once() {
    let row = LimitRow {
        priority: 11,
        allotted_ms: 0,
        ..limit("a", 0)
    };
    let table = Snapshot {
        limits: vec![row],
        endpoints: vec![engine("", 3)],
        ..valid()
    };
    assert_eq!(
        columns(&table),
        ["weight", "priority", "allotted_ms", "name"]
    );
}

fn columns(table: &Snapshot) -> Vec<&'static str> {
    check::faults(table)
        .iter()
        .map(|fault| fault.column)
        .collect()
}
