//! What one answer of an endpoint says of the endpoint.

/// A field of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Field<T> {
    /// It isn't there.
    #[default]
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
