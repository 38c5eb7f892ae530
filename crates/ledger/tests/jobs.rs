//! The fold of the job records.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use notchwharf_ledger::jobs::Accepted;
use notchwharf_ledger::jobs::Applied;
use notchwharf_ledger::jobs::Ignored;
use notchwharf_ledger::jobs::ItemSpec;
use notchwharf_ledger::jobs::Jobs;
use notchwharf_ledger::jobs::Outcome;
use notchwharf_ledger::jobs::Reason;
use notchwharf_ledger::jobs::Record;
use notchwharf_ledger::jobs::job_id;
use notchwharf_ledger::jobs::workspace_of;
use proptest::collection::vec;
use proptest::prelude::*;
use rstest::rstest;

const MAX: u64 = 100;

fn accepted(job: u8, attempt: u64, items: u32, tokens: u32) -> Record {
    let items = (0..items).map(|number| ItemSpec {
        id: format!("{job}-{number}"),
        tokens,
    });
    Record::Accepted(Accepted {
        job: job.to_string(),
        attempt,
        host: "a1".into(),
        route: "r".into(),
        tokens_max: Some(MAX),
        submitted_unix_ms: 0,
        items: items.collect(),
        payload: vec![],
    })
}

fn listed(job: u8, item: u32, done: bool) -> Record {
    let outcome = match done {
        true => Outcome::Completed(vec![]),
        false => Outcome::Failed(Reason::Impossible),
    };
    Record::Listed {
        job: job.to_string(),
        item,
        outcome,
    }
}

fn taken(job: u8, epoch: u64) -> Record {
    Record::Taken {
        job: job.to_string(),
        epoch,
        host: "a2".into(),
    }
}

fn ended(job: u8) -> Record {
    Record::Ended {
        job: job.to_string(),
    }
}

#[rstest]
#[case::second_copy(vec![accepted(1, 1, 1, 9), accepted(1, 1, 1, 9)], Applied::Accepted)]
#[case::another_try(vec![accepted(1, 1, 1, 9), accepted(1, 2, 1, 9)], Applied::Duplicate)]
#[case::full(vec![accepted(1, 1, 1, 60), accepted(2, 2, 1, 41)], Applied::OverQuota { waiting: 60 })]
#[case::fits_to_the_token(vec![accepted(1, 1, 1, 60), accepted(2, 2, 1, 40)], Applied::Accepted)]
#[case::room_after_an_item(
    vec![accepted(1, 1, 2, 30), listed(1, 0, true), accepted(2, 2, 1, 70)],
    Applied::Accepted
)]
#[case::room_after_an_end(
    vec![accepted(1, 1, 2, 30), ended(1), accepted(2, 2, 1, 100)],
    Applied::Accepted
)]
#[case::late_copy_of_a_refused_try(
    vec![accepted(1, 1, 1, 60), accepted(2, 2, 1, 60), ended(1), accepted(2, 2, 1, 60)],
    Applied::OverQuota { waiting: 0 }
)]
#[case::new_try_of_a_refused_job(
    vec![accepted(1, 1, 1, 60), accepted(2, 2, 1, 60), ended(1), accepted(2, 3, 1, 60)],
    Applied::Accepted
)]
#[case::listed_twice(
    vec![accepted(1, 1, 1, 9), listed(1, 0, true), listed(1, 0, false)],
    Applied::Ignored(Ignored::AlreadyListed)
)]
#[case::no_such_item(vec![accepted(1, 1, 1, 9), listed(1, 1, true)], Applied::Ignored(Ignored::NoItem))]
#[case::no_such_job(vec![listed(1, 0, true)], Applied::Ignored(Ignored::NoJob))]
#[case::ended_twice(
    vec![accepted(1, 1, 1, 9), ended(1), ended(1)],
    Applied::Ignored(Ignored::AlreadyEnded)
)]
#[case::taken(vec![accepted(1, 1, 1, 9), taken(1, 0)], Applied::Taken)]
#[case::taken_by_another_first(
    vec![accepted(1, 1, 1, 9), taken(1, 0), taken(1, 0)],
    Applied::Ignored(Ignored::StaleEpoch)
)]
#[case::taken_again(vec![accepted(1, 1, 1, 9), taken(1, 0), taken(1, 1)], Applied::Taken)]
fn the_last_record_does(#[case] records: Vec<Record>, #[case] expected: Applied) {
    let mut jobs = Jobs::default();
    let applied = (0..)
        .zip(records)
        .map(|(offset, record)| jobs.apply(offset, record));
    assert_eq!(applied.last().unwrap(), expected);
}

#[test]
fn a_record_reads_back_as_it_was_and_anything_else_does_not() {
    for record in [
        accepted(1, 2, 3, 4),
        listed(1, 2, false),
        taken(1, 7),
        ended(1),
    ] {
        assert_eq!(Record::decode(&record.encode()), Some(record));
    }
    assert_eq!(Record::decode(b""), None);
    assert_eq!(Record::decode(&[99; 9]), None);
}

fn any_record() -> impl Strategy<Value = Record> {
    prop_oneof![
        (0..4u8, 0..6u64, 1..4u32, 1..60u32).prop_map(|(j, a, i, t)| accepted(j, a, i, t)),
        (0..4u8, 0..4u32, any::<bool>()).prop_map(|(j, i, done)| listed(j, i, done)),
        (0..4u8, 0..20u64).prop_map(|(j, epoch)| taken(j, epoch)),
        (0..4u8).prop_map(ended),
    ]
}

/// What callers can see of jobs.
fn view(jobs: &Jobs) -> Vec<String> {
    let mut view: Vec<String> = jobs
        .iter()
        .map(|(id, job)| {
            format!(
                "{id} {} {} {} {:?}",
                job.owner, job.epoch, job.is_ended, job.listed
            )
        })
        .collect();
    view.sort();
    view.push(jobs.waiting_tokens("r").to_string());
    view
}

proptest! {
    /// A record whose append had no answer stands a second time, anywhere
    /// later: nothing that was seen changes.
    #[test]
    fn a_second_copy_changes_nothing_that_was_seen(
        records in vec(any_record(), 1..40),
        copied in any::<prop::sample::Index>(),
    ) {
        let copied = copied.index(records.len());
        let copy = records[copied].clone();
        let mut jobs = Jobs::default();
        let applied = (0..).zip(records).map(|(offset, record)| jobs.apply(offset, record));
        let applied: Vec<Applied> = applied.collect();
        // What a record that came too early did not do, its copy may.
        prop_assume!(!matches!(applied[copied], Applied::Ignored(_)));
        let before = view(&jobs);
        jobs.apply(applied.len() as u64, copy);
        prop_assert_eq!(before, view(&jobs));
    }

    /// What waits is never more than the limit, and is what open items make.
    #[test]
    fn waiting_tokens_are_those_of_open_items_and_within_the_limit(
        records in vec(any_record(), 0..60),
    ) {
        let mut jobs = Jobs::default();
        for (offset, record) in (0..).zip(records) {
            jobs.apply(offset, record);
            let open = jobs.open().flat_map(|job| {
                let items = (0..).zip(&job.accepted.items);
                items.filter(|(number, _)| !job.is_listed(*number)).map(|(_, item)| u64::from(item.tokens))
            });
            let open: u64 = open.sum();
            prop_assert_eq!(jobs.waiting_tokens("r"), open);
            prop_assert!(open <= MAX);
        }
    }

    /// A host that takes the state over from another one folds on as if it had
    /// read all records itself.
    #[test]
    fn a_state_that_was_handed_over_is_the_same_from_then_on(
        records in vec(any_record(), 1..60),
        handed_over in any::<prop::sample::Index>(),
    ) {
        let handed_over = handed_over.index(records.len());
        let mut read = Jobs::default();
        let mut taken_over = Jobs::default();
        for (offset, record) in records.into_iter().enumerate() {
            if offset == handed_over {
                let bytes = postcard::to_stdvec(&read.snapshot()).unwrap();
                taken_over = Jobs::restore(postcard::from_bytes(&bytes).unwrap());
            }
            let applied = read.apply(offset as u64, record.clone());
            if offset >= handed_over {
                prop_assert_eq!(taken_over.apply(offset as u64, record), applied);
                prop_assert_eq!(view(&taken_over), view(&read));
            }
        }
        prop_assert_eq!(taken_over.snapshot(), read.snapshot());
    }
}

/// A workspace's job as it stands in the stream, and one of another.
fn of_workspace(workspace: Option<&str>, tokens: u32) -> Record {
    let Record::Accepted(accepted) = accepted(1, u64::from(tokens), 1, tokens) else {
        unreachable!("It is an acceptance.");
    };
    let job = job_id(workspace, &accepted.job);
    Record::Accepted(Accepted { job, ..accepted })
}

#[test]
fn what_waits_is_counted_by_workspace_and_a_name_belongs_to_each() {
    let mut jobs = Jobs::default();
    let applied = |jobs: &mut Jobs, record| jobs.apply(jobs.end(), record);
    assert_eq!(
        applied(&mut jobs, of_workspace(Some("choir"), 90)),
        Applied::Accepted
    );
    assert_eq!(
        applied(&mut jobs, of_workspace(Some("strings"), 80)),
        Applied::Accepted
    );
    // One that was accepted before workspaces were told is counted by itself.
    assert_eq!(
        applied(&mut jobs, of_workspace(None, 70)),
        Applied::Accepted
    );
    let more = Record::Accepted(Accepted {
        job: job_id(Some("choir"), "more"),
        ..match of_workspace(Some("choir"), 20) {
            Record::Accepted(accepted) => accepted,
            _ => unreachable!("It is an acceptance."),
        }
    });
    assert_eq!(applied(&mut jobs, more), Applied::OverQuota { waiting: 90 });
    let restored = Jobs::restore(jobs.snapshot());
    for jobs in [&jobs, &restored] {
        assert_eq!(jobs.waiting_tokens_of(Some("choir"), "r"), 90);
        assert_eq!(jobs.waiting_tokens_of(Some("strings"), "r"), 80);
        assert_eq!(jobs.waiting_tokens("r"), 70);
    }
}

/// Records of versions that knew no workspaces lie in the log, byte for byte like this.
#[test]
fn a_record_without_a_workspace_is_read_as_it_was_written() {
    let written = [
        0, 2, b'j', b'1', 7, 2, b'a', b'1', 1, b'r', 1, 100, 5, 1, 2, b'i', b'1', 90, 0,
    ];
    let Some(Record::Accepted(read)) = Record::decode(&written) else {
        panic!("It is an acceptance.");
    };
    assert_eq!((read.job.as_str(), read.route.as_str()), ("j1", "r"));
    assert_eq!(workspace_of(&read.job), None);
    let mut jobs = Jobs::default();
    assert_eq!(jobs.apply(0, Record::Accepted(read)), Applied::Accepted);
    assert_eq!(jobs.waiting_tokens("r"), 90);
}
