//! Dispatch of a request to targets: offers it, checks the reply, and retries at another target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use notchwharf_config::routes::Kind;
use notchwharf_config::routes::Route;
use notchwharf_ledger::rendezvous::hash;
use notchwharf_origins::StreamKey;
use notchwharf_quarantine::gate::Blocked;
use notchwharf_quarantine::gate::RunGuard;
use notchwharf_routing::balancer::Choice;
use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::balancer::TargetVersion;
use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_routing::prompt::PartId;
use notchwharf_startup::Dependency;

use super::DEFAULT_DEADLINE;
use super::ForwardedResponse;
use super::Request;
use super::body::ResponseBody;
use super::trace::Trace;
use crate::catalog;
use crate::context::Context;
use crate::error::Failure;
use crate::error::STOPPED;
use crate::fingerprint;
use crate::limits::Permit;
use crate::metrics::Counted;
use crate::origins;
use crate::origins::Resumed;
use crate::ports::Call;
use crate::ports::ForwardedRequest;
use crate::ports::NoReply;
use crate::ports::Reply;
use crate::quarantine;
use crate::sync::lock;
use crate::target::Running;
use crate::waiting::SchedulingParams;

/// Targets that one request is offered to before it is refused.
const MAX_OFFERS: u32 = 4;
/// Remaining time below which no offer is made: a response takes longer.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// The versions of targets that may run a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum AllowedVersions {
    /// Any, as its caller has received no event.
    #[default]
    Any,
    /// The one that sent the stream's first event.
    Only(TargetVersion),
    /// None: which one sent the first event is not known.
    Unknown,
}

/// A request that is being dispatched.
pub(super) struct Dispatch {
    pub(super) ctx: Arc<Context>,
    pub(super) request: Arc<ForwardedRequest>,
    /// The host that the request names.
    pub(super) host: String,
    pub(super) route: Arc<Route>,
    pub(super) service: String,
    pub(super) affinity: u64,
    pub(super) deadline: Instant,
    pub(super) tried: Vec<TargetId>,
    pub(super) allowed_versions: AllowedVersions,
    /// The number of targets that ran the request or may have run it.
    pub(super) runs: u32,
    /// The fingerprint of its content, computed on first use.
    pub(super) fingerprint: Option<Fingerprint>,
    /// The shared parts of its prompt, read on first use.
    parts: Option<Arc<[PartId]>>,
    pub(super) trace: Trace,
    /// The permit from its workspace's limit; refunded if the request never runs.
    permit: Option<Permit>,
    /// Whether the request may have run.
    is_used: bool,
    /// Its parameters in this host's wait queue; none if targets queue requests.
    pub(super) scheduling: Option<SchedulingParams>,
    /// The stream whose origin is recorded; `None` if it cannot be resumed by its id.
    pub(super) stream: Option<StreamKey>,
    /// Whether the caller takes up a stream again.
    pub(super) is_resumption: bool,
    /// Until when the caller waits, over all its attempts.
    pub(super) caller_deadline: Instant,
}

/// A target's response whose headers have arrived.
pub(super) struct StartedResponse {
    pub(super) reply: Reply,
    pub(super) running: Running,
    pub(super) addr: SocketAddr,
    /// The version of the target, by its entry at the time of the choice.
    pub(super) version: Option<TargetVersion>,
    pub(super) sent_at: Instant,
    /// When the response's headers arrived.
    pub(super) headers_at: Instant,
    /// Whether a byte of its body has arrived.
    pub(super) has_begun: bool,
    /// Its run in the quarantine, if the request is suspected.
    pub(super) run_guard: Option<RunGuard>,
}

impl Dispatch {
    pub(super) fn new(
        ctx: &Arc<Context>,
        req: Request,
        route: Arc<Route>,
        trace: Trace,
        permit: Option<Permit>,
        deadline: Instant,
    ) -> Self {
        let service = route.select_service(hash(&req.forwarded.id));
        let is_resumable = route.kind == Kind::Stream && route.resumable;
        let stream = is_resumable.then(|| {
            let workspace = req.forwarded.workspace.as_deref();
            origins::key(workspace, &req.host, &req.forwarded.id)
        });
        Self {
            stream,
            is_resumption: false,
            caller_deadline: trace.arrived() + req.deadline.unwrap_or(DEFAULT_DEADLINE),
            trace,
            permit,
            is_used: false,
            ctx: Arc::clone(ctx),
            request: Arc::new(req.forwarded),
            host: req.host,
            affinity: req.affinity,
            deadline,
            service: service.cloned().unwrap_or_default(),
            route,
            tried: Vec::new(),
            allowed_versions: AllowedVersions::default(),
            runs: 0,
            fingerprint: None,
            parts: None,
            scheduling: None,
        }
    }

    /// Makes the request wait at its host for a slot, ordered by these parameters.
    pub(super) fn with_scheduling(mut self, scheduling: Option<SchedulingParams>) -> Self {
        self.scheduling = scheduling;
        self
    }

    /// Makes the request go on with a stream, at its origin only.
    pub(super) fn with_resumed(mut self, resumed: Option<Resumed>) -> Self {
        if let Some(resumed) = resumed {
            self.is_resumption = true;
            self.service.clone_from(&resumed.origin.service);
            self.allowed_versions = AllowedVersions::Only(resumed.origin.version.clone());
            // The attempt that brought the first event is the one that callers name again.
            self.stream = resumed.stream;
        }
        self
    }

    /// Sends the request until a target responds, and forwards the response.
    pub(super) async fn run(mut self) -> Result<ForwardedResponse, Failure> {
        let ctx = Arc::clone(&self.ctx);
        let sent = tokio::select! {
            // An answer that has arrived counts, although the host stops.
            biased;
            sent = self.send(None) => sent,
            () = ctx.drain.answers_end() => Err(self.stopped_failure()),
        };
        match sent {
            Ok(response) => ResponseBody::new(self, response).start().await,
            Err(failure) => {
                self.trace.fail(&failure);
                Err(failure)
            }
        }
    }

    /// Offers the request to targets until one responds.
    pub(super) async fn send(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<StartedResponse, Failure> {
        let mut offers = 0;
        self.ctx
            .startup
            .wait_ready_until(Dependency::Departures, self.deadline)
            .await;
        self.ctx
            .startup
            .wait_ready_until(Dependency::Targets, self.deadline)
            .await;
        loop {
            let run_guard = self.admit().await?;
            let crashes = self.known_crashes();
            let (choice, running) = self.reserve_slot(offers).await?;
            let newest = self.known_crashes();
            if newest.0 > crashes.0 || newest.1 > crashes.1 {
                // While it waited for a slot, others with its content or a part of its prompt
                // crashed targets.
                continue;
            }
            self.preempt(&choice);
            offers += 1;
            let sent_at = Instant::now();
            // The caller may disconnect before it is known whether the request runs.
            self.set_used(true);
            let replied = self.offer(&choice, running, resume_after).await;
            self.record_answer(&choice.target, &replied, sent_at);
            let err = match replied {
                Ok(response) => match self.check_reply(response) {
                    Ok(response) => {
                        return Ok(StartedResponse {
                            run_guard,
                            ..response
                        });
                    }
                    Err(err) => err,
                },
                Err(err) => err,
            };
            if err == NoReply::Unknown(TIMED_OUT) {
                let run_time = sent_at.elapsed();
                self.check_replaced(&choice.target, choice.addr, run_time, None);
            }
            if err == NoReply::Broken {
                let run_time = sent_at.elapsed();
                self.check_crash(&choice.target, choice.addr, run_time, None)
                    .await;
            }
            // The next run of a suspected request starts once the outcome of this one is known.
            drop(run_guard);
            self.record_offer_failure(&choice.target, err);
            if err.may_have_run() {
                self.runs += 1;
            }
            self.set_used(self.runs > 0);
            self.tried.push(choice.target);
            self.check_retry(err, offers)?;
        }
    }

    /// Records what an answer tells of its target: that it goes on, or that another start has taken
    /// its place.
    fn record_answer(
        &self,
        target: &str,
        replied: &Result<StartedResponse, NoReply>,
        sent_at: Instant,
    ) {
        match replied {
            Ok(_) | Err(NoReply::Full | NoReply::Rejected(_)) => {
                quarantine::record_answer(&self.ctx, target, sent_at);
            }
            Err(NoReply::OtherTarget) => quarantine::record_replaced(&self.ctx, target),
            Err(NoReply::NotSent(_) | NoReply::Broken | NoReply::Unknown(_)) => {}
        }
    }

    /// Returns the version of a target that has sent the first event. It is not known if the
    /// target's entry has changed since the choice: the process that answers may be another one.
    pub(super) fn confirmed_version(&self, response: &StartedResponse) -> Option<TargetVersion> {
        let balancer = lock(&self.ctx.balancer);
        let entry = balancer.spec(response.running.target());
        let is_changed = entry.is_some_and(|entry| entry.version != response.version);
        response.version.clone().filter(|_| !is_changed)
    }

    /// Records whether the request may have run, and so has used its permit.
    fn set_used(&mut self, is_used: bool) {
        self.is_used = is_used;
        if let Some(permit) = &mut self.permit {
            permit.is_used = is_used;
        }
    }

    /// Returns the request's fingerprint.
    pub(super) fn fingerprint(&mut self) -> Fingerprint {
        let (ctx, host, request) = (&self.ctx, &self.host, &self.request);
        *self
            .fingerprint
            .get_or_insert_with(|| fingerprint::of(&ctx.decode, host, request))
    }

    /// Returns the shared parts of the request's prompt.
    pub(super) fn parts(&mut self) -> Arc<[PartId]> {
        let (ctx, request) = (&self.ctx, &self.request);
        let parts = self
            .parts
            .get_or_insert_with(|| (ctx.decode.parts)(&request.headers).into());
        Arc::clone(parts)
    }

    /// Returns the number of crashes that are attributed to the request, and the time of the
    /// newest one under a blamed part of its prompt.
    fn known_crashes(&mut self) -> (u32, Option<Instant>) {
        let gate = Arc::clone(&self.ctx.suspects.gate);
        let of_request = match gate.is_empty() {
            true => 0,
            false => gate.crash_count(self.fingerprint()),
        };
        let of_parts = match gate.has_parts() {
            true => gate.newest_blamed_crash(&self.parts()),
            false => None,
        };
        (of_request, of_parts)
    }

    /// Waits until the quarantine lets the request run. It is checked before each offer,
    /// since reports of crashes may arrive at any time.
    async fn admit(&mut self) -> Result<Option<RunGuard>, Failure> {
        // A blamed request may be the first one that a starting host receives.
        let suspects_known = self.ctx.startup.wait_ready(Dependency::Suspects);
        let admit_deadline = self.deadline - MIN_TIME_LEFT;
        // After this timeout there is no time left for an offer either.
        let _ = tokio::time::timeout_at(admit_deadline.into(), suspects_known).await;
        let gate = Arc::clone(&self.ctx.suspects.gate);
        if gate.has_parts() {
            let parts = self.parts();
            let admitted = gate.admit_parts(&parts, admit_deadline).await;
            admitted.map_err(|blocked| self.blocked_failure(blocked))?;
        }
        if gate.is_empty() {
            return Ok(None);
        }
        let fingerprint = self.fingerprint();
        let admitted = gate.admit(fingerprint, admit_deadline).await;
        admitted.map_err(|blocked| self.blocked_failure(blocked))
    }

    /// Returns the failure for a request that the quarantine blocks.
    fn blocked_failure(&self, blocked: Blocked) -> Failure {
        match blocked {
            Blocked::Refused {
                crashes,
                retry_after,
            } if self.runs == 0 => Failure::Crashing {
                crashes,
                retry_after,
            },
            Blocked::Refused { .. } => self.final_failure("targets crash under it"),
            Blocked::Waiting => self.final_failure("others like it run"),
        }
    }

    /// Checks whether the target crashed under the request. `sent_at` is when the request was
    /// sent, if the target had started to respond.
    pub(super) async fn check_crash(
        &mut self,
        target: &TargetId,
        addr: SocketAddr,
        run_time: Duration,
        sent_at: Option<Instant>,
    ) {
        let run = self.broken_run(target, addr, run_time, sent_at);
        quarantine::check_crash(&self.ctx, run).await;
    }

    /// Checks, without waiting, whether the target ended while the request had no answer from it.
    pub(super) fn check_silent(
        &mut self,
        target: &TargetId,
        addr: SocketAddr,
        run_time: Duration,
        sent_at: Instant,
    ) {
        let run = self.broken_run(target, addr, run_time, Some(sent_at));
        quarantine::check_silent(&self.ctx, run);
    }

    /// Checks, without waiting, whether another start took the target's place before the request was
    /// answered in time.
    pub(super) fn check_replaced(
        &mut self,
        target: &TargetId,
        addr: SocketAddr,
        run_time: Duration,
        sent_at: Option<Instant>,
    ) {
        let run = self.broken_run(target, addr, run_time, sent_at);
        quarantine::check_replaced(&self.ctx, run);
    }

    fn broken_run(
        &mut self,
        target: &TargetId,
        addr: SocketAddr,
        run_time: Duration,
        sent_at: Option<Instant>,
    ) -> quarantine::BrokenRun {
        quarantine::BrokenRun {
            fingerprint: self.fingerprint(),
            parts: self.parts().to_vec(),
            id: self.request.id.clone(),
            target: target.clone(),
            addr,
            run_time,
            sent_at,
            is_complete: false,
        }
    }

    /// Records that a target answered the request with success. An empty answer, as to a stream
    /// that is resumed at its end, shows nothing.
    pub(super) fn record_success(&mut self, response: &StartedResponse) {
        if !response.has_begun {
            return;
        }
        let ctx = Arc::clone(&self.ctx);
        if response.reply.is_end_marked {
            quarantine::record_success(&ctx, || self.fingerprint());
            quarantine::record_parts_success(&ctx, || self.parts());
            return;
        }
        let target = response.running.target();
        let run_time = response.headers_at.elapsed();
        quarantine::check_unmarked_end(&ctx, || quarantine::BrokenRun {
            is_complete: true,
            ..self.broken_run(target, response.addr, run_time, Some(response.sent_at))
        });
    }

    /// Returns the time left to the first-event objective. None if the route has no objective,
    /// or if the request may have run or goes on with a stream: such a request is no longer
    /// refused for lateness, and does not wait behind new ones.
    pub(super) fn objective(&self) -> Option<Duration> {
        let objective = self.route.objective;
        if self.runs > 0 || self.is_resumption || objective.is_zero() {
            return None;
        }
        Some(objective.saturating_sub(self.trace.age()))
    }

    /// Returns the failure for a request that is offered to no further target.
    pub(super) fn final_failure(&self, reason: &'static str) -> Failure {
        if self.runs > 0 {
            return Failure::Unknown { reason };
        }
        Failure::NotRun {
            retry_after: RETRY_AFTER,
            reason,
        }
    }

    /// Returns the failure of a request that the host waits for no longer, as it stops.
    fn stopped_failure(&self) -> Failure {
        if self.is_used {
            return Failure::Unknown { reason: STOPPED };
        }
        Failure::stopped()
    }

    /// Sends the request to the chosen target, and waits for the headers of its response.
    async fn offer(
        &self,
        choice: &Choice,
        running: Running,
        resume_after: Option<u64>,
    ) -> Result<StartedResponse, NoReply> {
        catalog::wait_after_standstill(&self.ctx).await;
        let sent_at = Instant::now();
        let call = Call {
            request: Arc::clone(&self.request),
            target: choice.target.clone(),
            addr: choice.addr,
            remaining: self.deadline.saturating_duration_since(sent_at),
            resume_after,
            may_send: self.ctx.may_send_to(&choice.target),
        };
        let replied = (self.ctx.targets.call)(call);
        let deadline = tokio::time::Instant::from_std(self.deadline);
        let reply = match tokio::time::timeout_at(deadline, replied).await {
            Ok(reply) => reply?,
            Err(_) => return Err(NoReply::Unknown(TIMED_OUT)),
        };
        Ok(StartedResponse {
            reply,
            running,
            addr: choice.addr,
            version: choice.version.clone(),
            sent_at,
            headers_at: Instant::now(),
            has_begun: false,
            run_guard: None,
        })
    }

    /// Returns a response that may be forwarded, or the failure that it amounts to.
    fn check_reply(&self, response: StartedResponse) -> Result<StartedResponse, NoReply> {
        let status = response.reply.status;
        if status.is_success() && !response.reply.is_signed {
            return Err(NoReply::Unknown("unsigned success"));
        }
        // These statuses usually mean that nothing ran, but the target didn't confirm it.
        let not_run_statuses = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::MISDIRECTED_REQUEST,
        ];
        if not_run_statuses.contains(&status) {
            return Err(NoReply::Unknown("refused without saying so"));
        }
        let runs_left = self.runs + 1 < self.route.attempts_max;
        if status.is_server_error() && self.route.is_repeatable() && runs_left {
            return Err(NoReply::Unknown(TARGET_FAILED));
        }
        Ok(response)
    }

    /// Logs and counts a failed offer, and reports it to the balancer.
    fn record_offer_failure(&mut self, target: &TargetId, err: NoReply) {
        let now = Instant::now();
        self.ctx.metrics.count(Counted::Offers, err.reason());
        let fingerprint = err.may_have_run().then(|| self.fingerprint());
        self.trace.log_failed_offer(target, err, fingerprint);
        let mut balancer = lock(&self.ctx.balancer);
        match err {
            NoReply::Full => balancer.record_rejection(target, now),
            NoReply::NotSent(_) | NoReply::OtherTarget => {
                balancer.record_connection_failure(target, now)
            }
            NoReply::Unknown(TIMED_OUT) => {}
            NoReply::Unknown(TARGET_FAILED) => balancer.record_request_failure(target, now),
            NoReply::Broken | NoReply::Unknown(_) => {
                balancer.record_connection_failure(target, now)
            }
            NoReply::Rejected(_) => {}
        }
    }

    /// Checks that the request may be offered to another target.
    ///
    /// # Errors
    ///
    /// Returns the final failure if it may not.
    fn check_retry(&mut self, err: NoReply, offers: u32) -> Result<(), Failure> {
        match err {
            NoReply::Rejected(status) if self.runs == 0 => return Err(Failure::Rejected(status)),
            NoReply::Rejected(_) => return Err(self.final_failure(err.reason())),
            NoReply::Unknown(TIMED_OUT) => return Err(Failure::TimedOut),
            err if err.may_have_run() && !self.route.is_repeatable() => {
                return Err(Failure::Unknown {
                    reason: err.reason(),
                });
            }
            _ => {}
        }
        if self.runs >= self.route.attempts_max || offers >= MAX_OFFERS {
            return Err(self.final_failure(err.reason()));
        }
        if !lock(&self.ctx.budget).withdraw() {
            return Err(self.final_failure("too many retries"));
        }
        Ok(())
    }
}

/// Reason of an offer that the request's deadline ended.
const TIMED_OUT: &str = "timed out";
/// Reason of an offer to which the target responded with a server error.
const TARGET_FAILED: &str = "target failed";
/// Retry delay after targets refused or could not be reached: about the time in which a
/// slot is freed.
const RETRY_AFTER: Duration = Duration::from_millis(150);
