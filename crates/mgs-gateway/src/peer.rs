//! What a gateway answers to other gateways.

use std::sync::Arc;

use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::LimitLease;
use mgs_schema::wire::LimitLeaseRequest;
use mgs_schema::wire::Pong;
use mgs_schema::wire::Welcome;
use mgs_transport::server::Handler;
use mgs_transport::server::Incoming;

use crate::core::Core;
use crate::duty::links::Links;
use crate::duty::shares::Home;

/// The gateway as other gateways see it.
pub(crate) struct Peers {
    pub(crate) core: Arc<Core>,
    /// The live gateways and the shares granted here, if there is a platform.
    pub(crate) shares: Option<(Arc<Links>, Arc<Home>)>,
}

impl Handler for Peers {
    fn handle(&self, incoming: Incoming) {
        let answer = match &incoming.body {
            Body::Ping(ping) => Some(Body::Pong(Pong { nonce: ping.nonce })),
            Body::Hello(_) => Some(Body::Welcome(self.welcome())),
            Body::SettingsRequest(request) if self.core.has_settings() => {
                Some(Body::SettingsReply(self.core.settings.answer(request)))
            }
            Body::LimitLeaseRequest(request) => self.lease(request).map(Body::LimitLease),
            _ => None,
        };
        // A call that isn't answered ends without a message; its caller must do without.
        let Some(answer) = answer else {
            return;
        };
        if incoming.reply.send(answer).is_err() {
            log::debug!("the calling gateway has gone");
        }
    }
}

impl Peers {
    fn welcome(&self) -> Welcome {
        Welcome {
            incarnation: self.core.incarnation,
            process: self.core.options.name.clone(),
            settings_version: self.core.settings.version(),
            zone: self.core.options.zone.clone(),
        }
    }

    fn lease(&self, request: &LimitLeaseRequest) -> Option<LimitLease> {
        let (links, home) = self.shares.as_ref()?;
        home.lease(&self.core, links, request)
    }
}
