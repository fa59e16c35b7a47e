//! `marigoldstage relay` as a process.

#![allow(dead_code, reason = "each test file uses a part")]

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Stdio;
use std::thread;

use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;

use crate::common::marigoldstage;
use crate::common::ports::free_ports;
use crate::common::wait_until;
use crate::standin::client::read_response;
use crate::standin::store::Store;

/// A running relay process, with its client and readiness addresses and its settings file.
pub(crate) struct Relay {
    pub(crate) child: Child,
    pub(crate) client_address: SocketAddr,
    readiness_address: SocketAddr,
    pub(crate) settings: PathBuf,
}

impl Drop for Relay {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Settings with these ports for clients, readiness, peers and metrics.
pub(crate) fn settings(ports: [u16; 4], store: SocketAddr) -> String {
    let [client, ready, peer, metrics] = ports;
    format!(
        "nodeName = \"front-1\"\nzone = \"north\"\nip = \"127.0.0.1\"\n\
         internalPortRange = [{peer}, {metrics}]\nseedNodes = []\n\
         [listen]\nfront = \"127.0.0.1:{client}\"\nready = \"127.0.0.1:{ready}\"\n\
         [bounds]\ngraceS = 8\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n\
         budgetExtraRetries = 100\n[platformSettings]\naddress = \"{store}\"\n"
    )
}

impl Relay {
    /// Starts a relay. Retries with other ports if another process took one before the relay bound it.
    pub(crate) fn start(store: &Store) -> Self {
        Self::start_with(store, "")
    }

    /// Starts a relay with further lines in its settings.
    pub(crate) fn start_with(store: &Store, further_settings: &str) -> Self {
        const ATTEMPTS: usize = 5;
        for _ in 0..ATTEMPTS {
            if let Some(relay) = Self::try_start(store, further_settings) {
                return relay;
            }
        }
        panic!("no free ports");
    }

    fn try_start(store: &Store, further_settings: &str) -> Option<Self> {
        let ports = free_ports::<4>();
        let file = format!(
            "marigoldstage-relay-{}-{}.toml",
            std::process::id(),
            ports[0]
        );
        let path = std::env::temp_dir().join(file);
        let text = settings(ports, store.address) + further_settings;
        std::fs::write(&path, text).expect("a temporary file");
        let child = marigoldstage()
            .arg("relay")
            .args(["--metrics-port", &ports[3].to_string()])
            .env("MARIGOLDSTAGE_BOOT", &path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program");
        let mut relay = Self {
            child,
            client_address: SocketAddr::from(([127, 0, 0, 1], ports[0])),
            readiness_address: SocketAddr::from(([127, 0, 0, 1], ports[1])),
            settings: path,
        };
        let mut has_ended = false;
        wait_until("readiness", || {
            has_ended = relay.child.try_wait().expect("a state").is_some();
            has_ended || relay.readiness() == 200
        });
        (!has_ended).then_some(relay)
    }

    /// Status that the load balancer gets from the readiness check; 0 without a response.
    pub(crate) fn readiness(&self) -> u16 {
        let Ok(mut stream) = TcpStream::connect(self.readiness_address) else {
            return 0;
        };
        let text = "GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        match stream.write_all(text.as_bytes()) {
            Ok(()) => read_response(&mut stream).status,
            Err(_) => 0,
        }
    }

    /// Reads the log and throws it away, since a process whose log nobody reads stops when the pipe is full.
    pub(crate) fn discard_log(&mut self) {
        let mut log = self.child.stdout.take().expect("a log that nobody reads");
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("a running process");
    }
}
