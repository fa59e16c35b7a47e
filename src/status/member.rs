//! Reads the processes that are registered on the platform and the settings versions that they have
//! confirmed.

use std::collections::BTreeMap;
use std::io;
use std::io::Write;

use mgs_platform::table::scan_all;
use mgs_platform::table::Row;
use mgs_platform::table::Table;
use mgs_settings::confirm;
use mgs_settings::confirm::Confirmation;
use mgs_settings::member;
use serde::Serialize;

use crate::error::Error;

/// A process that is registered on the platform.
#[derive(Debug, Clone, Serialize)]
pub struct MemberStatus {
    /// `gateway` or `sidecar`.
    pub role: &'static str,
    /// Name of the process.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address on which other processes reach it.
    pub address: String,
    /// Version of the settings that it has confirmed; `None` if it hasn't confirmed any.
    pub settings_version: Option<u64>,
}

/// Reads the rows of all gateways and sidecars; fails if the platform can't be reached or a row
/// can't be parsed.
pub fn read(table: &dyn Table) -> Result<Vec<MemberStatus>, Error> {
    let confirmed = confirmed_versions(&scan_all(table, confirm::PREFIX)?)?;
    let mut members = Vec::new();
    for (role, prefix) in [
        ("gateway", member::GATEWAY_PREFIX),
        ("sidecar", member::SIDECAR_PREFIX),
    ] {
        for row in scan_all(table, prefix)? {
            members.push(member_status(role, prefix, &row, &confirmed)?);
        }
    }
    Ok(members)
}

fn member_status(
    role: &'static str,
    prefix: &str,
    row: &Row,
    confirmed: &BTreeMap<(&str, String), u64>,
) -> Result<MemberStatus, Error> {
    let member: member::Member = parse_row(row)?;
    let name = row.key.trim_start_matches(prefix).to_string();
    let settings_version = confirmed.get(&(role, name.clone())).copied();
    Ok(MemberStatus {
        role,
        name,
        zone: member.zone,
        address: member.address,
        settings_version,
    })
}

/// Confirmed versions by role and name; for a sidecar, the newest that any gateway has reported.
fn confirmed_versions(rows: &[Row]) -> Result<BTreeMap<(&'static str, String), u64>, Error> {
    let mut versions = BTreeMap::new();
    for row in rows {
        let name = row.key.trim_start_matches(confirm::PREFIX).to_string();
        let confirmation: Confirmation = parse_row(row)?;
        versions.insert(("gateway", name), confirmation.version);
        for (name, version) in confirmation.sidecars {
            let newest = versions.entry(("sidecar", name)).or_insert(version);
            *newest = version.max(*newest);
        }
    }
    Ok(versions)
}

fn parse_row<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, Error> {
    let parsed = serde_json::from_str(&row.value);
    parsed.map_err(|error| Error::Failed(format!("can't read the row {}: {error}", row.key)))
}

/// Prints a table with a row for each process.
pub fn print_table(members: &[MemberStatus], out: &mut dyn Write) -> io::Result<()> {
    let columns = ["role", "name", "zone", "address", "settings"];
    let [role, name, zone, address, settings] = columns;
    writeln!(
        out,
        "{role:<10}{name:<24}{zone:<14}{address:<24}{settings:>8}"
    )?;
    for process in members {
        let version = process.settings_version;
        let version = version.map_or("-".to_string(), |version| version.to_string());
        writeln!(
            out,
            "{:<10}{:<24}{:<14}{:<24}{version:>8}",
            process.role, process.name, process.zone, process.address
        )?;
    }
    Ok(())
}
