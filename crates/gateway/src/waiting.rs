//! Online requests that wait at this host for a place, see [`notchwharf_waiting`].
//!
//! A request enters the line, and is told by a channel when a place is counted as its own
//! or when it is refused. One task looks at the line whenever a place may have fallen free,
//! here or by what a peer tells, so that no two requests see the same place. Letting each
//! request look for itself was rejected: all would wake for one place.

mod handing;
mod place;
mod told;
mod wanted;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use notchwharf_config::DataCentreId;
use notchwharf_listen::Phase;
use notchwharf_routing::balancer::Balancer;
use notchwharf_routing::balancer::Choice;
use notchwharf_routing::balancer::TargetKey;
use notchwharf_waiting::FreeSlots;
use notchwharf_waiting::Request;
use notchwharf_waiting::RetrySchedule;
use notchwharf_waiting::ServiceKey;
use notchwharf_waiting::SlotUsage;
use notchwharf_waiting::StartDecision;
use notchwharf_waiting::StartEstimate;
use notchwharf_waiting::Ticket;
use notchwharf_waiting::WaitQueue;
use notchwharf_waiting::key;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

pub(crate) use self::place::Place;
pub(crate) use self::wanted::Refused;
pub(crate) use self::wanted::Standing;
pub(crate) use self::wanted::Wanted;
use crate::metrics::Counted;
use crate::metrics::Metrics;
use crate::sync::lock;
use crate::time::millis;

/// Time between two looks at the line without news: a place that was left to others may be
/// taken after it, and whoever cannot begin in time any more is refused within it.
const TICK: Duration = Duration::from_millis(4);

/// Time for which places elsewhere are left to the requests that wait there, after a host
/// there has told of them: some of its hosts tell this one several times within it.
const SHORT: Duration = Duration::from_millis(300);

/// What the line takes of its host.
pub(crate) struct Dependencies {
    pub(crate) balancer: Arc<Mutex<Balancer>>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) logger: slog::Logger,
    pub(crate) data_centre: String,
    /// Told that peers should know soon of a change.
    pub(crate) status_changed: Arc<Notify>,
}

/// Online requests that wait at this host.
pub(crate) struct RequestQueue {
    uses: Dependencies,
    state: Mutex<State>,
    /// How many wait; what wakes the line asks this first.
    count: AtomicUsize,
    wake: Notify,
    /// Hosts that share the places near by.
    hosts: AtomicU32,
    /// Whether requests wait at hosts, as far as one has come.
    is_on: AtomicBool,
}

#[derive(Default)]
struct State {
    line: WaitQueue,
    shares: SlotUsage,
    turns: RetrySchedule,
    /// When a host of another data centre last told that requests wait there.
    short_at: HashMap<DataCentreId, Instant>,
    entries: HashMap<Ticket, Entry>,
}

impl State {
    /// Returns whether requests wait at targets elsewhere, as far as told.
    fn is_short(&self, data_centre: &str, now: Instant) -> bool {
        let at = self.short_at.get(data_centre);
        at.is_some_and(|at| now.saturating_duration_since(*at) < SHORT)
    }
}

struct Entry {
    wanted: Wanted,
    outcome: oneshot::Sender<Result<Place, Refused>>,
}

/// Takes a request out of the line when its caller leaves.
struct Leave<'a> {
    waiting: &'a RequestQueue,
    ticket: Ticket,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.waiting.state);
        self.waiting.take_out(&mut state, self.ticket);
    }
}

impl RequestQueue {
    pub(crate) fn new(uses: Dependencies) -> Self {
        Self {
            uses,
            state: Mutex::default(),
            count: AtomicUsize::new(0),
            wake: Notify::new(),
            hosts: AtomicU32::new(1),
            is_on: AtomicBool::new(false),
        }
    }

    /// Finds a place for a request, at once or when its turn has come.
    ///
    /// # Errors
    ///
    /// Returns why there is none in time.
    pub(crate) async fn acquire_slot(&self, wanted: Wanted) -> Result<Place, Refused> {
        self.is_on.store(true, Ordering::Relaxed);
        let service = key(&wanted.service);
        let (outcome, decided) = oneshot::channel();
        let (ticket, is_waiting) = {
            let now = Instant::now();
            let mut state = lock(&self.state);
            let ticket = self.enter(&mut state, wanted, outcome, now)?;
            self.serve(&mut state, service, now);
            self.refuse_late(&mut state, service, now);
            (ticket, state.entries.contains_key(&ticket))
        };
        let leave = Leave {
            waiting: self,
            ticket,
        };
        if !is_waiting {
            // Decided at once, so it never stood in the line.
            return decided.await.unwrap_or(Err(Refused::NoTarget));
        }
        self.uses.metrics.count(Counted::WaitQueue, "waits");
        self.uses.status_changed.notify_one();
        // From now on the line is looked at in time.
        self.wake.notify_one();
        let decided = decided.await;
        drop(leave);
        // The line drops nobody without a word but with itself.
        decided.unwrap_or(Err(Refused::NoTarget))
    }

    /// Returns whether requests wait at hosts, as far as one has come here.
    pub(crate) fn has_been_used(&self) -> bool {
        self.is_on.load(Ordering::Relaxed)
    }

    fn enter(
        &self,
        state: &mut State,
        wanted: Wanted,
        outcome: oneshot::Sender<Result<Place, Refused>>,
        now: Instant,
    ) -> Result<Ticket, Refused> {
        let want = wanted.want(&self.uses.data_centre);
        let places = lock(&self.uses.balancer);
        if !places.has_untried(&want) {
            return Err(Refused::NoTarget);
        }
        let pace = places.typical_first_event_time(&wanted.service);
        drop(places);
        let request = Request {
            service: key(&wanted.service),
            workspace: wanted.workspace.as_deref().map_or(0, key),
            priority: wanted.standing.priority,
            waiting_since: wanted.since,
            start_deadline: wanted.due.checked_sub(pace).unwrap_or(now),
        };
        let ticket = state.line.enqueue(request, now);
        state.entries.insert(ticket, Entry { wanted, outcome });
        self.count.store(state.line.len(), Ordering::Relaxed);
        Ok(ticket)
    }

    fn take_out(&self, state: &mut State, ticket: Ticket) -> Option<Entry> {
        state.line.remove(ticket);
        self.count.store(state.line.len(), Ordering::Relaxed);
        state.entries.remove(&ticket)
    }

    /// Lets the host look at the line: a place may have fallen free.
    pub(crate) fn wake(&self) {
        if self.count.load(Ordering::Relaxed) > 0 {
            self.wake.notify_one();
        }
    }

    /// Gives places to requests for a service, as long as it is their turn.
    fn serve(&self, state: &mut State, service: ServiceKey, now: Instant) {
        while let Some(first) = state.line.first(service, &state.shares) {
            let Some(entry) = state.entries.get(&first.ticket) else {
                state.line.remove(first.ticket);
                continue;
            };
            let want = entry.wanted.want(&self.uses.data_centre);
            let mut places = lock(&self.uses.balancer);
            let drain = places.availability(&want, now);
            let open: Vec<FreeSlots> = drain.free.iter().copied().map(open).collect();
            let per_s = drain.releases_per_s.unwrap_or_default();
            let begin = state.line.may_start(&first, &open, per_s, now);
            let spoken_for = |target, data_centre: &str| {
                let is_short = state.is_short(data_centre, now);
                if is_short {
                    u32::MAX
                } else {
                    state.line.reserved(target, now)
                }
            };
            let choice = match begin {
                StartDecision::Any => places.choose_free(&want, spoken_for, now),
                StartDecision::At(target) => {
                    let id = places.id_of(target);
                    id.and_then(|id| places.choose_transferred(&want, id, now))
                }
                // Elsewhere there may be more than enough.
                StartDecision::Wait if drain.has_local => {
                    let spoken_for = |target, data_centre: &str| {
                        let is_near = data_centre == self.uses.data_centre;
                        if is_near {
                            u32::MAX
                        } else {
                            spoken_for(target, data_centre)
                        }
                    };
                    places.choose_free(&want, spoken_for, now)
                }
                StartDecision::Wait => None,
            };
            let Some(choice) = choice else {
                return;
            };
            self.begin_at(state, first.ticket, choice, places, now);
        }
    }

    fn begin_at(
        &self,
        state: &mut State,
        ticket: Ticket,
        choice: Choice,
        mut places: MutexGuard<'_, Balancer>,
        now: Instant,
    ) {
        places.begin_online(&choice.target, now);
        drop(places);
        let place = Place {
            choice,
            places: Arc::clone(&self.uses.balancer),
            changed: Arc::clone(&self.uses.status_changed),
            is_taken: false,
        };
        self.decide(state, ticket, Ok(place));
    }

    /// Refuses the requests for a service that cannot begin in time.
    fn refuse_late(&self, state: &mut State, service: ServiceKey, now: Instant) {
        let first = state.line.first(service, &state.shares);
        let Some(entry) = first.and_then(|first| state.entries.get(&first.ticket)) else {
            return;
        };
        let want = entry.wanted.want(&self.uses.data_centre);
        let drain = lock(&self.uses.balancer).availability(&want, now);
        // Nobody has seen a request end yet: then time alone tells.
        let per_s = drain.releases_per_s.unwrap_or(f64::INFINITY);
        let expected = state
            .line
            .estimate_starts(service, per_s, &state.shares, now);
        let hosts = self.hosts.load(Ordering::Relaxed);
        for late in expected.into_iter().filter(|expected| expected.is_late) {
            let retry_after = state.turns.next_retry_after(late.wait, per_s, hosts, now);
            self.tell_refused(state, late, per_s, retry_after, now);
            self.decide(state, late.ticket, Err(Refused::NoRoom { retry_after }));
        }
    }

    fn tell_refused(
        &self,
        state: &State,
        late: StartEstimate,
        per_s: f64,
        retry_after: Duration,
        now: Instant,
    ) {
        let Some(Entry { wanted, .. }) = state.entries.get(&late.ticket) else {
            return;
        };
        let workspace = wanted.workspace.as_deref();
        let held = workspace.map(|name| state.shares.slots_in_use(key(name)));
        let level = workspace.map(|name| state.shares.overuse_level(key(name)));
        slog::info!(self.uses.logger, "request refused, no room in time";
            "id" => wanted.id.as_str(), "workspace" => workspace,
            "priority" => wanted.standing.priority, "held" => held, "level" => level,
            "weight" => wanted.standing.weight, "ahead" => late.ahead, "drain_per_s" => per_s,
            "wait_ms" => millis(late.wait), "left_ms" => millis(wanted.due - now.min(wanted.due)),
            "waited_ms" => millis(now.saturating_duration_since(wanted.since)),
            "retry_after_ms" => millis(retry_after));
    }

    fn decide(&self, state: &mut State, ticket: Ticket, outcome: Result<Place, Refused>) {
        let Some(entry) = self.take_out(state, ticket) else {
            return;
        };
        let label = match outcome {
            Ok(_) => "begins",
            Err(_) => "refused",
        };
        self.uses.metrics.count(Counted::WaitQueue, label);
        // Its caller has left; a place is free again as it is dropped.
        let _ = entry.outcome.send(outcome);
        self.uses.status_changed.notify_one();
    }

    /// Counts a place that a workspace's request takes here.
    pub(crate) fn record_start(&self, workspace: &str, weight: f64) {
        lock(&self.state).shares.acquire(key(workspace), weight);
    }

    /// Counts the end of a workspace's request here.
    pub(crate) fn record_end(&self, workspace: &str) {
        lock(&self.state).shares.release(key(workspace));
    }

    /// Notes how many hosts share the places near by.
    pub(crate) fn set_host_count(&self, hosts: u32) {
        self.hosts.store(hosts.max(1), Ordering::Relaxed);
    }

    fn look(&self) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        for service in state.line.services() {
            self.serve(&mut state, service, now);
            self.refuse_late(&mut state, service, now);
        }
        let count = state.line.len();
        drop(state);
        self.uses.metrics.set("requests_waiting", count);
    }
}

fn open((target, places): (TargetKey, u32)) -> FreeSlots {
    FreeSlots {
        target,
        count: places,
    }
}

/// Looks at the line until the host stops.
pub(crate) async fn run(waiting: Arc<RequestQueue>, mut phase: watch::Receiver<Phase>) {
    while *phase.borrow() != Phase::Stopped {
        let is_idle = waiting.count.load(Ordering::Relaxed) == 0;
        tokio::select! {
            () = waiting.wake.notified() => {}
            () = tokio::time::sleep(TICK), if !is_idle => {}
            // Stopped, or with the host gone.
            changed = phase.changed() => if changed.is_err() { return; },
        }
        waiting.look();
    }
}
