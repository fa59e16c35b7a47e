//! The commands that edit the settings table, with lost replies, outages and concurrent edits.

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

/// Runs commands against a stand-in platform.
struct Cli {
    platform: Platform,
}

impl Cli {
    fn new() -> Self {
        let platform = Platform::start(platform::Options::default()).unwrap();
        Self { platform }
    }

    fn run(&self, line: &str) -> Output {
        self.run_with(line, "")
    }

    /// Runs a command line, split at spaces, with text on standard input.
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
        // Fails if the command has ended without reading its input.
        let _ = stdin.write_all(input.as_bytes());
        drop(stdin);
        child.wait_with_output().unwrap()
    }

    /// Runs a command line that must succeed, and returns its standard output.
    fn run_ok(&self, line: &str) -> String {
        let output = self.run(line);
        assert_eq!(code(&output), 0, "{line}: {}", stderr(&output));
        stdout(&output)
    }

    /// The current settings table.
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
    let cli = Cli::new();
    assert!(cli.run_ok("table set * * weight=2").contains("version 1"));
    cli.run_ok("organisation create org-1");
    cli.run_ok("table set org-1 chat priority=0 allotted_ms=4000 models=m1");
    assert!(cli.run_ok("table get org-1 chat").contains("4000"));
    assert!(cli.run_ok("table get org-1 batch").contains("*"));
    assert!(cli
        .run_ok("table set org-1 chat priority=0")
        .contains("nothing changes"));
    assert!(cli.run_ok("table show").contains("2 rows, table version 3"));
    cli.run_ok("table remove org-1 chat");
    assert_eq!(cli.table().snapshot().limits.len(), 1);
}

#[test]
fn all_faults_are_reported_and_nothing_is_changed() {
    let cli = Cli::new();
    let output = cli.run("table set nobody * weight=0 priority=12");
    assert_eq!(code(&output), 2);
    for column in ["organisation", "weight", "priority"] {
        assert!(
            stderr(&output).contains(&format!("column {column}")),
            "{column}"
        );
    }
    let output = cli.run("table set * * weight=x colour=blue");
    assert_eq!(code(&output), 2);
    assert!(stderr(&output).contains("2 faults"));
    assert_eq!(cli.table().version(), 0);
}

#[test]
fn an_exported_sheet_is_edited_and_applied() {
    let cli = Cli::new();
    cli.run_ok("table set * * weight=2");
    cli.run_ok("table set * batch weight=3");
    let sheet = cli.run_ok("table export limits");
    let sheet = sheet.replace("*,batch,3", "*,batch,9");
    let output = cli.run_with("table diff limits -", &sheet);
    assert!(stdout(&output).contains(r#"~ limit */batch weight: "3" -> "9""#));
    assert_eq!(cli.table().version(), 2);
    let output = cli.run_with("table apply limits -", &sheet);
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    assert_eq!(cli.table().limit("*", "batch").unwrap().weight, 9);
    let output = cli.run_with("table edit limits -", "kind,organisation,weight\n*,*,4\n");
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    assert_eq!(cli.table().snapshot().limits.len(), 2);
}

#[test]
fn concurrent_edits_of_a_sheet_conflict_and_both_values_are_shown() {
    let cli = Cli::new();
    cli.run_ok("table set * * weight=2");
    let sheet = cli.run_ok("table export limits");
    cli.run_ok("table set * * weight=5");
    let output = cli.run_with("table apply limits -", &sheet.replace("*,*,2", "*,*,7"));
    assert_eq!(code(&output), 3);
    assert!(stderr(&output).contains("weight=5"));
    assert!(stderr(&output).contains("weight=7"));
    assert_eq!(cli.table().limit("*", "*").unwrap().weight, 5);
}

#[test]
fn rows_unchanged_in_an_old_sheet_keep_the_edits_of_others() {
    let cli = Cli::new();
    cli.run_ok("table set * * weight=2");
    cli.run_ok("table set * batch weight=3");
    let sheet = cli.run_ok("table export limits");
    cli.run_ok("table set * * weight=5");
    let output = cli.run_with(
        "table apply limits -",
        &sheet.replace("*,batch,3", "*,batch,4"),
    );
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    let table = cli.table();
    let weight = |kind| table.limit("*", kind).unwrap().weight;
    assert_eq!((weight("*"), weight("batch")), (5, 4));
}

#[test]
fn lost_replies_are_resolved_and_outages_reported() {
    let cli = Cli::new();
    cli.platform.faults().lose_next_replies(1);
    assert!(cli
        .run_ok("table set * * weight=2")
        .contains("accepted before as version 1"));
    cli.platform.faults().set_outage(true);
    let output = cli.run("table set * * weight=3");
    assert_eq!(code(&output), 4);
    cli.platform.faults().set_outage(false);
    assert_eq!(cli.table().version(), 1);
}

#[test]
fn an_edit_retried_with_its_identifier_is_applied_once() {
    let cli = Cli::new();
    cli.run_ok("table set * * weight=2 --edit-id one");
    let again = cli.run_ok("table set * * weight=2 --edit-id one");
    assert!(again.contains("accepted before as version 1"));
    assert_eq!(cli.table().version(), 1);
}

#[test]
fn the_history_shows_author_time_and_base_version() {
    let cli = Cli::new();
    cli.run_ok("table set * * weight=2");
    cli.run_ok("table set * * weight=3 --author ion");
    let history = cli.run_ok("table history");
    assert!(history.contains("by ana  based on 0"));
    assert!(history.contains("by ion  based on 1"));
    assert!(history.contains(" UTC "));
    assert!(!cli.run_ok("table history --last 1").contains("by ana"));
    let json = cli.run_ok("table history --since 1 --json");
    let edits: Vec<serde_json::Value> = serde_json::from_str(&json).unwrap();
    assert_eq!(edits[0]["author"], "ion");
}

#[test]
fn a_key_is_printed_once_and_only_its_digest_kept() {
    let cli = Cli::new();
    let printed = cli.run_ok("organisation create org-1");
    let key = printed.split_whitespace().last().unwrap();
    assert!(key.starts_with("mgs_"));
    assert_eq!(cli.table().organisation_of(key).unwrap().name, "org-1");
    for line in [
        "organisation list",
        "table export organisations",
        "table history",
    ] {
        assert!(!cli.run_ok(line).contains(key));
    }
    let second = cli.run_ok("organisation key org-1");
    let second = second.split_whitespace().last().unwrap();
    let digest = mgs_settings::table::key_digest(key);
    cli.run_ok(&format!("organisation key org-1 --revoke {}", &digest[..8]));
    assert!(cli.table().organisation_of(key).is_none());
    assert!(cli.table().organisation_of(second).is_some());
}

#[test]
fn endpoints_are_declared_started_and_stopped() {
    let cli = Cli::new();
    cli.run_ok("endpoint set e1 kind=engine sidecar_address=10.0.0.1:7300 zone=a models=m");
    cli.run_ok("endpoint stop e1");
    assert!(!cli.table().endpoint("e1").unwrap().started);
    cli.run_ok("endpoint start e1");
    assert!(cli.table().endpoint("e1").unwrap().started);
    assert!(cli.run_ok("endpoint list").contains("10.0.0.1:7300"));
    assert_eq!(code(&cli.run("endpoint stop e2")), 2);
    cli.run_ok("endpoint remove e1");
    assert!(cli.table().endpoint("e1").is_none());
}

#[test]
fn an_exported_table_is_imported_elsewhere() {
    let cli = Cli::new();
    cli.run_ok("organisation create org-1");
    cli.run_ok("table set org-1 * weight=4");
    cli.run_ok("endpoint set e1 kind=engine sidecar_address=10.0.0.1:7300 zone=a models=m");
    let file = std::env::temp_dir().join(format!("mgs-import-{}.json", std::process::id()));
    std::fs::write(&file, cli.run_ok("table export --json")).unwrap();
    let other_cli = Cli::new();
    let line = format!("table import limits {}", file.display());
    assert!(other_cli.run_ok(&line).contains("3 rows imported"));
    assert!(other_cli.run_ok(&line).contains("0 rows imported"));
    std::fs::remove_file(&file).unwrap();
    let rows = |cli: &Cli| cli.table().rows().into_iter().map(|r| r.at_version(0));
    assert!(rows(&cli).eq(rows(&other_cli)));
}

#[test]
fn waiting_reports_members_that_have_not_confirmed() {
    let cli = Cli::new();
    let gateway = Member {
        incarnation: 1,
        ..Member::default()
    };
    cli.put_json(&member::key(Role::Gateway, "g1"), &gateway);
    let confirmed = |version| Confirmation {
        incarnation: 1,
        version: 1,
        sidecars: [("e1".to_string(), version)].into(),
    };
    cli.put_json(&confirm::key("g1"), &confirmed(0));
    let output = cli.run("table set * * weight=2 --wait --wait-ms 1");
    assert_eq!(code(&output), 6);
    assert!(stderr(&output).contains("sidecar e1"));
    assert!(!stderr(&output).contains("gateway g1"));
    let output = cli.run("table set * * weight=3 --wait --wait-ms 1");
    assert!(stderr(&output).contains("gateway g1"));
    cli.put_json(
        &confirm::key("g1"),
        &Confirmation {
            version: 9,
            ..confirmed(9)
        },
    );
    let output = cli.run_ok("table set * * weight=4 --wait");
    assert!(output.contains("in force at 1 gateways and 1 sidecars"));
}
