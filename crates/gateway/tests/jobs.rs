//! Jobs, from their callers' side, under faults of the store and of hosts.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod world;

use std::time::Duration;
use std::time::Instant;

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
use world::TOKENS_MAX;
use world::World;
use world::start_with_a_door;
use world::store::Fate;
use world::targets::Act;
use world::targets::item_text;
use world::until;

fn assert_whole(results: &[ItemResult]) {
    for result in results {
        let text = result.text.as_ref().unwrap();
        assert_eq!(text, &item_text(&result.item));
    }
}

#[tokio::test]
async fn a_job_s_results_are_whole_and_stand_alike_at_every_host() {
    let world = World::new(&["t1", "t2"]);
    let a1 = world.start_ready("a1").await;
    let a2 = world.start_ready("a2").await;
    a1.submit("j1", 7, 10).await.unwrap();
    let results = a1.results("j1", 7).await;
    assert_whole(&results);
    assert_eq!(a2.results("j1", 7).await, results);
}

#[rstest]
#[case::refused_once(&[Fate::Refused])]
#[case::lost_before(&[Fate::LostBefore])]
#[case::lost_after(&[Fate::LostAfter])]
#[case::lost_after_twice(&[Fate::LostAfter, Fate::LostAfter])]
#[case::late(&[Fate::Late(Duration::from_millis(150))])]
#[case::late_and_lost(&[Fate::Late(Duration::from_millis(150)), Fate::LostAfter])]
#[tokio::test]
async fn a_job_is_accepted_once_whatever_happens_to_its_record(#[case] fates: &[Fate]) {
    let world = World::new(&["t1", "t2"]);
    let a1 = world.start_ready("a1").await;
    world.store.script(Topic::Jobs, fates);
    a1.submit("j1", 3, 10).await.unwrap();
    let results = a1.results("j1", 3).await;
    assert_whole(&results);
    let restarted = world.start_ready("a2").await;
    assert_eq!(restarted.results("j1", 3).await, results);
    assert_eq!(restarted.results("j1", 3).await.len(), 3);
}

#[rstest]
#[case::refused(&[Fate::Refused])]
#[case::lost_before(&[Fate::LostBefore])]
#[case::lost_after(&[Fate::LostAfter])]
#[case::late(&[Fate::Late(Duration::from_millis(100))])]
#[tokio::test]
async fn an_item_is_listed_once_whatever_happens_to_its_record(#[case] fates: &[Fate]) {
    let world = World::new(&["t1"]);
    let a1 = world.start_ready("a1").await;
    world.engines.hold();
    a1.submit("j1", 1, 10).await.unwrap();
    until("it runs", || world.engines.active() == 1).await;
    world.store.script(Topic::Jobs, fates);
    world.engines.go();
    let results = a1.results("j1", 1).await;
    assert_whole(&results);
    assert_eq!(results.len(), 1);
}

#[tokio::test]
async fn a_job_submitted_again_at_another_host_is_the_same_job() {
    let world = World::new(&["t1", "t2"]);
    let a1 = world.start_ready("a1").await;
    let a2 = world.start_ready("a2").await;
    a1.submit("j1", 3, 10).await.unwrap();
    a2.submit("j1", 3, 10).await.unwrap();
    let results = a2.results("j1", 3).await;
    assert_eq!(results.len(), 3);
    for item in ["j1-0", "j1-1", "j1-2"] {
        assert_eq!(world.engines.runs(item).len(), 1, "{item}");
    }
}

#[tokio::test]
async fn jobs_beyond_the_limit_are_refused_at_every_host_and_never_run() {
    let world = World::new(&["t1"]);
    let a1 = world.start_ready("a1").await;
    let a2 = world.start_ready("a2").await;
    world.engines.hold();
    let tokens = u32::try_from(TOKENS_MAX).unwrap();
    a1.submit("j1", 1, tokens - 10).await.unwrap();
    for host in [&a1, &a2] {
        let err = host.submit("j2", 1, 11).await.unwrap_err();
        assert!(matches!(err, JobError::OverQuota { .. }), "{err:?}");
    }
    a2.submit("j3", 1, 10).await.unwrap();
    world.engines.go();
    a1.results("j1", 1).await;
    a1.results("j3", 1).await;
    assert_eq!(world.engines.runs("j2-0"), []);
    // Room again: the same job may come once more.
    a2.submit("j2", 1, 11).await.unwrap();
    assert_whole(&a1.results("j2", 1).await);
}

#[tokio::test]
async fn a_host_that_cannot_read_the_records_does_not_say_that_there_is_no_job() {
    let world = World::new(&["t1"]);
    let a1 = world.start_ready("a1").await;
    let err = jobs::read(a1.ctx(), "none", 0, Duration::ZERO).await;
    assert_eq!(err.unwrap_err(), JobError::NotFound);
    world.store.close(true);
    let err = jobs::read(a1.ctx(), "none", 0, Duration::ZERO).await;
    assert!(matches!(err, Err(JobError::NotNow { .. })), "{err:?}");
    let err = jobs::body(a1.ctx(), "none", "i").await;
    assert!(matches!(err, Err(JobError::NotNow { .. })), "{err:?}");
    let err = jobs::end(a1.ctx(), "none").await;
    assert!(matches!(err, Err(JobError::NotNow { .. })), "{err:?}");
}

#[tokio::test]
async fn without_the_store_a_job_is_refused_as_not_run_and_nothing_runs() {
    let world = World::new(&["t1"]);
    let a1 = world.start_ready("a1").await;
    world.store.close(true);
    let err = a1.submit("j1", 1, 10).await.unwrap_err();
    assert!(matches!(err, JobError::NotNow { .. }), "{err:?}");
    world.store.close(false);
    until("the store is back", || {
        a1.ctx()
            .journal
            .age()
            .is_some_and(|age| age < Duration::from_millis(100))
    })
    .await;
    assert_eq!(world.engines.runs("j1-0"), []);
}

#[tokio::test]
async fn a_job_whose_record_may_be_there_is_not_called_refused() {
    let world = World::new(&["t1"]);
    let a1 = world.start_ready("a1").await;
    world.store.script(Topic::Jobs, &[Fate::LostBefore; 200]);
    let err = a1.submit("j1", 1, 10).await.unwrap_err();
    assert_eq!(err, JobError::Unknown);
}

#[tokio::test]
async fn an_ended_job_runs_no_more_items_and_keeps_what_is_listed() {
    let world = World::new(&["t1"]);
    let a1 = world.start_ready("a1").await;
    let a2 = world.start_ready("a2").await;
    a1.submit("j1", 1, 10).await.unwrap();
    a1.results("j1", 1).await;
    world.engines.hold();
    a1.submit("j2", 4, 10).await.unwrap();
    until("an item runs", || world.engines.active() > 0).await;
    jobs::end(a2.ctx(), "j2").await.unwrap();
    jobs::end(a2.ctx(), "j2").await.unwrap();
    until("it was cut", || world.engines.active() == 0).await;
    world.engines.go();
    a1.submit("j3", 1, 10).await.unwrap();
    a1.results("j3", 1).await;
    let read = jobs::read(a1.ctx(), "j2", 0, Duration::ZERO).await.unwrap();
    assert_eq!((read.total, read.results.len()), (4, 0));
    let gone = jobs::body(a1.ctx(), "j2", "j2-0").await;
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
    let world = World::new(targets);
    let a1 = world.start_ready("a1").await;
    world
        .engines
        .script_request("j1-0", &[Act::Status(status); 9]);
    a1.submit("j1", 2, 10).await.unwrap();
    let results = a1.results("j1", 2).await;
    let bad = results.iter().find(|r| r.item == "j1-0").unwrap();
    assert_eq!(bad.text, None);
    let good = results.iter().find(|r| r.item == "j1-1").unwrap();
    assert_eq!(good.text.as_ref().unwrap(), &item_text("j1-1"));
    assert_eq!(world.engines.runs("j1-0").len(), runs);
}

/// Regression: targets that fail all that they are given, and so are always
/// free, made sound items fail as often as their route allows (the incident of
/// sul-permissoes-grown).
#[tokio::test]
async fn targets_that_fail_everything_do_not_make_items_fail() {
    let world = World::new(&["t1", "t2", "t3", "t4"]);
    for target in ["t1", "t2", "t3"] {
        world.engines.script(target, &[Act::Status(500); 200]);
    }
    let a1 = world.start_ready("a1").await;
    a1.submit("j1", 12, 10).await.unwrap();
    assert_whole(&a1.results("j1", 12).await);
}

#[rstest]
#[case::refused(Act::None(NoReply::Full))]
#[case::lost(Act::None(NoReply::Unknown("scripted")))]
#[case::broken_off(Act::BreakAfter(3))]
#[case::silent(Act::HangAfter(2))]
#[case::unsigned(Act::Unsigned)]
#[case::other_status(Act::Status(504))]
#[tokio::test]
async fn an_item_whose_run_breaks_goes_on_after_its_last_whole_event(#[case] act: Act) {
    let world = World::new(&["t1", "t2"]);
    let a1 = world.start_ready("a1").await;
    world.engines.script_request("j1-0", &[act; 2]);
    a1.submit("j1", 1, 10).await.unwrap();
    assert_whole(&a1.results("j1", 1).await);
}

#[tokio::test]
async fn an_item_s_body_comes_back_from_every_host() {
    let world = World::new(&["t1"]);
    let a1 = world.start_ready("a1").await;
    let a2 = world.start_ready("a2").await;
    world.engines.hold();
    a1.submit("j1", 2, 10).await.unwrap();
    let body = jobs::body(a2.ctx(), "j1", "j1-1").await.unwrap();
    assert_eq!(body, "body of 1");
    let none = jobs::body(a2.ctx(), "j1", "other").await;
    assert_eq!(none.unwrap_err(), JobError::NotFound);
}

#[tokio::test]
async fn the_jobs_of_a_host_that_dies_are_finished_by_others() {
    let world = World::new(&["t1", "t2"]);
    let a1 = world.start_ready("a1").await;
    let a2 = world.start_ready("a2").await;
    until("both know each other", || {
        a1.ctx().peers_alive() == 1 && a2.ctx().peers_alive() == 1
    })
    .await;
    world.engines.hold();
    a1.submit("j1", 4, 10).await.unwrap();
    until("items run", || world.engines.active() > 0).await;
    a1.kill();
    world.engines.go();
    assert_whole(&a2.results("j1", 4).await);
}

#[tokio::test]
async fn the_jobs_of_a_host_that_is_cut_from_the_store_are_finished_by_others() {
    let world = World::new(&["t1", "t2"]);
    let (a1, door, a2) = start_with_a_door(&world).await;
    world.engines.hold();
    a1.submit("j1", 4, 10).await.unwrap();
    door.close(true);
    world.engines.go();
    let results = a2.results("j1", 4).await;
    assert_whole(&results);
    door.close(false);
    assert_eq!(a1.results("j1", 4).await, results);
}

/// Regression: as the store came back to all hosts, jobs were taken over from
/// owners that had it back too but had not said so yet, and their items ran
/// again (the first incident of vantu-lectii).
#[tokio::test]
async fn a_host_that_loses_the_store_for_a_moment_keeps_its_jobs() {
    let world = World::new(&["t1", "t2"]);
    let door = world.store.door();
    let patient = |s: &mut Settings| s.batch.stall_ms = 10_000;
    let a1 = world.start_apart("a1", door.clone(), patient).await;
    a1.until_ready().await;
    let a2 = world.start_ready("a2").await;
    until("both know each other", || {
        a1.ctx().peers_alive() == 1 && a2.ctx().peers_alive() == 1
    })
    .await;
    until("a2 may take over", || {
        a2.ctx().started.elapsed() > Duration::from_millis(500)
    })
    .await;
    world.engines.hold();
    a1.submit("j1", 2, 10).await.unwrap();
    jobs::read(a2.ctx(), "j1", 0, Duration::ZERO).await.unwrap();
    until("both items run", || world.engines.active() == 2).await;
    door.close(true);
    until("the store is lost", || !a1.ctx().is_store_up()).await;
    // Longer than others take to look whose owners are away.
    tokio::time::sleep(Duration::from_millis(600)).await;
    door.close(false);
    until("the store is back", || a1.ctx().is_store_up()).await;
    world.engines.go();
    assert_whole(&a2.results("j1", 2).await);
    let owner = a2
        .ctx()
        .journal
        .jobs()
        .get("j1")
        .map(|job| job.owner.clone());
    assert_eq!(owner.as_deref(), Some("a1"));
    for item in ["j1-0", "j1-1"] {
        assert_eq!(world.engines.runs(item).len(), 1, "{item}");
    }
}

#[tokio::test]
async fn a_job_is_finished_after_all_hosts_have_stopped() {
    let world = World::new(&["t1"]);
    let a1 = world.start_ready("a1").await;
    world.engines.hold();
    a1.submit("j1", 5, 10).await.unwrap();
    a1.kill();
    world.engines.go();
    let again = world.start_ready("a1").await;
    assert_whole(&again.results("j1", 5).await);
}

#[tokio::test]
async fn a_host_that_starts_after_the_history_is_gone_knows_jobs_positions_and_bodies() {
    let world = World::new(&["t1"]);
    let a1 = world.start_ready("a1").await;
    a1.submit("j1", 5, 10).await.unwrap();
    let results = a1.results("j1", 5).await;
    world.engines.hold();
    a1.submit("j2", 2, 10).await.unwrap();
    world.store.expire();
    let a2 = world.start_ready("a2").await;
    assert_eq!(a2.results("j1", 5).await, results);
    let body = jobs::body(a2.ctx(), "j2", "j2-0").await.unwrap();
    assert_eq!(body, "body of 0");
}

#[tokio::test]
async fn a_host_whose_place_in_the_history_is_gone_lists_anew() {
    let world = World::new(&["t1"]);
    let a1 = world.start_ready("a1").await;
    let door = world.store.door();
    let a2 = world.start_apart("a2", door.clone(), |_| {}).await;
    a2.until_ready().await;
    door.close(true);
    a1.submit("j1", 3, 10).await.unwrap();
    let results = a1.results("j1", 3).await;
    world.store.expire();
    door.close(false);
    assert_eq!(a2.results("j1", 3).await, results);
}

#[tokio::test]
async fn items_whose_route_is_dropped_are_given_up_and_not_run() {
    let world = World::new(&["t1"]);
    let a1 = world.start_ready("a1").await;
    world.engines.hold();
    a1.submit("j1", 4, 10).await.unwrap();
    until("an item runs", || world.engines.active() > 0).await;
    world.configure(2, false);
    until("the configuration is in force", || {
        a1.ctx().table().unwrap().version() == 2
    })
    .await;
    world.engines.go();
    let results = a1.results("j1", 4).await;
    let given_up = results.iter().filter(|r| r.text.is_none()).count();
    assert!(given_up > 0, "{results:?}");
    let err = a1.submit("j2", 1, 10).await.unwrap_err();
    assert_eq!(err, JobError::NoRoute);
}

#[tokio::test]
async fn an_item_whose_time_is_over_is_given_up_and_not_before() {
    let world = World::new(&["t1"]);
    let a1 = world.start_ready("a1").await;
    let refuse = Act::None(NoReply::Full);
    world.engines.script_request("j1-0", &[refuse; 1_000]);
    let started = Instant::now();
    a1.submit("j1", 1, 10).await.unwrap();
    let results = a1.results("j1", 1).await;
    assert_eq!(results[0].text, None);
    assert!(started.elapsed() >= world::ABANDON_AFTER);
}

#[tokio::test]
async fn what_nobody_can_ask_for_any_more_is_removed_from_the_store() {
    let world = World::new(&["t1"]);
    let forgetful = |s: &mut Settings| s.batch.readable_ms = 1_000;
    let a1 = world.start_with("a1", forgetful).await;
    a1.until_ready().await;
    let tokens = u32::try_from(TOKENS_MAX).unwrap();
    world.engines.hold();
    a1.submit("j1", 1, tokens).await.unwrap();
    // Refused, its record would be accepted once the other's is gone.
    let refused = Record::Accepted(Accepted {
        job: "j2".into(),
        attempt: 7,
        host: "a1".into(),
        route: world::JOBS.into(),
        tokens_max: Some(TOKENS_MAX),
        submitted_unix_ms: 0,
        items: vec![ItemSpec {
            id: "j2-0".into(),
            tokens,
        }],
        payload: vec![],
    });
    let deadline = Instant::now() + world::WAIT_MAX;
    let applied = a1.ctx().journal.append(refused, deadline).await.unwrap();
    assert!(matches!(applied, Applied::OverQuota { .. }), "{applied:?}");
    world.engines.go();
    a1.results("j1", 1).await;
    until("the records are gone", || {
        let topics = [Topic::Jobs, Topic::Payloads, Topic::Results];
        topics.iter().all(|topic| world.store.keys(*topic) == 0)
    })
    .await;
    world.store.expire();
    let a2 = world.start_ready("a2").await;
    for job in ["j1", "j2"] {
        let read = jobs::read(a2.ctx(), job, 0, Duration::ZERO).await;
        assert_eq!(read.unwrap_err(), JobError::NotFound, "{job}");
    }
}
