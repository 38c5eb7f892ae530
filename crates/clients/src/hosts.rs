//! The platform's list of hosts and targets, which reflects changes with a delay.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::http::CallResult;
use crate::http::Client;

/// A host or target in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListEntry {
    /// The name.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// A number that increases with each start of the process.
    pub incarnation: u64,
    /// Whether the process is shutting down.
    #[serde(default)]
    pub leaving: bool,
    /// The kind of process and its addresses.
    #[serde(flatten)]
    pub kind: Kind,
}

/// The kind of a listed process, with its addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Kind {
    /// A host of this system.
    #[serde(rename = "entry")]
    Host {
        /// The base URL for callers and operators.
        url: String,
        /// The base URL for other hosts.
        peer_url: String,
        /// The address to which other hosts send gossip.
        gossip_addr: SocketAddr,
    },
    /// A target that runs a model engine.
    Engine {
        /// The base URL.
        url: String,
        /// Whether the target rejects orders with a stale fencing token.
        checks_fencing: bool,
    },
    /// A target that runs a service without a model.
    Service {
        /// The base URL.
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
    /// Returns a client that limits each call to `timeout`.
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
    /// Returns an error if the list cannot be read.
    pub async fn read(&self) -> CallResult<Vec<ListEntry>> {
        self.client.get_json(&self.url).await
    }
}
