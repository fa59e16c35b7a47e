//! What ends once a response has been delivered, which is when the system has taken all of it.
//!
//! The HTTP library asks for the end of a body as soon as it has room for it. Up to a buffer of the
//! response then waits in the library until the client reads, and would be lost if the process
//! ended. The library flushes the connection's socket whenever its buffer is empty, so a response
//! is delivered at the first flush after the library has dropped its body.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::oneshot;

use crate::core::Core;

/// Counts a request as open until dropped.
pub(crate) struct OpenRequest {
    core: Rc<Core>,
}

impl OpenRequest {
    pub(crate) fn begin(core: &Rc<Core>) -> Rc<Self> {
        core.drain.begin_request();
        core.metrics.open_requests.inc();
        Rc::new(Self { core: core.clone() })
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.core.drain.end_request();
        self.core.metrics.open_requests.dec();
    }
}

/// A response that is being delivered. Dropped without a call of [`Self::complete`], it was lost.
pub(crate) struct Delivery {
    _open_request: Rc<OpenRequest>,
    /// Tells the task of a stream that its client has all of it.
    delivered: Option<oneshot::Sender<()>>,
}

impl Delivery {
    pub(crate) fn new(
        open_request: Rc<OpenRequest>,
        delivered: Option<oneshot::Sender<()>>,
    ) -> Self {
        Self {
            _open_request: open_request,
            delivered,
        }
    }

    fn complete(self) {
        if let Some(delivered) = self.delivered {
            // Nobody waits if the stream's task has ended with the runtime.
            let _ = delivered.send(());
        }
    }
}

/// The responses of one connection that the HTTP library has taken and the system may not have.
/// Belongs to the socket, so that what is left is lost with it.
#[derive(Default)]
pub(crate) struct UnflushedResponses {
    deliveries: RefCell<Vec<Delivery>>,
}

impl UnflushedResponses {
    /// Adds a response whose body the HTTP library has taken.
    pub(crate) fn add(&self, delivery: Delivery) {
        self.deliveries.borrow_mut().push(delivery);
    }

    /// Records that the system has taken all that the HTTP library has.
    pub(crate) fn record_flush(&self) {
        let delivered = self.deliveries.take();
        delivered.into_iter().for_each(Delivery::complete);
    }
}
