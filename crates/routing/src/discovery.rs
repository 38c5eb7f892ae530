//! Target discovery: which targets exist, according to the store's log and other hosts.
//!
//! Targets register themselves in the platform's store. When an entry is removed, its target
//! is shutting down, and no request may reach it after a short drain time; but the entries
//! of live targets also expire while the store is unavailable. [`TargetView`] distinguishes
//! the two by evidence of outages ([`CallHistory`], [`Evidence`]), which is dated by when a
//! call was started and not by when its failure was detected.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use notchwharf_routing::discovery::{Change, Evidence, ReadInfo, Record, TargetView, Timeouts};
//! use notchwharf_routing::balancer::Spec;
//!
//! let start = Instant::now();
//! let at = |ms| start + Duration::from_millis(ms);
//! let decode = |_: &u8| Ok::<_, ()>(Spec::default());
//! let evidence = Evidence::default();
//! let mut view = TargetView::new(Timeouts::default());
//! let entry = Record { id: "t1".into(), offset: 0, value: Some(1) };
//! view.apply_listing(&ReadInfo::at_end(at(0), at(5)), &evidence, 1, vec![entry], decode);
//!
//! // No call of the store has failed, so a removed entry cannot have expired.
//! let removed = Record { id: "t1".into(), offset: 1, value: None };
//! let read = ReadInfo::at_end(at(10), at(800));
//! let changes = view.apply_records(&read, &evidence, vec![removed], decode);
//! assert!(matches!(&changes[..], [Change::Removed { .. }]));
//! ```
//!
//! Alternatives rejected: retaining entries for a fixed time after any failed call (the call
//! may concern something else, or be evidence of an outage long past), and probing the target
//! (one that is shutting down answers like any other).

mod call_history;
mod departed;
mod difference;
mod entries;
mod record;

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use notchwharf_spread::changes::Changes;

pub use self::call_history::CallHistory;
pub use self::call_history::Evidence;
pub use self::call_history::Failure;
use self::departed::Departed;
pub use self::difference::Difference;
pub use self::difference::Page;
use self::difference::PartialListing;
pub use self::difference::Position;
use self::entries::Entries;
pub use self::record::Change;
pub use self::record::ReadInfo;
pub use self::record::Record;
use crate::balancer::Spec;
use crate::balancer::TargetId;
use crate::balancer::TargetVersion;

/// Number of changes retained by a view. A host that is further behind is sent all entries.
const CHANGES_RETAINED: usize = 4_096;

/// Timeouts of target discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Time after the store has acknowledged the removal of an entry within which requests
    /// may still reach its target. 2 s by default, from the platform's settings.
    pub drain: Duration,
    /// Time after an outage of the store, or of the network path to it, within which a
    /// request may reach a target whose entry was removed. 3 s by default, from the
    /// platform's settings.
    pub settle: Duration,
    /// Time after the store's recovery within which the entries of live targets are
    /// registered again and known here. 2.35 s by default: the platform states about two
    /// seconds, and changes wait up to 0.3 s between two reads.
    pub reregister: Duration,
    /// The longest time from the choice of a target until the request reaches it. 400 ms by
    /// default: 250 to connect, 50 between two checks for expired entries, 100 during which
    /// the process may not be scheduled.
    pub dispatch: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            drain: Duration::from_secs(2),
            settle: Duration::from_secs(3),
            reregister: Duration::from_millis(2_350),
            dispatch: Duration::from_millis(400),
        }
    }
}

/// An entry that is missing and may only have expired.
#[derive(Clone, Copy, Debug)]
struct MissingEntry {
    /// When it was found missing.
    missed_at: Instant,
    /// Whether another host reported it, which reached the store at that time.
    is_from_peer: bool,
    /// The time up to which the store had not acknowledged its removal.
    complete_as_of: Option<Instant>,
}

/// The newest entry of a target.
#[derive(Clone, Debug)]
struct TargetEntry {
    /// The offset of the newest record.
    offset: u64,
    spec: Spec,
}

/// A host's view of which targets exist.
///
/// All changes of one read are applied in one call, so [`TargetView::entries`] and
/// [`TargetView::end`] are consistent with one another.
#[derive(Clone, Debug)]
pub struct TargetView {
    timeouts: Timeouts,
    /// When the newest complete read was requested: every change that the store had
    /// acknowledged before is known.
    complete_as_of: Option<Instant>,
    known: Entries,
    missing: HashMap<TargetId, MissingEntry>,
    /// The targets whose newest entry cannot be decoded. A heartbeat that repeats such an entry
    /// is not a change.
    unreadable: HashSet<TargetId>,
    /// The targets that have said that they leave.
    departed: Departed,
    /// The offsets of removals that are not below `end`, by which the records before them are
    /// recognised as older.
    removed: HashMap<TargetId, u64>,
    changes: Changes<TargetId>,
    end: u64,
    /// A listing that is being received from other hosts in pages.
    partial_listing: PartialListing,
}

/// Origin of records, by which missing entries are assessed.
#[derive(Clone, Copy, Debug)]
struct Source<'a> {
    at: Instant,
    is_from_peer: bool,
    /// The offset from which a summary covers the log; `None` if the source has all records. A
    /// summary contains only the newest record of each target, so one that repeats the known
    /// entry may hide a removal before it.
    summary_from: Option<u64>,
    evidence: &'a Evidence,
}

impl<'a> Source<'a> {
    /// Returns the source of a read of all records by this host.
    fn from_read(read: &ReadInfo, evidence: &'a Evidence) -> Self {
        Self {
            at: read.answered_at,
            is_from_peer: false,
            summary_from: None,
            evidence,
        }
    }

    /// Returns the source of a summary from an offset on.
    fn summary(from: u64, read: &ReadInfo, evidence: &'a Evidence) -> Self {
        Self {
            summary_from: Some(from),
            ..Self::from_read(read, evidence)
        }
    }
}

impl TargetView {
    /// Returns a view without targets.
    pub fn new(timeouts: Timeouts) -> Self {
        Self::with_changes_retained(timeouts, CHANGES_RETAINED)
    }

    /// Returns a view without targets that retains a number of changes. A host that is further
    /// behind is sent all entries.
    pub fn with_changes_retained(timeouts: Timeouts, changes_retained: usize) -> Self {
        Self {
            timeouts,
            complete_as_of: None,
            known: Entries::default(),
            missing: HashMap::new(),
            unreadable: HashSet::new(),
            departed: Departed::default(),
            removed: HashMap::new(),
            changes: Changes::new(changes_retained),
            end: 0,
            partial_listing: PartialListing::default(),
        }
    }

    /// Returns the offset that follows the newest record applied.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Returns the time as of which the view is complete: when the newest complete read was
    /// requested. Every change that the store had acknowledged before is known.
    pub fn complete_as_of(&self) -> Option<Instant> {
        self.complete_as_of
    }

    /// Returns the number of entries that said that a target is ready after it had said that it leaves.
    pub fn late_entries(&self) -> u64 {
        self.departed.late_entries()
    }

    /// Returns the entries for another host. Missing entries are omitted, as the receiver
    /// must not retain them for longer than this host does.
    pub fn entries(&self) -> impl Iterator<Item = (&TargetId, u64, &Spec)> {
        let known = self.known.iter();
        let confirmed = known.filter(|(id, _)| !self.missing.contains_key(*id));
        confirmed.map(|(id, entry)| (id, entry.offset, &entry.spec))
    }

    /// Returns the offset that follows the newest effective change applied. While a listing is
    /// incomplete, that of the entries received.
    pub fn changes_end(&self) -> u64 {
        match self.end {
            0 => self.changes.end(),
            // Entries may be newer than the end, but other hosts receive changes only up to it.
            end => self.changes.end().min(end),
        }
    }

    /// Returns a checksum of the entries that is equal on all hosts with the same end; `None` if
    /// the entries may be newer than the end, or any of them is missing.
    pub fn checksum(&self) -> Option<u64> {
        let is_exact = self.end > 0 && self.changes.end() <= self.end;
        (is_exact && self.missing.is_empty()).then(|| self.known.checksum())
    }

    /// Applies a listing of all entries as of an offset. The pages of a listing are read one
    /// after the other, so some entries may be newer than that.
    pub fn apply_listing<V, E>(
        &mut self,
        read: &ReadInfo,
        evidence: &Evidence,
        end: u64,
        records: Vec<Record<V>>,
        decode: impl Fn(&V) -> Result<Spec, E>,
    ) -> Vec<Change<E>> {
        let source = Source::summary(end, read, evidence);
        let changes = self.apply_all(source, end, records, decode);
        self.note_read(read);
        changes
    }

    /// Applies records that follow those applied before.
    pub fn apply_records<V, E>(
        &mut self,
        read: &ReadInfo,
        evidence: &Evidence,
        records: Vec<Record<V>>,
        decode: impl Fn(&V) -> Result<Spec, E>,
    ) -> Vec<Change<E>> {
        let source = Source::from_read(read, evidence);
        let mut changes = Vec::new();
        for record in records {
            if record.offset < self.end {
                continue;
            }
            self.advance(record.offset + 1);
            changes.extend(self.apply_record(source, record, &decode));
        }
        self.note_read(read);
        changes
    }

    /// Applies another host's listing of all entries; does nothing if it is not newer than
    /// this view.
    pub fn apply_peer_listing<V, E>(
        &mut self,
        at: Instant,
        evidence: &Evidence,
        end: u64,
        records: Vec<Record<V>>,
        decode: impl Fn(&V) -> Result<Spec, E>,
    ) -> Vec<Change<E>> {
        if end <= self.end {
            return Vec::new();
        }
        let source = Source {
            at,
            is_from_peer: true,
            summary_from: Some(end),
            evidence,
        };
        self.apply_all(source, end, records, decode)
    }

    /// Sets the version of a target whose entry came from a host that knows no versions, unless
    /// the target has started again since. Returns the offset of the entry and the target if that
    /// changes it.
    pub fn set_version(
        &mut self,
        id: &str,
        started_unix_ms: Option<u64>,
        version: TargetVersion,
    ) -> Option<(u64, &Spec)> {
        let entry = self.known.set_version(id, started_unix_ms, version)?;
        Some((entry.offset, &entry.spec))
    }

    /// Returns the starts of targets that have said that they leave, with their start times.
    pub fn departures(&self) -> impl Iterator<Item = &(TargetId, Option<u64>)> {
        self.departed.starts()
    }

    /// Records that a start of a target has said to another host that it leaves. Returns the offset of
    /// its entry and the target if that changes it.
    pub fn add_departure(
        &mut self,
        id: &str,
        started_unix_ms: Option<u64>,
    ) -> Option<(u64, &Spec)> {
        self.departed.add(id, started_unix_ms);
        let entry = self.known.set_leaving(id, started_unix_ms)?;
        Some((entry.offset, &entry.spec))
    }

    /// Returns whether any entry is missing that may only have expired.
    pub fn has_missing_entries(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Removes the targets whose missing entries have not reappeared in time; returns them.
    pub fn expire(&mut self, now: Instant, evidence: &Evidence) -> Vec<TargetId> {
        let due = self.missing.iter();
        let due = due.filter(|(_, entry)| now >= self.retained_until(entry, evidence));
        let due: Vec<TargetId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.missing.remove(id);
            self.known.remove(id);
        }
        due
    }

    fn apply_all<V, E>(
        &mut self,
        source: Source<'_>,
        end: u64,
        records: Vec<Record<V>>,
        decode: impl Fn(&V) -> Result<Spec, E>,
    ) -> Vec<Change<E>> {
        // The entries of a listing as of the start of the log are all newer and follow in the log.
        // A host without an end would take pages of another one beside them, which omit removals.
        if end < self.end || end == 0 {
            return Vec::new();
        }
        self.advance(end);
        self.changes.skip_to(end);
        self.partial_listing = PartialListing::default();
        let missing = {
            let listed: HashSet<&TargetId> = records.iter().map(|r| &r.id).collect();
            self.unreadable.retain(|id| listed.contains(id));
            // An entry that is newer than the listing is not missing from it.
            let older = self.known.iter().filter(|(_, entry)| entry.offset < end);
            let missing = older.filter(|(id, _)| !listed.contains(id));
            let missing: Vec<TargetId> = missing.map(|(id, _)| id.clone()).collect();
            missing
        };
        let mut records = records;
        records.sort_by_key(|record| record.offset);
        let mut changes = Vec::new();
        for record in records {
            changes.extend(self.apply_record(source, record, &decode));
        }
        for id in missing {
            // Not retained, but other hosts see by it that there was a change.
            self.changes.push(end.saturating_sub(1), id.clone());
            changes.extend(self.resolve_missing(source, id, end));
        }
        changes
    }

    fn apply_record<V, E>(
        &mut self,
        source: Source<'_>,
        record: Record<V>,
        decode: impl Fn(&V) -> Result<Spec, E>,
    ) -> Option<Change<E>> {
        let Record { id, offset, value } = record;
        if self.is_older(&id, offset) {
            self.index_change(source, &id, offset);
            return None;
        }
        let Some(value) = value else {
            // Indexed even if the target is not held: a host that holds it may request the
            // changes from here.
            self.index_change(source, &id, offset);
            self.record_removal(&id, offset);
            self.unreadable.remove(&id);
            return self.resolve_missing(source, id, offset);
        };
        match decode(&value) {
            Ok(spec) => self.put(source, id, offset, spec),
            Err(error) => {
                self.missing.remove(&id);
                self.known.remove(&id);
                self.record_removal(&id, offset);
                let is_repeat = !self.unreadable.insert(id.clone());
                if !is_repeat || source.summary_from.is_some() {
                    self.index_change(source, &id, offset);
                }
                Some(Change::Unreadable { id, offset, error })
            }
        }
    }

    /// Returns whether a record is older than what is known of its target.
    fn is_older(&self, id: &str, offset: u64) -> bool {
        let known = self.known.get(id).map(|known| known.offset);
        let removed = self.removed.get(id).copied();
        known.max(removed).is_some_and(|newest| newest > offset)
    }

    /// Advances the offset up to which records were applied.
    fn advance(&mut self, end: u64) {
        self.end = end;
        self.removed.retain(|_, offset| *offset >= end);
    }

    fn record_removal(&mut self, id: &str, offset: u64) {
        if offset >= self.end {
            self.removed.insert(id.to_owned(), offset);
        }
    }

    fn index_change(&mut self, source: Source<'_>, id: &str, offset: u64) {
        let first = source.summary_from.unwrap_or(offset);
        self.changes.push_range(first, offset, id.to_owned());
    }

    /// Stores an entry; returns `None` if it repeats the known one.
    fn put<E>(
        &mut self,
        source: Source<'_>,
        id: TargetId,
        offset: u64,
        spec: Spec,
    ) -> Option<Change<E>> {
        let spec = self.departed.apply(&id, spec);
        let was_missing = self.missing.remove(&id).is_some();
        self.unreadable.remove(&id);
        self.removed.remove(&id);
        let entry = TargetEntry {
            offset,
            spec: spec.clone(),
        };
        let is_repeat = self.known.insert(&id, entry) && !was_missing;
        if !is_repeat || source.summary_from.is_some() {
            self.index_change(source, &id, offset);
        }
        (!is_repeat).then_some(Change::Put { id, offset, spec })
    }

    /// Removes the target of a missing entry, or retains it if the entry may have expired.
    fn resolve_missing<E>(
        &mut self,
        source: Source<'_>,
        id: TargetId,
        offset: u64,
    ) -> Option<Change<E>> {
        if !self.known.contains(&id) {
            return None;
        }
        let new = MissingEntry {
            missed_at: source.at,
            is_from_peer: source.is_from_peer,
            complete_as_of: self.complete_as_of,
        };
        let entry = *self.missing.get(&id).unwrap_or(&new);
        let until = self.retained_until(&entry, source.evidence);
        if until <= source.at {
            self.missing.remove(&id);
            self.known.remove(&id);
            return Some(Change::Removed { id, offset });
        }
        self.missing.insert(id.clone(), entry);
        Some(Change::Retained { id, offset, until })
    }

    /// Advances the time as of which the view is complete.
    fn note_read(&mut self, read: &ReadInfo) {
        if read.is_at_end {
            self.complete_as_of = self.complete_as_of.max(Some(read.requested_at));
        }
    }

    /// Returns the time until which the target of a missing entry is retained.
    ///
    /// Two limits are safe, and the later one applies: the entry was removed after
    /// `complete_as_of`, and a host affected by an outage may use what it knew until the
    /// outage has settled. Both are counted from when a call was started. Only reads of
    /// entries prove an outage that matters here, as a call of another kind may be refused
    /// for its own reasons. Within these limits the target is retained as long as its entry
    /// may reappear: while the store is unavailable, and for a time after its recovery.
    fn retained_until(&self, entry: &MissingEntry, evidence: &Evidence) -> Instant {
        let timeouts = &self.timeouts;
        if !evidence.has_outage() {
            // The store was available throughout, so the entry cannot have expired.
            return entry.missed_at;
        }
        let drain = timeouts.drain.saturating_sub(timeouts.dispatch);
        let settle = timeouts.settle.saturating_sub(timeouts.dispatch);
        let by_entry = entry.complete_as_of.map(|at| at + drain);
        let by_outage = evidence.reads.outage_at().map(|at| at + settle);
        let safe = by_entry.max(by_outage).unwrap_or(entry.missed_at);
        match evidence.recovered_at() {
            Some(recovered_at) if entry.missed_at >= recovered_at + timeouts.reregister => {
                entry.missed_at
            }
            Some(recovered_at) => safe.min(recovered_at + timeouts.reregister),
            // The store had recovered for the host that reported it.
            None if entry.is_from_peer => safe.min(entry.missed_at + timeouts.reregister),
            None => safe,
        }
    }
}
