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

use crate::common::addresses::own_addresses;
use crate::common::marigoldstage;
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

/// Settings with these addresses, of one host, for clients, readiness, peers and metrics.
pub(crate) fn settings(addresses: [SocketAddr; 4], store: SocketAddr) -> String {
    let [client, ready, peer, metrics] = addresses;
    let (ip, peer_port, metrics_port) = (peer.ip(), peer.port(), metrics.port());
    format!(
        "nodeName = \"front-1\"\nzone = \"north\"\nip = \"{ip}\"\n\
         internalPortRange = [{peer_port}, {metrics_port}]\nseedNodes = []\n\
         [listen]\nfront = \"{client}\"\nready = \"{ready}\"\n\
         [bounds]\ngraceS = 8\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n\
         budgetExtraRetries = 100\n[platformSettings]\naddress = \"{store}\"\n"
    )
}

impl Relay {
    /// Starts a relay, and waits until it is ready.
    pub(crate) fn start(store: &Store) -> Self {
        Self::start_with(store, "")
    }

    /// Starts a relay with further lines in its settings, and waits until it is ready.
    pub(crate) fn start_with(store: &Store, further_settings: &str) -> Self {
        let addresses = own_addresses();
        let [client_address, readiness_address, _, metrics_address] = addresses;
        let file = format!(
            "marigoldstage-relay-{}-{}.toml",
            std::process::id(),
            client_address.port()
        );
        let path = std::env::temp_dir().join(file);
        let text = settings(addresses, store.address) + further_settings;
        std::fs::write(&path, text).expect("a temporary file");
        let child = marigoldstage()
            .arg("relay")
            .args(["--metrics-port", &metrics_address.port().to_string()])
            .env("MARIGOLDSTAGE_BOOT", &path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program");
        let mut relay = Self {
            child,
            client_address,
            readiness_address,
            settings: path,
        };
        wait_until("readiness", || {
            let ended = relay.child.try_wait().expect("a state");
            assert_eq!(ended, None, "it ended before it was ready");
            relay.readiness() == 200
        });
        relay
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
