//! What stories rest on: that relays do what they are told, and nothing else.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use woadhook_standins::TEST_TIMEOUT;
use woadhook_standins::processes::free_datagram_address;
use woadhook_standins::relays::{EndpointSet, Relays, Way};

const SOON: Duration = Duration::from_millis(250);

/// A server that says back what it hears, and relays with a way to it: `a` in zone x to `b` in zone y.
fn echo() -> (Relays, SocketAddr) {
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
    let at = relays.relay_address("a", "b", target);
    (relays, at)
}

fn hears(stream: &mut TcpStream, within: Duration) -> std::io::Result<u8> {
    stream.set_read_timeout(Some(within)).unwrap();
    let mut byte = [0];
    stream.read_exact(&mut byte).map(|()| byte[0])
}

#[test]
fn a_cut_holds_bytes_both_ways_and_lets_no_connection_come_up_until_it_is_healed() {
    let (relays, at) = echo();
    let mut before = TcpStream::connect(at).unwrap();
    before.write_all(b"1").unwrap();
    assert_eq!(hears(&mut before, TEST_TIMEOUT).unwrap(), b'1');
    relays.set_ways([(EndpointSet::zone("x"), EndpointSet::zone("y"), Way::CUT)]);
    before.write_all(b"2").unwrap();
    assert_eq!(hears(&mut before, SOON).unwrap_err().kind(), ErrorKind::WouldBlock);
    let during = TcpStream::connect_timeout(&at, SOON);
    assert_eq!(during.unwrap_err().kind(), ErrorKind::TimedOut, "no connection comes up across a cut");
    relays.heal();
    assert_eq!(hears(&mut before, TEST_TIMEOUT).unwrap(), b'2', "what was held comes");
    let mut after = TcpStream::connect_timeout(&at, TEST_TIMEOUT).unwrap();
    after.write_all(b"3").unwrap();
    assert_eq!(hears(&mut after, TEST_TIMEOUT).unwrap(), b'3');
}

#[test]
fn a_cut_one_way_lets_the_other_pass() {
    let (relays, at) = echo();
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(b"0").unwrap();
    assert_eq!(hears(&mut stream, TEST_TIMEOUT).unwrap(), b'0');
    relays.set_ways([(EndpointSet::party("b"), EndpointSet::party("a"), Way::CUT)]);
    stream.write_all(b"1").unwrap();
    assert!(hears(&mut stream, SOON).is_err(), "the answer is held");
    relays.heal();
    assert_eq!(hears(&mut stream, TEST_TIMEOUT).unwrap(), b'1', "the question was not");
}

#[test]
fn a_reset_is_one_and_the_next_connection_is_well() {
    let (relays, at) = echo();
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(b"1").unwrap();
    assert_eq!(hears(&mut stream, TEST_TIMEOUT).unwrap(), b'1');
    assert_eq!(relays.reset(&EndpointSet::zone("y"), &EndpointSet::zone("x")), 0, "none goes that way");
    assert_eq!(relays.reset(&EndpointSet::zone("x"), &EndpointSet::zone("y")), 1);
    assert_eq!(hears(&mut stream, TEST_TIMEOUT).unwrap_err().kind(), ErrorKind::ConnectionReset);
    let mut next = TcpStream::connect(at).unwrap();
    next.write_all(b"2").unwrap();
    assert_eq!(hears(&mut next, TEST_TIMEOUT).unwrap(), b'2');
}

#[test]
fn a_slow_way_takes_its_time_and_keeps_the_order() {
    let (relays, at) = echo();
    relays.set_ways([(EndpointSet::All, EndpointSet::party("b"), Way { delay: (20, 60), ..Way::default() })]);
    let mut stream = TcpStream::connect(at).unwrap();
    let began = Instant::now();
    for byte in 0..8 {
        stream.write_all(&[byte]).unwrap();
        thread::sleep(Duration::from_millis(2));
    }
    for byte in 0..8 {
        assert_eq!(hears(&mut stream, TEST_TIMEOUT).unwrap(), byte);
    }
    assert!(began.elapsed() >= Duration::from_millis(20));
}

#[test]
fn datagrams_come_from_the_address_that_others_know_and_are_lost_across_a_cut() {
    let relays = Relays::new(1);
    let own: Vec<UdpSocket> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let known: Vec<SocketAddr> = own
        .iter()
        .enumerate()
        .map(|(number, socket)| {
            relays.add_party(&format!("n{number}"), &format!("z{number}"), "r");
            socket.set_read_timeout(Some(SOON)).unwrap();
            relays.datagram_relay_address(&format!("n{number}"), socket.local_addr().unwrap())
        })
        .collect();
    let mut bytes = [0; 16];
    own[0].send_to(b"1", known[1]).unwrap();
    assert_eq!(own[1].recv_from(&mut bytes).unwrap(), (1, known[0]));
    relays.set_ways([(EndpointSet::zone("z0"), EndpointSet::zone("z1"), Way::CUT)]);
    own[0].send_to(b"2", known[1]).unwrap();
    assert!(own[1].recv_from(&mut bytes).is_err(), "lost");
    own[1].send_to(b"3", known[0]).unwrap();
    assert_eq!(own[0].recv_from(&mut bytes).unwrap().1, known[1], "the other way goes on");
    relays.heal();
    assert!(own[1].recv_from(&mut bytes).is_err(), "what was lost stays lost");
    relays.set_ways([(EndpointSet::All, EndpointSet::All, Way { twice: 1.0, ..Way::default() })]);
    own[0].send_to(b"4", known[1]).unwrap();
    assert!((0..2).all(|_| own[1].recv_from(&mut bytes).is_ok()), "twice");
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    stranger.send_to(b"5", known[1]).unwrap();
    assert!(own[1].recv_from(&mut bytes).is_err(), "no party");
}

/// Guards against calls to a party that refuses which reach another one: the system frees a port that it chose itself as its listener is shut
/// down.
#[test]
fn the_port_of_a_party_that_refuses_is_nobody_elses() {
    let (relays, at) = echo();
    relays.refuse_connections("b");
    let refused = TcpStream::connect(at).map(|_| ()).map_err(|error| error.kind());
    assert_eq!(refused, Err(ErrorKind::ConnectionRefused));
    assert!(TcpListener::bind(at).is_err(), "another listener got the port");
}

/// Guards against a rest of the relays that passes for one of the router: what passes then comes later than it was sent.
#[test]
fn a_rest_of_the_relays_is_told() {
    let (relays, at) = echo();
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(b"1").unwrap();
    assert_eq!(hears(&mut stream, TEST_TIMEOUT).unwrap(), b'1');
    let stood = Duration::from_millis(700);
    let sent = Instant::now();
    relays.block_thread(stood);
    thread::sleep(stood / 2);
    stream.write_all(b"2").unwrap();
    assert_eq!(hears(&mut stream, TEST_TIMEOUT).unwrap(), b'2');
    assert!(sent.elapsed() >= stood, "nothing passes meanwhile");
    let by = Instant::now() + TEST_TIMEOUT;
    while !relays.rests().iter().any(|rest| rest.span >= stood / 2) {
        assert!(Instant::now() < by, "{:?}", relays.rests());
        thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against a router of a story that can't listen: the address for its datagrams was free as it was chosen, and one of the relays', or of
/// another test's, as it started.
#[test]
fn a_free_address_for_datagrams_is_no_other_partys_until_it_is_used() {
    let chosen: Vec<SocketAddr> = (0..50).map(|_| free_datagram_address()).collect();
    // As many as there are may be asked for meanwhile.
    let _others: Vec<UdpSocket> = (0..2_000).filter_map(|_| UdpSocket::bind("127.0.0.1:0").ok()).collect();
    let taken = chosen.iter().filter(|at| UdpSocket::bind(at).is_err()).count();
    assert_eq!(taken, 0);
}
