//! Keeps requests from targets that crash under them.
//!
//! The decisions are pure and stand in [`notchwharf_routing::quarantine`]. Here is what a
//! host needs around them: a [`gate::Gate`] that a request passes before each send, and
//! [`news`], the form in which hosts tell one another. How a host finds out that a target
//! crashed, and how it reaches other hosts, is its own.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use notchwharf_quarantine::gate::{Gate, Blocked};
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
