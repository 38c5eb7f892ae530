//! The order of requests that wait, and what of it one host decides.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::time::Duration;
use std::time::Instant;

use notchwharf_waiting::Assignment;
use notchwharf_waiting::FreeSlots;
use notchwharf_waiting::Request;
use notchwharf_waiting::RequestSummary;
use notchwharf_waiting::RetrySchedule;
use notchwharf_waiting::SlotUsage;
use notchwharf_waiting::StartDecision;
use notchwharf_waiting::WaitQueue;
use notchwharf_waiting::WorkspaceUsage;
use proptest::prelude::*;
use rstest::rstest;

const SERVICE: u32 = 1;
const CHOIR: u32 = 10;
const BAND: u32 = 11;
const T1: u32 = 21;
const MS: Duration = Duration::from_millis(1);

fn request(workspace: u32, priority: u8, waiting_since: Instant) -> Request {
    Request {
        service: SERVICE,
        workspace,
        priority,
        waiting_since,
        start_deadline: waiting_since + 200 * MS,
    }
}

fn told(priority: u8, overuse_level: u8, age_ms: u32) -> RequestSummary {
    RequestSummary {
        service: SERVICE,
        priority,
        overuse_level,
        age: age_ms * MS,
    }
}

fn open(places: u32) -> Vec<FreeSlots> {
    let one = FreeSlots {
        target: T1,
        count: places,
    };
    (places > 0).then_some(one).into_iter().collect()
}

/// Returns shares in which a workspace holds so many places, and others one each.
fn holding(places: u32) -> SlotUsage {
    let mut shares = SlotUsage::default();
    (0..places).for_each(|_| shares.acquire(CHOIR, 10.0));
    (100..120).for_each(|workspace| shares.acquire(workspace, 10.0));
    shares
}

#[rstest]
#[case::the_more_urgent_first((1, CHOIR, 9), (0, BAND, 0), 1)]
#[case::then_who_does_not_exceed_its_part((0, CHOIR, 9), (0, BAND, 0), 1)]
#[case::then_the_older((0, BAND, 0), (0, BAND, 9), 1)]
#[case::urgency_before_parts((0, CHOIR, 0), (1, BAND, 9), 0)]
fn requests_are_ordered(
    #[case] one: (u8, u32, u32),
    #[case] other: (u8, u32, u32),
    #[case] first: usize,
) {
    let now = Instant::now();
    let shares = holding(12);
    let mut line = WaitQueue::default();
    let tickets = [one, other].map(|(priority, workspace, age_ms)| {
        let since = now - age_ms * MS;
        line.enqueue(request(workspace, priority, since), now)
    });
    assert_eq!(line.first(SERVICE, &shares).unwrap().ticket, tickets[first]);
    assert_eq!(line.first(SERVICE + 1, &shares), None);
}

#[rstest]
#[case::more_places_than_requests_before_it(3, &[5, 4], 5, StartDecision::Any)]
#[case::as_many(2, &[5, 4], 5, StartDecision::Wait)]
#[case::none(0, &[], 5, StartDecision::Wait)]
#[case::younger_ones_do_not_count(1, &[1, 1], 5, StartDecision::Any)]
#[case::not_known_to_others_yet(1, &[], 0, StartDecision::Wait)]
#[case::room_for_all_that_may_come(8, &[], 0, StartDecision::Any)]
fn a_place_is_left_to_those_before(
    #[case] places: u32,
    #[case] peers_ms: &[u32],
    #[case] age_ms: u32,
    #[case] begin: StartDecision,
) {
    let now = Instant::now();
    let mut line = WaitQueue::default();
    let entered = now - age_ms * MS;
    line.enqueue(request(CHOIR, 0, now - 3 * MS), entered);
    let peers: Vec<RequestSummary> = peers_ms.iter().map(|age| told(0, 0, *age)).collect();
    line.update_peer("a2", &peers, &[], now);
    let shares = SlotUsage::default();
    let first = line.first(SERVICE, &shares).unwrap();
    assert_eq!(line.may_start(&first, &open(places), 100.0, now), begin);
}

#[test]
fn a_place_that_nobody_takes_is_not_left_for_long() {
    let now = Instant::now();
    let mut line = WaitQueue::default();
    line.enqueue(request(CHOIR, 0, now), now);
    line.update_peer("a2", &[told(0, 0, 50)], &[], now);
    let shares = SlotUsage::default();
    let first = line.first(SERVICE, &shares).unwrap();
    for (after_ms, begin) in [
        (0, StartDecision::Wait),
        (7, StartDecision::Wait),
        (8, StartDecision::At(T1)),
    ] {
        let at = now + after_ms * MS;
        assert_eq!(line.may_start(&first, &open(1), 100.0, at), begin);
    }
    // Taken and free again, it is left anew.
    let later = now + 9 * MS;
    assert_eq!(
        line.may_start(&first, &[], 100.0, later),
        StartDecision::Wait
    );
    assert_eq!(
        line.may_start(&first, &open(1), 100.0, later),
        StartDecision::Wait
    );
}

#[test]
fn who_frees_a_place_hands_it_to_the_first_over_all_hosts() {
    let now = Instant::now();
    let (mut line, shares) = (WaitQueue::default(), SlotUsage::default());
    let ticket = line.enqueue(request(CHOIR, 0, now - 20 * MS), now);
    line.update_peer("a2", &[told(0, 0, 40), told(0, 0, 10)], &[], now);
    line.update_peer("a3", &[told(0, 0, 30)], &[], now);
    let mut next = || line.assign_freed(SERVICE, T1, &shares, now).unwrap();
    assert_eq!(next(), Assignment::Peer("a2".into()));
    // What was handed over counts as served, though nobody has told so yet.
    assert_eq!(next(), Assignment::Peer("a3".into()));
    let Assignment::Local(first) = next() else {
        panic!("It is this host's turn.");
    };
    assert_eq!(first.ticket, ticket);
    assert_eq!(line.recent_transfers(now), [T1]);
    // The word was lost: after a moment it is handed over again.
    let later = now + 10 * MS;
    assert_eq!(
        line.assign_freed(SERVICE, T1, &shares, later),
        Some(Assignment::Peer("a2".into()))
    );
}

#[test]
fn a_place_that_was_handed_over_is_not_free_for_others() {
    let now = Instant::now();
    let (mut line, shares) = (WaitQueue::default(), SlotUsage::default());
    line.enqueue(request(CHOIR, 0, now), now - 10 * MS);
    let first = line.first(SERVICE, &shares).unwrap();
    line.update_peer("a2", &[], &[T1], now);
    assert_eq!(
        line.may_start(&first, &open(1), 100.0, now),
        StartDecision::Wait
    );
    let later = now + 7 * MS;
    assert_eq!(
        line.may_start(&first, &open(1), 100.0, later),
        StartDecision::Any
    );
    // Handed over once more, though nobody looked at the line meanwhile.
    line.update_peer("a2", &[], &[T1], later);
    let again = later + 7 * MS;
    line.update_peer("a2", &[], &[T1], again);
    assert_eq!(line.reserved(T1, again), 1);
}

/// A peer that is down, or says that nothing waits there, holds nobody up; what it told
/// twice counts once.
#[test]
fn what_a_peer_tells_replaces_what_it_told() {
    let now = Instant::now();
    let mut line = WaitQueue::default();
    line.enqueue(request(CHOIR, 0, now), now - 10 * MS);
    let shares = SlotUsage::default();
    let first = line.first(SERVICE, &shares).unwrap();
    let begin = |line: &mut WaitQueue| line.may_start(&first, &open(2), 100.0, now);
    line.update_peer("a2", &[told(0, 0, 50)], &[], now);
    line.update_peer("a2", &[told(0, 0, 50)], &[], now);
    assert_eq!(begin(&mut line), StartDecision::Any);
    line.update_peer("a2", &[told(0, 0, 50), told(0, 0, 40)], &[], now);
    assert_eq!(begin(&mut line), StartDecision::Wait);
    assert!(line.update_peer("a2", &[], &[], now));
    assert_eq!(begin(&mut line), StartDecision::Any);
    line.update_peer("a2", &[told(0, 0, 50), told(0, 0, 40)], &[], now);
    line.remove_peer("a2");
    assert_eq!(begin(&mut line), StartDecision::Any);
}

#[rstest]
#[case::in_time(8, 0, false)]
#[case::unlikely_and_told_at_once(25, 0, true)]
#[case::let_in_and_still_in_time(15, 20, false)]
#[case::its_time_is_over(0, 200, true)]
fn what_cannot_begin_in_time_is_late(
    #[case] before: usize,
    #[case] waited_ms: u32,
    #[case] is_late: bool,
) {
    let came = Instant::now();
    let mut line = WaitQueue::default();
    line.enqueue(request(CHOIR, 0, came), came);
    line.update_peer("a2", &vec![told(0, 0, 50); before], &[], came);
    let now = came + waited_ms * MS;
    // Ten milliseconds for each place.
    let expected = line.estimate_starts(SERVICE, 100.0, &SlotUsage::default(), now);
    assert_eq!(expected[0].ahead as usize, before);
    assert_eq!(expected[0].is_late, is_late);
}

#[rstest]
#[case::zero(0.0)]
#[case::negative(-5.0)]
#[case::no_number(f64::NAN)]
#[case::huge(f64::INFINITY)]
fn unsound_weights_count_as_the_least_or_the_greatest(#[case] weight: f64) {
    let mut shares = SlotUsage::default();
    (0..5).for_each(|_| shares.acquire(CHOIR, weight));
    shares.acquire(BAND, 10.0);
    assert!(shares.overuse_level(CHOIR) <= 4);
    assert_eq!(shares.overuse_level(BAND), 0);
    (0..5).for_each(|_| shares.release(CHOIR));
    // A workspace that is gone holds nothing, and what ends twice does no harm.
    shares.release(CHOIR);
    assert_eq!(shares.slots_in_use(CHOIR), 0);
    assert_eq!(shares.overuse_level(CHOIR), 0);
}

#[test]
fn those_who_are_refused_come_back_one_after_the_other() {
    let now = Instant::now();
    let mut turns = RetrySchedule::default();
    let mut last = Duration::ZERO;
    for _ in 0..5 {
        let turn = turns.next_retry_after(100 * MS, 160.0, 20, now);
        assert!(turn >= 100 * MS && turn > last, "{turn:?}");
        last = turn;
    }
    // Ten hosts' worth of drain in 250 ms for each host: half of it for those who return.
    assert_eq!(last, 1_100 * MS);
    // Nobody knows how fast places fall free: still not all at once.
    let mut unknown = RetrySchedule::default();
    let first = unknown.next_retry_after(Duration::ZERO, f64::INFINITY, 20, now);
    assert!(unknown.next_retry_after(Duration::ZERO, f64::INFINITY, 20, now) > first);
    assert!(unknown.next_retry_after(Duration::MAX, 0.0, 20, now) <= Duration::from_secs(3));
}

proptest! {
    /// Whatever hosts tell in whatever order, the sums are those of their last words.
    #[test]
    fn places_held_add_up(words in prop::collection::vec((0u8..4, 0u32..5, 0u32..9), 0..60)) {
        let mut shares = SlotUsage::default();
        let mut last = [[0u32; 5]; 4];
        for (host, workspace, places) in words {
            let host = usize::from(host);
            last[host] = [0; 5];
            let mut held = Vec::new();
            if places > 0 {
                last[host][workspace as usize] = places;
                held.push(WorkspaceUsage { workspace, weight: 2.0, slots: places });
            }
            shares.update_peer(&host.to_string(), held);
        }
        for workspace in 0..5 {
            let sum: u32 = last.iter().map(|held| held[workspace as usize]).sum();
            prop_assert_eq!(shares.slots_in_use(workspace), sum);
        }
        for host in 0..4 {
            shares.remove_peer(&host.to_string());
        }
        for workspace in 0..5 {
            prop_assert_eq!(shares.slots_in_use(workspace), 0);
            prop_assert_eq!(shares.overuse_level(workspace), 0);
        }
    }
}
