//! Listeners whose port stays theirs.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

/// Connections that wait to be taken in.
const LISTEN_BACKLOG: i32 = 1_024;

/// A listener at a free port of loopback, which nobody else gets as long as it lives, also once it is shut down. Threat: the system frees a
/// port that it chose itself as its listener is shut down, so that calls to a stand-in that refuses reach another one.
pub fn listener() -> TcpListener {
    loop {
        let probe = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|probe| probe.local_addr());
        if let Ok(listener) = listen_at(probe.expect("an address")) {
            return listener;
        }
    }
}

/// Without `SO_REUSEADDR`, which would let others have the port once it does not listen.
fn listen_at(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}
