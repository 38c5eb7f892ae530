//! What the gateway needs of an adapter.
//!
//! Each port is a plain struct of closures, so that an adapter and a test fill
//! it alike. Requests and answers pass through as they are: the gateway reads
//! neither their bodies nor headers of the adapter's protocol.

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

use crate::RequestId;

/// The body of an answer; an error in it means that the answer is not whole.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The request's name.
    pub id: RequestId,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// Headers that concern the whole way to the target.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The workspace that sent it, where workspaces are told apart.
    pub workspace: Option<WorkspaceName>,
}

/// A request to one target.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request.
    pub request: Arc<ForwardedRequest>,
    /// The target's incarnation; another one at the address must not run it.
    pub target: TargetId,
    /// Where the target answers.
    pub addr: SocketAddr,
    /// Time that the caller still waits.
    pub remaining: Duration,
    /// The number of the last event that is here already.
    pub resume_after: Option<u64>,
}

/// A target's answer.
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its headers that concern the whole way to the caller.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Body,
    /// Whether the target has signed it; only then a success is one.
    pub is_signed: bool,
}

impl fmt::Debug for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reply")
            .field("status", &self.status)
            .field("is_signed", &self.is_signed)
            .finish_non_exhaustive()
    }
}

/// Why a target gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoReply {
    /// No byte of the request can have reached it.
    NotSent(&'static str),
    /// It says that it ran nothing of the request, since it is full or late.
    Full,
    /// It says that it ran nothing of the request, for a fault of the request.
    Rejected(StatusCode),
    /// Another incarnation answers at the address; it ran nothing.
    OtherTarget,
    /// Its connection broke before an answer; it may have run the request.
    Broken,
    /// It may have run the request, or runs it still.
    Unknown(&'static str),
}

impl NoReply {
    /// Returns whether the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Broken | Self::Unknown(_))
    }

    /// Returns the reason in a word or two.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NotSent(reason) | Self::Unknown(reason) => reason,
            Self::Full => "target full",
            Self::Rejected(_) => "rejected",
            Self::OtherTarget => "other target at address",
            Self::Broken => "connection broke",
        }
    }
}

/// Whether anybody listens at a target's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Connections are accepted.
    Listening,
    /// Connections are refused: its process has ended.
    Gone,
    /// Nothing came back in time: the way there or its machine may be at fault.
    Silent,
}

/// Targets.
#[derive(Clone)]
pub struct Targets {
    /// Looks whether anybody listens at an address.
    pub probe: Arc<dyn Fn(SocketAddr) -> BoxFuture<'static, Presence> + Send + Sync>,
    /// Sends a request and returns the head of the answer. Dropping the future
    /// or the body of the answer makes the target stop.
    pub call: Arc<dyn Fn(Call) -> BoxFuture<'static, Result<Reply, NoReply>> + Send + Sync>,
}

/// A topic of the store. Records have keys, and the newest record of each key
/// is kept for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The configuration, written by operators.
    Config,
    /// Targets, written by themselves.
    Targets,
    /// Hosts of this system.
    Hosts,
    /// Records of jobs.
    Jobs,
    /// What items say.
    Payloads,
    /// What items led to.
    Results,
    /// How far unfinished items have got.
    Progress,
    /// Requests that are blamed for crashes of targets.
    Blamed,
    /// When holders of limits last began with the allowance.
    Limits,
}

/// A record to append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; nothing drops the key.
    pub value: Option<Bytes>,
}

impl Entry {
    /// Returns a record that drops a key.
    pub fn tombstone(key: String) -> Self {
        Self { key, value: None }
    }
}

/// A record that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// Its place in the partition.
    pub offset: u64,
    /// The record.
    pub entry: Entry,
}

/// Records read from a place on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tail {
    /// The offset that follows the newest record of the partition.
    pub end: u64,
    /// The records.
    pub records: Vec<StoredRecord>,
}

/// Newest records of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The offset that follows the newest record of the partition.
    pub end: u64,
    /// The records, by key.
    pub records: Vec<StoredRecord>,
    /// Whether more keys follow the last one.
    pub has_more: bool,
}

/// What to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Read {
    /// The topic.
    pub topic: Topic,
    /// The partition.
    pub part: u32,
    /// The first offset.
    pub from: u64,
    /// Bytes to read at most; at least one record is read.
    pub bytes_max: u64,
    /// Time to wait if there is no record yet.
    pub wait: Duration,
}

/// Why a call of the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store did nothing: it said so, or was not reached. The fault is no
    /// older than the call.
    Refused(&'static str),
    /// The store did nothing, since it is asked too often.
    Throttled,
    /// The store may have done it, or may do it yet. The call may have been
    /// lost with a connection that had been silent for long.
    Unknown(&'static str),
    /// The records asked for are gone; later ones remain.
    Expired,
    /// The store has no room.
    NoRoom,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(why) => write!(f, "refused: {why}"),
            Self::Throttled => f.write_str("refused: too many calls"),
            Self::Unknown(why) => write!(f, "no answer: {why}"),
            Self::Expired => f.write_str("the records are gone"),
            Self::NoRoom => f.write_str("the store is full"),
        }
    }
}

impl std::error::Error for StoreError {}

/// What a call of the store leads to.
pub type StoreFuture<T> = BoxFuture<'static, Result<T, StoreError>>;
/// Appends records to a partition, all or none; returns the first offset.
pub type Append = dyn Fn(Topic, u32, Vec<Entry>) -> StoreFuture<u64> + Send + Sync;
/// Reads records in their order.
pub type ReadRecords = dyn Fn(Read) -> StoreFuture<Tail> + Send + Sync;
/// Reads the newest record of each key that follows another.
pub type ReadNewest = dyn Fn(Topic, u32, Option<String>) -> StoreFuture<Page> + Send + Sync;

/// A store of ordered topics.
///
/// An adapter that keeps connections gives up all idle ones when a call fails:
/// how long a missing entry may be believed in rests on a call that follows a
/// failure not using a connection that was idle before it.
#[derive(Clone)]
pub struct Store {
    /// Appends records.
    pub append: Arc<Append>,
    /// Reads records in their order.
    pub read: Arc<ReadRecords>,
    /// Reads newest records by key.
    pub newest: Arc<ReadNewest>,
}

/// Returns the data centre that the record with this key evacuates; `None` for other records.
pub type DecodeEvacuation = fn(&str) -> Option<&str>;
/// Reads a configuration's record; nothing if the key is that of another.
pub type DecodeConfig = fn(key: &str, value: &[u8]) -> Option<Result<Table, DecodeError>>;
/// Reads a target's record.
pub type DecodeTarget = fn(value: &[u8]) -> Result<Spec, DecodeError>;

/// Reads what an item's headers tell of its size; what they do not tell, or not
/// in a way that can be read, is zero.
pub type DecodeSize = fn(headers: &HeaderMap) -> Size;

/// Reads who calls from a request's headers; nothing where callers are not told
/// apart.
pub type DecodeCaller = fn(headers: &HeaderMap) -> &[u8];

/// Reads the key that a request presents.
pub type DecodeKey = fn(headers: &HeaderMap) -> Result<&str, KeyError>;

/// Takes out of a request's headers whatever its caller said about itself, and tells
/// the workspace, if there is one, in its place.
pub type SetWorkspace = fn(headers: &mut HeaderMap, workspace: Option<&str>);

/// What records, requests and items mean.
#[derive(Clone, Copy)]
pub struct Decode {
    /// Reads a configuration.
    pub config: DecodeConfig,
    /// Returns the data centre that a record of the configuration topic evacuates.
    pub evacuation: DecodeEvacuation,
    /// Reads a target's record.
    pub target: DecodeTarget,
    /// Reads an item's size.
    pub size: DecodeSize,
    /// Reads who calls, where workspaces are not told.
    pub caller: DecodeCaller,
    /// Reads the key that a request presents.
    pub key: DecodeKey,
    /// Tells targets the workspace.
    pub set_workspace: SetWorkspace,
}

/// A record that does not say what it should.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError {
    /// What is wrong, with the place in the record.
    pub detail: String,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unreadable record: {}", self.detail)
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
    /// The meaning of records.
    pub decode: Decode,
}
