//! Evacuated data centres, whose targets receive no new requests.

use std::collections::BTreeSet;
use std::sync::Arc;

use notchwharf_config::DataCentreId;
use notchwharf_config::evacuation::Evacuated;
use notchwharf_config::evacuation::Record;
use notchwharf_proto::records;

use super::Catalog;
use super::State;
use crate::context::Context;
use crate::metrics::Counted;
use crate::ports::StoredRecord;
use crate::sync::lock;

impl State {
    /// Returns the offset that follows the newest operator record.
    pub(super) fn config_version(&self) -> u64 {
        let config = self.config.as_ref().map_or(0, |c| c.offset + 1);
        config.max(self.evacuated.version)
    }
}

/// Applies the evacuation records of the configuration topic. `listing_end` is the end offset
/// of a complete listing, which replaces the known state, or `None` for incremental records.
pub(super) fn apply_records(ctx: &Context, listing_end: Option<u64>, records: &[StoredRecord]) {
    let records = records.iter().filter_map(|record| {
        let data_centre = (ctx.decode.evacuation)(&record.entry.key)?;
        Some(Record {
            data_centre: data_centre.to_owned(),
            offset: record.offset,
            is_evacuated: record.entry.value.is_some(),
        })
    });
    let records: Vec<Record> = records.collect();
    update(ctx, "store", |evacuated| {
        evacuated.apply(listing_end, &records)
    });
}

/// Applies the evacuated data centres received from a peer if their version is newer.
pub(crate) fn apply_from_peer(ctx: &Arc<Context>, received: records::Evacuated) {
    let received = Evacuated {
        version: received.version,
        data_centres: received.data_centres.into_iter().collect(),
    };
    update(ctx, "peer", |evacuated| evacuated.replace(received));
}

/// Updates the evacuated data centres and notifies their users if `change` returns `true`.
fn update(ctx: &Context, source: &'static str, change: impl FnOnce(&mut Evacuated) -> bool) {
    let Some((previous, current)) = ctx.catalog.update_evacuated(change) else {
        return;
    };
    let version = current.version;
    for data_centre in current.data_centres.difference(&previous) {
        slog::warn!(ctx.logger, "data centre evacuation started"; "data_centre" => data_centre,
            "version" => version, "source" => source);
    }
    for data_centre in previous.difference(&current.data_centres) {
        slog::info!(ctx.logger, "data centre evacuation ended"; "data_centre" => data_centre,
            "version" => version, "source" => source);
    }
    ctx.metrics.count(Counted::Changes, "evacuation");
    ctx.metrics
        .set("data_centres_evacuated", current.data_centres.len());
    ctx.items.wake();
    ctx.peers.notify();
}

impl Catalog {
    /// Updates the evacuated data centres. Returns the previous ones and the new state if
    /// `change` returns `true`.
    fn update_evacuated(
        &self,
        change: impl FnOnce(&mut Evacuated) -> bool,
    ) -> Option<(BTreeSet<DataCentreId>, Evacuated)> {
        let mut state = lock(&self.state);
        let previous = state.evacuated.data_centres.clone();
        if !change(&mut state.evacuated) {
            return None;
        }
        let current = state.evacuated.clone();
        let data_centres = current.data_centres.iter().cloned();
        lock(&self.deps.balancer).set_evacuated(data_centres.collect());
        Some((previous, current))
    }
}
