//! Tests the fold over job records.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use notchwharf_ledger::jobs::Accepted;
use notchwharf_ledger::jobs::Applied;
use notchwharf_ledger::jobs::Blob;
use notchwharf_ledger::jobs::Ignored;
use notchwharf_ledger::jobs::ItemSpec;
use notchwharf_ledger::jobs::Jobs;
use notchwharf_ledger::jobs::Outcome;
use notchwharf_ledger::jobs::Reason;
use notchwharf_ledger::jobs::Record;
use notchwharf_ledger::jobs::Report;
use notchwharf_ledger::jobs::job_id;
use notchwharf_ledger::jobs::workspace_of;
use proptest::collection::vec;
use proptest::prelude::*;
use rstest::rstest;

const WAITING_TOKENS_MAX: u64 = 100;

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
        tokens_max: Some(WAITING_TOKENS_MAX),
        submitted_unix_ms: 0,
        items: items.collect(),
        payload: vec![],
    })
}

fn listed(job: u8, item: u32, is_completed: bool) -> Record {
    let outcome = match is_completed {
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
#[case::duplicate_record(vec![accepted(1, 1, 1, 9), accepted(1, 1, 1, 9)], Applied::Accepted)]
#[case::another_attempt(vec![accepted(1, 1, 1, 9), accepted(1, 2, 1, 9)], Applied::Duplicate)]
#[case::over_the_limit(vec![accepted(1, 1, 1, 60), accepted(2, 2, 1, 41)], Applied::OverQuota { waiting: 60 })]
#[case::exactly_at_the_limit(vec![accepted(1, 1, 1, 60), accepted(2, 2, 1, 40)], Applied::Accepted)]
#[case::capacity_after_an_item_is_listed(
    vec![accepted(1, 1, 2, 30), listed(1, 0, true), accepted(2, 2, 1, 70)],
    Applied::Accepted
)]
#[case::capacity_after_a_job_is_ended(
    vec![accepted(1, 1, 2, 30), ended(1), accepted(2, 2, 1, 100)],
    Applied::Accepted
)]
#[case::late_duplicate_of_a_refused_attempt(
    vec![accepted(1, 1, 1, 60), accepted(2, 2, 1, 60), ended(1), accepted(2, 2, 1, 60)],
    Applied::OverQuota { waiting: 0 }
)]
#[case::new_attempt_of_a_refused_job(
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
#[case::taken_over(vec![accepted(1, 1, 1, 9), taken(1, 0)], Applied::Taken)]
#[case::already_taken_over_by_another_host(
    vec![accepted(1, 1, 1, 9), taken(1, 0), taken(1, 0)],
    Applied::Ignored(Ignored::StaleEpoch)
)]
#[case::taken_over_again(vec![accepted(1, 1, 1, 9), taken(1, 0), taken(1, 1)], Applied::Taken)]
fn the_last_record_has_the_expected_effect(
    #[case] records: Vec<Record>,
    #[case] expected: Applied,
) {
    let mut jobs = Jobs::default();
    let applied = (0..)
        .zip(records)
        .map(|(offset, record)| jobs.apply(offset, record));
    assert_eq!(applied.last().unwrap(), expected);
}

#[test]
fn records_round_trip_and_other_bytes_are_rejected() {
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
        (0..4u8, 0..4u32, any::<bool>()).prop_map(|(j, i, is_completed)| listed(
            j,
            i,
            is_completed
        )),
        (0..4u8, 0..20u64).prop_map(|(j, epoch)| taken(j, epoch)),
        (0..4u8).prop_map(ended),
    ]
}

/// Returns the state that is visible to callers.
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
    /// A record whose append received no response may be appended again anywhere later in the
    /// stream; the duplicate does not change the visible state.
    #[test]
    fn a_duplicate_record_does_not_change_the_visible_state(
        records in vec(any_record(), 1..40),
        original_index in any::<prop::sample::Index>(),
    ) {
        let mut jobs = Jobs::default();
        let mut effective = Vec::new();
        for (offset, record) in (0..).zip(&records) {
            // The duplicate of a record that was ignored may take effect, for example if the
            // original preceded the acceptance of its job.
            if !matches!(jobs.apply(offset, record.clone()), Applied::Ignored(_)) {
                effective.push(record.clone());
            }
        }
        let mut end = records.len() as u64;
        if effective.is_empty() {
            let record = accepted(1, 1, 1, 9);
            prop_assert!(!matches!(jobs.apply(end, record.clone()), Applied::Ignored(_)));
            effective.push(record);
            end += 1;
        }
        let duplicate = original_index.get(&effective).clone();
        let before = view(&jobs);
        jobs.apply(end, duplicate);
        prop_assert_eq!(before, view(&jobs));
    }

    /// The waiting tokens equal the tokens of unfinished items of open jobs and never exceed the
    /// limit.
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
            prop_assert!(open <= WAITING_TOKENS_MAX);
        }
    }

    /// A host that starts from the snapshot of another host continues as if it had read all
    /// records itself.
    #[test]
    fn a_restored_snapshot_continues_like_the_original_state(
        records in vec(any_record(), 1..60),
        snapshot_offset in any::<prop::sample::Index>(),
    ) {
        let snapshot_offset = snapshot_offset.index(records.len());
        let mut original = Jobs::default();
        let mut resumed = Jobs::default();
        for (offset, record) in records.into_iter().enumerate() {
            if offset == snapshot_offset {
                let bytes = postcard::to_stdvec(&original.snapshot()).unwrap();
                resumed = Jobs::restore(postcard::from_bytes(&bytes).unwrap());
            }
            let applied = original.apply(offset as u64, record.clone());
            if offset >= snapshot_offset {
                prop_assert_eq!(resumed.apply(offset as u64, record), applied);
                prop_assert_eq!(view(&resumed), view(&original));
            }
        }
        prop_assert_eq!(resumed.snapshot(), original.snapshot());
    }
}

/// Returns the acceptance of a workspace's job; the job has the same name in every workspace.
fn accepted_of(workspace: Option<&str>, tokens: u32) -> Record {
    let Record::Accepted(accepted) = accepted(1, u64::from(tokens), 1, tokens) else {
        unreachable!("The record is an acceptance.");
    };
    let job = job_id(workspace, &accepted.job);
    Record::Accepted(Accepted { job, ..accepted })
}

#[test]
fn waiting_tokens_and_job_names_are_separate_for_each_workspace() {
    let mut jobs = Jobs::default();
    let applied = |jobs: &mut Jobs, record| jobs.apply(jobs.end(), record);
    assert_eq!(
        applied(&mut jobs, accepted_of(Some("choir"), 90)),
        Applied::Accepted
    );
    assert_eq!(
        applied(&mut jobs, accepted_of(Some("strings"), 80)),
        Applied::Accepted
    );
    // Jobs of versions without workspaces are counted separately.
    assert_eq!(applied(&mut jobs, accepted_of(None, 70)), Applied::Accepted);
    let over_quota = Record::Accepted(Accepted {
        job: job_id(Some("choir"), "more"),
        ..match accepted_of(Some("choir"), 20) {
            Record::Accepted(accepted) => accepted,
            _ => unreachable!("The record is an acceptance."),
        }
    });
    assert_eq!(
        applied(&mut jobs, over_quota),
        Applied::OverQuota { waiting: 90 }
    );
    let restored = Jobs::restore(jobs.snapshot());
    for jobs in [&jobs, &restored] {
        assert_eq!(jobs.waiting_tokens_of(Some("choir"), "r"), 90);
        assert_eq!(jobs.waiting_tokens_of(Some("strings"), "r"), 80);
        assert_eq!(jobs.waiting_tokens("r"), 70);
    }
}

/// Logs still contain records written, in exactly this encoding, by versions without
/// workspaces.
#[test]
fn a_record_without_a_workspace_can_still_be_decoded() {
    let encoded = [
        0, 2, b'j', b'1', 7, 2, b'a', b'1', 1, b'r', 1, 100, 5, 1, 2, b'i', b'1', 90, 0,
    ];
    let Some(Record::Accepted(decoded)) = Record::decode(&encoded) else {
        panic!("The record is an acceptance.");
    };
    assert_eq!((decoded.job.as_str(), decoded.route.as_str()), ("j1", "r"));
    assert_eq!(workspace_of(&decoded.job), None);
    let mut jobs = Jobs::default();
    assert_eq!(jobs.apply(0, Record::Accepted(decoded)), Applied::Accepted);
    assert_eq!(jobs.waiting_tokens("r"), 90);
}

#[rstest]
#[case::blob_of_too_many_records(Blob { records: u32::MAX, ..Blob::default() }, 0)]
#[case::blob_beyond_the_log(Blob { offset: u64::MAX, ..Blob::default() }, 0)]
#[case::too_many_failures(Blob::default(), u32::MAX)]
fn record_with_a_number_out_of_range_is_not_decoded(#[case] blob: Blob, #[case] failed: u32) {
    let listed = Record::Listed {
        job: "j1".into(),
        item: 0,
        outcome: Outcome::Completed(vec![blob.clone()]),
    };
    let report = Report {
        begins: None,
        failed,
        blamed: failed,
        is_answered: false,
    };
    let reported = Record::Reported {
        job: "j1".into(),
        item: 0,
        epoch: 1,
        report,
    };
    let is_decoded = |record: &Record| Record::decode(&record.encode()).is_some();
    assert_eq!(is_decoded(&listed), blob == Blob::default());
    assert_eq!(is_decoded(&reported), failed == 0);
}
