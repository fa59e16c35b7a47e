//! Waits until every live process has confirmed a version of the settings table.

use std::collections::BTreeMap;
use std::io::Write;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mgs_platform::table::scan_all;
use mgs_settings::confirm;
use mgs_settings::confirm::Expected;
use mgs_settings::confirm::Process;
use mgs_settings::member;
use mgs_settings::member::Observer;

use super::store_error;
use super::Session;
use crate::error::Error;

const POLL_INTERVAL: Duration = Duration::from_millis(500);
const LISTED_MAX: usize = 20;

/// Waits until every live gateway, and every sidecar that one is connected to, has confirmed a
/// version; fails with [`Error::Timeout`] after `wait_ms`. A gateway is live while its row changes;
/// a gateway that has crashed counts as live until its row has been unchanged for its lease.
pub fn until_confirmed(
    session: &Session,
    version: u64,
    wait_ms: u64,
    out: &mut dyn Write,
) -> Result<(), Error> {
    let started = Instant::now();
    let mut observer = Observer::default();
    loop {
        let now_ms = started.elapsed().as_millis() as u64;
        let state = read_state(session, &mut observer, now_ms, version);
        match state {
            Ok(state) if state.gateways == 0 => {
                writeln!(
                    out,
                    "no gateway is live; each reads the table before it serves"
                )?;
                return Ok(());
            }
            Ok(state) if state.unconfirmed.is_empty() => {
                writeln!(
                    out,
                    "in force at {} gateways and {} sidecars after {now_ms} ms",
                    state.gateways, state.sidecars
                )?;
                return Ok(());
            }
            Ok(state) if now_ms >= wait_ms => {
                return Err(Error::Timeout(unconfirmed_text(version, &state)))
            }
            Err(error) if now_ms >= wait_ms => {
                let text = format!(
                    "version {version} is accepted; which processes have it isn't known: {error}"
                );
                return Err(Error::Timeout(text));
            }
            Ok(_) | Err(_) => thread::sleep(POLL_INTERVAL),
        }
    }
}

/// Numbers of live processes, and those that haven't confirmed the version.
#[derive(Debug)]
struct ConfirmationState {
    gateways: usize,
    sidecars: usize,
    unconfirmed: Vec<Process>,
}

fn read_state(
    session: &Session,
    observer: &mut Observer,
    now_ms: u64,
    version: u64,
) -> Result<ConfirmationState, Error> {
    let table = session.store().table;
    let members = scan_all(table, member::GATEWAY_PREFIX)?;
    observer.observe(now_ms, &members).map_err(store_error)?;
    let live = observer.live(member::Options::default().lease_ms);
    let incarnations = live
        .iter()
        .map(|(name, member)| ((*name).to_string(), member.incarnation));
    let gateways: BTreeMap<String, u64> = incarnations.collect();
    let mut expected = Expected {
        gateways,
        ..Expected::default()
    };
    let rows = scan_all(table, confirm::PREFIX)?;
    expected.sidecars = confirm::connected(&expected, &rows).map_err(store_error)?;
    let unconfirmed = confirm::waiting(version, &expected, &rows).map_err(store_error)?;
    Ok(ConfirmationState {
        gateways: expected.gateways.len(),
        sidecars: expected.sidecars.len(),
        unconfirmed,
    })
}

fn unconfirmed_text(version: u64, state: &ConfirmationState) -> String {
    let mut text = format!(
        "version {version} is accepted, but {} of {} processes haven't confirmed it yet:",
        state.unconfirmed.len(),
        state.gateways + state.sidecars
    );
    for process in state.unconfirmed.iter().take(LISTED_MAX) {
        match process {
            Process::Gateway(name) => text.push_str(&format!("\n  gateway {name}")),
            Process::Sidecar(name) => text.push_str(&format!("\n  sidecar {name}")),
        }
    }
    if state.unconfirmed.len() > LISTED_MAX {
        text.push_str(&format!(
            "\n  and {} more",
            state.unconfirmed.len() - LISTED_MAX
        ));
    }
    text
}
