//! The order of requests that wait, and what of it one host decides.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::time::Duration;
use std::time::Instant;

use notchwharf_waiting::Begin;
use notchwharf_waiting::Held;
use notchwharf_waiting::Line;
use notchwharf_waiting::Next;
use notchwharf_waiting::Open;
use notchwharf_waiting::Request;
use notchwharf_waiting::Shares;
use notchwharf_waiting::Told;
use notchwharf_waiting::Turns;
use proptest::prelude::*;
use rstest::rstest;

const SERVICE: u32 = 1;
const CHOIR: u32 = 10;
const BAND: u32 = 11;
const T1: u32 = 21;
const MS: Duration = Duration::from_millis(1);

fn request(workspace: u32, priority: u8, since: Instant) -> Request {
    Request {
        service: SERVICE,
        workspace,
        priority,
        since,
        latest: since + 200 * MS,
    }
}

fn told(priority: u8, level: u8, age_ms: u32) -> Told {
    Told {
        service: SERVICE,
        priority,
        level,
        age: age_ms * MS,
    }
}

fn open(places: u32) -> Vec<Open> {
    let one = Open { target: T1, places };
    (places > 0).then_some(one).into_iter().collect()
}

/// Returns shares in which a workspace holds so many places, and others one each.
fn holding(places: u32) -> Shares {
    let mut shares = Shares::default();
    (0..places).for_each(|_| shares.begin(CHOIR, 10.0));
    (100..120).for_each(|workspace| shares.begin(workspace, 10.0));
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
    let mut line = Line::default();
    let tickets = [one, other].map(|(priority, workspace, age_ms)| {
        let since = now - age_ms * MS;
        line.enter(request(workspace, priority, since), now)
    });
    assert_eq!(line.first(SERVICE, &shares).unwrap().ticket, tickets[first]);
    assert_eq!(line.first(SERVICE + 1, &shares), None);
}

#[rstest]
#[case::more_places_than_requests_before_it(3, &[5, 4], 5, Begin::Any)]
#[case::as_many(2, &[5, 4], 5, Begin::Wait)]
#[case::none(0, &[], 5, Begin::Wait)]
#[case::younger_ones_do_not_count(1, &[1, 1], 5, Begin::Any)]
#[case::not_known_to_others_yet(1, &[], 0, Begin::Wait)]
#[case::room_for_all_that_may_come(8, &[], 0, Begin::Any)]
fn a_place_is_left_to_those_before(
    #[case] places: u32,
    #[case] peers_ms: &[u32],
    #[case] age_ms: u32,
    #[case] begin: Begin,
) {
    let now = Instant::now();
    let mut line = Line::default();
    let entered = now - age_ms * MS;
    line.enter(request(CHOIR, 0, now - 3 * MS), entered);
    let peers: Vec<Told> = peers_ms.iter().map(|age| told(0, 0, *age)).collect();
    line.tell("a2", &peers, &[], now);
    let shares = Shares::default();
    let first = line.first(SERVICE, &shares).unwrap();
    assert_eq!(line.may_begin(&first, &open(places), 100.0, now), begin);
}

#[test]
fn a_place_that_nobody_takes_is_not_left_for_long() {
    let now = Instant::now();
    let mut line = Line::default();
    line.enter(request(CHOIR, 0, now), now);
    line.tell("a2", &[told(0, 0, 50)], &[], now);
    let shares = Shares::default();
    let first = line.first(SERVICE, &shares).unwrap();
    for (after_ms, begin) in [(0, Begin::Wait), (7, Begin::Wait), (8, Begin::At(T1))] {
        let at = now + after_ms * MS;
        assert_eq!(line.may_begin(&first, &open(1), 100.0, at), begin);
    }
    // Taken and free again, it is left anew.
    let later = now + 9 * MS;
    assert_eq!(line.may_begin(&first, &[], 100.0, later), Begin::Wait);
    assert_eq!(line.may_begin(&first, &open(1), 100.0, later), Begin::Wait);
}

#[test]
fn who_frees_a_place_hands_it_to_the_first_over_all_hosts() {
    let now = Instant::now();
    let (mut line, shares) = (Line::default(), Shares::default());
    let ticket = line.enter(request(CHOIR, 0, now - 20 * MS), now);
    line.tell("a2", &[told(0, 0, 40), told(0, 0, 10)], &[], now);
    line.tell("a3", &[told(0, 0, 30)], &[], now);
    let mut next = || line.next(SERVICE, T1, &shares, now).unwrap();
    assert_eq!(next(), Next::Peer("a2".into()));
    // What was handed over counts as served, though nobody has told so yet.
    assert_eq!(next(), Next::Peer("a3".into()));
    let Next::Own(first) = next() else {
        panic!("It is this host's turn.");
    };
    assert_eq!(first.ticket, ticket);
    assert_eq!(line.handed(now), [T1]);
    // The word was lost: after a moment it is handed over again.
    let later = now + 10 * MS;
    assert_eq!(
        line.next(SERVICE, T1, &shares, later),
        Some(Next::Peer("a2".into()))
    );
}

#[test]
fn a_place_that_was_handed_over_is_not_free_for_others() {
    let now = Instant::now();
    let (mut line, shares) = (Line::default(), Shares::default());
    line.enter(request(CHOIR, 0, now), now - 10 * MS);
    let first = line.first(SERVICE, &shares).unwrap();
    line.tell("a2", &[], &[T1], now);
    assert_eq!(line.may_begin(&first, &open(1), 100.0, now), Begin::Wait);
    let later = now + 7 * MS;
    assert_eq!(line.may_begin(&first, &open(1), 100.0, later), Begin::Any);
    // Handed over once more, though nobody looked at the line meanwhile.
    line.tell("a2", &[], &[T1], later);
    let again = later + 7 * MS;
    line.tell("a2", &[], &[T1], again);
    assert_eq!(line.promised(T1, again), 1);
}

/// A peer that is down, or says that nothing waits there, holds nobody up; what it told
/// twice counts once.
#[test]
fn what_a_peer_tells_replaces_what_it_told() {
    let now = Instant::now();
    let mut line = Line::default();
    line.enter(request(CHOIR, 0, now), now - 10 * MS);
    let shares = Shares::default();
    let first = line.first(SERVICE, &shares).unwrap();
    let begin = |line: &mut Line| line.may_begin(&first, &open(2), 100.0, now);
    line.tell("a2", &[told(0, 0, 50)], &[], now);
    line.tell("a2", &[told(0, 0, 50)], &[], now);
    assert_eq!(begin(&mut line), Begin::Any);
    line.tell("a2", &[told(0, 0, 50), told(0, 0, 40)], &[], now);
    assert_eq!(begin(&mut line), Begin::Wait);
    assert!(line.tell("a2", &[], &[], now));
    assert_eq!(begin(&mut line), Begin::Any);
    line.tell("a2", &[told(0, 0, 50), told(0, 0, 40)], &[], now);
    line.forget("a2");
    assert_eq!(begin(&mut line), Begin::Any);
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
    let mut line = Line::default();
    line.enter(request(CHOIR, 0, came), came);
    line.tell("a2", &vec![told(0, 0, 50); before], &[], came);
    let now = came + waited_ms * MS;
    // Ten milliseconds for each place.
    let expected = line.expect(SERVICE, 100.0, &Shares::default(), now);
    assert_eq!(expected[0].ahead as usize, before);
    assert_eq!(expected[0].is_late, is_late);
}

#[rstest]
#[case::zero(0.0)]
#[case::negative(-5.0)]
#[case::no_number(f64::NAN)]
#[case::huge(f64::INFINITY)]
fn unsound_weights_count_as_the_least_or_the_greatest(#[case] weight: f64) {
    let mut shares = Shares::default();
    (0..5).for_each(|_| shares.begin(CHOIR, weight));
    shares.begin(BAND, 10.0);
    assert!(shares.level(CHOIR) <= 4);
    assert_eq!(shares.level(BAND), 0);
    (0..5).for_each(|_| shares.end(CHOIR));
    // A workspace that is gone holds nothing, and what ends twice does no harm.
    shares.end(CHOIR);
    assert_eq!(shares.held(CHOIR), 0);
    assert_eq!(shares.level(CHOIR), 0);
}

#[test]
fn those_who_are_refused_come_back_one_after_the_other() {
    let now = Instant::now();
    let mut turns = Turns::default();
    let mut last = Duration::ZERO;
    for _ in 0..5 {
        let turn = turns.next(100 * MS, 160.0, 20, now);
        assert!(turn >= 100 * MS && turn > last, "{turn:?}");
        last = turn;
    }
    // Ten hosts' worth of drain in 250 ms for each host: half of it for those who return.
    assert_eq!(last, 1_100 * MS);
    // Nobody knows how fast places fall free: still not all at once.
    let mut unknown = Turns::default();
    let first = unknown.next(Duration::ZERO, f64::INFINITY, 20, now);
    assert!(unknown.next(Duration::ZERO, f64::INFINITY, 20, now) > first);
    assert!(unknown.next(Duration::MAX, 0.0, 20, now) <= Duration::from_secs(3));
}

proptest! {
    /// Whatever hosts tell in whatever order, the sums are those of their last words.
    #[test]
    fn places_held_add_up(words in prop::collection::vec((0u8..4, 0u32..5, 0u32..9), 0..60)) {
        let mut shares = Shares::default();
        let mut last = [[0u32; 5]; 4];
        for (host, workspace, places) in words {
            let host = usize::from(host);
            last[host] = [0; 5];
            let mut held = Vec::new();
            if places > 0 {
                last[host][workspace as usize] = places;
                held.push(Held { workspace, weight: 2.0, places });
            }
            shares.tell(&host.to_string(), held);
        }
        for workspace in 0..5 {
            let sum: u32 = last.iter().map(|held| held[workspace as usize]).sum();
            prop_assert_eq!(shares.held(workspace), sum);
        }
        for host in 0..4 {
            shares.forget(&host.to_string());
        }
        for workspace in 0..5 {
            prop_assert_eq!(shares.held(workspace), 0);
            prop_assert_eq!(shares.level(workspace), 0);
        }
    }
}
