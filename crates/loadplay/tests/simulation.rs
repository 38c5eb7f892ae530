//! Outcomes of simulations under loads that saturate the targets.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use notchwharf_loadplay::load;
use notchwharf_loadplay::load::Load;
use notchwharf_loadplay::outcome::Outcome;
use notchwharf_loadplay::policy::POLICIES;
use notchwharf_loadplay::policy::Policy;
use notchwharf_loadplay::simulation::run;
use rstest::rstest;

const SEEDS: u64 = 3;

/// Nearly all slots are in use for ten seconds, and bursts of jobs arrive at two
/// of six hosts only.
fn uneven_load() -> Load {
    let text = br#"{
        "seconds": 24, "hosts": 6, "data_centres": 2, "targets": 4, "slots": 6,
        "online": {"per_s": 12},
        "jobs": {"per_s": 0.25, "items": 8, "events": 120, "objective_ms": 12000,
            "bursts": [{"at_s": 2, "jobs": 4, "host": 0}, {"at_s": 6, "jobs": 2, "host": 1}]}
    }"#;
    load::parse(text).unwrap()
}

fn policy(name: &str) -> Policy {
    *POLICIES.iter().find(|p| p.name == name).unwrap()
}

fn mean(load: &Load, name: &str, of: impl Fn(&Outcome) -> f64) -> f64 {
    let sum: f64 = (0..SEEDS)
        .map(|seed| of(&run(load, policy(name), seed)))
        .sum();
    sum / SEEDS as f64
}

#[test]
fn runs_with_the_same_seed_are_identical() {
    let load = uneven_load();
    let (a, b) = (run(&load, POLICIES[0], 5), run(&load, POLICIES[0], 5));
    assert_eq!(a.items, b.items);
    assert_eq!(a.online, b.online);
}

/// Guards against starvation between hosts: without peer queues, items that had
/// just arrived started before those that had waited longest at other hosts. In
/// one simulation, some completed after 8 s and others after 47 s.
#[test]
fn peer_queues_let_more_items_complete_in_time() {
    let load = uneven_load();
    let with = mean(&load, "product", Outcome::items_in_time);
    let without = mean(&load, "no-turns", Outcome::items_in_time);
    assert!(
        with > without + 0.02,
        "{with} with peer queues, {without} without"
    );
    let bound = mean(&load, "product", Outcome::bound_share);
    assert!(with > bound - 0.2, "{with}, upper bound {bound}");
}

/// Guards against cascading delays under overload: items that could no longer
/// complete in time ran first and made the next ones late too, until all were.
#[test]
fn items_that_cannot_complete_in_time_do_not_delay_others() {
    let mut load = uneven_load();
    load.jobs.per_s = 0.8;
    let demoted = mean(&load, "product", Outcome::items_in_time);
    let in_order = mean(&load, "late-in-line", Outcome::items_in_time);
    assert!(
        demoted > in_order,
        "{demoted} demoted, {in_order} in due order"
    );
}

/// Items are preempted for online requests, so that these meet their objective.
#[test]
fn online_requests_meet_their_objective_beside_items() {
    let load = uneven_load();
    let share = mean(&load, "product", |o| {
        o.online_in_time(load.online.objective_ms)
    });
    assert!(share > 0.99, "{share}");
}

#[test]
fn a_frozen_host_with_the_earliest_due_items_does_not_delay_others() {
    let mut load = uneven_load();
    load.frozen = vec![load::Frozen {
        at_s: 2.1,
        for_s: 30.0,
        host: 0,
    }];
    let outcome = run(&load, POLICIES[0], 1);
    let others = outcome.items.iter().filter(|item| item.arrived_ms != 2_000);
    let late = others.clone().filter(|item| !item.is_in_time()).count();
    // Items that arrive at the frozen host at random times are late too.
    let allowed = others.count() / 4;
    assert!(late <= allowed, "{late} late, {allowed} allowed");
}

#[rstest]
#[case::truncated_json("{", "EOF while parsing")]
#[case::unknown_field(r#"{"hots": 3}"#, "unknown field `hots`")]
#[case::wrong_type(r#"{"online": {"per_s": "many"}}"#, "online.per_s: invalid type")]
#[case::zero_duration(r#"{"seconds": 0}"#, "seconds: must be above 0")]
#[case::zero_hosts(r#"{"hosts": 0}"#, "hosts: must be from 1 to 1000")]
#[case::burst_at_unknown_host(
    r#"{"jobs": {"bursts": [{"at_s": 1, "jobs": 1, "host": 99}]}}"#,
    "host: must be one of the hosts"
)]
fn an_invalid_load_is_rejected_with_a_one_line_message(#[case] text: &str, #[case] expected: &str) {
    let err = load::parse(text.as_bytes()).unwrap_err().to_string();
    assert!(err.contains(expected), "{err}");
    assert!(!err.contains('\n'), "{err}");
}
