//! Sends commands to the owner of a shard on this or another host.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jsonrpsee::core::client::Error as RpcError;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;
use notchwharf_ledger::error::CommandError;
use notchwharf_ledger::owner::Command;
use notchwharf_ledger::owner::Reply;
use notchwharf_ledger::record::ShardId;
use notchwharf_ledger::rendezvous;
use notchwharf_proto::peer::PeerClient as _;
use notchwharf_routing::budget;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::context::post;
use crate::shards::ExecuteCommand;

/// Time for which a command is retried until the owner of a shard is found.
pub(crate) const OWNER_SEARCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a call to another host.
const PEER_TIMEOUT: Duration = Duration::from_secs(4);
const PEER_MESSAGE_BYTES_MAX: u32 = 64 << 20;

/// Returns the shard that a name belongs to.
pub(crate) fn shard_of(ctx: &Context, name: &str) -> ShardId {
    rendezvous::shard_of(name, ctx.settings.ledger.shards)
}

/// Returns the name of a shard's stream, which is also its key for rendezvous hashing.
pub(crate) fn shard_name(shard: ShardId) -> String {
    format!("shard-{shard}")
}

/// Returns a client of another host.
pub(crate) fn peer_client(url: &str, timeout: Duration) -> Option<HttpClient> {
    HttpClientBuilder::default()
        .request_timeout(timeout)
        .max_request_size(PEER_MESSAGE_BYTES_MAX)
        .max_response_size(PEER_MESSAGE_BYTES_MAX)
        .build(url)
        .ok()
}

/// Executes a command at the owner of a shard, retrying until the owner is found or
/// [`OWNER_SEARCH_TIMEOUT`] has passed.
///
/// All commands except [`Command::KeyStart`] and [`Command::Take`] are idempotent and also
/// retried after a lost response.
pub(crate) async fn execute(
    ctx: &Arc<Context>,
    shard: ShardId,
    command: Command,
) -> Result<Reply, CommandError> {
    let deadline = Instant::now() + OWNER_SEARCH_TIMEOUT;
    let is_repeatable = !matches!(command, Command::KeyStart { .. } | Command::Take { .. });
    for delay in budget::backoff(rand::random()) {
        let res = execute_once(ctx, shard, command.clone()).await;
        let retry = match &res {
            Err(CommandError::NotOwner { .. }) => true,
            Err(CommandError::Unknown) => is_repeatable,
            _ => false,
        };
        if !retry || Instant::now() + delay >= deadline {
            return res;
        }
        tokio::time::sleep(delay).await;
    }
    Err(CommandError::NotOwner { holder: None })
}

async fn execute_once(
    ctx: &Arc<Context>,
    shard: ShardId,
    command: Command,
) -> Result<Reply, CommandError> {
    let Some(host) = holder(ctx, shard) else {
        return Err(CommandError::NotOwner { holder: None });
    };
    if host == *ctx.host() {
        return execute_locally(ctx, shard, command).await;
    }
    let url = ctx.view().peer_url(&host);
    let Some(client) = url.and_then(|url| ctx.peer_client(&url, PEER_TIMEOUT)) else {
        return Err(CommandError::NotOwner { holder: None });
    };
    match client.ledger(shard, command).await {
        Ok(res) => res,
        Err(RpcError::Transport(err)) if is_connection_refused(&*err) => {
            Err(CommandError::NotOwner { holder: None })
        }
        // Any other failed call may have reached the owner.
        Err(_) => Err(CommandError::Unknown),
    }
}

/// Executes a command at the shard's actor on this host.
pub(crate) async fn execute_locally(
    ctx: &Context,
    shard: ShardId,
    command: Command,
) -> Result<Reply, CommandError> {
    let Some(actor) = ctx.shard(shard) else {
        return Err(CommandError::NotOwner { holder: None });
    };
    let (reply_tx, reply_rx) = oneshot::channel();
    post(&actor, ExecuteCommand { command, reply_tx });
    reply_rx.await.unwrap_or(Err(CommandError::Unknown))
}

/// Returns the host that holds a shard or, if that is unknown or down, the one that should
/// hold it.
pub(crate) fn holder(ctx: &Context, shard: ShardId) -> Option<String> {
    let view = ctx.view();
    let known = view.shard_holders.get(&shard).map(|h| h.host.clone());
    let is_usable = |host: &String| view.hosts.get(host).is_some_and(|h| !is_down(h));
    if let Some(host) = known.filter(is_usable) {
        return Some(host);
    }
    let live = view.live_hosts();
    let ranked = rendezvous::top_ranked(&shard_name(shard), &live, 1);
    ranked.first().map(|host| (*host).to_owned())
}

fn is_down(host: &notchwharf_membership::fact::Host) -> bool {
    host.health == notchwharf_membership::fact::Health::Down
}

/// Returns whether a call failed because the connection was refused, in which case nothing
/// was sent.
///
/// The client's own error type cannot be found in the chain of sources, since its wrappers
/// are transparent; the I/O error at the end can. That error kind occurs only when
/// connecting.
pub(crate) fn is_connection_refused(err: &(dyn std::error::Error + 'static)) -> bool {
    let mut cause = Some(err);
    while let Some(err) = cause {
        if let Some(err) = err.downcast_ref::<std::io::Error>() {
            return err.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        cause = err.source();
    }
    false
}
