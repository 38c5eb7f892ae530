//! The place of a request at a target: in the line of its host, or by what is known of
//! targets alone.

use std::time::Instant;

use notchwharf_routing::balancer::Choice;
use notchwharf_routing::balancer::Criteria;
use notchwharf_routing::balancer::Refusal;
use notchwharf_routing::balancer::SlotSource;
use notchwharf_routing::balancer::key_of;
use notchwharf_routing::items::peer_queues::Ahead;

use super::sending::LEFT_MIN;
use super::sending::Sending;
use crate::cpu_time;
use crate::cpu_time::Activity;
use crate::error::Failure;
use crate::sync::lock;
use crate::target::Class;
use crate::target::Running;
use crate::waiting::Refused;
use crate::waiting::Standing;
use crate::waiting::Wanted;

impl Sending {
    /// Finds a place for the request, and counts it: in the line if requests wait at hosts,
    /// and this one may be refused. One that may have run goes before all that wait.
    pub(super) async fn find_place(&mut self, offers: u32) -> Result<(Choice, Running), Failure> {
        let now = Instant::now();
        if self.deadline.saturating_duration_since(now) < LEFT_MIN {
            return Err(self.given_up("no time left"));
        }
        if let (Some(standing), Some(left)) = (self.standing, self.objective()) {
            let wanted = self.wanted(standing, now + left);
            match self.ctx.waiting.acquire_slot(wanted).await {
                Ok(place) => {
                    let choice = place.choice.clone();
                    let workspace = self.forward.workspace.as_deref();
                    let running = Running::in_slot(&self.ctx, place, workspace, standing.weight);
                    return Ok((choice, running));
                }
                Err(Refused::NoRoom { retry_after }) => {
                    return Err(Failure::NotRun {
                        retry_after,
                        reason: "no room in time",
                    });
                }
                // What that means is said below.
                Err(Refused::NoTarget) => {}
            }
        }
        let choice = self.choose(offers, Instant::now())?;
        let running = Running::start(&self.ctx, &choice.target, Class::Online);
        Ok((choice, running))
    }

    fn wanted(&self, standing: Standing, due: Instant) -> Wanted {
        Wanted {
            id: self.forward.id.clone(),
            service: self.service.clone(),
            affinity: self.affinity,
            tried: self.tried.clone(),
            workspace: self.forward.workspace.clone(),
            standing,
            since: self.trace.arrived(),
            due,
        }
    }

    fn choose(&mut self, offers: u32, now: Instant) -> Result<Choice, Failure> {
        let want = Criteria {
            service: &self.service,
            data_centre: &self.ctx.settings.host.data_centre,
            affinity: self.affinity,
            tried: &self.tried,
            objective: self.objective(),
            ahead: Ahead::default(),
        };
        let chosen = cpu_time::measure(&self.ctx.metrics, Activity::SelectTarget, || {
            lock(&self.ctx.balancer).choose_online(&want, now)
        });
        match chosen {
            Ok(choice) => Ok(choice),
            Err(refusal) if offers == 0 && self.runs == 0 => Err(refused(refusal)),
            Err(_) => Err(self.given_up("no other target")),
        }
    }

    /// Cuts the item whose place the request takes, if there is one.
    pub(super) fn make_room(&mut self, choice: &Choice) {
        self.trace.chose(choice);
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

fn refused(refusal: Refusal) -> Failure {
    let (retry_after, reason) = match refusal {
        Refusal::NoTarget { retry_after } => (retry_after, "no target"),
        Refusal::Full { retry_after } => (retry_after, "all targets full"),
    };
    Failure::NotRun {
        retry_after,
        reason,
    }
}
