//! Ports for listeners of tests; the adapter's tests use this file as well.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Mutex;

/// Ports for listeners of tests: below those that outgoing connections are
/// given, so that none of these takes one between its choice and its use.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Ports that tests of this process were given. Two that drew the same one, or
/// looked whether it is free while the other began to listen there, failed with
/// an address that cannot be listened on.
static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns an address that is free for connections and for datagrams, and that
/// no other test of this process is given.
pub fn free_addr() -> SocketAddr {
    loop {
        let port = rand::random_range(PORTS);
        if !GIVEN.lock().unwrap().insert(port) {
            continue;
        }
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let is_free = std::net::TcpListener::bind(addr).is_ok();
        if is_free && std::net::UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}
