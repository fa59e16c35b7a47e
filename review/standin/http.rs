//! Minimal HTTP/1.1 for the stand-ins: messages with a length, with chunks, or ended by their connection.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether its body arrived to its end.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Path of a request, with its query.
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with what was read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> Option<Self> {
        TcpStream::connect_timeout(&address, timeout).ok().map(Self::new)
    }

    /// Reads more bytes; returns whether there were any.
    fn fill(&mut self) -> bool {
        let mut buffer = [0; 16 * 1024];
        match self.stream.read(&mut buffer) {
            Ok(0) | Err(_) => false,
            Ok(length) => {
                self.ahead.extend_from_slice(&buffer[..length]);
                true
            }
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 2);
                return Some(line);
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn take(&mut self, length: usize, body: &mut Vec<u8>) -> bool {
        while self.ahead.len() < length {
            if !self.fill() {
                body.append(&mut self.ahead);
                return false;
            }
        }
        body.extend(self.ahead.drain(..length));
        true
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> Option<Message> {
        let start_line = self.line()?;
        let mut message = Message { start_line, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(message);
            }
            let (name, value) = line.split_once(':')?;
            message.headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }

    /// Reads the body of a message whose head was read.
    pub fn read_body(&mut self, message: &mut Message, is_response: bool) {
        let mut body = Vec::new();
        let is_chunked = message.header("transfer-encoding").is_some();
        let length = message.header("content-length").and_then(|length| length.parse().ok());
        message.is_complete = match (is_chunked, length) {
            (true, _) => self.read_chunks(&mut body),
            (false, Some(length)) => self.take(length, &mut body),
            (false, None) if is_response => {
                while self.fill() {}
                body.append(&mut self.ahead);
                true
            }
            (false, None) => true,
        };
        message.body = body;
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(line) = self.line() else { return false };
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return false };
            if length == 0 {
                return self.line().is_some();
            }
            if !self.take(length, body) || self.line().is_none() {
                return false;
            }
        }
    }

    /// Reads a request with its body.
    pub fn read_request(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message, false);
        Some(message).filter(|message| message.is_complete)
    }

    /// Reads a response with its body; `None` if the connection ended before its head.
    pub fn read_response(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message, true);
        Some(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}
