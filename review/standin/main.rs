//! Stand-ins for the platform around `marigoldstage relay`, and the cases that use them.
//!
//! `standin CASE FOLDER` runs a case and writes `FOLDER/record.txt`. It exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case couldn't run. With `TROUBLE=0` in the environment the disruption is left out.

mod http;
mod relay;
mod silent_channel;
mod silent_store;
mod slow_body;
mod slow_reader;
mod store;
mod unframed_crash;

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// What a case saw.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("a record");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Writes a line with its time in milliseconds since the start of the case.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let at_ms = at.saturating_duration_since(self.start).as_micros() as f64 / 1e3;
        let _ = writeln!(self.file.lock().unwrap(), "{at_ms:10.1} {text}");
    }
}

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments[1] == "worker" {
        return unframed_crash::serve_worker(&arguments[2], &arguments[3]);
    }
    let (case, folder) = (arguments[1].as_str(), PathBuf::from(&arguments[2]));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let scratch = std::env::temp_dir().join(format!("marigoldstage-review-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let record = Record::create(&folder);
    let result = std::panic::catch_unwind(|| match case {
        "silent-channel" => silent_channel::run(&record, &scratch, has_trouble),
        "unframed-crash" => unframed_crash::run(&record, &scratch, has_trouble),
        "silent-store" => silent_store::run(&record, &scratch, has_trouble),
        "slow-body" => slow_body::run(&record, &scratch, has_trouble),
        "slow-reader" => slow_reader::run(&record, &scratch, has_trouble),
        _ => panic!("no such case: {case}"),
    });
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    std::process::exit(match result {
        Ok(Outcome::Held) => 0,
        Ok(Outcome::Broken) => 1,
        Err(_) => 2,
    });
}
