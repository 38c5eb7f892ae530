//! Index of changed keys.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::collections::BTreeMap;

use notchwharf_spread::changes::Changes;
use proptest::prelude::*;

/// Returns the offset of each key's newest change at or after an offset.
fn newest(log: &[u8], from: u64) -> BTreeMap<u8, u64> {
    let log = log.iter().enumerate();
    let log = log.map(|(offset, key)| (offset as u64, *key));
    log.filter(|(offset, _)| *offset >= from)
        .map(|(offset, key)| (key, offset))
        .collect()
}

proptest! {
    #[test]
    fn changes_since_an_offset_are_complete_and_unique_or_none(
        log in proptest::collection::vec(0..8_u8, 0..60),
        capacity in 1..40_usize,
        from in 0..70_u64,
    ) {
        let mut changes = Changes::new(capacity);
        for (offset, key) in log.iter().enumerate() {
            changes.push(offset as u64, *key);
        }
        let dropped = log.len().saturating_sub(capacity) as u64;
        prop_assert_eq!(changes.complete_from(), dropped);
        let since = changes.since(from);
        prop_assert_eq!(since.is_none(), from < dropped);
        if let Some(since) = since {
            let offsets: Vec<u64> = since.iter().map(|(offset, _)| *offset).collect();
            prop_assert!(offsets.is_sorted());
            let returned: BTreeMap<u8, u64> = since.iter().map(|(at, key)| (**key, *at)).collect();
            prop_assert_eq!(returned.len(), since.len());
            prop_assert_eq!(returned, newest(&log, from));
        }
    }
}

#[test]
fn changes_before_a_skipped_range_are_unavailable() {
    let mut changes = Changes::new(10);
    changes.push(3, "a");
    changes.skip_to(8);
    changes.push(8, "b");
    assert_eq!(changes.since(4), None);
    assert_eq!(changes.since(8), Some(vec![(8, &"b")]));
}

/// Guards against an index that raises a late change to the newest offset: its receiver then
/// ignores the key's next records as older.
#[test]
fn a_change_below_the_newest_keeps_its_offset() {
    let mut changes = Changes::new(10);
    changes.push(5, "a");
    changes.push(2, "b");
    assert_eq!(changes.end(), 6);
    assert_eq!(changes.since(2), Some(vec![(2, &"b"), (5, &"a")]));
    assert_eq!(changes.since(3), Some(vec![(5, &"a")]));
    assert_eq!(changes.since(100), Some(vec![]));
}

proptest! {
    /// Changes that arrive in any order give the same index as in order of their offsets.
    #[test]
    fn the_order_of_arrival_does_not_matter(
        arrivals in proptest::collection::vec((0..40_u64, 0..8_u8), 0..60),
        capacity in 1..70_usize,
        from in 0..50_u64,
    ) {
        let mut changes = Changes::new(capacity);
        for (offset, key) in &arrivals {
            changes.push(*offset, *key);
        }
        let mut sorted = arrivals;
        sorted.sort_unstable();
        let dropped = sorted.len().saturating_sub(capacity);
        let complete_from = dropped.checked_sub(1).map_or(0, |last| sorted[last].0 + 1);
        prop_assert_eq!(changes.complete_from(), complete_from);
        let mut expected: BTreeMap<u8, u64> = BTreeMap::new();
        expected.extend(sorted.iter().filter(|(at, _)| *at >= from).map(|(at, key)| (*key, *at)));
        let since = changes.since(from);
        prop_assert_eq!(since.is_none(), from < complete_from);
        if let Some(since) = since {
            let offsets: Vec<u64> = since.iter().map(|(at, _)| *at).collect();
            prop_assert!(offsets.is_sorted());
            let returned: BTreeMap<u8, u64> = since.iter().map(|(at, key)| (**key, *at)).collect();
            prop_assert_eq!(returned, expected);
        }
    }
}

proptest! {
    /// Pages name every key that changed before their end. Guards against pages that leave a key
    /// to the page of its newest change.
    #[test]
    fn pages_name_each_key_that_changed_before_their_end(
        ranges in proptest::collection::vec((0..40_u64, 0..10_u64, 0..8_u8), 0..60),
        from in 0..50_u64,
        limit in 1..10_usize,
    ) {
        let mut changes = Changes::new(1_000);
        for (first, len, key) in &ranges {
            changes.push_range(*first, first + len, *key);
        }
        let mut next = Some(from);
        while let Some(at) = next {
            let page = changes.page(at, limit).unwrap();
            prop_assert!(page.changes.is_sorted_by_key(|(newest, _)| *newest));
            let named: BTreeMap<u8, u64> = page.changes.iter().map(|(at, key)| (**key, *at)).collect();
            prop_assert_eq!(named.len(), page.changes.len());
            let remaining = ranges.iter().filter(|(first, len, _)| first + len >= at);
            for (first, len, key) in remaining {
                if page.to.is_none_or(|to| (*first).max(at) < to) {
                    prop_assert!(named.get(key).is_some_and(|newest| *newest >= first + len));
                }
            }
            prop_assert!(page.to.is_none_or(|to| to > at));
            next = page.to;
        }
    }
}
