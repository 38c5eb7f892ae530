//! Records of suspected parts of prompts in the store.
//!
//! They have a topic of their own, which hosts of earlier versions do not read. In the topic of
//! blamed requests these would log them as unreadable, and delete them when they clean up.
//!
//! A part is saved from its first crash on: hosts that are killed one after the other may each see
//! one.

use std::sync::Arc;
use std::time::Duration;

use notchwharf_ledger::jobs::HostId;
use notchwharf_routing::prompt;
use notchwharf_routing::prompt::PartId;
use notchwharf_routing::quarantine::RUN_TIME_MAX;
use notchwharf_routing::quarantine::parts::CRASHES_MIN;
use notchwharf_routing::quarantine::parts::CrashReport;
use notchwharf_routing::quarantine::parts::Report;
use serde::Deserialize;
use serde::Serialize;

use super::records::STORE_REPORTER;
use super::records::delete_if;
use crate::context::Context;
use crate::ports::Entry;
use crate::ports::StoreError;
use crate::ports::Topic;
use crate::time::millis;
use crate::time::ms;
use crate::time::unix_ms;

/// Age of a record's newest crash from which it is deleted. Hosts block a part for a day at most.
const RECORD_MAX_AGE: Duration = Duration::from_secs(48 * 3_600);
/// The same if the part was in too few crashes for a blame: hosts forget it sooner.
const UNBLAMED_RECORD_MAX_AGE: Duration = Duration::from_secs(1_200);

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

/// Returns the record of a part, or one that deletes it if the part was cleared.
pub(super) fn entry(ctx: &Context, part: PartId) -> Entry {
    let report = ctx.suspects.gate.part_report(part);
    let report = report.filter(|report| !report.crashes.is_empty());
    Entry {
        key: prompt::to_hex(part),
        value: report.map(|report| encode(&report).into()),
    }
}

/// Merges a record. One that lacks crashes which this host knows of is written again.
pub(super) fn merge_record(ctx: &Arc<Context>, entry: &Entry) {
    let saver = &ctx.suspects.part_saver;
    let Some(value) = &entry.value else {
        if let Some(part) = decode_key(&entry.key) {
            saver.set_stored(part, false);
        }
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
    saver.set_stored(part, true);
    super::merge_part_report(ctx, &HostId::from(STORE_REPORTER), &report);
    let known = ctx.suspects.gate.part_report(part);
    let is_in_record = |crash: &CrashReport| {
        let mut recorded = report.crashes.iter();
        recorded.any(|recorded| recorded.incarnation == crash.incarnation)
    };
    let is_record_whole = known.is_none_or(|known| known.crashes.iter().all(is_in_record));
    if !is_record_whole || ctx.suspects.gate.part_crash_count(part) == 0 {
        saver.add(part);
    }
}

/// Deletes the records of parts whose last crash is long ago.
///
/// # Errors
///
/// Returns the store's failure.
pub(super) async fn delete_expired(ctx: &Context) -> Result<(), StoreError> {
    let now_unix_ms = unix_ms();
    delete_if(ctx, Topic::BlamedParts, |entry| {
        let record = entry.value.as_deref().and_then(|v| decode(&entry.key, v));
        let crashes = record.map(|(_, record)| record.crashes).unwrap_or_default();
        let max_age = match crashes.len() > CRASHES_MIN {
            true => RECORD_MAX_AGE,
            false => UNBLAMED_RECORD_MAX_AGE,
        };
        let expiry_unix_ms = now_unix_ms.saturating_sub(millis(max_age));
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
    Some((decode_key(key)?, postcard::from_bytes(value).ok()?))
}

fn decode_key(key: &str) -> Option<PartId> {
    PartId::from_str_radix(key, 16).ok()
}
