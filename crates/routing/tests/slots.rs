//! Sharing of slots between online and batch, the routing table and admission control.

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
fn most_recent_streams_are_cancelled_first() {
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
fn expired_report_takes_no_slots() {
    let start = Instant::now();
    let mut slots = slots(start);
    slots.set_online("a1", 10, start);
    assert!(slots.available(LIMIT, start) <= 5);
    let later = start + Duration::from_secs(10);
    assert_eq!(slots.available(LIMIT, later), LIMIT - 1);
}

#[rstest]
fn increase_sets_reserve_until_it_expires() {
    let start = Instant::now();
    let mut slots = slots(start);
    slots.set_online("a1", 6, start);
    slots.set_online("a1", 0, start);
    assert_eq!(slots.available(LIMIT, start), LIMIT - 6);
    let later = start + Duration::from_secs(3);
    assert_eq!(slots.available(LIMIT, later), LIMIT - 1);
}

#[rstest]
fn exclusive_item_runs_without_others() {
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
    /// For any sequence of online load, batch streams use at most the slots that online streams
    /// leave within the limit.
    #[test]
    fn batch_yields_slots_needed_by_online(
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
fn leaving_or_failed_target_is_not_chosen() {
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
        "A failed target is used again after its ejection."
    );
}

#[rstest]
fn requests_with_same_prefix_go_to_one_target_until_overloaded() {
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
    assert_eq!(seen.len(), 4, "Excess load is distributed to all targets.");
}

#[rstest]
fn full_fleet_rejects_requests() {
    let now = Instant::now();
    let mut table = table(&["t1"], now);
    for _ in 0..32 {
        table.begin("t1");
    }
    let refused = table.choose("m", 1, &[], now);
    assert!(matches!(refused, Err(Refusal::Full { .. })));
}

#[rstest]
fn overload_by_one_tenant_leaves_capacity_for_others() {
    let mut admission = Admission::new(100);
    let mut admitted = 0;
    admission.admit("small", 1).ok();
    while admission.admit("large", 1).is_ok() {
        admitted += 1;
    }
    assert!(admitted < 99, "{admitted}");
    for _ in 0..10 {
        assert_eq!(admission.admit("small", 1), Ok(()));
    }
    for _ in 0..admitted {
        admission.release("large");
    }
    assert_eq!(admission.in_flight(), 11);
}
