//! One host of a data centre reads the log and distributes it to the others.
//!
//! Guards against each host reading the log itself: with 985 hosts the calls exceeded the
//! capacity of the store, which refused all hosts from the third second on, and the fleet
//! never became ready.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use std::time::Duration;

use harness::Harness;
use harness::RunningHost;
use harness::store::ScriptedStore;
use harness::wait_until;
use notchwharf_gateway::ports::Topic;
use notchwharf_proto::messages;
use notchwharf_proto::messages::PeerMessage;
use notchwharf_proto::records::Announcement;
use notchwharf_proto::records::Reading;
use notchwharf_proto::records::TargetChange;
use notchwharf_proto::records::Targets;
use notchwharf_proto::records::TargetsChecksum;
use rstest::rstest;
use tokio::net::UdpSocket;

const DATA_CENTRES: usize = 2;
/// Hosts per data centre, which form a cell.
const HOSTS: usize = 6;

/// A fleet in cells, with a separate connection to the store per host.
struct Fleet {
    harness: Harness,
    hosts: Vec<RunningHost>,
    connections: Vec<ScriptedStore>,
}

impl Fleet {
    async fn start(targets: &[&str]) -> Self {
        let harness = Harness::new(targets);
        let (mut hosts, mut connections) = (Vec::new(), Vec::new());
        for number in 0..DATA_CENTRES * HOSTS {
            let data_centre = number / HOSTS;
            let connection = harness.store.connection();
            let name = format!("h{data_centre}-{number}");
            let started = harness.start_with_store(&name, connection.clone(), |settings| {
                settings.host.data_centre = format!("d{data_centre}");
                settings.peers.cell_hosts_max = u32::try_from(HOSTS).unwrap();
            });
            hosts.push(started.await);
            connections.push(connection);
        }
        let fleet = Self {
            harness,
            hosts,
            connections,
        };
        for host in &fleet.hosts {
            host.wait_ready().await;
        }
        fleet.wait_until_one_reads(HOSTS).await;
        fleet
    }

    /// Returns the hosts of the first data centre that read.
    fn readers(&self) -> Vec<usize> {
        let first = self.hosts.iter().enumerate();
        let first = first.filter(|(_, host)| host.ctx().settings.host.data_centre == "d0");
        first
            .filter(|(_, host)| host.ctx().reads_log())
            .map(|(number, _)| number)
            .collect()
    }

    async fn wait_until_one_reads(&self, hosts: usize) {
        wait_until("the list is known and one host reads", || {
            let first = self.hosts.iter().filter(|host| {
                let ctx = host.ctx();
                ctx.settings.host.data_centre == "d0"
                    && ctx.peers_listed() + 1 >= DATA_CENTRES * HOSTS
            });
            first.count() == hosts && self.readers().len() == 1
        })
        .await;
    }

    async fn wait_until_all_know(&self, target: &str) {
        wait_until("all hosts know a target", || {
            let mut hosts = self.hosts.iter();
            hosts.all(|host| host.ctx().is_target_known(target))
        })
        .await;
    }
}

#[tokio::test]
async fn records_read_by_one_host_reach_all() {
    let fleet = Fleet::start(&["t1", "t2"]).await;
    let store = &fleet.harness.store;
    store.put_target("t3", "up");
    fleet.wait_until_all_know("t3").await;
    store.put_target("t1", "leaving");
    wait_until("all know that it leaves", || {
        fleet.hosts.iter().all(|host| host.ctx().is_leaving("t1"))
    })
    .await;
    store.delete_target("t2");
    wait_until("all know that it is removed", || {
        let mut hosts = fleet.hosts.iter();
        hosts.all(|host| !host.ctx().is_target_known("t2"))
    })
    .await;
    fleet.harness.configure(5, true);
    wait_until("all have applied the configuration", || {
        let mut tables = fleet.hosts.iter().map(|host| host.ctx().table().unwrap());
        tables.all(|table| table.version() == 5)
    })
    .await;
    assert_eq!(fleet.readers().len(), 1);
}

#[tokio::test]
async fn reads_scale_with_data_centres_not_hosts() {
    let fleet = Fleet::start(&["t1"]).await;
    let store = &fleet.harness.store;
    let before = store.read_count(Topic::Targets);
    for number in 0..10 {
        store.put_target(&format!("n{number}"), "up");
        fleet.wait_until_all_know(&format!("n{number}")).await;
    }
    let reads = store.read_count(Topic::Targets) - before;
    // Each record ends a waiting read; without records, reads end once a second.
    let limit = DATA_CENTRES * (10 + 20);
    assert!(reads <= limit, "{reads} reads");
}

#[tokio::test]
async fn unchanged_heartbeats_are_not_distributed() {
    let fleet = Fleet::start(&["t1", "t2"]).await;
    let (reader, other) = (fleet.readers()[0], HOSTS - 1 - fleet.readers()[0] % HOSTS);
    let other = if other == reader {
        (other + 1) % HOSTS
    } else {
        other
    };
    let requests = || {
        let text = fleet.hosts[other].ctx().metrics.text();
        let line = text.lines().find(|line| line.contains("\"peer asked\""));
        line.map(ToOwned::to_owned)
    };
    let before = requests();
    for _ in 0..20 {
        fleet.harness.store.put_target("t1", "up");
        fleet.harness.store.put_target("t2", "up");
    }
    let ctx = fleet.hosts[other].ctx();
    wait_until("the host knows the end of the log", || {
        ctx.targets_read_to() >= 42
    })
    .await;
    assert_eq!(requests(), before);
}

#[tokio::test]
async fn another_host_reads_after_the_reader_fails() {
    let mut fleet = Fleet::start(&["t1"]).await;
    let reader = fleet.readers()[0];
    fleet.hosts.remove(reader).kill();
    fleet.harness.store.put_target("t2", "up");
    fleet.wait_until_all_know("t2").await;
    wait_until("one host reads again", || fleet.readers().len() == 1).await;
}

#[rstest]
#[case::the_reader(1)]
#[case::half(HOSTS / 2)]
#[case::all_but_one(HOSTS - 1)]
#[tokio::test]
async fn hosts_refused_by_the_store_are_replaced_and_updated(#[case] refused: usize) {
    let fleet = Fleet::start(&["t1"]).await;
    let reader = fleet.readers()[0];
    let others = (0..HOSTS).filter(|number| *number != reader);
    for number in [reader].into_iter().chain(others).take(refused) {
        fleet.connections[number].set_closed(true);
    }
    fleet.harness.store.put_target("t2", "up");
    fleet.wait_until_all_know("t2").await;
    fleet.harness.store.delete_target("t2");
    wait_until("all know that it is removed", || {
        let mut hosts = fleet.hosts.iter();
        hosts.all(|host| !host.ctx().is_target_known("t2"))
    })
    .await;
    fleet
        .connections
        .iter()
        .for_each(|connection| connection.set_closed(false));
    fleet.harness.store.put_target("t3", "up");
    fleet.wait_until_all_know("t3").await;
    wait_until("the first one reads again", || fleet.readers() == [reader]).await;
}

#[tokio::test]
async fn a_host_behind_the_retained_log_is_sent_all_entries() {
    let fleet = Fleet::start(&["t1"]).await;
    let reader = fleet.readers()[0];
    fleet.connections[reader].set_closed(true);
    wait_until("the store is unavailable", || {
        !fleet.hosts[reader].ctx().is_store_up()
    })
    .await;
    fleet.harness.store.put_target("t2", "up");
    fleet.harness.store.delete_target("t1");
    fleet.harness.store.expire_history();
    fleet.connections[reader].set_closed(false);
    fleet.wait_until_all_know("t2").await;
    wait_until("the target deleted meanwhile is removed", || {
        let mut hosts = fleet.hosts.iter();
        hosts.all(|host| !host.ctx().is_target_known("t1"))
    })
    .await;
}

/// Returns a forged announcement of a target's removal.
fn forged(from: u64, to: u64, offset: u64) -> Announcement {
    Announcement {
        reader: "h0-9".into(),
        incarnation: 1,
        reading: Reading {
            age_ms: Some(1),
            ..Reading::default()
        },
        targets: Targets {
            from,
            to,
            end: to,
            changes: vec![TargetChange {
                id: "t1".into(),
                offset,
                target: None,
            }],
            ..Targets::default()
        },
        ..Announcement::default()
    }
}

#[rstest]
#[case::of_another_log(1_000_000, 2_000_000, 1_500_000)]
#[case::long_past(0, 1, 0)]
#[case::reversed_range(9, 3, 5)]
#[tokio::test]
async fn inconsistent_announcements_change_nothing(
    #[case] from: u64,
    #[case] to: u64,
    #[case] offset: u64,
) {
    let fleet = Fleet::start(&["t1", "t2"]).await;
    let reader = fleet.readers()[0];
    let other = &fleet.hosts[(reader + 1) % HOSTS];
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let bytes = messages::encode(&PeerMessage::Announcement(forged(from, to, offset)));
    let addr = other.ctx().settings.host.peer_listen;
    socket.send_to(&bytes, addr).await.unwrap();
    // The next announcement of the reader must still be applied.
    fleet.harness.store.put_target("t3", "up");
    fleet.wait_until_all_know("t3").await;
    assert!(other.ctx().is_target_known("t1"));
    tokio::time::timeout(
        Duration::from_secs(20),
        other.send(harness::NON_RESUMABLE, "r1"),
    )
    .await
    .unwrap()
    .unwrap();
}

/// Guards against a host whose targets differ from the reader's without anyone finding out.
#[tokio::test]
async fn targets_that_differ_for_long_are_reported() {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    let ctx = host.ctx();
    wait_until("the target is known", || ctx.is_target_known("t1")).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let message = PeerMessage::TargetsChecksum(TargetsChecksum {
        reader: "a2".into(),
        end: ctx.targets_read_to(),
        checksum: 1,
        ..TargetsChecksum::default()
    });
    let bytes = messages::encode(&message);
    wait_until("the difference is reported", || {
        // Another message follows if this one is lost.
        let _ = socket.try_send_to(&bytes, ctx.settings.host.peer_listen);
        ctx.metrics.text().contains("name=\"targets_differ\"} 1")
    })
    .await;
}

#[tokio::test]
async fn targets_that_are_equal_are_not_reported() {
    let fleet = Fleet::start(&["t1", "t2"]).await;
    wait_until("all have compared their targets", || {
        let mut hosts = fleet.hosts.iter().filter(|host| !host.ctx().reads_log());
        hosts.all(|host| {
            let text = host.ctx().metrics.text();
            text.contains("name=\"targets_differ\"} 0")
        })
    })
    .await;
}
