//! Memory reserved at engines for one prompt: all of it or none, renewed while the request lasts
//! and released when it ends. Engines drop it soon after this process dies.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use mgs_placing::placement::MemoryReservation;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::connection::Connection;
use crate::core::Core;
use crate::dialect::Reservation;
use crate::source::Incarnation;
use crate::view::Fleet;

/// How long an engine keeps a reservation that isn't renewed, in milliseconds; below the time
/// within which memory must be free again after its user died.
const RESERVATION_TTL_MS: u64 = 3_400;

/// Interval between renewals; two may be lost.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// Timeout of one reservation call.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// One reservation and the engine that holds it.
#[derive(Debug, Clone)]
struct EngineReservation {
    /// The incarnation of the engine that holds the reservation.
    incarnation: Incarnation,
    address: SocketAddr,
    reservation: Reservation,
}

/// The reservations of one request.
pub(crate) struct Reservations {
    core: Rc<Core>,
    entries: Vec<EngineReservation>,
    renewal: Option<AbortHandle>,
}

impl Reservations {
    /// No reservations.
    pub(crate) fn none(core: &Rc<Core>) -> Self {
        Self {
            core: core.clone(),
            entries: Vec::new(),
            renewal: None,
        }
    }

    /// Reserves memory at all of these engines, or at none.
    pub(crate) async fn reserve_all(
        core: &Rc<Core>,
        fleet: &Fleet,
        reserves: &[MemoryReservation],
    ) -> Option<Self> {
        let mut all = Self::none(core);
        let mut calls = Vec::new();
        for reserve in reserves {
            let endpoint = fleet.by_key.get(&reserve.endpoint)?;
            let entry = EngineReservation {
                incarnation: endpoint.facts.incarnation.clone(),
                address: endpoint.facts.address,
                reservation: Reservation {
                    id: all.next_id(),
                    endpoint_id: endpoint.facts.incarnation.id.clone(),
                    tokens: reserve.tokens,
                    hold_ms: RESERVATION_TTL_MS,
                },
            };
            let request = core.dialect.reserve(&entry.reservation);
            // Listed before the call, so that it is released even if the response is lost.
            all.entries.push(entry.clone());
            calls.push(tokio::task::spawn_local(call(entry.address, request)));
        }
        let mut whole = true;
        for call in calls {
            let status = call.await.ok().flatten();
            whole &= status == Some(StatusCode::OK);
        }
        let outcome = if whole { "taken" } else { "incomplete" };
        core.metrics.reservations.inc(outcome);
        if !whole {
            return None;
        }
        all.start_renewal();
        Some(all)
    }

    fn next_id(&self) -> String {
        format!("{:x}-{}", self.core.incarnation, self.core.next_serial())
    }

    /// Renews the reservations until dropped.
    fn start_renewal(&mut self) {
        let core = self.core.clone();
        let entries = self.entries.clone();
        let task = tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(RENEW_INTERVAL).await;
                let fleet = core.published.fleet();
                // A restarted engine holds no reservation any more. A renewal would reserve memory
                // there under the same identifier for a prompt that is gone.
                let is_over = |entry: &&EngineReservation| fleet.has_restarted(&entry.incarnation);
                for entry in entries.iter().filter(|entry| !is_over(entry)) {
                    let request = core.dialect.reserve(&entry.reservation);
                    tokio::task::spawn_local(call(entry.address, request));
                }
            }
        });
        self.renewal = Some(task.abort_handle());
    }

    /// Identifier of the reservation at an engine.
    pub(crate) fn id_at(&self, address: SocketAddr) -> Option<String> {
        let entry = self.entries.iter().find(|entry| entry.address == address)?;
        Some(entry.reservation.id.clone())
    }
}

impl Drop for Reservations {
    fn drop(&mut self) {
        if let Some(renewal) = self.renewal.take() {
            renewal.abort();
        }
        for entry in &self.entries {
            let request = self.core.dialect.release(&entry.reservation);
            tokio::task::spawn_local(call(entry.address, request));
        }
    }
}

/// Makes one call; returns its status if there was a response.
async fn call(address: SocketAddr, request: Request<Bytes>) -> Option<StatusCode> {
    let answer = async {
        let mut connection = Connection::open(address, CALL_TIMEOUT).await?;
        connection.send(request).await
    };
    match timeout(CALL_TIMEOUT, answer).await {
        Ok(Ok(response)) => Some(response.status()),
        Ok(Err(error)) => {
            log::info!(endpoint:% = address, error:% = error; "reservation call failed");
            None
        }
        Err(_) => {
            log::info!(endpoint:% = address; "reservation call timed out");
            None
        }
    }
}
