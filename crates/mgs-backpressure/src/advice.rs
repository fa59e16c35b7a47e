//! The backpressure fields of one response of an endpoint.

/// One backpressure field of a response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Field<T> {
    /// The response says nothing about it, since another process sent it or it is an error. The
    /// known state is kept.
    #[default]
    Unknown,
    /// The response could carry the field and doesn't.
    Absent,
    /// The field is present and malformed. The known state is kept; the field doesn't count as
    /// absent.
    Invalid,
    /// The parsed value.
    Value(T),
}

/// The backpressure fields of one response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Advice {
    /// Requests per second that the endpoint accepts from all gateways together, until a response
    /// lacks the field.
    pub limit_per_s: Field<f64>,
    /// The endpoint is shutting down and accepts no new requests.
    pub leaving: Field<()>,
    /// The endpoint refused the request and asks this gateway to send nothing for this time, in
    /// milliseconds.
    pub backoff_ms: Field<f64>,
    /// Time for which the endpoint stays cold, in milliseconds.
    pub cold_ms: Field<f64>,
}

impl Advice {
    /// Whether any field is present, valid or malformed.
    pub(crate) fn has_any_field(&self) -> bool {
        self.limit_per_s.is_present()
            || self.leaving.is_present()
            || self.backoff_ms.is_present()
            || self.cold_ms == Field::Invalid
    }
}

impl<T> Field<T> {
    fn is_present(&self) -> bool {
        matches!(self, Self::Invalid | Self::Value(_))
    }
}
