//! Settings of a host that serves through an adapter, in JSON.
//!
//! They differ from [`crate::settings`] where the users' platform keeps what
//! that file describes: routes and targets come from the platform's store.
//!
//! ```
//! use notchwharf_config::gateway;
//!
//! let text = br#"{"host": {"name": "a1", "data_centre": "cluj-1"}, "batch": {"reserve": 99}}"#;
//! let err = gateway::parse(text).unwrap_err();
//! assert_eq!(err.to_string(), "batch.reserve: 99 is not between 0 and 64");
//! ```
//!
//! Fields carry their unit as a suffix. All but the host's name and data
//! centre have defaults.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::DataCentreId;
use crate::check::below;
use crate::check::name;
use crate::check::range;
use crate::error;
use crate::json;

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who this host is and where it listens.
    pub host: Host,
    /// The platform's store.
    #[serde(default)]
    pub store: Store,
    /// Which targets are used.
    #[serde(default)]
    pub targets: Targets,
    /// Who may call.
    #[serde(default)]
    pub access: Access,
    /// Online requests.
    #[serde(default)]
    pub online: Online,
    /// Jobs and their items.
    #[serde(default)]
    pub batch: Batch,
    /// What hosts tell one another.
    #[serde(default)]
    pub peers: Peers,
    /// Leaving.
    #[serde(default)]
    pub shutdown: Shutdown,
    /// Logs.
    #[serde(default)]
    pub logs: Logs,
}

/// Who this host is and where it listens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// The name of the host, unique in the fleet.
    pub name: String,
    /// The data centre that the host stands in.
    pub data_centre: DataCentreId,
    /// Where callers connect.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// Where the balancer asks whether the host takes requests.
    #[serde(default = "any_port")]
    pub ready_listen: SocketAddr,
    /// Where other hosts connect and send datagrams; the same port on all.
    #[serde(default = "any_port")]
    pub peer_listen: SocketAddr,
    /// Where metrics are read; none if absent.
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
    /// Where the store answers.
    pub addr: SocketAddr,
    /// Time after which a call without an answer counts as lost. From 10 to
    /// 60_000; 700 by default: some forty times a usual answer, and short
    /// enough for a second try within a caller's objective for a job.
    pub timeout_ms: u64,
    /// Time between two readings of the job records while any are expected.
    /// From 10 to 60_000; 350 by default: results may be read by callers at
    /// any host within a second.
    pub poll_ms: u64,
    /// Partitions of each topic. From 1 to 100_000; 24 by default. The platform
    /// names it, and all hosts of a fleet must have the same.
    pub parts: u32,
    /// Bytes of one record at most. From 1_024 to 16_777_216; 262_144 by default.
    pub record_bytes_max: u64,
    /// Bytes of the records of one call at most. From 1_024 to 134_217_728;
    /// 2_097_152 by default.
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

/// Which targets are used. The platform names these times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Targets {
    /// Time after the store's acknowledgement that a target leaves or is gone
    /// within which requests may still reach it. From 500 to 600_000; 2_000 by
    /// default.
    pub drain_ms: u64,
    /// Time after a fault of the store or of the way there within which
    /// requests may reach a target that is gone. From 500 to 600_000; 3_000 by
    /// default.
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

/// Who may call.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Access {
    /// Time within which the configuration must have been known to be the newest for
    /// a key to be served. From 500 to 600_000; by default a host serves by what it
    /// knows, however old. Where it is set, a host that cannot reach the store for so
    /// long refuses all requests that need a key.
    pub confirm_within_ms: Option<u64>,
    /// By how much limits of workspaces may be exceeded.
    pub limits: Limits,
}

/// By how much limits of workspaces may be exceeded: in no span of `window_s` more
/// requests than (rate x window + burst) x (1 + excess) + slack. The platform names
/// all three; all hosts of a fleet must have the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The span in seconds. From 1 to 3_600; 5 by default.
    pub window_s: u64,
    /// The part of a limit. From 0 to 1; none by default.
    pub excess: f64,
    /// Requests beyond that. From 0 to 1_000_000; none by default.
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
    /// Time after which an attempt to connect to a target has failed. From 1
    /// to 60_000; 250 by default: less than the usual objective, many times
    /// the way between data centres.
    pub connect_timeout_ms: u64,
    /// Time after which a connection is given up whose bytes a target's side
    /// does not confirm, however long the answer may take. From 10 to 60_000;
    /// 500 by default: above two losses of a packet in a row, below the pause
    /// after which a stream is taken elsewhere.
    pub unconfirmed_ms: u64,
    /// Time for which an idle connection to a target is used again. From 1 to
    /// 600_000; 4_000 by default; a target that names less is believed.
    pub idle_ms: u64,
    /// Pause between two events after which a stream that may be resumed is
    /// taken to another target. From 10 to 600_000; 700 by default: four
    /// times the pause that callers accept.
    pub stall_ms: u64,
    /// Longest wait of a request for what a host that has just started lacks: routes,
    /// targets, parts of a limit. From 0 to 60_000; 150 by default: half of the usual
    /// objective, so that the other half is left for the first event.
    pub start_wait_ms: u64,
    /// Where requests wait while all places are taken: at their hosts, in an order over
    /// all hosts of a data centre, or in the queues of targets. By default at hosts if the
    /// configuration tells workspaces apart, which then share the places.
    pub wait_at_hosts: WaitAtHosts,
}

/// When requests wait at hosts while all places are taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitAtHosts {
    /// Never: they wait in the queues of targets.
    Never,
    /// If the configuration tells workspaces apart.
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
            start_wait_ms: 150,
            wait_at_hosts: WaitAtHosts::default(),
        }
    }
}

/// Jobs and their items.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Batch {
    /// Places of each target that items leave free for online requests. From
    /// 0 to 64; 1 by default.
    pub reserve: u32,
    /// Time between two starts of items at one host. From 1 to 1_000; 4 by
    /// default: longer than news between hosts take, so that hosts seldom
    /// fill the same place.
    pub start_gap_ms: u64,
    /// Time after which an item's silent run is given up. From 10 to 600_000;
    /// 1_500 by default.
    pub stall_ms: u64,
    /// Events after which how far an item has got is saved. From 1 to
    /// 1_000_000; 48 by default: about a second's work, a few saves an item.
    pub save_events: u64,
    /// Time between two savings of a host, each one call for all its items.
    /// From 10 to 60_000; 1_000 by default.
    pub save_ms: u64,
    /// Items that one host runs at once. From 1 to 100_000; 128 by default.
    pub running_max: u32,
    /// Time for which an ended job stays readable. From 1_000 to 86_400_000;
    /// 120_000 by default.
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
            readable_ms: 120_000,
        }
    }
}

/// What hosts tell one another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Peers {
    /// Least time between two datagrams to each peer. From 1 to 10_000; 2 by
    /// default.
    pub news_ms: u64,
    /// Time after which a host speaks without news. From 10 to 60_000; 300 by
    /// default.
    pub beat_ms: u64,
    /// Time after which a silent host counts as down. From 20 to 600_000;
    /// 1_200 by default, four beats.
    pub down_ms: u64,
    /// Hosts from which on the fleet is divided into cells, whose hosts share
    /// targets and tell one another what they run. From 2 to 100_000; 96 by
    /// default. All hosts of a fleet must have the same.
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

/// Leaving.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Shutdown {
    /// Time that the balancer needs to notice that the host leaves. From 0 to
    /// 60_000; 2_500 by default: it asks each second and believes two misses.
    pub notice_ms: u64,
    /// Time after which the host ends with work unfinished. From 10 to
    /// 3_600_000; 7_500 by default.
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

/// Logs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Logs {
    /// Lines a second at most; more are dropped and counted. From 1 to
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

/// Reads settings and checks them.
///
/// # Errors
///
/// Returns the first field at fault.
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
    name("host.name", &s.host.name)?;
    name("host.data_centre", &s.host.data_centre)?;
    let seeds = s.host.seeds.len();
    range(
        "host.seeds",
        u64::try_from(seeds).unwrap_or(u64::MAX),
        0,
        SEEDS_MAX,
    )?;
    range("store.timeout_ms", s.store.timeout_ms, 10, MINUTE_MS)?;
    range("store.poll_ms", s.store.poll_ms, 10, MINUTE_MS)?;
    range("store.parts", s.store.parts, 1, 100_000)?;
    let record_bytes_max = s.store.record_bytes_max;
    range("store.record_bytes_max", record_bytes_max, 1_024, 16 << 20)?;
    let call_bytes_max = s.store.call_bytes_max;
    range("store.call_bytes_max", call_bytes_max, 1_024, 128 << 20)?;
    range("targets.drain_ms", s.targets.drain_ms, 500, TEN_MINUTES_MS)?;
    range(
        "targets.settle_ms",
        s.targets.settle_ms,
        500,
        TEN_MINUTES_MS,
    )?;
    if let Some(confirm_within_ms) = s.access.confirm_within_ms {
        let field = "access.confirm_within_ms";
        range(field, confirm_within_ms, 500, TEN_MINUTES_MS)?;
    }
    let limits = &s.access.limits;
    range("access.limits.window_s", limits.window_s, 1, 3_600)?;
    range("access.limits.slack", limits.slack, 0, 1_000_000)?;
    let excess_percent = (limits.excess * 100.0).round();
    if !(0.0..=100.0).contains(&excess_percent) {
        return Err(error::Settings::Shape {
            path: "access.limits.excess".into(),
            detail: format!("{} is not between 0 and 1", limits.excess),
        });
    }
    let connect_timeout_ms = s.online.connect_timeout_ms;
    range(
        "online.connect_timeout_ms",
        connect_timeout_ms,
        1,
        MINUTE_MS,
    )?;
    range(
        "online.unconfirmed_ms",
        s.online.unconfirmed_ms,
        10,
        MINUTE_MS,
    )?;
    range("online.idle_ms", s.online.idle_ms, 1, TEN_MINUTES_MS)?;
    range("online.stall_ms", s.online.stall_ms, 10, TEN_MINUTES_MS)?;
    range("online.start_wait_ms", s.online.start_wait_ms, 0, MINUTE_MS)?;
    range("batch.reserve", s.batch.reserve, 0, 64)?;
    range("batch.start_gap_ms", s.batch.start_gap_ms, 1, 1_000)?;
    range("batch.stall_ms", s.batch.stall_ms, 10, TEN_MINUTES_MS)?;
    range("batch.save_events", s.batch.save_events, 1, 1_000_000)?;
    range("batch.save_ms", s.batch.save_ms, 10, MINUTE_MS)?;
    range("batch.running_max", s.batch.running_max, 1, 100_000)?;
    range("batch.readable_ms", s.batch.readable_ms, 1_000, 86_400_000)?;
    range("peers.news_ms", s.peers.news_ms, 1, 10_000)?;
    range("peers.beat_ms", s.peers.beat_ms, 10, MINUTE_MS)?;
    range("peers.down_ms", s.peers.down_ms, 20, TEN_MINUTES_MS)?;
    let cell_hosts_max = s.peers.cell_hosts_max;
    range("peers.cell_hosts_max", cell_hosts_max, 2, 100_000)?;
    range("shutdown.notice_ms", s.shutdown.notice_ms, 0, MINUTE_MS)?;
    let drain_timeout_ms = s.shutdown.drain_timeout_ms;
    range("shutdown.drain_timeout_ms", drain_timeout_ms, 10, 3_600_000)?;
    range("logs.lines_per_s_max", s.logs.lines_per_s_max, 1, 1_000_000)?;
    below(
        ("store.record_bytes_max", record_bytes_max),
        ("store.call_bytes_max", call_bytes_max.saturating_add(1)),
    )?;
    below(
        ("online.connect_timeout_ms", connect_timeout_ms),
        ("targets.drain_ms", s.targets.drain_ms),
    )?;
    below(
        ("peers.beat_ms", s.peers.beat_ms),
        ("peers.down_ms", s.peers.down_ms),
    )?;
    below(
        ("shutdown.notice_ms", s.shutdown.notice_ms),
        ("shutdown.drain_timeout_ms", drain_timeout_ms),
    )
}
