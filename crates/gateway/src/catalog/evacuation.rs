//! Evacuated data centres, whose targets receive no new requests.

use std::collections::BTreeSet;
use std::sync::Arc;

use notchwharf_config::DataCentreId;
use notchwharf_proto::records;

use super::Catalog;
use super::Known;
use crate::context::Context;
use crate::metrics::Counted;
use crate::ports::StoredRecord;
use crate::sync::lock;

/// The evacuated data centres.
#[derive(Debug, Default)]
pub(super) struct Evacuated {
    /// The offset that follows the record of the last change.
    pub(super) version: u64,
    pub(super) data_centres: BTreeSet<DataCentreId>,
}

impl Known {
    /// Returns the offset that follows the newest operator record.
    pub(super) fn config_version(&self) -> u64 {
        let config = self.config.as_ref().map_or(0, |c| c.offset + 1);
        config.max(self.evacuated.version)
    }
}

/// Applies the evacuation records of the configuration topic. `listing_end` is the end offset
/// of a complete listing, which replaces the known state, or `None` for incremental records.
pub(super) fn apply_records(ctx: &Context, listing_end: Option<u64>, records: &[StoredRecord]) {
    let (previous, mut version) = ctx.catalog.evacuated();
    let mut current = match listing_end {
        Some(_) => BTreeSet::new(),
        None => previous.clone(),
    };
    for record in records {
        let Some(data_centre) = (ctx.decode.evacuation)(&record.entry.key) else {
            continue;
        };
        match record.entry.value {
            Some(_) => current.insert(data_centre.to_owned()),
            None => current.remove(data_centre),
        };
        version = version.max(record.offset + 1);
    }
    if current != previous {
        // A listing does not include the offsets of deleted records.
        version = version.max(listing_end.unwrap_or_default());
    }
    set(ctx, version, current, "store");
}

/// Applies the evacuated data centres received from a peer if their version is newer.
pub(crate) fn take_from_peer(ctx: &Arc<Context>, received: records::Evacuated) {
    let (_, version) = ctx.catalog.evacuated();
    if received.version > version {
        let data_centres = received.data_centres.into_iter().collect();
        set(ctx, received.version, data_centres, "peer");
    }
}

fn set(ctx: &Context, version: u64, current: BTreeSet<DataCentreId>, source: &'static str) {
    let Some(previous) = ctx.catalog.set_evacuated(version, &current) else {
        return;
    };
    for data_centre in current.difference(&previous) {
        slog::warn!(ctx.logger, "data centre evacuation started"; "data_centre" => data_centre,
            "version" => version, "source" => source);
    }
    for data_centre in previous.difference(&current) {
        slog::info!(ctx.logger, "data centre evacuation ended"; "data_centre" => data_centre,
            "version" => version, "source" => source);
    }
    ctx.metrics.count(Counted::Changes, "evacuation");
    ctx.metrics.set("data_centres_evacuated", current.len());
    ctx.items.wake();
    ctx.peers.notify();
}

impl Catalog {
    fn evacuated(&self) -> (BTreeSet<DataCentreId>, u64) {
        let known = lock(&self.known);
        (
            known.evacuated.data_centres.clone(),
            known.evacuated.version,
        )
    }

    /// Replaces the evacuated data centres unless `version` is outdated. Returns the previous
    /// ones if they differ.
    fn set_evacuated(
        &self,
        version: u64,
        current: &BTreeSet<DataCentreId>,
    ) -> Option<BTreeSet<DataCentreId>> {
        let mut known = lock(&self.known);
        if known.evacuated.version > version {
            return None;
        }
        known.evacuated.version = version;
        if known.evacuated.data_centres == *current {
            return None;
        }
        lock(&self.deps.balancer).set_evacuated(current.iter().cloned().collect());
        let previous = std::mem::replace(&mut known.evacuated.data_centres, current.clone());
        Some(previous)
    }
}
