//! Selects the host of a data centre that reads the log.
//!
//! Hosts are ranked by rendezvous hashing. The host ranked first reads; any other host
//! reads once it has received no fresh announcement from a host ranked before it for a time
//! that grows with its own rank. No agreement on liveness is needed: one host takes over
//! after a single failure, and a few do after many. The wait is capped, so every host reads
//! for itself before the deadline regardless of the hosts ranked before it.

use std::time::Duration;

use notchwharf_ledger::rendezvous;

/// Rendezvous key of the ranking.
const RANK_KEY: &str = "read";

/// Divisor of the deadline after which the second host takes over. The remaining time is
/// needed to read, announce and apply the records.
const TAKEOVER_DIVISOR: u32 = 2;
/// Fraction of the deadline after which every host reads for itself.
const FALLBACK_NUMERATOR: u32 = 7;
const FALLBACK_DENOMINATOR: u32 = 10;
/// Upper limit of the takeover timeout; a longer one would not save any calls.
const TAKEOVER_MAX: Duration = Duration::from_secs(1);
/// Announcements per takeover timeout; tolerates the loss of one or two.
const ANNOUNCEMENTS_PER_TAKEOVER: u32 = 4;
/// Divisor of the takeover timeout by which each further rank waits longer, so that the
/// host ranked before it can read and announce first.
const RANK_DELAY_DIVISOR: u32 = 10;

/// Timeouts of reader selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Time between two announcements of a reader.
    pub announce_interval: Duration,
    /// Time without a fresh announcement after which the host ranked second reads.
    pub takeover_after: Duration,
    /// Additional wait per further rank.
    pub rank_delay: Duration,
    /// Time without a fresh announcement after which any host reads.
    pub fallback_after: Duration,
}

impl Timeouts {
    /// Returns the timeouts with which records are applied within `deadline` of being appended
    /// to the log.
    pub fn for_deadline(deadline: Duration) -> Self {
        let takeover_after = (deadline / TAKEOVER_DIVISOR).min(TAKEOVER_MAX);
        Self {
            announce_interval: takeover_after / ANNOUNCEMENTS_PER_TAKEOVER,
            takeover_after,
            rank_delay: takeover_after / RANK_DELAY_DIVISOR,
            fallback_after: deadline * FALLBACK_NUMERATOR / FALLBACK_DENOMINATOR,
        }
    }
}

/// Returns the rank of a host among all candidates, itself included; 0 is the first.
pub fn rank<'a>(own: &str, hosts: impl IntoIterator<Item = &'a str>) -> usize {
    let hosts = hosts.into_iter();
    hosts.filter(|host| ranks_before(host, own)).count()
}

/// Returns whether `one` is ranked before `other`.
pub fn ranks_before(one: &str, other: &str) -> bool {
    (rendezvous::weight(RANK_KEY, one), one) > (rendezvous::weight(RANK_KEY, other), other)
}

/// Returns whether a host of the given rank reads, by the time since its last fresh
/// announcement from a host ranked before it.
pub fn should_read(rank: usize, silence: Duration, timeouts: Timeouts) -> bool {
    let Some(extra_ranks) = rank.checked_sub(1) else {
        return true;
    };
    let steps = u32::try_from(extra_ranks).unwrap_or(u32::MAX);
    let wait = timeouts.takeover_after + timeouts.rank_delay.saturating_mul(steps);
    silence >= wait.min(timeouts.fallback_after)
}
