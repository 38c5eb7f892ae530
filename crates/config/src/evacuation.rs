//! Which data centres are evacuated, according to the records of the configuration topic.
//!
//! ```
//! use notchwharf_config::evacuation::{Evacuated, Record};
//!
//! let mut evacuated = Evacuated::default();
//! let record = Record { data_centre: "d".into(), offset: 4, is_evacuated: true };
//! assert!(evacuated.apply(None, &[record]));
//! assert_eq!(evacuated.version, 5);
//! ```

use std::collections::BTreeSet;

use crate::DataCentreId;

/// A record that starts or ends an evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The offset of the record.
    pub offset: u64,
    /// Whether the evacuation starts.
    pub is_evacuated: bool,
}

/// The evacuated data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuated {
    /// The offset that follows the record of the last change.
    pub version: u64,
    /// The data centres.
    pub data_centres: BTreeSet<DataCentreId>,
}

impl Evacuated {
    /// Applies records; returns whether the data centres have changed. `listing_end` is the end
    /// offset of a complete listing, which replaces the known state, or `None` for incremental
    /// records.
    ///
    /// A topic may be read twice at a time, so records and listings older than the known state
    /// may arrive late.
    pub fn apply(&mut self, listing_end: Option<u64>, records: &[Record]) -> bool {
        let known_to = self.version;
        if listing_end.is_some_and(|end| end < known_to) {
            return false;
        }
        let previous = self.data_centres.clone();
        if listing_end.is_some() {
            self.data_centres.clear();
        }
        let is_new = |record: &&Record| listing_end.is_some() || record.offset >= known_to;
        for record in records.iter().filter(is_new) {
            match record.is_evacuated {
                true => self.data_centres.insert(record.data_centre.clone()),
                false => self.data_centres.remove(&record.data_centre),
            };
            self.version = self.version.max(record.offset + 1);
        }
        let is_changed = self.data_centres != previous;
        if is_changed {
            // A listing does not include the offsets of deleted records.
            self.version = self.version.max(listing_end.unwrap_or_default());
        }
        is_changed
    }

    /// Replaces the state by another host's if that is newer; returns whether the data centres
    /// have changed.
    pub fn replace(&mut self, other: Self) -> bool {
        if other.version <= self.version {
            return false;
        }
        let is_changed = self.data_centres != other.data_centres;
        *self = other;
        is_changed
    }
}
