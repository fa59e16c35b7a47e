//! Parts of prompts that exceed one engine's memory.

use std::sync::Arc;

use mgs_engine::engine::Engine;
use mgs_engine::engine::Error;
use mgs_engine::message::KvExport;
use mgs_engine::message::KvHandle;
use mgs_schema::prefix;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::KvPart;
use mgs_schema::wire::SpanExport;
use mgs_schema::wire::SpanKv;
use mgs_schema::wire::SpanRelease;
use mgs_schema::wire::SpanReply;
use mgs_schema::wire::SpanReserve;
use mgs_transport::server::Reply;

use crate::handler::answer;
use crate::state::Shared;
use crate::state::Work;

/// Reserves memory.
pub(crate) fn reserve(shared: &Arc<Shared>, span: &SpanReserve, reply: &Reply) {
    let done = span.sidecar_incarnation == shared.incarnation
        && shared.tell(|ledger, now_ms| {
            ledger.span_reserve(
                now_ms,
                span.span,
                span.kv_tokens,
                span.valid_ms,
                span.gateway_incarnation,
            )
        });
    answer(reply, Body::SpanReply(SpanReply { done }));
}

/// Frees a reservation.
pub(crate) fn release(shared: &Arc<Shared>, span: &SpanRelease, reply: &Reply) {
    shared.tell(|ledger, now_ms| ledger.span_release(now_ms, span.span));
    answer(reply, Body::SpanReply(SpanReply { done: true }));
}

/// Exports a part. It takes as long as its prefill, and has a thread; reservations bound how many
/// there are.
pub(crate) fn export(shared: &Arc<Shared>, export: SpanExport, reply: Reply) {
    let tokens = prefix::tokens(export.text.len());
    let is_held = export.sidecar_incarnation == shared.incarnation
        && shared.tell(|ledger, _| ledger.span_export(export.span, &export.kv, tokens));
    if !is_held {
        return answer_kv(
            &reply,
            &export.kv,
            Err("no reservation holds it".to_string()),
        );
    }
    let shared = shared.clone();
    let spawned = std::thread::Builder::new()
        .name("sidecar-export".to_string())
        .spawn(move || {
            let exported = match shared.engine() {
                Some(engine) => export_part(engine, &export),
                None => Err("a plain service holds no KV".to_string()),
            };
            shared.tell(|ledger, now_ms| ledger.span_exported(now_ms, &export.kv, tokens));
            answer_kv(&reply, &export.kv, exported);
        });
    if let Err(error) = spawned {
        log::error!(error:% = error; "no thread for an export");
    }
}

fn export_part(engine: &dyn Engine, export: &SpanExport) -> Result<u64, String> {
    let export = KvExport {
        kv: export.kv.clone(),
        model: export.model.clone(),
        text: String::from_utf8_lossy(&export.text).into_owned(),
        priority: export.priority,
    };
    let exported = engine.export_kv(&export);
    let handle = exported.map_err(|error| error.to_string())?;
    Ok(handle.kv_tokens)
}

fn answer_kv(reply: &Reply, kv: &str, exported: Result<u64, String>) {
    answer(
        reply,
        Body::SpanKv(SpanKv {
            done: exported.is_ok(),
            kv: kv.to_string(),
            kv_tokens: *exported.as_ref().unwrap_or(&0),
            detail: exported.err().unwrap_or_default(),
        }),
    );
}

/// Imports the parts of a request before it starts. After an error some may be held; they are
/// freed with the request.
pub(crate) fn import(
    shared: &Arc<Shared>,
    work: &Work,
    engine: &dyn Engine,
    parts: &[KvPart],
) -> Result<(), Error> {
    for part in parts {
        shared.tell(|ledger, _| ledger.importing(work.id, &part.kv));
        let handle = KvHandle {
            kv: part.kv.clone(),
            kv_tokens: part.kv_tokens,
        };
        let held = engine.import_kv(&handle)?;
        shared.tell(|ledger, _| ledger.imported(work.id, work.attempt, &part.kv, held.kv_tokens));
    }
    Ok(())
}
