//! Choice of targets for requests, preemption, load accounting and health.
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

const LOCAL: &str = "local";
const REMOTE: &str = "remote";

fn balancer(reserve: u32, targets: &[(&str, &str, u32)]) -> Balancer {
    let cfg = Config {
        reserve,
        ..Config::default()
    };
    let mut balancer = Balancer::new(cfg, 7);
    for (id, data_centre, slots) in targets {
        balancer.upsert(id, spec(data_centre, *slots));
    }
    balancer
}

fn spec(data_centre: &str, slots: u32) -> Spec {
    Spec {
        service: "s".into(),
        data_centre: data_centre.into(),
        slots,
        ..Spec::default()
    }
}

fn criteria(tried: &[String]) -> Criteria<'_> {
    Criteria {
        service: "s",
        data_centre: LOCAL,
        affinity: 3,
        tried,
        objective: None,
        ahead: Ahead::default(),
        version: None,
    }
}

fn load(online: u32, batch: u32) -> Load {
    Load { online, batch }
}

#[test]
fn prefers_free_slot_in_own_data_centre() {
    let mut balancer = balancer(0, &[("t1", REMOTE, 8), ("t2", LOCAL, 8)]);
    let now = Instant::now();
    let choice = balancer.choose_online(&criteria(&[]), now).unwrap();
    assert_eq!(
        (choice.target.as_str(), choice.slot_source),
        ("t2", SlotSource::Free)
    );
}

#[test]
fn prefers_remote_free_slot_to_local_preemption() {
    let mut balancer = balancer(0, &[("t1", REMOTE, 4), ("t2", LOCAL, 1)]);
    balancer.begin_batch("t2");
    let choice = balancer
        .choose_online(&criteria(&[]), Instant::now())
        .unwrap();
    assert_eq!(
        (choice.target.as_str(), choice.slot_source),
        ("t1", SlotSource::Free)
    );
}

#[rstest]
#[case::own_item(load(1, 1), load(0, 0), SlotSource::PreemptOwn)]
#[case::item_of_peer(load(1, 0), load(0, 1), SlotSource::PreemptPeer("a2".into()))]
#[case::no_item(load(1, 0), load(1, 0), SlotSource::Queue)]
fn preempts_item_at_full_target(
    #[case] own: Load,
    #[case] peer: Load,
    #[case] expected: SlotSource,
) {
    let mut balancer = balancer(0, &[("t1", LOCAL, 2)]);
    for _ in 0..own.online {
        balancer.begin_online("t1", Instant::now());
    }
    for _ in 0..own.batch {
        balancer.begin_batch("t1");
    }
    balancer.set_peer_loads("a2", [(key_of("t1"), peer)], vec![], Instant::now());
    let choice = balancer
        .choose_online(&criteria(&[]), Instant::now())
        .unwrap();
    assert_eq!(choice.slot_source, expected);
}

/// Preempting an item whenever an online request used the reserve made items start and be
/// preempted repeatedly: 25,000 times for 1,807 items under a simulated load.
#[test]
fn online_uses_reserve_before_preemption_and_items_leave_it_free() {
    let mut balancer = balancer(1, &[("t1", LOCAL, 3)]);
    balancer.begin_batch("t1");
    balancer.begin_batch("t1");
    assert_eq!(balancer.choose_batch(&criteria(&[]), Instant::now()), None);
    let choice = balancer
        .choose_online(&criteria(&[]), Instant::now())
        .unwrap();
    assert_eq!(choice.slot_source, SlotSource::Free);
    balancer.begin_online("t1", Instant::now());
    let choice = balancer
        .choose_online(&criteria(&[]), Instant::now())
        .unwrap();
    assert_eq!(choice.slot_source, SlotSource::PreemptOwn);
}

#[test]
fn rejects_when_queue_limit_is_reached() {
    let mut balancer = balancer(0, &[("t1", LOCAL, 1)]);
    for _ in 0..4 {
        assert!(
            balancer
                .choose_online(&criteria(&[]), Instant::now())
                .is_ok()
        );
        balancer.begin_online("t1", Instant::now());
    }
    let refusal = balancer
        .choose_online(&criteria(&[]), Instant::now())
        .unwrap_err();
    assert!(matches!(refusal, Refusal::Full { .. }));
}

#[test]
fn ignores_leaving_targets_and_other_services() {
    let mut balancer = balancer(0, &[("t1", LOCAL, 8)]);
    balancer.upsert(
        "t1",
        Spec {
            is_leaving: true,
            ..spec(LOCAL, 8)
        },
    );
    balancer.upsert(
        "t2",
        Spec {
            service: "other".into(),
            ..spec(LOCAL, 8)
        },
    );
    let refusal = balancer
        .choose_online(&criteria(&[]), Instant::now())
        .unwrap_err();
    assert!(matches!(refusal, Refusal::NoTarget { .. }));
    assert_eq!(balancer.choose_batch(&criteria(&[]), Instant::now()), None);
}

#[test]
fn peer_load_is_replaced_by_next_report_and_removed_with_peer() {
    let mut balancer = balancer(0, &[("t1", LOCAL, 8)]);
    balancer.begin_online("t1", Instant::now());
    balancer.set_peer_loads("a2", [(key_of("t1"), load(2, 1))], vec![], Instant::now());
    balancer.set_peer_loads("a3", [(key_of("t1"), load(0, 1))], vec![], Instant::now());
    assert_eq!(balancer.load("t1"), load(3, 2));
    balancer.set_peer_loads("a2", [(key_of("t1"), load(0, 2))], vec![], Instant::now());
    assert_eq!(balancer.load("t1"), load(1, 3));
    balancer.remove_peer("a2");
    assert_eq!(balancer.load("t1"), load(1, 1));
}

#[test]
fn target_added_after_its_load_report_has_this_load() {
    let mut balancer = balancer(0, &[]);
    balancer.set_peer_loads("a2", [(key_of("t1"), load(2, 1))], vec![], Instant::now());
    balancer.upsert("t1", spec(LOCAL, 8));
    assert_eq!(balancer.load("t1"), load(2, 1));
}

#[test]
fn unreachable_target_is_ejected_temporarily() {
    let mut balancer = balancer(0, &[("t1", LOCAL, 8), ("t2", REMOTE, 8), ("t3", REMOTE, 8)]);
    let now = Instant::now();
    balancer.record_connection_failure("t1", now);
    let later = now + Duration::from_millis(100);
    assert_ne!(
        balancer
            .choose_online(&criteria(&[]), later)
            .unwrap()
            .target,
        "t1"
    );
    let later = now + Duration::from_millis(500);
    assert_eq!(
        balancer
            .choose_online(&criteria(&[]), later)
            .unwrap()
            .target,
        "t1"
    );
}

/// Targets that fail immediately look idle and would attract the requests of all hosts.
#[test]
fn repeated_item_failures_eject_target() {
    let mut balancer = balancer(0, &[("t1", LOCAL, 8), ("t2", REMOTE, 8), ("t3", REMOTE, 8)]);
    let now = Instant::now();
    balancer.record_item_failure("t1", now);
    assert_eq!(
        balancer.choose_online(&criteria(&[]), now).unwrap().target,
        "t1"
    );
    balancer.record_item_failure("t1", now);
    assert_ne!(
        balancer.choose_online(&criteria(&[]), now).unwrap().target,
        "t1"
    );
    assert_eq!(balancer.failing(now), [key_of("t1")]);
}

/// A failed item may be caused by the item; a failed online request hardly ever by the request.
#[test]
fn single_online_failure_ejects_target_temporarily() {
    let mut balancer = balancer(0, &[("t1", LOCAL, 8), ("t2", REMOTE, 8), ("t3", REMOTE, 8)]);
    let now = Instant::now();
    balancer.record_request_failure("t1", now);
    assert_ne!(
        balancer.choose_online(&criteria(&[]), now).unwrap().target,
        "t1"
    );
    let later = now + Duration::from_millis(500);
    assert_eq!(
        balancer
            .choose_online(&criteria(&[]), later)
            .unwrap()
            .target,
        "t1"
    );
}

#[test]
fn single_failure_ejects_target_after_peer_report() {
    let mut balancer = balancer(0, &[("t1", LOCAL, 8), ("t2", REMOTE, 8), ("t3", REMOTE, 8)]);
    let now = Instant::now();
    balancer.set_peer_loads("a2", [], vec![key_of("t1")], Instant::now());
    balancer.set_peer_loads("a2", [], vec![], Instant::now());
    balancer.record_item_failure("t1", now);
    assert_ne!(
        balancer.choose_online(&criteria(&[]), now).unwrap().target,
        "t1"
    );
}

#[test]
fn occasional_failures_do_not_eject_target() {
    let mut balancer = balancer(0, &[("t1", LOCAL, 8), ("t2", REMOTE, 8), ("t3", REMOTE, 8)]);
    let now = Instant::now();
    for _ in 0..20 {
        balancer.record_item_failure("t1", now);
        for _ in 0..5 {
            balancer.record_success("t1", None);
        }
    }
    assert_eq!(
        balancer.choose_online(&criteria(&[]), now).unwrap().target,
        "t1"
    );
}

#[test]
fn peer_report_ejects_target_until_withdrawn() {
    let mut balancer = balancer(0, &[("t1", LOCAL, 8), ("t2", REMOTE, 8), ("t3", REMOTE, 8)]);
    let now = Instant::now();
    balancer.set_peer_loads("a2", [], vec![key_of("t1")], Instant::now());
    assert_ne!(
        balancer.choose_online(&criteria(&[]), now).unwrap().target,
        "t1"
    );
    assert_eq!(
        balancer.failing(now),
        [],
        "Only failures seen by this host are reported."
    );
    balancer.set_peer_loads("a2", [], vec![], Instant::now());
    assert_eq!(
        balancer.choose_online(&criteria(&[]), now).unwrap().target,
        "t1"
    );
}

#[test]
fn ejection_is_ignored_when_most_targets_fail() {
    let mut balancer = balancer(0, &[("t1", LOCAL, 8), ("t2", REMOTE, 8), ("t3", REMOTE, 8)]);
    let now = Instant::now();
    balancer.record_connection_failure("t1", now);
    balancer.record_connection_failure("t2", now);
    assert_eq!(
        balancer.choose_online(&criteria(&[]), now).unwrap().target,
        "t1"
    );
}

#[test]
fn avoids_target_much_slower_than_others() {
    let mut balancer = balancer(0, &[("t1", LOCAL, 8), ("t2", REMOTE, 8), ("t3", REMOTE, 8)]);
    for _ in 0..20 {
        balancer.record_success("t1", Some(Duration::from_millis(300)));
        balancer.record_success("t2", Some(Duration::from_millis(50)));
        balancer.record_success("t3", Some(Duration::from_millis(50)));
    }
    let choice = balancer
        .choose_online(&criteria(&[]), Instant::now())
        .unwrap();
    assert_ne!(choice.target, "t1");
}

#[test]
fn host_with_most_items_preempts_at_overcommitted_target() {
    let mut balancer = balancer(0, &[("t1", LOCAL, 2)]);
    balancer.begin_batch("t1");
    balancer.set_peer_loads("a2", [(key_of("t1"), load(0, 2))], vec![], Instant::now());
    assert_eq!(balancer.overcommitted("a1"), Vec::<String>::new());
    balancer.begin_batch("t1");
    balancer.begin_batch("t1");
    assert_eq!(balancer.overcommitted("a1"), ["t1"]);
}

/// If requests are queued beyond the objective, all of them are late; if some are rejected, the
/// others are served in time.
#[test]
fn rejects_when_queue_wait_exceeds_objective() {
    let mut balancer = balancer(0, &[("t1", LOCAL, 4)]);
    let now = Instant::now();
    // One slot is released every 200 ms.
    balancer.record_duration("s", Duration::from_millis(800));
    let with_objective = Criteria {
        objective: Some(Duration::from_millis(450)),
        ..criteria(&[])
    };
    for _ in 0..6 {
        assert!(balancer.choose_online(&with_objective, now).is_ok());
        balancer.begin_online("t1", Instant::now());
    }
    let refusal = balancer.choose_online(&with_objective, now).unwrap_err();
    assert!(matches!(refusal, Refusal::Full { .. }));
    assert!(balancer.choose_online(&criteria(&[]), now).is_ok());
}

/// An item started immediately would be preempted by the next request of the burst that filled the
/// target. In an incident, old items were preempted in this way for seconds.
#[test]
fn no_item_starts_at_recently_full_target() {
    let mut balancer = balancer(0, &[("t1", LOCAL, 1)]);
    let now = Instant::now();
    balancer.begin_online("t1", now);
    balancer.end_online("t1");
    assert_eq!(balancer.choose_batch(&criteria(&[]), now), None);
    let later = now + Duration::from_millis(250);
    assert_eq!(
        balancer.choose_batch(&criteria(&[]), later).as_deref(),
        Some("t1")
    );
}

#[test]
fn load_of_other_cells_counts_until_replaced_or_removed() {
    let mut balancer = balancer(0, &[("t1", LOCAL, 2), ("t2", REMOTE, 2)]);
    let now = Instant::now();
    balancer.set_cell_loads("d2", vec![(key_of("t1"), load(2, 0))], now);
    balancer.set_cell_loads("d3", vec![(key_of("t2"), load(1, 0))], now);
    balancer.set_peer_loads("h2", [(key_of("t2"), load(0, 1))], vec![], now);
    assert_eq!(balancer.load("t1"), load(2, 0));
    assert_eq!(balancer.load("t2"), load(1, 1));
    // The reported load applies to a target that is added later.
    balancer.set_cell_loads("d2", vec![(key_of("t3"), load(1, 0))], now);
    balancer.upsert("t3", spec(LOCAL, 2));
    assert_eq!(balancer.load("t1"), load(0, 0));
    assert_eq!(balancer.load("t3"), load(1, 0));
    balancer.remove_cell("d3");
    assert_eq!(balancer.load("t2"), load(0, 1));
    balancer.clear_cells();
    assert_eq!(balancer.load("t3"), load(0, 0));
}

#[test]
fn total_loads_exclude_other_cells() {
    let mut balancer = balancer(0, &[("t1", LOCAL, 4), ("t2", REMOTE, 4)]);
    let now = Instant::now();
    balancer.begin_online("t1", now);
    balancer.set_peer_loads("h2", [(key_of("t1"), load(1, 2))], vec![], now);
    balancer.set_peer_loads("h3", [(key_of("t2"), load(0, 1))], vec![], now);
    balancer.set_cell_loads("d2", vec![(key_of("t2"), load(3, 0))], now);
    let mut total = balancer.total_loads();
    total.sort_by_key(|(key, _)| *key);
    let mut expected = vec![(key_of("t1"), load(2, 2)), (key_of("t2"), load(0, 1))];
    expected.sort_by_key(|(key, _)| *key);
    assert_eq!(total, expected);
}

#[test]
fn items_of_other_cells_are_not_preempted() {
    let mut balancer = balancer(0, &[("t1", LOCAL, 1)]);
    let now = Instant::now();
    balancer.set_cell_loads("d2", vec![(key_of("t1"), load(0, 1))], now);
    let choice = balancer.choose_online(&criteria(&[]), now).unwrap();
    assert_eq!(choice.slot_source, SlotSource::Queue);
}

#[test]
fn restart_resets_target_health() {
    let mut balancer = balancer(0, &[]);
    let now = Instant::now();
    let started_at = |ms| Spec {
        started_unix_ms: Some(ms),
        ..spec(LOCAL, 1)
    };
    balancer.upsert("t1", started_at(1_000));
    balancer.upsert("t2", started_at(1_000));
    balancer.record_connection_failure("t1", now);
    assert!(balancer.is_failing("t1", now));
    // An unchanged entry has no effect.
    balancer.upsert("t1", started_at(1_000));
    assert!(balancer.is_failing("t1", now));
    balancer.upsert("t1", started_at(2_000));
    assert!(!balancer.is_failing("t1", now));
}

#[rstest]
#[case::idle(8, 0, 0, false)]
#[case::one_of_eight(8, 1, 0, false)]
#[case::two_of_eight(8, 1, 1, true)]
#[case::one_of_four(4, 0, 1, true)]
#[case::the_only_one(1, 1, 0, true)]
#[case::full(2, 1, 1, true)]
fn slots_are_scarce_once_a_quarter_is_taken(
    #[case] slots: u32,
    #[case] own: u32,
    #[case] others: u32,
    #[case] expected: bool,
) {
    let now = Instant::now();
    let mut balancer = Balancer::new(Config::default(), 1);
    let spec = Spec {
        slots,
        ..Spec::default()
    };
    balancer.upsert("t1", spec);
    for _ in 0..own {
        balancer.begin_online("t1", now);
    }
    let load = Load {
        online: others,
        batch: 0,
    };
    balancer.set_peer_loads("h2", [(key_of("t1"), load)], vec![], now);
    assert_eq!(balancer.has_scarce_slots("t1"), expected);
    assert!(!balancer.has_scarce_slots("unknown"));
}

const COLD_LEFT: Duration = Duration::from_secs(3);

/// Begins online requests until no slot is free and returns their number.
fn begin_until_full(balancer: &mut Balancer, now: Instant) -> usize {
    let criteria = criteria(&[]);
    let mut sent = 0;
    while let Ok(choice) = balancer.choose_online(&criteria, now)
        && choice.slot_source == SlotSource::Free
    {
        balancer.begin_online(&choice.target, now);
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
    let mut balancer = balancer(0, &[("t1", LOCAL, 8)]);
    let rates = per_s.map(|rate| ("s".to_owned(), rate));
    balancer.set_cold_rates(rates.into_iter().collect());
    balancer.set_cold("t1", left, now);
    assert_eq!(begin_until_full(&mut balancer, now), expected);
    if expected < 8 {
        let refusal = balancer.choose_online(&criteria(&[]), now).unwrap_err();
        assert!(matches!(refusal, Refusal::Full { .. }));
    }
}

#[test]
fn cold_limit_is_lifted_after_its_time() {
    let now = Instant::now();
    let mut balancer = balancer(0, &[("t1", LOCAL, 8)]);
    balancer.set_cold_rates([("s".to_owned(), 8.0)].into());
    balancer.set_cold("t1", COLD_LEFT, now);
    assert_eq!(begin_until_full(&mut balancer, now), 2);
    balancer.end_cold(now + COLD_LEFT / 2);
    assert_eq!(begin_until_full(&mut balancer, now), 0);
    balancer.end_cold(now + COLD_LEFT);
    assert_eq!(begin_until_full(&mut balancer, now), 6);
}

#[test]
fn targets_in_evacuated_data_centre_receive_nothing_new() {
    let now = Instant::now();
    let mut balancer = balancer(0, &[("t1", LOCAL, 2), ("t2", REMOTE, 2)]);
    balancer.set_evacuated([LOCAL.to_owned()].into());
    balancer.upsert("t3", spec(LOCAL, 2));
    let criteria = criteria(&[]);
    assert_eq!(balancer.choose_online(&criteria, now).unwrap().target, "t2");
    assert_eq!(balancer.choose_batch(&criteria, now).unwrap(), "t2");
    balancer.set_evacuated([LOCAL.to_owned(), REMOTE.to_owned()].into());
    let refusal = balancer.choose_online(&criteria, now).unwrap_err();
    assert!(matches!(refusal, Refusal::NoTarget { .. }));
    balancer.set_evacuated([REMOTE.to_owned()].into());
    assert_ne!(balancer.choose_online(&criteria, now).unwrap().target, "t2");
}
