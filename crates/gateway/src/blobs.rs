//! Stores data that is too large for the job records: the requests of items, and results.
//!
//! A blob is a sequence of consecutive records in a partition that the hash of its job's ID
//! selects. It is read at its offset, or by its keys once the store has removed that part of
//! the history.
//!
//! A read by keys returns a page of up to 1 MB with all keys that follow in the partition. So
//! the blobs of a job are adjacent and read together, and there are so many partitions that
//! each holds little: when reading 333 jobs of ten items took ten pages for each job, that was
//! more than the store delivers in a minute.
//!
//! Rewriting blobs before the history expires was rejected: hosts would have to agree on who
//! does it for a host that has failed, and each blob would be written several times. One record
//! for all results of a job was rejected as well: the first results are read while the last
//! items still run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use notchwharf_config::gateway::Store as StoreSettings;
use notchwharf_ledger::jobs::Blob;
use notchwharf_ledger::rendezvous::hash;

use crate::ports::Entry;
use crate::ports::Read;
use crate::ports::StoreError;
use crate::ports::StoredRecord;
use crate::ports::Topic;
use crate::store::Store;
use crate::sync::lock;

/// Maximum number of partitions for blobs. The store holds 400 MB, so a partition has about
/// 1 MB, one page, when the store is full, and usually the results of one job, some 100 KB.
const PARTITIONS_MAX: u32 = 384;
/// Maximum number of topics for blobs of one kind: the store has 100 in all, and there are two
/// kinds of blobs beside five other topics.
const TOPICS_MAX: u32 = 40;
/// Maximum bytes of a record beside its value: its length, its key and the key's length.
pub(crate) const RECORD_OVERHEAD_BYTES: usize = 300;
/// Maximum bytes of cached blobs: the results that callers of this host are likely to read
/// next.
const CACHE_BYTES_MAX: usize = 512 << 10;

/// Returns the partition that the hash of a name selects.
pub(crate) fn partition_of(name: &str, parts: u32) -> u32 {
    u32::try_from(hash(name) % u64::from(parts.max(1))).unwrap_or(0)
}

/// Writes and reads blobs.
#[derive(Clone)]
pub(crate) struct Blobs {
    store: Store,
    record_bytes_max: usize,
    call_bytes_max: usize,
    partitions: u32,
    cache: Arc<Mutex<Cache>>,
}

/// The values of consecutive records of a blob.
pub(crate) type Chunks = Vec<Bytes>;

/// Evicts the blobs that were added first.
#[derive(Debug, Default)]
struct Cache {
    blobs: VecDeque<(String, Bytes)>,
    bytes: usize,
}

impl Cache {
    fn get(&self, key: &str) -> Option<Bytes> {
        let found = self.blobs.iter().find(|(cached, _)| cached == key);
        found.map(|(_, bytes)| bytes.clone())
    }

    fn put(&mut self, key: &str, bytes: &Bytes) {
        if bytes.len() > CACHE_BYTES_MAX / 2 || self.get(key).is_some() {
            return;
        }
        self.bytes += bytes.len();
        // What is passed may be a small part of a large buffer.
        let copy = Bytes::copy_from_slice(bytes);
        self.blobs.push_back((key.to_owned(), copy));
        while self.bytes > CACHE_BYTES_MAX {
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
            partitions: PARTITIONS_MAX.min(settings.parts.saturating_mul(TOPICS_MAX)),
            cache: Arc::default(),
        }
    }

    /// Writes bytes under a unique key and returns the blobs that hold them.
    ///
    /// # Errors
    ///
    /// Returns the store's failure. Some of the bytes may have been written then, but nothing
    /// refers to them.
    pub(crate) async fn write(
        &self,
        topic: Topic,
        job: &str,
        key: &str,
        bytes: Bytes,
    ) -> Result<Vec<Blob>, StoreError> {
        let part = partition_of(job, self.partitions);
        let records_per_call = (self.call_bytes_max / (self.record_bytes_max + 1)).max(1);
        let mut blobs = Vec::new();
        let mut remaining = bytes;
        loop {
            let len = remaining
                .len()
                .min(records_per_call * self.record_bytes_max);
            let contents = remaining.split_to(len);
            let mut blob = Blob {
                part,
                key: format!("{key}/{}", blobs.len()),
                bytes: u32::try_from(contents.len()).unwrap_or(u32::MAX),
                ..Blob::default()
            };
            let entries = self.entries(&mut blob, &contents);
            blob.offset = self.store.append(topic, part, entries).await?;
            lock(&self.cache).put(&blob.key, &contents);
            blobs.push(blob);
            if remaining.is_empty() {
                return Ok(blobs);
            }
        }
    }

    /// Splits the contents of a blob into records and counts them.
    fn entries(&self, blob: &mut Blob, contents: &Bytes) -> Vec<Entry> {
        let mut remaining = contents.clone();
        let mut entries = Vec::new();
        while blob.records == 0 || !remaining.is_empty() {
            let value = remaining.split_to(remaining.len().min(self.record_bytes_max));
            entries.push(Entry {
                key: blob.record_key(blob.records),
                value: Some(value),
            });
            blob.records += 1;
        }
        entries
    }

    /// Reads blobs. Blobs of a partition whose offsets have expired are read together by their
    /// keys.
    ///
    /// # Errors
    ///
    /// Returns for each blob the store's failure, or [`StoreError::Expired`] if it has been
    /// deleted.
    pub(crate) async fn read_all(
        &self,
        topic: Topic,
        blobs: &[Blob],
    ) -> Vec<Result<Bytes, StoreError>> {
        let mut results = Vec::new();
        let mut expired = ExpiredBlobs::default();
        for blob in blobs {
            let cached = lock(&self.cache).get(&blob.key);
            let res = match cached {
                Some(bytes) => Ok(bytes),
                None if expired.includes(blob) => Err(StoreError::Expired),
                None => self.read_at_offset(topic, blob).await,
            };
            if res == Err(StoreError::Expired) {
                expired.insert(blob);
            }
            results.push(res);
        }
        for partition in expired.by_partition.into_values() {
            let found = self.read_by_key(topic, &partition.blobs).await;
            for (blob, res) in blobs.iter().zip(&mut results) {
                if !partition.blobs.contains(&blob) {
                    continue;
                }
                *res = match &found {
                    Ok(found) => found.get(&blob.key).cloned().ok_or(StoreError::Expired),
                    Err(err) => Err(*err),
                };
            }
        }
        results
    }

    /// Reads the concatenated contents of blobs.
    ///
    /// # Errors
    ///
    /// Returns the store's failure, or [`StoreError::Expired`] if a blob has been deleted.
    pub(crate) async fn read(&self, topic: Topic, blobs: &[Blob]) -> Result<Bytes, StoreError> {
        let parts = self.read_all(topic, blobs).await;
        let parts: Vec<Bytes> = parts.into_iter().collect::<Result<_, _>>()?;
        Ok(concat(parts))
    }

    async fn read_at_offset(&self, topic: Topic, blob: &Blob) -> Result<Bytes, StoreError> {
        let mut found = Chunks::new();
        while found.len() < blob.records as usize {
            let count = found.len() as u64;
            let remaining = u64::from(blob.records) - count;
            let read = Read {
                topic,
                part: blob.part,
                from: blob.offset + count,
                bytes_max: u64::from(blob.bytes) + remaining * RECORD_OVERHEAD_BYTES as u64,
                wait: Duration::ZERO,
            };
            let tail = self.store.read(read).await?;
            let count_before = found.len();
            let records_max = usize::try_from(remaining).unwrap_or(usize::MAX);
            let of_blob = tail.records.into_iter().take(records_max);
            let chunks = of_blob.filter_map(chunk);
            let chunks = chunks.filter(|(key, _)| *key == blob.key);
            found.extend(chunks.map(|(_, bytes)| bytes));
            if found.len() == count_before {
                return Err(StoreError::Expired);
            }
        }
        Ok(self.concat_and_cache(blob, found))
    }

    /// Reads blobs of one partition by their keys: pages from the first key to the last,
    /// skipping pages that hold none of them.
    async fn read_by_key(
        &self,
        topic: Topic,
        blobs: &[&Blob],
    ) -> Result<HashMap<String, Bytes>, StoreError> {
        let mut missing: BTreeMap<&str, (&Blob, Chunks)> = BTreeMap::new();
        for blob in blobs {
            missing.insert(&blob.key, (blob, Chunks::new()));
        }
        let mut found = HashMap::new();
        let mut after = String::new();
        while let Some((key, (blob, _))) = missing.first_key_value() {
            // The page starts after the first blob's key or after the previous page.
            let from = after.as_str().max(key).to_owned();
            let page = self.store.newest(topic, blob.part, Some(from)).await?;
            let Some(last) = page.records.last().map(|r| r.entry.key.clone()) else {
                return Ok(found);
            };
            for record in page.records {
                let Some((key, bytes)) = chunk(record) else {
                    continue;
                };
                let Some((blob, chunks)) = missing.get_mut(key.as_str()) else {
                    continue;
                };
                chunks.push(bytes);
                if chunks.len() == blob.records as usize {
                    let contents = self.concat_and_cache(blob, std::mem::take(chunks));
                    missing.remove(key.as_str());
                    found.insert(key, contents);
                }
            }
            // Incomplete blobs that end before the end of the page have been deleted.
            missing.retain(|_, (blob, _)| {
                let last_record = blob.record_key(blob.records.saturating_sub(1));
                page.has_more && last_record > last
            });
            after = last;
        }
        Ok(found)
    }

    /// Concatenates the chunks of a blob and caches the result.
    fn concat_and_cache(&self, blob: &Blob, chunks: Chunks) -> Bytes {
        let contents = concat(chunks);
        lock(&self.cache).put(&blob.key, &contents);
        contents
    }
}

/// Blobs whose offsets have expired, by partition.
#[derive(Debug, Default)]
struct ExpiredBlobs<'a> {
    by_partition: BTreeMap<u32, ExpiredPartition<'a>>,
}

#[derive(Debug, Default)]
struct ExpiredPartition<'a> {
    /// The greatest offset known to have expired; all before it have expired too.
    greatest_offset: u64,
    blobs: Vec<&'a Blob>,
}

impl<'a> ExpiredBlobs<'a> {
    /// Returns whether the offset of a blob is known to have expired.
    fn includes(&self, blob: &Blob) -> bool {
        let partition = self.by_partition.get(&blob.part);
        partition.is_some_and(|partition| blob.offset <= partition.greatest_offset)
    }

    fn insert(&mut self, blob: &'a Blob) {
        let partition = self.by_partition.entry(blob.part).or_default();
        partition.greatest_offset = partition.greatest_offset.max(blob.offset);
        partition.blobs.push(blob);
    }
}

/// Returns the key of the blob that a record belongs to and the record's value.
fn chunk(record: StoredRecord) -> Option<(String, Bytes)> {
    let (blob, _) = record.entry.key.rsplit_once('/')?;
    Some((blob.to_owned(), record.entry.value?))
}

/// Concatenates chunks; a single one is not copied.
pub(crate) fn concat(chunks: Chunks) -> Bytes {
    if let [chunk] = chunks.as_slice() {
        return chunk.clone();
    }
    let mut contents = BytesMut::with_capacity(chunks.iter().map(Bytes::len).sum());
    for chunk in chunks {
        contents.extend_from_slice(&chunk);
    }
    contents.freeze()
}
