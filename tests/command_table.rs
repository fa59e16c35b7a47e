//! The operators' commands against a platform, with lost replies, outages and races.

mod common;

use std::io::Write;
use std::process::Output;
use std::process::Stdio;

use common::code;
use common::marigoldstage;
use common::run;
use common::stderr;
use common::stdout;
use mgs_platform::table::Table as _;
use mgs_platform::table::Txn;
use mgs_settings::confirm;
use mgs_settings::confirm::Confirmation;
use mgs_settings::member;
use mgs_settings::member::Member;
use mgs_settings::member::Role;
use mgs_settings::store::read;
use mgs_settings::store::read::Store;
use mgs_settings::table::Table;
use mgs_standin::platform;
use mgs_standin::platform::Platform;

struct Shell {
    platform: Platform,
}

impl Shell {
    fn new() -> Self {
        let platform = Platform::start(platform::Options::default()).unwrap();
        Self { platform }
    }

    fn run(&self, line: &str) -> Output {
        self.run_with(line, "")
    }

    /// Runs a command line, its words separated by spaces, with text on standard input.
    fn run_with(&self, line: &str, input: &str) -> Output {
        let mut child = marigoldstage()
            .args(line.split(' '))
            .args(["--platform", &self.platform.url()])
            .env("USER", "ana")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut stdin = child.stdin.take().unwrap();
        // A command that reads no input may have closed it.
        let _ = stdin.write_all(input.as_bytes());
        drop(stdin);
        child.wait_with_output().unwrap()
    }

    /// Runs a command line that must succeed, and gives what it printed.
    fn ok(&self, line: &str) -> String {
        let output = self.run(line);
        assert_eq!(code(&output), 0, "{line}: {}", stderr(&output));
        stdout(&output)
    }

    fn table(&self) -> Table {
        let memory = self.platform.memory().as_ref();
        let store = Store {
            table: memory,
            objects: memory,
        };
        read::load(store).unwrap()
    }

    fn put_json<T: serde::Serialize>(&self, key: &str, value: &T) {
        let value = serde_json::to_string(value).unwrap();
        let txn = Txn::default().put(key, &value);
        self.platform.memory().commit(&txn).unwrap();
    }
}

#[test]
fn a_subcommand_must_be_given() {
    for command in ["table", "endpoint", "organisation"] {
        assert_eq!(code(&run(&[command])), 2);
    }
}

#[test]
fn rows_are_set_shown_and_removed() {
    let shell = Shell::new();
    assert!(shell.ok("table set * * weight=2").contains("version 1"));
    shell.ok("organisation create org-1");
    shell.ok("table set org-1 chat priority=0 allotted_ms=4000 models=m1");
    assert!(shell.ok("table get org-1 chat").contains("4000"));
    assert!(shell.ok("table get org-1 batch").contains("*"));
    assert!(shell
        .ok("table set org-1 chat priority=0")
        .contains("nothing changes"));
    assert!(shell.ok("table show").contains("2 rows, table version 3"));
    shell.ok("table remove org-1 chat");
    assert_eq!(shell.table().snapshot().limits.len(), 1);
}

#[test]
fn every_fault_is_told_and_nothing_changed() {
    let shell = Shell::new();
    let output = shell.run("table set nobody * weight=0 priority=12");
    assert_eq!(code(&output), 2);
    for column in ["organisation", "weight", "priority"] {
        assert!(
            stderr(&output).contains(&format!("column {column}")),
            "{column}"
        );
    }
    let output = shell.run("table set * * weight=x colour=blue");
    assert_eq!(code(&output), 2);
    assert!(stderr(&output).contains("2 faults"));
    assert_eq!(shell.table().version(), 0);
}

#[test]
fn a_sheet_goes_to_the_spreadsheet_and_back() {
    let shell = Shell::new();
    shell.ok("table set * * weight=2");
    shell.ok("table set * batch weight=3");
    let sheet = shell.ok("table export limits");
    let sheet = sheet.replace("*,batch,3", "*,batch,9");
    let output = shell.run_with("table diff limits -", &sheet);
    assert!(stdout(&output).contains(r#"~ limit */batch weight: "3" -> "9""#));
    assert_eq!(shell.table().version(), 2);
    let output = shell.run_with("table apply limits -", &sheet);
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    assert_eq!(shell.table().limit("*", "batch").unwrap().weight, 9);
    let output = shell.run_with("table edit limits -", "kind,organisation,weight\n*,*,4\n");
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    assert_eq!(shell.table().snapshot().limits.len(), 2);
}

#[test]
fn two_operators_with_one_sheet_get_a_conflict_that_shows_both_values() {
    let shell = Shell::new();
    shell.ok("table set * * weight=2");
    let sheet = shell.ok("table export limits");
    shell.ok("table set * * weight=5");
    let output = shell.run_with("table apply limits -", &sheet.replace("*,*,2", "*,*,7"));
    assert_eq!(code(&output), 3);
    assert!(stderr(&output).contains("weight=5"));
    assert!(stderr(&output).contains("weight=7"));
    assert_eq!(shell.table().limit("*", "*").unwrap().weight, 5);
}

#[test]
fn rows_that_an_old_sheet_left_as_they_were_keep_what_others_made_of_them() {
    let shell = Shell::new();
    shell.ok("table set * * weight=2");
    shell.ok("table set * batch weight=3");
    let sheet = shell.ok("table export limits");
    shell.ok("table set * * weight=5");
    let output = shell.run_with(
        "table apply limits -",
        &sheet.replace("*,batch,3", "*,batch,4"),
    );
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    let table = shell.table();
    let weight = |kind| table.limit("*", kind).unwrap().weight;
    assert_eq!((weight("*"), weight("batch")), (5, 4));
}

#[test]
fn lost_replies_are_settled_and_outages_told() {
    let shell = Shell::new();
    shell.platform.faults().lose_next_replies(1);
    assert!(shell
        .ok("table set * * weight=2")
        .contains("accepted before as version 1"));
    shell.platform.faults().set_outage(true);
    let output = shell.run("table set * * weight=3");
    assert_eq!(code(&output), 4);
    shell.platform.faults().set_outage(false);
    assert_eq!(shell.table().version(), 1);
}

#[test]
fn an_edit_tried_again_by_its_identifier_is_made_once() {
    let shell = Shell::new();
    shell.ok("table set * * weight=2 --edit-id one");
    let again = shell.ok("table set * * weight=2 --edit-id one");
    assert!(again.contains("accepted before as version 1"));
    assert_eq!(shell.table().version(), 1);
}

#[test]
fn the_history_says_who_when_and_from_what() {
    let shell = Shell::new();
    shell.ok("table set * * weight=2");
    shell.ok("table set * * weight=3 --author ion");
    let history = shell.ok("table history");
    assert!(history.contains("by ana  based on 0"));
    assert!(history.contains("by ion  based on 1"));
    assert!(history.contains(" UTC "));
    assert!(!shell.ok("table history --last 1").contains("by ana"));
    let json = shell.ok("table history --since 1 --json");
    let edits: Vec<serde_json::Value> = serde_json::from_str(&json).unwrap();
    assert_eq!(edits[0]["author"], "ion");
}

#[test]
fn a_key_is_printed_once_and_only_its_digest_kept() {
    let shell = Shell::new();
    let printed = shell.ok("organisation create org-1");
    let key = printed.split_whitespace().last().unwrap();
    assert!(key.starts_with("mgs_"));
    assert_eq!(shell.table().organisation_of(key).unwrap().name, "org-1");
    for line in [
        "organisation list",
        "table export organisations",
        "table history",
    ] {
        assert!(!shell.ok(line).contains(key));
    }
    let second = shell.ok("organisation key org-1");
    let second = second.split_whitespace().last().unwrap();
    let digest = mgs_settings::table::key_digest(key);
    shell.ok(&format!("organisation key org-1 --revoke {}", &digest[..8]));
    assert!(shell.table().organisation_of(key).is_none());
    assert!(shell.table().organisation_of(second).is_some());
}

#[test]
fn endpoints_are_declared_started_and_stopped() {
    let shell = Shell::new();
    shell.ok("endpoint set e1 kind=engine sidecar_address=10.0.0.1:7300 zone=a models=m");
    shell.ok("endpoint stop e1");
    assert!(!shell.table().endpoint("e1").unwrap().started);
    shell.ok("endpoint start e1");
    assert!(shell.table().endpoint("e1").unwrap().started);
    assert!(shell.ok("endpoint list").contains("10.0.0.1:7300"));
    assert_eq!(code(&shell.run("endpoint stop e2")), 2);
    shell.ok("endpoint remove e1");
    assert!(shell.table().endpoint("e1").is_none());
}

#[test]
fn an_exported_table_is_imported_elsewhere() {
    let shell = Shell::new();
    shell.ok("organisation create org-1");
    shell.ok("table set org-1 * weight=4");
    shell.ok("endpoint set e1 kind=engine sidecar_address=10.0.0.1:7300 zone=a models=m");
    let file = std::env::temp_dir().join(format!("mgs-import-{}.json", std::process::id()));
    std::fs::write(&file, shell.ok("table export --json")).unwrap();
    let other = Shell::new();
    let line = format!("table import limits {}", file.display());
    assert!(other.ok(&line).contains("3 rows imported"));
    assert!(other.ok(&line).contains("0 rows imported"));
    std::fs::remove_file(&file).unwrap();
    let rows = |shell: &Shell| shell.table().rows().into_iter().map(|r| r.at_version(0));
    assert!(rows(&shell).eq(rows(&other)));
}

#[test]
fn waiting_names_who_has_not_confirmed() {
    let shell = Shell::new();
    let gateway = Member {
        incarnation: 1,
        ..Member::default()
    };
    shell.put_json(&member::key(Role::Gateway, "g1"), &gateway);
    let confirmed = |version| Confirmation {
        incarnation: 1,
        version: 1,
        sidecars: [("e1".to_string(), version)].into(),
    };
    shell.put_json(&confirm::key("g1"), &confirmed(0));
    let output = shell.run("table set * * weight=2 --wait --wait-ms 1");
    assert_eq!(code(&output), 6);
    assert!(stderr(&output).contains("sidecar e1"));
    assert!(!stderr(&output).contains("gateway g1"));
    let output = shell.run("table set * * weight=3 --wait --wait-ms 1");
    assert!(stderr(&output).contains("gateway g1"));
    shell.put_json(
        &confirm::key("g1"),
        &Confirmation {
            version: 9,
            ..confirmed(9)
        },
    );
    let output = shell.ok("table set * * weight=4 --wait");
    assert!(output.contains("in force at 1 gateways and 1 sidecars"));
}
