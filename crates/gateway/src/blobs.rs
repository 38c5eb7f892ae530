//! Bytes that are too many for the job records: what items say, and results.
//!
//! A blob is one run of records in a partition that its job's name picks. It is
//! read where it lies; once the store has dropped its history, by its keys.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use notchwharf_config::gateway::Store as StoreSettings;
use notchwharf_ledger::jobs::Blob;
use notchwharf_ledger::rendezvous::hash;

use crate::context::lock;
use crate::ports::Entry;
use crate::ports::Read;
use crate::ports::StoreError;
use crate::ports::Stored;
use crate::ports::Topic;
use crate::store::Store;

/// Partitions over which blobs are spread: each takes some hundred appends a
/// second, many times what a dozen hosts make.
const PARTS: u64 = 8;
/// Bytes of a record beside its value, at most: its length, key and the key's
/// length.
pub(crate) const RECORD_OVERHEAD_BYTES: usize = 300;
/// Bytes of blobs kept in memory: the results that callers of this host are
/// likely to read next.
const CACHE_BYTES: usize = 512 << 10;

/// Returns the partition that a name picks.
pub(crate) fn part_of(name: &str) -> u32 {
    u32::try_from(hash(name) % PARTS).unwrap_or(0)
}

/// Returns all partitions that names pick.
pub(crate) fn parts() -> std::ops::Range<u32> {
    0..u32::try_from(PARTS).unwrap_or(0)
}

/// Writes and reads blobs.
#[derive(Clone)]
pub(crate) struct Blobs {
    store: Store,
    record_bytes_max: usize,
    call_bytes_max: usize,
    cache: Arc<Mutex<Cache>>,
}

#[derive(Debug, Default)]
struct Cache {
    blobs: VecDeque<(String, Bytes)>,
    bytes: usize,
}

impl Cache {
    fn get(&self, key: &str) -> Option<Bytes> {
        let found = self.blobs.iter().find(|(known, _)| known == key);
        found.map(|(_, bytes)| bytes.clone())
    }

    fn put(&mut self, key: &str, bytes: &Bytes) {
        if bytes.len() > CACHE_BYTES / 2 || self.get(key).is_some() {
            return;
        }
        self.bytes += bytes.len();
        self.blobs.push_back((key.to_owned(), bytes.clone()));
        while self.bytes > CACHE_BYTES {
            let Some((_, oldest)) = self.blobs.pop_front() else {
                return;
            };
            self.bytes -= oldest.len();
        }
    }
}

impl Blobs {
    pub(crate) fn new(store: Store, settings: &StoreSettings) -> Self {
        let bytes = |setting: u64| usize::try_from(setting).unwrap_or(usize::MAX);
        Self {
            store,
            record_bytes_max: bytes(settings.record_bytes_max) - RECORD_OVERHEAD_BYTES,
            call_bytes_max: bytes(settings.call_bytes_max),
            cache: Arc::default(),
        }
    }

    /// Writes bytes under a key that nothing else has; returns where they lie.
    ///
    /// # Errors
    ///
    /// Returns the store's failure. Written in part, the bytes do no harm:
    /// nothing refers to them.
    pub(crate) async fn write(
        &self,
        topic: Topic,
        job: &str,
        key: &str,
        bytes: Bytes,
    ) -> Result<Vec<Blob>, StoreError> {
        let part = part_of(job);
        let records_per_call = (self.call_bytes_max / (self.record_bytes_max + 1)).max(1);
        let mut blobs = Vec::new();
        let mut left = bytes;
        loop {
            let most = left.len().min(records_per_call * self.record_bytes_max);
            let now = left.split_to(most);
            let mut blob = Blob {
                part,
                key: format!("{key}/{}", blobs.len()),
                bytes: u32::try_from(now.len()).unwrap_or(u32::MAX),
                ..Blob::default()
            };
            let entries = self.entries(&mut blob, &now);
            blob.offset = self.store.append(topic, part, entries).await?;
            lock(&self.cache).put(&blob.key, &now);
            blobs.push(blob);
            if left.is_empty() {
                return Ok(blobs);
            }
        }
    }

    fn entries(&self, blob: &mut Blob, bytes: &Bytes) -> Vec<Entry> {
        let mut left = bytes.clone();
        let mut entries = Vec::new();
        while blob.records == 0 || !left.is_empty() {
            let value = left.split_to(left.len().min(self.record_bytes_max));
            entries.push(Entry {
                key: blob.record_key(blob.records),
                value: Some(value),
            });
            blob.records += 1;
        }
        entries
    }

    /// Reads a blob.
    ///
    /// # Errors
    ///
    /// Returns the store's failure; [`StoreError::Expired`] if the blob is in
    /// the store no more.
    pub(crate) async fn read(&self, topic: Topic, blob: &Blob) -> Result<Bytes, StoreError> {
        if let Some(bytes) = lock(&self.cache).get(&blob.key) {
            return Ok(bytes);
        }
        let records = match self.read_in_place(topic, blob).await {
            Err(StoreError::Expired) => self.read_by_key(topic, blob).await?,
            res => res?,
        };
        let mut whole = BytesMut::with_capacity(blob.bytes as usize);
        for record in records {
            whole.extend_from_slice(&record.entry.value.unwrap_or_default());
        }
        let whole = whole.freeze();
        lock(&self.cache).put(&blob.key, &whole);
        Ok(whole)
    }

    async fn read_in_place(&self, topic: Topic, blob: &Blob) -> Result<Vec<Stored>, StoreError> {
        let mut found: Vec<Stored> = Vec::new();
        while found.len() < blob.records as usize {
            let have = found.len() as u64;
            let left = u64::from(blob.records) - have;
            let read = Read {
                topic,
                part: blob.part,
                from: blob.offset + have,
                bytes_max: u64::from(blob.bytes) + left * RECORD_OVERHEAD_BYTES as u64,
                wait: Duration::ZERO,
            };
            let tail = self.store.read(read).await?;
            let before = found.len();
            let wanted = usize::try_from(left).unwrap_or(usize::MAX);
            let of_blob = tail.records.into_iter().take(wanted);
            found.extend(of_blob.filter(|r| is_part(blob, &r.entry)));
            if found.len() == before {
                return Err(StoreError::Expired);
            }
        }
        Ok(found)
    }

    async fn read_by_key(&self, topic: Topic, blob: &Blob) -> Result<Vec<Stored>, StoreError> {
        let mut found: Vec<Stored> = Vec::new();
        let mut after = blob.key.clone();
        while found.len() < blob.records as usize {
            let page = self.store.newest(topic, blob.part, Some(after)).await?;
            let before = found.len();
            found.extend(page.records.into_iter().filter(|r| is_part(blob, &r.entry)));
            if found.len() == before {
                return Err(StoreError::Expired);
            }
            let last = found.last().map(|r| r.entry.key.clone());
            after = last.unwrap_or_default();
        }
        found.sort_by(|a, b| a.entry.key.cmp(&b.entry.key));
        Ok(found)
    }
}

/// Returns whether a record is a piece of a blob.
fn is_part(blob: &Blob, entry: &Entry) -> bool {
    let rest = entry.key.strip_prefix(&blob.key);
    rest.is_some_and(|rest| rest.starts_with('/')) && entry.value.is_some()
}
