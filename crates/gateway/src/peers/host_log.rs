//! Change log of the host list, sent to peers from the offset they request.

use std::collections::HashMap;

use bytes::Bytes;
use notchwharf_proto::records::Hosts;
use notchwharf_routing::balancer::HostId;
use notchwharf_spread::changes::Changes;

use crate::ports::StoredRecord;

/// Number of retained changes of the list. A peer that is further behind is sent all
/// entries.
const CHANGES_RETAINED: usize = 2_048;

/// The host list and its recent changes, as sent to peers.
#[derive(Debug)]
pub(super) struct HostLog {
    entries: HashMap<HostId, (u64, Bytes)>,
    pub(super) changes: Changes<HostId>,
    pub(super) end: u64,
}

impl Default for HostLog {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            changes: Changes::new(CHANGES_RETAINED),
            end: 0,
        }
    }
}

impl HostLog {
    pub(super) fn apply(&mut self, record: &StoredRecord) {
        let host = &record.entry.key;
        let newest = self.entries.get(host).map(|(offset, _)| *offset);
        if newest.is_some_and(|newest| newest >= record.offset) {
            return;
        }
        match &record.entry.value {
            Some(value) => {
                let entry = (record.offset, value.clone());
                self.entries.insert(host.clone(), entry);
            }
            None => {
                self.entries.remove(host);
            }
        }
        self.changes.push(record.offset, host.clone());
    }

    pub(super) fn since(&self, from: u64) -> Hosts {
        let entry = |host: &HostId, at: u64| {
            let value = self.entries.get(host).map(|(_, value)| value.to_vec());
            (host.clone(), at, value)
        };
        let changes = self.changes.since(from);
        let is_complete = changes.is_none();
        let changes: Vec<_> = match changes {
            Some(changes) => changes
                .into_iter()
                .map(|(at, host)| entry(host, at))
                .collect(),
            None => {
                let all = self.entries.iter();
                all.map(|(host, (at, _))| entry(host, *at)).collect()
            }
        };
        Hosts {
            from: if is_complete { 0 } else { from },
            to: self.end.max(from),
            is_complete,
            changes,
        }
    }
}
