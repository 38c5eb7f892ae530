//! What may be taken for proof that nothing ran.
//!
//! A refusal promises its caller that the request has not run and never will; a request that must
//! run once may be sent again only if it did not run; and each run of an item counts towards its
//! limit. All three rest on the same proof, which is stated here only.
//!
//! # Requests and items
//!
//! A send has run nothing if
//!
//! - no byte of it was handed to the network: [`NoReply::NotSent`], or
//! - the process that received it refused it, as checked by [`check`]: its answer names the request,
//!   states the refusal, and arrived on a connection that had carried no other send under that id.
//!
//! The last condition belongs to the adapter, which chooses connections. An item is sent again
//! under its id, and a stream may be, so that an answer to an earlier send, which arrives late on a
//! connection that was kept, names the request as well.
//!
//! Nothing else is proof: not a status alone, an answer that names no request or another one, or a
//! connection that closes or falls silent. Such a send may have run. It is a doubt, not a failure:
//! the request is sent again only if its route allows it, and an item runs again within the limits
//! of `notchwharf_ledger::jobs::Attempts`.
//!
//! # Jobs
//!
//! A submission has no effect if the store has refused every call with its record, or was not
//! reached by it (`journal::AppendError::NotDone`), or if its record was read back from the log and
//! has none there; then no copy of the record has one. A peer to which a submission was forwarded
//! and that did not answer may have appended it.
//!
//! # Results
//!
//! An item has the outcome whose record comes first in the log. An item may run more than once, so
//! the text of each run is written under a key of its own: what a record names never changes.
//!
//! ```
//! use hyper::StatusCode;
//! use notchwharf_gateway::ports::NoReply;
//! use notchwharf_gateway::proof::{Answer, Named, check};
//!
//! let full = Answer { named: Named::This, status: StatusCode::SERVICE_UNAVAILABLE, states_not_run: true };
//! assert_eq!(check(full), Err(NoReply::Full));
//! // It may be late, and belong to any request.
//! let unnamed = Answer { named: Named::Nothing, ..full };
//! assert!(check(unnamed).unwrap_err().may_have_run());
//! ```

use hyper::StatusCode;

use crate::ports::NoReply;

/// Which request an answer names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Named {
    /// The one in whose place it arrived.
    This,
    /// Another one, or more than one.
    Another,
    /// None.
    Nothing,
}

/// What the head of an answer states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Which request it names.
    pub named: Named,
    /// Its status.
    pub status: StatusCode,
    /// Whether it states that the target ran nothing.
    pub states_not_run: bool,
}

/// Checks that an answer is the response to the request in whose place it arrived.
///
/// # Errors
///
/// Returns the refusal that it states, or [`NoReply::Unknown`] if it shows nothing about the
/// request, which then may have run.
pub fn check(answer: Answer) -> Result<(), NoReply> {
    match answer.named {
        Named::This => {}
        Named::Another => return Err(NoReply::Unknown("answer to another request")),
        Named::Nothing => return Err(NoReply::Unknown("answer without the request's id")),
    }
    match answer.status {
        StatusCode::MISDIRECTED_REQUEST => Err(NoReply::OtherTarget),
        _ if !answer.states_not_run => Ok(()),
        StatusCode::BAD_REQUEST => Err(NoReply::Rejected(answer.status)),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(NoReply::Full),
        _ => Err(NoReply::Unknown("refusal with another status")),
    }
}
