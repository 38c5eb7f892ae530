//! Selects the pending items of a shard that are assigned to hosts next.
//!
//! The queue is separate from the fold because its state is not persistent: after a takeover
//! it is rebuilt from the fold, and a wrong assignment can run an item twice but never
//! records two results. Tenants share capacity by stride scheduling. A single
//! first-in-first-out queue was rejected because one file of 230,000 items would delay all
//! later ones.

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

/// Virtual time charged per item to a tenant of weight one.
const STRIDE: u64 = 1 << 20;

/// Time within which a host must confirm that it received an item.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_secs(5);

type ItemKey = (JobId, ItemIndex);

/// An item that a host runs.
#[derive(Debug)]
struct Assignment {
    host: HostId,
    incarnation: Incarnation,
    assigned_at: Instant,
    is_confirmed: bool,
}

/// The progress of assigning a job's items in order.
#[derive(Debug)]
struct Cursor {
    job: JobId,
    next_item: ItemIndex,
}

/// The queue of one tenant for one serving.
#[derive(Debug, Default)]
struct TenantQueue {
    /// Virtual time of stride scheduling; the tenant with the lowest one is next.
    pass: u64,
    weight: u32,
    cursors: VecDeque<Cursor>,
    requeued: VecDeque<ItemKey>,
}

/// Pending items by serving and tenant, and the items assigned to hosts.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    servings: HashMap<String, BTreeMap<String, TenantQueue>>,
    assigned: HashMap<ItemKey, Assignment>,
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
        let tenant_queue = self.tenant_queue(job);
        let is_queued = tenant_queue.cursors.iter().any(|c| c.job == job.spec.id);
        if !is_queued {
            tenant_queue.cursors.push_back(Cursor {
                job: job.spec.id.clone(),
                next_item: 0,
            });
        }
    }

    /// Returns the servings that have queued items.
    pub(crate) fn servings(&self) -> Vec<String> {
        let is_nonempty = |tenants: &BTreeMap<String, TenantQueue>| {
            tenants
                .values()
                .any(|q| !q.cursors.is_empty() || !q.requeued.is_empty())
        };
        self.servings
            .iter()
            .filter(|(_, tenants)| is_nonempty(tenants))
            .map(|(serving, _)| serving.clone())
            .collect()
    }

    pub(crate) fn assigned_count(&self) -> usize {
        self.assigned.len()
    }

    /// Assigns up to `max` items of a serving to a host.
    pub(crate) fn assign(
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
            let assignment = Assignment {
                host: host.0.clone(),
                incarnation: host.1,
                assigned_at: now,
                is_confirmed: false,
            };
            self.assigned
                .insert((work.job.clone(), work.item), assignment);
            works.push(work);
        }
        works
    }

    /// Records that a host reported running an item, so that it is not assigned again.
    pub(crate) fn mark_running(
        &mut self,
        key: ItemKey,
        host: (&HostId, Incarnation),
        now: Instant,
    ) {
        let assignment = self.assigned.entry(key).or_insert_with(|| Assignment {
            host: host.0.clone(),
            incarnation: host.1,
            assigned_at: now,
            is_confirmed: true,
        });
        if assignment.host == *host.0 {
            assignment.is_confirmed = true;
        }
    }

    /// Ends the assignment of an item that has a final outcome.
    pub(crate) fn finish(&mut self, job: &str, item: ItemIndex) {
        self.assigned.remove(&(job.to_owned(), item));
    }

    /// Ends the assignment of an item and queues it again if it is still to be run.
    pub(crate) fn requeue(&mut self, jobs: &HashMap<JobId, Job>, key: ItemKey) {
        self.assigned.remove(&key);
        let Some(job) = jobs.get(&key.0) else {
            return;
        };
        if is_runnable(job, key.1) {
            self.tenant_queue(job).requeued.push_back(key);
        }
    }

    /// Requeues the items assigned to a host up to an incarnation.
    pub(crate) fn requeue_host(
        &mut self,
        jobs: &HashMap<JobId, Job>,
        host: &str,
        incarnation: Incarnation,
    ) {
        self.requeue_where(jobs, |assignment| {
            assignment.host == host && assignment.incarnation <= incarnation
        });
    }

    /// Requeues items that have been assigned for too long.
    pub(crate) fn requeue_expired(
        &mut self,
        jobs: &HashMap<JobId, Job>,
        timeout: Duration,
        now: Instant,
    ) {
        let limit = |assignment: &Assignment| {
            if assignment.is_confirmed {
                timeout
            } else {
                UNCONFIRMED_TIMEOUT
            }
        };
        self.requeue_where(jobs, |assignment| {
            now.duration_since(assignment.assigned_at) >= limit(assignment)
        });
    }

    fn requeue_where(&mut self, jobs: &HashMap<JobId, Job>, is_lost: impl Fn(&Assignment) -> bool) {
        let keys: Vec<ItemKey> = self
            .assigned
            .iter()
            .filter(|(_, assignment)| is_lost(assignment))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.requeue(jobs, key);
        }
    }

    fn tenant_queue(&mut self, job: &Job) -> &mut TenantQueue {
        let tenants = self
            .servings
            .entry(job.spec.manifest.serving.clone())
            .or_default();
        let min_pass = tenants.values().map(|q| q.pass).min().unwrap_or(0);
        let tenant_queue = tenants.entry(job.spec.tenant.clone()).or_default();
        if tenant_queue.cursors.is_empty() && tenant_queue.requeued.is_empty() {
            // A tenant gains no credit for the time during which it was idle.
            tenant_queue.pass = tenant_queue.pass.max(min_pass);
        }
        tenant_queue.weight = job.spec.weight.max(1);
        tenant_queue
    }

    fn next(&mut self, jobs: &HashMap<JobId, Job>, serving: &str) -> Option<Work> {
        let tenants = self.servings.get_mut(serving)?;
        loop {
            let tenant = tenants
                .iter()
                .min_by_key(|(_, tenant_queue)| tenant_queue.pass)
                .map(|(tenant, _)| tenant.clone())?;
            let tenant_queue = tenants.get_mut(&tenant)?;
            if let Some(work) = tenant_queue.next(jobs, &self.assigned) {
                tenant_queue.pass += STRIDE / u64::from(tenant_queue.weight);
                return Some(work);
            }
            tenants.remove(&tenant);
        }
    }
}

impl TenantQueue {
    fn next(
        &mut self,
        jobs: &HashMap<JobId, Job>,
        assigned: &HashMap<ItemKey, Assignment>,
    ) -> Option<Work> {
        while let Some((id, item)) = self.requeued.pop_front() {
            let job = jobs.get(&id).filter(|job| is_runnable(job, item));
            if let Some(work) = job.and_then(|job| work_of(job, item)) {
                return Some(work);
            }
        }
        while let Some(cursor) = self.cursors.front_mut() {
            let job = jobs.get(&cursor.job);
            if let Some(work) = job.and_then(|job| cursor.advance(job, assigned)) {
                return Some(work);
            }
            self.cursors.pop_front();
        }
        None
    }
}

impl Cursor {
    /// Returns the next item that is neither assigned nor finished.
    fn advance(&mut self, job: &Job, assigned: &HashMap<ItemKey, Assignment>) -> Option<Work> {
        while self.next_item < job.counts.total {
            let item = self.next_item;
            self.next_item += 1;
            let is_assigned = assigned.contains_key(&(self.job.clone(), item));
            if !is_assigned && is_runnable(job, item) {
                return work_of(job, item);
            }
        }
        None
    }
}

fn is_runnable(job: &Job, item: ItemIndex) -> bool {
    let is_pending = |i: &crate::job::Item| i.phase == Phase::Pending;
    job.state() == State::InProgress && job.items.get(item as usize).is_some_and(is_pending)
}

fn work_of(job: &Job, item: ItemIndex) -> Option<Work> {
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
