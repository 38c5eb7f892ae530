//! The gate that a request passes before each send to a target.
//!
//! What is to be told to other hosts goes into a channel; whoever reads it has the
//! sockets. Telling from here was rejected: the two kinds of hosts reach one another in
//! different ways.

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

/// Time after which a request that waits looks again without news: a run that has
/// lasted for long keeps nobody waiting any more, and nothing tells when.
const LOOK_GAP: Duration = Duration::from_millis(100);

/// A request of which other hosts are to be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct News {
    /// The request.
    pub(crate) fingerprint: Fingerprint,
    /// Whether a target has just crashed under it.
    pub(crate) is_crash: bool,
}

/// Why a request must not be sent to a target now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blocked {
    /// Others with the same content run.
    Waiting,
    /// Targets crash under it.
    Refused {
        /// How many were seen to.
        crashes: u32,
        /// Time until it may be tried once more.
        retry_after: Duration,
    },
}

/// Requests under which targets crashed, as one host knows them.
#[derive(Debug)]
pub struct Gate {
    host: HostId,
    table: Mutex<Quarantine>,
    /// Sent to when a run of a suspect may have ended, for requests that wait for it.
    changed: watch::Sender<()>,
    news: mpsc::UnboundedSender<News>,
    /// What other hosts are to be told, until somebody does.
    to_tell: Mutex<Option<mpsc::UnboundedReceiver<News>>>,
}

/// The run of a suspect; the next one may begin when it is dropped.
#[derive(Debug)]
pub struct RunGuard {
    gate: Arc<Gate>,
    fingerprint: Fingerprint,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.gate.table().end_run(self.fingerprint, &self.gate.host);
        self.gate.tell(self.fingerprint, false);
        self.gate.changed.send_replace(());
    }
}

impl Gate {
    /// Returns a host's gate.
    pub fn new(host: HostId) -> Arc<Self> {
        let (news, to_tell) = mpsc::unbounded_channel();
        let gate = Self {
            host,
            table: Mutex::default(),
            changed: watch::Sender::new(()),
            news,
            to_tell: Mutex::new(Some(to_tell)),
        };
        Arc::new(gate)
    }

    /// Returns what other hosts are to be told, as it comes; once.
    pub(crate) fn take_news(&self) -> Option<mpsc::UnboundedReceiver<News>> {
        let to_tell = self.to_tell.lock();
        to_tell.unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Returns whether no request is suspected, so that none needs a fingerprint.
    pub fn is_empty(&self) -> bool {
        self.table().is_empty()
    }

    /// Returns the number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.table().len()
    }

    /// Returns how many crashes under a request count.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> u32 {
        self.table().crash_count(fingerprint)
    }

    /// Returns the life of a target that a request met which was sent at a moment and
    /// answered.
    pub fn incarnation_of_run(
        &self,
        fingerprint: Fingerprint,
        incarnation: IncarnationId,
        sent: Instant,
    ) -> IncarnationId {
        self.table()
            .incarnation_of_run(fingerprint, incarnation, sent)
    }

    /// Decides whether a request may be sent to a target now. A suspect's run lasts
    /// until what is returned is dropped; there is nothing of one that is none.
    ///
    /// # Errors
    ///
    /// Returns why it must not.
    pub fn try_admit(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
    ) -> Result<Option<RunGuard>, Blocked> {
        let verdict = self.table().admit(fingerprint, &self.host, Instant::now());
        self.admitted(fingerprint, verdict)
    }

    /// Decides the same of an item of a job, of which a result is owed.
    ///
    /// # Errors
    ///
    /// Returns why it must not be sent.
    pub fn try_admit_item(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
    ) -> Result<Option<RunGuard>, Blocked> {
        let verdict = self
            .table()
            .admit_item(fingerprint, &self.host, Instant::now());
        self.admitted(fingerprint, verdict)
    }

    fn admitted(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        verdict: Decision,
    ) -> Result<Option<RunGuard>, Blocked> {
        match verdict {
            Decision::Admit if self.crash_count(fingerprint) == 0 => Ok(None),
            Decision::Admit => {
                self.tell(fingerprint, false);
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

    /// Waits until a request may be sent to a target, at most until a moment.
    ///
    /// # Errors
    ///
    /// Returns why it must not.
    pub async fn admit(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        until: Instant,
    ) -> Result<Option<RunGuard>, Blocked> {
        let mut changed = self.changed.subscribe();
        loop {
            let admitted = self.try_admit(fingerprint);
            if !matches!(admitted, Err(Blocked::Waiting)) || Instant::now() >= until {
                return admitted;
            }
            let gap = until.min(Instant::now() + LOOK_GAP);
            // The sender lives as long as the gate.
            let _ = tokio::time::timeout_at(gap.into(), changed.changed()).await;
        }
    }

    /// Notes that a target crashed under a request.
    pub fn record_crash(&self, fingerprint: Fingerprint, crash: Crash) -> Change {
        let change = self.table().record_crash(fingerprint, crash);
        if change != Change::None {
            self.tell(fingerprint, true);
        }
        change
    }

    /// Notes that a request ended well, so that it is no suspect any more; returns how
    /// many crashes do not count any more, if it was one.
    pub fn record_success(&self, fingerprint: Fingerprint) -> Option<u32> {
        self.cleared(fingerprint, |table| {
            table.record_success(fingerprint, Instant::now())
        })
    }

    /// Notes that a run went on for a time and was ended here, the target being well;
    /// returns how many crashes do not count any more, if that clears a suspect.
    pub fn record_survival(&self, fingerprint: Fingerprint, run_time: Duration) -> Option<u32> {
        self.cleared(fingerprint, |table| {
            table.record_survival(fingerprint, run_time, Instant::now())
        })
    }

    fn cleared(
        &self,
        fingerprint: Fingerprint,
        clear: impl FnOnce(&mut Quarantine) -> bool,
    ) -> Option<u32> {
        let crashes = {
            let mut table = self.table();
            let crashes = table.crash_count(fingerprint);
            clear(&mut table).then_some(crashes)?
        };
        self.tell(fingerprint, false);
        self.changed.send_replace(());
        Some(crashes)
    }

    /// Takes in what another host tells of a suspect.
    pub fn merge_report(&self, host: &HostId, told: &Report) -> Change {
        let change = self.table().merge_report(host, told, Instant::now());
        if change != Change::None {
            self.changed.send_replace(());
        }
        change
    }

    /// Returns what to tell other hosts of a request; nothing if it is not remembered.
    pub fn report(&self, fingerprint: Fingerprint) -> Option<Report> {
        self.table().report(fingerprint, &self.host, Instant::now())
    }

    /// Forgets what is old, and returns what to tell hosts that may have missed it.
    pub fn periodic_reports(&self) -> Vec<Report> {
        let now = Instant::now();
        let mut table = self.table();
        table.evict_expired(now);
        table.periodic_reports(&self.host, now)
    }

    fn tell(&self, fingerprint: Fingerprint, is_crash: bool) {
        // A host that does not listen any more has stopped.
        let _ = self.news.send(News {
            fingerprint,
            is_crash,
        });
    }

    fn table(&self) -> MutexGuard<'_, Quarantine> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
