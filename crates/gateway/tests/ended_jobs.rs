//! Items of jobs that a host may no longer run, whatever its targets and its queue do.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use std::time::Instant;

use harness::Harness;
use harness::RunningHost;
use harness::WAIT_MAX;
use harness::wait_until;
use notchwharf_gateway::jobs;
use notchwharf_ledger::jobs::Applied;
use notchwharf_ledger::jobs::Record;
use rstest::rstest;

/// Calls to targets that are down after which items return faster than they are started.
const CALLS_BEFORE_END: u32 = 100;

/// How a host loses the right to run a job's items.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// The caller ends the job.
    Ended,
    /// Another host takes the job over.
    TakenOver,
}

impl Loss {
    async fn apply(self, host: &RunningHost, job: &str) {
        if let Self::Ended = self {
            return jobs::end(host.ctx(), job).await.unwrap();
        }
        let epoch = host.ctx().journal.jobs().get(job).unwrap().epoch;
        let record = Record::Taken {
            job: job.to_owned(),
            epoch,
            host: "a9".into(),
        };
        let deadline = Instant::now() + WAIT_MAX;
        let applied = host.ctx().journal.append(record, deadline).await;
        assert_eq!(applied.unwrap(), Applied::Taken);
    }
}

/// Guards against items of an ended job that reach targets while most targets are down.
#[rstest]
#[case::ended(Loss::Ended)]
#[case::taken_over(Loss::TakenOver)]
#[tokio::test]
async fn no_item_starts_after_the_right_to_run_its_job_is_lost(#[case] loss: Loss) {
    let harness = Harness::new(&["t1", "t2", "t3", "t4", "t5", "t6"]);
    let a1 = harness.start_ready("a1").await;
    harness.targets.hold();
    for target in ["t1", "t2", "t3", "t4"] {
        harness.targets.crash(target);
    }
    a1.submit("j1", 40, 10).await.unwrap();
    wait_until("items run, and others are refused connections", || {
        harness.targets.active() > 0 && harness.targets.call_count("j1-") >= CALLS_BEFORE_END
    })
    .await;
    loss.apply(&a1, "j1").await;
    let calls = harness.targets.call_count("j1-");
    wait_until("its items are cancelled", || harness.targets.active() == 0).await;
    harness.targets.release();
    a1.submit("j2", 1, 10).await.unwrap();
    a1.results("j2", 1).await;
    assert_eq!(harness.targets.call_count("j1-"), calls);
}
