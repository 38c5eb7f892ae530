//! Messages by which hosts share the records of the store's log.
//!
//! A host that follows another requests the changes since its last known offset. Times are
//! sent as ages, since hosts have no common clock.
//!
//! Hosts of earlier builds don't know the versions of targets, and the encoding doesn't tell
//! fields apart. The versions therefore follow a message, and such hosts ignore them. A message
//! from such a host has none, and then the versions are unknown.
//!
//! ```
//! use notchwharf_proto::records::{ChangesResponse, Target, TargetChange, decode_changes, encode_changes};
//!
//! let mut response = ChangesResponse::default();
//! response.targets.changes.push(TargetChange {
//!     id: "t1".into(),
//!     offset: 3,
//!     target: Some(Target {
//!         service: "s".into(),
//!         data_centre: "d".into(),
//!         addr: ([127, 0, 0, 1], 80).into(),
//!         slots: 2,
//!         leaving: false,
//!         born_unix_ms: None,
//!         cold_left_ms: 0,
//!         version: Some("v1".into()),
//!     }),
//! });
//! assert_eq!(decode_changes(&encode_changes(&response)), Some(response));
//! ```

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
    /// The version of the target's software, if known. It is encoded after the message.
    #[serde(skip)]
    pub version: Option<String>,
}

impl Targets {
    /// Returns the versions of the changed targets, in the order of the changes.
    pub(crate) fn versions(&self) -> Vec<Option<&str>> {
        let targets = self.changes.iter().map(|change| change.target.as_ref());
        let versions = targets.map(|target| target.and_then(|t| t.version.as_deref()));
        versions.collect()
    }

    /// Sets the versions of the changed targets, unless `bytes` are not their versions.
    pub(crate) fn decode_versions(&mut self, bytes: &[u8]) {
        let Ok(versions) = postcard::from_bytes::<Vec<Option<String>>>(bytes) else {
            return;
        };
        if versions.len() != self.changes.len() {
            return;
        }
        for (change, version) in self.changes.iter_mut().zip(versions) {
            if let Some(target) = &mut change.target {
                target.version = version;
            }
        }
    }
}

/// A start of a target, of which the version is requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStart {
    /// The target.
    pub id: String,
    /// Its start time, if known.
    pub born_unix_ms: Option<u64>,
}

/// Encodes a response, followed by the versions of its targets.
///
/// # Panics
///
/// Never: postcard can represent every value of the types.
pub fn encode_changes(response: &ChangesResponse) -> Vec<u8> {
    let bytes = postcard::to_stdvec(response).expect("Responses are always representable.");
    let versions = response.targets.versions();
    postcard::to_extend(&versions, bytes).expect("Versions are always representable.")
}

/// Decodes a response; returns `None` if the bytes are not one.
pub fn decode_changes(bytes: &[u8]) -> Option<ChangesResponse> {
    let (mut response, rest) = postcard::take_from_bytes::<ChangesResponse>(bytes).ok()?;
    response.targets.decode_versions(rest);
    Some(response)
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
