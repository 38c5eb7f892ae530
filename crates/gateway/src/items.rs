//! Runs the items of this host's jobs in places that online requests leave.
//!
//! An item is cut the moment an online request needs its place. What it
//! generated is kept, and it goes on at whatever target has room next.

mod load;
mod registry;
mod run;
mod settle;
mod take_over;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use notchwharf_config::routes::Route;
use notchwharf_config::routes::Table;
use notchwharf_ledger::jobs::Reason;
use notchwharf_ledger::rendezvous::hash;
use notchwharf_listen::Phase;
use notchwharf_quarantine::gate::RunGuard;
use notchwharf_routing::balancer::Criteria;
use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::items::estimate::Estimators;
use notchwharf_routing::items::peer_queues::PeerQueues;
use notchwharf_routing::items::peer_queues::QueuedItems;
use notchwharf_routing::items::queue;
use notchwharf_startup::Dependency;
use notchwharf_telemetry::gauge::Gauge;
use tokio::sync::Notify;

use crate::backlog::Backlog;
use crate::backlog::Item;
use crate::backlog::ItemKey;
use crate::context::Context;
use crate::metrics::Counted;
use crate::quarantine;
use crate::sync::lock;
use crate::target::Class;
use crate::target::Running;
use crate::time::ms;
use crate::time::unix_ms;
use crate::work;
use crate::work::Part;

use self::registry::Registry;

/// Time between two looks at the backlog without news, and at overfull targets.
const TICK: Duration = Duration::from_millis(50);

/// Update period of the utilization metrics of all targets.
const GAUGE_PERIOD: Duration = Duration::from_secs(1);

/// Time for the items of a host that leaves to stop and be saved: some calls
/// of the store, and little beside the time that a host has to leave.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two looks whether they have stopped.
const HAND_OVER_TICK: Duration = Duration::from_millis(2);

/// Time after which an item that must not run now is looked at again: about as long as
/// a target takes to crash under one like it, or to run it.
const KEPT_BACK: Duration = Duration::from_millis(200);

/// Items that run at this host.
#[derive(Debug, Default)]
pub(crate) struct Items {
    backlog: Mutex<Backlog>,
    running: Mutex<Registry>,
    wake: Notify,
    /// Items that wait at other hosts.
    line: Mutex<PeerQueues>,
    /// How long items usually take, by route.
    usual: Mutex<Estimators>,
    /// Runs of items that are under way.
    runs: Gauge,
    /// Whether the items of a host that leaves may be run elsewhere.
    is_handed_over: AtomicBool,
    /// Items whose end is not recorded yet.
    pub(crate) unsettled: Gauge,
}

impl Items {
    /// Returns whether this host has no items to run.
    pub(crate) fn is_idle(&self) -> bool {
        lock(&self.backlog).is_idle()
    }

    /// Returns whether the items of this host, which leaves, may be run
    /// elsewhere: what they generated is saved.
    pub(crate) fn is_handed_over(&self) -> bool {
        self.is_handed_over.load(Ordering::Relaxed)
    }

    /// Returns which items wait here for others to leave them places; none of a
    /// host that starts no more.
    pub(crate) fn waiting(&self) -> Vec<QueuedItems> {
        if self.is_handed_over() {
            return Vec::new();
        }
        lock(&self.backlog).waiting()
    }

    /// Takes in which items wait at a peer; returns whether that is news.
    pub(crate) fn peer_waits(&self, host: &str, waiting: Vec<QueuedItems>) -> bool {
        lock(&self.line).update(host, waiting, Instant::now())
    }

    /// Forgets what waits at a peer that is down.
    pub(crate) fn peer_down(&self, host: &str) {
        lock(&self.line).remove(host);
    }

    /// Lets the host look whether an item can start.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Cuts the item at a target that can best be spared; returns whether
    /// there was one.
    pub(crate) fn cut_one(&self, target: &str) -> bool {
        let entry = lock(&self.running).take_spare(target);
        // Dropping the entry ends the count at once and tells the item's task.
        entry.is_some()
    }

    /// Cuts items that are not wanted any more.
    fn cut_unwanted(&self, is_wanted: impl Fn(&ItemKey) -> bool) {
        let unwanted = lock(&self.running).take_unwanted(is_wanted);
        // Not before the registry is free again: the end of a count wakes
        // whoever looks there.
        drop(unwanted);
    }
}

/// Starts to run items.
pub(crate) fn start(ctx: &Arc<Context>) {
    tokio::spawn(schedule(Arc::clone(ctx)));
    tokio::spawn(take_over::take_over(Arc::clone(ctx)));
    let saves = ctx.timer.subscribe(ms(ctx.settings.batch.save_ms));
    let phase = ctx.phase.subscribe();
    let shared = Arc::clone(ctx);
    tokio::spawn(async move { shared.progress.run(saves, phase).await });
}

async fn schedule(ctx: Arc<Context>) {
    let mut changed = ctx.journal.subscribe();
    let mut ticks = ctx.timer.subscribe(TICK);
    let mut gauge_ticks = ctx.timer.subscribe(GAUGE_PERIOD);
    // The records may have been listed before anybody subscribed.
    sync(&ctx);
    while ctx.phase() < Phase::Leaving {
        tokio::select! {
            _ = changed.changed() => sync(&ctx),
            () = ctx.items.wake.notified() => {}
            tick = ticks.recv() => {
                if tick.is_none() {
                    return;
                }
                relieve(&ctx);
                if gauge_ticks.try_recv().is_ok() {
                    gauge(&ctx);
                }
            }
        }
        // An item that is blamed may be the first that a host reads when it starts.
        if ctx.startup.is_ready(Dependency::Suspects) {
            start_items(&ctx).await;
        }
    }
    hand_over(&ctx).await;
}

/// Stops all items and saves how far they have got; then others are told that
/// they may take the jobs over.
async fn hand_over(ctx: &Context) {
    ctx.items.cut_unwanted(|_| false);
    let saved = async {
        let mut ticks = ctx.timer.subscribe(HAND_OVER_TICK);
        while ctx.items.runs.count() > 0 && ticks.recv().await.is_some() {}
        for item in lock(&ctx.items.backlog).waiting_mut() {
            if item.is_unsaved() {
                ctx.progress.note(item);
            }
        }
        ctx.progress.save().await
    };
    match tokio::time::timeout(HAND_OVER_TIMEOUT, saved).await {
        Ok(Ok(())) => {}
        Ok(Err(err)) => slog::warn!(ctx.logger, "progress of items not saved";
            "error" => err.to_string()),
        Err(_) => slog::warn!(ctx.logger, "progress of items not saved"; "error" => "timed out"),
    }
    ctx.items.is_handed_over.store(true, Ordering::Relaxed);
    ctx.peers.notify();
}

/// Takes in what the job records say.
fn sync(ctx: &Arc<Context>) {
    let missing = {
        let jobs = ctx.journal.jobs();
        lock(&ctx.items.backlog).sync(&jobs, ctx.host())
    };
    for (epoch, accepted) in missing {
        tokio::spawn(load::load(Arc::clone(ctx), epoch, accepted));
    }
    let backlog = lock(&ctx.items.backlog);
    ctx.items.cut_unwanted(|key| backlog.is_wanted(key));
    ctx.metrics.set("items_waiting", backlog.len());
}

/// Cuts an item at each target that has more than it can run.
fn relieve(ctx: &Arc<Context>) {
    let overfull = lock(&ctx.balancer).overcommitted(ctx.host());
    for target in overfull {
        if ctx.items.cut_one(&target) {
            ctx.metrics.count(Counted::Items, "cut, target overfull");
        }
    }
}

/// Shows how full the targets are and which items come too late.
fn gauge(ctx: &Context) {
    let (taken, all) = lock(&ctx.balancer).slot_usage();
    ctx.metrics.set("places_taken", taken as usize);
    ctx.metrics.set("places", all as usize);
    let late = lock(&ctx.items.backlog).late();
    ctx.metrics.set("items_late", late);
}

/// Starts items while there is room for them.
async fn start_items(ctx: &Arc<Context>) {
    let gap = ms(ctx.settings.batch.start_gap_ms);
    let most = ctx.settings.batch.running_max as usize;
    while ctx.phase() == Phase::Ready && lock(&ctx.items.running).len() < most {
        let next = work::timed(&ctx.metrics, Part::Items, || next(ctx));
        let Some(next) = next else {
            return;
        };
        match next {
            Next::Run(start) => {
                let Start {
                    item,
                    place,
                    route,
                    target,
                    trial,
                } = *start;
                let running = Running::start(ctx, &target, Class::Batch);
                let ticket = lock(&ctx.items.running).add(&target, &item, place, running);
                let run = run::run(Arc::clone(ctx), item, route, target, ticket, trial);
                tokio::spawn(run);
                tokio::time::sleep(gap).await;
            }
            Next::KeepBack(item) => {
                tokio::spawn(keep_back(Arc::clone(ctx), item));
            }
            Next::GiveUp(item, reason) => settle::give_up(ctx, &item, reason),
        }
    }
}

/// Puts an item that must not run now back after a moment, so that it holds up none
/// behind it.
async fn keep_back(ctx: Arc<Context>, item: Item) {
    tokio::time::sleep(KEPT_BACK).await;
    lock(&ctx.items.backlog).put_back(item);
    ctx.items.wake();
}

/// What to do with an item.
enum Next {
    Run(Box<Start>),
    /// Targets crash under it, or may: not now.
    KeepBack(Item),
    GiveUp(Item, Reason),
}

/// An item that is about to run.
struct Start {
    item: Item,
    place: queue::Deadline,
    route: Arc<Route>,
    target: TargetId,
    /// Its run, if it is a suspect.
    trial: Option<RunGuard>,
}

fn next(ctx: &Context) -> Option<Next> {
    let table = ctx.table()?;
    let mut backlog = lock(&ctx.items.backlog);
    let usual = lock(&ctx.items.usual);
    backlog.put_late_behind(|item| is_late(&table, item, &usual));
    drop(usual);
    let (place, item) = backlog.peek()?;
    let path = item.forward.path.split('?').next().unwrap_or_default();
    let Some(route) = table.find(&item.host, path).cloned() else {
        let item = backlog.take()?;
        return Some(Next::GiveUp(item, Reason::NoRoute));
    };
    let abandon_after = route.jobs.abandon_after;
    if !abandon_after.is_zero() && item.known_since.elapsed() >= abandon_after {
        let item = backlog.take()?;
        return Some(Next::GiveUp(item, Reason::Expired));
    }
    let service = route.select_service(hash(&item.forward.id))?;
    let ahead = lock(&ctx.items.line).ahead(place.sort_key_unix_ms());
    ctx.metrics.set("items_ahead", ahead.items as usize);
    let mut places = lock(&ctx.balancer);
    let has_failed_everywhere = places.ids().all(|id| item.failed_at.contains(id));
    let want = Criteria {
        service,
        data_centre: &ctx.settings.host.data_centre,
        affinity: 0,
        tried: if has_failed_everywhere {
            &[]
        } else {
            &item.failed_at
        },
        objective: None,
        ahead,
    };
    let target = places.choose_batch(&want, Instant::now())?;
    drop(places);
    let admitted = quarantine::try_admit(ctx, item);
    let item = backlog.take()?;
    // One that is refused is not given up: its caller is owed a result until its job
    // may be abandoned, and blamed by mistake it ends well at its next trial.
    let Ok(trial) = admitted else {
        return Some(Next::KeepBack(item));
    };
    let start = Start {
        item,
        place,
        route,
        target,
        trial,
    };
    Some(Next::Run(Box::new(start)))
}

/// Returns whether an item that starts now ends after its job's objective.
fn is_late(table: &Table, item: &Item, usual: &Estimators) -> bool {
    let path = item.forward.path.split('?').next().unwrap_or_default();
    let objective = table.find(&item.host, path).map(|r| r.jobs.objective);
    let Some(objective) = objective.filter(|o| !o.is_zero()) else {
        return false;
    };
    // Either clock may have missed some time: the host's own began when it
    // read the job, and the time of day may have been set back.
    let by_day = Duration::from_millis(unix_ms().saturating_sub(item.submitted_unix_ms));
    let age = item.known_since.elapsed().max(by_day);
    let rest = usual.remaining(&item.route, item.size, item.events());
    age + rest.unwrap_or_default() > objective
}
