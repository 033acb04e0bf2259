//! Listeners that keep their port after they are shut down.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

/// Length of the queue of pending connections.
const LISTEN_BACKLOG: i32 = 1_024;

/// Returns a listener at a free loopback port that nobody else gets as long as the listener lives, even after
/// it is shut down. Threat: the system frees a port that it chose itself when the listener is shut down, so
/// that calls to a stand-in that refuses connections would reach another one.
pub fn listener() -> TcpListener {
    loop {
        let probe = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|probe| probe.local_addr());
        if let Ok(listener) = listen_at(probe.expect("an address")) {
            return listener;
        }
    }
}

/// Binds without `SO_REUSEADDR`, which would let others take the port once it no longer listens.
fn listen_at(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}
