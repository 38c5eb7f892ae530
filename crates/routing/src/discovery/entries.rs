//! The entries of a view, with a checksum by which hosts detect that their views differ.
//!
//! The checksum combines the hashes of all entries by exclusive or, so it is updated with each
//! change. Hashing all entries on request was rejected: hosts compare every few seconds, and most
//! entries do not change in between.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use super::TargetEntry;
use crate::balancer::Spec;
use crate::balancer::TargetId;
use crate::balancer::TargetVersion;

/// The newest entries by target.
#[derive(Clone, Debug, Default)]
pub(super) struct Entries {
    entries: HashMap<TargetId, TargetEntry>,
    checksum: u64,
}

impl Entries {
    pub(super) fn get(&self, id: &str) -> Option<&TargetEntry> {
        self.entries.get(id)
    }

    pub(super) fn contains(&self, id: &str) -> bool {
        self.entries.contains_key(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&TargetId, &TargetEntry)> {
        self.entries.iter()
    }

    /// Stores an entry; returns whether its description is the same as before. That of most
    /// heartbeats is, so the checksum is left as it is then.
    pub(super) fn insert(&mut self, id: &TargetId, entry: TargetEntry) -> bool {
        let Some(known) = self.entries.get_mut(id) else {
            self.checksum ^= hash(id, &entry.spec);
            self.entries.insert(id.clone(), entry);
            return false;
        };
        let is_same = known.spec == entry.spec;
        if !is_same {
            self.checksum ^= hash(id, &known.spec) ^ hash(id, &entry.spec);
        }
        *known = entry;
        is_same
    }

    /// Sets the version of a target that is not known, unless the target has started again.
    /// Returns its entry if that changes it. The checksum does not depend on versions.
    pub(super) fn set_version(
        &mut self,
        id: &str,
        started_unix_ms: Option<u64>,
        version: TargetVersion,
    ) -> Option<&TargetEntry> {
        let entry = self.entries.get_mut(id)?;
        if entry.spec.version.is_some() || entry.spec.started_unix_ms != started_unix_ms {
            return None;
        }
        entry.spec.version = Some(version);
        Some(entry)
    }

    /// Records that a start of a target leaves. Returns the target's entry if that changes it.
    pub(super) fn set_leaving(
        &mut self,
        id: &str,
        started_unix_ms: Option<u64>,
    ) -> Option<&TargetEntry> {
        let entry = self.entries.get_mut(id)?;
        if entry.spec.is_leaving || entry.spec.started_unix_ms != started_unix_ms {
            return None;
        }
        self.checksum ^= hash(id, &entry.spec);
        entry.spec.is_leaving = true;
        self.checksum ^= hash(id, &entry.spec);
        Some(entry)
    }

    /// Removes an entry.
    pub(super) fn remove(&mut self, id: &str) {
        if let Some(entry) = self.entries.remove(id) {
            self.checksum ^= hash(id, &entry.spec);
        }
    }

    /// Returns the checksum of all entries, the same on all hosts and in all versions.
    pub(super) fn checksum(&self) -> u64 {
        self.checksum
    }
}

/// Returns the hash of an entry. How long its target is cold is left out, as that decreases, and
/// so is its version, which hosts of earlier builds don't know.
fn hash(id: &str, spec: &Spec) -> u64 {
    let addr = spec.addr.to_string();
    let mut bytes = Vec::new();
    for part in [id, &spec.service, &spec.data_centre, &addr] {
        // The length prefix keeps the boundaries between parts unambiguous.
        bytes.extend((part.len() as u64).to_be_bytes());
        bytes.extend(part.as_bytes());
    }
    bytes.extend(spec.slots.to_be_bytes());
    bytes.push(spec.is_leaving.into());
    bytes.push(spec.started_unix_ms.is_some().into());
    bytes.extend(spec.started_unix_ms.unwrap_or_default().to_be_bytes());
    xxh3_64(&bytes)
}
