//! The next order to one target.
//!
//! Level-triggered: what a target reports is compared with what it should
//! hold, and the first difference becomes an order. Nothing is remembered
//! between two looks, so a lost order, a lost answer and a restarted target
//! are all the same case.

/// What one target holds, by fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetState {
    /// What it can serve.
    pub loaded: Vec<String>,
    /// What it is loading.
    pub loading: Vec<String>,
}

/// An order to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Load this.
    Load(String),
    /// Drop this.
    Unload(String),
}

/// Returns the next order to a target, if there is one.
///
/// `others` tells how many other ready targets hold a fingerprint, and
/// `in_force` whether the bundle in force still names it. Loads come before
/// unloads, one at a time: the weight store is shared by all. Something that
/// the bundle names is unloaded only if another ready target holds it, so a
/// roll-out never removes the last.
pub fn next_step(
    wanted: &[String],
    state: &TargetState,
    others: impl Fn(&str) -> usize,
    in_force: impl Fn(&str) -> bool,
) -> Option<Step> {
    if !state.loading.is_empty() {
        return None;
    }
    let missing = wanted.iter().find(|w| !state.loaded.contains(w));
    if let Some(missing) = missing {
        return Some(Step::Load(missing.clone()));
    }
    let surplus = state.loaded.iter().filter(|h| !wanted.contains(h));
    let mut removable = surplus.filter(|h| !in_force(h) || others(h) > 0);
    removable.next().map(|held| Step::Unload(held.clone()))
}
