//! The shards that this host holds or stands by for.
//!
//! For each one an actor wraps the owner's decisions, and a task reads the
//! shard's stream and feeds it. A host stands by for a shard when it is among
//! the two that should hold it, so that a takeover finds the stream read.

mod read;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;

use notchwharf_config::settings::ms;
use notchwharf_ledger::error::CommandError;
use notchwharf_ledger::owner::Command;
use notchwharf_ledger::owner::Config;
use notchwharf_ledger::owner::Effect;
use notchwharf_ledger::owner::Input;
use notchwharf_ledger::owner::Owner;
use notchwharf_ledger::owner::Reply;
use notchwharf_ledger::owner::Token;
use notchwharf_ledger::record;
use notchwharf_ledger::record::Blob;
use notchwharf_ledger::record::BlobId;
use notchwharf_ledger::record::Offset;
use notchwharf_ledger::record::Record;
use notchwharf_ledger::record::ShardId;
use notchwharf_ledger::rendezvous;
use notchwharf_ledger::shard::Shard;
use notchwharf_membership::fact;
use tokio::sync::oneshot;
use xtra::prelude::*;
use xtra::refcount::Weak;

use crate::context::Context as Shared;
use crate::context::post;
use crate::ledger::shard_name;
use crate::metrics::Counted;
use crate::pacer;
use notchwharf_listen::Phase;

/// Hosts that read a shard's stream: the holder and one that stands by.
const READERS: usize = 2;
const REBALANCE_PERIOD: Duration = Duration::from_millis(250);
const OWNER_PERIOD: Duration = Duration::from_millis(10);
const BACKLOG_PERIOD: Duration = Duration::from_millis(50);
const SNAPSHOT_PART_BYTES: usize = 512 << 10;

/// A command for the owner.
pub(crate) struct Ask {
    pub(crate) command: Command,
    pub(crate) tx: oneshot::Sender<Result<Reply, CommandError>>,
}

/// An input for the owner's decisions.
struct Feed(Vec<Input>);

/// A host is dead or has started again.
#[derive(Clone)]
pub(crate) struct HostGone {
    pub(crate) host: String,
    pub(crate) incarnation: u64,
}

/// Whether this host should hold the shard.
struct Preferred(bool);

/// Asks for the servings that have items to hand out.
struct Backlog;

/// One shard at this host.
pub(crate) struct ShardActor {
    shared: Arc<Shared>,
    shard: ShardId,
    owner: Owner,
    held: Option<u64>,
    next_token: Token,
    waiting: HashMap<Token, oneshot::Sender<Result<Reply, CommandError>>>,
}

impl Actor for ShardActor {
    type Stop = ();

    async fn stopped(self) {
        self.shared.note_held(self.shard, None);
    }
}

impl Handler<Ask> for ShardActor {
    type Return = ();

    async fn handle(&mut self, ask: Ask, ctx: &mut Context<Self>) {
        let token = self.next_token;
        self.next_token += 1;
        self.waiting.insert(token, ask.tx);
        let command = ask.command;
        self.feed(Input::Command { token, command }, ctx);
    }
}

impl Handler<Feed> for ShardActor {
    type Return = ();

    async fn handle(&mut self, feed: Feed, ctx: &mut Context<Self>) {
        for input in feed.0 {
            self.feed(input, ctx);
        }
    }
}

impl Handler<HostGone> for ShardActor {
    type Return = ();

    async fn handle(&mut self, gone: HostGone, ctx: &mut Context<Self>) {
        let HostGone { host, incarnation } = gone;
        self.feed(Input::HostFailed { host, incarnation }, ctx);
    }
}

impl Handler<Preferred> for ShardActor {
    type Return = ();

    async fn handle(&mut self, preferred: Preferred, ctx: &mut Context<Self>) {
        self.feed(Input::Preferred(preferred.0), ctx);
    }
}

impl Handler<Backlog> for ShardActor {
    type Return = Vec<String>;

    async fn handle(&mut self, _: Backlog, _: &mut Context<Self>) -> Vec<String> {
        self.owner.pending_servings()
    }
}

impl ShardActor {
    fn feed(&mut self, input: Input, ctx: &mut Context<Self>) {
        let effects = self.owner.step(self.shared.now(), input);
        for effect in effects {
            self.carry_out(effect, ctx);
        }
        self.note_lease();
    }

    fn carry_out(&mut self, effect: Effect, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        match effect {
            Effect::Append(record) => {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(append(shared, self.shard, record, address));
            }
            Effect::Reply { token, res } => {
                if let Some(tx) = self.waiting.remove(&token) {
                    // Nobody waits any more if the caller has gone.
                    let _ = tx.send(res);
                }
            }
            Effect::SaveSnapshot { bytes, upto } => {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(save(shared, bytes, upto, address));
            }
            Effect::RewriteBlobs { job, blobs } => {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(carry(shared, job, blobs, address));
            }
        }
    }

    fn note_lease(&mut self) {
        let held = self.owner.held_epoch();
        if held == self.held {
            return;
        }
        self.held = held;
        self.shared.note_held(self.shard, held);
        let event = if held.is_some() {
            "shard taken"
        } else {
            "shard lost"
        };
        self.shared.metrics.count(Counted::Leases, event);
        slog::info!(self.shared.logger, "{}", event; "shard" => self.shard, "epoch" => held);
        if let Some(epoch) = held {
            let host = self.shared.host().clone();
            let holder = fact::Holder { epoch, host };
            self.shared.tell(fact::Fact::Shard(self.shard, holder));
        }
    }
}

impl Shared {
    fn note_held(&self, shard: ShardId, epoch: Option<u64>) {
        let held = self.held_shards.write();
        let mut held = held.unwrap_or_else(PoisonError::into_inner);
        match epoch {
            Some(epoch) => held.insert(shard, epoch),
            None => held.remove(&shard),
        };
        self.metrics.set("shards held", held.len());
    }

    /// Returns the shards that this host holds.
    pub(crate) fn held_shards(&self) -> Vec<ShardId> {
        let held = self.held_shards.read();
        let held = held.unwrap_or_else(PoisonError::into_inner);
        let mut shards: Vec<ShardId> = held.keys().copied().collect();
        shards.sort_unstable();
        shards
    }

    /// Returns the shards that this host has an actor for.
    pub(crate) fn shard_actors(&self) -> Vec<(ShardId, Address<ShardActor>)> {
        let shards = self.shards.read();
        let shards = shards.unwrap_or_else(PoisonError::into_inner);
        shards.iter().map(|(id, a)| (*id, a.clone())).collect()
    }
}

async fn append(
    shared: Arc<Shared>,
    shard: ShardId,
    record: Record,
    address: Address<ShardActor, Weak>,
) {
    let name = shard_name(shard);
    if !shared.append(&name, record::encode(&record)).await {
        feed_weak(&address, Input::AppendUnconfirmed).await;
    }
}

async fn save(
    shared: Arc<Shared>,
    bytes: Vec<u8>,
    upto: Offset,
    address: Address<ShardActor, Weak>,
) {
    let mut parts = Vec::new();
    for part in bytes.chunks(SNAPSHOT_PART_BYTES) {
        let blob = Blob {
            parts: vec![part.to_vec()],
        };
        match shared.write_blob(&blob).await {
            Ok(id) => parts.push(id),
            Err(_) => {
                feed_weak(&address, Input::BlobWriteFailed).await;
                return;
            }
        }
    }
    feed_weak(&address, Input::SnapshotSaved { parts, upto }).await;
}

async fn carry(
    shared: Arc<Shared>,
    job: String,
    blobs: Vec<BlobId>,
    address: Address<ShardActor, Weak>,
) {
    let input = match shared.blobs.rewrite(&blobs).await {
        Ok(blobs) => Input::BlobsRewritten { job, blobs },
        Err(_) => Input::BlobWriteFailed,
    };
    feed_weak(&address, input).await;
}

async fn feed_weak(address: &Address<ShardActor, Weak>, input: Input) {
    // An actor that has stopped needs no input.
    let _ = address.send(Feed(vec![input])).await;
}

/// Starts the task that keeps the right shards at this host.
pub(crate) fn start(shared: &Arc<Shared>) {
    tokio::spawn(keep_balanced(Arc::clone(shared)));
    tokio::spawn(tell_backlog(Arc::clone(shared)));
}

async fn keep_balanced(shared: Arc<Shared>) {
    let mut ticks = shared.timer.subscribe(REBALANCE_PERIOD);
    while ticks.recv().await.is_some() {
        if shared.phase() == Phase::Stopped {
            break;
        }
        rebalance(&shared);
    }
    let shards = shared.shards.write();
    shards.unwrap_or_else(PoisonError::into_inner).clear();
}

fn rebalance(shared: &Arc<Shared>) {
    let wanted = wanted(shared);
    let pace = pace(shared);
    shared.pacer.set(pace);
    let held = shared.held_shards();
    let shards = shared.shards.write();
    let mut shards = shards.unwrap_or_else(PoisonError::into_inner);
    shards
        .retain(|id, actor| actor.is_connected() && (wanted.contains_key(id) || held.contains(id)));
    for (id, first) in &wanted {
        let actor = shards.entry(*id).or_insert_with(|| spawn(shared, *id));
        post(actor, Preferred(*first));
    }
    for (id, actor) in shards.iter() {
        post(actor, Feed(vec![Input::AppendInterval(pace)]));
        if !wanted.contains_key(id) {
            post(actor, Preferred(false));
        }
    }
}

fn pace(shared: &Shared) -> Duration {
    let hosts = shared.view().live_hosts().len();
    let ledger = &shared.settings.ledger;
    pacer::pace(ledger.shards as usize + hosts, ledger.append_budget_per_s)
}

/// Returns the shards to read, and whether this host should hold each.
fn wanted(shared: &Shared) -> HashMap<ShardId, bool> {
    let view = shared.view();
    let live = view.live_hosts();
    let host = shared.host().as_str();
    let rank = |shard: ShardId| {
        let best = rendezvous::top_ranked(&shard_name(shard), &live, READERS);
        best.iter().position(|h| *h == host)
    };
    (0..shared.settings.ledger.shards)
        .filter_map(|shard| Some((shard, rank(shard)? == 0)))
        .collect()
}

fn spawn(shared: &Arc<Shared>, shard: ShardId) -> Address<ShardActor> {
    let actor = ShardActor {
        shared: Arc::clone(shared),
        shard,
        owner: Owner::new(owner_config(shared), shared.now()),
        held: None,
        next_token: 0,
        waiting: HashMap::new(),
    };
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    tokio::spawn(read::read_stream(
        Arc::clone(shared),
        shard,
        address.downgrade(),
    ));
    tokio::spawn(tick(Arc::clone(shared), address.downgrade()));
    address
}

fn owner_config(shared: &Shared) -> Config {
    let s = &shared.settings;
    Config {
        lease_duration: ms(s.lease.duration_ms),
        renew_interval: ms(s.lease.renew_ms),
        commit_interval: ms(s.ledger.commit_ms),
        attempts_max: u8::try_from(s.ledger.attempts_max).unwrap_or(u8::MAX),
        item_timeout: ms(s.batch.item_timeout_ms),
        snapshot_records: s.ledger.snapshot_records.into(),
        rewrite_after: ms(s.ledger.retention_ms - s.ledger.carry_margin_ms),
        retention: ms(s.ledger.readable_ms),
        ..Config::new(shared.host(), shared.incarnation)
    }
}

async fn tick(shared: Arc<Shared>, address: Address<ShardActor, Weak>) {
    let mut ticks = shared.timer.subscribe(OWNER_PERIOD);
    while ticks.recv().await.is_some() {
        if address.send(Feed(vec![Input::Tick])).await.is_err() {
            return;
        }
    }
}

/// A state read from a snapshot, for the actor to go on from.
struct Restored(Shard);

impl Handler<Restored> for ShardActor {
    type Return = ();

    async fn handle(&mut self, restored: Restored, _: &mut Context<Self>) {
        let now = self.shared.now();
        self.owner = Owner::resume(owner_config(&self.shared), restored.0, now);
    }
}

/// Tells the actor to stop.
struct Quit;

impl Handler<Quit> for ShardActor {
    type Return = ();

    async fn handle(&mut self, _: Quit, ctx: &mut Context<Self>) {
        ctx.stop_all();
    }
}

/// Tells the fleet which servings this host has items for, on changes.
async fn tell_backlog(shared: Arc<Shared>) {
    let mut ticks = shared.timer.subscribe(BACKLOG_PERIOD);
    let mut told = Vec::new();
    let mut seq = 0;
    while ticks.recv().await.is_some() && shared.phase() != Phase::Stopped {
        let mut servings = Vec::new();
        for (_, actor) in shared.shard_actors() {
            servings.extend(actor.send(Backlog).await.unwrap_or_default());
        }
        servings.sort();
        servings.dedup();
        if servings == told {
            continue;
        }
        told.clone_from(&servings);
        seq += 1;
        let order = (shared.incarnation, seq);
        let backlog = fact::Backlog { order, servings };
        let host = shared.host().clone();
        shared.tell(fact::Fact::Backlog(host, backlog));
    }
}
