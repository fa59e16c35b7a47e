//! Reads HTTP/1.1 messages.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::TcpStream;

#[derive(Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message whose body has a length or chunks; `None` if the connection ends before it does.
pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message {
        start_line: line(reader)?,
        ..Message::default()
    };
    loop {
        let line = line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let header = (name.to_ascii_lowercase(), value.trim().to_string());
        message.headers.push(header);
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(line(reader)?.trim(), 16).ok()?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            message.body.extend(chunk);
            line(reader)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        message.body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

fn line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(length) if length > 0 => Some(line.trim_end().to_string()),
        _ => None,
    }
}
