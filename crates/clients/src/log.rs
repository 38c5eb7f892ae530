//! The platform's append-only log service.
//!
//! [`Log::append`] is not idempotent by itself: after a lost answer the record
//! may stand in the stream, so a writer looks for its record's id there.

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
    reader: Client,
    base_url: String,
}

/// The offsets that a stream holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// The oldest offset kept.
    pub first: u64,
    /// The offset that the next append gets.
    pub next: u64,
}

/// The answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The offset of the record.
    pub offset: u64,
}

/// A run of records as the service sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The oldest offset kept.
    pub first: u64,
    /// The offset that the next append gets.
    pub next: u64,
    /// The records, by offset.
    pub records: Vec<StoredRecord>,
}

/// A record as the service sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// The offset.
    pub offset: u64,
    /// The content in Base64.
    pub data: String,
}

impl StoredRecord {
    /// Returns a record as the service sends it.
    pub fn new(offset: u64, data: &[u8]) -> Self {
        let data = BASE64_STANDARD.encode(data);
        Self { offset, data }
    }

    /// Returns the content.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Undecodable`] if it is not Base64.
    pub fn bytes(&self) -> Result<Vec<u8>, ReadError> {
        BASE64_STANDARD
            .decode(&self.data)
            .map_err(|_| ReadError::Undecodable)
    }
}

impl Log {
    /// Returns a client whose calls take at most `timeout`, and whose waiting
    /// reads take at most `wait` more.
    pub fn new(base_url: &str, timeout: Duration, wait: Duration) -> Self {
        Self {
            client: Client::new(timeout),
            reader: Client::new(timeout + wait),
            base_url: base_url.trim_end_matches('/').into(),
        }
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns why no offset came; the record may stand in the stream unless
    /// the failure is [`CallError::NotSent`] or a status.
    pub async fn append(&self, stream: &str, record: Vec<u8>) -> CallResult<u64> {
        let url = format!("{}/v1/streams/{stream}/records", self.base_url);
        let done: Appended = self.client.post_bytes(&url, Bytes::from(record)).await?;
        Ok(done.offset)
    }

    /// Returns the offsets that a stream holds.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Unavailable`] if the service does not answer.
    pub async fn bounds(&self, stream: &str) -> Result<Bounds, ReadError> {
        let url = format!("{}/v1/streams/{stream}", self.base_url);
        self.client
            .get_json(&url)
            .await
            .map_err(|_| ReadError::Unavailable)
    }

    /// Reads at most `max` records, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Expired`] if `from` is older than what is kept.
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
        match self.reader.get_json(&url).await {
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
