//! Hosts that cannot read the host list discover one another through seeds.
//!
//! Guards against hosts that do not know one another when the store becomes unavailable at
//! a fleet's first start: each of three hosts then determined by itself which request
//! crashes targets, and nine targets crashed where six may.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use std::net::SocketAddr;

use harness::Harness;
use harness::RunningHost;
use harness::free_addr;
use harness::store::ScriptedStore;
use harness::wait_until;
use rstest::rstest;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

/// Starts a host with the given store connection and seeds.
async fn start(
    harness: &Harness,
    name: &str,
    connection: &ScriptedStore,
    contact: SocketAddr,
    seeds: &[SocketAddr],
) -> RunningHost {
    let started = harness.start_with_store(name, connection.clone(), |settings| {
        settings.host.contact_listen = Some(contact);
        settings.host.seeds = seeds.to_vec();
    });
    started.await
}

async fn wait_until_all_connected(hosts: &[RunningHost]) {
    wait_until("each host is connected to all others", || {
        let mut peers_alive = hosts.iter().map(|host| host.ctx().peers_alive());
        peers_alive.all(|alive| alive == hosts.len() - 1)
    })
    .await;
}

#[rstest]
#[case::the_first_host(|contacts: &[SocketAddr]| vec![contacts[0]])]
#[case::itself_as_well(|contacts: &[SocketAddr]| contacts.to_vec())]
#[case::one_that_is_down(|contacts: &[SocketAddr]| vec![free_addr(), contacts[1]])]
#[tokio::test]
async fn hosts_of_a_new_fleet_discover_one_another_without_a_store(
    #[case] seeds: fn(&[SocketAddr]) -> Vec<SocketAddr>,
) {
    let harness = Harness::new(&["t1"]);
    let connection = harness.store.connection();
    connection.set_closed(true);
    let contacts = [(); 4].map(|()| free_addr());
    let mut hosts = Vec::new();
    for (number, contact) in contacts.into_iter().enumerate() {
        let name = format!("a{number}");
        hosts.push(start(&harness, &name, &connection, contact, &seeds(&contacts)).await);
    }
    wait_until_all_connected(&hosts).await;
}

#[tokio::test]
async fn hosts_discovered_through_a_seed_follow_the_list_once_available() {
    let harness = Harness::new(&["t1"]);
    let connection = harness.store.connection();
    connection.set_closed(true);
    let contact = free_addr();
    let mut hosts = vec![start(&harness, "a0", &connection, contact, &[]).await];
    hosts.push(start(&harness, "a1", &connection, free_addr(), &[contact]).await);
    wait_until_all_connected(&hosts).await;
    connection.set_closed(false);
    for host in &hosts {
        host.wait_ready().await;
    }
    wait_until("both are in the list", || {
        hosts.iter().all(|host| host.ctx().peers_listed() == 1)
    })
    .await;
    hosts.pop().unwrap().kill();
    wait_until("the other's failure is detected", || {
        hosts[0].ctx().peers_alive() == 0
    })
    .await;
}

#[rstest]
#[case::nothing(b"")]
#[case::no_introduction(&[0xff; 40])]
#[case::a_length_beyond_the_end(&[0x7f, b'a'])]
#[tokio::test]
async fn invalid_introductions_are_refused(#[case] body: &[u8]) {
    let harness = Harness::new(&["t1"]);
    let contact = free_addr();
    let host = start(&harness, "a0", &harness.store.clone(), contact, &[]).await;
    host.wait_ready().await;
    let mut socket = TcpStream::connect(contact).await.unwrap();
    let head = format!(
        "POST /contacts HTTP/1.1\r\nhost: peer\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    socket.write_all(body).await.unwrap();
    let mut response = Vec::new();
    socket.read_to_end(&mut response).await.unwrap();
    assert!(response.starts_with(b"HTTP/1.1 400 "), "{response:?}");
    assert_eq!(host.ctx().peers_listed(), 0);
}
