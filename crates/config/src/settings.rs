//! Settings of one process, in JSON, validated at start.
//!
//! [`parse`] reads the contents of a settings file. In the settings that it returns, every
//! field is within its bounds and no two fields contradict each other.
//!
//! ```
//! use notchwharf_config::settings;
//!
//! let text = br#"{"host": {"name": "a1", "data_centre": "cluj-1"},
//!                 "lease": {"duration_ms": 1000, "renew_ms": 2000}}"#;
//! let err = settings::parse(text).unwrap_err();
//! assert_eq!(err.to_string(), "lease.renew_ms: 2000 must be below lease.duration_ms, which is 1000");
//! ```
//!
//! Field names have their unit as a suffix. All fields except the host's name and data centre
//! have defaults, which are intended for a fleet of about twelve hosts.

mod check;

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::DataCentreId;
use crate::error;
use crate::intake::Intake;
use crate::json;

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name, data centre and addresses of this host.
    pub host: Host,
    /// The platform's services.
    #[serde(default)]
    pub platform: Platform,
    /// Leases on shards and targets.
    #[serde(default)]
    pub lease: Lease,
    /// Records of jobs, items and idempotency keys.
    #[serde(default)]
    pub ledger: Ledger,
    /// Online requests.
    #[serde(default)]
    pub online: Online,
    /// Batch items.
    #[serde(default)]
    pub batch: Batch,
    /// Limits on requests of callers.
    #[serde(default)]
    pub limits: Limits,
    /// What callers may occupy.
    #[serde(default)]
    pub intake: Intake,
    /// Gossip between hosts.
    #[serde(default)]
    pub membership: Membership,
    /// Graceful shutdown.
    #[serde(default)]
    pub shutdown: Shutdown,
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
    /// The address on which operators connect; must not be reachable by callers.
    #[serde(default = "any_port")]
    pub admin_listen: SocketAddr,
    /// The address on which other hosts connect.
    #[serde(default = "any_port")]
    pub peer_listen: SocketAddr,
    /// The UDP address to which other hosts send gossip.
    #[serde(default = "any_port")]
    pub gossip_listen: SocketAddr,
    /// The header that names the workspace, if the platform's load balancer sets one. If
    /// absent, callers are identified only by their API keys.
    #[serde(default)]
    pub tenant_header: Option<String>,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Addresses of the platform's services and limits of calls to them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// Base URL of the append-only log service.
    pub log_url: String,
    /// Base URL of the list of live and leaving hosts.
    pub host_list_url: String,
    /// Time between two polls of the host list. From 10 to 60_000; 500 by default.
    pub poll_ms: u64,
    /// Timeout of a call to the platform. From 10 to 60_000; 2_000 by default.
    pub timeout_ms: u64,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            log_url: "http://127.0.0.1:7700".into(),
            host_list_url: "http://127.0.0.1:7700".into(),
            poll_ms: 500,
            timeout_ms: 2_000,
        }
    }
}

/// Leases on shards and targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Lease {
    /// Time without a renewal by the holder after which others may claim the lease. From 200 to 600_000; 6_000 by default.
    pub duration_ms: u64,
    /// Time between two renewals. From 50 to 300_000; 1_500 by default.
    pub renew_ms: u64,
    /// Maximum time until an order takes effect at a target. From 10 to 60_000; 1_000 by default.
    pub landing_ms: u64,
}

impl Default for Lease {
    fn default() -> Self {
        Self {
            duration_ms: 6_000,
            renew_ms: 1_500,
            landing_ms: 1_000,
        }
    }
}

/// Records of jobs, items and idempotency keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Ledger {
    /// Number of shards; must be equal on all hosts and must never change. From 1 to 4_096; 16 by default.
    pub shards: u32,
    /// Minimum time between two appends of one shard. From 1 to 10_000; 20 by default.
    pub commit_ms: u64,
    /// Appends per second that the whole fleet may use. From 1 to 100_000; 300 by default.
    pub append_budget_per_s: u32,
    /// Attempts after which an item fails permanently. From 1 to 100; 3 by default.
    pub attempts_max: u32,
    /// Time for which the log retains a record. From 1_000 to 31_536_000_000; 86_400_000 by default.
    pub retention_ms: u64,
    /// Time before expiry at which live records are appended again. From 100 to 31_536_000_000; 21_600_000 by default.
    pub carry_margin_ms: u64,
    /// Time for which results of finished jobs remain readable. From 1_000 to 31_536_000_000; 259_200_000 by default.
    pub readable_ms: u64,
    /// Records after which a shard writes a snapshot. From 16 to 1_000_000; 4_096 by default.
    pub snapshot_records: u32,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            shards: 16,
            commit_ms: 20,
            append_budget_per_s: 300,
            attempts_max: 3,
            retention_ms: 86_400_000,
            carry_margin_ms: 21_600_000,
            readable_ms: 259_200_000,
            snapshot_records: 4_096,
        }
    }
}

/// Online requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Online {
    /// Objective for the time to the first token at the 95th percentile. From 1 to 600_000; 750 by default.
    pub first_token_objective_ms: u64,
    /// Objective for the time between tokens at the 95th percentile. From 1 to 60_000; 26 by default.
    pub inter_token_objective_ms: u64,
    /// Deadline of a request if the caller sets none. From 10 to 3_600_000; 60_000 by default.
    pub request_timeout_ms: u64,
    /// Time without data after which a target's stream is considered broken. From 10 to 600_000; 5_000 by default.
    pub idle_timeout_ms: u64,
    /// Retries allowed as a percentage of recent successes. From 0 to 100; 20 by default.
    pub retry_share_percent: u32,
    /// Maximum number of concurrent requests of one host. From 1 to 1_000_000; 4_096 by default.
    pub in_flight_max: u32,
}

impl Default for Online {
    fn default() -> Self {
        Self {
            first_token_objective_ms: 750,
            inter_token_objective_ms: 26,
            request_timeout_ms: 60_000,
            idle_timeout_ms: 5_000,
            retry_share_percent: 20,
            in_flight_max: 4_096,
        }
    }
}

/// Batch items.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Batch {
    /// Maximum number of concurrent streams of all classes per target. From 1 to 4_096; 32 by default.
    pub slots_max: u32,
    /// Slots of a target that are always kept free for bursts of online requests. From 0 to 4_096; 1 by default.
    pub reserve_min: u32,
    /// Time between two requests for items for an idle target. From 1 to 60_000; 100 by default.
    pub pull_ms: u64,
    /// Timeout of an attempt at an item. From 10 to 86_400_000; 600_000 by default.
    pub item_timeout_ms: u64,
}

impl Default for Batch {
    fn default() -> Self {
        Self {
            slots_max: 32,
            reserve_min: 1,
            pull_ms: 100,
            item_timeout_ms: 600_000,
        }
    }
}

/// Limits on requests of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request body. From 1_024 to 1_073_741_824; 1_048_576 by default.
    pub body_bytes_max: u64,
    /// Maximum size of a request header section. From 8_192 to 1_048_576; 16_384 by default.
    pub header_bytes_max: u64,
    /// Time within which a caller must send the header section. From 10 to 600_000; 10_000 by default.
    pub header_timeout_ms: u64,
    /// Maximum time without data while a caller sends a body. From 10 to 600_000; 30_000 by default.
    pub body_timeout_ms: u64,
    /// Maximum size of the input file of a job. From 1_024 to 1_099_511_627_776; 1_073_741_824 by default.
    pub lot_bytes_max: u64,
    /// Maximum number of items of a job. From 1 to 10_000_000; 230_000 by default.
    pub lot_items_max: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes_max: 1_048_576,
            header_bytes_max: 16_384,
            header_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            lot_bytes_max: 1_073_741_824,
            lot_items_max: 230_000,
        }
    }
}

/// Gossip between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Membership {
    /// Time between two probes. From 10 to 60_000; 1_000 by default.
    pub probe_ms: u64,
    /// Time for which an unresponsive host remains suspected before it is considered down. From 10 to 600_000; 3_000 by default.
    pub suspect_ms: u64,
}

impl Default for Membership {
    fn default() -> Self {
        Self {
            probe_ms: 1_000,
            suspect_ms: 3_000,
        }
    }
}

/// Graceful shutdown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Shutdown {
    /// Time within which requests in flight must finish after SIGTERM. From 10 to 3_600_000; 65_000 by default.
    pub drain_timeout_ms: u64,
    /// Time between reporting not ready and refusing new connections. From 0 to 60_000; 2_000 by default.
    pub notice_ms: u64,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            drain_timeout_ms: 65_000,
            notice_ms: 2_000,
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
    check::check(&settings)?;
    Ok(settings)
}

/// Converts a number of milliseconds to a duration.
pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}
