//! Validates the lines of an input file and writes them as blobs while receiving.
//!
//! Blobs that no file refers to have no effect. Lines can thus be written as they arrive,
//! and a file of 230,000 items is never in memory as a whole. Only a hash of each
//! `custom_id` is retained, to detect duplicates.

use std::collections::HashSet;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use notchwharf_intake::Connection;
use notchwharf_intake::Reservation;
use notchwharf_intake::json_bytes;
use notchwharf_ledger::job::Chunk;
use notchwharf_ledger::job::Manifest;
use notchwharf_ledger::record::Blob;
use notchwharf_routing::budget;
use serde_json::Map;
use serde_json::Value;
use sha2::Digest as _;
use sha2::Sha256;
use xxhash_rust::xxh3::xxh3_128;

use super::auth::Caller;
use super::body;
use super::chat;
use super::error::ApiError;
use super::error::LineError;
use crate::context::Context;
use crate::keyed::hex;

/// The endpoint of the requests in input files.
pub(crate) const ENDPOINT: &str = "/v1/chat/completions";
pub(crate) const BLOB_BYTES_MAX: usize = 512 << 10;
const BLOB_ITEMS_MAX: usize = 4_000;
/// Copies of a line that is being received: its buffer may be twice as large.
const LINE_COPIES: usize = 2;
/// Bytes that are reserved at a time for a line.
const RESERVE_BYTES: usize = 16 << 10;
/// Number of items for whose hashes bytes are reserved at a time.
const RESERVED_ITEMS: u32 = 1_024;
/// Bytes of an item's hash, with the room by which sets of hashes grow, and of its place in the file.
const ITEM_BYTES: u64 = 64;
const CUSTOM_ID_BYTES_MAX: usize = 512;
/// Attempts to append a blob before an upload fails.
const WRITE_ATTEMPTS_MAX: usize = 5;

/// An input file that is being received.
pub(crate) struct InputFileWriter<'a> {
    ctx: &'a Arc<Context>,
    caller: &'a Caller,
    connection: &'a Connection,
    /// For the bytes of a line that is not complete.
    line_reserved: Vec<Reservation>,
    line_reserved_bytes: usize,
    /// For the hashes of items.
    items_reserved: Vec<Reservation>,
    buffer: BytesMut,
    line_number: u32,
    item_count: u32,
    len_bytes: u64,
    custom_id_hashes: HashSet<u128>,
    serving: Option<String>,
    parts: Vec<Vec<u8>>,
    buffered_bytes: usize,
    chunks: Vec<Chunk>,
    hasher: Sha256,
}

/// An input file that was written to the log completely.
pub(crate) struct StoredFile {
    pub(crate) digest: String,
    pub(crate) len_bytes: u64,
    pub(crate) manifest: Manifest,
}

impl<'a> InputFileWriter<'a> {
    pub(crate) fn new(
        ctx: &'a Arc<Context>,
        caller: &'a Caller,
        connection: &'a Connection,
    ) -> Self {
        Self {
            ctx,
            caller,
            connection,
            line_reserved: Vec::new(),
            line_reserved_bytes: 0,
            items_reserved: Vec::new(),
            buffer: BytesMut::new(),
            line_number: 0,
            item_count: 0,
            len_bytes: 0,
            custom_id_hashes: HashSet::new(),
            serving: None,
            parts: Vec::new(),
            buffered_bytes: 0,
            chunks: Vec::new(),
            hasher: Sha256::new(),
        }
    }

    /// Processes the next bytes.
    pub(crate) async fn push(&mut self, bytes: &Bytes) -> Result<(), ApiError> {
        let limits = &self.ctx.settings.limits;
        self.len_bytes += bytes.len() as u64;
        if self.len_bytes > limits.lot_bytes_max {
            let max = limits.lot_bytes_max;
            return Err(ApiError::TooLarge { max });
        }
        self.hasher.update(bytes);
        self.reserve_line(bytes.len()).await?;
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
            let line = self.buffer.split_to(end + 1);
            self.push_line(&line[..end]).await?;
        }
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            self.line_reserved.clear();
            self.line_reserved_bytes = 0;
        }
        if self.buffer.len() as u64 > limits.body_bytes_max {
            let max = limits.body_bytes_max;
            self.line_number += 1;
            return Err(self.line_error(LineError::LineTooLong { max }));
        }
        Ok(())
    }

    /// Processes the last line and returns the stored file.
    pub(crate) async fn finish(mut self) -> Result<StoredFile, ApiError> {
        let last = self.buffer.split();
        if !last.is_empty() {
            self.push_line(&last).await?;
        }
        self.flush().await?;
        let serving = self.serving.ok_or(ApiError::EmptyInputFile)?;
        Ok(StoredFile {
            digest: hex(&self.hasher.finalize()),
            len_bytes: self.len_bytes,
            manifest: Manifest {
                serving,
                endpoint: ENDPOINT.into(),
                chunks: self.chunks,
            },
        })
    }

    /// Reserves what the buffer may occupy with more bytes: up to twice its content, as it grows.
    async fn reserve_line(&mut self, bytes: usize) -> Result<(), ApiError> {
        let wanted = LINE_COPIES * (self.buffer.len() + bytes);
        if wanted > self.line_reserved_bytes {
            let more = (wanted - self.line_reserved_bytes).max(RESERVE_BYTES);
            let reserved = {
                let _wait = self.connection.await_body();
                body::reserve(self.connection, more as u64).await?
            };
            self.line_reserved.push(reserved);
            self.line_reserved_bytes += more;
        }
        Ok(())
    }

    async fn push_line(&mut self, line: &[u8]) -> Result<(), ApiError> {
        self.line_number += 1;
        if line.trim_ascii().is_empty() {
            return Ok(());
        }
        if self.item_count.is_multiple_of(RESERVED_ITEMS) {
            let bytes = u64::from(RESERVED_ITEMS) * ITEM_BYTES;
            let reserved = body::reserve(self.connection, bytes).await?;
            self.items_reserved.push(reserved);
        }
        let _parsed = body::reserve(self.connection, json_bytes(line)).await?;
        self.check(line).map_err(|error| self.line_error(error))?;
        self.item_count += 1;
        let max = self.ctx.settings.limits.lot_items_max;
        if self.item_count > max {
            return Err(ApiError::TooManyItems { max });
        }
        self.buffered_bytes += line.len();
        self.parts.push(line.to_vec());
        if self.buffered_bytes >= BLOB_BYTES_MAX || self.parts.len() >= BLOB_ITEMS_MAX {
            self.flush().await?;
        }
        Ok(())
    }

    fn line_error(&self, error: LineError) -> ApiError {
        let line = self.line_number;
        ApiError::InvalidLine { line, error }
    }

    fn check(&mut self, line: &[u8]) -> Result<(), LineError> {
        let item: Map<String, Value> =
            serde_json::from_slice(line).map_err(|err| LineError::NotJson(err.to_string()))?;
        let text = |name: &str| item.get(name).and_then(Value::as_str);
        let id = text("custom_id").ok_or(LineError::InvalidCustomId)?;
        if id.is_empty() || id.len() > CUSTOM_ID_BYTES_MAX {
            return Err(LineError::InvalidCustomId);
        }
        if text("method") != Some("POST") {
            return Err(LineError::UnsupportedMethod);
        }
        if text("url") != Some(ENDPOINT) {
            return Err(LineError::UnsupportedEndpoint);
        }
        let body = item.get("body").and_then(Value::as_object);
        let body = body.ok_or(LineError::MissingBody)?;
        let model = chat::check(body).map_err(|(_, reason)| LineError::InvalidBody(reason))?;
        self.check_model(model)?;
        if !self.custom_id_hashes.insert(xxh3_128(id.as_bytes())) {
            return Err(LineError::DuplicateCustomId(id.to_owned()));
        }
        Ok(())
    }

    fn check_model(&mut self, found: String) -> Result<(), LineError> {
        match &self.serving {
            Some(first) if *first == found => Ok(()),
            Some(first) => {
                let first = first.clone();
                Err(LineError::MixedModels { first, found })
            }
            None => {
                let known = self.caller.check_serving(&found);
                known.map_err(|_| LineError::UnknownModel(found.clone()))?;
                self.serving = Some(found);
                Ok(())
            }
        }
    }

    /// Writes the buffered lines as one blob.
    async fn flush(&mut self) -> Result<(), ApiError> {
        if self.parts.is_empty() {
            return Ok(());
        }
        let parts = std::mem::take(&mut self.parts);
        self.buffered_bytes = 0;
        let len = u16::try_from(parts.len()).unwrap_or(u16::MAX);
        let blob = Blob { parts };
        for delay in budget::backoff(rand::random()).take(WRITE_ATTEMPTS_MAX) {
            if let Ok(id) = self.ctx.write_blob(&blob).await {
                let first = self.item_count - u32::from(len);
                let blob = id;
                self.chunks.push(Chunk { blob, first, len });
                return Ok(());
            }
            tokio::time::sleep(delay).await;
        }
        Err(ApiError::LogUnavailable)
    }
}
