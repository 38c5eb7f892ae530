//! Online requests: what callers receive, and what runs at targets.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod world;

use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt as _;
use hyper::StatusCode;
use notchwharf_gateway::error::Failure;
use notchwharf_gateway::online;
use notchwharf_gateway::ports::NoReply;
use rstest::rstest;
use world::ONCE;
use world::RESUMABLE;
use world::World;
use world::request;
use world::targets::Act;
use world::targets::EVENTS;
use world::targets::whole;
use world::until;

const FULL: Act = Act::None(NoReply::Full);
const NOT_SENT: Act = Act::None(NoReply::NotSent("scripted"));
const OTHER_TARGET: Act = Act::None(NoReply::OtherTarget);
const LOST: Act = Act::None(NoReply::Unknown("scripted"));

#[tokio::test]
async fn without_a_configuration_a_request_is_refused_as_not_ready() {
    let world = World::default();
    let host = world.start("a1").await;
    let err = host.ask(ONCE, "r1").await.unwrap_err();
    assert!(matches!(err, Failure::NotReady { .. }), "{err:?}");
}

#[tokio::test]
async fn a_path_without_a_route_is_refused_by_a_configuration() {
    let world = World::new(&["t1"]);
    let host = world.start_ready("a1").await;
    let err = host.ask("/nowhere/", "r1").await.unwrap_err();
    assert_eq!(err, Failure::NoRoute);
}

#[rstest]
#[case::full(FULL)]
#[case::not_sent(NOT_SENT)]
#[case::other_target_at_its_address(OTHER_TARGET)]
#[tokio::test]
async fn a_request_that_did_not_run_is_offered_to_another_target(
    #[case] act: Act,
    #[values(ONCE, RESUMABLE)] path: &str,
) {
    let world = World::new(&["t1", "t2"]);
    let host = world.start_ready("a1").await;
    world.engines.script_request("r1", &[act]);
    let response = host.ask(path, "r1").await.unwrap();
    assert_eq!(response.text().unwrap(), whole("r1"));
    assert_eq!(world.engines.runs("r1").len(), 1);
}

#[tokio::test]
async fn a_request_that_every_target_refuses_is_not_run() {
    let world = World::new(&["t1", "t2"]);
    let host = world.start_ready("a1").await;
    world.engines.script_request("r1", &[FULL, FULL]);
    let err = host.ask(ONCE, "r1").await.unwrap_err();
    assert!(matches!(err, Failure::NotRun { .. }), "{err:?}");
    assert_eq!(world.engines.runs("r1"), []);
}

#[rstest]
#[case::lost(LOST)]
#[case::unsigned(Act::Unsigned)]
#[case::unavailable_without_confirming_that_nothing_ran(Act::Status(503))]
#[case::too_many_requests_without_confirming_that_nothing_ran(Act::Status(429))]
#[tokio::test]
async fn a_request_that_may_have_run_is_not_sent_again_and_has_an_unknown_outcome(
    #[case] act: Act,
) {
    let world = World::new(&["t1", "t2"]);
    let host = world.start_ready("a1").await;
    world.engines.script_request("r1", &[act]);
    let err = host.ask(ONCE, "r1").await.unwrap_err();
    assert!(matches!(err, Failure::Unknown { .. }), "{err:?}");
    assert_eq!(world.engines.runs("r1").len(), 1);
}

#[rstest]
#[case::lost(LOST)]
#[case::unsigned(Act::Unsigned)]
#[case::failed(Act::Status(500))]
#[tokio::test]
async fn a_repeatable_request_is_sent_again(#[case] act: Act) {
    let world = World::new(&["t1", "t2"]);
    let host = world.start_ready("a1").await;
    world.engines.script_request("r1", &[act]);
    let response = host.ask(RESUMABLE, "r1").await.unwrap();
    assert_eq!(response.text().unwrap(), whole("r1"));
}

#[tokio::test]
async fn a_server_error_of_a_target_is_forwarded_unchanged() {
    let world = World::new(&["t1", "t2"]);
    let host = world.start_ready("a1").await;
    world.engines.script_request("r1", &[Act::Status(500)]);
    let response = host.ask(ONCE, "r1").await.unwrap();
    assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
}

#[rstest]
#[case::in_its_first_event(Act::BreakAfter(0))]
#[case::in_a_middle_event(Act::BreakAfter(3))]
#[case::in_its_last_event(Act::BreakAfter(EVENTS - 1))]
#[case::by_stalling(Act::HangAfter(2))]
#[case::by_skipping_an_event(Act::SkipAt(2))]
#[tokio::test]
async fn an_interrupted_stream_is_resumed_at_another_target(#[case] act: Act) {
    let world = World::new(&["t1", "t2"]);
    let host = world.start_ready("a1").await;
    world.engines.script_request("r1", &[act]);
    let response = host.ask(RESUMABLE, "r1").await.unwrap();
    assert_eq!(response.text().unwrap(), whole("r1"));
    let runs = world.engines.runs("r1");
    assert_eq!(runs.len(), 2);
    if runs[1].1.is_some() {
        let from = response.headers["x-from"].to_str().unwrap();
        assert_eq!(
            from, runs[0].0,
            "The headers are those of the first target."
        );
    }
    until("the first target has stopped", || {
        world.engines.active() == 0
    })
    .await;
}

/// Regression: a response whose body was complete in its first chunk was forwarded without its
/// headers.
#[rstest]
#[tokio::test]
async fn a_response_that_arrives_in_one_chunk_has_its_headers(
    #[values(ONCE, RESUMABLE)] path: &str,
) {
    let world = World::new(&["t1"]);
    let host = world.start_ready("a1").await;
    world.engines.script_request("r1", &[Act::AtOnce]);
    let response = host.ask(path, "r1").await.unwrap();
    assert_eq!(response.headers["x-from"], "t1");
    assert_eq!(response.text().unwrap(), whole("r1"));
}

#[tokio::test]
async fn an_interrupted_stream_that_is_not_resumable_ends_with_an_error() {
    let world = World::new(&["t1", "t2"]);
    let host = world.start_ready("a1").await;
    world.engines.script_request("r1", &[Act::BreakAfter(3)]);
    let response = host.ask(ONCE, "r1").await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.text(), None, "It must not look complete.");
    assert_eq!(world.engines.runs("r1").len(), 1);
}

#[tokio::test]
async fn a_stream_runs_at_most_as_often_as_its_route_allows() {
    let world = World::new(&["t1", "t2", "t3", "t4"]);
    let host = world.start_ready("a1").await;
    let act = Act::BreakAfter(1);
    world.engines.script_request("r1", &[act; 4]);
    let response = host.ask(RESUMABLE, "r1").await.unwrap();
    assert_eq!(response.text(), None);
    assert_eq!(world.engines.runs("r1").len(), 3);
}

#[tokio::test]
async fn a_request_times_out_with_its_route_and_its_target_stops() {
    let world = World::new(&["t1"]);
    let host = world.start_ready("a1").await;
    world.engines.script_request("r1", &[Act::Hang]);
    let started = Instant::now();
    let err = host.ask(ONCE, "r1").await.unwrap_err();
    assert_eq!(err, Failure::TimedOut);
    assert!(started.elapsed() >= world::ONCE_TIMEOUT);
    until("the target has stopped", || world.engines.active() == 0).await;
}

#[tokio::test]
async fn a_disconnected_caller_stops_its_target() {
    let world = World::new(&["t1"]);
    let host = world.start_ready("a1").await;
    world.engines.hold();
    let serving = online::serve(host.ctx(), request(ONCE, "r1"), Instant::now());
    let mut response = serving.await.unwrap();
    response.body.frame().await.unwrap().unwrap();
    assert_eq!(world.engines.active_runs("r1"), 1);
    drop(response);
    until("the target has stopped", || world.engines.active() == 0).await;
}

#[tokio::test]
async fn an_online_request_preempts_an_item_and_the_item_is_resumed_later() {
    let world = World::new(&["t1"]);
    let host = world.start_with("a1", |s| s.batch.reserve = 0).await;
    host.until_ready().await;
    world.engines.hold();
    host.submit("j1", 2, 10).await.unwrap();
    until("both slots are in use", || world.engines.active() == 2).await;
    let serving = online::serve(host.ctx(), request(ONCE, "r1"), Instant::now());
    let response = serving.await.unwrap();
    until("one item was preempted", || {
        world.engines.active_runs("j1-0") + world.engines.active_runs("j1-1") == 1
    })
    .await;
    world.engines.go();
    let body = response.body.collect().await.unwrap().to_bytes();
    assert_eq!(body, whole("r1"));
    let results = host.results("j1", 2).await;
    for result in results {
        let text = result.text.unwrap();
        assert_eq!(text, world::targets::item_text(&result.item));
    }
}

#[tokio::test]
async fn an_online_request_preempts_an_item_of_a_peer() {
    let world = World::new(&["t1"]);
    let busy = world.start_with("a1", |s| s.batch.reserve = 0).await;
    let other = world.start_with("a2", |s| s.batch.reserve = 0).await;
    busy.until_ready().await;
    other.until_ready().await;
    world.engines.hold();
    busy.submit("j1", 2, 10).await.unwrap();
    until("both slots are in use", || world.engines.active() == 2).await;
    until("the other host knows the load", || {
        other.ctx().load_of("t1").batch == 2
    })
    .await;
    let serving = online::serve(other.ctx(), request(ONCE, "r1"), Instant::now());
    let response = serving.await.unwrap();
    until("one item was preempted", || {
        world.engines.active_runs("j1-0") + world.engines.active_runs("j1-1") == 1
    })
    .await;
    world.engines.go();
    assert!(response.body.collect().await.is_ok());
    busy.results("j1", 2).await;
}

#[tokio::test]
async fn a_leaving_host_completes_the_responses_it_has_started() {
    let world = World::new(&["t1"]);
    let host = world.start_ready("a1").await;
    world.engines.hold();
    let in_flight = host.ctx().in_flight.enter();
    let serving = online::serve(host.ctx(), request(ONCE, "r1"), Instant::now());
    let response = serving.await.unwrap();
    let leaving = tokio::spawn(host.leave());
    let body = tokio::spawn(response.body.collect());
    tokio::time::sleep(Duration::from_millis(5)).await;
    world.engines.go();
    let body = body.await.unwrap().unwrap().to_bytes();
    assert_eq!(body, whole("r1"));
    drop(in_flight);
    assert!(leaving.await.unwrap());
}

/// Guards against a job that runs as one request that nobody sent. A host that has just started
/// has no routes yet and reads the job as an online request; once the routes are loaded, the
/// request would be sent to a target.
#[tokio::test]
async fn a_job_that_is_read_as_an_online_request_reaches_no_target() {
    let world = World::new(&["t1"]);
    let host = world.start_ready("a1").await;
    let result = host.ask(world::JOBS, "j1").await;
    assert!(matches!(result, Err(Failure::NotRun { .. })), "{result:?}");
    assert_eq!(world.engines.runs("j1"), []);
}
