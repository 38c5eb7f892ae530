//! Serves online and batch inference on one fleet of model engines, from many
//! small hosts of which none is special.
//!
//! This package is a front on its members, each of which has one concern. Use
//! [`server`] to run a host in a process of your own; the decisions it rests on
//! are in the others, do no I/O, and can be used and tested alone.
//!
//! ```
//! use notchwharf::config::bundle;
//! use notchwharf::placement::plan::plan;
//!
//! let text = br#"{"servings": [{"name": "hints", "model": "tutor", "version": "3",
//!                               "replicas": 2}]}"#;
//! let bundle = bundle::parse(text).unwrap();
//! let plan = plan(&bundle.servings, &["t1", "t2", "t3"]);
//! assert_eq!(plan.values().filter(|held| !held.is_empty()).count(), 2);
//! ```
//!
//! The two programs, `notchwharfd` and `notchwharf`, are in packages of their
//! own, as is the protocol between hosts, which is no part of this interface.

pub use notchwharf_config as config;
pub use notchwharf_gateway as gateway;
pub use notchwharf_ledger as ledger;
pub use notchwharf_membership as membership;
pub use notchwharf_placement as placement;
pub use notchwharf_routing as routing;
pub use notchwharf_server as server;
