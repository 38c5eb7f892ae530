//! Which target gets a request, and which item gives way.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::balancer::Balancer;
use notchwharf_routing::balancer::Config;
use notchwharf_routing::balancer::Criteria;
use notchwharf_routing::balancer::Load;
use notchwharf_routing::balancer::Refusal;
use notchwharf_routing::balancer::SlotSource;
use notchwharf_routing::balancer::Spec;
use notchwharf_routing::balancer::key_of;
use notchwharf_routing::items::peer_queues::Ahead;
use rstest::rstest;

const NEAR: &str = "near";
const FAR: &str = "far";

fn places(reserve: u32, targets: &[(&str, &str, u32)]) -> Balancer {
    let cfg = Config {
        reserve,
        ..Config::default()
    };
    let mut places = Balancer::new(cfg, 7);
    for (id, data_centre, slots) in targets {
        places.upsert(id, spec(data_centre, *slots));
    }
    places
}

fn spec(data_centre: &str, slots: u32) -> Spec {
    Spec {
        service: "s".into(),
        data_centre: data_centre.into(),
        slots,
        ..Spec::default()
    }
}

fn want(tried: &[String]) -> Criteria<'_> {
    Criteria {
        service: "s",
        data_centre: NEAR,
        affinity: 3,
        tried,
        objective: None,
        ahead: Ahead::default(),
    }
}

fn load(online: u32, batch: u32) -> Load {
    Load { online, batch }
}

#[test]
fn a_free_place_near_by_comes_before_one_far_away() {
    let mut places = places(0, &[("t1", FAR, 8), ("t2", NEAR, 8)]);
    let now = Instant::now();
    let choice = places.choose_online(&want(&[]), now).unwrap();
    assert_eq!(
        (choice.target.as_str(), choice.slot_source),
        ("t2", SlotSource::Free)
    );
}

#[test]
fn a_free_place_far_away_comes_before_an_item_near_by() {
    let mut places = places(0, &[("t1", FAR, 4), ("t2", NEAR, 1)]);
    places.begin_batch("t2");
    let choice = places.choose_online(&want(&[]), Instant::now()).unwrap();
    assert_eq!(
        (choice.target.as_str(), choice.slot_source),
        ("t1", SlotSource::Free)
    );
}

#[rstest]
#[case::an_own_item(load(1, 1), load(0, 0), SlotSource::PreemptOwn)]
#[case::a_peer_s_item(load(1, 0), load(0, 1), SlotSource::PreemptPeer("a2".into()))]
#[case::no_item(load(1, 0), load(1, 0), SlotSource::Queue)]
fn a_full_target_makes_room_by_cutting_an_item(
    #[case] own: Load,
    #[case] peer: Load,
    #[case] room: SlotSource,
) {
    let mut places = places(0, &[("t1", NEAR, 2)]);
    for _ in 0..own.online {
        places.begin_online("t1", Instant::now());
    }
    for _ in 0..own.batch {
        places.begin_batch("t1");
    }
    places.set_peer_loads("a2", [(key_of("t1"), peer)], vec![], Instant::now());
    let choice = places.choose_online(&want(&[]), Instant::now()).unwrap();
    assert_eq!(choice.slot_source, room);
}

/// Cutting as soon as the reserve was touched made items start and be cut
/// again and again: 25,000 times for 1,807 items (vantu-lectii-grown,
/// trouble-1).
#[test]
fn the_reserve_is_used_before_an_item_is_cut_and_items_leave_it_free() {
    let mut places = places(1, &[("t1", NEAR, 3)]);
    places.begin_batch("t1");
    places.begin_batch("t1");
    assert_eq!(places.choose_batch(&want(&[]), Instant::now()), None);
    let choice = places.choose_online(&want(&[]), Instant::now()).unwrap();
    assert_eq!(choice.slot_source, SlotSource::Free);
    places.begin_online("t1", Instant::now());
    let choice = places.choose_online(&want(&[]), Instant::now()).unwrap();
    assert_eq!(choice.slot_source, SlotSource::PreemptOwn);
}

#[test]
fn a_queue_that_outlasts_every_objective_is_not_joined() {
    let mut places = places(0, &[("t1", NEAR, 1)]);
    for _ in 0..4 {
        assert!(places.choose_online(&want(&[]), Instant::now()).is_ok());
        places.begin_online("t1", Instant::now());
    }
    let refusal = places
        .choose_online(&want(&[]), Instant::now())
        .unwrap_err();
    assert!(matches!(refusal, Refusal::Full { .. }));
}

#[test]
fn a_target_that_leaves_or_offers_another_service_is_not_chosen() {
    let mut places = places(0, &[("t1", NEAR, 8)]);
    places.upsert(
        "t1",
        Spec {
            is_leaving: true,
            ..spec(NEAR, 8)
        },
    );
    places.upsert(
        "t2",
        Spec {
            service: "other".into(),
            ..spec(NEAR, 8)
        },
    );
    let refusal = places
        .choose_online(&want(&[]), Instant::now())
        .unwrap_err();
    assert!(matches!(refusal, Refusal::NoTarget { .. }));
    assert_eq!(places.choose_batch(&want(&[]), Instant::now()), None);
}

#[test]
fn what_a_peer_runs_is_replaced_by_what_it_tells_next_and_ends_with_it() {
    let mut places = places(0, &[("t1", NEAR, 8)]);
    places.begin_online("t1", Instant::now());
    places.set_peer_loads("a2", [(key_of("t1"), load(2, 1))], vec![], Instant::now());
    places.set_peer_loads("a3", [(key_of("t1"), load(0, 1))], vec![], Instant::now());
    assert_eq!(places.load("t1"), load(3, 2));
    places.set_peer_loads("a2", [(key_of("t1"), load(0, 2))], vec![], Instant::now());
    assert_eq!(places.load("t1"), load(1, 3));
    places.remove_peer("a2");
    assert_eq!(places.load("t1"), load(1, 1));
}

#[test]
fn a_target_that_comes_after_news_of_it_has_its_load() {
    let mut places = places(0, &[]);
    places.set_peer_loads("a2", [(key_of("t1"), load(2, 1))], vec![], Instant::now());
    places.upsert("t1", spec(NEAR, 8));
    assert_eq!(places.load("t1"), load(2, 1));
}

#[test]
fn a_target_that_cannot_be_reached_is_left_alone_for_a_time() {
    let mut places = places(0, &[("t1", NEAR, 8), ("t2", FAR, 8), ("t3", FAR, 8)]);
    let now = Instant::now();
    places.record_connection_failure("t1", now);
    let later = now + Duration::from_millis(100);
    assert_ne!(
        places.choose_online(&want(&[]), later).unwrap().target,
        "t1"
    );
    let later = now + Duration::from_millis(500);
    assert_eq!(
        places.choose_online(&want(&[]), later).unwrap().target,
        "t1"
    );
}

/// Regression: targets that failed at once looked idle and drew the requests
/// of all hosts (vantu-lectii-grown, trouble-1).
#[test]
fn a_target_that_answers_badly_again_and_again_is_left_alone() {
    let mut places = places(0, &[("t1", NEAR, 8), ("t2", FAR, 8), ("t3", FAR, 8)]);
    let now = Instant::now();
    places.record_item_failure("t1", now);
    assert_eq!(places.choose_online(&want(&[]), now).unwrap().target, "t1");
    places.record_item_failure("t1", now);
    assert_ne!(places.choose_online(&want(&[]), now).unwrap().target, "t1");
    assert_eq!(places.failing(now), [key_of("t1")]);
}

/// Items fail where the item is at fault too; online requests hardly ever.
#[test]
fn a_target_that_fails_one_online_request_is_left_alone_for_a_moment() {
    let mut places = places(0, &[("t1", NEAR, 8), ("t2", FAR, 8), ("t3", FAR, 8)]);
    let now = Instant::now();
    places.record_request_failure("t1", now);
    assert_ne!(places.choose_online(&want(&[]), now).unwrap().target, "t1");
    let later = now + Duration::from_millis(500);
    assert_eq!(
        places.choose_online(&want(&[]), later).unwrap().target,
        "t1"
    );
}

#[test]
fn a_target_that_failed_a_peer_is_left_alone_after_one_failure_here() {
    let mut places = places(0, &[("t1", NEAR, 8), ("t2", FAR, 8), ("t3", FAR, 8)]);
    let now = Instant::now();
    places.set_peer_loads("a2", [], vec![key_of("t1")], Instant::now());
    places.set_peer_loads("a2", [], vec![], Instant::now());
    places.record_item_failure("t1", now);
    assert_ne!(places.choose_online(&want(&[]), now).unwrap().target, "t1");
}

#[test]
fn a_bad_answer_now_and_then_changes_nothing() {
    let mut places = places(0, &[("t1", NEAR, 8), ("t2", FAR, 8), ("t3", FAR, 8)]);
    let now = Instant::now();
    for _ in 0..20 {
        places.record_item_failure("t1", now);
        for _ in 0..5 {
            places.record_success("t1", None);
        }
    }
    assert_eq!(places.choose_online(&want(&[]), now).unwrap().target, "t1");
}

#[test]
fn a_target_that_fails_a_peer_is_left_alone_until_the_peer_says_otherwise() {
    let mut places = places(0, &[("t1", NEAR, 8), ("t2", FAR, 8), ("t3", FAR, 8)]);
    let now = Instant::now();
    places.set_peer_loads("a2", [], vec![key_of("t1")], Instant::now());
    assert_ne!(places.choose_online(&want(&[]), now).unwrap().target, "t1");
    assert_eq!(places.failing(now), [], "Only what is seen is told on.");
    places.set_peer_loads("a2", [], vec![], Instant::now());
    assert_eq!(places.choose_online(&want(&[]), now).unwrap().target, "t1");
}

#[test]
fn where_most_targets_fail_none_is_left_alone() {
    let mut places = places(0, &[("t1", NEAR, 8), ("t2", FAR, 8), ("t3", FAR, 8)]);
    let now = Instant::now();
    places.record_connection_failure("t1", now);
    places.record_connection_failure("t2", now);
    assert_eq!(places.choose_online(&want(&[]), now).unwrap().target, "t1");
}

#[test]
fn a_target_that_is_much_slower_than_the_others_comes_after_them() {
    let mut places = places(0, &[("t1", NEAR, 8), ("t2", FAR, 8), ("t3", FAR, 8)]);
    for _ in 0..20 {
        places.record_success("t1", Some(Duration::from_millis(300)));
        places.record_success("t2", Some(Duration::from_millis(50)));
        places.record_success("t3", Some(Duration::from_millis(50)));
    }
    let choice = places.choose_online(&want(&[]), Instant::now()).unwrap();
    assert_ne!(choice.target, "t1");
}

#[test]
fn of_the_hosts_at_an_overfull_target_the_one_with_most_items_cuts() {
    let mut places = places(0, &[("t1", NEAR, 2)]);
    places.begin_batch("t1");
    places.set_peer_loads("a2", [(key_of("t1"), load(0, 2))], vec![], Instant::now());
    assert_eq!(places.overcommitted("a1"), Vec::<String>::new());
    places.begin_batch("t1");
    places.begin_batch("t1");
    assert_eq!(places.overcommitted("a1"), ["t1"]);
}

/// Queued for longer than the objective, everybody is late; refused, some are
/// served in time.
#[test]
fn a_queue_that_outlasts_the_objective_is_not_joined() {
    let mut places = places(0, &[("t1", NEAR, 4)]);
    let now = Instant::now();
    // One place falls free each 200 ms.
    places.record_duration("s", Duration::from_millis(800));
    let hopeful = Criteria {
        objective: Some(Duration::from_millis(450)),
        ..want(&[])
    };
    for _ in 0..6 {
        assert!(places.choose_online(&hopeful, now).is_ok());
        places.begin_online("t1", Instant::now());
    }
    let refusal = places.choose_online(&hopeful, now).unwrap_err();
    assert!(matches!(refusal, Refusal::Full { .. }));
    assert!(places.choose_online(&want(&[]), now).is_ok());
}

/// Started at once, an item would be cut by the next request of the burst that
/// has filled the target: old items were, for seconds (sul-permissoes, inc-7dbe).
#[test]
fn no_item_starts_at_a_target_that_was_full_a_moment_ago() {
    let mut places = places(0, &[("t1", NEAR, 1)]);
    let now = Instant::now();
    places.begin_online("t1", now);
    places.end_online("t1");
    assert_eq!(places.choose_batch(&want(&[]), now), None);
    let later = now + Duration::from_millis(250);
    assert_eq!(
        places.choose_batch(&want(&[]), later).as_deref(),
        Some("t1")
    );
}

#[test]
fn what_other_cells_run_counts_until_they_tell_otherwise() {
    let mut places = places(0, &[("t1", NEAR, 2), ("t2", FAR, 2)]);
    let now = Instant::now();
    places.set_cell_loads("d2", vec![(key_of("t1"), load(2, 0))], now);
    places.set_cell_loads("d3", vec![(key_of("t2"), load(1, 0))], now);
    places.set_peer_loads("h2", [(key_of("t2"), load(0, 1))], vec![], now);
    assert_eq!(places.load("t1"), load(2, 0));
    assert_eq!(places.load("t2"), load(1, 1));
    // A target that is known later finds what was told of it.
    places.set_cell_loads("d2", vec![(key_of("t3"), load(1, 0))], now);
    places.upsert("t3", spec(NEAR, 2));
    assert_eq!(places.load("t1"), load(0, 0));
    assert_eq!(places.load("t3"), load(1, 0));
    places.remove_cell("d3");
    assert_eq!(places.load("t2"), load(0, 1));
    places.clear_cells();
    assert_eq!(places.load("t3"), load(0, 0));
}

#[test]
fn a_cell_s_sum_holds_what_its_hosts_run_and_nothing_of_other_cells() {
    let mut places = places(0, &[("t1", NEAR, 4), ("t2", FAR, 4)]);
    let now = Instant::now();
    places.begin_online("t1", now);
    places.set_peer_loads("h2", [(key_of("t1"), load(1, 2))], vec![], now);
    places.set_peer_loads("h3", [(key_of("t2"), load(0, 1))], vec![], now);
    places.set_cell_loads("d2", vec![(key_of("t2"), load(3, 0))], now);
    let mut sum = places.total_loads();
    sum.sort_by_key(|(key, _)| *key);
    let mut expected = vec![(key_of("t1"), load(2, 2)), (key_of("t2"), load(0, 1))];
    expected.sort_by_key(|(key, _)| *key);
    assert_eq!(sum, expected);
}

#[test]
fn no_host_of_another_cell_is_asked_to_cut() {
    let mut places = places(0, &[("t1", NEAR, 1)]);
    let now = Instant::now();
    places.set_cell_loads("d2", vec![(key_of("t1"), load(0, 1))], now);
    let choice = places.choose_online(&want(&[]), now).unwrap();
    assert_eq!(choice.slot_source, SlotSource::Queue);
}

#[test]
fn a_target_that_started_anew_under_its_name_is_judged_anew() {
    let mut places = places(0, &[]);
    let now = Instant::now();
    let born = |ms| Spec {
        started_unix_ms: Some(ms),
        ..spec(NEAR, 1)
    };
    places.upsert("t1", born(1_000));
    places.upsert("t2", born(1_000));
    places.record_connection_failure("t1", now);
    assert!(places.is_failing("t1", now));
    // The same entry again says nothing new.
    places.upsert("t1", born(1_000));
    assert!(places.is_failing("t1", now));
    places.upsert("t1", born(2_000));
    assert!(!places.is_failing("t1", now));
}

#[rstest]
#[case::idle(8, 0, 0, false)]
#[case::one_of_eight(8, 1, 0, false)]
#[case::two_of_eight(8, 1, 1, true)]
#[case::one_of_four(4, 0, 1, true)]
#[case::the_only_one(1, 1, 0, true)]
#[case::full(2, 1, 1, true)]
fn places_are_scarce_once_a_quarter_is_taken(
    #[case] slots: u32,
    #[case] own: u32,
    #[case] others: u32,
    #[case] expected: bool,
) {
    let now = Instant::now();
    let mut places = Balancer::new(Config::default(), 1);
    let spec = Spec {
        slots,
        ..Spec::default()
    };
    places.upsert("t1", spec);
    for _ in 0..own {
        places.begin_online("t1", now);
    }
    let load = Load {
        online: others,
        batch: 0,
    };
    places.set_peer_loads("h2", [(key_of("t1"), load)], vec![], now);
    assert_eq!(places.has_scarce_slots("t1"), expected);
    assert!(!places.has_scarce_slots("unknown"));
}

const COLD_LEFT: Duration = Duration::from_secs(3);

/// Begins online requests until no slot is free and returns their number.
fn begin_until_full(places: &mut Balancer, now: Instant) -> usize {
    let want = want(&[]);
    let mut sent = 0;
    while let Ok(choice) = places.choose_online(&want, now)
        && choice.slot_source == SlotSource::Free
    {
        places.begin_online(&choice.target, now);
        sent += 1;
    }
    sent
}

#[rstest]
#[case::no_rate(None, COLD_LEFT, 8)]
#[case::not_cold(Some(8.0), Duration::ZERO, 8)]
#[case::default_duration(Some(8.0), COLD_LEFT, 2)]
#[case::below_one_request(Some(0.5), COLD_LEFT, 1)]
#[case::zero(Some(0.0), COLD_LEFT, 1)]
#[case::not_a_number(Some(f64::NAN), COLD_LEFT, 1)]
#[case::negative(Some(-3.0), COLD_LEFT, 1)]
#[case::above_all_slots(Some(1e300), COLD_LEFT, 8)]
fn cold_target_receives_what_its_rate_allows(
    #[case] per_s: Option<f64>,
    #[case] left: Duration,
    #[case] expected: usize,
) {
    let now = Instant::now();
    let mut places = places(0, &[("t1", NEAR, 8)]);
    let rates = per_s.map(|rate| ("s".to_owned(), rate));
    places.set_cold_rates(rates.into_iter().collect());
    places.set_cold("t1", left, now);
    assert_eq!(begin_until_full(&mut places, now), expected);
    if expected < 8 {
        let refusal = places.choose_online(&want(&[]), now).unwrap_err();
        assert!(matches!(refusal, Refusal::Full { .. }));
    }
}

#[test]
fn cold_limit_is_lifted_after_its_time() {
    let now = Instant::now();
    let mut places = places(0, &[("t1", NEAR, 8)]);
    places.set_cold_rates([("s".to_owned(), 8.0)].into());
    places.set_cold("t1", COLD_LEFT, now);
    assert_eq!(begin_until_full(&mut places, now), 2);
    places.end_cold(now + COLD_LEFT / 2);
    assert_eq!(begin_until_full(&mut places, now), 0);
    places.end_cold(now + COLD_LEFT);
    assert_eq!(begin_until_full(&mut places, now), 6);
}

#[test]
fn targets_in_evacuated_data_centre_receive_nothing_new() {
    let now = Instant::now();
    let mut places = places(0, &[("t1", NEAR, 2), ("t2", FAR, 2)]);
    places.set_evacuated([NEAR.to_owned()].into());
    places.upsert("t3", spec(NEAR, 2));
    let want = want(&[]);
    assert_eq!(places.choose_online(&want, now).unwrap().target, "t2");
    assert_eq!(places.choose_batch(&want, now).unwrap(), "t2");
    places.set_evacuated([NEAR.to_owned(), FAR.to_owned()].into());
    let refusal = places.choose_online(&want, now).unwrap_err();
    assert!(matches!(refusal, Refusal::NoTarget { .. }));
    places.set_evacuated([FAR.to_owned()].into());
    assert_ne!(places.choose_online(&want, now).unwrap().target, "t2");
}
