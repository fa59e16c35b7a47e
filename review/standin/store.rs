//! The platform's metadata store: rows with revisions, full reads, a change feed and unconditional transactions.
//!
//! Its open connections can be made silent: calls on them are read and never answered, while calls on new connections are.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;

struct Change {
    table: String,
    key: String,
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct State {
    ver: u64,
    rows: BTreeMap<(String, String), (String, u64)>,
    changes: Vec<Change>,
    /// Connections of earlier generations get no answer.
    generation: u64,
    /// Times and targets of the calls.
    calls: Vec<(Instant, String)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self { address, state: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        store
    }

    fn update(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.0.lock().unwrap());
        self.state.1.notify_all();
    }

    /// Writes a row, or removes it; returns when the store has accepted it.
    pub fn write(&self, table: &str, key: &str, content: Option<&str>) -> Instant {
        let value = content.map(|content| encode_base64(content.as_bytes()));
        self.write_value(table, key, value);
        Instant::now()
    }

    fn write_value(&self, table: &str, key: &str, value: Option<String>) {
        let row_id = (table.to_string(), key.to_string());
        self.update(|state| {
            state.ver += 1;
            let ver = state.ver;
            match &value {
                Some(value) => state.rows.insert(row_id.clone(), (value.clone(), ver)),
                None => state.rows.remove(&row_id),
            };
            state.changes.push(Change { table: row_id.0, key: row_id.1, value, ver });
        });
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence_connections(&self) {
        self.update(|state| state.generation += 1);
    }

    /// Targets of the calls that arrived after `since`.
    pub fn targets_since(&self, since: Instant) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        let later = state.calls.iter().filter(|(at, _)| *at > since);
        later.map(|(_, target)| target.clone()).collect()
    }

    fn serve(&self, stream: TcpStream) {
        let own_generation = self.state.0.lock().unwrap().generation;
        let mut connection = Connection::new(stream);
        while let Some(call) = connection.read_request() {
            let target = call.target().to_string();
            self.update(|state| state.calls.push((Instant::now(), target.clone())));
            let (status, body) = self.respond(&target, &call.body);
            if self.state.0.lock().unwrap().generation > own_generation {
                continue;
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if !connection.write((head + &body).as_bytes()) {
                return;
            }
        }
    }

    fn respond(&self, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value).to_string()
        };
        match path {
            "/rows-get" => (200, self.read(&parameter("table"))),
            "/rows-feed" => {
                let after = parameter("afterRevision").parse().unwrap_or(0);
                let wait_ms = parameter("waitMs").parse().unwrap_or(0);
                (200, self.feed(&parameter("table"), after, wait_ms))
            }
            "/rows-tx" => {
                let body = String::from_utf8_lossy(body).into_owned();
                let (puts, removes) = body.split_once("\"remove\"").unwrap_or((&body, ""));
                for row in objects(puts) {
                    self.write_value(&text(row, "table"), &text(row, "key"), Some(text(row, "value")));
                }
                for row in objects(removes) {
                    self.write_value(&text(row, "table"), &text(row, "key"), None);
                }
                let ver = self.state.0.lock().unwrap().ver;
                (200, format!("{{\"ver\":{ver},\"nowMs\":0}}"))
            }
            _ => (404, "{}".to_string()),
        }
    }

    fn read(&self, table: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let rows = state.rows.iter().filter(|((row_table, _), _)| row_table == table);
        let rows: Vec<String> = rows
            .map(|((_, key), (value, ver))| row(table, key, Some(value), *ver))
            .collect();
        format!("{{\"rows\":[{}],\"hasMore\":false,\"ver\":{},\"nowMs\":0}}", rows.join(","), state.ver)
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> String {
        let newer = |state: &State| -> Vec<String> {
            let newer = state.changes.iter().filter(|change| change.ver > after && change.table == table);
            newer.map(|change| row(table, &change.key, change.value.as_deref(), change.ver)).collect()
        };
        let state = self.state.0.lock().unwrap();
        let wait = Duration::from_millis(wait_ms);
        let (state, _) = self.state.1.wait_timeout_while(state, wait, |state| newer(state).is_empty()).unwrap();
        format!("{{\"rows\":[{}],\"ver\":{},\"nowMs\":0}}", newer(&state).join(","), state.ver)
    }
}

fn row(table: &str, key: &str, value: Option<&str>, ver: u64) -> String {
    let content = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".to_string(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{content},\"ver\":{ver}}}")
}

/// The innermost objects of a JSON text without braces in its strings.
fn objects(json: &str) -> Vec<&str> {
    let starts = json.split('{').skip(1);
    starts.filter_map(|rest| rest.split_once('}')).map(|(object, _)| object).collect()
}

/// A text of such an object.
fn text(object: &str, name: &str) -> String {
    let mark = format!("\"{name}\":\"");
    let rest = object.split_once(&mark).map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or("").to_string()
}

fn encode_base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for at in 0..4 {
            let digit = (bits >> (18 - 6 * at)) & 63;
            encoded.push(if at > group.len() { '=' } else { ALPHABET[digit as usize] as char });
        }
    }
    encoded
}
