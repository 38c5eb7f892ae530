//! Storage of payloads and results in the log's blob streams.
//!
//! A blob record holds the parts of many items, so an input file of 230,000 items needs
//! hundreds of appends instead of one per item. Readers cache a few blobs because items are
//! read in the order in which they were written.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use error_stack::Report;
use notchwharf_ledger::record;
use notchwharf_ledger::record::Blob;
use notchwharf_ledger::record::BlobId;
use notchwharf_ledger::record::Place;

use crate::error::CallError;
use crate::error::ReadError;
use crate::http::CallResult;
use crate::log::Log;

/// The number of blob streams.
pub const STREAM_COUNT: u16 = 16;
/// Bytes of the blobs that a reader caches, some dozens of usual ones.
const CACHE_BYTES_MAX: usize = 16 << 20;
/// Largest part of the cache that one blob may take, as a divisor: others are not to be evicted for it.
const CACHE_SHARE: usize = 4;

/// Evicts the blobs that were added first.
#[derive(Debug, Default)]
struct Cache {
    blobs: VecDeque<(BlobId, Arc<Blob>)>,
    bytes: usize,
}

impl Cache {
    fn find(&self, id: BlobId) -> Option<Arc<Blob>> {
        let found = self.blobs.iter().find(|(cached_id, _)| *cached_id == id);
        found.map(|(_, blob)| Arc::clone(blob))
    }

    fn insert(&mut self, id: BlobId, blob: &Arc<Blob>) {
        let bytes = byte_count(blob);
        // Another reader may have inserted it meanwhile.
        if bytes > CACHE_BYTES_MAX / CACHE_SHARE || self.find(id).is_some() {
            return;
        }
        self.bytes += bytes;
        self.blobs.push_back((id, Arc::clone(blob)));
        while self.bytes > CACHE_BYTES_MAX {
            let Some((_, oldest)) = self.blobs.pop_front() else {
                return;
            };
            self.bytes -= byte_count(&oldest);
        }
    }
}

fn byte_count(blob: &Blob) -> usize {
    let parts = blob.parts.iter();
    parts.map(|part| part.len() + size_of::<Vec<u8>>()).sum()
}

/// Reads and writes blobs.
#[derive(Clone, Debug)]
pub struct BlobStore {
    log: Log,
    stream: u16,
    cache: Arc<Mutex<Cache>>,
}

impl BlobStore {
    /// Returns a store that writes to the stream selected by the hash of `host`.
    pub fn new(log: Log, host: &str) -> Self {
        let hash = notchwharf_ledger::rendezvous::hash(host);
        let stream = u16::try_from(hash % u64::from(STREAM_COUNT)).unwrap_or(0);
        Self {
            log,
            stream,
            cache: Arc::default(),
        }
    }

    /// Writes a blob and returns its ID.
    ///
    /// A write may be repeated after any error without looking for the blob in the stream: a
    /// duplicate to which no record refers has no effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the log does not return an offset.
    pub async fn write(&self, blob: &Blob) -> CallResult<BlobId> {
        let name = stream_name(self.stream);
        let offset = self.log.append(&name, record::encode(blob)).await?;
        Ok(BlobId {
            stream: self.stream,
            offset,
        })
    }

    /// Reads a complete blob.
    ///
    /// # Errors
    ///
    /// Returns an error if the blob cannot be read.
    pub async fn read(&self, id: BlobId) -> Result<Arc<Blob>, ReadError> {
        if let Some(blob) = self.find_cached(id) {
            return Ok(blob);
        }
        let name = stream_name(id.stream);
        let page = self.log.read(&name, id.offset, 1, Duration::ZERO).await?;
        let stored = page.records.first().ok_or(ReadError::Undecodable)?;
        let blob = record::decode(&stored.bytes()?).map_err(|_| ReadError::Undecodable)?;
        let blob = Arc::new(blob);
        self.insert_cached(id, &blob);
        Ok(blob)
    }

    /// Reads one part of a blob.
    ///
    /// # Errors
    ///
    /// Returns an error if the blob cannot be read or has no such part.
    pub async fn read_part(&self, location: Place) -> Result<Vec<u8>, ReadError> {
        let id = BlobId {
            stream: location.stream,
            offset: location.offset,
        };
        let blob = self.read(id).await?;
        let part = blob.parts.get(usize::from(location.index));
        part.cloned().ok_or(ReadError::Undecodable)
    }

    /// Writes copies of blobs and returns the old and the new ID of each.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Lost`] if a blob cannot be read, and the error of a failed write.
    pub async fn rewrite(&self, ids: &[BlobId]) -> CallResult<Vec<(BlobId, BlobId)>> {
        let mut rewritten = Vec::with_capacity(ids.len());
        for id in ids {
            let blob = self.read(*id).await;
            let blob = blob.map_err(|err| Report::new(err).change_context(CallError::Lost))?;
            rewritten.push((*id, self.write(&blob).await?));
        }
        Ok(rewritten)
    }

    fn find_cached(&self, id: BlobId) -> Option<Arc<Blob>> {
        let cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache.find(id)
    }

    fn insert_cached(&self, id: BlobId, blob: &Arc<Blob>) {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache.insert(id, blob);
    }
}

fn stream_name(stream: u16) -> String {
    format!("blob-{stream}")
}
