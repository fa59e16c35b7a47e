//! Addresses that tests name in the settings of processes.

mod common;

use std::collections::HashSet;
use std::net::TcpListener;

use common::addresses::own_addresses;

/// Guards against an endpoint of another test that is given a relay's port and answers the check of its readiness.
#[test]
fn addresses_of_processes_are_not_those_that_the_system_gives_out() {
    const ADDRESSES: usize = 200;
    let addresses = own_addresses::<ADDRESSES>();
    let given = [(); ADDRESSES].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    let given = given.map(|listener| listener.local_addr().expect("an address"));
    let lowest_port = given.iter().map(|address| address.port()).min();
    for address in &addresses {
        assert!(address.ip().is_loopback(), "{address}");
        assert!(
            given.iter().all(|given| given.ip() != address.ip()),
            "{address}"
        );
        assert!(Some(address.port()) < lowest_port, "{address}");
    }
    assert_eq!(HashSet::from(addresses).len(), ADDRESSES, "one named twice");
}
