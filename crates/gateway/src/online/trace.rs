//! What happened to one request, told in one line at its end.
//!
//! A line for each event of a stream was rejected: forty lines for each
//! request would be dropped by the rate just when they matter.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use notchwharf_config::access::WorkspaceName;
use notchwharf_config::routes::Route;
use notchwharf_routing::balancer::Choice;
use notchwharf_routing::balancer::SlotSource;
use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::fingerprint::Fingerprint;

use super::Request;
use crate::RequestId;
use crate::context::Context;
use crate::error::Failure;
use crate::fingerprint;
use crate::metrics::Counted;
use crate::metrics::Timed;
use crate::ports::ForwardedRequest;
use crate::ports::NoReply;
use crate::sync::lock;
use crate::time::millis;

/// What happened to a request so far; dropped untold, its caller has left.
pub(super) struct Trace {
    told: Option<Told>,
    failure: Option<Failure>,
}

struct Told {
    ctx: Arc<Context>,
    id: RequestId,
    workspace: Option<WorkspaceName>,
    route: Arc<Route>,
    version: u64,
    arrived: Instant,
    target: Option<TargetId>,
    room: &'static str,
    load: u32,
    offers: u32,
    first_event: Option<Duration>,
    first_at: Option<Instant>,
    status: Option<StatusCode>,
}

/// Tells of a request that no route fits.
pub(super) fn no_route(ctx: &Context, req: &Request, version: u64) {
    ctx.metrics.count(Counted::Requests, "no route");
    slog::info!(ctx.logger, "request"; "id" => req.forward.id.as_str(), "outcome" => "no route",
        "host" => req.host.as_str(), "path" => req.forward.path.as_str(), "routes_version" => version);
}

impl Trace {
    pub(super) fn new(
        ctx: &Arc<Context>,
        forward: &ForwardedRequest,
        route: &Arc<Route>,
        version: u64,
        arrived: Instant,
    ) -> Self {
        let told = Told {
            ctx: Arc::clone(ctx),
            id: forward.id.clone(),
            workspace: forward.workspace.clone(),
            route: Arc::clone(route),
            version,
            arrived,
            target: None,
            room: "none",
            load: 0,
            offers: 0,
            first_event: None,
            first_at: None,
            status: None,
        };
        Self {
            told: Some(told),
            failure: None,
        }
    }

    /// Notes where the request is about to be sent, its place there being counted already.
    pub(super) fn chose(&mut self, choice: &Choice) {
        let Some(told) = &mut self.told else {
            return;
        };
        told.offers += 1;
        let load = lock(&told.ctx.balancer).load(&choice.target);
        told.load = load.total().saturating_sub(1);
        told.target = Some(choice.target.clone());
        told.room = match choice.slot_source {
            SlotSource::Free => "free",
            SlotSource::PreemptOwn => "own item cut",
            SlotSource::PreemptPeer(_) => "peer's item cut",
            SlotSource::Queue => "queue",
        };
    }

    /// Tells that an offer failed, and which request it was if it may have run.
    pub(super) fn offer_failed(
        &self,
        target: &TargetId,
        err: NoReply,
        fingerprint: Option<Fingerprint>,
    ) {
        let Some(told) = &self.told else {
            return;
        };
        slog::info!(told.ctx.logger, "offer failed"; "id" => told.id.as_str(),
            "target" => target.as_str(), "reason" => err.reason(),
            "may_have_run" => err.may_have_run(), "offers" => told.offers,
            "fingerprint" => fingerprint.map(fingerprint::to_hex),
            "after_ms" => millis(told.arrived.elapsed()));
    }

    pub(super) fn broke_off(
        &self,
        target: &TargetId,
        reason: &'static str,
        last: Option<u64>,
        fingerprint: Fingerprint,
    ) {
        let Some(told) = &self.told else {
            return;
        };
        told.ctx.metrics.count(Counted::Offers, reason);
        slog::info!(told.ctx.logger, "stream broke off"; "id" => told.id.as_str(),
            "target" => target.as_str(), "reason" => reason, "last_event" => last,
            "resumable" => told.route.resumable, "after_ms" => millis(told.arrived.elapsed()),
            "fingerprint" => fingerprint::to_hex(fingerprint));
    }

    /// Returns when the request arrived; now if all was told.
    pub(super) fn arrived(&self) -> Instant {
        let told = self.told.as_ref();
        told.map_or_else(Instant::now, |told| told.arrived)
    }

    /// Returns the time since the request arrived.
    pub(super) fn age(&self) -> Duration {
        let arrived = self.told.as_ref().map(|told| told.arrived);
        arrived.map_or(Duration::ZERO, |at| at.elapsed())
    }

    pub(super) fn first_event(&self) -> Option<Duration> {
        self.told.as_ref().and_then(|told| told.first_event)
    }

    pub(super) fn note_first_event(&mut self, took: Duration) {
        if let Some(told) = &mut self.told {
            told.first_event = Some(took);
            told.first_at = Some(Instant::now());
        }
    }

    pub(super) fn begun(&mut self, status: StatusCode) {
        if let Some(told) = &mut self.told {
            told.status = Some(status);
        }
    }

    pub(super) fn whole(&mut self) {
        if let Some(told) = self.told.take() {
            told.tell("whole", None);
        }
    }

    pub(super) fn failed(&mut self, failure: &Failure) {
        self.failure = Some(*failure);
        if let Some(told) = self.told.take() {
            told.tell(failure.label(), Some(failure));
        }
    }

    /// Returns why the request failed.
    pub(super) fn failure(&self) -> Failure {
        let reason = "broke off";
        self.failure.unwrap_or(Failure::Unknown { reason })
    }
}

impl Told {
    fn tell(&self, outcome: &'static str, failure: Option<&Failure>) {
        let metrics = &self.ctx.metrics;
        metrics.count(Counted::Requests, outcome);
        let first = self.first_at.map(|at| at.duration_since(self.arrived));
        if let Some(first) = first {
            metrics.time(Timed::FirstEvent, &self.route.name, first);
        }
        if failure.is_none() {
            metrics.time(Timed::Whole, &self.route.name, self.arrived.elapsed());
        }
        slog::info!(self.ctx.logger, "request"; "id" => self.id.as_str(), "outcome" => outcome,
            "why" => failure.map(ToString::to_string),
            "workspace" => self.workspace.as_deref(),
            "route" => self.route.name.as_str(), "routes_version" => self.version,
            "target" => self.target.as_deref(), "room" => self.room, "load" => self.load,
            "offers" => self.offers, "status" => self.status.map(|s| s.as_u16()),
            "first_ms" => first.map(millis), "target_first_ms" => self.first_event.map(millis),
            "whole_ms" => millis(self.arrived.elapsed()));
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        if let Some(told) = self.told.take() {
            told.tell("caller left", None);
        }
    }
}
