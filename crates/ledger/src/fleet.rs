//! Fold over the fleet's stream, which determines the host that holds each target.
//!
//! There are many more targets than hosts, so a lease on a target is tied to its holder's
//! session: a host renews all its leases with one record. The offset of the claim is the
//! lease's epoch and the fencing token of orders to the target.
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

/// One append to the fleet's stream; every record renews its writer's session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The unique identifier, which makes the append idempotent.
    pub id: RecordId,
    /// The entries, in the order in which they are applied; may be empty.
    pub entries: Vec<Entry>,
}

/// One operation in a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The writer requests the lease on a target.
    Claim {
        /// The target.
        target: TargetId,
        /// The lease that the claim would end; `None` if there is none.
        seen: Option<ObservedLease>,
    },
    /// The writer releases a target.
    Release {
        /// The target.
        target: TargetId,
    },
    /// The writer repeats one of its leases, for readers that start after its claim.
    Keep {
        /// The target.
        target: TargetId,
        /// The epoch of the claim.
        epoch: Epoch,
    },
    /// The writer leaves the fleet and releases all its targets.
    End,
}

/// A lease as last read by the host that claims its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedLease {
    /// The lease's epoch.
    pub epoch: Epoch,
    /// The offset of the holder's newest record.
    pub last: Offset,
}

/// A host's session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// The offset of the host's newest record.
    pub last_offset: Offset,
    /// The sequence number of the host's newest record.
    pub last_seq: u64,
    /// Whether the host has left the fleet.
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
    next_offset: Offset,
    sessions: HashMap<HostId, Session>,
    leases: HashMap<TargetId, Lease>,
}

impl Fleet {
    /// Returns the offset that follows the newest applied record.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
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

    /// Returns the lease on a target, as a claim must state it, and whether the target can be
    /// claimed immediately because there is no lease or its holder's session has ended.
    pub fn observed_lease(&self, target: &str) -> (Option<ObservedLease>, bool) {
        let Some(lease) = self.leases.get(target) else {
            return (None, true);
        };
        let session = self.sessions.get(&lease.holder);
        let last = session.map_or(lease.epoch, |s| s.last_offset);
        let is_over = session.is_none_or(|s| s.has_ended || s.incarnation != lease.incarnation);
        let epoch = lease.epoch;
        (Some(ObservedLease { epoch, last }), is_over)
    }

    /// Applies a record and returns the outcome of each entry. A record at an offset that was
    /// already applied returns an empty list.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Vec<Outcome> {
        if offset < self.next_offset {
            return Vec::new();
        }
        self.next_offset = offset + 1;
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
            Entry::Keep { target, epoch } => self.confirm(id, target, *epoch),
            Entry::End => {
                self.end_session(id);
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
        let (current, is_over) = self.observed_lease(target);
        if current.map(|o| o.epoch) != seen.map(|o| o.epoch) {
            return Err(Ignored::StaleClaim);
        }
        if let (Some(current), Some(seen), false) = (current, seen, is_over)
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

    fn confirm(&mut self, id: &RecordId, target: &str, epoch: Epoch) -> Outcome {
        // A reader that started in the middle of the stream may still have an older lease;
        // the newer epoch replaces it.
        if self.leases.get(target).is_some_and(|l| l.epoch >= epoch) {
            return Ok(());
        }
        self.grant(id, target, epoch);
        Ok(())
    }

    fn end_session(&mut self, id: &RecordId) {
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
