//! Jobs, from their callers' side, under faults of the store and of hosts.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use std::time::Duration;
use std::time::Instant;

use harness::Harness;
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

fn assert_whole(results: &[ItemResult]) {
    for result in results {
        let text = result.text.as_ref().unwrap();
        assert_eq!(text, &item_text(&result.item));
    }
}

#[tokio::test]
async fn a_job_s_results_are_whole_and_stand_alike_at_every_host() {
    let harness = Harness::new(&["t1", "t2"]);
    let a1 = harness.start_ready("a1").await;
    let a2 = harness.start_ready("a2").await;
    a1.submit("j1", 7, 10).await.unwrap();
    let results = a1.results("j1", 7).await;
    assert_whole(&results);
    assert_eq!(a2.results("j1", 7).await, results);
}

#[rstest]
#[case::refused_once(&[AppendOutcome::Refused])]
#[case::lost_before(&[AppendOutcome::RequestLost])]
#[case::lost_after(&[AppendOutcome::ResponseLost])]
#[case::lost_after_twice(&[AppendOutcome::ResponseLost, AppendOutcome::ResponseLost])]
#[case::late(&[AppendOutcome::Delayed(Duration::from_millis(150))])]
#[case::late_and_lost(&[AppendOutcome::Delayed(Duration::from_millis(150)), AppendOutcome::ResponseLost])]
#[tokio::test]
async fn a_job_is_accepted_once_whatever_happens_to_its_record(#[case] fates: &[AppendOutcome]) {
    let harness = Harness::new(&["t1", "t2"]);
    let a1 = harness.start_ready("a1").await;
    harness.store.script(Topic::Jobs, fates);
    a1.submit("j1", 3, 10).await.unwrap();
    let results = a1.results("j1", 3).await;
    assert_whole(&results);
    let restarted = harness.start_ready("a2").await;
    assert_eq!(restarted.results("j1", 3).await, results);
    assert_eq!(restarted.results("j1", 3).await.len(), 3);
}

#[rstest]
#[case::refused(&[AppendOutcome::Refused])]
#[case::lost_before(&[AppendOutcome::RequestLost])]
#[case::lost_after(&[AppendOutcome::ResponseLost])]
#[case::late(&[AppendOutcome::Delayed(Duration::from_millis(100))])]
#[tokio::test]
async fn an_item_is_listed_once_whatever_happens_to_its_record(#[case] fates: &[AppendOutcome]) {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    harness.targets.hold();
    a1.submit("j1", 1, 10).await.unwrap();
    wait_until("it runs", || harness.targets.active() == 1).await;
    harness.store.script(Topic::Jobs, fates);
    harness.targets.release();
    let results = a1.results("j1", 1).await;
    assert_whole(&results);
    assert_eq!(results.len(), 1);
}

#[tokio::test]
async fn a_job_submitted_again_at_another_host_is_the_same_job() {
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
async fn jobs_beyond_the_limit_are_refused_at_every_host_and_never_run() {
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
    // Room again: the same job may come once more.
    a2.submit("j2", 1, 11).await.unwrap();
    assert_whole(&a1.results("j2", 1).await);
}

#[tokio::test]
async fn a_host_that_cannot_read_the_records_does_not_say_that_there_is_no_job() {
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
async fn without_the_store_a_job_is_refused_as_not_run_and_nothing_runs() {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    harness.store.set_closed(true);
    let err = a1.submit("j1", 1, 10).await.unwrap_err();
    assert!(matches!(err, JobError::NotNow { .. }), "{err:?}");
    harness.store.set_closed(false);
    wait_until("the store is back", || {
        a1.ctx()
            .journal
            .staleness()
            .is_some_and(|age| age < Duration::from_millis(100))
    })
    .await;
    assert_eq!(harness.targets.runs("j1-0"), []);
}

#[tokio::test]
async fn a_job_whose_record_may_be_there_is_not_called_refused() {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    harness
        .store
        .script(Topic::Jobs, &[AppendOutcome::RequestLost; 200]);
    let err = a1.submit("j1", 1, 10).await.unwrap_err();
    assert_eq!(err, JobError::Unknown);
}

#[tokio::test]
async fn an_ended_job_runs_no_more_items_and_keeps_what_is_listed() {
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
    wait_until("it was cut", || harness.targets.active() == 0).await;
    harness.targets.release();
    a1.submit("j3", 1, 10).await.unwrap();
    a1.results("j3", 1).await;
    let read = jobs::read_results(a1.ctx(), "j2", 0, Duration::ZERO)
        .await
        .unwrap();
    assert_eq!((read.total, read.results.len()), (4, 0));
    let gone = jobs::read_item_body(a1.ctx(), "j2", "j2-0").await;
    assert_eq!(gone.unwrap_err(), JobError::NotFound);
    assert_eq!(a1.results("j1", 1).await.len(), 1);
}

#[rstest]
#[case::impossible(&["t1"], 422, 1)]
#[case::failing_everywhere(&["t1", "t2", "t3"], 500, 3)]
#[case::failing_at_the_only_target(&["t1"], 500, 6)]
#[tokio::test]
async fn an_item_that_cannot_be_done_is_given_up(
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

/// Regression: targets that fail all that they are given, and so are always
/// free, made sound items fail as often as their route allows (the incident of
/// sul-permissoes-grown).
#[tokio::test]
async fn targets_that_fail_everything_do_not_make_items_fail() {
    let harness = Harness::new(&["t1", "t2", "t3", "t4"]);
    for target in ["t1", "t2", "t3"] {
        harness.targets.script(target, &[Action::Status(500); 200]);
    }
    let a1 = harness.start_ready("a1").await;
    a1.submit("j1", 12, 10).await.unwrap();
    assert_whole(&a1.results("j1", 12).await);
}

#[rstest]
#[case::refused(Action::NoReply(NoReply::Full))]
#[case::lost(Action::NoReply(NoReply::Unknown("scripted")))]
#[case::broken_off(Action::BreakAfter(3))]
#[case::silent(Action::HangAfter(2))]
#[case::unsigned(Action::Unsigned)]
#[case::other_status(Action::Status(504))]
#[tokio::test]
async fn an_item_whose_run_breaks_goes_on_after_its_last_whole_event(#[case] act: Action) {
    let harness = Harness::new(&["t1", "t2"]);
    let a1 = harness.start_ready("a1").await;
    harness.targets.script_request("j1-0", &[act; 2]);
    a1.submit("j1", 1, 10).await.unwrap();
    assert_whole(&a1.results("j1", 1).await);
}

#[tokio::test]
async fn an_item_s_body_comes_back_from_every_host() {
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
async fn the_jobs_of_a_host_that_dies_are_finished_by_others() {
    let harness = Harness::new(&["t1", "t2"]);
    let a1 = harness.start_ready("a1").await;
    let a2 = harness.start_ready("a2").await;
    wait_until("both know each other", || {
        a1.ctx().peers_alive() == 1 && a2.ctx().peers_alive() == 1
    })
    .await;
    harness.targets.hold();
    a1.submit("j1", 4, 10).await.unwrap();
    wait_until("items run", || harness.targets.active() > 0).await;
    a1.kill();
    harness.targets.release();
    assert_whole(&a2.results("j1", 4).await);
}

#[tokio::test]
async fn the_jobs_of_a_host_that_is_cut_from_the_store_are_finished_by_others() {
    let harness = Harness::new(&["t1", "t2"]);
    let (a1, connection, a2) = start_two_hosts(&harness).await;
    harness.targets.hold();
    a1.submit("j1", 4, 10).await.unwrap();
    connection.set_closed(true);
    harness.targets.release();
    let results = a2.results("j1", 4).await;
    assert_whole(&results);
    connection.set_closed(false);
    assert_eq!(a1.results("j1", 4).await, results);
}

/// Regression: as the store came back to all hosts, jobs were taken over from
/// owners that had it back too but had not said so yet, and their items ran
/// again (the first incident of vantu-lectii).
#[tokio::test]
async fn a_host_that_loses_the_store_for_a_moment_keeps_its_jobs() {
    let harness = Harness::new(&["t1", "t2"]);
    let connection = harness.store.connection();
    let patient = |s: &mut Settings| s.batch.stall_ms = 10_000;
    let a1 = harness
        .start_with_store("a1", connection.clone(), patient)
        .await;
    a1.wait_ready().await;
    let a2 = harness.start_ready("a2").await;
    wait_until("both know each other", || {
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
    wait_until("the store is lost", || !a1.ctx().is_store_up()).await;
    // Longer than others take to look whose owners are away.
    tokio::time::sleep(Duration::from_millis(600)).await;
    connection.set_closed(false);
    wait_until("the store is back", || a1.ctx().is_store_up()).await;
    harness.targets.release();
    assert_whole(&a2.results("j1", 2).await);
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
async fn a_job_is_finished_after_all_hosts_have_stopped() {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    harness.targets.hold();
    a1.submit("j1", 5, 10).await.unwrap();
    a1.kill();
    harness.targets.release();
    let again = harness.start_ready("a1").await;
    assert_whole(&again.results("j1", 5).await);
}

#[tokio::test]
async fn a_host_that_starts_after_the_history_is_gone_knows_jobs_positions_and_bodies() {
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
async fn a_host_whose_place_in_the_history_is_gone_lists_anew() {
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
async fn items_whose_route_is_dropped_are_given_up_and_not_run() {
    let harness = Harness::new(&["t1"]);
    let a1 = harness.start_ready("a1").await;
    harness.targets.hold();
    a1.submit("j1", 4, 10).await.unwrap();
    wait_until("an item runs", || harness.targets.active() > 0).await;
    harness.configure(2, false);
    wait_until("the configuration is in force", || {
        a1.ctx().table().unwrap().version() == 2
    })
    .await;
    harness.targets.release();
    let results = a1.results("j1", 4).await;
    let given_up = results.iter().filter(|r| r.text.is_none()).count();
    assert!(given_up > 0, "{results:?}");
    let err = a1.submit("j2", 1, 10).await.unwrap_err();
    assert_eq!(err, JobError::NoRoute);
}

#[tokio::test]
async fn an_item_whose_time_is_over_is_given_up_and_not_before() {
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

#[tokio::test]
async fn what_nobody_can_ask_for_any_more_is_removed_from_the_store() {
    let harness = Harness::new(&["t1"]);
    let forgetful = |s: &mut Settings| s.batch.readable_ms = 1_000;
    let a1 = harness.start_with("a1", forgetful).await;
    a1.wait_ready().await;
    let tokens = u32::try_from(TOKENS_MAX).unwrap();
    harness.targets.hold();
    a1.submit("j1", 1, tokens).await.unwrap();
    // Refused, its record would be accepted once the other's is gone.
    let refused = Record::Accepted(Accepted {
        job: "j2".into(),
        attempt: 7,
        host: "a1".into(),
        route: harness::JOBS.into(),
        tokens_max: Some(TOKENS_MAX),
        submitted_unix_ms: 0,
        items: vec![ItemSpec {
            id: "j2-0".into(),
            tokens,
        }],
        payload: vec![],
    });
    let deadline = Instant::now() + harness::WAIT_MAX;
    let applied = a1.ctx().journal.append(refused, deadline).await.unwrap();
    assert!(matches!(applied, Applied::OverQuota { .. }), "{applied:?}");
    harness.targets.release();
    a1.results("j1", 1).await;
    wait_until("the records are gone", || {
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
