//! The time between two appends of blobs by this host.
//!
//! The whole fleet may append only several hundred times a second. Every shard
//! and every host's blobs are one writer each, and each writer takes its equal
//! part of the budget. Hosts agree on nothing for this: they see the same live
//! hosts, or nearly so. Backing off when the log refuses was rejected as the
//! only means, since it lets writers find the limit by running into it.

use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::context::lock;

/// Spaces the appends of one writer.
#[derive(Debug, Default)]
pub(crate) struct Pacer {
    state: Mutex<(Duration, Option<Instant>)>,
}

impl Pacer {
    /// Sets the time between two appends.
    pub(crate) fn set(&self, pace: Duration) {
        lock(&self.state).0 = pace;
    }

    /// Waits until this host may append.
    pub(crate) async fn turn(&self) {
        let at = {
            let mut state = lock(&self.state);
            let now = Instant::now();
            let at = state.1.map_or(now, |next| next.max(now));
            state.1 = Some(at + state.0);
            at
        };
        tokio::time::sleep_until(at).await;
    }
}

/// Returns the time between two appends of one of so many writers.
pub(crate) fn pace(writers: usize, appends_per_s: u32) -> Duration {
    let writers = u32::try_from(writers).unwrap_or(u32::MAX);
    Duration::from_secs(1) * writers / appends_per_s.max(1)
}
