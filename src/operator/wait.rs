//! Waiting until every live process has a version in force.

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

const PAUSE: Duration = Duration::from_millis(500);
const NAMED_MAX: usize = 20;

/// Waits until every live gateway, and every sidecar that one is connected to, has confirmed a
/// version. A gateway is live while its row changes; one that died is waited for until its row
/// has been unchanged for its lease.
pub fn in_force(
    session: &Session,
    version: u64,
    wait_ms: u64,
    out: &mut dyn Write,
) -> Result<(), Error> {
    let begin = Instant::now();
    let mut observer = Observer::default();
    loop {
        let now_ms = begin.elapsed().as_millis() as u64;
        let seen = look(session, &mut observer, now_ms, version);
        match seen {
            Ok(seen) if seen.gateways == 0 => {
                writeln!(
                    out,
                    "no gateway is live; each reads the table before it serves"
                )?;
                return Ok(());
            }
            Ok(seen) if seen.late.is_empty() => {
                writeln!(
                    out,
                    "in force at {} gateways and {} sidecars after {now_ms} ms",
                    seen.gateways, seen.sidecars
                )?;
                return Ok(());
            }
            Ok(seen) if now_ms >= wait_ms => return Err(Error::Timeout(late_text(version, &seen))),
            Err(error) if now_ms >= wait_ms => {
                let text =
                    format!("version {version} is accepted; who has it isn't known: {error}");
                return Err(Error::Timeout(text));
            }
            Ok(_) | Err(_) => thread::sleep(PAUSE),
        }
    }
}

/// Who has confirmed.
#[derive(Debug)]
struct Seen {
    gateways: usize,
    sidecars: usize,
    late: Vec<Process>,
}

fn look(
    session: &Session,
    observer: &mut Observer,
    now_ms: u64,
    version: u64,
) -> Result<Seen, Error> {
    let table = session.store().table;
    let members = scan_all(table, member::GATEWAY_PREFIX)?;
    observer.observe(now_ms, &members).map_err(store_error)?;
    let live = observer.live(member::Options::default().lease_ms);
    let incarnations = live
        .iter()
        .map(|(name, m)| ((*name).to_string(), m.incarnation));
    let gateways: BTreeMap<String, u64> = incarnations.collect();
    let mut expected = Expected {
        gateways,
        ..Expected::default()
    };
    let rows = scan_all(table, confirm::PREFIX)?;
    expected.sidecars = confirm::connected(&expected, &rows).map_err(store_error)?;
    let late = confirm::waiting(version, &expected, &rows).map_err(store_error)?;
    Ok(Seen {
        gateways: expected.gateways.len(),
        sidecars: expected.sidecars.len(),
        late,
    })
}

fn late_text(version: u64, seen: &Seen) -> String {
    let mut text = format!(
        "version {version} is accepted, but {} of {} processes haven't confirmed it yet:",
        seen.late.len(),
        seen.gateways + seen.sidecars
    );
    for process in seen.late.iter().take(NAMED_MAX) {
        match process {
            Process::Gateway(name) => text.push_str(&format!("\n  gateway {name}")),
            Process::Sidecar(name) => text.push_str(&format!("\n  sidecar {name}")),
        }
    }
    if seen.late.len() > NAMED_MAX {
        text.push_str(&format!("\n  and {} more", seen.late.len() - NAMED_MAX));
    }
    text
}
