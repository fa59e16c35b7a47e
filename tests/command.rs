//! The command line interface: help, errors, exit codes and shell completions.

#![cfg(feature = "demo")]

mod common;

use std::process::Stdio;

use common::code;
use common::marigoldstage;
use common::run;
use common::stderr;
use common::stdout;
use mgs_standin::platform::Options;
use mgs_standin::platform::Platform;
use rstest::rstest;

/// Subcommands that run a server.
const SERVING_ROLES: [&str; 2] = ["gateway", "sidecar"];

#[test]
fn help_names_every_subcommand_and_exit_code() {
    let output = run(&["--help"]);
    assert_eq!(code(&output), 0);
    let text = stdout(&output);
    let names = [
        "gateway",
        "sidecar",
        "table",
        "endpoint",
        "organisation",
        "request",
        "status",
        "explain",
        "demo",
        "standin",
        "completions",
    ];
    for name in names {
        assert!(text.contains(&format!("\n  {name}")), "{name} in {text}");
    }
    for code in 0..=6 {
        assert!(text.contains(&format!("\n  {code}  ")), "{code} in {text}");
    }
}

#[rstest]
#[case("gateway")]
#[case("sidecar")]
#[case("table")]
#[case("endpoint")]
#[case("organisation")]
#[case("request")]
#[case("status")]
#[case("explain")]
#[case("demo")]
#[case("standin")]
#[case("completions")]
#[case("quarantine")]
fn the_help_of_every_subcommand_has_examples(#[case] name: &str) {
    let output = run(&[name, "--help"]);
    assert_eq!(code(&output), 0);
    let text = stdout(&output);
    assert!(text.contains(&format!("marigoldstage {name}")), "{text}");
    assert!(text.contains("Examples:"), "{text}");
}

#[test]
fn every_setting_of_a_role_has_an_environment_variable() {
    for name in SERVING_ROLES {
        let text = stdout(&run(&[name, "--help"]));
        let flags = text.split_whitespace().filter(|word| {
            word.starts_with("--") && word[2..].starts_with(|c: char| c.is_ascii_lowercase())
        });
        let options = text.split("Options:").nth(1).unwrap();
        let options = options.split("Examples:").next().unwrap();
        for flag in flags.filter(|flag| options.contains(&format!("\n      {flag}"))) {
            let variable = flag[2..].replace('-', "_").to_ascii_uppercase();
            let variable = format!("MARIGOLDSTAGE_{variable}");
            assert!(options.contains(&variable), "{flag} of {name}");
        }
    }
}

#[rstest]
#[case(&[], 2, "Usage")]
#[case(&["gatewya"], 2, "gateway")]
#[case(&["sidecar", "--nonsense"], 2, "--nonsense")]
#[case(&["completions", "tcsh"], 2, "bash")]
#[case(&["standin"], 2, "Usage")]
#[case(&["status", "--admin-address", "here"], 2, "--admin-address")]
#[case(&["--version"], 0, "")]
fn usage_errors_exit_with_2(
    #[case] arguments: &[&str],
    #[case] expected_code: i32,
    #[case] message: &str,
) {
    let output = run(arguments);
    assert_eq!(code(&output), expected_code, "{}", stderr(&output));
    assert!(stderr(&output).contains(message), "{}", stderr(&output));
}

#[test]
fn all_invalid_settings_are_reported_at_once() {
    let output = marigoldstage()
        .args(["sidecar", "--listen", "here", "--drain-ms", "-3"])
        .args(["--log-level", "loud", "--name", " "])
        .env("MARIGOLDSTAGE_ENDPOINT_KIND", "toaster")
        .env("MARIGOLDSTAGE_PLATFORM", "127.0.0.1:7400")
        .output()
        .unwrap();
    assert_eq!(code(&output), 2);
    let text = stderr(&output);
    assert!(text.contains("6 settings are wrong"), "{text}");
    for part in [
        "--listen \"here\": give IP:PORT",
        "--drain-ms \"-3\": give a number from 0 to",
        "--log-level \"loud\": give error, warn",
        "--name \" \": must be given",
        "MARIGOLDSTAGE_ENDPOINT_KIND=\"toaster\": give engine or service",
        "MARIGOLDSTAGE_PLATFORM=\"127.0.0.1:7400\": give http://IP:PORT",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
}

#[rstest]
#[case(
    "gateway",
    "--peer-listen",
    "0.0.0.0:7101",
    "this host's own IP number"
)]
#[case("sidecar", "--listen", "[::]:7300", "this host's own IP number")]
#[case("gateway", "--policy", "best", "give one of marigold")]
#[case("gateway", "--admission", "none", "give one of ")]
#[case("gateway", "--peers", "10.0.0.1:1,x", "\"x\" is no IP:PORT")]
#[case("gateway", "--plant", "truncated-answer", "--allow-plant")]
#[case("sidecar", "--plant", "ignored-fence", "--allow-plant")]
#[case(
    "gateway",
    "--body-max-bytes",
    "99999999999",
    "from 1024 to 1073741824"
)]
#[case("demo", "--time-scale", "0", "from 0.01 to 1000")]
fn an_error_of_a_setting_says_what_is_valid(
    #[case] command: &str,
    #[case] flag: &str,
    #[case] given: &str,
    #[case] hint: &str,
) {
    let mut arguments = vec![command, flag, given];
    if command == "sidecar" {
        arguments.extend(["--name", "engine-1"]);
    }
    let output = run(&arguments);
    assert_eq!(code(&output), 2, "{}", stderr(&output));
    let text = stderr(&output);
    assert!(text.contains("a setting is wrong"), "{text}");
    assert!(text.contains(flag) && text.contains(hint), "{text}");
}

#[test]
fn a_flag_overrides_its_environment_variable() {
    let output = marigoldstage()
        .args(["sidecar", "--name", "a", "--drain-ms", "5", "--listen", "x"])
        .env("MARIGOLDSTAGE_DRAIN_MS", "soon")
        .output()
        .unwrap();
    let text = stderr(&output);
    assert!(text.contains("a setting is wrong"), "{text}");
    assert!(!text.contains("drain"), "{text}");
}

#[test]
fn a_taken_port_fails_with_the_address_in_the_message() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    for name in ["platform", "service", "engine"] {
        let output = run(&["standin", name, "--listen", &address]);
        assert_eq!(code(&output), 1);
        assert!(stderr(&output).contains(&address), "{}", stderr(&output));
    }
}

#[test]
fn a_closed_output_pipe_is_no_error() {
    let mut child = marigoldstage()
        .args(["completions", "bash"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let output = child.wait_with_output().unwrap();
    assert_eq!(stderr(&output), "");
}

#[test]
fn status_of_a_closed_port_is_unavailable() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let output = run(&["status", "--admin-address", &address]);
    assert_eq!(code(&output), 4);
    assert!(stdout(&output).contains("silent"), "{}", stdout(&output));
    let output = run(&["status", "--admin-address", &address, "--json"]);
    assert!(stdout(&output).contains("\"reached\": false"));
}

#[test]
fn status_reads_the_platform_when_no_process_is_named() {
    let platform = Platform::start(Options::default()).unwrap();
    let output = run(&["status", "--platform", &platform.url()]);
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    assert!(stdout(&output).starts_with("role "), "{}", stdout(&output));
    platform.faults().set_outage(true);
    let output = run(&["status", "--platform", &platform.url()]);
    assert_eq!(code(&output), 4, "{}", stderr(&output));
}

#[rstest]
#[case("bash")]
#[case("zsh")]
#[case("fish")]
#[case("elvish")]
#[case("powershell")]
fn completions_contain_the_subcommands(#[case] shell: &str) {
    let output = run(&["completions", shell]);
    assert_eq!(code(&output), 0);
    let text = stdout(&output);
    assert!(text.contains("organisation"), "{text}");
    assert!(text.contains("endpoint-url"), "{text}");
}
