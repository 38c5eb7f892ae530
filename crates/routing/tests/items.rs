//! Order of items within a host and across hosts, and duration estimates.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::balancer::Balancer;
use notchwharf_routing::balancer::Config;
use notchwharf_routing::balancer::Criteria;
use notchwharf_routing::balancer::Load;
use notchwharf_routing::balancer::Spec;
use notchwharf_routing::balancer::key_of;
use notchwharf_routing::items::estimate::Estimator;
use notchwharf_routing::items::estimate::Estimators;
use notchwharf_routing::items::estimate::Size;
use notchwharf_routing::items::peer_queues::Ahead;
use notchwharf_routing::items::peer_queues::PeerQueues;
use notchwharf_routing::items::peer_queues::QueuedItems;
use notchwharf_routing::items::queue::Queue;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn queued(due_unix_ms: u64, items: u32) -> QueuedItems {
    QueuedItems { due_unix_ms, items }
}

#[test]
fn items_are_ordered_by_deadline_with_late_ones_last() {
    let mut queue = Queue::default();
    for (due, item) in [(300, 'c'), (100, 'a'), (200, 'b'), (400, 'd')] {
        queue.push(due, item, item);
    }
    queue.demote_late(|item| *item < 'c');
    let (next, _) = queue.peek().unwrap();
    assert_eq!((next.due_unix_ms, next.is_late), (300, false));
    let order: String = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, "cdab");
}

#[test]
fn late_item_is_demoted_only_at_the_head() {
    let mut queue = Queue::default();
    queue.push(100, 1, 'a');
    queue.push(200, 2, 'b');
    queue.demote_late(|item| *item == 'b');
    assert_eq!((queue.late_len(), queue.len()), (0, 2));
    assert_eq!(queue.pop(), Some('a'));
    queue.demote_late(|item| *item == 'b');
    assert_eq!(queue.late_len(), 1);
    let (next, _) = queue.peek().unwrap();
    assert_eq!(next.sort_key_unix_ms(), u64::MAX);
}

#[rstest]
#[case::all_separate(3, &[queued(100, 2), queued(200, 1), queued(300, 1)])]
#[case::rest_counted_with_last(2, &[queued(100, 2), queued(200, 2)])]
#[case::all_combined(1, &[queued(100, 4)])]
fn summary_counts_items_by_due_time(#[case] times_max: usize, #[case] expected: &[QueuedItems]) {
    let mut queue = Queue::default();
    for (key, due) in [100, 100, 200, 300].into_iter().enumerate() {
        queue.push(due, key, key);
    }
    assert_eq!(queue.summary(times_max), expected);
}

#[test]
fn summary_follows_all_changes() {
    let mut queue = Queue::default();
    for key in 0..8 {
        queue.push(100 + key / 4, key, key);
    }
    queue.push(100, 0, 0);
    assert_eq!(queue.summary(2), [queued(100, 4), queued(101, 4)]);
    queue.pop();
    queue.retain(|key| key % 3 != 2);
    assert_eq!(queue.summary(2), [queued(100, 2), queued(101, 3)]);
    queue.demote_late(|key| *key < 4);
    assert_eq!(queue.summary(2), [queued(101, 3)]);
    while queue.pop().is_some() {}
    assert_eq!(queue.summary(2), []);
}

#[test]
fn retain_removes_late_and_other_items() {
    let mut queue = Queue::default();
    for key in 0..4 {
        queue.push(key, key, key);
    }
    queue.demote_late(|item| *item < 2);
    queue.retain(|key| key % 2 == 0);
    let left: Vec<u64> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(left, [2, 0]);
}

#[test]
fn only_earlier_items_count_as_ahead() {
    let now = Instant::now();
    let mut queues = PeerQueues::default();
    queues.update("a2", vec![queued(100, 2), queued(500, 4)], now);
    queues.update("a3", vec![queued(300, 1)], now);
    let counts = [50, 100, 101, 400, 501].map(|due| queues.ahead(due).items);
    assert_eq!(counts, [0, 0, 2, 3, 7]);
    queues.update("a2", vec![], now);
    assert_eq!(queues.ahead(u64::MAX).items, 1);
}

#[test]
fn fewer_queued_items_count_as_a_start() {
    let now = Instant::now();
    let mut queues = PeerQueues::default();
    queues.update("a2", vec![queued(100, 3)], now);
    queues.update("a2", vec![queued(100, 5)], now + SECOND);
    assert_eq!(queues.ahead(200).last_start_at, None);
    queues.update("a2", vec![queued(100, 4)], now + 2 * SECOND);
    queues.update("a2", vec![queued(100, 4)], now + 3 * SECOND);
    assert_eq!(queues.ahead(200).last_start_at, Some(now + 2 * SECOND));
    assert_eq!(queues.ahead(100), Ahead::default());
}

fn balancer(targets: u32, slots: u32, reserve: u32) -> Balancer {
    let cfg = Config {
        reserve,
        ..Config::default()
    };
    let mut balancer = Balancer::new(cfg, 7);
    for target in 0..targets {
        let spec = Spec {
            service: "s".into(),
            data_centre: "d".into(),
            slots,
            ..Spec::default()
        };
        balancer.upsert(&format!("t{target}"), spec);
    }
    balancer
}

fn criteria(items_ahead: u32, last_start_at: Option<Instant>) -> Criteria<'static> {
    Criteria {
        service: "s",
        data_centre: "d",
        affinity: 0,
        tried: &[],
        objective: None,
        ahead: Ahead {
            items: items_ahead,
            last_start_at,
        },
        version: None,
    }
}

#[test]
fn free_slots_are_left_to_earlier_items() {
    let now = Instant::now();
    let mut balancer = balancer(1, 3, 0);
    assert_eq!(balancer.choose_batch(&criteria(3, None), now), None);
    assert!(balancer.choose_batch(&criteria(2, None), now).is_some());
}

/// Otherwise a frozen host with earlier items would block all others.
#[test]
fn unclaimed_slots_are_used_after_timeout() {
    let now = Instant::now();
    let mut balancer = balancer(1, 3, 0);
    let later = now + Duration::from_millis(40);
    assert_eq!(balancer.choose_batch(&criteria(9, None), now), None);
    assert!(balancer.choose_batch(&criteria(9, None), later).is_some());
}

/// At the end of a burst, other hosts must not take slots while the hosts with earlier items are
/// still taking theirs.
#[test]
fn slots_are_not_unclaimed_while_earlier_items_start() {
    let now = Instant::now();
    let mut balancer = balancer(1, 3, 0);
    let later = now + Duration::from_millis(40);
    assert_eq!(balancer.choose_batch(&criteria(9, None), now), None);
    assert_eq!(
        balancer.choose_batch(&criteria(9, Some(later)), later),
        None
    );
}

/// The reserve always keeps slots free, which must not count as unclaimed.
#[test]
fn reserved_slots_are_not_unclaimed() {
    let now = Instant::now();
    let mut balancer = balancer(2, 2, 1);
    let earlier = now;
    for online in 0..3 {
        balancer.begin_online(&format!("t{}", online % 2), now);
    }
    assert_eq!(balancer.choose_batch(&criteria(1, None), earlier), None);
    balancer.end_online("t0");
    balancer.end_online("t0");
    let later = now + SECOND;
    // Three slots are available now, but only since this call.
    assert_eq!(balancer.choose_batch(&criteria(5, None), later), None);
}

#[rstest]
#[case::none(0, 15)]
#[case::some(4, 10)]
#[case::many(9, 4)]
fn reserve_is_shared_and_follows_online_load(#[case] online: u32, #[case] items: u32) {
    let now = Instant::now();
    let mut balancer = balancer(4, 4, 1);
    for request in 0..online {
        balancer.begin_online(&format!("t{}", request % 4), now);
    }
    let mut started = 0;
    while let Some(target) = balancer.choose_batch(&criteria(0, None), now) {
        balancer.begin_batch(&target);
        started += 1;
    }
    assert_eq!(started, items);
}

/// With the cooldown of targets filled by online requests, a sixth of all slots was idle while
/// items were waiting in a simulation.
#[test]
fn target_filled_by_items_has_no_cooldown() {
    let now = Instant::now();
    let mut balancer = balancer(1, 2, 0);
    balancer.begin_batch("t0");
    let peer = Load {
        online: 0,
        batch: 1,
    };
    balancer.set_peer_loads("a2", [(key_of("t0"), peer)], vec![], now);
    assert_eq!(balancer.choose_batch(&criteria(0, None), now), None);
    balancer.end_batch("t0");
    assert!(balancer.choose_batch(&criteria(0, None), now).is_some());
}

#[test]
fn slot_usage_excludes_queues_and_leaving_targets() {
    let now = Instant::now();
    let mut balancer = balancer(2, 2, 0);
    for _ in 0..5 {
        balancer.begin_online("t0", now);
    }
    assert_eq!(balancer.slot_usage(), (2, 4));
    let leaving = Spec {
        is_leaving: true,
        ..balancer.spec("t0").unwrap().clone()
    };
    balancer.upsert("t0", leaving);
    assert_eq!(balancer.slot_usage(), (0, 2));
}

/// Returns an estimator trained with items whose hints are given by a function of their length.
fn trained(hint_for: impl Fn(u64) -> u32) -> Estimator {
    let mut estimator = Estimator::default();
    for round in 0..400 {
        let events = 50 + (round * 37) % 100;
        estimator.record_run(
            events,
            Duration::from_millis(20) * u32::try_from(events).unwrap(),
        );
        estimator.record_completion(hinted(hint_for(events)), events);
    }
    estimator
}

fn hinted(tokens: u32) -> Size {
    Size {
        output_tokens_hint: tokens,
        ..Size::default()
    }
}

#[test]
fn remaining_duration_decreases_with_each_event() {
    let estimator = trained(|_| 500);
    let remaining = |events| estimator.remaining(Size::default(), events).unwrap();
    assert!(remaining(0) > remaining(40) && remaining(40) > remaining(80));
    assert!(
        remaining(10_000) > Duration::ZERO,
        "The item may end at any time, but not immediately."
    );
    assert!(
        remaining(0) > Duration::from_millis(1_400) && remaining(0) < Duration::from_millis(2_600)
    );
}

#[test]
fn hints_are_weighted_by_accuracy() {
    let accurate = trained(|events| u32::try_from(events * 6).unwrap());
    let estimate =
        |estimator: &Estimator, hint| estimator.remaining(hinted(hint), 0).unwrap().as_secs_f64();
    assert!(estimate(&accurate, 840) > 1.8 * estimate(&accurate, 360));
    let inaccurate = trained(|events| if events % 2 == 0 { 200 } else { 2_000 });
    assert!(estimate(&inaccurate, 840) < 1.2 * estimate(&inaccurate, 360));
}

/// Sizes are untrusted: none may delay an item indefinitely or let it bypass others.
#[rstest]
#[case::none(Size::default())]
#[case::zero_maximum(Size { output_tokens_max: 0, ..hinted(600) })]
#[case::huge(hinted(u32::MAX))]
#[case::tiny(hinted(1))]
#[case::beyond_the_maximum(Size { output_tokens_max: 10, ..hinted(u32::MAX) })]
fn missing_or_extreme_size_keeps_estimate_within_bounds(#[case] size: Size) {
    let estimator = trained(|events| u32::try_from(events * 6).unwrap());
    let remaining = estimator.remaining(size, 0).unwrap();
    let typical = estimator.remaining(Size::default(), 0).unwrap();
    assert!(
        remaining >= typical / 4 && remaining <= typical * 4,
        "{remaining:?} {typical:?}"
    );
}

/// With one estimator for all kinds, short items seemed long and were considered late too early.
#[test]
fn kinds_are_estimated_separately() {
    let mut estimators = Estimators::default();
    for _ in 0..50 {
        for (kind, events) in [("short", 20), ("long", 400)] {
            let estimator = estimators.kind_mut(kind);
            estimator.record_run(events, SECOND);
            estimator.record_completion(Size::default(), events);
        }
    }
    for kind in ["short", "long"] {
        let remaining = estimators.remaining(kind, Size::default(), 0).unwrap();
        assert!(
            remaining.abs_diff(SECOND) < SECOND / 10,
            "{kind}: {remaining:?}"
        );
    }
    assert_eq!(estimators.remaining("other", Size::default(), 0), None);
}

#[test]
fn no_estimate_before_first_completed_item() {
    let mut estimator = Estimator::default();
    assert_eq!(estimator.remaining(hinted(600), 0), None);
    estimator.record_completion(Size::default(), 0);
    assert_eq!(
        estimator.remaining(Size::default(), 0),
        None,
        "The time per event is unknown."
    );
}
