//! Messages that hosts sharing all targets send one another over UDP.
//!
//! A status carries the sender's complete state rather than a difference, so a lost datagram
//! does no harm, and an outdated one is recognized by its sequence number.
//!
//! ```
//! use notchwharf_proto::messages::{decode, encode, PeerMessage, Status};
//!
//! let message = PeerMessage::Status(Status { host: "a1".into(), ..Status::default() });
//! assert_eq!(decode(&encode(&message)), Some(message));
//! assert_eq!(decode(b"?"), None);
//! ```

use notchwharf_quota::HostKey;
use notchwharf_quota::Message;
use serde::Deserialize;
use serde::Serialize;

use crate::records::Announcement;
use crate::records::TargetsChecksum;

/// Maximum payload of a datagram that is split by size; fits a single packet on every link.
const PAYLOAD_BYTES_MAX: usize = 1_200;

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The state of the sender and the load it places on targets.
    Status(Status),
    /// Asks the receiver to preempt a batch item.
    #[serde(rename = "Cut")]
    Preemption(Preemption),
    /// Statuses of hosts in other data centres, relayed by a host that received them.
    PassedOn(Vec<Status>),
    /// The total load of the hosts of another cell.
    Cell(CellStatus),
    /// Requests that are suspected of crashing targets.
    Suspects(Suspects),
    /// A message about rate limits of workspaces.
    Limits(QuotaMessage),
    /// Transfers a free slot to a request that waits at the receiver.
    #[serde(rename = "Hand")]
    SlotTransfer(SlotTransfer),
    /// Records that a host has read from the store's log.
    Announcement(Announcement),
    /// A checksum by which hosts detect that their targets differ from the reader's. Hosts of
    /// earlier versions count it as unreadable.
    TargetsChecksum(TargetsChecksum),
    /// Origins of streams that the sender forwards. Hosts of earlier versions count it as
    /// unreadable.
    StreamOrigins(Vec<StreamOrigin>),
    /// Parts of prompts that are suspected of crashing targets. Hosts of earlier versions count
    /// it as unreadable.
    SuspectParts(SuspectParts),
}

/// The parts of prompts that a host suspects of crashing targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectParts {
    /// The host.
    pub host: String,
    /// Some or all of the parts that it suspects.
    pub parts: Vec<SuspectPart>,
}

/// A part of a prompt that is suspected of crashing targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectPart {
    /// The part's id.
    pub part: u128,
    /// Time since an answer last cleared it of suspicion.
    pub cleared_age_ms: Option<u64>,
    /// The crashes since then.
    pub crashes: Vec<PartCrash>,
}

/// A crash of a target that was running a request with the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// Identifies the incarnation of the target that crashed.
    pub incarnation: u64,
    /// Identifies the request.
    pub request: u64,
    /// Time for which the request had run there.
    pub run_time_ms: u64,
    /// Whether the target had begun to answer it.
    pub has_begun: bool,
    /// Time since the crash was detected.
    pub age_ms: u64,
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The hash of the request that brought its first event.
    pub stream: u128,
    /// The service.
    pub service: String,
    /// The version of the target's software.
    pub version: String,
    /// Time for which the receiver keeps the record.
    pub keep_ms: u64,
}

/// What a host has recorded of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginAnswer {
    /// Nothing.
    Unknown,
    /// Its origin.
    Known {
        /// The service.
        service: String,
        /// The version of the target's software.
        version: String,
        /// Time since the host first recorded it.
        age_ms: u64,
    },
    /// Records that disagree.
    Conflicting,
}

/// Transfers a free slot of a target to a request that waits at the receiver.
///
/// Sent only to the host that receives the slot; the other hosts are informed by
/// [`Contention::handed`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotTransfer {
    /// The hash of the target's name.
    pub target: u32,
}

/// A message of a host about rate limits of workspaces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaMessage {
    /// The hash of the host's name.
    pub host: HostKey,
    /// The message.
    pub message: Message,
}

/// The requests that a host suspects of crashing targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    /// The host.
    pub host: String,
    /// Some or all of the requests that it suspects.
    pub suspects: Vec<Suspect>,
}

/// A request that is suspected of crashing targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The fingerprint of its content.
    pub fingerprint: u128,
    /// The number of times that the request was cleared of suspicion.
    pub clearances: u32,
    /// The crashes since the last clearance.
    pub crashes: Vec<Crash>,
    /// Time since the host started to run the request, if it runs it.
    pub runs_since_ms: Option<u64>,
}

/// A crash of a target that was running a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Identifies the incarnation of the target that crashed.
    pub life: u64,
    /// Time for which the request had run there.
    pub ran_ms: u64,
    /// Time since the crash was detected.
    pub age_ms: u64,
}

/// The state of a cell, which is a group of hosts that share targets, as sent by one of its
/// hosts to a host of another cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellStatus {
    /// The host.
    pub host: String,
    /// The data centre of the host.
    pub data_centre: String,
    /// Whether the host can reach the store.
    pub store_up: bool,
    /// The version of its configuration; higher is newer.
    pub config: u64,
    /// The version of its target list; higher is newer.
    pub targets: u64,
    /// The offset up to which it knows the job records.
    pub jobs: u64,
    /// The load of all hosts of its cell, as far as it knows.
    pub loads: Vec<Load>,
}

/// The state of a host and the load it places on targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host.
    pub host: String,
    /// The incarnation of the host. Increases with each start unless the clock was set back
    /// in between.
    pub incarnation: u64,
    /// The sequence number of the status within the incarnation.
    pub number: u64,
    /// Whether the host is leaving and others may run its items.
    pub leaving: bool,
    /// Whether the host can reach the store.
    pub store_up: bool,
    /// The version of its configuration; higher is newer.
    pub config: u64,
    /// The version of its target list; higher is newer.
    pub targets: u64,
    /// The offset up to which it knows the job records.
    pub jobs: u64,
    /// The load that it places on targets.
    pub loads: Vec<Load>,
    /// Its items that wait for a slot, ordered by due time.
    pub waiting: Vec<WaitingItems>,
    /// The hashes of the names of targets that fail its requests.
    pub failing: Vec<u32>,
}

/// The load that a host places on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The hash of the target's name.
    pub target: u32,
    /// The number of online requests.
    pub online: u32,
    /// The number of batch items.
    pub batch: u32,
}

/// Batch items that wait at a host and have the same due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingItems {
    /// The due time by the clock of the host that accepted their job.
    pub due_unix_ms: u64,
    /// The number of items.
    pub items: u32,
}

/// Online requests that wait at a host, and the slots that workspaces use there. Appended to
/// a [`Status`] while any request waits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contention {
    /// The first requests of the host's wait queues.
    pub waiting: Vec<WaitingRequest>,
    /// Slots used by workspaces there; only the workspaces with the most slots.
    pub held: Vec<HeldSlots>,
    /// The hashes of the names of targets of which the host has recently transferred slots
    /// to requests at other hosts.
    pub handed: Vec<u32>,
}

/// An online request that waits at a host: the form on the wire of
/// `notchwharf_waiting::RequestSummary`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingRequest {
    /// The hash of its service's name.
    pub service: u32,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// The overuse level of its workspace: how far it exceeds its fair share of the slots.
    pub level: u8,
    /// Time for which it has waited.
    pub age_ms: u64,
}

/// Slots of targets in use by the requests that a host runs for a workspace.
///
/// The form on the wire of `notchwharf_waiting::WorkspaceUsage`. Unrelated to the holder slots
/// of rate limits in [`QuotaMessage`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlots {
    /// The hash of the workspace's name.
    pub workspace: u32,
    /// The weight of the workspace's fair share relative to other workspaces, in thousandths.
    pub weight_milli: u64,
    /// The number of slots.
    pub places: u32,
}

/// Asks the receiver to preempt one of its batch items at a target, since an online request
/// needs the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Preemption {
    /// The hash of the target's name.
    pub target: u32,
}

/// Encodes a message as a datagram. The versions of the targets follow an announcement.
///
/// # Panics
///
/// Never: postcard can represent every value of the type.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    let bytes = postcard::to_stdvec(message).expect("Messages are always representable.");
    let PeerMessage::Announcement(announcement) = message else {
        return bytes;
    };
    let versions = announcement.targets.versions();
    postcard::to_extend(&versions, bytes).expect("Versions are always representable.")
}

/// Encodes a status, followed by the contention at the host if there is any. Hosts of earlier
/// versions ignore bytes that follow the status.
///
/// # Panics
///
/// Never: postcard can represent every value of the types.
pub fn encode_with_contention(status: Status, contention: Option<&Contention>) -> Vec<u8> {
    let bytes = encode(&PeerMessage::Status(status));
    let Some(contention) = contention else {
        return bytes;
    };
    postcard::to_extend(contention, bytes).expect("Contention is always representable.")
}

/// Splits values into groups that each fit a datagram, given the encoded size of each value.
pub fn split_by_size<T>(
    values: impl Iterator<Item = T>,
    len_of: impl Fn(&T) -> usize,
) -> Vec<Vec<T>> {
    let mut groups: Vec<Vec<T>> = Vec::new();
    let mut bytes = PAYLOAD_BYTES_MAX;
    for value in values {
        let len = len_of(&value);
        bytes += len;
        match groups.last_mut() {
            Some(group) if bytes <= PAYLOAD_BYTES_MAX => group.push(value),
            _ => {
                bytes = len;
                groups.push(vec![value]);
            }
        }
    }
    groups
}

/// Returns the encoded size of a stream's origin in bytes.
///
/// # Panics
///
/// Never: postcard can represent every value of the type.
pub fn origin_encoded_len(origin: &StreamOrigin) -> usize {
    let bytes = postcard::to_stdvec(origin);
    bytes.expect("Origins are always representable.").len()
}

/// Returns the encoded size of a suspect in bytes.
///
/// # Panics
///
/// Never: postcard can represent every value of the type.
pub fn suspect_encoded_len(suspect: &Suspect) -> usize {
    let bytes = postcard::to_stdvec(suspect);
    bytes.expect("Suspects are always representable.").len()
}

/// Returns the encoded size of a suspected part in bytes.
///
/// # Panics
///
/// Never: postcard can represent every value of the type.
pub fn part_encoded_len(part: &SuspectPart) -> usize {
    let bytes = postcard::to_stdvec(part);
    bytes.expect("Parts are always representable.").len()
}

/// Decodes a datagram; returns `None` if it is not a message.
pub fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    decode_with_contention(bytes).map(|(message, _)| message)
}

/// Decodes a datagram and the contention that follows the message, if present. Trailing bytes
/// that cannot be decoded were written by another version and are ignored.
pub fn decode_with_contention(bytes: &[u8]) -> Option<(PeerMessage, Option<Contention>)> {
    let (mut message, rest) = postcard::take_from_bytes(bytes).ok()?;
    if let PeerMessage::Announcement(announcement) = &mut message {
        announcement.targets.decode_versions(rest);
        return Some((message, None));
    }
    let contention = (!rest.is_empty()).then(|| postcard::from_bytes(rest).ok());
    Some((message, contention.flatten()))
}
