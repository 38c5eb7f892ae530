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

mod world;

use std::time::Duration;
use std::time::Instant;

use notchwharf_config::gateway::Settings;
use notchwharf_gateway::error::Failure;
use notchwharf_gateway::metrics::Counted;
use notchwharf_gateway::ports::NoReply;
use notchwharf_gateway::ports::Topic;
use rstest::rstest;
use world::ONCE;
use world::RESUMABLE;
use world::Running;
use world::World;
use world::store::Fate;
use world::targets::Act;
use world::until;

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

async fn hosts(world: &World, names: &[&str]) -> Vec<Running> {
    let mut hosts = Vec::new();
    for name in names {
        hosts.push(world.start_ready(name).await);
    }
    for host in &hosts {
        let others = names.len() - 1;
        until("hosts know one another", || {
            host.ctx().peers_alive() == others
        })
        .await;
    }
    hosts
}

#[rstest]
#[case::a_stream_that_runs_once(ONCE)]
#[case::a_stream_that_goes_on_elsewhere(RESUMABLE)]
#[tokio::test]
async fn a_request_under_which_targets_crash_is_soon_refused_everywhere(#[case] path: &str) {
    let world = World::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    world.engines.set_deadly(DEADLY);
    let hosts = hosts(&world, &["a1", "b1", "c1"]).await;
    for (attempt, host) in (0..ATTEMPTS).zip(hosts.iter().cycle()) {
        // Whatever comes of it.
        let _ = host.ask_with(path, &format!("r{attempt}"), DEADLY).await;
        world.engines.restart_all();
    }
    let crashes = world.engines.crashes();
    assert!(
        crashes <= CRASHES_KNOWN + CRASHES_UNTOLD,
        "{crashes} targets crashed"
    );
}

#[tokio::test]
async fn an_item_under_which_targets_crash_is_soon_run_no_more() {
    let world = World::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    let host = world.start_ready("a1").await;
    world.engines.set_deadly("body of 1");
    host.submit("j1", 3, 1).await.unwrap();
    host.results("j1", 2).await;
    let begun = Instant::now();
    until("the item has had its time", || {
        world.engines.restart_all();
        begun.elapsed() > world::ABANDON_AFTER
    })
    .await;
    let crashes = world.engines.crashes();
    assert!(
        crashes <= CRASHES_KNOWN + CRASHES_UNTOLD,
        "{crashes} targets crashed"
    );
}

/// Lets a request crash as many targets as blame it.
async fn blame(world: &World, host: &Running) {
    for attempt in 0..CRASHES_KNOWN {
        let _ = host
            .ask_with(ONCE, &format!("blame{attempt}"), DEADLY)
            .await;
        world.engines.restart_all();
    }
    assert_eq!(world.engines.crashes(), CRASHES_KNOWN);
}

fn is_crashing<T>(answered: &Result<T, Failure>) -> bool {
    matches!(answered, Err(Failure::Crashing { .. }))
}

async fn until_blamed(host: &Running) {
    let metrics = &host.ctx().metrics;
    let blamed = || metrics.counted(Counted::Changes, "request blamed") == 1;
    until("the host knows", blamed).await;
}

#[tokio::test]
async fn one_that_is_blamed_at_a_host_runs_at_none_and_others_are_served() {
    let world = World::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    world.engines.set_deadly(DEADLY);
    let hosts = hosts(&world, &["a1", "b1", "c1"]).await;
    blame(&world, &hosts[0]).await;
    for host in &hosts {
        until_blamed(host).await;
        for attempt in 0..5 {
            let answered = host
                .ask_with(ONCE, &format!("again{attempt}"), DEADLY)
                .await;
            assert!(is_crashing(&answered), "{answered:?}");
            assert_eq!(world.engines.runs(&format!("again{attempt}")), []);
        }
        for (path, body) in [(ONCE, "healthy"), (RESUMABLE, "healthy")] {
            let answered = host.ask_with(path, "unlike", body).await;
            assert!(answered.unwrap().body.is_some());
        }
    }
}

#[tokio::test]
async fn a_host_that_starts_is_told_by_those_that_run() {
    let world = World::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    world.engines.set_deadly(DEADLY);
    let first = world.start_ready("a1").await;
    // The store has no record that another host could read.
    world.store.script(Topic::Blamed, &[Fate::Refused; 100]);
    blame(&world, &first).await;
    let second = world.start_ready("b1").await;
    until_blamed(&second).await;
    let answered = second.ask_with(ONCE, "again", DEADLY).await;
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
    let world = World::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    world.engines.set_deadly(DEADLY);
    let mut hosts = hosts(&world, &["a1", "b1"]).await;
    blame(&world, &hosts[0]).await;
    hosts.remove(1).kill();
    let away = world.store.door();
    away.refuse_listings(Topic::Blamed);
    let started = world.start_apart("b1", away, |_| {}).await;
    until("it has routes", || started.ctx().table().is_some()).await;
    let answered = started.ask_with(ONCE, "again", DEADLY).await;
    assert!(is_crashing(&answered), "{answered:?}");
    assert_eq!(world.engines.runs("again"), []);
}

#[tokio::test]
async fn hosts_that_all_start_again_know_who_was_blamed() {
    let world = World::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    world.engines.set_deadly(DEADLY);
    let first = world.start_ready("a1").await;
    // Nor is it lost if the store is away for a moment.
    world.store.script(Topic::Blamed, &[Fate::Refused]);
    blame(&world, &first).await;
    until("it is saved", || world.store.keys(Topic::Blamed) == 1).await;
    first.kill();
    let second = world.start_ready("a1").await;
    until_blamed(&second).await;
    let answered = second.ask_with(ONCE, "again", DEADLY).await;
    assert!(is_crashing(&answered), "{answered:?}");
}

/// Resets, lost and garbled answers break off as a crash does; the target listens still.
#[rstest]
#[case::broken_off(Act::BreakAfter(1))]
#[case::no_answer(Act::None(NoReply::Broken))]
#[case::silent(Act::HangAfter(1))]
#[tokio::test]
async fn runs_that_break_off_at_targets_that_listen_count_for_nothing(#[case] act: Act) {
    let world = World::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    let host = world.start_ready("a1").await;
    for attempt in 0..8 {
        let id = format!("r{attempt}");
        world.engines.script_request(&id, &[act]);
        let _ = host.ask_with(ONCE, &id, "healthy").await;
    }
    let answered = host.ask_with(ONCE, "again", "healthy").await;
    assert!(answered.unwrap().body.is_some());
}

#[tokio::test]
async fn a_bystander_that_ends_well_is_cleared() {
    let world = World::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    let host = world.start_ready("a1").await;
    for attempt in 0..12 {
        let id = format!("r{attempt}");
        let is_hit = attempt % 3 != 2;
        if is_hit {
            world.engines.script_request(&id, &[Act::Crash]);
        }
        let answered = host.ask_with(ONCE, &id, "healthy").await;
        let is_whole = answered.unwrap().body.is_some();
        assert_eq!(is_whole, !is_hit, "{id}");
        world.engines.restart_all();
    }
    let metrics = &host.ctx().metrics;
    assert_eq!(metrics.counted(Counted::Changes, "request cleared"), 4);
}

#[tokio::test]
async fn one_that_ended_two_targets_runs_at_one_at_a_time() {
    let world = World::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    let host = world.start_ready("a1").await;
    for attempt in 0..2 {
        let id = format!("r{attempt}");
        world.engines.script_request(&id, &[Act::Crash]);
        let _ = host.ask_with(ONCE, &id, "suspect").await;
        world.engines.restart_all();
    }
    world.engines.hold();
    let ask = |id: &'static str| host.ask_with(ONCE, id, "suspect");
    let release = async {
        // All have been polled before this, so those that wait do so by now.
        until("one runs", || world.engines.active() > 0).await;
        assert_eq!(world.engines.active(), 1);
        world.engines.go();
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
    let world = World::new(&["t1", "t2"]);
    let patient = |s: &mut Settings| s.batch.stall_ms = 10_000;
    let host = world.start_with("a1", patient).await;
    host.until_ready().await;
    world.engines.script_request("j1-0", &[Act::Crash]);
    world.engines.hold();
    host.submit("j1", 1, 1).await.unwrap();
    let metrics = &host.ctx().metrics;
    let is_suspect = || metrics.counted(Counted::Changes, "target crashed") == 1;
    until("a target crashes", is_suspect).await;
    world.engines.restart_all();
    let runs = || world.engines.active_runs("j1-0") == 1;
    until("the item runs again", runs).await;
    let begun = Instant::now();
    let is_long = || begun.elapsed() > LONG_RUN;
    until("it has run for long", is_long).await;
    assert!(runs(), "and still does");
    let ask = |id: &'static str| host.ask(RESUMABLE, id);
    let release = async {
        let is_cleared = || metrics.counted(Counted::Changes, "request cleared") == 1;
        until("it was cut and cleared", is_cleared).await;
        world.engines.go();
    };
    let _ = tokio::join!(ask("a"), ask("b"), ask("c"), ask("d"), release);
    assert_eq!(host.results("j1", 1).await.len(), 1);
}
