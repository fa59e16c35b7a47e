//! Two gateways that claim the same name: the later one takes it over, and the earlier one stops by itself.

mod common;

use common::marigoldstage;
use common::process::KillOnDrop;
use common::wait_until;
use common::write_first_row;
use mgs_platform::table::Table as _;
use mgs_settings::member;
use mgs_settings::member::Member;
use mgs_settings::member::Role;
use mgs_standin::platform;
use mgs_standin::platform::Platform;

fn start_gateway(platform: &Platform) -> KillOnDrop {
    let mut command = marigoldstage();
    command
        .args(["gateway", "--name", "gateway-1"])
        .args(["--platform", &platform.url()])
        .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
        .args(["--admin", "127.0.0.1:0", "--member-renew-ms", "200"]);
    KillOnDrop::silent(&mut command)
}

/// Incarnation of the gateway that holds the name.
fn holder_incarnation(platform: &Platform) -> Option<u64> {
    let key = member::key(Role::Gateway, "gateway-1");
    let row = platform.memory().get(&key).unwrap()?;
    let member: Member = serde_json::from_str(&row.value).unwrap();
    Some(member.incarnation)
}

#[test]
fn the_later_gateway_takes_over_the_name_and_the_earlier_one_stops() {
    let platform = Platform::start(platform::Options::default()).unwrap();
    write_first_row(&platform.url());
    let mut earlier = start_gateway(&platform);
    wait_until("the member row of the earlier gateway", || {
        holder_incarnation(&platform).is_some()
    });
    let first_incarnation = holder_incarnation(&platform);
    let mut later = start_gateway(&platform);
    wait_until("the member row of the later gateway", || {
        holder_incarnation(&platform) != first_incarnation
    });
    wait_until("the end of the earlier gateway", || earlier.has_ended());
    assert!(!later.has_ended());
    assert_ne!(holder_incarnation(&platform), first_incarnation);
}
