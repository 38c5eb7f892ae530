//! Records of the versions that services have had, in the store.
//!
//! A host that has just started does not know which versions served before, and if all hosts are lost,
//! nobody does. So each version is recorded when it appears, and its record is deleted once it has been
//! gone for as long as a stream may be resumed. A host that starts takes the recorded versions for
//! those of the past.
//!
//! Refusing all unnamed streams until a host has watched for long enough was rejected: most services
//! have one version all the time, and their streams break off when hosts are lost. A record for each
//! stream was rejected as in `docs/design/stream-versions.md`.
//!
//! Several hosts write each record, so that it does not depend on one of them. A version that appears
//! and goes while all hosts are lost before they have recorded it leaves no trace.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_ledger::rendezvous::hash;
use notchwharf_listen::Phase;
use notchwharf_origins::history::ServiceVersion;
use notchwharf_startup::Dependency;

use crate::context::Context;
use crate::ports::Entry;
use crate::ports::StoreError;
use crate::ports::Topic;
use crate::sync::lock;

/// Interval of comparing the versions with their records.
const INTERVAL: Duration = Duration::from_millis(100);
/// Number of hosts of a cell that write each record.
const WRITERS: usize = 3;
/// Delay before a failed listing of the records is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Source of the versions in the log of the start.
const SOURCE: &str = "store";

/// Loads the records of the versions and keeps them up to date, until the host stops.
pub(super) async fn run(ctx: Arc<Context>) {
    let Some(mut recorded) = load(&ctx).await else {
        return;
    };
    let mut ticks = ctx.timer.subscribe(INTERVAL);
    while ticks.recv().await.is_some() && ctx.phase() < Phase::Leaving {
        if ctx.store.is_up() {
            // The store's wrapper logs the failure, and the next tick retries.
            let _ = update(&ctx, &mut recorded).await;
        }
    }
}

/// Loads the versions that were recorded before this host started; `None` if the host shuts down.
async fn load(ctx: &Context) -> Option<HashSet<ServiceVersion>> {
    loop {
        if let Ok(listing) = ctx.store.all_newest(Topic::Versions, 0).await {
            let entries = listing.records.into_iter().map(|record| record.entry);
            let entries: Vec<Entry> = entries.collect();
            let recorded: HashSet<ServiceVersion> = entries
                .iter()
                .filter_map(|entry| decode(ctx, entry))
                .collect();
            // A record that cannot be read stands for a version that is not known.
            if recorded.len() == entries.len() {
                lock(&ctx.origins.history).add_past(recorded.iter().cloned(), Instant::now());
            }
            ctx.startup.mark_ready(Dependency::Versions, SOURCE);
            return Some(recorded);
        }
        if ctx.phase() >= Phase::Leaving {
            return None;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn decode(ctx: &Context, entry: &Entry) -> Option<ServiceVersion> {
    let value = entry.value.as_ref()?;
    match postcard::from_bytes(value) {
        Ok(version) => Some(version),
        Err(err) => {
            slog::error!(ctx.logger, "unreadable record of a version";
                "key" => &entry.key, "error" => err.to_string());
            None
        }
    }
}

/// Records versions that have appeared, and deletes the records of those that have been forgotten.
///
/// # Errors
///
/// Returns the store's failure.
async fn update(ctx: &Context, recorded: &mut HashSet<ServiceVersion>) -> Result<(), StoreError> {
    let known: HashSet<ServiceVersion> = lock(&ctx.origins.history).versions().collect();
    if known == *recorded {
        return Ok(());
    }
    let added = known.difference(recorded).map(|version| {
        let value = postcard::to_stdvec(version).expect("Versions are representable.");
        (key(version), Some(value.into()))
    });
    let forgotten = recorded.difference(&known).map(|v| (key(v), None));
    let entries = added.chain(forgotten);
    let own = entries.filter(|(key, _)| ctx.peers.is_among_successors(ctx.host(), key, WRITERS));
    let own: Vec<Entry> = own.map(|(key, value)| Entry { key, value }).collect();
    if !own.is_empty() {
        ctx.store.append(Topic::Versions, 0, own).await?;
    }
    *recorded = known;
    Ok(())
}

fn key((service, version): &ServiceVersion) -> String {
    let version = version.as_deref();
    let name = match version {
        Some(version) => format!("{service}\n{version}"),
        None => service.clone(),
    };
    format!("{:016x}", hash(&name))
}
