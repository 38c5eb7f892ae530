//! Which target should hold which serving.
//!
//! Every host computes the plan for itself from the bundle and the targets it
//! sees; nothing is agreed on beforehand. Two hosts that see different targets
//! may differ for a while, and then some serving has a replica too many or too
//! few until they agree: orders are idempotent, and the holder of a target is
//! the only one to give it orders.
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

/// Returns which servings each of `targets` should hold.
///
/// A serving takes the targets that have the fewest servings so far, and among
/// those the best by rendezvous hashing, so that a target that comes or goes
/// moves little.
pub fn plan<'a>(servings: &'a [Serving], targets: &[&'a str]) -> Plan<'a> {
    let mut plan: Plan<'a> = targets.iter().map(|t| (*t, Vec::new())).collect();
    let mut order: Vec<&Serving> = servings.iter().collect();
    order.sort_by(|a, b| b.replicas.cmp(&a.replicas).then(a.name.cmp(&b.name)));
    for serving in order {
        for target in preferred(serving, &plan) {
            if let Some(held) = plan.get_mut(target) {
                held.push(serving);
            }
        }
    }
    plan
}

fn preferred<'a>(serving: &Serving, plan: &Plan<'a>) -> Vec<&'a str> {
    let mut scored: Vec<(usize, u64, &str)> = plan
        .iter()
        .map(|(target, held)| (held.len(), score(&serving.model, target), *target))
        .collect();
    scored.sort_unstable();
    let count = usize::try_from(serving.replicas).unwrap_or(usize::MAX);
    let chosen = scored.into_iter().take(count);
    chosen.map(|(_, _, target)| target).collect()
}

/// The score leaves the version out, so that a roll-out stays on its targets.
fn score(model: &str, target: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{model}\u{0}{target}").as_bytes())
}
