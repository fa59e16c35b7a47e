//! What the platform's list of hosts says of endpoints.

use std::collections::HashSet;
use std::net::SocketAddr;

use mgs_platform::host::Host;
use mgs_platform::host::State;

use crate::table::Table;

/// Names of the endpoints whose host is leaving, in order. A host that isn't listed says nothing:
/// the list lags, and a new host appears in it late.
///
/// ```
/// use mgs_platform::host::Host;
/// use mgs_platform::host::State;
/// use mgs_schema::settings::EndpointRow;
/// use mgs_schema::settings::Snapshot;
/// use mgs_settings::host;
/// use mgs_settings::table::Table;
///
/// let endpoint = EndpointRow {
///     name: "engine-1".to_string(),
///     sidecar_address: "10.0.0.1:7500".to_string(),
///     ..EndpointRow::default()
/// };
/// let table = Table::new(Snapshot { endpoints: vec![endpoint], ..Snapshot::default() });
/// let host = Host { address: "10.0.0.1".into(), zone: "a".into(), state: State::Leaving };
/// assert_eq!(host::leaving(&[host], &table), ["engine-1"]);
/// ```
pub fn leaving(hosts: &[Host], table: &Table) -> Vec<String> {
    let leaves = |host: &&Host| host.state == State::Leaving;
    let addresses = hosts.iter().filter(leaves);
    let addresses: HashSet<&str> = addresses.map(|host| host.address.as_str()).collect();
    let on_leaving_host = |address: &str| {
        let ip = address.parse::<SocketAddr>().map(|a| a.ip().to_string());
        addresses.contains(address) || ip.is_ok_and(|ip| addresses.contains(ip.as_str()))
    };
    let endpoints = table.snapshot().endpoints.iter();
    let endpoints = endpoints.filter(|row| on_leaving_host(&row.sidecar_address));
    endpoints.map(|row| row.name.clone()).collect()
}

const MS_PER_S: u64 = 1_000;

/// Bytes of one host in the list, about.
const HOST_BYTES: u64 = 80;

/// When to read the list again, in milliseconds: each second, or as often as a budget of bytes
/// per second allows for a list of this length.
///
/// ```
/// use mgs_settings::host;
///
/// assert_eq!(host::interval_ms(23, 4_000), 1_000);
/// assert_eq!(host::interval_ms(5_300, 4_000), 106_000);
/// ```
pub fn interval_ms(hosts: u64, bytes_per_s: u64) -> u64 {
    MS_PER_S.max(hosts * HOST_BYTES * MS_PER_S / bytes_per_s.max(1))
}
