//! A request on its way to a target: offered, judged, and offered again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use notchwharf_config::routes::Route;
use notchwharf_ledger::rendezvous::hash;
use notchwharf_quarantine::gate::Blocked;
use notchwharf_quarantine::gate::RunGuard;
use notchwharf_routing::balancer::Choice;
use notchwharf_routing::balancer::TargetId;
use notchwharf_routing::fingerprint::Fingerprint;
use notchwharf_startup::Dependency;

use super::Answer;
use super::Request;
use super::flow::Flow;
use super::trace::Trace;
use crate::context::Context;
use crate::error::Failure;
use crate::fingerprint;
use crate::limits::Permit;
use crate::metrics::Counted;
use crate::ports::Call;
use crate::ports::ForwardedRequest;
use crate::ports::NoReply;
use crate::ports::Reply;
use crate::quarantine;
use crate::sync::lock;
use crate::target::Running;
use crate::waiting::Standing;

/// Targets that one request is offered to before it is refused.
const OFFERS_MAX: u32 = 4;
/// Time left below which an offer makes no sense: an answer takes longer.
pub(super) const LEFT_MIN: Duration = Duration::from_millis(20);

/// A request on its way to a target.
pub(super) struct Sending {
    pub(super) ctx: Arc<Context>,
    pub(super) forward: Arc<ForwardedRequest>,
    /// The host that the request names.
    pub(super) host: String,
    pub(super) route: Arc<Route>,
    pub(super) service: String,
    pub(super) affinity: u64,
    pub(super) deadline: Instant,
    pub(super) tried: Vec<TargetId>,
    /// Targets that ran the request or may have.
    pub(super) runs: u32,
    /// The name of its content, once that was asked for.
    pub(super) fingerprint: Option<Fingerprint>,
    pub(super) trace: Trace,
    /// What its workspace's limit gave it; given back if it never runs.
    permit: Option<Permit>,
    /// Its standing among those that wait for a place; nothing if targets queue them.
    pub(super) standing: Option<Standing>,
}

/// A target's answer whose body is to come.
pub(super) struct Begun {
    pub(super) reply: Reply,
    pub(super) running: Running,
    pub(super) addr: SocketAddr,
    pub(super) sent: Instant,
    /// When the answer's head came.
    pub(super) begun: Instant,
    /// Its run, if it is a suspect.
    pub(super) trial: Option<RunGuard>,
}

impl Sending {
    pub(super) fn new(
        ctx: &Arc<Context>,
        req: Request,
        route: Arc<Route>,
        trace: Trace,
        permit: Option<Permit>,
        deadline: Instant,
    ) -> Self {
        let service = route.select_service(hash(&req.forward.id));
        Self {
            trace,
            permit,
            ctx: Arc::clone(ctx),
            forward: Arc::new(req.forward),
            host: req.host,
            affinity: req.affinity,
            deadline,
            service: service.cloned().unwrap_or_default(),
            route,
            tried: Vec::new(),
            runs: 0,
            fingerprint: None,
            standing: None,
        }
    }

    /// Lets the request wait at its host for a place, by its standing.
    pub(super) fn standing(mut self, standing: Option<Standing>) -> Self {
        self.standing = standing;
        self
    }

    /// Sends the request until a target answers, and passes its answer on.
    pub(super) async fn send_whole(mut self) -> Result<Answer, Failure> {
        match self.send(None).await {
            Ok(begun) => Flow::new(self, begun).start().await,
            Err(failure) => {
                self.trace.failed(&failure);
                Err(failure)
            }
        }
    }

    /// Offers the request to targets until one answers.
    pub(super) async fn send(&mut self, resume_after: Option<u64>) -> Result<Begun, Failure> {
        let mut offers = 0;
        self.ctx
            .startup
            .wait_ready_until(Dependency::Targets, self.deadline)
            .await;
        loop {
            let trial = self.admit().await?;
            let crashes = self.crashes();
            let (choice, running) = self.find_place(offers).await?;
            if self.crashes() > crashes {
                // While it waited for its place others like it crashed targets.
                continue;
            }
            self.make_room(&choice);
            offers += 1;
            let sent = Instant::now();
            // Its caller may leave while nobody knows yet whether it runs.
            self.set_used(true);
            let err = match self.offer(&choice, running, resume_after).await {
                Ok(begun) => match self.judge(begun) {
                    Ok(begun) => return Ok(Begun { trial, ..begun }),
                    Err(err) => err,
                },
                Err(err) => err,
            };
            if err == NoReply::Broken {
                let ran = sent.elapsed();
                self.broke_off(&choice.target, choice.addr, ran, None).await;
            }
            // The next run of a suspect begins when it is known how this one ended.
            drop(trial);
            self.note(&choice.target, err);
            if err.may_have_run() {
                self.runs += 1;
            }
            self.set_used(self.runs > 0);
            self.tried.push(choice.target);
            self.may_go_on(err, offers)?;
        }
    }

    fn set_used(&mut self, is_used: bool) {
        if let Some(permit) = &mut self.permit {
            permit.is_used = is_used;
        }
    }

    pub(super) fn fingerprint(&mut self) -> Fingerprint {
        let (ctx, host, forward) = (&self.ctx, &self.host, &self.forward);
        *self
            .fingerprint
            .get_or_insert_with(|| fingerprint::of(&ctx.decode, host, forward))
    }

    /// Returns how many crashes under the request count.
    fn crashes(&mut self) -> u32 {
        let gate = Arc::clone(&self.ctx.suspects.gate);
        if gate.is_empty() {
            return 0;
        }
        gate.crash_count(self.fingerprint())
    }

    /// Waits until the request may be sent to a target, as far as targets crash under
    /// it. That is asked before each offer: news may come at any time.
    async fn admit(&mut self) -> Result<Option<RunGuard>, Failure> {
        // A request that is blamed may be the first that comes to a host that starts.
        let is_known = self.ctx.startup.wait_ready(Dependency::Suspects);
        let until = self.deadline - LEFT_MIN;
        // Late, there is no time left either.
        let _ = tokio::time::timeout_at(until.into(), is_known).await;
        let gate = Arc::clone(&self.ctx.suspects.gate);
        if gate.is_empty() {
            return Ok(None);
        }
        let fingerprint = self.fingerprint();
        let admitted = gate.admit(fingerprint, until);
        admitted.await.map_err(|kept_back| match kept_back {
            Blocked::Refused {
                crashes,
                retry_after,
            } if self.runs == 0 => Failure::Crashing {
                crashes,
                retry_after,
            },
            Blocked::Refused { .. } => self.given_up("targets crash under it"),
            Blocked::Waiting => self.given_up("others like it run"),
        })
    }

    /// Finds out whether a target crashed under the request; it was sent at
    /// `answered_from` if the target had begun to answer it.
    pub(super) async fn broke_off(
        &mut self,
        target: &TargetId,
        addr: SocketAddr,
        ran: Duration,
        answered_from: Option<Instant>,
    ) {
        let run = quarantine::BrokenRun {
            fingerprint: self.fingerprint(),
            id: self.forward.id.clone(),
            target: target.clone(),
            addr,
            run_time: ran,
            sent_at: answered_from,
        };
        quarantine::check_crash(&self.ctx, run).await;
    }

    /// Returns the time to the first event that is still to be met, for a
    /// request that may be refused: one that may have run is not.
    pub(super) fn objective(&self) -> Option<Duration> {
        let objective = self.route.objective;
        if self.runs > 0 || objective.is_zero() {
            return None;
        }
        Some(objective.saturating_sub(self.trace.age()))
    }

    /// Returns how to answer when no further offer is made.
    pub(super) fn given_up(&self, reason: &'static str) -> Failure {
        if self.runs > 0 {
            return Failure::Unknown { reason };
        }
        Failure::NotRun {
            retry_after: RETRY_AFTER,
            reason,
        }
    }

    async fn offer(
        &self,
        choice: &Choice,
        running: Running,
        resume_after: Option<u64>,
    ) -> Result<Begun, NoReply> {
        let sent = Instant::now();
        let call = Call {
            request: Arc::clone(&self.forward),
            target: choice.target.clone(),
            addr: choice.addr,
            remaining: self.deadline.saturating_duration_since(sent),
            resume_after,
        };
        let replied = (self.ctx.targets.call)(call);
        let until = tokio::time::Instant::from_std(self.deadline);
        let reply = match tokio::time::timeout_at(until, replied).await {
            Ok(reply) => reply?,
            Err(_) => return Err(NoReply::Unknown(TIMED_OUT)),
        };
        Ok(Begun {
            reply,
            running,
            addr: choice.addr,
            sent,
            begun: Instant::now(),
            trial: None,
        })
    }

    /// Returns an answer that may be passed on, or what it amounts to.
    fn judge(&self, begun: Begun) -> Result<Begun, NoReply> {
        let status = begun.reply.status;
        if status.is_success() && !begun.reply.is_signed {
            return Err(NoReply::Unknown("unsigned success"));
        }
        // These statuses promise that nothing ran, and the target has not
        // said so.
        let promises = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::MISDIRECTED_REQUEST,
        ];
        if promises.contains(&status) {
            return Err(NoReply::Unknown("refused without saying so"));
        }
        let runs_left = self.runs + 1 < self.route.attempts_max;
        if status.is_server_error() && self.route.is_repeatable() && runs_left {
            return Err(NoReply::Unknown(TARGET_FAILED));
        }
        Ok(begun)
    }

    fn note(&mut self, target: &TargetId, err: NoReply) {
        let now = Instant::now();
        self.ctx.metrics.count(Counted::Offers, err.reason());
        let fingerprint = err.may_have_run().then(|| self.fingerprint());
        self.trace.offer_failed(target, err, fingerprint);
        let mut places = lock(&self.ctx.balancer);
        match err {
            NoReply::Full => places.record_rejection(target, now),
            NoReply::NotSent(_) | NoReply::OtherTarget => {
                places.record_connection_failure(target, now)
            }
            NoReply::Unknown(TIMED_OUT) => {}
            NoReply::Unknown(TARGET_FAILED) => places.record_request_failure(target, now),
            NoReply::Broken | NoReply::Unknown(_) => places.record_connection_failure(target, now),
            NoReply::Rejected(_) => {}
        }
    }

    /// Returns whether the request may be offered to another target.
    fn may_go_on(&mut self, err: NoReply, offers: u32) -> Result<(), Failure> {
        match err {
            NoReply::Rejected(status) => return Err(Failure::Rejected(status)),
            NoReply::Unknown(TIMED_OUT) => return Err(Failure::TimedOut),
            err if err.may_have_run() && !self.route.is_repeatable() => {
                return Err(Failure::Unknown {
                    reason: err.reason(),
                });
            }
            _ => {}
        }
        if self.runs >= self.route.attempts_max || offers >= OFFERS_MAX {
            return Err(self.given_up(err.reason()));
        }
        if !lock(&self.ctx.budget).withdraw() {
            return Err(self.given_up("too many retries"));
        }
        Ok(())
    }
}

/// Why an offer ended when the request's time was over.
const TIMED_OUT: &str = "timed out";
/// Why an offer came to nothing when the target answered that it failed.
const TARGET_FAILED: &str = "target failed";
/// When to come back after targets refused or could not be reached: about the
/// time in which a place falls free.
const RETRY_AFTER: Duration = Duration::from_millis(150);
