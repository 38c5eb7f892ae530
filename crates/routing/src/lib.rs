//! Load balancing, concurrency limits, retry budgets, fair shares and preemption.
//!
//! [`table`] selects the target of an online request, [`limit`] adapts the concurrency limit of a
//! target, and [`slots`] shares a target's slots between online and batch streams. [`admission`]
//! decides whether a host accepts a request, and [`budget`] whether a request may be retried.
//!
//! Where hosts share all targets and exchange their load, [`balancer`] replaces [`table`] and
//! [`slots`], and [`items`] schedules batch items. [`cells`] divides a large fleet, [`dissemination`]
//! decides which host reports to which, and [`discovery`] tracks which targets exist.
//! [`fingerprint`] identifies a request by its content, [`prompt`] the parts of a prompt that requests
//! share, and [`quarantine`] withholds requests under which targets crash.
//!
//! All modules take the current time as an argument and do no I/O.

pub mod admission;
pub mod balancer;
pub mod budget;
pub mod cells;
pub mod discovery;
pub mod dissemination;
pub mod fingerprint;
pub mod items;
pub mod limit;
pub mod prompt;
pub mod quarantine;
pub mod slots;
pub mod table;
