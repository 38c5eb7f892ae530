//! Follows the configuration and target topics, and notifies the users of changes.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_config::gateway::Settings;
use notchwharf_listen::Phase;
use tokio::sync::mpsc;

use super::Updated;
use super::config;
use crate::context::Context;
use crate::context::Until;
use crate::follower::PollConfig;
use crate::follower::Source;
use crate::peers;
use crate::ports::Topic;
use crate::time::ms;

/// Part of the settle time after a fault that remains after a read's wait. A connection that fails
/// silently is detected after the wait and the store's timeout, and the update has to be read over
/// a new one: 1,550 ms in total with the default settings. The rest allows for a short stall of the
/// host.
const SETTLE_MARGIN: Duration = Duration::from_secs(2);
/// Minimum wait of a read; with less, hosts would poll the store continuously.
const WAIT_MIN: Duration = Duration::from_millis(500);
/// Maximum wait of a read: half of what the store allows.
const WAIT_MAX: Duration = Duration::from_secs(15);
/// Minimum time between two reads of the configuration that return records. A configuration must be
/// applied within two seconds.
const CONFIG_READ_INTERVAL: Duration = Duration::from_millis(150);
/// Minimum time between two reads of targets that return records. A leaving target must not receive
/// new requests after two seconds; when a fleet starts, dozens of entries are written at a time.
pub(super) const TARGETS_READ_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum pause after a failed read of either topic.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(200);

/// Returns how a topic is read. A waiting read costs no call, so it waits as long as the settle
/// time allows: 3 s with a settle time of 5 s, which takes a third of the calls of a wait of 1 s.
fn poll_config(settings: &Settings, min_interval: Duration) -> PollConfig {
    let settle = ms(settings.targets.settle_ms);
    PollConfig {
        wait: settle
            .saturating_sub(SETTLE_MARGIN)
            .clamp(WAIT_MIN, WAIT_MAX),
        min_interval,
        backoff_max: RETRY_PAUSE_MAX,
    }
}

/// Interval between checks of targets whose entries are missing.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Starts to follow the configuration and target topics.
pub(crate) fn start(ctx: &Arc<Context>) {
    let until = Until::Phase(Phase::Stopped);
    ctx.spawn_duty("follow configuration", until, follow_config);
    ctx.spawn_duty("follow targets", until, follow_targets);
    ctx.spawn_duty("expire targets", until, sweep);
}

async fn follow_config(ctx: Arc<Context>) {
    let poll_config = poll_config(&ctx.settings, CONFIG_READ_INTERVAL);
    peers::wait_for_role(&ctx).await;
    // Records received from a peer need not be listed again.
    let catalog = Arc::clone(&ctx.catalog);
    let source = Source {
        from: Box::new(move || Some(catalog.versions().config).filter(|end| *end > 0)),
        is_reader: ctx.distributor.is_reader(),
        reads_first: false,
    };
    let follower = ctx.follower();
    // Decoding a large configuration takes time, during which later results are queued.
    let (attempts_tx, mut attempts) = mpsc::unbounded_channel();
    let sink = move |attempt| {
        // The receiver exists until the follower has ended.
        let _ = attempts_tx.send(attempt);
    };
    let following = follower.follow(Topic::Config, poll_config, source, sink);
    let applying = async {
        while let Some(attempt) = attempts.recv().await {
            config::apply_read(&ctx, attempt).await;
        }
    };
    tokio::join!(following, applying);
}

async fn follow_targets(ctx: Arc<Context>) {
    let poll_config = poll_config(&ctx.settings, TARGETS_READ_INTERVAL);
    peers::wait_for_role(&ctx).await;
    let catalog = Arc::clone(&ctx.catalog);
    let source = Source {
        from: Box::new(move || Some(catalog.targets_end()).filter(|end| *end > 0)),
        is_reader: ctx.distributor.is_reader(),
        reads_first: false,
    };
    let follower = ctx.follower();
    let sink = |attempt| {
        let updated = ctx.catalog.apply_targets(attempt, Instant::now());
        notify(&ctx, updated);
    };
    follower
        .follow(Topic::Targets, poll_config, source, sink)
        .await;
}

/// Notifies the users of routes and targets of changes.
pub(super) fn notify(ctx: &Context, updated: Updated) {
    if updated.routes {
        ctx.advance_phase(Phase::Ready);
        ctx.peers.notify();
    }
    if updated.targets {
        ctx.items.wake();
    }
}

async fn sweep(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(SWEEP_INTERVAL);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        ctx.catalog.sweep(Instant::now());
    }
}
