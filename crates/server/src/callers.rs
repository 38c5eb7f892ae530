//! What callers occupy of this host, and its reports.

use std::sync::Arc;
use std::time::Duration;

use notchwharf_config::settings::Settings;
use notchwharf_intake::Entrance;
use notchwharf_intake::Intake;
use notchwharf_intake::Machine;
use notchwharf_intake::Report;

use crate::context::Context;
use crate::metrics::Counted;

/// Connections of operators.
const OPERATORS_MAX: usize = 32;
/// Interval of reports, which bounds the log lines that callers can cause.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// The budget for callers, and the entrances to it.
#[derive(Debug)]
pub(crate) struct Callers {
    pub(crate) intake: Intake,
    pub(crate) entrance: Entrance,
    pub(crate) operators: Entrance,
}

impl Callers {
    pub(crate) fn new(settings: &Settings) -> Self {
        let own = &settings.intake;
        let machine = Machine::detect().restrict(own.memory_mb, own.descriptors);
        let connections_max = own.connections_max.unwrap_or(machine.connections_max());
        let intake = Intake::new(own.bytes_max.unwrap_or(machine.caller_bytes_of_threads()));
        Self {
            entrance: intake.entrance(usize::try_from(connections_max).unwrap_or(usize::MAX)),
            operators: intake.entrance(OPERATORS_MAX),
            intake,
        }
    }
}

/// Reports what callers occupy until the timer stops.
pub(crate) async fn report(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(REPORT_INTERVAL);
    let mut last = Report::default();
    while ticks.recv().await.is_some() {
        let now = ctx.callers.intake.report();
        let count = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
        ctx.metrics.set("caller bytes", count(now.bytes));
        ctx.metrics.set("caller bytes limit", count(now.bytes_max));
        ctx.metrics.set("caller connections", now.connections);
        if now.events() > last.events() {
            let since = now.since(&last);
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
        last = now;
    }
}
