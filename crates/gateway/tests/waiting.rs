//! Online requests that wait at hosts while all places are taken: whole hosts, and failures
//! of theirs. The order itself is played in `notchwharf-waiting`.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use std::sync::Arc;

use harness::Harness;
use harness::Response;
use harness::RunningHost;
use harness::WITH_OBJECTIVE;
use harness::targets::full_response;
use harness::wait_until;
use notchwharf_config::gateway::Settings;
use notchwharf_gateway::error::Failure;
use notchwharf_gateway::metrics::Counted;
use notchwharf_listen::Phase;
use tokio::task::JoinHandle;

/// Places of a target.
const PLACES: usize = 2;

type Asked = JoinHandle<Result<Response, Failure>>;

/// Returns a harness of one target whose configuration tells workspaces apart.
fn harness() -> Harness {
    let harness = Harness::new(&["t1"]);
    harness.configure_keys(2, &[("k1", "choir"), ("k2", "band")]);
    harness.targets.hold();
    harness
}

fn ask(host: &Arc<RunningHost>, key: &'static str, id: &'static str) -> Asked {
    let host = Arc::clone(host);
    tokio::spawn(async move { host.send_to_with_key(WITH_OBJECTIVE, key, id).await })
}

fn waits(host: &RunningHost) -> u64 {
    host.ctx().metrics.counted(Counted::WaitQueue, "waits")
}

/// Sends a request, and returns once it waits.
async fn ask_waiting(host: &Arc<RunningHost>, key: &'static str, id: &'static str) -> Asked {
    let before = waits(host);
    let asked = ask(host, key, id);
    wait_until("the request waits", || waits(host) > before).await;
    asked
}

/// Starts a host that does not take silent streams elsewhere.
async fn start(harness: &Harness, name: &str) -> Arc<RunningHost> {
    let patient = |settings: &mut Settings| settings.online.stall_ms = 60_000;
    let host = harness.start_with(name, patient).await;
    host.wait_ready().await;
    Arc::new(host)
}

/// Takes all places of the target.
async fn fill(harness: &Harness, host: &Arc<RunningHost>) -> Vec<Asked> {
    let asked = vec![ask(host, "k1", "r1"), ask(host, "k1", "r2")];
    wait_until("all places are taken", || {
        harness.targets.active() == PLACES
    })
    .await;
    asked
}

/// Starts two hosts that know that all places are taken.
async fn two_hosts() -> (Harness, [Arc<RunningHost>; 2], Vec<Asked>) {
    let harness = harness();
    let a1 = start(&harness, "a1").await;
    let a2 = start(&harness, "a2").await;
    wait_until("hosts know each other", || a1.ctx().peers_alive() == 1).await;
    wait_until("hosts know each other", || a2.ctx().peers_alive() == 1).await;
    let first = fill(&harness, &a1).await;
    wait_until("the other host knows", || {
        a2.ctx().load_of("t1").online as usize == PLACES
    })
    .await;
    (harness, [a1, a2], first)
}

async fn assert_whole(asked: Asked, id: &str) {
    let answer = asked.await.unwrap().unwrap();
    assert_eq!(answer.text().unwrap(), full_response(id));
}

#[tokio::test]
async fn requests_wait_at_their_hosts_until_places_fall_free() {
    let (harness, [a1, a2], first) = two_hosts().await;
    let here = ask_waiting(&a1, "k1", "r3").await;
    let there = ask_waiting(&a2, "k2", "r4").await;
    assert_eq!(harness.targets.active(), PLACES);
    assert_eq!(harness.targets.runs("r3"), []);
    assert_eq!(harness.targets.runs("r4"), []);
    harness.targets.release();
    for (asked, id) in first.into_iter().zip(["r1", "r2"]) {
        assert_whole(asked, id).await;
    }
    assert_whole(here, "r3").await;
    assert_whole(there, "r4").await;
}

#[tokio::test]
async fn what_cannot_begin_in_time_is_refused_as_not_run() {
    let harness = harness();
    let host = start(&harness, "a1").await;
    let first = fill(&harness, &host).await;
    let refused = host
        .send_to_with_key(WITH_OBJECTIVE, "k2", "r3")
        .await
        .unwrap_err();
    let Failure::NotRun {
        retry_after,
        reason,
    } = refused
    else {
        panic!("{refused:?}");
    };
    assert_eq!(reason, "no room in time");
    assert!(!retry_after.is_zero());
    harness.targets.release();
    for (asked, id) in first.into_iter().zip(["r1", "r2"]) {
        assert_whole(asked, id).await;
    }
    assert_eq!(harness.targets.runs("r3"), []);
}

/// A caller leaves while its request waits: those behind it get its place.
#[tokio::test]
async fn a_caller_that_leaves_holds_no_place() {
    let harness = harness();
    let host = start(&harness, "a1").await;
    let first = fill(&harness, &host).await;
    let gone = ask_waiting(&host, "k2", "r3").await;
    gone.abort();
    assert!(gone.await.is_err());
    let next = ask_waiting(&host, "k2", "r4").await;
    harness.targets.release();
    for (asked, id) in first.into_iter().zip(["r1", "r2"]) {
        assert_whole(asked, id).await;
    }
    assert_whole(next, "r4").await;
    assert_eq!(harness.targets.runs("r3"), []);
    wait_until("all places are free", || {
        host.ctx().load_of("t1").online == 0
    })
    .await;
}

/// A host dies while a request of it is first: the place that is handed to it is lost on
/// the way, and the request behind it begins all the same.
#[tokio::test]
async fn a_place_that_is_handed_to_a_host_that_died_is_taken_by_the_next() {
    let (harness, [a1, a2], first) = two_hosts().await;
    let lost = ask_waiting(&a2, "k2", "r3").await;
    let next = ask_waiting(&a1, "k2", "r4").await;
    // From now on it says nothing, and its request stays in the line that it told.
    a2.ctx().phase.send_replace(Phase::Stopped);
    harness.targets.release();
    for (asked, id) in first.into_iter().zip(["r1", "r2"]) {
        assert_whole(asked, id).await;
    }
    assert_whole(next, "r4").await;
    lost.abort();
}
