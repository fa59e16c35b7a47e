//! Durable requests with real processes: another gateway finishes the requests of a killed one.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::cluster::endpoint_row;
use common::cluster::start_sidecar;
use common::cluster::write_initial_table;
use common::cluster::ANY_PORT;
use common::cluster::API_KEY;
use common::process::Process;
use common::wait_at_most;
use mgs_schema::settings::EndpointKind;
use mgs_standin::platform;
use mgs_standin::platform::Platform;
use mgs_standin::service;
use mgs_standin::service::Service;
use serde_json::Value;

/// Longest time that each expected event may take.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Number of requests in progress when the gateway is killed.
const REQUESTS: usize = 8;

/// A plain service with its sidecar, and the gateways with their client addresses.
struct Cluster {
    service: Service,
    gateways: Vec<(Process, SocketAddr)>,
    _platform: Platform,
    _sidecar: Process,
}

impl Cluster {
    /// Starts a plain service whose calls take `delay_ms`, its sidecar, and two gateways.
    fn start(delay_ms: u64) -> Self {
        let platform = Platform::start(platform::Options::default()).unwrap();
        let options = service::Options {
            delay_ms,
            ..service::Options::default()
        };
        let service = Service::start(options).unwrap();
        let (sidecar, sidecar_address) =
            start_sidecar("orders-1", "service", &service.url(), &platform.url());
        let row = endpoint_row("orders-1", EndpointKind::Service, sidecar_address, "orders");
        write_initial_table(&platform.url(), &[row]);
        let gateway = |name: &str| {
            let url = platform.url();
            let listen_arguments = ["--listen", ANY_PORT, "--peer-listen", ANY_PORT];
            let other_arguments = ["--admin", ANY_PORT, "--platform", &url, "--name", name];
            Process::start_role(
                "gateway",
                &[&listen_arguments[..], &other_arguments[..]].concat(),
            )
        };
        let gateways = vec![gateway("gateway-1"), gateway("gateway-2")];
        Self {
            service,
            gateways,
            _platform: platform,
            _sidecar: sidecar,
        }
    }

    /// Submits a durable request until the gateway responds with 202, and returns its status path.
    fn submit(&self, gateway: usize, order: &str) -> String {
        let address = self.gateways[gateway].1;
        let mut path = None;
        wait_at_most(WAIT_TIMEOUT, "a 202", || {
            let response = attohttpc::post(format!("http://{address}/services/orders/confirm"))
                .bearer_auth(API_KEY)
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

    /// Status document of a request.
    fn state(&self, gateway: usize, path: &str) -> Value {
        let address = self.gateways[gateway].1;
        let response = attohttpc::get(format!("http://{address}{path}")).bearer_auth(API_KEY);
        response.send().unwrap().json().unwrap_or_default()
    }

    /// Number of times that the service ran an order.
    fn run_count(&self, order: &str) -> usize {
        let executions = self.service.executions();
        executions.iter().filter(|run| run.body == order).count()
    }
}

#[test]
fn requests_of_a_killed_gateway_are_finished_once_each_by_another() {
    let mut cluster = Cluster::start(3_000);
    let orders: Vec<String> = (0..REQUESTS)
        .map(|number| format!("order-{number}"))
        .collect();
    let status_paths: Vec<String> = orders
        .iter()
        .map(|order| cluster.submit(0, order))
        .collect();
    wait_at_most(WAIT_TIMEOUT, "the start of a request", || {
        !cluster.service.executions().is_empty()
    });
    drop(cluster.gateways.remove(0));
    for path in &status_paths {
        wait_at_most(WAIT_TIMEOUT, "the answer", || {
            cluster.state(0, path)["state"] == "answered"
        });
    }
    for order in &orders {
        assert_eq!(cluster.run_count(order), 1, "{order}");
    }
}
