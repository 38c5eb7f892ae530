//! Requests that are blamed, kept in the store.
//!
//! Hosts tell one another of suspects, and a host that starts is told by those that
//! run. If all lose power at once, nobody is left to tell, and a request that is blamed
//! would end three more targets each time. So those that are blamed are written down, and
//! a host that starts reads them. Writing down every suspect was rejected: a crash leaves
//! eight, and seven never come again.

use std::sync::Arc;
use std::time::Duration;

use notchwharf_ledger::jobs::HostId;
use notchwharf_listen::Phase;
use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_routing::quarantine::CrashReport;
use notchwharf_routing::quarantine::Report;
use notchwharf_startup::Dependency;
use serde::Deserialize;
use serde::Serialize;

use crate::context::Context;
use crate::fingerprint;
use crate::ports::Entry;
use crate::ports::StoreError;
use crate::ports::Topic;
use crate::time::millis;
use crate::time::ms;
use crate::time::unix_ms;

/// Pause before a call that failed is made again.
const PAUSE: Duration = Duration::from_secs(1);

/// Crashes from which a request may be blamed, and so have a record.
const CRASHES_SAVED: u32 = 3;

/// Stands in for the host that wrote a record.
const STORE: &str = "store";

/// Age of the newest crash from which a record is dropped: hosts have forgotten it by
/// then, but for requests that were blamed again and again.
const DROPPED_AFTER: Duration = Duration::from_secs(6 * 3_600);

/// A request that is blamed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Saved {
    clearances: u32,
    crashes: Vec<Crash>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Crash {
    lifecycle: u64,
    ran_ms: u64,
    /// By the clock of the host that wrote it.
    at_unix_ms: u64,
}

/// Writes a request down, on its own: until that is done if the store is away.
pub(super) fn save(ctx: &Arc<Context>, fingerprint: Fingerprint) {
    let Some(told) = ctx.suspects.gate.report(fingerprint) else {
        return;
    };
    let now_unix_ms = unix_ms();
    let crashes = told.crashes.iter().map(|crash| Crash {
        lifecycle: crash.incarnation,
        ran_ms: millis(crash.run_time),
        at_unix_ms: now_unix_ms.saturating_sub(millis(crash.age)),
    });
    let saved = Saved {
        clearances: told.clearances,
        crashes: crashes.collect(),
    };
    let value = postcard::to_stdvec(&saved).expect("Records are representable.");
    let entry = Entry {
        key: fingerprint::to_hex(fingerprint),
        value: Some(value.into()),
    };
    tokio::spawn(write(Arc::clone(ctx), entry));
}

/// Drops the record of a request that was cleared, if it may have one.
pub(super) fn drop_cleared(ctx: &Arc<Context>, fingerprint: Fingerprint, crashes: u32) {
    if crashes >= CRASHES_SAVED {
        let entry = Entry::tombstone(fingerprint::to_hex(fingerprint));
        tokio::spawn(write(Arc::clone(ctx), entry));
    }
}

async fn write(ctx: Arc<Context>, entry: Entry) {
    while ctx.phase() < Phase::Stopped {
        // The store's wrapper logs why it failed.
        let res = ctx
            .store
            .append(Topic::Blamed, 0, vec![entry.clone()])
            .await;
        if res.is_ok() {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Reads what was written before this host started.
pub(super) async fn load(ctx: Arc<Context>) {
    while ctx.phase() < Phase::Leaving {
        match ctx.store.all_newest(Topic::Blamed, 0).await {
            Ok(listing) => {
                for record in listing.records {
                    take(&ctx, &record.entry);
                }
                ctx.startup.mark_ready(Dependency::Suspects, STORE);
                return;
            }
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

fn take(ctx: &Arc<Context>, entry: &Entry) {
    let Some(value) = &entry.value else {
        return;
    };
    let Some((fingerprint, saved)) = decode(&entry.key, value) else {
        slog::error!(ctx.logger, "unreadable record of a blamed request"; "key" => &entry.key);
        return;
    };
    let now_unix_ms = unix_ms();
    let crashes = saved.crashes.iter().map(|crash| CrashReport {
        incarnation: crash.lifecycle,
        run_time: ms(crash.ran_ms),
        age: ms(now_unix_ms.saturating_sub(crash.at_unix_ms)),
    });
    let told = Report {
        fingerprint,
        clearances: saved.clearances,
        crashes: crashes.collect(),
        running_for: None,
    };
    super::merge_report(ctx, &HostId::from(STORE), &told);
}

fn decode(key: &str, value: &[u8]) -> Option<(Fingerprint, Saved)> {
    let fingerprint = Fingerprint::from_str_radix(key, 16).ok()?;
    Some((fingerprint, postcard::from_bytes(value).ok()?))
}

/// Drops the records of requests that have not been to blame for long.
///
/// # Errors
///
/// Returns the store's failure.
pub(crate) async fn delete_expired(ctx: &Context) -> Result<(), StoreError> {
    let before_unix_ms = unix_ms().saturating_sub(millis(DROPPED_AFTER));
    let records = ctx.store.all_newest(Topic::Blamed, 0).await?.before_end();
    let is_old = |entry: &Entry| {
        let saved = entry.value.as_deref().and_then(|v| decode(&entry.key, v));
        let crashes = saved.map(|(_, saved)| saved.crashes).unwrap_or_default();
        crashes
            .iter()
            .all(|crash| crash.at_unix_ms < before_unix_ms)
    };
    let old = records
        .into_iter()
        .map(|record| record.entry)
        .filter(is_old);
    let old: Vec<Entry> = old.map(|entry| Entry::tombstone(entry.key)).collect();
    if old.is_empty() {
        return Ok(());
    }
    ctx.store.append(Topic::Blamed, 0, old).await.map(|_| ())
}
