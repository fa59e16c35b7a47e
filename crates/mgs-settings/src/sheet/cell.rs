//! Cells: the text of a row's column, and back.

use std::str::FromStr;

use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::OrganisationRow;

use crate::row::RowValue;

/// Weight of a new row.
pub const DEFAULT_WEIGHT: u32 = 1;

/// Priority of a new row.
pub const DEFAULT_PRIORITY: u32 = 5;

/// Allotted time of a new row, in milliseconds.
pub const DEFAULT_ALLOTTED_MS: u64 = 60_000;

/// Text of a cell; empty for a column that the row doesn't have.
///
/// ```
/// use mgs_settings::sheet::cell;
/// use mgs_settings::sheet::Sheet;
///
/// let mut row = Sheet::Limits.new_row();
/// cell::set(&mut row, "models", "a b").unwrap();
/// assert_eq!(cell::text(&row, "models"), "a b");
/// assert!(cell::set(&mut row, "weight", "much").is_err());
/// ```
pub fn text(row: &RowValue, column: &str) -> String {
    match row {
        RowValue::Limit(row) => limit_text(row, column),
        RowValue::Organisation(row) => organisation_text(row, column),
        RowValue::Endpoint(row) => endpoint_text(row, column),
    }
}

fn limit_text(row: &LimitRow, column: &str) -> String {
    match column {
        "organisation" => row.organisation.clone(),
        "kind" => row.kind.clone(),
        "weight" => row.weight.to_string(),
        "priority" => row.priority.to_string(),
        "requests_per_s" => row.requests_per_s.to_string(),
        "tokens_per_s" => row.tokens_per_s.to_string(),
        "concurrent_requests" => row.concurrent_requests.to_string(),
        "allotted_ms" => row.allotted_ms.to_string(),
        "models" => row.models.join(" "),
        _ => String::new(),
    }
}

fn organisation_text(row: &OrganisationRow, column: &str) -> String {
    match column {
        "name" => row.name.clone(),
        "key_digests" => row.key_digests.join(" "),
        _ => String::new(),
    }
}

fn endpoint_text(row: &EndpointRow, column: &str) -> String {
    match column {
        "name" => row.name.clone(),
        "kind" => kind_text(row.kind()).to_string(),
        "sidecar_address" => row.sidecar_address.clone(),
        "zone" => row.zone.clone(),
        "models" => row.models.join(" "),
        "checks_orders" => yes_or_no(row.checks_orders),
        "span" => yes_or_no(row.span),
        "started" => yes_or_no(row.started),
        _ => String::new(),
    }
}

fn kind_text(kind: EndpointKind) -> &'static str {
    match kind {
        EndpointKind::Engine => "engine",
        EndpointKind::Service => "service",
        EndpointKind::Unspecified => "",
    }
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_string()
}

/// Sets a cell from its text; the error says what the text should be.
pub fn set(row: &mut RowValue, column: &str, text: &str) -> Result<(), String> {
    match row {
        RowValue::Limit(row) => set_limit(row, column, text),
        RowValue::Organisation(row) => set_organisation(row, column, text),
        RowValue::Endpoint(row) => set_endpoint(row, column, text),
    }
}

fn set_limit(row: &mut LimitRow, column: &str, text: &str) -> Result<(), String> {
    match column {
        "organisation" => row.organisation = text.to_string(),
        "kind" => row.kind = text.to_string(),
        "weight" => row.weight = whole(text)?,
        "priority" => row.priority = whole(text)?,
        "requests_per_s" => row.requests_per_s = decimal(text)?,
        "tokens_per_s" => row.tokens_per_s = decimal(text)?,
        "concurrent_requests" => row.concurrent_requests = whole(text)?,
        "allotted_ms" => row.allotted_ms = whole(text)?,
        "models" => row.models = words(text),
        _ => return Err(no_column()),
    }
    Ok(())
}

fn set_organisation(row: &mut OrganisationRow, column: &str, text: &str) -> Result<(), String> {
    match column {
        "name" => row.name = text.to_string(),
        "key_digests" => row.key_digests = words(text),
        _ => return Err(no_column()),
    }
    Ok(())
}

fn set_endpoint(row: &mut EndpointRow, column: &str, text: &str) -> Result<(), String> {
    match column {
        "name" => row.name = text.to_string(),
        "kind" => row.kind = endpoint_kind(text)?.into(),
        "sidecar_address" => row.sidecar_address = text.to_string(),
        "zone" => row.zone = text.to_string(),
        "models" => row.models = words(text),
        "checks_orders" => row.checks_orders = flag(text)?,
        "span" => row.span = flag(text)?,
        "started" => row.started = flag(text)?,
        _ => return Err(no_column()),
    }
    Ok(())
}

fn no_column() -> String {
    "no such column".to_string()
}

fn whole<T: FromStr>(text: &str) -> Result<T, String> {
    let number = text.parse();
    number.map_err(|_| format!("{text:?} is no whole number, 0 or more"))
}

fn decimal(text: &str) -> Result<f64, String> {
    let number = text.parse();
    number.map_err(|_| format!("{text:?} is no number; write decimals with a point"))
}

fn flag(text: &str) -> Result<bool, String> {
    match text.to_ascii_lowercase().as_str() {
        "yes" | "true" | "1" => Ok(true),
        "no" | "false" | "0" => Ok(false),
        _ => Err(format!("{text:?} is neither yes nor no")),
    }
}

fn endpoint_kind(text: &str) -> Result<EndpointKind, String> {
    match text.to_ascii_lowercase().as_str() {
        "engine" => Ok(EndpointKind::Engine),
        "service" => Ok(EndpointKind::Service),
        _ => Err(format!("{text:?} is neither engine nor service")),
    }
}

/// Words separated by spaces; a single dash stands for none.
fn words(text: &str) -> Vec<String> {
    let words = text.split_whitespace().filter(|word| *word != "-");
    words.map(str::to_string).collect()
}
