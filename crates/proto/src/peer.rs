//! What one host calls on another.

use std::collections::BTreeMap;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use notchwharf_config::bundle::Bundle;
use notchwharf_ledger::error::CommandError;
use notchwharf_ledger::owner::Command;
use notchwharf_ledger::owner::Reply;
use notchwharf_ledger::owner::Work;
use notchwharf_ledger::record::HostId;
use notchwharf_ledger::record::Incarnation;
use notchwharf_ledger::record::ShardId;
use serde::Deserialize;
use serde::Serialize;

/// A bundle in force, as one host gives it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BundleCopy {
    /// The version.
    pub version: u64,
    /// The offset of its sign-off.
    pub since: u64,
    /// The content.
    pub bundle: Bundle,
}

/// What a host reports of itself to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// The host.
    pub host: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The version of the bundle that it applies.
    pub bundle_version: Option<u64>,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests in flight.
    pub in_flight: u64,
    /// Shards that it holds.
    pub shards: Vec<ShardId>,
    /// Targets that it holds.
    pub targets: Vec<String>,
}

/// A request for items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRequest {
    /// The serving that a target is free for.
    pub serving: String,
    /// The greatest number of items.
    pub max: u32,
    /// The host that will run them.
    pub host: HostId,
    /// That host's incarnation.
    pub incarnation: Incarnation,
}

/// An item handed out, with its shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedItem {
    /// The shard.
    pub shard: ShardId,
    /// The item.
    pub work: Work,
}

/// A call with an idempotency key, to be run by the owner of the key's shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedCall {
    /// The customer.
    pub tenant: String,
    /// The key.
    pub key: String,
    /// What to call.
    pub callee: Callee,
    /// The method.
    pub method: String,
    /// The path and query at the callee.
    pub path: String,
    /// Headers to pass on.
    pub headers: BTreeMap<String, String>,
    /// The body, in Base64.
    pub body_base64: String,
    /// Time left for the call.
    pub timeout_ms: u64,
}

/// What a keyed call goes to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Callee {
    /// A plain service.
    Service(String),
    /// A chat completion of a serving.
    Chat(String),
}

/// The answer to a keyed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedResponse {
    /// The status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: BTreeMap<String, String>,
    /// The body, in Base64.
    pub body_base64: String,
    /// Whether this is the kept answer to an earlier call.
    pub replayed: bool,
}

/// Why a keyed call has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyedError {
    /// It was not sent.
    NotRun(CommandError),
    /// No target could take it; it was not sent.
    NoTarget,
    /// The key was used with another call.
    OtherBody,
    /// It was sent, and what became of it is not known.
    Unknown,
}

/// The calls.
#[rpc(client, server, namespace = "notchwharf")]
pub trait Peer {
    /// Asks the owner of a shard.
    #[method(name = "ledger")]
    async fn ledger(
        &self,
        shard: ShardId,
        command: Command,
    ) -> RpcResult<Result<Reply, CommandError>>;

    /// Hands out items of any shard that the host holds.
    #[method(name = "take")]
    async fn take(&self, asked: ItemRequest) -> RpcResult<Vec<AssignedItem>>;

    /// Returns the bundle in force at the host.
    #[method(name = "bundle")]
    async fn bundle(&self) -> RpcResult<Option<BundleCopy>>;

    /// Returns what the host reports of itself.
    #[method(name = "host")]
    async fn host(&self) -> RpcResult<HostReport>;

    /// Tells the host to leave.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<()>;

    /// Runs a call with an idempotency key.
    #[method(name = "keyed_call")]
    async fn keyed_call(&self, call: KeyedCall) -> RpcResult<Result<KeyedResponse, KeyedError>>;
}
