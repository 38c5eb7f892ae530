//! The server that runs on every host.
//!
//! Use [`Server::start`] with validated settings. All hosts are equal, and each takes
//! every role. [`Server::leave`] finishes outstanding work and stops the host.
//!
//! ```no_run
//! # async fn example() -> Result<(), error_stack::Report<notchwharf_server::error::StartError>> {
//! use notchwharf_config::settings;
//! use notchwharf_server::Server;
//!
//! let text = br#"{"host": {"name": "a1", "data_centre": "cluj-1"}}"#;
//! let settings = settings::parse(text).expect("The settings are valid.");
//! let logger = slog::Logger::root(slog::Discard, slog::o!());
//! let server = Server::start(settings, logger).await?;
//! println!("listening on {}", server.addrs().listen);
//! server.leave().await;
//! # Ok(()) }
//! ```
//!
//! The modules are actors and tasks that perform the I/O for the decision logic of the
//! other packages. They share one context. An actor or task ends when its channel
//! closes or when the host reaches the phase `Stopped`.

mod api;
mod bundle;
mod callers;
mod context;
mod dispatch;
pub mod error;
mod exchange;
mod file_reader;
mod item;
mod keyed;
mod leases;
mod ledger;
mod lifecycle;
mod members;
mod metrics;
mod online;
mod pacer;
mod peers;
mod quarantine;
mod results;
mod shards;

pub use self::lifecycle::Addrs;
pub use self::lifecycle::Server;
