//! What becomes of unfinished items when their host dies, leaves or starts
//! again.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use harness::Harness;
use harness::RunningHost;
use harness::store::AppendOutcome;
use harness::targets::Action;
use harness::targets::item_text;
use harness::wait_until;
use notchwharf_config::gateway::Settings;
use notchwharf_gateway::ports::Topic;
use rstest::rstest;

/// Saves after each event, at once.
fn eager(settings: &mut Settings) {
    settings.batch.save_events = 1;
    settings.batch.save_ms = 10;
    settings.batch.stall_ms = 10_000;
}

/// Saves nothing before the host leaves.
fn lazy(settings: &mut Settings) {
    settings.batch.save_events = 1_000_000;
    settings.batch.stall_ms = 10_000;
}

async fn start(harness: &Harness, name: &str, change: fn(&mut Settings)) -> RunningHost {
    let host = harness.start_with(name, change).await;
    host.wait_ready().await;
    host
}

async fn until_acquainted(hosts: &[&RunningHost]) {
    wait_until("all know each other", || {
        hosts
            .iter()
            .all(|h| h.ctx().peers_alive() == hosts.len() - 1)
    })
    .await;
}

/// Runs a job's only item at a host up to its second event.
async fn begin(harness: &Harness, host: &RunningHost) {
    harness.targets.hold();
    host.submit("j1", 1, 10).await.unwrap();
    wait_until("the item runs", || harness.targets.active() == 1).await;
}

async fn until_saved(harness: &Harness) {
    wait_until("progress is saved", || {
        harness.store.key_count(Topic::Progress) == 1
    })
    .await;
}

/// Lets the item end, which runs a second time: it goes on and is whole.
async fn finish_resumed(harness: &Harness, host: &RunningHost) {
    wait_until("it runs again", || harness.targets.runs("j1-0").len() == 2).await;
    harness.targets.release();
    let results = host.results("j1", 1).await;
    assert_eq!(results[0].text.as_ref().unwrap(), &item_text("j1-0"));
    let resumed_after = harness.targets.runs("j1-0")[1].1;
    assert!(resumed_after.is_some(), "{resumed_after:?}");
}

#[rstest]
#[case::history_kept(false)]
#[case::history_gone(true)]
#[tokio::test]
async fn another_host_goes_on_behind_the_last_event_that_a_dead_one_saved(#[case] expire: bool) {
    let harness = Harness::new(&["t1"]);
    let a1 = start(&harness, "a1", eager).await;
    let a2 = start(&harness, "a2", eager).await;
    until_acquainted(&[&a1, &a2]).await;
    begin(&harness, &a1).await;
    until_saved(&harness).await;
    a1.kill();
    if expire {
        harness.store.expire_history();
    }
    finish_resumed(&harness, &a2).await;
}

#[tokio::test]
async fn a_host_that_starts_again_goes_on_behind_the_last_event_that_it_saved() {
    let harness = Harness::new(&["t1"]);
    let a1 = start(&harness, "a1", eager).await;
    begin(&harness, &a1).await;
    until_saved(&harness).await;
    a1.kill();
    let again = start(&harness, "a1", eager).await;
    finish_resumed(&harness, &again).await;
}

#[tokio::test]
async fn a_host_that_leaves_hands_over_what_its_items_generated() {
    let harness = Harness::new(&["t1"]);
    let a1 = start(&harness, "a1", lazy).await;
    let a2 = start(&harness, "a2", lazy).await;
    until_acquainted(&[&a1, &a2]).await;
    begin(&harness, &a1).await;
    assert_eq!(harness.store.key_count(Topic::Progress), 0);
    assert!(a1.leave().await);
    finish_resumed(&harness, &a2).await;
}

#[tokio::test]
async fn failures_at_a_host_that_left_count() {
    let harness = Harness::new(&["t1"]);
    let a1 = start(&harness, "a1", lazy).await;
    let a2 = start(&harness, "a2", lazy).await;
    until_acquainted(&[&a1, &a2]).await;
    let failed = Action::Status(500);
    // Two failures at the first host; then it runs and does not end.
    let acts = [&[failed, failed, Action::HangAfter(0)], &[failed; 9][..]].concat();
    harness.targets.script_request("j1-0", &acts);
    a1.submit("j1", 1, 10).await.unwrap();
    wait_until("it failed twice", || {
        harness.targets.runs("j1-0").len() == 3
    })
    .await;
    assert!(a1.leave().await);
    let results = a2.results("j1", 1).await;
    assert_eq!(results[0].text, None);
    // The only target fails it again and again, so it may do so six times.
    assert_eq!(harness.targets.runs("j1-0").len(), 6 + 1);
}

#[rstest]
#[case::refused(AppendOutcome::Refused)]
#[case::lost(AppendOutcome::RequestLost)]
#[case::done_and_not_answered(AppendOutcome::ResponseLost)]
#[tokio::test]
async fn an_item_is_done_whatever_happens_to_its_progress(#[case] fate: AppendOutcome) {
    let harness = Harness::new(&["t1"]);
    harness.store.script(Topic::Progress, &[fate; 3]);
    let a1 = start(&harness, "a1", eager).await;
    let a2 = start(&harness, "a2", eager).await;
    until_acquainted(&[&a1, &a2]).await;
    begin(&harness, &a1).await;
    a1.kill();
    harness.targets.release();
    let results = a2.results("j1", 1).await;
    assert_eq!(results[0].text.as_ref().unwrap(), &item_text("j1-0"));
}

#[tokio::test]
async fn the_progress_of_an_item_that_is_done_is_dropped() {
    let harness = Harness::new(&["t1"]);
    let a1 = start(&harness, "a1", eager).await;
    begin(&harness, &a1).await;
    until_saved(&harness).await;
    harness.targets.release();
    a1.results("j1", 1).await;
    wait_until("it is dropped", || {
        harness.store.key_count(Topic::Progress) == 0
    })
    .await;
}

#[tokio::test]
async fn the_progress_of_a_job_whose_owner_died_is_dropped_with_the_job() {
    let harness = Harness::new(&["t1"]);
    let forgetful = |s: &mut Settings| {
        eager(s);
        s.batch.readable_ms = 1_000;
    };
    let a1 = start(&harness, "a1", eager).await;
    let a2 = start(&harness, "a2", forgetful).await;
    until_acquainted(&[&a1, &a2]).await;
    begin(&harness, &a1).await;
    until_saved(&harness).await;
    a1.kill();
    harness.targets.release();
    a2.results("j1", 1).await;
    wait_until("it is dropped", || {
        harness.store.key_count(Topic::Progress) == 0
    })
    .await;
}

#[tokio::test]
async fn a_job_that_was_just_taken_in_costs_no_reading_of_progress() {
    let harness = Harness::new(&["t1"]);
    let a1 = start(&harness, "a1", eager).await;
    a1.submit("j1", 3, 10).await.unwrap();
    a1.results("j1", 3).await;
    assert_eq!(harness.store.pages_read(Topic::Progress), 0);
}
