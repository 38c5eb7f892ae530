//! State shared by all modules of a host.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use notchwharf_config::gateway::Settings;
use notchwharf_config::routes::Table;
use notchwharf_duties::Supervisor;
use notchwharf_listen::Drain;
use notchwharf_listen::Phase;
use notchwharf_routing::balancer;
use notchwharf_routing::balancer::Balancer;
use notchwharf_routing::budget::Budget;
use notchwharf_startup::Dependency;
use notchwharf_startup::Startup;
use notchwharf_telemetry::gauge::Gauge;
use notchwharf_timer::Timer;
use tokio::sync::watch;

use crate::blobs::Blobs;
use crate::catalog;
use crate::catalog::Catalog;
use crate::follower::Follower;
use crate::intake::Callers;
use crate::items::Items;
use crate::journal::Journal;
use crate::limits::Limits;
use crate::metrics::Counted;
use crate::metrics::Metrics;
use crate::origins::StreamOrigins;
use crate::peers::Peers;
use crate::ports::Decode;
use crate::ports::Ports;
use crate::ports::Targets;
use crate::progress;
use crate::progress::Progress;
use crate::quarantine::Suspects;
use crate::spread;
use crate::spread::Distributor;
use crate::store::Store;
use crate::submissions::Submissions;
use crate::sync::lock;
use crate::time::ms;
use crate::time::unix_ms;
use crate::waiting;
use crate::waiting::RequestQueue;

/// Maximum number of retries, in percent of successful requests: enough if a fifth of the targets
/// crashes, too few to double the load of the others.
const RETRY_SHARE_PERCENT: u32 = 30;

/// State shared by all modules of a host.
pub struct Context {
    /// The settings.
    pub settings: Settings,
    /// The logger.
    pub logger: slog::Logger,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// The timer service.
    pub timer: Timer,
    /// The lifecycle phase of the process.
    pub phase: watch::Sender<Phase>,
    /// The end of its service, once it shuts down.
    pub drain: Drain,
    /// Keeps the tasks of this host running.
    duties: Supervisor,
    /// The current routes; `None` until they are known.
    pub routes: watch::Sender<Option<Arc<Table>>>,
    /// Requests and calls that have not been responded to yet.
    pub in_flight: Gauge,
    /// Connections of callers.
    pub connections: Gauge,
    /// What callers occupy.
    pub callers: Callers,
    /// When the process started.
    pub started: Instant,
    /// The time of day at which the process started, in milliseconds, by which peers distinguish
    /// restarts.
    pub incarnation: u64,
    /// Identifies this start of the host in the keys of its records. It is random, since one
    /// derived from a clock that was set back could reproduce keys that are in use.
    pub(crate) writer_id: String,
    /// Numbers of the submissions of this process.
    pub(crate) submissions: Submissions,
    pub(crate) store: Store,
    pub(crate) targets: Targets,
    pub(crate) decode: Decode,
    pub(crate) balancer: Arc<Mutex<Balancer>>,
    pub(crate) budget: Mutex<Budget>,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) distributor: Arc<Distributor>,
    /// The job records.
    pub journal: Journal,
    pub(crate) blobs: Blobs,
    pub(crate) peers: Peers,
    pub(crate) items: Items,
    pub(crate) progress: Progress,
    pub(crate) startup: Arc<Startup>,
    pub(crate) suspects: Suspects,
    pub(crate) limits: Limits,
    pub(crate) origins: StreamOrigins,
    pub(crate) request_queue: Arc<RequestQueue>,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let host = &self.settings.host.name;
        f.debug_struct("Context")
            .field("host", host)
            .finish_non_exhaustive()
    }
}

impl Context {
    pub(crate) fn new(settings: Settings, ports: Ports, logger: slog::Logger) -> Self {
        let incarnation = unix_ms();
        let metrics = Arc::new(Metrics::default());
        let store = Store::new(ports.store, Arc::clone(&metrics), logger.clone());
        let cfg = balancer::Config {
            reserve: settings.batch.reserve,
            ..balancer::Config::default()
        };
        let balancer = Arc::new(Mutex::new(Balancer::new(cfg, rand::random())));
        let routes = watch::Sender::new(None);
        let wait = ms(settings.online.start_wait_ms);
        let startup = Arc::new(Startup::new(wait, logger.clone()));
        let origins = StreamOrigins::default();
        let catalog_deps = catalog::Dependencies {
            version_history: Arc::clone(&origins.history),
            startup: Arc::clone(&startup),
            store: store.clone(),
            decode: ports.decode,
            balancer: Arc::clone(&balancer),
            routes: routes.clone(),
            metrics: Arc::clone(&metrics),
            logger: logger.clone(),
        };
        let progress = Progress::new(progress::Dependencies {
            store: store.clone(),
            metrics: Arc::clone(&metrics),
            logger: logger.clone(),
            host: settings.host.name.clone(),
            call_bytes_max: usize::try_from(settings.store.call_bytes_max).unwrap_or(usize::MAX),
        });
        let catalog = Arc::new(Catalog::new(&settings, catalog_deps));
        let distributor = Arc::new(Distributor::new(spread::Dependencies {
            host: settings.host.name.clone(),
            incarnation,
            catalog: Arc::clone(&catalog),
            store: store.clone(),
            metrics: Arc::clone(&metrics),
            logger: logger.clone(),
            drain_time: ms(settings.targets.drain_ms),
        }));
        let peers = Peers::new(&settings.peers);
        let request_queue = Arc::new(RequestQueue::new(waiting::Dependencies {
            balancer: Arc::clone(&balancer),
            metrics: Arc::clone(&metrics),
            logger: logger.clone(),
            data_centre: settings.host.data_centre.clone(),
            status_changed: peers.change_notifier(),
        }));
        Self {
            timer: Timer::start(),
            phase: watch::Sender::new(Phase::Starting),
            drain: Drain::default(),
            duties: Supervisor::new(
                notchwharf_duties::Config::default(),
                report_duty(&metrics, &logger),
            ),
            routes,
            in_flight: Gauge::default(),
            connections: Gauge::default(),
            callers: Callers::new(&settings),
            started: Instant::now(),
            incarnation,
            submissions: Submissions::new(),
            writer_id: format!("{}.{:x}", settings.host.name, rand::random::<u64>()),
            targets: ports.targets,
            decode: ports.decode,
            balancer,
            budget: Mutex::new(Budget::new(RETRY_SHARE_PERCENT)),
            catalog,
            distributor,
            journal: Journal::default(),
            blobs: Blobs::new(store.clone(), &settings.store),
            peers,
            request_queue,
            items: Items::default(),
            progress,
            startup,
            suspects: Suspects::new(&settings.host.name),
            limits: Limits::new(&settings),
            origins,
            store,
            metrics,
            settings,
            logger,
        }
    }

    /// Starts a task that ends no earlier than `until`: it is started again if it panics or returns
    /// before. While it is down, the host does not count as healthy.
    pub fn spawn_duty<F>(
        self: &Arc<Self>,
        duty: notchwharf_duties::Name,
        until: Until,
        run: impl Fn(Arc<Self>) -> F + Send + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let phase = self.phase.subscribe();
        let may_end = move || match until {
            Until::Phase(until) => *phase.borrow() >= until,
            Until::Done => true,
        };
        let ctx = Arc::clone(self);
        self.duties
            .spawn(duty, may_end, move || run(Arc::clone(&ctx)));
    }

    /// Returns whether the host serves and all of its tasks are running.
    pub fn is_healthy(&self) -> bool {
        self.phase() == Phase::Ready && self.duties.are_all_up()
    }

    /// Returns this host's name.
    pub fn host(&self) -> &str {
        &self.settings.host.name
    }

    /// Returns the lifecycle phase of the process.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns the current routes.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.routes.borrow().clone()
    }

    /// Returns the current routes, waiting until `deadline` if there are none yet. A starting host
    /// receives them within milliseconds.
    pub async fn wait_for_routes(&self, deadline: Instant) -> Option<Arc<Table>> {
        self.startup
            .wait_ready_until(Dependency::Routes, deadline)
            .await;
        self.table()
    }

    /// Returns the number of targets in use.
    pub fn targets_known(&self) -> usize {
        lock(&self.balancer).ids().count()
    }

    /// Returns whether a target is in use.
    pub fn is_target_known(&self, target: &str) -> bool {
        lock(&self.balancer).spec(target).is_some()
    }

    /// Returns the load of a target by all hosts, as far as known.
    pub fn load_of(&self, target: &str) -> balancer::Load {
        lock(&self.balancer).load(target)
    }

    /// Returns a function that tells whether a target may be sent a request: it is known, and has not said
    /// that it leaves.
    pub(crate) fn may_send_to(
        self: &Arc<Self>,
        target: &str,
    ) -> Arc<dyn Fn() -> bool + Send + Sync> {
        let (ctx, target) = (Arc::clone(self), target.to_owned());
        Arc::new(move || ctx.is_target_known(&target) && !ctx.is_leaving(&target))
    }

    /// Returns whether a target has announced that it shuts down.
    pub fn is_leaving(&self, target: &str) -> bool {
        lock(&self.balancer)
            .spec(target)
            .is_some_and(|spec| spec.is_leaving)
    }

    /// Returns whether this host reads the store's log itself rather than following
    /// another host of its data centre.
    pub fn reads_log(&self) -> bool {
        *self.distributor.is_reader().borrow()
    }

    /// Returns the offset up to which the log of targets has been read.
    pub fn targets_read_to(&self) -> u64 {
        self.catalog.targets_end()
    }

    /// Returns the number of other hosts that are alive.
    pub fn peers_alive(&self) -> usize {
        self.peers.alive_count()
    }

    /// Returns the number of other hosts in the host list.
    pub fn peers_listed(&self) -> usize {
        self.peers.listed_count()
    }

    /// Returns the number of other hosts that have reported that they can reach the store.
    pub fn peers_with_store(&self) -> usize {
        self.peers.with_store_count()
    }

    /// Returns whether the store is considered available.
    pub fn is_store_up(&self) -> bool {
        self.store.is_up()
    }

    /// Returns a follower of the store's topics.
    pub(crate) fn follower(&self) -> Follower {
        Follower {
            store: self.store.clone(),
            logger: self.logger.clone(),
            phase: self.phase.subscribe(),
        }
    }

    /// Advances to a later phase. Requests for an earlier phase are ignored.
    pub(crate) fn advance_phase(&self, phase: Phase) {
        self.phase.send_if_modified(|now| {
            let later = phase > *now;
            if later {
                *now = phase;
            }
            later
        });
    }

    /// Waits until the host has stopped.
    pub(crate) async fn stopped(&self) {
        let mut phase = self.phase.subscribe();
        // The sender exists as long as the context.
        let _ = phase.wait_for(|p| *p == Phase::Stopped).await;
    }
}

/// When a task of a host may end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Until {
    /// From a phase of the host on.
    Phase(Phase),
    /// Once it has done its work.
    Done,
}

/// Returns a function that logs and counts the ends of tasks.
fn report_duty(
    metrics: &Arc<Metrics>,
    logger: &slog::Logger,
) -> impl Fn(&notchwharf_duties::Event) + Send + Sync + 'static {
    let (metrics, logger) = (Arc::clone(metrics), logger.clone());
    move |event| match event {
        notchwharf_duties::Event::Ended { duty, end } => {
            slog::error!(logger, "task ended; starting it again"; "task" => *duty,
                "error" => end.to_string());
            metrics.count(Counted::Changes, "task ended");
        }
        notchwharf_duties::Event::Recovered { duty } => {
            slog::info!(logger, "task runs again"; "task" => *duty);
        }
    }
}
