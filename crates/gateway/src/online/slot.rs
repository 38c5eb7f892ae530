//! Choice of a target slot for a request: from its host's wait queue, or directly from the
//! balancer.

use std::time::Instant;

use notchwharf_routing::balancer::Choice;
use notchwharf_routing::balancer::Criteria;
use notchwharf_routing::balancer::Refusal;
use notchwharf_routing::balancer::SlotSource;
use notchwharf_routing::balancer::key_of;
use notchwharf_routing::items::peer_queues::Ahead;

use super::dispatch::AllowedVersions;
use super::dispatch::Dispatch;
use super::dispatch::MIN_TIME_LEFT;
use crate::cpu_time;
use crate::cpu_time::Activity;
use crate::error::Failure;
use crate::origins;
use crate::sync::lock;
use crate::target::Class;
use crate::target::Running;
use crate::waiting::SchedulingParams;
use crate::waiting::SlotError;
use crate::waiting::SlotRequest;

impl Dispatch {
    /// Reserves a slot for the request: through the wait queue if requests wait at hosts and
    /// this one may still be refused. A request that may have run bypasses the queue.
    pub(super) async fn reserve_slot(&mut self, offers: u32) -> Result<(Choice, Running), Failure> {
        let now = Instant::now();
        if self.deadline.saturating_duration_since(now) < MIN_TIME_LEFT {
            return Err(self.final_failure("no time left"));
        }
        if let (Some(scheduling), Some(left)) = (self.scheduling, self.objective()) {
            let slot_request = self.slot_request(scheduling, now + left);
            match self.ctx.request_queue.acquire_slot(slot_request).await {
                Ok(slot) => {
                    let choice = slot.choice.clone();
                    let workspace = self.request.workspace.as_deref();
                    let running = Running::in_slot(&self.ctx, slot, workspace, scheduling.weight);
                    return Ok((choice, running));
                }
                Err(SlotError::NoSlotInTime { retry_after }) => {
                    return Err(Failure::NotRun {
                        retry_after,
                        reason: "no room in time",
                    });
                }
                // The direct choice below determines the failure.
                Err(SlotError::NoTarget) => {}
            }
        }
        let choice = self.choose(offers, Instant::now())?;
        let running = Running::start(&self.ctx, &choice.target, Class::Online);
        Ok((choice, running))
    }

    /// Returns the request as it is passed to the wait queue.
    fn slot_request(&self, scheduling: SchedulingParams, first_event_due: Instant) -> SlotRequest {
        SlotRequest {
            id: self.request.id.clone(),
            service: self.service.clone(),
            affinity: self.affinity,
            tried: self.tried.clone(),
            workspace: self.request.workspace.clone(),
            scheduling,
            waiting_since: self.trace.arrived(),
            first_event_due,
        }
    }

    /// Chooses a target directly from the balancer.
    fn choose(&mut self, offers: u32, now: Instant) -> Result<Choice, Failure> {
        let criteria = Criteria {
            service: &self.service,
            data_centre: &self.ctx.settings.host.data_centre,
            affinity: self.affinity,
            tried: &self.tried,
            objective: self.objective(),
            ahead: Ahead::default(),
            version: match &self.allowed_versions {
                AllowedVersions::Any => None,
                AllowedVersions::Only(version) => Some(version),
                AllowedVersions::Unknown => return Err(self.final_failure("unknown version")),
            },
        };
        let chosen = cpu_time::measure(&self.ctx.metrics, Activity::SelectTarget, || {
            lock(&self.ctx.balancer).choose_online(&criteria, now)
        });
        match chosen {
            Ok(choice) => Ok(choice),
            Err(Refusal::NoTarget { .. }) if self.is_resumption && self.runs == 0 => {
                Err(origins::not_resumable("no target of its version is left"))
            }
            Err(refusal) if offers == 0 && self.runs == 0 => Err(refusal_failure(refusal)),
            Err(_) => Err(self.final_failure("no other target")),
        }
    }

    /// Preempts the batch item whose slot the request takes, if there is one.
    pub(super) fn preempt(&mut self, choice: &Choice) {
        self.trace.record_choice(choice);
        match &choice.slot_source {
            SlotSource::PreemptOwn => {
                self.ctx.items.preempt_one(&choice.target);
            }
            SlotSource::PreemptPeer(host) => self
                .ctx
                .peers
                .request_preemption(host, key_of(&choice.target)),
            SlotSource::Free | SlotSource::Queue => {}
        }
    }
}

/// Returns the failure for a request that the balancer refuses.
fn refusal_failure(refusal: Refusal) -> Failure {
    let (retry_after, reason) = match refusal {
        Refusal::NoTarget { retry_after } => (retry_after, "no target"),
        Refusal::Full { retry_after } => (retry_after, "all targets full"),
    };
    Failure::NotRun {
        retry_after,
        reason,
    }
}
