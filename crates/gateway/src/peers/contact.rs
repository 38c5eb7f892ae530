//! Discovery of other hosts while the host list cannot be read.
//!
//! If the store is unavailable from a fleet's first start on, there is no host list. Seeds,
//! the hosts named in the settings, record each host that contacts them and return the
//! hosts they know. Of two hosts, the one that contacts a seed later receives the address
//! of the other and sends it a datagram.
//!
//! Seeds are contacted only until the host list has been read: when a large fleet starts,
//! the store serves the list faster than a few seeds could.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use notchwharf_listen::Phase;
use notchwharf_routing::balancer::HostId;
use rand::seq::IteratorRandom as _;
use serde::Deserialize;
use serde::Serialize;

use super::cell;
use super::host_list;
use super::host_list::HostInfo;
use super::rpc;
use crate::context::Context;
use crate::metrics::Counted;
use crate::sync::lock;
use crate::time::Backoff;

/// Time to wait for the host list before contacting seeds.
const LIST_WAIT: Duration = Duration::from_millis(100);
/// Timeout of a request to a seed.
const TIMEOUT: Duration = Duration::from_millis(250);
/// Initial and maximum pause between attempts, doubled after each.
const PAUSE_MIN: Duration = Duration::from_millis(100);
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// Maximum number of hosts in a response, which limits the bandwidth of a seed that
/// thousands of hosts contact at once.
const HOSTS_RETURNED_MAX: usize = 64;

/// A host's name and address, as sent to seeds and returned by them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Introduction {
    host: HostId,
    #[serde(rename = "listing")]
    info: HostInfo,
}

/// Contacts the seeds until the host list has been read.
pub(super) async fn run(ctx: Arc<Context>) {
    let own = ctx.settings.host.contact_listen;
    let seeds = ctx.settings.host.seeds.iter();
    let seeds: Vec<SocketAddr> = seeds.filter(|addr| Some(**addr) != own).copied().collect();
    if seeds.is_empty() {
        return;
    }
    ctx.peers.bootstrap.wait_list_attempt(LIST_WAIT).await;
    let mut backoff = Backoff::new(PAUSE_MIN, PAUSE_MAX);
    while ctx.phase() < Phase::Leaving && !is_fleet_found(&ctx) {
        for seed in &seeds {
            contact_seed(&ctx, *seed).await;
        }
        backoff.wait().await;
    }
}

/// Returns whether seeds need not be contacted: the list contained this host at its start,
/// was read after all hosts that started with it had written their entries, or many hosts are known.
fn is_fleet_found(ctx: &Context) -> bool {
    let peers = &ctx.peers;
    let registered_at = *lock(&peers.registered_at);
    let read_at = peers.bootstrap.list_read_at();
    let settled_at = registered_at.map(|at| at + host_list::SETTLED_AFTER);
    peers.was_listed.load(Ordering::Relaxed)
        || settled_at.is_some_and(|settled| read_at.is_some_and(|read| read >= settled))
        || lock(&peers.known).len() >= HOSTS_RETURNED_MAX
}

async fn contact_seed(ctx: &Arc<Context>, seed: SocketAddr) {
    let own = Introduction {
        host: ctx.host().to_owned(),
        info: host_list::own_info(ctx),
    };
    let body = postcard::to_stdvec(&own).expect("Introductions are representable.");
    let response = rpc::call(seed, rpc::CONTACTS, body.into(), TIMEOUT).await;
    // A failed seed is retried after the others.
    let Ok(bytes) = response else {
        return ctx.metrics.count(Counted::Changes, "seed not reached");
    };
    match postcard::from_bytes::<Vec<Introduction>>(&bytes) {
        Ok(introductions) => {
            let added = introductions
                .into_iter()
                .filter(|introduction| add(ctx, introduction))
                .count();
            if added > 0 {
                slog::info!(ctx.logger, "hosts discovered through seed"; "hosts" => added,
                    "seed" => seed.to_string());
            }
        }
        Err(err) => slog::error!(ctx.logger, "invalid response from seed";
            "addr" => seed.to_string(), "error" => err.to_string()),
    }
}

/// Records the host that sent a request; returns other known hosts and this one.
pub(super) fn respond(ctx: &Arc<Context>, body: &[u8]) -> Option<Vec<u8>> {
    let Ok(requesting) = postcard::from_bytes::<Introduction>(body) else {
        slog::warn!(ctx.logger, "invalid introduction from host");
        return None;
    };
    let mut introductions = others(ctx, &requesting.host);
    introductions.push(Introduction {
        host: ctx.host().to_owned(),
        info: host_list::own_info(ctx),
    });
    add(ctx, &requesting);
    Some(postcard::to_stdvec(&introductions).expect("Introductions are representable."))
}

fn others(ctx: &Context, requesting: &str) -> Vec<Introduction> {
    let known = lock(&ctx.peers.known);
    let others = known.iter().filter_map(|(host, peer)| {
        let info = HostInfo {
            addr: peer.addr,
            data_centre: peer.data_centre.clone()?,
        };
        let host = host.clone();
        (host != requesting).then_some(Introduction { host, info })
    });
    others.sample(&mut rand::rng(), HOSTS_RETURNED_MAX)
}

/// Adds a host; returns whether it was unknown.
fn add(ctx: &Arc<Context>, introduction: &Introduction) -> bool {
    if introduction.host == ctx.host() || lock(&ctx.peers.known).contains_key(&introduction.host) {
        return false;
    }
    host_list::add_contact(ctx, &introduction.host, &introduction.info);
    cell::update_division(ctx);
    ctx.peers.notify();
    true
}
