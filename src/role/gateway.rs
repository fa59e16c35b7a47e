//! A gateway with its settings followed from the platform.

use std::sync::Arc;

use mgs_gateway::gateway;
use mgs_gateway::gateway::Gateway;
use mgs_platform::http;
use mgs_settings::follow;
use mgs_settings::follow::Follower;
use mgs_settings::follow::NoPeers;

use super::follow::Following;
use crate::error::Error;

/// Settings of the whole role.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// The gateway itself; its settings and readiness are filled in here.
    pub gateway: gateway::Options,
    /// Where the platform is.
    pub platform: http::Options,
    /// How settings are followed.
    pub follow: follow::Options,
}

/// A running gateway and what keeps it up to date.
pub struct Running {
    gateway: Gateway,
    following: Following,
}

impl Running {
    /// Starts the role.
    pub fn start(options: Options) -> Result<Self, Error> {
        let platform = Arc::new(http::Client::new(options.platform));
        let follower = Follower::new(
            options.follow,
            platform.clone(),
            platform,
            Box::new(NoPeers),
        );
        let following = Following::start(follower)?;
        let follower = following.follower().clone();
        let gateway = gateway::Options {
            settings: follower.holder().clone(),
            ready: Arc::new(move || follower.ready()),
            ..options.gateway
        };
        let gateway = Gateway::start(gateway).map_err(|error| Error::Failed(error.to_string()))?;
        Ok(Self { gateway, following })
    }

    /// The gateway.
    pub fn gateway(&self) -> &Gateway {
        &self.gateway
    }

    /// Version of the settings in force.
    pub fn settings_version(&self) -> u64 {
        self.following.follower().holder().version()
    }
}
