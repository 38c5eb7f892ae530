//! Requests under which targets crash.
//!
//! What users saw: 16 and 25 targets crashed one after the other, and half of the
//! service was gone at once; with each went up to seven requests of others. The order of
//! events: a target crashes under a request some 100 ms after it began to run it; its
//! caller sends the same content again under another id, to another host; that host has
//! never heard of it and sends it to another target, which crashes as well; meanwhile the
//! first one is back. The cause: what is known of a request's broken runs lives in one
//! attempt of its caller, at one host, and items of jobs do not even count them. The
//! evidence: of 83 streams that broke off in the record all but one came with a new id
//! and were offered to one target, at all hosts alike.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use std::time::Duration;
use std::time::Instant;

use harness::Harness;
use harness::NON_RESUMABLE;
use harness::RESUMABLE;
use harness::RunningHost;
use harness::store::AppendOutcome;
use harness::targets::Action;
use harness::wait_until;
use notchwharf_config::gateway::Settings;
use notchwharf_gateway::error::Failure;
use notchwharf_gateway::metrics::Counted;
use notchwharf_gateway::ports::NoReply;
use notchwharf_gateway::ports::Topic;
use rstest::rstest;

/// Targets that one request may end before it is known for what it is.
const CRASHES_KNOWN: u32 = 3;
/// Targets that it may end besides, while hosts tell one another.
const CRASHES_UNTOLD: u32 = 3;
/// How often the request comes.
const ATTEMPTS: u32 = 14;
/// A run that shows that its target bears it.
const LONG_RUN: Duration = Duration::from_millis(1_200);
/// A body under which targets crash.
const DEADLY: &str = "deadly";

async fn hosts(harness: &Harness, names: &[&str]) -> Vec<RunningHost> {
    let mut hosts = Vec::new();
    for name in names {
        hosts.push(harness.start_ready(name).await);
    }
    for host in &hosts {
        let others = names.len() - 1;
        wait_until("hosts know one another", || {
            host.ctx().peers_alive() == others
        })
        .await;
    }
    hosts
}

#[rstest]
#[case::a_stream_that_runs_once(NON_RESUMABLE)]
#[case::a_stream_that_goes_on_elsewhere(RESUMABLE)]
#[tokio::test]
async fn a_request_under_which_targets_crash_is_soon_refused_everywhere(#[case] path: &str) {
    let harness = Harness::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    harness.targets.crash_on_body(DEADLY);
    let hosts = hosts(&harness, &["a1", "b1", "c1"]).await;
    for (attempt, host) in (0..ATTEMPTS).zip(hosts.iter().cycle()) {
        // Whatever comes of it.
        let _ = host
            .send_with_body(path, &format!("r{attempt}"), DEADLY)
            .await;
        harness.targets.restart_all();
    }
    let crashes = harness.targets.crash_count();
    assert!(
        crashes <= CRASHES_KNOWN + CRASHES_UNTOLD,
        "{crashes} targets crashed"
    );
}

#[tokio::test]
async fn an_item_under_which_targets_crash_is_soon_run_no_more() {
    let harness = Harness::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    let host = harness.start_ready("a1").await;
    harness.targets.crash_on_body("body of 1");
    host.submit("j1", 3, 1).await.unwrap();
    host.results("j1", 2).await;
    let begun = Instant::now();
    wait_until("the item has had its time", || {
        harness.targets.restart_all();
        begun.elapsed() > harness::ABANDON_AFTER
    })
    .await;
    let crashes = harness.targets.crash_count();
    assert!(
        crashes <= CRASHES_KNOWN + CRASHES_UNTOLD,
        "{crashes} targets crashed"
    );
}

/// Lets a request crash as many targets as blame it.
async fn blame(harness: &Harness, host: &RunningHost) {
    for attempt in 0..CRASHES_KNOWN {
        let _ = host
            .send_with_body(NON_RESUMABLE, &format!("blame{attempt}"), DEADLY)
            .await;
        harness.targets.restart_all();
    }
    assert_eq!(harness.targets.crash_count(), CRASHES_KNOWN);
}

fn is_crashing<T>(answered: &Result<T, Failure>) -> bool {
    matches!(answered, Err(Failure::Crashing { .. }))
}

async fn until_blamed(host: &RunningHost) {
    let metrics = &host.ctx().metrics;
    let blamed = || metrics.counted(Counted::Changes, "request blamed") == 1;
    wait_until("the host knows", blamed).await;
}

#[tokio::test]
async fn one_that_is_blamed_at_a_host_runs_at_none_and_others_are_served() {
    let harness = Harness::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    harness.targets.crash_on_body(DEADLY);
    let hosts = hosts(&harness, &["a1", "b1", "c1"]).await;
    blame(&harness, &hosts[0]).await;
    for host in &hosts {
        until_blamed(host).await;
        for attempt in 0..5 {
            let answered = host
                .send_with_body(NON_RESUMABLE, &format!("again{attempt}"), DEADLY)
                .await;
            assert!(is_crashing(&answered), "{answered:?}");
            assert_eq!(harness.targets.runs(&format!("again{attempt}")), []);
        }
        for (path, body) in [(NON_RESUMABLE, "healthy"), (RESUMABLE, "healthy")] {
            let answered = host.send_with_body(path, "unlike", body).await;
            assert!(answered.unwrap().body.is_some());
        }
    }
}

#[tokio::test]
async fn a_host_that_starts_is_told_by_those_that_run() {
    let harness = Harness::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    harness.targets.crash_on_body(DEADLY);
    let first = harness.start_ready("a1").await;
    // The store has no record that another host could read.
    harness
        .store
        .script(Topic::Blamed, &[AppendOutcome::Refused; 100]);
    blame(&harness, &first).await;
    let second = harness.start_ready("b1").await;
    until_blamed(&second).await;
    let answered = second.send_with_body(NON_RESUMABLE, "again", DEADLY).await;
    assert!(is_crashing(&answered), "{answered:?}");
}

/// What users saw: seven targets crashed under one request where three may, and three
/// while hosts tell one another. A host was killed and started again before any other
/// missed it, so none told it anything; the store, where what was blamed lies, was away.
/// 76 ms after its start the request came to it, and crashed two more targets. The cause:
/// a host that starts took what nobody had told it yet for nothing. The evidence: its log
/// has the request's first offer before the first word of a peer.
#[tokio::test]
async fn a_host_that_starts_again_at_once_asks_who_was_blamed() {
    let harness = Harness::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    harness.targets.crash_on_body(DEADLY);
    let mut hosts = hosts(&harness, &["a1", "b1"]).await;
    blame(&harness, &hosts[0]).await;
    hosts.remove(1).kill();
    let away = harness.store.connection();
    away.refuse_listings(Topic::Blamed);
    let started = harness.start_with_store("b1", away, |_| {}).await;
    wait_until("it has routes", || started.ctx().table().is_some()).await;
    let answered = started.send_with_body(NON_RESUMABLE, "again", DEADLY).await;
    assert!(is_crashing(&answered), "{answered:?}");
    assert_eq!(harness.targets.runs("again"), []);
}

#[tokio::test]
async fn hosts_that_all_start_again_know_who_was_blamed() {
    let harness = Harness::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    harness.targets.crash_on_body(DEADLY);
    let first = harness.start_ready("a1").await;
    // Nor is it lost if the store is away for a moment.
    harness
        .store
        .script(Topic::Blamed, &[AppendOutcome::Refused]);
    blame(&harness, &first).await;
    wait_until("it is saved", || {
        harness.store.key_count(Topic::Blamed) == 1
    })
    .await;
    first.kill();
    let second = harness.start_ready("a1").await;
    until_blamed(&second).await;
    let answered = second.send_with_body(NON_RESUMABLE, "again", DEADLY).await;
    assert!(is_crashing(&answered), "{answered:?}");
}

/// Resets, lost and garbled answers break off as a crash does; the target listens still.
#[rstest]
#[case::broken_off(Action::BreakAfter(1))]
#[case::no_answer(Action::NoReply(NoReply::Broken))]
#[case::silent(Action::HangAfter(1))]
#[tokio::test]
async fn runs_that_break_off_at_targets_that_listen_count_for_nothing(#[case] act: Action) {
    let harness = Harness::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    let host = harness.start_ready("a1").await;
    for attempt in 0..8 {
        let id = format!("r{attempt}");
        harness.targets.script_request(&id, &[act]);
        let _ = host.send_with_body(NON_RESUMABLE, &id, "healthy").await;
    }
    let answered = host.send_with_body(NON_RESUMABLE, "again", "healthy").await;
    assert!(answered.unwrap().body.is_some());
}

#[tokio::test]
async fn a_bystander_that_ends_well_is_cleared() {
    let harness = Harness::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    let host = harness.start_ready("a1").await;
    for attempt in 0..12 {
        let id = format!("r{attempt}");
        let is_hit = attempt % 3 != 2;
        if is_hit {
            harness.targets.script_request(&id, &[Action::Crash]);
        }
        let answered = host.send_with_body(NON_RESUMABLE, &id, "healthy").await;
        let is_whole = answered.unwrap().body.is_some();
        assert_eq!(is_whole, !is_hit, "{id}");
        harness.targets.restart_all();
    }
    let metrics = &host.ctx().metrics;
    assert_eq!(metrics.counted(Counted::Changes, "request cleared"), 4);
}

#[tokio::test]
async fn one_that_ended_two_targets_runs_at_one_at_a_time() {
    let harness = Harness::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    let host = harness.start_ready("a1").await;
    for attempt in 0..2 {
        let id = format!("r{attempt}");
        harness.targets.script_request(&id, &[Action::Crash]);
        let _ = host.send_with_body(NON_RESUMABLE, &id, "suspect").await;
        harness.targets.restart_all();
    }
    harness.targets.hold();
    let ask = |id: &'static str| host.send_with_body(NON_RESUMABLE, id, "suspect");
    let release = async {
        // All have been polled before this, so those that wait do so by now.
        wait_until("one runs", || harness.targets.active() > 0).await;
        assert_eq!(harness.targets.active(), 1);
        harness.targets.release();
    };
    let (a, b, c, ()) = tokio::join!(ask("a"), ask("b"), ask("c"), release);
    for answered in [a, b, c] {
        assert!(answered.unwrap().body.is_some(), "healthy after all");
    }
}

/// An item is cut for online requests again and again and ends late; a healthy one met
/// three crashes in twenty seconds so, and was taken for the cause.
#[tokio::test]
async fn an_item_that_ran_long_before_it_was_cut_is_no_suspect_any_more() {
    let harness = Harness::new(&["t1", "t2"]);
    let patient = |s: &mut Settings| s.batch.stall_ms = 10_000;
    let host = harness.start_with("a1", patient).await;
    host.wait_ready().await;
    harness.targets.script_request("j1-0", &[Action::Crash]);
    harness.targets.hold();
    host.submit("j1", 1, 1).await.unwrap();
    let metrics = &host.ctx().metrics;
    let is_suspect = || metrics.counted(Counted::Changes, "target crashed") == 1;
    wait_until("a target crashes", is_suspect).await;
    harness.targets.restart_all();
    let runs = || harness.targets.active_runs("j1-0") == 1;
    wait_until("the item runs again", runs).await;
    let begun = Instant::now();
    let is_long = || begun.elapsed() > LONG_RUN;
    wait_until("it has run for long", is_long).await;
    assert!(runs(), "and still does");
    let ask = |id: &'static str| host.send(RESUMABLE, id);
    let release = async {
        let is_cleared = || metrics.counted(Counted::Changes, "request cleared") == 1;
        wait_until("it was cut and cleared", is_cleared).await;
        harness.targets.release();
    };
    let _ = tokio::join!(ask("a"), ask("b"), ask("c"), ask("d"), release);
    assert_eq!(host.results("j1", 1).await.len(), 1);
}
