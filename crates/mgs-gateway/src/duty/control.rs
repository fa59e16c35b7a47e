//! The controller's duty, which one gateway at a time holds by a lease.

use std::sync::Arc;
use std::time::Duration;

use mgs_controller::dispatch::Endpoints;
use mgs_controller::dispatch::SendError;
use mgs_controller::runner;
use mgs_controller::runner::Runner;
use mgs_schema::settings::EndpointRow;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::EndpointState;
use mgs_schema::wire::Order;
use mgs_schema::wire::OrderReply;
use mgs_transport::client::Connection;

use crate::core::Core;
use crate::duty::Duties;

/// Time between steps, in milliseconds.
const STEP_MS: u64 = 1_000;

/// Longest wait for the answer to an order.
const ORDER_WAIT: Duration = Duration::from_secs(10);

/// Steps until the gateway stops.
pub(crate) fn run(duties: &Arc<Duties>) {
    let core = &duties.core;
    let platform = runner::Platform {
        table: duties.platform.table.clone(),
        objects: duties.platform.objects.clone(),
        weights: duties.platform.weights.clone(),
    };
    let mut runner = Runner::new(
        runner::Options::default(),
        platform,
        core.settings.clone(),
        Arc::new(Way { core: core.clone() }),
        (&core.options.name, core.incarnation),
    );
    while core.pause(STEP_MS) {
        if !core.has_settings() || core.is_leaving() {
            continue;
        }
        if let Err(error) = runner.tick(core.now_ms(), duties.links.gateways()) {
            log::info!(error:% = error; "the controller's step failed");
        }
    }
}

/// The way from the controller to the sidecars.
struct Way {
    core: Arc<Core>,
}

impl Way {
    /// The session's connection, or a new one to a sidecar outside this gateway's subset.
    fn connection(&self, endpoint: &EndpointRow) -> Result<Connection, SendError> {
        let session = self.core.session_of(&endpoint.name);
        if let Some(session) = session {
            return Ok(session.connection.clone());
        }
        let unreachable = |why: String| SendError::Unreachable(why);
        let address = endpoint.sidecar_address.parse();
        let address = address.map_err(|_| unreachable("no address".to_string()))?;
        Connection::open(&self.core.runtime, address, &self.core.options.transport)
            .map_err(|error| unreachable(error.to_string()))
    }
}

impl Endpoints for Way {
    fn send(&self, endpoint: &EndpointRow, order: &Order) -> Result<OrderReply, SendError> {
        let connection = self.connection(endpoint)?;
        match connection.ask(Body::Order(order.clone()), ORDER_WAIT) {
            Ok(Body::OrderReply(reply)) => Ok(reply),
            Ok(_) => Err(SendError::Lost("not an answer to an order".to_string())),
            Err(error) => Err(SendError::Lost(error.to_string())),
        }
    }

    fn models(&self, endpoint: &str) -> Option<Vec<String>> {
        let view = self.core.view();
        let mut endpoints = view.endpoints.iter().flatten();
        let endpoint = endpoints.find(|known| known.name == endpoint)?;
        let known = endpoint.incarnation != 0 && endpoint.state != EndpointState::Down;
        known.then(|| endpoint.models.clone())
    }
}
