//! Tests the rules of the folds individually and with arbitrary records.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod cluster;

use cluster::place;
use cluster::spec;
use notchwharf_ledger::error::FoldError;
use notchwharf_ledger::error::Ignored;
use notchwharf_ledger::fleet;
use notchwharf_ledger::fleet::Fleet;
use notchwharf_ledger::job::Failure;
use notchwharf_ledger::record::Entry;
use notchwharf_ledger::record::Record;
use notchwharf_ledger::record::RecordId;
use notchwharf_ledger::record::decode;
use notchwharf_ledger::record::encode;
use notchwharf_ledger::shard::Shard;
use proptest::prelude::*;
use rstest::rstest;

fn id(host: &str, seq: u64) -> RecordId {
    RecordId {
        host: host.into(),
        incarnation: 1,
        seq,
    }
}

fn record(host: &str, seq: u64, epoch: impl Into<Option<u64>>, entries: Vec<Entry>) -> Record {
    Record {
        id: id(host, seq),
        epoch: epoch.into(),
        snapshot: None,
        entries,
    }
}

fn claim(host: &str, seq: u64, supersedes: Option<u64>, seen: u64) -> Record {
    record(host, seq, None, vec![Entry::Claim { supersedes, seen }])
}

fn done(job: &str, item: u32, at: u64) -> Entry {
    Entry::Done {
        job: job.into(),
        item,
        place: place(at),
    }
}

/// Returns a shard held by host `a` under epoch 1, with a job of two items.
fn held_shard() -> Shard {
    let mut shard = Shard::default();
    shard.apply(1, &claim("a", 1, None, 0)).unwrap();
    let job = vec![Entry::Job(spec("job", 2))];
    shard.apply(2, &record("a", 2, 1, job)).unwrap();
    shard
}

#[rstest]
#[case::duplicate(record("a", 2, 1, vec![Entry::Renew]), Err(Ignored::Copy))]
#[case::older_epoch(record("a", 3, 0, vec![Entry::Renew]), Err(Ignored::Fenced))]
#[case::duplicate_claim(claim("a", 1, None, 0), Err(Ignored::Copy))]
#[case::claim_without_superseding_the_lease(claim("b", 1, None, 0), Err(Ignored::StaleClaim))]
#[case::claim_superseding_another_epoch(claim("b", 1, Some(0), 9), Err(Ignored::StaleClaim))]
#[case::claim_before_reading_the_newest_record(
    claim("b", 1, Some(1), 1),
    Err(Ignored::HolderAlive)
)]
#[case::claim_after_reading_the_newest_record(claim("b", 1, Some(1), 2), Ok(()))]
#[case::unknown_job(record("a", 3, 1, vec![done("none", 0, 1)]), Err(Ignored::Unknown))]
#[case::unknown_item(record("a", 3, 1, vec![done("job", 2, 1)]), Err(Ignored::Unknown))]
#[case::done(record("a", 3, 1, vec![done("job", 1, 1)]), Ok(()))]
fn a_record_is_applied_or_ignored_with_a_reason(
    #[case] record: Record,
    #[case] expected: Result<(), Ignored>,
) {
    assert_eq!(held_shard().apply(3, &record), Ok(vec![expected]));
}

#[rstest]
fn entries_of_a_cancelled_job_are_ignored() {
    let mut shard = held_shard();
    let cancel = Entry::Cancel { job: "job".into() };
    let outcomes = shard.apply(3, &record("a", 3, 1, vec![cancel, done("job", 0, 5)]));
    assert_eq!(outcomes, Ok(vec![Ok(()), Err(Ignored::Cancelled)]));
    assert_eq!(shard.jobs()["job"].counts.done, 0);
}

#[rstest]
#[case::same_call("d", Ignored::Started)]
#[case::other_call("e", Ignored::OtherBody)]
fn a_call_with_a_key_starts_once(#[case] digest: &str, #[case] expected: Ignored) {
    let mut shard = held_shard();
    let start = |digest: &str| Entry::KeyStart {
        key: "k".into(),
        digest: digest.into(),
        at_unix_ms: 0,
    };
    let outcomes = shard.apply(3, &record("a", 3, 1, vec![start("d"), start(digest)]));
    assert_eq!(outcomes, Ok(vec![Ok(()), Err(expected)]));
}

#[rstest]
fn the_first_final_outcome_of_an_item_is_kept() {
    let mut shard = held_shard();
    let failed = Entry::Failed {
        job: "job".into(),
        item: 0,
        failure: Failure::Rejected { status: 400 },
    };
    let entries = vec![done("job", 0, 5), done("job", 0, 6), failed];
    let outcomes = shard.apply(3, &record("a", 3, 1, entries)).unwrap();
    assert_eq!(
        outcomes,
        [Ok(()), Err(Ignored::Settled), Err(Ignored::Settled)]
    );
    assert_eq!(shard.jobs()["job"].items[0].result, place(5));
}

#[rstest]
fn a_missing_record_is_detected() {
    let expected = Err(FoldError::Gap {
        expected: 3,
        found: 5,
    });
    assert_eq!(
        held_shard().apply(5, &record("a", 3, 1, vec![Entry::Renew])),
        expected
    );
}

#[rstest]
fn a_record_at_an_offset_already_applied_has_no_effect() {
    let mut shard = held_shard();
    let before = shard.clone();
    let repeated = record("a", 2, 1, vec![Entry::Cancel { job: "job".into() }]);
    assert_eq!(shard.apply(2, &repeated), Ok(Vec::new()));
    assert_eq!(shard, before);
}

#[rstest]
fn a_target_held_by_a_live_host_cannot_be_claimed() {
    let fleet_record = |host: &str, seq, entries| fleet::Record {
        id: id(host, seq),
        entries,
    };
    let claim = |seen| {
        vec![fleet::Entry::Claim {
            target: "t".into(),
            seen,
        }]
    };
    let mut fleet = Fleet::default();
    assert_eq!(fleet.apply(1, &fleet_record("a", 1, claim(None))), [Ok(())]);
    let (observed, is_over) = fleet.observed_lease("t");
    assert!(!is_over);
    fleet.apply(2, &fleet_record("a", 2, Vec::new()));
    let early_outcomes = fleet.apply(3, &fleet_record("b", 1, claim(observed)));
    assert_eq!(early_outcomes, [Err(Ignored::HolderAlive)]);
    let (observed, _) = fleet.observed_lease("t");
    assert_eq!(
        fleet.apply(4, &fleet_record("b", 2, claim(observed))),
        [Ok(())]
    );
    assert_eq!(fleet.lease("t").unwrap().epoch, 4);
    let stale = fleet::Entry::Keep {
        target: "t".into(),
        epoch: 1,
    };
    fleet.apply(5, &fleet_record("a", 3, vec![stale]));
    assert_eq!(
        fleet.lease("t").unwrap().epoch,
        4,
        "An older epoch does not replace the current lease."
    );
}

#[rstest]
fn targets_of_a_restarted_host_can_be_claimed_immediately() {
    let mut fleet = Fleet::default();
    let claim = fleet::Entry::Claim {
        target: "t".into(),
        seen: None,
    };
    let first = fleet::Record {
        id: id("a", 1),
        entries: vec![claim],
    };
    fleet.apply(1, &first);
    let mut restarted = id("a", 1);
    restarted.incarnation = 2;
    let entries = Vec::new();
    fleet.apply(
        2,
        &fleet::Record {
            id: restarted,
            entries,
        },
    );
    assert!(
        fleet.observed_lease("t").1,
        "The session of the previous incarnation is over."
    );
}

fn entry() -> impl Strategy<Value = Entry> {
    let job = prop_oneof![Just("j1"), Just("j2")];
    prop_oneof![
        job.clone().prop_map(|j| Entry::Job(spec(j, 3))),
        (job.clone(), 0..4_u32, 0..99_u64).prop_map(|(j, i, at)| done(j, i, at)),
        (job.clone(), 0..4_u32).prop_map(|(j, item)| Entry::Attempt {
            job: j.into(),
            item,
            before: 0
        }),
        job.prop_map(|j| Entry::Cancel { job: j.into() }),
        "[ab]".prop_map(|key| Entry::KeyStart {
            key,
            digest: "d".into(),
            at_unix_ms: 0
        }),
        Just(Entry::Renew),
        Just(Entry::Release),
    ]
}

fn any_record() -> impl Strategy<Value = Record> {
    let host = prop_oneof![Just("a"), Just("b")];
    let claims = (
        host.clone(),
        0..9_u64,
        proptest::option::of(0..30_u64),
        0..40_u64,
    )
        .prop_map(|(h, seq, supersedes, seen)| claim(h, seq, supersedes, seen));
    let others = (
        host,
        0..60_u64,
        0..30_u64,
        proptest::collection::vec(entry(), 1..4),
    )
        .prop_map(|(h, seq, epoch, entries)| record(h, seq, epoch, entries));
    prop_oneof![1 => claims, 4 => others]
}

proptest! {
    /// A reader that starts from a snapshot reaches the same state as one that read all records.
    #[test]
    fn a_snapshot_and_later_records_give_the_same_state_as_all_records(
        records in proptest::collection::vec(any_record(), 1..60),
        snapshot_index in 0..60_usize,
    ) {
        let mut complete = Shard::default();
        let mut resumed = Shard::default();
        for (i, record) in records.iter().enumerate() {
            let offset = i as u64 + 1;
            if i == snapshot_index {
                resumed = Shard::decode(&resumed.encode()).unwrap();
            }
            let complete_outcomes = complete.apply(offset, record);
            let resumed_outcomes = resumed.apply(offset, record);
            prop_assert_eq!(complete_outcomes, resumed_outcomes);
        }
        prop_assert_eq!(complete, resumed);
    }

    /// The count of completed items is correct, and an item with a final outcome never changes.
    #[test]
    fn finished_items_never_change(records in proptest::collection::vec(any_record(), 1..80)) {
        let mut shard = Shard::default();
        let mut finished = std::collections::HashMap::new();
        for (i, record) in records.iter().enumerate() {
            shard.apply(i as u64 + 1, record).unwrap();
            for (id, job) in shard.jobs() {
                let done = job.items.iter().filter(|i| i.phase == notchwharf_ledger::job::Phase::Done);
                prop_assert_eq!(done.count(), job.counts.done as usize);
                for (index, item) in job.items.iter().enumerate() {
                    if item.phase != notchwharf_ledger::job::Phase::Pending {
                        let first = finished.entry((id.clone(), index)).or_insert(*item);
                        prop_assert_eq!(*first, *item);
                    }
                }
            }
        }
    }

    /// Encoding and decoding a record returns the same record, and decoding arbitrary bytes does
    /// not panic.
    #[test]
    fn records_round_trip_through_the_codec(record in any_record(), arbitrary_bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
        prop_assert_eq!(decode::<Record>(&encode(&record)), Ok(record));
        let _ = decode::<Record>(&arbitrary_bytes);
    }
}
