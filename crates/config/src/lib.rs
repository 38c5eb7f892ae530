//! Settings of a host, and the versioned bundle that operators sign off.
//!
//! [`settings`] is what one process is told at start. [`bundle`] is what the
//! whole fleet serves, and [`history`] is the fold that says which bundle is
//! in force. None of it does any I/O.

pub mod bundle;
pub mod error;
pub mod history;
mod json;
pub mod settings;

/// The name of a customer, as the bundle spells it.
pub type TenantId = String;
/// The name of a data centre, as settings and the host list spell it.
pub type DataCentreId = String;
/// The name under which callers ask for a serving.
pub type ServingName = String;
/// The log offset of a bundle's proposal, which is its version.
pub type Version = u64;
