//! The dispatcher of a target on which this host holds the lease.
//!
//! It polls the status of the target and publishes it to the fleet, sends the orders that
//! bring the target to the current bundle, and is the only sender of batch items to it in
//! the fleet. Batch items use the slots that online requests leave free and are preempted
//! as soon as online requests need them.

mod orders;
mod pull;

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_clients::target::ModelVersion;
use notchwharf_clients::target::Role;
use notchwharf_clients::target::Status;
use notchwharf_config::settings::ms;
use notchwharf_ledger::record::Epoch;
use notchwharf_ledger::record::TargetId;
use notchwharf_membership::fact;
use notchwharf_membership::fact::Fact;
use notchwharf_proto::peer::AssignedItem;
use notchwharf_routing::slots;
use notchwharf_routing::slots::Slots;
use notchwharf_routing::slots::StreamId;
use tokio::sync::oneshot;
use xtra::prelude::*;
use xtra::refcount::Weak;

use crate::context::Context as Shared;
use crate::context::post;
use crate::item;
use crate::item::Item;
use crate::item::RunOutcome;
use crate::members;
use notchwharf_listen::Phase;

const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Results not yet accepted by shard owners above which no more items are pulled.
const UNSETTLED_MAX: usize = 4_096;
/// Items requested in one pull.
const PULL_MAX: u32 = 8;
/// A target's limit divided by this is the number of items kept ready beside the running ones.
const READY_DIVISOR: u32 = 8;
/// Consecutive failed status reads after which the target counts as unresponsive.
const FAILED_READS_MAX: u32 = 2;

/// The number of online streams that a host has open at the target.
pub(crate) struct OnlineStreams {
    pub(crate) host: String,
    pub(crate) streams: u32,
}

struct Tick;
struct ReadStatus;
struct StatusRead(Option<Status>);
struct ItemsPulled(String, Vec<AssignedItem>);
struct RunEnded(StreamId, RunOutcome);

/// Dispatches batch items and orders to one target.
pub(crate) struct Dispatcher {
    shared: Arc<Shared>,
    target: TargetId,
    epoch: Epoch,
    orders_from: Instant,
    slots: Slots,
    running: HashMap<StreamId, RunningItem>,
    ready: VecDeque<Item>,
    next_id: StreamId,
    is_pulling: bool,
    source_index: usize,
    status: Option<Status>,
    failed_reads: u32,
    report_count: u64,
    last_report: Option<fact::Target>,
}

struct RunningItem {
    cancel_tx: Option<oneshot::Sender<()>>,
    assigned: AssignedItem,
}

impl Actor for Dispatcher {
    type Stop = ();

    async fn stopped(self) {
        // Dropping the cancel senders ends the streams; items not yet started are
        // returned to their owners.
        let items: Vec<Item> = self.ready.into_iter().collect();
        tokio::spawn(item::return_items(self.shared, items));
    }
}

impl Handler<OnlineStreams> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, online: OnlineStreams, ctx: &mut Context<Self>) {
        let now = Instant::now();
        self.slots.set_online(&online.host, online.streams, now);
        self.preempt(now);
        self.start_ready_items(now, ctx);
    }
}

impl Handler<Tick> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, _: Tick, ctx: &mut Context<Self>) {
        let now = Instant::now();
        self.preempt(now);
        self.start_ready_items(now, ctx);
        self.pull(ctx);
    }
}

impl Handler<ReadStatus> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, _: ReadStatus, ctx: &mut Context<Self>) {
        let Some(url) = self.shared.target_url(&self.target) else {
            return;
        };
        let shared = Arc::clone(&self.shared);
        let address = ctx.mailbox().address();
        tokio::spawn(async move {
            let status = shared.targets.status(&url).await.ok();
            let _ = address.send(StatusRead(status)).await;
        });
    }
}

impl Handler<StatusRead> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, read: StatusRead, ctx: &mut Context<Self>) {
        match read.0 {
            Some(status) => {
                self.failed_reads = 0;
                self.status = Some(status);
                self.reconcile();
            }
            None => self.failed_reads += 1,
        }
        self.publish_report();
        self.start_ready_items(Instant::now(), ctx);
    }
}

impl Handler<ItemsPulled> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, pulled: ItemsPulled, ctx: &mut Context<Self>) {
        self.is_pulling = false;
        let ItemsPulled(serving, assigned) = pulled;
        let items = assigned.into_iter().map(|a| Item::new(a, &serving));
        let has_items = items.len() > 0;
        self.ready.extend(items);
        self.start_ready_items(Instant::now(), ctx);
        if has_items {
            self.pull(ctx);
        }
    }
}

impl Handler<RunEnded> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, ended: RunEnded, ctx: &mut Context<Self>) {
        let RunEnded(id, outcome) = ended;
        self.slots.end(id);
        self.running.remove(&id);
        match outcome {
            RunOutcome::Finished => {}
            RunOutcome::Interrupted(item) => self.ready.push_front(*item),
            RunOutcome::Returned(item) => {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(item::return_items(shared, vec![*item]));
            }
        }
        self.start_ready_items(Instant::now(), ctx);
        self.pull(ctx);
    }
}

impl Dispatcher {
    /// Cancels the batch streams whose slots online requests need.
    fn preempt(&mut self, now: Instant) {
        let limit = self.shared.table().limit(&self.target);
        for id in self.slots.preempt(limit, now) {
            let running = self.running.get_mut(&id);
            if let Some(cancel_tx) = running.and_then(|r| r.cancel_tx.take()) {
                let _ = cancel_tx.send(());
            }
            // The slot counts as free from now on; the end of the stream releases nothing.
            self.slots.end(id);
        }
    }

    /// Starts ready items while slots are available.
    fn start_ready_items(&mut self, now: Instant, ctx: &mut Context<Self>) {
        let is_leaving = self.shared.phase() >= Phase::Leaving;
        let is_available = self.shared.table().is_available(&self.target, now);
        if is_leaving || !is_available || self.failed_reads >= FAILED_READS_MAX {
            return;
        }
        let limit = self.shared.table().limit(&self.target);
        let exclusive_after = self.shared.settings.ledger.attempts_max.saturating_sub(1);
        while let Some(item) = self.ready.front() {
            let is_suspect = u32::from(item.assigned.work.attempts) >= exclusive_after.max(1);
            let has_slot = if is_suspect {
                self.slots.can_start_exclusive(limit, now)
            } else {
                self.slots.available(limit, now) > 0
            };
            if !has_slot {
                return;
            }
            let Some(item) = self.ready.pop_front() else {
                return;
            };
            self.start(item, is_suspect, now, ctx);
        }
    }

    fn start(&mut self, item: Item, is_exclusive: bool, now: Instant, ctx: &mut Context<Self>) {
        let shared = Arc::clone(&self.shared);
        let route = shared
            .active()
            .and_then(|a| a.route(&item.serving).cloned());
        let Some(fingerprint) = route.and_then(|r| self.loaded_fingerprint(&r)) else {
            tokio::spawn(item::return_items(shared, vec![item]));
            return;
        };
        let id = self.next_id;
        self.next_id += 1;
        if is_exclusive {
            self.slots.begin_exclusive(id, now);
        } else {
            self.slots.begin(id, now);
        }
        let (cancel_tx, cancel_rx) = oneshot::channel();
        let running = RunningItem {
            cancel_tx: Some(cancel_tx),
            assigned: item.assigned.clone(),
        };
        self.running.insert(id, running);
        let address = ctx.mailbox().address();
        let target = self.target.clone();
        tokio::spawn(async move {
            let outcome =
                item::run(Arc::clone(&shared), target, fingerprint, item, cancel_rx).await;
            if let Err(RunEnded(_, outcome)) = deliver(&address, RunEnded(id, outcome)).await
                && let RunOutcome::Interrupted(item) | RunOutcome::Returned(item) = outcome
            {
                item::return_items(shared, vec![*item]).await;
            }
        });
    }

    fn loaded_fingerprint(&self, route: &crate::bundle::Route) -> Option<String> {
        let loaded = &self.last_report.as_ref()?.holds;
        loaded
            .contains(&route.fingerprint)
            .then(|| route.fingerprint.clone())
    }

    /// Requests items for a model that the target has loaded from a host that has some.
    fn pull(&mut self, ctx: &mut Context<Self>) {
        let is_leaving = self.shared.phase() >= Phase::Leaving;
        let now = Instant::now();
        let is_unavailable = !self.shared.table().is_available(&self.target, now);
        let is_backlogged = self.shared.unsettled.count() >= UNSETTLED_MAX;
        if self.is_pulling
            || is_leaving
            || is_unavailable
            || is_backlogged
            || self.failed_reads >= FAILED_READS_MAX
        {
            return;
        }
        let limit = self.shared.table().limit(&self.target);
        let free_slots = self.slots.available(limit, now);
        // A few items are kept ready so that a freed slot is filled without a round trip.
        // Only a few are requested at a time: a target that pulled all it can run would
        // leave other targets idle during a small job.
        let wanted = free_slots + limit / READY_DIVISOR;
        let ready = u32::try_from(self.ready.len()).unwrap_or(u32::MAX);
        let Some(max) = wanted.checked_sub(ready).filter(|max| *max > 0) else {
            return;
        };
        let max = max.min(PULL_MAX);
        let Some((host, serving)) = self.next_source() else {
            return;
        };
        self.is_pulling = true;
        let shared = Arc::clone(&self.shared);
        let address = ctx.mailbox().address();
        tokio::spawn(async move {
            let assigned = pull::request_items(&shared, &host, &serving, max).await;
            let undelivered = deliver(&address, ItemsPulled(serving.clone(), assigned)).await;
            if let Err(ItemsPulled(_, assigned)) = undelivered {
                let items = assigned.into_iter().map(|a| Item::new(a, &serving));
                item::return_items(shared, items.collect()).await;
            }
        });
    }

    /// Returns, round-robin, a host and a serving that the host has items for and the
    /// target has loaded.
    fn next_source(&mut self) -> Option<(String, String)> {
        let active = self.shared.active()?;
        let loaded = &self.last_report.as_ref()?.holds;
        let is_loaded = |serving: &str| {
            let route = active.route(serving);
            route.is_some_and(|r| loaded.contains(&r.fingerprint))
        };
        let view = self.shared.view();
        let mut sources = Vec::new();
        for (host, backlog) in &view.backlogs {
            let current = view.hosts.get(host);
            let is_current = current.is_some_and(|h| h.incarnation == backlog.order.0);
            for serving in backlog
                .servings
                .iter()
                .filter(|s| is_current && is_loaded(s))
            {
                sources.push((host.clone(), serving.clone()));
            }
        }
        sources.sort();
        self.source_index += 1;
        let index = self.source_index.checked_rem(sources.len())?;
        sources.into_iter().nth(index)
    }

    /// Publishes the status of the target to the fleet if it changed.
    fn publish_report(&mut self) {
        let Some(status) = &self.status else {
            return;
        };
        let mut loaded: Vec<String> = status.holds.iter().map(ModelVersion::fingerprint).collect();
        loaded.sort();
        let is_responsive = self.failed_reads < FAILED_READS_MAX;
        if !is_responsive {
            loaded.clear();
        }
        let mut target = fact::Target {
            incarnation: status.incarnation,
            leaving: status.leaving,
            order: (self.epoch, 0),
            holder: Some(self.shared.host().clone()),
            answers: is_responsive,
            role: match status.role {
                Role::Any => members::ROLE_ANY,
                Role::Online => members::ROLE_ONLINE,
                Role::Batch => members::ROLE_BATCH,
            },
            holds: loaded,
        };
        if self.last_report.as_ref() == Some(&target) {
            return;
        }
        self.last_report = Some(target.clone());
        self.report_count += 1;
        target.order.1 = self.report_count;
        self.shared
            .publish_fact(Fact::Target(self.target.clone(), target));
    }
}

/// Sends a message to an actor and returns the message if the actor has stopped.
async fn deliver<M>(address: &Address<Dispatcher, Weak>, message: M) -> Result<(), M>
where
    Dispatcher: Handler<M>,
    M: Send + 'static,
{
    if !address.is_connected() {
        return Err(message);
    }
    let _ = address.send(message).await;
    Ok(())
}

/// Confirms the items that this host holds to the new owner of a shard.
pub(crate) struct ConfirmItems(pub(crate) u32);

impl Handler<ConfirmItems> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, confirm: ConfirmItems, _: &mut Context<Self>) {
        let running = self.running.values().map(|r| &r.assigned);
        let ready = self.ready.iter().map(|i| &i.assigned);
        let assigned: Vec<AssignedItem> = running
            .chain(ready)
            .filter(|a| a.shard == confirm.0)
            .cloned()
            .collect();
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move { pull::confirm(&shared, &assigned).await });
    }
}

/// Starts a dispatcher and its periodic tasks.
pub(crate) fn spawn(
    shared: &Arc<Shared>,
    target: &str,
    epoch: Epoch,
    orders_from: Instant,
) -> Address<Dispatcher> {
    let cfg = slots::Config {
        reserve_min: shared.settings.batch.reserve_min,
        ..slots::Config::default()
    };
    let dispatcher = Dispatcher {
        shared: Arc::clone(shared),
        target: target.to_owned(),
        epoch,
        orders_from,
        slots: Slots::new(cfg, Instant::now()),
        running: HashMap::new(),
        ready: VecDeque::new(),
        next_id: 0,
        is_pulling: false,
        source_index: 0,
        status: None,
        failed_reads: 0,
        report_count: 0,
        last_report: None,
    };
    let address = xtra::spawn_tokio(dispatcher, Mailbox::unbounded());
    post(&address, ReadStatus);
    let weak = address.downgrade();
    tokio::spawn(send_ticks(Arc::clone(shared), weak.clone()));
    tokio::spawn(poll_status(Arc::clone(shared), weak));
    address
}

async fn send_ticks(shared: Arc<Shared>, address: Address<Dispatcher, Weak>) {
    let mut ticks = shared.timer.subscribe(ms(shared.settings.batch.pull_ms));
    while ticks.recv().await.is_some() {
        if address.send(Tick).await.is_err() {
            return;
        }
    }
}

async fn poll_status(shared: Arc<Shared>, address: Address<Dispatcher, Weak>) {
    let mut ticks = shared.timer.subscribe(STATUS_INTERVAL);
    while ticks.recv().await.is_some() {
        if address.send(ReadStatus).await.is_err() {
            return;
        }
    }
}
