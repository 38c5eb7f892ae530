//! Runs the items of this host's jobs in slots that online requests leave free.
//!
//! An item is preempted as soon as an online request needs its slot. The text that it has
//! generated is kept, and it continues at the next target that has a free slot.
//!
//! An item starts only if the job records let it at that moment: the records are locked from the
//! check until the run is registered, and a record that is applied later cancels a registered
//! run. The backlog alone does not give that right, as it may lag behind the records. Applying
//! the records between the starts was rejected: while most targets are down, items return to the
//! queue faster than they start, and items of ended jobs ran for seconds.
//!
//! After a failure, or the loss of a host before a target had answered, a run also needs an admission
//! by the job log, which limits how often an item fails over all its owners ([`admission`] and
//! `notchwharf_ledger::jobs::Attempts`).

mod admission;
mod completion;
pub(crate) mod late;
mod load;
mod registry;
mod run;
mod takeover;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use notchwharf_config::routes::Route;
use notchwharf_config::routes::Table;
use notchwharf_ledger::jobs::Reason;
use notchwharf_ledger::jobs::Step;
use notchwharf_ledger::rendezvous::hash;
use notchwharf_listen::Phase;
use notchwharf_origins::Origin;
use notchwharf_quarantine::gate::RunGuard;
use notchwharf_routing::balancer::Balancer;
use notchwharf_routing::balancer::Criteria;
use notchwharf_routing::items::estimate::Estimators;
use notchwharf_routing::items::peer_queues::PeerQueues;
use notchwharf_routing::items::peer_queues::QueuedItems;
use notchwharf_startup::Dependency;
use notchwharf_telemetry::gauge::Gauge;
use tokio::sync::Notify;

use crate::backlog::Backlog;
use crate::backlog::Item;
use crate::backlog::ItemKey;
use crate::backlog::Updated;
use crate::context::Context;
use crate::context::Until;
use crate::cpu_time;
use crate::cpu_time::Activity;
use crate::metrics::Counted;
use crate::ports::Reply;
use crate::quarantine;
use crate::sync::lock;
use crate::target::Class;
use crate::target::Running;
use crate::time::ms;
use crate::time::unix_ms;

use self::admission::Admission;
use self::registry::Place;
use self::registry::Registry;

/// Interval of scheduling without notifications, and of checks for overcommitted targets.
const TICK: Duration = Duration::from_millis(50);

/// Update interval of the utilization metrics of all targets.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for stopping all items and saving their progress at shutdown: some calls of the
/// store, and a small part of the shutdown timeout.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval of checks whether all items have stopped.
const RELEASE_TICK: Duration = Duration::from_millis(2);

/// Delay before a blocked item is queued again: about the time in which a target runs such an
/// item or crashes.
const BLOCKED_DELAY: Duration = Duration::from_millis(200);

/// Round trips to the store for which a host must have had an item before it asks for a run: hosts
/// that are lost sooner would use up the runs without beginning them.
const ROUND_TRIPS_BEFORE_RUN: u32 = 4;

/// The same before the last run that the item may have unless its outcome is recorded.
const ROUND_TRIPS_BEFORE_LAST_RUN: u32 = 20;

/// Time for which an item waits for a target that may continue its text, and at which it has not
/// failed, while others have free slots: about the time in which a text is generated that is half
/// done.
const TARGET_WAIT_MAX: Duration = Duration::from_secs(1);

/// Items that run at this host.
#[derive(Debug, Default)]
pub(crate) struct Items {
    backlog: Mutex<Backlog>,
    running: Mutex<Registry>,
    wake: Notify,
    /// Items queued at other hosts.
    peer_queues: Mutex<PeerQueues>,
    /// Estimates of run times by route.
    estimators: Mutex<Estimators>,
    /// Runs in progress.
    runs: Gauge,
    /// Whether other hosts may take over the jobs of this host, which shuts down.
    has_released_jobs: AtomicBool,
    /// Items whose outcome is being recorded.
    pub(crate) unrecorded: Gauge,
}

impl Items {
    /// Returns whether this host owns no open job.
    pub(crate) fn is_idle(&self) -> bool {
        lock(&self.backlog).is_idle()
    }

    /// Returns whether other hosts may take over the jobs of this host, which shuts down: its
    /// items have stopped and their progress has been saved, or the timeout has passed.
    pub(crate) fn has_released_jobs(&self) -> bool {
        self.has_released_jobs.load(Ordering::Relaxed)
    }

    /// Returns the items that are queued at this host, for peers; none once it has released
    /// its jobs.
    pub(crate) fn queue_summary(&self) -> Vec<QueuedItems> {
        if self.has_released_jobs() {
            return Vec::new();
        }
        lock(&self.backlog).summary()
    }

    /// Replaces the items that are queued at a peer; returns whether they changed.
    pub(crate) fn update_peer_queue(&self, host: &str, queued: Vec<QueuedItems>) -> bool {
        lock(&self.peer_queues).update(host, queued, Instant::now())
    }

    /// Removes the queue of a peer that is down.
    pub(crate) fn remove_peer(&self, host: &str) {
        lock(&self.peer_queues).remove(host);
    }

    /// Wakes the scheduler to check whether an item can start.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Preempts the item of the greatest preemption rank at a target; returns whether there
    /// was one.
    pub(crate) fn preempt_one(&self, target: &str) -> bool {
        let entry = lock(&self.running).take_to_preempt(target);
        // Dropping the entry frees the slot at once and cancels the item's task.
        entry.is_some()
    }

    /// Cancels running items for which a predicate returns false.
    fn retain_running(&self, is_retained: impl Fn(&ItemKey) -> bool) {
        let cancelled = lock(&self.running).take_except(is_retained);
        // Dropped after the registry is unlocked: freeing a slot wakes tasks that lock it.
        drop(cancelled);
    }
}

/// Starts the tasks that run items.
pub(crate) fn start(ctx: &Arc<Context>) {
    let until = Until::Phase(Phase::Leaving);
    ctx.spawn_duty("schedule items", until, schedule);
    ctx.spawn_duty("apply job records", until, follow_records);
    ctx.spawn_duty("preempt items", until, check_targets);
    ctx.spawn_duty("take jobs over", until, takeover::run);
    ctx.spawn_duty("save progress", until, |ctx| async move {
        let saves = ctx.timer.subscribe(ms(ctx.settings.batch.save_ms));
        ctx.progress.run(saves, ctx.phase.subscribe()).await;
    });
}

/// Applies the job records whenever they change, until the host shuts down.
async fn follow_records(ctx: Arc<Context>) {
    let mut changed = ctx.journal.subscribe();
    let mut phase = ctx.phase.subscribe();
    loop {
        // The records may have been loaded before the subscription.
        apply_records(&ctx);
        tokio::select! {
            _ = changed.changed() => ctx.items.wake(),
            _ = phase.wait_for(|phase| *phase >= Phase::Leaving) => return,
        }
    }
}

/// Preempts items at overcommitted targets and updates the gauges, until the host shuts down. It
/// does not wait for the scheduler, which may be starting items for as long as there are some.
async fn check_targets(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(TICK);
    let mut gauge_ticks = ctx.timer.subscribe(GAUGE_INTERVAL);
    while ticks.recv().await.is_some() && ctx.phase() < Phase::Leaving {
        preempt_overcommitted(&ctx);
        if gauge_ticks.try_recv().is_ok() {
            update_gauges(&ctx);
        }
    }
}

/// Starts items until the host shuts down.
async fn schedule(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(TICK);
    while ctx.phase() < Phase::Leaving {
        tokio::select! {
            () = ctx.items.wake.notified() => {}
            tick = ticks.recv() => {
                if tick.is_none() {
                    return;
                }
            }
        }
        // Suspects must be known first: the first item that a host reads after its start may
        // be one. So must targets that leave, as a late heartbeat may say otherwise.
        if ctx.startup.is_ready(Dependency::Suspects)
            && ctx.startup.is_ready(Dependency::Departures)
        {
            start_items(&ctx).await;
        }
    }
    release_jobs(&ctx).await;
}

/// Stops all items, saves their progress, and then notifies peers that they may take over the
/// jobs.
async fn release_jobs(ctx: &Arc<Context>) {
    ctx.items.retain_running(|_| false);
    let saved = async {
        let mut ticks = ctx.timer.subscribe(RELEASE_TICK);
        while ctx.items.runs.count() > 0 && ticks.recv().await.is_some() {}
        for item in lock(&ctx.items.backlog).iter_mut() {
            if item.is_unsaved() {
                ctx.progress.record(item);
            }
            admission::withdraw(ctx, item);
        }
        ctx.progress.flush().await
    };
    match tokio::time::timeout(RELEASE_TIMEOUT, saved).await {
        Ok(Ok(())) => {}
        Ok(Err(err)) => slog::warn!(ctx.logger, "progress of items not saved";
            "error" => err.to_string()),
        Err(_) => slog::warn!(ctx.logger, "progress of items not saved"; "error" => "timed out"),
    }
    ctx.items.has_released_jobs.store(true, Ordering::Relaxed);
    ctx.peers.notify();
}

/// Applies the job records to the backlog and cancels items that are no longer this host's.
fn apply_records(ctx: &Arc<Context>) {
    let jobs = ctx.journal.jobs();
    let mut backlog = lock(&ctx.items.backlog);
    let Updated { missing, removed } = backlog.update(&jobs, ctx.host());
    // Items that another owner runs from now on.
    let replaced = removed.into_iter().filter(|item| {
        let job = jobs.get(&item.key.0);
        job.is_some_and(|job| job.is_open() && !job.is_listed(item.key.1))
    });
    let replaced: Vec<Item> = replaced.collect();
    drop(jobs);
    for (epoch, accepted) in missing {
        tokio::spawn(load::load(Arc::clone(ctx), epoch, accepted));
    }
    for item in &replaced {
        admission::withdraw(ctx, item);
    }
    ctx.items.retain_running(|key| backlog.is_item_open(key));
    ctx.metrics.set("items_waiting", backlog.len());
}

/// Preempts an item at each overcommitted target.
fn preempt_overcommitted(ctx: &Arc<Context>) {
    let overcommitted = lock(&ctx.balancer).overcommitted(ctx.host());
    for target in overcommitted {
        if ctx.items.preempt_one(&target) {
            ctx.metrics.count(Counted::Items, "cut, target overfull");
        }
    }
}

/// Updates the gauges of slot usage and of late items.
fn update_gauges(ctx: &Context) {
    let (used, total) = lock(&ctx.balancer).slot_usage();
    ctx.metrics.set("places_taken", used as usize);
    ctx.metrics.set("places", total as usize);
    let late = lock(&ctx.items.backlog).late_len();
    ctx.metrics.set("items_late", late);
}

/// Starts items while there are free slots.
async fn start_items(ctx: &Arc<Context>) {
    let interval = ms(ctx.settings.batch.start_gap_ms);
    let running_max = ctx.callers.items_max;
    while ctx.phase() == Phase::Ready && lock(&ctx.items.running).len() < running_max {
        let next = cpu_time::measure(&ctx.metrics, Activity::ScheduleItems, || next(ctx));
        let Some(next) = next else {
            return;
        };
        match next {
            Next::Start(start) => {
                tokio::spawn(run::run(Arc::clone(ctx), *start));
                tokio::time::sleep(interval).await;
                continue;
            }
            Next::Postpone(item) => {
                tokio::spawn(postpone(Arc::clone(ctx), item));
            }
            Next::Fail(item, reason) => completion::fail(ctx, &item, reason),
            Next::Answered(item, route) => late::resolve_queued(ctx, item, route),
            Next::Outdated => apply_records(ctx),
        }
        // Many items may fail or be withheld, one after the other.
        tokio::task::yield_now().await;
    }
}

/// Queues a blocked item again after a delay, so that it does not delay those behind it.
async fn postpone(ctx: Arc<Context>, item: Item) {
    tokio::time::sleep(BLOCKED_DELAY).await;
    requeue(&ctx, item);
    ctx.items.wake();
}

/// Queues an item again, unless the backlog shows that this host no longer runs it.
fn requeue(ctx: &Arc<Context>, item: Item) {
    let rejected = lock(&ctx.items.backlog).requeue(item);
    if let Some(item) = rejected {
        ctx.metrics.count(Counted::Items, "outdated");
        admission::withdraw(ctx, &item);
    }
}

/// What to do with the next item.
enum Next {
    Start(Box<ItemStart>),
    /// The quarantine blocks the item, because targets crash or may crash while they run it, only
    /// targets at which it failed or that may not continue its text have free slots, or its run
    /// can't be admitted.
    Postpone(Item),
    Fail(Item, Reason),
    /// The wait for an overdue run of the item has ended.
    Answered(Item, Arc<Route>),
    /// The job records no longer let this host run the item, and the backlog does not show it yet.
    Outdated,
}

/// An item that is registered as running.
struct ItemStart {
    item: Item,
    route: Arc<Route>,
    destination: run::Destination,
    place: Place,
    /// The quarantine's guard of this run, if the item is a suspect.
    guard: Option<RunGuard>,
    admission: Admission,
    /// The answer of its target, if it was sent before and its target has answered late.
    reply: Option<Reply>,
}

/// Removes the next item that can start or fail from the backlog, and registers it as running
/// if it starts; `None` if there is no item or no target with a free slot for it.
fn next(ctx: &Arc<Context>) -> Option<Next> {
    let table = ctx.table()?;
    // No record is applied while this exists.
    let jobs = ctx.journal.jobs();
    let mut backlog = lock(&ctx.items.backlog);
    let estimators = lock(&ctx.items.estimators);
    backlog.demote_late(|item| is_late(&table, item, &estimators));
    drop(estimators);
    let (deadline, item) = backlog.peek()?;
    if !backlog.may_run(&item.key, &jobs, ctx.host()) {
        ctx.metrics.count(Counted::Items, "outdated");
        return Some(Next::Outdated);
    }
    let path = item.request.path.split('?').next().unwrap_or_default();
    let Some(route) = table.find(&item.host, path).cloned() else {
        let item = backlog.pop()?;
        return Some(Next::Fail(item, Reason::NoRoute));
    };
    if item.overdue.has_reply() {
        let item = backlog.pop()?;
        return Some(Next::Answered(item, route));
    }
    let abandon_after = route.jobs.abandon_after;
    if !abandon_after.is_zero() && item.loaded_at.elapsed() >= abandon_after {
        let item = backlog.pop()?;
        return Some(Next::Fail(item, Reason::Expired));
    }
    let step = item.attempts.step(route.attempts_max);
    match step {
        Step::Run => {}
        Step::Admit if has_had(ctx, item, ROUND_TRIPS_BEFORE_RUN) && ctx.store.is_up() => {}
        Step::AdmitInCalm { periods } if is_calm(ctx, item, periods) => {}
        Step::Admit => return backlog.pop().map(Next::Postpone),
        Step::AdmitInCalm { periods } => {
            let item = backlog.pop()?;
            return Some(Next::Postpone(wait_for_calm(ctx, item, periods)));
        }
        Step::Fail => {
            let item = backlog.pop()?;
            return Some(Next::Fail(item, Reason::Attempts));
        }
    }
    let service = route.select_service(hash(&item.request.id))?;
    let ahead = lock(&ctx.items.peer_queues).ahead(deadline.sort_key_unix_ms());
    ctx.metrics.set("items_ahead", ahead.items as usize);
    let mut balancer = lock(&ctx.balancer);
    let now = Instant::now();
    let any_target = Criteria {
        service,
        data_centre: &ctx.settings.host.data_centre,
        affinity: 0,
        tried: &[],
        objective: None,
        ahead,
        version: None,
    };
    let not_failed_at = Criteria {
        tried: &item.failed_at,
        ..any_target
    };
    let has_waited = has_waited_for_target(item, now);
    let any_version = match balancer.has_untried(&not_failed_at) && !has_waited {
        true => not_failed_at,
        false => any_target,
    };
    let version = continued_version(&balancer, item, any_version, now);
    let criteria = Criteria {
        version,
        ..any_version
    };
    let starts_over = version.is_none() && item.last_event.is_some();
    let Some(target) = balancer.choose_batch(&criteria, now) else {
        let is_restricted = version.is_some() || !item.failed_at.is_empty();
        let is_slot_left = is_restricted && balancer.choose_batch(&any_target, now).is_some();
        drop(balancer);
        if !is_slot_left {
            return None;
        }
        let mut item = backlog.pop()?;
        item.waiting_since.get_or_insert(now);
        return Some(Next::Postpone(item));
    };
    let version = balancer.spec(&target).and_then(|s| s.version.clone());
    let origin = version.map(|version| Origin {
        service: service.clone(),
        version,
    });
    drop(balancer);
    let admitted = quarantine::try_admit(ctx, item);
    let mut item = backlog.pop()?;
    item.waiting_since = None;
    if starts_over {
        ctx.metrics.count(Counted::Items, "started over");
        item.start_over();
    }
    // A blocked item does not fail: its caller expects a result until the job may be
    // abandoned, and an item that was suspected by mistake succeeds at its next run.
    let Ok(guard) = admitted else {
        return Some(Next::Postpone(item));
    };
    let admission = match step {
        Step::Run => Admission::Granted,
        _ => Admission::request(ctx, &mut item, route.attempts_max),
    };
    // Preemption would lose the answer that may settle the doubt.
    let is_kept = matches!(step, Step::AdmitInCalm { .. }) || item.attempts.has_doubt();
    let running = Running::start(ctx, &target, Class::Batch);
    let handle = lock(&ctx.items.running).add(&target, &item, deadline, running, is_kept);
    let start = ItemStart {
        item,
        route,
        place: Place::new(ctx, &target, handle),
        destination: run::Destination { target, origin },
        guard,
        admission,
        reply: None,
    };
    Some(Next::Start(Box::new(start)))
}

/// Returns whether this host is likely to live and to reach the store until it has recorded the
/// outcome of an item's run: it has been undisturbed for a number of periods.
fn is_calm(ctx: &Context, item: &Item, periods: u32) -> bool {
    let calm = ms(ctx.settings.batch.calm_ms) * periods;
    ctx.store.has_been_up_for(calm)
        && item.undisturbed_since.elapsed() >= calm
        && has_had(ctx, item, ROUND_TRIPS_BEFORE_LAST_RUN)
}

/// Returns whether this host has had an item for a number of round trips to the store.
fn has_had(ctx: &Context, item: &Item, round_trips: u32) -> bool {
    item.loaded_at.elapsed() >= ctx.store.round_trip() * round_trips
}

/// Logs and counts an item whose next run waits for calm, the first time.
fn wait_for_calm(ctx: &Context, mut item: Item, periods: u32) -> Item {
    if !std::mem::replace(&mut item.waits_for_calm, true) {
        let runs = item.attempts.runs();
        slog::info!(ctx.logger, "item waits for calm, it may have failed as often as allowed";
            "job" => item.key.0.as_str(), "id" => item.request.id.as_str(), "periods" => periods,
            "begun" => runs.begun, "failures" => runs.failed);
        ctx.metrics.count(Counted::Items, "waits for calm");
    }
    item
}

/// Returns whether an item has waited for long enough for the targets that suit it best.
fn has_waited_for_target(item: &Item, now: Instant) -> bool {
    let waited = item.waiting_since.map(|since| now.duration_since(since));
    waited.is_some_and(|waited| waited >= TARGET_WAIT_MAX)
}

/// Returns the version at which an item's text goes on; `None` if it has none, or starts over
/// since its origin is not known, has no targets, or has had no free slot for too long.
fn continued_version<'a>(
    balancer: &Balancer,
    item: &'a Item,
    any_version: Criteria<'_>,
    now: Instant,
) -> Option<&'a str> {
    item.last_event?;
    let origin = item.origin.as_ref()?;
    if has_waited_for_target(item, now) {
        return None;
    }
    let criteria = Criteria {
        version: Some(&origin.version),
        tried: &[],
        ..any_version
    };
    let has_targets = origin.service == any_version.service && balancer.has_untried(&criteria);
    has_targets.then_some(&origin.version)
}

/// Returns whether an item that starts now is expected to end after its job's objective.
fn is_late(table: &Table, item: &Item, estimators: &Estimators) -> bool {
    let path = item.request.path.split('?').next().unwrap_or_default();
    let objective = table.find(&item.host, path).map(|r| r.jobs.objective);
    let Some(objective) = objective.filter(|o| !o.is_zero()) else {
        return false;
    };
    // Each clock may give too small an age: the monotonic one counts from when this host read
    // the item, and the wall clock may have been set back.
    let wall_age = Duration::from_millis(unix_ms().saturating_sub(item.submitted_unix_ms));
    let age = item.loaded_at.elapsed().max(wall_age);
    let remaining = estimators.remaining(&item.route, item.size, item.event_count());
    age + remaining.unwrap_or_default() > objective
}
