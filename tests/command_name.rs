//! Two processes that claim one name: the later one has it, and the earlier one stops by itself.

mod common;

use common::marigoldstage;
use common::process::Killed;
use common::wait_until;
use common::write_first_row;
use mgs_platform::table::Table as _;
use mgs_settings::member;
use mgs_settings::member::Member;
use mgs_settings::member::Role;
use mgs_standin::platform;
use mgs_standin::platform::Platform;

fn start_gateway(platform: &Platform) -> Killed {
    let mut command = marigoldstage();
    command
        .args(["gateway", "--name", "gateway-1"])
        .args(["--platform", &platform.url()])
        .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
        .args(["--admin", "127.0.0.1:0", "--member-renew-ms", "200"]);
    Killed::silent(&mut command)
}

fn holder(platform: &Platform) -> Option<u64> {
    let key = member::key(Role::Gateway, "gateway-1");
    let row = platform.memory().get(&key).unwrap()?;
    let member: Member = serde_json::from_str(&row.value).unwrap();
    Some(member.incarnation)
}

#[test]
fn the_later_gateway_has_the_name_and_the_earlier_one_stops() {
    let platform = Platform::start(platform::Options::default()).unwrap();
    write_first_row(&platform.url());
    let mut earlier = start_gateway(&platform);
    wait_until("the first row", || holder(&platform).is_some());
    let first = holder(&platform);
    let mut later = start_gateway(&platform);
    wait_until("the later row", || holder(&platform) != first);
    wait_until("its end", || earlier.has_ended());
    assert!(!later.has_ended());
    assert_ne!(holder(&platform), first);
}
