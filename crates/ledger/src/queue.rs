//! Which pending item of a shard goes out next.
//!
//! This exists apart from the fold because nothing in it lasts: after a
//! takeover it is built again from the fold, and a wrong guess here costs a
//! second run, never a second result. Tenants share by stride scheduling. A
//! single first-come queue was rejected, since one lot of 230,000 items would
//! then hold every later one back.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::job::Job;
use crate::job::Phase;
use crate::job::State;
use crate::owner::Work;
use crate::record::HostId;
use crate::record::Incarnation;
use crate::record::ItemIndex;
use crate::record::JobId;

/// Virtual time that an item costs a tenant of weight one.
const STRIDE: u64 = 1 << 20;

/// Time a host has to confirm that it received an item.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_secs(5);

type ItemKey = (JobId, ItemIndex);

#[derive(Debug)]
struct Out {
    host: HostId,
    incarnation: Incarnation,
    since: Instant,
    confirmed: bool,
}

#[derive(Debug)]
struct Cursor {
    job: JobId,
    next: ItemIndex,
}

#[derive(Debug, Default)]
struct Lane {
    pass: u64,
    weight: u32,
    cursors: VecDeque<Cursor>,
    returned: VecDeque<ItemKey>,
}

/// Pending items by serving and tenant, and items that hosts run.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    servings: HashMap<String, BTreeMap<String, Lane>>,
    out: HashMap<ItemKey, Out>,
}

impl Queue {
    pub(crate) fn rebuild(jobs: &HashMap<JobId, Job>) -> Self {
        let mut queue = Self::default();
        let mut open: Vec<&Job> = jobs
            .values()
            .filter(|j| j.state() == State::InProgress)
            .collect();
        open.sort_by_key(|j| (j.spec.created_unix_ms, j.spec.id.clone()));
        for job in open {
            queue.add(job);
        }
        queue
    }

    pub(crate) fn add(&mut self, job: &Job) {
        let lane = self.lane(job);
        let known = lane.cursors.iter().any(|c| c.job == job.spec.id);
        if !known {
            lane.cursors.push_back(Cursor {
                job: job.spec.id.clone(),
                next: 0,
            });
        }
    }

    /// Returns the servings that have items to hand out.
    pub(crate) fn servings(&self) -> Vec<String> {
        let busy = |lanes: &BTreeMap<String, Lane>| {
            lanes
                .values()
                .any(|l| !l.cursors.is_empty() || !l.returned.is_empty())
        };
        self.servings
            .iter()
            .filter(|(_, lanes)| busy(lanes))
            .map(|(serving, _)| serving.clone())
            .collect()
    }

    pub(crate) fn out_len(&self) -> usize {
        self.out.len()
    }

    pub(crate) fn take(
        &mut self,
        jobs: &HashMap<JobId, Job>,
        serving: &str,
        max: usize,
        host: (&HostId, Incarnation),
        now: Instant,
    ) -> Vec<Work> {
        let mut works = Vec::new();
        while works.len() < max {
            let Some(work) = self.next(jobs, serving) else {
                break;
            };
            let out = Out {
                host: host.0.clone(),
                incarnation: host.1,
                since: now,
                confirmed: false,
            };
            self.out.insert((work.job.clone(), work.item), out);
            works.push(work);
        }
        works
    }

    /// Notes that a host says it runs an item, so that it is not handed out.
    pub(crate) fn mark_running(
        &mut self,
        key: ItemKey,
        host: (&HostId, Incarnation),
        now: Instant,
    ) {
        let out = self.out.entry(key).or_insert_with(|| Out {
            host: host.0.clone(),
            incarnation: host.1,
            since: now,
            confirmed: true,
        });
        if out.host == *host.0 {
            out.confirmed = true;
        }
    }

    pub(crate) fn settle(&mut self, job: &str, item: ItemIndex) {
        self.out.remove(&(job.to_owned(), item));
    }

    pub(crate) fn give_back(&mut self, jobs: &HashMap<JobId, Job>, key: ItemKey) {
        self.out.remove(&key);
        let Some(job) = jobs.get(&key.0) else {
            return;
        };
        if is_open(job, key.1) {
            self.lane(job).returned.push_back(key);
        }
    }

    pub(crate) fn host_gone(
        &mut self,
        jobs: &HashMap<JobId, Job>,
        host: &str,
        incarnation: Incarnation,
    ) {
        self.give_back_where(jobs, |out| {
            out.host == host && out.incarnation <= incarnation
        });
    }

    pub(crate) fn expire(&mut self, jobs: &HashMap<JobId, Job>, timeout: Duration, now: Instant) {
        let limit = |out: &Out| {
            if out.confirmed {
                timeout
            } else {
                UNCONFIRMED_TIMEOUT
            }
        };
        self.give_back_where(jobs, |out| now.duration_since(out.since) >= limit(out));
    }

    fn give_back_where(&mut self, jobs: &HashMap<JobId, Job>, lost: impl Fn(&Out) -> bool) {
        let keys: Vec<ItemKey> = self
            .out
            .iter()
            .filter(|(_, out)| lost(out))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.give_back(jobs, key);
        }
    }

    fn lane(&mut self, job: &Job) -> &mut Lane {
        let lanes = self
            .servings
            .entry(job.spec.manifest.serving.clone())
            .or_default();
        let floor = lanes.values().map(|l| l.pass).min().unwrap_or(0);
        let lane = lanes.entry(job.spec.tenant.clone()).or_default();
        if lane.cursors.is_empty() && lane.returned.is_empty() {
            // A tenant that was idle must not catch up on the time it missed.
            lane.pass = lane.pass.max(floor);
        }
        lane.weight = job.spec.weight.max(1);
        lane
    }

    fn next(&mut self, jobs: &HashMap<JobId, Job>, serving: &str) -> Option<Work> {
        let lanes = self.servings.get_mut(serving)?;
        loop {
            let tenant = lanes
                .iter()
                .min_by_key(|(_, lane)| lane.pass)
                .map(|(tenant, _)| tenant.clone())?;
            let lane = lanes.get_mut(&tenant)?;
            if let Some(work) = lane.next(jobs, &self.out) {
                lane.pass += STRIDE / u64::from(lane.weight);
                return Some(work);
            }
            lanes.remove(&tenant);
        }
    }
}

impl Lane {
    fn next(&mut self, jobs: &HashMap<JobId, Job>, out: &HashMap<ItemKey, Out>) -> Option<Work> {
        while let Some((id, item)) = self.returned.pop_front() {
            let job = jobs.get(&id).filter(|job| is_open(job, item));
            if let Some(work) = job.and_then(|job| work(job, item)) {
                return Some(work);
            }
        }
        while let Some(cursor) = self.cursors.front_mut() {
            let job = jobs.get(&cursor.job);
            if let Some(work) = job.and_then(|job| cursor.advance(job, out)) {
                return Some(work);
            }
            self.cursors.pop_front();
        }
        None
    }
}

impl Cursor {
    fn advance(&mut self, job: &Job, out: &HashMap<ItemKey, Out>) -> Option<Work> {
        while self.next < job.counts.total {
            let item = self.next;
            self.next += 1;
            let running = out.contains_key(&(self.job.clone(), item));
            if !running && is_open(job, item) {
                return work(job, item);
            }
        }
        None
    }
}

fn is_open(job: &Job, item: ItemIndex) -> bool {
    let pending = |i: &crate::job::Item| i.phase == Phase::Pending;
    job.state() == State::InProgress && job.items.get(item as usize).is_some_and(pending)
}

fn work(job: &Job, item: ItemIndex) -> Option<Work> {
    let place = job.spec.manifest.place(item)?;
    let attempts = job.items.get(item as usize)?.attempts;
    Some(Work {
        job: job.spec.id.clone(),
        item,
        tenant: job.spec.tenant.clone(),
        place,
        attempts,
    })
}
