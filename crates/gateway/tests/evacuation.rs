//! Evacuated data centres and cold targets.
//!
//! Guards against requests and items that reach targets of an evacuated data centre, whether
//! the host learns of the evacuation from the store or from a peer, and against cold targets
//! that receive more concurrent requests than their rate allows.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use harness::Harness;
use harness::RunningHost;
use harness::close_connection;
use harness::start_two_hosts;
use harness::wait_until;
use notchwharf_gateway::error::Failure;
use notchwharf_gateway::ports::Topic;
use rstest::rstest;

/// Returns a harness with a target in each of two data centres.
fn harness() -> Harness {
    let harness = Harness::new(&[]);
    harness.store.put_target("t1", "up@d");
    harness.store.put_target("t2", "up@e");
    harness
}

async fn wait_until_evacuated(host: &RunningHost, data_centres: usize) {
    let line = format!("name=\"data_centres_evacuated\"}} {data_centres}");
    wait_until("the evacuation is known", || {
        host.ctx().metrics.text().contains(&line)
    })
    .await;
}

/// Sends ten requests and returns the distinct targets that ran them.
async fn targets_used(harness: &Harness, host: &RunningHost, name: &str) -> Vec<String> {
    let mut targets = Vec::new();
    for number in 0..10 {
        let id = format!("{name}-{number}");
        host.send(harness::NON_RESUMABLE, &id).await.unwrap();
        targets.extend(
            harness
                .targets
                .runs(&id)
                .into_iter()
                .map(|(target, _)| target),
        );
    }
    targets.sort();
    targets.dedup();
    targets
}

#[tokio::test]
async fn evacuated_data_centre_receives_nothing_until_evacuation_ends() {
    let harness = harness();
    let host = harness.start_ready("a1").await;
    wait_until("both targets are known", || host.ctx().targets_known() == 2).await;
    assert!(
        targets_used(&harness, &host, "r")
            .await
            .contains(&"t1".to_owned())
    );
    harness.store.set_evacuated("d", true);
    wait_until_evacuated(&host, 1).await;
    assert_eq!(targets_used(&harness, &host, "s").await, ["t2"]);
    host.submit("j1", 4, 10).await.unwrap();
    host.results("j1", 4).await;
    for item in 0..4 {
        let runs = harness.targets.runs(&format!("j1-{item}"));
        assert!(runs.iter().all(|(target, _)| target == "t2"), "{runs:?}");
    }
    harness.store.set_evacuated("d", false);
    wait_until_evacuated(&host, 0).await;
    assert!(
        targets_used(&harness, &host, "u")
            .await
            .contains(&"t1".to_owned())
    );
}

#[tokio::test]
async fn requests_are_refused_as_not_run_if_all_data_centres_are_evacuated() {
    let harness = harness();
    let host = harness.start_ready("a1").await;
    harness.store.set_evacuated("d", true);
    harness.store.set_evacuated("e", true);
    wait_until_evacuated(&host, 2).await;
    let refused = host.send(harness::NON_RESUMABLE, "r1").await.unwrap_err();
    assert!(matches!(refused, Failure::NotRun { .. }), "{refused:?}");
    assert!(harness.targets.runs("r1").is_empty());
}

#[rstest]
#[case::from_records(false)]
#[case::from_listing_after_records_expired(true)]
#[tokio::test]
async fn host_started_during_evacuation_applies_it(#[case] is_expired: bool) {
    let harness = harness();
    harness.store.set_evacuated("e", true);
    harness.store.set_evacuated("e", false);
    harness.store.set_evacuated("d", true);
    if is_expired {
        harness.store.expire_history();
    }
    let host = harness.start_ready("a1").await;
    wait_until_evacuated(&host, 1).await;
    assert_eq!(targets_used(&harness, &host, "r").await, ["t2"]);
}

#[tokio::test]
async fn evacuation_ends_if_the_deletion_expired_unread() {
    let harness = harness();
    let host = harness.start_ready("a1").await;
    harness.store.set_evacuated("d", true);
    wait_until_evacuated(&host, 1).await;
    harness.store.fail_next_read(Topic::Config);
    harness.store.set_evacuated("d", false);
    harness.store.expire_history();
    wait_until_evacuated(&host, 0).await;
}

#[tokio::test]
async fn host_without_store_access_learns_of_evacuation_from_peer() {
    let harness = harness();
    let (partitioned, connection, _connected) = start_two_hosts(&harness).await;
    close_connection(&partitioned, &connection).await;
    harness.store.set_evacuated("d", true);
    wait_until_evacuated(&partitioned, 1).await;
    harness.store.set_evacuated("d", false);
    wait_until_evacuated(&partitioned, 0).await;
}

#[tokio::test]
async fn cold_target_receives_fewer_concurrent_requests() {
    let harness = Harness::new(&[]);
    harness.store.put_target("t1", "cold");
    let host = harness.start_ready("a1").await;
    harness.targets.hold();
    let running = host.send(harness::NON_RESUMABLE, "r1");
    let refused = async {
        wait_until("the first request runs", || harness.targets.active() == 1).await;
        let refused = host.send(harness::NON_RESUMABLE, "r2").await.unwrap_err();
        harness.targets.release();
        refused
    };
    let (response, refused) = futures_util::future::join(running, refused).await;
    assert!(matches!(refused, Failure::NotRun { .. }), "{refused:?}");
    response.unwrap();
    harness.store.put_target("t1", "up");
    wait_until("the target is no longer cold", || {
        host.ctx().targets_read_to() == 2
    })
    .await;
    let requests = [
        host.send(harness::NON_RESUMABLE, "r3"),
        host.send(harness::NON_RESUMABLE, "r4"),
    ];
    for response in futures_util::future::join_all(requests).await {
        response.unwrap();
    }
}
