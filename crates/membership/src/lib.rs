//! Live and leaving hosts and targets, replicated by gossip.
//!
//! [`fact`] defines the replicated facts and how two reports on the same subject merge.
//! [`gossip`] decides which hosts to probe and which facts to send. The platform's host list
//! is one source of several: it lags behind, so a host also uses its own observations and the
//! reports of its peers. An outdated report never overwrites a newer one.

mod dissemination;
pub mod fact;
pub mod gossip;
