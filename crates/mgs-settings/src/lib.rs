//! The operators' table: rows, checks, edits, versions and the snapshot every process serves from.
//!
//! [`table`] holds one version of the table and answers look-ups; [`row`] names its rows.
//! [`store`] keeps the log of edits in the platform's table service: an edit is one transaction,
//! a race ends in a conflict and a lost reply is settled by the edit's identifier. [`hold`] is
//! what a process has in force, which never goes back; [`follow`] brings it up to date.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod check;
pub mod confirm;
pub mod follow;
pub mod hold;
pub mod host;
pub mod member;
pub mod plan;
pub mod row;
pub mod sheet;
pub mod store;
pub mod table;
