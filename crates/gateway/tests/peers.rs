//! What a host makes of datagrams from peers, sent by hand.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod world;

use std::net::SocketAddr;

use notchwharf_proto::news;
use notchwharf_proto::news::Load;
use notchwharf_proto::news::News;
use notchwharf_proto::news::Status;
use notchwharf_routing::places::key_of;
use tokio::net::UdpSocket;
use world::World;
use world::until;

/// A peer that is nothing but its datagrams.
struct Peer {
    socket: UdpSocket,
    host: SocketAddr,
}

impl Peer {
    async fn of(host: SocketAddr) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        Self { socket, host }
    }

    async fn says(&self, name: &str, incarnation: u64, number: u64, loads: &[(&str, u32)]) {
        let loads = loads.iter().map(|(target, online)| Load {
            target: key_of(target),
            online: *online,
            batch: 0,
        });
        let status = Status {
            host: name.to_owned(),
            incarnation,
            number,
            store_up: true,
            loads: loads.collect(),
            ..Status::default()
        };
        let bytes = news::encode(&News::Status(status));
        self.socket.send_to(&bytes, self.host).await.unwrap();
    }
}

#[tokio::test]
async fn a_peer_whose_clock_was_set_back_before_it_started_again_is_heard() {
    let world = World::new(&["t1"]);
    let host = world.start_ready("a1").await;
    let peer = Peer::of(host.ctx().settings.host.peer_listen).await;
    peer.says("b1", 1_000, 50, &[]).await;
    until("the peer is heard", || host.ctx().peers_alive() == 1).await;
    until("its silence is noticed", || host.ctx().peers_alive() == 0).await;
    // It starts again, two seconds earlier by its clock.
    peer.says("b1", 500, 1, &[("t1", 2)]).await;
    until("the peer is heard again", || host.ctx().peers_alive() == 1).await;
    assert_eq!(host.ctx().load_of("t1").online, 2);
}

#[tokio::test]
async fn old_news_of_a_peer_that_is_alive_does_not_count() {
    let world = World::new(&["t1", "t2"]);
    let host = world
        .start_with("a1", |settings| settings.peers.down_ms = 60_000)
        .await;
    host.until_ready().await;
    let peer = Peer::of(host.ctx().settings.host.peer_listen).await;
    peer.says("b1", 1_000, 2, &[("t1", 2)]).await;
    for (incarnation, number) in [(500, 9), (1_000, 1), (1_000, 2)] {
        peer.says("b1", incarnation, number, &[("t1", 7)]).await;
    }
    // What another says is read after all of that.
    peer.says("c1", 1, 1, &[("t2", 1)]).await;
    until("all is read", || host.ctx().load_of("t2").online == 1).await;
    assert_eq!(host.ctx().load_of("t1").online, 2);
}
