//! The order of items, turns, and how long items take.
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

fn waiting(due_unix_ms: u64, items: u32) -> QueuedItems {
    QueuedItems { due_unix_ms, items }
}

#[test]
fn items_due_first_come_first_and_late_ones_last_in_their_order() {
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
fn an_item_that_is_late_behind_one_that_is_not_is_judged_at_the_head() {
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
#[case::all_apart(3, &[waiting(100, 2), waiting(200, 1), waiting(300, 1)])]
#[case::the_rest_with_the_last(2, &[waiting(100, 2), waiting(200, 2)])]
#[case::all_as_one(1, &[waiting(100, 4)])]
fn what_waits_is_told_by_when_it_is_due(#[case] times_max: usize, #[case] told: &[QueuedItems]) {
    let mut queue = Queue::default();
    for (key, due) in [100, 100, 200, 300].into_iter().enumerate() {
        queue.push(due, key, key);
    }
    assert_eq!(queue.summary(times_max), told);
}

#[test]
fn what_waits_is_told_right_whatever_came_and_went() {
    let mut queue = Queue::default();
    for key in 0..8 {
        queue.push(100 + key / 4, key, key);
    }
    queue.push(100, 0, 0);
    assert_eq!(queue.summary(2), [waiting(100, 4), waiting(101, 4)]);
    queue.pop();
    queue.retain(|key| key % 3 != 2);
    assert_eq!(queue.summary(2), [waiting(100, 2), waiting(101, 3)]);
    queue.demote_late(|key| *key < 4);
    assert_eq!(queue.summary(2), [waiting(101, 3)]);
    while queue.pop().is_some() {}
    assert_eq!(queue.summary(2), []);
}

#[test]
fn items_that_are_not_wanted_are_dropped_late_or_not() {
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
fn only_what_is_due_before_counts_as_ahead() {
    let now = Instant::now();
    let mut line = PeerQueues::default();
    line.update("a2", vec![waiting(100, 2), waiting(500, 4)], now);
    line.update("a3", vec![waiting(300, 1)], now);
    let counts = [50, 100, 101, 400, 501].map(|due| line.ahead(due).items);
    assert_eq!(counts, [0, 0, 2, 3, 7]);
    line.update("a2", vec![], now);
    assert_eq!(line.ahead(u64::MAX).items, 1);
}

#[test]
fn a_host_moves_when_less_waits_there() {
    let now = Instant::now();
    let mut line = PeerQueues::default();
    line.update("a2", vec![waiting(100, 3)], now);
    line.update("a2", vec![waiting(100, 5)], now + SECOND);
    assert_eq!(line.ahead(200).last_start_at, None);
    line.update("a2", vec![waiting(100, 4)], now + 2 * SECOND);
    line.update("a2", vec![waiting(100, 4)], now + 3 * SECOND);
    assert_eq!(line.ahead(200).last_start_at, Some(now + 2 * SECOND));
    assert_eq!(line.ahead(100), Ahead::default());
}

fn places(targets: u32, slots: u32, reserve: u32) -> Balancer {
    let cfg = Config {
        reserve,
        ..Config::default()
    };
    let mut places = Balancer::new(cfg, 7);
    for target in 0..targets {
        let spec = Spec {
            service: "s".into(),
            data_centre: "d".into(),
            slots,
            ..Spec::default()
        };
        places.upsert(&format!("t{target}"), spec);
    }
    places
}

fn want(items_ahead: u32, moved_at: Option<Instant>) -> Criteria<'static> {
    Criteria {
        service: "s",
        data_centre: "d",
        affinity: 0,
        tried: &[],
        objective: None,
        ahead: Ahead {
            items: items_ahead,
            last_start_at: moved_at,
        },
    }
}

#[test]
fn free_places_are_left_to_as_many_items_as_come_first() {
    let now = Instant::now();
    let mut places = places(1, 3, 0);
    assert_eq!(places.choose_batch(&want(3, None), now), None);
    assert!(places.choose_batch(&want(2, None), now).is_some());
}

/// A host that was frozen in its turn would have held all others up.
#[test]
fn places_that_nobody_takes_are_left_over() {
    let now = Instant::now();
    let mut places = places(1, 3, 0);
    let later = now + Duration::from_millis(40);
    assert_eq!(places.choose_batch(&want(9, None), now), None);
    assert!(places.choose_batch(&want(9, None), later).is_some());
}

/// At a burst's end all others took what the host whose turn it was had not
/// come to yet (scale-1).
#[test]
fn places_are_not_left_over_while_those_ahead_take_theirs() {
    let now = Instant::now();
    let mut places = places(1, 3, 0);
    let later = now + Duration::from_millis(40);
    assert_eq!(places.choose_batch(&want(9, None), now), None);
    assert_eq!(places.choose_batch(&want(9, Some(later)), later), None);
}

/// The reserve keeps places free at all times: they counted as left over.
#[test]
fn places_of_the_reserve_are_not_left_over() {
    let now = Instant::now();
    let mut places = places(2, 2, 1);
    let long_ago = now;
    for online in 0..3 {
        places.begin_online(&format!("t{}", online % 2), now);
    }
    assert_eq!(places.choose_batch(&want(1, None), long_ago), None);
    places.end_online("t0");
    places.end_online("t0");
    let later = now + SECOND;
    // Three places are open now, but only since this look.
    assert_eq!(places.choose_batch(&want(5, None), later), None);
}

#[rstest]
#[case::none(0, 15)]
#[case::some(4, 10)]
#[case::many(9, 4)]
fn the_reserve_is_shared_and_follows_the_online_load(#[case] online: u32, #[case] items: u32) {
    let now = Instant::now();
    let mut places = places(4, 4, 1);
    for request in 0..online {
        places.begin_online(&format!("t{}", request % 4), now);
    }
    let mut started = 0;
    while let Some(target) = places.choose_batch(&want(0, None), now) {
        places.begin_batch(&target);
        started += 1;
    }
    assert_eq!(started, items);
}

/// Rested as one that online requests had filled, it stood idle while items
/// waited (a sixth of all places in scale-1).
#[test]
fn a_target_that_items_have_filled_does_not_rest() {
    let now = Instant::now();
    let mut places = places(1, 2, 0);
    places.begin_batch("t0");
    let peer = Load {
        online: 0,
        batch: 1,
    };
    places.set_peer_loads("a2", [(key_of("t0"), peer)], vec![], now);
    assert_eq!(places.choose_batch(&want(0, None), now), None);
    places.end_batch("t0");
    assert!(places.choose_batch(&want(0, None), now).is_some());
}

#[test]
fn places_in_use_leave_out_queues_and_targets_that_leave() {
    let now = Instant::now();
    let mut places = places(2, 2, 0);
    for _ in 0..5 {
        places.begin_online("t0", now);
    }
    assert_eq!(places.slot_usage(), (2, 4));
    let leaving = Spec {
        is_leaving: true,
        ..places.spec("t0").unwrap().clone()
    };
    places.upsert("t0", leaving);
    assert_eq!(places.slot_usage(), (0, 2));
}

/// Returns what is learned from items whose lengths go along with their hints,
/// or don't.
fn learned(hint_of: impl Fn(u64) -> u32) -> Estimator {
    let mut usual = Estimator::default();
    for round in 0..400 {
        let events = 50 + (round * 37) % 100;
        usual.record_run(
            events,
            Duration::from_millis(20) * u32::try_from(events).unwrap(),
        );
        usual.record_completion(hinted(hint_of(events)), events);
    }
    usual
}

fn hinted(tokens: u32) -> Size {
    Size {
        output_tokens_hint: tokens,
        ..Size::default()
    }
}

#[test]
fn what_is_left_of_an_item_shrinks_with_each_event() {
    let usual = learned(|_| 500);
    let rest = |events| usual.remaining(Size::default(), events).unwrap();
    assert!(rest(0) > rest(40) && rest(40) > rest(80));
    assert!(
        rest(10_000) > Duration::ZERO,
        "It may end any time, not at once."
    );
    assert!(rest(0) > Duration::from_millis(1_400) && rest(0) < Duration::from_millis(2_600));
}

#[test]
fn hints_count_as_far_as_they_were_right() {
    let right = learned(|events| u32::try_from(events * 6).unwrap());
    let told = |usual: &Estimator, hint| usual.remaining(hinted(hint), 0).unwrap().as_secs_f64();
    assert!(told(&right, 840) > 1.8 * told(&right, 360));
    let noise = learned(|events| if events % 2 == 0 { 200 } else { 2_000 });
    assert!(told(&noise, 840) < 1.2 * told(&noise, 360));
}

/// Sizes come from callers: none of them may starve an item or let it through.
#[rstest]
#[case::none(Size::default())]
#[case::zero_longest(Size { output_tokens_max: 0, ..hinted(600) })]
#[case::huge(hinted(u32::MAX))]
#[case::tiny(hinted(1))]
#[case::beyond_the_longest(Size { output_tokens_max: 10, ..hinted(u32::MAX) })]
fn a_size_that_is_missing_or_absurd_is_taken_as_usual_within_bounds(#[case] size: Size) {
    let usual = learned(|events| u32::try_from(events * 6).unwrap());
    let rest = usual.remaining(size, 0).unwrap();
    let typical = usual.remaining(Size::default(), 0).unwrap();
    assert!(
        rest >= typical / 4 && rest <= typical * 4,
        "{rest:?} {typical:?}"
    );
}

/// Pooled, short items beside long ones looked long, and late too early.
#[test]
fn short_items_are_not_judged_by_long_ones_of_another_kind() {
    let mut kinds = Estimators::default();
    for _ in 0..50 {
        for (kind, events) in [("short", 20), ("long", 400)] {
            let usual = kinds.kind_mut(kind);
            usual.record_run(events, SECOND);
            usual.record_completion(Size::default(), events);
        }
    }
    for kind in ["short", "long"] {
        let rest = kinds.remaining(kind, Size::default(), 0).unwrap();
        assert!(rest.abs_diff(SECOND) < SECOND / 10, "{kind}: {rest:?}");
    }
    assert_eq!(kinds.remaining("other", Size::default(), 0), None);
}

#[test]
fn nothing_is_said_of_items_before_one_has_ended() {
    let mut usual = Estimator::default();
    assert_eq!(usual.remaining(hinted(600), 0), None);
    usual.record_completion(Size::default(), 0);
    assert_eq!(
        usual.remaining(Size::default(), 0),
        None,
        "The pace is not known."
    );
}
