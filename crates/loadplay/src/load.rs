//! Loads, as files describe them.
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

/// A load. What a file leaves out is as on a fleet of ten small hosts before
/// nine targets of eight places.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Time in which callers come; jobs are played until the last is due.
    pub seconds: f64,
    /// Hosts, spread evenly over the data centres.
    pub hosts: u32,
    /// Data centres.
    pub data_centres: u32,
    /// Targets, spread likewise.
    pub targets: u32,
    /// Requests that each of them runs at once.
    pub slots: u32,
    /// Time from one event to the next, in milliseconds.
    pub event_ms: f64,
    /// Tokens of an event.
    pub event_tokens: f64,
    /// Tokens of prompts that a target reads in a millisecond; what runs there
    /// stands still meanwhile.
    pub prompt_tokens_per_ms: f64,
    /// Time between two tellings of hosts near by and far away.
    pub news_near_ms: u64,
    /// The same of hosts in other data centres.
    pub news_far_ms: u64,
    /// Online requests.
    pub online: Online,
    /// Jobs.
    pub jobs: Jobs,
    /// Hosts that do nothing for a time.
    pub frozen: Vec<Frozen>,
    /// Targets that get nothing new from a time on.
    pub leaving: Vec<Leaving>,
}

/// Online requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Online {
    /// Requests a second, in the mean.
    pub per_s: f64,
    /// Steps of the load: the second of each and its factor on the mean.
    pub steps: Vec<(f64, f64)>,
    /// Seconds after which the steps begin anew.
    pub steps_again_s: f64,
    /// Events of an answer, in the mean.
    pub events: f64,
    /// Tokens of a prompt.
    pub prompt_tokens: f64,
    /// Time to the first event that callers hope for.
    pub objective_ms: u64,
}

/// Jobs.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Jobs {
    /// Jobs a second.
    pub per_s: f64,
    /// Items of a job, in the mean.
    pub items: f64,
    /// Events of an item, in the mean.
    pub events: f64,
    /// Spread of their logarithm.
    pub events_spread: f64,
    /// Spread of the logarithm of callers' estimates around the truth.
    pub hint_spread: f64,
    /// Tokens of a prompt.
    pub prompt_tokens: f64,
    /// Time in which all results are due.
    pub objective_ms: u64,
    /// Jobs that come at once.
    pub bursts: Vec<Burst>,
}

/// Jobs that come at once, at one host.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When.
    pub at_s: f64,
    /// How many.
    pub jobs: u32,
    /// At which host.
    pub host: u32,
}

/// A host that does nothing for a time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Frozen {
    /// When.
    pub at_s: f64,
    /// For how long.
    pub for_s: f64,
    /// Which.
    pub host: u32,
}

/// A target that gets nothing new from a time on.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leaving {
    /// When.
    pub at_s: f64,
    /// Which.
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
            news_near_ms: 2,
            news_far_ms: 12,
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
            steps_again_s: 0.0,
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
    /// Returns the requests a second at a time.
    pub fn rate(&self, at_s: f64) -> f64 {
        let at_s = match self.steps_again_s > 0.0 {
            true => at_s % self.steps_again_s,
            false => at_s,
        };
        let step = self.steps.iter().rev().find(|(from_s, _)| *from_s <= at_s);
        self.per_s * step.map_or(1.0, |(_, factor)| *factor)
    }
}

/// Reads a load's file.
///
/// # Errors
///
/// Returns why it makes no load.
pub fn read(path: &Path) -> Result<Load, error::Load> {
    let bytes = std::fs::read(path).map_err(|source| error::Load::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    parse(&bytes)
}

/// Reads a load and checks it.
///
/// # Errors
///
/// Returns the first field at fault.
pub fn parse(bytes: &[u8]) -> Result<Load, error::Load> {
    let json = &mut serde_json::Deserializer::from_slice(bytes);
    let load: Load = serde_path_to_error::deserialize(json).map_err(|err| error::Load::Shape {
        field: err.path().to_string(),
        detail: err.into_inner().to_string(),
    })?;
    check(&load)?;
    Ok(load)
}

fn check(load: &Load) -> Result<(), error::Load> {
    let must = |is_so: bool, field, must| match is_so {
        true => Ok(()),
        false => Err(error::Load::Value { field, must }),
    };
    let within = |value: f64, most: f64| value > 0.0 && value <= most;
    must(
        within(load.seconds, 3_600.0),
        "seconds",
        "above 0 and 3600 at most",
    )?;
    must((1..=1_000).contains(&load.hosts), "hosts", "from 1 to 1000")?;
    must(
        (1..=100).contains(&load.data_centres),
        "data_centres",
        "from 1 to 100",
    )?;
    must(
        (1..=1_000).contains(&load.targets),
        "targets",
        "from 1 to 1000",
    )?;
    must((1..=1_000).contains(&load.slots), "slots", "from 1 to 1000")?;
    must(
        within(load.event_ms, 1e5),
        "event_ms",
        "above 0 and 100000 at most",
    )?;
    must(load.event_tokens >= 0.0, "event_tokens", "0 or more")?;
    must(
        within(load.prompt_tokens_per_ms, 1e9),
        "prompt_tokens_per_ms",
        "above 0",
    )?;
    must(load.news_near_ms >= 1, "news_near_ms", "1 or more")?;
    must(load.news_far_ms >= 1, "news_far_ms", "1 or more")?;
    must(
        (0.0..=1e5).contains(&load.online.per_s),
        "online.per_s",
        "from 0 to 100000",
    )?;
    must(within(load.online.events, 1e6), "online.events", "above 0")?;
    must(
        (0.0..=1e4).contains(&load.jobs.per_s),
        "jobs.per_s",
        "from 0 to 10000",
    )?;
    must(within(load.jobs.items, 1e6), "jobs.items", "above 0")?;
    must(within(load.jobs.events, 1e6), "jobs.events", "above 0")?;
    let hosts = load.frozen.iter().map(|f| f.host);
    let hosts = hosts.chain(load.jobs.bursts.iter().map(|b| b.host));
    must(
        hosts.max().is_none_or(|host| host < load.hosts),
        "host",
        "one of the hosts",
    )?;
    let targets = load.leaving.iter().map(|l| l.target);
    must(
        targets.max().is_none_or(|t| t < load.targets),
        "target",
        "one of the targets",
    )
}
