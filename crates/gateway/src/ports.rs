//! Interface between the gateway and an adapter.
//!
//! Each port is a plain struct of closures, so that adapters and tests implement it in the same
//! way. Requests and responses are passed through unchanged: the gateway reads neither their bodies
//! nor the headers of the adapter's protocol.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use notchwharf_config::access::KeyError;
use notchwharf_config::access::WorkspaceName;
use notchwharf_config::routes::Table;
use notchwharf_routing::balancer::Spec;
use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::items::estimate::Size;
use notchwharf_routing::prompt::PartId;

use crate::RequestId;

/// The body of a response. An error means that the response is incomplete.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A request as received from its caller.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The ID of the request.
    pub id: RequestId,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// End-to-end headers, which are forwarded to the target.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The workspace of the caller, if workspaces are configured.
    pub workspace: Option<WorkspaceName>,
}

/// A request to one target.
#[derive(Clone)]
pub struct Call {
    /// The request.
    pub request: Arc<ForwardedRequest>,
    /// The target's incarnation. Another incarnation at the address must not run the request.
    pub target: TargetId,
    /// The address of the target.
    pub addr: SocketAddr,
    /// Time remaining until the caller's deadline.
    pub remaining: Duration,
    /// The number of the last event that has been received already.
    pub resume_after: Option<u64>,
    /// Returns whether the target may still be sent the request. Asked right before the first byte, as the
    /// target may have left while a connection was made.
    pub may_send: Arc<dyn Fn() -> bool + Send + Sync>,
}

impl fmt::Debug for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Call")
            .field("request", &self.request.id)
            .field("target", &self.target)
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

/// A target's response.
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its end-to-end headers, which are forwarded to the caller.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Body,
    /// Whether the target has signed it. An unsigned response does not count as success.
    pub is_signed: bool,
    /// Whether the end of the body is marked by a length or chunks. Otherwise it ends with the
    /// connection, and may be incomplete if the target has crashed.
    pub is_end_marked: bool,
}

impl fmt::Debug for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reply")
            .field("status", &self.status)
            .field("is_signed", &self.is_signed)
            .finish_non_exhaustive()
    }
}

/// Why there is no response from a target. [`crate::proof`] states what may be taken for proof that
/// nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoReply {
    /// No byte of the request can have reached the target.
    NotSent(&'static str),
    /// The target reports that it ran nothing, since it is full or the deadline is too near.
    Full,
    /// The target reports that it ran nothing, since the request is invalid.
    Rejected(StatusCode),
    /// Another incarnation responded at the address; it ran nothing.
    OtherTarget,
    /// The connection broke before a response; the target may have run the request.
    Broken,
    /// The target may have run the request, or may still be running it.
    Unknown(&'static str),
}

impl NoReply {
    /// Returns whether the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Broken | Self::Unknown(_))
    }

    /// Returns a short description of the reason.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NotSent(reason) | Self::Unknown(reason) => reason,
            Self::Full => "target full",
            Self::Rejected(_) => "rejected",
            Self::OtherTarget => "other target at address",
            Self::Broken => "connection broke",
        }
    }

    /// Returns what shows that nothing ran; `None` if the request may have run.
    pub fn proof(self) -> Option<&'static str> {
        match self {
            Self::NotSent(_) => Some("not sent"),
            Self::Full | Self::Rejected(_) | Self::OtherTarget => Some("refusal by name"),
            Self::Broken | Self::Unknown(_) => None,
        }
    }
}

/// Whether a process listens at a target's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Connections are accepted.
    Listening,
    /// Connections are refused: the process has ended.
    Gone,
    /// There was no response in time: the network or the machine may have failed.
    Silent,
}

/// Operations on targets.
#[derive(Clone)]
pub struct Targets {
    /// Checks whether a process listens at an address.
    pub probe: Arc<dyn Fn(SocketAddr) -> BoxFuture<'static, Presence> + Send + Sync>,
    /// Sends a request and returns the head of the response. Dropping the future or the body of the
    /// response cancels the request at the target. Each send under an id uses a connection that has
    /// carried no other send under it, see [`crate::proof`].
    pub call: Arc<dyn Fn(Call) -> BoxFuture<'static, Result<Reply, NoReply>> + Send + Sync>,
}

/// A topic of the store. Records have keys, and the newest record of each key is retained
/// indefinitely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The configuration, written by operators.
    Config,
    /// Targets, written by the targets themselves.
    Targets,
    /// The list of the fleet's hosts.
    Hosts,
    /// Records of jobs.
    Jobs,
    /// The bodies of items.
    Payloads,
    /// The results of items.
    Results,
    /// The progress of unfinished items.
    Progress,
    /// Requests that are blamed for crashes of targets.
    Blamed,
    /// Parts of prompts that are blamed for crashes of targets.
    BlamedParts,
    /// When holders of rate limits last requested the initial allowance.
    Limits,
    /// The versions that services have had.
    Versions,
}

/// A record to append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; `None` deletes the key.
    pub value: Option<Bytes>,
}

impl Entry {
    /// Returns a record that deletes a key.
    pub fn tombstone(key: String) -> Self {
        Self { key, value: None }
    }
}

/// A record that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// Its offset in the partition.
    pub offset: u64,
    /// The record.
    pub entry: Entry,
}

/// Records read from an offset on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tail {
    /// The offset that follows the newest record of the partition.
    pub end: u64,
    /// The records.
    pub records: Vec<StoredRecord>,
}

/// A page of the newest records, ordered by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The offset that follows the newest record of the partition.
    pub end: u64,
    /// The records, by key.
    pub records: Vec<StoredRecord>,
    /// Whether more keys follow the last one.
    pub has_more: bool,
}

/// Arguments of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Read {
    /// The topic.
    pub topic: Topic,
    /// The partition.
    pub part: u32,
    /// The first offset.
    pub from: u64,
    /// Maximum number of bytes to read; at least one record is returned.
    pub bytes_max: u64,
    /// Maximum time to wait if there is no record yet.
    pub wait: Duration,
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store did nothing: it refused the call or was not reached. The cause is not older than
    /// the call.
    Refused(&'static str),
    /// The store did nothing, since calls are too frequent.
    Throttled,
    /// The store may have executed the call, or may still execute it. The cause may be older than
    /// the call, such as a connection that had failed unnoticed.
    Unknown(&'static str),
    /// The requested records have expired; later ones are retained.
    Expired,
    /// The store is out of space.
    NoRoom,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(why) => write!(f, "refused: {why}"),
            Self::Throttled => f.write_str("refused: too many calls"),
            Self::Unknown(why) => write!(f, "no response: {why}"),
            Self::Expired => f.write_str("the records have expired"),
            Self::NoRoom => f.write_str("the store is out of space"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The result of a call to the store.
pub type StoreFuture<T> = BoxFuture<'static, Result<T, StoreError>>;
/// Appends records to a partition atomically; returns the first offset.
pub type Append = dyn Fn(Topic, u32, Vec<Entry>) -> StoreFuture<u64> + Send + Sync;
/// Reads records in order of their offsets.
pub type ReadRecords = dyn Fn(Read) -> StoreFuture<Tail> + Send + Sync;
/// Reads the newest record of each key after the given one, in order of keys.
pub type ReadNewest = dyn Fn(Topic, u32, Option<String>) -> StoreFuture<Page> + Send + Sync;

/// A store of ordered topics.
///
/// An adapter that pools connections closes all idle ones when a call fails: the time for which
/// the gateway retains a target whose entry is missing assumes that a call after a failure does
/// not use a connection that was idle before it.
#[derive(Clone)]
pub struct Store {
    /// Appends records.
    pub append: Arc<Append>,
    /// Reads records in order of their offsets.
    pub read: Arc<ReadRecords>,
    /// Reads newest records by key.
    pub newest: Arc<ReadNewest>,
}

/// Returns the data centre that the record with this key evacuates; `None` for other records.
pub type DecodeEvacuation = fn(&str) -> Option<&str>;
/// Decodes a configuration record; returns `None` if the key is not that of a configuration.
pub type DecodeConfig = fn(key: &str, value: &[u8]) -> Option<Result<Table, DecodeError>>;
/// Decodes a target's record.
pub type DecodeTarget = fn(value: &[u8]) -> Result<Spec, DecodeError>;

/// Reads an item's size from its headers. Values that are absent or invalid are zero.
pub type DecodeSize = fn(headers: &HeaderMap) -> Size;

/// Reads the identity of the caller from a request's headers; empty if callers cannot be
/// identified.
pub type DecodeCaller = fn(headers: &HeaderMap) -> &[u8];

/// Reads the parts of a request's prompt that other requests may share, in order; empty if the
/// request names none.
pub type DecodeParts = fn(headers: &HeaderMap) -> Vec<PartId>;

/// Reads the API key from a request's headers.
pub type DecodeKey = fn(headers: &HeaderMap) -> Result<&str, KeyError>;

/// Removes all headers by which the caller identifies itself, and adds the workspace, if there is
/// one.
pub type SetWorkspace = fn(headers: &mut HeaderMap, workspace: Option<&str>);

/// Decoders of records and headers.
#[derive(Clone, Copy)]
pub struct Decode {
    /// Decodes a configuration.
    pub config: DecodeConfig,
    /// Returns the data centre that a record of the configuration topic evacuates.
    pub evacuation: DecodeEvacuation,
    /// Decodes a target's record.
    pub target: DecodeTarget,
    /// Reads an item's size.
    pub size: DecodeSize,
    /// Reads the identity of the caller if no workspaces are configured.
    pub caller: DecodeCaller,
    /// Reads the shared parts of a request's prompt.
    pub parts: DecodeParts,
    /// Reads the API key of a request.
    pub key: DecodeKey,
    /// Sets the workspace in the headers of a request to a target.
    pub set_workspace: SetWorkspace,
}

/// A record could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError {
    /// What is invalid, and where in the record.
    pub detail: String,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid record: {}", self.detail)
    }
}

impl std::error::Error for DecodeError {}

/// All ports.
#[derive(Clone)]
pub struct Ports {
    /// The store.
    pub store: Store,
    /// Targets.
    pub targets: Targets,
    /// Decoders of records and headers.
    pub decode: Decode,
}
