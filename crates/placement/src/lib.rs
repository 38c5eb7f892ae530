//! Orders to targets that bring the fleet to the current bundle, the one in force.
//!
//! [`plan`] computes the servings that each target should hold; all hosts that know the same
//! targets compute the same plan. [`reconcile`] compares the plan with the state reported by
//! one target and determines the next order to it.

pub mod plan;
pub mod reconcile;
