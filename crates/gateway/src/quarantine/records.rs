//! Records of blamed requests in the store.
//!
//! Hosts report suspects to one another, and a starting host gets them from running ones. If
//! all hosts lose power at once, those reports are lost, and a blamed request would crash three
//! more targets each time. So blamed requests are saved, and a starting host loads them. Saving
//! every suspect was rejected: a crash leaves eight, of which seven are never sent again.

use std::sync::Arc;
use std::time::Duration;

use notchwharf_ledger::jobs::HostId;
use notchwharf_listen::Phase;
use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_routing::quarantine::CrashReport;
use notchwharf_routing::quarantine::RUN_TIME_MAX;
use notchwharf_routing::quarantine::Report;
use notchwharf_startup::Dependency;
use serde::Deserialize;
use serde::Serialize;

use super::part_records;
use crate::context::Context;
use crate::fingerprint;
use crate::ports::Entry;
use crate::ports::StoreError;
use crate::ports::Topic;
use crate::time::millis;
use crate::time::ms;
use crate::time::unix_ms;

/// Delay before a failed call of the store is retried.
pub(super) const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Least number of crashes from which a request may be blamed, and so have a record.
const MIN_CRASHES_SAVED: u32 = 3;

/// Reporter of loaded records, in place of the host that wrote them.
pub(super) const STORE_REPORTER: &str = "store";

/// Age of a record's newest crash from which it is deleted. By then hosts have evicted it,
/// except for requests that were blamed repeatedly.
const RECORD_MAX_AGE: Duration = Duration::from_secs(6 * 3_600);

/// A blamed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct BlameRecord {
    clearances: u32,
    crashes: Vec<CrashRecord>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CrashRecord {
    #[serde(rename = "life")]
    incarnation: u64,
    ran_ms: u64,
    /// By the clock of the host that wrote the record.
    at_unix_ms: u64,
}

/// Saves a blamed request in a task of its own, which retries while the store is unavailable.
pub(super) fn save(ctx: &Arc<Context>, fingerprint: Fingerprint) {
    let Some(report) = ctx.suspects.gate.report(fingerprint) else {
        return;
    };
    let now_unix_ms = unix_ms();
    let crashes = report.crashes.iter().map(|crash| CrashRecord {
        incarnation: crash.incarnation,
        ran_ms: millis(crash.run_time),
        at_unix_ms: now_unix_ms.saturating_sub(millis(crash.age)),
    });
    let record = BlameRecord {
        clearances: report.clearances,
        crashes: crashes.collect(),
    };
    let value = postcard::to_stdvec(&record).expect("Records are representable.");
    let entry = Entry {
        key: fingerprint::to_hex(fingerprint),
        value: Some(value.into()),
    };
    tokio::spawn(write(Arc::clone(ctx), Topic::Blamed, entry));
}

/// Deletes the record of a cleared request, if it may have one.
pub(super) fn delete_record(ctx: &Arc<Context>, fingerprint: Fingerprint, crashes: u32) {
    if crashes >= MIN_CRASHES_SAVED {
        let entry = Entry::tombstone(fingerprint::to_hex(fingerprint));
        tokio::spawn(write(Arc::clone(ctx), Topic::Blamed, entry));
    }
}

/// Appends an entry, retrying until that is done or the host stops.
pub(super) async fn write(ctx: Arc<Context>, topic: Topic, entry: Entry) {
    while ctx.phase() < Phase::Stopped {
        // The store's wrapper logs the failure.
        let res = ctx.store.append(topic, 0, vec![entry.clone()]).await;
        if res.is_ok() {
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Loads the records that were saved before this host started.
pub(super) async fn load(ctx: Arc<Context>) {
    while ctx.phase() < Phase::Leaving {
        let requests = ctx.store.all_newest(Topic::Blamed, 0);
        let parts = ctx.store.all_newest(Topic::BlamedParts, 0);
        match tokio::try_join!(requests, parts) {
            Ok((requests, parts)) => {
                for record in requests.records {
                    load_record(&ctx, &record.entry);
                }
                for record in parts.records {
                    part_records::load_record(&ctx, &record.entry);
                }
                ctx.suspects.set_known(STORE_REPORTER);
                ctx.startup.mark_ready(Dependency::Suspects, STORE_REPORTER);
                return;
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

fn load_record(ctx: &Arc<Context>, entry: &Entry) {
    let Some(value) = &entry.value else {
        return;
    };
    let Some((fingerprint, record)) = decode(&entry.key, value) else {
        slog::error!(ctx.logger, "unreadable record of a blamed request"; "key" => &entry.key);
        return;
    };
    let now_unix_ms = unix_ms();
    let crashes = record.crashes.iter().map(|crash| CrashReport {
        incarnation: crash.incarnation,
        run_time: ms(crash.ran_ms).min(RUN_TIME_MAX),
        age: ms(now_unix_ms.saturating_sub(crash.at_unix_ms)),
    });
    let report = Report {
        fingerprint,
        clearances: record.clearances,
        crashes: crashes.collect(),
        running_for: None,
    };
    super::merge_report(ctx, &HostId::from(STORE_REPORTER), &report);
}

fn decode(key: &str, value: &[u8]) -> Option<(Fingerprint, BlameRecord)> {
    let fingerprint = Fingerprint::from_str_radix(key, 16).ok()?;
    Some((fingerprint, postcard::from_bytes(value).ok()?))
}

/// Deletes the records of requests whose last crash is long ago.
///
/// # Errors
///
/// Returns the store's failure.
pub(crate) async fn delete_expired(ctx: &Context) -> Result<(), StoreError> {
    let expiry_unix_ms = unix_ms().saturating_sub(millis(RECORD_MAX_AGE));
    delete_if(ctx, Topic::Blamed, |entry| {
        let record = entry.value.as_deref().and_then(|v| decode(&entry.key, v));
        let crashes = record.map(|(_, record)| record.crashes).unwrap_or_default();
        crashes
            .iter()
            .all(|crash| crash.at_unix_ms < expiry_unix_ms)
    })
    .await
}

/// Deletes the records of a topic that are expired.
///
/// # Errors
///
/// Returns the store's failure.
pub(super) async fn delete_if(
    ctx: &Context,
    topic: Topic,
    is_expired: impl Fn(&Entry) -> bool,
) -> Result<(), StoreError> {
    let records = ctx.store.all_newest(topic, 0).await?.before_end();
    let entries = records.into_iter().map(|record| record.entry);
    let expired = entries.filter(|entry| is_expired(entry));
    let expired: Vec<Entry> = expired.map(|entry| Entry::tombstone(entry.key)).collect();
    if expired.is_empty() {
        return Ok(());
    }
    ctx.store.append(topic, 0, expired).await.map(|_| ())
}
