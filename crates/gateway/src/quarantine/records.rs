//! Records of suspected requests in the store, and when they are read.
//!
//! Hosts report suspects to one another, and a starting host gets them from running ones. If
//! all hosts lose power at once, or are killed one after the other, those reports are lost, and a
//! request would crash three more targets each time. So requests are saved from their first crash on,
//! and a starting host loads them. Most are never sent again; their records expire soon.
//!
//! A host that does not hear some of the others follows the records as long as that lasts: it is told
//! of no crash that these see, and they of none that it sees, but all may reach the store. While all
//! hear one another, nothing is read. For a host that is down, a few hosts follow and tell the rest.

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
use crate::follower::PollConfig;
use crate::follower::ReadAttempt;
use crate::follower::Source;
use crate::ports::Entry;
use crate::ports::StoreError;
use crate::ports::Topic;
use crate::time::Backoff;
use crate::time::millis;
use crate::time::ms;
use crate::time::unix_ms;

/// Reporter of loaded records, in place of the host that wrote them.
pub(super) const STORE_REPORTER: &str = "store";

/// Age of a record's newest crash from which it is deleted. By then hosts have evicted it,
/// except for requests that were blamed repeatedly.
const RECORD_MAX_AGE: Duration = Duration::from_secs(6 * 3_600);
/// The same if there were too few crashes for a blame: hosts forget it sooner.
const UNBLAMED_RECORD_MAX_AGE: Duration = Duration::from_secs(1_200);
/// Least number of crashes from which a request may be blamed.
const CRASHES_BLAMED_MIN: usize = 3;

/// Maximum pause before a failed read of the records is repeated, by a host that starts or follows
/// them.
const READ_PAUSE_MIN: Duration = Duration::from_millis(50);
const READ_PAUSE_MAX: Duration = Duration::from_millis(400);
/// How the records are followed. A stalled connection is noticed after the wait, and soon enough for
/// a host that is in touch with the store.
const POLL_CONFIG: PollConfig = PollConfig {
    wait: Duration::from_millis(1_500),
    min_interval: Duration::from_millis(200),
    backoff_max: READ_PAUSE_MAX,
};

/// A suspected request.
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

/// Returns the record of a request, or one that deletes it if the request was cleared.
pub(super) fn entry(ctx: &Context, fingerprint: Fingerprint) -> Entry {
    let report = ctx.suspects.gate.report(fingerprint);
    let report = report.filter(|report| !report.crashes.is_empty());
    Entry {
        key: fingerprint::to_hex(fingerprint),
        value: report.map(|report| encode(&report).into()),
    }
}

fn encode(report: &Report) -> Vec<u8> {
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
    postcard::to_stdvec(&record).expect("Records are representable.")
}

/// Loads the records that were saved before this host started. Each topic is read for itself, as one
/// may fail while the other does not.
pub(super) async fn load(ctx: Arc<Context>) {
    let requests = load_topic(&ctx, Topic::Blamed, merge_record);
    let parts = load_topic(&ctx, Topic::BlamedParts, part_records::merge_record);
    let (requests, parts) = tokio::join!(requests, parts);
    if requests && parts {
        ctx.suspects.set_known(STORE_REPORTER);
        ctx.startup.mark_ready(Dependency::Suspects, STORE_REPORTER);
    }
}

/// Loads the records of a topic; returns whether that was done before the host leaves.
async fn load_topic(
    ctx: &Arc<Context>,
    topic: Topic,
    merge: impl Fn(&Arc<Context>, &Entry),
) -> bool {
    let mut backoff = Backoff::new(READ_PAUSE_MIN, READ_PAUSE_MAX);
    while ctx.phase() < Phase::Leaving {
        if let Ok(listing) = ctx.store.all_newest(topic, 0).await {
            for record in &listing.records {
                merge(ctx, &record.entry);
            }
            ctx.suspects.set_read_end(topic, listing.end);
            return true;
        }
        backoff.wait().await;
    }
    false
}

/// Follows the records of a topic while this host does not hear some of the others.
pub(super) async fn follow(ctx: Arc<Context>, topic: Topic) {
    let (shared, sink_ctx) = (Arc::clone(&ctx), Arc::clone(&ctx));
    let source = Source {
        from: Box::new(move || shared.suspects.read_end(topic)),
        is_reader: ctx.suspects.is_following.subscribe(),
        reads_first: false,
    };
    let sink = move |attempt| apply_read(&sink_ctx, topic, attempt);
    ctx.follower()
        .follow(topic, POLL_CONFIG, source, sink)
        .await;
}

fn apply_read(ctx: &Arc<Context>, topic: Topic, attempt: ReadAttempt) {
    // The follower retries; the store's wrapper has logged the failure.
    let Ok(records) = attempt.result else {
        return;
    };
    let listing_end = records.listing_end();
    let records = records.records();
    let end = listing_end.or_else(|| records.last().map(|record| record.offset + 1));
    if let Some(end) = end {
        ctx.suspects.set_read_end(topic, end);
    }
    for record in &records {
        match topic {
            Topic::BlamedParts => part_records::merge_record(ctx, &record.entry),
            _ => merge_record(ctx, &record.entry),
        }
    }
}

/// Merges a record. One that lacks crashes which this host knows of is written again.
fn merge_record(ctx: &Arc<Context>, entry: &Entry) {
    let saver = &ctx.suspects.request_saver;
    let Some(value) = &entry.value else {
        if let Some(fingerprint) = decode_key(&entry.key) {
            saver.set_stored(fingerprint, false);
        }
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
    saver.set_stored(fingerprint, true);
    super::merge_report(ctx, &HostId::from(STORE_REPORTER), &report);
    let known = ctx.suspects.gate.report(fingerprint);
    let is_in_record = |crash: &CrashReport| {
        let mut recorded = report.crashes.iter();
        recorded.any(|recorded| recorded.incarnation == crash.incarnation)
    };
    let is_record_whole = known.is_none_or(|known| known.crashes.iter().all(is_in_record));
    if !is_record_whole || ctx.suspects.gate.crash_count(fingerprint) == 0 {
        saver.add(fingerprint);
    }
}

fn decode(key: &str, value: &[u8]) -> Option<(Fingerprint, BlameRecord)> {
    Some((decode_key(key)?, postcard::from_bytes(value).ok()?))
}

fn decode_key(key: &str) -> Option<Fingerprint> {
    Fingerprint::from_str_radix(key, 16).ok()
}

/// Deletes the records of requests whose last crash is long ago.
///
/// # Errors
///
/// Returns the store's failure.
pub(crate) async fn delete_expired(ctx: &Context) -> Result<(), StoreError> {
    let now_unix_ms = unix_ms();
    delete_if(ctx, Topic::Blamed, |entry| {
        let record = entry.value.as_deref().and_then(|v| decode(&entry.key, v));
        let crashes = record.map(|(_, record)| record.crashes).unwrap_or_default();
        let max_age = match crashes.len() >= CRASHES_BLAMED_MIN {
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
