//! Reading of a shard's stream, from the newest snapshot on.

use std::sync::Arc;
use std::time::Duration;

use notchwharf_clients::error::ReadError;
use notchwharf_ledger::owner::Input;
use notchwharf_ledger::record;
use notchwharf_ledger::record::Entry;
use notchwharf_ledger::record::Offset;
use notchwharf_ledger::record::Record;
use notchwharf_ledger::record::ShardId;
use notchwharf_ledger::shard::Shard;
use xtra::prelude::*;
use xtra::refcount::Weak;

use super::Feed;
use super::Quit;
use super::Restored;
use super::ShardActor;
use crate::context::Context as Shared;
use crate::context::LOG_WAIT;
use crate::ledger::shard_name;
use crate::metrics::Counted;

const RETRY_PAUSE: Duration = Duration::from_millis(200);
const PAGE_RECORDS: u32 = 1_000;

/// Feeds the actor with its shard's stream, from the newest snapshot on.
pub(super) async fn read_stream(
    shared: Arc<Shared>,
    shard: ShardId,
    address: Address<ShardActor, Weak>,
) {
    let name = shard_name(shard);
    let mut next = loop {
        match begin(&shared, &name, &address).await {
            Ok(next) => break next,
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
        if !address.is_connected() {
            return;
        }
    };
    let mut wait = Duration::ZERO;
    loop {
        let page = match shared.log.read(&name, next, PAGE_RECORDS, wait).await {
            Ok(page) => page,
            Err(ReadError::Expired { .. }) => {
                // This reader fell behind the log's retention; the actor is
                // started afresh from a snapshot.
                shared.metrics.count(Counted::Log, "reader expired");
                let _ = address.send(Quit).await;
                return;
            }
            Err(_) => {
                shared.metrics.count(Counted::Log, "read failed");
                tokio::time::sleep(RETRY_PAUSE).await;
                if !address.is_connected() {
                    return;
                }
                continue;
            }
        };
        let mut inputs = Vec::with_capacity(page.records.len() + 1);
        for stored in &page.records {
            let bytes = stored.bytes().unwrap_or_default();
            let offset = stored.offset;
            next = offset + 1;
            // A record that is not ours is skipped by every reader alike.
            let record = record::decode(&bytes).unwrap_or_else(|_| Record::empty());
            inputs.push(Input::RecordRead { offset, record });
        }
        if next >= page.next {
            inputs.push(Input::CaughtUp);
            wait = LOG_WAIT;
        }
        if address.send(Feed(inputs)).await.is_err() {
            return;
        }
    }
}

/// Loads the newest snapshot and returns the offset to read from.
async fn begin(
    shared: &Shared,
    name: &str,
    address: &Address<ShardActor, Weak>,
) -> Result<Offset, ReadError> {
    let bounds = shared.log.bounds(name).await?;
    if bounds.next == bounds.first {
        return Ok(bounds.first);
    }
    match load_snapshot(shared, name, bounds.next - 1).await {
        Ok(Some(state)) => {
            let next = state.next_offset();
            let _ = address.send(Restored(state)).await;
            Ok(next)
        }
        Ok(None) => {
            if bounds.first > 0 {
                shared.metrics.count(Counted::Log, "records lost");
                slog::error!(shared.logger, "records expired without a snapshot"; "stream" => name);
            }
            Ok(bounds.first)
        }
        Err(err) => Err(err),
    }
}

async fn load_snapshot(
    shared: &Shared,
    name: &str,
    last: Offset,
) -> Result<Option<Shard>, ReadError> {
    let newest = read_record(shared, name, last).await?;
    let Some(offset) = newest.snapshot else {
        return Ok(None);
    };
    let record = read_record(shared, name, offset).await?;
    let parts = record.entries.into_iter().find_map(|entry| match entry {
        Entry::Snapshot { parts, .. } => Some(parts),
        _ => None,
    });
    let mut bytes = Vec::new();
    for part in parts.unwrap_or_default() {
        let blob = shared.blobs.read(part).await?;
        blob.parts.iter().for_each(|p| bytes.extend_from_slice(p));
    }
    let state = Shard::decode(&bytes).map_err(|_| ReadError::Undecodable)?;
    Ok(Some(state))
}

async fn read_record(shared: &Shared, name: &str, offset: Offset) -> Result<Record, ReadError> {
    let page = shared.log.read(name, offset, 1, Duration::ZERO).await?;
    let stored = page.records.first().ok_or(ReadError::Undecodable)?;
    record::decode(&stored.bytes()?).map_err(|_| ReadError::Undecodable)
}
