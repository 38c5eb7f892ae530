//! Catalog of routes and targets, read from the store or received from peers.
//!
//! Records are ordered by offset; a record older than the known state is ignored, whatever its
//! source. [`discovery`] decides which targets exist. This module passes it the results of reads,
//! logs the changes and applies them to the balancer. Results are applied one after another under
//! one lock, so that the balancer and the records sent to peers reflect the same read.

mod config;
mod evacuation;
mod follow;
mod records;
mod starts;
mod targets;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use notchwharf_config::evacuation::Evacuated;
use notchwharf_config::gateway::Settings;
use notchwharf_config::routes::Table;
use notchwharf_origins::history::VersionHistory;
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

use self::config::RemovedKeys;
pub(crate) use self::config::apply_from_peer as apply_peer_config;
pub(crate) use self::config::confirm;
pub(crate) use self::evacuation::apply_from_peer as apply_peer_evacuation;
use self::follow::SWEEP_INTERVAL;
use self::follow::TARGETS_READ_INTERVAL;
pub(crate) use self::follow::start;
pub(crate) use self::records::Config;
pub(crate) use self::records::PeerReading;
pub(crate) use self::records::Versions;
use self::starts::Starts;
use self::targets::Standstill;
pub(crate) use self::targets::confirm as confirm_targets;
pub(crate) use self::targets::wait_after_standstill;

/// Time after an outage of the store within which running targets write their entries again, as
/// specified by the platform.
const REREGISTER_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay until an update of an entry is received, besides the interval between reads: a response
/// of the store takes some milliseconds.
const UPDATE_LATENCY: Duration = Duration::from_millis(50);
/// Time for which a host that has exhausted its CPU quota may be paused while it sends a request.
const STALL_MAX: Duration = Duration::from_millis(100);

/// Maximum number of simultaneous changes that are logged individually.
const LOGGED_CHANGES_MAX: usize = 8;

/// Counts for the summary log line of many changes.
#[derive(Debug, Default)]
struct ChangeCounts {
    added: usize,
    updated: usize,
    removed: usize,
    retained: usize,
}

/// The known records and state derived from them.
#[derive(Debug)]
struct State {
    config: Option<Config>,
    /// When the configuration was last known to be the newest.
    config_as_of: Option<Instant>,
    removed: RemovedKeys,
    evacuated: Evacuated,
    targets: TargetView,
    /// The evidence reported by the last reader followed, unless this host has read since.
    peer_evidence: Option<Evidence>,
    standstill: Standstill,
}

/// Routes and targets known to a host, and the components that use them.
pub(crate) struct Catalog {
    state: Mutex<State>,
    /// When the store was last queried for a newer configuration.
    last_check: tokio::sync::Mutex<Option<Instant>>,
    /// When the store was last asked whether the targets known here are the newest.
    last_targets_check: tokio::sync::Mutex<Option<Instant>>,
    /// The starts of targets, by address.
    starts: Mutex<Starts>,
    deps: Dependencies,
}

/// Dependencies of the catalog on this host.
pub(crate) struct Dependencies {
    pub(crate) store: Store,
    pub(crate) decode: Decode,
    pub(crate) balancer: Arc<Mutex<Balancer>>,
    pub(crate) version_history: Arc<Mutex<VersionHistory>>,
    pub(crate) routes: watch::Sender<Option<Arc<Table>>>,
    pub(crate) startup: Arc<Startup>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) logger: slog::Logger,
}

/// Which parts of the catalog have changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Updated {
    /// Whether the routes have changed.
    pub(crate) routes: bool,
    /// Whether targets were added, updated or removed.
    pub(crate) targets: bool,
}

/// Returns the timeouts of [`TargetView`].
fn timeouts(settings: &Settings) -> Timeouts {
    Timeouts {
        drain: ms(settings.targets.drain_ms),
        settle: ms(settings.targets.settle_ms),
        reregister: REREGISTER_TIMEOUT + TARGETS_READ_INTERVAL + UPDATE_LATENCY,
        dispatch: ms(settings.online.connect_timeout_ms) + SWEEP_INTERVAL + STALL_MAX,
    }
}

impl Catalog {
    /// Returns an empty catalog.
    pub(crate) fn new(settings: &Settings, deps: Dependencies) -> Self {
        let state = State {
            config: None,
            config_as_of: None,
            removed: RemovedKeys::default(),
            evacuated: Evacuated::default(),
            targets: TargetView::new(timeouts(settings)),
            peer_evidence: None,
            standstill: Standstill::new(Instant::now()),
        };
        Self {
            state: Mutex::new(state),
            last_check: tokio::sync::Mutex::default(),
            last_targets_check: tokio::sync::Mutex::default(),
            starts: Mutex::default(),
            deps,
        }
    }

    /// Returns when it became known that another start has taken the place of one at an address, unless
    /// that one had said that it leaves.
    pub(crate) fn replaced_at(&self, addr: SocketAddr) -> Option<Instant> {
        lock(&self.starts).replaced_at(addr)
    }

    /// Applies the result of a read of targets.
    fn apply_targets(&self, attempt: ReadAttempt, now: Instant) -> Updated {
        let ReadAttempt {
            requested_at,
            result,
        } = attempt;
        let decode = |value: &Bytes| (self.deps.decode.target)(value);
        let evidence = self.deps.store.evidence();
        let mut state = lock(&self.state);
        // Taken before this read is applied, whose changes are newer.
        let complete_as_of = state.targets.complete_as_of();
        let changes = match result {
            Ok(Records::Listed { end, records }) => {
                slog::info!(self.deps.logger, "targets listed"; "targets" => records.len(),
                    "offset" => end, "source" => "store");
                let records = records.into_iter().map(record).collect();
                let read_info = ReadInfo::at_end(requested_at, now);
                state
                    .targets
                    .apply_listing(&read_info, &evidence, end, records, decode)
            }
            Ok(Records::Appended { records, is_at_end }) => {
                let records = records.into_iter().map(record).collect();
                let read_info = ReadInfo {
                    requested_at,
                    answered_at: now,
                    is_at_end,
                };
                state
                    .targets
                    .apply_records(&read_info, &evidence, records, decode)
            }
            // The follower retries; `Store` has logged the failure.
            Err(_) => return Updated::default(),
        };
        state.peer_evidence = None;
        let late = usize::try_from(state.targets.late_entries()).unwrap_or(usize::MAX);
        self.deps.metrics.set("late_target_entries", late);
        let targets = self.apply_changes(complete_as_of, &evidence, changes, now);
        self.deps.startup.mark_ready(Dependency::Targets, "store");
        Updated {
            targets,
            ..Updated::default()
        }
    }

    /// Removes targets whose entries have not reappeared in time, lifts the limits of targets that are
    /// no longer cold, and records that the host runs.
    fn sweep(&self, now: Instant) {
        lock(&self.deps.balancer).end_cold(now);
        if let Some(age) = self.targets_age() {
            let age_ms = usize::try_from(age.as_millis()).unwrap_or(usize::MAX);
            self.deps.metrics.set("targets_age_ms", age_ms);
        }
        let mut state = lock(&self.state);
        state.standstill.record_run(now);
        if !state.targets.has_missing_entries() {
            return;
        }
        let evidence = self.evidence(&state);
        let expired = state.targets.expire(now, &evidence);
        for id in &expired {
            if expired.len() <= LOGGED_CHANGES_MAX {
                slog::info!(self.deps.logger, "target removed; its entry was not restored in time";
                    "target" => id.as_str());
            }
            self.remove_target(id);
        }
        if expired.len() > LOGGED_CHANGES_MAX {
            slog::info!(self.deps.logger, "targets removed; their entries were not restored in time";
                "targets" => expired.len());
        }
    }

    /// Returns the evidence from reading the log, by this host or by the reader it follows.
    fn evidence(&self, state: &State) -> Evidence {
        let followed = state.peer_evidence;
        followed.unwrap_or_else(|| self.deps.store.evidence())
    }

    /// Applies changes of targets and returns whether there were any. The caller holds the lock on
    /// the state, so that no other read is applied in between.
    fn apply_changes<E: fmt::Display>(
        &self,
        complete_as_of: Option<Instant>,
        evidence: &Evidence,
        changes: Vec<Change<E>>,
        now: Instant,
    ) -> bool {
        let has_changes = !changes.is_empty();
        // Individual lines would exceed the logger's capacity when a fleet starts.
        let is_each_logged = changes.len() <= LOGGED_CHANGES_MAX;
        let mut counts = ChangeCounts::default();
        for change in changes {
            match change {
                Change::Put { id, offset, spec } => {
                    self.upsert_target((&id, offset, spec), is_each_logged, &mut counts, now);
                }
                Change::Unreadable { id, offset, error } => {
                    self.deps
                        .metrics
                        .count(Counted::Changes, "target unreadable");
                    slog::error!(self.deps.logger, "invalid target record"; "target" => id.as_str(),
                        "offset" => offset, "error" => error.to_string(),
                        "was_known" => lock(&self.deps.balancer).spec(&id).is_some());
                    self.remove_from_balancer(&id);
                }
                Change::Removed { id, offset } => {
                    counts.removed += 1;
                    if is_each_logged {
                        slog::info!(self.deps.logger, "target entry deleted";
                            "target" => id.as_str(), "offset" => offset,
                            "kept_for_now" => false);
                    }
                    self.remove_target(&id);
                }
                Change::Retained { id, offset, until } => {
                    counts.retained += 1;
                    self.deps.metrics.count(Counted::Changes, "target kept");
                    let ago = |at: Option<Instant>| at.map(|at| millis(now - at));
                    if is_each_logged || counts.retained == 1 {
                        slog::info!(self.deps.logger, "target entry deleted"; "target" => id,
                            "offset" => offset, "kept_for_now" => true,
                            "kept_ms" => millis(until.saturating_duration_since(now)),
                            "none_before_ms_ago" => ago(complete_as_of),
                            "away_ms_ago" => ago(evidence.reads.outage_at()),
                            "back_ms_ago" => ago(evidence.reads.recovered_at()));
                    }
                }
            }
        }
        if !is_each_logged {
            slog::info!(self.deps.logger, "targets changed"; "added" => counts.added,
                "updated" => counts.updated, "gone" => counts.removed, "kept_for_now" => counts.retained);
        }
        has_changes
    }

    fn upsert_target(
        &self,
        (id, offset, spec): (&str, u64, Spec),
        is_logged: bool,
        counts: &mut ChangeCounts,
        now: Instant,
    ) {
        let mut balancer = lock(&self.deps.balancer);
        let before = balancer.spec(id);
        if before != Some(&spec) {
            match before {
                Some(_) => counts.updated += 1,
                None => counts.added += 1,
            }
            if is_logged {
                let has_restarted =
                    before.is_some_and(|b| b.started_unix_ms != spec.started_unix_ms);
                slog::info!(self.deps.logger, "target"; "target" => id,
                    "addr" => spec.addr.to_string(), "service" => spec.service.as_str(),
                    "version" => spec.version.as_deref(), "leaving" => spec.is_leaving,
                    "started_anew" => has_restarted, "offset" => offset);
            }
            self.deps.metrics.count(Counted::Changes, "target");
        }
        lock(&self.starts).add(id, &spec, now);
        self.record_version(balancer.spec(id), Some(&spec), now);
        let cold_left = spec.cold_left;
        balancer.upsert(id, spec);
        balancer.set_cold(id, cold_left, now);
    }

    fn remove_target(&self, id: &str) {
        self.remove_from_balancer(id);
        self.deps.metrics.count(Counted::Changes, "target gone");
    }

    fn remove_from_balancer(&self, id: &str) {
        let mut balancer = lock(&self.deps.balancer);
        self.record_version(balancer.spec(id), None, Instant::now());
        balancer.remove(id);
    }

    /// Records a change of a target in the versions of its service.
    fn record_version(&self, before: Option<&Spec>, after: Option<&Spec>, now: Instant) {
        let mut history = lock(&self.deps.version_history);
        if let Some(after) = after {
            history.add(&after.service, after.version.as_deref());
        }
        if let Some(before) = before {
            history.remove(&before.service, before.version.as_deref(), now);
        }
    }
}

fn record(stored: StoredRecord) -> discovery::Record<Bytes> {
    discovery::Record {
        id: stored.entry.key,
        offset: stored.offset,
        value: stored.entry.value,
    }
}
