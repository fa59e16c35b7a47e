//! What the platform's list of hosts says of endpoints, shared among gateways.
//!
//! The list is long where hosts are many, and each gateway may read it but rarely. What one reads
//! it shares: the row `hosts/leaving` names the hosts that leave, and every gateway reads that.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use mgs_platform::host::Host;
use mgs_platform::host::Hosts;
use mgs_platform::host::State;
use mgs_platform::table::Table as TableService;
use mgs_platform::table::Txn;
use serde::Deserialize;
use serde::Serialize;

use crate::store::decode;
use crate::store::encode;
use crate::store::Error;
use crate::table::Table;

/// Key of the row.
pub const LEAVING_KEY: &str = "hosts/leaving";

/// The hosts that leave.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Leaving {
    /// Their addresses, as the list has them.
    pub addresses: BTreeSet<String>,
}

impl Leaving {
    /// Those that a list says leave. A host that isn't listed says nothing: the list lags, and a
    /// new host appears in it late.
    pub fn of(hosts: &[Host]) -> Self {
        let leaves = |host: &&Host| host.state == State::Leaving;
        let addresses = hosts.iter().filter(leaves);
        Self {
            addresses: addresses.map(|host| host.address.clone()).collect(),
        }
    }

    /// Names of the endpoints on them, in order.
    ///
    /// ```
    /// use mgs_platform::host::Host;
    /// use mgs_platform::host::State;
    /// use mgs_schema::settings::EndpointRow;
    /// use mgs_schema::settings::Snapshot;
    /// use mgs_settings::host::Leaving;
    /// use mgs_settings::table::Table;
    ///
    /// let endpoint = EndpointRow {
    ///     name: "engine-1".to_string(),
    ///     sidecar_address: "10.0.0.1:7500".to_string(),
    ///     ..EndpointRow::default()
    /// };
    /// let table = Table::new(Snapshot { endpoints: vec![endpoint], ..Snapshot::default() });
    /// let host = Host { address: "10.0.0.1".into(), zone: "a".into(), state: State::Leaving };
    /// assert_eq!(Leaving::of(&[host]).endpoints(&table), ["engine-1"]);
    /// ```
    pub fn endpoints(&self, table: &Table) -> Vec<String> {
        let endpoints = table.snapshot().endpoints.iter();
        let endpoints = endpoints.filter(|row| self.has(&row.sidecar_address));
        endpoints.map(|row| row.name.clone()).collect()
    }

    fn has(&self, address: &str) -> bool {
        let ip = address.parse::<SocketAddr>().map(|a| a.ip().to_string());
        self.addresses.contains(address) || ip.is_ok_and(|ip| self.addresses.contains(&ip))
    }
}

/// Reads what gateways have shared. One read.
pub fn read(table: &dyn TableService) -> Result<Leaving, Error> {
    match table.get(LEAVING_KEY)? {
        Some(row) => decode(LEAVING_KEY, row.value.as_bytes()),
        None => Ok(Leaving::default()),
    }
}

/// What one look at the list brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Look {
    /// The hosts that leave.
    pub leaving: Leaving,
    /// Hosts in the list.
    pub hosts: u64,
}

/// Reads the list and shares what it says, if that is new. The row is read before the list and
/// written on the condition that it hasn't changed, so that a gateway that was paused between the
/// two doesn't bring an older list back. What can't be shared is still returned.
pub fn look(hosts: &dyn Hosts, table: &dyn TableService) -> Result<Look, Error> {
    let row = table.get(LEAVING_KEY);
    let list = hosts.list()?;
    let leaving = Leaving::of(&list);
    if let Ok(row) = row {
        let known = row.as_ref().map(|row| row.value.as_str());
        let value = encode(LEAVING_KEY, &leaving)?;
        let nothing = known.is_none() && leaving.addresses.is_empty();
        if known != Some(value.as_str()) && !nothing {
            let version = row.map_or(0, |row| row.version);
            let txn = Txn::default()
                .when(LEAVING_KEY, version)
                .put(LEAVING_KEY, &value);
            // Whatever came of it, the next look finds out.
            let _ = table.commit(&txn);
        }
    }
    Ok(Look {
        leaving,
        hosts: list.len() as u64,
    })
}

const MS_PER_S: u64 = 1_000;

/// Shortest time between two reads of the list, in milliseconds.
pub const INTERVAL_MIN_MS: u64 = 1_000;

/// Bytes of one host in the list, about.
const HOST_BYTES: u64 = 80;

/// When one gateway reads the list again, in milliseconds: each second, or as often as a budget of
/// bytes per second allows for a list of this length.
///
/// ```
/// use mgs_settings::host;
///
/// assert_eq!(host::interval_ms(23, 4_000), 1_000);
/// assert_eq!(host::interval_ms(5_300, 4_000), 106_000);
/// assert_eq!(host::interval_ms(5_300, 500), 848_000);
/// ```
pub fn interval_ms(hosts: u64, bytes_per_s: u64) -> u64 {
    INTERVAL_MIN_MS.max(hosts * HOST_BYTES * MS_PER_S / bytes_per_s.max(1))
}

/// Bytes per second that the list may take at all gateways together, as long as that is within
/// the two bounds of each.
const LIST_BYTES_PER_S: u64 = 16_000;

/// Bytes per second that the list may take at one of a few gateways.
const FEW_BYTES_PER_S: u64 = 4_000;

/// Bytes per second that the list may take at one of many gateways.
const MANY_BYTES_PER_S: u64 = 500;

/// Bytes per second that the list may take at one of so many gateways, each of which knows what
/// the others have read.
///
/// ```
/// use mgs_settings::host;
///
/// assert_eq!(host::list_bytes_per_s(3), 4_000);
/// assert_eq!(host::list_bytes_per_s(450), 500);
/// ```
pub fn list_bytes_per_s(gateways: u64) -> u64 {
    let share = LIST_BYTES_PER_S / gateways.max(1);
    share.clamp(MANY_BYTES_PER_S, FEW_BYTES_PER_S)
}

/// Longest wait of one gateway, in mean waits.
const SPREAD_MAX: f64 = 4.0;

/// The wait of one gateway until it reads the list again, in milliseconds, from any random number:
/// exponentially distributed above the shortest interval, about `interval_ms` in the mean.
/// Gateways that started together must not read together, as each relies on the others in
/// between; with this distribution they are in turn from the first wait on.
///
/// ```
/// use mgs_settings::host;
///
/// assert_eq!(host::spread_ms(1_000, 7), 1_000);
/// assert_eq!(host::spread_ms(848_000, 0), 1_000);
/// assert_eq!(host::spread_ms(848_000, u64::MAX), 1_000 + 4 * 847_000);
/// ```
pub fn spread_ms(interval_ms: u64, random: u64) -> u64 {
    let mean_ms = interval_ms.saturating_sub(INTERVAL_MIN_MS) as f64;
    let share = random as f64 / u64::MAX as f64;
    let waits = -(1.0 - share).ln();
    INTERVAL_MIN_MS + (mean_ms * waits.min(SPREAD_MAX)) as u64
}

/// When a gateway reads again what others have shared, in milliseconds: each second, or as often
/// as a budget of reads per second allows for all gateways together.
///
/// ```
/// use mgs_settings::host;
///
/// assert_eq!(host::shared_interval_ms(3, 300), 1_000);
/// assert_eq!(host::shared_interval_ms(450, 300), 1_500);
/// ```
pub fn shared_interval_ms(gateways: u64, reads_per_s: u64) -> u64 {
    MS_PER_S.max(gateways * MS_PER_S / reads_per_s.max(1))
}
