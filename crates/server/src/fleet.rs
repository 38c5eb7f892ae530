//! The leases of this host on targets.
//!
//! One actor folds the fleet's stream, renews this host's session, and claims
//! and releases targets so that each is held by the host that should hold it.
//! A target held here has a [`Dispatcher`].

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use notchwharf_clients::error::ReadError;
use notchwharf_clients::hosts::Kind;
use notchwharf_config::settings::ms;
use notchwharf_ledger::fleet::Entry;
use notchwharf_ledger::fleet::Fleet;
use notchwharf_ledger::fleet::Record;
use notchwharf_ledger::record;
use notchwharf_ledger::record::Epoch;
use notchwharf_ledger::record::HostId;
use notchwharf_ledger::record::Offset;
use notchwharf_ledger::record::RecordId;
use notchwharf_ledger::record::TargetId;
use notchwharf_ledger::rendezvous;
use xtra::prelude::*;
use xtra::refcount::Weak;

use crate::context::Context as Shared;
use crate::context::LOG_WAIT;
use crate::dispatch;
use crate::dispatch::Dispatcher;
use crate::metrics::Counted;
use notchwharf_listen::Phase;

const STREAM: &str = "fleet";
const TICK_PERIOD: Duration = Duration::from_millis(100);
const RESEND_PAUSE: Duration = Duration::from_millis(300);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const PAGE_RECORDS: u32 = 1_000;
/// Records that a new reader goes back. Each renewal repeats its writer's
/// leases, so this need only cover a few lease times.
const TAIL_RECORDS: u64 = 4_096;
/// Time a target stays with a holder that is no longer the preferred one, so
/// that hosts that see different fleets do not pass it to and fro.
const HOLD_MIN: Duration = Duration::from_secs(2);

struct Tick;
struct Tail(Vec<(Offset, Record)>, bool);
struct Lost;
/// The host leaves: it gives back what it holds.
pub(crate) struct End;

#[derive(Debug)]
struct Outstanding {
    record: Record,
    sent: Instant,
    resend_at: Option<Instant>,
}

#[derive(Debug)]
struct Mine {
    epoch: Epoch,
    since: Instant,
}

/// The leases on targets.
pub(crate) struct Leases {
    shared: Arc<Shared>,
    fleet: Fleet,
    heard: HashMap<HostId, Instant>,
    mine: HashMap<TargetId, Mine>,
    outstanding: Option<Outstanding>,
    caught_up: bool,
    ending: bool,
    last_sent: Option<Instant>,
    valid_until: Instant,
    next_seq: u64,
}

impl Actor for Leases {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<Tick> for Leases {
    type Return = ();

    async fn handle(&mut self, _: Tick, ctx: &mut Context<Self>) {
        let now = Instant::now();
        if let Some(outstanding) = &mut self.outstanding {
            if outstanding.resend_at.is_some_and(|at| now >= at) {
                outstanding.resend_at = None;
                let record = outstanding.record.clone();
                self.append(record, ctx);
            }
        } else if self.caught_up {
            self.write(now, ctx);
        }
        self.sync(now);
    }
}

impl Handler<Tail> for Leases {
    type Return = ();

    async fn handle(&mut self, tail: Tail, _: &mut Context<Self>) {
        let now = Instant::now();
        for (offset, record) in tail.0 {
            self.fleet.apply(offset, &record);
            self.heard.insert(record.id.host.clone(), now);
            let mine = self.outstanding.as_ref();
            if mine.is_some_and(|o| o.record.id == record.id) {
                let sent = self.outstanding.take().map_or(now, |o| o.sent);
                self.valid_until = sent + ms(self.shared.settings.lease.duration_ms);
            }
        }
        self.caught_up |= tail.1;
        self.sync(now);
    }
}

impl Handler<Lost> for Leases {
    type Return = ();

    async fn handle(&mut self, _: Lost, _: &mut Context<Self>) {
        if let Some(outstanding) = &mut self.outstanding {
            outstanding.resend_at = Some(Instant::now() + RESEND_PAUSE);
        }
    }
}

impl Handler<End> for Leases {
    type Return = ();

    async fn handle(&mut self, _: End, _: &mut Context<Self>) {
        self.ending = true;
        self.last_sent = None;
    }
}

/// Asks whether everything was given back.
pub(crate) struct Ended;

impl Handler<Ended> for Leases {
    type Return = bool;

    async fn handle(&mut self, _: Ended, _: &mut Context<Self>) -> bool {
        self.ending && self.mine.is_empty()
    }
}

impl Leases {
    fn write(&mut self, now: Instant, ctx: &mut Context<Self>) {
        let mut entries = if self.ending {
            vec![Entry::End]
        } else {
            self.changes(now)
        };
        let renew = ms(self.shared.settings.lease.renew_ms);
        let due = self
            .last_sent
            .is_none_or(|at| now.duration_since(at) >= renew);
        if entries.is_empty() && !due {
            return;
        }
        if self.ending && !due {
            return;
        }
        if !self.ending {
            entries.extend(self.keeps());
        }
        let id = RecordId {
            host: self.shared.host().clone(),
            incarnation: self.shared.incarnation,
            seq: self.next_seq,
        };
        self.next_seq += 1;
        self.last_sent = Some(now);
        let record = Record { id, entries };
        self.outstanding = Some(Outstanding {
            record: record.clone(),
            sent: now,
            resend_at: None,
        });
        self.append(record, ctx);
    }

    fn append(&self, record: Record, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            if !shared.append(STREAM, record::encode(&record)).await {
                let _ = address.send(Lost).await;
            }
        });
    }

    /// Returns claims on targets that this host should hold, and releases of
    /// those that another should.
    fn changes(&self, now: Instant) -> Vec<Entry> {
        let view = self.shared.view();
        let live = view.live_hosts();
        let mut entries = Vec::new();
        for listed in view.listed.values() {
            if !matches!(listed.kind, Kind::Engine { .. }) {
                continue;
            }
            let target = &listed.name;
            let best = rendezvous::top_ranked(target, &live, 1);
            let preferred = best.first() == Some(&self.shared.host().as_str());
            let mine = self.mine.get(target);
            match (preferred, mine) {
                (true, None) if self.may_claim(target, now) => {
                    let seen = self.fleet.observed_lease(target).0;
                    let target = target.clone();
                    entries.push(Entry::Claim { target, seen });
                }
                (false, Some(mine)) if now.duration_since(mine.since) >= HOLD_MIN => {
                    let target = target.clone();
                    entries.push(Entry::Release { target });
                }
                _ => {}
            }
        }
        entries
    }

    fn may_claim(&self, target: &str, now: Instant) -> bool {
        let (seen, over) = self.fleet.observed_lease(target);
        let Some(lease) = self.fleet.lease(target).filter(|_| seen.is_some() && !over) else {
            return true;
        };
        let silence = ms(self.shared.settings.lease.duration_ms);
        self.heard
            .get(&lease.holder)
            .is_none_or(|at| now.duration_since(*at) >= silence)
    }

    fn keeps(&self) -> Vec<Entry> {
        let keep = |(target, mine): (&TargetId, &Mine)| Entry::Keep {
            target: target.clone(),
            epoch: mine.epoch,
        };
        self.mine.iter().map(keep).collect()
    }

    /// Brings the dispatchers in line with the leases held.
    fn sync(&mut self, now: Instant) {
        let valid = now < self.valid_until;
        let shared = Arc::clone(&self.shared);
        let is_mine = |lease: &notchwharf_ledger::fleet::Lease| {
            valid && lease.holder == *shared.host() && lease.incarnation == shared.incarnation
        };
        let held: HashMap<TargetId, Epoch> = self
            .fleet
            .leases()
            .iter()
            .filter(|(_, lease)| is_mine(lease))
            .map(|(target, lease)| (target.clone(), lease.epoch))
            .collect();
        let dispatchers = shared.dispatchers.write();
        let mut dispatchers = dispatchers.unwrap_or_else(PoisonError::into_inner);
        self.mine.retain(|target, mine| {
            let kept = held.get(target) == Some(&mine.epoch);
            if !kept {
                dispatchers.remove(target);
                shared.metrics.count(Counted::Leases, "target lost");
            }
            kept
        });
        for (target, epoch) in held {
            if self.mine.contains_key(&target) {
                continue;
            }
            shared.metrics.count(Counted::Leases, "target taken");
            let address = self.dispatch(&target, epoch, now);
            dispatchers.insert(target.clone(), address);
            self.mine.insert(target, Mine { epoch, since: now });
        }
        shared.metrics.set("targets held", self.mine.len());
    }

    fn dispatch(&self, target: &str, epoch: Epoch, now: Instant) -> Address<Dispatcher> {
        let checks = {
            let view = self.shared.view();
            let listed = view.listed.get(target);
            let checks = |kind: &Kind| {
                matches!(
                    kind,
                    Kind::Engine {
                        checks_fencing: true,
                        ..
                    }
                )
            };
            listed.is_some_and(|l| checks(&l.kind))
        };
        // The old holder's lease has lapsed before anybody could claim; an
        // order of its own may still be on its way to a target that does not
        // look at the fencing number.
        let landing = ms(self.shared.settings.lease.landing_ms);
        let orders_from = if checks { now } else { now + landing };
        dispatch::spawn(&self.shared, target, epoch, orders_from)
    }
}

/// Starts the actor and the tasks that feed it.
pub(crate) fn start(shared: &Arc<Shared>) -> Address<Leases> {
    let now = Instant::now();
    let leases = Leases {
        shared: Arc::clone(shared),
        fleet: Fleet::default(),
        heard: HashMap::new(),
        mine: HashMap::new(),
        outstanding: None,
        caught_up: false,
        ending: false,
        last_sent: None,
        valid_until: now,
        next_seq: 1,
    };
    let address = xtra::spawn_tokio(leases, Mailbox::unbounded());
    tokio::spawn(tick(Arc::clone(shared), address.downgrade()));
    tokio::spawn(read_stream(Arc::clone(shared), address.downgrade()));
    address
}

async fn tick(shared: Arc<Shared>, address: Address<Leases, Weak>) {
    let mut ticks = shared.timer.subscribe(TICK_PERIOD);
    while ticks.recv().await.is_some() && shared.phase() != Phase::Stopped {
        if address.send(Tick).await.is_err() {
            return;
        }
    }
}

async fn read_stream(shared: Arc<Shared>, address: Address<Leases, Weak>) {
    let mut next = None;
    while address.is_connected() {
        let res = read_page(&shared, next).await;
        match res {
            Ok((records, after, end)) => {
                next = Some(after);
                if address.send(Tail(records, end)).await.is_err() {
                    return;
                }
            }
            Err(ReadError::Expired { .. }) => next = None,
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

type FleetPage = (Vec<(Offset, Record)>, Offset, bool);

async fn read_page(shared: &Shared, next: Option<Offset>) -> Result<FleetPage, ReadError> {
    let from = match next {
        Some(next) => next,
        None => {
            let bounds = shared.log.bounds(STREAM).await?;
            bounds.first.max(bounds.next.saturating_sub(TAIL_RECORDS))
        }
    };
    let wait = next.map_or(Duration::ZERO, |_| LOG_WAIT);
    let page = shared.log.read(STREAM, from, PAGE_RECORDS, wait).await?;
    let after = page.records.last().map_or(from, |r| r.offset + 1);
    let records = page
        .records
        .iter()
        .filter_map(|r| Some((r.offset, record::decode(&r.bytes().ok()?).ok()?)))
        .collect();
    Ok((records, after, after >= page.next))
}
