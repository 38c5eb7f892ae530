//! Messages by which hosts share the records of the store's log.
//!
//! A host that follows another requests the changes since its last known offset. Times are
//! sent as ages, since hosts have no common clock.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// A request for records that a host is missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// The offset that follows the newest operator record of the requester; zero for none.
    pub config: u64,
    /// The offset from which target changes are requested; zero for a listing.
    pub targets_from: u64,
    /// The name after which the requested page of the listing begins.
    pub targets_after: Option<String>,
    /// The offset from which changes of the host list are requested.
    pub hosts_from: u64,
}

/// The response to a [`ChangesRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesResponse {
    /// The configuration, if it is newer.
    pub config: Option<Config>,
    /// The evacuated data centres, if they are newer.
    pub evacuated: Option<Evacuated>,
    /// Changes of targets.
    pub targets: Targets,
    /// Changes of the host list.
    pub hosts: Hosts,
    /// The state of reading the log.
    pub reading: Reading,
}

/// The evacuated data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuated {
    /// The offset that follows the record of the last change.
    pub version: u64,
    /// The names of the data centres.
    pub data_centres: Vec<String>,
}

/// The configuration's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Its offset in the log.
    pub offset: u64,
    /// Its key.
    pub key: String,
    /// Its encoded value.
    pub value: Vec<u8>,
}

/// Changes of targets in an offset range, or a listing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Targets {
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
    /// The changes, ordered by offset, or by name in a listing.
    pub changes: Vec<TargetChange>,
}

/// The bounds of a page of target entries, ordered by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The name after which the page begins.
    pub after: Option<String>,
    /// The name after which the next page begins; `None` on the last page.
    pub next: Option<String>,
}

/// A change of a target's entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetChange {
    /// The target.
    pub id: String,
    /// The offset of the record in the log.
    pub offset: u64,
    /// The entry; `None` if it was removed.
    pub target: Option<Target>,
}

/// A target's entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service that the target provides.
    pub service: String,
    /// The data centre of the target.
    pub data_centre: String,
    /// The address of the target.
    pub addr: SocketAddr,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// The start time of the target, if known.
    pub born_unix_ms: Option<u64>,
    /// Remaining time for which the target is cold.
    pub cold_left_ms: u64,
}

/// Changes of the host list in an offset range, or all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// The start of the offset range.
    pub from: u64,
    /// The end of the offset range, exclusive.
    pub to: u64,
    /// Whether the records are the complete set of entries.
    pub is_complete: bool,
    /// Host names, record offsets and encoded entries; `None` for removed entries.
    pub changes: Vec<(String, u64, Option<Vec<u8>>)>,
}

/// The state of reading the log, as reported by its reader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// Age of the newest complete read of targets, if any.
    pub age_ms: Option<u64>,
    /// Age of the newest read of the configuration, if any.
    pub config_age_ms: Option<u64>,
    /// Outages of the store as shown by reads of targets.
    pub targets: Contact,
    /// Outages of the store as shown by all calls.
    pub calls: Contact,
}

/// The latest outage of the store, derived from the calls of one host to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Time since the outage, if there was one.
    pub away_ms_ago: Option<u64>,
    /// Time since a call was first answered after the outage; `None` before that.
    pub back_ms_ago: Option<u64>,
}

/// An announcement by the host that reads the log, forwarded along a tree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The host that reads the log.
    pub reader: String,
    /// The incarnation of the reader, different for each start.
    pub incarnation: u64,
    /// The send time by the reader's monotonic clock.
    pub sent_ms: u64,
    /// The state of reading the log.
    pub reading: Reading,
    /// One more than the offset of the reader's configuration; zero for none.
    pub config: u64,
    /// The offset up to which the reader knows the host list.
    pub hosts: u64,
    /// Changes of targets; an empty range if there are too many to send.
    pub targets: Targets,
    /// The hosts to which the receiver forwards the message.
    pub forward_to: Vec<SocketAddr>,
}

/// A checksum of the targets' entries by the host that reads the log, forwarded along a tree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetsChecksum {
    /// The host that reads the log.
    pub reader: String,
    /// The offset up to which it has read.
    pub end: u64,
    /// The checksum of its entries as of that offset.
    pub checksum: u64,
    /// The hosts to which the receiver forwards the message.
    pub forward_to: Vec<SocketAddr>,
}
