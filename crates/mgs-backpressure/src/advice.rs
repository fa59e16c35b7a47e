//! What one answer of an endpoint says of the endpoint.

/// A field of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Field<T> {
    /// The answer doesn't tell: it is another's, or a failure. Nothing follows from it.
    #[default]
    Unsaid,
    /// It isn't there, in an answer that would have it.
    Absent,
    /// It is there and can't be used: nothing follows from it, not even that it isn't there.
    Unusable,
    /// What it says.
    Says(T),
}

/// What one answer says.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Advice {
    /// Requests a second that the endpoint takes from all gateways together, for as long as it says so.
    pub limit_per_s: Field<f64>,
    /// It leaves: it ends soon, and takes nothing new.
    pub leaving: Field<()>,
    /// It turned the request away, and wants nothing more from this gateway for so many milliseconds.
    pub rest_ms: Field<f64>,
}

impl Advice {
    /// Whether a field of it is there.
    pub(crate) fn says_anything(&self) -> bool {
        self.limit_per_s.is_there() || self.leaving.is_there() || self.rest_ms.is_there()
    }
}

impl<T> Field<T> {
    fn is_there(&self) -> bool {
        matches!(self, Self::Unusable | Self::Says(_))
    }
}
