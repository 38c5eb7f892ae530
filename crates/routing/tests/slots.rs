//! Batch fills what online leaves, and yields at once.

use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::admission::Admission;
use notchwharf_routing::slots::Config;
use notchwharf_routing::slots::Slots;
use notchwharf_routing::table;
use notchwharf_routing::table::Refusal;
use notchwharf_routing::table::Report;
use notchwharf_routing::table::Table;
use proptest::prelude::*;
use rstest::rstest;

const LIMIT: u32 = 16;

fn slots(now: Instant) -> Slots {
    Slots::new(Config::default(), now)
}

#[rstest]
fn the_youngest_streams_are_cancelled_first() {
    let start = Instant::now();
    let mut slots = slots(start);
    for id in 0..15 {
        slots.begin(id, start + Duration::from_millis(id));
    }
    let now = start + Duration::from_secs(1);
    slots.set_online("a1", 3, now);
    assert_eq!(slots.preempt(LIMIT, now), [14, 13]);
}

#[rstest]
fn a_host_that_is_not_heard_any_more_takes_no_slots() {
    let start = Instant::now();
    let mut slots = slots(start);
    slots.set_online("a1", 10, start);
    assert!(slots.available(LIMIT, start) <= 5);
    let later = start + Duration::from_secs(10);
    assert_eq!(slots.available(LIMIT, later), LIMIT - 1);
}

#[rstest]
fn a_jump_is_remembered_as_a_reserve_and_then_forgotten() {
    let start = Instant::now();
    let mut slots = slots(start);
    slots.set_online("a1", 6, start);
    slots.set_online("a1", 0, start);
    assert_eq!(slots.available(LIMIT, start), LIMIT - 6);
    let later = start + Duration::from_secs(3);
    assert_eq!(slots.available(LIMIT, later), LIMIT - 1);
}

#[rstest]
fn an_item_that_must_run_alone_does() {
    let start = Instant::now();
    let mut slots = slots(start);
    slots.begin(1, start);
    assert!(!slots.can_start_exclusive(LIMIT, start));
    slots.end(1);
    assert!(slots.can_start_exclusive(LIMIT, start));
    slots.begin_exclusive(2, start);
    assert_eq!(slots.available(LIMIT, start), 0);
    slots.end(2);
    assert_eq!(slots.available(LIMIT, start), LIMIT - 1);
}

proptest! {
    /// Whatever comes, filling and preempting keep all streams within the
    /// limit as far as batch streams can.
    #[test]
    fn batch_never_keeps_a_slot_that_online_needs(
        steps in proptest::collection::vec((0..4_u8, 0..20_u32, 0..500_u64), 1..80),
    ) {
        let mut now = Instant::now();
        let mut slots = slots(now);
        let mut next = 0;
        for (host, streams, ms) in steps {
            now += Duration::from_millis(ms);
            slots.set_online(&host.to_string(), streams, now);
            for id in slots.preempt(LIMIT, now) {
                slots.end(id);
            }
            for _ in 0..slots.available(LIMIT, now) {
                slots.begin(next, now);
                next += 1;
            }
            let online = slots.online_streams(now);
            prop_assert!(slots.batch_streams() + online <= LIMIT.max(online));
        }
    }
}

fn table(targets: &[&str], now: Instant) -> Table {
    let mut table = Table::new(table::Config::default(), 1);
    for id in targets {
        let report = Report {
            is_for_online: true,
            models: vec!["m".into()],
            ..Report::default()
        };
        table.upsert(id, report, now);
    }
    table
}

#[rstest]
fn a_leaving_or_failed_target_is_not_chosen() {
    let now = Instant::now();
    let mut table = table(&["t1", "t2", "t3"], now);
    let leaving = Report {
        is_for_online: true,
        is_leaving: true,
        models: vec!["m".into()],
        ..Report::default()
    };
    table.upsert("t1", leaving, now);
    table.record_failure("t2", now);
    for prefix in 0..100 {
        assert_eq!(table.choose("m", prefix, &[], now), Ok("t3".to_owned()));
    }
    let none = table.choose("m", 0, &["t3".to_owned()], now);
    assert!(matches!(none, Err(Refusal::NoTarget { .. })));
    let later = now + Duration::from_secs(1);
    assert!(
        table.is_available("t2", later),
        "A failed target is tried again."
    );
}

#[rstest]
fn requests_with_one_beginning_go_to_one_target_until_it_is_busy() {
    let now = Instant::now();
    let mut table = table(&["t1", "t2", "t3", "t4"], now);
    let first = table.choose("m", 42, &[], now);
    assert_eq!(table.choose("m", 42, &[], now), first);
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..40 {
        if let Ok(target) = table.choose("m", 42, &[], now) {
            table.begin(&target);
            seen.insert(target);
        }
    }
    assert_eq!(seen.len(), 4, "Load spills over.");
}

#[rstest]
fn a_full_fleet_refuses_at_once() {
    let now = Instant::now();
    let mut table = table(&["t1"], now);
    for _ in 0..32 {
        table.begin("t1");
    }
    let refused = table.choose("m", 1, &[], now);
    assert!(matches!(refused, Err(Refusal::Full { .. })));
}

#[rstest]
fn a_flood_of_one_tenant_leaves_room_for_others() {
    let mut admission = Admission::new(100);
    let mut flood = 0;
    admission.admit("small", 1).ok();
    while admission.admit("large", 1).is_ok() {
        flood += 1;
    }
    assert!(flood < 99, "{flood}");
    for _ in 0..10 {
        assert_eq!(admission.admit("small", 1), Ok(()));
    }
    for _ in 0..flood {
        admission.release("large");
    }
    assert_eq!(admission.in_flight(), 11);
}
