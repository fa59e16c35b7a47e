//! What a gateway does beside serving callers, each on a thread of its own, when it has a platform:
//! it follows the settings, holds its name, shares limits with the other gateways, says what is in
//! force, reads the list of hosts, and may be the controller.

mod confirm;
mod control;
mod counts;
pub(crate) mod demand;
mod hosts;
pub(crate) mod links;
mod member;
mod settings;
pub(crate) mod shares;

use std::fmt;
use std::io;
use std::sync::Arc;

use mgs_platform::host::Hosts;
use mgs_platform::http;
use mgs_platform::object::Objects;
use mgs_platform::table::Table;
use mgs_platform::weight::Weights;
use mgs_settings::follow::Follower;

use crate::core::Core;
use crate::duty::links::Links;
use crate::duty::shares::Home;

/// The platform's services.
#[derive(Clone)]
pub struct Platform {
    /// Transactional table service.
    pub table: Arc<dyn Table>,
    /// Object store.
    pub objects: Arc<dyn Objects>,
    /// Weight store.
    pub weights: Arc<dyn Weights>,
    /// List of hosts.
    pub hosts: Arc<dyn Hosts>,
}

impl Platform {
    /// All services over HTTP.
    ///
    /// ```
    /// use mgs_gateway::duty::Platform;
    /// use mgs_platform::http;
    ///
    /// let platform = Platform::over_http(http::Options::default());
    /// ```
    pub fn over_http(options: http::Options) -> Self {
        let client = Arc::new(http::Client::new(options));
        Self {
            table: client.clone(),
            objects: client.clone(),
            weights: client.clone(),
            hosts: client,
        }
    }
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Platform").finish_non_exhaustive()
    }
}

/// What the duties share.
pub(crate) struct Duties {
    pub(crate) core: Arc<Core>,
    pub(crate) platform: Platform,
    pub(crate) follower: Arc<Follower>,
    pub(crate) links: Arc<Links>,
    pub(crate) home: Arc<Home>,
    /// Where other gateways reach this one.
    pub(crate) peer_address: String,
}

/// Starts all duties.
pub(crate) fn start(duties: Duties) -> io::Result<()> {
    let duties = Arc::new(duties);
    spawn("follow", &duties, settings::run)?;
    spawn("member", &duties, member::run)?;
    spawn("shares", &duties, shares::run)?;
    spawn("confirm", &duties, confirm::run)?;
    spawn("counts", &duties, counts::run)?;
    spawn("hosts", &duties, hosts::run)?;
    if duties.core.options.control {
        spawn("control", &duties, control::run)?;
    }
    Ok(())
}

fn spawn(name: &str, duties: &Arc<Duties>, run: fn(&Arc<Duties>)) -> io::Result<()> {
    let duties = duties.clone();
    std::thread::Builder::new()
        .name(name.to_string())
        .spawn(move || run(&duties))
        .map(drop)
}
