//! Calls about jobs and their results under failures of the store, targets and hosts.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use std::time::Duration;
use std::time::Instant;

use harness::Harness;
use harness::RunningHost;
use harness::TOKENS_MAX;
use harness::start_two_hosts;
use harness::store::AppendOutcome;
use harness::targets::Action;
use harness::targets::item_text;
use harness::wait_until;
use notchwharf_config::gateway::Settings;
use notchwharf_gateway::error::JobError;
use notchwharf_gateway::jobs;
use notchwharf_gateway::jobs::ItemResult;
use notchwharf_gateway::ports::NoReply;
use notchwharf_gateway::ports::Topic;
use notchwharf_ledger::jobs::Accepted;
use notchwharf_ledger::jobs::Applied;
use notchwharf_ledger::jobs::ItemSpec;
use notchwharf_ledger::jobs::Record;
use rstest::rstest;

fn assert_complete(results: &[ItemResult]) {
    for result in results {
        let text = result.text.as_ref().unwrap();
        assert_eq!(text, &item_text(&result.item));
    }
}

#[tokio::test]
async fn results_are_complete_and_identical_at_every_host() {
    let harness = Harness::new(&["t1", "t2"]);
    let a1 = harness.start_ready("a1").await;
    let a2 = harness.start_ready("a2").await;
    a1.submit("j1", 7, 10).await.unwrap();
    let results = a1.results("j1", 7).await;
    assert_complete(&results);
    assert_eq!(a2.results("j1", 7).await, results);
}

#[rstest]
#[case::refused_once(&[AppendOutcome::Refused])]
#[case::request_lost(&[AppendOutcome::RequestLost])]
#[case::response_lost(&[AppendOutcome::ResponseLost])]
#[case::response_lost_twice(&[AppendOutcome::ResponseLost, AppendOutcome::ResponseLost])]
#[case::delayed(&[AppendOutcome::Delayed(Duration::from_millis(150))])]
#[case::delayed_then_response_lost(&[AppendOutcome::Delayed(Duration::from_millis(150)), AppendOutcome::ResponseLost])]
#[tokio::test]
async fn a_job_is_accepted_once_despite_append_failures(#[case] outcomes: &[AppendOutcome]) {
    let harness = Harness::new(&["t1", "t2"]);
    let a1 = harness.start_ready("a1").await;
    harness.store.script(Topic::Jobs, outcomes);
    a1.submit("j1", 3, 10).await.unwrap();
    let results = a1.results("j1", 3).await;
    assert_complete(&results);
    let restarted = harness.start_ready("a2").await;
    assert_eq!(restarted.results("j1", 3).await, results);
    assert_eq!(restarted.results("j1", 3).await.len(), 3);
}

#[rstest]
#[case::refused(&[AppendOutcome::Refused])]
#[case::request_lost(&[AppendOutcome::RequestLost])]
#[case::response_lost(&[AppendOutcome::ResponseLost])]
#[case::delayed(&[AppendOutcome::Delayed(Duration::from_millis(100))])]
#[tokio::test]
async fn an_item_outcome_is_recorded_once_despite_append_failures(
    #[case] outcomes: &[AppendOutcome],
) {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    harness.targets.hold();
    a1.submit("j1", 1, 10).await.unwrap();
    wait_until("the item runs", || harness.targets.active() == 1).await;
    harness.store.script(Topic::Jobs, outcomes);
    harness.targets.release();
    let results = a1.results("j1", 1).await;
    assert_complete(&results);
    assert_eq!(results.len(), 1);
}

#[tokio::test]
async fn submitting_a_job_again_at_another_host_has_no_effect() {
    let harness = Harness::new(&["t1", "t2"]);
    let a1 = harness.start_ready("a1").await;
    let a2 = harness.start_ready("a2").await;
    a1.submit("j1", 3, 10).await.unwrap();
    a2.submit("j1", 3, 10).await.unwrap();
    let results = a2.results("j1", 3).await;
    assert_eq!(results.len(), 3);
    for item in ["j1-0", "j1-1", "j1-2"] {
        assert_eq!(harness.targets.runs(item).len(), 1, "{item}");
    }
}

#[tokio::test]
async fn jobs_over_quota_are_refused_at_every_host_and_never_run() {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    let a2 = harness.start_ready("a2").await;
    harness.targets.hold();
    let tokens = u32::try_from(TOKENS_MAX).unwrap();
    a1.submit("j1", 1, tokens - 10).await.unwrap();
    for host in [&a1, &a2] {
        let err = host.submit("j2", 1, 11).await.unwrap_err();
        assert!(matches!(err, JobError::OverQuota { .. }), "{err:?}");
    }
    a2.submit("j3", 1, 10).await.unwrap();
    harness.targets.release();
    a1.results("j1", 1).await;
    a1.results("j3", 1).await;
    assert_eq!(harness.targets.runs("j2-0"), []);
    // There is quota again, so the job can be submitted again.
    a2.submit("j2", 1, 11).await.unwrap();
    assert_complete(&a1.results("j2", 1).await);
}

#[tokio::test]
async fn a_host_that_cannot_read_the_records_does_not_respond_not_found() {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    let err = jobs::read_results(a1.ctx(), "none", 0, Duration::ZERO).await;
    assert_eq!(err.unwrap_err(), JobError::NotFound);
    harness.store.set_closed(true);
    let err = jobs::read_results(a1.ctx(), "none", 0, Duration::ZERO).await;
    assert!(matches!(err, Err(JobError::NotNow { .. })), "{err:?}");
    let err = jobs::read_item_body(a1.ctx(), "none", "i").await;
    assert!(matches!(err, Err(JobError::NotNow { .. })), "{err:?}");
    let err = jobs::end(a1.ctx(), "none").await;
    assert!(matches!(err, Err(JobError::NotNow { .. })), "{err:?}");
}

#[tokio::test]
async fn without_the_store_a_job_is_refused_for_now_and_not_run() {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    harness.store.set_closed(true);
    let err = a1.submit("j1", 1, 10).await.unwrap_err();
    assert!(matches!(err, JobError::NotNow { .. }), "{err:?}");
    harness.store.set_closed(false);
    wait_until("the store is available again", || {
        a1.ctx()
            .journal
            .staleness()
            .is_some_and(|age| age < Duration::from_millis(100))
    })
    .await;
    assert_eq!(harness.targets.runs("j1-0"), []);
}

#[tokio::test]
async fn a_job_with_an_unknown_append_outcome_is_not_reported_as_refused() {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    harness
        .store
        .script(Topic::Jobs, &[AppendOutcome::RequestLost; 200]);
    let err = a1.submit("j1", 1, 10).await.unwrap_err();
    assert_eq!(err, JobError::Unknown);
}

#[tokio::test]
async fn an_ended_job_runs_no_more_items_and_other_jobs_keep_their_results() {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    let a2 = harness.start_ready("a2").await;
    a1.submit("j1", 1, 10).await.unwrap();
    a1.results("j1", 1).await;
    harness.targets.hold();
    a1.submit("j2", 4, 10).await.unwrap();
    wait_until("an item runs", || harness.targets.active() > 0).await;
    jobs::end(a2.ctx(), "j2").await.unwrap();
    jobs::end(a2.ctx(), "j2").await.unwrap();
    wait_until("its items are cancelled", || harness.targets.active() == 0).await;
    harness.targets.release();
    a1.submit("j3", 1, 10).await.unwrap();
    a1.results("j3", 1).await;
    let read = jobs::read_results(a1.ctx(), "j2", 0, Duration::ZERO)
        .await
        .unwrap();
    assert_eq!((read.total, read.results.len()), (4, 0));
    let ended = jobs::read_item_body(a1.ctx(), "j2", "j2-0").await;
    assert_eq!(ended.unwrap_err(), JobError::NotFound);
    assert_eq!(a1.results("j1", 1).await.len(), 1);
}

#[rstest]
#[case::impossible(&["t1"], 422, 1)]
#[case::failing_at_every_target(&["t1", "t2", "t3"], 500, 3)]
#[case::failing_at_the_only_target(&["t1"], 500, 6)]
#[tokio::test]
async fn an_item_that_cannot_succeed_fails(
    #[case] targets: &[&str],
    #[case] status: u16,
    #[case] runs: usize,
) {
    let harness = Harness::new(targets);
    let a1 = harness.start_ready("a1").await;
    harness
        .targets
        .script_request("j1-0", &[Action::Status(status); 9]);
    a1.submit("j1", 2, 10).await.unwrap();
    let results = a1.results("j1", 2).await;
    let bad = results.iter().find(|r| r.item == "j1-0").unwrap();
    assert_eq!(bad.text, None);
    let good = results.iter().find(|r| r.item == "j1-1").unwrap();
    assert_eq!(good.text.as_ref().unwrap(), &item_text("j1-1"));
    assert_eq!(harness.targets.runs("j1-0").len(), runs);
}

/// Regression: targets that fail every item are always free, so valid items ran there until
/// they had failed as often as their route allows.
#[tokio::test]
async fn items_do_not_fail_because_of_targets_that_fail_everything() {
    let harness = Harness::new(&["t1", "t2", "t3", "t4"]);
    for target in ["t1", "t2", "t3"] {
        harness.targets.script(target, &[Action::Status(500); 200]);
    }
    let a1 = harness.start_ready("a1").await;
    a1.submit("j1", 12, 10).await.unwrap();
    assert_complete(&a1.results("j1", 12).await);
}

#[rstest]
#[case::refused(Action::NoReply(NoReply::Full))]
#[case::response_lost(Action::NoReply(NoReply::Unknown("scripted")))]
#[case::interrupted(Action::BreakAfter(3))]
#[case::stalled(Action::HangAfter(2))]
#[case::unsigned(Action::Unsigned)]
#[case::other_status(Action::Status(504))]
#[tokio::test]
async fn an_interrupted_item_resumes_after_its_last_complete_event(#[case] action: Action) {
    let harness = Harness::new(&["t1", "t2"]);
    let a1 = harness.start_ready("a1").await;
    harness.targets.script_request("j1-0", &[action; 2]);
    a1.submit("j1", 1, 10).await.unwrap();
    assert_complete(&a1.results("j1", 1).await);
}

#[tokio::test]
async fn every_host_returns_an_item_body() {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    let a2 = harness.start_ready("a2").await;
    harness.targets.hold();
    a1.submit("j1", 2, 10).await.unwrap();
    let body = jobs::read_item_body(a2.ctx(), "j1", "j1-1").await.unwrap();
    assert_eq!(body, "body of 1");
    let none = jobs::read_item_body(a2.ctx(), "j1", "other").await;
    assert_eq!(none.unwrap_err(), JobError::NotFound);
}

#[tokio::test]
async fn others_complete_the_jobs_of_a_host_that_fails() {
    let harness = Harness::new(&["t1", "t2"]);
    let a1 = harness.start_ready("a1").await;
    let a2 = harness.start_ready("a2").await;
    wait_until("the hosts have discovered each other", || {
        a1.ctx().peers_alive() == 1 && a2.ctx().peers_alive() == 1
    })
    .await;
    harness.targets.hold();
    a1.submit("j1", 4, 10).await.unwrap();
    wait_until("items run", || harness.targets.active() > 0).await;
    a1.kill();
    harness.targets.release();
    assert_complete(&a2.results("j1", 4).await);
}

#[tokio::test]
async fn others_complete_the_jobs_of_a_host_that_loses_the_store() {
    let harness = Harness::new(&["t1", "t2"]);
    let (a1, connection, a2) = start_two_hosts(&harness).await;
    harness.targets.hold();
    a1.submit("j1", 4, 10).await.unwrap();
    connection.set_closed(true);
    harness.targets.release();
    let results = a2.results("j1", 4).await;
    assert_complete(&results);
    connection.set_closed(false);
    assert_eq!(a1.results("j1", 4).await, results);
}

/// Regression: when the store recovered, hosts took over jobs from owners that had reconnected
/// as well but had not reported it yet, and their items ran again.
#[tokio::test]
async fn a_host_keeps_its_jobs_through_a_short_store_outage() {
    let harness = Harness::new(&["t1", "t2"]);
    let connection = harness.store.connection();
    let long_stall_timeout = |s: &mut Settings| s.batch.stall_ms = 10_000;
    let a1 = harness
        .start_with_store("a1", connection.clone(), long_stall_timeout)
        .await;
    a1.wait_ready().await;
    let a2 = harness.start_ready("a2").await;
    wait_until("the hosts have discovered each other", || {
        a1.ctx().peers_alive() == 1 && a2.ctx().peers_alive() == 1
    })
    .await;
    wait_until("a2 may take over", || {
        a2.ctx().started.elapsed() > Duration::from_millis(500)
    })
    .await;
    harness.targets.hold();
    a1.submit("j1", 2, 10).await.unwrap();
    jobs::read_results(a2.ctx(), "j1", 0, Duration::ZERO)
        .await
        .unwrap();
    wait_until("both items run", || harness.targets.active() == 2).await;
    connection.set_closed(true);
    wait_until("the store is unavailable", || !a1.ctx().is_store_up()).await;
    // Longer than the interval in which other hosts check for jobs to take over.
    tokio::time::sleep(Duration::from_millis(600)).await;
    connection.set_closed(false);
    wait_until("the store is available again", || a1.ctx().is_store_up()).await;
    harness.targets.release();
    assert_complete(&a2.results("j1", 2).await);
    let owner = a2
        .ctx()
        .journal
        .jobs()
        .get("j1")
        .map(|job| job.owner.clone());
    assert_eq!(owner.as_deref(), Some("a1"));
    for item in ["j1-0", "j1-1"] {
        assert_eq!(harness.targets.runs(item).len(), 1, "{item}");
    }
}

#[tokio::test]
async fn a_job_completes_after_a_restart_of_all_hosts() {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    harness.targets.hold();
    a1.submit("j1", 5, 10).await.unwrap();
    a1.kill();
    harness.targets.release();
    let restarted = harness.start_ready("a1").await;
    assert_complete(&restarted.results("j1", 5).await);
}

#[tokio::test]
async fn a_host_that_starts_after_the_history_expired_serves_results_and_bodies() {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    a1.submit("j1", 5, 10).await.unwrap();
    let results = a1.results("j1", 5).await;
    harness.targets.hold();
    a1.submit("j2", 2, 10).await.unwrap();
    harness.store.expire_history();
    let a2 = harness.start_ready("a2").await;
    assert_eq!(a2.results("j1", 5).await, results);
    let body = jobs::read_item_body(a2.ctx(), "j2", "j2-0").await.unwrap();
    assert_eq!(body, "body of 0");
}

#[tokio::test]
async fn a_host_whose_read_offset_expired_lists_the_records_again() {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    let connection = harness.store.connection();
    let a2 = harness
        .start_with_store("a2", connection.clone(), |_| {})
        .await;
    a2.wait_ready().await;
    connection.set_closed(true);
    a1.submit("j1", 3, 10).await.unwrap();
    let results = a1.results("j1", 3).await;
    harness.store.expire_history();
    connection.set_closed(false);
    assert_eq!(a2.results("j1", 3).await, results);
}

#[tokio::test]
async fn items_whose_route_is_removed_fail_and_do_not_run() {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    harness.targets.hold();
    a1.submit("j1", 4, 10).await.unwrap();
    wait_until("an item runs", || harness.targets.active() > 0).await;
    harness.configure(2, false);
    wait_until("the configuration is applied", || {
        a1.ctx().table().unwrap().version() == 2
    })
    .await;
    harness.targets.release();
    let results = a1.results("j1", 4).await;
    let failed = results.iter().filter(|r| r.text.is_none()).count();
    assert!(failed > 0, "{results:?}");
    let err = a1.submit("j2", 1, 10).await.unwrap_err();
    assert_eq!(err, JobError::NoRoute);
}

#[tokio::test]
async fn an_item_fails_after_its_time_limit_and_not_before() {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    let refuse = Action::NoReply(NoReply::Full);
    harness.targets.script_request("j1-0", &[refuse; 1_000]);
    let started = Instant::now();
    a1.submit("j1", 1, 10).await.unwrap();
    let results = a1.results("j1", 1).await;
    assert_eq!(results[0].text, None);
    assert!(started.elapsed() >= harness::ABANDON_AFTER);
}

/// Starts a host with a short retention, where a job is done and another one was refused beside it,
/// at a time by the clock of its host.
async fn start_with_refused_job(harness: &Harness, submitted_unix_ms: u64) -> RunningHost {
    let short_retention = |s: &mut Settings| s.batch.readable_ms = 1_000;
    let host = harness.start_with("a1", short_retention).await;
    host.wait_ready().await;
    let tokens = u32::try_from(TOKENS_MAX).unwrap();
    harness.targets.hold();
    host.submit("j1", 1, tokens).await.unwrap();
    let refused = Record::Accepted(Accepted {
        job: "j2".into(),
        attempt: 7,
        host: "a1".into(),
        route: harness::JOBS.into(),
        tokens_max: Some(TOKENS_MAX),
        submitted_unix_ms,
        items: vec![ItemSpec {
            id: "j2-0".into(),
            tokens,
        }],
        payload: vec![],
    });
    let deadline = Instant::now() + harness::WAIT_MAX;
    let applied = host.ctx().journal.append(refused, deadline).await.unwrap();
    assert!(matches!(applied, Applied::OverQuota { .. }), "{applied:?}");
    harness.targets.release();
    host.results("j1", 1).await;
    host
}

#[tokio::test]
async fn expired_jobs_are_deleted_from_the_store() {
    let harness = Harness::new(&["t1"]);
    let _a1 = start_with_refused_job(&harness, 0).await;
    wait_until("the records are deleted", || {
        let topics = [Topic::Jobs, Topic::Payloads, Topic::Results];
        topics
            .iter()
            .all(|topic| harness.store.key_count(*topic) == 0)
    })
    .await;
    harness.store.expire_history();
    let a2 = harness.start_ready("a2").await;
    for job in ["j1", "j2"] {
        let read = jobs::read_results(a2.ctx(), job, 0, Duration::ZERO).await;
        assert_eq!(read.unwrap_err(), JobError::NotFound, "{job}");
    }
}

/// Guards against a refused job that counts as accepted once the jobs before it are deleted.
#[tokio::test]
async fn a_job_stays_refused_after_a_cleanup_and_a_restart() {
    let harness = Harness::new(&["t1"]);
    // It is younger than the limit in each round of the cleanup.
    let _a1 = start_with_refused_job(&harness, u64::MAX).await;
    // The first job expires after three rounds.
    let pages = harness.store.pages_read(Topic::Jobs);
    wait_until("the log has been cleaned", || {
        harness.store.pages_read(Topic::Jobs) >= pages + 6
    })
    .await;
    harness.store.expire_history();
    let a2 = harness.start_ready("a2").await;
    let read = jobs::read_results(a2.ctx(), "j2", 0, Duration::ZERO).await;
    assert_eq!(read.unwrap_err(), JobError::NotFound);
}
