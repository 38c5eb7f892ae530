//! Tests that orders bring targets to their plan, one step at a time.
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

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(|n| (*n).to_owned()).collect()
}

#[rstest]
#[case::nothing_to_do(&["a"], &["a"], &[], 0, None)]
#[case::load_before_unload(&["b"], &["a"], &[], 1, Some(Step::Load("b".into())))]
#[case::one_at_a_time(&["b"], &["a"], &["b"], 1, None)]
#[case::unload_after_load(&["b"], &["a", "b"], &[], 1, Some(Step::Unload("a".into())))]
#[case::last_replica_is_kept(&["b"], &["a", "b"], &[], 0, None)]
#[case::last_replica_outside_of_the_bundle_is_unloaded(&["b"], &["old", "b"], &[], 0, Some(Step::Unload("old".into())))]
fn the_next_order_follows_from_the_reported_state(
    #[case] desired: &[&str],
    #[case] loaded: &[&str],
    #[case] loading: &[&str],
    #[case] other_replicas: usize,
    #[case] expected: Option<Step>,
) {
    let state = TargetState {
        loaded: owned(loaded),
        loading: owned(loading),
    };
    let step = next_step(&owned(desired), &state, |_| other_replicas, |f| f != "old");
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
    /// Every serving is assigned its number of replicas, or all targets if there are fewer, and
    /// no target is assigned a serving twice.
    #[test]
    fn a_plan_assigns_the_requested_replicas(
        replicas in proptest::collection::vec(1..5_u32, 1..6),
        target_count in 1..20_usize,
    ) {
        let servings: Vec<Serving> = replicas
            .iter()
            .enumerate()
            .map(|(i, r)| serving(&format!("m{i}"), *r))
            .collect();
        let target_names: Vec<String> = (0..target_count).map(|i| format!("t{i}")).collect();
        let target_names: Vec<&str> = target_names.iter().map(String::as_str).collect();
        let plan = plan(&servings, &target_names);
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for assigned in plan.values() {
            let distinct: BTreeSet<&str> = assigned.iter().map(|s| s.name.as_str()).collect();
            prop_assert_eq!(distinct.len(), assigned.len());
            for serving in assigned {
                *counts.entry(&serving.name).or_default() += 1;
            }
        }
        for serving in &servings {
            let replicas_max = u32::try_from(target_count).unwrap();
            prop_assert_eq!(counts[serving.name.as_str()], serving.replicas.min(replicas_max));
        }
    }

    /// Orders alone bring all targets to the plan, and a serving of the current bundle that any
    /// target holds keeps at least one replica throughout.
    #[test]
    fn a_rollout_reaches_its_plan_and_never_removes_the_last_replica(
        initial in proptest::collection::vec(proptest::collection::btree_set(0..4_u8, 0..3), 2..6),
        replicas in 1..4_u32,
        reconciled in proptest::collection::vec(0..6_usize, 200),
    ) {
        let name = |i: u8| format!("m{i}");
        let servings: Vec<Serving> = (0..3).map(|i| serving(&name(i), replicas)).collect();
        let targets: Vec<String> = (0..initial.len()).map(|i| format!("t{i}")).collect();
        let targets: Vec<&str> = targets.iter().map(String::as_str).collect();
        let plan = plan(&servings, &targets);
        let mut loaded: Vec<BTreeSet<String>> =
            initial.iter().map(|s| s.iter().map(|i| name(*i)).collect()).collect();
        let is_current = |f: &str| servings.iter().any(|s| s.name == f);
        let count = loaded.len();
        for index in reconciled.iter().map(|index| index % count) {
            let before: BTreeSet<String> = loaded.iter().flatten().cloned().collect();
            let desired: Vec<String> = plan[targets[index]].iter().map(|s| s.name.clone()).collect();
            let state =
                TargetState { loaded: loaded[index].iter().cloned().collect(), loading: Vec::new() };
            let other_replicas = |f: &str| {
                let other_targets = loaded.iter().enumerate().filter(|(i, _)| *i != index);
                other_targets.filter(|(_, l)| l.contains(f)).count()
            };
            match next_step(&desired, &state, other_replicas, is_current) {
                Some(Step::Load(f)) => { loaded[index].insert(f); }
                Some(Step::Unload(f)) => { loaded[index].remove(&f); }
                None => {}
            }
            let after: BTreeSet<String> = loaded.iter().flatten().cloned().collect();
            for removed in before.difference(&after) {
                prop_assert!(!is_current(removed), "{} was the last replica.", removed);
            }
        }
        for (target, desired) in &plan {
            let index = targets.iter().position(|t| t == target).unwrap();
            for serving in desired {
                prop_assert!(loaded[index].contains(&serving.name));
            }
        }
    }
}
