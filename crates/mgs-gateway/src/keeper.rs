//! Brings new settings to the fleet, the sessions and the queue.

use std::io;
use std::sync::Arc;

use crate::core::Core;

/// Time between looks at the version of the settings, in milliseconds.
const LOOK_MS: u64 = 20;

/// Starts the thread that does it.
pub(crate) fn start(core: &Arc<Core>) -> io::Result<()> {
    apply(core);
    let core = core.clone();
    std::thread::Builder::new()
        .name("settings".to_string())
        .spawn(move || {
            let mut applied = core.view().settings_version;
            while core.pause(LOOK_MS) {
                let version = core.settings.version();
                if version != applied {
                    apply(&core);
                    applied = version;
                }
            }
        })?;
    Ok(())
}

fn apply(core: &Arc<Core>) {
    let table = core.settings.table();
    core.change_fleet(|fleet| fleet.apply_settings(table.snapshot()));
    core.sessions.reconcile(core, &core.view());
    core.hub.settings(core);
    core.hub.wake();
    let version = i64::try_from(table.version()).unwrap_or(i64::MAX);
    core.metrics.settings_version.set(version);
    core.report(|reporter| reporter.own(table.version()));
}
