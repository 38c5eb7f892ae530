//! What this host does for one target that it holds.
//!
//! It reads the target's report and tells the fleet, gives the orders that
//! bring it to the bundle in force, and is the only one in the fleet to send
//! it batch work: it fills what online work leaves and gives it back the
//! moment online work comes.

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
use crate::item::End;
use crate::item::Item;
use crate::members;
use notchwharf_listen::Phase;

const STATUS_PERIOD: Duration = Duration::from_millis(500);
/// Reports not yet taken by owners above which no more work is pulled.
const UNSETTLED_MAX: usize = 4_096;
/// Items taken in one pull.
const PULL_MAX: u32 = 8;
/// The part of a target's limit that stands ready beside what runs.
const READY_SHARE: u32 = 8;
/// Failed reads of the report after which the target counts as not answering.
const MISSES_MAX: u32 = 2;

/// A host tells how many online streams it has open at the target.
pub(crate) struct Online {
    pub(crate) host: String,
    pub(crate) streams: u32,
}

struct Tick;
struct ReadStatus;
struct Reported(Option<Status>);
struct Pulled(String, Vec<AssignedItem>);
struct Ran(StreamId, End);

/// What this host does for one target.
pub(crate) struct Dispatcher {
    shared: Arc<Shared>,
    target: TargetId,
    epoch: Epoch,
    orders_from: Instant,
    slots: Slots,
    running: HashMap<StreamId, Running>,
    ready: VecDeque<Item>,
    next_id: StreamId,
    pulling: bool,
    turn: usize,
    status: Option<Status>,
    misses: u32,
    reports: u64,
    told: Option<fact::Target>,
}

struct Running {
    cancel: Option<oneshot::Sender<()>>,
    handed: AssignedItem,
}

impl Actor for Dispatcher {
    type Stop = ();

    async fn stopped(self) {
        // Dropping the cancels ends the streams; what was not started goes
        // back to its owners.
        let items: Vec<Item> = self.ready.into_iter().collect();
        tokio::spawn(item::give_back(self.shared, items));
    }
}

impl Handler<Online> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, online: Online, ctx: &mut Context<Self>) {
        let now = Instant::now();
        self.slots.set_online(&online.host, online.streams, now);
        self.preempt(now);
        self.fill(now, ctx);
    }
}

impl Handler<Tick> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, _: Tick, ctx: &mut Context<Self>) {
        let now = Instant::now();
        self.preempt(now);
        self.fill(now, ctx);
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
            let _ = address.send(Reported(status)).await;
        });
    }
}

impl Handler<Reported> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, reported: Reported, ctx: &mut Context<Self>) {
        match reported.0 {
            Some(status) => {
                self.misses = 0;
                self.status = Some(status);
                self.reconcile();
            }
            None => self.misses += 1,
        }
        self.tell();
        self.fill(Instant::now(), ctx);
    }
}

impl Handler<Pulled> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, pulled: Pulled, ctx: &mut Context<Self>) {
        self.pulling = false;
        let Pulled(serving, handed) = pulled;
        let items = handed.into_iter().map(|h| Item::new(h, &serving));
        let came = items.len() > 0;
        self.ready.extend(items);
        self.fill(Instant::now(), ctx);
        if came {
            self.pull(ctx);
        }
    }
}

impl Handler<Ran> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, ran: Ran, ctx: &mut Context<Self>) {
        let Ran(id, end) = ran;
        self.slots.end(id);
        self.running.remove(&id);
        match end {
            End::Settled => {}
            End::Parked(item) => self.ready.push_front(*item),
            End::GivenBack(item) => {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(item::give_back(shared, vec![*item]));
            }
        }
        self.fill(Instant::now(), ctx);
        self.pull(ctx);
    }
}

impl Dispatcher {
    /// Cancels the batch streams whose slots online work needs.
    fn preempt(&mut self, now: Instant) {
        let limit = self.shared.table().limit(&self.target);
        for id in self.slots.preempt(limit, now) {
            let running = self.running.get_mut(&id);
            if let Some(cancel) = running.and_then(|r| r.cancel.take()) {
                let _ = cancel.send(());
            }
            // The slot counts as free from here on; the stream's end finds it
            // so already.
            self.slots.end(id);
        }
    }

    /// Starts items while there is room.
    fn fill(&mut self, now: Instant, ctx: &mut Context<Self>) {
        let leaving = self.shared.phase() >= Phase::Leaving;
        let open = self.shared.table().is_available(&self.target, now);
        if leaving || !open || self.misses >= MISSES_MAX {
            return;
        }
        let limit = self.shared.table().limit(&self.target);
        let alone_after = self.shared.settings.ledger.attempts_max.saturating_sub(1);
        while let Some(item) = self.ready.front() {
            let suspect = u32::from(item.handed.work.attempts) >= alone_after.max(1);
            let room = if suspect {
                self.slots.can_start_exclusive(limit, now)
            } else {
                self.slots.available(limit, now) > 0
            };
            if !room {
                return;
            }
            let Some(item) = self.ready.pop_front() else {
                return;
            };
            self.start(item, suspect, now, ctx);
        }
    }

    fn start(&mut self, item: Item, alone: bool, now: Instant, ctx: &mut Context<Self>) {
        let shared = Arc::clone(&self.shared);
        let route = shared
            .active()
            .and_then(|a| a.route(&item.serving).cloned());
        let Some(fingerprint) = route.and_then(|r| self.held_fingerprint(&r)) else {
            tokio::spawn(item::give_back(shared, vec![item]));
            return;
        };
        let id = self.next_id;
        self.next_id += 1;
        if alone {
            self.slots.begin_exclusive(id, now);
        } else {
            self.slots.begin(id, now);
        }
        let (cancel, cancelled) = oneshot::channel();
        let running = Running {
            cancel: Some(cancel),
            handed: item.handed.clone(),
        };
        self.running.insert(id, running);
        let address = ctx.mailbox().address();
        let target = self.target.clone();
        tokio::spawn(async move {
            let end = item::run(Arc::clone(&shared), target, fingerprint, item, cancelled).await;
            if let Err(Ran(_, end)) = deliver(&address, Ran(id, end)).await
                && let End::Parked(item) | End::GivenBack(item) = end
            {
                item::give_back(shared, vec![*item]).await;
            }
        });
    }

    fn held_fingerprint(&self, route: &crate::bundle::Route) -> Option<String> {
        let holds = &self.told.as_ref()?.holds;
        holds
            .contains(&route.fingerprint)
            .then(|| route.fingerprint.clone())
    }

    /// Asks a host that has items for something that the target holds.
    fn pull(&mut self, ctx: &mut Context<Self>) {
        let leaving = self.shared.phase() >= Phase::Leaving;
        let now = Instant::now();
        let closed = !self.shared.table().is_available(&self.target, now);
        let full = self.shared.unsettled.count() >= UNSETTLED_MAX;
        if self.pulling || leaving || closed || full || self.misses >= MISSES_MAX {
            return;
        }
        let limit = self.shared.table().limit(&self.target);
        let room = self.slots.available(limit, now);
        // A few stand ready, so that a freed slot is filled without asking
        // first. Few are taken at a time: a target that took all it could run
        // would leave others idle beside a small job.
        let enough = room + limit / READY_SHARE;
        let ready = u32::try_from(self.ready.len()).unwrap_or(u32::MAX);
        let Some(max) = enough.checked_sub(ready).filter(|max| *max > 0) else {
            return;
        };
        let max = max.min(PULL_MAX);
        let Some((host, serving)) = self.source() else {
            return;
        };
        self.pulling = true;
        let shared = Arc::clone(&self.shared);
        let address = ctx.mailbox().address();
        tokio::spawn(async move {
            let handed = pull::take(&shared, &host, &serving, max).await;
            let lost = deliver(&address, Pulled(serving.clone(), handed)).await;
            if let Err(Pulled(_, handed)) = lost {
                let items = handed.into_iter().map(|h| Item::new(h, &serving));
                item::give_back(shared, items.collect()).await;
            }
        });
    }

    /// Returns a host with items for a serving that the target holds.
    fn source(&mut self) -> Option<(String, String)> {
        let active = self.shared.active()?;
        let holds = &self.told.as_ref()?.holds;
        let held = |serving: &str| {
            let route = active.route(serving);
            route.is_some_and(|r| holds.contains(&r.fingerprint))
        };
        let view = self.shared.view();
        let mut sources = Vec::new();
        for (host, backlog) in &view.backlogs {
            let current = view.hosts.get(host);
            let current = current.is_some_and(|h| h.incarnation == backlog.order.0);
            for serving in backlog.servings.iter().filter(|s| current && held(s)) {
                sources.push((host.clone(), serving.clone()));
            }
        }
        sources.sort();
        self.turn += 1;
        let at = self.turn.checked_rem(sources.len())?;
        sources.into_iter().nth(at)
    }

    /// Tells the fleet what the target reports, on changes.
    fn tell(&mut self) {
        let Some(status) = &self.status else {
            return;
        };
        let mut holds: Vec<String> = status.holds.iter().map(ModelVersion::fingerprint).collect();
        holds.sort();
        let answers = self.misses < MISSES_MAX;
        if !answers {
            holds.clear();
        }
        let mut target = fact::Target {
            incarnation: status.incarnation,
            leaving: status.leaving,
            order: (self.epoch, 0),
            holder: Some(self.shared.host().clone()),
            answers,
            role: match status.role {
                Role::Any => members::ROLE_ANY,
                Role::Online => members::ROLE_ONLINE,
                Role::Batch => members::ROLE_BATCH,
            },
            holds,
        };
        if self.told.as_ref() == Some(&target) {
            return;
        }
        self.told = Some(target.clone());
        self.reports += 1;
        target.order.1 = self.reports;
        self.shared.tell(Fact::Target(self.target.clone(), target));
    }
}

/// Sends an actor a message; gives it back if the actor has stopped.
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

/// Reports what this host runs to a new owner of a shard.
pub(crate) struct Reannounce(pub(crate) u32);

impl Handler<Reannounce> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, to: Reannounce, _: &mut Context<Self>) {
        let running = self.running.values().map(|r| &r.handed);
        let ready = self.ready.iter().map(|i| &i.handed);
        let handed: Vec<AssignedItem> = running
            .chain(ready)
            .filter(|h| h.shard == to.0)
            .cloned()
            .collect();
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move { pull::confirm(&shared, &handed).await });
    }
}

/// Starts a dispatcher and the tasks that feed it.
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
        pulling: false,
        turn: 0,
        status: None,
        misses: 0,
        reports: 0,
        told: None,
    };
    let address = xtra::spawn_tokio(dispatcher, Mailbox::unbounded());
    post(&address, ReadStatus);
    let weak = address.downgrade();
    tokio::spawn(tick(Arc::clone(shared), weak.clone()));
    tokio::spawn(read_status(Arc::clone(shared), weak));
    address
}

async fn tick(shared: Arc<Shared>, address: Address<Dispatcher, Weak>) {
    let mut ticks = shared.timer.subscribe(ms(shared.settings.batch.pull_ms));
    while ticks.recv().await.is_some() {
        if address.send(Tick).await.is_err() {
            return;
        }
    }
}

async fn read_status(shared: Arc<Shared>, address: Address<Dispatcher, Weak>) {
    let mut ticks = shared.timer.subscribe(STATUS_PERIOD);
    while ticks.recv().await.is_some() {
        if address.send(ReadStatus).await.is_err() {
            return;
        }
    }
}
