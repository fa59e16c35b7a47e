//! Calls and answers over a real socket.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Dispatch;
use mgs_schema::wire::Finished;
use mgs_schema::wire::Pong;
use mgs_schema::wire::TokenFrame;
use mgs_transport::client::Connection;
use mgs_transport::client::Error;
use mgs_transport::runtime::Runtime;
use mgs_transport::server::Handler;
use mgs_transport::server::Incoming;
use mgs_transport::server::Server;

const WAIT: Duration = Duration::from_secs(30);
const FRAMES: u64 = 1_000;

struct Echo;

impl Handler for Echo {
    fn handle(&self, incoming: Incoming) {
        match incoming.body {
            Body::Ping(ping) => {
                let _ = incoming.reply.send(Body::Pong(Pong { nonce: ping.nonce }));
            }
            Body::Dispatch(dispatch) => {
                std::thread::spawn(move || {
                    for seq in 0..FRAMES {
                        let frame = TokenFrame {
                            seq,
                            tokens: 1,
                            text: "olive".into(),
                        };
                        let _ = incoming.reply.send(Body::TokenFrame(frame));
                    }
                    let prompt_tokens = dispatch.body.len() as u64;
                    let end = Finished {
                        prompt_tokens,
                        ..Finished::default()
                    };
                    let _ = incoming.reply.send(Body::Finished(end));
                });
            }
            _ => {}
        }
    }
}

fn connect() -> (Runtime, Server, Connection) {
    let runtime = Runtime::new(&Default::default()).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = Server::start(&runtime, listener, &Default::default(), Arc::new(Echo)).unwrap();
    let connection = Connection::open(&runtime, server.address(), &Default::default()).unwrap();
    (runtime, server, connection)
}

#[test]
fn a_question_gets_its_answer() {
    let (_runtime, _server, connection) = connect();
    let ping = mgs_schema::wire::Ping { nonce: 9 };
    let answer = connection.ask(Body::Ping(ping), WAIT).unwrap();
    assert_eq!(answer, Body::Pong(Pong { nonce: 9 }));
}

#[test]
fn a_large_request_gets_many_frames_in_order() {
    let (_runtime, _server, connection) = connect();
    let body = vec![1; 4_000_000];
    let call = connection
        .call(Body::Dispatch(Dispatch {
            body,
            ..Dispatch::default()
        }))
        .unwrap();
    for wanted in 0..FRAMES {
        match call.recv_timeout(WAIT).unwrap() {
            Body::TokenFrame(frame) => assert_eq!(frame.seq, wanted),
            other => panic!("unexpected {other:?}"),
        }
    }
    let end = Finished {
        prompt_tokens: 4_000_000,
        ..Finished::default()
    };
    assert_eq!(call.recv_timeout(WAIT).unwrap(), Body::Finished(end));
    assert_eq!(call.recv_timeout(WAIT), Err(Error::Ended));
}

#[test]
fn a_stopped_server_breaks_its_calls() {
    let (_runtime, server, connection) = connect();
    let call = connection.call(Body::Hello(Default::default())).unwrap();
    drop(server);
    let end = call.recv_timeout(WAIT).unwrap_err();
    assert!(matches!(end, Error::Broken(_) | Error::Ended), "{end:?}");
}
