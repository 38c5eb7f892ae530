//! Incremental transfer of target entries between hosts.
//!
//! A host is sent the changes since its last known offset. A host without entries is sent a
//! listing in pages ordered by name, and may request each page from a different host; the
//! listing then counts as complete up to the lowest offset of any of its pages. A host that
//! is behind the retained changes is sent all entries at once, and treats entries absent
//! from them as missing.
//!
//! Two offsets of a [`TargetView`] say what a host may claim, also to others:
//!
//! - `end`: the entry of each target is that of the log as of `end` or later. It may be newer,
//!   as the pages of a listing are read one after the other while the log grows, and as changes
//!   name each target once with its newest value.
//! - `complete_from` of the index: a target is named at or after an offset from there on if a
//!   host whose entries are as of that offset may hold another entry. The index therefore
//!   depends on the records and not on what they changed here: removals of targets not held
//!   and repeated entries from a summary are indexed. Only a repeated entry in the log itself,
//!   a heartbeat, is not.
//!
//! Truncated changes name every target that may have changed before their end, even if its
//! newest change follows. Leaving such a target to the next part was rejected: the receiver may
//! get that part from a host to which the newest record is a heartbeat, since it did not miss the
//! change before.
//!
//! Paging by offset was rejected: hosts that listed the entries at different times have
//! different offsets for the same entry, so an entry could fall between two pages.

use std::convert::Infallible;

use super::Change;
use super::Evidence;
use super::ReadInfo;
use super::Record;
use super::Source;
use super::TargetView;
use crate::balancer::Spec;
use crate::balancer::TargetId;

/// The position from which a host requests entries or changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// The offset from which changes are requested; zero for a listing.
    pub from: u64,
    /// The name after which the requested page begins.
    pub after: Option<TargetId>,
}

/// Changes in an offset range, or a listing of entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// The start of the offset range.
    pub from: u64,
    /// The end of the offset range, exclusive.
    pub to: u64,
    /// The offset up to which the sender has read the log.
    pub end: u64,
    /// The page bounds, if the records are a page of a listing.
    pub page: Option<Page>,
    /// Whether the records are the complete set of entries.
    pub is_complete: bool,
    /// The records: changes ordered by offset, which may exceed the range, or entries ordered by
    /// name.
    pub records: Vec<Record<Spec>>,
}

/// The bounds of a page of entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The name after which the page begins.
    pub after: Option<TargetId>,
    /// The name after which the next page begins; `None` on the last page.
    pub next: Option<TargetId>,
}

/// A listing that is being received in pages.
#[derive(Clone, Debug, Default)]
pub(super) struct PartialListing {
    after: Option<TargetId>,
    /// The lowest offset up to which any page was complete.
    as_of: Option<u64>,
}

impl TargetView {
    /// Returns the position from which to request entries or changes.
    pub fn position(&self) -> Position {
        Position {
            from: self.end,
            after: self.partial_listing.after.clone(),
        }
    }

    /// Returns the records that another host is missing from a position on, up to `limit` where
    /// the transfer can be continued.
    pub fn since(&self, position: &Position, limit: usize) -> Difference {
        let limit = limit.max(1);
        let mut difference = Difference {
            from: position.from,
            to: self.end.max(position.from),
            end: self.end,
            ..Difference::default()
        };
        if position.from == 0 {
            return self.listing_page(position, limit).unwrap_or(difference);
        }
        if position.from >= self.end {
            return difference;
        }
        if let Some(page) = self.changes.page(position.from, limit) {
            let changes = page.changes.into_iter();
            let records = changes.map(|(offset, id)| self.record(offset, id));
            difference.records = records.collect();
            difference.to = page.to.map_or(self.end, |to| to.min(self.end));
        } else {
            difference.from = 0;
            difference.is_complete = true;
            difference.records = self.confirmed_records().collect();
        }
        difference
    }

    /// Applies records sent by another host; does nothing if earlier changes are missing.
    pub fn apply_difference(
        &mut self,
        read: &ReadInfo,
        evidence: &Evidence,
        difference: Difference,
    ) -> Vec<Change<Infallible>> {
        if let Some(page) = difference.page {
            let source = Source::summary(0, read, evidence);
            return self.apply_page(source, page, difference.end, difference.records);
        }
        let decode = |spec: &Spec| Ok(spec.clone());
        if difference.is_complete {
            let (at, end) = (read.answered_at, difference.to);
            let changes = self.apply_peer_listing(at, evidence, end, difference.records, decode);
            if self.end == end {
                self.note_read(read);
            }
            return changes;
        }
        if difference.from > self.end || difference.to < self.end || self.end == 0 {
            return Vec::new();
        }
        let known_to = self.end;
        self.advance(difference.to);
        let source = Source::summary(known_to, read, evidence);
        let mut changes = Vec::new();
        for record in difference.records {
            if record.offset >= known_to {
                changes.extend(self.apply_record(source, record, decode));
            }
        }
        if difference.to >= difference.end {
            self.note_read(read);
        }
        changes
    }

    fn apply_page(
        &mut self,
        source: Source<'_>,
        page: Page,
        end: u64,
        records: Vec<Record<Spec>>,
    ) -> Vec<Change<Infallible>> {
        if self.end > 0 || page.after != self.partial_listing.after {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for record in records {
            changes.extend(self.apply_record(source, record, |spec: &Spec| Ok(spec.clone())));
        }
        let as_of = self.partial_listing.as_of.unwrap_or(end).min(end);
        if page.next.is_some() {
            self.partial_listing = PartialListing {
                after: page.next,
                as_of: Some(as_of),
            };
        } else {
            self.partial_listing = PartialListing::default();
            self.advance(as_of);
            self.changes.skip_to(as_of);
        }
        changes
    }

    fn record(&self, offset: u64, id: &str) -> Record<Spec> {
        let known = self.known.get(id);
        let known = known.filter(|_| !self.missing.contains_key(id));
        Record {
            id: id.to_owned(),
            offset,
            value: known.map(|known| known.spec.clone()),
        }
    }

    /// Returns the records of entries that are not missing.
    fn confirmed_records(&self) -> impl Iterator<Item = Record<Spec>> {
        self.entries().map(|(id, offset, spec)| Record {
            id: id.clone(),
            offset,
            value: Some(spec.clone()),
        })
    }

    /// Returns the page of a listing at a position. While its own listing is incomplete, a host
    /// returns the entries received so far, or `None` if it has none after the position.
    fn listing_page(&self, position: &Position, limit: usize) -> Option<Difference> {
        let is_partial = self.end == 0;
        let end = match is_partial {
            true => self.partial_listing.as_of?,
            false => self.end,
        };
        let (records, next) = self.page(position.after.as_ref(), limit);
        let next = match is_partial {
            true => Some(records.last()?.id.clone()),
            false => next,
        };
        Some(Difference {
            to: end,
            end,
            page: Some(Page {
                after: position.after.clone(),
                next,
            }),
            records,
            ..Difference::default()
        })
    }

    /// Returns up to `limit` entries after a name, and the last name if more follow.
    fn page(
        &self,
        after: Option<&TargetId>,
        limit: usize,
    ) -> (Vec<Record<Spec>>, Option<TargetId>) {
        let entries = self.entries();
        let following = entries.filter(|(id, ..)| after.is_none_or(|after| *id > after));
        let mut following: Vec<(&TargetId, u64)> =
            following.map(|(id, offset, _)| (id, offset)).collect();
        let has_more = following.len() > limit;
        if has_more {
            following.select_nth_unstable(limit);
            following.truncate(limit);
        }
        following.sort_unstable();
        let next = following.last().filter(|_| has_more);
        let next = next.map(|(id, _)| (*id).clone());
        let records = following.into_iter();
        let records = records.map(|(id, offset)| self.record(offset, id));
        (records.collect(), next)
    }
}
