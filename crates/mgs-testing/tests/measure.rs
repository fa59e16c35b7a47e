//! The parts by which processes are measured.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

use mgs_testing::measure::fit::Line;
use mgs_testing::measure::process::cpu_s;
use mgs_testing::measure::relay::Relay;
use mgs_testing::measure::slopes::Axis;
use mgs_testing::measure::slopes::Role;
use mgs_testing::measure::socket;
use rstest::rstest;

#[test]
fn a_line_has_the_standard_error_of_its_slope() {
    let line = Line::fit(&[(1.0, 1.0), (2.0, 3.0), (3.0, 2.0), (4.0, 4.0)]);
    assert!((line.slope_per_peer - 0.8).abs() < 1e-9);
    assert!((line.intercept - 0.5).abs() < 1e-9);
    assert!((line.error - 0.18_f64.sqrt()).abs() < 1e-9, "{line:?}");
}

#[rstest]
#[case("", None)]
#[case("7 (a) S 1", None)]
#[case("7 (a) b) S 1 7 7 0 -1 0 0 0 0 0 30 20 0 0", Some(0.5))]
fn processor_time_is_found_after_the_name(#[case] stat: &str, #[case] expected: Option<f64>) {
    assert_eq!(cpu_s(stat), expected);
}

#[test]
fn sockets_towards_other_ports_dont_count() {
    let line = |port: u16, sent: u64| {
        format!("0 0 127.0.0.1:5 127.0.0.1:{port} users:((\"a\",pid=7,fd=3)) bytes_sent:{sent}\n")
    };
    let lines = line(80, 1) + &line(81, 2) + &line(82, 4) + "0 0 [::1]:5 [::1]:81\n";
    assert_eq!(socket::parse(&lines, &[81])[&7].sent_bytes, 5);
}

#[test]
fn a_relay_counts_both_directions() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let relay = Relay::start(listener.local_addr().expect("bound")).expect("a relay");
    let far = thread::spawn(move || {
        let (mut far, _) = listener.accept().expect("a connection");
        let mut asked = Vec::new();
        far.read_to_end(&mut asked).expect("bytes");
        far.write_all(b"answer").expect("room");
        asked.len()
    });
    let mut near = TcpStream::connect(relay.address()).expect("a connection");
    near.write_all(b"question").expect("room");
    near.shutdown(std::net::Shutdown::Write).expect("open");
    let mut answer = String::new();
    near.read_to_string(&mut answer).expect("bytes");
    assert_eq!(far.join().expect("no panic"), 8);
    assert_eq!(
        (answer.as_str(), relay.bytes(), relay.connections()),
        ("answer", 14, 1)
    );
}

#[test]
fn a_bounded_part_of_the_fleet_is_the_target() {
    assert_eq!(Axis::Sidecars.target(Role::Gateway), 96.0);
    let gateways = Axis::Gateways.target(Role::Sidecar);
    assert!((gateways - 450.0 * 96.0 / 5_300.0).abs() < 1e-9);
}
