//! Every fault at every step of a job and of a keyed call, and pairs of faults.
//!
//! After each case the promises are checked against what callers were told and
//! what folding the log gives.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod world;

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
use world::Fate;
use world::LEASE_MS;
use world::World;
use world::done;
use world::place;
use world::spec;
use world::take;

const ITEMS: u16 = 4;
const PAST_LEASE_MS: u64 = 2 * LEASE_MS;

/// A step at which a fault strikes: the append that holds this entry.
#[derive(Clone, Copy, Debug)]
enum Step {
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

fn holds(record: &Record, wanted: fn(&Entry) -> bool) -> bool {
    record.entries.iter().any(wanted)
}

impl Step {
    fn applies(self) -> fn(&Record) -> bool {
        match self {
            Self::Claim => |r| holds(r, |e| matches!(e, Entry::Claim { .. })),
            Self::Accept => |r| holds(r, |e| matches!(e, Entry::Job(_))),
            Self::Done => |r| holds(r, |e| matches!(e, Entry::Done { .. })),
            Self::Attempt => |r| holds(r, |e| matches!(e, Entry::Attempt { .. })),
            Self::Cancel => |r| holds(r, |e| matches!(e, Entry::Cancel { .. })),
            Self::KeyStart => |r| holds(r, |e| matches!(e, Entry::KeyStart { .. })),
            Self::KeyEnd => |r| holds(r, |e| matches!(e, Entry::KeyEnd { .. })),
            Self::Renew => |r| holds(r, |e| matches!(e, Entry::Renew)),
            Self::Release => |r| holds(r, |e| matches!(e, Entry::Release)),
        }
    }
}

/// Runs a job to its end, each item at least once, and checks it.
fn run_job(world: &mut World, fates: &[Fate], step: Step) {
    world.applies = step.applies();
    world.fates.extend(fates);
    let create = Command::CreateJob(spec("job", ITEMS));
    let Ok(Reply::Job(view)) = world.insist(&create) else {
        panic!("The job is accepted in the end.");
    };
    assert_eq!(view.counts.total, u32::from(ITEMS));

    let mut runs = 0;
    let mut acked = Vec::new();
    let mut failed_once = false;
    for round in 0..2_000 {
        let works = match world.ask(take(2, "w")) {
            Ok(Reply::Work(works)) => works,
            _ => Vec::new(),
        };
        for work in works {
            runs += 1;
            if !failed_once {
                failed_once = true;
                let _ = world.insist(&attempt(&work));
                continue;
            }
            let at = 100 + runs;
            match world.insist(&done(&work, at)) {
                Ok(_) => acked.push((work.item, at)),
                Err(CommandError::Invalid(Ignored::Settled)) => {}
                other => panic!("{other:?}"),
            }
        }
        world.step();
        if world.folded().jobs()["job"].state() == State::Completed {
            break;
        }
        assert!(round < 1_999, "The job ends.");
    }
    world.settle_down();
    let shard = world.folded();
    let job = &shard.jobs()["job"];
    assert_eq!(job.counts.done, u32::from(ITEMS));
    for (item, at) in acked {
        // What was acknowledged is what stays readable; a settled item may
        // have been acknowledged only once.
        assert_eq!(job.items[item as usize].result, place(at), "item {item}");
    }
    // A resent job is the same job.
    let again = world.insist(&create);
    assert!(matches!(again, Ok(Reply::Job(view)) if view.state == State::Completed));
}

fn attempt(work: &Work) -> Command {
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
    #[values(Step::Claim, Step::Accept, Step::Done, Step::Attempt, Step::Renew)] step: Step,
    #[values(
        Fate::LostBefore,
        Fate::LostAfter,
        Fate::Slow(30),
        Fate::Slow(PAST_LEASE_MS),
        Fate::KilledBefore,
        Fate::KilledAfter,
        Fate::PausedAfter(100),
        Fate::PausedAfter(PAST_LEASE_MS)
    )]
    fate: Fate,
) {
    run_job(&mut World::new(3), &[fate], step);
}

#[rstest]
fn a_job_completes_exactly_once_with_two_faults(
    #[values(Step::Claim, Step::Accept, Step::Done, Step::Attempt, Step::Renew)] step: Step,
    #[values(
        Fate::LostBefore,
        Fate::LostAfter,
        Fate::Slow(PAST_LEASE_MS),
        Fate::KilledBefore,
        Fate::KilledAfter,
        Fate::PausedAfter(PAST_LEASE_MS)
    )]
    first: Fate,
    #[values(
        Fate::LostBefore,
        Fate::LostAfter,
        Fate::Slow(PAST_LEASE_MS),
        Fate::KilledBefore,
        Fate::KilledAfter,
        Fate::PausedAfter(PAST_LEASE_MS)
    )]
    second: Fate,
) {
    run_job(&mut World::new(4), &[first, second], step);
}

#[rstest]
fn a_job_completes_exactly_once_through_an_outage(
    #[values(0, 200, 3_000)] begins_after_ms: u64,
    #[values(300, 5_000)] lasts_ms: u64,
    #[values(Fate::Taken, Fate::LostAfter, Fate::KilledAfter)] fate: Fate,
) {
    let mut world = World::new(3);
    world.run_for(begins_after_ms);
    world.log_down_until_ms = world.now_ms + lasts_ms;
    run_job(&mut world, &[fate], Step::Done);
}

/// A call with a key, as the server makes it: it is sent only after the start
/// was confirmed, and its end is recorded until that is confirmed.
fn run_keyed(world: &mut World, sends: &mut u32) -> Result<Reply, CommandError> {
    let start = Command::KeyStart {
        key: "school/k".into(),
        digest: "d".into(),
    };
    let Some(index) = world.holder() else {
        world.step();
        return Err(CommandError::NotOwner { holder: None });
    };
    let res = world.ask_host(index, start)?;
    if res != Reply::Done {
        return Ok(res);
    }
    *sends += 1;
    let end = Command::KeyEnd {
        key: "school/k".into(),
        place: place(9),
    };
    world.insist(&end)
}

#[rstest]
fn a_keyed_call_is_sent_at_most_once(
    #[values(Step::Claim, Step::KeyStart, Step::KeyEnd, Step::Renew)] step: Step,
    #[values(
        Fate::LostBefore,
        Fate::LostAfter,
        Fate::Slow(PAST_LEASE_MS),
        Fate::KilledBefore,
        Fate::KilledAfter,
        Fate::PausedAfter(PAST_LEASE_MS)
    )]
    first: Fate,
    #[values(
        Fate::Taken,
        Fate::LostBefore,
        Fate::LostAfter,
        Fate::Slow(PAST_LEASE_MS),
        Fate::KilledBefore,
        Fate::KilledAfter,
        Fate::PausedAfter(PAST_LEASE_MS)
    )]
    second: Fate,
) {
    let mut world = World::new(4);
    world.applies = step.applies();
    world.fates.extend([first, second]);
    let mut sends = 0;
    // The caller asks again whatever it hears, as an impatient one would.
    for _ in 0..200 {
        let res = run_keyed(&mut world, &mut sends);
        if matches!(res, Ok(Reply::Ended(_))) {
            break;
        }
        world.step();
    }
    assert!(sends <= 1, "It was sent {sends} times.");
    world.settle_down();
    let shard = world.folded();
    let ended = shard
        .keys()
        .get("school/k")
        .is_some_and(|k| k.end.is_some());
    assert!(!ended || sends == 1, "It has an end only if it was sent.");
}

#[rstest]
fn a_cancelled_job_stops(
    #[values(
        Fate::Taken,
        Fate::LostBefore,
        Fate::LostAfter,
        Fate::Slow(PAST_LEASE_MS),
        Fate::KilledBefore,
        Fate::KilledAfter,
        Fate::PausedAfter(PAST_LEASE_MS)
    )]
    first: Fate,
    #[values(Fate::Taken, Fate::LostAfter, Fate::KilledAfter)] second: Fate,
) {
    let mut world = World::new(4);
    world
        .insist(&Command::CreateJob(spec("job", ITEMS)))
        .unwrap();
    world.run_for(100);
    let Ok(Reply::Work(works)) = world.insist(&take(1, "w")) else {
        panic!("An item is handed out.");
    };
    world.applies = Step::Cancel.applies();
    world.fates.extend([first, second]);
    let cancel = Command::CancelJob {
        job: "job".into(),
        tenant: Some("school".into()),
    };
    let Ok(Reply::Job(view)) = world.insist(&cancel) else {
        panic!("The job is cancelled in the end.");
    };
    assert_eq!(view.state, State::Cancelled);
    let late = world.insist(&done(&works[0], 1));
    assert_eq!(late, Err(CommandError::Invalid(Ignored::Cancelled)));
    world.settle_down();
    let Ok(Reply::Work(more)) = world.insist(&take(9, "w")) else {
        panic!("The owner answers.");
    };
    assert!(more.is_empty(), "Nothing of a cancelled job is handed out.");
    let shard = world.folded();
    let finished = shard.jobs()["job"].items.iter();
    assert!(finished.clone().all(|i| i.phase == Phase::Pending));
}

#[rstest]
fn a_refusal_that_says_not_run_is_true(
    #[values(0, 1)] first_offset: usize,
    #[values(Step::Accept, Step::Renew, Step::Claim, Step::Release)] step: Step,
    #[values(
        Fate::Taken,
        Fate::LostBefore,
        Fate::LostAfter,
        Fate::Slow(30),
        Fate::Slow(700),
        Fate::Slow(PAST_LEASE_MS),
        Fate::PausedAfter(PAST_LEASE_MS),
        Fate::PausedAndLate(PAST_LEASE_MS, PAST_LEASE_MS + 100)
    )]
    fate: Fate,
    #[values(0, 100, 700, 1_500)] outage_ms: u64,
) {
    let mut world = World::new(3);
    // The first record of a stream has offset zero, like no other epoch.
    world.log.extend(vec![Record::empty(); first_offset]);
    world.run_for(300);
    world.applies = step.applies();
    world.fates.push_back(fate);
    world.log_down_until_ms = world.now_ms + outage_ms;
    for i in 0..6 {
        let id = format!("job-{i}");
        let res = world.ask_host(0, Command::CreateJob(spec(&id, 1)));
        world.run_for(40);
        let Err(refused) = res else { continue };
        if !refused.is_not_run() {
            continue;
        }
        let mut later = world.folded_after(3 * LEASE_MS);
        later.retain(|job| *job == id);
        assert!(
            later.is_empty(),
            "{id} was refused with {refused:?}, and ran."
        );
    }
}

#[rstest]
fn a_leaving_owner_hands_over(
    #[values(
        Fate::Taken,
        Fate::LostBefore,
        Fate::LostAfter,
        Fate::Slow(PAST_LEASE_MS)
    )]
    fate: Fate,
) {
    let mut world = World::new(2);
    world
        .insist(&Command::CreateJob(spec("job", ITEMS)))
        .unwrap();
    // Host 0 comes back as one that should hold the shard: host 1 took over
    // while it was away and must release.
    world.kill(0);
    world.run_for(3 * LEASE_MS);
    assert_eq!(world.holder(), Some(1));
    world.applies = Step::Release.applies();
    world.fates.push_back(fate);
    world.restart(0);
    world.run_for(4 * LEASE_MS);
    assert_eq!(world.holder(), Some(0));
    assert!(world.folded().jobs().contains_key("job"));
}

#[rstest]
fn an_item_that_kills_its_target_gets_its_final_answer() {
    let mut world = World::new(1);
    world.insist(&Command::CreateJob(spec("job", 1))).unwrap();
    world.run_for(100);
    for attempts in 0..3 {
        let Ok(Reply::Work(works)) = world.insist(&take(1, "w")) else {
            panic!("The owner answers.");
        };
        assert_eq!(works[0].attempts, attempts);
        world.insist(&attempt(&works[0])).unwrap();
        world.run_for(50);
    }
    let shard = world.folded();
    let job = &shard.jobs()["job"];
    assert_eq!(job.state(), State::Completed);
    assert_eq!(job.failures.len(), 1);
}

#[rstest]
fn an_item_at_its_limit_gets_its_final_answer_after_a_takeover() {
    let mut world = World::new(2);
    world.insist(&Command::CreateJob(spec("job", 1))).unwrap();
    world.run_for(100);
    world.applies = Step::Attempt.applies();
    world
        .fates
        .extend([Fate::Taken, Fate::Taken, Fate::KilledAfter]);
    for _ in 0..3 {
        let Ok(Reply::Work(works)) = world.insist(&take(1, "w")) else {
            panic!("The owner answers.");
        };
        let _ = world.ask(attempt(&works[0]));
        world.run_for(50);
    }
    world.run_for(3 * LEASE_MS);
    assert_eq!(world.holder(), Some(1));
    assert_eq!(world.folded().jobs()["job"].state(), State::Completed);
}

#[rstest]
fn a_report_made_twice_hands_an_item_out_once() {
    let mut world = World::new(1);
    world.insist(&Command::CreateJob(spec("job", 1))).unwrap();
    world.run_for(100);
    let Ok(Reply::Work(works)) = world.insist(&take(1, "w")) else {
        panic!("The owner answers.");
    };
    world.insist(&attempt(&works[0])).unwrap();
    world.insist(&take(1, "v")).unwrap();
    let again = world.insist(&attempt(&works[0]));
    assert_eq!(again, Err(CommandError::Invalid(Ignored::Counted)));
    let Ok(Reply::Work(more)) = world.insist(&take(1, "v")) else {
        panic!("The owner answers.");
    };
    assert!(more.is_empty(), "The item runs at `v` already.");
}

#[rstest]
fn nothing_is_accepted_while_the_log_is_down() {
    let mut world = World::new(1);
    world.run_for(100);
    world.log_down_until_ms = u64::MAX;
    world.run_for(LEASE_MS);
    let res = world.ask(Command::CreateJob(spec("job", 1)));
    assert_eq!(res, Err(CommandError::LogDown));
    world.settle_down();
    assert!(world.folded().jobs().is_empty(), "Not run means not run.");
}

#[rstest]
fn items_of_a_dead_host_run_again_at_once() {
    let mut world = World::new(1);
    world.insist(&Command::CreateJob(spec("job", 2))).unwrap();
    world.run_for(100);
    world.insist(&take(2, "w")).unwrap();
    let Ok(Reply::Work(none)) = world.insist(&take(2, "v")) else {
        panic!("The owner answers.");
    };
    assert!(none.is_empty());
    let gone = notchwharf_ledger::owner::Input::HostFailed {
        host: "w".into(),
        incarnation: 1,
    };
    world.feed(0, gone);
    let Ok(Reply::Work(again)) = world.insist(&take(2, "v")) else {
        panic!("The owner answers.");
    };
    assert_eq!(again.len(), 2);
}
