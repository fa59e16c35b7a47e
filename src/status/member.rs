//! What the platform knows of processes: their rows and the settings that they have confirmed.

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

/// A process that has a row on the platform.
#[derive(Debug, Clone, Serialize)]
pub struct Known {
    /// `gateway` or `sidecar`.
    pub role: &'static str,
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for other processes.
    pub address: String,
    /// Version of the settings that it has confirmed, if any.
    pub settings_version: Option<u64>,
}

/// Reads all rows of processes.
pub fn read(table: &dyn Table) -> Result<Vec<Known>, Error> {
    let confirmed = confirmed(&scan_all(table, confirm::PREFIX)?)?;
    let mut known = Vec::new();
    for (role, prefix) in [
        ("gateway", member::GATEWAY_PREFIX),
        ("sidecar", member::SIDECAR_PREFIX),
    ] {
        for row in scan_all(table, prefix)? {
            known.push(decode(role, prefix, &row, &confirmed)?);
        }
    }
    Ok(known)
}

fn decode(
    role: &'static str,
    prefix: &str,
    row: &Row,
    confirmed: &BTreeMap<(&str, String), u64>,
) -> Result<Known, Error> {
    let member: member::Member = parse(row)?;
    let name = row.key.trim_start_matches(prefix).to_string();
    let settings_version = confirmed.get(&(role, name.clone())).copied();
    Ok(Known {
        role,
        name,
        zone: member.zone,
        address: member.address,
        settings_version,
    })
}

/// Versions by role and name; a sidecar's is the newest that a gateway has seen it have.
fn confirmed(rows: &[Row]) -> Result<BTreeMap<(&'static str, String), u64>, Error> {
    let mut versions = BTreeMap::new();
    for row in rows {
        let name = row.key.trim_start_matches(confirm::PREFIX).to_string();
        let confirmation: Confirmation = parse(row)?;
        versions.insert(("gateway", name), confirmation.version);
        for (name, version) in confirmation.sidecars {
            let newest = versions.entry(("sidecar", name)).or_insert(version);
            *newest = version.max(*newest);
        }
    }
    Ok(versions)
}

fn parse<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, Error> {
    let parsed = serde_json::from_str(&row.value);
    parsed.map_err(|error| Error::Failed(format!("can't read the row {}: {error}", row.key)))
}

/// Prints a line for each process.
pub fn print_table(known: &[Known], out: &mut dyn Write) -> io::Result<()> {
    let columns = ["role", "name", "zone", "address", "settings"];
    let [role, name, zone, address, settings] = columns;
    writeln!(
        out,
        "{role:<10}{name:<24}{zone:<14}{address:<24}{settings:>8}"
    )?;
    for process in known {
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
