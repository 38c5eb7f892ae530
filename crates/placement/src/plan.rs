//! Assignment of servings (model deployments) to targets.
//!
//! Every host computes the plan independently, from the bundle and the targets known to it.
//! Hosts that know different targets may temporarily compute different plans, and a serving
//! then has too many or too few replicas until they converge. This is safe because orders are
//! idempotent and only the holder of a target sends orders to it.
//!
//! ```
//! use notchwharf_config::bundle::Serving;
//! use notchwharf_placement::plan::plan;
//!
//! let serving = |name: &str| Serving {
//!     name: name.into(), model: name.into(), adapter: None, version: "1".into(), replicas: 1,
//! };
//! let servings = [serving("a"), serving("b")];
//! let plan = plan(&servings, &["t1", "t2"]);
//! assert_eq!(plan.len(), 2);
//! assert!(plan.values().all(|servings| servings.len() == 1));
//! ```

use std::collections::BTreeMap;

use notchwharf_config::bundle::Serving;

/// The servings that each target should hold, by target.
pub type Plan<'a> = BTreeMap<&'a str, Vec<&'a Serving>>;

/// Returns the servings that each of `targets` should hold.
///
/// A serving is assigned to the targets that have the fewest servings so far, and among those
/// to the ones ranked first by rendezvous hashing, so that adding or removing a target moves
/// few servings.
pub fn plan<'a>(servings: &'a [Serving], targets: &[&'a str]) -> Plan<'a> {
    let mut plan: Plan<'a> = targets.iter().map(|t| (*t, Vec::new())).collect();
    let mut by_replicas: Vec<&Serving> = servings.iter().collect();
    by_replicas.sort_by(|a, b| b.replicas.cmp(&a.replicas).then(a.name.cmp(&b.name)));
    for serving in by_replicas {
        for target in preferred_targets(serving, &plan) {
            if let Some(assigned) = plan.get_mut(target) {
                assigned.push(serving);
            }
        }
    }
    plan
}

fn preferred_targets<'a>(serving: &Serving, plan: &Plan<'a>) -> Vec<&'a str> {
    let mut ranked: Vec<(usize, u64, &str)> = plan
        .iter()
        .map(|(target, assigned)| (assigned.len(), rank_hash(&serving.model, target), *target))
        .collect();
    ranked.sort_unstable();
    let count = usize::try_from(serving.replicas).unwrap_or(usize::MAX);
    let selected = ranked.into_iter().take(count);
    selected.map(|(_, _, target)| target).collect()
}

/// Returns the rendezvous hash of a target for a model; the lowest ranks first. It excludes the
/// version, so that a new version is rolled out on the same targets.
fn rank_hash(model: &str, target: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{model}\u{0}{target}").as_bytes())
}
