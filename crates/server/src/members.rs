//! Maintains this host's view of the fleet from gossip, the platform's host list and its own
//! observations.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_clients::hosts::HostList;
use notchwharf_clients::hosts::Kind;
use notchwharf_clients::hosts::ListEntry;
use notchwharf_config::history::InForce;
use notchwharf_config::settings::ms;
use notchwharf_membership::fact;
use notchwharf_membership::fact::Address as HostAddress;
use notchwharf_membership::fact::Fact;
use notchwharf_membership::fact::Health;
use notchwharf_membership::gossip::Config;
use notchwharf_membership::gossip::Gossip;
use notchwharf_membership::gossip::Input;
use notchwharf_proto::datagram;
use notchwharf_proto::datagram::Datagram;
use notchwharf_proto::peer::PeerClient as _;
use notchwharf_routing::table::Report;
use tokio::net::UdpSocket;
use xtra::prelude::*;

use crate::bundle::BundleFollower;
use crate::context::Context as Shared;
use crate::context::post;
use crate::dispatch::ConfirmItems;
use crate::dispatch::OnlineStreams;
use crate::metrics::Counted;
use crate::quarantine;
use crate::shards::HostFailed;
use notchwharf_listen::Phase;

const TICK_INTERVAL: Duration = Duration::from_millis(20);
const DATAGRAM_BYTES_MAX: usize = 2_048;
/// Time to wait for a bundle from the log before requesting it from a peer.
const BUNDLE_FETCH_DELAY: Duration = Duration::from_millis(500);
const PEER_TIMEOUT: Duration = Duration::from_secs(4);
/// Roles of targets as encoded in facts.
pub(crate) const ROLE_ANY: u8 = 0;
pub(crate) const ROLE_ONLINE: u8 = 1;
pub(crate) const ROLE_BATCH: u8 = 2;

/// A fact that this host learned from a source other than gossip.
pub(crate) struct LocalFact(pub(crate) Fact);
/// A gossip datagram was received.
struct GossipReceived(Vec<u8>);
struct Tick;
/// Announces that this host leaves.
pub(crate) struct Leave;

/// The actor that runs the gossip protocol.
pub(crate) struct Members {
    shared: Arc<Shared>,
    follower: Arc<BundleFollower>,
    gossip: Gossip,
    socket: Arc<UdpSocket>,
}

impl Actor for Members {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<LocalFact> for Members {
    type Return = ();

    async fn handle(&mut self, local: LocalFact, _: &mut Context<Self>) {
        self.step(Input::Fact(local.0)).await;
    }
}

impl Handler<GossipReceived> for Members {
    type Return = ();

    async fn handle(&mut self, received: GossipReceived, _: &mut Context<Self>) {
        self.step(Input::Datagram(received.0)).await;
    }
}

impl Handler<Tick> for Members {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        self.step(Input::Tick).await;
    }
}

impl Handler<Leave> for Members {
    type Return = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        self.step(Input::Leave).await;
    }
}

impl Members {
    async fn step(&mut self, input: Input) {
        let out = self.gossip.step(Instant::now(), input);
        for fact in out.changed {
            self.apply_fact(fact);
        }
        for (addr, bytes) in out.sends {
            let bytes = datagram::encode(&Datagram::Gossip(bytes));
            let len = bytes.len() as u64;
            self.shared.metrics.add(Counted::GossipBytes, "sent", len);
            // A failed send is treated like a datagram lost in transit.
            let _ = self.socket.send_to(&bytes, addr).await;
        }
    }

    fn apply_fact(&self, fact: Fact) {
        let shared = &self.shared;
        match fact {
            Fact::Host(id, host) => self.apply_host(id, host),
            Fact::Shard(shard, holder) => {
                shared.view_mut().shard_holders.insert(shard, holder);
                for dispatcher in shared.all_dispatchers() {
                    post(&dispatcher, ConfirmItems(shard));
                }
            }
            Fact::Backlog(host, backlog) => {
                shared.view_mut().backlogs.insert(host, backlog);
            }
            Fact::Bundle(version) => self.fetch_bundle_later(version),
            Fact::Target(id, target) => {
                shared.view_mut().targets.insert(id.clone(), target);
                update_table(shared, &id);
            }
        }
    }

    fn apply_host(&self, id: String, host: fact::Host) {
        let before = self
            .shared
            .view_mut()
            .hosts
            .insert(id.clone(), host.clone());
        let has_restarted = before.as_ref().map(|b| b.incarnation) != Some(host.incarnation);
        let failed = if host.health == Health::Down {
            Some(host.incarnation)
        } else if has_restarted {
            host.incarnation.checked_sub(1)
        } else {
            None
        };
        if let Some(incarnation) = failed {
            let failed = HostFailed {
                host: id.clone(),
                incarnation,
            };
            for (_, shard) in self.shared.shard_actors() {
                post(&shard, failed.clone());
            }
        }
        let has_changed =
            before.is_none_or(|b| (b.health, b.leaving) != (host.health, host.leaving));
        if has_changed {
            slog::info!(self.shared.logger, "host changed";
                "peer" => id, "health" => ?host.health, "leaving" => host.leaving);
        }
    }

    fn fetch_bundle_later(&self, version: u64) {
        let shared = Arc::clone(&self.shared);
        let follower = Arc::clone(&self.follower);
        tokio::spawn(async move {
            tokio::time::sleep(BUNDLE_FETCH_DELAY).await;
            fetch_bundle(&shared, &follower, version).await;
        });
    }
}

/// Fetches the bundle from a peer if it has not arrived from the log.
async fn fetch_bundle(shared: &Shared, follower: &BundleFollower, version: u64) {
    let is_behind = || shared.active().map(|a| a.version) < Some(version);
    let urls: Vec<String> = {
        let view = shared.view();
        let hosts = view.live_hosts();
        hosts.iter().filter_map(|h| view.peer_url(h)).collect()
    };
    for url in urls {
        if !is_behind() {
            return;
        }
        let Some(client) = shared.peer_client(&url, PEER_TIMEOUT) else {
            continue;
        };
        if let Ok(Some(copy)) = client.bundle().await {
            let in_force = InForce::new(copy.version, copy.since, copy.bundle);
            follower.adopt(shared, in_force);
        }
    }
}

/// Updates the routing table's entry of a target.
pub(crate) fn update_table(shared: &Shared, id: &str) {
    let report = {
        let view = shared.view();
        report(view.listed.get(id), view.targets.get(id))
    };
    if let Some(report) = report {
        shared.table().upsert(id, report, Instant::now());
    }
}

fn report(listed: Option<&ListEntry>, reported: Option<&fact::Target>) -> Option<Report> {
    if let Some(ListEntry { kind, .. }) = listed
        && let Kind::Service { service, .. } = kind
    {
        return Some(Report {
            incarnation: listed.map_or(0, |l| l.incarnation),
            is_leaving: listed.is_none_or(|l| l.leaving) || reported.is_some_and(|k| k.leaving),
            is_for_online: true,
            is_for_batch: false,
            models: vec![service_fingerprint(service)],
        });
    }
    let reported = reported?;
    let is_unlisted = listed.is_none();
    Some(Report {
        incarnation: reported.incarnation,
        is_leaving: reported.leaving || is_unlisted,
        is_for_online: reported.role != ROLE_BATCH,
        is_for_batch: reported.role != ROLE_ONLINE,
        models: reported.holds.clone(),
    })
}

/// Returns the fingerprint of a plain service in the routing table.
pub(crate) fn service_fingerprint(service: &str) -> String {
    format!("service/{service}")
}

/// Starts the gossip actor and the tasks that send messages to it.
pub(crate) fn start(
    shared: &Arc<Shared>,
    follower: &Arc<BundleFollower>,
    socket: UdpSocket,
    addr: HostAddress,
) -> Address<Members> {
    let s = &shared.settings;
    let cfg = Config {
        probe_interval: ms(s.membership.probe_ms),
        suspicion_timeout: ms(s.membership.suspect_ms),
        ..Config::new(shared.host())
    };
    let socket = Arc::new(socket);
    let now = Instant::now();
    let gossip = Gossip::new(cfg, shared.incarnation, addr, rand::random(), now);
    let own_fact = gossip.own_fact();
    let members = Members {
        shared: Arc::clone(shared),
        follower: Arc::clone(follower),
        gossip,
        socket: Arc::clone(&socket),
    };
    members.apply_fact(own_fact);
    let address = xtra::spawn_tokio(members, Mailbox::unbounded());
    tokio::spawn(receive(Arc::clone(shared), socket, address.clone()));
    tokio::spawn(send_ticks(Arc::clone(shared), address.clone()));
    tokio::spawn(poll_list(Arc::clone(shared), address.clone()));
    address
}

async fn send_ticks(shared: Arc<Shared>, members: Address<Members>) {
    let mut ticks = shared.timer.subscribe(TICK_INTERVAL);
    while ticks.recv().await.is_some() && shared.phase() != Phase::Stopped {
        if members.send(Tick).await.is_err() {
            return;
        }
    }
}

async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>, members: Address<Members>) {
    let mut buf = vec![0; DATAGRAM_BYTES_MAX];
    let mut phase = shared.phase.subscribe();
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buf) => received,
            _ = phase.wait_for(|p| *p == Phase::Stopped) => return,
        };
        let Ok((len, _)) = received else {
            continue;
        };
        handle_datagram(&shared, &members, &buf[..len]);
    }
}

fn handle_datagram(shared: &Shared, members: &Address<Members>, bytes: &[u8]) {
    let len = bytes.len() as u64;
    shared.metrics.add(Counted::GossipBytes, "received", len);
    match datagram::decode(bytes) {
        Some(Datagram::Gossip(bytes)) => post(members, GossipReceived(bytes)),
        Some(Datagram::Online {
            host,
            target,
            streams,
        }) => {
            if let Some(dispatcher) = shared.dispatcher(&target) {
                post(&dispatcher, OnlineStreams { host, streams });
            }
        }
        Some(Datagram::Suspects(reports)) => quarantine::merge_reports(shared, &reports),
        Some(Datagram::SuspectParts(reports)) => quarantine::merge_part_reports(shared, &reports),
        None => {}
    }
}

/// Polls the platform's host list.
async fn poll_list(shared: Arc<Shared>, members: Address<Members>) {
    let platform = &shared.settings.platform;
    let list = HostList::new(&platform.host_list_url, ms(platform.timeout_ms));
    let mut ticks = shared.timer.subscribe(ms(platform.poll_ms));
    while shared.phase() != Phase::Stopped {
        // If the list cannot be read, the entries of the last read are kept.
        if let Ok(listed) = list.read().await {
            apply_list(&shared, &members, listed);
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

fn apply_list(shared: &Shared, members: &Address<Members>, listed: Vec<ListEntry>) {
    for entry in &listed {
        if let Some(fact) = fact_from_entry(entry) {
            post(members, LocalFact(fact));
        }
    }
    let names: Vec<String> = {
        let mut view = shared.view_mut();
        let old = std::mem::take(&mut view.listed);
        view.listed = listed.into_iter().map(|l| (l.name.clone(), l)).collect();
        old.into_keys().chain(view.listed.keys().cloned()).collect()
    };
    for name in names {
        update_table(shared, &name);
    }
}

fn fact_from_entry(entry: &ListEntry) -> Option<Fact> {
    let name = entry.name.clone();
    let (incarnation, leaving) = (entry.incarnation, entry.leaving);
    match &entry.kind {
        Kind::Host {
            peer_url,
            gossip_addr,
            ..
        } => {
            let addr = HostAddress {
                gossip: *gossip_addr,
                peer_url: peer_url.clone(),
                data_centre: entry.data_centre.clone(),
            };
            let host = fact::Host {
                incarnation,
                leaving,
                addr: Some(addr),
                ..fact::Host::default()
            };
            Some(Fact::Host(name, host))
        }
        Kind::Engine { .. } | Kind::Service { .. } => {
            let target = fact::Target {
                incarnation,
                leaving,
                ..fact::Target::default()
            };
            Some(Fact::Target(name, target))
        }
    }
}
