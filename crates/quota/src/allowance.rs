//! When buckets may begin with more than nothing.
//!
//! A holder that starts does not know what the one before let in. It may have let in all
//! that a window holds, so a bucket has to begin empty; then callers below their limits
//! are refused just after all hosts have started. So a part of what limits may be exceeded
//! by is kept out of the buckets, and a holder that knows nothing begins with that: as
//! often as once a window and no oftener. That is what the store is asked for, in one
//! record for each slot; while hosts run, nothing is written.
//!
//! Weighed: counts written behind (several calls a second, and what was let in since the
//! last one is unknown all the same), reserving ahead (the same calls, and a store that is
//! away stops requests), and a proof that no earlier holder lives (it says nothing of what
//! that one let in). Figures are in `docs/design/start-limits.md`.

use std::time::Duration;

use crate::holder::ALLOWANCE_TIME;

/// By how much the times of day of two hosts may differ, in steps of a clock that is set
/// as well. The platform promises less; a wrong clock alone must not break a limit.
const CLOCKS_APART_MAX: Duration = Duration::from_millis(2_500);

/// Returns whether an allowance may be taken now that was last taken, or asked for, at a
/// time of day; nothing if it never was. What parts bring late counts too.
pub fn is_allowance_due(last_unix_ms: Option<u64>, now_unix_ms: u64, window: Duration) -> bool {
    let Some(last_unix_ms) = last_unix_ms else {
        return true;
    };
    let least = window + ALLOWANCE_TIME + CLOCKS_APART_MAX;
    // One that lies ahead was written by a host whose clock goes ahead.
    let passed = now_unix_ms.checked_sub(last_unix_ms);
    passed.is_some_and(|passed| Duration::from_millis(passed) >= least)
}
