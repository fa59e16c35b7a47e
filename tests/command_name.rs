//! Two processes that claim one name: the later one has it, and the earlier one stops by itself.

mod common;

use std::process::Child;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::code;
use common::marigoldstage;
use common::run;
use common::stderr;
use common::stdout;
use mgs_platform::table::Table as _;
use mgs_settings::member;
use mgs_settings::member::Member;
use mgs_settings::member::Role;
use mgs_standin::platform;
use mgs_standin::platform::Platform;

const LONG: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(50);

/// A gateway's process, killed when dropped.
struct Gateway(Child);

impl Gateway {
    fn start(platform: &Platform) -> Self {
        let child = marigoldstage()
            .args([
                "gateway",
                "--name",
                "gateway-1",
                "--platform",
                &platform.url(),
            ])
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
            .args(["--admin", "127.0.0.1:0", "--member-renew-ms", "200"])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        Self(child.unwrap())
    }

    fn ended(&mut self) -> bool {
        self.0.try_wait().unwrap().is_some()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // A process that has ended can't be killed, which is as well.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn holder(platform: &Platform) -> Option<u64> {
    let key = member::key(Role::Gateway, "gateway-1");
    let row = platform.memory().get(&key).unwrap()?;
    let member: Member = serde_json::from_str(&row.value).unwrap();
    Some(member.incarnation)
}

fn wait_until(mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !holds() {
        assert!(Instant::now() < end, "not within {LONG:?}");
        thread::sleep(LOOK);
    }
}

#[test]
fn the_later_gateway_has_the_name_and_the_earlier_one_stops() {
    let platform = Platform::start(platform::Options::default()).unwrap();
    let edit = run(&[
        "table",
        "set",
        "*",
        "*",
        "weight=1",
        "--platform",
        &platform.url(),
    ]);
    assert_eq!(code(&edit), 0, "{}{}", stdout(&edit), stderr(&edit));
    let mut earlier = Gateway::start(&platform);
    wait_until(|| holder(&platform).is_some());
    let first = holder(&platform);
    let mut later = Gateway::start(&platform);
    wait_until(|| holder(&platform) != first);
    wait_until(|| earlier.ended());
    assert!(!later.ended());
    assert_ne!(holder(&platform), first);
}
