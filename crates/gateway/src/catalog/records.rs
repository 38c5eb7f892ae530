//! Exchange of routes and targets between hosts.

use std::time::Duration;
use std::time::Instant;

use notchwharf_proto::records;
use notchwharf_routing::balancer;
use notchwharf_routing::balancer::Spec;
use notchwharf_routing::discovery::CallHistory;
use notchwharf_routing::discovery::Difference;
use notchwharf_routing::discovery::Evidence;
use notchwharf_routing::discovery::Page;
use notchwharf_routing::discovery::Position;
use notchwharf_routing::discovery::ReadInfo;
use notchwharf_routing::discovery::Record;
use notchwharf_startup::Dependency;

use super::Catalog;
use super::ChangeCounts;
use crate::sync::lock;
use crate::time::millis;
use crate::time::ms;

pub(crate) use notchwharf_proto::records::Config;

/// Versions of the routes and targets known to a host; higher is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Versions {
    /// The offset that follows the newest operator record; zero for none.
    pub(crate) config: u64,
    /// The offset that follows the newest record that changed a target.
    pub(crate) targets: u64,
}

/// State of another host's reading of the log, on this host's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerReading {
    /// When its newest complete read of targets was requested.
    pub(crate) requested_at: Option<Instant>,
    /// When its configuration was last confirmed to be the newest.
    pub(crate) config_as_of: Option<Instant>,
    evidence: Evidence,
}

impl PeerReading {
    /// Converts a reported state to this host's clock, given the delay of the message.
    pub(crate) fn from_peer(message: &records::Reading, delay: Duration, now: Instant) -> Self {
        let at = |ago: Option<u64>| ago.and_then(|ago| now.checked_sub(ms(ago) + delay));
        let history = |message: &records::Contact| {
            CallHistory::from_peer(at(message.away_ms_ago), at(message.back_ms_ago))
        };
        Self {
            requested_at: at(message.age_ms),
            config_as_of: at(message.config_age_ms),
            evidence: Evidence {
                reads: history(&message.targets),
                calls: history(&message.calls),
            },
        }
    }

    /// Returns whether reads of the store succeed, according to the reader.
    pub(crate) fn is_store_serving(&self) -> bool {
        let reads = &self.evidence.reads;
        reads.outage_at().is_none() || reads.recovered_at().is_some()
    }
}

impl Catalog {
    pub(crate) fn versions(&self) -> Versions {
        let state = lock(&self.state);
        // A log without targets also counts as read.
        let is_read = u64::from(state.targets.end() > 0);
        Versions {
            config: state.config_version(),
            targets: state.targets.changes_end().max(is_read),
        }
    }

    /// Returns whether versions of another host are newer than this host's.
    pub(crate) fn is_behind(&self, versions: Versions) -> bool {
        let state = lock(&self.state);
        versions.config > state.config_version() || versions.targets > state.targets.end()
    }

    /// Returns the offset from which to read the log of targets.
    pub(crate) fn targets_end(&self) -> u64 {
        lock(&self.state).targets.end()
    }

    /// Returns the age of the view of the targets: the time since the newest complete read was
    /// requested. `None` if there was none.
    pub(crate) fn targets_age(&self) -> Option<Duration> {
        let as_of = lock(&self.state).targets.complete_as_of();
        as_of.map(|at| at.elapsed())
    }

    /// Returns the offset and the checksum of the targets as of it, if they can be compared.
    pub(crate) fn targets_checksum(&self) -> Option<(u64, u64)> {
        let state = lock(&self.state);
        let checksum = state.targets.checksum()?;
        Some((state.targets.end(), checksum))
    }

    /// Returns the position from which to request targets of another host.
    pub(crate) fn targets_position(&self) -> Position {
        lock(&self.state).targets.position()
    }

    /// Returns the configuration if it is newer than a version.
    pub(crate) fn config_after(&self, version: u64) -> Option<Config> {
        let state = lock(&self.state);
        let config = state.config.as_ref();
        config.filter(|c| c.offset >= version).cloned()
    }

    /// Returns the evacuated data centres if they have changed since `version`.
    pub(crate) fn evacuated_after(&self, version: u64) -> Option<records::Evacuated> {
        let state = lock(&self.state);
        let evacuated = Some(&state.evacuated).filter(|e| e.version > version)?;
        Some(records::Evacuated {
            version: evacuated.version,
            data_centres: evacuated.data_centres.iter().cloned().collect(),
        })
    }

    /// Returns the target records that another host is missing, up to `limit` where the
    /// transfer can be continued.
    pub(crate) fn targets_since(&self, position: &Position, limit: usize) -> records::Targets {
        let difference = lock(&self.state).targets.since(position, limit);
        let changes = difference.records.into_iter().map(|record| {
            let target = record.value.map(target);
            records::TargetChange {
                id: record.id,
                offset: record.offset,
                target,
            }
        });
        records::Targets {
            from: difference.from,
            to: difference.to,
            end: difference.end,
            page: difference.page.map(|page| records::Page {
                after: page.after,
                next: page.next,
            }),
            is_complete: difference.is_complete,
            changes: changes.collect(),
        }
    }

    /// Returns up to `limit` targets whose versions are not known.
    pub(crate) fn without_version(&self, limit: usize) -> Vec<records::TargetStart> {
        let state = lock(&self.state);
        let entries = state.targets.entries();
        let unknown = entries.filter(|(_, _, spec)| spec.version.is_none());
        let starts = unknown.map(|(id, _, spec)| records::TargetStart {
            id: id.clone(),
            born_unix_ms: spec.started_unix_ms,
        });
        starts.take(limit).collect()
    }

    /// Returns the versions of these starts of targets, as far as known.
    pub(crate) fn versions_of(&self, starts: &[records::TargetStart]) -> Vec<Option<String>> {
        let balancer = lock(&self.deps.balancer);
        let versions = starts.iter().map(|start| {
            let spec = balancer.spec(&start.id)?;
            let is_same = spec.started_unix_ms == start.born_unix_ms;
            spec.version.clone().filter(|_| is_same)
        });
        versions.collect()
    }

    /// Sets the versions of starts of targets that are not known here.
    pub(crate) fn set_versions(
        &self,
        known: impl Iterator<Item = (records::TargetStart, String)>,
        now: Instant,
    ) {
        let mut state = lock(&self.state);
        let mut counts = ChangeCounts::default();
        for (start, version) in known {
            let targets = &mut state.targets;
            let changed = targets.set_version(&start.id, start.born_unix_ms, version);
            if let Some((offset, spec)) = changed {
                let spec = spec.clone();
                self.upsert_target((&start.id, offset, spec), false, &mut counts, now);
            }
        }
    }

    /// Returns the starts of targets that have said that they leave.
    pub(crate) fn departures(&self) -> Vec<records::TargetStart> {
        let state = lock(&self.state);
        let starts = state
            .targets
            .departures()
            .map(|(id, started_unix_ms)| records::TargetStart {
                id: id.clone(),
                born_unix_ms: *started_unix_ms,
            });
        starts.collect()
    }

    /// Records that starts of targets have said that they leave, as another host knows.
    pub(crate) fn add_departures(&self, starts: Vec<records::TargetStart>, now: Instant) {
        let mut state = lock(&self.state);
        let mut counts = ChangeCounts::default();
        for start in starts {
            let changed = state.targets.add_departure(&start.id, start.born_unix_ms);
            if let Some((offset, spec)) = changed {
                let spec = spec.clone();
                self.upsert_target((&start.id, offset, spec), true, &mut counts, now);
            }
        }
    }

    /// Returns the state of reading the log, by this host or by the reader it follows.
    pub(crate) fn reading(&self, now: Instant) -> records::Reading {
        let state = lock(&self.state);
        let evidence = self.evidence(&state);
        let ago = |at: Option<Instant>| at.map(|at| millis(now.saturating_duration_since(at)));
        let history = |of: &CallHistory| records::Contact {
            away_ms_ago: ago(of.outage_at()),
            back_ms_ago: ago(of.recovered_at()),
        };
        records::Reading {
            age_ms: ago(state.targets.complete_as_of()),
            config_age_ms: ago(state.config_as_of),
            targets: history(&evidence.reads),
            calls: history(&evidence.calls),
        }
    }

    /// Applies targets that another host has read; returns whether anything changed.
    pub(crate) fn apply_peer_targets(
        &self,
        message: records::Targets,
        reading: PeerReading,
        now: Instant,
    ) -> bool {
        let mut state = lock(&self.state);
        let to = message.to;
        if state.targets.end() > to {
            return false;
        }
        let complete_as_of = state.targets.complete_as_of();
        let read_info = ReadInfo {
            requested_at: reading.requested_at.unwrap_or(now),
            answered_at: now,
            is_at_end: reading.requested_at.is_some(),
        };
        let difference = difference(message);
        let changes = state
            .targets
            .apply_difference(&read_info, &reading.evidence, difference);
        if state.targets.end() == to {
            state.peer_evidence = Some(reading.evidence);
        }
        let has_changes = self.apply_changes(complete_as_of, &reading.evidence, changes, now);
        if has_changes || state.targets.end() > 0 {
            self.deps.startup.mark_ready(Dependency::Targets, "peer");
        }
        has_changes
    }
}

fn target(spec: Spec) -> records::Target {
    records::Target {
        service: spec.service,
        data_centre: spec.data_centre,
        addr: spec.addr,
        slots: spec.slots,
        leaving: spec.is_leaving,
        born_unix_ms: spec.started_unix_ms,
        cold_left_ms: millis(spec.cold_left),
        version: spec.version,
    }
}

fn spec(target: records::Target) -> Spec {
    Spec {
        service: target.service,
        data_centre: target.data_centre,
        addr: target.addr,
        slots: target.slots.min(balancer::SLOTS_MAX),
        is_leaving: target.leaving,
        started_unix_ms: target.born_unix_ms,
        cold_left: ms(target.cold_left_ms).min(balancer::COLD_MAX),
        version: target.version,
    }
}

fn difference(message: records::Targets) -> Difference {
    let changes = message.changes.into_iter().map(|change| Record {
        id: change.id,
        offset: change.offset,
        value: change.target.map(spec),
    });
    Difference {
        from: message.from,
        to: message.to,
        end: message.end,
        page: message.page.map(|page| Page {
            after: page.after,
            next: page.next,
        }),
        is_complete: message.is_complete,
        records: changes.collect(),
    }
}
