//! Admission gate and report encoding of the quarantine of requests under which targets
//! crash.
//!
//! The decisions are pure and are made in [`notchwharf_routing::quarantine`]. This crate
//! adds what every kind of host needs around them: a [`gate::Gate`] that a request passes
//! before each send, and [`reports`], the encoding in which hosts send one another their
//! suspects. Detecting crashes and reaching other hosts is up to the caller.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use notchwharf_quarantine::gate::{Blocked, Gate};
//! use notchwharf_routing::quarantine::Crash;
//!
//! let gate = Gate::new("a1".into());
//! for incarnation in 0..3 {
//!     let run_time = Duration::from_millis(50);
//!     gate.record_crash(7, Crash { incarnation, run_time, detected_at: Instant::now() });
//! }
//! assert!(matches!(gate.try_admit(7), Err(Blocked::Refused { crashes: 3, .. })));
//! assert!(gate.try_admit(8).is_ok());
//! ```

pub mod gate;
pub mod reports;
