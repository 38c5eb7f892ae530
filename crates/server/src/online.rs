//! Online requests: from admission to the whole answer or a typed failure.
//!
//! A chat completion may be run again: it has no effect but its answer. So a
//! stream that breaks is resumed where it stopped, on the same target or
//! another, within the retry budget and the deadline.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use notchwharf_config::bundle::Class;
use notchwharf_config::settings::ms;
use notchwharf_membership::fact::Target;
use notchwharf_proto::datagram;
use notchwharf_proto::datagram::Datagram;
use notchwharf_routing::budget;
use notchwharf_routing::table::Refusal;
use tokio::sync::mpsc;

use crate::bundle::Route;
use crate::context::Context;
use crate::context::lock;
use crate::context::post;
use crate::dispatch::Online;
use crate::exchange;
use crate::exchange::Broken;
use crate::exchange::Progress;
use crate::exchange::Question;
use crate::exchange::Seen;
use crate::exchange::Times;
use crate::metrics::Counted;
use crate::metrics::Timed;
use crate::quarantine;
use notchwharf_listen::Phase;

/// Time after which a notice is repeated.
const NOTICE_PERIOD: Duration = Duration::from_secs(1);

/// An online request, checked.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) tenant: String,
    pub(crate) route: Route,
    pub(crate) question: Question,
    pub(crate) prefix: u64,
    pub(crate) deadline: Instant,
}

/// Why a request has no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No target took it; it was not run.
    NotRun(Refusal),
    /// A target refused it as malformed.
    Rejected(u16),
    /// The deadline has passed.
    Deadline,
    /// Targets crash under it; it was not run.
    Crashing {
        /// When it may be tried once more.
        retry_after: Duration,
    },
    /// Targets broke under it, and no more tries are allowed.
    Broken,
    /// The caller has gone.
    Gone,
}

/// Runs a request; the text goes to `grown` as it comes.
pub(crate) async fn run(
    ctx: &Arc<Context>,
    mut req: Request,
    grown: Option<mpsc::UnboundedSender<String>>,
) -> Result<Progress, Failure> {
    let started = Instant::now();
    let mut progress = Progress::default();
    let mut tried = Vec::new();
    let mut sent = false;
    let mut pauses = budget::backoff(rand::random());
    loop {
        let trial = match quarantine::admit(ctx, &req).await {
            Ok(trial) => trial,
            Err(_) if sent => return Err(Failure::Broken),
            Err(failure) => return Err(failure),
        };
        let chosen = choose(ctx, &mut req, &tried);
        let target = match chosen {
            Ok(target) => target,
            Err(_) if sent && tried.len() > 1 => return Err(Failure::Broken),
            Err(_) if sent => {
                // The target that broke is the only one; it may be back.
                tried.clear();
                pause(&mut pauses, req.deadline).await?;
                if !lock(&ctx.budget).withdraw() {
                    return Err(Failure::Broken);
                }
                continue;
            }
            Err(refusal) => return Err(Failure::NotRun(refusal)),
        };
        let life = quarantine::life_of(ctx, &target);
        let began = Instant::now();
        let res = run_on(ctx, &req, &target, &mut progress, grown.as_ref()).await;
        let broken = match res {
            Ok(()) => {
                lock(&ctx.budget).deposit();
                quarantine::ended_well(ctx, &req);
                let took = started.elapsed();
                ctx.metrics
                    .time(Timed::Whole, Class::Online, &req.tenant, took);
                return Ok(progress);
            }
            Err(broken) => broken,
        };
        if broken == Broken::Cut {
            quarantine::broke_off(ctx, &req, &target, life, began.elapsed()).await;
        }
        // The next run of a suspect begins when it is known how this one ended.
        drop(trial);
        sent |= !matches!(broken, Broken::NotSent | Broken::Refused(_));
        ctx.metrics.count(Counted::Retries, broken.label());
        match broken {
            Broken::Deadline => return Err(Failure::Deadline),
            Broken::Refused(status @ (400 | 413 | 422)) => return Err(Failure::Rejected(status)),
            Broken::Refused(404 | 429 | 503) => {}
            _ => ctx.table().record_failure(&target, Instant::now()),
        }
        tried.push(target);
        if grown.as_ref().is_some_and(mpsc::UnboundedSender::is_closed) {
            return Err(Failure::Gone);
        }
        if !lock(&ctx.budget).withdraw() {
            return Err(Failure::Broken);
        }
        pause(&mut pauses, req.deadline).await?;
    }
}

async fn pause(
    pauses: &mut impl Iterator<Item = Duration>,
    deadline: Instant,
) -> Result<(), Failure> {
    let pause = pauses.next().unwrap_or_default();
    if Instant::now() + pause >= deadline {
        return Err(Failure::Deadline);
    }
    tokio::time::sleep(pause).await;
    Ok(())
}

fn choose(ctx: &Context, req: &mut Request, tried: &[String]) -> Result<String, Refusal> {
    let now = Instant::now();
    let mut table = ctx.table();
    let first = table.choose(&req.route.fingerprint, req.prefix, tried, now);
    let Err(Refusal::NoTarget { .. }) = first else {
        req.question.fingerprint.clone_from(&req.route.fingerprint);
        return first;
    };
    // A roll-out under way: until some target is ready with the new version,
    // the one signed off before serves.
    let Some(previous) = req.route.previous.clone() else {
        return first;
    };
    if table.is_served(&req.route.fingerprint) {
        return first;
    }
    let chosen = table.choose(&previous, req.prefix, tried, now)?;
    req.question.fingerprint = previous;
    Ok(chosen)
}

/// A stream counted at a target; the count ends when it is dropped.
struct InFlight<'a> {
    ctx: &'a Context,
    target: &'a str,
}

impl<'a> InFlight<'a> {
    fn begin(ctx: &'a Context, target: &'a str) -> Self {
        ctx.table().begin(target);
        tell_holder(ctx, target);
        Self { ctx, target }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.ctx.table().end(self.target);
        tell_holder(self.ctx, self.target);
    }
}

/// Tells the target's holder how many online streams this host has there.
fn tell_holder(ctx: &Context, target: &str) {
    let streams = ctx.table().own_streams(target);
    let host = ctx.host().clone();
    if let Some(dispatcher) = ctx.dispatcher(target) {
        post(&dispatcher, Online { host, streams });
        return;
    }
    let Some(addr) = holder_addr(ctx, target) else {
        return;
    };
    let notice = Datagram::Online {
        host,
        target: target.to_owned(),
        streams,
    };
    let bytes = datagram::encode(&notice);
    ctx.metrics
        .add(Counted::GossipBytes, "notices sent", bytes.len() as u64);
    if let Some(socket) = ctx.notices.get() {
        // Lost, the next notice makes up for it.
        let _ = socket.try_send_to(&bytes, addr);
    }
}

/// Repeats the notices while streams are open, in case one was lost.
pub(crate) async fn repeat_notices(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.subscribe(NOTICE_PERIOD);
    while ticks.recv().await.is_some() && ctx.phase() != Phase::Stopped {
        let busy = ctx.table().targets_in_use();
        for target in busy {
            tell_holder(&ctx, &target);
        }
    }
}

fn holder_addr(ctx: &Context, target: &str) -> Option<std::net::SocketAddr> {
    let view = ctx.view();
    let Target { holder, .. } = view.targets.get(target)?;
    let addr = view.hosts.get(holder.as_ref()?)?.addr.as_ref()?;
    Some(addr.gossip)
}

async fn run_on(
    ctx: &Arc<Context>,
    req: &Request,
    target: &str,
    progress: &mut Progress,
    grown: Option<&mpsc::UnboundedSender<String>>,
) -> Result<(), Broken> {
    let url = ctx.target_url(target).ok_or(Broken::NotSent)?;
    let _in_flight = InFlight::begin(ctx, target);
    let times = Times {
        deadline: req.deadline,
        idle: ms(ctx.settings.online.idle_timeout_ms),
    };
    let mut first = progress.tokens == 0;
    let inter = ctx
        .metrics
        .timing(Timed::InterToken, Class::Online, &req.tenant);
    let observe = |seen: Seen<'_>| match seen {
        Seen::Load(load) => {
            let streams = load.running + load.waiting;
            ctx.table()
                .set_reported_streams(target, streams, Instant::now());
        }
        Seen::Grown { text, tokens, took } => {
            let now = Instant::now();
            if first {
                ctx.table().record_first_token(target, took, now);
                let metrics = &ctx.metrics;
                metrics.time(Timed::FirstToken, Class::Online, &req.tenant, took);
            } else {
                let took = took / tokens.max(1);
                ctx.table().record_inter_token(target, took, now);
                inter.record(took);
            }
            first = false;
            if let Some(grown) = grown {
                // A caller that has gone is noticed below.
                let _ = grown.send(text.to_owned());
            }
        }
    };
    let exchange = exchange::run(&ctx.targets, &url, &req.question, times, progress, observe);
    let Some(grown) = grown else {
        return exchange.await;
    };
    tokio::select! {
        res = exchange => res,
        () = grown.closed() => {
            let _ = ctx.targets.cancel(&url, &req.question.request_id).await;
            Err(Broken::Cut)
        }
    }
}
