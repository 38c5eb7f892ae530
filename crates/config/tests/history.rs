//! Determination of the bundle in force under concurrent changes and adopted copies.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use notchwharf_config::bundle::Bundle;
use notchwharf_config::bundle::Service;
use notchwharf_config::error::Refusal;
use notchwharf_config::history::History;
use notchwharf_config::history::Record;
use proptest::prelude::*;
use rstest::rstest;

fn bundle(name: &str) -> Bundle {
    Bundle {
        services: vec![Service { name: name.into() }],
        ..Bundle::default()
    }
}

fn propose(base: Option<u64>, name: &str) -> Record {
    Record::proposal(base, "ana", bundle(name))
}

fn sign(version: u64, name: &str) -> Record {
    Record::sign_off(version, &bundle(name).digest(), "rui")
}

/// Version 1 is in force; 3 and 4 are proposed on it.
fn history() -> History {
    let mut history = History::default();
    history.apply(1, propose(None, "a")).unwrap();
    history.apply(2, sign(1, "a")).unwrap();
    history.apply(3, propose(Some(1), "b")).unwrap();
    history.apply(4, propose(Some(1), "c")).unwrap();
    history
}

#[rstest]
#[case::first_proposal(3, "b", Ok(()))]
#[case::other_proposal(4, "c", Ok(()))]
#[case::other_content(3, "c", Err(Refusal::OtherContent { version: 3 }))]
#[case::unknown(9, "b", Err(Refusal::NoProposal { version: 9 }))]
#[case::already_in_force(1, "a", Err(Refusal::NoProposal { version: 1 }))]
fn a_sign_off_is_accepted_or_refused(
    #[case] version: u64,
    #[case] name: &str,
    #[case] expected: Result<(), Refusal>,
) {
    assert_eq!(history().apply(5, sign(version, name)), expected);
}

#[rstest]
#[case::lower_first([3, 4])]
#[case::higher_first([4, 3])]
fn the_first_sign_off_among_proposals_with_the_same_base_wins(#[case] order: [u64; 2]) {
    let name = |version| if version == 3 { "b" } else { "c" };
    let mut history = history();
    history.apply(5, sign(order[0], name(order[0]))).unwrap();
    assert!(history.apply(6, sign(order[1], name(order[1]))).is_err());
    assert_eq!(history.version(), Some(order[0]));
}

#[rstest]
fn a_stale_base_is_refused_with_the_current_version() {
    let stale = Refusal::StaleBase {
        base: None,
        current: Some(1),
    };
    let result = history().apply(5, propose(None, "d"));
    assert!(stale.to_string().contains("version 1"));
    assert_eq!(result, Err(stale));
}

#[rstest]
fn a_reader_without_earlier_records_adopts_a_carried_copy() {
    let carried = Record::Carried {
        version: 1,
        since: 2,
        bundle: Box::new(bundle("a")),
    };
    let mut new_reader = History::default();
    new_reader.apply(9, carried.clone()).unwrap();
    assert_eq!(new_reader.version(), Some(1));
    let mut newer = history();
    newer.apply(5, sign(3, "b")).unwrap();
    newer.apply(9, carried).unwrap();
    assert_eq!(newer.version(), Some(3), "An older copy has no effect.");
}

fn any_record() -> impl Strategy<Value = Record> {
    let name = prop_oneof![Just("a"), Just("b"), Just("c")];
    let base = proptest::option::of(0..30_u64);
    prop_oneof![
        (base, name.clone()).prop_map(|(base, name)| propose(base, name)),
        (0..30_u64, name.clone()).prop_map(|(version, name)| sign(version, name)),
    ]
}

proptest! {
    /// The version in force never decreases, and a host that adopts bundles from a peer that
    /// has read more of the log reaches the same state as the peer.
    #[test]
    fn the_version_in_force_never_decreases(
        records in proptest::collection::vec(any_record(), 1..60),
        adoptions in proptest::collection::vec((0..60_usize, 0..60_usize), 0..6),
    ) {
        let mut ahead = History::default();
        let mut states = vec![None];
        for (i, record) in records.iter().enumerate() {
            let _ = ahead.apply(i as u64, record.clone());
            states.push(ahead.in_force().cloned());
            prop_assert!(states[i + 1].as_ref().map(|f| f.version) >= states[i].as_ref().map(|f| f.version));
        }
        let mut behind = History::default();
        let mut last = None;
        for (i, record) in records.iter().enumerate() {
            for (_, lead) in adoptions.iter().filter(|(at, _)| *at == i) {
                let state = &states[(i + lead).min(records.len())];
                if let Some(copy) = state {
                    behind.adopt(copy.clone());
                }
            }
            let _ = behind.apply(i as u64, record.clone());
            prop_assert!(behind.version() >= last);
            last = behind.version();
        }
        prop_assert_eq!(ahead.in_force(), behind.in_force());
    }
}

#[rstest]
fn a_base_that_is_not_yet_in_force_is_refused() {
    let records = [
        propose(None, "a"),
        propose(Some(0), "b"),
        sign(0, "a"),
        sign(1, "b"),
    ];
    let mut ahead = History::default();
    for (i, record) in records.iter().enumerate() {
        let _ = ahead.apply(i as u64, record.clone());
    }
    assert_eq!(ahead.version(), Some(0));
    let mut behind = History::default();
    behind.adopt(ahead.in_force().unwrap().clone());
    for (i, record) in records.iter().enumerate() {
        let _ = behind.apply(i as u64, record.clone());
    }
    assert_eq!(behind.version(), Some(0), "Both readers agree.");
}
