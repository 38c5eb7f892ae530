//! Ports for listeners of tests. The tests of the `platform` package include this file too.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Mutex;

use tokio::net::TcpSocket;

/// Ports below the ephemeral range, so that no outgoing connection takes a port between its
/// selection and its use.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Ports assigned to tests of this process. Two tests that select the same port, or one that
/// checks a port while another binds it, fail because the address is in use.
static ASSIGNED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns an address that is free for TCP and UDP and that is not assigned to another test
/// of this process.
pub fn free_addr() -> SocketAddr {
    loop {
        let port = rand::random_range(PORTS);
        if !ASSIGNED.lock().unwrap().insert(port) {
            continue;
        }
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if is_free_for_tcp(addr) && std::net::UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Returns whether a listener can be bound to an address. The check does not listen itself: a
/// process that is being started holds a copy of the socket until it executes its program, and
/// a copy that listens keeps the address in use.
fn is_free_for_tcp(addr: SocketAddr) -> bool {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(addr).is_ok()
}
