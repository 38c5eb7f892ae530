//! What callers send: jobs and online requests.

use std::time::Duration;

use notchwharf_routing::balancer::Criteria;
use notchwharf_routing::balancer::SlotSource;
use notchwharf_routing::items::estimate::Size;
use notchwharf_routing::items::peer_queues::Ahead;
use rand::RngExt as _;

use super::Owner;
use super::Play;
use super::WAY_MS;
use crate::host;
use crate::host::Item;
use crate::outcome::ItemSeen;
use crate::outcome::OnlineSeen;

/// Spread of the logarithm of a job's items, and of an online answer's events.
const ITEMS_SPREAD: f64 = 0.4;
const ONLINE_SPREAD: f64 = 0.25;

impl Play<'_> {
    /// Lets those callers come that do in this millisecond.
    pub(super) fn callers_come(&mut self) {
        let load = self.load;
        let at_s = self.now_ms as f64 / 1e3;
        if self
            .rng
            .random_bool((load.online.rate(at_s) / 1e3).min(1.0))
        {
            let host = self.rng.random_range(0..self.hosts.len());
            self.ask(host);
        }
        if self.rng.random_bool((load.jobs.per_s / 1e3).min(1.0)) {
            let host = self.rng.random_range(0..self.hosts.len());
            self.submit(host);
        }
        for burst in &load.jobs.bursts {
            if (burst.at_s * 1e3) as u64 == self.now_ms {
                for _ in 0..burst.jobs {
                    self.submit(burst.host as usize);
                }
            }
        }
    }

    /// A job comes to a host.
    fn submit(&mut self, host: usize) {
        let jobs = &self.load.jobs;
        let items = (jobs.items * self.spread(ITEMS_SPREAD)).round().max(1.0) as usize;
        for _ in 0..items {
            let events = (jobs.events * self.spread(jobs.events_spread)).max(1.0);
            let hint = events * self.load.event_tokens * self.spread(jobs.hint_spread);
            let read_ms = jobs.prompt_tokens / self.load.prompt_tokens_per_ms;
            let number = self.events.len();
            let due_ms = self.now_ms + jobs.objective_ms;
            let item = Item {
                number,
                due_ms,
                size: Size {
                    output_tokens_hint: hint as u32,
                    ..Size::default()
                },
                events: 0,
            };
            self.events.push(events.ceil());
            self.out.items.push(ItemSeen {
                came_ms: self.now_ms,
                due_ms,
                done_ms: None,
                run_ms: (events.ceil() * self.load.event_ms + read_ms) as u64,
            });
            self.hosts[host].queue.push(due_ms, number, item);
        }
    }

    /// Returns a factor with the given spread of its logarithm.
    fn spread(&mut self, spread: f64) -> f64 {
        // The sum of twelve draws is as good as normal here.
        let sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        ((sum - 6.0) * spread).exp()
    }

    /// An online request comes to a host.
    fn ask(&mut self, host: usize) {
        let now = self.now();
        let seen = self.out.online.len();
        self.out.online.push(OnlineSeen {
            came_ms: self.now_ms,
            ..OnlineSeen::default()
        });
        let data_centre = self.hosts[host].data_centre.clone();
        let want = Criteria {
            service: host::SERVICE,
            data_centre: &data_centre,
            affinity: self.rng.random(),
            tried: &[],
            objective: Some(Duration::from_millis(self.load.online.objective_ms)),
            ahead: Ahead::default(),
        };
        let Ok(choice) = self.hosts[host].places.choose_online(&want, now) else {
            self.out.online[seen].is_refused = true;
            return;
        };
        let target = self.names[&choice.target];
        match choice.slot_source {
            SlotSource::PreemptOwn => self.cut(host, target),
            SlotSource::PreemptPeer(peer) => {
                let peer = peer[1..].parse().unwrap_or_default();
                self.cuts.push((self.now_ms + WAY_MS, peer, target));
            }
            SlotSource::Free | SlotSource::Queue => {}
        }
        self.hosts[host].places.begin_online(&choice.target, now);
        let online = &self.load.online;
        let events = (online.events * self.spread(ONLINE_SPREAD)).ceil().max(1.0);
        let read_ms = online.prompt_tokens / self.load.prompt_tokens_per_ms;
        self.run(target, Owner::Online { seen, host }, read_ms, events);
    }
}
