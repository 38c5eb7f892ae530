//! Online requests: what callers receive, and what runs at targets.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use std::time::Duration;
use std::time::Instant;

use harness::Harness;
use harness::NON_RESUMABLE;
use harness::RESUMABLE;
use harness::request;
use harness::targets::Action;
use harness::targets::EVENTS;
use harness::targets::full_response;
use harness::wait_until;
use http_body_util::BodyExt as _;
use hyper::StatusCode;
use notchwharf_gateway::error::Failure;
use notchwharf_gateway::online;
use notchwharf_gateway::ports::NoReply;
use rstest::rstest;

const FULL: Action = Action::NoReply(NoReply::Full);
const NOT_SENT: Action = Action::NoReply(NoReply::NotSent("scripted"));
const OTHER_TARGET: Action = Action::NoReply(NoReply::OtherTarget);
const LOST: Action = Action::NoReply(NoReply::Unknown("scripted"));

#[tokio::test]
async fn without_a_configuration_a_request_is_refused_as_not_ready() {
    let harness = Harness::default();
    let host = harness.start("a1").await;
    let err = host.send(NON_RESUMABLE, "r1").await.unwrap_err();
    assert!(matches!(err, Failure::NotReady { .. }), "{err:?}");
}

#[tokio::test]
async fn a_path_without_a_route_is_refused_by_a_configuration() {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    let err = host.send("/nowhere/", "r1").await.unwrap_err();
    assert_eq!(err, Failure::NoRoute);
}

#[rstest]
#[case::full(FULL)]
#[case::not_sent(NOT_SENT)]
#[case::other_target_at_its_address(OTHER_TARGET)]
#[tokio::test]
async fn a_request_that_did_not_run_is_offered_to_another_target(
    #[case] action: Action,
    #[values(NON_RESUMABLE, RESUMABLE)] path: &str,
) {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness.start_ready("a1").await;
    harness.targets.script_request("r1", &[action]);
    let response = host.send(path, "r1").await.unwrap();
    assert_eq!(response.text().unwrap(), full_response("r1"));
    assert_eq!(harness.targets.runs("r1").len(), 1);
}

#[tokio::test]
async fn a_request_that_every_target_refuses_is_not_run() {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness.start_ready("a1").await;
    harness.targets.script_request("r1", &[FULL, FULL]);
    let err = host.send(NON_RESUMABLE, "r1").await.unwrap_err();
    assert!(matches!(err, Failure::NotRun { .. }), "{err:?}");
    assert_eq!(harness.targets.runs("r1"), []);
}

#[rstest]
#[case::lost(LOST)]
#[case::unsigned(Action::Unsigned)]
#[case::unavailable_without_confirming_that_nothing_ran(Action::Status(503))]
#[case::too_many_requests_without_confirming_that_nothing_ran(Action::Status(429))]
#[tokio::test]
async fn a_request_that_may_have_run_is_not_sent_again_and_has_an_unknown_outcome(
    #[case] action: Action,
) {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness.start_ready("a1").await;
    harness.targets.script_request("r1", &[action]);
    let err = host.send(NON_RESUMABLE, "r1").await.unwrap_err();
    assert!(matches!(err, Failure::Unknown { .. }), "{err:?}");
    assert_eq!(harness.targets.runs("r1").len(), 1);
}

#[rstest]
#[case::lost(LOST)]
#[case::unsigned(Action::Unsigned)]
#[case::failed(Action::Status(500))]
#[tokio::test]
async fn a_repeatable_request_is_sent_again(#[case] action: Action) {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness.start_ready("a1").await;
    harness.targets.script_request("r1", &[action]);
    let response = host.send(RESUMABLE, "r1").await.unwrap();
    assert_eq!(response.text().unwrap(), full_response("r1"));
}

#[tokio::test]
async fn a_server_error_of_a_target_is_forwarded_unchanged() {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness.start_ready("a1").await;
    harness.targets.script_request("r1", &[Action::Status(500)]);
    let response = host.send(NON_RESUMABLE, "r1").await.unwrap();
    assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
}

#[rstest]
#[case::in_its_first_event(Action::BreakAfter(0))]
#[case::in_a_middle_event(Action::BreakAfter(3))]
#[case::in_its_last_event(Action::BreakAfter(EVENTS - 1))]
#[case::by_stalling(Action::HangAfter(2))]
#[case::by_skipping_an_event(Action::SkipAt(2))]
#[tokio::test]
async fn an_interrupted_stream_is_resumed_at_another_target(#[case] action: Action) {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness.start_ready("a1").await;
    harness.targets.script_request("r1", &[action]);
    let response = host.send(RESUMABLE, "r1").await.unwrap();
    assert_eq!(response.text().unwrap(), full_response("r1"));
    let runs = harness.targets.runs("r1");
    assert_eq!(runs.len(), 2);
    if runs[1].1.is_some() {
        let from = response.headers["x-from"].to_str().unwrap();
        assert_eq!(
            from, runs[0].0,
            "The headers are those of the first target."
        );
    }
    wait_until("the first target has stopped", || {
        harness.targets.active() == 0
    })
    .await;
}

#[rstest]
#[case::resumable(RESUMABLE)]
#[case::not_resumable(NON_RESUMABLE)]
#[tokio::test]
async fn streams_with_crlf_line_ends_are_whole(#[case] path: &str) {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    harness.targets.script_request("r1", &[Action::CrLf]);
    let response = host.send(path, "r1").await.unwrap();
    let text = full_response("r1").replace('\n', "\r\n");
    assert_eq!(response.text(), Some(text));
}

/// Regression: a response whose body was complete in its first chunk was forwarded without its
/// headers.
#[rstest]
#[tokio::test]
async fn a_response_that_arrives_in_one_chunk_has_its_headers(
    #[values(NON_RESUMABLE, RESUMABLE)] path: &str,
) {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    harness.targets.script_request("r1", &[Action::SingleFrame]);
    let response = host.send(path, "r1").await.unwrap();
    assert_eq!(response.headers["x-from"], "t1");
    assert_eq!(response.text().unwrap(), full_response("r1"));
}

#[tokio::test]
async fn an_interrupted_stream_that_is_not_resumable_ends_with_an_error() {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness.start_ready("a1").await;
    harness
        .targets
        .script_request("r1", &[Action::BreakAfter(3)]);
    let response = host.send(NON_RESUMABLE, "r1").await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.text(), None, "It must not look complete.");
    assert_eq!(harness.targets.runs("r1").len(), 1);
}

#[tokio::test]
async fn a_stream_runs_at_most_as_often_as_its_route_allows() {
    let harness = Harness::new(&["t1", "t2", "t3", "t4"]);
    let host = harness.start_ready("a1").await;
    let action = Action::BreakAfter(1);
    harness.targets.script_request("r1", &[action; 4]);
    let response = host.send(RESUMABLE, "r1").await.unwrap();
    assert_eq!(response.text(), None);
    assert_eq!(harness.targets.runs("r1").len(), 3);
}

#[tokio::test]
async fn a_request_times_out_with_its_route_and_its_target_stops() {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    harness.targets.script_request("r1", &[Action::Hang]);
    let started = Instant::now();
    let err = host.send(NON_RESUMABLE, "r1").await.unwrap_err();
    assert_eq!(err, Failure::TimedOut);
    assert!(started.elapsed() >= harness::NON_RESUMABLE_TIMEOUT);
    wait_until("the target has stopped", || harness.targets.active() == 0).await;
}

#[tokio::test]
async fn a_disconnected_caller_stops_its_target() {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    harness.targets.hold();
    let serving = online::serve(host.ctx(), request(NON_RESUMABLE, "r1"), Instant::now());
    let mut response = serving.await.unwrap();
    response.body.frame().await.unwrap().unwrap();
    assert_eq!(harness.targets.active_runs("r1"), 1);
    drop(response);
    wait_until("the target has stopped", || harness.targets.active() == 0).await;
}

#[tokio::test]
async fn an_online_request_preempts_an_item_and_the_item_is_resumed_later() {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_with("a1", |s| s.batch.reserve = 0).await;
    host.wait_ready().await;
    harness.targets.hold();
    host.submit("j1", 2, 10).await.unwrap();
    wait_until("both slots are in use", || harness.targets.active() == 2).await;
    let serving = online::serve(host.ctx(), request(NON_RESUMABLE, "r1"), Instant::now());
    let response = serving.await.unwrap();
    wait_until("one item was preempted", || {
        harness.targets.active_runs("j1-0") + harness.targets.active_runs("j1-1") == 1
    })
    .await;
    harness.targets.release();
    let body = response.body.collect().await.unwrap().to_bytes();
    assert_eq!(body, full_response("r1"));
    let results = host.results("j1", 2).await;
    for result in results {
        let text = result.text.unwrap();
        assert_eq!(text, harness::targets::item_text(&result.item));
    }
}

#[tokio::test]
async fn an_online_request_preempts_an_item_of_a_peer() {
    let harness = Harness::new(&["t1"]);
    let busy = harness.start_with("a1", |s| s.batch.reserve = 0).await;
    let other = harness.start_with("a2", |s| s.batch.reserve = 0).await;
    busy.wait_ready().await;
    other.wait_ready().await;
    harness.targets.hold();
    busy.submit("j1", 2, 10).await.unwrap();
    wait_until("both slots are in use", || harness.targets.active() == 2).await;
    wait_until("the other host knows the load", || {
        other.ctx().load_of("t1").batch == 2
    })
    .await;
    let serving = online::serve(other.ctx(), request(NON_RESUMABLE, "r1"), Instant::now());
    let response = serving.await.unwrap();
    wait_until("one item was preempted", || {
        harness.targets.active_runs("j1-0") + harness.targets.active_runs("j1-1") == 1
    })
    .await;
    harness.targets.release();
    assert!(response.body.collect().await.is_ok());
    busy.results("j1", 2).await;
}

#[tokio::test]
async fn a_host_that_shuts_down_completes_the_responses_it_has_started() {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    harness.targets.hold();
    let in_flight = host.ctx().in_flight.enter();
    let serving = online::serve(host.ctx(), request(NON_RESUMABLE, "r1"), Instant::now());
    let response = serving.await.unwrap();
    let shutdown = tokio::spawn(host.shut_down());
    let body = tokio::spawn(response.body.collect());
    tokio::time::sleep(Duration::from_millis(5)).await;
    harness.targets.release();
    let body = body.await.unwrap().unwrap().to_bytes();
    assert_eq!(body, full_response("r1"));
    drop(in_flight);
    assert!(shutdown.await.unwrap());
}

/// Guards against a job that runs as one request that nobody sent. A host that has just started
/// has no routes yet and reads the job as an online request; once the routes are loaded, the
/// request would be sent to a target.
#[tokio::test]
async fn a_job_that_is_read_as_an_online_request_reaches_no_target() {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    let result = host.send(harness::JOBS, "j1").await;
    assert!(matches!(result, Err(Failure::NotRun { .. })), "{result:?}");
    assert_eq!(harness.targets.runs("j1"), []);
}
