//! Reading jobs after the store has expired all but the newest record of each key.
//!
//! Guards against completed jobs that cannot be read: a result that has expired at its offset
//! is looked up by its key, and the store responds with a page of that key and all later ones,
//! up to 500 records or 1 MB. With one page per result, reading a job of ten items took ten
//! pages, which grew with all results of the fleet. After 300 jobs on 295 hosts that made some
//! 3,300 pages of up to 1 MB, where the store reads 80 MB per second in total and a call times
//! out after 700 ms. The tests count the calls and the records read.
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
/// Number of keys per page of the platform's store.
const PAGE: usize = 500;

fn name(job: usize) -> String {
    format!("job-{job}")
}

/// Returns a harness in which jobs completed before older records expired, and a host that
/// started after that.
async fn harness_with_expired_records(page: usize) -> (Harness, RunningHost) {
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
#[case::single_page(PAGE)]
#[case::several_pages(2)]
#[tokio::test]
async fn jobs_are_readable_after_records_expired(#[case] page: usize) {
    let (_harness, host) = harness_with_expired_records(page).await;
    read_all(&host).await;
}

#[tokio::test]
async fn results_of_a_job_share_pages_after_records_expired() {
    let (harness, host) = harness_with_expired_records(PAGE).await;
    read_all(&host).await;
    let pages = harness.store.pages_read(Topic::Results);
    assert!(pages <= JOBS, "{pages} pages for {JOBS} jobs");
}

#[tokio::test]
async fn cost_of_reading_a_job_does_not_depend_on_other_jobs() {
    let (harness, host) = harness_with_expired_records(PAGE).await;
    read_all(&host).await;
    let wanted = JOBS * ITEMS as usize;
    let listed = harness.store.records_listed(Topic::Results);
    assert!(listed <= 2 * wanted, "{listed} records for {wanted}");
}

#[tokio::test]
async fn cost_of_reading_bodies_does_not_depend_on_other_bodies() {
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
