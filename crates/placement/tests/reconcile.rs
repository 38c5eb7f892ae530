//! Orders bring a target to what it should hold, one step at a time.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use notchwharf_config::bundle::Serving;
use notchwharf_placement::plan::plan;
use notchwharf_placement::reconcile::Step;
use notchwharf_placement::reconcile::TargetState;
use notchwharf_placement::reconcile::next_step;
use proptest::prelude::*;
use rstest::rstest;

fn all(names: &[&str]) -> Vec<String> {
    names.iter().map(|n| (*n).to_owned()).collect()
}

#[rstest]
#[case::nothing_to_do(&["a"], &["a"], &[], 0, None)]
#[case::load_first(&["b"], &["a"], &[], 1, Some(Step::Load("b".into())))]
#[case::one_at_a_time(&["b"], &["a"], &["b"], 1, None)]
#[case::then_unload(&["b"], &["a", "b"], &[], 1, Some(Step::Unload("a".into())))]
#[case::not_the_last(&["b"], &["a", "b"], &[], 0, None)]
#[case::unless_out_of_force(&["b"], &["old", "b"], &[], 0, Some(Step::Unload("old".into())))]
fn the_next_order_follows_from_what_is_seen(
    #[case] wanted: &[&str],
    #[case] holds: &[&str],
    #[case] loading: &[&str],
    #[case] others: usize,
    #[case] expected: Option<Step>,
) {
    let seen = TargetState {
        loaded: all(holds),
        loading: all(loading),
    };
    let step = next_step(&all(wanted), &seen, |_| others, |held| held != "old");
    assert_eq!(step, expected);
}

fn serving(name: &str, replicas: u32) -> Serving {
    Serving {
        name: name.into(),
        model: name.into(),
        adapter: None,
        version: "1".into(),
        replicas,
    }
}

proptest! {
    /// Every serving gets its replicas, as far as there are targets, and a
    /// target that goes moves no serving between the others.
    #[test]
    fn a_plan_gives_what_was_asked(
        replicas in proptest::collection::vec(1..5_u32, 1..6),
        targets in 1..20_usize,
    ) {
        let servings: Vec<Serving> = replicas
            .iter()
            .enumerate()
            .map(|(i, r)| serving(&format!("m{i}"), *r))
            .collect();
        let names: Vec<String> = (0..targets).map(|i| format!("t{i}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let plan = plan(&servings, &names);
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for held in plan.values() {
            let distinct: BTreeSet<&str> = held.iter().map(|s| s.name.as_str()).collect();
            prop_assert_eq!(distinct.len(), held.len());
            for serving in held {
                *counts.entry(&serving.name).or_default() += 1;
            }
        }
        for serving in &servings {
            let most = u32::try_from(targets).unwrap();
            prop_assert_eq!(counts[serving.name.as_str()], serving.replicas.min(most));
        }
    }

    /// Targets driven by orders alone reach the plan, and at every moment each
    /// serving in force that some target held is held by one.
    #[test]
    fn a_roll_out_reaches_its_plan_and_never_drops_the_last(
        start in proptest::collection::vec(proptest::collection::btree_set(0..4_u8, 0..3), 2..6),
        replicas in 1..4_u32,
        order in proptest::collection::vec(0..6_usize, 200),
    ) {
        let name = |i: u8| format!("m{i}");
        let servings: Vec<Serving> = (0..3).map(|i| serving(&name(i), replicas)).collect();
        let targets: Vec<String> = (0..start.len()).map(|i| format!("t{i}")).collect();
        let targets: Vec<&str> = targets.iter().map(String::as_str).collect();
        let plan = plan(&servings, &targets);
        let mut held: Vec<BTreeSet<String>> =
            start.iter().map(|s| s.iter().map(|i| name(*i)).collect()).collect();
        let in_force = |f: &str| servings.iter().any(|s| s.name == f);
        let count = held.len();
        for at in order.iter().map(|at| at % count) {
            let before: BTreeSet<String> = held.iter().flatten().cloned().collect();
            let wanted: Vec<String> = plan[targets[at]].iter().map(|s| s.name.clone()).collect();
            let seen = TargetState { loaded: held[at].iter().cloned().collect(), loading: Vec::new() };
            let others = |f: &str| {
                let others = held.iter().enumerate().filter(|(i, _)| *i != at);
                others.filter(|(_, h)| h.contains(f)).count()
            };
            match next_step(&wanted, &seen, others, in_force) {
                Some(Step::Load(f)) => { held[at].insert(f); }
                Some(Step::Unload(f)) => { held[at].remove(&f); }
                None => {}
            }
            let after: BTreeSet<String> = held.iter().flatten().cloned().collect();
            for gone in before.difference(&after) {
                prop_assert!(!in_force(gone), "{} was the last.", gone);
            }
        }
        for (target, wanted) in &plan {
            let at = targets.iter().position(|t| t == target).unwrap();
            for serving in wanted {
                prop_assert!(held[at].contains(&serving.name));
            }
        }
    }
}
