//! Settings of a host that serves through a platform adapter, in JSON.
//!
//! They differ from [`crate::settings`] because routes and targets are read from the store of
//! the users' platform.
//!
//! ```
//! use notchwharf_config::gateway;
//!
//! let text = br#"{"host": {"name": "a1", "data_centre": "cluj-1"}, "batch": {"reserve": 99}}"#;
//! let err = gateway::parse(text).unwrap_err();
//! assert_eq!(err.to_string(), "batch.reserve: 99 is not between 0 and 64");
//! ```
//!
//! Field names have their unit as a suffix. All fields except the host's name and data centre
//! have defaults.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::DataCentreId;
use crate::check::check_below;
use crate::check::check_name;
use crate::check::check_range;
use crate::error;
use crate::intake::Intake;
use crate::json;

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name, data centre and addresses of this host.
    pub host: Host,
    /// The platform's store.
    #[serde(default)]
    pub store: Store,
    /// Removal of targets.
    #[serde(default)]
    pub targets: Targets,
    /// Access control.
    #[serde(default)]
    pub access: Access,
    /// Online requests.
    #[serde(default)]
    pub online: Online,
    /// Jobs and their items.
    #[serde(default)]
    pub batch: Batch,
    /// Messages between hosts.
    #[serde(default)]
    pub peers: Peers,
    /// What callers may occupy.
    #[serde(default)]
    pub intake: Intake,
    /// Graceful shutdown.
    #[serde(default)]
    pub shutdown: Shutdown,
    /// Logging.
    #[serde(default)]
    pub logs: Logs,
}

/// The name, data centre and addresses of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// The name of the host, unique in the fleet.
    pub name: String,
    /// The data centre of the host.
    pub data_centre: DataCentreId,
    /// The address on which callers connect.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// The address on which the load balancer checks readiness.
    #[serde(default = "any_port")]
    pub ready_listen: SocketAddr,
    /// The address on which other hosts connect and to which they send datagrams. Must use the
    /// same port on all hosts.
    #[serde(default = "any_port")]
    pub peer_listen: SocketAddr,
    /// The address on which metrics are exposed; disabled if absent.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddr>,
    /// Address for introductions by hosts that cannot read the host list; disabled if
    /// absent. Must use the same port on all seeds.
    #[serde(default)]
    pub contact_listen: Option<SocketAddr>,
    /// Contact addresses of up to 16 seed hosts, which may be down. Empty by default, in
    /// which case hosts cannot discover one another if the store is unavailable from the
    /// fleet's first start on.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Store {
    /// The address of the store.
    pub addr: SocketAddr,
    /// Timeout of a call. From 10 to 60_000; 700 by default: about forty times the usual
    /// response time, and short enough for a retry within the objective of a job submission.
    pub timeout_ms: u64,
    /// Time between two reads of the job records while any are expected. From 10 to 60_000;
    /// 350 by default, so that callers can read results at any host within a second.
    pub poll_ms: u64,
    /// Partitions of each topic. From 1 to 100_000; 24 by default. Specified by the platform;
    /// must be equal on all hosts of a fleet.
    pub parts: u32,
    /// Maximum size of a record. From 1_024 to 16_777_216; 262_144 by default.
    pub record_bytes_max: u64,
    /// Maximum total size of the records of a call. From 1_024 to 134_217_728; 2_097_152 by
    /// default.
    pub call_bytes_max: u64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            addr: any_port(),
            timeout_ms: 700,
            poll_ms: 350,
            parts: 24,
            record_bytes_max: 262_144,
            call_bytes_max: 2_097_152,
        }
    }
}

/// Removal of targets. These times are specified by the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Targets {
    /// Time for which requests may still reach a target after the store has acknowledged that
    /// it is leaving or removed. From 500 to 600_000; 2_000 by default.
    pub drain_ms: u64,
    /// Time after a failure of the store, or of the network to it, within which requests may
    /// reach a target that has been removed. From 500 to 600_000; 3_000 by default.
    pub settle_ms: u64,
}

impl Default for Targets {
    fn default() -> Self {
        Self {
            drain_ms: 2_000,
            settle_ms: 3_000,
        }
    }
}

/// Access control.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Access {
    /// Time within which the configuration must have been confirmed as the newest for a key to
    /// be accepted. From 500 to 600_000; absent by default, in which case a host uses its
    /// configuration regardless of its age. If set, a host that cannot reach the store for
    /// this time refuses all requests that need a key.
    pub confirm_within_ms: Option<u64>,
    /// Tolerance by which rate limits of workspaces may be exceeded.
    pub limits: Limits,
}

/// Tolerance by which rate limits of workspaces may be exceeded: no window of `window_s`
/// contains more requests than (rate x window + burst) x (1 + excess) + slack. All three are
/// specified by the platform and must be equal on all hosts of a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The length of the window. From 1 to 3_600; 5 by default.
    pub window_s: u64,
    /// The relative excess. From 0 to 1; 0 by default.
    pub excess: f64,
    /// The absolute excess in requests. From 0 to 1_000_000; 0 by default.
    pub slack: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            window_s: 5,
            excess: 0.0,
            slack: 0,
        }
    }
}

/// Online requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Online {
    /// Timeout of connecting to a target. From 1 to 60_000; 250 by default: less than the
    /// usual objective and many times the latency between data centres.
    pub connect_timeout_ms: u64,
    /// Time after which a connection is closed if sent bytes are not acknowledged by the
    /// target's side, regardless of how long the response takes. From 10 to 60_000; 500 by
    /// default: enough for two consecutive losses of a packet, and less than `stall_ms`.
    pub unconfirmed_ms: u64,
    /// Time for which an idle connection to a target may be reused. From 1 to 600_000; 4_000
    /// by default. A shorter time announced by a target takes precedence.
    pub idle_ms: u64,
    /// Time between two events after which a resumable stream is moved to another target.
    /// From 10 to 600_000; 700 by default: four times the pause that callers accept.
    pub stall_ms: u64,
    /// Maximum size of a target's answer in bytes. From 1_048_576 to 1_099_511_627_776;
    /// 1_073_741_824 by default. It is forwarded as it arrives, so this bounds what a faulty target
    /// may send within the deadline, not memory.
    pub answer_bytes_max: u64,
    /// Maximum time for which a request waits for data that a newly started host does not have
    /// yet: routes, targets, or shares of a rate limit. From 0 to 60_000; 150 by default: half
    /// of the usual objective, so that the other half remains for the first event.
    pub start_wait_ms: u64,
    /// Where requests wait while all slots are occupied: at their hosts, ordered across all
    /// hosts of a data centre, or in the queues of targets. By default at hosts if the
    /// configuration defines workspaces, which then share the slots.
    pub wait_at_hosts: WaitAtHosts,
}

/// When requests wait at hosts while all slots are occupied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitAtHosts {
    /// Never: they wait in the queues of targets.
    Never,
    /// If the configuration defines workspaces.
    #[default]
    Workspaces,
    /// Always.
    Always,
}

impl Default for Online {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 250,
            unconfirmed_ms: 500,
            idle_ms: 4_000,
            stall_ms: 700,
            answer_bytes_max: 1 << 30,
            start_wait_ms: 150,
            wait_at_hosts: WaitAtHosts::default(),
        }
    }
}

/// Jobs and their items.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Batch {
    /// Slots of each target that items leave free for online requests. From 0 to 64; 1 by
    /// default.
    pub reserve: u32,
    /// Minimum time between two starts of items at one host. From 1 to 1_000; 4 by default:
    /// longer than the latency of messages between hosts, so that two hosts rarely use the
    /// same slot.
    pub start_gap_ms: u64,
    /// Time without an event after which the run of an item is aborted. From 10 to 600_000;
    /// 1_500 by default.
    pub stall_ms: u64,
    /// Number of events after which the progress of an item is saved. From 1 to 1_000_000; 48
    /// by default: about one second of work, and a few saves per item.
    pub save_events: u64,
    /// Time between two saves of a host; each is one call for all of its items. From 10 to
    /// 60_000; 1_000 by default.
    pub save_ms: u64,
    /// Maximum number of items that one host runs concurrently. From 1 to 100_000; 128 by default.
    pub running_max: u32,
    /// Maximum size of an item's text in bytes. From 1_024 to 268_435_456; 16_777_216 by default. It
    /// is kept in memory until the item ends.
    pub text_bytes_max: u64,
    /// Time for which a host must have been undisturbed before the last run that an item may have
    /// unless its outcome is learnt; twice as long before the next one, and so on. From 10 to
    /// 600_000; 5_000 by default: hosts that are lost in series often live for less.
    pub calm_ms: u64,
    /// Time for which a finished job remains readable. From 1_000 to 86_400_000; 120_000 by
    /// default.
    pub readable_ms: u64,
}

impl Default for Batch {
    fn default() -> Self {
        Self {
            reserve: 1,
            start_gap_ms: 4,
            stall_ms: 1_500,
            save_events: 48,
            save_ms: 1_000,
            running_max: 128,
            text_bytes_max: 16 << 20,
            calm_ms: 5_000,
            readable_ms: 120_000,
        }
    }
}

/// Messages between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Peers {
    /// Minimum time between two datagrams to the same peer. From 1 to 10_000; 2 by default.
    pub news_ms: u64,
    /// Time between two heartbeats, which are sent even if nothing has changed. From 10 to
    /// 60_000; 300 by default.
    pub beat_ms: u64,
    /// Time without a message after which a host is considered down. From 20 to 600_000;
    /// 1_200 by default: four heartbeats.
    pub down_ms: u64,
    /// Number of hosts above which the fleet is divided into cells. The hosts of a cell share
    /// targets and exchange their load. From 2 to 100_000; 96 by default. Must be equal on all
    /// hosts of a fleet.
    pub cell_hosts_max: u32,
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            news_ms: 2,
            beat_ms: 300,
            down_ms: 1_200,
            cell_hosts_max: 96,
        }
    }
}

/// Graceful shutdown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Shutdown {
    /// Time that the load balancer needs to detect that the host is leaving. From 0 to 60_000;
    /// 2_500 by default: it checks every second and removes a host after two failed checks.
    pub notice_ms: u64,
    /// Time after which the host exits even if work is unfinished. From 10 to 3_600_000; 7_500
    /// by default.
    pub drain_timeout_ms: u64,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            notice_ms: 2_500,
            drain_timeout_ms: 7_500,
        }
    }
}

/// Logging.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Logs {
    /// Maximum number of log lines per second; excess lines are dropped and counted. From 1 to
    /// 1_000_000; 400 by default.
    pub lines_per_s_max: u32,
}

impl Default for Logs {
    fn default() -> Self {
        Self {
            lines_per_s_max: 400,
        }
    }
}

/// Parses settings from JSON and validates them.
///
/// # Errors
///
/// Returns the first error with the path of the field.
pub fn parse(text: &[u8]) -> Result<Settings, error::Settings> {
    let settings: Settings =
        json::read(text).map_err(|(path, detail)| error::Settings::Shape { path, detail })?;
    check(&settings)?;
    Ok(settings)
}

/// Maximum number of seeds, which are contacted in turn for up to 250 ms each.
const SEEDS_MAX: u64 = 16;

fn check(s: &Settings) -> Result<(), error::Settings> {
    const MINUTE_MS: u64 = 60_000;
    const TEN_MINUTES_MS: u64 = 600_000;
    check_name("host.name", &s.host.name)?;
    check_name("host.data_centre", &s.host.data_centre)?;
    let seeds = s.host.seeds.len();
    check_range(
        "host.seeds",
        u64::try_from(seeds).unwrap_or(u64::MAX),
        0,
        SEEDS_MAX,
    )?;
    check_range("store.timeout_ms", s.store.timeout_ms, 10, MINUTE_MS)?;
    check_range("store.poll_ms", s.store.poll_ms, 10, MINUTE_MS)?;
    check_range("store.parts", s.store.parts, 1, 100_000)?;
    let record_bytes_max = s.store.record_bytes_max;
    check_range("store.record_bytes_max", record_bytes_max, 1_024, 16 << 20)?;
    let call_bytes_max = s.store.call_bytes_max;
    check_range("store.call_bytes_max", call_bytes_max, 1_024, 128 << 20)?;
    check_range("targets.drain_ms", s.targets.drain_ms, 500, TEN_MINUTES_MS)?;
    check_range(
        "targets.settle_ms",
        s.targets.settle_ms,
        500,
        TEN_MINUTES_MS,
    )?;
    if let Some(confirm_within_ms) = s.access.confirm_within_ms {
        let field = "access.confirm_within_ms";
        check_range(field, confirm_within_ms, 500, TEN_MINUTES_MS)?;
    }
    let limits = &s.access.limits;
    check_range("access.limits.window_s", limits.window_s, 1, 3_600)?;
    check_range("access.limits.slack", limits.slack, 0, 1_000_000)?;
    let excess_percent = (limits.excess * 100.0).round();
    if !(0.0..=100.0).contains(&excess_percent) {
        return Err(error::Settings::Shape {
            path: "access.limits.excess".into(),
            detail: format!("{} is not between 0 and 1", limits.excess),
        });
    }
    let connect_timeout_ms = s.online.connect_timeout_ms;
    check_range(
        "online.connect_timeout_ms",
        connect_timeout_ms,
        1,
        MINUTE_MS,
    )?;
    check_range(
        "online.unconfirmed_ms",
        s.online.unconfirmed_ms,
        10,
        MINUTE_MS,
    )?;
    check_range("online.idle_ms", s.online.idle_ms, 1, TEN_MINUTES_MS)?;
    check_range("online.stall_ms", s.online.stall_ms, 10, TEN_MINUTES_MS)?;
    let answer_bytes_max = s.online.answer_bytes_max;
    check_range(
        "online.answer_bytes_max",
        answer_bytes_max,
        1 << 20,
        1 << 40,
    )?;
    check_range("online.start_wait_ms", s.online.start_wait_ms, 0, MINUTE_MS)?;
    check_range("batch.reserve", s.batch.reserve, 0, 64)?;
    check_range("batch.start_gap_ms", s.batch.start_gap_ms, 1, 1_000)?;
    check_range("batch.stall_ms", s.batch.stall_ms, 10, TEN_MINUTES_MS)?;
    check_range("batch.save_events", s.batch.save_events, 1, 1_000_000)?;
    check_range("batch.save_ms", s.batch.save_ms, 10, MINUTE_MS)?;
    check_range("batch.running_max", s.batch.running_max, 1, 100_000)?;
    let text_bytes_max = s.batch.text_bytes_max;
    check_range("batch.text_bytes_max", text_bytes_max, 1 << 10, 256 << 20)?;
    check_range("batch.calm_ms", s.batch.calm_ms, 10, TEN_MINUTES_MS)?;
    check_range("batch.readable_ms", s.batch.readable_ms, 1_000, 86_400_000)?;
    check_range("peers.news_ms", s.peers.news_ms, 1, 10_000)?;
    check_range("peers.beat_ms", s.peers.beat_ms, 10, MINUTE_MS)?;
    check_range("peers.down_ms", s.peers.down_ms, 20, TEN_MINUTES_MS)?;
    let cell_hosts_max = s.peers.cell_hosts_max;
    check_range("peers.cell_hosts_max", cell_hosts_max, 2, 100_000)?;
    s.intake.check()?;
    check_range("shutdown.notice_ms", s.shutdown.notice_ms, 0, MINUTE_MS)?;
    let drain_timeout_ms = s.shutdown.drain_timeout_ms;
    check_range("shutdown.drain_timeout_ms", drain_timeout_ms, 10, 3_600_000)?;
    check_range("logs.lines_per_s_max", s.logs.lines_per_s_max, 1, 1_000_000)?;
    check_below(
        ("store.record_bytes_max", record_bytes_max),
        ("store.call_bytes_max", call_bytes_max.saturating_add(1)),
    )?;
    check_below(
        ("online.connect_timeout_ms", connect_timeout_ms),
        ("targets.drain_ms", s.targets.drain_ms),
    )?;
    check_below(
        ("peers.beat_ms", s.peers.beat_ms),
        ("peers.down_ms", s.peers.down_ms),
    )?;
    check_below(
        ("shutdown.notice_ms", s.shutdown.notice_ms),
        ("shutdown.drain_timeout_ms", drain_timeout_ms),
    )
}
