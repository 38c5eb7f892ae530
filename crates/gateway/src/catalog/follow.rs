//! Keeps the catalog up to date, and lets those know who act on it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_listen::Phase;

use super::News;
use crate::context::Context;
use crate::follow::Pace;
use crate::ports::Topic;

/// How the configuration is read. Operators' changes must be in force within
/// two seconds, or three from a fault of the connection: one that falls silent
/// is noticed within this wait and the store's timeout, 1.7 s by default.
pub(super) const CONFIG_PACE: Pace = Pace {
    wait: Duration::from_secs(1),
    gap: Duration::from_millis(150),
    pause_max: Duration::from_millis(200),
};
/// How targets are read. A target that leaves must get nothing new two seconds
/// later, or three from a fault of the connection; when a fleet starts, its
/// targets' entries come by the dozen.
pub(super) const TARGETS_PACE: Pace = Pace {
    wait: Duration::from_secs(1),
    gap: Duration::from_millis(300),
    pause_max: Duration::from_millis(200),
};
/// Time between two looks at targets whose entries are missing.
pub(super) const SWEEP: Duration = Duration::from_millis(50);

/// Starts to follow routes and targets.
pub(crate) fn start(ctx: &Arc<Context>) {
    let shared = Arc::clone(ctx);
    tokio::spawn(
        ctx.follower()
            .follow(Topic::Config, CONFIG_PACE, move |reading| {
                let news = shared.catalog.read_config(reading);
                tell(&shared, news);
            }),
    );
    let shared = Arc::clone(ctx);
    tokio::spawn(
        ctx.follower()
            .follow(Topic::Targets, TARGETS_PACE, move |reading| {
                let news = shared.catalog.read_targets(reading, Instant::now());
                tell(&shared, news);
            }),
    );
    tokio::spawn(sweep(Arc::clone(ctx)));
}

/// Lets those know who act on routes and targets.
pub(crate) fn tell(ctx: &Context, news: News) {
    if news.routes {
        ctx.enter(Phase::Ready);
        ctx.peers.tell();
    }
    if news.targets {
        ctx.items.wake();
    }
}

async fn sweep(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(SWEEP);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        ctx.catalog.sweep(Instant::now());
    }
}
