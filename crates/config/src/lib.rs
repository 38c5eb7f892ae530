//! Settings of a host, and the versioned bundle that operators sign off.
//!
//! [`settings`] is what one process is told at start. [`bundle`] is what the
//! whole fleet serves, and [`history`] is the fold that says which bundle is
//! in force. Where the users' platform keeps the configuration, [`routes`] is
//! what the fleet serves and [`gateway`] what one process is told. [`access`] says who
//! calls. None of it does any I/O.

pub mod access;
pub mod bundle;
mod check;
pub mod error;
pub mod gateway;
pub mod history;
mod json;
pub mod routes;
pub mod settings;

/// The name of a customer, as the bundle spells it.
pub type TenantId = String;
/// The name of a data centre, as settings and the host list spell it.
pub type DataCentreId = String;
/// The name under which callers ask for a serving.
pub type ServingName = String;
/// The log offset of a bundle's proposal, which is its version.
pub type Version = u64;
