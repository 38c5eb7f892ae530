//! Payloads and results in the log's blob streams.
//!
//! A blob record holds the parts of many items, so that a lot of 230,000 items
//! takes hundreds of appends and not as many as items. Readers keep a few
//! blobs in memory, since items are read in the order in which they stand.

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

/// Number of blob streams.
pub const STREAM_COUNT: u16 = 16;
/// Blobs kept in memory by a reader.
const CACHED_MAX: usize = 32;

type Cache = VecDeque<(BlobId, Arc<Blob>)>;

/// Reads and writes blobs.
#[derive(Clone, Debug)]
pub struct BlobStore {
    log: Log,
    stream: u16,
    cache: Arc<Mutex<Cache>>,
}

impl BlobStore {
    /// Returns a store that writes to the stream of this host.
    pub fn new(log: Log, host: &str) -> Self {
        let hash = notchwharf_ledger::rendezvous::hash(host);
        let stream = u16::try_from(hash % u64::from(STREAM_COUNT)).unwrap_or(0);
        Self {
            log,
            stream,
            cache: Arc::default(),
        }
    }

    /// Writes a blob and returns where it stands.
    ///
    /// A lost answer is no reason to look for the blob: written again, it
    /// stands twice, and only the place that is referred to counts.
    ///
    /// # Errors
    ///
    /// Returns why the log gave no offset.
    pub async fn write(&self, blob: &Blob) -> CallResult<BlobId> {
        let name = stream_name(self.stream);
        let offset = self.log.append(&name, record::encode(blob)).await?;
        Ok(BlobId {
            stream: self.stream,
            offset,
        })
    }

    /// Reads a whole blob.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be read.
    pub async fn read(&self, id: BlobId) -> Result<Arc<Blob>, ReadError> {
        if let Some(blob) = self.cached(id) {
            return Ok(blob);
        }
        let name = stream_name(id.stream);
        let page = self.log.read(&name, id.offset, 1, Duration::ZERO).await?;
        let stored = page.records.first().ok_or(ReadError::Undecodable)?;
        let blob = record::decode(&stored.bytes()?).map_err(|_| ReadError::Undecodable)?;
        let blob = Arc::new(blob);
        self.keep(id, &blob);
        Ok(blob)
    }

    /// Reads one part.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be read.
    pub async fn read_part(&self, place: Place) -> Result<Vec<u8>, ReadError> {
        let id = BlobId {
            stream: place.stream,
            offset: place.offset,
        };
        let blob = self.read(id).await?;
        let part = blob.parts.get(usize::from(place.index));
        part.cloned().ok_or(ReadError::Undecodable)
    }

    /// Writes blobs again and returns their old and new places.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Lost`] if one cannot be read or written.
    pub async fn rewrite(&self, ids: &[BlobId]) -> CallResult<Vec<(BlobId, BlobId)>> {
        let mut moved = Vec::with_capacity(ids.len());
        for id in ids {
            let blob = self.read(*id).await;
            let blob = blob.map_err(|err| Report::new(err).change_context(CallError::Lost))?;
            moved.push((*id, self.write(&blob).await?));
        }
        Ok(moved)
    }

    fn cached(&self, id: BlobId) -> Option<Arc<Blob>> {
        let cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let found = cache.iter().find(|(known, _)| *known == id);
        found.map(|(_, blob)| Arc::clone(blob))
    }

    fn keep(&self, id: BlobId, blob: &Arc<Blob>) {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        if cache.len() >= CACHED_MAX {
            cache.pop_front();
        }
        cache.push_back((id, Arc::clone(blob)));
    }
}

fn stream_name(stream: u16) -> String {
    format!("blob-{stream}")
}
