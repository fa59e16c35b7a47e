//! The HTTP side of the engine.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::time::Instant;

use chunked_transfer::Encoder;
use mgs_engine::engine::Error;
use mgs_engine::message::Event;
use tiny_http::Method;
use tiny_http::Request;

use super::core::Core;
use super::progress::End;
use super::progress::Progress;
use super::text;
use crate::http;
use crate::http::Handler;

const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n\
    Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n";

/// Answers calls from a [`Core`].
pub(super) struct EngineHandler {
    core: Arc<Core>,
}

impl EngineHandler {
    /// A handler over `core`.
    pub(super) fn new(core: Arc<Core>) -> Self {
        Self { core }
    }

    fn start(&self, mut request: Request) {
        match http::body_json(&mut request) {
            Ok(start) => match self.core.start(start) {
                Ok(progress) => self.stream(request, &progress, 0),
                Err(error) => refuse(request, &error),
            },
            Err(error) => http::refuse(request, 400, &error.to_string()),
        }
    }

    fn resume(&self, request: Request, stream: &str, query: &str) {
        let from = http::param(query, "from").and_then(|from| from.parse().ok());
        let progress = self.core.life().batch.resume(stream);
        match progress {
            Ok(progress) => self.stream(request, &progress, from.unwrap_or(0)),
            Err(error) => refuse(request, &error),
        }
    }

    fn stream(&self, request: Request, progress: &Progress, from: u64) {
        let written = self.write_stream(request.into_writer(), progress, from);
        if let Err(error) = written {
            log::debug!(error:% = error; "the reader of a stream is gone");
        }
    }

    /// Writes one line a token, each flushed; a crash cuts it.
    fn write_stream(&self, out: Box<dyn Write>, progress: &Progress, from: u64) -> io::Result<()> {
        let mut out = Cuttable { out, cut: false };
        out.write_all(STREAM_HEAD)?;
        out.flush()?;
        let mut out = Encoder::with_flush_after_write(out);
        let mut next = from;
        loop {
            let seen = progress.wait(next);
            self.core.gate.pass();
            if seen.broken {
                out.get_mut().cut = true;
                return Ok(());
            }
            while next < seen.generated {
                write_event(&mut out, &token(progress, next))?;
                next += 1;
            }
            if let Some(end) = seen.end {
                write_event(&mut out, &end_event(progress, seen.generated, end))?;
                progress.note_end_read();
                return Ok(());
            }
        }
    }

    fn post(&self, mut request: Request, path: &str) {
        match path {
            "/kv/export" => match http::body_json(&mut request) {
                Ok(export) => http::answer(request, self.core.export(&export), refuse),
                Err(error) => http::refuse(request, 400, &error.to_string()),
            },
            "/kv/import" => match http::body_json(&mut request) {
                Ok(handle) => http::answer(request, self.core.import(&handle), refuse),
                Err(error) => http::refuse(request, 400, &error.to_string()),
            },
            "/orders" => match http::body_json(&mut request) {
                Ok(order) => http::answer(request, self.core.order(&order), refuse),
                Err(error) => http::refuse(request, 400, &error.to_string()),
            },
            _ => http::empty(request, 404),
        }
    }

    fn get(&self, request: Request, path: &str, query: &str) {
        let now = Instant::now();
        match path {
            "/streams" => {
                let streams = self.core.life().batch.streams();
                http::json(request, 200, &streams);
            }
            "/kv" => {
                let kv = self.core.life().batch.kv().list();
                http::json(request, 200, &kv);
            }
            "/load" => {
                let load = self.core.life().batch.loads().lagging(now);
                http::json(request, 200, &load);
            }
            "/cache-events" => {
                let after = http::param(query, "after").and_then(|after| after.parse().ok());
                let events = self
                    .core
                    .life()
                    .batch
                    .cache()
                    .after(now, after.unwrap_or(0));
                http::json(request, 200, &events);
            }
            "/info" => http::json(request, 200, &self.core.info()),
            _ => http::empty(request, 404),
        }
    }

    fn control(&self, request: Request, action: &str) {
        match action {
            "crash" => self.core.crash(),
            "freeze" => self.core.gate.freeze(true),
            "thaw" => self.core.gate.freeze(false),
            "executions" => return http::json(request, 200, &self.core.journal.execution_lines()),
            "orders" => return http::json(request, 200, &self.core.journal.order_lines()),
            "memory" => return http::json(request, 200, &self.core.memory()),
            _ => return http::empty(request, 404),
        }
        http::empty(request, 204);
    }
}

impl Handler for EngineHandler {
    fn handle(&self, request: Request) {
        let (path, query) = http::target(&request);
        if let Some(action) = path.strip_prefix("/control/") {
            return self.control(request, action);
        }
        let life = self.core.gate.life();
        if self.core.gate.pass() != life {
            return http::cut(request);
        }
        let stream = path.strip_prefix("/streams/");
        let kv = path.strip_prefix("/kv/");
        match (request.method(), stream, kv) {
            (Method::Get, Some(stream), _) => self.resume(request, stream, &query),
            (Method::Delete, Some(stream), _) => {
                http::answer_empty(request, self.core.cancel(stream), refuse)
            }
            (Method::Delete, _, Some(kv)) => {
                http::answer_empty(request, self.core.free(kv), refuse)
            }
            (Method::Post, _, _) if path == "/streams" => self.start(request),
            (Method::Post, _, _) => self.post(request, &path),
            (Method::Get, _, _) => self.get(request, &path, &query),
            _ => http::empty(request, 404),
        }
    }
}

/// A writer that can be made to drop what is still to come.
struct Cuttable<W: Write> {
    out: W,
    cut: bool,
}

impl<W: Write> Write for Cuttable<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.cut {
            true => Err(io::ErrorKind::BrokenPipe.into()),
            false => self.out.write(bytes),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
}

/// Writes a line and flushes what lies below the encoder, which doesn't do it itself.
fn write_event<W: Write>(out: &mut Encoder<W>, event: &Event) -> io::Result<()> {
    let mut line = serde_json::to_vec(event).map_err(io::Error::other)?;
    line.push(b'\n');
    out.write_all(&line)?;
    out.get_mut().flush()
}

fn token(progress: &Progress, seq: u64) -> Event {
    Event::Token {
        seq,
        text: text::token(progress.prompt_hash, seq),
        tokens: 1,
    }
}

fn end_event(progress: &Progress, generated: u64, end: End) -> Event {
    let finish_reason = if end.cancelled { "cancelled" } else { "length" };
    Event::End {
        frames: generated,
        prompt_tokens: progress.prompt_tokens,
        cached_tokens: end.cached_tokens,
        generated_tokens: generated,
        finish_reason: finish_reason.to_string(),
    }
}

fn refuse(request: Request, error: &Error) {
    let status = match error {
        Error::NotFound => 404,
        Error::Exists | Error::StaleFencing => 409,
        Error::Full => 429,
        Error::Unreachable(_) | Error::Broken(_) | Error::Rejected(_) => 400,
    };
    http::refuse(request, status, &error.to_string());
}
