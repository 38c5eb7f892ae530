//! Readiness of the data that a host needs before it serves its first request.
//!
//! Each dependency is loaded by a task of its own, from the store or from peers, whichever
//! responds first. A request that arrives earlier waits for the dependencies that it needs.
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
//! Alternatives rejected: refusing early requests at once (the missing data mostly arrives
//! within some ten milliseconds, whereas the caller would need another connection to another
//! host), and listening only once everything is loaded (a caller whose connection is refused
//! retries late, and the load balancer checks hosts only once a second).

use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

/// Data that requests depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dependency {
    /// The configuration.
    Routes,
    /// The list of targets.
    Targets,
    /// Requests under which targets crashed.
    Suspects,
    /// The hosts that hold the shares of workspaces' limits.
    Limits,
    /// The versions that services had before the start.
    Versions,
    /// The targets that have said that they leave.
    Departures,
}

impl Dependency {
    const COUNT: usize = 6;

    /// Returns the name used in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Targets => "targets",
            Self::Suspects => "suspects",
            Self::Limits => "limits",
            Self::Versions => "versions",
            Self::Departures => "departures",
        }
    }
}

/// The dependencies that a host has loaded so far.
#[derive(Debug)]
pub struct Startup {
    started_at: Instant,
    logger: slog::Logger,
    wait_max: Duration,
    ready: [watch::Sender<bool>; Dependency::COUNT],
}

impl Startup {
    /// Returns the state of a host that starts now and has loaded nothing yet. A request
    /// waits up to `wait_max` for each dependency.
    pub fn new(wait_max: Duration, logger: slog::Logger) -> Self {
        Self {
            started_at: Instant::now(),
            logger,
            wait_max,
            ready: std::array::from_fn(|_| watch::Sender::new(false)),
        }
    }

    /// Records that a dependency has been loaded, and from which source. Only the first call
    /// for each dependency has an effect.
    pub fn mark_ready(&self, dependency: Dependency, source: &str) {
        // Checked first, as some callers report a dependency with each request.
        if self.is_ready(dependency) || self.ready[dependency as usize].send_replace(true) {
            return;
        }
        let took_ms = u64::try_from(self.uptime().as_millis()).unwrap_or(u64::MAX);
        slog::info!(self.logger, "need of the start met"; "need" => dependency.label(),
            "source" => source, "took_ms" => took_ms);
    }

    /// Returns whether a dependency has been loaded.
    pub fn is_ready(&self, dependency: Dependency) -> bool {
        *self.ready[dependency as usize].borrow()
    }

    /// Returns the time since the host started.
    pub fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Waits without a time limit until a dependency has been loaded.
    pub async fn wait_ready(&self, dependency: Dependency) {
        if self.is_ready(dependency) {
            return;
        }
        let mut ready = self.ready[dependency as usize].subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = ready.wait_for(|is_ready| *is_ready).await;
    }

    /// Waits for a dependency until a request's deadline, but no longer than the maximum
    /// given to [`Startup::new`]; returns whether it has been loaded.
    pub async fn wait_ready_until(&self, dependency: Dependency, deadline: Instant) -> bool {
        let until = deadline.min(Instant::now() + self.wait_max);
        let waited = tokio::time::timeout_at(until.into(), self.wait_ready(dependency));
        waited.await.is_ok()
    }
}
