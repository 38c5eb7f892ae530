//! The form in which hosts tell one another of suspects.

use std::sync::Arc;
use std::time::Duration;

use notchwharf_proto::messages;
use notchwharf_proto::messages::Suspect;
use notchwharf_routing::quarantine::CrashReport;
use notchwharf_routing::quarantine::Report;

use crate::gate::Gate;

/// Time between two times that suspects are told again: several fit into the time in
/// which a host that was cut off must be as good as any other.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Hosts that are told again each time.
pub const REPORT_FANOUT: usize = 2;

/// Time after which a crash is told once more: longer than most disturbances of a link,
/// and less than requests like it take to come again.
const TELL_GAP: Duration = Duration::from_millis(50);

/// Tells what changes at a gate, crashes twice. Nothing if somebody does so already.
pub async fn send_changes(gate: Arc<Gate>, tell: impl Fn(&Report) + Clone + Send + 'static) {
    let Some(mut to_tell) = gate.take_news() else {
        return;
    };
    while let Some(news) = to_tell.recv().await {
        let Some(told) = gate.report(news.fingerprint) else {
            continue;
        };
        tell(&told);
        if !news.is_crash {
            continue;
        }
        let (gate, tell) = (Arc::clone(&gate), tell.clone());
        tokio::spawn(async move {
            tokio::time::sleep(TELL_GAP).await;
            if let Some(told) = gate.report(news.fingerprint) {
                tell(&told);
            }
        });
    }
}

/// Returns suspects in the form in which hosts are told, in parts that each fit a
/// datagram.
pub fn encode(told: &[Report]) -> Vec<Vec<Suspect>> {
    messages::split_by_size(told.iter().map(encode_one), messages::suspect_encoded_len)
}

fn encode_one(told: &Report) -> Suspect {
    let crashes = told.crashes.iter().map(|crash| messages::Crash {
        life: crash.incarnation,
        ran_ms: millis(crash.run_time),
        age_ms: millis(crash.age),
    });
    Suspect {
        fingerprint: told.fingerprint,
        clearances: told.clearances,
        crashes: crashes.collect(),
        runs_since_ms: told.running_for.map(millis),
    }
}

/// Returns what a host told of a suspect.
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
