//! The table as spreadsheets: a sheet of limits, one of organisations and one of endpoints.
//!
//! A sheet is CSV with a header. Columns may come in any order and case; a column that is missing
//! and a cell that is empty keep what the row has, or the default for a new row. Several models
//! or digests in one cell are separated by spaces. Empty lines and a byte order mark, as
//! spreadsheets leave them, are passed over. The column `version` is written for each row and
//! read back, so that a row that somebody else changed meanwhile is noticed.

pub mod cell;

use std::fmt;
use std::str::FromStr;

use csv::ReaderBuilder;
use csv::StringRecord;
use csv::Trim;
use csv::WriterBuilder;
use displaydoc::Display;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::OrganisationRow;

use crate::row::RowKey;
use crate::row::RowValue;
use crate::table::Table;

const BYTE_ORDER_MARK: char = '\u{feff}';

/// Name of the column with the version at which a row was last changed.
pub const VERSION_COLUMN: &str = "version";

/// One of the sheets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sheet {
    /// A row for each organisation and kind of request.
    Limits,
    /// A row for each organisation.
    Organisations,
    /// A row for each endpoint.
    Endpoints,
}

/// not a sheet: {0:?}; there are limits, organisations and endpoints
#[derive(Debug, Display)]
pub struct UnknownSheet(String);

impl std::error::Error for UnknownSheet {}

impl FromStr for Sheet {
    type Err = UnknownSheet;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "limits" => Ok(Self::Limits),
            "organisations" => Ok(Self::Organisations),
            "endpoints" => Ok(Self::Endpoints),
            _ => Err(UnknownSheet(text.to_string())),
        }
    }
}

impl Sheet {
    /// Columns that name a row.
    pub fn key_columns(self) -> &'static [&'static str] {
        match self {
            Self::Limits => &["organisation", "kind"],
            Self::Organisations | Self::Endpoints => &["name"],
        }
    }

    /// All columns but [`VERSION_COLUMN`], in the order in which they are written.
    pub fn columns(self) -> &'static [&'static str] {
        match self {
            Self::Limits => &[
                "organisation",
                "kind",
                "weight",
                "priority",
                "requests_per_s",
                "tokens_per_s",
                "concurrent_requests",
                "allotted_ms",
                "models",
            ],
            Self::Organisations => &["name", "key_digests"],
            Self::Endpoints => &[
                "name",
                "kind",
                "sidecar_address",
                "zone",
                "models",
                "checks_orders",
                "span",
                "started",
            ],
        }
    }

    /// A new row, before its cells are filled in.
    pub fn new_row(self) -> RowValue {
        match self {
            Self::Limits => RowValue::Limit(LimitRow {
                weight: cell::DEFAULT_WEIGHT,
                priority: cell::DEFAULT_PRIORITY,
                allotted_ms: cell::DEFAULT_ALLOTTED_MS,
                ..LimitRow::default()
            }),
            Self::Organisations => RowValue::Organisation(OrganisationRow::default()),
            Self::Endpoints => RowValue::Endpoint(EndpointRow::default()),
        }
    }

    /// Rows of the sheet.
    pub fn rows(self, table: &Table) -> Vec<RowValue> {
        let rows = table.rows().into_iter();
        rows.filter(|row| Self::of(&row.key()) == self).collect()
    }

    /// The sheet that a row belongs to.
    pub fn of(key: &RowKey) -> Self {
        match key {
            RowKey::Limit { .. } => Self::Limits,
            RowKey::Organisation(_) => Self::Organisations,
            RowKey::Endpoint(_) => Self::Endpoints,
        }
    }
}

/// A cell that can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line of the file, from 1.
    pub line: u64,
    /// Column, or nothing if it is the whole line.
    pub column: String,
    /// What is wrong.
    pub detail: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}", self.line)?;
        if !self.column.is_empty() {
            write!(f, ", column {}", self.column)?;
        }
        write!(f, ": {}", self.detail)
    }
}

/// One line of a sheet.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Line of the file, from 1.
    pub line: u64,
    /// The row.
    pub row: RowValue,
    /// The version that the line gives for the row, if it gives one.
    pub version: Option<u64>,
}

/// Writes a sheet.
///
/// ```
/// use mgs_schema::settings::LimitRow;
/// use mgs_schema::settings::Snapshot;
/// use mgs_settings::sheet;
/// use mgs_settings::sheet::Sheet;
/// use mgs_settings::table::Table;
///
/// let row = LimitRow { organisation: "org-1".into(), kind: "*".into(), ..LimitRow::default() };
/// let table = Table::new(Snapshot { limits: vec![row], ..Snapshot::default() });
/// let text = sheet::to_csv(Sheet::Limits, &Sheet::Limits.rows(&table)).unwrap();
/// assert!(text.starts_with("organisation,kind,weight,"));
/// assert!(text.contains("\norg-1,*,0,"));
/// ```
pub fn to_csv(sheet: Sheet, rows: &[RowValue]) -> Result<String, csv::Error> {
    let mut writer = WriterBuilder::new().from_writer(Vec::new());
    writer.write_record(header(sheet))?;
    for row in rows {
        writer.write_record(cells(sheet, row))?;
    }
    let bytes = writer.into_inner().map_err(|error| error.into_error())?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// The header of a sheet.
pub fn header(sheet: Sheet) -> impl Iterator<Item = &'static str> {
    let columns = sheet.columns().iter().copied();
    columns.chain(std::iter::once(VERSION_COLUMN))
}

/// The cells of a row, as [`header`] names them.
pub fn cells(sheet: Sheet, row: &RowValue) -> Vec<String> {
    let columns = sheet.columns().iter();
    let mut cells: Vec<String> = columns.map(|column| cell::text(row, column)).collect();
    cells.push(row.version().to_string());
    cells
}

/// Reads a sheet. Cells that aren't given keep what the row has in `table`. Either all lines are
/// read or every fault is listed.
pub fn from_csv(sheet: Sheet, text: &str, table: &Table) -> Result<Vec<Line>, Vec<Fault>> {
    let text = text.trim_start_matches(BYTE_ORDER_MARK);
    let mut reader = ReaderBuilder::new()
        .trim(Trim::All)
        .flexible(true)
        .from_reader(text.as_bytes());
    let columns = read_header(sheet, reader.headers().cloned())?;
    let mut lines = Vec::new();
    let mut faults = Vec::new();
    for record in reader.into_records() {
        let record = match record {
            Ok(record) => record,
            Err(error) => {
                let line = error.position().map_or(0, csv::Position::line);
                faults.push(fault(line, "", &error.to_string()));
                continue;
            }
        };
        if record.iter().all(str::is_empty) {
            continue;
        }
        let line = record.position().map_or(0, csv::Position::line);
        lines.extend(read_line(
            sheet,
            &columns,
            &record,
            line,
            table,
            &mut faults,
        ));
    }
    note_doubled(&lines, &mut faults);
    if faults.is_empty() {
        Ok(lines)
    } else {
        Err(faults)
    }
}

fn fault(line: u64, column: &str, detail: &str) -> Fault {
    Fault {
        line,
        column: column.to_string(),
        detail: detail.to_string(),
    }
}

fn read_header(
    sheet: Sheet,
    header: Result<StringRecord, csv::Error>,
) -> Result<Vec<String>, Vec<Fault>> {
    let header = header.map_err(|error| vec![fault(1, "", &error.to_string())])?;
    let columns: Vec<String> = header.iter().map(str::to_ascii_lowercase).collect();
    let known = |column: &str| column == VERSION_COLUMN || sheet.columns().contains(&column);
    let unknown = columns.iter().filter(|column| !known(column));
    let detail = format!("no such column; there are {}", sheet.columns().join(", "));
    let mut faults: Vec<Fault> = unknown.map(|column| fault(1, column, &detail)).collect();
    for key in sheet.key_columns() {
        if !columns.iter().any(|column| column == key) {
            faults.push(fault(1, key, "the column is missing"));
        }
    }
    if faults.is_empty() {
        Ok(columns)
    } else {
        Err(faults)
    }
}

fn read_line(
    sheet: Sheet,
    columns: &[String],
    record: &StringRecord,
    line: u64,
    table: &Table,
    faults: &mut Vec<Fault>,
) -> Option<Line> {
    let before = faults.len();
    if record.len() > columns.len() {
        faults.push(fault(line, "", "has more cells than the header"));
    }
    let filled = |(column, text): &(&String, &str)| !text.is_empty() && *column != VERSION_COLUMN;
    let cells = || columns.iter().zip(record.iter());
    let mut key_row = sheet.new_row();
    for (column, text) in cells().filter(filled) {
        if sheet.key_columns().contains(&column.as_str()) {
            set(&mut key_row, column, text, line, faults);
        }
    }
    let mut row = table.row(&key_row.key()).unwrap_or(key_row);
    for (column, text) in cells().filter(filled) {
        set(&mut row, column, text, line, faults);
    }
    let version = cells().find(|(column, text)| *column == VERSION_COLUMN && !text.is_empty());
    let version = version.map(|(_, text)| text.parse::<u64>());
    if matches!(version, Some(Err(_))) {
        faults.push(fault(
            line,
            VERSION_COLUMN,
            "must be a whole number, as exported",
        ));
    }
    let version = version.and_then(Result::ok);
    (faults.len() == before).then_some(Line { line, row, version })
}

fn set(row: &mut RowValue, column: &str, text: &str, line: u64, faults: &mut Vec<Fault>) {
    if let Err(detail) = cell::set(row, column, text) {
        let known = fault(line, column, &detail);
        if faults.last() != Some(&known) {
            faults.push(known);
        }
    }
}

fn note_doubled(lines: &[Line], faults: &mut Vec<Fault>) {
    let mut keys: Vec<(RowKey, u64)> = lines.iter().map(|l| (l.row.key(), l.line)).collect();
    keys.sort();
    for pair in keys.windows(2).filter(|pair| pair[0].0 == pair[1].0) {
        let detail = format!("{} stands in line {} already", pair[1].0, pair[0].1);
        faults.push(fault(pair[1].1, "", &detail));
    }
}
