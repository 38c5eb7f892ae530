//! What a host needs before it serves its first request, and when it had it.
//!
//! Each need has a task of its own that gets it, from the store or from peers, whichever
//! answers first. A request that comes before waits for what its host lacks.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use notchwharf_startup::{Dependency, Startup};
//!
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! let logger = slog::Logger::root(slog::Discard, slog::o!());
//! let startup = Startup::new(Duration::from_millis(5), logger);
//! let deadline = Instant::now() + Duration::from_secs(1);
//! assert!(!startup.wait_ready_until(Dependency::Routes, deadline).await);
//! startup.mark_ready(Dependency::Routes, "store");
//! assert!(startup.wait_ready_until(Dependency::Routes, deadline).await);
//! # });
//! ```
//!
//! Weighed: refusing at once what comes before (what is missing mostly comes within some
//! ten milliseconds, and the caller would need another connection and another host), and
//! listening only once all is there (a caller that finds nobody listening comes back
//! late, and the balancer looks once a second).

use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

/// Something that a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dependency {
    /// The configuration.
    Routes,
    /// The list of targets.
    Targets,
    /// Requests under which targets crashed.
    Suspects,
    /// Holders of the parts of limits.
    Limits,
}

impl Dependency {
    const COUNT: usize = 4;

    /// Returns the name by which logs call it.
    pub fn label(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Targets => "targets",
            Self::Suspects => "suspects",
            Self::Limits => "limits",
        }
    }
}

/// What a host has of what it needs.
#[derive(Debug)]
pub struct Startup {
    started: Instant,
    logger: slog::Logger,
    wait: Duration,
    had: [watch::Sender<bool>; Dependency::COUNT],
}

impl Startup {
    /// Returns that a host that starts now has nothing yet. `wait` is the longest time
    /// for which a request waits for one thing.
    pub fn new(wait: Duration, logger: slog::Logger) -> Self {
        Self {
            started: Instant::now(),
            logger,
            wait,
            had: std::array::from_fn(|_| watch::Sender::new(false)),
        }
    }

    /// Notes that something is there, and from where it came; what comes later says
    /// nothing new.
    pub fn mark_ready(&self, dependency: Dependency, source: &str) {
        // Asked first: some note what they have with each request.
        if self.is_ready(dependency) || self.had[dependency as usize].send_replace(true) {
            return;
        }
        let took_ms = u64::try_from(self.uptime().as_millis()).unwrap_or(u64::MAX);
        slog::info!(self.logger, "need of the start met"; "need" => dependency.label(),
            "source" => source, "took_ms" => took_ms);
    }

    /// Returns whether something is there.
    pub fn is_ready(&self, dependency: Dependency) -> bool {
        *self.had[dependency as usize].borrow()
    }

    /// Returns the time since the host started.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Waits until something is there, as long as that takes.
    pub async fn wait_ready(&self, dependency: Dependency) {
        if self.is_ready(dependency) {
            return;
        }
        let mut had = self.had[dependency as usize].subscribe();
        // The sender lives as long as this does.
        let _ = had.wait_for(|had| *had).await;
    }

    /// Waits for something as long as a request may, at most until its deadline; returns
    /// whether it is there.
    pub async fn wait_ready_until(&self, dependency: Dependency, deadline: Instant) -> bool {
        let until = deadline.min(Instant::now() + self.wait);
        let waited = tokio::time::timeout_at(until.into(), self.wait_ready(dependency));
        waited.await.is_ok()
    }
}
