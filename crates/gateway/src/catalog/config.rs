//! The configuration: decoding, applying, and confirming that it is the newest.

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
use super::Updated;
use super::evacuation;
use super::follow::notify;
use crate::context::Context;
use crate::follower::ReadAttempt;
use crate::follower::Records;
use crate::metrics::Counted;
use crate::ports::DecodeError;
use crate::ports::Entry;
use crate::ports::StoredRecord;
use crate::ports::Topic;
use crate::sync::lock;

/// Minimum size of a configuration that is decoded on a blocking thread. Decoding 16,000 workspaces
/// takes some 20 ms, which would delay every request of the host.
const BLOCKING_DECODE_BYTES_MIN: usize = 64 << 10;
/// Minimum time between two checks for a newer configuration. Requests with unknown keys share a
/// check: 300 hosts flooded with such requests make 3,000 calls per second.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time to wait for a peer's configuration while the store is unavailable: one heartbeat
/// announces a newer version, and one call fetches it.
const PEER_WAIT: Duration = Duration::from_millis(150);
/// Maximum number of removed keys to remember. Older ones count as unknown, which is refused in the
/// same way.
const REMOVED_MAX: usize = 4_096;

/// Keys that were removed from the configuration, which logs distinguish from keys that never
/// existed.
#[derive(Debug, Default)]
pub(super) struct RemovedKeys {
    digests: HashSet<Digest>,
    order: VecDeque<Digest>,
}

impl RemovedKeys {
    fn update(&mut self, before: Option<&Workspaces>, now: Option<&Workspaces>) {
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

/// Applies a reading of the configuration topic.
pub(super) async fn apply_reading(ctx: &Context, reading: ReadAttempt) {
    // The follower retries; `Store` has logged the failure.
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
        apply_record(ctx, record, "store").await;
    }
    // Applied after the configuration, since peers compare a version that covers both.
    evacuation::apply_records(ctx, listing_end, &records);
    // Recorded after the records are applied; otherwise outdated routes would count as confirmed.
    if is_whole {
        ctx.catalog.record_confirmation(reading.requested_at);
    }
}

/// Applies a configuration received from a peer.
pub(crate) async fn apply_from_peer(ctx: &Context, config: Config) {
    let record = StoredRecord {
        offset: config.offset,
        entry: Entry {
            key: config.key,
            value: Some(config.value.into()),
        },
    };
    apply_record(ctx, record, "peer").await;
}

/// Applies a configuration record and notifies its users.
async fn apply_record(ctx: &Context, record: StoredRecord, source: &'static str) {
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
    let routes = ctx.catalog.apply_config(config, decoded, source);
    notify(
        ctx,
        Updated {
            routes,
            ..Updated::default()
        },
    );
}

async fn decode(ctx: &Context, key: &str, value: Bytes) -> Option<Result<Table, DecodeError>> {
    let decode = ctx.decode.config;
    if value.len() < BLOCKING_DECODE_BYTES_MIN {
        return decode(key, &value);
    }
    let key = key.to_owned();
    let decoded = tokio::task::spawn_blocking(move || decode(&key, &value)).await;
    decoded.unwrap_or_else(|err| {
        let detail = err.to_string();
        Some(Err(DecodeError { detail }))
    })
}

/// Ensures that the current configuration was the newest at `since` or later, by reading the store
/// if necessary; returns whether it was. Records read meanwhile have been applied on return.
pub(crate) async fn confirm(ctx: &Context, since: Instant, until: Instant) -> bool {
    if ctx.catalog.is_confirmed(since) {
        return true;
    }
    if !ctx.store.is_up() {
        // A peer with access to the store may provide a newer version; whether that is the
        // newest cannot be known.
        let mut routes = ctx.routes.subscribe();
        let wait = PEER_WAIT.min(until.saturating_duration_since(Instant::now()));
        return matches!(
            tokio::time::timeout(wait, routes.changed()).await,
            Ok(Ok(()))
        ) && ctx.catalog.is_confirmed(since);
    }
    let until = tokio::time::Instant::from_std(until);
    let checked = tokio::time::timeout_at(until, check_newest(ctx, since)).await;
    checked.is_ok() && ctx.catalog.is_confirmed(since)
}

async fn check_newest(ctx: &Context, since: Instant) {
    let mut last = ctx.catalog.last_check.lock().await;
    if ctx.catalog.is_confirmed(since) {
        return;
    }
    if let Some(last) = *last {
        tokio::time::sleep_until((last + CHECK_INTERVAL).into()).await;
    }
    *last = Some(Instant::now());
    let from = Some(ctx.catalog.versions().config).filter(|end| *end > 0);
    let reading = ctx.follower().read_once(Topic::Config, from).await;
    ctx.metrics
        .count(Counted::Changes, "configuration looked for");
    apply_reading(ctx, reading).await;
}

impl Catalog {
    /// Applies a configuration unless a newer one is known; returns whether it was applied.
    fn apply_config(
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
                slog::error!(logger, "invalid configuration"; "offset" => offset,
                    "source" => source, "error" => err.to_string());
                return false;
            }
        };
        // Held until the routes are replaced, so that an older version cannot replace a newer one.
        let mut state = lock(&self.state);
        if state.config.as_ref().is_some_and(|c| c.offset >= offset) {
            return false;
        }
        state.config = Some(config);
        let (version, workspaces) = (table.version(), table.workspaces().map(Workspaces::len));
        for error in table.entry_errors() {
            slog::error!(logger, "invalid configuration entry"; "version" => version,
                "error" => error.to_string());
        }
        let rates = table.services();
        let rates = rates.filter_map(|s| Some((s.name.clone(), s.cold_per_s?)));
        lock(&self.deps.balancer).set_cold_rates(rates.collect());
        let table = Arc::new(table);
        let before = self.deps.routes.send_replace(Some(Arc::clone(&table)));
        let workspaces_before = before.as_ref().and_then(|t| t.workspaces());
        state.removed.update(workspaces_before, table.workspaces());
        drop(state);
        self.deps.startup.mark_ready(Dependency::Routes, source);
        self.deps.metrics.count(Counted::Changes, "configuration");
        slog::info!(logger, "configuration applied"; "version" => version,
            "before" => before.map(|t| t.version()), "offset" => offset, "source" => source,
            "workspaces" => workspaces);
        true
    }

    /// Records that a peer confirmed a version as the newest, if it is the current version.
    pub(crate) fn record_peer_confirmation(&self, version: u64, requested_at: Instant) {
        let mut state = lock(&self.state);
        let own = state.config_version();
        if own == version && own > 0 {
            state.config_as_of = state.config_as_of.max(Some(requested_at));
        }
    }

    /// Records that the current configuration was the newest at the given time.
    fn record_confirmation(&self, requested_at: Instant) {
        let mut state = lock(&self.state);
        state.config_as_of = state.config_as_of.max(Some(requested_at));
    }

    /// Returns whether the current configuration was the newest at `since` or later.
    pub(crate) fn is_confirmed(&self, since: Instant) -> bool {
        lock(&self.state).config_as_of >= Some(since)
    }

    /// Returns the time since the current configuration was last confirmed to be the newest.
    pub(crate) fn config_age(&self) -> Option<Duration> {
        lock(&self.state).config_as_of.map(|at| at.elapsed())
    }

    /// Returns whether a key was removed from the workspace that used it.
    pub(crate) fn was_removed(&self, key: &str) -> bool {
        lock(&self.state).removed.contains(&access::digest(key))
    }
}
