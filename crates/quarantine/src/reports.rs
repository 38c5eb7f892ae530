//! Exchange of suspects between hosts: when reports are sent, and their form on the wire.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use notchwharf_proto::messages;
use notchwharf_proto::messages::Suspect;
use notchwharf_proto::messages::SuspectPart;
use notchwharf_routing::quarantine::CrashReport;
use notchwharf_routing::quarantine::RUN_TIME_MAX;
use notchwharf_routing::quarantine::Report;
use notchwharf_routing::quarantine::parts;

use crate::gate::Gate;
use crate::gate::Subject;

/// Interval at which suspects are reported again. Several fit into the time within which a
/// host that was partitioned has to be up to date.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Number of hosts that receive the repeated reports each time.
pub const REPORT_FANOUT: usize = 2;

/// Delay after which a crash is reported a second time. Exceeds most disturbances of a
/// link, and is shorter than the time after which a retry of the request usually arrives.
const CRASH_RESEND_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of changes that are sent together. A crash changes about eight requests and
/// twice as many parts at the hosts of a busy target.
const CHANGES_MAX: usize = 64;

/// Reports that are sent together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Reports on requests.
    pub requests: Vec<Report>,
    /// Reports on parts of prompts.
    pub parts: Vec<parts::Report>,
}

impl Batch {
    /// Returns the present reports on some suspects.
    fn new(gate: &Gate, subjects: &HashSet<Subject>) -> Self {
        let mut batch = Self::default();
        for subject in subjects {
            match subject {
                Subject::Request(fingerprint) => batch.requests.extend(gate.report(*fingerprint)),
                Subject::Part(part) => batch.parts.extend(gate.part_report(*part)),
            }
        }
        batch
    }
}

/// Sends reports on changes at a gate, and on crashes a second time. Never returns, unless
/// another task already does the same; returns immediately then.
pub async fn send_changes(gate: Arc<Gate>, send: impl Fn(&Batch) + Clone + Send + 'static) {
    let Some(mut receiver) = gate.take_updates() else {
        return;
    };
    let mut updates = Vec::new();
    while receiver.recv_many(&mut updates, CHANGES_MAX).await > 0 {
        let changed = updates.iter().map(|update| update.subject).collect();
        send(&Batch::new(&gate, &changed));
        let crashes = updates.drain(..).filter(|update| update.is_crash);
        let crashed: HashSet<Subject> = crashes.map(|update| update.subject).collect();
        if crashed.is_empty() {
            continue;
        }
        let (gate, send) = (Arc::clone(&gate), send.clone());
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_RESEND_DELAY).await;
            send(&Batch::new(&gate, &crashed));
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
        run_time: Duration::from_millis(crash.ran_ms).min(RUN_TIME_MAX),
        age: Duration::from_millis(crash.age_ms),
    });
    Report {
        fingerprint: suspect.fingerprint,
        clearances: suspect.clearances,
        crashes: crashes.collect(),
        running_for: suspect.runs_since_ms.map(Duration::from_millis),
    }
}

/// Encodes reports on parts, split into messages that each fit into a datagram.
pub fn encode_parts(reports: &[parts::Report]) -> Vec<Vec<SuspectPart>> {
    messages::split_by_size(reports.iter().map(encode_part), messages::part_encoded_len)
}

fn encode_part(report: &parts::Report) -> SuspectPart {
    let crashes = report.crashes.iter().map(|crash| messages::PartCrash {
        incarnation: crash.incarnation,
        request: crash.request,
        run_time_ms: millis(crash.run_time),
        has_begun: crash.has_begun,
        age_ms: millis(crash.age),
    });
    SuspectPart {
        part: report.part,
        cleared_age_ms: report.cleared_age.map(millis),
        crashes: crashes.collect(),
    }
}

/// Decodes a report on a part.
pub fn decode_part(part: &SuspectPart) -> parts::Report {
    let crashes = part.crashes.iter().map(|crash| parts::CrashReport {
        incarnation: crash.incarnation,
        request: crash.request,
        run_time: Duration::from_millis(crash.run_time_ms).min(RUN_TIME_MAX),
        has_begun: crash.has_begun,
        age: Duration::from_millis(crash.age_ms),
    });
    parts::Report {
        part: part.part,
        cleared_age: part.cleared_age_ms.map(Duration::from_millis),
        crashes: crashes.collect(),
    }
}

/// Encodes reports for a starting host. Hosts of earlier versions read the reports on requests
/// and ignore the rest.
///
/// # Panics
///
/// Never: postcard can represent every report.
pub fn encode_snapshot(batch: &Batch) -> Vec<u8> {
    let requests: Vec<Suspect> = batch.requests.iter().map(encode_one).collect();
    let parts: Vec<SuspectPart> = batch.parts.iter().map(encode_part).collect();
    let bytes = postcard::to_stdvec(&requests).expect("Reports are always representable.");
    postcard::to_extend(&parts, bytes).expect("Reports are always representable.")
}

/// Decodes the reports of a running host. One of an earlier version sends none on parts.
///
/// # Errors
///
/// Returns an error if the bytes are not reports.
pub fn decode_snapshot(bytes: &[u8]) -> Result<Batch, postcard::Error> {
    let (requests, rest): (Vec<Suspect>, _) = postcard::take_from_bytes(bytes)?;
    let parts: Vec<SuspectPart> = match rest.is_empty() {
        true => Vec::new(),
        false => postcard::from_bytes(rest)?,
    };
    Ok(Batch {
        requests: requests.iter().map(decode).collect(),
        parts: parts.iter().map(decode_part).collect(),
    })
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
