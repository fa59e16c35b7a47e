//! Memory set aside at engines for one prompt: all of it or none, renewed while the request lasts, given
//! back when it ends, and forgotten by the engines soon after this process dies.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use mgs_placing::placement::MemoryReservation;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::connect::Connection;
use crate::core::Core;
use crate::dialect::Reservation;
use crate::source::Incarnation;
use crate::view::Fleet;

/// How long an engine keeps memory that isn't renewed, in milliseconds: below the time in which memory
/// must be free again after its user died.
const HOLD_MS: u64 = 3_400;

/// Time between renewals: two may be lost.
const RENEW: Duration = Duration::from_millis(1_000);

/// Longest wait for the answer to one call.
const CALL: Duration = Duration::from_millis(400);

/// One reservation and where it is.
#[derive(Debug, Clone)]
struct Place {
    /// The life of the engine that sets the memory aside.
    incarnation: Incarnation,
    address: SocketAddr,
    reservation: Reservation,
}

/// The reservations of one request.
pub(crate) struct Reservations {
    core: Rc<Core>,
    places: Vec<Place>,
    renewal: Option<AbortHandle>,
}

impl Reservations {
    /// No memory.
    pub(crate) fn none(core: &Rc<Core>) -> Self {
        Self {
            core: core.clone(),
            places: Vec::new(),
            renewal: None,
        }
    }

    /// Sets memory aside at all of these engines, or at none.
    pub(crate) async fn take(
        core: &Rc<Core>,
        fleet: &Fleet,
        reserves: &[MemoryReservation],
    ) -> Option<Self> {
        let mut all = Self::none(core);
        let mut calls = Vec::new();
        for reserve in reserves {
            let endpoint = fleet.by_key.get(&reserve.endpoint)?;
            let place = Place {
                incarnation: endpoint.facts.incarnation.clone(),
                address: endpoint.facts.address,
                reservation: Reservation {
                    id: all.next_id(),
                    endpoint_id: endpoint.facts.incarnation.id.clone(),
                    tokens: reserve.tokens,
                    hold_ms: HOLD_MS,
                },
            };
            let request = core.dialect.reserve(&place.reservation);
            // Given back also if the answer is lost: it may have been set aside.
            all.places.push(place.clone());
            calls.push(tokio::task::spawn_local(call(place.address, request)));
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
        all.keep();
        Some(all)
    }

    fn next_id(&self) -> String {
        format!("{:x}-{}", self.core.incarnation, self.core.next_number())
    }

    /// Renews until dropped.
    fn keep(&mut self) {
        let core = self.core.clone();
        let places = self.places.clone();
        let task = tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(RENEW).await;
                let fleet = core.published.fleet();
                // An engine that has started again holds nothing of this, and would set memory aside anew, under
                // the same identifier, for a prompt that is gone.
                let is_over = |place: &&Place| fleet.has_restarted(&place.incarnation);
                for place in places.iter().filter(|place| !is_over(place)) {
                    let request = core.dialect.reserve(&place.reservation);
                    tokio::task::spawn_local(call(place.address, request));
                }
            }
        });
        self.renewal = Some(task.abort_handle());
    }

    /// Name of the reservation at an engine.
    pub(crate) fn at(&self, address: SocketAddr) -> Option<String> {
        let place = self.places.iter().find(|place| place.address == address)?;
        Some(place.reservation.id.clone())
    }
}

impl Drop for Reservations {
    fn drop(&mut self) {
        if let Some(renewal) = self.renewal.take() {
            renewal.abort();
        }
        for place in &self.places {
            let request = self.core.dialect.release(&place.reservation);
            tokio::task::spawn_local(call(place.address, request));
        }
    }
}

/// Makes one call; its status, if there was an answer.
async fn call(address: SocketAddr, request: Request<Bytes>) -> Option<StatusCode> {
    let answer = async {
        let mut connection = Connection::open(address, CALL).await?;
        connection.send(request).await
    };
    match timeout(CALL, answer).await {
        Ok(Ok(response)) => Some(response.status()),
        Ok(Err(error)) => {
            log::info!(endpoint:% = address, error:% = error; "a memory call has no answer");
            None
        }
        Err(_) => {
            log::info!(endpoint:% = address; "a memory call timed out");
            None
        }
    }
}
