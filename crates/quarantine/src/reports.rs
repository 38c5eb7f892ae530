//! Exchange of suspects between hosts: when reports are sent, and their form on the wire.

use std::sync::Arc;
use std::time::Duration;

use notchwharf_proto::messages;
use notchwharf_proto::messages::Suspect;
use notchwharf_routing::quarantine::CrashReport;
use notchwharf_routing::quarantine::Report;

use crate::gate::Gate;

/// Interval at which suspects are reported again. Several fit into the time within which a
/// host that was partitioned has to be up to date.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Number of hosts that receive the repeated reports each time.
pub const REPORT_FANOUT: usize = 2;

/// Delay after which a crash is reported a second time. Exceeds most disturbances of a
/// link, and is shorter than the time after which a retry of the request usually arrives.
const CRASH_RESEND_DELAY: Duration = Duration::from_millis(50);

/// Sends a report on each change at a gate, and on each crash a second one. Never returns,
/// unless another task already does the same; returns immediately then.
pub async fn send_changes(gate: Arc<Gate>, send: impl Fn(&Report) + Clone + Send + 'static) {
    let Some(mut updates) = gate.take_updates() else {
        return;
    };
    while let Some(update) = updates.recv().await {
        let Some(report) = gate.report(update.fingerprint) else {
            continue;
        };
        send(&report);
        if !update.is_crash {
            continue;
        }
        let (gate, send) = (Arc::clone(&gate), send.clone());
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_RESEND_DELAY).await;
            if let Some(report) = gate.report(update.fingerprint) {
                send(&report);
            }
        });
    }
}

/// Encodes reports, split into parts that each fit into a datagram.
pub fn encode(reports: &[Report]) -> Vec<Vec<Suspect>> {
    messages::split_by_size(
        reports.iter().map(encode_one),
        messages::suspect_encoded_len,
    )
}

fn encode_one(report: &Report) -> Suspect {
    let crashes = report.crashes.iter().map(|crash| messages::Crash {
        life: crash.incarnation,
        ran_ms: millis(crash.run_time),
        age_ms: millis(crash.age),
    });
    Suspect {
        fingerprint: report.fingerprint,
        clearances: report.clearances,
        crashes: crashes.collect(),
        runs_since_ms: report.running_for.map(millis),
    }
}

/// Decodes a report.
pub fn decode(suspect: &Suspect) -> Report {
    let crashes = suspect.crashes.iter().map(|crash| CrashReport {
        incarnation: crash.life,
        run_time: Duration::from_millis(crash.ran_ms),
        age: Duration::from_millis(crash.age_ms),
    });
    Report {
        fingerprint: suspect.fingerprint,
        clearances: suspect.clearances,
        crashes: crashes.collect(),
        running_for: suspect.runs_since_ms.map(Duration::from_millis),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
