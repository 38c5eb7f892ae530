//! Ports for listeners of tests. The tests of the `platform` package include this file too.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Mutex;

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
        let is_free = std::net::TcpListener::bind(addr).is_ok();
        if is_free && std::net::UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}
