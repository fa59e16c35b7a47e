//! The host of a gateway: its settings file, its path to the store and its process.

use std::fs::File;
use std::path::PathBuf;
use std::process::Child;
use std::process::Stdio;
use std::time::Instant;

use mgs_testing::proxy::Route;

use crate::cold::COLD_OVERRUN;
use crate::cold::COLD_SLACK;
use crate::common::marigoldstage;
use crate::environment::GATEWAYS;
use crate::retries::BUDGET_WINDOW;
use crate::retries::EXTRA_RETRIES;
use crate::retries::RETRY_RATIO;

/// Grace period of a gateway process after SIGTERM, in seconds.
pub(crate) const GRACE_S: u64 = 8;

/// The host of one gateway; each has an IP address of its own, and `child` is `None` while no process runs.
pub(crate) struct Host {
    pub(crate) number: usize,
    pub(crate) ip: String,
    pub(crate) ports: [u16; 4],
    pub(crate) settings: PathBuf,
    pub(crate) log: PathBuf,
    /// Whether organisations are held to shares when engines are short.
    pub(crate) has_shares: bool,
    pub(crate) store_path: Route,
    pub(crate) child: Option<Child>,
    pub(crate) terminated_at: Option<Instant>,
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails if the process has already ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Host {
    pub(crate) fn write_settings(&self) {
        let seeds: Vec<String> = (0..GATEWAYS)
            .map(|number| format!("\"{}:1\"", ip(number)))
            .collect();
        let [client, ready, peer, metrics] = self.ports;
        let text = format!(
            "nodeName = \"front-{}\"\nzone = \"north\"\nip = \"{ip}\"\n\
             internalPortRange = [{peer}, {metrics}]\nseedNodes = [{}]\n\
             [listen]\nfront = \"{ip}:{client}\"\nready = \"{ip}:{ready}\"\n\
             [bounds]\ngraceS = {GRACE_S}\nretryBudgetRatio = {RETRY_RATIO}\n\
             budgetWindowS = {window_s}\nbudgetExtraRetries = {EXTRA_RETRIES}\n\
             coldOverrun = {COLD_OVERRUN}\ncoldSlack = {COLD_SLACK}\n[platformSettings]\naddress = \"{}\"\n",
            self.number,
            seeds.join(", "),
            self.store_path.address(),
            ip = self.ip,
            window_s = BUDGET_WINDOW.as_secs(),
        );
        std::fs::write(&self.settings, text).expect("a temporary file");
    }

    pub(crate) fn spawn(&self) -> Child {
        let log = File::options().create(true).append(true).open(&self.log);
        marigoldstage()
            .arg("relay")
            .args(["--metrics-port", &self.ports[3].to_string()])
            .args(self.has_shares.then_some("--organisation-shares"))
            .env("MARIGOLDSTAGE_BOOT", &self.settings)
            .stdout(log.expect("a log file"))
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the program")
    }
}

/// IP address of a host.
pub(crate) fn ip(number: usize) -> String {
    format!("127.0.77.{}", number + 1)
}
