//! The lines of a lot: checked one by one, written as blobs on the way.
//!
//! Blobs that no lot refers to count for nothing, so lines are written as they
//! come and a lot of 230,000 items never stands in memory. What stays is a
//! hash for each item's id, to find one that stands twice.

use std::collections::HashSet;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
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
use super::chat;
use super::error::LineFault;
use super::error::Problem;
use crate::context::Context;
use crate::keyed::hex;

/// The endpoint that lots are for.
pub(crate) const ENDPOINT: &str = "/v1/chat/completions";
const CHUNK_BYTES_MAX: usize = 512 << 10;
const CHUNK_ITEMS_MAX: usize = 4_000;
const CUSTOM_ID_BYTES_MAX: usize = 512;
/// Tries of one append before an upload is given up.
const WRITE_TRIES: usize = 5;

/// A lot on its way in.
pub(crate) struct Lot<'a> {
    ctx: &'a Arc<Context>,
    caller: &'a Caller,
    rest: BytesMut,
    line: u32,
    items: u32,
    len_bytes: u64,
    ids: HashSet<u128>,
    serving: Option<String>,
    parts: Vec<Vec<u8>>,
    parts_bytes: usize,
    chunks: Vec<Chunk>,
    hasher: Sha256,
}

/// A lot that is in the log whole.
pub(crate) struct Stored {
    pub(crate) digest: String,
    pub(crate) len_bytes: u64,
    pub(crate) manifest: Manifest,
}

impl<'a> Lot<'a> {
    pub(crate) fn new(ctx: &'a Arc<Context>, caller: &'a Caller) -> Self {
        Self {
            ctx,
            caller,
            rest: BytesMut::new(),
            line: 0,
            items: 0,
            len_bytes: 0,
            ids: HashSet::new(),
            serving: None,
            parts: Vec::new(),
            parts_bytes: 0,
            chunks: Vec::new(),
            hasher: Sha256::new(),
        }
    }

    /// Takes the next bytes in.
    pub(crate) async fn push(&mut self, bytes: &Bytes) -> Result<(), Problem> {
        let limits = &self.ctx.settings.limits;
        self.len_bytes += bytes.len() as u64;
        if self.len_bytes > limits.lot_bytes_max {
            let max = limits.lot_bytes_max;
            return Err(Problem::TooLarge { max });
        }
        self.hasher.update(bytes);
        self.rest.extend_from_slice(bytes);
        while let Some(end) = self.rest.iter().position(|b| *b == b'\n') {
            let line = self.rest.split_to(end + 1);
            self.take_line(&line[..end]).await?;
        }
        if self.rest.len() as u64 > limits.body_bytes_max {
            let max = limits.body_bytes_max;
            self.line += 1;
            return Err(self.fault(LineFault::TooLong { max }));
        }
        Ok(())
    }

    /// Takes the last line in and returns the lot.
    pub(crate) async fn finish(mut self) -> Result<Stored, Problem> {
        let last = self.rest.split();
        if !last.is_empty() {
            self.take_line(&last).await?;
        }
        self.flush().await?;
        let serving = self.serving.ok_or(Problem::EmptyLot)?;
        Ok(Stored {
            digest: hex(&self.hasher.finalize()),
            len_bytes: self.len_bytes,
            manifest: Manifest {
                serving,
                endpoint: ENDPOINT.into(),
                chunks: self.chunks,
            },
        })
    }

    async fn take_line(&mut self, line: &[u8]) -> Result<(), Problem> {
        self.line += 1;
        if line.trim_ascii().is_empty() {
            return Ok(());
        }
        self.check(line).map_err(|fault| self.fault(fault))?;
        self.items += 1;
        let max = self.ctx.settings.limits.lot_items_max;
        if self.items > max {
            return Err(Problem::TooManyItems { max });
        }
        self.parts_bytes += line.len();
        self.parts.push(line.to_vec());
        if self.parts_bytes >= CHUNK_BYTES_MAX || self.parts.len() >= CHUNK_ITEMS_MAX {
            self.flush().await?;
        }
        Ok(())
    }

    fn fault(&self, fault: LineFault) -> Problem {
        let line = self.line;
        Problem::BadLine { line, fault }
    }

    fn check(&mut self, line: &[u8]) -> Result<(), LineFault> {
        let item: Map<String, Value> =
            serde_json::from_slice(line).map_err(|err| LineFault::NotJson(err.to_string()))?;
        let text = |name: &str| item.get(name).and_then(Value::as_str);
        let id = text("custom_id").ok_or(LineFault::NoCustomId)?;
        if id.is_empty() || id.len() > CUSTOM_ID_BYTES_MAX {
            return Err(LineFault::NoCustomId);
        }
        if text("method") != Some("POST") {
            return Err(LineFault::OtherMethod);
        }
        if text("url") != Some(ENDPOINT) {
            return Err(LineFault::OtherEndpoint);
        }
        let body = item.get("body").and_then(Value::as_object);
        let body = body.ok_or(LineFault::NoBody)?;
        let model = chat::check(body).map_err(|(_, why)| LineFault::BadBody(why))?;
        self.check_model(model)?;
        if !self.ids.insert(xxh3_128(id.as_bytes())) {
            return Err(LineFault::DuplicateId(id.to_owned()));
        }
        Ok(())
    }

    fn check_model(&mut self, found: String) -> Result<(), LineFault> {
        match &self.serving {
            Some(first) if *first == found => Ok(()),
            Some(first) => {
                let first = first.clone();
                Err(LineFault::OtherModel { first, found })
            }
            None => {
                let known = self.caller.check_serving(&found);
                known.map_err(|_| LineFault::UnknownModel(found.clone()))?;
                self.serving = Some(found);
                Ok(())
            }
        }
    }

    /// Writes the lines gathered so far as one blob.
    async fn flush(&mut self) -> Result<(), Problem> {
        if self.parts.is_empty() {
            return Ok(());
        }
        let parts = std::mem::take(&mut self.parts);
        self.parts_bytes = 0;
        let len = u16::try_from(parts.len()).unwrap_or(u16::MAX);
        let blob = Blob { parts };
        for pause in budget::backoff(rand::random()).take(WRITE_TRIES) {
            if let Ok(id) = self.ctx.write_blob(&blob).await {
                let first = self.items - u32::from(len);
                let blob = id;
                self.chunks.push(Chunk { blob, first, len });
                return Ok(());
            }
            tokio::time::sleep(pause).await;
        }
        Err(Problem::LogDown)
    }
}
