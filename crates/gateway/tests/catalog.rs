//! Routes and targets, as hosts learn of them.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use std::time::Duration;
use std::time::Instant;

use harness::Harness;
use harness::RunningHost;
use harness::start_two_hosts;
use harness::wait_until;
use notchwharf_gateway::metrics::Counted;
use notchwharf_gateway::ports::Topic;
use rstest::rstest;

fn version(host: &RunningHost) -> Option<u64> {
    host.ctx().table().map(|t| t.version())
}

#[tokio::test]
async fn a_target_that_leaves_or_is_gone_gets_nothing_new() {
    let harness = Harness::new(&["t1", "t2", "t3"]);
    let host = harness.start_ready("a1").await;
    wait_until("all are known", || host.ctx().targets_known() == 3).await;
    harness.store.put_target("t1", "leaving");
    harness.store.delete_target("t2");
    wait_until("one is gone", || host.ctx().targets_known() == 2).await;
    wait_until("one is leaving", || host.ctx().is_leaving("t1")).await;
    for number in 0..6 {
        let id = format!("r{number}");
        host.send(harness::NON_RESUMABLE, &id).await.unwrap();
        assert_eq!(harness.targets.runs(&id)[0].0, "t3");
    }
}

/// Regression: a host that had been cut from the store some seconds before
/// kept a target in use after its entry was gone (vantu-lectii, scale-2).
#[tokio::test]
async fn an_entry_that_goes_well_after_an_outage_counts_at_once() {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness.start_ready("a1").await;
    wait_until("all are known", || host.ctx().targets_known() == 2).await;
    harness.store.set_closed(true);
    wait_until("the store is lost", || !host.ctx().is_store_up()).await;
    harness.store.set_closed(false);
    wait_until("the store is back", || host.ctx().is_store_up()).await;
    let back = Instant::now();
    let grace = Duration::from_millis(2_300);
    wait_until("the outage is over", || back.elapsed() > grace).await;
    let gone = Instant::now();
    harness.store.delete_target("t1");
    wait_until("it is gone", || host.ctx().targets_known() == 1).await;
    assert!(gone.elapsed() < Duration::from_millis(1_500));
}

/// Regression. Requests reached a target 2,098 ms after the store had said that
/// it was gone; 2,000 ms are allowed.
///
/// Connections to the store fell silent for a moment, then the store served
/// again. Several seconds later the entry went, and nine hosts read so within
/// 4 ms. Seven stopped at once. Two kept the target for 2.2 s from the last
/// failed call they had noticed, as if its entry might have lapsed.
///
/// The cause: that call was about something else, and had failed long before it
/// was noticed. The log of failed calls showed a reading of the hosts, begun
/// 10.7 s before on a connection that fell silent meanwhile, and a reading of
/// job records on a kept connection that had been silent for 3 s. No call that
/// was begun after the silence failed.
#[rstest]
#[tokio::test]
async fn a_failed_call_about_something_else_keeps_no_target_that_is_gone(
    #[values(Topic::Hosts, Topic::Jobs, Topic::Config)] topic: Topic,
) {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness.start_ready("a1").await;
    wait_until("all are known", || host.ctx().targets_known() == 2).await;
    let before = harness.store.read_count(topic);
    harness.store.fail_next_read(topic);
    // The next one begins after the failure was noticed.
    wait_until("it is read again", || {
        harness.store.read_count(topic) > before + 1
    })
    .await;
    harness.store.delete_target("t1");
    harness.store.put_target("t3", "up");
    wait_until("the later record is known", || {
        host.ctx().is_target_known("t3")
    })
    .await;
    assert!(!host.ctx().is_target_known("t1"));
}

/// Regression. Two hosts counted the store as lost 0.2 s after its last answer
/// and refused jobs for a moment: readings that had waited 2.7 s on connections
/// that had fallen silent were noticed to fail one after the other. Their log
/// showed answers to calls that had been begun since.
#[tokio::test]
async fn readings_that_fail_late_do_not_make_the_store_lost() {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    let before = harness.store.read_count(Topic::Jobs);
    wait_until("the store has answered since", || {
        harness.store.read_count(Topic::Jobs) > before + 1
    })
    .await;
    let hosts = harness.store.read_count(Topic::Hosts);
    let config = harness.store.read_count(Topic::Config);
    harness.store.fail_next_read(Topic::Hosts);
    harness.store.fail_next_read(Topic::Config);
    wait_until("both are read again", || {
        harness.store.read_count(Topic::Hosts) > hosts
            && harness.store.read_count(Topic::Config) > config
    })
    .await;
    assert_eq!(
        host.ctx().metrics.counted(Counted::Changes, "store lost"),
        0
    );
}

/// Regression, found by reading: an entry that was written again between two
/// pages of a listing was left out of it, and its living target taken out until
/// the next reading. Here there is no next reading.
#[tokio::test]
async fn an_entry_written_while_a_listing_is_read_is_not_missing() {
    let harness = Harness::new(&["t1", "t2", "t3", "t4"]);
    harness.store.put_target_between_pages("t4", "up");
    for _ in 0..1_000 {
        harness.store.fail_next_read(Topic::Targets);
    }
    let host = harness.start_ready("a1").await;
    wait_until("all are known", || host.ctx().targets_known() == 4).await;
}

#[tokio::test]
async fn an_entry_that_lapsed_in_an_outage_is_kept_until_it_is_back() {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness.start_ready("a1").await;
    wait_until("all are known", || host.ctx().targets_known() == 2).await;
    harness.store.set_closed(true);
    wait_until("the store is lost", || !host.ctx().is_store_up()).await;
    harness.store.delete_target("t1");
    harness.store.delete_target("t2");
    harness.store.set_closed(false);
    wait_until("the store is back", || host.ctx().is_store_up()).await;
    harness.store.put_target("t1", "up");
    host.send(harness::NON_RESUMABLE, "r1").await.unwrap();
    wait_until("the other is taken for gone", || {
        host.ctx().targets_known() == 1
    })
    .await;
    assert!(!host.ctx().is_leaving("t1"));
}

#[tokio::test]
async fn a_host_that_is_cut_from_the_store_takes_routes_and_targets_from_a_peer() {
    let harness = Harness::new(&["t1"]);
    let (cut, connection, _whole) = start_two_hosts(&harness).await;
    connection.set_closed(true);
    harness.configure(5, true);
    harness.store.put_target("t2", "up");
    wait_until("the routes came from the peer", || version(&cut) == Some(5)).await;
    wait_until("the target came from the peer", || {
        cut.ctx().targets_known() == 2
    })
    .await;
    connection.set_closed(false);
    wait_until("the store is back", || cut.ctx().is_store_up()).await;
    assert_eq!(version(&cut), Some(5));
    harness.configure(9, true);
    wait_until("the store tells again", || version(&cut) == Some(9)).await;
}

#[tokio::test]
async fn an_unreadable_configuration_changes_nothing() {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    harness.store.put_config("nonsense");
    harness.configure(3, true);
    wait_until("the next one is in force", || version(&host) == Some(3)).await;
}

#[tokio::test]
async fn after_its_history_is_gone_the_store_s_newest_entries_count() {
    let harness = Harness::new(&["t1"]);
    let connection = harness.store.connection();
    let host = harness
        .start_with_store("a1", connection.clone(), |_| {})
        .await;
    host.wait_ready().await;
    connection.set_closed(true);
    wait_until("the store is lost", || !host.ctx().is_store_up()).await;
    harness.configure(2, true);
    harness.configure(4, true);
    harness.store.put_target("t2", "up");
    harness.store.expire_history();
    connection.set_closed(false);
    wait_until("the newest is in force", || version(&host) == Some(4)).await;
    wait_until("the new target is known", || {
        host.ctx().targets_known() == 2
    })
    .await;
}

/// Regression: a host took a target whose entry had lapsed from a peer that
/// was still waiting for it, and kept it for good (sul-permissoes-grown,
/// trouble-1).
#[tokio::test]
async fn a_lapsed_entry_that_does_not_come_back_is_not_handed_on_to_peers() {
    let harness = Harness::new(&["t1", "t2"]);
    let (connection_1, connection_2) = (harness.store.connection(), harness.store.connection());
    let cut = harness
        .start_with_store("a1", connection_1.clone(), |_| {})
        .await;
    let waiting = harness
        .start_with_store("a2", connection_2.clone(), |_| {})
        .await;
    for host in [&cut, &waiting] {
        host.wait_ready().await;
        wait_until("all is known", || {
            host.ctx().targets_known() == 2 && host.ctx().peers_alive() == 1
        })
        .await;
    }
    connection_1.set_closed(true);
    connection_2.set_closed(true);
    wait_until("the store is lost", || {
        !cut.ctx().is_store_up() && !waiting.ctx().is_store_up()
    })
    .await;
    harness.store.delete_target("t1");
    harness.configure(2, true);
    connection_2.set_closed(false);
    wait_until("the peer's news came", || version(&cut) == Some(2)).await;
    wait_until("the peer dropped it", || waiting.ctx().targets_known() == 1).await;
    wait_until("the other dropped it", || cut.ctx().targets_known() == 1).await;
}
