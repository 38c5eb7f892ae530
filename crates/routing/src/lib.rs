//! Choice of target, limits, retries, fair shares and preemption.
//!
//! [`table`] chooses the target of an online request, [`admission`] says
//! whether the host takes it at all, [`budget`] whether it may be tried again,
//! and [`slots`] how much batch work a target is given beside online work.
//! [`items`] says how long an item of a job still takes.
//! [`places`] does the work of the first and the last where hosts share all
//! targets and tell one another what they run, [`cells`] which hosts and targets
//! these are in a large fleet, [`dissemination`] who sends state to whom, and
//! [`discovery`] which targets there are. [`fingerprint`] names a request by
//! its content, and [`quarantine`] keeps those from targets under which they crash. All take time as input and do no I/O.

pub mod admission;
pub mod balancer;
pub mod budget;
pub mod cells;
pub mod discovery;
pub mod dissemination;
pub mod fingerprint;
pub mod items;
pub mod limit;
pub mod quarantine;
pub mod slots;
pub mod table;
