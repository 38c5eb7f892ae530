//! Asks the store whether the buckets of a slot may begin with the allowance.
//!
//! A record for each slot says when that was last asked for. Two hosts may ask at the
//! same time, each having read the same record; the store's order decides, so whoever
//! has asked reads what came in between. An append without an answer counts for nobody:
//! should it be done later, the next one to ask waits longer than it must.

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
const PART: u32 = 0;
/// Bytes read at once: records of some ten bytes, of which few are new.
const READ_BYTES: u64 = 64 << 10;

/// Returns when the allowance of a slot was asked for, by what its record says, if its
/// buckets may begin with it; nothing if they must not.
///
/// # Errors
///
/// Returns the store's failure; then they must not.
pub(super) async fn ask(
    store: &Store,
    slot: HolderSlot,
    window: Duration,
) -> Result<Option<Instant>, StoreError> {
    let key = slot.to_string();
    let listing = store.all_newest(Topic::Limits, PART).await?;
    let of_slot = |record: &&StoredRecord| record.entry.key == key;
    let last = listing.records.iter().rev().find(of_slot);
    // A record that cannot be read may be of any time.
    let last_unix_ms = last.map(|record| decode(record).unwrap_or(u64::MAX));
    let asked = Instant::now();
    let now_unix_ms = unix_ms();
    if !is_allowance_due(last_unix_ms, now_unix_ms, window) {
        return Ok(None);
    }
    let value = postcard::to_stdvec(&now_unix_ms).expect("Numbers are representable.");
    let entry = Entry {
        key: key.clone(),
        value: Some(value.into()),
    };
    let offset = store.append(Topic::Limits, PART, vec![entry]).await?;
    let mut from = listing.end;
    while from < offset {
        let read = Read {
            topic: Topic::Limits,
            part: PART,
            from,
            bytes_max: READ_BYTES,
            wait: Duration::ZERO,
        };
        let tail = store.read(read).await?;
        let Some(newest) = tail.records.last().map(|record| record.offset) else {
            return Ok(None);
        };
        let mut before = tail.records.iter().filter(|record| record.offset < offset);
        if before.any(|record| of_slot(&record)) {
            return Ok(None);
        }
        from = newest + 1;
    }
    Ok(Some(asked))
}

fn decode(record: &StoredRecord) -> Option<u64> {
    postcard::from_bytes(record.entry.value.as_deref()?).ok()
}
