//! Online requests, from the caller's side and the targets'.
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

const REFUSED: Action = Action::NoReply(NoReply::Full);
const UNREACHED: Action = Action::NoReply(NoReply::NotSent("scripted"));
const MOVED: Action = Action::NoReply(NoReply::OtherTarget);
const LOST: Action = Action::NoReply(NoReply::Unknown("scripted"));

#[tokio::test]
async fn before_a_configuration_is_known_nothing_runs_and_the_caller_may_come_back() {
    let harness = Harness::default();
    let host = harness.start("a1").await;
    let err = host.send(NON_RESUMABLE, "r1").await.unwrap_err();
    assert!(matches!(err, Failure::NotReady { .. }), "{err:?}");
}

#[tokio::test]
async fn a_path_without_a_route_is_told_so_only_from_a_configuration() {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    let err = host.send("/nowhere/", "r1").await.unwrap_err();
    assert_eq!(err, Failure::NoRoute);
}

#[rstest]
#[case::full(REFUSED)]
#[case::unreached(UNREACHED)]
#[case::other_target_at_its_address(MOVED)]
#[tokio::test]
async fn what_did_not_run_is_offered_to_another_target(
    #[case] act: Action,
    #[values(NON_RESUMABLE, RESUMABLE)] path: &str,
) {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness.start_ready("a1").await;
    harness.targets.script_request("r1", &[act]);
    let answer = host.send(path, "r1").await.unwrap();
    assert_eq!(answer.text().unwrap(), full_response("r1"));
    assert_eq!(harness.targets.runs("r1").len(), 1);
}

#[tokio::test]
async fn what_no_target_takes_is_refused_as_not_run() {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness.start_ready("a1").await;
    harness.targets.script_request("r1", &[REFUSED, REFUSED]);
    let err = host.send(NON_RESUMABLE, "r1").await.unwrap_err();
    assert!(matches!(err, Failure::NotRun { .. }), "{err:?}");
    assert_eq!(harness.targets.runs("r1"), []);
}

#[rstest]
#[case::lost(LOST)]
#[case::unsigned(Action::Unsigned)]
#[case::refused_without_saying_that_nothing_ran(Action::Status(503))]
#[case::too_many_without_saying_that_nothing_ran(Action::Status(429))]
#[tokio::test]
async fn what_may_have_run_is_not_sent_again_and_not_called_refused(#[case] act: Action) {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness.start_ready("a1").await;
    harness.targets.script_request("r1", &[act]);
    let err = host.send(NON_RESUMABLE, "r1").await.unwrap_err();
    assert!(matches!(err, Failure::Unknown { .. }), "{err:?}");
    assert_eq!(harness.targets.runs("r1").len(), 1);
}

#[rstest]
#[case::lost(LOST)]
#[case::unsigned(Action::Unsigned)]
#[case::failed(Action::Status(500))]
#[tokio::test]
async fn what_may_run_twice_is_sent_again(#[case] act: Action) {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness.start_ready("a1").await;
    harness.targets.script_request("r1", &[act]);
    let answer = host.send(RESUMABLE, "r1").await.unwrap();
    assert_eq!(answer.text().unwrap(), full_response("r1"));
}

#[tokio::test]
async fn a_target_s_own_failure_is_passed_on_as_it_is() {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness.start_ready("a1").await;
    harness.targets.script_request("r1", &[Action::Status(500)]);
    let answer = host.send(NON_RESUMABLE, "r1").await.unwrap();
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
}

#[rstest]
#[case::in_its_first_event(Action::BreakAfter(0))]
#[case::in_its_midst(Action::BreakAfter(3))]
#[case::in_its_last_event(Action::BreakAfter(EVENTS - 1))]
#[case::by_falling_silent(Action::HangAfter(2))]
#[case::by_leaving_out_an_event(Action::SkipAt(2))]
#[tokio::test]
async fn a_stream_that_breaks_off_goes_on_at_another_target(#[case] act: Action) {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness.start_ready("a1").await;
    harness.targets.script_request("r1", &[act]);
    let answer = host.send(RESUMABLE, "r1").await.unwrap();
    assert_eq!(answer.text().unwrap(), full_response("r1"));
    let runs = harness.targets.runs("r1");
    assert_eq!(runs.len(), 2);
    if runs[1].1.is_some() {
        let from = answer.headers["x-from"].to_str().unwrap();
        assert_eq!(from, runs[0].0, "The head is that of the first target.");
    }
    wait_until("the first target has stopped", || {
        harness.targets.active() == 0
    })
    .await;
}

/// Regression: an answer that came whole in its first piece was passed on
/// without its head (sul-permissoes, hunt-bee8-3).
#[rstest]
#[tokio::test]
async fn an_answer_that_comes_in_one_piece_has_its_head(
    #[values(NON_RESUMABLE, RESUMABLE)] path: &str,
) {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    harness.targets.script_request("r1", &[Action::SingleFrame]);
    let answer = host.send(path, "r1").await.unwrap();
    assert_eq!(answer.headers["x-from"], "t1");
    assert_eq!(answer.text().unwrap(), full_response("r1"));
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_ends_broken_off() {
    let harness = Harness::new(&["t1", "t2"]);
    let host = harness.start_ready("a1").await;
    harness
        .targets
        .script_request("r1", &[Action::BreakAfter(3)]);
    let answer = host.send(NON_RESUMABLE, "r1").await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.text(), None, "It must not look whole.");
    assert_eq!(harness.targets.runs("r1").len(), 1);
}

#[tokio::test]
async fn a_stream_runs_on_as_many_targets_as_its_route_allows() {
    let harness = Harness::new(&["t1", "t2", "t3", "t4"]);
    let host = harness.start_ready("a1").await;
    let act = Action::BreakAfter(1);
    harness.targets.script_request("r1", &[act; 4]);
    let answer = host.send(RESUMABLE, "r1").await.unwrap();
    assert_eq!(answer.text(), None);
    assert_eq!(harness.targets.runs("r1").len(), 3);
}

#[tokio::test]
async fn a_request_s_time_ends_at_its_route_s_and_its_target_stops() {
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
async fn a_caller_that_leaves_stops_its_target() {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    harness.targets.hold();
    let asked = online::serve(host.ctx(), request(NON_RESUMABLE, "r1"), Instant::now());
    let mut answer = asked.await.unwrap();
    answer.body.frame().await.unwrap().unwrap();
    assert_eq!(harness.targets.active_runs("r1"), 1);
    drop(answer);
    wait_until("the target has stopped", || harness.targets.active() == 0).await;
}

#[tokio::test]
async fn an_online_request_takes_the_place_of_an_item_and_the_item_goes_on_later() {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_with("a1", |s| s.batch.reserve = 0).await;
    host.wait_ready().await;
    harness.targets.hold();
    host.submit("j1", 2, 10).await.unwrap();
    wait_until("both places are taken", || harness.targets.active() == 2).await;
    let asked = online::serve(host.ctx(), request(NON_RESUMABLE, "r1"), Instant::now());
    let answer = asked.await.unwrap();
    wait_until("one item gave way", || {
        harness.targets.active_runs("j1-0") + harness.targets.active_runs("j1-1") == 1
    })
    .await;
    harness.targets.release();
    let body = answer.body.collect().await.unwrap().to_bytes();
    assert_eq!(body, full_response("r1"));
    let results = host.results("j1", 2).await;
    for result in results {
        let text = result.text.unwrap();
        assert_eq!(text, harness::targets::item_text(&result.item));
    }
}

#[tokio::test]
async fn an_online_request_takes_the_place_of_a_peer_s_item() {
    let harness = Harness::new(&["t1"]);
    let busy = harness.start_with("a1", |s| s.batch.reserve = 0).await;
    let other = harness.start_with("a2", |s| s.batch.reserve = 0).await;
    busy.wait_ready().await;
    other.wait_ready().await;
    harness.targets.hold();
    busy.submit("j1", 2, 10).await.unwrap();
    wait_until("both places are taken", || harness.targets.active() == 2).await;
    wait_until("the other host knows", || {
        other.ctx().load_of("t1").batch == 2
    })
    .await;
    let asked = online::serve(other.ctx(), request(NON_RESUMABLE, "r1"), Instant::now());
    let answer = asked.await.unwrap();
    wait_until("one item gave way", || {
        harness.targets.active_runs("j1-0") + harness.targets.active_runs("j1-1") == 1
    })
    .await;
    harness.targets.release();
    assert!(answer.body.collect().await.is_ok());
    busy.results("j1", 2).await;
}

#[tokio::test]
async fn a_host_that_leaves_finishes_the_answers_it_has_begun() {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    harness.targets.hold();
    let in_flight = host.ctx().in_flight.enter();
    let asked = online::serve(host.ctx(), request(NON_RESUMABLE, "r1"), Instant::now());
    let answer = asked.await.unwrap();
    let leaving = tokio::spawn(host.leave());
    let body = tokio::spawn(answer.body.collect());
    tokio::time::sleep(Duration::from_millis(5)).await;
    harness.targets.release();
    let body = body.await.unwrap().unwrap().to_bytes();
    assert_eq!(body, full_response("r1"));
    drop(in_flight);
    assert!(leaving.await.unwrap());
}

/// What users would see: a job was run as one request that nobody sent. It came to a host
/// that had just started and had no routes yet, so it was taken for an online request;
/// then the routes came, and the request went to a target.
#[tokio::test]
async fn a_job_that_is_taken_for_an_online_request_reaches_no_target() {
    let harness = Harness::new(&["t1"]);
    let host = harness.start_ready("a1").await;
    let answered = host.send(harness::JOBS, "j1").await;
    assert!(
        matches!(answered, Err(Failure::NotRun { .. })),
        "{answered:?}"
    );
    assert_eq!(harness.targets.runs("j1"), []);
}
