//! Measures the processor time that a host spends on each activity.
//!
//! Only work that does not await is measured, so the time of an activity is its processor
//! time plus any time for which the thread was descheduled. A measurement reads the clock
//! twice. The totals are logged every ten seconds as well, because the metrics page of a host
//! that has stopped cannot be read.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_listen::Phase;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::metrics::Counted;
use crate::metrics::Metrics;

/// Interval of log lines.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// An activity whose processor time is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Activity {
    /// Applying updates of peers.
    ReceiveUpdates,
    /// Sending updates to peers.
    SendUpdates,
    /// Relaying updates of peers.
    RelayUpdates,
    /// Selecting targets for online requests.
    SelectTarget,
    /// Selecting items and their targets.
    ScheduleItems,
    /// Applying job records.
    ApplyRecords,
}

const ACTIVITIES: [Activity; 6] = [
    Activity::ReceiveUpdates,
    Activity::SendUpdates,
    Activity::RelayUpdates,
    Activity::SelectTarget,
    Activity::ScheduleItems,
    Activity::ApplyRecords,
];

impl Activity {
    /// Returns the name in metrics and logs.
    fn name(self) -> &'static str {
        match self {
            Self::ReceiveUpdates => "news taken in",
            Self::SendUpdates => "news told",
            Self::RelayUpdates => "news passed on",
            Self::SelectTarget => "placing",
            Self::ScheduleItems => "items",
            Self::ApplyRecords => "records",
        }
    }
}

/// Runs a function and counts its time.
pub(crate) fn measure<T>(metrics: &Metrics, activity: Activity, work: impl FnOnce() -> T) -> T {
    let started = Instant::now();
    let output = work();
    let micros = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    metrics.add(Counted::WorkMicros, activity.name(), micros);
    metrics.count(Counted::Work, activity.name());
    output
}

/// Logs the totals at each tick until the host stops or the ticks end.
pub(crate) async fn report(
    metrics: Arc<Metrics>,
    logger: slog::Logger,
    mut ticks: mpsc::Receiver<Instant>,
    phase: watch::Receiver<Phase>,
) {
    let started = Instant::now();
    while ticks.recv().await.is_some() && *phase.borrow() != Phase::Stopped {
        let parts = ACTIVITIES.map(|activity| {
            let micros = metrics.counted(Counted::WorkMicros, activity.name());
            let times = metrics.counted(Counted::Work, activity.name());
            format!("{} {times} times {micros} us", activity.name())
        });
        let datagrams = |direction| metrics.counted(Counted::Datagrams, direction);
        slog::info!(logger, "processor time by activity"; "parts" => parts.join(", "),
            "datagrams_sent" => datagrams("sent") + datagrams("passed on"),
            "datagrams_received" => datagrams("received"),
            "uptime_s" => started.elapsed().as_secs());
    }
}
