//! The bundle in force at this host, indexed, and how it is kept up to date.
//!
//! The bundle stream is the source. A host that cannot read it takes the
//! bundle from a peer that has a newer one, so that a host that reaches only
//! peers, or starts during an outage, still has what operators signed off.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use notchwharf_clients::error::ReadError;
use notchwharf_clients::target::ModelVersion;
use notchwharf_config::TenantId;
use notchwharf_config::Version;
use notchwharf_config::bundle::Bundle;
use notchwharf_config::bundle::Serving;
use notchwharf_config::bundle::Tenant;
use notchwharf_config::error::Refusal;
use notchwharf_config::history::Event;
use notchwharf_config::history::History;
use notchwharf_config::history::InForce;
use notchwharf_config::history::Record;
use notchwharf_config::settings::ms;
use notchwharf_ledger::record::ShardId;
use notchwharf_membership::fact::Fact;
use tokio::sync::watch;

use crate::context::Context;
use crate::context::LOG_WAIT;
use crate::context::lock;
use crate::metrics::Counted;
use notchwharf_listen::Phase;

/// The stream that operators publish to.
pub(crate) const STREAM: &str = "bundle";
const PAGE_RECORDS: u32 = 100;
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const CARRY_PERIOD: Duration = Duration::from_millis(250);
/// The shard whose holder repeats the bundle in force.
const CARRIER: ShardId = 0;

/// The bundle in force, indexed for routing.
#[derive(Debug)]
pub(crate) struct Active {
    pub(crate) version: Version,
    pub(crate) since: u64,
    pub(crate) bundle: Arc<Bundle>,
    by_name: HashMap<TenantId, usize>,
    by_key: HashMap<String, usize>,
    routes: HashMap<String, Route>,
}

/// What a serving runs as.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    /// The fingerprint in force.
    pub(crate) fingerprint: String,
    /// The one before, which serves until a target is ready with the new one.
    pub(crate) previous: Option<String>,
}

impl Active {
    fn new(in_force: &InForce, before: Option<&Active>) -> Self {
        let bundle = Arc::clone(&in_force.bundle);
        let tenants = || bundle.tenants.iter().enumerate();
        let by_name = tenants().map(|(i, t)| (t.name.clone(), i)).collect();
        let by_key = tenants()
            .flat_map(|(i, t)| t.key_sha256.iter().map(move |key| (key.clone(), i)))
            .collect();
        let routes = bundle
            .servings
            .iter()
            .map(|s| (s.name.clone(), route(s, before)))
            .collect();
        Self {
            version: in_force.version,
            since: in_force.since,
            by_name,
            by_key,
            routes,
            bundle,
        }
    }

    pub(crate) fn tenant(&self, name: &str) -> Option<&Tenant> {
        self.bundle.tenants.get(*self.by_name.get(name)?)
    }

    pub(crate) fn tenant_by_key(&self, digest: &str) -> Option<&Tenant> {
        self.bundle.tenants.get(*self.by_key.get(digest)?)
    }

    pub(crate) fn route(&self, serving: &str) -> Option<&Route> {
        self.routes.get(serving)
    }

    /// Returns whether a fingerprint is that of a serving in force.
    pub(crate) fn is_in_force(&self, fingerprint: &str) -> bool {
        self.routes.values().any(|r| r.fingerprint == fingerprint)
    }
}

/// Returns the way a target names what a serving runs as.
pub(crate) fn held_of(serving: &Serving) -> ModelVersion {
    ModelVersion {
        model: serving.model.clone(),
        adapter: serving.adapter.clone(),
        version: serving.version.clone(),
    }
}

fn route(serving: &Serving, before: Option<&Active>) -> Route {
    let fingerprint = held_of(serving).fingerprint();
    let old = before.and_then(|b| b.route(&serving.name));
    let previous = match old {
        Some(old) if old.fingerprint == fingerprint => old.previous.clone(),
        Some(old) => Some(old.fingerprint.clone()),
        None => None,
    };
    Route {
        fingerprint,
        previous,
    }
}

/// The fold over the bundle stream, and how far it has come.
#[derive(Debug)]
pub(crate) struct Feed {
    history: Mutex<History>,
    folded: watch::Sender<u64>,
    /// When the log was last seen to hold the bundle in force.
    renewed: Mutex<Option<Instant>>,
}

impl Feed {
    /// Starts to follow the stream.
    pub(crate) fn start(ctx: &Arc<Context>) -> Arc<Self> {
        let feed = Arc::new(Self {
            history: Mutex::default(),
            folded: watch::Sender::new(0),
            renewed: Mutex::default(),
        });
        tokio::spawn(follow(Arc::clone(ctx), Arc::clone(&feed)));
        tokio::spawn(carry(Arc::clone(ctx), Arc::clone(&feed)));
        feed
    }

    pub(crate) fn events(&self) -> Vec<Event> {
        lock(&self.history).events().to_vec()
    }

    /// Says beforehand whether a record would count now.
    pub(crate) fn check(&self, record: &Record) -> Result<(), Refusal> {
        let mut history = lock(&self.history).clone();
        history.apply(u64::MAX, record.clone())
    }

    /// Waits until a record was folded and returns what came of it.
    pub(crate) async fn outcome(&self, offset: u64) -> Option<Event> {
        let mut folded = self.folded.subscribe();
        folded.wait_for(|next| *next > offset).await.ok()?;
        let events = self.events();
        events.into_iter().find(|event| event.offset == offset)
    }

    /// Takes the bundle in force from a peer, if it is newer.
    pub(crate) fn adopt(&self, ctx: &Context, in_force: InForce) {
        let mut history = lock(&self.history);
        if history.adopt(in_force) {
            put_in_force(ctx, &history);
        }
    }

    fn fold(&self, ctx: &Context, offset: u64, bytes: &[u8]) {
        let mut history = lock(&self.history);
        let before = history.version();
        let record = serde_json::from_slice::<Record>(bytes);
        let repeated = match &record {
            Ok(Record::Carried { version, .. }) => Some(*version),
            _ => None,
        };
        // What came of the record is kept with the history's events.
        let _ = record.map(|record| history.apply(offset, record));
        // A copy of an older version, from a host that lags, renews nothing.
        let carried = repeated.is_some() && repeated == history.version();
        if history.version() != before || carried {
            *lock(&self.renewed) = Some(Instant::now());
        }
        if history.version() != before {
            put_in_force(ctx, &history);
        }
        drop(history);
        self.folded.send_replace(offset + 1);
    }
}

fn put_in_force(ctx: &Context, history: &History) {
    let Some(in_force) = history.in_force() else {
        return;
    };
    let before = ctx.active();
    let active = Arc::new(Active::new(in_force, before.as_deref()));
    ctx.bundle.send_replace(Some(active));
    ctx.phase.send_if_modified(|phase| {
        let starting = *phase == Phase::Starting;
        if starting {
            *phase = Phase::Ready;
        }
        starting
    });
    ctx.tell(Fact::Bundle(in_force.version));
    slog::info!(ctx.logger, "bundle in force"; "version" => in_force.version);
}

async fn follow(ctx: Arc<Context>, feed: Arc<Feed>) {
    let mut next = 0;
    while ctx.phase() != Phase::Stopped {
        match ctx.log.read(STREAM, next, PAGE_RECORDS, LOG_WAIT).await {
            Ok(page) => {
                for stored in page.records {
                    let bytes = stored.bytes().unwrap_or_default();
                    feed.fold(&ctx, stored.offset, &bytes);
                    next = stored.offset + 1;
                }
            }
            Err(ReadError::Expired { first }) => next = first,
            Err(ReadError::Unavailable | ReadError::Undecodable) => {
                ctx.metrics.count(Counted::Log, "read failed");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Repeats the bundle in force before the log drops it.
///
/// The holder of one shard does it, so that usually one host does. A host that
/// has just taken that shard cannot know how old the records are and repeats
/// the bundle at once: one record too many for each change of holder.
async fn carry(ctx: Arc<Context>, feed: Arc<Feed>) {
    let ledger = &ctx.settings.ledger;
    let after = ms(ledger.retention_ms - ledger.carry_margin_ms);
    let mut ticks = ctx.timer.subscribe(CARRY_PERIOD);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let renewed = *lock(&feed.renewed);
        let fresh = renewed.is_some_and(|at| at.elapsed() < after);
        if fresh || !ctx.held_shards().contains(&CARRIER) {
            continue;
        }
        let Some(active) = ctx.active() else {
            continue;
        };
        let record = Record::Carried {
            version: active.version,
            since: active.since,
            bundle: Box::new((*active.bundle).clone()),
        };
        let bytes = serde_json::to_vec(&record).unwrap_or_default();
        if ctx.append(STREAM, bytes).await {
            *lock(&feed.renewed) = Some(Instant::now());
        }
    }
}
