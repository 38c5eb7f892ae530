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
use notchwharf_routing::quarantine::LifeId;
use notchwharf_routing::quarantine::Quarantine;
use notchwharf_routing::quarantine::Told;
use notchwharf_routing::quarantine::Verdict;
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
pub enum KeptBack {
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
pub struct Trial {
    gate: Arc<Gate>,
    fingerprint: Fingerprint,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.gate.table().ended(self.fingerprint, &self.gate.host);
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
    pub fn crashes(&self, fingerprint: Fingerprint) -> u32 {
        self.table().crashes(fingerprint)
    }

    /// Returns the life of a target that a request met which was sent at a moment and
    /// answered.
    pub fn life_met(&self, fingerprint: Fingerprint, life: LifeId, sent: Instant) -> LifeId {
        self.table().life_met(fingerprint, life, sent)
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
    ) -> Result<Option<Trial>, KeptBack> {
        let verdict = self.table().admit(fingerprint, &self.host, Instant::now());
        self.admitted(fingerprint, verdict)
    }

    /// Decides the same of an item of a job, of which a result is owed.
    ///
    /// # Errors
    ///
    /// Returns why it must not be sent.
    pub fn try_admit_owed(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
    ) -> Result<Option<Trial>, KeptBack> {
        let verdict = self
            .table()
            .admit_owed(fingerprint, &self.host, Instant::now());
        self.admitted(fingerprint, verdict)
    }

    fn admitted(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        verdict: Verdict,
    ) -> Result<Option<Trial>, KeptBack> {
        match verdict {
            Verdict::Free if self.crashes(fingerprint) == 0 => Ok(None),
            Verdict::Free => {
                self.tell(fingerprint, false);
                let gate = Arc::clone(self);
                Ok(Some(Trial { gate, fingerprint }))
            }
            Verdict::Wait => Err(KeptBack::Waiting),
            Verdict::Refused {
                crashes,
                retry_after,
            } => Err(KeptBack::Refused {
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
    ) -> Result<Option<Trial>, KeptBack> {
        let mut changed = self.changed.subscribe();
        loop {
            let admitted = self.try_admit(fingerprint);
            if !matches!(admitted, Err(KeptBack::Waiting)) || Instant::now() >= until {
                return admitted;
            }
            let gap = until.min(Instant::now() + LOOK_GAP);
            // The sender lives as long as the gate.
            let _ = tokio::time::timeout_at(gap.into(), changed.changed()).await;
        }
    }

    /// Notes that a target crashed under a request.
    pub fn crashed(&self, fingerprint: Fingerprint, crash: Crash) -> Change {
        let change = self.table().crashed(fingerprint, crash);
        if change != Change::None {
            self.tell(fingerprint, true);
        }
        change
    }

    /// Notes that a request ended well, so that it is no suspect any more; returns how
    /// many crashes do not count any more, if it was one.
    pub fn ended_well(&self, fingerprint: Fingerprint) -> Option<u32> {
        self.cleared(fingerprint, |table| {
            table.ended_well(fingerprint, Instant::now())
        })
    }

    /// Notes that a run went on for a time and was ended here, the target being well;
    /// returns how many crashes do not count any more, if that clears a suspect.
    pub fn outlasted(&self, fingerprint: Fingerprint, ran: Duration) -> Option<u32> {
        self.cleared(fingerprint, |table| {
            table.outlasted(fingerprint, ran, Instant::now())
        })
    }

    fn cleared(
        &self,
        fingerprint: Fingerprint,
        clear: impl FnOnce(&mut Quarantine) -> bool,
    ) -> Option<u32> {
        let crashes = {
            let mut table = self.table();
            let crashes = table.crashes(fingerprint);
            clear(&mut table).then_some(crashes)?
        };
        self.tell(fingerprint, false);
        self.changed.send_replace(());
        Some(crashes)
    }

    /// Takes in what another host tells of a suspect.
    pub fn take(&self, host: &HostId, told: &Told) -> Change {
        let change = self.table().take(host, told, Instant::now());
        if change != Change::None {
            self.changed.send_replace(());
        }
        change
    }

    /// Returns what to tell other hosts of a request; nothing if it is not remembered.
    pub fn told(&self, fingerprint: Fingerprint) -> Option<Told> {
        self.table().told(fingerprint, &self.host, Instant::now())
    }

    /// Forgets what is old, and returns what to tell hosts that may have missed it.
    pub fn retold(&self) -> Vec<Told> {
        let now = Instant::now();
        let mut table = self.table();
        table.forget_old(now);
        table.retold(&self.host, now)
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
