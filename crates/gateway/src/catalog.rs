//! Routes and targets as the store or a peer tells them.
//!
//! Every record has an offset, and nothing older than what is known counts,
//! whoever tells it. A target whose entry is gone is taken out at once, except
//! shortly after the store was away: entries lapse then although their targets
//! live, and come back within a known time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use notchwharf_routing::places::TargetId;
use serde::Deserialize;
use serde::Serialize;

use crate::context::Context;
use crate::context::lock;
use crate::context::millis;
use crate::follow::Pace;
use crate::follow::Seen;
use crate::follow::follow;
use crate::metrics::Counted;
use crate::ports::Entry;
use crate::ports::Stored;
use crate::ports::Topic;
use notchwharf_listen::Phase;

/// How the configuration is read; a reading's wait is also how soon an outage
/// is noticed. Operators' changes must be in force within two seconds.
const CONFIG_PACE: Pace = Pace {
    wait: Duration::from_secs(2),
    gap: Duration::from_millis(150),
};
/// How targets are read. A target that leaves must get nothing new two seconds
/// later; when a fleet starts, its targets' entries come by the dozen.
const TARGETS_PACE: Pace = Pace {
    wait: Duration::from_secs(2),
    gap: Duration::from_millis(300),
};
/// Time after an outage of the store within which a missing entry may only
/// have lapsed: those of living targets are back about two seconds after it.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);
/// Time between two looks at targets whose entries are missing.
const SWEEP: Duration = Duration::from_millis(200);

/// A record that came with its offset.
type Versioned = (u64, Bytes);

/// The configuration's record.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Config {
    offset: u64,
    key: String,
    value: Vec<u8>,
}

/// What is known of routes and targets, in the form in which it came.
#[derive(Debug, Default)]
pub(crate) struct Catalog {
    config: Option<Config>,
    targets: HashMap<TargetId, Versioned>,
    targets_end: u64,
    doubtful: HashMap<TargetId, Instant>,
}

/// What one host tells another of routes and targets.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    config: Option<Config>,
    targets: Vec<(TargetId, u64, Vec<u8>)>,
    targets_end: u64,
}

/// How new a host's knowledge is; higher is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Versions {
    /// One more than the offset of the configuration; zero for none.
    pub(crate) config: u64,
    /// The offset that follows the newest record of a target.
    pub(crate) targets: u64,
}

impl Versions {
    /// Returns whether anything is newer than another host's.
    pub(crate) fn is_ahead_of(self, other: Self) -> bool {
        self.config > other.config || self.targets > other.targets
    }
}

impl Catalog {
    pub(crate) fn versions(&self) -> Versions {
        Versions {
            config: self.config.as_ref().map_or(0, |c| c.offset + 1),
            targets: self.targets_end,
        }
    }

    /// Returns what is known. Targets whose entries are missing are left out:
    /// whoever takes this over must not keep them longer than this host does.
    pub(crate) fn snapshot(&self) -> Snapshot {
        let listed = self.targets.iter();
        let listed = listed.filter(|(id, _)| !self.doubtful.contains_key(*id));
        let targets = listed.map(|(id, (offset, bytes))| {
            let bytes = bytes.to_vec();
            (id.clone(), *offset, bytes)
        });
        Snapshot {
            config: self.config.clone(),
            targets: targets.collect(),
            targets_end: self.targets_end,
        }
    }
}

/// Starts to follow routes and targets.
pub(crate) fn start(ctx: &Arc<Context>) {
    tokio::spawn(follow(
        Arc::clone(ctx),
        Topic::Config,
        CONFIG_PACE,
        |ctx, seen| {
            let (Seen::All(_, records) | Seen::More(_, records)) = seen;
            for record in records {
                take_config(ctx, record, "store");
            }
        },
    ));
    tokio::spawn(follow(
        Arc::clone(ctx),
        Topic::Targets,
        TARGETS_PACE,
        |ctx, seen| match seen {
            Seen::All(end, records) => take_all_targets(ctx, end, records, "store"),
            Seen::More(_, records) => {
                for record in records {
                    take_target(ctx, record);
                }
            }
        },
    ));
    tokio::spawn(sweep(Arc::clone(ctx)));
}

/// Takes in what a peer knows.
pub(crate) fn take_snapshot(ctx: &Arc<Context>, snapshot: Snapshot) {
    if let Some(config) = snapshot.config {
        let record = stored(config.offset, config.key, config.value);
        take_config(ctx, record, "peer");
    }
    if snapshot.targets_end <= lock(&ctx.catalog).targets_end {
        return;
    }
    let records = snapshot.targets.into_iter();
    let records = records.map(|(id, offset, value)| stored(offset, id, value));
    take_all_targets(ctx, snapshot.targets_end, records.collect(), "peer");
}

fn stored(offset: u64, key: String, value: Vec<u8>) -> Stored {
    let value = Some(value.into());
    Stored {
        offset,
        entry: Entry { key, value },
    }
}

fn take_config(ctx: &Arc<Context>, record: Stored, source: &'static str) {
    let offset = record.offset;
    let Some(value) = record.entry.value else {
        return;
    };
    let Some(decoded) = (ctx.decode.config)(&record.entry.key, &value) else {
        return;
    };
    let table = match decoded {
        Ok(table) => table,
        Err(err) => {
            slog::error!(ctx.logger, "configuration not taken"; "offset" => offset,
                "source" => source, "error" => err.to_string());
            return;
        }
    };
    {
        let mut catalog = lock(&ctx.catalog);
        if catalog.config.as_ref().is_some_and(|c| c.offset >= offset) {
            return;
        }
        catalog.config = Some(Config {
            offset,
            key: record.entry.key,
            value: value.to_vec(),
        });
    }
    let version = table.version();
    let before = ctx.table().map(|t| t.version());
    ctx.routes.send_replace(Some(Arc::new(table)));
    ctx.enter(Phase::Ready);
    ctx.metrics.count(Counted::Changes, "configuration");
    slog::info!(ctx.logger, "configuration in force"; "version" => version,
        "before" => before, "offset" => offset, "source" => source);
    ctx.peers.tell();
}

fn take_all_targets(ctx: &Arc<Context>, end: u64, records: Vec<Stored>, source: &'static str) {
    let known: Vec<TargetId> = {
        let catalog = lock(&ctx.catalog);
        if end < catalog.targets_end {
            return;
        }
        catalog.targets.keys().cloned().collect()
    };
    let gone = known
        .into_iter()
        .filter(|id| !records.iter().any(|r| &r.entry.key == id));
    let gone: Vec<TargetId> = gone.collect();
    slog::info!(ctx.logger, "targets listed"; "targets" => records.len(),
        "missing" => gone.len(), "offset" => end, "source" => source);
    for record in records {
        if let Some(value) = record.entry.value {
            upsert(ctx, record.offset, &record.entry.key, value);
        }
    }
    for id in gone {
        remove(ctx, &id, end);
    }
    let mut catalog = lock(&ctx.catalog);
    catalog.targets_end = catalog.targets_end.max(end);
}

fn take_target(ctx: &Arc<Context>, record: Stored) {
    {
        let mut catalog = lock(&ctx.catalog);
        if record.offset < catalog.targets_end {
            return;
        }
        catalog.targets_end = record.offset + 1;
    }
    match record.entry.value {
        Some(value) => upsert(ctx, record.offset, &record.entry.key, value),
        None => remove(ctx, &record.entry.key, record.offset),
    }
}

fn upsert(ctx: &Arc<Context>, offset: u64, id: &str, value: Bytes) {
    let spec = match (ctx.decode.target)(&value) {
        Ok(spec) => spec,
        Err(err) => {
            slog::error!(ctx.logger, "target not taken"; "target" => id, "offset" => offset,
                "error" => err.to_string());
            return;
        }
    };
    {
        let mut catalog = lock(&ctx.catalog);
        if catalog
            .targets
            .get(id)
            .is_some_and(|(known, _)| *known > offset)
        {
            return;
        }
        catalog.targets.insert(id.to_owned(), (offset, value));
        catalog.doubtful.remove(id);
    }
    let mut places = lock(&ctx.places);
    if places.spec(id) != Some(&spec) {
        slog::info!(ctx.logger, "target"; "target" => id, "addr" => spec.addr.to_string(),
            "service" => spec.service.as_str(), "leaving" => spec.leaving, "offset" => offset);
        ctx.metrics.count(Counted::Changes, "target");
    }
    places.upsert(id, spec);
    drop(places);
    ctx.items.wake();
}

fn remove(ctx: &Arc<Context>, id: &str, offset: u64) {
    let until = ctx.store.troubled_until(LAPSE_GRACE);
    {
        let mut catalog = lock(&ctx.catalog);
        if !catalog.targets.contains_key(id) {
            return;
        }
        match until {
            Some(until) => {
                catalog.doubtful.entry(id.to_owned()).or_insert(until);
            }
            None => {
                catalog.targets.remove(id);
            }
        }
    }
    slog::info!(ctx.logger, "target's entry is gone"; "target" => id, "offset" => offset,
        "kept_for_now" => until.is_some(),
        "kept_ms" => until.map(|at| millis(at.saturating_duration_since(Instant::now()))));
    if until.is_none() {
        drop_target(ctx, id);
    }
}

fn drop_target(ctx: &Arc<Context>, id: &str) {
    lock(&ctx.places).remove(id);
    ctx.metrics.count(Counted::Changes, "target gone");
}

/// Takes out targets whose entries have not come back in time.
async fn sweep(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(SWEEP);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let now = Instant::now();
        let overdue: Vec<TargetId> = {
            let mut catalog = lock(&ctx.catalog);
            let due = catalog.doubtful.iter().filter(|(_, until)| now >= **until);
            let due: Vec<TargetId> = due.map(|(id, _)| id.clone()).collect();
            for id in &due {
                catalog.doubtful.remove(id);
                catalog.targets.remove(id);
            }
            due
        };
        for id in overdue {
            slog::info!(ctx.logger, "target's entry did not come back"; "target" => id.as_str());
            drop_target(&ctx, &id);
        }
    }
}
