//! Records of blamed requests and parts of prompts in the store.
//!
//! Hosts report suspects to one another, and a starting host gets them from running ones. If
//! all hosts lose power at once, those reports are lost, and a blamed request would crash three
//! more targets each time. So blamed requests are saved, and a starting host loads them. Saving
//! every suspect was rejected: a crash leaves eight, of which seven are never sent again.
//!
//! A part is not saved right after its first crash: one in wide use may be blamed when many
//! targets crash at once, and is cleared by the next answer.

use std::sync::Arc;
use std::time::Duration;

use notchwharf_ledger::jobs::HostId;
use notchwharf_listen::Phase;
use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_routing::prompt;
use notchwharf_routing::prompt::PartId;
use notchwharf_routing::quarantine::CrashReport;
use notchwharf_routing::quarantine::Report;
use notchwharf_routing::quarantine::parts;
use notchwharf_routing::quarantine::parts::Cleared;
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

/// Delay before a failed call of the store is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Prefix of the keys of parts.
const PART_PREFIX: &str = "part-";

/// Time since its first crash before which a blamed part is not saved.
const PART_SAVE_DELAY: Duration = Duration::from_millis(500);

/// Least number of crashes from which a request may be blamed, and so have a record.
const MIN_CRASHES_SAVED: u32 = 3;

/// Reporter of loaded records, in place of the host that wrote them.
pub(super) const STORE_REPORTER: &str = "store";

/// Age of a record's newest crash from which it is deleted. By then hosts have evicted it,
/// except for requests and parts that were blamed repeatedly.
const RECORD_MAX_AGE: Duration = Duration::from_secs(48 * 3_600);

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

/// A blamed part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PartRecord {
    crashes: Vec<PartCrashRecord>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PartCrashRecord {
    incarnation: u64,
    request: u64,
    run_time_ms: u64,
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
    tokio::spawn(write(Arc::clone(ctx), entry));
}

/// Saves a part in a task of its own, if it is still blamed [`PART_SAVE_DELAY`] after its first
/// crash.
pub(super) fn save_part(ctx: &Arc<Context>, part: PartId) {
    let ctx = Arc::clone(ctx);
    let report = ctx.suspects.gate.part_report(part);
    let ages = report.iter().flat_map(|report| &report.crashes);
    let suspected_for = ages.map(|crash| crash.age).max().unwrap_or_default();
    tokio::spawn(async move {
        tokio::time::sleep(PART_SAVE_DELAY.saturating_sub(suspected_for)).await;
        let gate = &ctx.suspects.gate;
        let report = gate.part_report(part).filter(|_| gate.is_part_blamed(part));
        let Some(report) = report else {
            return;
        };
        let now_unix_ms = unix_ms();
        let crashes = report.crashes.iter().map(|crash| PartCrashRecord {
            incarnation: crash.incarnation,
            request: crash.request,
            run_time_ms: millis(crash.run_time),
            at_unix_ms: now_unix_ms.saturating_sub(millis(crash.age)),
        });
        let record = PartRecord {
            crashes: crashes.collect(),
        };
        let value = postcard::to_stdvec(&record).expect("Records are representable.");
        let entry = Entry {
            key: part_key(part),
            value: Some(value.into()),
        };
        write(ctx, entry).await;
    });
}

/// Deletes the record of a cleared part, if it may have one.
pub(super) fn delete_part_record(ctx: &Arc<Context>, cleared: &Cleared) {
    if cleared.blamed_for.is_some() && cleared.suspected_for >= PART_SAVE_DELAY {
        let entry = Entry::tombstone(part_key(cleared.part));
        tokio::spawn(write(Arc::clone(ctx), entry));
    }
}

fn part_key(part: PartId) -> String {
    format!("{PART_PREFIX}{}", prompt::to_hex(part))
}

/// Deletes the record of a cleared request, if it may have one.
pub(super) fn delete_record(ctx: &Arc<Context>, fingerprint: Fingerprint, crashes: u32) {
    if crashes >= MIN_CRASHES_SAVED {
        let entry = Entry::tombstone(fingerprint::to_hex(fingerprint));
        tokio::spawn(write(Arc::clone(ctx), entry));
    }
}

/// Appends an entry, retrying until that is done or the host stops.
async fn write(ctx: Arc<Context>, entry: Entry) {
    while ctx.phase() < Phase::Stopped {
        // The store's wrapper logs the failure.
        let res = ctx
            .store
            .append(Topic::Blamed, 0, vec![entry.clone()])
            .await;
        if res.is_ok() {
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Loads the records that were saved before this host started.
pub(super) async fn load(ctx: Arc<Context>) {
    while ctx.phase() < Phase::Leaving {
        match ctx.store.all_newest(Topic::Blamed, 0).await {
            Ok(listing) => {
                for record in listing.records {
                    load_record(&ctx, &record.entry);
                }
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
    let reporter = HostId::from(STORE_REPORTER);
    let now_unix_ms = unix_ms();
    let age = |at_unix_ms: u64| ms(now_unix_ms.saturating_sub(at_unix_ms));
    match decode(&entry.key, value) {
        Some(Record::Request(fingerprint, record)) => {
            let crashes = record.crashes.iter().map(|crash| CrashReport {
                incarnation: crash.incarnation,
                run_time: ms(crash.ran_ms),
                age: age(crash.at_unix_ms),
            });
            let report = Report {
                fingerprint,
                clearances: record.clearances,
                crashes: crashes.collect(),
                running_for: None,
            };
            super::merge_report(ctx, &reporter, &report);
        }
        Some(Record::Part(part, record)) => {
            let crashes = record.crashes.iter().map(|crash| parts::CrashReport {
                incarnation: crash.incarnation,
                request: crash.request,
                run_time: ms(crash.run_time_ms),
                has_begun: true,
                age: age(crash.at_unix_ms),
            });
            let report = parts::Report {
                part,
                cleared_age: None,
                crashes: crashes.collect(),
            };
            super::merge_part_report(ctx, &reporter, &report);
        }
        None => {
            slog::error!(ctx.logger, "unreadable record of a blamed request"; "key" => &entry.key);
        }
    }
}

/// A record with what it blames.
enum Record {
    Request(Fingerprint, BlameRecord),
    Part(PartId, PartRecord),
}

impl Record {
    /// Returns the time of the newest crash.
    fn newest_unix_ms(&self) -> Option<u64> {
        match self {
            Self::Request(_, record) => record.crashes.iter().map(|c| c.at_unix_ms).max(),
            Self::Part(_, record) => record.crashes.iter().map(|c| c.at_unix_ms).max(),
        }
    }
}

fn decode(key: &str, value: &[u8]) -> Option<Record> {
    Some(match key.strip_prefix(PART_PREFIX) {
        Some(part) => Record::Part(
            PartId::from_str_radix(part, 16).ok()?,
            postcard::from_bytes(value).ok()?,
        ),
        None => Record::Request(
            Fingerprint::from_str_radix(key, 16).ok()?,
            postcard::from_bytes(value).ok()?,
        ),
    })
}

/// Deletes the records of requests whose last crash is long ago.
///
/// # Errors
///
/// Returns the store's failure.
pub(crate) async fn delete_expired(ctx: &Context) -> Result<(), StoreError> {
    let expiry_unix_ms = unix_ms().saturating_sub(millis(RECORD_MAX_AGE));
    let records = ctx.store.all_newest(Topic::Blamed, 0).await?.before_end();
    let is_expired = |entry: &Entry| {
        let record = entry.value.as_deref().and_then(|v| decode(&entry.key, v));
        let newest_unix_ms = record.and_then(|record| record.newest_unix_ms());
        newest_unix_ms.is_none_or(|at_unix_ms| at_unix_ms < expiry_unix_ms)
    };
    let expired = records
        .into_iter()
        .map(|record| record.entry)
        .filter(is_expired);
    let expired: Vec<Entry> = expired.map(|entry| Entry::tombstone(entry.key)).collect();
    if expired.is_empty() {
        return Ok(());
    }
    ctx.store
        .append(Topic::Blamed, 0, expired)
        .await
        .map(|_| ())
}
