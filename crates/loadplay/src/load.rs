//! Load files and their validation.
//!
//! ```
//! use notchwharf_loadplay::load;
//!
//! let err = load::parse(br#"{"seconds": 0}"#).unwrap_err();
//! assert_eq!(err.to_string(), "seconds: must be above 0 and 3600 at most");
//! ```

use std::path::Path;

use serde::Deserialize;

use crate::error;

/// A load and the fleet that serves it. The defaults describe ten hosts and nine
/// targets with eight slots each.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Time in which requests and jobs arrive, in seconds. The simulation continues until
    /// the last job is due.
    pub seconds: f64,
    /// Number of hosts, distributed evenly over the data centres.
    pub hosts: u32,
    /// Number of data centres.
    pub data_centres: u32,
    /// Number of targets, distributed evenly over the data centres.
    pub targets: u32,
    /// Concurrency slots of each target.
    pub slots: u32,
    /// Time between two events of a running request, in milliseconds.
    pub event_ms: f64,
    /// Tokens per event.
    pub event_tokens: f64,
    /// Prompt tokens that a target processes per millisecond. Requests that run
    /// there generate no events meanwhile.
    pub prompt_tokens_per_ms: f64,
    /// Interval between status updates to hosts in the same data centre.
    #[serde(rename = "news_near_ms")]
    pub local_update_interval_ms: u64,
    /// Interval between status updates to hosts in other data centres.
    #[serde(rename = "news_far_ms")]
    pub remote_update_interval_ms: u64,
    /// The online requests.
    pub online: Online,
    /// The batch jobs.
    pub jobs: Jobs,
    /// Hosts that freeze.
    pub frozen: Vec<Frozen>,
    /// Targets that leave.
    pub leaving: Vec<Leaving>,
}

/// The arrival and size of online requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Online {
    /// Mean arrival rate, in requests per second.
    pub per_s: f64,
    /// Changes of the arrival rate: the second at which each starts, and its factor
    /// on the mean rate.
    pub steps: Vec<(f64, f64)>,
    /// Period after which the steps repeat, in seconds; 0 for no repetition.
    #[serde(rename = "steps_again_s")]
    pub steps_period_s: f64,
    /// Mean number of events per response.
    pub events: f64,
    /// Tokens per prompt.
    pub prompt_tokens: f64,
    /// Latency objective for the first event, in milliseconds.
    pub objective_ms: u64,
}

/// The arrival and size of batch jobs.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Jobs {
    /// Mean arrival rate, in jobs per second.
    pub per_s: f64,
    /// Mean number of items per job.
    pub items: f64,
    /// Mean number of events per item.
    pub events: f64,
    /// Standard deviation of the logarithm of the events per item.
    pub events_spread: f64,
    /// Standard deviation of the logarithm of a caller's estimate of an item's
    /// output tokens, relative to the actual number.
    pub hint_spread: f64,
    /// Tokens per prompt.
    pub prompt_tokens: f64,
    /// Time from a job's arrival to its due time, in milliseconds.
    pub objective_ms: u64,
    /// Jobs that arrive at the same time.
    pub bursts: Vec<Burst>,
}

/// Jobs that arrive at one host at the same time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Time of arrival, in seconds.
    pub at_s: f64,
    /// Number of jobs.
    pub jobs: u32,
    /// Index of the host.
    pub host: u32,
}

/// A host that freezes: it sends, receives and starts nothing for a time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Frozen {
    /// Start, in seconds.
    pub at_s: f64,
    /// Duration, in seconds.
    pub for_s: f64,
    /// Index of the host.
    pub host: u32,
}

/// A target that leaves: it is assigned nothing new from a time on.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leaving {
    /// Start, in seconds.
    pub at_s: f64,
    /// Index of the target.
    pub target: u32,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            seconds: 40.0,
            hosts: 10,
            data_centres: 4,
            targets: 9,
            slots: 8,
            event_ms: 25.0,
            event_tokens: 6.0,
            prompt_tokens_per_ms: 50.0,
            local_update_interval_ms: 2,
            remote_update_interval_ms: 12,
            online: Online::default(),
            jobs: Jobs::default(),
            frozen: Vec::new(),
            leaving: Vec::new(),
        }
    }
}

impl Default for Online {
    fn default() -> Self {
        Self {
            per_s: 40.0,
            steps: Vec::new(),
            steps_period_s: 0.0,
            events: 28.0,
            prompt_tokens: 450.0,
            objective_ms: 300,
        }
    }
}

impl Default for Jobs {
    fn default() -> Self {
        Self {
            per_s: 0.5,
            items: 10.0,
            events: 193.0,
            events_spread: 0.25,
            hint_spread: 0.5,
            prompt_tokens: 350.0,
            objective_ms: 18_000,
            bursts: Vec::new(),
        }
    }
}

impl Online {
    /// Returns the arrival rate at a time, in requests per second.
    pub fn rate(&self, at_s: f64) -> f64 {
        let at_s = match self.steps_period_s > 0.0 {
            true => at_s % self.steps_period_s,
            false => at_s,
        };
        let step = self.steps.iter().rev().find(|(from_s, _)| *from_s <= at_s);
        self.per_s * step.map_or(1.0, |(_, factor)| *factor)
    }
}

/// Reads a load file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is not a valid load.
pub fn read(path: &Path) -> Result<Load, error::LoadError> {
    let bytes = std::fs::read(path).map_err(|source| error::LoadError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    parse(&bytes)
}

/// Parses and validates a load.
///
/// # Errors
///
/// Returns the first invalid field.
pub fn parse(bytes: &[u8]) -> Result<Load, error::LoadError> {
    let json = &mut serde_json::Deserializer::from_slice(bytes);
    let load: Load =
        serde_path_to_error::deserialize(json).map_err(|err| error::LoadError::Malformed {
            field: err.path().to_string(),
            detail: err.into_inner().to_string(),
        })?;
    check(&load)?;
    Ok(load)
}

fn check(load: &Load) -> Result<(), error::LoadError> {
    let require = |is_valid: bool, field, expected| match is_valid {
        true => Ok(()),
        false => Err(error::LoadError::Value { field, expected }),
    };
    let within = |value: f64, max: f64| value > 0.0 && value <= max;
    require(
        within(load.seconds, 3_600.0),
        "seconds",
        "above 0 and 3600 at most",
    )?;
    require((1..=1_000).contains(&load.hosts), "hosts", "from 1 to 1000")?;
    require(
        (1..=100).contains(&load.data_centres),
        "data_centres",
        "from 1 to 100",
    )?;
    require(
        (1..=1_000).contains(&load.targets),
        "targets",
        "from 1 to 1000",
    )?;
    require((1..=1_000).contains(&load.slots), "slots", "from 1 to 1000")?;
    require(
        within(load.event_ms, 1e5),
        "event_ms",
        "above 0 and 100000 at most",
    )?;
    require(load.event_tokens >= 0.0, "event_tokens", "0 or more")?;
    require(
        within(load.prompt_tokens_per_ms, 1e9),
        "prompt_tokens_per_ms",
        "above 0",
    )?;
    require(
        load.local_update_interval_ms >= 1,
        "news_near_ms",
        "1 or more",
    )?;
    require(
        load.remote_update_interval_ms >= 1,
        "news_far_ms",
        "1 or more",
    )?;
    require(
        (0.0..=1e5).contains(&load.online.per_s),
        "online.per_s",
        "from 0 to 100000",
    )?;
    require(within(load.online.events, 1e6), "online.events", "above 0")?;
    require(
        (0.0..=1e4).contains(&load.jobs.per_s),
        "jobs.per_s",
        "from 0 to 10000",
    )?;
    require(within(load.jobs.items, 1e6), "jobs.items", "above 0")?;
    require(within(load.jobs.events, 1e6), "jobs.events", "above 0")?;
    let hosts = load.frozen.iter().map(|f| f.host);
    let hosts = hosts.chain(load.jobs.bursts.iter().map(|b| b.host));
    require(
        hosts.max().is_none_or(|host| host < load.hosts),
        "host",
        "one of the hosts",
    )?;
    let targets = load.leaving.iter().map(|l| l.target);
    require(
        targets.max().is_none_or(|t| t < load.targets),
        "target",
        "one of the targets",
    )
}
