//! Reading jobs whose records are older than the store's history.
//!
//! What users saw: on a fleet of 295 hosts, jobs that had been accepted and done could
//! not be read at the end of the day. Order of events: some 300 jobs were accepted and
//! their items done within half a minute; twenty seconds later the store dropped its
//! history, which leaves the newest record of each key; callers then read all jobs from
//! the start. Cause: a result that is not found at its place any more is found by its
//! key, and the store answers with that key and all that follow it in the partition, up
//! to 500 records or 1 MB. Each result cost such a page of its own, so reading a job of
//! ten took ten, and the pages grew with all that the fleet had ever done: some 3,300
//! pages of up to 1 MB against 80 MB a second that the store reads for all, and 700 ms
//! that a call may take. Evidence: the calls and records that the tests count.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use harness::Harness;
use harness::RunningHost;
use harness::targets::item_text;
use notchwharf_gateway::jobs;
use notchwharf_gateway::ports::Topic;
use rstest::rstest;

const JOBS: usize = 24;
const ITEMS: u32 = 5;
/// Keys of a page of the platform's store.
const PAGE: usize = 500;

fn name(job: usize) -> String {
    format!("job-{job}")
}

/// Returns a harness in which jobs were done before the store dropped its history, and a
/// host that started after that.
async fn after_the_history(page: usize) -> (Harness, RunningHost) {
    let harness = Harness::new(&["t1", "t2", "t3"]);
    harness.store.set_page_len(page);
    let first = harness.start_ready("a1").await;
    for job in 0..JOBS {
        first.submit(&name(job), ITEMS, 1).await.unwrap();
    }
    for job in 0..JOBS {
        first.results(&name(job), ITEMS as usize).await;
    }
    harness.store.expire_history();
    first.kill();
    let second = harness.start_ready("a2").await;
    (harness, second)
}

async fn read_all(host: &RunningHost) {
    for job in 0..JOBS {
        let results = host.results(&name(job), ITEMS as usize).await;
        assert_eq!(results.len(), ITEMS as usize);
        for result in results {
            assert_eq!(result.text.unwrap(), item_text(&result.item));
        }
    }
}

#[rstest]
#[case::a_page_holds_all(PAGE)]
#[case::pages_are_turned(2)]
#[tokio::test]
async fn jobs_are_read_whole_after_the_history(#[case] page: usize) {
    let (_harness, host) = after_the_history(page).await;
    read_all(&host).await;
}

#[tokio::test]
async fn a_job_s_results_are_read_together_after_the_history() {
    let (harness, host) = after_the_history(PAGE).await;
    read_all(&host).await;
    let pages = harness.store.pages_read(Topic::Results);
    assert!(pages <= JOBS, "{pages} pages for {JOBS} jobs");
}

#[tokio::test]
async fn reading_a_job_after_the_history_does_not_grow_with_all_other_jobs() {
    let (harness, host) = after_the_history(PAGE).await;
    read_all(&host).await;
    let wanted = JOBS * ITEMS as usize;
    let listed = harness.store.records_listed(Topic::Results);
    assert!(listed <= 2 * wanted, "{listed} records for {wanted}");
}

#[tokio::test]
async fn bodies_are_read_after_the_history_for_what_they_hold() {
    let harness = Harness::new(&["t1"]);
    harness.store.set_page_len(PAGE);
    let first = harness.start_ready("a1").await;
    harness.targets.hold();
    for job in 0..JOBS {
        first.submit(&name(job), ITEMS, 1).await.unwrap();
    }
    harness.store.expire_history();
    let second = harness
        .start_with("a2", |settings| settings.peers.down_ms = 60_000)
        .await;
    second.wait_ready().await;
    let before = harness.store.records_listed(Topic::Payloads);
    for job in 0..JOBS {
        let item = format!("{}-2", name(job));
        let body = jobs::read_item_body(second.ctx(), &name(job), &item)
            .await
            .unwrap();
        assert_eq!(body, "body of 2");
    }
    let listed = harness.store.records_listed(Topic::Payloads) - before;
    assert!(listed <= 2 * JOBS, "{listed} payloads for {JOBS}");
}
