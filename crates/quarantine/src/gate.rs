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
use notchwharf_routing::prompt::PartId;
use notchwharf_routing::quarantine::Change;
use notchwharf_routing::quarantine::Crash;
use notchwharf_routing::quarantine::Decision;
use notchwharf_routing::quarantine::IncarnationId;
use notchwharf_routing::quarantine::Quarantine;
use notchwharf_routing::quarantine::Report;
use notchwharf_routing::quarantine::parts;
use notchwharf_routing::quarantine::parts::Cleared;
use notchwharf_routing::quarantine::parts::Pace;
use notchwharf_routing::quarantine::parts::Parts;
use tokio::sync::mpsc;
use tokio::sync::watch;

/// Time after which a waiting request checks again without a notification. A run stops
/// blocking others after a time limit, and no event marks that moment.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A suspect whose state changed and has to be sent to other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Update {
    /// The suspect.
    pub(crate) subject: Subject,
    /// Whether a target has just crashed under it.
    pub(crate) is_crash: bool,
}

/// What is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Subject {
    /// A request.
    Request(Fingerprint),
    /// A part of prompts.
    Part(PartId),
}

/// Least number of crashes from which a clearance of a part is sent at once. Parts in wide use
/// are cleared at all hosts independently after each crash; the periodic reports suffice there.
const IMMEDIATE_CLEARANCE_CRASHES: u32 = 2;

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

/// Requests and parts of prompts under which targets crashed, as known to one host.
#[derive(Debug)]
pub struct Gate {
    host: HostId,
    quarantine: Mutex<Quarantine>,
    parts: Mutex<Parts>,
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
        self.gate.publish(Subject::Request(self.fingerprint), false);
        self.gate.changed.send_replace(());
    }
}

fn to_result(decision: Decision) -> Result<(), Blocked> {
    match decision {
        Decision::Admit => Ok(()),
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

impl Gate {
    /// Returns the gate of a host.
    pub fn new(host: HostId) -> Arc<Self> {
        let (updates, update_receiver) = mpsc::unbounded_channel();
        let gate = Self {
            host,
            quarantine: Mutex::default(),
            parts: Mutex::default(),
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

    /// Decides whether an item of a job may be sent to a target now. It runs again in calm,
    /// since each accepted item must get a result; see [`Quarantine::admit_item`].
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
                self.publish(Subject::Request(fingerprint), false);
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
        self.wait_while_blocked(deadline, || self.try_admit(fingerprint))
            .await
    }

    /// Waits until a request whose prompt has these shared parts may be sent to a target, or
    /// until the deadline. Call it before [`Self::admit`], which counts the request as running.
    ///
    /// # Errors
    ///
    /// Returns why the request must not be sent.
    pub async fn admit_parts(&self, parts: &[PartId], deadline: Instant) -> Result<(), Blocked> {
        self.wait_while_blocked(deadline, || self.try_admit_parts(parts))
            .await
    }

    /// Decides whether a request whose prompt has these shared parts may be sent to a target now.
    ///
    /// # Errors
    ///
    /// Returns why the request must not be sent.
    pub fn try_admit_parts(&self, parts: &[PartId]) -> Result<(), Blocked> {
        to_result(self.parts().admit(parts, &self.host, Instant::now()))
    }

    /// Decides the same for an item of a job; see [`Parts::admit_item`].
    ///
    /// # Errors
    ///
    /// Returns why the item must not be sent.
    pub fn try_admit_item_parts(&self, parts: &[PartId]) -> Result<(), Blocked> {
        to_result(self.parts().admit_item(parts, &self.host, Instant::now()))
    }

    async fn wait_while_blocked<T>(
        &self,
        deadline: Instant,
        try_admit: impl Fn() -> Result<T, Blocked>,
    ) -> Result<T, Blocked> {
        let mut changed = self.changed.subscribe();
        loop {
            let admitted = try_admit();
            if !matches!(admitted, Err(Blocked::Waiting)) || Instant::now() >= deadline {
                return admitted;
            }
            let recheck_at = deadline.min(Instant::now() + RECHECK_INTERVAL);
            // Cannot fail: `self` owns the sender.
            let _ = tokio::time::timeout_at(recheck_at.into(), changed.changed()).await;
        }
    }

    /// Sets whether crashes from before this host's start may be unknown to it. What was in a crash
    /// since then waits meanwhile: it may have been in many.
    pub fn set_incomplete(&self, is_incomplete: bool) {
        self.quarantine().set_incomplete(is_incomplete);
        self.parts().set_incomplete(is_incomplete);
        self.changed.send_replace(());
    }

    /// Sets how soon this host learns of the crashes that others see.
    pub fn set_pace(&self, pace: Pace) {
        self.parts().set_pace(pace);
    }

    /// Sends other hosts what is known of a request.
    pub fn report_request(&self, fingerprint: Fingerprint) {
        self.publish(Subject::Request(fingerprint), true);
    }

    /// Sends other hosts what is known of a part of prompts.
    pub fn report_part(&self, part: PartId) {
        self.publish(Subject::Part(part), true);
    }

    /// Records that a target crashed under a request.
    pub fn record_crash(&self, fingerprint: Fingerprint, crash: Crash) -> Change {
        let change = self.quarantine().record_crash(fingerprint, crash);
        if change != Change::None {
            self.publish(Subject::Request(fingerprint), true);
        }
        change
    }

    /// Returns whether any part of a prompt is known to have been in a crash.
    pub fn has_parts(&self) -> bool {
        !self.parts().is_empty()
    }

    /// Returns the number of parts of prompts that were in a crash, and of those that are blamed.
    pub fn part_counts(&self) -> (usize, usize) {
        let parts = self.parts();
        (parts.len(), parts.blamed_count())
    }

    /// Returns when the newest crash under any blamed part of a prompt was detected. A number of
    /// crashes would not do, as only the newest ones are kept.
    pub fn newest_blamed_crash(&self, parts: &[PartId]) -> Option<Instant> {
        let table = self.parts();
        let crashes = parts.iter().map(|part| table.newest_blamed_crash(*part));
        crashes.max().flatten()
    }

    /// Returns whether a part of prompts is blamed.
    pub fn is_part_blamed(&self, part: PartId) -> bool {
        self.parts().is_blamed(part)
    }

    /// Returns the incarnation of a target that answered a request with the part; see
    /// [`Self::incarnation_of_run`].
    pub fn incarnation_of_part_run(
        &self,
        part: PartId,
        known: IncarnationId,
        sent_at: Instant,
    ) -> IncarnationId {
        self.parts().incarnation_of_run(part, known, sent_at)
    }

    /// Records that a target crashed under a part of a prompt.
    pub fn record_part_crash(&self, part: PartId, crash: parts::Crash) -> Change {
        let change = self.parts().record_crash(part, crash);
        if change != Change::None {
            self.publish(Subject::Part(part), true);
        }
        change
    }

    /// Records that a target answered a request whose prompt has these shared parts, which clears
    /// them; returns those that had been in crashes.
    pub fn record_parts_success(&self, parts: &[PartId]) -> Vec<Cleared> {
        let cleared = self.parts().record_success(parts, Instant::now());
        for part in &cleared {
            if part.crashes >= IMMEDIATE_CLEARANCE_CRASHES {
                self.publish(Subject::Part(part.part), false);
            }
        }
        if cleared.iter().any(|part| part.blamed_for.is_some()) {
            self.changed.send_replace(());
        }
        cleared
    }

    /// Merges another host's report on a part of prompts.
    pub fn merge_part_report(&self, report: &parts::Report) -> Change {
        let change = self.parts().merge_report(report, Instant::now());
        if change != Change::None {
            self.changed.send_replace(());
        }
        change
    }

    /// Returns the number of crashes that count against a part of prompts.
    pub fn part_crash_count(&self, part: PartId) -> u32 {
        self.parts().crash_count(part)
    }

    /// Returns this host's report on a part of prompts; `None` if it was in no crash.
    pub fn part_report(&self, part: PartId) -> Option<parts::Report> {
        self.parts().report(part, Instant::now())
    }

    /// Evicts expired parts; returns the reports that are resent periodically.
    pub fn periodic_part_reports(&self) -> Vec<parts::Report> {
        let now = Instant::now();
        let mut parts = self.parts();
        parts.evict_expired(now);
        parts.periodic_reports(now)
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
        self.publish(Subject::Request(fingerprint), false);
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

    fn publish(&self, subject: Subject, is_crash: bool) {
        // Fails only on a host that is stopping.
        let _ = self.updates.send(Update { subject, is_crash });
    }

    fn parts(&self) -> MutexGuard<'_, Parts> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
