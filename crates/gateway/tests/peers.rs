//! Handling of peers' datagrams, sent by the tests.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use harness::Harness;
use harness::RunningHost;
use harness::WAIT_MAX;
use harness::close_connection;
use harness::start_two_hosts;
use harness::wait_until;
use notchwharf_config::gateway::Settings;
use notchwharf_gateway::metrics::Counted;
use notchwharf_gateway::ports::Topic;
use notchwharf_proto::messages;
use notchwharf_proto::messages::Load;
use notchwharf_proto::messages::PeerMessage;
use notchwharf_proto::messages::Status;
use notchwharf_routing::balancer::key_of;
use rstest::rstest;
use tokio::net::UdpSocket;

/// Heartbeat interval of a host.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);

/// A simulated peer that only sends datagrams.
struct Peer {
    socket: UdpSocket,
    host: SocketAddr,
}

impl Peer {
    async fn connect(host: SocketAddr) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        Self { socket, host }
    }

    async fn send_status(&self, name: &str, incarnation: u64, number: u64, loads: &[(&str, u32)]) {
        let status = status(name, incarnation, number, loads);
        self.send(&PeerMessage::Status(status)).await;
    }

    async fn send(&self, message: &PeerMessage) {
        let bytes = messages::encode(message);
        self.socket.send_to(&bytes, self.host).await.unwrap();
    }
}

fn status(name: &str, incarnation: u64, number: u64, loads: &[(&str, u32)]) -> Status {
    let loads = loads.iter().map(|(target, online)| Load {
        target: key_of(target),
        online: *online,
        batch: 0,
    });
    Status {
        host: name.to_owned(),
        incarnation,
        number,
        store_up: true,
        loads: loads.collect(),
        ..Status::default()
    }
}

#[tokio::test]
async fn peer_that_restarts_after_its_clock_was_set_back_is_detected() {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    let peer = Peer::connect(host.ctx().settings.host.peer_listen).await;
    peer.send_status("b1", 1_000, 50, &[]).await;
    wait_until("the peer is alive", || host.ctx().peers_alive() == 1).await;
    wait_until("its failure is detected", || host.ctx().peers_alive() == 0).await;
    // It restarts with an earlier time of day.
    peer.send_status("b1", 500, 1, &[("t1", 2)]).await;
    wait_until("the peer is alive again", || host.ctx().peers_alive() == 1).await;
    assert_eq!(host.ctx().load_of("t1").online, 2);
}

#[tokio::test]
async fn outdated_status_of_a_live_peer_is_ignored() {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness
        .start_with("a1", |settings| settings.peers.down_ms = 60_000)
        .await;
    host.wait_ready().await;
    let peer = Peer::connect(host.ctx().settings.host.peer_listen).await;
    peer.send_status("b1", 1_000, 2, &[("t1", 2)]).await;
    for (incarnation, number) in [(500, 9), (1_000, 1), (1_000, 2)] {
        peer.send_status("b1", incarnation, number, &[("t1", 7)])
            .await;
    }
    // A status of another peer is handled after all of these.
    peer.send_status("c1", 1, 1, &[("t2", 1)]).await;
    wait_until("all is read", || host.ctx().load_of("t2").online == 1).await;
    assert_eq!(host.ctx().load_of("t1").online, 2);
}

/// Returns hosts of one data centre that know the address of a host in `data_centre` that has
/// just failed.
async fn hosts_with_failed_peer(
    harness: &Harness,
    count: usize,
    data_centre: &'static str,
) -> Vec<RunningHost> {
    let configure = |settings: &mut Settings| settings.host.data_centre = data_centre.into();
    let failed = harness.start_with("x1", configure).await;
    let mut hosts = Vec::new();
    for number in 0..count {
        hosts.push(harness.start_ready(&format!("a{number}")).await);
    }
    wait_until("all know each other", || {
        let knows =
            |h: &RunningHost| h.ctx().peers_alive() == count && h.ctx().peers_listed() == count;
        hosts.iter().all(knows)
    })
    .await;
    failed.kill();
    wait_until("the failure is detected", || {
        hosts.iter().all(|h| h.ctx().peers_alive() == count - 1)
    })
    .await;
    hosts
}

#[tokio::test]
async fn relayed_status_is_applied() {
    let harness = Harness::new(&["t1"]);
    let hosts = hosts_with_failed_peer(&harness, 1, "e").await;
    let host = &hosts[0];
    let peer = Peer::connect(host.ctx().settings.host.peer_listen).await;
    let unknown = status("y1", u64::MAX, 1, &[("t1", 5)]);
    let known = status("x1", u64::MAX, 1, &[("t1", 2)]);
    peer.send(&PeerMessage::PassedOn(vec![unknown, known]))
        .await;
    wait_until("the relayed peer is alive", || {
        host.ctx().peers_alive() == 1
    })
    .await;
    // The address of the other host is unknown, so its status is ignored.
    assert_eq!(host.ctx().load_of("t1").online, 2);
}

#[rstest]
#[case::of_another_data_centre("e", true)]
#[case::of_the_same("d", false)]
#[tokio::test]
async fn status_of_a_remote_host_is_relayed_to_all_local_ones(
    #[case] data_centre: &'static str,
    #[case] is_relayed: bool,
) {
    let harness = Harness::new(&["t1"]);
    let hosts = hosts_with_failed_peer(&harness, 5, data_centre).await;
    let peer = Peer::connect(hosts[0].ctx().settings.host.peer_listen).await;
    let metrics = &hosts[0].ctx().metrics;
    let relayed = || metrics.counted(Counted::Datagrams, "passed on");
    // Until the list is read, hosts do not know which ones are local.
    let relayed_before = relayed();
    peer.send_status("x1", u64::MAX, 1, &[("t1", 2)]).await;
    wait_until("the recipient has applied the status", || {
        hosts[0].ctx().load_of("t1").online == 2
    })
    .await;
    if !is_relayed {
        assert_eq!(relayed(), relayed_before);
        return;
    }
    // Repeated at each heartbeat, since a host relays nothing until it knows from the list which
    // hosts are local.
    let started_at = Instant::now();
    let is_known = || hosts.iter().all(|h| h.ctx().load_of("t1").online == 2);
    for number in 2.. {
        peer.send_status("x1", u64::MAX, number, &[("t1", 2)]).await;
        if is_known() {
            break;
        }
        assert!(started_at.elapsed() < WAIT_MAX, "the status is not relayed");
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

#[tokio::test]
async fn hosts_of_two_data_centres_know_the_load_of_each() {
    let harness = Harness::new(&["t1", "t2"]);
    let mut hosts = Vec::new();
    for number in 0..20 {
        let data_centre = if number % 2 == 0 { "d" } else { "e" };
        let configure = |settings: &mut Settings| settings.host.data_centre = data_centre.into();
        hosts.push(harness.start_with(&format!("a{number}"), configure).await);
    }
    for host in &hosts {
        host.wait_ready().await;
    }
    wait_until("all know each other", || {
        hosts.iter().all(|h| h.ctx().peers_alive() == 19)
    })
    .await;
    harness.targets.hold();
    let ctx = hosts[0].ctx().clone();
    let serving = tokio::spawn(async move {
        let request = harness::request(harness::RESUMABLE, "r1");
        notchwharf_gateway::online::serve(&ctx, request, Instant::now()).await
    });
    let response = serving.await.unwrap().unwrap();
    wait_until("all know of the request", || {
        hosts.iter().all(|h| {
            let loads = ["t1", "t2"].map(|target| h.ctx().load_of(target).online);
            loads.iter().sum::<u32>() == 1
        })
    })
    .await;
    drop(response);
    wait_until("all know that it ended", || {
        hosts.iter().all(|h| {
            ["t1", "t2"]
                .iter()
                .all(|target| h.ctx().load_of(target).online == 0)
        })
    })
    .await;
}

/// A host leaves slots to a peer's items with earlier due times, and uses them itself if the
/// peer, which may be stalled, does not.
#[tokio::test]
async fn items_wait_a_limited_time_for_a_peer_s_items_due_first() {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    let peer = Peer::connect(a1.ctx().settings.host.peer_listen).await;
    let first = PeerMessage::Status(Status {
        waiting: vec![messages::WaitingItems {
            due_unix_ms: 1,
            items: 7,
        }],
        ..status("a2", 1, 1, &[])
    });
    while a1.ctx().peers_alive() == 0 {
        peer.send(&first).await;
        tokio::task::yield_now().await;
    }
    a1.submit("j1", 1, 10).await.unwrap();
    wait_until("it knows of the items due first", || {
        a1.ctx().metrics.text().contains("items_ahead\"} 7")
    })
    .await;
    a1.results("j1", 1).await;
}

/// Guards against a host that deleted its entry when it shut down and is kept by others, which
/// marked it as silent later and so wrote its entry again: the list grew with each host removed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_has_shut_down_is_forgotten() {
    let harness = Harness::new(&["t1"]);
    // The deletion is read before the failure is detected.
    let late = |settings: &mut Settings| settings.peers.down_ms = 2_500;
    let remaining = harness.start_with("a1", late).await;
    remaining.wait_ready().await;
    let leaving = harness.start_ready("a2").await;
    let ctx = remaining.ctx();
    wait_until("both are listed", || {
        harness.store.key_count(Topic::Hosts) == 2 && ctx.peers_listed() == 1
    })
    .await;
    wait_until("it is alive", || ctx.peers_alive() == 1).await;
    leaving.shut_down().await;
    wait_until("its failure is detected", || ctx.peers_alive() == 0).await;
    wait_until("it is forgotten", || ctx.peers_listed() == 0).await;
    assert_eq!(harness.store.key_count(Topic::Hosts), 1);
}

/// Guards against a host that keeps others whose entries were deleted in records that it never
/// read, as the store no longer has them: a listing then lacks their entries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_missing_from_a_listing_is_forgotten() {
    let harness = Harness::new(&["t1"]);
    let (host, connection, leaving) = start_two_hosts(&harness).await;
    let ctx = host.ctx();
    wait_until("both are listed", || {
        harness.store.key_count(Topic::Hosts) == 2 && ctx.peers_listed() == 1
    })
    .await;
    close_connection(&host, &connection).await;
    leaving.shut_down().await;
    harness.store.expire_history();
    connection.set_closed(false);
    wait_until("it is forgotten", || ctx.peers_listed() == 0).await;
    assert_eq!(harness.store.key_count(Topic::Hosts), 1);
}
