//! The platform's append-only log service.
//!
//! [`Log::append`] is not idempotent: if the response is lost, the record may nevertheless
//! have been appended. Before retrying, a writer searches the stream for its record's id.

use std::time::Duration;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use error_stack::Report;
use serde::Deserialize;
use serde::Serialize;

use crate::error::CallError;
use crate::error::ReadError;
use crate::http::CallResult;
use crate::http::Client;

const STATUS_GONE: u16 = 410;

/// A client of the log service.
#[derive(Clone, Debug)]
pub struct Log {
    client: Client,
    polling_client: Client,
    base_url: String,
}

/// The range of offsets that a stream retains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// The oldest retained offset.
    pub first: u64,
    /// The offset that the next append will receive.
    pub next: u64,
}

/// The response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The offset of the record.
    pub offset: u64,
}

/// Consecutive records of a stream, as sent by the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The oldest retained offset.
    pub first: u64,
    /// The offset that the next append will receive.
    pub next: u64,
    /// The records, ordered by offset.
    pub records: Vec<StoredRecord>,
}

/// A record with its offset, as sent by the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// The offset.
    pub offset: u64,
    /// The Base64-encoded content.
    pub data: String,
}

impl StoredRecord {
    /// Encodes a record as the service sends it.
    pub fn new(offset: u64, data: &[u8]) -> Self {
        let data = BASE64_STANDARD.encode(data);
        Self { offset, data }
    }

    /// Returns the decoded content.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Undecodable`] if the content is not valid Base64.
    pub fn bytes(&self) -> Result<Vec<u8>, ReadError> {
        BASE64_STANDARD
            .decode(&self.data)
            .map_err(|_| ReadError::Undecodable)
    }
}

impl Log {
    /// Returns a client that limits each call to `timeout`, and each read, which may wait for
    /// a record, to `timeout + wait`.
    pub fn new(base_url: &str, timeout: Duration, wait: Duration) -> Self {
        Self {
            client: Client::new(timeout),
            polling_client: Client::new(timeout + wait),
            base_url: base_url.trim_end_matches('/').into(),
        }
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns an error if no offset is received. The record may have been appended
    /// unless the error is [`CallError::NotSent`] or [`CallError::Status`].
    pub async fn append(&self, stream: &str, record: Vec<u8>) -> CallResult<u64> {
        let url = format!("{}/v1/streams/{stream}/records", self.base_url);
        let appended: Appended = self.client.post_bytes(&url, Bytes::from(record)).await?;
        Ok(appended.offset)
    }

    /// Returns the range of offsets that a stream retains.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Unavailable`] if the call fails.
    pub async fn bounds(&self, stream: &str) -> Result<Bounds, ReadError> {
        let url = format!("{}/v1/streams/{stream}", self.base_url);
        self.client
            .get_json(&url)
            .await
            .map_err(|_| ReadError::Unavailable)
    }

    /// Reads at most `max` records from offset `from` on, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Expired`] if `from` is older than the oldest retained
    /// offset, and [`ReadError::Unavailable`] if the call fails.
    pub async fn read(
        &self,
        stream: &str,
        from: u64,
        max: u32,
        wait: Duration,
    ) -> Result<Page, ReadError> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "{}/v1/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}",
            self.base_url
        );
        match self.polling_client.get_json(&url).await {
            Ok(page) => Ok(page),
            Err(report) if is_gone(&report) => {
                let first = self.bounds(stream).await?.first;
                Err(ReadError::Expired { first })
            }
            Err(_) => Err(ReadError::Unavailable),
        }
    }
}

fn is_gone(report: &Report<CallError>) -> bool {
    *report.current_context() == CallError::Status(STATUS_GONE)
}
