//! A simulated host: the routing decisions of production and their state.

use std::time::Instant;

use notchwharf_routing::balancer::Balancer;
use notchwharf_routing::balancer::Criteria;
use notchwharf_routing::balancer::Load;
use notchwharf_routing::balancer::TargetKey;
use notchwharf_routing::items::estimate::Estimator;
use notchwharf_routing::items::estimate::Size;
use notchwharf_routing::items::peer_queues::Ahead;
use notchwharf_routing::items::peer_queues::DUE_TIMES_MAX;
use notchwharf_routing::items::peer_queues::PeerQueues;
use notchwharf_routing::items::peer_queues::QueuedItems;
use notchwharf_routing::items::preemption::Rank;
use notchwharf_routing::items::queue::Queue;

use crate::policy::Policy;
use crate::target::RunId;

/// The name of the only service in a simulation.
pub(crate) const SERVICE: &str = "s";

/// A queued item.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Item {
    pub(crate) index: usize,
    pub(crate) due_ms: u64,
    pub(crate) size: Size,
    pub(crate) events_done: u64,
}

/// A running item.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) run: RunId,
    pub(crate) target: usize,
    pub(crate) item: Item,
    pub(crate) started_ms: u64,
    rank: Rank,
}

/// The status that a host sends to its peers.
#[derive(Clone, Debug)]
pub(crate) struct Status {
    pub(crate) host: usize,
    pub(crate) loads: Vec<(TargetKey, Load)>,
    pub(crate) waiting: Vec<QueuedItems>,
}

/// The state of a host.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) balancer: Balancer,
    pub(crate) queue: Queue<usize, Item>,
    pub(crate) peer_queues: PeerQueues,
    pub(crate) estimator: Estimator,
    pub(crate) running: Vec<Running>,
    pub(crate) data_centre: String,
    /// The earliest time to start the next item.
    pub(crate) next_start_ms: u64,
    pub(crate) frozen_until_ms: u64,
    pub(crate) remote_update_sent_ms: u64,
}

impl Host {
    /// Takes the next item off the queue if a target is available for it; returns
    /// the item, whether it is late, and the target.
    pub(crate) fn dequeue(
        &mut self,
        policy: Policy,
        now_ms: u64,
        now: Instant,
    ) -> Option<(Item, bool, String)> {
        let estimator = &self.estimator;
        if policy.demotes_late {
            self.queue.demote_late(|item| {
                let remaining = estimator
                    .remaining(item.size, item.events_done)
                    .unwrap_or_default();
                now_ms + remaining.as_millis() as u64 > item.due_ms
            });
        }
        let (next, _) = self.queue.peek()?;
        let ahead = match policy.uses_peer_queues {
            true => self.peer_queues.ahead(next.sort_key_unix_ms()),
            false => Ahead::default(),
        };
        let criteria = Criteria {
            service: SERVICE,
            data_centre: &self.data_centre,
            affinity: 0,
            tried: &[],
            objective: None,
            ahead,
            version: None,
        };
        let target = self.balancer.choose_batch(&criteria, now)?;
        Some((self.queue.pop()?, next.is_late, target))
    }

    /// Records that an item was started.
    pub(crate) fn record_start(
        &mut self,
        run: RunId,
        target: usize,
        item: Item,
        is_late: bool,
        now_ms: u64,
    ) {
        let rank = Rank {
            is_late,
            due_unix_ms: item.due_ms,
            run,
        };
        self.running.push(Running {
            run,
            target,
            item,
            started_ms: now_ms,
            rank,
        });
    }

    /// Removes and returns the running item at a target that is to be preempted
    /// first: the one with the greatest rank.
    pub(crate) fn take_preemptible(&mut self, target: usize) -> Option<Running> {
        let at_target = self.running.iter().enumerate();
        let at_target = at_target.filter(|(_, r)| r.target == target);
        let (index, _) = at_target.max_by_key(|(_, r)| r.rank)?;
        Some(self.running.swap_remove(index))
    }

    /// Queues a preempted item again, with the events that its run generated.
    pub(crate) fn requeue(&mut self, mut item: Item, generated: f64) {
        item.events_done += generated as u64;
        self.queue.push(item.due_ms, item.index, item);
    }

    /// Returns the status to send to peers.
    pub(crate) fn status(&self, host: usize) -> Status {
        Status {
            host,
            loads: self.balancer.own_loads().collect(),
            waiting: self.queue.summary(DUE_TIMES_MAX),
        }
    }

    /// Applies the status received from a peer.
    pub(crate) fn apply_status(&mut self, status: &Status, now: Instant) {
        let name = name(status.host);
        self.balancer
            .set_peer_loads(&name, status.loads.iter().copied(), vec![], now);
        self.peer_queues.update(&name, status.waiting.clone(), now);
    }
}

/// Returns a host's name.
pub(crate) fn name(host: usize) -> String {
    format!("h{host}")
}
