//! Commands to the owner of a shard, wherever it is.

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
use crate::shards::Ask;

/// Time for which a command looks for the owner of a shard.
pub(crate) const SEARCH_TIME: Duration = Duration::from_secs(2);
/// Time that a call to another host may take.
const PEER_TIMEOUT: Duration = Duration::from_secs(4);
const PEER_BYTES_MAX: u32 = 64 << 20;

/// Returns the shard that a name belongs to.
pub(crate) fn shard_of(ctx: &Context, name: &str) -> ShardId {
    rendezvous::shard_of(name, ctx.settings.ledger.shards)
}

/// Returns the name by which hosts agree on who should hold a shard.
pub(crate) fn shard_name(shard: ShardId) -> String {
    format!("shard-{shard}")
}

/// Returns a client of another host.
pub(crate) fn peer(url: &str, timeout: Duration) -> Option<HttpClient> {
    HttpClientBuilder::default()
        .request_timeout(timeout)
        .max_request_size(PEER_BYTES_MAX)
        .max_response_size(PEER_BYTES_MAX)
        .build(url)
        .ok()
}

/// Asks the owner of a shard, looking for it for a while.
///
/// All commands but [`Command::KeyStart`] and [`Command::Take`] may be asked
/// again after a lost answer: asked twice, they take effect once.
pub(crate) async fn ask(
    ctx: &Arc<Context>,
    shard: ShardId,
    command: Command,
) -> Result<Reply, CommandError> {
    let deadline = Instant::now() + SEARCH_TIME;
    let again = !matches!(command, Command::KeyStart { .. } | Command::Take { .. });
    for pause in budget::backoff(rand::random()) {
        let res = ask_once(ctx, shard, command.clone()).await;
        let retry = match &res {
            Err(CommandError::NotOwner { .. }) => true,
            Err(CommandError::Unknown) => again,
            _ => false,
        };
        if !retry || Instant::now() + pause >= deadline {
            return res;
        }
        tokio::time::sleep(pause).await;
    }
    Err(CommandError::NotOwner { holder: None })
}

async fn ask_once(
    ctx: &Arc<Context>,
    shard: ShardId,
    command: Command,
) -> Result<Reply, CommandError> {
    let Some(host) = holder(ctx, shard) else {
        return Err(CommandError::NotOwner { holder: None });
    };
    if host == *ctx.host() {
        return ask_here(ctx, shard, command).await;
    }
    let url = ctx.view().peer_url(&host);
    let Some(client) = url.and_then(|url| ctx.peer_client(&url, PEER_TIMEOUT)) else {
        return Err(CommandError::NotOwner { holder: None });
    };
    match client.ledger(shard, command).await {
        Ok(res) => res,
        Err(RpcError::Transport(err)) if is_connect(&*err) => {
            Err(CommandError::NotOwner { holder: None })
        }
        // Any other call that fails may have reached the owner.
        Err(_) => Err(CommandError::Unknown),
    }
}

/// Asks the owner of a shard on this host.
pub(crate) async fn ask_here(
    ctx: &Context,
    shard: ShardId,
    command: Command,
) -> Result<Reply, CommandError> {
    let Some(actor) = ctx.shard(shard) else {
        return Err(CommandError::NotOwner { holder: None });
    };
    let (tx, rx) = oneshot::channel();
    post(&actor, Ask { command, tx });
    rx.await.unwrap_or(Err(CommandError::Unknown))
}

/// Returns the host that holds a shard or, unknown, the one that should.
pub(crate) fn holder(ctx: &Context, shard: ShardId) -> Option<String> {
    let view = ctx.view();
    let known = view.shard_holders.get(&shard).map(|h| h.host.clone());
    let usable = |host: &String| view.hosts.get(host).is_some_and(|h| !is_down(h));
    if let Some(host) = known.filter(usable) {
        return Some(host);
    }
    let live = view.live_hosts();
    let best = rendezvous::top_ranked(&shard_name(shard), &live, 1);
    best.first().map(|host| (*host).to_owned())
}

fn is_down(host: &notchwharf_membership::fact::Host) -> bool {
    host.health == notchwharf_membership::fact::Health::Down
}

/// Returns whether a failed call never connected, so that nothing was sent.
///
/// The client's own error type is hidden behind transparent wrappers, which
/// skip it in the chain of causes; the system's error at the end is not. Only
/// a connection attempt is ever refused.
pub(crate) fn is_connect(err: &(dyn std::error::Error + 'static)) -> bool {
    let mut cause = Some(err);
    while let Some(err) = cause {
        if let Some(err) = err.downcast_ref::<std::io::Error>() {
            return err.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        cause = err.source();
    }
    false
}
