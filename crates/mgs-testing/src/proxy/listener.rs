//! A listening port that can be closed and opened again without losing its number.

use std::io;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;

use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;

const BACKLOG: i32 = 1024;

/// Keeps a port number: bound, never listening, so that connections to it are refused while no
/// listener of [`Port::listen`] is open.
pub(super) struct Port {
    address: SocketAddr,
    _guard: Socket,
}

impl Port {
    /// Takes a free port of the loopback address.
    pub(super) fn take() -> io::Result<Self> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let guard = bound(any)?;
        let address = guard.local_addr()?.as_socket();
        let Some(address) = address else {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        };
        Ok(Self {
            address,
            _guard: guard,
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn listen(&self) -> io::Result<TcpListener> {
        let socket = bound(self.address)?;
        socket.listen(BACKLOG)?;
        Ok(socket.into())
    }
}

/// Two sockets may hold one port if both say so and neither listens yet.
fn bound(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Wakes a thread that waits in `accept`.
pub(super) fn wake(listener: &TcpListener) {
    // Fails only when the listener was woken before.
    let _ = SockRef::from(listener).shutdown(Shutdown::Both);
}
