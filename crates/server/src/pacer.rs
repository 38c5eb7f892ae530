//! Rate limit on the blobs that this host appends to the log.
//!
//! The whole fleet may append only a few hundred records per second. Each shard and each
//! host's blobs count as one writer, and every writer gets an equal share of that budget.
//! This needs no coordination, because hosts see nearly the same set of live hosts.
//! Rejected: backing off only when the log rejects appends, since writers then exceed the
//! limit in order to find it.

use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::context::lock;

/// Spaces out the appends of one writer.
#[derive(Debug, Default)]
pub(crate) struct Pacer {
    state: Mutex<(Duration, Option<Instant>)>,
}

impl Pacer {
    /// Sets the time between two appends.
    pub(crate) fn set(&self, interval: Duration) {
        lock(&self.state).0 = interval;
    }

    /// Waits until this host may append.
    pub(crate) async fn wait(&self) {
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

/// Returns the interval between two appends of one of `writers` writers.
pub(crate) fn append_interval(writers: usize, appends_per_s: u32) -> Duration {
    let writers = u32::try_from(writers).unwrap_or(u32::MAX);
    Duration::from_secs(1) * writers / appends_per_s.max(1)
}
