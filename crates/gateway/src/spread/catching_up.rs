//! Requests missing records from other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_listen::Phase;
use notchwharf_proto::records;
use tokio::sync::watch;

use super::Distributor;
use super::Links;
use super::OperatorRecords;
use crate::catalog::PeerReading;
use crate::catalog::Versions;
use crate::metrics::Counted;
use crate::sync::lock;
use crate::time::sleep_random;

/// Random delay before a request, which spreads the requests of hosts that received the
/// same announcement.
const REQUEST_JITTER_MS: std::ops::Range<u64> = 0..30;
/// Random delay before a retry.
const RETRY_JITTER_MS: std::ops::Range<u64> = 20..80;
/// Failed requests after which a host waits for the next announcement.
const ATTEMPTS_MAX: u32 = 10;

/// Versions and offsets that other hosts have and this one is missing.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Missing {
    pub(super) versions: Versions,
    pub(super) targets_to: u64,
    pub(super) hosts: u64,
    /// The sender of the last announcement of missing state.
    pub(super) source: Option<SocketAddr>,
}

impl Missing {
    /// Adds what another host has announced.
    fn merge(&mut self, announced: Self) {
        self.versions.config = self.versions.config.max(announced.versions.config);
        self.versions.targets = self.versions.targets.max(announced.versions.targets);
        self.targets_to = self.targets_to.max(announced.targets_to);
        self.hosts = self.hosts.max(announced.hosts);
        self.source = announced.source;
    }
}

/// Requests missing records from other hosts, until the host stops.
pub(crate) async fn catch_up(distributor: Arc<Distributor>, mut phase: watch::Receiver<Phase>) {
    let Some(links) = distributor.links.get() else {
        return;
    };
    loop {
        tokio::select! {
            () = distributor.is_behind.notified() => {}
            // A closed phase channel also means that the host has stopped.
            _ = phase.wait_for(|phase| *phase == Phase::Stopped) => return,
        }
        sleep_random(REQUEST_JITTER_MS).await;
        let mut attempts = 0;
        let mut requests: u32 = 0;
        while attempts < ATTEMPTS_MAX && distributor.is_missing_records(links) {
            let announced_by = lock(&distributor.missing).source;
            let newer_peer = (links.newer_peer)();
            // The sender has the records first but is contacted by other hosts as well, so
            // requests alternate between it and a newer peer.
            let addr = match requests % 2 {
                0 => announced_by.or(newer_peer),
                _ => newer_peer.or(announced_by),
            };
            requests = requests.wrapping_add(1);
            let Some(addr) = addr else {
                break;
            };
            if distributor.request(links, addr).await {
                attempts = 0;
            } else {
                attempts += 1;
                sleep_random(RETRY_JITTER_MS).await;
            }
        }
        // Records that no host has may not exist; the next announcement shows what is missing.
        *lock(&distributor.missing) = Missing::default();
    }
}

impl Distributor {
    fn is_missing_records(&self, links: &Links) -> bool {
        let missing = *lock(&self.missing);
        self.lacks(links, &missing)
    }

    /// Returns whether this host does not have all that another one has announced.
    pub(super) fn lacks(&self, links: &Links, announced: &Missing) -> bool {
        let catalog = &self.deps.catalog;
        catalog.is_behind(announced.versions)
            || catalog.targets_end() < announced.targets_to
            || (links.hosts_end)() < announced.hosts
    }

    /// Starts requests for what another host has announced.
    pub(super) fn add_missing(&self, announced: Missing) {
        lock(&self.missing).merge(announced);
        self.is_behind.notify_one();
    }

    /// Requests missing records from a host; returns whether any were received.
    async fn request(&self, links: &Links, addr: SocketAddr) -> bool {
        let catalog = &self.deps.catalog;
        let (targets, hosts_from) = (catalog.targets_position(), (links.hosts_end)());
        let request = records::ChangesRequest {
            config: catalog.versions().config,
            targets_from: targets.from,
            targets_after: targets.after.clone(),
            hosts_from,
        };
        let requested_at = Instant::now();
        let response = match (links.request)(addr, request).await {
            Ok(response) => response,
            Err(why) => {
                self.deps.metrics.count(Counted::Changes, "peer not asked");
                slog::debug!(self.deps.logger, "request for changes failed";
                    "addr" => addr.to_string(), "error" => why);
                return false;
            }
        };
        self.deps.metrics.count(Counted::Changes, "peer asked");
        let is_config = response.config.is_some() || response.evacuated.is_some();
        let operator_records = OperatorRecords {
            config: response.config,
            evacuated: response.evacuated,
        };
        (links.apply)(operator_records, response.hosts).await;
        // Ages are relative to the time of the response, which is no earlier than the request.
        let reading = PeerReading::from_peer(&response.reading, Duration::ZERO, requested_at);
        if catalog.apply_peer_targets(response.targets, reading, Instant::now()) {
            (links.targets_changed)();
        }
        is_config || catalog.targets_position() != targets || (links.hosts_end)() > hosts_from
    }
}
