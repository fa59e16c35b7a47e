//! Server-sent events, written and flushed one by one.

use std::io;
use std::io::Write;

use chunked_transfer::Encoder;
use mgs_schema::wire::Finished;
use mgs_schema::wire::TokenFrame;
use tiny_http::Header;
use tiny_http::Request;

use crate::drive::CallerGone;
use crate::drive::Sink;
use crate::http::completion::Answer;
use crate::http::problem::Problem;

/// A streamed answer. Its head is sent with the first event, so that a request that ends without
/// one still gets a status of its own.
pub(crate) struct Stream {
    answer: Answer,
    request: Option<Request>,
    head: String,
    output: Option<Output>,
}

/// Callers of HTTP/1.0 don't know chunks; their answer ends with the connection.
enum Output {
    Chunked(Encoder<FlushedWriter>),
    Plain(Box<dyn Write + Send>),
}

/// A writer that is flushed when it is dropped. The encoder writes its last chunk when it is
/// dropped itself and flushes nothing after it; a caller that keeps its connection would wait.
struct FlushedWriter(Box<dyn Write + Send>);

impl Write for FlushedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl Drop for FlushedWriter {
    fn drop(&mut self) {
        // A caller that is gone needs no last chunk.
        let _ = self.0.flush();
    }
}

impl Output {
    fn send(&mut self, text: &str) -> io::Result<()> {
        match self {
            Self::Chunked(encoder) => {
                encoder.write_all(text.as_bytes())?;
                encoder.flush()?;
                encoder.get_mut().flush()
            }
            Self::Plain(writer) => {
                writer.write_all(text.as_bytes())?;
                writer.flush()
            }
        }
    }
}

impl Stream {
    /// A stream to a caller.
    pub(crate) fn new(request: Request, answer: Answer, headers: &[Header]) -> Self {
        let line = |header: &Header| format!("{}: {}\r\n", header.field, header.value);
        let headers: String = headers.iter().map(line).collect();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\
             {headers}"
        );
        Self {
            answer,
            request: Some(request),
            head,
            output: None,
        }
    }

    /// Whether something was sent.
    pub(crate) fn has_begun(&self) -> bool {
        self.output.is_some()
    }

    /// The request, to be answered in another way, if nothing was sent.
    pub(crate) fn into_request(self) -> Option<Request> {
        self.request
    }

    fn send(&mut self, text: &str) -> io::Result<()> {
        if self.output.is_none() {
            self.begin()?;
        }
        match &mut self.output {
            Some(output) => output.send(text),
            None => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    fn begin(&mut self) -> io::Result<()> {
        let Some(request) = self.request.take() else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let chunked = *request.http_version() >= tiny_http::HTTPVersion(1, 1);
        let mut writer = request.into_writer();
        let framing = match chunked {
            true => "Transfer-Encoding: chunked",
            false => "Connection: close",
        };
        write!(writer, "{}{framing}\r\n\r\n", self.head)?;
        self.output = Some(match chunked {
            true => Output::Chunked(Encoder::new(FlushedWriter(writer))),
            false => Output::Plain(writer),
        });
        Ok(())
    }

    /// Sends the end of a whole answer.
    pub(crate) fn finish(&mut self, finished: &Finished) -> io::Result<()> {
        let last = self.answer.last_piece(finished);
        self.send_pieces(&[last])
    }

    /// Sends the last pieces of a whole answer.
    pub(crate) fn send_pieces(&mut self, pieces: &[String]) -> io::Result<()> {
        for piece in pieces {
            self.send(&format!("data: {piece}\n\n"))?;
        }
        self.send("data: [DONE]\n\n")
    }

    /// Sends an error as the last event.
    pub(crate) fn fail(&mut self, problem: &Problem) -> io::Result<()> {
        self.send(&format!("event: error\ndata: {}\n\n", problem.json()))
    }
}

impl Sink for Stream {
    fn deliver(&mut self, frame: &TokenFrame) -> Result<(), CallerGone> {
        let piece = self.answer.piece(&frame.text);
        self.send(&format!("data: {piece}\n\n")).map_err(|error| {
            log::info!(request_id:% = self.answer.id, error:% = error; "caller gone");
            CallerGone
        })
    }

    fn idle(&mut self) -> Result<(), CallerGone> {
        // A comment, which clients skip.
        self.send(": \n\n").map_err(|_| CallerGone)
    }
}

/// An answer that is collected and sent whole.
#[derive(Debug, Default)]
pub(crate) struct Collect {
    /// The text so far.
    pub(crate) text: String,
}

impl Sink for Collect {
    fn deliver(&mut self, frame: &TokenFrame) -> Result<(), CallerGone> {
        self.text.push_str(&frame.text);
        Ok(())
    }

    fn idle(&mut self) -> Result<(), CallerGone> {
        Ok(())
    }
}

/// An answer that is streamed and kept: its caller may go, and come back for it under its key.
pub(crate) struct Both<'a> {
    pub(crate) stream: &'a mut Stream,
    pub(crate) collect: &'a mut Collect,
}

impl Sink for Both<'_> {
    fn deliver(&mut self, frame: &TokenFrame) -> Result<(), CallerGone> {
        let _ = self.stream.deliver(frame);
        self.collect.deliver(frame)
    }

    fn idle(&mut self) -> Result<(), CallerGone> {
        let _ = self.stream.idle();
        Ok(())
    }
}
