//! Where a host's processor time goes, by part.
//!
//! Time is measured around work that does not wait, so a part's figure is its own
//! processor time, and that for which the host stood still meanwhile. Each part
//! costs two looks at the clock. A line in the log every ten seconds tells them
//! too: a host that is gone has no metrics page any more.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_listen::Phase;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::metrics::Counted;
use crate::metrics::Metrics;

/// Time between two log lines.
pub(crate) const REPORT: Duration = Duration::from_secs(10);

/// A part of a host's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Part {
    /// Taking in what peers tell.
    NewsTakenIn,
    /// Telling peers.
    NewsTold,
    /// Passing on what peers told.
    NewsPassedOn,
    /// Choosing targets for online requests.
    Placing,
    /// Choosing items and their targets.
    Items,
    /// Folding job records.
    Records,
}

const PARTS: [Part; 6] = [
    Part::NewsTakenIn,
    Part::NewsTold,
    Part::NewsPassedOn,
    Part::Placing,
    Part::Items,
    Part::Records,
];

impl Part {
    fn name(self) -> &'static str {
        match self {
            Self::NewsTakenIn => "news taken in",
            Self::NewsTold => "news told",
            Self::NewsPassedOn => "news passed on",
            Self::Placing => "placing",
            Self::Items => "items",
            Self::Records => "records",
        }
    }
}

/// Does a piece of work and counts its time.
pub(crate) fn timed<T>(metrics: &Metrics, part: Part, work: impl FnOnce() -> T) -> T {
    let begun = Instant::now();
    let done = work();
    let took = u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX);
    metrics.add(Counted::WorkMicros, part.name(), took);
    metrics.count(Counted::Work, part.name());
    done
}

/// Logs the figures now and then until the host stops, which ends the ticks or the phase.
pub(crate) async fn report(
    metrics: Arc<Metrics>,
    logger: slog::Logger,
    mut ticks: mpsc::Receiver<Instant>,
    phase: watch::Receiver<Phase>,
) {
    let started = Instant::now();
    while ticks.recv().await.is_some() && *phase.borrow() != Phase::Stopped {
        let parts = PARTS.map(|part| {
            let micros = metrics.counted(Counted::WorkMicros, part.name());
            let times = metrics.counted(Counted::Work, part.name());
            format!("{} {times} times {micros} us", part.name())
        });
        let datagrams = |direction| metrics.counted(Counted::Datagrams, direction);
        slog::info!(logger, "work so far"; "parts" => parts.join(", "),
            "datagrams_sent" => datagrams("sent") + datagrams("passed on"),
            "datagrams_received" => datagrams("received"),
            "uptime_s" => started.elapsed().as_secs());
    }
}
