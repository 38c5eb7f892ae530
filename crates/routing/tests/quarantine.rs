//! Requests under which targets crash: what is decided on which evidence, and what
//! fleets of 12 to 300 hosts make of it in virtual time.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod simulation;

use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::quarantine::Change;
use notchwharf_routing::quarantine::Crash;
use notchwharf_routing::quarantine::Decision;
use notchwharf_routing::quarantine::IncarnationId;
use notchwharf_routing::quarantine::Quarantine;
use notchwharf_routing::quarantine::Report;
use proptest::prelude::*;
use rstest::rstest;
use simulation::Fault;
use simulation::Fleet;

const REQUEST: u128 = 7;
const SOON: Duration = Duration::from_millis(80);
const MINUTE: Duration = Duration::from_secs(60);

fn crash(incarnation: IncarnationId, run_time: Duration, detected_at: Instant) -> Crash {
    Crash {
        incarnation,
        run_time,
        detected_at,
    }
}

/// Returns a quarantine in which targets crashed under a request after these times.
fn after(ran_ms: &[u64], now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (incarnation, ran_ms) in (0..).zip(ran_ms) {
        let run_time = Duration::from_millis(*ran_ms);
        quarantine.record_crash(REQUEST, crash(incarnation, run_time, now));
    }
    quarantine
}

fn is_refused(verdict: Decision) -> bool {
    matches!(verdict, Decision::Refuse { .. })
}

#[rstest]
#[case::nothing_is_known(&[], false)]
#[case::two_crashes(&[1, 1], false)]
#[case::three_right_after_it_began(&[80, 120, 150], true)]
#[case::three_after_long_runs(&[2_000, 3_000, 900], false)]
#[case::two_at_once_and_one_late(&[50, 50, 5_000], false)]
#[case::four_of_which_some_are_late(&[50, 50, 5_000, 90], true)]
#[case::three_at_targets_that_had_just_crashed(&[201, 475, 1], false)]
#[case::five_late_ones(&[9_000, 9_000, 9_000, 9_000, 9_000], false)]
#[case::six_however_late(&[9_000, 9_000, 9_000, 9_000, 9_000, 9_000], true)]
fn a_request_is_refused_if_a_healthy_one_would_hardly_have_met_its_crashes(
    #[case] ran_ms: &[u64],
    #[case] is_blamed: bool,
) {
    let now = Instant::now();
    let mut quarantine = after(ran_ms, now);
    assert_eq!(is_refused(quarantine.admit(REQUEST, "a", now)), is_blamed);
    assert_eq!(quarantine.admit(REQUEST + 1, "a", now), Decision::Admit);
}

#[test]
fn one_crash_that_is_told_again_counts_once() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    assert_eq!(
        quarantine.record_crash(REQUEST, crash(1, SOON, now)),
        Change::Updated
    );
    for _ in 0..5 {
        assert_eq!(
            quarantine.record_crash(REQUEST, crash(1, SOON, now)),
            Change::None
        );
    }
    assert_eq!(quarantine.crash_count(REQUEST), 1);
}

/// What users would see: eight targets crash under one request, where six may. A host
/// lost all it knew with its death, which cost three; another saw two more crashes and
/// handed them to the first as it started while the store was away. That one's list of
/// targets was older than the second life of a target that crashed under the request
/// next, so it took that crash for the known one, and sent the request on to another.
#[rstest]
#[case::sent_after_it_had_ended(30, 3)]
#[case::sent_before(10, 2)]
#[case::sent_at_that_moment(20, 2)]
fn a_target_that_answered_after_its_crash_has_started_anew(
    #[case] sent_ms: u64,
    #[case] crashes: u32,
) {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(REQUEST, crash(1, SOON, at(20)));
    quarantine.record_crash(REQUEST, crash(2, SOON, at(20)));
    for _ in 0..2 {
        let incarnation = quarantine.incarnation_of_run(REQUEST, 1, at(sent_ms));
        quarantine.record_crash(REQUEST, crash(incarnation, SOON, at(50)));
    }
    assert_eq!(quarantine.crash_count(REQUEST), crashes);
    let is_blamed = crashes == 3;
    assert_eq!(
        is_refused(quarantine.admit(REQUEST, "a", at(60))),
        is_blamed
    );
}

#[rstest]
#[case::after_one_crash_two_at_once(&[80], 2)]
#[case::after_two_crashes_one(&[80, 80], 1)]
#[case::not_blamed_for_three_one(&[2_000, 3_000, 900], 1)]
fn a_suspect_runs_at_no_more_targets_at_once_than_it_may_still_end(
    #[case] ran_ms: &[u64],
    #[case] at_once: usize,
) {
    let now = Instant::now();
    let mut quarantine = after(ran_ms, now);
    let hosts = ["a", "b", "c", "d"];
    let verdicts = hosts.map(|host| quarantine.admit(REQUEST, host, now));
    let free = verdicts.iter().filter(|v| **v == Decision::Admit).count();
    assert_eq!(free, at_once);
    quarantine.end_run(REQUEST, "a");
    assert_eq!(quarantine.admit(REQUEST, "d", now), Decision::Admit);
    assert_eq!(quarantine.admit(REQUEST, "e", now), Decision::Wait);
    // The host may have died, and a run that lasts is not one that crashes at once.
    let later = now + Duration::from_secs(2);
    assert_eq!(quarantine.admit(REQUEST, "e", later), Decision::Admit);
}

#[test]
fn a_run_that_ends_well_clears_a_request_everywhere() {
    let now = Instant::now();
    let mut there = after(&[80, 80, 80], now);
    let mut here = there.clone();
    let told_before = there.report(REQUEST, "b", now).unwrap();
    assert!(here.record_success(REQUEST, now));
    assert_eq!(here.admit(REQUEST, "a", now), Decision::Admit);
    // A host that has not heard of it tells its crashes once more.
    here.merge_report(&"b".to_owned(), &told_before, now);
    assert_eq!(here.admit(REQUEST, "a", now), Decision::Admit);
    let told = here.report(REQUEST, "a", now).unwrap();
    there.merge_report(&"a".to_owned(), &told, now);
    assert_eq!(there.admit(REQUEST, "b", now), Decision::Admit);
    // Crashes from then on count anew.
    here.record_crash(REQUEST, crash(9, SOON, now));
    assert_eq!(here.crash_count(REQUEST), 1);
}

/// Long runs that its host ends show that targets bear it, as an item's do that is cut
/// again and again for online requests.
#[rstest]
#[case::a_moment(&[80], 200, false)]
#[case::a_second(&[80], 1_000, true)]
#[case::twice_the_longest(&[80, 900], 1_800, true)]
#[case::less_than_that(&[80, 900], 1_500, false)]
fn a_run_that_outlasts_its_crashes_clears_a_request(
    #[case] ran_ms: &[u64],
    #[case] outlasted_ms: u64,
    #[case] is_cleared: bool,
) {
    let now = Instant::now();
    let mut quarantine = after(ran_ms, now);
    let run_time = Duration::from_millis(outlasted_ms);
    assert_eq!(
        quarantine.record_survival(REQUEST, run_time, now),
        is_cleared
    );
    assert_eq!(quarantine.crash_count(REQUEST) == 0, is_cleared);
}

#[test]
fn what_is_owed_is_tried_again_soon_as_long_as_it_may_end_targets() {
    let mut now = Instant::now();
    let mut quarantine = after(&[80, 80, 80], now);
    for (incarnation, tries) in (100..).zip(0..3) {
        let Decision::Refuse { retry_after, .. } = quarantine.admit_item(REQUEST, "a", now) else {
            panic!("not refused after {tries} tries");
        };
        assert!(retry_after <= MINUTE, "{retry_after:?}");
        now += retry_after;
        assert!(
            is_refused(quarantine.admit(REQUEST, "a", now)),
            "nobody owes it"
        );
        assert_eq!(quarantine.admit_item(REQUEST, "a", now), Decision::Admit);
        quarantine.record_crash(REQUEST, crash(incarnation, SOON, now));
        quarantine.end_run(REQUEST, "a");
    }
    assert!(is_refused(quarantine.admit_item(
        REQUEST,
        "a",
        now + 10 * MINUTE
    )));
}

#[test]
fn a_blamed_request_is_tried_alone_after_long_and_then_kept_away_for_longer() {
    let begun = Instant::now();
    let mut quarantine = after(&[80, 80, 80], begun);
    let Decision::Refuse { retry_after, .. } = quarantine.admit(REQUEST, "a", begun) else {
        panic!("not refused");
    };
    let then = begun + retry_after;
    assert!(is_refused(quarantine.admit(REQUEST, "a", then - SOON)));
    quarantine.evict_expired(then);
    assert_eq!(quarantine.admit(REQUEST, "a", then), Decision::Admit);
    assert_eq!(quarantine.admit(REQUEST, "b", then), Decision::Wait);
    quarantine.record_crash(REQUEST, crash(9, SOON, then));
    let verdict = quarantine.admit(REQUEST, "b", then + retry_after);
    assert!(is_refused(verdict), "{verdict:?}");
}

#[test]
fn however_often_it_is_tried_it_is_kept_away_again() {
    let mut now = Instant::now();
    let mut quarantine = after(&[80, 80, 80], now);
    for incarnation in 100..120 {
        let Decision::Refuse { retry_after, .. } = quarantine.admit(REQUEST, "a", now) else {
            panic!("not refused after {} tries", incarnation - 100);
        };
        now += retry_after;
        assert_eq!(quarantine.admit(REQUEST, "a", now), Decision::Admit);
        let change = quarantine.record_crash(REQUEST, crash(incarnation, SOON, now));
        assert!(matches!(change, Change::Blamed { .. }), "{change:?}");
        quarantine.end_run(REQUEST, "a");
        quarantine.evict_expired(now);
    }
}

#[test]
fn suspects_that_never_come_again_are_forgotten() {
    let now = Instant::now();
    let mut quarantine = after(&[80], now);
    quarantine.evict_expired(now + MINUTE);
    assert_eq!(quarantine.len(), 1);
    quarantine.evict_expired(now + 10 * MINUTE);
    assert!(quarantine.is_empty());
}

#[test]
fn those_of_which_least_is_known_make_room() {
    let now = Instant::now();
    let mut quarantine = after(&[80, 80, 80], now);
    for number in 0..100_000 {
        quarantine.record_crash(1_000 + number, crash(1, SOON, now + MINUTE));
    }
    assert!(quarantine.len() < 20_000, "{}", quarantine.len());
    assert!(is_refused(quarantine.admit(REQUEST, "a", now + MINUTE)));
}

#[derive(Clone, Debug)]
enum Step {
    Crash {
        host: usize,
        incarnation: IncarnationId,
    },
    EndsWell {
        host: usize,
    },
    Tell {
        from: usize,
        to: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3usize, 0..6u64).prop_map(|(host, incarnation)| Step::Crash { host, incarnation }),
        1 => (0..3usize).prop_map(|host| Step::EndsWell { host }),
        4 => (0..3usize, 0..3usize).prop_map(|(from, to)| Step::Tell { from, to }),
    ]
}

fn tell(hosts: &mut [Quarantine], from: usize, to: usize, now: Instant) {
    let told: Option<Report> = hosts[from].report(REQUEST, &from.to_string(), now);
    if let Some(told) = told {
        hosts[to].merge_report(&from.to_string(), &told, now);
    }
}

proptest! {
    /// Whatever is told in whichever order, and as often as it comes, hosts that have
    /// all told one another agree.
    #[test]
    fn hosts_that_have_told_one_another_agree(steps in prop::collection::vec(step(), 0..30)) {
        let now = Instant::now();
        let mut hosts = vec![Quarantine::default(); 3];
        for step in steps {
            match step {
                Step::Crash { host, incarnation } => {
                    hosts[host].record_crash(REQUEST, crash(incarnation, SOON, now));
                }
                Step::EndsWell { host } => {
                    hosts[host].record_success(REQUEST, now);
                }
                Step::Tell { from, to } => tell(&mut hosts, from, to, now),
            }
        }
        for _ in 0..2 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                tell(&mut hosts, from, to, now);
            }
        }
        let crashes: Vec<u32> = hosts.iter().map(|host| host.crash_count(REQUEST)).collect();
        prop_assert!(crashes.iter().all(|c| *c == crashes[0]), "{:?}", crashes);
        let refused = hosts.iter_mut().map(|host| is_refused(host.admit(REQUEST, "x", now)));
        let refused: Vec<bool> = refused.collect();
        prop_assert!(refused.iter().all(|r| *r == refused[0]), "{:?}", refused);
    }
}

/// A request that comes twice a second for a minute ends three targets in nine plays of
/// ten and never more than six, and reaches none later than half a second after it has
/// ended the third. Where datagrams are lost or a host has just started, one may be
/// told only again, a second or two later.
#[rstest]
#[case::calm(Fault::None, 500)]
#[case::one_datagram_in_ten_is_lost(Fault::Loss, 3_000)]
#[case::hosts_are_killed_and_start_again(Fault::Restarts, 500)]
#[case::all_lose_power(Fault::PowerLoss, 500)]
fn a_request_that_crashes_targets_is_stopped_at_all_hosts(
    #[case] trouble: Fault,
    #[case] latest_ms: u64,
    #[values(12, 60, 300)] hosts: usize,
) {
    const PLAYS: u64 = 20;
    let plays = (0..PLAYS).map(|seed| Fleet::new(hosts, trouble, seed).simulate_crashing(2.0));
    let plays: Vec<simulation::Crashing> = plays.collect();
    let three = plays.iter().filter(|play| play.crashes <= 3).count();
    let most = plays.iter().map(|play| play.crashes).max().unwrap();
    let latest = plays.iter().map(|play| play.latest).max().unwrap();
    println!(
        "{hosts} hosts, {trouble:?}: three in {three} of {PLAYS}, most {most}, latest {latest:?}"
    );
    assert!(
        three as u64 * 10 >= PLAYS * 9,
        "three in {three} of {PLAYS}"
    );
    assert!(most <= 6, "{most}");
    assert!(latest <= Duration::from_millis(latest_ms), "{latest:?}");
}

/// Hosts that are cut off from all others for three seconds know less meanwhile; what
/// they send then is bounded all the same.
#[rstest]
fn hosts_that_are_cut_off_end_few_targets_more(#[values(12, 60, 300)] hosts: usize) {
    for seed in 0..20 {
        let play = Fleet::new(hosts, Fault::Partitions, seed).simulate_crashing(2.0);
        assert!(play.crashes <= 6, "{hosts} hosts, seed {seed}: {play:?}");
    }
}

/// Healthy requests that are sent again, popular ones that are alike, and items that run
/// for seconds are hardly ever refused where a part of all targets crashes every three
/// seconds, for ten minutes.
#[rstest]
#[case::one_in_seven_crashes(0.15, 0, 0)]
#[case::four_in_ten_crash(0.4, 3, 2)]
fn healthy_requests_are_not_refused_however_many_targets_crash(
    #[case] share: f64,
    #[case] refused_max: u32,
    #[case] delayed_items_max: u32,
) {
    let play = Fleet::new(12, Fault::None, 1).simulate_healthy(share);
    println!("{share} crash: {play:?}");
    assert!(play.requests > 28_000 && play.items >= 1_500, "{play:?}");
    assert!(play.refused <= refused_max, "{play:?}");
    assert!(play.delayed_items <= delayed_items_max, "{play:?}");
}
