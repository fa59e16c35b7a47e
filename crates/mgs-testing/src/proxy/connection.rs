//! One proxied connection and its faults.

use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use socket2::SockRef;

use crate::proxy::faults::Direction;
use crate::proxy::faults::Faults;

/// A connection as [`crate::proxy::Route::connections`] lists it.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionInfo {
    /// Number of the connection on its route, growing.
    pub id: u64,
    /// When it was accepted.
    pub opened: Instant,
    /// Bytes passed to the target.
    pub to_target_bytes: u64,
    /// Bytes passed to the caller.
    pub to_caller_bytes: u64,
}

/// What a pump may do with the bytes in its hand.
pub(super) enum Pass {
    /// Write them all.
    All,
    /// Write this many, then reset the connection.
    Some(usize),
    /// Drop them: the connection was reset.
    Nothing,
}

pub(super) struct Connection {
    id: u64,
    opened: Instant,
    caller: TcpStream,
    target: TcpStream,
    state: Mutex<State>,
    changed: Condvar,
    to_target_bytes: AtomicU64,
    to_caller_bytes: AtomicU64,
}

struct State {
    faults: Faults,
    cut: bool,
    /// Whether bytes towards the target were ever kept back.
    late: bool,
}

impl Connection {
    pub(super) fn new(id: u64, caller: TcpStream, target: TcpStream, faults: Faults) -> Self {
        Self {
            id,
            opened: Instant::now(),
            caller,
            target,
            state: Mutex::new(State {
                faults,
                cut: false,
                late: false,
            }),
            changed: Condvar::new(),
            to_target_bytes: AtomicU64::new(0),
            to_caller_bytes: AtomicU64::new(0),
        }
    }

    pub(super) fn id(&self) -> u64 {
        self.id
    }

    pub(super) fn info(&self) -> ConnectionInfo {
        ConnectionInfo {
            id: self.id,
            opened: self.opened,
            to_target_bytes: self.to_target_bytes.load(Ordering::Relaxed),
            to_caller_bytes: self.to_caller_bytes.load(Ordering::Relaxed),
        }
    }

    /// The sockets that a direction reads from and writes to.
    pub(super) fn ends(&self, direction: Direction) -> (&TcpStream, &TcpStream) {
        match direction {
            Direction::ToTarget => (&self.caller, &self.target),
            Direction::ToCaller => (&self.target, &self.caller),
        }
    }

    pub(super) fn count(&self, direction: Direction, bytes: u64) {
        let counter = match direction {
            Direction::ToTarget => &self.to_target_bytes,
            Direction::ToCaller => &self.to_caller_bytes,
        };
        counter.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
        self.changed.notify_all();
    }

    /// Resets both sides. The reset leaves when the last pump lets go of the sockets; ending the
    /// read side wakes the pumps without a word to either peer.
    pub(super) fn cut(&self) {
        self.state().cut = true;
        self.changed.notify_all();
        for socket in [&self.caller, &self.target] {
            // Either call fails only on a socket whose peer has ended it already.
            let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
            let _ = socket.shutdown(Shutdown::Read);
        }
    }

    pub(super) fn is_cut(&self) -> bool {
        self.state().cut
    }

    /// Whether bytes towards the target were ever kept back.
    pub(super) fn is_late(&self) -> bool {
        self.state().late
    }

    /// Waits until `bytes` read now may pass.
    pub(super) fn wait_to_pass(&self, direction: Direction, bytes: usize) -> Pass {
        let read_at = Instant::now();
        let mut state = self.state();
        loop {
            if state.cut {
                return Pass::Nothing;
            }
            let path = *state.faults.path(direction);
            let due = read_at + Duration::from_millis(path.delay_ms);
            let early = due.saturating_duration_since(Instant::now());
            if path.hold {
                state.late |= direction == Direction::ToTarget;
                state = self.wait(state, None);
            } else if !early.is_zero() {
                state = self.wait(state, Some(early));
            } else {
                return take(&mut state, direction, bytes);
            }
        }
    }

    fn wait<'a>(
        &self,
        state: MutexGuard<'a, State>,
        limit: Option<Duration>,
    ) -> MutexGuard<'a, State> {
        match limit {
            None => self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner),
            Some(limit) => {
                let waited = self.changed.wait_timeout(state, limit);
                waited.unwrap_or_else(PoisonError::into_inner).0
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes `bytes` off what may pass before the reset.
fn take(state: &mut State, direction: Direction, bytes: usize) -> Pass {
    let Some(left) = &mut state.faults.path_mut(direction).cut_after_bytes else {
        return Pass::All;
    };
    let wanted = bytes as u64;
    if *left < wanted {
        let passing = usize::try_from(*left).unwrap_or(bytes);
        *left = 0;
        return Pass::Some(passing);
    }
    *left -= wanted;
    Pass::All
}
