//! What callers occupy of this host, and its reports.
//!
//! Reports are periodic, so that a crowd of callers cannot cause more log lines than usual.

use std::sync::Arc;
use std::time::Duration;

use notchwharf_intake::Entrance;
use notchwharf_intake::Intake;
use notchwharf_intake::Machine;
use notchwharf_intake::Report;
use notchwharf_listen::Phase;

use crate::context::Context;
use crate::metrics::Counted;

/// Interval of reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// The budget for callers, and the entrances to it.
#[derive(Debug)]
pub struct Callers {
    /// The budget.
    pub intake: Intake,
    /// The entrance for callers.
    pub entrance: Entrance,
    /// The entrance for readiness checks.
    pub checks: Entrance,
    /// The entrance for readers of metrics.
    pub metrics: Entrance,
    /// Number of items of jobs that may run at a time.
    pub(crate) items_max: usize,
}

impl Callers {
    pub(crate) fn new(settings: &notchwharf_config::gateway::Settings) -> Self {
        let own = &settings.intake;
        let machine = Machine::detect().restrict(own.memory_mb, own.descriptors);
        let connections_max = own.connections_max.unwrap_or(machine.connections_max());
        let checks_max = machine.checks_max();
        let items_max = machine.items_max().min(settings.batch.running_max.into());
        let count = |max: u64| usize::try_from(max).unwrap_or(usize::MAX);
        let intake = Intake::new(own.bytes_max.unwrap_or(machine.caller_bytes()));
        Self {
            entrance: intake.entrance(count(connections_max)),
            checks: intake.entrance(count(checks_max)),
            metrics: intake.entrance(count(checks_max)),
            items_max: count(items_max),
            intake,
        }
    }
}

/// Reports what callers occupy until the host stops.
pub(crate) async fn run(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(REPORT_INTERVAL);
    let mut phase = ctx.phase.subscribe();
    let mut last = Report::default();
    loop {
        tokio::select! {
            tick = ticks.recv() => if tick.is_none() {
                return;
            },
            // Also returns if the sender of the phase was dropped.
            _ = phase.wait_for(|p| *p == Phase::Stopped) => return,
        }
        let now = ctx.callers.intake.report();
        report(&ctx, &last, &now);
        last = now;
    }
}

fn report(ctx: &Context, last: &Report, now: &Report) {
    let count = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
    ctx.metrics.set("caller bytes", count(now.bytes));
    ctx.metrics.set("caller bytes limit", count(now.bytes_max));
    ctx.metrics.set("caller connections", now.connections);
    if now.events() == last.events() {
        return;
    }
    let since = now.since(last);
    for (event, count) in since.by_event() {
        ctx.metrics.add(Counted::Callers, event, count);
    }
    slog::warn!(ctx.logger, "callers gave way or were refused"; "bytes" => now.bytes,
        "bytes_max" => now.bytes_max, "connections" => now.connections,
        "closed_for_connections" => since.closed_for_connections,
        "closed_for_bytes" => since.closed_for_bytes,
        "refused_connections" => since.refused_connections,
        "refused_bytes" => since.refused_bytes, "failed_accepts" => since.failed_accepts);
}
