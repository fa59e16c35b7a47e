//! The published protocol of model engines as typed messages, a trait for it, and a client over
//! HTTP.
//!
//! | call | request | answer |
//! |---|---|---|
//! | start | `POST /streams`, [`message::Start`] | 200, lines of JSON [`message::Event`]; 409 for a known stream, 429 when full |
//! | resume | `GET /streams/ID?from=SEQ` | 200, the same lines from frame SEQ; 404 |
//! | cancel | `DELETE /streams/ID` | 204; 404 |
//! | list | `GET /streams` | 200, a list of [`message::StreamInfo`] |
//! | export KV | `POST /kv/export`, [`message::KvExport`] | 200, [`message::KvHandle`] |
//! | import KV | `POST /kv/import`, [`message::KvHandle`] | 200, [`message::KvHandle`] |
//! | list KV | `GET /kv` | 200, a list of [`message::KvHandle`] |
//! | free KV | `DELETE /kv/ID` | 204; 404 |
//! | load | `GET /load` | 200, [`message::Load`], which lags |
//! | cache events | `GET /cache-events?after=N` | 200, [`message::CacheEvents`], late and with gaps |
//! | order | `POST /orders`, [`message::Order`] | 200; 409 for an old fencing number, where checked |
//! | information | `GET /info` | 200, [`message::Info`] |
//!
//! A stream whose connection breaks goes on in the engine and can be resumed by its identifier
//! until it is cancelled or its end has been read and [`message::KEEP_FINISHED_MS`] has passed.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod engine;
pub mod http;
pub mod message;
