//! Relays as separate processes, started with the command of the deploy file, and their clients.

use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::store::Store;

/// The deployment whose settings the relays get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Site {
    RactBrasov,
    /// Its smallest entry hosts.
    DarVozilaGrown,
}

impl Site {
    /// Limits and bounds of the settings, as far as the two differ.
    fn limits(self) -> &'static str {
        match self {
            Self::RactBrasov => {
                "[limits]\ncpuShare = 0.19\ncpuCores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n\
                 [bounds]\nstableWindowMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\nconfigApplyMs = 2000\n\
                 stretchMaxMs = 5000\nbudgetExtraRetries = 104\nrecoveryS = 12\npassMs = 120\n"
            }
            Self::DarVozilaGrown => {
                "[limits]\ncpuShare = 0.063\ncpuCores = 1\nmemoryMb = 112\nmaxFds = 2870\nlinkMbps = 14.0\ndiskMb = 0\n\
                 [bounds]\nstableWindowMs = 4000\nackMs = 6000\ncatchUpS = 6\ndrainMs = 3000\nconfigApplyMs = 3000\n\
                 stretchMaxMs = 6000\nbudgetExtraRetries = 218\nrecoveryS = 15\npassMs = 200\n"
            }
        }
    }
}

/// Entry hosts of the deployment.
const RELAYS: u8 = 3;

/// Ports of a host: for clients, for readiness, and the first for connections between hosts.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    front: u16,
    ready: u16,
    internal: u16,
}

pub struct Relay {
    child: Child,
    front: SocketAddr,
    ready: SocketAddr,
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn host_ip(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 9, 11 + index)
}

/// Ports that are free on all hosts.
pub fn free_ports() -> Ports {
    loop {
        let mut held = Vec::new();
        let mut free = || -> Option<u16> {
            let first = TcpListener::bind((host_ip(0), 0)).ok()?;
            let port = first.local_addr().ok()?.port();
            held.push(first);
            for index in 1..RELAYS {
                held.push(TcpListener::bind((host_ip(index), port)).ok()?);
            }
            for index in 0..RELAYS {
                UdpSocket::bind((host_ip(index), port)).ok()?;
            }
            Some(port)
        };
        if let (Some(front), Some(ready), Some(internal)) = (free(), free(), free()) {
            return Ports { front, ready, internal };
        }
    }
}

fn settings(index: u8, ports: Ports, store: &Store, site: Site) -> String {
    let ip = host_ip(index);
    let Ports { front, ready, internal } = ports;
    let seeds: Vec<String> = (0..RELAYS).map(|i| format!("\"{}:{ready}\"", host_ip(i))).collect();
    format!(
        "nodeName = \"front-hala-nord-{index}\"\nrole = \"gateway\"\nmachineClass = \"front\"\n\
         serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"hala-nord\"\nregion = \"brasov\"\n\
         internalPortRange = [{internal},{internal}]\nseedNodes = [{}]\ninitialBoot = true\n\
         faultCounted = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"spans\"]\n\
         [zones]\nhala-nord = \"brasov\"\n\
         [listen]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
         [faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n{}\
         seedLagS = 3\naddrReuseS = 2\ngraceS = 8\nlossSlackMs = 200\nrollbackSlackMs = 250\n\
         revokeStrict = false\nrevokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryAfterS = 0\n\
         [platformSettings]\naddress = \"{}\"\nform = \"table\"\nwritesPerS = 400\nreadsPerS = 2000\n\
         txMs = 3.0\npartitionWritesS = 300\nrowBytes = 65536\nacross = true\nhistoryS = 20\n",
        seeds.join(","),
        site.limits(),
        store.address
    )
}

/// Starts the relays of the deployment at free ports and waits until they are ready.
pub fn start(store: &Store, folder: &Path, site: Site) -> Option<Vec<Relay>> {
    start_at(free_ports(), store, folder, site)
}

/// Starts the relays at these ports and waits until they are ready.
pub fn start_at(
    ports: Ports,
    store: &Store,
    folder: &Path,
    site: Site,
) -> Option<Vec<Relay>> {
    let mut relays = Vec::new();
    for index in 0..RELAYS {
        let path = folder.join(format!("settings-{index}.toml"));
        std::fs::write(&path, settings(index, ports, store, site)).ok()?;
        let log = std::fs::File::create(folder.join(format!("relay-{index}.log"))).ok()?;
        let child = Command::new("target/release/marigoldstage")
            .arg("relay")
            .env("MARIGOLDSTAGE_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        relays.push(Relay {
            child,
            front: SocketAddr::from((host_ip(index), ports.front)),
            ready: SocketAddr::from((host_ip(index), ports.ready)),
        });
    }
    let until = Instant::now() + Duration::from_secs(10);
    while !relays.iter().all(|relay| get(relay.ready, "/readiness", "none") == 200) {
        if Instant::now() > until {
            return None;
        }
        thread::sleep(Duration::from_millis(50));
    }
    Some(relays)
}

/// Sends a request on a new channel; returns the status of the answer, or 0 without one.
fn get(address: SocketAddr, path: &str, id: &str) -> u16 {
    call(address, "GET", path, id)
}

/// As [`get`], with another method.
fn call(address: SocketAddr, method: &str, path: &str, id: &str) -> u16 {
    let timeout = Duration::from_secs(2);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(timeout));
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    if stream.write_all(text.as_bytes()).is_err() {
        return 0;
    }
    let response = http::read(&mut BufReader::new(stream));
    response.map_or(0, |response| response.status())
}

/// Sends a request for a path to a relay; returns the status of the answer, or 0 without one.
pub fn request(relay: &Relay, path: &str, id: &str) -> u16 {
    get(relay.front, path, id)
}

/// Sends a request straight to a worker; returns the status of the answer, or 0 without one.
pub fn ask_worker(address: SocketAddr, id: &str) -> u16 {
    get(address, "/probe/1", id)
}

/// Sends a request that may run once at most to a relay; returns the status of the answer, or 0 without one.
pub fn post(relay: &Relay, path: &str, id: &str) -> u16 {
    call(relay.front, "POST", path, id)
}
