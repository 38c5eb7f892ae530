//! The current bundle of this host, indexed, and the task that keeps it up to date.
//!
//! Bundles come from the bundle stream of the log. A host that cannot read it fetches the
//! bundle from a peer with a newer one, so that a host that reaches only peers, or starts
//! during an outage of the log, still has the bundle that operators signed off.

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
const RETRY_DELAY: Duration = Duration::from_millis(200);
const RENEWAL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The shard whose holder appends the current bundle again before it expires.
const RENEWAL_SHARD: ShardId = 0;

/// The current bundle, indexed for routing.
#[derive(Debug)]
pub(crate) struct ActiveBundle {
    pub(crate) version: Version,
    pub(crate) since: u64,
    pub(crate) bundle: Arc<Bundle>,
    by_name: HashMap<TenantId, usize>,
    by_key: HashMap<String, usize>,
    routes: HashMap<String, Route>,
}

/// The model versions that a serving is routed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    /// The fingerprint of the current version.
    pub(crate) fingerprint: String,
    /// The fingerprint of the previous version, which serves until a target is ready with
    /// the current one.
    pub(crate) previous: Option<String>,
}

impl ActiveBundle {
    fn new(in_force: &InForce, before: Option<&ActiveBundle>) -> Self {
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

    /// Returns whether a fingerprint belongs to a serving of the current bundle.
    pub(crate) fn has_fingerprint(&self, fingerprint: &str) -> bool {
        self.routes.values().any(|r| r.fingerprint == fingerprint)
    }
}

/// Returns the model version that a serving runs as.
pub(crate) fn model_version_of(serving: &Serving) -> ModelVersion {
    ModelVersion {
        model: serving.model.clone(),
        adapter: serving.adapter.clone(),
        version: serving.version.clone(),
    }
}

fn route(serving: &Serving, before: Option<&ActiveBundle>) -> Route {
    let fingerprint = model_version_of(serving).fingerprint();
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

/// Applies the records of the bundle stream and renews the current bundle.
#[derive(Debug)]
pub(crate) struct BundleFollower {
    history: Mutex<History>,
    next_offset: watch::Sender<u64>,
    /// When a record with the current bundle was last read or appended.
    renewed_at: Mutex<Option<Instant>>,
}

impl BundleFollower {
    /// Starts the tasks that read the stream and renew the bundle.
    pub(crate) fn start(ctx: &Arc<Context>) -> Arc<Self> {
        let follower = Arc::new(Self {
            history: Mutex::default(),
            next_offset: watch::Sender::new(0),
            renewed_at: Mutex::default(),
        });
        tokio::spawn(follow_stream(Arc::clone(ctx), Arc::clone(&follower)));
        tokio::spawn(renew_bundle(Arc::clone(ctx), Arc::clone(&follower)));
        follower
    }

    pub(crate) fn events(&self) -> Vec<Event> {
        lock(&self.history).events().to_vec()
    }

    /// Checks whether a record would be accepted if it were appended now.
    pub(crate) fn check(&self, record: &Record) -> Result<(), Refusal> {
        let mut history = lock(&self.history).clone();
        history.apply(u64::MAX, record.clone())
    }

    /// Waits until the record at an offset has been applied and returns its event.
    pub(crate) async fn outcome(&self, offset: u64) -> Option<Event> {
        let mut next_offset = self.next_offset.subscribe();
        next_offset.wait_for(|next| *next > offset).await.ok()?;
        let events = self.events();
        events.into_iter().find(|event| event.offset == offset)
    }

    /// Adopts the current bundle of a peer if it is newer.
    pub(crate) fn adopt(&self, ctx: &Context, in_force: InForce) {
        let mut history = lock(&self.history);
        if history.adopt(in_force) {
            activate(ctx, &history);
        }
    }

    fn apply_record(&self, ctx: &Context, offset: u64, bytes: &[u8]) {
        let mut history = lock(&self.history);
        let before = history.version();
        let record = serde_json::from_slice::<Record>(bytes);
        let renewed_version = match &record {
            Ok(Record::Carried { version, .. }) => Some(*version),
            _ => None,
        };
        // The history records the outcome in its events.
        let _ = record.map(|record| history.apply(offset, record));
        // A copy of an older version, from a host that lags behind, renews nothing.
        let is_renewed = renewed_version.is_some() && renewed_version == history.version();
        if history.version() != before || is_renewed {
            *lock(&self.renewed_at) = Some(Instant::now());
        }
        if history.version() != before {
            activate(ctx, &history);
        }
        drop(history);
        self.next_offset.send_replace(offset + 1);
    }
}

fn activate(ctx: &Context, history: &History) {
    let Some(in_force) = history.in_force() else {
        return;
    };
    let before = ctx.active();
    let active = Arc::new(ActiveBundle::new(in_force, before.as_deref()));
    ctx.bundle.send_replace(Some(active));
    ctx.phase.send_if_modified(|phase| {
        let is_starting = *phase == Phase::Starting;
        if is_starting {
            *phase = Phase::Ready;
        }
        is_starting
    });
    ctx.publish_fact(Fact::Bundle(in_force.version));
    slog::info!(ctx.logger, "bundle applied"; "version" => in_force.version);
}

async fn follow_stream(ctx: Arc<Context>, follower: Arc<BundleFollower>) {
    let mut next = 0;
    while ctx.phase() != Phase::Stopped {
        match ctx.log.read(STREAM, next, PAGE_RECORDS, LOG_WAIT).await {
            Ok(page) => {
                for stored in page.records {
                    let bytes = stored.bytes().unwrap_or_default();
                    follower.apply_record(&ctx, stored.offset, &bytes);
                    next = stored.offset + 1;
                }
            }
            Err(ReadError::Expired { first }) => next = first,
            Err(ReadError::Unavailable | ReadError::Undecodable) => {
                ctx.metrics.count(Counted::Log, "read failed");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Appends the current bundle again before its record expires from the log.
///
/// The holder of [`RENEWAL_SHARD`] does this, so usually a single host does. A host that has
/// neither read nor appended a record with the current bundle does not know its age and
/// appends one immediately, which costs one redundant record per change of holder.
async fn renew_bundle(ctx: Arc<Context>, follower: Arc<BundleFollower>) {
    let ledger = &ctx.settings.ledger;
    let after = ms(ledger.retention_ms - ledger.carry_margin_ms);
    let mut ticks = ctx.timer.subscribe(RENEWAL_CHECK_INTERVAL);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let renewed_at = *lock(&follower.renewed_at);
        let is_fresh = renewed_at.is_some_and(|at| at.elapsed() < after);
        if is_fresh || !ctx.held_shards().contains(&RENEWAL_SHARD) {
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
            *lock(&follower.renewed_at) = Some(Instant::now());
        }
    }
}
