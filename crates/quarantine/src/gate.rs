//! The admission gate that a request passes before each send to a target.
//!
//! Updates for other hosts go into a channel; the task that reads it owns the sockets. Sending
//! from here was rejected, as the two kinds of hosts, those that hold leases on targets and
//! those that share all targets, use different protocols.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::balancer::HostId;
use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_routing::quarantine::Change;
use notchwharf_routing::quarantine::Crash;
use notchwharf_routing::quarantine::Decision;
use notchwharf_routing::quarantine::IncarnationId;
use notchwharf_routing::quarantine::Quarantine;
use notchwharf_routing::quarantine::Report;
use tokio::sync::mpsc;
use tokio::sync::watch;

/// Time after which a waiting request checks again without a notification. A run stops
/// blocking others after a time limit, and no event marks that moment.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A request whose state changed and has to be sent to other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Update {
    /// The request.
    pub(crate) fingerprint: Fingerprint,
    /// Whether a target has just crashed under it.
    pub(crate) is_crash: bool,
}

/// Why a request must not be sent to a target now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blocked {
    /// Requests with the same content are running.
    Waiting,
    /// Targets crash under it.
    Refused {
        /// Number of crashes observed.
        crashes: u32,
        /// Time until it may be tried once more.
        retry_after: Duration,
    },
}

/// Requests under which targets crashed, as known to one host.
#[derive(Debug)]
pub struct Gate {
    host: HostId,
    quarantine: Mutex<Quarantine>,
    /// Notified when a run of a suspect may have ended, for requests that wait for it.
    changed: watch::Sender<()>,
    updates: mpsc::UnboundedSender<Update>,
    /// The receiving end of `updates`, until a task takes it.
    update_receiver: Mutex<Option<mpsc::UnboundedReceiver<Update>>>,
}

/// A run of a suspect; dropping it lets the next run start.
#[derive(Debug)]
pub struct RunGuard {
    gate: Arc<Gate>,
    fingerprint: Fingerprint,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.gate
            .quarantine()
            .end_run(self.fingerprint, &self.gate.host);
        self.gate.publish(self.fingerprint, false);
        self.gate.changed.send_replace(());
    }
}

impl Gate {
    /// Returns the gate of a host.
    pub fn new(host: HostId) -> Arc<Self> {
        let (updates, update_receiver) = mpsc::unbounded_channel();
        let gate = Self {
            host,
            quarantine: Mutex::default(),
            changed: watch::Sender::new(()),
            updates,
            update_receiver: Mutex::new(Some(update_receiver)),
        };
        Arc::new(gate)
    }

    /// Returns the channel of updates for other hosts; `None` after the first call.
    pub(crate) fn take_updates(&self) -> Option<mpsc::UnboundedReceiver<Update>> {
        let update_receiver = self.update_receiver.lock();
        update_receiver
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }

    /// Returns whether there are no suspects, so that no fingerprint has to be computed.
    pub fn is_empty(&self) -> bool {
        self.quarantine().is_empty()
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.quarantine().len()
    }

    /// Returns the number of crashes that count against a request.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> u32 {
        self.quarantine().crash_count(fingerprint)
    }

    /// Returns the incarnation of a target that answered a request sent at `sent_at`, given
    /// the incarnation that this host knows; see [`Quarantine::incarnation_of_run`].
    pub fn incarnation_of_run(
        &self,
        fingerprint: Fingerprint,
        known: IncarnationId,
        sent_at: Instant,
    ) -> IncarnationId {
        self.quarantine()
            .incarnation_of_run(fingerprint, known, sent_at)
    }

    /// Decides whether a request may be sent to a target now. The run of a suspect lasts
    /// until the returned guard is dropped; a request that is not suspected needs none.
    ///
    /// # Errors
    ///
    /// Returns why the request must not be sent.
    pub fn try_admit(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
    ) -> Result<Option<RunGuard>, Blocked> {
        let decision = self
            .quarantine()
            .admit(fingerprint, &self.host, Instant::now());
        self.begin_run(fingerprint, decision)
    }

    /// Decides whether an item of a job may be sent to a target now. Items are retried
    /// sooner, since each accepted item must get a result; see [`Quarantine::admit_item`].
    ///
    /// # Errors
    ///
    /// Returns why the item must not be sent.
    pub fn try_admit_item(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
    ) -> Result<Option<RunGuard>, Blocked> {
        let decision = self
            .quarantine()
            .admit_item(fingerprint, &self.host, Instant::now());
        self.begin_run(fingerprint, decision)
    }

    fn begin_run(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        decision: Decision,
    ) -> Result<Option<RunGuard>, Blocked> {
        match decision {
            Decision::Admit if self.crash_count(fingerprint) == 0 => Ok(None),
            Decision::Admit => {
                self.publish(fingerprint, false);
                let gate = Arc::clone(self);
                Ok(Some(RunGuard { gate, fingerprint }))
            }
            Decision::Wait => Err(Blocked::Waiting),
            Decision::Refuse {
                crashes,
                retry_after,
            } => Err(Blocked::Refused {
                crashes,
                retry_after,
            }),
        }
    }

    /// Waits until a request may be sent to a target, or until the deadline.
    ///
    /// # Errors
    ///
    /// Returns why the request must not be sent.
    pub async fn admit(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        deadline: Instant,
    ) -> Result<Option<RunGuard>, Blocked> {
        let mut changed = self.changed.subscribe();
        loop {
            let admitted = self.try_admit(fingerprint);
            if !matches!(admitted, Err(Blocked::Waiting)) || Instant::now() >= deadline {
                return admitted;
            }
            let recheck_at = deadline.min(Instant::now() + RECHECK_INTERVAL);
            // Cannot fail: `self` owns the sender.
            let _ = tokio::time::timeout_at(recheck_at.into(), changed.changed()).await;
        }
    }

    /// Records that a target crashed under a request.
    pub fn record_crash(&self, fingerprint: Fingerprint, crash: Crash) -> Change {
        let change = self.quarantine().record_crash(fingerprint, crash);
        if change != Change::None {
            self.publish(fingerprint, true);
        }
        change
    }

    /// Records that a request completed, which clears a suspect; returns the number of
    /// crashes that no longer count, if it was one.
    pub fn record_success(&self, fingerprint: Fingerprint) -> Option<u32> {
        self.clear_with(fingerprint, |quarantine| {
            quarantine.record_success(fingerprint, Instant::now())
        })
    }

    /// Records that this host ended a run after `run_time` while the target was healthy;
    /// returns the number of crashes that no longer count, if that clears a suspect.
    pub fn record_survival(&self, fingerprint: Fingerprint, run_time: Duration) -> Option<u32> {
        self.clear_with(fingerprint, |quarantine| {
            quarantine.record_survival(fingerprint, run_time, Instant::now())
        })
    }

    fn clear_with(
        &self,
        fingerprint: Fingerprint,
        clear: impl FnOnce(&mut Quarantine) -> bool,
    ) -> Option<u32> {
        let crashes = {
            let mut quarantine = self.quarantine();
            let crashes = quarantine.crash_count(fingerprint);
            clear(&mut quarantine).then_some(crashes)?
        };
        self.publish(fingerprint, false);
        self.changed.send_replace(());
        Some(crashes)
    }

    /// Merges another host's report on a suspect.
    pub fn merge_report(&self, host: &HostId, report: &Report) -> Change {
        let change = self.quarantine().merge_report(host, report, Instant::now());
        if change != Change::None {
            self.changed.send_replace(());
        }
        change
    }

    /// Returns this host's report on a request; `None` if it is not a suspect.
    pub fn report(&self, fingerprint: Fingerprint) -> Option<Report> {
        self.quarantine()
            .report(fingerprint, &self.host, Instant::now())
    }

    /// Evicts expired suspects; returns the reports that are resent periodically, for hosts
    /// that may have missed them.
    pub fn periodic_reports(&self) -> Vec<Report> {
        let now = Instant::now();
        let mut quarantine = self.quarantine();
        quarantine.evict_expired(now);
        quarantine.periodic_reports(&self.host, now)
    }

    fn publish(&self, fingerprint: Fingerprint, is_crash: bool) {
        // Fails only on a host that is stopping.
        let _ = self.updates.send(Update {
            fingerprint,
            is_crash,
        });
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
