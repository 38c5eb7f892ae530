//! Fault injection: every fault, and pairs of faults, at every append of a job and of a call
//! with an idempotency key.
//!
//! Each case checks the guarantees against the replies to callers and the state folded from
//! the log.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod cluster;

use cluster::Cluster;
use cluster::Fault;
use cluster::LEASE_MS;
use cluster::done_command;
use cluster::place;
use cluster::spec;
use cluster::take_command;
use notchwharf_ledger::error::CommandError;
use notchwharf_ledger::error::Ignored;
use notchwharf_ledger::job::Phase;
use notchwharf_ledger::job::State;
use notchwharf_ledger::owner::Command;
use notchwharf_ledger::owner::Reply;
use notchwharf_ledger::owner::Work;
use notchwharf_ledger::record::Entry;
use notchwharf_ledger::record::Record;
use rstest::rstest;

const ITEMS: u16 = 4;
const AFTER_LEASE_MS: u64 = 2 * LEASE_MS;

/// The append into which a fault is injected: one that contains this entry.
#[derive(Clone, Copy, Debug)]
enum FaultPoint {
    Claim,
    Accept,
    Done,
    Attempt,
    Cancel,
    KeyStart,
    KeyEnd,
    Renew,
    Release,
}

fn contains(record: &Record, is_match: fn(&Entry) -> bool) -> bool {
    record.entries.iter().any(is_match)
}

impl FaultPoint {
    fn filter(self) -> fn(&Record) -> bool {
        match self {
            Self::Claim => |r| contains(r, |e| matches!(e, Entry::Claim { .. })),
            Self::Accept => |r| contains(r, |e| matches!(e, Entry::Job(_))),
            Self::Done => |r| contains(r, |e| matches!(e, Entry::Done { .. })),
            Self::Attempt => |r| contains(r, |e| matches!(e, Entry::Attempt { .. })),
            Self::Cancel => |r| contains(r, |e| matches!(e, Entry::Cancel { .. })),
            Self::KeyStart => |r| contains(r, |e| matches!(e, Entry::KeyStart { .. })),
            Self::KeyEnd => |r| contains(r, |e| matches!(e, Entry::KeyEnd { .. })),
            Self::Renew => |r| contains(r, |e| matches!(e, Entry::Renew)),
            Self::Release => |r| contains(r, |e| matches!(e, Entry::Release)),
        }
    }
}

/// Runs a job to completion, each item at least once, and checks the results.
fn complete_job(cluster: &mut Cluster, faults: &[Fault], point: FaultPoint) {
    cluster.fault_filter = point.filter();
    cluster.faults.extend(faults);
    let create = Command::CreateJob(spec("job", ITEMS));
    let Ok(Reply::Job(view)) = cluster.send_until_final(&create) else {
        panic!("The job is eventually accepted.");
    };
    assert_eq!(view.counts.total, u32::from(ITEMS));

    let mut runs = 0;
    let mut acknowledged = Vec::new();
    let mut has_failed_once = false;
    for round in 0..2_000 {
        let assigned = match cluster.send(take_command(2, "w")) {
            Ok(Reply::Work(assigned)) => assigned,
            _ => Vec::new(),
        };
        for work in assigned {
            runs += 1;
            if !has_failed_once {
                has_failed_once = true;
                let _ = cluster.send_until_final(&attempt_command(&work));
                continue;
            }
            let result_offset = 100 + runs;
            match cluster.send_until_final(&done_command(&work, result_offset)) {
                Ok(_) => acknowledged.push((work.item, result_offset)),
                Err(CommandError::Invalid(Ignored::Settled)) => {}
                other => panic!("{other:?}"),
            }
        }
        cluster.tick();
        if cluster.fold_log().jobs()["job"].state() == State::Completed {
            break;
        }
        assert!(round < 1_999, "The job completes.");
    }
    cluster.recover();
    let shard = cluster.fold_log();
    let job = &shard.jobs()["job"];
    assert_eq!(job.counts.done, u32::from(ITEMS));
    for (item, result_offset) in acknowledged {
        // An acknowledged result remains readable; only one result of an item may have been
        // acknowledged.
        assert_eq!(
            job.items[item as usize].result,
            place(result_offset),
            "item {item}"
        );
    }
    // Resubmitting the job returns the same job.
    let repeated = cluster.send_until_final(&create);
    assert!(matches!(repeated, Ok(Reply::Job(view)) if view.state == State::Completed));
}

fn attempt_command(work: &Work) -> Command {
    Command::Settle {
        job: work.job.clone(),
        item: work.item,
        verdict: notchwharf_ledger::owner::Verdict::TargetFailed {
            before: work.attempts,
        },
    }
}

#[rstest]
fn a_job_completes_exactly_once_with_one_fault(
    #[values(
        FaultPoint::Claim,
        FaultPoint::Accept,
        FaultPoint::Done,
        FaultPoint::Attempt,
        FaultPoint::Renew
    )]
    point: FaultPoint,
    #[values(
        Fault::RequestLost,
        Fault::ResponseLost,
        Fault::Delayed(30),
        Fault::Delayed(AFTER_LEASE_MS),
        Fault::CrashBefore,
        Fault::CrashAfter,
        Fault::PauseAfter(100),
        Fault::PauseAfter(AFTER_LEASE_MS)
    )]
    fault: Fault,
) {
    complete_job(&mut Cluster::new(3), &[fault], point);
}

#[rstest]
fn a_job_completes_exactly_once_with_two_faults(
    #[values(
        FaultPoint::Claim,
        FaultPoint::Accept,
        FaultPoint::Done,
        FaultPoint::Attempt,
        FaultPoint::Renew
    )]
    point: FaultPoint,
    #[values(
        Fault::RequestLost,
        Fault::ResponseLost,
        Fault::Delayed(AFTER_LEASE_MS),
        Fault::CrashBefore,
        Fault::CrashAfter,
        Fault::PauseAfter(AFTER_LEASE_MS)
    )]
    first: Fault,
    #[values(
        Fault::RequestLost,
        Fault::ResponseLost,
        Fault::Delayed(AFTER_LEASE_MS),
        Fault::CrashBefore,
        Fault::CrashAfter,
        Fault::PauseAfter(AFTER_LEASE_MS)
    )]
    second: Fault,
) {
    complete_job(&mut Cluster::new(4), &[first, second], point);
}

#[rstest]
fn a_job_completes_exactly_once_through_an_outage(
    #[values(0, 200, 3_000)] begins_after_ms: u64,
    #[values(300, 5_000)] lasts_ms: u64,
    #[values(Fault::Delivered, Fault::ResponseLost, Fault::CrashAfter)] fault: Fault,
) {
    let mut cluster = Cluster::new(3);
    cluster.run_for(begins_after_ms);
    cluster.log_down_until_ms = cluster.now_ms + lasts_ms;
    complete_job(&mut cluster, &[fault], FaultPoint::Done);
}

/// Makes a call with an idempotency key as the server does: sends it only after its start was
/// confirmed, and retries recording its end until that is confirmed.
fn call_with_key(cluster: &mut Cluster, send_count: &mut u32) -> Result<Reply, CommandError> {
    let start = Command::KeyStart {
        key: "school/k".into(),
        digest: "d".into(),
    };
    let Some(index) = cluster.holder() else {
        cluster.tick();
        return Err(CommandError::NotOwner { holder: None });
    };
    let res = cluster.send_to(index, start)?;
    if res != Reply::Done {
        return Ok(res);
    }
    *send_count += 1;
    let end = Command::KeyEnd {
        key: "school/k".into(),
        place: place(9),
    };
    cluster.send_until_final(&end)
}

#[rstest]
fn a_keyed_call_is_sent_at_most_once(
    #[values(
        FaultPoint::Claim,
        FaultPoint::KeyStart,
        FaultPoint::KeyEnd,
        FaultPoint::Renew
    )]
    point: FaultPoint,
    #[values(
        Fault::RequestLost,
        Fault::ResponseLost,
        Fault::Delayed(AFTER_LEASE_MS),
        Fault::CrashBefore,
        Fault::CrashAfter,
        Fault::PauseAfter(AFTER_LEASE_MS)
    )]
    first: Fault,
    #[values(
        Fault::Delivered,
        Fault::RequestLost,
        Fault::ResponseLost,
        Fault::Delayed(AFTER_LEASE_MS),
        Fault::CrashBefore,
        Fault::CrashAfter,
        Fault::PauseAfter(AFTER_LEASE_MS)
    )]
    second: Fault,
) {
    let mut cluster = Cluster::new(4);
    cluster.fault_filter = point.filter();
    cluster.faults.extend([first, second]);
    let mut send_count = 0;
    // The caller retries regardless of the reply.
    for _ in 0..200 {
        let res = call_with_key(&mut cluster, &mut send_count);
        if matches!(res, Ok(Reply::Ended(_))) {
            break;
        }
        cluster.tick();
    }
    assert!(send_count <= 1, "The call was sent {send_count} times.");
    cluster.recover();
    let shard = cluster.fold_log();
    let has_ended = shard
        .keys()
        .get("school/k")
        .is_some_and(|k| k.end.is_some());
    assert!(
        !has_ended || send_count == 1,
        "The call has an end only if it was sent."
    );
}

#[rstest]
fn a_cancelled_job_runs_no_more_items(
    #[values(
        Fault::Delivered,
        Fault::RequestLost,
        Fault::ResponseLost,
        Fault::Delayed(AFTER_LEASE_MS),
        Fault::CrashBefore,
        Fault::CrashAfter,
        Fault::PauseAfter(AFTER_LEASE_MS)
    )]
    first: Fault,
    #[values(Fault::Delivered, Fault::ResponseLost, Fault::CrashAfter)] second: Fault,
) {
    let mut cluster = Cluster::new(4);
    cluster
        .send_until_final(&Command::CreateJob(spec("job", ITEMS)))
        .unwrap();
    cluster.run_for(100);
    let Ok(Reply::Work(assigned)) = cluster.send_until_final(&take_command(1, "w")) else {
        panic!("An item is assigned.");
    };
    cluster.fault_filter = FaultPoint::Cancel.filter();
    cluster.faults.extend([first, second]);
    let cancel = Command::CancelJob {
        job: "job".into(),
        tenant: Some("school".into()),
    };
    let Ok(Reply::Job(view)) = cluster.send_until_final(&cancel) else {
        panic!("The job is eventually cancelled.");
    };
    assert_eq!(view.state, State::Cancelled);
    let late_report = cluster.send_until_final(&done_command(&assigned[0], 1));
    assert_eq!(late_report, Err(CommandError::Invalid(Ignored::Cancelled)));
    cluster.recover();
    let Ok(Reply::Work(remaining)) = cluster.send_until_final(&take_command(9, "w")) else {
        panic!("The owner replies.");
    };
    assert!(
        remaining.is_empty(),
        "No item of a cancelled job is assigned."
    );
    let shard = cluster.fold_log();
    let item_states = shard.jobs()["job"].items.iter();
    assert!(item_states.clone().all(|i| i.phase == Phase::Pending));
}

#[rstest]
fn a_command_reported_as_not_executed_never_takes_effect(
    #[values(0, 1)] first_offset: usize,
    #[values(
        FaultPoint::Accept,
        FaultPoint::Renew,
        FaultPoint::Claim,
        FaultPoint::Release
    )]
    point: FaultPoint,
    #[values(
        Fault::Delivered,
        Fault::RequestLost,
        Fault::ResponseLost,
        Fault::Delayed(30),
        Fault::Delayed(700),
        Fault::Delayed(AFTER_LEASE_MS),
        Fault::PauseAfter(AFTER_LEASE_MS),
        Fault::PauseAndDelay(AFTER_LEASE_MS, AFTER_LEASE_MS + 100)
    )]
    fault: Fault,
    #[values(0, 100, 700, 1_500)] outage_ms: u64,
) {
    let mut cluster = Cluster::new(3);
    // Without a preceding record, the first claim has offset zero, so its epoch is zero.
    cluster.log.extend(vec![Record::empty(); first_offset]);
    cluster.run_for(300);
    cluster.fault_filter = point.filter();
    cluster.faults.push_back(fault);
    cluster.log_down_until_ms = cluster.now_ms + outage_ms;
    for i in 0..6 {
        let id = format!("job-{i}");
        let res = cluster.send_to(0, Command::CreateJob(spec(&id, 1)));
        cluster.run_for(40);
        let Err(error) = res else { continue };
        if !error.is_not_run() {
            continue;
        }
        let mut later_jobs = cluster.jobs_after(3 * LEASE_MS);
        later_jobs.retain(|job| *job == id);
        assert!(
            later_jobs.is_empty(),
            "{id} was refused with {error:?}, but took effect."
        );
    }
}

#[rstest]
fn an_owner_that_is_not_preferred_releases_the_lease(
    #[values(
        Fault::Delivered,
        Fault::RequestLost,
        Fault::ResponseLost,
        Fault::Delayed(AFTER_LEASE_MS)
    )]
    fault: Fault,
) {
    let mut cluster = Cluster::new(2);
    cluster
        .send_until_final(&Command::CreateJob(spec("job", ITEMS)))
        .unwrap();
    // Host 1 takes over while host 0 is down, and must release the shard once host 0, which is
    // preferred, has restarted.
    cluster.crash(0);
    cluster.run_for(3 * LEASE_MS);
    assert_eq!(cluster.holder(), Some(1));
    cluster.fault_filter = FaultPoint::Release.filter();
    cluster.faults.push_back(fault);
    cluster.restart(0);
    cluster.run_for(4 * LEASE_MS);
    assert_eq!(cluster.holder(), Some(0));
    assert!(cluster.fold_log().jobs().contains_key("job"));
}

#[rstest]
fn an_item_that_crashes_targets_fails_at_the_attempt_limit() {
    let mut cluster = Cluster::new(1);
    cluster
        .send_until_final(&Command::CreateJob(spec("job", 1)))
        .unwrap();
    cluster.run_for(100);
    for attempts in 0..3 {
        let Ok(Reply::Work(assigned)) = cluster.send_until_final(&take_command(1, "w")) else {
            panic!("The owner replies.");
        };
        assert_eq!(assigned[0].attempts, attempts);
        cluster
            .send_until_final(&attempt_command(&assigned[0]))
            .unwrap();
        cluster.run_for(50);
    }
    let shard = cluster.fold_log();
    let job = &shard.jobs()["job"];
    assert_eq!(job.state(), State::Completed);
    assert_eq!(job.failures.len(), 1);
}

#[rstest]
fn a_new_owner_fails_items_at_the_attempt_limit() {
    let mut cluster = Cluster::new(2);
    cluster
        .send_until_final(&Command::CreateJob(spec("job", 1)))
        .unwrap();
    cluster.run_for(100);
    cluster.fault_filter = FaultPoint::Attempt.filter();
    cluster
        .faults
        .extend([Fault::Delivered, Fault::Delivered, Fault::CrashAfter]);
    for _ in 0..3 {
        let Ok(Reply::Work(assigned)) = cluster.send_until_final(&take_command(1, "w")) else {
            panic!("The owner replies.");
        };
        let _ = cluster.send(attempt_command(&assigned[0]));
        cluster.run_for(50);
    }
    cluster.run_for(3 * LEASE_MS);
    assert_eq!(cluster.holder(), Some(1));
    assert_eq!(cluster.fold_log().jobs()["job"].state(), State::Completed);
}

#[rstest]
fn a_duplicate_failure_report_requeues_an_item_once() {
    let mut cluster = Cluster::new(1);
    cluster
        .send_until_final(&Command::CreateJob(spec("job", 1)))
        .unwrap();
    cluster.run_for(100);
    let Ok(Reply::Work(assigned)) = cluster.send_until_final(&take_command(1, "w")) else {
        panic!("The owner replies.");
    };
    cluster
        .send_until_final(&attempt_command(&assigned[0]))
        .unwrap();
    cluster.send_until_final(&take_command(1, "v")).unwrap();
    let repeated = cluster.send_until_final(&attempt_command(&assigned[0]));
    assert_eq!(repeated, Err(CommandError::Invalid(Ignored::Counted)));
    let Ok(Reply::Work(remaining)) = cluster.send_until_final(&take_command(1, "v")) else {
        panic!("The owner replies.");
    };
    assert!(remaining.is_empty(), "The item already runs on `v`.");
}

#[rstest]
fn no_job_is_accepted_while_the_log_is_down() {
    let mut cluster = Cluster::new(1);
    cluster.run_for(100);
    cluster.log_down_until_ms = u64::MAX;
    cluster.run_for(LEASE_MS);
    let res = cluster.send(Command::CreateJob(spec("job", 1)));
    assert_eq!(res, Err(CommandError::LogDown));
    cluster.recover();
    assert!(
        cluster.fold_log().jobs().is_empty(),
        "A command reported as not executed has no effect."
    );
}

#[rstest]
fn items_of_a_failed_host_are_reassigned_immediately() {
    let mut cluster = Cluster::new(1);
    cluster
        .send_until_final(&Command::CreateJob(spec("job", 2)))
        .unwrap();
    cluster.run_for(100);
    cluster.send_until_final(&take_command(2, "w")).unwrap();
    let Ok(Reply::Work(unassigned)) = cluster.send_until_final(&take_command(2, "v")) else {
        panic!("The owner replies.");
    };
    assert!(unassigned.is_empty());
    let failed_host = notchwharf_ledger::owner::Input::HostFailed {
        host: "w".into(),
        incarnation: 1,
    };
    cluster.deliver(0, failed_host);
    let Ok(Reply::Work(reassigned)) = cluster.send_until_final(&take_command(2, "v")) else {
        panic!("The owner replies.");
    };
    assert_eq!(reassigned.len(), 2);
}
