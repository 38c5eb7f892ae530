//! Whether the targets that a host knows are those of the present.
//!
//! A view of the targets is used as long as nothing contradicts it, and a host that stood still or is cut
//! off hears no contradiction. Two decisions therefore ask for the time as of which the view is complete:
//! which version a stream began at that its caller does not name, and where a host sends to that has just
//! stood still.
//!
//! Asking the store for each request was rejected: it costs a call and a round trip for a view that is at most
//! some hundred milliseconds old while reads succeed.

use std::time::Duration;
use std::time::Instant;

use super::Catalog;
use super::State;
use super::follow::SWEEP_INTERVAL;
use super::follow::notify;
use crate::context::Context;
use crate::metrics::Counted;
use crate::ports::Topic;
use crate::sync::lock;

/// Minimum time between two reads that confirm the view. Requests that arrive meanwhile share a read.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two checks of whether the peers have reported.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which a host must have stood still to distrust its view. Shorter stalls are within what a
/// leaving target is given beyond the delays of [`super::follow`].
const STANDSTILL_MIN: Duration = Duration::from_millis(500);
/// Time after a standstill for which requests wait for the first read: a store that works answers
/// sooner, even if it is slow or the connection has to be opened anew.
const STANDSTILL_WAIT: Duration = Duration::from_secs(1);

/// When the host last ran, and when it last began to run again.
#[derive(Clone, Copy, Debug)]
pub(super) struct Standstill {
    ran_at: Instant,
    resumed_at: Option<Instant>,
}

impl Standstill {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            ran_at: now,
            resumed_at: None,
        }
    }

    /// Returns whether the host should have recorded since that it runs.
    fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.ran_at) > 2 * SWEEP_INTERVAL
    }

    /// Records that the host runs; called in a shorter interval than a standstill lasts.
    pub(super) fn record_run(&mut self, now: Instant) {
        self.resumed_at = self.ended_at(now);
        self.ran_at = now;
    }

    /// Returns when the last standstill ended, which is now if nothing has been recorded since.
    fn ended_at(&self, now: Instant) -> Option<Instant> {
        let gap = now.saturating_duration_since(self.ran_at);
        match gap >= STANDSTILL_MIN {
            true => Some(now),
            false => self.resumed_at,
        }
    }
}

/// Waits, after the host stood still, until it knows the targets that left meanwhile. A host that learns
/// nothing for [`STANDSTILL_WAIT`] goes on with what it knows, as in an outage.
pub(crate) async fn wait_after_standstill(ctx: &Context) {
    let now = Instant::now();
    if ctx.catalog.is_sweep_overdue(now) {
        ctx.catalog.sweep(now);
    }
    let outdated_since = ctx.catalog.outdated_since(now);
    let Some(resumed_at) = outdated_since.filter(|at| now < *at + STANDSTILL_WAIT) else {
        return;
    };
    ctx.metrics
        .count(Counted::Changes, "targets confirmed after standstill");
    let confirm = async {
        while !ctx.catalog.are_targets_complete(resumed_at) {
            read_newest(ctx, resumed_at).await;
        }
    };
    let ends_at = resumed_at + STANDSTILL_WAIT;
    let _ = tokio::time::timeout_at(ends_at.into(), confirm).await;
}

/// Ensures that the targets known here are those of `since` or later; returns whether they are. Asks the
/// store, and if it does not answer, waits for the reports of all peers: whatever one of them knows of
/// the targets is known here then.
pub(crate) async fn confirm(ctx: &Context, since: Instant, deadline: Instant) -> bool {
    if ctx.catalog.are_targets_complete(since) {
        return true;
    }
    let deadline = tokio::time::Instant::from_std(deadline);
    let confirmed = tokio::time::timeout_at(deadline, async {
        if ctx.store.is_up() {
            read_newest(ctx, since).await;
        }
        if ctx.catalog.are_targets_complete(since) {
            return true;
        }
        wait_for_peers(ctx, since).await;
        ctx.metrics
            .count(Counted::Changes, "targets confirmed by peers");
        true
    });
    confirmed.await.unwrap_or(false)
}

/// Reads the newest entries, unless another request has done so since.
async fn read_newest(ctx: &Context, since: Instant) {
    let mut last = ctx.catalog.last_targets_check.lock().await;
    if ctx.catalog.are_targets_complete(since) {
        return;
    }
    if let Some(last) = *last {
        tokio::time::sleep_until((last + CONFIRM_INTERVAL).into()).await;
    }
    *last = Some(Instant::now());
    let from = Some(ctx.catalog.targets_end()).filter(|end| *end > 0);
    let attempt = ctx.follower().read_once(Topic::Targets, from).await;
    ctx.metrics.count(Counted::Changes, "targets looked for");
    let updated = ctx.catalog.apply_targets(attempt, Instant::now());
    notify(ctx, updated);
}

/// Waits until all peers that are alive have reported since, and none knows more of the targets.
async fn wait_for_peers(ctx: &Context, since: Instant) {
    loop {
        let newest = ctx.peers.newest_targets_since(since);
        if newest.is_some_and(|newest| newest <= ctx.catalog.targets_end()) {
            return;
        }
        tokio::time::sleep(PEER_CHECK_INTERVAL).await;
    }
}

impl Catalog {
    /// Returns whether every change of targets that the store had acknowledged before is known.
    fn are_targets_complete(&self, since: Instant) -> bool {
        lock(&self.state).targets.complete_as_of() >= Some(since)
    }

    /// Returns whether targets whose entries have expired may still be in use, as the host was not
    /// scheduled in time.
    fn is_sweep_overdue(&self, now: Instant) -> bool {
        lock(&self.state).standstill.is_overdue(now)
    }

    /// Returns when the host last began to run again, unless it has read the targets since.
    fn outdated_since(&self, now: Instant) -> Option<Instant> {
        let state = lock(&self.state);
        let State {
            standstill,
            targets,
            ..
        } = &*state;
        let resumed_at = standstill.ended_at(now)?;
        (targets.complete_as_of() < Some(resumed_at)).then_some(resumed_at)
    }
}
