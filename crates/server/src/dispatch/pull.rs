//! Requests for batch items to the hosts that own them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use notchwharf_ledger::owner::Command;
use notchwharf_proto::peer::AssignedItem;
use notchwharf_proto::peer::ItemRequest;
use notchwharf_proto::peer::PeerClient as _;

use crate::context::Context as Shared;

const PEER_TIMEOUT: Duration = Duration::from_secs(4);

/// Requests items from a host and confirms those received.
pub(super) async fn request_items(
    shared: &Arc<Shared>,
    host: &str,
    serving: &str,
    max: u32,
) -> Vec<AssignedItem> {
    let request = ItemRequest {
        serving: serving.to_owned(),
        max,
        host: shared.host().clone(),
        incarnation: shared.incarnation,
    };
    let assigned = if host == shared.host() {
        crate::peers::assign_items(shared, &request).await
    } else {
        let url = shared.view().peer_url(host);
        let client = url.and_then(|url| shared.peer_client(&url, PEER_TIMEOUT));
        match client {
            Some(client) => client.take(request).await.unwrap_or_default(),
            None => Vec::new(),
        }
    };
    confirm(shared, &assigned).await;
    assigned
}

/// Confirms to the owners of items that this host runs them.
pub(super) async fn confirm(shared: &Arc<Shared>, assigned: &[AssignedItem]) {
    let mut by_shard: HashMap<u32, Vec<_>> = HashMap::new();
    for item in assigned {
        let key = (item.work.job.clone(), item.work.item);
        by_shard.entry(item.shard).or_default().push(key);
    }
    for (shard, items) in by_shard {
        let running = Command::Running {
            items,
            host: shared.host().clone(),
            incarnation: shared.incarnation,
        };
        // Unconfirmed items are assigned again. They may then run twice, but only one
        // result is recorded.
        let _ = crate::ledger::execute(shared, shard, running).await;
    }
}
