//! The shards that this host holds or is the standby for.
//!
//! Each has an actor around the decision logic of its owner and a task that reads the
//! shard's stream. A host is the standby for a shard if it has the second-highest
//! rendezvous weight, so that it has already read the stream when it takes over.

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

/// Hosts that read a shard's stream: the holder and a standby.
const READERS_PER_SHARD: usize = 2;
const REBALANCE_INTERVAL: Duration = Duration::from_millis(250);
const OWNER_TICK_INTERVAL: Duration = Duration::from_millis(10);
const BACKLOG_INTERVAL: Duration = Duration::from_millis(50);
const SNAPSHOT_PART_BYTES: usize = 512 << 10;

/// A command for the owner of the shard.
pub(crate) struct ExecuteCommand {
    pub(crate) command: Command,
    pub(crate) reply_tx: oneshot::Sender<Result<Reply, CommandError>>,
}

/// Inputs for the owner's decision logic.
struct Inputs(Vec<Input>);

/// A host is down or has restarted.
#[derive(Clone)]
pub(crate) struct HostFailed {
    pub(crate) host: String,
    pub(crate) incarnation: u64,
}

/// Sets whether this host should hold the shard.
struct SetPreferred(bool);

/// Returns the servings with items to assign.
struct GetPendingServings;

/// The actor of one shard.
pub(crate) struct ShardActor {
    shared: Arc<Shared>,
    shard: ShardId,
    owner: Owner,
    last_held_epoch: Option<u64>,
    next_token: Token,
    pending_replies: HashMap<Token, oneshot::Sender<Result<Reply, CommandError>>>,
}

impl Actor for ShardActor {
    type Stop = ();

    async fn stopped(self) {
        self.shared.set_held_epoch(self.shard, None);
    }
}

impl Handler<ExecuteCommand> for ShardActor {
    type Return = ();

    async fn handle(&mut self, execute: ExecuteCommand, ctx: &mut Context<Self>) {
        let token = self.next_token;
        self.next_token += 1;
        self.pending_replies.insert(token, execute.reply_tx);
        let command = execute.command;
        self.step(Input::Command { token, command }, ctx);
    }
}

impl Handler<Inputs> for ShardActor {
    type Return = ();

    async fn handle(&mut self, inputs: Inputs, ctx: &mut Context<Self>) {
        for input in inputs.0 {
            self.step(input, ctx);
        }
    }
}

impl Handler<HostFailed> for ShardActor {
    type Return = ();

    async fn handle(&mut self, failed: HostFailed, ctx: &mut Context<Self>) {
        let HostFailed { host, incarnation } = failed;
        self.step(Input::HostFailed { host, incarnation }, ctx);
    }
}

impl Handler<SetPreferred> for ShardActor {
    type Return = ();

    async fn handle(&mut self, preferred: SetPreferred, ctx: &mut Context<Self>) {
        self.step(Input::Preferred(preferred.0), ctx);
    }
}

impl Handler<GetPendingServings> for ShardActor {
    type Return = Vec<String>;

    async fn handle(&mut self, _: GetPendingServings, _: &mut Context<Self>) -> Vec<String> {
        self.owner.pending_servings()
    }
}

impl ShardActor {
    fn step(&mut self, input: Input, ctx: &mut Context<Self>) {
        let effects = self.owner.step(self.shared.now(), input);
        for effect in effects {
            self.apply_effect(effect, ctx);
        }
        self.update_held_epoch();
    }

    fn apply_effect(&mut self, effect: Effect, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        match effect {
            Effect::Append(record) => {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(append_record(shared, self.shard, record, address));
            }
            Effect::Reply { token, res } => {
                if let Some(reply_tx) = self.pending_replies.remove(&token) {
                    // The receiver is dropped if the caller stopped waiting.
                    let _ = reply_tx.send(res);
                }
            }
            Effect::SaveSnapshot { bytes, upto } => {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(save_snapshot(shared, bytes, upto, address));
            }
            Effect::RewriteBlobs { job, blobs } => {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(rewrite_blobs(shared, job, blobs, address));
            }
        }
    }

    fn update_held_epoch(&mut self) {
        let held = self.owner.held_epoch();
        if held == self.last_held_epoch {
            return;
        }
        self.last_held_epoch = held;
        self.shared.set_held_epoch(self.shard, held);
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
            self.shared
                .publish_fact(fact::Fact::Shard(self.shard, holder));
        }
    }
}

impl Shared {
    fn set_held_epoch(&self, shard: ShardId, epoch: Option<u64>) {
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

    /// Returns the shards that this host has an actor for, and the actors.
    pub(crate) fn shard_actors(&self) -> Vec<(ShardId, Address<ShardActor>)> {
        let shards = self.shards.read();
        let shards = shards.unwrap_or_else(PoisonError::into_inner);
        shards.iter().map(|(id, a)| (*id, a.clone())).collect()
    }
}

async fn append_record(
    shared: Arc<Shared>,
    shard: ShardId,
    record: Record,
    address: Address<ShardActor, Weak>,
) {
    let name = shard_name(shard);
    if !shared.append(&name, record::encode(&record)).await {
        send_input(&address, Input::AppendUnconfirmed).await;
    }
}

async fn save_snapshot(
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
                send_input(&address, Input::BlobWriteFailed).await;
                return;
            }
        }
    }
    send_input(&address, Input::SnapshotSaved { parts, upto }).await;
}

async fn rewrite_blobs(
    shared: Arc<Shared>,
    job: String,
    blobs: Vec<BlobId>,
    address: Address<ShardActor, Weak>,
) {
    let input = match shared.blobs.rewrite(&blobs).await {
        Ok(blobs) => Input::BlobsRewritten { job, blobs },
        Err(_) => Input::BlobWriteFailed,
    };
    send_input(&address, input).await;
}

async fn send_input(address: &Address<ShardActor, Weak>, input: Input) {
    // A stopped actor needs no input.
    let _ = address.send(Inputs(vec![input])).await;
}

/// Starts the tasks that rebalance shards and report pending servings.
pub(crate) fn start(shared: &Arc<Shared>) {
    tokio::spawn(rebalance_loop(Arc::clone(shared)));
    tokio::spawn(report_backlog(Arc::clone(shared)));
}

async fn rebalance_loop(shared: Arc<Shared>) {
    let mut ticks = shared.timer.subscribe(REBALANCE_INTERVAL);
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
    let assigned = assigned_shards(shared);
    let interval = append_interval(shared);
    shared.pacer.set(interval);
    let held = shared.held_shards();
    let shards = shared.shards.write();
    let mut shards = shards.unwrap_or_else(PoisonError::into_inner);
    shards.retain(|id, actor| {
        actor.is_connected() && (assigned.contains_key(id) || held.contains(id))
    });
    for (id, is_preferred) in &assigned {
        let actor = shards.entry(*id).or_insert_with(|| spawn(shared, *id));
        post(actor, SetPreferred(*is_preferred));
    }
    for (id, actor) in shards.iter() {
        post(actor, Inputs(vec![Input::AppendInterval(interval)]));
        if !assigned.contains_key(id) {
            post(actor, SetPreferred(false));
        }
    }
}

fn append_interval(shared: &Shared) -> Duration {
    let hosts = shared.view().live_hosts().len();
    let ledger = &shared.settings.ledger;
    pacer::append_interval(ledger.shards as usize + hosts, ledger.append_budget_per_s)
}

/// Returns the shards that this host reads and whether it should hold each.
fn assigned_shards(shared: &Shared) -> HashMap<ShardId, bool> {
    let view = shared.view();
    let live = view.live_hosts();
    let host = shared.host().as_str();
    let rank = |shard: ShardId| {
        let ranked = rendezvous::top_ranked(&shard_name(shard), &live, READERS_PER_SHARD);
        ranked.iter().position(|h| *h == host)
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
        last_held_epoch: None,
        next_token: 0,
        pending_replies: HashMap::new(),
    };
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    tokio::spawn(read::read_stream(
        Arc::clone(shared),
        shard,
        address.downgrade(),
    ));
    tokio::spawn(send_ticks(Arc::clone(shared), address.downgrade()));
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

async fn send_ticks(shared: Arc<Shared>, address: Address<ShardActor, Weak>) {
    let mut ticks = shared.timer.subscribe(OWNER_TICK_INTERVAL);
    while ticks.recv().await.is_some() {
        if address.send(Inputs(vec![Input::Tick])).await.is_err() {
            return;
        }
    }
}

/// The state decoded from a snapshot, from which the actor continues.
struct SnapshotLoaded(Shard);

impl Handler<SnapshotLoaded> for ShardActor {
    type Return = ();

    async fn handle(&mut self, loaded: SnapshotLoaded, _: &mut Context<Self>) {
        let now = self.shared.now();
        self.owner = Owner::resume(owner_config(&self.shared), loaded.0, now);
    }
}

/// Stops the actor.
struct Shutdown;

impl Handler<Shutdown> for ShardActor {
    type Return = ();

    async fn handle(&mut self, _: Shutdown, ctx: &mut Context<Self>) {
        ctx.stop_all();
    }
}

/// Publishes the servings that this host has items for when they change.
async fn report_backlog(shared: Arc<Shared>) {
    let mut ticks = shared.timer.subscribe(BACKLOG_INTERVAL);
    let mut reported = Vec::new();
    let mut seq = 0;
    while ticks.recv().await.is_some() && shared.phase() != Phase::Stopped {
        let mut servings = Vec::new();
        for (_, actor) in shared.shard_actors() {
            servings.extend(actor.send(GetPendingServings).await.unwrap_or_default());
        }
        servings.sort();
        servings.dedup();
        if servings == reported {
            continue;
        }
        reported.clone_from(&servings);
        seq += 1;
        let order = (shared.incarnation, seq);
        let backlog = fact::Backlog { order, servings };
        let host = shared.host().clone();
        shared.publish_fact(fact::Fact::Backlog(host, backlog));
    }
}
