//! Orders to targets that bring the fleet to the bundle in force.
//!
//! [`plan`] says which servings each target should hold, the same on every
//! host that sees the same targets. [`reconcile`] compares that with what one
//! target reports and names the next order to it.

pub mod plan;
pub mod reconcile;
