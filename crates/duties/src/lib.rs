//! Keeps the long-running tasks of a process running, and tells whether all of them are.
//!
//! A task that follows a log, or sends heartbeats, may end by a panic while the rest of the process goes on.
//! The process then serves by what it knew last. A [`Supervisor`] starts such a task again, and says that it
//! is down until it has run for a while.
//!
//! ```
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() {
//! use notchwharf_duties::{Config, Supervisor};
//!
//! let supervisor = Supervisor::new(Config::default(), |event| eprintln!("{event:?}"));
//! // The task may never return.
//! supervisor.spawn("reader", || false, || std::future::pending());
//! assert!(supervisor.are_all_up());
//! # }
//! ```
//!
//! Alternatives rejected: ending the process at the first panic (a record that makes every host panic would
//! end the fleet, with all requests in progress), and catching panics in each task (a task that returns too
//! early is as harmful, and each loop would need the same code).

use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::task::JoinError;

/// The name of a duty in reports.
pub type Name = &'static str;

/// How duties are started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Delay before a duty is started again. 200 ms by default.
    pub restart_delay: Duration,
    /// Time for which a duty must have run since its last start to count as up. 2 s by default.
    pub steady_after: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            restart_delay: Duration::from_millis(200),
            steady_after: Duration::from_secs(2),
        }
    }
}

/// Why a duty ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It returned although it was not allowed to.
    Returned,
    /// It panicked, with this message.
    Panicked(String),
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Returned => f.write_str("returned early"),
            Self::Panicked(message) => write!(f, "panicked: {message}"),
        }
    }
}

/// A change of a duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A duty has ended; it is started again.
    Ended {
        /// The duty.
        duty: Name,
        /// Why it ended.
        end: End,
    },
    /// A duty that had ended has run for long enough to count as up.
    Recovered {
        /// The duty.
        duty: Name,
    },
}

/// Keeps duties running. Clones share their state.
#[derive(Clone)]
pub struct Supervisor {
    inner: Arc<Inner>,
}

struct Inner {
    cfg: Config,
    /// The number of tasks that are down, by duty; several tasks may share a name.
    down: Mutex<BTreeMap<Name, usize>>,
    report: Box<dyn Fn(&Event) + Send + Sync>,
}

impl fmt::Debug for Supervisor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Supervisor")
            .field("down", &self.down())
            .finish_non_exhaustive()
    }
}

impl Supervisor {
    /// Returns a supervisor without duties that reports each change.
    pub fn new(cfg: Config, report: impl Fn(&Event) + Send + Sync + 'static) -> Self {
        Self {
            inner: Arc::new(Inner {
                cfg,
                down: Mutex::default(),
                report: Box::new(report),
            }),
        }
    }

    /// Starts a duty. Whenever it panics, or returns while `may_end` is false, it is started again.
    ///
    /// # Panics
    ///
    /// Panics if called outside a Tokio runtime.
    pub fn spawn<F>(
        &self,
        duty: Name,
        may_end: impl Fn() -> bool + Send + 'static,
        run: impl Fn() -> F + Send + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let inner = Arc::clone(&self.inner);
        tokio::spawn(async move { inner.supervise(duty, may_end, run).await });
    }

    /// Returns whether all duties are up.
    pub fn are_all_up(&self) -> bool {
        lock(&self.inner.down).is_empty()
    }

    /// Returns the duties that have ended and do not count as up again.
    pub fn down(&self) -> Vec<Name> {
        lock(&self.inner.down).keys().copied().collect()
    }
}

impl Inner {
    async fn supervise<F>(
        &self,
        duty: Name,
        may_end: impl Fn() -> bool + Send,
        run: impl Fn() -> F + Send,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut is_down = false;
        loop {
            let mut task = tokio::spawn(run());
            let mut joined = None;
            if is_down {
                joined = tokio::time::timeout(self.cfg.steady_after, &mut task)
                    .await
                    .ok();
                if joined.is_none() {
                    is_down = false;
                    self.mark_up(duty);
                    (self.report)(&Event::Recovered { duty });
                }
            }
            let joined = match joined {
                Some(joined) => joined,
                None => task.await,
            };
            let Some(end) = end_of(joined, &may_end) else {
                if is_down {
                    self.mark_up(duty);
                }
                return;
            };
            if !std::mem::replace(&mut is_down, true) {
                *lock(&self.down).entry(duty).or_default() += 1;
            }
            (self.report)(&Event::Ended { duty, end });
            tokio::time::sleep(self.cfg.restart_delay).await;
        }
    }

    fn mark_up(&self, duty: Name) {
        let mut down = lock(&self.down);
        if let Some(tasks) = down.get_mut(duty) {
            *tasks -= 1;
            if *tasks == 0 {
                down.remove(duty);
            }
        }
    }
}

/// Returns why a duty has to be started again; `None` if it has ended as it may.
fn end_of(joined: Result<(), JoinError>, may_end: impl Fn() -> bool) -> Option<End> {
    match joined {
        Ok(()) => (!may_end()).then_some(End::Returned),
        Err(err) if err.is_cancelled() => None,
        Err(err) => Some(End::Panicked(message(err))),
    }
}

/// Returns the message of a panic.
fn message(err: JoinError) -> String {
    let Ok(payload) = err.try_into_panic() else {
        return String::new();
    };
    let text = payload
        .downcast_ref::<&str>()
        .map(|text| (*text).to_owned());
    let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "no message".to_owned())
}

/// Locks a mutex and ignores poisoning, since the counts are consistent after each statement.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
