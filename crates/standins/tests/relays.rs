//! Tests of the relays, on which the scenario tests rely: the relays apply exactly the faults that are set.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use woadhook_standins::TEST_TIMEOUT;
use woadhook_standins::processes::free_datagram_address;
use woadhook_standins::relays::{EndpointSet, Relays, Way};

const SHORT_WAIT: Duration = Duration::from_millis(250);

/// Starts a server that echoes what it receives, behind a relay from `a` in zone x to `b` in zone y. Returns
/// the relays and the address of the relay.
fn start_echo_server_behind_relays() -> (Relays, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let target = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || {
                let mut stream = stream.unwrap();
                let mut bytes = [0; 64];
                while let Ok(count @ 1..) = stream.read(&mut bytes) {
                    if stream.write_all(&bytes[..count]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let relays = Relays::new(1);
    relays.add_party("a", "x", "r");
    relays.add_party("b", "y", "r");
    let relay_address = relays.relay_address("a", "b", target);
    (relays, relay_address)
}

fn receive_byte(stream: &mut TcpStream, timeout: Duration) -> std::io::Result<u8> {
    stream.set_read_timeout(Some(timeout)).unwrap();
    let mut byte = [0];
    stream.read_exact(&mut byte).map(|()| byte[0])
}

#[test]
fn a_cut_holds_bytes_and_connections_until_it_is_healed() {
    let (relays, relay_address) = start_echo_server_behind_relays();
    let mut before_cut = TcpStream::connect(relay_address).unwrap();
    before_cut.write_all(b"1").unwrap();
    assert_eq!(receive_byte(&mut before_cut, TEST_TIMEOUT).unwrap(), b'1');
    relays.set_conditions([(EndpointSet::zone("x"), EndpointSet::zone("y"), Way::CUT)]);
    before_cut.write_all(b"2").unwrap();
    assert_eq!(receive_byte(&mut before_cut, SHORT_WAIT).unwrap_err().kind(), ErrorKind::WouldBlock);
    let during_cut = TcpStream::connect_timeout(&relay_address, SHORT_WAIT);
    assert_eq!(
        during_cut.unwrap_err().kind(),
        ErrorKind::TimedOut,
        "no connection is established across a cut"
    );
    relays.remove_all_conditions();
    assert_eq!(receive_byte(&mut before_cut, TEST_TIMEOUT).unwrap(), b'2', "the held byte arrives");
    let mut after_heal = TcpStream::connect_timeout(&relay_address, TEST_TIMEOUT).unwrap();
    after_heal.write_all(b"3").unwrap();
    assert_eq!(receive_byte(&mut after_heal, TEST_TIMEOUT).unwrap(), b'3');
}

#[test]
fn a_cut_in_one_direction_leaves_the_other_open() {
    let (relays, relay_address) = start_echo_server_behind_relays();
    let mut stream = TcpStream::connect(relay_address).unwrap();
    stream.write_all(b"0").unwrap();
    assert_eq!(receive_byte(&mut stream, TEST_TIMEOUT).unwrap(), b'0');
    relays.set_conditions([(EndpointSet::party("b"), EndpointSet::party("a"), Way::CUT)]);
    stream.write_all(b"1").unwrap();
    assert!(receive_byte(&mut stream, SHORT_WAIT).is_err(), "the answer is held by the cut");
    relays.remove_all_conditions();
    assert_eq!(receive_byte(&mut stream, TEST_TIMEOUT).unwrap(), b'1', "the request was not held");
}

#[test]
fn a_reset_ends_a_connection_and_the_next_one_works() {
    let (relays, relay_address) = start_echo_server_behind_relays();
    let mut stream = TcpStream::connect(relay_address).unwrap();
    stream.write_all(b"1").unwrap();
    assert_eq!(receive_byte(&mut stream, TEST_TIMEOUT).unwrap(), b'1');
    assert_eq!(
        relays.reset(&EndpointSet::zone("y"), &EndpointSet::zone("x")),
        0,
        "no connection in that direction"
    );
    assert_eq!(relays.reset(&EndpointSet::zone("x"), &EndpointSet::zone("y")), 1);
    assert_eq!(receive_byte(&mut stream, TEST_TIMEOUT).unwrap_err().kind(), ErrorKind::ConnectionReset);
    let mut next_stream = TcpStream::connect(relay_address).unwrap();
    next_stream.write_all(b"2").unwrap();
    assert_eq!(receive_byte(&mut next_stream, TEST_TIMEOUT).unwrap(), b'2');
}

#[test]
fn a_delayed_way_delays_bytes_and_keeps_their_order() {
    let (relays, relay_address) = start_echo_server_behind_relays();
    relays.set_conditions([(
        EndpointSet::All,
        EndpointSet::party("b"),
        Way { delay: (20, 60), ..Way::default() },
    )]);
    let mut stream = TcpStream::connect(relay_address).unwrap();
    let began = Instant::now();
    for byte in 0..8 {
        stream.write_all(&[byte]).unwrap();
        thread::sleep(Duration::from_millis(2));
    }
    for byte in 0..8 {
        assert_eq!(receive_byte(&mut stream, TEST_TIMEOUT).unwrap(), byte);
    }
    assert!(began.elapsed() >= Duration::from_millis(20));
}

#[test]
fn datagrams_come_from_the_relay_address_and_are_lost_across_a_cut() {
    let relays = Relays::new(1);
    let sockets: Vec<UdpSocket> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let relay_addresses: Vec<SocketAddr> = sockets
        .iter()
        .enumerate()
        .map(|(number, socket)| {
            relays.add_party(&format!("n{number}"), &format!("z{number}"), "r");
            socket.set_read_timeout(Some(SHORT_WAIT)).unwrap();
            relays.datagram_relay_address(&format!("n{number}"), socket.local_addr().unwrap())
        })
        .collect();
    let mut bytes = [0; 16];
    sockets[0].send_to(b"1", relay_addresses[1]).unwrap();
    assert_eq!(sockets[1].recv_from(&mut bytes).unwrap(), (1, relay_addresses[0]));
    relays.set_conditions([(EndpointSet::zone("z0"), EndpointSet::zone("z1"), Way::CUT)]);
    sockets[0].send_to(b"2", relay_addresses[1]).unwrap();
    assert!(sockets[1].recv_from(&mut bytes).is_err(), "the datagram is lost across the cut");
    sockets[1].send_to(b"3", relay_addresses[0]).unwrap();
    assert_eq!(
        sockets[0].recv_from(&mut bytes).unwrap().1,
        relay_addresses[1],
        "the other direction still works"
    );
    relays.remove_all_conditions();
    assert!(sockets[1].recv_from(&mut bytes).is_err(), "a lost datagram is not delivered later");
    relays.set_conditions([(EndpointSet::All, EndpointSet::All, Way { twice: 1.0, ..Way::default() })]);
    sockets[0].send_to(b"4", relay_addresses[1]).unwrap();
    assert!((0..2).all(|_| sockets[1].recv_from(&mut bytes).is_ok()), "the datagram is delivered twice");
    let unknown_socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    unknown_socket.send_to(b"5", relay_addresses[1]).unwrap();
    assert!(sockets[1].recv_from(&mut bytes).is_err(), "a sender that is not a party is ignored");
}

/// Guards against connections to a party that refuses them which reach another party: the system frees a port
/// that it chose itself as soon as the listener is shut down.
#[test]
fn the_port_of_a_refusing_party_stays_reserved() {
    let (relays, relay_address) = start_echo_server_behind_relays();
    relays.refuse_connections("b");
    let refused = TcpStream::connect(relay_address).map(|_| ()).map_err(|error| error.kind());
    assert_eq!(refused, Err(ErrorKind::ConnectionRefused));
    assert!(TcpListener::bind(relay_address).is_err(), "another listener got the port");
}

/// Guards against a pause of the relays that is mistaken for a pause of a router: bytes that pass the relays
/// during the pause arrive late.
#[test]
fn a_pause_of_the_relay_thread_is_recorded() {
    let (relays, relay_address) = start_echo_server_behind_relays();
    let mut stream = TcpStream::connect(relay_address).unwrap();
    stream.write_all(b"1").unwrap();
    assert_eq!(receive_byte(&mut stream, TEST_TIMEOUT).unwrap(), b'1');
    let blocked_span = Duration::from_millis(700);
    let sent = Instant::now();
    relays.block_thread(blocked_span);
    thread::sleep(blocked_span / 2);
    stream.write_all(b"2").unwrap();
    assert_eq!(receive_byte(&mut stream, TEST_TIMEOUT).unwrap(), b'2');
    assert!(sent.elapsed() >= blocked_span, "nothing passes during the pause");
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !relays.stalls().iter().any(|rest| rest.span >= blocked_span / 2) {
        assert!(Instant::now() < deadline, "{:?}", relays.stalls());
        thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against a router in a scenario that can't listen: the address for its datagrams was free when it
/// was chosen, but a relay or another test had taken it by the time the router started.
#[test]
fn a_free_datagram_address_stays_reserved_until_it_is_used() {
    let free_addresses: Vec<SocketAddr> = (0..50).map(|_| free_datagram_address()).collect();
    // Other sockets are bound meanwhile: enough that the system might choose one of the free addresses again.
    let _others: Vec<UdpSocket> = (0..2_000).filter_map(|_| UdpSocket::bind("127.0.0.1:0").ok()).collect();
    let taken_count = free_addresses.iter().filter(|address| UdpSocket::bind(address).is_err()).count();
    assert_eq!(taken_count, 0);
}
