//! Failures of calls, made to happen on loopback.

use std::io::Read;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use mgs_http::is_unsent;

fn bind() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    (listener, url)
}

#[test]
fn a_refused_connection_proves_that_nothing_was_sent() {
    let (listener, url) = bind();
    drop(listener);
    let error = attohttpc::post(url).send().unwrap_err();
    assert!(is_unsent(&error), "{error}");
}

#[test]
fn a_connection_closed_after_the_call_was_read_proves_nothing() {
    let (listener, url) = bind();
    let server = thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        connection.read_exact(&mut [0]).unwrap();
    });
    let error = attohttpc::post(url).send().unwrap_err();
    server.join().unwrap();
    assert!(!is_unsent(&error), "{error}");
}

#[test]
fn a_timeout_proves_nothing() {
    // The system accepts for a listener that never does.
    let (_listener, url) = bind();
    let call = attohttpc::post(url).read_timeout(Duration::from_millis(50));
    let error = call.send().unwrap_err();
    assert!(!is_unsent(&error), "{error}");
}
