//! Determines the next order to one target.
//!
//! Reconciliation is level-triggered: the state reported by a target is compared with the
//! desired state, and the first difference becomes an order. No state is kept between calls,
//! so a lost order, a lost response and a restarted target need no separate handling.

/// The state reported by a target, as fingerprints of servings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetState {
    /// The servings that the target has loaded.
    pub loaded: Vec<String>,
    /// The servings that the target is loading.
    pub loading: Vec<String>,
}

/// An order that changes which servings a target holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Load the serving with this fingerprint.
    Load(String),
    /// Unload the serving with this fingerprint.
    Unload(String),
}

/// Returns the next order to a target, if there is one.
///
/// `desired` are the fingerprints of the servings that the target should hold. `other_replicas`
/// returns the number of other ready targets that hold a fingerprint, and `is_current` whether
/// the current bundle contains it.
///
/// Servings are loaded before others are unloaded, and one at a time because all targets share
/// the store of model weights. A serving of the current bundle is unloaded only if another
/// ready target holds it, so a rollout never removes the last replica.
pub fn next_step(
    desired: &[String],
    state: &TargetState,
    other_replicas: impl Fn(&str) -> usize,
    is_current: impl Fn(&str) -> bool,
) -> Option<Step> {
    if !state.loading.is_empty() {
        return None;
    }
    let missing = desired.iter().find(|f| !state.loaded.contains(f));
    if let Some(missing) = missing {
        return Some(Step::Load(missing.clone()));
    }
    let surplus = state.loaded.iter().filter(|f| !desired.contains(f));
    let mut removable = surplus.filter(|f| !is_current(f) || other_replicas(f) > 0);
    removable
        .next()
        .map(|fingerprint| Step::Unload(fingerprint.clone()))
}
