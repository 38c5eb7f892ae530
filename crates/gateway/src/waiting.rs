//! Runs the wait queue of this host: assigns target slots to requests as these are freed. The order
//! of requests is decided in [`notchwharf_waiting`].
//!
//! A request is enqueued, and receives a reserved slot or a refusal through a channel. One task
//! processes the queue whenever a slot may have been freed, here or according to a peer, so
//! that no two requests get the same slot. Letting each request check for itself was rejected:
//! all would wake up for a single slot.

mod reserved_slot;
mod slot_request;
mod summary;
mod transfer;

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

pub(crate) use self::reserved_slot::ReservedSlot;
pub(crate) use self::slot_request::SchedulingParams;
pub(crate) use self::slot_request::SlotError;
pub(crate) use self::slot_request::SlotRequest;
use crate::metrics::Counted;
use crate::metrics::Metrics;
use crate::sync::lock;
use crate::time::millis;

/// Interval at which the queue is processed without a wake-up: within it, slots that were left
/// to others become available again, and requests that can't start in time are refused.
const POLL_INTERVAL: Duration = Duration::from_millis(4);

/// How long slots of another data centre are left to the requests that wait there, after a
/// host there reported waiting requests. This host receives several reports within that time.
const REMOTE_QUEUE_TIMEOUT: Duration = Duration::from_millis(300);

/// The parts of the host that the queue uses.
pub(crate) struct Dependencies {
    pub(crate) balancer: Arc<Mutex<Balancer>>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) logger: slog::Logger,
    pub(crate) data_centre: String,
    /// Notified when a change should be sent to peers soon.
    pub(crate) status_changed: Arc<Notify>,
}

/// The online requests that wait at this host.
pub(crate) struct RequestQueue {
    deps: Dependencies,
    state: Mutex<State>,
    /// The number of waiting requests, checked without the lock before a wake-up.
    count: AtomicUsize,
    wake: Notify,
    /// The number of hosts that share the slots of this data centre.
    host_count: AtomicU32,
    /// Whether a request has been enqueued since the host started.
    has_been_used: AtomicBool,
}

#[derive(Default)]
struct State {
    queue: WaitQueue,
    usage: SlotUsage,
    retries: RetrySchedule,
    /// When a host of another data centre last reported that requests wait there.
    remote_queue_at: HashMap<DataCentreId, Instant>,
    entries: HashMap<Ticket, Entry>,
}

impl State {
    /// Returns whether requests wait in another data centre, by recent reports.
    fn has_remote_queue(&self, data_centre: &str, now: Instant) -> bool {
        let at = self.remote_queue_at.get(data_centre);
        at.is_some_and(|at| now.saturating_duration_since(*at) < REMOTE_QUEUE_TIMEOUT)
    }
}

/// A waiting request, and the channel for its outcome.
struct Entry {
    request: SlotRequest,
    outcome: oneshot::Sender<Result<ReservedSlot, SlotError>>,
}

/// Removes a request from the queue when its caller disconnects.
struct RemoveOnDrop<'a> {
    queue: &'a RequestQueue,
    ticket: Ticket,
}

impl Drop for RemoveOnDrop<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.queue.state);
        self.queue.remove(&mut state, self.ticket);
    }
}

impl RequestQueue {
    pub(crate) fn new(deps: Dependencies) -> Self {
        Self {
            deps,
            state: Mutex::default(),
            count: AtomicUsize::new(0),
            wake: Notify::new(),
            host_count: AtomicU32::new(1),
            has_been_used: AtomicBool::new(false),
        }
    }

    /// Reserves a slot for a request, at once or when it is the first in the queue.
    ///
    /// # Errors
    ///
    /// Returns why no slot is available in time.
    pub(crate) async fn acquire_slot(
        &self,
        request: SlotRequest,
    ) -> Result<ReservedSlot, SlotError> {
        self.has_been_used.store(true, Ordering::Relaxed);
        let service = key(&request.service);
        let (outcome, decided) = oneshot::channel();
        let (ticket, is_waiting) = {
            let now = Instant::now();
            let mut state = lock(&self.state);
            let ticket = self.enqueue(&mut state, request, outcome, now)?;
            self.assign_slots(&mut state, service, now);
            self.refuse_overdue(&mut state, service, now);
            (ticket, state.entries.contains_key(&ticket))
        };
        let guard = RemoveOnDrop {
            queue: self,
            ticket,
        };
        if !is_waiting {
            // Decided at once, so it doesn't count as having waited.
            return decided.await.unwrap_or(Err(SlotError::NoTarget));
        }
        self.deps.metrics.count(Counted::WaitQueue, "waits");
        self.deps.status_changed.notify_one();
        // From now on the task processes the queue at its interval.
        self.wake.notify_one();
        let decided = decided.await;
        drop(guard);
        // The sender is dropped without an outcome only together with the queue.
        decided.unwrap_or(Err(SlotError::NoTarget))
    }

    /// Returns whether a request has been enqueued here since the host started.
    pub(crate) fn has_been_used(&self) -> bool {
        self.has_been_used.load(Ordering::Relaxed)
    }

    /// Adds a request to the queue, if there is a target that it was not offered to.
    fn enqueue(
        &self,
        state: &mut State,
        request: SlotRequest,
        outcome: oneshot::Sender<Result<ReservedSlot, SlotError>>,
        now: Instant,
    ) -> Result<Ticket, SlotError> {
        let criteria = request.criteria(&self.deps.data_centre);
        let balancer = lock(&self.deps.balancer);
        if !balancer.has_untried(&criteria) {
            return Err(SlotError::NoTarget);
        }
        let first_event_time = balancer.typical_first_event_time(&request.service);
        drop(balancer);
        let queued = Request {
            service: key(&request.service),
            workspace: request.workspace.as_deref().map_or(0, key),
            priority: request.scheduling.priority,
            waiting_since: request.waiting_since,
            start_deadline: request
                .first_event_due
                .checked_sub(first_event_time)
                .unwrap_or(now),
        };
        let ticket = state.queue.enqueue(queued, now);
        state.entries.insert(ticket, Entry { request, outcome });
        self.count.store(state.queue.len(), Ordering::Relaxed);
        Ok(ticket)
    }

    /// Removes a request from the queue; none if it is not in the queue any more.
    fn remove(&self, state: &mut State, ticket: Ticket) -> Option<Entry> {
        state.queue.remove(ticket);
        self.count.store(state.queue.len(), Ordering::Relaxed);
        state.entries.remove(&ticket)
    }

    /// Makes the task process the queue, since a slot may have been freed.
    pub(crate) fn wake(&self) {
        if self.count.load(Ordering::Relaxed) > 0 {
            self.wake.notify_one();
        }
    }

    /// Assigns slots to waiting requests for a service, while the order allows it.
    fn assign_slots(&self, state: &mut State, service: ServiceKey, now: Instant) {
        while let Some(first) = state.queue.first(service, &state.usage) {
            let Some(entry) = state.entries.get(&first.ticket) else {
                state.queue.remove(first.ticket);
                continue;
            };
            let criteria = entry.request.criteria(&self.deps.data_centre);
            let mut balancer = lock(&self.deps.balancer);
            let availability = balancer.availability(&criteria, now);
            let free: Vec<FreeSlots> = availability.free.iter().copied().map(free_slots).collect();
            let releases_per_s = availability.releases_per_s.unwrap_or_default();
            let decision = state.queue.may_start(&first, &free, releases_per_s, now);
            let reserved = |target, data_centre: &str| {
                let has_remote_queue = state.has_remote_queue(data_centre, now);
                if has_remote_queue {
                    u32::MAX
                } else {
                    state.queue.reserved(target, now)
                }
            };
            let choice = match decision {
                StartDecision::Any => balancer.choose_free(&criteria, reserved, now),
                StartDecision::At(target) => {
                    let id = balancer.id_of(target);
                    id.and_then(|id| balancer.choose_transferred(&criteria, id, now))
                }
                // Another data centre may have free slots to spare.
                StartDecision::Wait if availability.has_local => {
                    let reserved = |target, data_centre: &str| {
                        let is_local = data_centre == self.deps.data_centre;
                        if is_local {
                            u32::MAX
                        } else {
                            reserved(target, data_centre)
                        }
                    };
                    balancer.choose_free(&criteria, reserved, now)
                }
                StartDecision::Wait => None,
            };
            let Some(choice) = choice else {
                return;
            };
            self.start_at(state, first.ticket, choice, balancer, now);
        }
    }

    /// Reserves the chosen slot for a request and removes it from the queue.
    fn start_at(
        &self,
        state: &mut State,
        ticket: Ticket,
        choice: Choice,
        mut balancer: MutexGuard<'_, Balancer>,
        now: Instant,
    ) {
        balancer.begin_online(&choice.target, now);
        drop(balancer);
        let slot = ReservedSlot {
            choice,
            balancer: Arc::clone(&self.deps.balancer),
            status_changed: Arc::clone(&self.deps.status_changed),
            is_committed: false,
        };
        self.decide(state, ticket, Ok(slot));
    }

    /// Refuses the requests for a service that can't start in time.
    fn refuse_overdue(&self, state: &mut State, service: ServiceKey, now: Instant) {
        let first = state.queue.first(service, &state.usage);
        let Some(entry) = first.and_then(|first| state.entries.get(&first.ticket)) else {
            return;
        };
        let criteria = entry.request.criteria(&self.deps.data_centre);
        let availability = lock(&self.deps.balancer).availability(&criteria, now);
        // No release has been observed yet: then only the deadlines count.
        let releases_per_s = availability.releases_per_s.unwrap_or(f64::INFINITY);
        let estimates = state
            .queue
            .estimate_starts(service, releases_per_s, &state.usage, now);
        let host_count = self.host_count.load(Ordering::Relaxed);
        for overdue in estimates.into_iter().filter(|estimate| estimate.is_late) {
            let retry_after =
                state
                    .retries
                    .next_retry_after(overdue.wait, releases_per_s, host_count, now);
            self.log_refusal(state, overdue, releases_per_s, retry_after, now);
            self.decide(
                state,
                overdue.ticket,
                Err(SlotError::NoSlotInTime { retry_after }),
            );
        }
    }

    /// Logs a refusal with the figures that led to it.
    fn log_refusal(
        &self,
        state: &State,
        overdue: StartEstimate,
        releases_per_s: f64,
        retry_after: Duration,
        now: Instant,
    ) {
        let Some(Entry { request, .. }) = state.entries.get(&overdue.ticket) else {
            return;
        };
        let workspace = request.workspace.as_deref();
        let slots_in_use = workspace.map(|name| state.usage.slots_in_use(key(name)));
        let overuse_level = workspace.map(|name| state.usage.overuse_level(key(name)));
        slog::info!(self.deps.logger, "request refused, no slot free in time";
            "id" => request.id.as_str(), "workspace" => workspace,
            "priority" => request.scheduling.priority, "held" => slots_in_use, "level" => overuse_level,
            "weight" => request.scheduling.weight, "ahead" => overdue.ahead, "drain_per_s" => releases_per_s,
            "wait_ms" => millis(overdue.wait), "left_ms" => millis(request.first_event_due - now.min(request.first_event_due)),
            "waited_ms" => millis(now.saturating_duration_since(request.waiting_since)),
            "retry_after_ms" => millis(retry_after));
    }

    /// Removes a request from the queue and sends it its outcome.
    fn decide(&self, state: &mut State, ticket: Ticket, outcome: Result<ReservedSlot, SlotError>) {
        let Some(entry) = self.remove(state, ticket) else {
            return;
        };
        let label = match outcome {
            Ok(_) => "begins",
            Err(_) => "refused",
        };
        self.deps.metrics.count(Counted::WaitQueue, label);
        // If the caller has disconnected, dropping the slot frees it.
        let _ = entry.outcome.send(outcome);
        self.deps.status_changed.notify_one();
    }

    /// Counts a slot that a request of a workspace takes.
    pub(crate) fn record_start(&self, workspace: &str, weight: f64) {
        lock(&self.state).usage.acquire(key(workspace), weight);
    }

    /// Counts the end of a request of a workspace.
    pub(crate) fn record_end(&self, workspace: &str) {
        lock(&self.state).usage.release(key(workspace));
    }

    /// Sets the number of hosts that share the slots of this data centre.
    pub(crate) fn set_host_count(&self, host_count: u32) {
        self.host_count.store(host_count.max(1), Ordering::Relaxed);
    }

    /// Assigns slots and refuses overdue requests, for all services.
    fn process(&self) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        for service in state.queue.services() {
            self.assign_slots(&mut state, service, now);
            self.refuse_overdue(&mut state, service, now);
        }
        let count = state.queue.len();
        drop(state);
        self.deps.metrics.set("requests_waiting", count);
    }
}

/// Converts a count of free slots of the balancer.
fn free_slots((target, count): (TargetKey, u32)) -> FreeSlots {
    FreeSlots { target, count }
}

/// Processes the queue until the host stops.
pub(crate) async fn run(queue: Arc<RequestQueue>, mut phase: watch::Receiver<Phase>) {
    while *phase.borrow() != Phase::Stopped {
        let is_idle = queue.count.load(Ordering::Relaxed) == 0;
        tokio::select! {
            () = queue.wake.notified() => {}
            () = tokio::time::sleep(POLL_INTERVAL), if !is_idle => {}
            // The phase has changed, or the host was dropped.
            changed = phase.changed() => if changed.is_err() { return; },
        }
        queue.process();
    }
}
