//! Records of blamed parts of prompts in the store.
//!
//! They have a topic of their own, which hosts of earlier versions do not read. In the topic of
//! blamed requests these would log them as unreadable, and delete them when they clean up.
//!
//! A part is saved before it is blamed, once it was in two crashes that no answer has cleared: hosts
//! that are killed one after the other may each see too few crashes for a blame. It is not saved
//! after its first crash, as each crash makes suspects of all parts that ran at the target, and most
//! of them are cleared by the next answer.

use std::sync::Arc;
use std::time::Duration;

use notchwharf_ledger::jobs::HostId;
use notchwharf_listen::Phase;
use notchwharf_routing::prompt;
use notchwharf_routing::prompt::PartId;
use notchwharf_routing::quarantine::RUN_TIME_MAX;
use notchwharf_routing::quarantine::parts::Cleared;
use notchwharf_routing::quarantine::parts::CrashReport;
use notchwharf_routing::quarantine::parts::Report;
use serde::Deserialize;
use serde::Serialize;

use super::records::RETRY_DELAY;
use super::records::STORE_REPORTER;
use super::records::delete_if;
use super::records::write;
use crate::context::Context;
use crate::ports::Entry;
use crate::ports::StoreError;
use crate::ports::Topic;
use crate::time::millis;
use crate::time::ms;
use crate::time::unix_ms;

/// Crashes from which a part is saved.
const CRASHES_SAVED_MIN: u32 = 2;

/// Age of a record's newest crash from which it is deleted. Hosts block a part for a day at most.
const RECORD_MAX_AGE: Duration = Duration::from_secs(48 * 3_600);

/// A suspected part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    crashes: Vec<CrashRecord>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CrashRecord {
    incarnation: u64,
    request: u64,
    run_time_ms: u64,
    /// By the clock of the host that wrote the record.
    at_unix_ms: u64,
}

/// Saves a part in a task of its own, if it was in enough crashes.
pub(super) fn save(ctx: &Arc<Context>, part: PartId) {
    if ctx.suspects.gate.part_crash_count(part) >= CRASHES_SAVED_MIN {
        tokio::spawn(write_newest(Arc::clone(ctx), part));
    }
}

/// Appends what is known of a part, retrying until that is done, the part is cleared or the host
/// stops.
async fn write_newest(ctx: Arc<Context>, part: PartId) {
    while ctx.phase() < Phase::Stopped {
        let report = ctx.suspects.gate.part_report(part);
        let report = report.filter(|r| r.crashes.len() >= CRASHES_SAVED_MIN as usize);
        let Some(report) = report else {
            return;
        };
        let entry = Entry {
            key: prompt::to_hex(part),
            value: Some(encode(&report).into()),
        };
        // The store's wrapper logs the failure.
        let res = ctx.store.append(Topic::BlamedParts, 0, vec![entry]).await;
        if res.is_ok() {
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Deletes the record of a cleared part, if it may have one.
pub(super) fn delete(ctx: &Arc<Context>, cleared: &Cleared) {
    if cleared.crashes >= CRASHES_SAVED_MIN {
        let entry = Entry::tombstone(prompt::to_hex(cleared.part));
        tokio::spawn(write(Arc::clone(ctx), Topic::BlamedParts, entry));
    }
}

/// Merges a record that was saved before this host started.
pub(super) fn load_record(ctx: &Arc<Context>, entry: &Entry) {
    let Some(value) = &entry.value else {
        return;
    };
    let Some((part, record)) = decode(&entry.key, value) else {
        slog::error!(ctx.logger, "unreadable record of a blamed part"; "key" => &entry.key);
        return;
    };
    let now_unix_ms = unix_ms();
    let crashes = record.crashes.iter().map(|crash| CrashReport {
        incarnation: crash.incarnation,
        request: crash.request,
        run_time: ms(crash.run_time_ms).min(RUN_TIME_MAX),
        has_begun: true,
        age: ms(now_unix_ms.saturating_sub(crash.at_unix_ms)),
    });
    let report = Report {
        part,
        cleared_age: None,
        crashes: crashes.collect(),
    };
    super::merge_part_report(ctx, &HostId::from(STORE_REPORTER), &report);
}

/// Deletes the records of parts whose last crash is long ago.
///
/// # Errors
///
/// Returns the store's failure.
pub(super) async fn delete_expired(ctx: &Context) -> Result<(), StoreError> {
    let expiry_unix_ms = unix_ms().saturating_sub(millis(RECORD_MAX_AGE));
    delete_if(ctx, Topic::BlamedParts, |entry| {
        let record = entry.value.as_deref().and_then(|v| decode(&entry.key, v));
        let crashes = record.map(|(_, record)| record.crashes).unwrap_or_default();
        crashes
            .iter()
            .all(|crash| crash.at_unix_ms < expiry_unix_ms)
    })
    .await
}

fn encode(report: &Report) -> Vec<u8> {
    let now_unix_ms = unix_ms();
    let crashes = report.crashes.iter().map(|crash| CrashRecord {
        incarnation: crash.incarnation,
        request: crash.request,
        run_time_ms: millis(crash.run_time),
        at_unix_ms: now_unix_ms.saturating_sub(millis(crash.age)),
    });
    let record = Record {
        crashes: crashes.collect(),
    };
    postcard::to_stdvec(&record).expect("Records are representable.")
}

fn decode(key: &str, value: &[u8]) -> Option<(PartId, Record)> {
    let part = PartId::from_str_radix(key, 16).ok()?;
    Some((part, postcard::from_bytes(value).ok()?))
}
