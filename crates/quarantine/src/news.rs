//! The form in which hosts tell one another of suspects.

use std::sync::Arc;
use std::time::Duration;

use notchwharf_proto::news;
use notchwharf_proto::news::Suspect;
use notchwharf_routing::quarantine::Told;
use notchwharf_routing::quarantine::ToldCrash;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::gate::Gate;
use crate::gate::News;

/// Time between two times that suspects are told again: several fit into the time in
/// which a host that was cut off must be as good as any other.
pub const RETELL_GAP: Duration = Duration::from_millis(500);

/// Hosts that are told again each time.
pub const RETOLD_HOSTS: usize = 2;

/// Time after which a crash is told once more: longer than most disturbances of a link,
/// and less than requests like it take to come again.
const TELL_GAP: Duration = Duration::from_millis(50);

/// Bytes of a datagram: what the least link carries in one packet.
const BYTES_MAX: usize = 1_200;

/// Tells what changes at a gate, crashes twice, until the gate is gone.
pub async fn tell_changes(
    gate: Arc<Gate>,
    mut to_tell: UnboundedReceiver<News>,
    tell: impl Fn(&Told) + Clone + Send + 'static,
) {
    while let Some(news) = to_tell.recv().await {
        let Some(told) = gate.told(news.fingerprint) else {
            continue;
        };
        tell(&told);
        if !news.is_crash {
            continue;
        }
        let (gate, tell) = (Arc::clone(&gate), tell.clone());
        tokio::spawn(async move {
            tokio::time::sleep(TELL_GAP).await;
            if let Some(told) = gate.told(news.fingerprint) {
                tell(&told);
            }
        });
    }
}

/// Returns suspects in the form in which hosts are told, in parts that each fit a
/// datagram.
pub fn encode(told: &[Told]) -> Vec<Vec<Suspect>> {
    let mut parts: Vec<Vec<Suspect>> = Vec::new();
    let mut bytes = BYTES_MAX;
    for suspect in told.iter().map(encode_one) {
        let size = news::suspect_bytes(&suspect);
        bytes += size;
        match parts.last_mut() {
            Some(part) if bytes <= BYTES_MAX => part.push(suspect),
            _ => {
                bytes = size;
                parts.push(vec![suspect]);
            }
        }
    }
    parts
}

fn encode_one(told: &Told) -> Suspect {
    let crashes = told.crashes.iter().map(|crash| news::Crash {
        life: crash.life,
        ran_ms: millis(crash.ran),
        age_ms: millis(crash.age),
    });
    Suspect {
        fingerprint: told.fingerprint,
        clearances: told.clearances,
        crashes: crashes.collect(),
        runs_since_ms: told.runs_since.map(millis),
    }
}

/// Returns what a host told of a suspect.
pub fn decode(suspect: &Suspect) -> Told {
    let crashes = suspect.crashes.iter().map(|crash| ToldCrash {
        life: crash.life,
        ran: Duration::from_millis(crash.ran_ms),
        age: Duration::from_millis(crash.age_ms),
    });
    Told {
        fingerprint: suspect.fingerprint,
        clearances: suspect.clearances,
        crashes: crashes.collect(),
        runs_since: suspect.runs_since_ms.map(Duration::from_millis),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
