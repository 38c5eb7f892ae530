//! Arrivals of jobs and online requests.

use std::time::Duration;

use notchwharf_routing::balancer::Criteria;
use notchwharf_routing::balancer::SlotSource;
use notchwharf_routing::items::estimate::Size;
use notchwharf_routing::items::peer_queues::Ahead;
use rand::RngExt as _;

use super::MESSAGE_DELAY_MS;
use super::Owner;
use super::Simulation;
use crate::host;
use crate::host::Item;
use crate::outcome::ItemOutcome;
use crate::outcome::OnlineOutcome;

/// Standard deviation of the logarithm of the items per job.
const JOB_ITEMS_STD_DEV: f64 = 0.4;
/// Standard deviation of the logarithm of the events per online response.
const ONLINE_EVENTS_STD_DEV: f64 = 0.25;

impl Simulation<'_> {
    /// Generates the arrivals of the current millisecond.
    pub(super) fn generate_arrivals(&mut self) {
        let load = self.load;
        let at_s = self.now_ms as f64 / 1e3;
        if self
            .rng
            .random_bool((load.online.rate(at_s) / 1e3).min(1.0))
        {
            let host = self.rng.random_range(0..self.hosts.len());
            self.submit_online(host);
        }
        if self.rng.random_bool((load.jobs.per_s / 1e3).min(1.0)) {
            let host = self.rng.random_range(0..self.hosts.len());
            self.submit_job(host);
        }
        for burst in &load.jobs.bursts {
            if (burst.at_s * 1e3) as u64 == self.now_ms {
                for _ in 0..burst.jobs {
                    self.submit_job(burst.host as usize);
                }
            }
        }
    }

    /// Submits a job to a host.
    fn submit_job(&mut self, host: usize) {
        let jobs = &self.load.jobs;
        let items = (jobs.items * self.log_normal_factor(JOB_ITEMS_STD_DEV))
            .round()
            .max(1.0) as usize;
        for _ in 0..items {
            let events = (jobs.events * self.log_normal_factor(jobs.events_spread)).max(1.0);
            let hint = events * self.load.event_tokens * self.log_normal_factor(jobs.hint_spread);
            let prefill_ms = jobs.prompt_tokens / self.load.prompt_tokens_per_ms;
            let index = self.item_events.len();
            let due_ms = self.now_ms + jobs.objective_ms;
            let item = Item {
                index,
                due_ms,
                size: Size {
                    output_tokens_hint: hint as u32,
                    ..Size::default()
                },
                events_done: 0,
            };
            self.item_events.push(events.ceil());
            self.outcome.items.push(ItemOutcome {
                arrived_ms: self.now_ms,
                due_ms,
                completed_ms: None,
                run_ms: (events.ceil() * self.load.event_ms + prefill_ms) as u64,
            });
            self.hosts[host].queue.push(due_ms, index, item);
        }
    }

    /// Draws a factor whose logarithm has mean 0 and the given standard deviation.
    fn log_normal_factor(&mut self, std_dev: f64) -> f64 {
        // The sum of twelve uniform draws approximates a normal distribution with
        // variance 1 closely enough here.
        let sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        ((sum - 6.0) * std_dev).exp()
    }

    /// Submits an online request to a host.
    fn submit_online(&mut self, host: usize) {
        let now = self.now();
        let index = self.outcome.online.len();
        self.outcome.online.push(OnlineOutcome {
            arrived_ms: self.now_ms,
            ..OnlineOutcome::default()
        });
        let data_centre = self.hosts[host].data_centre.clone();
        let criteria = Criteria {
            service: host::SERVICE,
            data_centre: &data_centre,
            affinity: self.rng.random(),
            tried: &[],
            objective: Some(Duration::from_millis(self.load.online.objective_ms)),
            ahead: Ahead::default(),
            version: None,
        };
        let Ok(choice) = self.hosts[host].balancer.choose_online(&criteria, now) else {
            self.outcome.online[index].is_rejected = true;
            return;
        };
        let target = self.target_by_name[&choice.target];
        match choice.slot_source {
            SlotSource::PreemptOwn => self.preempt(host, target),
            SlotSource::PreemptPeer(peer) => {
                let peer = peer[1..].parse().unwrap_or_default();
                self.preemptions
                    .push((self.now_ms + MESSAGE_DELAY_MS, peer, target));
            }
            SlotSource::Free | SlotSource::Queue => {}
        }
        self.hosts[host].balancer.begin_online(&choice.target, now);
        let online = &self.load.online;
        let events = (online.events * self.log_normal_factor(ONLINE_EVENTS_STD_DEV))
            .ceil()
            .max(1.0);
        let prefill_ms = online.prompt_tokens / self.load.prompt_tokens_per_ms;
        self.start_run(target, Owner::Online { index, host }, prefill_ms, events);
    }
}
