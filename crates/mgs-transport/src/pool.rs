//! One good connection per peer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::client::Connection;
use crate::client::Error;
use crate::client::Options;
use crate::runtime::Runtime;

type Slot = Arc<Mutex<Option<Connection>>>;

/// Connections by address, opened on demand and replaced when given up.
#[derive(Debug)]
pub struct Pool {
    runtime: Runtime,
    options: Options,
    slots: Mutex<HashMap<SocketAddr, Slot>>,
}

impl Pool {
    /// An empty pool.
    ///
    /// ```
    /// use mgs_transport::pool::Pool;
    /// use mgs_transport::runtime::Runtime;
    ///
    /// let runtime = Runtime::new(&Default::default()).unwrap();
    /// let pool = Pool::new(runtime, Default::default());
    /// ```
    pub fn new(runtime: Runtime, options: Options) -> Self {
        Self {
            runtime,
            options,
            slots: Mutex::new(HashMap::new()),
        }
    }

    /// An open connection to `address`; connects if there is none. Callers of the same address
    /// wait for one another, callers of others don't.
    pub fn connection(&self, address: SocketAddr) -> Result<Connection, Error> {
        let slot = locked(&self.slots).entry(address).or_default().clone();
        let mut slot = locked(&slot);
        if let Some(connection) = slot.as_ref().filter(|connection| connection.is_open()) {
            return Ok(connection.clone());
        }
        *slot = None;
        let connection = Connection::open(&self.runtime, address, &self.options)?;
        *slot = Some(connection.clone());
        Ok(connection)
    }

    /// Forgets the connections to addresses that `keep` doesn't want.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        locked(&self.slots).retain(|address, _| keep(address));
    }
}

/// A panic while the lock was held leaves a map or a connection that is still whole.
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
