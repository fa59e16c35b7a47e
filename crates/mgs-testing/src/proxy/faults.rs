//! What is wrong with a connection.

/// A direction of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the caller to the target.
    ToTarget,
    /// From the target to the caller.
    ToCaller,
}

/// Faults of one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PathFaults {
    /// Least time that bytes take, in milliseconds.
    pub delay_ms: u64,
    /// Whether bytes and the end of the connection are kept back.
    pub hold: bool,
    /// Bytes that still pass before the connection is reset; none for no reset.
    pub cut_after_bytes: Option<u64>,
}

/// Faults of both directions.
///
/// ```
/// use mgs_testing::proxy::Faults;
/// use mgs_testing::proxy::PathFaults;
///
/// let reply_lost = Faults {
///     to_caller: PathFaults { cut_after_bytes: Some(0), ..PathFaults::default() },
///     ..Faults::default()
/// };
/// assert_ne!(reply_lost, Faults::silent());
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// From the caller to the target.
    pub to_target: PathFaults,
    /// From the target to the caller.
    pub to_caller: PathFaults,
}

impl Faults {
    /// Nothing passes in either direction.
    pub fn silent() -> Self {
        let held = PathFaults {
            hold: true,
            ..PathFaults::default()
        };
        Self {
            to_target: held,
            to_caller: held,
        }
    }

    /// Nothing passes in one direction.
    pub fn silent_towards(direction: Direction) -> Self {
        let mut faults = Self::default();
        faults.path_mut(direction).hold = true;
        faults
    }

    /// Both directions take at least `delay_ms`.
    pub fn delayed(delay_ms: u64) -> Self {
        let late = PathFaults {
            delay_ms,
            ..PathFaults::default()
        };
        Self {
            to_target: late,
            to_caller: late,
        }
    }

    /// The target gets everything, and the connection is reset before its answer passes.
    pub fn reply_lost() -> Self {
        Self::cut_after(Direction::ToCaller, 0)
    }

    /// The connection is reset once `bytes` more have passed in a direction.
    pub fn cut_after(direction: Direction, bytes: u64) -> Self {
        let mut faults = Self::default();
        faults.path_mut(direction).cut_after_bytes = Some(bytes);
        faults
    }

    /// The faults of one direction.
    pub fn path(&self, direction: Direction) -> &PathFaults {
        match direction {
            Direction::ToTarget => &self.to_target,
            Direction::ToCaller => &self.to_caller,
        }
    }

    /// The faults of one direction, to be changed.
    pub fn path_mut(&mut self, direction: Direction) -> &mut PathFaults {
        match direction {
            Direction::ToTarget => &mut self.to_target,
            Direction::ToCaller => &mut self.to_caller,
        }
    }
}
