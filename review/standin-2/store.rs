//! The platform's store, as PROTOCOL.md tells it: rows, the feed of changes, and transactions.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::json::Json;

type RowId = (String, String);

#[derive(Debug)]
struct Change {
    id: RowId,
    /// In base64; `None` for a removal.
    value: Option<String>,
    ver: u64,
}

#[derive(Debug, Default)]
struct State {
    ver: u64,
    rows: BTreeMap<RowId, (String, u64)>,
    changes: Vec<Change>,
}

/// Time for an answer, as the sheets tell it.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Bytes that pass a narrow link at once.
const PART_BYTES: usize = 4_096;

#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    /// Width of the link of each entry host, in bytes per second; `None` if answers pass at once.
    link_bytes_per_s: Option<f64>,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        Self::start_behind(None)
    }

    /// Starts a store whose callers have links of this width, in bytes per second.
    pub fn start_behind(link_bytes_per_s: Option<f64>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            link_bytes_per_s,
            state: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, table: &str, key: &str, content: &str) {
        self.write(table, key, Some(encode_base64(content.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state.0.lock().expect("no panic");
        let of_table = state.rows.keys().filter(|(of, _)| of == table);
        of_table.map(|(_, key)| key.clone()).collect()
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state.0.lock().expect("no panic");
        let id = (table.to_string(), key.to_string());
        if value.is_none() && !state.rows.contains_key(&id) {
            return;
        }
        state.ver += 1;
        let ver = state.ver;
        match &value {
            Some(value) => state.rows.insert(id.clone(), (value.clone(), ver)),
            None => state.rows.remove(&id),
        };
        state.changes.push(Change { id, value, ver });
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        while let Some(call) = http::read(&mut reader) {
            let target = call.start_line.split(' ').nth(1).unwrap_or_default();
            let (status, body) = self.answer(target, &call.body);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            thread::sleep(ANSWER_TIME);
            if self.send(&mut stream, (head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Sends an answer at the speed of the caller's link.
    fn send(&self, stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
        for part in bytes.chunks(PART_BYTES) {
            stream.write_all(part)?;
            if let Some(bytes_per_s) = self.link_bytes_per_s {
                thread::sleep(Duration::from_secs_f64(part.len() as f64 / bytes_per_s));
            }
        }
        Ok(())
    }

    fn answer(&self, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map_or("", |(_, v)| v)
        };
        match path {
            "/rows-get" => (200, self.rows(parameter("table"))),
            "/rows-feed" => {
                let number = |name: &str| parameter(name).parse().unwrap_or(0);
                let wait = Duration::from_millis(number("waitMs"));
                (200, self.feed(parameter("table"), number("afterRevision"), wait))
            }
            "/rows-tx" => {
                self.transact(body);
                let ver = self.state.0.lock().expect("no panic").ver;
                (200, format!("{{\"ver\":{ver},\"nowMs\":0}}"))
            }
            _ => (404, "{}".to_string()),
        }
    }

    fn rows(&self, table: &str) -> String {
        let state = self.state.0.lock().expect("no panic");
        let of_table = state.rows.iter().filter(|((of, _), _)| of == table);
        let rows = of_table.map(|(id, (value, ver))| row_text(id, Some(value), *ver));
        page(rows.collect(), state.ver)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let (state, changed) = &*self.state;
        let newer = |state: &State| -> Vec<String> {
            let of_table = state.changes.iter().filter(|change| change.id.0 == table);
            let newer = of_table.filter(|change| change.ver > after);
            newer.map(|c| row_text(&c.id, c.value.as_ref(), c.ver)).collect()
        };
        let guard = state.lock().expect("no panic");
        let waited = changed.wait_timeout_while(guard, wait, |state| newer(state).is_empty());
        let (state, _) = waited.expect("no panic");
        page(newer(&state), state.ver)
    }

    fn transact(&self, body: &[u8]) {
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return;
        };
        let list = |name: &str| call.field(name).map_or(&[][..], Json::list).to_vec();
        let text = |row: &Json, name: &str| row.field(name).map_or("", Json::text).to_string();
        for row in list("put") {
            self.write(&text(&row, "table"), &text(&row, "key"), Some(text(&row, "value")));
        }
        for row in list("remove") {
            self.write(&text(&row, "table"), &text(&row, "key"), None);
        }
    }
}

fn row_text((table, key): &RowId, value: Option<&String>, ver: u64) -> String {
    let content = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".to_string(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{content},\"ver\":{ver}}}")
}

fn page(rows: Vec<String>, ver: u64) -> String {
    let rows = rows.join(",");
    format!("{{\"rows\":[{rows}],\"hasMore\":false,\"ver\":{ver},\"nowMs\":0}}")
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            match digit <= group.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
