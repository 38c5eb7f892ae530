//! The RPC server for other hosts.

use std::sync::Arc;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use notchwharf_ledger::error::CommandError;
use notchwharf_ledger::owner::Command;
use notchwharf_ledger::owner::Reply;
use notchwharf_ledger::record::ShardId;
use notchwharf_proto::peer::AssignedItem;
use notchwharf_proto::peer::BundleCopy;
use notchwharf_proto::peer::HostReport;
use notchwharf_proto::peer::ItemRequest;
use notchwharf_proto::peer::KeyedCall;
use notchwharf_proto::peer::KeyedError;
use notchwharf_proto::peer::KeyedResponse;
use notchwharf_proto::peer::PeerServer;

use crate::context::Context;
use crate::context::lock;
use crate::keyed;
use crate::ledger;
use notchwharf_listen::Phase;

const MESSAGE_BYTES_MAX: u32 = 64 << 20;
const CONNECTIONS_MAX: u32 = 4_096;

struct Peers {
    ctx: Arc<Context>,
}

#[async_trait]
impl PeerServer for Peers {
    async fn ledger(
        &self,
        shard: ShardId,
        command: Command,
    ) -> RpcResult<Result<Reply, CommandError>> {
        Ok(ledger::execute_locally(&self.ctx, shard, command).await)
    }

    async fn take(&self, request: ItemRequest) -> RpcResult<Vec<AssignedItem>> {
        Ok(assign_items(&self.ctx, &request).await)
    }

    async fn bundle(&self) -> RpcResult<Option<BundleCopy>> {
        let active = self.ctx.active();
        Ok(active.map(|active| BundleCopy {
            version: active.version,
            since: active.since,
            bundle: (*active.bundle).clone(),
        }))
    }

    async fn host(&self) -> RpcResult<HostReport> {
        Ok(host_report(&self.ctx))
    }

    async fn drain(&self) -> RpcResult<()> {
        self.ctx.begin_leaving();
        Ok(())
    }

    async fn keyed_call(&self, call: KeyedCall) -> RpcResult<Result<KeyedResponse, KeyedError>> {
        Ok(keyed::run_locally(&self.ctx, call).await)
    }
}

/// Returns the status report of this host.
pub(crate) fn host_report(ctx: &Context) -> HostReport {
    let dispatchers = ctx.dispatchers.read();
    let dispatchers = dispatchers.unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut targets: Vec<String> = dispatchers.keys().cloned().collect();
    targets.sort();
    HostReport {
        host: ctx.host().clone(),
        data_centre: ctx.settings.host.data_centre.clone(),
        incarnation: ctx.incarnation,
        bundle_version: ctx.active().map(|a| a.version),
        ready: ctx.phase() == Phase::Ready,
        leaving: ctx.phase() >= Phase::Leaving,
        in_flight: lock(&ctx.admission).in_flight() as u64,
        shards: ctx.held_shards(),
        targets,
    }
}

/// Assigns items of the shards that this host holds.
pub(crate) async fn assign_items(ctx: &Arc<Context>, request: &ItemRequest) -> Vec<AssignedItem> {
    let mut assigned = Vec::new();
    let mut shards = ctx.held_shards();
    if !shards.is_empty() {
        // Starts at a random shard so that no shard is always last.
        let by = rand::random::<u32>() as usize % shards.len();
        shards.rotate_left(by);
    }
    for shard in shards {
        let assigned_count = u32::try_from(assigned.len()).unwrap_or(u32::MAX);
        let Some(max) = request
            .max
            .checked_sub(assigned_count)
            .filter(|max| *max > 0)
        else {
            break;
        };
        let take = Command::Take {
            serving: request.serving.clone(),
            max,
            host: request.host.clone(),
            incarnation: request.incarnation,
        };
        if let Ok(Reply::Work(works)) = ledger::execute_locally(ctx, shard, take).await {
            assigned.extend(works.into_iter().map(|work| AssignedItem { shard, work }));
        }
    }
    assigned
}

/// Starts the RPC server.
pub(crate) fn serve(ctx: &Arc<Context>, listener: std::net::TcpListener) -> Option<ServerHandle> {
    let config = ServerConfig::builder()
        .max_request_body_size(MESSAGE_BYTES_MAX)
        .max_response_body_size(MESSAGE_BYTES_MAX)
        .max_connections(CONNECTIONS_MAX)
        .build();
    let server = Server::builder().set_config(config);
    let server = server.build_from_tcp(listener).ok()?;
    let peers = Peers {
        ctx: Arc::clone(ctx),
    };
    Some(server.start(peers.into_rpc()))
}
