//! The fold over the fleet's stream: which host holds which target.
//!
//! Targets are many and hosts are few, so a lease on a target rests on its
//! holder's session: one renewal a host keeps all its targets. The offset of
//! the claim is the target's epoch and the fencing number on orders to it.
//!
//! ```
//! use notchwharf_ledger::fleet::{Entry, Fleet, Record};
//! use notchwharf_ledger::record::RecordId;
//!
//! let id = RecordId { host: "a1".into(), incarnation: 1, seq: 1 };
//! let entries = vec![Entry::Claim { target: "t1".into(), seen: None }];
//! let mut fleet = Fleet::default();
//! fleet.apply(9, &Record { id, entries });
//! assert_eq!(fleet.lease("t1").unwrap().epoch, 9);
//! ```

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Ignored;
use crate::record::Epoch;
use crate::record::HostId;
use crate::record::Incarnation;
use crate::record::Offset;
use crate::record::RecordId;
use crate::record::TargetId;
use crate::shard::Outcome;

/// One append to the fleet's stream; any record renews its writer's session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What makes the append idempotent.
    pub id: RecordId,
    /// What it says beyond that its writer is alive.
    pub entries: Vec<Entry>,
}

/// One statement in a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The writer wants a target.
    Claim {
        /// The target.
        target: TargetId,
        /// The lease that the claim would end, if the target is held.
        seen: Option<ObservedLease>,
    },
    /// The writer gives a target back.
    Release {
        /// The target.
        target: TargetId,
    },
    /// The writer repeats a lease, for readers that begin after its claim.
    Keep {
        /// The target.
        target: TargetId,
        /// The epoch of the claim.
        epoch: Epoch,
    },
    /// The writer leaves.
    End,
}

/// What a claimer had seen of the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedLease {
    /// The epoch that the claim would end.
    pub epoch: Epoch,
    /// The holder's newest record.
    pub last: Offset,
}

/// A host's session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The offset of its newest record.
    pub last_offset: Offset,
    /// The sequence number of its newest record.
    pub last_seq: u64,
    /// Whether the host has left.
    pub has_ended: bool,
}

/// The lease on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The host that holds it.
    pub holder: HostId,
    /// That host's incarnation.
    pub incarnation: Incarnation,
    /// The offset of the claim.
    pub epoch: Epoch,
}

/// The state folded from the fleet's stream.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    next: Offset,
    sessions: HashMap<HostId, Session>,
    leases: HashMap<TargetId, Lease>,
}

impl Fleet {
    /// Returns the offset that follows the newest record folded.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the lease on a target.
    pub fn lease(&self, target: &str) -> Option<&Lease> {
        self.leases.get(target)
    }

    /// Returns all leases.
    pub fn leases(&self) -> &HashMap<TargetId, Lease> {
        &self.leases
    }

    /// Returns the session of a host.
    pub fn session(&self, host: &str) -> Option<&Session> {
        self.sessions.get(host)
    }

    /// Returns what a claim on a target must name, and whether the holder's
    /// session is over so that nothing needs to be waited for.
    pub fn observed_lease(&self, target: &str) -> (Option<ObservedLease>, bool) {
        let Some(lease) = self.leases.get(target) else {
            return (None, true);
        };
        let session = self.sessions.get(&lease.holder);
        let last = session.map_or(lease.epoch, |s| s.last_offset);
        let over = session.is_none_or(|s| s.has_ended || s.incarnation != lease.incarnation);
        let epoch = lease.epoch;
        (Some(ObservedLease { epoch, last }), over)
    }

    /// Folds a record in and returns what became of each entry.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Vec<Outcome> {
        if offset < self.next {
            return Vec::new();
        }
        self.next = offset + 1;
        if let Err(ignored) = self.renew(offset, &record.id) {
            return vec![Err(ignored); record.entries.len()];
        }
        record
            .entries
            .iter()
            .map(|entry| self.apply_entry(offset, &record.id, entry))
            .collect()
    }

    fn renew(&mut self, offset: Offset, id: &RecordId) -> Outcome {
        if let Some(session) = self.sessions.get(&id.host) {
            if id.incarnation < session.incarnation {
                return Err(Ignored::Fenced);
            }
            if id.incarnation == session.incarnation && id.seq <= session.last_seq {
                return Err(Ignored::Copy);
            }
        }
        let session = Session {
            incarnation: id.incarnation,
            last_offset: offset,
            last_seq: id.seq,
            has_ended: false,
        };
        self.sessions.insert(id.host.clone(), session);
        Ok(())
    }

    fn apply_entry(&mut self, offset: Offset, id: &RecordId, entry: &Entry) -> Outcome {
        match entry {
            Entry::Claim { target, seen } => self.claim(offset, id, target, *seen),
            Entry::Release { target } => self.release(id, target),
            Entry::Keep { target, epoch } => self.keep(id, target, *epoch),
            Entry::End => {
                self.end(id);
                Ok(())
            }
        }
    }

    fn claim(
        &mut self,
        offset: Offset,
        id: &RecordId,
        target: &str,
        seen: Option<ObservedLease>,
    ) -> Outcome {
        let (current, over) = self.observed_lease(target);
        if current.map(|s| s.epoch) != seen.map(|s| s.epoch) {
            return Err(Ignored::StaleClaim);
        }
        if let (Some(current), Some(seen), false) = (current, seen, over)
            && current.last > seen.last
        {
            return Err(Ignored::HolderAlive);
        }
        self.grant(id, target, offset);
        Ok(())
    }

    fn release(&mut self, id: &RecordId, target: &str) -> Outcome {
        let lease = self.leases.get(target).ok_or(Ignored::Unknown)?;
        if lease.holder != id.host || lease.incarnation != id.incarnation {
            return Err(Ignored::Fenced);
        }
        self.leases.remove(target);
        Ok(())
    }

    fn keep(&mut self, id: &RecordId, target: &str, epoch: Epoch) -> Outcome {
        // A reader that began in the middle of the stream may have taken an
        // older holder for the present one.
        if self.leases.get(target).is_some_and(|l| l.epoch >= epoch) {
            return Ok(());
        }
        self.grant(id, target, epoch);
        Ok(())
    }

    fn end(&mut self, id: &RecordId) {
        self.leases.retain(|_, lease| lease.holder != id.host);
        if let Some(session) = self.sessions.get_mut(&id.host) {
            session.has_ended = true;
        }
    }

    fn grant(&mut self, id: &RecordId, target: &str, epoch: Epoch) {
        let lease = Lease {
            holder: id.host.clone(),
            incarnation: id.incarnation,
            epoch,
        };
        self.leases.insert(target.into(), lease);
    }
}
