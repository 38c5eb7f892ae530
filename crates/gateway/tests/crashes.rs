//! Requests that crash targets.
//!
//! Guards against a request that crashes one target after the other (16 and 25 were seen, half
//! of a service at once, each with up to seven requests of others). A target crashes some
//! 100 ms after it starts such a request, and the caller sends the same content again with
//! another id to another host. If interrupted runs are counted per attempt and per host only,
//! or not at all for items of jobs, each retry reaches another target.
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

/// Targets that one request may crash before it is blamed.
const CRASHES_BEFORE_BLAME: u32 = 3;
/// Further targets that it may crash until the reports reach the other hosts.
const CRASHES_BEFORE_REPORT: u32 = 3;
/// How often the request is sent.
const ATTEMPTS: u32 = 14;
/// Duration of a run that shows that its target survives it.
const LONG_RUN: Duration = Duration::from_millis(1_200);
/// A body that crashes targets.
const DEADLY: &str = "deadly";

async fn hosts(world: &World, names: &[&str]) -> Vec<Running> {
    let mut hosts = Vec::new();
    for name in names {
        hosts.push(world.start_ready(name).await);
    }
    for host in &hosts {
        let others = names.len() - 1;
        until("hosts know each other", || {
            host.ctx().peers_alive() == others
        })
        .await;
    }
    hosts
}

#[rstest]
#[case::a_stream_that_runs_once(ONCE)]
#[case::a_resumable_stream(RESUMABLE)]
#[tokio::test]
async fn a_request_that_crashes_targets_is_soon_refused_at_all_hosts(#[case] path: &str) {
    let world = World::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    world.engines.set_deadly(DEADLY);
    let hosts = hosts(&world, &["a1", "b1", "c1"]).await;
    for (attempt, host) in (0..ATTEMPTS).zip(hosts.iter().cycle()) {
        // The outcome doesn't matter here.
        let _ = host.ask_with(path, &format!("r{attempt}"), DEADLY).await;
        world.engines.restart_all();
    }
    let crashes = world.engines.crashes();
    assert!(
        crashes <= CRASHES_BEFORE_BLAME + CRASHES_BEFORE_REPORT,
        "{crashes} targets crashed"
    );
}

#[tokio::test]
async fn an_item_that_crashes_targets_soon_stops_running() {
    let world = World::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    let host = world.start_ready("a1").await;
    world.engines.set_deadly("body of 1");
    host.submit("j1", 3, 1).await.unwrap();
    host.results("j1", 2).await;
    let started = Instant::now();
    until("the item may be abandoned", || {
        world.engines.restart_all();
        started.elapsed() > world::ABANDON_AFTER
    })
    .await;
    let crashes = world.engines.crashes();
    assert!(
        crashes <= CRASHES_BEFORE_BLAME + CRASHES_BEFORE_REPORT,
        "{crashes} targets crashed"
    );
}

/// Lets a request crash as many targets as are needed to blame it.
async fn blame(world: &World, host: &Running) {
    for attempt in 0..CRASHES_BEFORE_BLAME {
        let _ = host
            .ask_with(ONCE, &format!("blame{attempt}"), DEADLY)
            .await;
        world.engines.restart_all();
    }
    assert_eq!(world.engines.crashes(), CRASHES_BEFORE_BLAME);
}

fn is_crashing<T>(result: &Result<T, Failure>) -> bool {
    matches!(result, Err(Failure::Crashing { .. }))
}

async fn until_blamed(host: &Running) {
    let metrics = &host.ctx().metrics;
    let blamed = || metrics.counted(Counted::Changes, "request blamed") == 1;
    until("the host knows of the blame", blamed).await;
}

#[tokio::test]
async fn a_request_blamed_at_one_host_runs_at_none_and_others_are_served() {
    let world = World::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    world.engines.set_deadly(DEADLY);
    let hosts = hosts(&world, &["a1", "b1", "c1"]).await;
    blame(&world, &hosts[0]).await;
    for host in &hosts {
        until_blamed(host).await;
        for attempt in 0..5 {
            let result = host
                .ask_with(ONCE, &format!("again{attempt}"), DEADLY)
                .await;
            assert!(is_crashing(&result), "{result:?}");
            assert_eq!(world.engines.runs(&format!("again{attempt}")), []);
        }
        for (path, body) in [(ONCE, "healthy"), (RESUMABLE, "healthy")] {
            let result = host.ask_with(path, "unlike", body).await;
            assert!(result.unwrap().body.is_some());
        }
    }
}

#[tokio::test]
async fn a_starting_host_gets_reports_from_running_hosts() {
    let world = World::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    world.engines.set_deadly(DEADLY);
    let first = world.start_ready("a1").await;
    // The store has no record that another host could read.
    world.store.script(Topic::Blamed, &[Fate::Refused; 100]);
    blame(&world, &first).await;
    let second = world.start_ready("b1").await;
    until_blamed(&second).await;
    let result = second.ask_with(ONCE, "again", DEADLY).await;
    assert!(is_crashing(&result), "{result:?}");
}

/// Guards against a restarted host that treats missing reports as if nothing was blamed. A host
/// is killed and restarts before its peers detect the failure, so none sends it reports, and
/// the store with the records is unavailable. A blamed request that arrives then (76 ms after
/// the start) crashed two more targets, seven in all instead of the allowed six.
#[tokio::test]
async fn a_host_that_restarts_at_once_requests_reports_first() {
    let world = World::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    world.engines.set_deadly(DEADLY);
    let mut hosts = hosts(&world, &["a1", "b1"]).await;
    blame(&world, &hosts[0]).await;
    hosts.remove(1).kill();
    let unavailable = world.store.door();
    unavailable.refuse_listings(Topic::Blamed);
    let restarted = world.start_apart("b1", unavailable, |_| {}).await;
    until("it has routes", || restarted.ctx().table().is_some()).await;
    let result = restarted.ask_with(ONCE, "again", DEADLY).await;
    assert!(is_crashing(&result), "{result:?}");
    assert_eq!(world.engines.runs("again"), []);
}

#[tokio::test]
async fn blamed_requests_survive_a_restart_of_all_hosts() {
    let world = World::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    world.engines.set_deadly(DEADLY);
    let first = world.start_ready("a1").await;
    // A short outage of the store must not lose the record either.
    world.store.script(Topic::Blamed, &[Fate::Refused]);
    blame(&world, &first).await;
    until("it is saved", || world.store.keys(Topic::Blamed) == 1).await;
    first.kill();
    let second = world.start_ready("a1").await;
    until_blamed(&second).await;
    let result = second.ask_with(ONCE, "again", DEADLY).await;
    assert!(is_crashing(&result), "{result:?}");
}

/// Connection resets and lost or invalid responses look like a crash, but the target still
/// listens.
#[rstest]
#[case::connection_lost(Act::BreakAfter(1))]
#[case::no_response(Act::None(NoReply::Broken))]
#[case::stalled(Act::HangAfter(1))]
#[tokio::test]
async fn interrupted_runs_at_listening_targets_are_not_crashes(#[case] act: Act) {
    let world = World::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    let host = world.start_ready("a1").await;
    for attempt in 0..8 {
        let id = format!("r{attempt}");
        world.engines.script_request(&id, &[act]);
        let _ = host.ask_with(ONCE, &id, "healthy").await;
    }
    let result = host.ask_with(ONCE, "again", "healthy").await;
    assert!(result.unwrap().body.is_some());
}

#[tokio::test]
async fn a_suspect_that_succeeds_is_cleared() {
    let world = World::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    let host = world.start_ready("a1").await;
    for attempt in 0..12 {
        let id = format!("r{attempt}");
        let is_hit = attempt % 3 != 2;
        if is_hit {
            world.engines.script_request(&id, &[Act::Crash]);
        }
        let result = host.ask_with(ONCE, &id, "healthy").await;
        let is_complete = result.unwrap().body.is_some();
        assert_eq!(is_complete, !is_hit, "{id}");
        world.engines.restart_all();
    }
    let metrics = &host.ctx().metrics;
    assert_eq!(metrics.counted(Counted::Changes, "request cleared"), 4);
}

#[tokio::test]
async fn a_suspect_of_two_crashes_runs_at_one_target_at_a_time() {
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
        // All requests were polled before this, so the others are waiting by now.
        until("one runs", || world.engines.active() > 0).await;
        assert_eq!(world.engines.active(), 1);
        world.engines.go();
    };
    let (a, b, c, ()) = tokio::join!(ask("a"), ask("b"), ask("c"), release);
    for result in [a, b, c] {
        assert!(result.unwrap().body.is_some(), "It is healthy.");
    }
}

/// Guards against blaming a healthy item. An item that is preempted repeatedly by online requests
/// completes late; one was present at three crashes within twenty seconds.
#[tokio::test]
async fn an_item_that_ran_long_before_its_preemption_is_cleared() {
    let world = World::new(&["t1", "t2"]);
    let long_stall_timeout = |s: &mut Settings| s.batch.stall_ms = 10_000;
    let host = world.start_with("a1", long_stall_timeout).await;
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
    let started = Instant::now();
    let is_long = || started.elapsed() > LONG_RUN;
    until("it has run for long", is_long).await;
    assert!(runs(), "It must still run.");
    let ask = |id: &'static str| host.ask(RESUMABLE, id);
    let release = async {
        let is_cleared = || metrics.counted(Counted::Changes, "request cleared") == 1;
        until("it was preempted and cleared", is_cleared).await;
        world.engines.go();
    };
    let _ = tokio::join!(ask("a"), ask("b"), ask("c"), ask("d"), release);
    assert_eq!(host.results("j1", 1).await.len(), 1);
}
