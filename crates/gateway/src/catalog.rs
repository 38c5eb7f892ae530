//! Routes and targets as the store or a peer tells them.
//!
//! Every record has an offset, and nothing older than what is known counts,
//! whoever tells it. Which targets exist is [`discovery`]'s to decide; here
//! it is read, logged and put to use, one reading after the other: targets in
//! use and what peers are told never tell of different readings.

mod config;
mod evacuation;
mod follow;
mod records;

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use notchwharf_config::gateway::Settings;
use notchwharf_config::routes::Table;
use notchwharf_routing::balancer::Balancer;
use notchwharf_routing::balancer::Spec;
use notchwharf_routing::discovery;
use notchwharf_routing::discovery::Change;
use notchwharf_routing::discovery::Evidence;
use notchwharf_routing::discovery::ReadInfo;
use notchwharf_routing::discovery::TargetView;
use notchwharf_routing::discovery::Timeouts;
use notchwharf_startup::Dependency;
use notchwharf_startup::Startup;
use tokio::sync::watch;

use crate::follower::ReadAttempt;
use crate::follower::Records;
use crate::metrics::Counted;
use crate::metrics::Metrics;
use crate::ports::Decode;
use crate::ports::StoredRecord;
use crate::store::Store;
use crate::sync::lock;
use crate::time::millis;
use crate::time::ms;

use self::config::Removed;
pub(crate) use self::config::confirm;
pub(crate) use self::config::take_from_peer;
use self::evacuation::Evacuated;
pub(crate) use self::evacuation::take_from_peer as take_evacuated;
use self::follow::SWEEP;
use self::follow::TARGETS_GAP;
pub(crate) use self::follow::start;
pub(crate) use self::records::Config;
pub(crate) use self::records::PeerReading;
pub(crate) use self::records::Versions;

/// Time after the store's return within which it has the entries of living
/// targets again, as the platform names it.
const LAPSE: Duration = Duration::from_secs(2);
/// Time for news of an entry beside the pause between two readings: an answer
/// of the store takes some milliseconds.
const NEWS: Duration = Duration::from_millis(50);
/// Time for which a host that has used up its share of a processor may stand
/// still in the middle of sending a request.
const STANDSTILL: Duration = Duration::from_millis(100);

/// Maximum number of simultaneous changes that are logged individually.
const LOGGED_CHANGES_MAX: usize = 8;

/// Counts for the summary log line of many changes.
#[derive(Debug, Default)]
struct ChangeCounts {
    added: usize,
    updated: usize,
    gone: usize,
    kept: usize,
}

/// What is known, in the form in which it came.
#[derive(Debug)]
struct Known {
    config: Option<Config>,
    /// When the configuration was known to be the newest.
    config_as_of: Option<Instant>,
    removed: Removed,
    evacuated: Evacuated,
    targets: TargetView,
    /// The evidence reported by the last reader followed, unless this host has read since.
    peer_evidence: Option<Evidence>,
}

/// Routes and targets that a host knows, and where they are put to use.
pub(crate) struct Catalog {
    known: Mutex<Known>,
    /// When the store was last asked whether the configuration is the newest.
    look: tokio::sync::Mutex<Option<Instant>>,
    deps: Dependencies,
}

/// Where routes and targets are put to use.
pub(crate) struct Dependencies {
    pub(crate) store: Store,
    pub(crate) decode: Decode,
    pub(crate) balancer: Arc<Mutex<Balancer>>,
    pub(crate) routes: watch::Sender<Option<Arc<Table>>>,
    pub(crate) startup: Arc<Startup>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) logger: slog::Logger,
}

/// What changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct News {
    /// Whether other routes are in force.
    pub(crate) routes: bool,
    /// Whether targets came, changed or went.
    pub(crate) targets: bool,
}

/// Returns the times on which [`TargetView`] depends.
fn bounds(settings: &Settings) -> Timeouts {
    Timeouts {
        drain: ms(settings.targets.drain_ms),
        settle: ms(settings.targets.settle_ms),
        reregister: LAPSE + TARGETS_GAP + NEWS,
        dispatch: ms(settings.online.connect_timeout_ms) + SWEEP + STANDSTILL,
    }
}

impl Catalog {
    /// Returns a catalog that knows nothing yet.
    pub(crate) fn new(settings: &Settings, deps: Dependencies) -> Self {
        let known = Known {
            config: None,
            config_as_of: None,
            removed: Removed::default(),
            evacuated: Evacuated::default(),
            targets: TargetView::new(bounds(settings)),
            peer_evidence: None,
        };
        Self {
            known: Mutex::new(known),
            look: tokio::sync::Mutex::default(),
            deps,
        }
    }

    /// Takes in a reading of targets.
    fn read_targets(&self, reading: ReadAttempt, now: Instant) -> News {
        let ReadAttempt {
            requested_at,
            result,
        } = reading;
        let decode = |value: &Bytes| (self.deps.decode.target)(value);
        let evidence = self.deps.store.evidence();
        let mut known = lock(&self.known);
        // As of before this reading: what it tells is newer than that.
        let none_before = known.targets.complete_as_of();
        let changes = match result {
            Ok(Records::Listed { end, records }) => {
                slog::info!(self.deps.logger, "targets listed"; "targets" => records.len(),
                    "offset" => end, "source" => "store");
                let records = records.into_iter().map(record).collect();
                let answered = ReadInfo::at_end(requested_at, now);
                known
                    .targets
                    .apply_listing(&answered, &evidence, end, records, decode)
            }
            Ok(Records::Appended { records, is_at_end }) => {
                let records = records.into_iter().map(record).collect();
                let answered = ReadInfo {
                    requested_at,
                    answered_at: now,
                    is_at_end,
                };
                known
                    .targets
                    .apply_records(&answered, &evidence, records, decode)
            }
            // The reader tries again; the store's wrapper knows of the failure.
            Err(_) => return News::default(),
        };
        known.peer_evidence = None;
        let targets = self.put_to_use(none_before, &evidence, changes, now);
        self.deps.startup.mark_ready(Dependency::Targets, "store");
        News {
            targets,
            ..News::default()
        }
    }

    /// Removes targets whose entries have not reappeared in time, and lifts the limits of
    /// targets that are no longer cold.
    fn sweep(&self, now: Instant) {
        lock(&self.deps.balancer).end_cold(now);
        let mut known = lock(&self.known);
        if !known.targets.has_missing_entries() {
            return;
        }
        let evidence = self.evidence(&known);
        let expired = known.targets.expire(now, &evidence);
        for id in &expired {
            if expired.len() <= LOGGED_CHANGES_MAX {
                slog::info!(self.deps.logger, "target's entry did not come back";
                    "target" => id.as_str());
            }
            self.take_out(id);
        }
        if expired.len() > LOGGED_CHANGES_MAX {
            slog::info!(self.deps.logger, "targets' entries did not come back";
                "targets" => expired.len());
        }
    }

    /// Returns how the log was read, by this host or by the reader it follows.
    fn evidence(&self, known: &Known) -> Evidence {
        let followed = known.peer_evidence;
        followed.unwrap_or_else(|| self.deps.store.evidence())
    }

    /// Puts changes to use while what is believed is held, so that no other
    /// reading comes in between; returns whether there were any.
    fn put_to_use<E: fmt::Display>(
        &self,
        none_before: Option<Instant>,
        evidence: &Evidence,
        changes: Vec<Change<E>>,
        now: Instant,
    ) -> bool {
        let is_any = !changes.is_empty();
        // Individual lines would exceed the logger's capacity when a fleet starts.
        let is_each_logged = changes.len() <= LOGGED_CHANGES_MAX;
        let mut counts = ChangeCounts::default();
        for change in changes {
            match change {
                Change::Put { id, offset, spec } => {
                    self.put((&id, offset, spec), is_each_logged, &mut counts, now);
                }
                Change::Unreadable { id, offset, error } => {
                    self.deps
                        .metrics
                        .count(Counted::Changes, "target unreadable");
                    slog::error!(self.deps.logger, "target not taken"; "target" => id.as_str(),
                        "offset" => offset, "error" => error.to_string(),
                        "was_known" => lock(&self.deps.balancer).spec(&id).is_some());
                    lock(&self.deps.balancer).remove(&id);
                }
                Change::Removed { id, offset } => {
                    counts.gone += 1;
                    if is_each_logged {
                        slog::info!(self.deps.logger, "target's entry is gone";
                            "target" => id.as_str(), "offset" => offset,
                            "kept_for_now" => false);
                    }
                    self.take_out(&id);
                }
                Change::Retained { id, offset, until } => {
                    counts.kept += 1;
                    self.deps.metrics.count(Counted::Changes, "target kept");
                    let ago = |at: Option<Instant>| at.map(|at| millis(now - at));
                    if is_each_logged || counts.kept == 1 {
                        slog::info!(self.deps.logger, "target's entry is gone"; "target" => id,
                            "offset" => offset, "kept_for_now" => true,
                            "kept_ms" => millis(until.saturating_duration_since(now)),
                            "none_before_ms_ago" => ago(none_before),
                            "away_ms_ago" => ago(evidence.reads.outage_at()),
                            "back_ms_ago" => ago(evidence.reads.recovered_at()));
                    }
                }
            }
        }
        if !is_each_logged {
            slog::info!(self.deps.logger, "targets changed"; "added" => counts.added,
                "updated" => counts.updated, "gone" => counts.gone, "kept_for_now" => counts.kept);
        }
        is_any
    }

    fn put(
        &self,
        (id, offset, spec): (&str, u64, Spec),
        is_logged: bool,
        counts: &mut ChangeCounts,
        now: Instant,
    ) {
        let mut places = lock(&self.deps.balancer);
        let before = places.spec(id);
        if before != Some(&spec) {
            match before {
                Some(_) => counts.updated += 1,
                None => counts.added += 1,
            }
            if is_logged {
                let is_anew = before.is_some_and(|b| b.started_unix_ms != spec.started_unix_ms);
                slog::info!(self.deps.logger, "target"; "target" => id,
                    "addr" => spec.addr.to_string(), "service" => spec.service.as_str(),
                    "leaving" => spec.is_leaving, "started_anew" => is_anew, "offset" => offset);
            }
            self.deps.metrics.count(Counted::Changes, "target");
        }
        let cold_left = spec.cold_left;
        places.upsert(id, spec);
        places.set_cold(id, cold_left, now);
    }

    fn take_out(&self, id: &str) {
        lock(&self.deps.balancer).remove(id);
        self.deps.metrics.count(Counted::Changes, "target gone");
    }
}

fn record(stored: StoredRecord) -> discovery::Record<Bytes> {
    discovery::Record {
        id: stored.entry.key,
        offset: stored.offset,
        value: stored.entry.value,
    }
}
