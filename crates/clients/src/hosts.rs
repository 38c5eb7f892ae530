//! The platform's lagging list of live and leaving hosts.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::http::CallResult;
use crate::http::Client;

/// A host or target as the list names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListEntry {
    /// The name.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// A number that grows with each start.
    pub incarnation: u64,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// What it is.
    #[serde(flatten)]
    pub kind: Kind,
}

/// What a listed host is, and where it answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Kind {
    /// A host of this system.
    #[serde(rename = "entry")]
    Host {
        /// Base URL for callers and operators.
        url: String,
        /// Base URL for other hosts.
        peer_url: String,
        /// Where other hosts send gossip.
        gossip_addr: SocketAddr,
    },
    /// A target that runs a model engine.
    Engine {
        /// Base URL.
        url: String,
        /// Whether it refuses orders with an old fencing number.
        checks_fencing: bool,
    },
    /// A target that runs a plain service.
    Service {
        /// Base URL.
        url: String,
        /// The service's name.
        service: String,
    },
}

/// A client of the host list.
#[derive(Clone, Debug)]
pub struct HostList {
    client: Client,
    url: String,
}

impl HostList {
    /// Returns a client whose calls take at most `timeout`.
    pub fn new(base_url: &str, timeout: Duration) -> Self {
        Self {
            client: Client::new(timeout),
            url: format!("{}/v1/hosts", base_url.trim_end_matches('/')),
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be read.
    pub async fn read(&self) -> CallResult<Vec<ListEntry>> {
        self.client.get_json(&self.url).await
    }
}
