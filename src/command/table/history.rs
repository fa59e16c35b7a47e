//! `marigoldstage table history`: shows edits with their time, author and base version.

use std::io::Write;

use clap::ArgMatches;
use clap::Command;
use mgs_schema::settings::Edit;
use mgs_settings::row::change_key;
use mgs_settings::row::change_value;
use mgs_settings::store::read;

use super::is_json;
use crate::error::Error;
use crate::operator;
use crate::operator::print;
use crate::operator::store_error;
use crate::operator::Session;
use crate::setting::value_argument;
use crate::setting::SettingValues;

const LAST: &str = "last";
const SINCE: &str = "since";
const SHOWN_CHANGES_MAX: usize = 10;

pub(super) fn command() -> Command {
    Command::new("history")
        .about("Show edits: version, time, author, the version it was based on, rows")
        .arg(value_argument(LAST, "COUNT", "Number of newest edits to show").default_value("20"))
        .arg(value_argument(
            SINCE,
            "VERSION",
            "Show every edit after this version instead",
        ))
        .args(operator::arguments())
}

pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let mut values = SettingValues::new(matches);
    let last = values.number(LAST, 1..=1_000_000_u64);
    let is_since_given = values.optional_text(SINCE).is_some();
    let since = is_since_given.then(|| values.number(SINCE, 0..=u64::MAX));
    let options = operator::options(&mut values);
    values.finish()?;
    let session = Session::new(options);
    let head = read::head(session.store().table).map_err(store_error)?;
    let newest = head.head.version;
    let after = since.unwrap_or(newest.saturating_sub(last));
    let edits = read::history(session.store(), after + 1, newest).map_err(store_error)?;
    if is_json(matches) {
        return print::json(&edits, out);
    }
    for edit in &edits {
        print_edit(edit, out)?;
    }
    Ok(())
}

fn print_edit(edit: &Edit, out: &mut dyn Write) -> Result<(), Error> {
    writeln!(
        out,
        "version {}  {}  by {}  based on {}  {} rows  id {}",
        edit.version,
        format_utc(edit.at_ms),
        edit.author,
        edit.based_on,
        edit.changes.len(),
        edit.edit_id
    )?;
    for change in edit.changes.iter().take(SHOWN_CHANGES_MAX) {
        let Some(key) = change_key(change) else {
            continue;
        };
        match change_value(change) {
            Some(value) => writeln!(out, "  set {key}: {value}")?,
            None => writeln!(out, "  remove {key}")?,
        }
    }
    if edit.changes.len() > SHOWN_CHANGES_MAX {
        writeln!(out, "  and {} more", edit.changes.len() - SHOWN_CHANGES_MAX)?;
    }
    Ok(())
}

const MS_PER_S: u64 = 1_000;
const S_PER_DAY: u64 = 86_400;

/// Formats milliseconds since the Unix epoch as `YYYY-MM-DD HH:MM:SS UTC`.
fn format_utc(at_ms: u64) -> String {
    let seconds = at_ms / MS_PER_S;
    let (year, month, day) = civil_date(seconds / S_PER_DAY);
    let second = seconds % S_PER_DAY;
    let (hour, minute) = (second / 3_600, second / 60 % 60);
    format!(
        "{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{:02} UTC",
        second % 60
    )
}

/// Converts days since the Unix epoch to year, month and day in the Gregorian calendar. Internally
/// the year begins in March, so that the leap day is its last day; an era is 400 years, after which
/// the calendar repeats.
fn civil_date(days: u64) -> (u64, u64, u64) {
    const DAYS_TO_EPOCH: u64 = 719_468;
    const DAYS_PER_ERA: u64 = 146_097;
    let shifted = days + DAYS_TO_EPOCH;
    let (era, day_of_era) = (shifted / DAYS_PER_ERA, shifted % DAYS_PER_ERA);
    let leap_days = day_of_era / 1_460 + day_of_era / 146_096 - day_of_era / 36_524;
    let year_of_era = (day_of_era - leap_days) / 365;
    let before = 365 * year_of_era + year_of_era / 4 - year_of_era / 100;
    let day_of_year = day_of_era - before;
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = (month_from_march + 2) % 12 + 1;
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
