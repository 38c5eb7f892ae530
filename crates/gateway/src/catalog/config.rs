//! The configuration: taken in, put in force, and confirmed to be the newest.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use notchwharf_config::access;
use notchwharf_config::access::Digest;
use notchwharf_config::access::Workspaces;
use notchwharf_config::routes::Table;
use notchwharf_startup::Dependency;

use super::Catalog;
use super::Config;
use super::News;
use super::evacuation;
use super::follow::tell;
use crate::context::Context;
use crate::follower::ReadAttempt;
use crate::follower::Records;
use crate::metrics::Counted;
use crate::ports::DecodeError;
use crate::ports::Entry;
use crate::ports::StoredRecord;
use crate::ports::Topic;
use crate::sync::lock;

/// Bytes from which on a configuration is read on a thread of its own. One of 16,000
/// workspaces takes some 20 ms, for which every request of the host would wait.
const APART_BYTES_MIN: usize = 64 << 10;
/// Time between two looks whether a configuration is the newest. Requests with unknown
/// keys share them: 300 hosts that are flooded with such make 3,000 calls a second.
const LOOK_GAP: Duration = Duration::from_millis(100);
/// Longest wait for a peer's word while the store is away: a beat tells of a newer
/// configuration, and a call fetches it.
const PEER_WAIT: Duration = Duration::from_millis(150);
/// Keys that were taken away and are remembered as such; beyond, the oldest count as
/// ones that nobody ever held, which is refused alike.
const REMOVED_MAX: usize = 4_096;

/// Keys that were taken away, so that logs tell them from those that never were.
#[derive(Debug, Default)]
pub(super) struct Removed {
    digests: HashSet<Digest>,
    order: VecDeque<Digest>,
}

impl Removed {
    fn note(&mut self, before: Option<&Workspaces>, now: Option<&Workspaces>) {
        let Some(now) = now else {
            return;
        };
        let before = before.into_iter().flat_map(Workspaces::digests);
        for digest in before.filter(|digest| now.by_digest(digest).is_none()) {
            if self.digests.insert(*digest) {
                self.order.push_back(*digest);
            }
        }
        while self.order.len() > REMOVED_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.digests.remove(&oldest);
            }
        }
    }

    fn contains(&self, digest: &Digest) -> bool {
        self.digests.contains(digest)
    }
}

/// Takes in a reading of the configuration.
pub(super) async fn read(ctx: &Context, reading: ReadAttempt) {
    // The reader tries again, and the store's wrapper has logged why.
    let Ok(seen) = reading.result else {
        return;
    };
    let is_whole = match &seen {
        Records::Listed { .. } => true,
        Records::Appended { is_at_end, .. } => *is_at_end,
    };
    let listing_end = seen.listing_end();
    let records = seen.records();
    for record in records.clone() {
        take(ctx, record, "store").await;
    }
    // Not before the configuration, since peers compare the version of both.
    evacuation::apply_records(ctx, listing_end, &records);
    // Not before its records are in force, or they would count as confirmed.
    if is_whole {
        ctx.catalog.confirmed(reading.requested_at);
    }
}

/// Applies a configuration received from a peer.
pub(crate) async fn take_from_peer(ctx: &Context, config: Config) {
    let record = StoredRecord {
        offset: config.offset,
        entry: Entry {
            key: config.key,
            value: Some(config.value.into()),
        },
    };
    take(ctx, record, "peer").await;
}

/// Takes in a configuration, and lets those know who act on it.
async fn take(ctx: &Context, record: StoredRecord, source: &'static str) {
    let Some(value) = record.entry.value else {
        return;
    };
    let decoded = decode(ctx, &record.entry.key, value.clone()).await;
    let Some(decoded) = decoded else {
        return;
    };
    let config = Config {
        offset: record.offset,
        key: record.entry.key,
        value: value.to_vec(),
    };
    let routes = ctx.catalog.put_config(config, decoded, source);
    tell(
        ctx,
        News {
            routes,
            ..News::default()
        },
    );
}

async fn decode(ctx: &Context, key: &str, value: Bytes) -> Option<Result<Table, DecodeError>> {
    let decode = ctx.decode.config;
    if value.len() < APART_BYTES_MIN {
        return decode(key, &value);
    }
    let key = key.to_owned();
    let decoded = tokio::task::spawn_blocking(move || decode(&key, &value)).await;
    decoded.unwrap_or_else(|err| {
        let detail = err.to_string();
        Some(Err(DecodeError { detail }))
    })
}

/// Makes sure that the configuration in force was the newest at some time or later;
/// returns whether it was. What is read meanwhile is in force then.
pub(crate) async fn confirm(ctx: &Context, since: Instant, until: Instant) -> bool {
    if ctx.catalog.is_confirmed(since) {
        return true;
    }
    if !ctx.store.is_up() {
        // A peer may reach the store and tell of a newer one; whether it is the
        // newest cannot be known.
        let mut routes = ctx.routes.subscribe();
        let wait = PEER_WAIT.min(until.saturating_duration_since(Instant::now()));
        return matches!(
            tokio::time::timeout(wait, routes.changed()).await,
            Ok(Ok(()))
        ) && ctx.catalog.is_confirmed(since);
    }
    let until = tokio::time::Instant::from_std(until);
    let looked = tokio::time::timeout_at(until, look(ctx, since)).await;
    looked.is_ok() && ctx.catalog.is_confirmed(since)
}

async fn look(ctx: &Context, since: Instant) {
    let mut last = ctx.catalog.look.lock().await;
    if ctx.catalog.is_confirmed(since) {
        return;
    }
    if let Some(last) = *last {
        tokio::time::sleep_until((last + LOOK_GAP).into()).await;
    }
    *last = Some(Instant::now());
    let from = Some(ctx.catalog.versions().config).filter(|end| *end > 0);
    let reading = ctx.follower().read_once(Topic::Config, from).await;
    ctx.metrics
        .count(Counted::Changes, "configuration looked for");
    read(ctx, reading).await;
}

impl Catalog {
    /// Puts a configuration in force, unless a newer one is; returns whether it is now.
    fn put_config(
        &self,
        config: Config,
        decoded: Result<Table, DecodeError>,
        source: &'static str,
    ) -> bool {
        let logger = &self.deps.logger;
        let offset = config.offset;
        let table = match decoded {
            Ok(table) => table,
            Err(err) => {
                slog::error!(logger, "configuration not taken"; "offset" => offset,
                    "source" => source, "error" => err.to_string());
                return false;
            }
        };
        // Held until the routes are in force: an older one must not overtake.
        let mut known = lock(&self.known);
        if known.config.as_ref().is_some_and(|c| c.offset >= offset) {
            return false;
        }
        known.config = Some(config);
        let (version, workspaces) = (table.version(), table.workspaces().map(Workspaces::len));
        for fault in table.entry_errors() {
            slog::error!(logger, "entry of the configuration at fault"; "version" => version,
                "error" => fault.to_string());
        }
        let rates = table.services();
        let rates = rates.filter_map(|s| Some((s.name.clone(), s.cold_per_s?)));
        lock(&self.deps.balancer).set_cold_rates(rates.collect());
        let table = Arc::new(table);
        let before = self.deps.routes.send_replace(Some(Arc::clone(&table)));
        let workspaces_before = before.as_ref().and_then(|t| t.workspaces());
        known.removed.note(workspaces_before, table.workspaces());
        drop(known);
        self.deps.startup.mark_ready(Dependency::Routes, source);
        self.deps.metrics.count(Counted::Changes, "configuration");
        slog::info!(logger, "configuration in force"; "version" => version,
            "before" => before.map(|t| t.version()), "offset" => offset, "source" => source,
            "workspaces" => workspaces);
        true
    }

    /// Records when a peer confirmed a version as the newest, if that version is in force.
    pub(crate) fn confirmed_by_peer(&self, version: u64, asked: Instant) {
        let mut known = lock(&self.known);
        let own = known.config_version();
        if own == version && own > 0 {
            known.config_as_of = known.config_as_of.max(Some(asked));
        }
    }

    /// Notes that the configuration in force was the newest at some time.
    fn confirmed(&self, asked: Instant) {
        let mut known = lock(&self.known);
        known.config_as_of = known.config_as_of.max(Some(asked));
    }

    /// Returns whether the configuration in force was the newest at some time or later.
    pub(crate) fn is_confirmed(&self, since: Instant) -> bool {
        lock(&self.known).config_as_of >= Some(since)
    }

    /// Returns the time since the configuration in force was known to be the newest.
    pub(crate) fn config_age(&self) -> Option<Duration> {
        lock(&self.known).config_as_of.map(|at| at.elapsed())
    }

    /// Returns whether a key was taken away from the workspace that held it.
    pub(crate) fn was_removed(&self, key: &str) -> bool {
        lock(&self.known).removed.contains(&access::digest(key))
    }
}
