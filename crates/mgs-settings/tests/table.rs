//! Look-ups and applied edits.

mod support;

use mgs_schema::settings::Edit;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::Snapshot;
use mgs_settings::row;
use mgs_settings::row::RowKey;
use mgs_settings::row::RowValue;
use mgs_settings::table::Error;
use mgs_settings::table::Table;
use rstest::rstest;
use support::engine;
use support::organisation;
use support::set_limit;

fn limits() -> Table {
    let row = |organisation: &str, kind: &str, weight| LimitRow {
        organisation: organisation.to_string(),
        kind: kind.to_string(),
        weight,
        ..LimitRow::default()
    };
    Table::new(Snapshot {
        limits: vec![
            row("*", "*", 1),
            row("*", "batch", 2),
            row("org-1", "*", 3),
            row("org-1", "chat", 4),
        ],
        ..Snapshot::default()
    })
}

#[rstest]
#[case("org-1", "chat", 4)]
#[case("org-1", "batch", 3)]
#[case("org-2", "batch", 2)]
#[case("org-2", "lookup", 1)]
fn the_nearest_row_holds(#[case] organisation: &str, #[case] kind: &str, #[case] weight: u32) {
    let table = limits();
    assert_eq!(table.limit(organisation, kind).unwrap().weight, weight);
}

#[test]
fn a_key_leads_to_its_organisation_only() {
    let table = Table::new(Snapshot {
        organisations: vec![organisation("org-1", "k1"), organisation("org-2", "k2")],
        ..Snapshot::default()
    });
    let name = |key| table.organisation_of(key).map(|row| row.name.as_str());
    assert_eq!(name("k1"), Some("org-1"));
    assert_eq!(name("k2"), Some("org-2"));
    assert_eq!(name("k3"), None);
    assert_eq!(name(""), None);
}

#[test]
fn edits_set_and_remove_rows_and_stamp_their_version() {
    let set = |version, changes| Edit {
        version,
        changes,
        ..Edit::default()
    };
    let first = vec![
        set_limit("a", 1),
        RowValue::Endpoint(engine("e1", 1)).set(),
        RowValue::Endpoint(engine("e0", 2)).set(),
    ];
    let second = vec![row::remove(&RowKey::limit("*", "a")), set_limit("b", 2)];
    let table = Table::default();
    let table = table.after(&[set(1, first), set(2, second)]).unwrap();
    assert_eq!(table.version(), 2);
    assert_eq!(table.snapshot().limits.len(), 1);
    assert_eq!(table.limit("x", "b").unwrap().version, 2);
    let names: Vec<_> = table
        .started(EndpointKind::Engine)
        .map(|row| &row.name)
        .collect();
    assert_eq!(names, ["e0", "e1"]);
    assert_eq!(table.endpoint("e1").unwrap().version, 1);
}

#[rstest]
#[case(3)]
#[case(1)]
fn an_edit_out_of_turn_is_refused(#[case] version: u64) {
    let table = Table::new(Snapshot {
        version: 1,
        ..Snapshot::default()
    });
    let edit = Edit {
        version,
        ..Edit::default()
    };
    let error = table.after(&[edit]).unwrap_err();
    assert_eq!(
        error,
        Error::Gap {
            table: 1,
            edit: version
        }
    );
}
