//! The JSON-RPC interface that hosts offer one another.

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

/// A copy of the bundle in force, sent from one host to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BundleCopy {
    /// The version.
    pub version: u64,
    /// The offset of its sign-off.
    pub since: u64,
    /// The content.
    pub bundle: Bundle,
}

/// The state of a host as reported to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// The host.
    pub host: String,
    /// The data centre of the host.
    pub data_centre: String,
    /// The incarnation of the host.
    pub incarnation: u64,
    /// The version of the bundle that it applies.
    pub bundle_version: Option<u64>,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The number of requests in flight.
    pub in_flight: u64,
    /// Shards whose leases it holds.
    pub shards: Vec<ShardId>,
    /// Targets whose leases it holds.
    pub targets: Vec<String>,
}

/// A request for batch items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRequest {
    /// The serving for which the requester has free capacity.
    pub serving: String,
    /// The maximum number of items.
    pub max: u32,
    /// The host that will run them.
    pub host: HostId,
    /// The incarnation of that host.
    pub incarnation: Incarnation,
}

/// An item assigned to a host, with its shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedItem {
    /// The shard.
    pub shard: ShardId,
    /// The item.
    pub work: Work,
}

/// A call with an idempotency key, forwarded to the owner of the key's shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedCall {
    /// The workspace.
    pub tenant: String,
    /// The key.
    pub key: String,
    /// The destination of the call.
    pub callee: Callee,
    /// The HTTP method.
    pub method: String,
    /// The path and query at the callee.
    pub path: String,
    /// The headers to forward.
    pub headers: BTreeMap<String, String>,
    /// The body, in Base64.
    pub body_base64: String,
    /// Remaining time for the call.
    pub timeout_ms: u64,
}

/// The destination of a call with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Callee {
    /// A plain service.
    Service(String),
    /// A chat completion of a serving.
    Chat(String),
}

/// The response to a call with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The headers to return to the caller.
    pub headers: BTreeMap<String, String>,
    /// The body, in Base64.
    pub body_base64: String,
    /// Whether this is the stored response to an earlier call.
    pub replayed: bool,
}

/// Reasons why a call with an idempotency key has no response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyedError {
    /// The call was not sent.
    NotRun(CommandError),
    /// No target was available; the call was not sent.
    NoTarget,
    /// The key was used before with a different call.
    OtherBody,
    /// The call was sent and its outcome is unknown.
    Unknown,
}

/// The methods of a host.
#[rpc(client, server, namespace = "notchwharf")]
pub trait Peer {
    /// Sends a command to the owner of a shard.
    #[method(name = "ledger")]
    async fn ledger(
        &self,
        shard: ShardId,
        command: Command,
    ) -> RpcResult<Result<Reply, CommandError>>;

    /// Assigns items of any shard that the host holds to the requester.
    #[method(name = "take")]
    async fn take(&self, asked: ItemRequest) -> RpcResult<Vec<AssignedItem>>;

    /// Returns the bundle in force at the host.
    #[method(name = "bundle")]
    async fn bundle(&self) -> RpcResult<Option<BundleCopy>>;

    /// Returns the state of the host.
    #[method(name = "host")]
    async fn host(&self) -> RpcResult<HostReport>;

    /// Makes the host drain and leave the fleet.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<()>;

    /// Runs a call with an idempotency key.
    #[method(name = "keyed_call")]
    async fn keyed_call(&self, call: KeyedCall) -> RpcResult<Result<KeyedResponse, KeyedError>>;
}
