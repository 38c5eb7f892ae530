//! Small stand-ins for the platform and the targets, for tests and trials.
//!
//! They speak the protocols of what they stand for, over HTTP on loopback, and
//! fail on request. They are not published and are no part of the product.

pub mod engine;
pub mod fleet;
pub mod http;
pub mod lab;
pub mod listing;
pub mod model;
pub mod platform;
pub mod service;
