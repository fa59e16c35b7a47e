//! Ports that tests name in the settings of processes.

mod common;

use std::collections::HashSet;
use std::net::TcpListener;

use common::ports::free_ports;

/// Guards against an endpoint of another test that is given a relay's port and answers the check of its readiness.
#[test]
fn ports_of_processes_are_not_those_that_the_system_gives_out() {
    const PORTS: usize = 200;
    let ports = free_ports::<PORTS>();
    let given = [(); PORTS].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    let lowest_given = given
        .iter()
        .map(|listener| listener.local_addr().expect("an address").port())
        .min()
        .expect("some ports");
    assert!(
        ports.iter().all(|port| *port < lowest_given),
        "{ports:?}, {lowest_given}"
    );
    assert_eq!(HashSet::from(ports).len(), PORTS, "one named twice");
}
