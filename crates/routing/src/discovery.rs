//! Which targets there are, as one host believes from what it reads and is told.
//!
//! Targets enter themselves in the platform's store. An entry that goes means
//! that its target leaves, and shortly afterwards nothing may reach it; but
//! entries of living targets lapse too while the store is away. [`Belief`] tells
//! the two apart by evidence that is dated by when calls were begun, not by when
//! their failure was noticed ([`Contact`], [`Evidence`]).
//!
//! ```
//! use std::time::{Duration, Instant};
//! use notchwharf_routing::discovery::{ReadInfo, TargetView, Timeouts, Change, Evidence, Record};
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
//! // No call of the store has failed, so an entry that goes is gone.
//! let gone = Record { id: "t1".into(), offset: 1, value: None };
//! let changes = view.apply_records(&ReadInfo::at_end(at(10), at(800)), &evidence, vec![gone], decode);
//! assert!(matches!(&changes[..], [Change::Removed { .. }]));
//! ```
//!
//! A fixed time after any failed call was rejected: such a call may be about
//! something else, or be evidence of a fault long past. Asking a target whether
//! it lives was rejected too: one that leaves answers as well as any.

mod availability;
mod difference;
mod record;

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use notchwharf_spread::changes::Changes;

pub use self::availability::Availability;
pub use self::availability::Evidence;
pub use self::availability::Failure;
pub use self::difference::Difference;
pub use self::difference::Page;
use self::difference::PartialListing;
pub use self::difference::Position;
pub use self::record::Change;
pub use self::record::ReadInfo;
pub use self::record::Record;
use crate::balancer::Spec;
use crate::balancer::TargetId;

/// Number of changes retained by a belief. A host that is further behind is sent all
/// entries.
const CHANGES_RETAINED: usize = 4_096;

/// Times on which a belief depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Time after the store's acknowledgement that an entry is gone within
    /// which requests may still reach its target. 2 s by default, from the
    /// platform's settings.
    pub drain: Duration,
    /// Time after a fault of the store, or of the way there, within which a
    /// request may reach a target that is gone. 3 s by default, from the
    /// platform's settings.
    pub settle: Duration,
    /// Time after the store's return within which the entries of living targets
    /// are back and known here: the platform names about two seconds, and news
    /// waits for 0.3 s between two readings. 2.35 s by default.
    pub reregister: Duration,
    /// The longest time from the choice of a target to the moment at which the
    /// request reaches it. 400 ms by default: 250 to connect, 50 between two
    /// looks at overdue entries, 100 for a processor that must wait its turn.
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

/// An entry that is missing and may only have lapsed.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    /// When it was missed.
    missed: Instant,
    /// Whether another host said so, which then reached the store.
    is_from_peer: bool,
    /// The time before which the store had not acknowledged that it is gone.
    complete_as_of: Option<Instant>,
}

/// A target's newest entry.
#[derive(Clone, Debug)]
struct Known {
    /// The offset of the newest record.
    offset: u64,
    spec: Spec,
}

/// Which targets there are.
///
/// All changes of one reading are made in one call, so what [`Belief::entries`]
/// and [`Belief::end`] tell others belongs together.
#[derive(Clone, Debug)]
pub struct TargetView {
    timeouts: Timeouts,
    /// When the newest complete reading was asked for: the store had
    /// acknowledged nothing before that is not known.
    complete_as_of: Option<Instant>,
    known: HashMap<TargetId, Known>,
    doubts: HashMap<TargetId, Doubt>,
    changes: Changes<TargetId>,
    end: u64,
    /// A listing that is being received from other hosts in pages.
    partial_listing: PartialListing,
}

/// Where records came from, for the judgement of those that are missing.
#[derive(Clone, Copy, Debug)]
struct Source<'a> {
    at: Instant,
    is_from_peer: bool,
    evidence: &'a Evidence,
}

impl<'a> Source<'a> {
    /// Returns what a reading of this host is.
    fn reading(read: &ReadInfo, evidence: &'a Evidence) -> Self {
        Self {
            at: read.answered_at,
            is_from_peer: false,
            evidence,
        }
    }
}

impl TargetView {
    /// Returns a belief without targets.
    pub fn new(timeouts: Timeouts) -> Self {
        Self {
            timeouts,
            complete_as_of: None,
            known: HashMap::new(),
            doubts: HashMap::new(),
            changes: Changes::new(CHANGES_RETAINED),
            end: 0,
            partial_listing: PartialListing::default(),
        }
    }

    /// Returns the offset that follows the newest record taken in.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Returns the time before which the store had acknowledged nothing that is
    /// not known: when the newest complete reading was asked for.
    pub fn complete_as_of(&self) -> Option<Instant> {
        self.complete_as_of
    }

    /// Returns the entries for another host. Those that are missing are left
    /// out: whoever takes this over must not keep them longer than this host.
    pub fn entries(&self) -> impl Iterator<Item = (&TargetId, u64, &Spec)> {
        let known = self.known.iter();
        let sure = known.filter(|(id, _)| !self.doubts.contains_key(*id));
        sure.map(|(id, known)| (id, known.offset, &known.spec))
    }

    /// Returns the offset that follows the newest effective change.
    pub fn changes_end(&self) -> u64 {
        self.changes.end()
    }

    /// Takes in a listing of all entries as of an offset. Pages of a listing are
    /// read one after the other, so some entries may be newer than it.
    pub fn apply_listing<V, E>(
        &mut self,
        read: &ReadInfo,
        evidence: &Evidence,
        end: u64,
        records: Vec<Record<V>>,
        decode: impl Fn(&V) -> Result<Spec, E>,
    ) -> Vec<Change<E>> {
        let source = Source::reading(read, evidence);
        let is_new = end >= self.end;
        let changes = self.take_all(source, end, records, decode);
        if is_new {
            self.changes.skip_to(end);
        }
        self.advance(read);
        changes
    }

    /// Takes in records that follow those before.
    pub fn apply_records<V, E>(
        &mut self,
        read: &ReadInfo,
        evidence: &Evidence,
        records: Vec<Record<V>>,
        decode: impl Fn(&V) -> Result<Spec, E>,
    ) -> Vec<Change<E>> {
        let source = Source::reading(read, evidence);
        let mut changes = Vec::new();
        for record in records {
            if record.offset < self.end {
                continue;
            }
            self.end = record.offset + 1;
            changes.extend(self.take(source, record, &decode));
        }
        self.advance(read);
        changes
    }

    /// Takes in what another host lists; nothing if it knows no more than this
    /// one.
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
            evidence,
        };
        let changes = self.take_all(source, end, records, decode);
        self.changes.skip_to(end);
        changes
    }

    /// Returns whether any entry is missing that may only have lapsed.
    pub fn has_missing_entries(&self) -> bool {
        !self.doubts.is_empty()
    }

    /// Takes out the targets whose entries have not come back in time.
    pub fn expire(&mut self, now: Instant, evidence: &Evidence) -> Vec<TargetId> {
        let due = self.doubts.iter();
        let due = due.filter(|(_, doubt)| now >= self.until(doubt, evidence));
        let due: Vec<TargetId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.doubts.remove(id);
            self.known.remove(id);
        }
        due
    }

    fn take_all<V, E>(
        &mut self,
        source: Source<'_>,
        end: u64,
        records: Vec<Record<V>>,
        decode: impl Fn(&V) -> Result<Spec, E>,
    ) -> Vec<Change<E>> {
        if end < self.end {
            return Vec::new();
        }
        self.end = end;
        self.partial_listing = PartialListing::default();
        let missing = {
            let listed: HashSet<&TargetId> = records.iter().map(|r| &r.id).collect();
            // An entry that is newer than the listing is not missing from it.
            let older = self.known.iter().filter(|(_, known)| known.offset < end);
            let missing = older.filter(|(id, _)| !listed.contains(id));
            let missing: Vec<TargetId> = missing.map(|(id, _)| id.clone()).collect();
            missing
        };
        let mut records = records;
        records.sort_by_key(|record| record.offset);
        let mut changes = Vec::new();
        for record in records {
            changes.extend(self.take(source, record, &decode));
        }
        for id in missing {
            changes.extend(self.miss(source, id, end));
        }
        changes
    }

    fn take<V, E>(
        &mut self,
        source: Source<'_>,
        record: Record<V>,
        decode: impl Fn(&V) -> Result<Spec, E>,
    ) -> Option<Change<E>> {
        let Record { id, offset, value } = record;
        if self.known.get(&id).is_some_and(|k| k.offset > offset) {
            return None;
        }
        let Some(value) = value else {
            return self.miss(source, id, offset);
        };
        match decode(&value) {
            Ok(spec) => self.put(id, offset, spec),
            Err(error) => {
                self.doubts.remove(&id);
                if self.known.remove(&id).is_some() {
                    self.changes.push(offset, id.clone());
                }
                Some(Change::Unreadable { id, offset, error })
            }
        }
    }

    /// Stores an entry; returns `None` if it repeats what is known.
    fn put<E>(&mut self, id: TargetId, offset: u64, spec: Spec) -> Option<Change<E>> {
        let was_missing = self.doubts.remove(&id).is_some();
        if let Some(known) = self.known.get_mut(&id) {
            known.offset = offset;
            if known.spec == spec && !was_missing {
                return None;
            }
            known.spec = spec.clone();
        } else {
            let known = Known {
                offset,
                spec: spec.clone(),
            };
            self.known.insert(id.clone(), known);
        }
        self.changes.push(offset, id.clone());
        Some(Change::Put { id, offset, spec })
    }

    /// Judges an entry that is missing.
    fn miss<E>(&mut self, source: Source<'_>, id: TargetId, offset: u64) -> Option<Change<E>> {
        if !self.known.contains_key(&id) {
            return None;
        }
        let fresh = Doubt {
            missed: source.at,
            is_from_peer: source.is_from_peer,
            complete_as_of: self.complete_as_of,
        };
        let existing = self.doubts.get(&id);
        let is_new_doubt = existing.is_none();
        let doubt = *existing.unwrap_or(&fresh);
        if is_new_doubt {
            let offset = offset.min(self.end.saturating_sub(1));
            self.changes.push(offset, id.clone());
        }
        let until = self.until(&doubt, source.evidence);
        if until <= source.at {
            self.doubts.remove(&id);
            self.known.remove(&id);
            return Some(Change::Removed { id, offset });
        }
        self.doubts.insert(id.clone(), doubt);
        Some(Change::Retained { id, offset, until })
    }

    fn advance(&mut self, read: &ReadInfo) {
        if read.is_at_end {
            self.complete_as_of = self.complete_as_of.max(Some(read.requested_at));
        }
    }

    /// Returns until when a target stays whose entry is missing.
    ///
    /// Two times are safe, and the later one holds: the entry went after
    /// `none_before`, and a host that met a fault may go by what it knew until
    /// that has settled. Both are counted from when a call was begun. Only
    /// readings of entries prove a fault that matters here: a call of another
    /// kind may be refused for a reason of its own. Within them the target stays
    /// as long as its entry may yet come back: for some time from the store's
    /// return, and all the while it is away.
    fn until(&self, doubt: &Doubt, evidence: &Evidence) -> Instant {
        let timeouts = &self.timeouts;
        if !evidence.is_any_fault() {
            // The store served all the while: the entry cannot have lapsed.
            return doubt.missed;
        }
        let drain = timeouts.drain.saturating_sub(timeouts.dispatch);
        let settle = timeouts.settle.saturating_sub(timeouts.dispatch);
        let by_entry = doubt.complete_as_of.map(|at| at + drain);
        let by_fault = evidence.reads.outage_at().map(|at| at + settle);
        let safe = by_entry.max(by_fault).unwrap_or(doubt.missed);
        match evidence.recovered_at() {
            Some(back) if doubt.missed >= back + timeouts.reregister => doubt.missed,
            Some(back) => safe.min(back + timeouts.reregister),
            // Whoever told it had the store back by then.
            None if doubt.is_from_peer => safe.min(doubt.missed + timeouts.reregister),
            None => safe,
        }
    }
}
