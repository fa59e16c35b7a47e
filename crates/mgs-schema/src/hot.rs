//! Hand-written serde for the two hot messages.
//!
//! A token frame and a load report are sent far more often than anything else. Both are encoded
//! as a plain tuple of their fields, in the order of the schema.

use std::fmt;

use serde::de::Error as _;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde::ser::SerializeTuple;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::wire::LoadReport;
use crate::wire::TokenFrame;

fn field<'de, A, T>(seq: &mut A, name: &'static str) -> Result<T, A::Error>
where
    A: SeqAccess<'de>,
    T: Deserialize<'de>,
{
    seq.next_element()?
        .ok_or_else(|| A::Error::missing_field(name))
}

macro_rules! tuple_serde {
    ($message:ident, $visitor:ident, $count:literal, $($name:ident),+) => {
        impl Serialize for $message {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                let mut tuple = serializer.serialize_tuple($count)?;
                $(tuple.serialize_element(&self.$name)?;)+
                tuple.end()
            }
        }

        struct $visitor;

        impl<'de> Visitor<'de> for $visitor {
            type Value = $message;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(stringify!($message))
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
                Ok($message { $($name: field(&mut seq, stringify!($name))?,)+ })
            }
        }

        impl<'de> Deserialize<'de> for $message {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                deserializer.deserialize_tuple($count, $visitor)
            }
        }
    };
}

tuple_serde!(TokenFrame, TokenFrameVisitor, 3, seq, tokens, text);

tuple_serde!(
    LoadReport,
    LoadReportVisitor,
    18,
    incarnation,
    report,
    state,
    waiting_requests,
    running_requests,
    prefill_waiting_tokens,
    kv_used_tokens,
    kv_capacity_tokens,
    prefill_tokens_per_s,
    decode_step_ms,
    settings_version,
    models,
    models_known,
    cached_hashes,
    evicted_hashes,
    cache_reset,
    failed_requests,
    short_prefill_waiting_tokens
);
