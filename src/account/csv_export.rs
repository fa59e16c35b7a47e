//! Exports the account as comma-separated values, for a spreadsheet.

use std::collections::BTreeMap;

use super::Account;

/// Column names.
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

/// Key of a row: second, kind, length label, availability zone and cause.
type RowKey = (u64, String, &'static str, String, String);

/// Formats rows by second, kind, length, availability zone and cause. Fails if the CSV writer does.
///
/// ```
/// use marigoldstage::account::csv_export;
/// use marigoldstage::account::Account;
///
/// let text = csv_export::to_csv(&Account::default()).unwrap();
/// assert!(text.starts_with("second,kind,length,zone,cause,requests,units,lost_units\n"));
/// ```
pub fn to_csv(account: &Account) -> Result<String, csv::Error> {
    let mut rows: BTreeMap<RowKey, (u64, f64, f64)> = BTreeMap::new();
    for outcome in &account.outcomes {
        let key = (
            outcome.arrived_s.max(0.0) as u64,
            outcome.kind.clone(),
            outcome.length_label,
            outcome.zone.clone(),
            outcome.cause.to_string(),
        );
        let (requests, units, lost_units) = rows.entry(key).or_default();
        *requests += 1;
        *units += outcome.units;
        *lost_units += outcome.lost_units;
    }
    let mut writer = csv::Writer::from_writer(Vec::new());
    writer.write_record(COLUMNS)?;
    for ((second, kind, length_label, zone, cause), (requests, units, lost_units)) in rows {
        writer.write_record([
            second.to_string(),
            kind,
            length_label.to_string(),
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
