//! Grouped writes: conflicts are split off, lost replies are settled, outages end honestly.

use mgs_durable::batch::Batch;
use mgs_durable::batch::Op;
use mgs_durable::batch::Step;
use mgs_durable::batch::Written;
use mgs_platform::table::Row;
use mgs_platform::table::TxnOutcome;
use mgs_platform::Error;

fn op(key: &str) -> Op {
    Op {
        key: key.to_string(),
        expected: 0,
        value: Some(format!("mine-{key}")),
    }
}

fn row(key: &str, value: &str, version: u64) -> Row {
    Row {
        key: key.to_string(),
        value: value.to_string(),
        version,
    }
}

fn lost() -> Result<TxnOutcome, Error> {
    Err(Error::Unknown(String::new()))
}

#[test]
fn a_conflict_fails_only_its_own_write() {
    let mut batch = Batch::new(vec![op("a"), op("b"), op("c")]);
    let other = row("b", "other", 4);
    let conflict = vec![("b".to_string(), Some(other.clone()))];
    batch.committed(Ok(TxnOutcome::Conflict(conflict)));
    assert_eq!(
        batch.take_ended(),
        vec![(1, Written::Conflict(Some(other)))]
    );
    let Step::Commit(txn) = batch.step() else {
        panic!("the others go on");
    };
    assert_eq!(txn.writes.len(), 2);
    batch.committed(Ok(TxnOutcome::Committed(5)));
    let mut ended = batch.take_ended();
    ended.sort_by_key(|(place, _)| *place);
    assert_eq!(ended, vec![(0, Written::Done(5)), (2, Written::Done(5))]);
}

#[test]
fn a_lost_reply_is_settled_by_reading_back() {
    let mut batch = Batch::new(vec![op("a"), op("b")]);
    batch.committed(lost());
    assert_eq!(
        batch.step(),
        Step::ReadBack(vec!["a".to_string(), "b".to_string()])
    );
    let other = row("b", "other", 7);
    batch.read_back(vec![Some(row("a", "mine-a", 6)), Some(other.clone())]);
    let expected = vec![(0, Written::Done(6)), (1, Written::Conflict(Some(other)))];
    assert_eq!(batch.take_ended(), expected);
    assert_eq!(batch.step(), Step::Finished);
}

#[test]
fn a_write_that_arrives_late_counts_as_its_own() {
    let mut batch = Batch::new(vec![op("a")]);
    batch.committed(lost());
    batch.read_back(vec![None]);
    assert!(matches!(batch.step(), Step::Commit(_)));
    let late = vec![("a".to_string(), Some(row("a", "mine-a", 9)))];
    batch.committed(Ok(TxnOutcome::Conflict(late)));
    assert_eq!(batch.take_ended(), vec![(0, Written::Done(9))]);
}

#[test]
fn a_deletion_whose_reply_was_lost_is_settled() {
    let deletion = Op {
        key: "a".to_string(),
        expected: 3,
        value: None,
    };
    let mut batch = Batch::new(vec![deletion]);
    batch.committed(lost());
    batch.read_back(vec![None]);
    assert_eq!(batch.take_ended(), vec![(0, Written::Done(0))]);
}

#[test]
fn giving_up_says_whether_anything_may_have_happened() {
    let mut batch = Batch::new(vec![op("a"), op("b")]);
    batch.committed(Err(Error::Unavailable(String::new())));
    batch.give_up(|place| place == 0);
    assert_eq!(batch.take_ended(), vec![(0, Written::Unavailable)]);
    batch.committed(lost());
    batch.give_up(|_| true);
    assert_eq!(batch.take_ended(), vec![(1, Written::Unknown)]);
}
