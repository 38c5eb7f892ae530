//! One host: the product's decisions, and what they are about.

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

/// The one service of a play.
pub(crate) const SERVICE: &str = "s";

/// An item that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Item {
    pub(crate) number: usize,
    pub(crate) due_ms: u64,
    pub(crate) size: Size,
    pub(crate) events: u64,
}

/// An item that runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) run: RunId,
    pub(crate) target: usize,
    pub(crate) item: Item,
    pub(crate) started_ms: u64,
    spare: Rank,
}

/// What a host tells others.
#[derive(Clone, Debug)]
pub(crate) struct Status {
    pub(crate) host: usize,
    pub(crate) loads: Vec<(TargetKey, Load)>,
    pub(crate) waiting: Vec<QueuedItems>,
}

/// A host.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) places: Balancer,
    pub(crate) queue: Queue<usize, Item>,
    pub(crate) line: PeerQueues,
    pub(crate) usual: Estimator,
    pub(crate) running: Vec<Running>,
    pub(crate) data_centre: String,
    /// When it may start the next item.
    pub(crate) free_at_ms: u64,
    pub(crate) frozen_until_ms: u64,
    pub(crate) told_far_at_ms: u64,
}

impl Host {
    /// Takes the next item if a target is found for it.
    pub(crate) fn next(
        &mut self,
        policy: Policy,
        now_ms: u64,
        now: Instant,
    ) -> Option<(Item, bool, String)> {
        let usual = &self.usual;
        if policy.puts_late_behind {
            self.queue.demote_late(|item| {
                let rest = usual.remaining(item.size, item.events).unwrap_or_default();
                now_ms + rest.as_millis() as u64 > item.due_ms
            });
        }
        let (next, _) = self.queue.peek()?;
        let ahead = match policy.takes_turns {
            true => self.line.ahead(next.sort_key_unix_ms()),
            false => Ahead::default(),
        };
        let want = Criteria {
            service: SERVICE,
            data_centre: &self.data_centre,
            affinity: 0,
            tried: &[],
            objective: None,
            ahead,
        };
        let target = self.places.choose_batch(&want, now)?;
        Some((self.queue.pop()?, next.is_late, target))
    }

    /// Notes that an item runs.
    pub(crate) fn begin(
        &mut self,
        run: RunId,
        target: usize,
        item: Item,
        is_late: bool,
        now_ms: u64,
    ) {
        let spare = Rank {
            is_late,
            due_unix_ms: item.due_ms,
            run,
        };
        self.running.push(Running {
            run,
            target,
            item,
            started_ms: now_ms,
            spare,
        });
    }

    /// Takes out the item at a target that can best be spared.
    pub(crate) fn take_spare(&mut self, target: usize) -> Option<Running> {
        let at_target = self.running.iter().enumerate();
        let at_target = at_target.filter(|(_, r)| r.target == target);
        let (place, _) = at_target.max_by_key(|(_, r)| r.spare)?;
        Some(self.running.swap_remove(place))
    }

    /// Puts an item back that made so many events more.
    pub(crate) fn put_back(&mut self, mut item: Item, made: f64) {
        item.events += made as u64;
        self.queue.push(item.due_ms, item.number, item);
    }

    /// Returns what it tells others.
    pub(crate) fn status(&self, host: usize) -> Status {
        Status {
            host,
            loads: self.places.own_loads().collect(),
            waiting: self.queue.summary(DUE_TIMES_MAX),
        }
    }

    /// Takes in what another host tells.
    pub(crate) fn hear(&mut self, status: &Status, now: Instant) {
        let name = name(status.host);
        self.places
            .set_peer_loads(&name, status.loads.iter().copied(), vec![], now);
        self.line.update(&name, status.waiting.clone(), now);
    }
}

/// Returns a host's name.
pub(crate) fn name(host: usize) -> String {
    format!("h{host}")
}
