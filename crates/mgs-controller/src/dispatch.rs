//! Sending orders without holding up the renewal of the lease.

use std::collections::HashSet;
use std::fmt;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel;
use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use displaydoc::Display;
use mgs_schema::settings::EndpointRow;
use mgs_schema::wire::Order;
use mgs_schema::wire::OrderReply;

/// Why an order has no answer; it may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SendError {
    /// the endpoint's sidecar can't be reached: {0}
    Unreachable(String),
    /// the answer was lost: {0}
    Lost(String),
}

impl std::error::Error for SendError {}

/// The way from the controller to the endpoints; the gateway has it.
pub trait Endpoints: Send + Sync {
    /// Gives an order to an endpoint's sidecar and waits for the answer.
    fn send(&self, endpoint: &EndpointRow, order: &Order) -> Result<OrderReply, SendError>;

    /// Models that an endpoint was last reported to serve, if this process knows.
    fn models(&self, endpoint: &str) -> Option<Vec<String>>;
}

/// Answer to an order.
#[derive(Debug)]
pub struct Answer {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Fencing number of the order.
    pub fencing: u64,
    /// What was answered.
    pub reply: Result<OrderReply, SendError>,
}

/// Sends orders, each on a thread of its own, at most one to an endpoint at a time.
pub struct Dispatcher {
    endpoints: Arc<dyn Endpoints>,
    in_flight: HashSet<String>,
    sender: Sender<Answer>,
    answers: Receiver<Answer>,
    waited: Vec<Answer>,
}

impl fmt::Debug for Dispatcher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Dispatcher")
            .field("in_flight", &self.in_flight)
            .finish_non_exhaustive()
    }
}

impl Dispatcher {
    /// A dispatcher that has sent nothing.
    pub fn new(endpoints: Arc<dyn Endpoints>) -> Self {
        let (sender, answers) = channel::unbounded();
        Self {
            endpoints,
            in_flight: HashSet::new(),
            sender,
            answers,
            waited: Vec::new(),
        }
    }

    /// The way to the endpoints.
    pub fn endpoints(&self) -> &dyn Endpoints {
        self.endpoints.as_ref()
    }

    /// Whether an order to an endpoint waits for its answer.
    pub fn in_flight(&self, endpoint: &str) -> bool {
        self.in_flight.contains(endpoint)
    }

    /// Sends an order.
    pub fn send(&mut self, endpoint: &EndpointRow, order: Order) -> io::Result<()> {
        let endpoints = Arc::clone(&self.endpoints);
        let sender = self.sender.clone();
        let row = endpoint.clone();
        let send = move || {
            let reply = endpoints.send(&row, &order);
            let answer = Answer {
                endpoint: row.name,
                fencing: order.fencing,
                reply,
            };
            // The receiver is gone once the gateway stops; nobody wants the answer then.
            let _ = sender.send(answer);
        };
        thread::Builder::new()
            .name("order".to_string())
            .spawn(send)?;
        self.in_flight.insert(endpoint.name.clone());
        Ok(())
    }

    /// Answers that have come.
    pub fn answers(&mut self) -> Vec<Answer> {
        let mut answers = std::mem::take(&mut self.waited);
        answers.extend(self.answers.try_iter());
        for answer in &answers {
            self.in_flight.remove(&answer.endpoint);
        }
        answers
    }

    /// Waits until each order in flight is answered; [`Self::answers`] then has the answers.
    /// Returns whether that was so within the timeout.
    pub fn wait(&mut self, timeout: Duration) -> bool {
        while self.waited.len() < self.in_flight.len() {
            match self.answers.recv_timeout(timeout) {
                Ok(answer) => self.waited.push(answer),
                Err(_) => return false,
            }
        }
        true
    }
}
