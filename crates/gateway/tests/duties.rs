//! Tasks of a host that end: the host does not count as healthy while one is down.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use harness::Harness;
use harness::wait_until;
use notchwharf_gateway::context::Until;
use notchwharf_listen::Phase;
use rstest::rstest;

/// How a task ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Panic,
    Return,
}

#[rstest]
#[tokio::test]
async fn host_with_a_task_that_ended_is_not_healthy_until_it_runs_again(
    #[values(End::Panic, End::Return)] end: End,
) {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    wait_until("the host is healthy", || host.ctx().is_healthy()).await;
    let is_cured = Arc::new(AtomicBool::new(false));
    let cured = Arc::clone(&is_cured);
    let until = Until::Phase(Phase::Stopped);
    host.ctx().spawn_duty("odd", until, move |_| {
        let is_cured = cured.load(Ordering::Relaxed);
        async move {
            match end {
                _ if is_cured => std::future::pending().await,
                End::Panic => panic!("odd"),
                End::Return => {}
            }
        }
    });
    wait_until("the host is not healthy", || !host.ctx().is_healthy()).await;
    assert_eq!(host.ctx().phase(), Phase::Ready);
    is_cured.store(true, Ordering::Relaxed);
    wait_until("the host is healthy again", || host.ctx().is_healthy()).await;
}
