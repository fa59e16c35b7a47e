//! Sheets to text and back, faults of cells, and what a sheet would change.

mod support;

use mgs_schema::settings::Snapshot;
use mgs_settings::plan;
use mgs_settings::plan::Missing;
use mgs_settings::row::RowKey;
use mgs_settings::row::RowValue;
use mgs_settings::sheet;
use mgs_settings::sheet::Sheet;
use mgs_settings::table::Table;
use rstest::rstest;
use support::engine;
use support::limit;
use support::organisation;

fn table() -> Table {
    let row = |kind: &str, version| {
        let row = RowValue::Limit(limit(kind, 3)).at_version(version);
        let RowValue::Limit(row) = row else {
            unreachable!("a row of limits stays one");
        };
        row
    };
    Table::new(Snapshot {
        version: 5,
        limits: vec![row("a", 2), row("b", 4)],
        organisations: vec![organisation("org-1", "k")],
        endpoints: vec![engine("e1", 1)],
    })
}

#[rstest]
#[case(Sheet::Limits)]
#[case(Sheet::Organisations)]
#[case(Sheet::Endpoints)]
fn a_sheet_read_back_changes_nothing(#[case] sheet: Sheet) {
    let table = table();
    let text = sheet::to_csv(sheet, &sheet.rows(&table)).unwrap();
    let lines = sheet::from_csv(sheet, &text, &Table::default()).unwrap();
    let plan = plan::compare(sheet, &lines, &table, Missing::Remove);
    assert_eq!(plan.differences, []);
}

#[test]
fn what_spreadsheets_do_to_a_sheet_is_passed_over() {
    let text = "\u{feff}KIND ,Organisation,weight\r\n a , * , 7 \r\n,,\r\n\r\n";
    let lines = sheet::from_csv(Sheet::Limits, text, &table()).unwrap();
    assert_eq!(lines.len(), 1);
    let plan = plan::compare(Sheet::Limits, &lines, &table(), Missing::Keep);
    let [difference] = plan.differences.as_slice() else {
        panic!("one row changes: {plan:?}");
    };
    let expected = limit("a", 7);
    let expected = RowValue::Limit(expected).at_version(2);
    assert_eq!(difference.after, Some(expected));
}

#[test]
fn every_fault_is_listed_with_line_and_column() {
    let text =
        "organisation,kind,weight,priority\n*,a,x,1\n*,b,1,\"1,5\"\n*,c,1,1,9\n*,d,1,1\n*,d,2,2\n";
    let faults = sheet::from_csv(Sheet::Limits, text, &table()).unwrap_err();
    let seen: Vec<_> = faults.iter().map(|f| (f.line, f.column.as_str())).collect();
    assert_eq!(seen, [(2, "weight"), (3, "priority"), (4, ""), (6, "")]);
}

#[rstest]
#[case("organisation,weight\n*,1\n", "kind")]
#[case("organisation,kind,colour\n*,a,blue\n", "colour")]
fn faults_of_the_header(#[case] text: &str, #[case] column: &str) {
    let faults = sheet::from_csv(Sheet::Limits, text, &table()).unwrap_err();
    assert_eq!((faults[0].line, faults[0].column.as_str()), (1, column));
}

#[test]
fn rows_that_a_sheet_lacks_are_removed_unless_newer_than_it() {
    let table = table();
    let lines = |version| {
        let text = format!("organisation,kind,version\n*,c,{version}\n");
        sheet::from_csv(Sheet::Limits, &text, &table).unwrap()
    };
    let plan = plan::compare(Sheet::Limits, &lines(3), &table, Missing::Remove);
    let removed: Vec<_> = plan
        .differences
        .iter()
        .filter(|d| d.after.is_none())
        .collect();
    assert_eq!(removed.len(), 1);
    assert_eq!(removed[0].key, RowKey::limit("*", "a"));
    assert_eq!(plan.newer, [RowKey::limit("*", "b")]);
    let plan = plan::compare(Sheet::Limits, &lines(3), &table, Missing::Keep);
    assert!(plan.differences.iter().all(|d| d.after.is_some()));
}

#[test]
fn the_versions_in_a_sheet_are_what_its_editor_saw() {
    let table = table();
    let text = "organisation,kind,weight,version\n*,a,9,2\n*,b,9,1\n*,c,1,\n";
    let lines = sheet::from_csv(Sheet::Limits, text, &table).unwrap();
    let plan = plan::compare(Sheet::Limits, &lines, &table, Missing::Keep);
    let seen: Vec<_> = plan.seen.into_iter().collect();
    let key = |kind| RowKey::limit("*", kind);
    assert_eq!(seen, [(key("a"), 2), (key("b"), 1)]);
}
