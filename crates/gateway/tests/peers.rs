//! What a host makes of datagrams from peers, sent by hand.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use harness::Harness;
use harness::RunningHost;
use harness::WAIT_MAX;
use harness::wait_until;
use notchwharf_config::gateway::Settings;
use notchwharf_gateway::metrics::Counted;
use notchwharf_proto::messages;
use notchwharf_proto::messages::Load;
use notchwharf_proto::messages::PeerMessage;
use notchwharf_proto::messages::Status;
use notchwharf_routing::balancer::key_of;
use rstest::rstest;
use tokio::net::UdpSocket;

/// Time between two words of a host without news.
const BEAT: Duration = Duration::from_millis(20);

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
        let status = status(name, incarnation, number, loads);
        self.sends(&PeerMessage::Status(status)).await;
    }

    async fn sends(&self, news: &PeerMessage) {
        let bytes = messages::encode(news);
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
async fn a_peer_whose_clock_was_set_back_before_it_started_again_is_heard() {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    let peer = Peer::of(host.ctx().settings.host.peer_listen).await;
    peer.says("b1", 1_000, 50, &[]).await;
    wait_until("the peer is heard", || host.ctx().peers_alive() == 1).await;
    wait_until("its silence is noticed", || host.ctx().peers_alive() == 0).await;
    // It starts again, two seconds earlier by its clock.
    peer.says("b1", 500, 1, &[("t1", 2)]).await;
    wait_until("the peer is heard again", || host.ctx().peers_alive() == 1).await;
    assert_eq!(host.ctx().load_of("t1").online, 2);
}

#[tokio::test]
async fn old_news_of_a_peer_that_is_alive_does_not_count() {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness
        .start_with("a1", |settings| settings.peers.down_ms = 60_000)
        .await;
    host.wait_ready().await;
    let peer = Peer::of(host.ctx().settings.host.peer_listen).await;
    peer.says("b1", 1_000, 2, &[("t1", 2)]).await;
    for (incarnation, number) in [(500, 9), (1_000, 1), (1_000, 2)] {
        peer.says("b1", incarnation, number, &[("t1", 7)]).await;
    }
    // What another says is read after all of that.
    peer.says("c1", 1, 1, &[("t2", 1)]).await;
    wait_until("all is read", || host.ctx().load_of("t2").online == 1).await;
    assert_eq!(host.ctx().load_of("t1").online, 2);
}

/// Returns hosts of one data centre that know where a host in another or the
/// same one was, which has just fallen silent.
async fn hosts_and_a_silent_one(
    harness: &Harness,
    near: usize,
    data_centre: &'static str,
) -> Vec<RunningHost> {
    let place = |settings: &mut Settings| settings.host.data_centre = data_centre.into();
    let far = harness.start_with("x1", place).await;
    let mut hosts = Vec::new();
    for number in 0..near {
        hosts.push(harness.start_ready(&format!("a{number}")).await);
    }
    wait_until("all know each other", || {
        let knows =
            |h: &RunningHost| h.ctx().peers_alive() == near && h.ctx().peers_listed() == near;
        hosts.iter().all(knows)
    })
    .await;
    far.kill();
    wait_until("the silence is noticed", || {
        hosts.iter().all(|h| h.ctx().peers_alive() == near - 1)
    })
    .await;
    hosts
}

#[tokio::test]
async fn news_that_another_host_passes_on_counts() {
    let harness = Harness::new(&["t1"]);
    let hosts = hosts_and_a_silent_one(&harness, 1, "e").await;
    let host = &hosts[0];
    let peer = Peer::of(host.ctx().settings.host.peer_listen).await;
    let unknown = status("y1", u64::MAX, 1, &[("t1", 5)]);
    let known = status("x1", u64::MAX, 1, &[("t1", 2)]);
    peer.sends(&PeerMessage::PassedOn(vec![unknown, known]))
        .await;
    wait_until("it is heard", || host.ctx().peers_alive() == 1).await;
    // Where the other host is nobody knows yet, so it does not count.
    assert_eq!(host.ctx().load_of("t1").online, 2);
}

#[rstest]
#[case::of_another_data_centre("e", true)]
#[case::of_the_same("d", false)]
#[tokio::test]
async fn news_of_a_host_far_away_reaches_all_near_the_one_that_was_told(
    #[case] data_centre: &'static str,
    #[case] is_passed_on: bool,
) {
    let harness = Harness::new(&["t1"]);
    let hosts = hosts_and_a_silent_one(&harness, 5, data_centre).await;
    let told = Peer::of(hosts[0].ctx().settings.host.peer_listen).await;
    let metrics = &hosts[0].ctx().metrics;
    let passed_on = || metrics.counted(Counted::Datagrams, "passed on");
    // Until the list is read nobody knows who is near.
    let passed_on_before = passed_on();
    told.says("x1", u64::MAX, 1, &[("t1", 2)]).await;
    wait_until("the one that was told knows", || {
        hosts[0].ctx().load_of("t1").online == 2
    })
    .await;
    if !is_passed_on {
        assert_eq!(passed_on(), passed_on_before);
        return;
    }
    // It is said again in each beat: a host that does not know yet who is near it from
    // the list passes nothing on.
    let begun = Instant::now();
    let is_known = || hosts.iter().all(|h| h.ctx().load_of("t1").online == 2);
    for number in 2.. {
        told.says("x1", u64::MAX, number, &[("t1", 2)]).await;
        if is_known() {
            break;
        }
        assert!(begun.elapsed() < WAIT_MAX, "the others do not know");
        tokio::time::sleep(BEAT).await;
    }
}

#[tokio::test]
async fn many_hosts_in_two_data_centres_know_what_each_runs() {
    let harness = Harness::new(&["t1", "t2"]);
    let mut hosts = Vec::new();
    for number in 0..20 {
        let data_centre = if number % 2 == 0 { "d" } else { "e" };
        let place = |settings: &mut Settings| settings.host.data_centre = data_centre.into();
        hosts.push(harness.start_with(&format!("a{number}"), place).await);
    }
    for host in &hosts {
        host.wait_ready().await;
    }
    wait_until("all know each other", || {
        hosts.iter().all(|h| h.ctx().peers_alive() == 19)
    })
    .await;
    harness.targets.hold();
    let asked = hosts[0].ctx().clone();
    let asked = tokio::spawn(async move {
        let request = harness::request(harness::RESUMABLE, "r1");
        notchwharf_gateway::online::serve(&asked, request, Instant::now()).await
    });
    let answer = asked.await.unwrap().unwrap();
    wait_until("all know of the request", || {
        hosts.iter().all(|h| {
            let loads = ["t1", "t2"].map(|target| h.ctx().load_of(target).online);
            loads.iter().sum::<u32>() == 1
        })
    })
    .await;
    drop(answer);
    wait_until("all know of its end", || {
        hosts.iter().all(|h| {
            ["t1", "t2"]
                .iter()
                .all(|target| h.ctx().load_of(target).online == 0)
        })
    })
    .await;
}

/// A host leaves places to a peer's items that are due first, and takes them
/// when the peer, which may be frozen, does not.
#[tokio::test]
async fn items_wait_for_a_peer_s_that_are_due_first_and_not_for_ever() {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    let peer = Peer::of(a1.ctx().settings.host.peer_listen).await;
    let first = PeerMessage::Status(Status {
        waiting: vec![messages::WaitingItems {
            due_unix_ms: 1,
            items: 7,
        }],
        ..status("a2", 1, 1, &[])
    });
    while a1.ctx().peers_alive() == 0 {
        peer.sends(&first).await;
        tokio::task::yield_now().await;
    }
    a1.submit("j1", 1, 10).await.unwrap();
    wait_until("it sees what comes first", || {
        a1.ctx().metrics.text().contains("items_ahead\"} 7")
    })
    .await;
    a1.results("j1", 1).await;
}
