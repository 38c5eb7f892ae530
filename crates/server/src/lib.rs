//! The server that runs on every entry host.
//!
//! Use [`Server::start`] with checked settings; every host runs all roles, and
//! none is special. [`Server::leave`] lets it finish what it has.
//!
//! ```no_run
//! # async fn example() -> Result<(), error_stack::Report<notchwharf_server::error::Start>> {
//! use notchwharf_config::settings;
//! use notchwharf_server::Server;
//!
//! let text = br#"{"host": {"name": "a1", "data_centre": "cluj-1"}}"#;
//! let settings = settings::parse(text).expect("The settings are valid.");
//! let logger = slog::Logger::root(slog::Discard, slog::o!());
//! let server = Server::start(settings, logger).await?;
//! println!("callers connect to {}", server.addrs().listen);
//! server.leave().await;
//! # Ok(()) }
//! ```
//!
//! The parts are actors and tasks around the decisions of the other packages;
//! what they share is in one context. A part ends when its channel closes or
//! the process's phase says so.

mod api;
mod bundle;
mod context;
mod dispatch;
pub mod error;
mod exchange;
mod fleet;
mod item;
mod keyed;
mod ledger;
mod life;
mod members;
mod metrics;
mod online;
mod pacer;
mod peers;
mod quarantine;
mod results;
mod shards;

pub use self::life::Addrs;
pub use self::life::Server;
