//! Bounds the memory and the connections that callers occupy.
//!
//! An [`Intake`] has a budget of bytes. Each connection takes [`CONNECTION_BYTES`] of it, and
//! whatever else is kept for a caller is reserved before it is kept: [`read_body`] does so for
//! bodies, [`Connection::reserve`] for anything else. An [`Entrance`] admits the connections of one
//! listener, up to a number.
//!
//! When bytes or connections are short, connections are closed on which the host waits for the
//! caller: for a request or the rest of one, or until the caller reads. The one that has kept the
//! host waiting for longest is closed first. A connection whose request runs is never closed.
//! So crowds of callers that do not finish push out one another, and a caller that sends its
//! request at once is served.
//!
//! ```
//! use notchwharf_intake::{CONNECTION_BYTES, Intake};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), notchwharf_intake::error::Shortage> {
//! let intake = Intake::new(16 * CONNECTION_BYTES);
//! let entrance = intake.entrance(2);
//! let idle = entrance.admit().await?;
//! let second = entrance.admit().await?;
//! let third = entrance.admit().await?;
//! // The first connection is told to close; until it does, it is still counted.
//! idle.closed().await;
//! assert_eq!(intake.report().connections, 3);
//! drop(idle);
//! assert_eq!(intake.report().connections, 2);
//! # Ok(())
//! # }
//! ```
//!
//! Letting callers wait in line for bytes was rejected: a caller that holds a part of a body while
//! it waits for the rest keeps others from finishing theirs. Fixed shares of the budget for each
//! connection were rejected too: a share that is small enough for a crowd is too small for the
//! largest request.

mod body;
mod buffer;
mod connection;
pub mod error;
mod json;
mod ledger;
mod machine;
mod room;

pub use self::body::BodyLimits;
pub use self::body::read_body;
pub use self::connection::BodyWait;
pub use self::connection::Connection;
pub use self::connection::Entrance;
pub use self::connection::Intake;
pub use self::connection::Reservation;
pub use self::connection::Turn;
pub use self::json::json_bytes;
pub use self::ledger::Report;
pub use self::machine::Machine;
pub use self::room::Room;

/// Size of the receive buffer that is set on sockets of callers, in bytes. The kernel doubles it for its own
/// bookkeeping.
pub const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Size of the send buffer that is set on sockets of callers, in bytes. The kernel doubles it, too.
pub const SEND_BUFFER_BYTES: usize = 8 << 10;
/// Bytes of a connection in the process: its tasks, and buffers of usual size.
const PROCESS_BYTES: u64 = 16 << 10;
/// Bytes that a connection takes of the budget: what it may occupy in the kernel's buffers and in
/// the process while nothing else is kept for its caller.
pub const CONNECTION_BYTES: u64 =
    PROCESS_BYTES + 2 * (RECEIVE_BUFFER_BYTES as u64 + SEND_BUFFER_BYTES as u64);
