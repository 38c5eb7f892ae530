//! Copies of the origins of streams at peers, and requests for them.
//!
//! Copies are sent as datagrams, each to several hosts: a lost one costs a copy. A request is a
//! call, as its caller must distinguish a peer that has no record from one that doesn't answer.
//! The host that has the record may have ranked the peers otherwise, so those that rank next
//! are asked too, in waves, while the first ones have not answered.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use notchwharf_origins::Lookup;
use notchwharf_origins::Origin;
use notchwharf_origins::StreamKey;
use notchwharf_origins::holders;
use notchwharf_origins::holders::Candidate;
use notchwharf_proto::messages;
use notchwharf_proto::messages::OriginAnswer;
use notchwharf_proto::messages::PeerMessage;
use notchwharf_proto::messages::StreamOrigin;
use notchwharf_routing::balancer::HostId;

use super::Peer;
use super::cell;
use super::rpc;
use crate::context::Context;
use crate::metrics::Counted;
use crate::origins;
use crate::sync::lock;
use crate::time::millis;
use crate::time::ms;

/// Time after which further peers are asked: several times the latency between data centres.
const WAVE_INTERVAL: Duration = Duration::from_millis(60);
/// Interval of checks for peers while a starting host knows none.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(20);

/// What peers know of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PeerLookup {
    /// A peer has a record.
    Known {
        /// The peer.
        host: HostId,
        /// The origin.
        origin: Origin,
        /// The age of the record.
        age: Duration,
    },
    /// The stream's id was used for streams of several origins.
    Conflicting,
    /// All peers that may have a record have none.
    Unknown,
    /// Some of them are not known, or didn't answer.
    Unanswered,
}

/// Sends an origin to the peers that hold copies.
pub(crate) fn send_copies(ctx: &Context, stream: StreamKey, origin: &Origin, keep: Duration) {
    let copy = copy(stream, origin, keep);
    for (_, addr) in holders_of(ctx, stream) {
        send(ctx, addr, vec![copy.clone()]);
    }
}

/// Returns the peers that hold copies of a stream's origin. Failures of hosts of other cells are
/// not detected here, but those of silent hosts are marked in the list.
fn holders_of(ctx: &Context, stream: StreamKey) -> Vec<(HostId, SocketAddr)> {
    let cells = ctx.peers.cell_state.cells();
    ranked(ctx, stream, holders::COPIES, |host, peer| {
        let is_remote = cells.is_divided() && !cell::is_in_own_cell(ctx, cells, host, peer);
        peer.is_alive || (is_remote && !peer.has_left && !peer.is_marked_silent)
    })
}

/// Sends the origins of this host's streams to a host that has started, if it is to hold copies.
pub(super) fn send_to_new_host(ctx: &Context, host: &str, addr: SocketAddr) {
    let running = origins::running(ctx);
    let held = running.iter().filter(|(stream, ..)| {
        let holders = holders_of(ctx, *stream);
        holders.iter().any(|(holder, _)| holder == host)
    });
    let copies = held.map(|(stream, origin, keep)| copy(*stream, origin, *keep));
    for part in messages::split_by_size(copies, messages::origin_encoded_len) {
        send(ctx, addr, part);
    }
}

fn copy(stream: StreamKey, origin: &Origin, keep: Duration) -> StreamOrigin {
    StreamOrigin {
        stream,
        service: origin.service.clone(),
        version: origin.version.clone(),
        keep_ms: millis(keep),
    }
}

fn send(ctx: &Context, addr: SocketAddr, copies: Vec<StreamOrigin>) {
    let count = u64::try_from(copies.len()).unwrap_or(u64::MAX);
    ctx.metrics.add(Counted::StreamOrigins, "sent", count);
    ctx.peers.send_to(addr, &PeerMessage::StreamOrigins(copies));
}

/// Records the origins that a peer sent.
pub(super) fn apply(ctx: &Context, copies: Vec<StreamOrigin>) {
    let count = u64::try_from(copies.len()).unwrap_or(u64::MAX);
    ctx.metrics.add(Counted::StreamOrigins, "received", count);
    for copy in copies {
        let origin = Origin {
            service: copy.service,
            version: copy.version,
        };
        origins::record_copy(ctx, copy.stream, &origin, ms(copy.keep_ms));
    }
}

/// Returns the answer to a peer's request for an origin.
pub(super) fn respond(ctx: &Context, body: &[u8]) -> Option<Vec<u8>> {
    let stream: StreamKey = postcard::from_bytes(body).ok()?;
    let answer = match origins::recorded(ctx, stream) {
        Lookup::Known {
            origin,
            recorded_at,
        } => OriginAnswer::Known {
            service: origin.service.clone(),
            version: origin.version.clone(),
            age_ms: millis(recorded_at.elapsed()),
        },
        Lookup::Conflicting => OriginAnswer::Conflicting,
        Lookup::Unknown => OriginAnswer::Unknown,
    };
    Some(postcard::to_stdvec(&answer).expect("Answers are representable."))
}

/// Asks peers for the origin of a stream, until one knows it or none is left.
pub(crate) async fn find(ctx: &Arc<Context>, stream: StreamKey, deadline: Instant) -> PeerLookup {
    let mut asked: HashSet<HostId> = HashSet::new();
    let mut pending = FuturesUnordered::new();
    let mut is_unanswered = false;
    while Instant::now() < deadline {
        let candidates = ranked(ctx, stream, holders::ASKED_MAX, |_, peer| !peer.has_left);
        let next = candidates
            .into_iter()
            .filter(|(host, _)| !asked.contains(host));
        let wave: Vec<(HostId, SocketAddr)> = next.take(holders::COPIES).collect();
        for (host, addr) in wave {
            asked.insert(host.clone());
            let timeout = deadline.saturating_duration_since(Instant::now());
            pending.push(ask(host, addr, stream, timeout));
        }
        if pending.is_empty() {
            if ctx.peers.is_fleet_known() {
                break;
            }
            tokio::time::sleep(DISCOVERY_INTERVAL).await;
            continue;
        }
        let wave_end = deadline.min(Instant::now() + WAVE_INTERVAL);
        while let Ok(Some((host, answer))) =
            tokio::time::timeout_at(wave_end.into(), pending.next()).await
        {
            match answer {
                Some(OriginAnswer::Known {
                    service,
                    version,
                    age_ms,
                }) => {
                    return PeerLookup::Known {
                        host,
                        origin: Origin { service, version },
                        age: ms(age_ms),
                    };
                }
                Some(OriginAnswer::Conflicting) => return PeerLookup::Conflicting,
                Some(OriginAnswer::Unknown) => {}
                None => is_unanswered = true,
            }
        }
    }
    if is_unanswered || !pending.is_empty() || !ctx.peers.is_fleet_known() {
        return PeerLookup::Unanswered;
    }
    PeerLookup::Unknown
}

/// Asks a peer for the origin of a stream; `None` if it doesn't answer, or cannot, like hosts of
/// earlier builds.
async fn ask(
    host: HostId,
    addr: SocketAddr,
    stream: StreamKey,
    timeout: Duration,
) -> (HostId, Option<OriginAnswer>) {
    let body = postcard::to_stdvec(&stream).expect("Keys are representable.");
    let called = rpc::call(addr, rpc::STREAM_ORIGINS, Bytes::from(body), timeout).await;
    let answer = called.ok().and_then(|b| postcard::from_bytes(&b).ok());
    (host, answer)
}

/// Returns the peers that rank first for a stream among those that satisfy a condition.
fn ranked(
    ctx: &Context,
    stream: StreamKey,
    count: usize,
    condition: impl Fn(&str, &Peer) -> bool,
) -> Vec<(HostId, SocketAddr)> {
    let known = lock(&ctx.peers.known);
    let eligible = known.iter().filter(|(host, peer)| condition(host, peer));
    let candidates = eligible.map(|(host, peer)| Candidate {
        host,
        data_centre: peer.data_centre.as_deref().unwrap_or_default(),
    });
    let ranked = holders::ranked(stream, candidates, count);
    let addrs = ranked
        .into_iter()
        .filter_map(|host| Some((host.to_owned(), known.get(host)?.addr)));
    addrs.collect()
}
