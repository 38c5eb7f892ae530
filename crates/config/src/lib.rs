//! Settings of a host, and the versioned configuration of the fleet.
//!
//! [`settings`] defines what one process reads at start. [`bundle`] defines what the whole
//! fleet serves and is signed off by operators; [`history`] is the fold that determines which
//! bundle is in force. Where the users' platform stores the configuration, [`routes`] defines
//! what the fleet serves and [`gateway`] what one process reads at start. [`intake`] is a part of the settings of both kinds of host. [`access`]
//! identifies callers, and [`evacuation`] data centres without new requests. The crate performs
//! no I/O.

pub mod access;
pub mod bundle;
mod check;
pub mod error;
pub mod evacuation;
pub mod gateway;
pub mod history;
pub mod intake;
mod json;
pub mod routes;
pub mod settings;

/// The name of a workspace in the bundle, which calls workspaces tenants.
pub type TenantId = String;
/// The name of a data centre in settings and the host list.
pub type DataCentreId = String;
/// The name by which callers request a serving.
pub type ServingName = String;
/// The version of a bundle: the log offset of its proposal.
pub type Version = u64;
