//! Items from the hosts that have them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use notchwharf_ledger::owner::Command;
use notchwharf_proto::peer::AssignedItem;
use notchwharf_proto::peer::ItemRequest;
use notchwharf_proto::peer::PeerClient as _;

use crate::context::Context as Shared;

const PEER_TIMEOUT: Duration = Duration::from_secs(4);

/// Asks a host for items and confirms those that came.
pub(super) async fn take(
    shared: &Arc<Shared>,
    host: &str,
    serving: &str,
    max: u32,
) -> Vec<AssignedItem> {
    let asked = ItemRequest {
        serving: serving.to_owned(),
        max,
        host: shared.host().clone(),
        incarnation: shared.incarnation,
    };
    let handed = if host == shared.host() {
        crate::peers::take_here(shared, &asked).await
    } else {
        let url = shared.view().peer_url(host);
        let client = url.and_then(|url| shared.peer_client(&url, PEER_TIMEOUT));
        match client {
            Some(client) => client.take(asked).await.unwrap_or_default(),
            None => Vec::new(),
        }
    };
    confirm(shared, &handed).await;
    handed
}

pub(super) async fn confirm(shared: &Arc<Shared>, handed: &[AssignedItem]) {
    let mut by_shard: HashMap<u32, Vec<_>> = HashMap::new();
    for one in handed {
        let key = (one.work.job.clone(), one.work.item);
        by_shard.entry(one.shard).or_default().push(key);
    }
    for (shard, items) in by_shard {
        let running = Command::Running {
            items,
            host: shared.host().clone(),
            incarnation: shared.incarnation,
        };
        // Unconfirmed, they are handed out again: a second run, no second
        // result.
        let _ = crate::ledger::ask(shared, shard, running).await;
    }
}
