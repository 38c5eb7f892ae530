//! Runs the items of this host's jobs in places that online requests leave.
//!
//! An item is cut the moment an online request needs its place. What it
//! generated is kept, and it goes on at whatever target has room next.

mod run;
mod take_over;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use notchwharf_config::routes::Route;
use notchwharf_config::routes::Table;
use notchwharf_ledger::jobs::Accepted;
use notchwharf_ledger::jobs::HostId;
use notchwharf_ledger::jobs::Offset;
use notchwharf_ledger::jobs::Outcome;
use notchwharf_ledger::jobs::Reason;
use notchwharf_ledger::jobs::Record;
use notchwharf_ledger::rendezvous::hash;
use notchwharf_listen::Phase;
use notchwharf_routing::places::TargetId;
use notchwharf_routing::places::Want;
use notchwharf_telemetry::gauge::Gauge;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::backlog::Backlog;
use crate::backlog::Item;
use crate::backlog::ItemKey;
use crate::context::Context;
use crate::context::lock;
use crate::context::ms;
use crate::context::unix_ms;
use crate::jobs::Payload;
use crate::metrics::Counted;
use crate::ports::Forward;
use crate::ports::Topic;
use crate::progress;
use crate::target::Class;
use crate::target::Running;

/// Time between two looks at the backlog without news, and at overfull targets.
const TICK: Duration = Duration::from_millis(50);

/// Share of a new measurement in the running mean of durations.
const DURATION_WEIGHT: f64 = 0.1;

/// Pause before a job's items are read again.
const LOAD_PAUSE: Duration = Duration::from_millis(200);

/// Time for the items of a host that leaves to stop and be saved: some calls
/// of the store, and little beside the time that a host has to leave.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two looks whether they have stopped.
const HAND_OVER_TICK: Duration = Duration::from_millis(2);

/// Time for which a record of an item is tried; the store may be down long.
const RECORD_TIMEOUT: Duration = Duration::from_secs(120);

/// Items that run at this host.
#[derive(Debug, Default)]
pub(crate) struct Items {
    backlog: Mutex<Backlog>,
    running: Mutex<Registry>,
    wake: Notify,
    /// How long whole runs of items usually take.
    duration: Mutex<Option<Duration>>,
    /// Runs of items that are under way.
    runs: Gauge,
    /// Whether the items of a host that leaves may be run elsewhere.
    is_handed_over: AtomicBool,
    /// Items whose end is not recorded yet.
    pub(crate) unsettled: Gauge,
}

impl Context {
    /// Notes that an item's end is about to be recorded.
    fn settle(&self, key: &ItemKey) {
        lock(&self.items.backlog).settled(key);
        self.progress.settled(key);
    }
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

    /// Notes how long a run of an item took from its beginning to its end.
    fn lasted(&self, took: Duration) {
        let mut mean = lock(&self.duration);
        *mean = Some(match *mean {
            Some(mean) => mean.mul_f64(1.0 - DURATION_WEIGHT) + took.mul_f64(DURATION_WEIGHT),
            None => took,
        });
    }

    /// Lets the host look whether an item can start.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Cuts the item at a target that can best be spared; returns whether
    /// there was one. That is the one of the newest job and not the youngest
    /// run: old items, cut again and again, would never end.
    pub(crate) fn cut_one(&self, target: &str) -> bool {
        let entry = lock(&self.running).take(target, |entries| {
            let least = entries.iter().enumerate().max_by_key(|(_, e)| e.spare);
            least.map(|(place, _)| place)
        });
        // Dropping the entry ends the count at once and tells the item's task.
        entry.is_some()
    }

    fn register(&self, target: &TargetId, item: &Item, running: Running) -> Ticket {
        let (cancel, cancelled) = oneshot::channel();
        let mut registry = lock(&self.running);
        registry.number += 1;
        let number = registry.number;
        let entry = Entry {
            number,
            key: item.key.clone(),
            spare: (item.is_late, item.submitted_unix_ms, number),
            _running: running,
            _cancel: cancel,
        };
        let at_target = registry.by_target.entry(target.clone()).or_default();
        at_target.push(entry);
        Ticket { number, cancelled }
    }

    fn unregister(&self, target: &str, number: u64) {
        let entry = lock(&self.running).take(target, |entries| {
            entries.iter().position(|e| e.number == number)
        });
        // Not before the registry is free again: the end of the count wakes
        // whoever looks there.
        drop(entry);
    }

    /// Cuts items that are not wanted any more.
    fn cut_unwanted(&self, is_wanted: impl Fn(&ItemKey) -> bool) {
        let mut cut = Vec::new();
        for entries in lock(&self.running).by_target.values_mut() {
            let (wanted, unwanted) = entries.drain(..).partition(|e| is_wanted(&e.key));
            *entries = wanted;
            cut.push(unwanted);
        }
    }
}

/// Starts to run items.
pub(crate) fn start(ctx: &Arc<Context>) {
    tokio::spawn(schedule(Arc::clone(ctx)));
    tokio::spawn(take_over::take_over(Arc::clone(ctx)));
    tokio::spawn(progress::run(Arc::clone(ctx)));
}

async fn schedule(ctx: Arc<Context>) {
    let mut changed = ctx.journal.subscribe();
    let mut ticks = ctx.timer.subscribe(TICK);
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
            }
        }
        start_items(&ctx).await;
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
        progress::save(ctx).await
    };
    match tokio::time::timeout(HAND_OVER_TIMEOUT, saved).await {
        Ok(Ok(())) => {}
        Ok(Err(err)) => slog::warn!(ctx.logger, "progress of items not saved";
            "error" => err.to_string()),
        Err(_) => slog::warn!(ctx.logger, "progress of items not saved"; "error" => "timed out"),
    }
    ctx.items.is_handed_over.store(true, Ordering::Relaxed);
    ctx.peers.tell();
}

/// Takes in what the job records say.
fn sync(ctx: &Arc<Context>) {
    let missing = {
        let jobs = ctx.journal.jobs();
        lock(&ctx.items.backlog).sync(&jobs, ctx.host())
    };
    for (epoch, accepted) in missing {
        tokio::spawn(load(Arc::clone(ctx), epoch, accepted));
    }
    let backlog = lock(&ctx.items.backlog);
    ctx.items.cut_unwanted(|key| backlog.is_wanted(key));
    ctx.metrics.set("items_waiting", backlog.len());
}

/// Reads the items of a job.
async fn load(ctx: Arc<Context>, epoch: Offset, accepted: Arc<Accepted>) {
    let job = &accepted.job;
    match Payload::read(&ctx, &accepted).await {
        Ok(payload) => {
            let mut items = to_items(&accepted, payload);
            resume(&ctx, &accepted, epoch, &mut items).await;
            let jobs = ctx.journal.jobs();
            lock(&ctx.items.backlog).loaded(epoch, job, items, &jobs);
        }
        Err(err) => {
            slog::warn!(ctx.logger, "job's items not read"; "job" => job.as_str(),
                "error" => err.to_string());
            tokio::time::sleep(LOAD_PAUSE).await;
            lock(&ctx.items.backlog).not_loaded(job);
            sync(&ctx);
        }
    }
    ctx.items.wake();
}

/// Lets items go on from where other hosts, or this one before it started
/// again, had got with them.
async fn resume(ctx: &Context, accepted: &Accepted, epoch: Offset, items: &mut [Item]) {
    let job = &accepted.job;
    let owner_before = ctx
        .journal
        .jobs()
        .get(job)
        .and_then(|j| j.owner_before.clone());
    if owner_before.is_none() && !ctx.journal.is_older_than_listing(epoch) {
        return;
    }
    let hosts: Vec<HostId> = owner_before
        .into_iter()
        .chain([ctx.host().to_owned()])
        .collect();
    let mut found = match progress::read(ctx, job, &hosts).await {
        Ok(found) => found,
        Err(err) => {
            slog::warn!(ctx.logger, "progress of items not read, they begin anew";
                "job" => job.as_str(), "error" => err.to_string());
            return;
        }
    };
    slog::info!(ctx.logger, "progress of items read"; "job" => job.as_str(),
        "hosts" => hosts.join(","), "items" => items.len(), "with_progress" => found.len());
    for item in items {
        if let Some(saved) = found.remove(&item.key.1) {
            item.resume(saved);
        }
    }
}

fn to_items(accepted: &Accepted, payload: Payload) -> Vec<Item> {
    let host = payload.host;
    let specs = accepted.items.iter();
    let both = specs.zip(payload.items).zip(0..);
    let items = both.map(|((spec, item), number)| Item {
        key: (accepted.job.clone(), number),
        host: host.clone(),
        forward: Arc::new(Forward {
            id: spec.id.clone(),
            method: hyper::Method::POST,
            headers: item.headers(),
            path: item.path,
            body: item.body.into(),
        }),
        text: Vec::new(),
        last_event: None,
        failures: 0,
        saved_event: None,
        saved_failures: 0,
        submitted_unix_ms: accepted.submitted_unix_ms,
        is_late: false,
        known_since: Instant::now(),
    });
    items.collect()
}

/// Cuts an item at each target that has more than it can run.
fn relieve(ctx: &Arc<Context>) {
    let overfull = lock(&ctx.places).overfull(ctx.host());
    for target in overfull {
        if ctx.items.cut_one(&target) {
            ctx.metrics.count(Counted::Items, "cut, target overfull");
        }
    }
}

/// Starts items while there is room for them.
async fn start_items(ctx: &Arc<Context>) {
    let gap = ms(ctx.settings.batch.start_gap_ms);
    let most = ctx.settings.batch.running_max as usize;
    while ctx.phase() == Phase::Ready && lock(&ctx.items.running).len() < most {
        let Some(next) = next(ctx) else {
            return;
        };
        match next {
            Next::Run(item, route, target) => {
                let running = Running::begin(ctx, &target, Class::Batch);
                let ticket = ctx.items.register(&target, &item, running);
                tokio::spawn(run::run(Arc::clone(ctx), item, route, target, ticket));
                tokio::time::sleep(gap).await;
            }
            Next::GiveUp(item, reason) => give_up(ctx, &item, reason),
        }
    }
}

/// What to do with an item.
enum Next {
    Run(Item, Arc<Route>, TargetId),
    GiveUp(Item, Reason),
}

fn next(ctx: &Context) -> Option<Next> {
    let table = ctx.table()?;
    let mut backlog = lock(&ctx.items.backlog);
    let usual = lock(&ctx.items.duration).unwrap_or_default();
    backlog.put_late_behind(|item| is_late(&table, item, usual));
    let item = backlog.peek()?;
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
    let service = route.service(hash(&item.forward.id))?;
    let want = Want {
        service,
        data_centre: &ctx.settings.host.data_centre,
        affinity: 0,
        tried: &[],
        objective: None,
    };
    let target = lock(&ctx.places).choose_batch(&want, Instant::now())?;
    let item = backlog.take()?;
    Some(Next::Run(item, route, target))
}

/// Returns whether an item that starts now ends after its job's objective.
fn is_late(table: &Table, item: &Item, usual: Duration) -> bool {
    let path = item.forward.path.split('?').next().unwrap_or_default();
    let objective = table.find(&item.host, path).map(|r| r.jobs.objective);
    let Some(objective) = objective.filter(|o| !o.is_zero()) else {
        return false;
    };
    // Either clock may have missed some time: the host's own began when it
    // read the job, and the time of day may have been set back.
    let by_day = Duration::from_millis(unix_ms().saturating_sub(item.submitted_unix_ms));
    let age = item.known_since.elapsed().max(by_day);
    age + usual > objective
}

/// Lists an item as failed.
fn give_up(ctx: &Arc<Context>, item: &Item, reason: Reason) {
    slog::info!(ctx.logger, "item given up"; "job" => item.key.0.as_str(),
        "id" => item.forward.id.as_str(), "reason" => ?reason, "failures" => item.failures);
    ctx.settle(&item.key);
    let record = Record::Listed {
        job: item.key.0.clone(),
        item: item.key.1,
        outcome: Outcome::Failed(reason),
    };
    ctx.metrics.count(Counted::Items, "given up");
    tokio::spawn(list(Arc::clone(ctx), record));
}

/// Records the end of an item.
async fn list(ctx: Arc<Context>, record: Record) {
    let _unsettled = ctx.items.unsettled.enter();
    let job = record.job().clone();
    let deadline = Instant::now() + RECORD_TIMEOUT;
    if let Err(err) = ctx.journal.append(record, deadline).await {
        slog::error!(ctx.logger, "end of an item not recorded"; "job" => job, "error" => ?err);
    }
}

/// Writes an item's text and records its end.
async fn complete(ctx: Arc<Context>, item: Item) {
    let _unsettled = ctx.items.unsettled.enter();
    let (job, number) = &item.key;
    let key = format!("{job}/{number}/{}", ctx.writer);
    let text = bytes::Bytes::from(item.text);
    let deadline = Instant::now() + RECORD_TIMEOUT;
    let blobs = loop {
        if text.is_empty() {
            break Vec::new();
        }
        match ctx
            .blobs
            .write(Topic::Results, job, &key, text.clone())
            .await
        {
            Ok(blobs) => break blobs,
            Err(err) if Instant::now() >= deadline || ctx.phase() == Phase::Stopped => {
                slog::error!(ctx.logger, "result not written"; "job" => job.as_str(),
                    "id" => item.forward.id.as_str(), "error" => err.to_string());
                return;
            }
            Err(_) => tokio::time::sleep(LOAD_PAUSE).await,
        }
    };
    let record = Record::Listed {
        job: job.clone(),
        item: *number,
        outcome: Outcome::Completed(blobs),
    };
    list(Arc::clone(&ctx), record).await;
}

#[derive(Debug, Default)]
struct Registry {
    number: u64,
    by_target: HashMap<TargetId, Vec<Entry>>,
}

#[derive(Debug)]
struct Entry {
    number: u64,
    key: ItemKey,
    /// How well it can be spared: late items first, then those of the newest
    /// job, then the youngest run.
    spare: (bool, u64, u64),
    /// Counts the item at its target as long as it is here.
    _running: Running,
    _cancel: oneshot::Sender<()>,
}

impl Registry {
    fn len(&self) -> usize {
        self.by_target.values().map(Vec::len).sum()
    }

    /// Takes out the entry at a target whose place is returned.
    fn take(
        &mut self,
        target: &str,
        place: impl FnOnce(&[Entry]) -> Option<usize>,
    ) -> Option<Entry> {
        let entries = self.by_target.get_mut(target)?;
        let entry = entries.remove(place(entries)?);
        if entries.is_empty() {
            self.by_target.remove(target);
        }
        Some(entry)
    }
}

/// What a running item holds: its number, and word when it is cut.
struct Ticket {
    number: u64,
    cancelled: oneshot::Receiver<()>,
}
