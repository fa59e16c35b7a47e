//! Says which settings are in force here and at the sidecars that are connected.

use std::sync::Arc;

use mgs_platform::table::Txn;
use mgs_settings::confirm;
use mgs_settings::confirm::Confirmation;

use crate::duty::Duties;

/// Time between looks at what is to be confirmed, in milliseconds.
const LOOK_MS: u64 = 250;

/// Writes confirmations until the gateway stops.
pub(crate) fn run(duties: &Arc<Duties>) {
    let core = &duties.core;
    while core.pause(LOOK_MS) {
        let gateways = duties.links.gateways();
        let due = core.report(|reporter| reporter.due(core.now_ms(), gateways));
        if let Some(due) = due {
            write(duties, due);
        }
    }
}

fn write(duties: &Duties, due: Confirmation) {
    let value = match serde_json::to_string(&due) {
        Ok(value) => value,
        Err(error) => return log::error!(error:% = error; "a confirmation can't be encoded"),
    };
    let key = confirm::key(&duties.core.options.name);
    match duties
        .platform
        .table
        .commit(&Txn::default().put(&key, &value))
    {
        Ok(_) => duties.core.report(|reporter| reporter.written(due)),
        Err(error) => log::info!(error:% = error; "a confirmation wasn't written"),
    }
}
