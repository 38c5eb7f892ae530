//! Rule for starting buckets with a startup allowance.
//!
//! A holder that starts does not know what its predecessor admitted, which may be all that a
//! window permits, so its buckets have to start empty. Requests below their limits would then
//! be refused right after all hosts have restarted. A fraction of the tolerated excess is
//! therefore withheld from the buckets, and a holder without prior state starts with that
//! allowance, at most once per window. The store records when it was last granted, in one
//! record per holder slot; nothing is written in normal operation.
//!
//! Alternatives rejected: writing counts asynchronously (several store calls per second, and
//! the requests admitted since the last write are unknown anyway), reserving tokens ahead (as
//! many calls, and requests stop while the store is unavailable), and proving that no earlier
//! holder is alive (which does not show how much it admitted).

use std::time::Duration;

use crate::holder::ALLOWANCE_TTL;

/// Largest expected difference between the wall clocks of two hosts, including steps of a
/// clock that is being adjusted. The platform specifies less, but an incorrect clock alone
/// must not exceed a limit.
const CLOCK_SKEW_MAX: Duration = Duration::from_millis(2_500);

/// Returns whether the allowance may be granted now, given the wall-clock time at which it
/// was last granted or requested; `None` if it never was. The period during which leases
/// still add their allowance is taken into account.
pub fn is_allowance_due(last_unix_ms: Option<u64>, now_unix_ms: u64, window: Duration) -> bool {
    let Some(last_unix_ms) = last_unix_ms else {
        return true;
    };
    let min_elapsed = window + ALLOWANCE_TTL + CLOCK_SKEW_MAX;
    // A time in the future was written by a host whose clock is ahead.
    let elapsed = now_unix_ms.checked_sub(last_unix_ms);
    elapsed.is_some_and(|elapsed| Duration::from_millis(elapsed) >= min_elapsed)
}
