//! Starts `marigoldstage relay` as the deploy file does, on a loopback address of its own, and ends it.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;

pub struct Relay {
    pub child: Child,
    pub client: SocketAddr,
    pub ready: SocketAddr,
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A loopback network of this run, such as `127.91.7`, so that runs don't share addresses.
pub fn network() -> String {
    let id = std::process::id();
    format!("127.{}.{}", 64 + id / 250 % 128, 1 + id % 250)
}

/// Ports that were free at the same time.
fn free_ports<const N: usize>(ip: &str) -> [u16; N] {
    let listeners = [(); N].map(|()| TcpListener::bind((ip, 0)).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address").port())
}

/// Settings that differ between deployments.
pub struct Site {
    region: &'static str,
    limits: &'static str,
    bounds: &'static str,
}

/// ract-brasov.
const SMALL: Site = Site {
    region: "brasov",
    limits: "cpuShare = 0.19\ncpuCores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n",
    bounds: "stableWindowMs = 3000\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n\
             rollbackSlackMs = 250\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtraRetries = 104\nrecoveryS = 12\n\
             passMs = 120\nstall_ms = 1500\nholdMaxMs = 20000\nfreeMs = 4000\nidleMaxMs = 9000\n",
};

/// dar-vozila-grown, with the limits of its larger hosts.
pub const SLOW_READERS: Site = Site {
    region: "hr-kontinent",
    limits: "cpuShare = 0.5\ncpuCores = 1\nmemoryMb = 512\nmaxFds = 8192\nlinkMbps = 200.0\ndiskMb = 0\n",
    bounds: "stableWindowMs = 4000\ndrainMs = 3000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 3000\n\
             rollbackSlackMs = 250\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtraRetries = 218\nrecoveryS = 15\n\
             passMs = 200\nstall_ms = 1500\nholdMaxMs = 20000\nfreeMs = 4000\nidleMaxMs = 9000\n",
};

impl Relay {
    /// Starts the relay of one host of ract-brasov and waits until it reports that it is ready.
    pub fn start(folder: &Path, name: &str, zone: &str, ip: &str, peers: &[String], store: SocketAddr) -> Self {
        Self::start_at(&SMALL, folder, name, zone, ip, peers, store)
    }

    /// Starts the relay of one host of a deployment and waits until it reports that it is ready.
    pub fn start_at(site: &Site, folder: &Path, name: &str, zone: &str, ip: &str, peers: &[String], store: SocketAddr) -> Self {
        let Site { region, limits, bounds } = site;
        let [client, ready, control] = free_ports(ip);
        let peer = 7340;
        let seeds: Vec<String> = peers.iter().map(|ip| format!("\"{ip}:{control}\"")).collect();
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"gateway\"\nmachineClass = \"front\"\nserves = [\"front\",\"control\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\ninternalPortRange = [{peer},{}]\n\
             seedNodes = [{}]\ninitialBoot = true\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"spans\"]\n\
             [listen]\nfront = \"{ip}:{client}\"\nready = \"{ip}:{ready}\"\ncontrol = \"{ip}:{control}\"\n\
             [limits]\n{limits}[bounds]\n{bounds}\
             [platformSettings]\naddress = \"{store}\"\nform = \"table\"\nwritesPerS = 400\nreadsPerS = 2000\n",
            peer + 15,
            seeds.join(",")
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("a settings file");
        let log = std::fs::File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new("target/release/marigoldstage")
            .arg("relay")
            .env("MARIGOLDSTAGE_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the relay");
        let address = |port| SocketAddr::new(ip.parse().expect("an address"), port);
        let mut relay = Self { child, client: address(client), ready: address(ready) };
        let start = Instant::now();
        while relay.readiness() != 200 {
            let ended = relay.child.try_wait().expect("a state");
            assert!(ended.is_none(), "{name} has ended: {ended:?}");
            assert!(start.elapsed() < Duration::from_secs(10), "{name} isn't ready");
            std::thread::sleep(Duration::from_millis(20));
        }
        relay
    }

    /// Status of the readiness check; 0 without a response.
    pub fn readiness(&self) -> u16 {
        let Some(mut connection) = Connection::open(self.ready, Duration::from_millis(500)) else {
            return 0;
        };
        connection.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        connection.read_response().map_or(0, |response| response.status())
    }
}
