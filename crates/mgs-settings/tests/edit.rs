//! Edits under races, lost replies and outages.

mod support;

use std::sync::Mutex;

use mgs_platform::table::Page;
use mgs_platform::table::Row;
use mgs_platform::table::Table as TableService;
use mgs_platform::table::Txn;
use mgs_platform::table::TxnOutcome;
use mgs_platform::Error as PlatformError;
use mgs_settings::row;
use mgs_settings::row::RowKey;
use mgs_settings::store::compact;
use mgs_settings::store::edit;
use mgs_settings::store::edit::commit;
use mgs_settings::store::read;
use mgs_settings::store::read::Store;
use mgs_settings::table::Table;
use mgs_standin::platform::memory::Memory;
use rstest::rstest;
use support::edit_now;
use support::fill;
use support::options;
use support::set_limit;
use support::store;
use support::weight;

#[test]
fn an_edit_of_other_rows_is_rebased() {
    let memory = Memory::default();
    let base = Table::default();
    edit_now(store(&memory), "first", vec![set_limit("a", 1)]).unwrap();
    let options = options("second", vec![set_limit("b", 2)]);
    let outcome = commit(store(&memory), &base, &options).unwrap();
    assert_eq!(
        outcome,
        edit::Outcome {
            version: 2,
            already: false
        }
    );
    let table = read::load(store(&memory)).unwrap();
    assert_eq!(
        (weight(&table, "a"), weight(&table, "b")),
        (Some(1), Some(2))
    );
}

#[rstest]
#[case::set(vec![set_limit("a", 3)], Some(3))]
#[case::removed(vec![row::remove(&RowKey::limit("*", "a"))], None)]
fn an_edit_of_the_same_row_conflicts_and_shows_both(
    #[case] theirs: Vec<mgs_schema::settings::Change>,
    #[case] their_weight: Option<u32>,
) {
    let memory = Memory::default();
    edit_now(store(&memory), "first", vec![set_limit("a", 1)]).unwrap();
    let base = read::load(store(&memory)).unwrap();
    edit_now(store(&memory), "theirs", theirs).unwrap();
    let error = commit(
        store(&memory),
        &base,
        &options("ours", vec![set_limit("a", 2)]),
    );
    let Err(edit::Error::Conflict(1, conflicts)) = error else {
        panic!("no conflict: {error:?}");
    };
    let conflict = conflicts[0].clone();
    let seen = |value: Option<row::RowValue>| match value {
        Some(row::RowValue::Limit(row)) => Some(row.weight),
        _ => None,
    };
    assert_eq!(seen(conflict.base), Some(1));
    assert_eq!(seen(conflict.theirs), their_weight);
    assert_eq!(seen(conflict.ours), Some(2));
    assert_eq!(read::head(&memory).unwrap().head.version, 2);
}

#[test]
fn a_row_set_and_set_back_conflicts_too() {
    let memory = Memory::default();
    edit_now(store(&memory), "first", vec![set_limit("a", 1)]).unwrap();
    let base = read::load(store(&memory)).unwrap();
    edit_now(
        store(&memory),
        "away",
        vec![row::remove(&RowKey::limit("*", "a"))],
    )
    .unwrap();
    edit_now(store(&memory), "back", vec![set_limit("a", 1)]).unwrap();
    let error = commit(
        store(&memory),
        &base,
        &options("ours", vec![set_limit("a", 2)]),
    );
    assert!(matches!(error, Err(edit::Error::Conflict(1, _))));
}

#[test]
fn a_row_that_is_newer_than_the_sheet_conflicts() {
    let memory = Memory::default();
    fill(store(&memory), 2);
    let base = read::load(store(&memory)).unwrap();
    let key = RowKey::limit("*", "fill");
    for (seen, conflicts) in [(1, true), (2, false)] {
        let options = edit::Options {
            seen: [(key.clone(), seen)].into(),
            ..options("sheet", vec![set_limit("fill", 9)])
        };
        let result = commit(store(&memory), &base, &options);
        assert_eq!(matches!(result, Err(edit::Error::Conflict(..))), conflicts);
    }
}

#[test]
fn a_lost_reply_is_settled_and_nothing_applied_twice() {
    let memory = Memory::default();
    memory.faults().lose_next_replies(1);
    let options = options("one", vec![set_limit("a", 1)]);
    let outcome = commit(store(&memory), &Table::default(), &options).unwrap();
    assert_eq!(
        outcome,
        edit::Outcome {
            version: 1,
            already: true
        }
    );
    assert_eq!(read::head(&memory).unwrap().head.version, 1);
}

#[test]
fn an_edit_tried_again_is_found_even_after_compaction() {
    let memory = Memory::default();
    let options = options("one", vec![set_limit("a", 1)]);
    commit(store(&memory), &Table::default(), &options).unwrap();
    fill(store(&memory), 600);
    let keep = compact::Options { keep_edits: 1 };
    let compacted = compact::run(store(&memory), &keep).unwrap();
    assert_eq!(compacted, compact::Outcome::Compacted(512));
    let outcome = commit(store(&memory), &Table::default(), &options).unwrap();
    assert_eq!(
        outcome,
        edit::Outcome {
            version: 1,
            already: true
        }
    );
}

#[test]
fn an_outage_before_the_edit_refuses_it() {
    let memory = Memory::default();
    memory.faults().set_outage(true);
    let options = options("one", vec![set_limit("a", 1)]);
    let error = commit(store(&memory), &Table::default(), &options);
    assert!(matches!(error, Err(edit::Error::Refused(_))));
    memory.faults().set_outage(false);
    assert_eq!(read::head(&memory).unwrap().head.version, 0);
}

#[rstest]
#[case::no_identifier("", vec![set_limit("a", 1)])]
#[case::nothing("x", vec![])]
#[case::twice("x", vec![set_limit("a", 1), set_limit("a", 2)])]
#[case::invalid("x", vec![set_limit("a", 0)])]
fn a_faulty_edit_is_refused(
    #[case] edit_id: &str,
    #[case] changes: Vec<mgs_schema::settings::Change>,
) {
    let memory = Memory::default();
    let error = commit(
        store(&memory),
        &Table::default(),
        &options(edit_id, changes),
    );
    assert!(matches!(error, Err(edit::Error::Faults(1, _))));
    assert_eq!(read::head(&memory).unwrap().head.version, 0);
}

/// A table service in which a call's number fails: before it takes effect, or after.
struct FailingCall<'a> {
    inner: &'a Memory,
    calls: Mutex<Vec<bool>>,
    /// Number of the first call that fails; all later ones do too.
    from: usize,
    /// Whether a failing write takes effect, its answer lost.
    takes_effect: bool,
}

impl FailingCall<'_> {
    fn fails(&self) -> bool {
        let mut calls = self.calls.lock().unwrap();
        let fails = calls.len() >= self.from;
        calls.push(fails);
        fails
    }
}

impl TableService for FailingCall<'_> {
    fn commit(&self, txn: &Txn) -> Result<TxnOutcome, PlatformError> {
        if !self.fails() {
            return self.inner.commit(txn);
        }
        if self.takes_effect {
            self.inner.commit(txn)?;
        }
        Err(PlatformError::Unknown("lost".to_string()))
    }

    fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        if self.fails() {
            return Err(PlatformError::Unavailable("outage".to_string()));
        }
        TableService::get(self.inner, key)
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Page, PlatformError> {
        if self.fails() {
            return Err(PlatformError::Unavailable("outage".to_string()));
        }
        self.inner.scan(prefix, after, limit)
    }
}

/// An outage that begins at each step of an edit: what is said holds, and a second try settles it.
#[rstest]
fn an_outage_at_each_step_is_told_truly(
    #[values(0, 1, 2, 3, 4)] from: usize,
    #[values(false, true)] takes_effect: bool,
) {
    let memory = Memory::default();
    let base = Table::default();
    fill(store(&memory), 1);
    let failing = FailingCall {
        inner: &memory,
        calls: Mutex::default(),
        from,
        takes_effect,
    };
    let broken = Store {
        table: &failing,
        objects: &memory,
    };
    let mut options = options("one", vec![set_limit("a", 1)]);
    let result = commit(broken, &base, &options);
    let edits = read::all_edits_after(&memory, 0).unwrap();
    let accepted = edits.iter().any(|edit| edit.edit_id == "one");
    match &result {
        Ok(_) => assert!(accepted),
        Err(edit::Error::Refused(_)) => assert!(!accepted),
        Err(edit::Error::Unknown(_)) => {}
        Err(error) => panic!("unexpected: {error}"),
    }
    options.retried = true;
    let outcome = commit(store(&memory), &base, &options).unwrap();
    assert_eq!(
        outcome,
        edit::Outcome {
            version: 2,
            already: accepted
        }
    );
    assert_eq!(read::head(&memory).unwrap().head.version, 2);
}
