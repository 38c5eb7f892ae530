//! Requests the allowance with which the buckets of a holder slot may start.
//!
//! A record for each slot in the store holds when its allowance was last requested. Two hosts
//! may request it concurrently after reading the same record. The order in the store decides:
//! after its append, a host reads the records before it that it hadn't read. An append without
//! a response grants the allowance to no host; if it takes effect later, the next request is
//! only delayed longer than necessary.

use std::time::Duration;
use std::time::Instant;

use notchwharf_quota::HolderSlot;
use notchwharf_quota::is_allowance_due;

use crate::ports::Entry;
use crate::ports::Read;
use crate::ports::StoreError;
use crate::ports::StoredRecord;
use crate::ports::Topic;
use crate::store::Store;
use crate::time::unix_ms;

/// The partition of the records.
const PARTITION: u32 = 0;
/// Bytes per read: records have about ten bytes, and few are new.
const READ_BYTES: u64 = 64 << 10;

/// Requests the allowance of a slot. Returns when it was requested if the slot's buckets may
/// start with it; none if they may not.
///
/// # Errors
///
/// Returns the store's failure; then the buckets may not start with it.
pub(super) async fn request(
    store: &Store,
    slot: HolderSlot,
    window: Duration,
) -> Result<Option<Instant>, StoreError> {
    let key = slot.to_string();
    let listing = store.all_newest(Topic::Limits, PARTITION).await?;
    let is_of_slot = |record: &&StoredRecord| record.entry.key == key;
    let last = listing.records.iter().rev().find(is_of_slot);
    // An unreadable record may be of any time.
    let last_unix_ms = last.map(|record| decode(record).unwrap_or(u64::MAX));
    let requested_at = Instant::now();
    let now_unix_ms = unix_ms();
    if !is_allowance_due(last_unix_ms, now_unix_ms, window) {
        return Ok(None);
    }
    let value = postcard::to_stdvec(&now_unix_ms).expect("Numbers are representable.");
    let entry = Entry {
        key: key.clone(),
        value: Some(value.into()),
    };
    let offset = store.append(Topic::Limits, PARTITION, vec![entry]).await?;
    let mut from = listing.end;
    while from < offset {
        let read = Read {
            topic: Topic::Limits,
            part: PARTITION,
            from,
            bytes_max: READ_BYTES,
            wait: Duration::ZERO,
        };
        let page = store.read(read).await?;
        let Some(newest) = page.records.last().map(|record| record.offset) else {
            return Ok(None);
        };
        let mut earlier = page.records.iter().filter(|record| record.offset < offset);
        if earlier.any(|record| is_of_slot(&record)) {
            return Ok(None);
        }
        from = newest + 1;
    }
    Ok(Some(requested_at))
}

fn decode(record: &StoredRecord) -> Option<u64> {
    postcard::from_bytes(record.entry.value.as_deref()?).ok()
}
