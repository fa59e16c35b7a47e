//! A small proxy whose open connections can be made to fall silent while new ones work.

#![allow(dead_code)]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// A proxy before one address; it ends with the test's process.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    /// Connections accepted before this number are silent.
    silent_below: Arc<AtomicU64>,
    accepted: Arc<AtomicU64>,
}

impl Proxy {
    pub(crate) fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            silent_below: Arc::default(),
            accepted: Arc::default(),
        };
        let (silent_below, accepted) = (proxy.silent_below.clone(), proxy.accepted.clone());
        std::thread::spawn(move || {
            for from in listener.incoming() {
                let (from, to) = (from.unwrap(), TcpStream::connect(to).unwrap());
                let number = accepted.fetch_add(1, Ordering::AcqRel);
                let both = [
                    (from.try_clone().unwrap(), to.try_clone().unwrap()),
                    (to, from),
                ];
                for (from, to) in both {
                    let silent_below = silent_below.clone();
                    std::thread::spawn(move || pass(from, to, number, &silent_below));
                }
            }
        });
        proxy
    }

    /// The connections that are open now pass nothing more, in either direction, and stay open.
    pub(crate) fn silence(&self) {
        let accepted = self.accepted.load(Ordering::Acquire);
        self.silent_below.store(accepted, Ordering::Release);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, number: u64, silent_below: &AtomicU64) {
    let mut bytes = vec![0; 64 * 1024];
    while let Ok(count) = from.read(&mut bytes) {
        if count == 0 {
            return;
        }
        let silent = number < silent_below.load(Ordering::Acquire);
        if !silent && to.write_all(&bytes[..count]).is_err() {
            return;
        }
    }
}
