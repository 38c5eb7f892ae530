//! What hosts that share all targets send one another over UDP.
//!
//! PeerMessage is the sender's whole state in short and not a difference, so that a
//! lost datagram does no harm and an old one is told by its number.
//!
//! ```
//! use notchwharf_proto::messages::{decode, encode, PeerMessage, Status};
//!
//! let news = PeerMessage::Status(Status { host: "a1".into(), ..Status::default() });
//! assert_eq!(decode(&encode(&news)), Some(news));
//! assert_eq!(decode(b"?"), None);
//! ```

use notchwharf_quota::HostKey;
use notchwharf_quota::Message;
use serde::Deserialize;
use serde::Serialize;

use crate::records::Announcement;

/// Bytes of news in one datagram: what the least link carries in one packet.
const PART_BYTES_MAX: usize = 1_200;

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// How a host is, and what it runs.
    Status(Status),
    /// The receiver is asked to make room.
    #[serde(rename = "Cut")]
    Preemption(Preemption),
    /// How hosts far away are, passed on by one that was told.
    PassedOn(Vec<Status>),
    /// What the hosts of another cell run together.
    Cell(CellStatus),
    /// Requests under which targets crashed.
    Suspects(Suspects),
    /// A word about limits of workspaces.
    Limits(QuotaMessage),
    /// A place that has fallen free is for a request that waits at the receiver.
    #[serde(rename = "Hand")]
    SlotTransfer(SlotTransfer),
    /// Records that a host has read from the store's log.
    Announcement(Announcement),
}

/// A place that has fallen free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotTransfer {
    /// The short form of the target's name.
    pub target: u32,
}

/// A word of a host about limits of workspaces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaMessage {
    /// The short form of the host's name.
    pub host: HostKey,
    /// The word.
    pub message: Message,
}

/// What a host knows of requests under which targets crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    /// The host.
    pub host: String,
    /// The requests, some of those that it knows.
    pub suspects: Vec<Suspect>,
}

/// A request under which targets crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The fingerprint of its content.
    pub fingerprint: u128,
    /// How often it was cleared.
    pub clearances: u32,
    /// The crashes since.
    pub crashes: Vec<Crash>,
    /// How long ago the host began to run it, if it does.
    pub runs_since_ms: Option<u64>,
}

/// A target's crash under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Names the life of the target that ended.
    pub life: u64,
    /// How long the request had run there.
    pub ran_ms: u64,
    /// How long ago it was noticed.
    pub age_ms: u64,
}

/// What a host tells of its cell to one of another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellStatus {
    /// The host.
    pub host: String,
    /// Where it stands.
    pub data_centre: String,
    /// Whether it reaches the store.
    pub store_up: bool,
    /// How new its configuration is; higher is newer.
    pub config: u64,
    /// How new its list of targets is; higher is newer.
    pub targets: u64,
    /// How far it knows the job records.
    pub jobs: u64,
    /// What all hosts of its cell run, as far as it knows.
    pub loads: Vec<Load>,
}

/// How a host is, and what it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host.
    pub host: String,
    /// A number that grows with each start of the host, unless its clock was
    /// set back in between.
    pub incarnation: u64,
    /// A number that grows with each status of the incarnation.
    pub number: u64,
    /// Whether the host is leaving and others may run its items.
    pub leaving: bool,
    /// Whether the host reaches the store.
    pub store_up: bool,
    /// How new its configuration is; higher is newer.
    pub config: u64,
    /// How new its list of targets is; higher is newer.
    pub targets: u64,
    /// How far it knows the job records.
    pub jobs: u64,
    /// What it runs.
    pub loads: Vec<Load>,
    /// Its items that wait for a place, those due first.
    pub waiting: Vec<WaitingItems>,
    /// The short forms of the names of targets that fail its requests.
    pub failing: Vec<u32>,
}

/// What a host runs at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The short form of the target's name.
    pub target: u32,
    /// Online requests.
    pub online: u32,
    /// Items of jobs.
    pub batch: u32,
}

/// Items that wait at a host and are due at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingItems {
    /// When they are due, by the clock of the host that took their job in.
    pub due_unix_ms: u64,
    /// How many they are.
    pub items: u32,
}

/// What online requests wait for at a host, and what they hold there: told behind a
/// [`Status`] while something waits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contention {
    /// The host's first requests that wait.
    pub waiting: Vec<WaitingRequest>,
    /// Places that workspaces hold there, those with most.
    pub held: Vec<HeldSlots>,
    /// The short forms of the names of targets of which it has just handed places to
    /// requests elsewhere.
    pub handed: Vec<u32>,
}

/// An online request that waits at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingRequest {
    /// The short form of its service's name.
    pub service: u32,
    /// How urgent it is; 0 is the most urgent.
    pub priority: u8,
    /// How far its workspace exceeds its part of the places.
    pub level: u8,
    /// For how long it has waited.
    pub age_ms: u64,
}

/// Places that a workspace holds at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlots {
    /// The short form of the workspace's name.
    pub workspace: u32,
    /// What it may hold against others, in thousandths.
    pub weight_milli: u64,
    /// How many.
    pub places: u32,
}

/// An online request needs the place of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Preemption {
    /// The short form of the target's name.
    pub target: u32,
}

/// Encodes a datagram.
///
/// # Panics
///
/// Never: the type holds nothing that the codec cannot represent.
pub fn encode(news: &PeerMessage) -> Vec<u8> {
    postcard::to_stdvec(news).expect("PeerMessage is always representable.")
}

/// Encodes a status with what waits at the host, if anything does. It stands behind the
/// status, where hosts of earlier versions do not look.
///
/// # Panics
///
/// Never: the types hold nothing that the codec cannot represent.
pub fn encode_with_contention(status: Status, contention: Option<&Contention>) -> Vec<u8> {
    let bytes = encode(&PeerMessage::Status(status));
    let Some(contention) = contention else {
        return bytes;
    };
    postcard::to_extend(contention, bytes).expect("Contention is always representable.")
}

/// Returns what is to be told in parts that each fit a datagram, by the bytes that each
/// piece takes.
pub fn split_by_size<T>(
    pieces: impl Iterator<Item = T>,
    bytes_of: impl Fn(&T) -> usize,
) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut bytes = PART_BYTES_MAX;
    for piece in pieces {
        let size = bytes_of(&piece);
        bytes += size;
        match parts.last_mut() {
            Some(part) if bytes <= PART_BYTES_MAX => part.push(piece),
            _ => {
                bytes = size;
                parts.push(vec![piece]);
            }
        }
    }
    parts
}

/// Returns the number of bytes that a suspect takes in a datagram.
///
/// # Panics
///
/// Never: the type holds nothing that the codec cannot represent.
pub fn suspect_encoded_len(suspect: &Suspect) -> usize {
    let bytes = postcard::to_stdvec(suspect);
    bytes.expect("Suspects are always representable.").len()
}

/// Decodes a datagram; returns nothing for anything else.
pub fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    decode_with_contention(bytes).map(|(news, _)| news)
}

/// Decodes a datagram, with what waits at the host that sent it if it tells. What stands
/// behind the news and cannot be read was written by another version.
pub fn decode_with_contention(bytes: &[u8]) -> Option<(PeerMessage, Option<Contention>)> {
    let (news, rest) = postcard::take_from_bytes(bytes).ok()?;
    let contention = (!rest.is_empty()).then(|| postcard::from_bytes(rest).ok());
    Some((news, contention.flatten()))
}
