//! When targets crashed, whatever they ran, and how long an item waits after that.
//!
//! Jobs are not retried by their callers, and an item is not a request that crashes targets by
//! itself: one under which targets crashed is owed a result, and runs again in calm. A block that
//! only depends on the crashes under the item was rejected. After a burst of crashes it is either
//! too short for an item that is to blame, or so long that the jobs of the others have ended.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::IncarnationId;

/// Time without a crash after which an item may run, although targets crashed under it. Each crash
/// under it that itself followed as much calm doubles it.
const CALM: Duration = Duration::from_secs(5);

/// Time after the last crash under an item, or a part of its prompt, after which it may run although
/// other targets still crash. Also the greatest time that it waits for calm.
const ITEM_BLOCK_MAX: Duration = Duration::from_secs(60);

/// Number of crashes that are remembered, the newest ones.
const CRASHES_REMEMBERED: usize = 256;

/// The crashes that a host knows of.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashTimes(HashMap<IncarnationId, Instant>);

impl CrashTimes {
    /// Adds a crash, which may be known.
    pub(super) fn add(&mut self, incarnation: IncarnationId, at: Instant) {
        if self.0.contains_key(&incarnation) {
            return;
        }
        if self.0.len() == CRASHES_REMEMBERED {
            let oldest = self.0.iter().min_by_key(|(_, at)| **at);
            let Some((oldest, oldest_at)) = oldest.map(|(id, at)| (*id, *at)) else {
                return;
            };
            if at < oldest_at {
                return;
            }
            self.0.remove(&oldest);
        }
        self.0.insert(incarnation, at);
    }

    /// Returns the time until an item may run, under which, or under a part of whose prompt, targets
    /// crashed at these times; `None` if it may run now.
    pub(super) fn item_block(
        &self,
        crashes: impl Iterator<Item = (IncarnationId, Instant)> + Clone,
        now: Instant,
    ) -> Option<Duration> {
        let last = crashes.clone().map(|(_, at)| at).max()?;
        let newest = self.0.values().copied().max();
        let newest = newest.map_or(last, |newest| newest.max(last));
        let after_calm = crashes.filter(|crash| self.follows_calm(*crash)).count();
        let factor = 2_u32.saturating_pow(u32::try_from(after_calm).unwrap_or(u32::MAX));
        let calm = CALM.saturating_mul(factor).min(ITEM_BLOCK_MAX);
        let until = (newest + calm).min(last + ITEM_BLOCK_MAX);
        let block = until.saturating_duration_since(now);
        (!block.is_zero()).then_some(block)
    }

    /// Returns whether no other target had crashed for [`CALM`] before a crash, but one had earlier.
    fn follows_calm(&self, (incarnation, at): (IncarnationId, Instant)) -> bool {
        let mut earlier = self
            .0
            .iter()
            .filter(|(known, known_at)| **known != incarnation && **known_at <= at)
            .peekable();
        earlier.peek().is_some() && earlier.all(|(_, known_at)| at - *known_at >= CALM)
    }
}
