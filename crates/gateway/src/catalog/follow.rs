//! Keeps the catalog up to date, and lets those know who act on it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_config::gateway::Settings;
use notchwharf_listen::Phase;
use tokio::sync::mpsc;

use super::News;
use super::config;
use crate::context::Context;
use crate::follower::PollConfig;
use crate::follower::Source;
use crate::peers;
use crate::ports::Topic;
use crate::time::ms;

/// Part of the time to settle after a fault that a reading's wait leaves: a
/// connection that falls silent is noticed after the wait and the store's timeout,
/// and a new one has to bring the news, 1,550 ms in all with the default settings.
/// The rest is a host that stands still for a moment.
const SETTLE_REST: Duration = Duration::from_secs(2);
/// Shortest wait of a reading: below, hosts would ask the store all the time.
const WAIT_MIN: Duration = Duration::from_millis(500);
/// Longest wait of a reading: half of what the store allows.
const WAIT_MAX: Duration = Duration::from_secs(15);
/// Time between two readings of the configuration that find one: it must be in
/// force within two seconds.
const CONFIG_GAP: Duration = Duration::from_millis(150);
/// Time between two readings of targets that find some. A target that leaves must
/// get nothing new two seconds later; when a fleet starts, its targets' entries
/// come by the dozen.
pub(super) const TARGETS_GAP: Duration = Duration::from_millis(300);
/// Longest pause after a reading of either failed.
const PAUSE_MAX: Duration = Duration::from_millis(200);

/// Returns how the configuration or targets are read. A reading that waits costs no
/// call, so it waits as long as the time to settle allows: 3 s where that is 5 s,
/// a third of the calls that a wait of 1 s takes.
fn pace(settings: &Settings, gap: Duration) -> PollConfig {
    let settle = ms(settings.targets.settle_ms);
    PollConfig {
        wait: settle.saturating_sub(SETTLE_REST).clamp(WAIT_MIN, WAIT_MAX),
        min_interval: gap,
        backoff_max: PAUSE_MAX,
    }
}

/// Time between two looks at targets whose entries are missing.
pub(super) const SWEEP: Duration = Duration::from_millis(50);

/// Starts to follow routes and targets.
pub(crate) fn start(ctx: &Arc<Context>) {
    tokio::spawn(follow_config(Arc::clone(ctx)));
    tokio::spawn(follow_targets(Arc::clone(ctx)));
    tokio::spawn(sweep(Arc::clone(ctx)));
}

async fn follow_config(ctx: Arc<Context>) {
    let pace = pace(&ctx.settings, CONFIG_GAP);
    peers::wait_for_role(&ctx).await;
    // What a peer told need not be listed again.
    let catalog = Arc::clone(&ctx.catalog);
    let source = Source {
        from: Box::new(move || Some(catalog.versions().config).filter(|end| *end > 0)),
        is_reader: ctx.distributor.is_reader(),
        reads_first: false,
    };
    let follower = ctx.follower();
    // A large configuration takes a while to read; what is read later waits.
    let (readings, mut read) = mpsc::unbounded_channel();
    let sink = move |reading| {
        // The receiver lives until the follower has ended.
        let _ = readings.send(reading);
    };
    let following = follower.follow(Topic::Config, pace, source, sink);
    let taking = async {
        while let Some(reading) = read.recv().await {
            config::read(&ctx, reading).await;
        }
    };
    tokio::join!(following, taking);
}

async fn follow_targets(ctx: Arc<Context>) {
    let pace = pace(&ctx.settings, TARGETS_GAP);
    peers::wait_for_role(&ctx).await;
    let catalog = Arc::clone(&ctx.catalog);
    let source = Source {
        from: Box::new(move || Some(catalog.targets_end()).filter(|end| *end > 0)),
        is_reader: ctx.distributor.is_reader(),
        reads_first: false,
    };
    let follower = ctx.follower();
    let sink = |reading| {
        let news = ctx.catalog.read_targets(reading, Instant::now());
        tell(&ctx, news);
    };
    follower.follow(Topic::Targets, pace, source, sink).await;
}

/// Lets those know who act on routes and targets.
pub(super) fn tell(ctx: &Context, news: News) {
    if news.routes {
        ctx.advance_phase(Phase::Ready);
        ctx.peers.notify();
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
