//! Durable requests over real processes: a gateway is killed, and another one finishes its work.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::cluster::endpoint;
use common::cluster::start_sidecar;
use common::cluster::write_table;
use common::cluster::ANY_PORT;
use common::cluster::KEY;
use common::process::Process;
use common::wait_at_most;
use mgs_schema::settings::EndpointKind;
use mgs_standin::platform;
use mgs_standin::platform::Platform;
use mgs_standin::service;
use mgs_standin::service::Service;
use serde_json::Value;

const LIMIT: Duration = Duration::from_secs(90);

/// Requests under way when the gateway is killed.
const REQUESTS: usize = 8;

struct Cluster {
    service: Service,
    gateways: Vec<(Process, SocketAddr)>,
    _platform: Platform,
    _sidecar: Process,
}

impl Cluster {
    /// A plain service whose calls take so long, its sidecar, and two gateways.
    fn start(delay_ms: u64) -> Self {
        let platform = Platform::start(platform::Options::default()).unwrap();
        let options = service::Options {
            delay_ms,
            ..service::Options::default()
        };
        let service = Service::start(options).unwrap();
        let (sidecar, at) = start_sidecar("orders-1", "service", &service.url(), &platform.url());
        let row = endpoint("orders-1", EndpointKind::Service, at, "orders");
        write_table(&platform.url(), &[row]);
        let gateway = |name: &str| {
            let url = platform.url();
            let listen = ["--listen", ANY_PORT, "--peer-listen", ANY_PORT];
            let others = ["--admin", ANY_PORT, "--platform", &url, "--name", name];
            Process::role("gateway", &[&listen[..], &others[..]].concat())
        };
        let gateways = vec![gateway("gateway-1"), gateway("gateway-2")];
        Self {
            service,
            gateways,
            _platform: platform,
            _sidecar: sidecar,
        }
    }

    /// Submits a durable order; its path, once a gateway answers 202.
    fn submit(&self, gateway: usize, order: &str) -> String {
        let address = self.gateways[gateway].1;
        let mut path = None;
        wait_at_most(LIMIT, "a 202", || {
            let response = attohttpc::post(format!("http://{address}/services/orders/confirm"))
                .bearer_auth(KEY)
                .header("Prefer", "respond-async")
                .header("Idempotency-Key", order)
                .text(order)
                .send()
                .unwrap();
            if response.status().as_u16() != 202 {
                return false;
            }
            let accepted: Value = response.json().unwrap();
            path = accepted["status_url"].as_str().map(String::from);
            true
        });
        path.expect("a 202 names the request")
    }

    fn state(&self, gateway: usize, path: &str) -> Value {
        let address = self.gateways[gateway].1;
        let response = attohttpc::get(format!("http://{address}{path}")).bearer_auth(KEY);
        response.send().unwrap().json().unwrap_or_default()
    }

    fn runs_of(&self, order: &str) -> usize {
        let executions = self.service.executions();
        executions.iter().filter(|run| run.body == order).count()
    }
}

#[test]
fn a_killed_gateways_requests_are_finished_by_another_once_each() {
    let mut cluster = Cluster::start(3_000);
    let orders: Vec<String> = (0..REQUESTS)
        .map(|number| format!("order-{number}"))
        .collect();
    let paths: Vec<String> = orders
        .iter()
        .map(|order| cluster.submit(0, order))
        .collect();
    wait_at_most(LIMIT, "a run", || !cluster.service.executions().is_empty());
    drop(cluster.gateways.remove(0));
    for path in &paths {
        wait_at_most(LIMIT, "its end", || {
            cluster.state(0, path)["state"] == "answered"
        });
    }
    for order in &orders {
        assert_eq!(cluster.runs_of(order), 1, "{order}");
    }
}
