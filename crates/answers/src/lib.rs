//! Decides whether the head of an HTTP response is valid, and what proves the end of its body.
//!
//! A faulty server may send a head whose length or transfer coding is malformed. The HTTP library
//! rejects lines that are no fields and lengths that are no numbers. It accepts any transfer coding,
//! and reads the body to the end of the connection if the coding is not `chunked`; a length beside a
//! transfer coding is ignored, but stays in the head. Whoever forwards such a response by its head
//! frames bytes that the head does not describe. [`accept`] rejects these heads, and returns an
//! [`End`] that is the same as the library's view of the body.
//!
//! ```
//! use hyper::Response;
//! use hyper::header::TRANSFER_ENCODING;
//! use http_body_util::Full;
//! use notchwharf_answers::{End, accept, error};
//!
//! let mut resp = Response::new(Full::new(b"ok".as_slice()));
//! resp.headers_mut().insert(TRANSFER_ENCODING, "chunked".parse()?);
//! assert_eq!(accept(&mut resp), Ok(End::LastChunk));
//! resp.headers_mut().insert(TRANSFER_ENCODING, "chunke".parse()?);
//! assert_eq!(accept(&mut resp), Err(error::Head::Coding));
//! # Ok::<_, hyper::header::InvalidHeaderValue>(())
//! ```
//!
//! A response without either is accepted if its server has said that it closes the connection. One
//! that has not means to send another response there, and has lost its length.
//!
//! Both a length and a transfer coding are rejected, as RFC 9112 (6.1) permits: one of them is wrong,
//! and nothing shows which. Repairing such a head was rejected for the same reason.

pub mod error;
mod framing;
mod whole;

pub use self::framing::End;
pub use self::framing::accept;
pub use self::framing::is_cut;
pub use self::whole::Reader;
pub use self::whole::read_whole;
