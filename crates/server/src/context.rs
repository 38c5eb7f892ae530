//! State shared by all modules of a server.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::RwLockReadGuard;
use std::sync::RwLockWriteGuard;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use futures_util::FutureExt as _;
use jsonrpsee::http_client::HttpClient;
use notchwharf_clients::blob::BlobStore;
use notchwharf_clients::hosts::Kind;
use notchwharf_clients::hosts::ListEntry;
use notchwharf_clients::http::CallResult;
use notchwharf_clients::http::Client;
use notchwharf_clients::log::Log;
use notchwharf_clients::target::TargetClient;
use notchwharf_config::settings::Settings;
use notchwharf_config::settings::ms;
use notchwharf_ledger::owner::Now;
use notchwharf_ledger::record::Blob;
use notchwharf_ledger::record::BlobId;
use notchwharf_ledger::record::HostId;
use notchwharf_ledger::record::Incarnation;
use notchwharf_ledger::record::ShardId;
use notchwharf_ledger::record::TargetId;
use notchwharf_listen::Drain;
use notchwharf_listen::Phase;
use notchwharf_membership::fact;
use notchwharf_quarantine::gate::Gate;
use notchwharf_routing::admission::Admission;
use notchwharf_routing::budget::Budget;
use notchwharf_routing::limit::Objectives;
use notchwharf_routing::table;
use notchwharf_routing::table::Table;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::bundle::ActiveBundle;
use crate::bundle::BundleFollower;
use crate::callers::Callers;
use crate::dispatch::Dispatcher;
use crate::file_reader::FileReader;
use crate::members::Members;
use crate::metrics::Counted;
use crate::metrics::Metrics;
use crate::pacer::Pacer;
use crate::results::ResultWriter;
use crate::shards::ShardActor;
use notchwharf_telemetry::gauge::Gauge;
use notchwharf_timer::Timer;

/// Time for which a long-polling read of the log waits for records.
pub(crate) const LOG_WAIT: Duration = Duration::from_secs(2);

/// This host's view of the fleet.
#[derive(Debug, Default)]
pub(crate) struct View {
    pub(crate) hosts: HashMap<HostId, fact::Host>,
    pub(crate) shard_holders: HashMap<ShardId, fact::Holder>,
    pub(crate) backlogs: HashMap<HostId, fact::Backlog>,
    pub(crate) targets: HashMap<TargetId, fact::Target>,
    pub(crate) listed: HashMap<String, ListEntry>,
}

/// State shared by all modules of a server.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) logger: slog::Logger,
    pub(crate) log: Log,
    pub(crate) blobs: BlobStore,
    pub(crate) targets: TargetClient,
    pub(crate) services: Client,
    pub(crate) services_once: Client,
    pub(crate) timer: Timer,
    pub(crate) metrics: Metrics,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) drain: Drain,
    pub(crate) bundle: watch::Sender<Option<Arc<ActiveBundle>>>,
    pub(crate) pacer: Pacer,
    pub(crate) table: Mutex<Table>,
    pub(crate) admission: Mutex<Admission>,
    pub(crate) budget: Mutex<Budget>,
    pub(crate) view: RwLock<View>,
    pub(crate) shards: RwLock<HashMap<ShardId, xtra::Address<ShardActor>>>,
    pub(crate) held_shards: RwLock<HashMap<ShardId, u64>>,
    pub(crate) dispatchers: RwLock<HashMap<TargetId, xtra::Address<Dispatcher>>>,
    pub(crate) members: OnceLock<xtra::Address<Members>>,
    pub(crate) results: OnceLock<ResultWriter>,
    pub(crate) update_socket: OnceLock<UdpSocket>,
    pub(crate) bundle_follower: OnceLock<Arc<BundleFollower>>,
    pub(crate) connections: Gauge,
    pub(crate) callers: Callers,
    pub(crate) file_reader: FileReader,
    pub(crate) in_flight: Gauge,
    pub(crate) unsettled: Gauge,
    pub(crate) suspects: Arc<Gate>,
    peers: Mutex<HashMap<String, HttpClient>>,
}

impl Context {
    pub(crate) fn new(settings: Settings, logger: slog::Logger, file_reader: FileReader) -> Self {
        let timeout = ms(settings.platform.timeout_ms);
        let log = Log::new(&settings.platform.log_url, timeout, LOG_WAIT);
        let idle = ms(settings.online.idle_timeout_ms);
        let request = ms(settings.online.request_timeout_ms);
        let cfg = table::Config {
            objectives: Objectives {
                first_token: ms(settings.online.first_token_objective_ms),
                inter_token: ms(settings.online.inter_token_objective_ms),
            },
            streams_max: settings.batch.slots_max,
            ..table::Config::default()
        };
        let in_flight_max = settings.online.in_flight_max as usize;
        Self {
            incarnation: unix_ms(),
            blobs: BlobStore::new(log.clone(), &settings.host.name),
            log,
            targets: TargetClient::new(timeout, idle),
            services: Client::new(request),
            services_once: Client::unpooled(request),
            timer: Timer::start(),
            metrics: Metrics::new(),
            phase: watch::Sender::new(Phase::Starting),
            drain: Drain::default(),
            bundle: watch::Sender::new(None),
            pacer: Pacer::default(),
            table: Mutex::new(Table::new(cfg, rand::random())),
            admission: Mutex::new(Admission::new(in_flight_max)),
            budget: Mutex::new(Budget::new(settings.online.retry_share_percent)),
            view: RwLock::default(),
            shards: RwLock::default(),
            held_shards: RwLock::default(),
            dispatchers: RwLock::default(),
            members: OnceLock::new(),
            results: OnceLock::new(),
            update_socket: OnceLock::new(),
            bundle_follower: OnceLock::new(),
            connections: Gauge::default(),
            callers: Callers::new(&settings),
            file_reader,
            in_flight: Gauge::default(),
            unsettled: Gauge::default(),
            suspects: Gate::new(settings.host.name.clone()),
            peers: Mutex::default(),
            settings,
            logger,
        }
    }

    /// Appends a record and counts the outcome. Returns whether the log confirmed it with
    /// an offset; an unconfirmed record may nevertheless be in the stream.
    pub(crate) async fn append(&self, stream: &str, record: Vec<u8>) -> bool {
        let is_confirmed = self.log.append(stream, record).await.is_ok();
        let outcome = if is_confirmed {
            "append taken"
        } else {
            "append lost"
        };
        self.metrics.count(Counted::Log, outcome);
        is_confirmed
    }

    /// Writes a blob once the pacer allows this host to append.
    pub(crate) async fn write_blob(&self, blob: &Blob) -> CallResult<BlobId> {
        self.pacer.wait().await;
        self.blobs.write(blob).await
    }

    pub(crate) fn host(&self) -> &HostId {
        &self.settings.host.name
    }

    pub(crate) fn now(&self) -> Now {
        Now {
            at: Instant::now(),
            unix_ms: unix_ms(),
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub(crate) fn active(&self) -> Option<Arc<ActiveBundle>> {
        self.bundle.borrow().clone()
    }

    pub(crate) fn bundle_follower(&self) -> Option<&Arc<BundleFollower>> {
        self.bundle_follower.get()
    }

    pub(crate) fn view(&self) -> RwLockReadGuard<'_, View> {
        self.view.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn view_mut(&self) -> RwLockWriteGuard<'_, View> {
        self.view.write().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn table(&self) -> MutexGuard<'_, Table> {
        lock(&self.table)
    }

    pub(crate) fn shard(&self, shard: ShardId) -> Option<xtra::Address<ShardActor>> {
        let shards = self.shards.read();
        let shards = shards.unwrap_or_else(PoisonError::into_inner);
        shards.get(&shard).cloned()
    }

    pub(crate) fn dispatcher(&self, target: &str) -> Option<xtra::Address<Dispatcher>> {
        let all = self.dispatchers.read();
        let all = all.unwrap_or_else(PoisonError::into_inner);
        all.get(target).cloned()
    }

    pub(crate) fn all_dispatchers(&self) -> Vec<xtra::Address<Dispatcher>> {
        let all = self.dispatchers.read();
        let all = all.unwrap_or_else(PoisonError::into_inner);
        all.values().cloned().collect()
    }

    /// Returns the client of another host, which is created on the first call.
    pub(crate) fn peer_client(&self, url: &str, timeout: Duration) -> Option<HttpClient> {
        let mut peers = lock(&self.peers);
        if let Some(client) = peers.get(url) {
            return Some(client.clone());
        }
        let client = crate::ledger::peer_client(url, timeout)?;
        peers.insert(url.to_owned(), client.clone());
        Some(client)
    }

    /// Returns the base URL of a target in the host list.
    pub(crate) fn target_url(&self, target: &str) -> Option<String> {
        let view = self.view();
        match &view.listed.get(target)?.kind {
            Kind::Engine { url, .. } | Kind::Service { url, .. } => Some(url.clone()),
            Kind::Host { .. } => None,
        }
    }

    /// Enters the phase `Leaving` unless the host has reached it.
    pub(crate) fn begin_leaving(&self) {
        self.phase.send_if_modified(|phase| {
            let should_leave = *phase < Phase::Leaving;
            if should_leave {
                *phase = Phase::Leaving;
            }
            should_leave
        });
    }

    /// Drops the addresses that keep actors alive, which stops the actors.
    pub(crate) fn stop_actors(&self) {
        let dispatchers = self.dispatchers.write();
        dispatchers.unwrap_or_else(PoisonError::into_inner).clear();
        let shards = self.shards.write();
        shards.unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Publishes a fact to the fleet.
    pub(crate) fn publish_fact(&self, fact: fact::Fact) {
        if let Some(members) = self.members.get() {
            post(members, crate::members::LocalFact(fact));
        }
    }
}

impl View {
    /// Returns the hosts that can hold leases.
    pub(crate) fn live_hosts(&self) -> Vec<&str> {
        let live = self.hosts.iter().filter(|(_, host)| host.is_live());
        live.map(|(id, _)| id.as_str()).collect()
    }

    /// Returns the URL at which a host serves other hosts.
    pub(crate) fn peer_url(&self, host: &str) -> Option<String> {
        let addr = self.hosts.get(host)?.addr.as_ref()?;
        Some(addr.peer_url.clone())
    }

    /// Returns the engines that are not leaving.
    pub(crate) fn engines(&self) -> Vec<&ListEntry> {
        let engine = |l: &&ListEntry| matches!(l.kind, Kind::Engine { .. }) && !l.leaving;
        self.listed.values().filter(engine).collect()
    }
}

/// Sends a message to an actor without waiting until it is handled.
pub(crate) fn post<A, M>(address: &xtra::Address<A>, message: M)
where
    A: xtra::Handler<M>,
    M: Send + 'static,
{
    // Mailboxes are unbounded, so sending completes at the first poll. A stopped actor
    // needs no message.
    let _ = address.send(message).detach().now_or_never();
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.map_or(0, |d| d.as_millis());
    u64::try_from(ms).unwrap_or(u64::MAX)
}
