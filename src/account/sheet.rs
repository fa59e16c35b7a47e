//! The account as rows of comma-separated values, for a spreadsheet.

use std::collections::BTreeMap;

use super::Account;

/// Names of the columns.
const COLUMNS: [&str; 8] = [
    "second",
    "kind",
    "length",
    "zone",
    "cause",
    "requests",
    "units",
    "lost_units",
];

/// What stands in one row.
type Place = (u64, String, &'static str, String, String);

/// Rows by second, kind, length, availability zone and cause.
///
/// ```
/// use marigoldstage::account::sheet;
/// use marigoldstage::account::Account;
///
/// let text = sheet::text(&Account::default()).unwrap();
/// assert!(text.starts_with("second,kind,length,zone,cause,requests,units,lost_units\n"));
/// ```
pub fn text(account: &Account) -> Result<String, csv::Error> {
    let mut rows: BTreeMap<Place, (u64, f64, f64)> = BTreeMap::new();
    for outcome in &account.outcomes {
        let place = (
            outcome.at_s.max(0.0) as u64,
            outcome.kind.clone(),
            outcome.length,
            outcome.zone.clone(),
            outcome.cause.to_string(),
        );
        let (requests, units, lost_units) = rows.entry(place).or_default();
        *requests += 1;
        *units += outcome.units;
        *lost_units += outcome.lost_units;
    }
    let mut writer = csv::Writer::from_writer(Vec::new());
    writer.write_record(COLUMNS)?;
    for ((second, kind, length, zone, cause), (requests, units, lost_units)) in rows {
        writer.write_record([
            second.to_string(),
            kind,
            length.to_string(),
            zone,
            cause,
            requests.to_string(),
            format!("{units:.3}"),
            format!("{lost_units:.3}"),
        ])?;
    }
    let bytes = writer
        .into_inner()
        .map_err(|error| csv::Error::from(error.into_error()))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
