//! One part of a span and the message that its sidecar answers.

use std::sync::Arc;

use crossbeam::channel::Select;
use crossbeam::channel::TryRecvError;
use mgs_fleet::view::EndpointKey;
use mgs_request::span::Event;
use mgs_request::span::PartNumber;
use mgs_routing::span::Part as Planned;
use mgs_schema::prefix::BYTES_PER_TOKEN;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::KvPart;
use mgs_schema::wire::SpanExport;
use mgs_schema::wire::SpanRelease;
use mgs_schema::wire::SpanReserve;
use mgs_transport::client::Call;

use super::Common;
use crate::core::Core;
use crate::session::Session;
use crate::session::Slot;

/// Longest wait for the answer to a reservation or release, in milliseconds.
const ANSWER_MS: u64 = 1_000;

/// Pause before a message whose path was lost goes out again, in milliseconds.
const AGAIN_MS: u64 = 100;

/// How often an export is asked for again after its path was lost; repeating it is harmless.
const EXPORTS_AGAIN: u32 = 5;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ask {
    Reserve,
    Export,
    Release,
}

/// A message that waits for its answer.
#[derive(Debug)]
struct Pending {
    ask: Ask,
    /// The call and its session; `None` once its path was lost.
    path: Option<(Call, Arc<Session>)>,
    /// When it is given up, or goes out again without a path, in milliseconds.
    until_ms: u64,
}

/// Why there is no answer.
enum Silence {
    /// The path broke.
    Lost,
    /// The time for it is over.
    Late,
}

/// A part and where it is.
#[derive(Debug)]
pub(super) struct Part {
    pub(super) endpoint: EndpointKey,
    slot: Option<Arc<Slot>>,
    /// Incarnation of the sidecar that was asked for a reservation.
    incarnation: u64,
    kv: String,
    kv_tokens: u64,
    text: Vec<u8>,
    exported_tokens: Option<u64>,
    exports_left: u32,
    pending: Option<Pending>,
}

impl Part {
    pub(super) fn new(core: &Core, planned: &Planned, kv: String, text: Vec<u8>) -> Self {
        Self {
            endpoint: planned.endpoint,
            slot: core.sessions.slot(planned.endpoint),
            incarnation: 0,
            kv,
            kv_tokens: planned.kv_tokens,
            text,
            exported_tokens: None,
            exports_left: EXPORTS_AGAIN,
            pending: None,
        }
    }

    /// The exported part, if it is.
    pub(super) fn exported(&self) -> Option<KvPart> {
        Some(KvPart {
            kv: self.kv.clone(),
            kv_tokens: self.exported_tokens?,
        })
    }

    pub(super) fn wake_ms(&self) -> Option<u64> {
        self.pending.as_ref().map(|pending| pending.until_ms)
    }

    pub(super) fn select<'a>(&'a self, select: &mut Select<'a>) {
        let path = self.pending.as_ref().and_then(|p| p.path.as_ref());
        if let Some((call, session)) = path {
            select.recv(call.receiver());
            select.recv(&session.over);
        }
    }

    /// Asks for the part's memory until the deadline.
    pub(super) fn reserve(&mut self, common: &Common) {
        let session = self.session();
        self.incarnation = session.as_ref().map_or(0, |session| session.incarnation);
        let reserve = SpanReserve {
            span: common.id,
            sidecar_incarnation: self.incarnation,
            kv_tokens: self.kv_tokens,
            valid_ms: common.deadline_ms.saturating_sub(common.now_ms()),
            gateway_incarnation: common.gateway_incarnation,
        };
        let until_ms = common.now_ms() + ANSWER_MS;
        self.send(Ask::Reserve, session, Body::SpanReserve(reserve), until_ms);
    }

    /// Has the part processed; that takes as long as its prefill.
    pub(super) fn export(&mut self, common: &Common) {
        let export = SpanExport {
            span: common.id,
            sidecar_incarnation: self.incarnation,
            gateway_incarnation: common.gateway_incarnation,
            kv: self.kv.clone(),
            model: common.model.clone(),
            text: self.text.clone(),
        };
        let session = self.session();
        let until_ms = common.deadline_ms;
        self.send(Ask::Export, session, Body::SpanExport(export), until_ms);
    }

    /// Frees the part's memory and KV.
    pub(super) fn release(&mut self, common: &Common) {
        self.text = Vec::new();
        let release = SpanRelease { span: common.id };
        let session = self.session();
        let until_ms = common.now_ms() + ANSWER_MS;
        self.send(Ask::Release, session, Body::SpanRelease(release), until_ms);
    }

    fn session(&self) -> Option<Arc<Session>> {
        self.slot.as_ref()?.session()
    }

    fn send(&mut self, ask: Ask, session: Option<Arc<Session>>, body: Body, until_ms: u64) {
        let path = session.and_then(|session| {
            let call = session.connection.call(body).ok()?;
            Some((call, session))
        });
        self.pending = Some(Pending {
            ask,
            path,
            until_ms,
        });
    }

    /// Takes the answer, or its loss.
    pub(super) fn poll(&mut self, common: &Common, number: PartNumber) -> Option<Event> {
        let now_ms = common.now_ms();
        let heard = self.pending.as_ref()?.hear(now_ms)?;
        let ask = self.pending.as_ref()?.ask;
        match (ask, heard) {
            (Ask::Reserve, Ok(Body::SpanReply(reply))) => {
                self.pending = None;
                Some(Event::Reserved {
                    part: number,
                    done: reply.done,
                })
            }
            (Ask::Reserve, _) => {
                self.pending = None;
                Some(Event::ReserveLost { part: number })
            }
            (Ask::Export, Ok(Body::SpanKv(kv))) => {
                self.pending = None;
                if !kv.done {
                    log::info!(kv = kv.kv, detail = kv.detail; "a part wasn't exported");
                }
                self.exported_tokens = kv.done.then_some(kv.kv_tokens);
                Some(Event::Exported {
                    part: number,
                    done: kv.done,
                })
            }
            (Ask::Export, Err(Silence::Late))
                if self.is_pathless() && now_ms < common.deadline_ms =>
            {
                self.export(common);
                None
            }
            (Ask::Export, Err(Silence::Lost)) if self.exports_left > 0 => {
                self.exports_left -= 1;
                self.pause(now_ms);
                None
            }
            (Ask::Export, _) => {
                self.pending = None;
                Some(Event::Exported {
                    part: number,
                    done: false,
                })
            }
            (Ask::Release, Ok(Body::SpanReply(_))) => {
                self.pending = None;
                Some(Event::Released { part: number })
            }
            (Ask::Release, Err(Silence::Lost)) => {
                self.pause(now_ms);
                None
            }
            (Ask::Release, _) => {
                self.pending = None;
                Some(Event::ReleaseLost { part: number })
            }
        }
    }

    fn is_pathless(&self) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| pending.path.is_none())
    }

    /// Waits a little before the message goes out again.
    fn pause(&mut self, now_ms: u64) {
        if let Some(pending) = &mut self.pending {
            pending.path = None;
            pending.until_ms = now_ms + AGAIN_MS;
        }
    }
}

impl Pending {
    fn hear(&self, now_ms: u64) -> Option<Result<Body, Silence>> {
        let late = || (now_ms >= self.until_ms).then_some(Err(Silence::Late));
        let Some((call, session)) = &self.path else {
            return late();
        };
        match call.receiver().try_recv() {
            Ok(Ok(body)) => Some(Ok(body)),
            Ok(Err(_)) | Err(TryRecvError::Disconnected) => Some(Err(Silence::Lost)),
            Err(TryRecvError::Empty) if session.is_over() => Some(Err(Silence::Lost)),
            Err(TryRecvError::Empty) => late(),
        }
    }
}

/// The first `tokens` of a text, less what would split a character.
pub(super) fn cut(text: &[u8], tokens: u64) -> &[u8] {
    let mut end = (tokens as usize * BYTES_PER_TOKEN).min(text.len());
    while end > 0 && text.get(end).is_some_and(|byte| byte & 0xc0 == 0x80) {
        end -= 1;
    }
    &text[..end]
}
