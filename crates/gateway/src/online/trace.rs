//! The record of one request, logged in one line when the request ends.
//!
//! A log line for each event of a stream was rejected: forty lines for each request would
//! exceed the rate limit of the log, and be dropped, under the load where they matter.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use notchwharf_config::access::WorkspaceName;
use notchwharf_config::routes::Route;
use notchwharf_routing::balancer::Choice;
use notchwharf_routing::balancer::SlotSource;
use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::balancer::TargetVersion;
use notchwharf_routing::fingerprint::Fingerprint;

use super::Request;
use super::Resumption;
use crate::RequestId;
use crate::context::Context;
use crate::error::Failure;
use crate::fingerprint;
use crate::metrics::Counted;
use crate::metrics::Timed;
use crate::origins::Resumed;
use crate::ports::NoReply;
use crate::sync::lock;
use crate::time::millis;

/// The record of a request so far. If it is dropped before it was logged, the caller has
/// disconnected.
pub(super) struct Trace {
    record: Option<Record>,
    failure: Option<Failure>,
}

struct Record {
    ctx: Arc<Context>,
    id: RequestId,
    workspace: Option<WorkspaceName>,
    route: Arc<Route>,
    routes_version: u64,
    arrived: Instant,
    target: Option<TargetId>,
    /// The version of that target's software, if known.
    version: Option<TargetVersion>,
    /// The age of the host's view of the targets at the choice, if it is known.
    targets_age: Option<Duration>,
    resumption: Option<Resumption>,
    /// The version at which the stream began.
    began_at: Option<TargetVersion>,
    /// How that is known: the host with the record, or a word on the evidence.
    known_by: Option<String>,
    /// Age of that record.
    record_age: Option<Duration>,
    /// Time that it took to find.
    known_after: Option<Duration>,
    slot_source: &'static str,
    load: u32,
    offers: u32,
    target_first_event: Option<Duration>,
    first_event_at: Option<Instant>,
    status: Option<StatusCode>,
}

/// Logs a request that matches no route.
pub(super) fn log_no_route(ctx: &Context, req: &Request, routes_version: u64) {
    ctx.metrics.count(Counted::Requests, "no route");
    slog::info!(ctx.logger, "request"; "id" => req.forwarded.id.as_str(), "outcome" => "no route",
        "host" => req.host.as_str(), "path" => req.forwarded.path.as_str(), "routes_version" => routes_version);
}

impl Trace {
    pub(super) fn new(
        ctx: &Arc<Context>,
        request: &Request,
        route: &Arc<Route>,
        routes_version: u64,
        arrived: Instant,
    ) -> Self {
        let record = Record {
            ctx: Arc::clone(ctx),
            id: request.forwarded.id.clone(),
            workspace: request.forwarded.workspace.clone(),
            route: Arc::clone(route),
            routes_version,
            arrived,
            target: None,
            version: None,
            targets_age: None,
            resumption: request.resumption.clone(),
            began_at: None,
            known_by: None,
            record_age: None,
            known_after: None,
            slot_source: "none",
            load: 0,
            offers: 0,
            target_first_event: None,
            first_event_at: None,
            status: None,
        };
        Self {
            record: Some(record),
            failure: None,
        }
    }

    /// Records the origin of the stream that the request takes up again, and how long it took to
    /// find.
    pub(super) fn record_origin(&mut self, resumed: &Resumed, took: Duration) {
        if let Some(record) = &mut self.record {
            record.began_at = Some(resumed.origin.version.clone());
            record.known_by = Some(resumed.evidence.to_string());
            record.record_age = resumed.age;
            record.known_after = Some(took);
        }
    }

    /// Records the target that the request is about to be sent to; its slot there is already
    /// counted.
    pub(super) fn record_choice(&mut self, choice: &Choice) {
        let Some(record) = &mut self.record else {
            return;
        };
        record.offers += 1;
        let balancer = lock(&record.ctx.balancer);
        let load = balancer.load(&choice.target);
        let spec = balancer.spec(&choice.target);
        record.version = spec.and_then(|spec| spec.version.clone());
        drop(balancer);
        record.targets_age = record.ctx.catalog.targets_age();
        record.load = load.total().saturating_sub(1);
        record.target = Some(choice.target.clone());
        record.slot_source = match choice.slot_source {
            SlotSource::Free => "free",
            SlotSource::PreemptOwn => "own item cut",
            SlotSource::PreemptPeer(_) => "peer's item cut",
            SlotSource::Queue => "queue",
        };
    }

    /// Logs a failed offer, with the request's fingerprint if it may have run.
    pub(super) fn log_failed_offer(
        &self,
        target: &TargetId,
        err: NoReply,
        fingerprint: Option<Fingerprint>,
    ) {
        let Some(record) = &self.record else {
            return;
        };
        slog::info!(record.ctx.logger, "offer failed"; "id" => record.id.as_str(),
            "target" => target.as_str(), "reason" => err.reason(),
            "may_have_run" => err.may_have_run(), "proof" => err.proof(), "offers" => record.offers,
            "targets_age_ms" => record.targets_age.map(millis),
            "fingerprint" => fingerprint.map(fingerprint::to_hex),
            "after_ms" => millis(record.arrived.elapsed()));
    }

    /// Logs that a response was interrupted after the given event.
    pub(super) fn log_broken_stream(
        &self,
        target: &TargetId,
        reason: &'static str,
        last_event: Option<u64>,
        fingerprint: Fingerprint,
    ) {
        let Some(record) = &self.record else {
            return;
        };
        record.ctx.metrics.count(Counted::Offers, reason);
        slog::info!(record.ctx.logger, "stream interrupted"; "id" => record.id.as_str(),
            "target" => target.as_str(), "version" => record.version.as_deref(),
            "reason" => reason, "last_event" => last_event,
            "resumable" => record.route.resumable, "after_ms" => millis(record.arrived.elapsed()),
            "fingerprint" => fingerprint::to_hex(fingerprint));
    }

    /// Returns when the request arrived; the current time if the record was logged already.
    pub(super) fn arrived(&self) -> Instant {
        let record = self.record.as_ref();
        record.map_or_else(Instant::now, |record| record.arrived)
    }

    /// Returns the time since the request arrived.
    pub(super) fn age(&self) -> Duration {
        let arrived = self.record.as_ref().map(|record| record.arrived);
        arrived.map_or(Duration::ZERO, |at| at.elapsed())
    }

    pub(super) fn first_event(&self) -> Option<Duration> {
        self.record
            .as_ref()
            .and_then(|record| record.target_first_event)
    }

    pub(super) fn record_first_event(&mut self, took: Duration) {
        if let Some(record) = &mut self.record {
            record.target_first_event = Some(took);
            record.first_event_at = Some(Instant::now());
        }
    }

    pub(super) fn record_status(&mut self, status: StatusCode) {
        if let Some(record) = &mut self.record {
            record.status = Some(status);
        }
    }

    pub(super) fn complete(&mut self) {
        if let Some(record) = self.record.take() {
            record.log("whole", None);
        }
    }

    pub(super) fn fail(&mut self, failure: &Failure) {
        self.failure = Some(*failure);
        if let Some(record) = self.record.take() {
            record.log(failure.label(), Some(failure));
        }
    }

    /// Returns why the request failed.
    pub(super) fn failure(&self) -> Failure {
        let reason = "broke off";
        self.failure.unwrap_or(Failure::Unknown { reason })
    }
}

impl Record {
    fn log(&self, outcome: &'static str, failure: Option<&Failure>) {
        let metrics = &self.ctx.metrics;
        metrics.count(Counted::Requests, outcome);
        let first = self
            .first_event_at
            .map(|at| at.duration_since(self.arrived));
        if let Some(first) = first {
            metrics.time(Timed::FirstEvent, &self.route.name, first);
        }
        if failure.is_none() {
            metrics.time(Timed::Complete, &self.route.name, self.arrived.elapsed());
        }
        slog::info!(self.ctx.logger, "request"; "id" => self.id.as_str(), "outcome" => outcome,
            "why" => failure.map(ToString::to_string),
            "workspace" => self.workspace.as_deref(),
            "route" => self.route.name.as_str(), "routes_version" => self.routes_version,
            "resumes" => self.resumption.as_ref().and_then(Resumption::stream),
            "after_event" => self.resumption.as_ref().and_then(Resumption::last_event),
            "began_at" => self.began_at.as_deref(), "known_by" => self.known_by.as_deref(),
            "record_age_ms" => self.record_age.map(millis), "known_after_ms" => self.known_after.map(millis),
            "target" => self.target.as_deref(), "version" => self.version.as_deref(), "room" => self.slot_source, "load" => self.load,
            "targets_age_ms" => self.targets_age.map(millis),
            "offers" => self.offers, "status" => self.status.map(|s| s.as_u16()),
            "first_ms" => first.map(millis), "target_first_ms" => self.target_first_event.map(millis),
            "whole_ms" => millis(self.arrived.elapsed()));
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        if let Some(record) = self.record.take() {
            record.log("caller left", None);
        }
    }
}
