//! Online requests that wait at hosts while all slots are in use, with whole hosts and failures
//! of hosts. The order of requests is simulated in the tests of `notchwharf-waiting`.
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

/// The slots of a target.
const SLOTS: usize = 2;

type PendingResponse = JoinHandle<Result<Response, Failure>>;

/// Returns a harness of one target whose configuration has workspaces.
fn harness() -> Harness {
    let harness = Harness::new(&["t1"]);
    harness.configure_keys(2, &[("k1", "choir"), ("k2", "band")]);
    harness.targets.hold();
    harness
}

fn send(host: &Arc<RunningHost>, key: &'static str, id: &'static str) -> PendingResponse {
    let host = Arc::clone(host);
    tokio::spawn(async move { host.send_to_with_key(WITH_OBJECTIVE, key, id).await })
}

fn waited_count(host: &RunningHost) -> u64 {
    host.ctx().metrics.counted(Counted::WaitQueue, "waits")
}

/// Sends a request, and returns once it waits.
async fn send_waiting(
    host: &Arc<RunningHost>,
    key: &'static str,
    id: &'static str,
) -> PendingResponse {
    let before = waited_count(host);
    let pending = send(host, key, id);
    wait_until("the request waits", || waited_count(host) > before).await;
    pending
}

/// Starts a host that doesn't resume stalled streams at another target.
async fn start(harness: &Harness, name: &str) -> Arc<RunningHost> {
    let long_stall_timeout = |settings: &mut Settings| settings.online.stall_ms = 60_000;
    let host = harness.start_with(name, long_stall_timeout).await;
    host.wait_ready().await;
    Arc::new(host)
}

/// Uses all slots of the target.
async fn fill(harness: &Harness, host: &Arc<RunningHost>) -> Vec<PendingResponse> {
    let pending = vec![send(host, "k1", "r1"), send(host, "k1", "r2")];
    wait_until("all slots are in use", || harness.targets.active() == SLOTS).await;
    pending
}

/// Starts two hosts that know that all slots are in use.
async fn two_hosts() -> (Harness, [Arc<RunningHost>; 2], Vec<PendingResponse>) {
    let harness = harness();
    let a1 = start(&harness, "a1").await;
    let a2 = start(&harness, "a2").await;
    wait_until("hosts know each other", || a1.ctx().peers_alive() == 1).await;
    wait_until("hosts know each other", || a2.ctx().peers_alive() == 1).await;
    let first = fill(&harness, &a1).await;
    wait_until("the other host knows the load", || {
        a2.ctx().load_of("t1").online as usize == SLOTS
    })
    .await;
    (harness, [a1, a2], first)
}

async fn assert_complete(pending: PendingResponse, id: &str) {
    let response = pending.await.unwrap().unwrap();
    assert_eq!(response.text().unwrap(), full_response(id));
}

#[tokio::test]
async fn requests_wait_at_their_hosts_until_slots_are_freed() {
    let (harness, [a1, a2], first) = two_hosts().await;
    let local = send_waiting(&a1, "k1", "r3").await;
    let remote = send_waiting(&a2, "k2", "r4").await;
    assert_eq!(harness.targets.active(), SLOTS);
    assert_eq!(harness.targets.runs("r3"), []);
    assert_eq!(harness.targets.runs("r4"), []);
    harness.targets.release();
    for (pending, id) in first.into_iter().zip(["r1", "r2"]) {
        assert_complete(pending, id).await;
    }
    assert_complete(local, "r3").await;
    assert_complete(remote, "r4").await;
}

#[tokio::test]
async fn a_request_that_cannot_start_in_time_is_not_run() {
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
    for (pending, id) in first.into_iter().zip(["r1", "r2"]) {
        assert_complete(pending, id).await;
    }
    assert_eq!(harness.targets.runs("r3"), []);
}

/// A caller disconnects while its request waits: the next request gets the slot.
#[tokio::test]
async fn a_disconnected_caller_holds_no_slot() {
    let harness = harness();
    let host = start(&harness, "a1").await;
    let first = fill(&harness, &host).await;
    let cancelled = send_waiting(&host, "k2", "r3").await;
    cancelled.abort();
    assert!(cancelled.await.is_err());
    let next = send_waiting(&host, "k2", "r4").await;
    harness.targets.release();
    for (pending, id) in first.into_iter().zip(["r1", "r2"]) {
        assert_complete(pending, id).await;
    }
    assert_complete(next, "r4").await;
    assert_eq!(harness.targets.runs("r3"), []);
    wait_until("all slots are free", || {
        host.ctx().load_of("t1").online == 0
    })
    .await;
}

/// A host fails while its request is the first: the slot that is transferred to it is lost, and
/// the next request starts nevertheless.
#[tokio::test]
async fn a_slot_that_is_transferred_to_a_failed_host_goes_to_the_next_request() {
    let (harness, [a1, a2], first) = two_hosts().await;
    let lost = send_waiting(&a2, "k2", "r3").await;
    let next = send_waiting(&a1, "k2", "r4").await;
    // From now on it sends nothing, and its last summary still contains its request.
    a2.ctx().phase.send_replace(Phase::Stopped);
    harness.targets.release();
    for (pending, id) in first.into_iter().zip(["r1", "r2"]) {
        assert_complete(pending, id).await;
    }
    assert_complete(next, "r4").await;
    lost.abort();
}
