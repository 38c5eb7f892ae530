//! Stand-ins for the platform and the targets, for tests and measurements.
//!
//! They implement the protocols of the real services over HTTP on loopback, and
//! inject faults on request. They are unpublished and not part of a deployment.

pub mod engine;
pub mod fleet;
pub mod http;
pub mod lab;
pub mod listing;
pub mod model;
pub mod platform;
pub mod service;
