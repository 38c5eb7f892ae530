//! Bytes that are too many for the job records: what items say, and results.
//!
//! A blob is one run of records in a partition that its job's name picks. It is
//! read where it lies; once the store has dropped its history, by its keys.
//!
//! Read by its keys, a blob comes with all that follow them in the partition, a
//! page of up to 1 MB. So a job's blobs lie side by side and are read together,
//! and partitions are so many that each holds little: reading 333 jobs of ten
//! took ten pages each, more than the store reads out in a minute.
//!
//! Writing blobs anew before the history drops them was rejected: whoever does
//! so for a host that is gone has to be agreed on, and every blob is written
//! several times. One record for all results of a job was rejected as well: its
//! first results are read while the last ones run.

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

/// Partitions over which blobs are spread at most. The store holds 400 MB, so each has
/// about 1 MB, one page, when it is full, and a job's own results, some 100 KB, in
/// usual use.
const PARTS_MAX: u32 = 384;
/// Topics that blobs of one kind may fill: the store has 100 in all, and there are two
/// kinds beside five other topics.
const TOPICS_MAX: u32 = 40;
/// Bytes of a record beside its value, at most: its length, key and the key's
/// length.
pub(crate) const RECORD_OVERHEAD_BYTES: usize = 300;
/// Bytes of blobs kept in memory: the results that callers of this host are
/// likely to read next.
const CACHE_BYTES: usize = 512 << 10;

/// Returns the partition that a name picks.
pub(crate) fn part_of(name: &str, parts: u32) -> u32 {
    u32::try_from(hash(name) % u64::from(parts.max(1))).unwrap_or(0)
}

/// Writes and reads blobs.
#[derive(Clone)]
pub(crate) struct Blobs {
    store: Store,
    record_bytes_max: usize,
    call_bytes_max: usize,
    parts: u32,
    cache: Arc<Mutex<Cache>>,
}

/// The records of a blob that are here, in their order.
pub(crate) type Pieces = Vec<Bytes>;

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
            parts: PARTS_MAX.min(settings.parts.saturating_mul(TOPICS_MAX)),
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
        let part = part_of(job, self.parts);
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

    /// Reads blobs; those of a partition that are not at their places any more
    /// are read together.
    ///
    /// # Errors
    ///
    /// Returns the store's failure for each blob; [`StoreError::Expired`] if it
    /// is in the store no more.
    pub(crate) async fn read_all(
        &self,
        topic: Topic,
        blobs: &[Blob],
    ) -> Vec<Result<Bytes, StoreError>> {
        let mut read = Vec::new();
        let mut dropped = Dropped::default();
        for blob in blobs {
            let cached = lock(&self.cache).get(&blob.key);
            let res = match cached {
                Some(bytes) => Ok(bytes),
                None if dropped.holds(blob) => Err(StoreError::Expired),
                None => self.read_in_place(topic, blob).await,
            };
            if res == Err(StoreError::Expired) {
                dropped.note(blob);
            }
            read.push(res);
        }
        for missing in dropped.by_part.into_values() {
            let found = self.read_by_key(topic, &missing.blobs).await;
            for (blob, res) in blobs.iter().zip(&mut read) {
                if !missing.blobs.contains(&blob) {
                    continue;
                }
                *res = match &found {
                    Ok(found) => found.get(&blob.key).cloned().ok_or(StoreError::Expired),
                    Err(err) => Err(*err),
                };
            }
        }
        read
    }

    /// Reads bytes that were written in one or more blobs.
    ///
    /// # Errors
    ///
    /// Returns the store's failure; [`StoreError::Expired`] if they are in the
    /// store no more.
    pub(crate) async fn read(&self, topic: Topic, blobs: &[Blob]) -> Result<Bytes, StoreError> {
        let parts = self.read_all(topic, blobs).await;
        let parts: Vec<Bytes> = parts.into_iter().collect::<Result<_, _>>()?;
        Ok(joined(parts))
    }

    async fn read_in_place(&self, topic: Topic, blob: &Blob) -> Result<Bytes, StoreError> {
        let mut found = Pieces::new();
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
            let pieces = of_blob.filter_map(piece);
            let pieces = pieces.filter(|(key, _)| *key == blob.key);
            found.extend(pieces.map(|(_, bytes)| bytes));
            if found.len() == before {
                return Err(StoreError::Expired);
            }
        }
        Ok(self.keep(blob, found))
    }

    /// Reads blobs of one partition by their keys: pages from the first key to
    /// the last, and none between two that are far apart.
    async fn read_by_key(
        &self,
        topic: Topic,
        blobs: &[&Blob],
    ) -> Result<HashMap<String, Bytes>, StoreError> {
        let mut wanted: BTreeMap<&str, (&Blob, Pieces)> = BTreeMap::new();
        for blob in blobs {
            wanted.insert(&blob.key, (blob, Pieces::new()));
        }
        let mut found = HashMap::new();
        let mut after = String::new();
        while let Some((key, (blob, _))) = wanted.first_key_value() {
            // The page begins behind the first blob's key, or where the last one ended.
            let from = after.as_str().max(key).to_owned();
            let page = self.store.newest(topic, blob.part, Some(from)).await?;
            let Some(last) = page.records.last().map(|r| r.entry.key.clone()) else {
                return Ok(found);
            };
            for record in page.records {
                let Some((key, bytes)) = piece(record) else {
                    continue;
                };
                let Some((blob, pieces)) = wanted.get_mut(key.as_str()) else {
                    continue;
                };
                pieces.push(bytes);
                if pieces.len() == blob.records as usize {
                    let whole = self.keep(blob, std::mem::take(pieces));
                    wanted.remove(key.as_str());
                    found.insert(key, whole);
                }
            }
            // What the page has passed by is not there.
            wanted.retain(|_, (blob, _)| {
                let last_record = blob.record_key(blob.records.saturating_sub(1));
                page.has_more && last_record > last
            });
            after = last;
        }
        Ok(found)
    }

    fn keep(&self, blob: &Blob, pieces: Pieces) -> Bytes {
        let whole = joined(pieces);
        lock(&self.cache).put(&blob.key, &whole);
        whole
    }
}

/// Blobs whose places the history has dropped, by partition.
#[derive(Debug, Default)]
struct Dropped<'a> {
    by_part: BTreeMap<u32, DroppedPart<'a>>,
}

#[derive(Debug, Default)]
struct DroppedPart<'a> {
    /// The latest place known to be dropped; all before it are too.
    latest: u64,
    blobs: Vec<&'a Blob>,
}

impl<'a> Dropped<'a> {
    fn holds(&self, blob: &Blob) -> bool {
        let part = self.by_part.get(&blob.part);
        part.is_some_and(|part| blob.offset <= part.latest)
    }

    fn note(&mut self, blob: &'a Blob) {
        let part = self.by_part.entry(blob.part).or_default();
        part.latest = part.latest.max(blob.offset);
        part.blobs.push(blob);
    }
}

/// Returns the key of the blob that a record is a piece of, and the piece.
fn piece(record: StoredRecord) -> Option<(String, Bytes)> {
    let (blob, _) = record.entry.key.rsplit_once('/')?;
    Some((blob.to_owned(), record.entry.value?))
}

/// Returns pieces as one; a single one is not copied.
pub(crate) fn joined(pieces: Pieces) -> Bytes {
    if let [piece] = pieces.as_slice() {
        return piece.clone();
    }
    let mut whole = BytesMut::with_capacity(pieces.iter().map(Bytes::len).sum());
    for piece in pieces {
        whole.extend_from_slice(&piece);
    }
    whole.freeze()
}
