//! The leases of this host on targets.
//!
//! One actor applies the records of the fleet's stream, renews this host's session, and
//! claims and releases targets so that each is held by the live host with the highest
//! rendezvous weight. Each target held by this host has a [`Dispatcher`].

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
const TICK_INTERVAL: Duration = Duration::from_millis(100);
const RESEND_DELAY: Duration = Duration::from_millis(300);
const RETRY_DELAY: Duration = Duration::from_millis(200);
const PAGE_RECORDS: u32 = 1_000;
/// Records before the end of the stream at which a new reader starts. Each renewal repeats
/// its writer's leases, so these need to cover only a few lease durations.
const INITIAL_RECORDS_MAX: u64 = 4_096;
/// Least time for which a holder that is no longer preferred keeps a target, so that hosts
/// with different views of the fleet do not transfer it back and forth.
const HOLD_TIME_MIN: Duration = Duration::from_secs(2);

struct Tick;
struct RecordsRead(Vec<(Offset, Record)>, bool);
struct AppendUnconfirmed;
/// Releases all leases because the host leaves.
pub(crate) struct ReleaseAll;

#[derive(Debug)]
struct PendingAppend {
    record: Record,
    sent_at: Instant,
    resend_at: Option<Instant>,
}

#[derive(Debug)]
struct HeldLease {
    epoch: Epoch,
    since: Instant,
}

/// The actor that holds the leases on targets.
pub(crate) struct TargetLeases {
    shared: Arc<Shared>,
    fleet: Fleet,
    last_record_at: HashMap<HostId, Instant>,
    held: HashMap<TargetId, HeldLease>,
    pending: Option<PendingAppend>,
    is_caught_up: bool,
    is_releasing: bool,
    last_append_at: Option<Instant>,
    session_valid_until: Instant,
    next_seq: u64,
}

impl Actor for TargetLeases {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<Tick> for TargetLeases {
    type Return = ();

    async fn handle(&mut self, _: Tick, ctx: &mut Context<Self>) {
        let now = Instant::now();
        if let Some(pending) = &mut self.pending {
            if pending.resend_at.is_some_and(|at| now >= at) {
                pending.resend_at = None;
                let record = pending.record.clone();
                self.append(record, ctx);
            }
        } else if self.is_caught_up {
            self.append_changes(now, ctx);
        }
        self.sync_dispatchers(now);
    }
}

impl Handler<RecordsRead> for TargetLeases {
    type Return = ();

    async fn handle(&mut self, read: RecordsRead, _: &mut Context<Self>) {
        let now = Instant::now();
        for (offset, record) in read.0 {
            self.fleet.apply(offset, &record);
            self.last_record_at.insert(record.id.host.clone(), now);
            let pending = self.pending.as_ref();
            if pending.is_some_and(|p| p.record.id == record.id) {
                let sent_at = self.pending.take().map_or(now, |p| p.sent_at);
                self.session_valid_until = sent_at + ms(self.shared.settings.lease.duration_ms);
            }
        }
        self.is_caught_up |= read.1;
        self.sync_dispatchers(now);
    }
}

impl Handler<AppendUnconfirmed> for TargetLeases {
    type Return = ();

    async fn handle(&mut self, _: AppendUnconfirmed, _: &mut Context<Self>) {
        if let Some(pending) = &mut self.pending {
            pending.resend_at = Some(Instant::now() + RESEND_DELAY);
        }
    }
}

impl Handler<ReleaseAll> for TargetLeases {
    type Return = ();

    async fn handle(&mut self, _: ReleaseAll, _: &mut Context<Self>) {
        self.is_releasing = true;
        self.last_append_at = None;
    }
}

/// Returns whether all leases were released after [`ReleaseAll`].
pub(crate) struct IsReleased;

impl Handler<IsReleased> for TargetLeases {
    type Return = bool;

    async fn handle(&mut self, _: IsReleased, _: &mut Context<Self>) -> bool {
        self.is_releasing && self.held.is_empty()
    }
}

impl TargetLeases {
    fn append_changes(&mut self, now: Instant, ctx: &mut Context<Self>) {
        let mut entries = if self.is_releasing {
            vec![Entry::End]
        } else {
            self.changes(now)
        };
        let renew = ms(self.shared.settings.lease.renew_ms);
        let is_renewal_due = self
            .last_append_at
            .is_none_or(|at| now.duration_since(at) >= renew);
        if entries.is_empty() && !is_renewal_due {
            return;
        }
        if self.is_releasing && !is_renewal_due {
            return;
        }
        if !self.is_releasing {
            entries.extend(self.renewals());
        }
        let id = RecordId {
            host: self.shared.host().clone(),
            incarnation: self.shared.incarnation,
            seq: self.next_seq,
        };
        self.next_seq += 1;
        self.last_append_at = Some(now);
        let record = Record { id, entries };
        self.pending = Some(PendingAppend {
            record: record.clone(),
            sent_at: now,
            resend_at: None,
        });
        self.append(record, ctx);
    }

    fn append(&self, record: Record, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            if !shared.append(STREAM, record::encode(&record)).await {
                let _ = address.send(AppendUnconfirmed).await;
            }
        });
    }

    /// Returns claims on targets that this host should hold and releases of those that
    /// another host should hold.
    fn changes(&self, now: Instant) -> Vec<Entry> {
        let view = self.shared.view();
        let live = view.live_hosts();
        let mut entries = Vec::new();
        for listed in view.listed.values() {
            if !matches!(listed.kind, Kind::Engine { .. }) {
                continue;
            }
            let target = &listed.name;
            let ranked = rendezvous::top_ranked(target, &live, 1);
            let is_preferred = ranked.first() == Some(&self.shared.host().as_str());
            let lease = self.held.get(target);
            match (is_preferred, lease) {
                (true, None) if self.can_claim(target, now) => {
                    let observed = self.fleet.observed_lease(target).0;
                    let target = target.clone();
                    entries.push(Entry::Claim {
                        target,
                        seen: observed,
                    });
                }
                (false, Some(lease)) if now.duration_since(lease.since) >= HOLD_TIME_MIN => {
                    let target = target.clone();
                    entries.push(Entry::Release { target });
                }
                _ => {}
            }
        }
        entries
    }

    fn can_claim(&self, target: &str, now: Instant) -> bool {
        let (observed, is_over) = self.fleet.observed_lease(target);
        let Some(lease) = self
            .fleet
            .lease(target)
            .filter(|_| observed.is_some() && !is_over)
        else {
            return true;
        };
        let lease_duration = ms(self.shared.settings.lease.duration_ms);
        self.last_record_at
            .get(&lease.holder)
            .is_none_or(|at| now.duration_since(*at) >= lease_duration)
    }

    fn renewals(&self) -> Vec<Entry> {
        let renewal = |(target, lease): (&TargetId, &HeldLease)| Entry::Keep {
            target: target.clone(),
            epoch: lease.epoch,
        };
        self.held.iter().map(renewal).collect()
    }

    /// Starts and stops dispatchers to match the leases held.
    fn sync_dispatchers(&mut self, now: Instant) {
        let is_valid = now < self.session_valid_until;
        let shared = Arc::clone(&self.shared);
        let is_mine = |lease: &notchwharf_ledger::fleet::Lease| {
            is_valid && lease.holder == *shared.host() && lease.incarnation == shared.incarnation
        };
        let valid_leases: HashMap<TargetId, Epoch> = self
            .fleet
            .leases()
            .iter()
            .filter(|(_, lease)| is_mine(lease))
            .map(|(target, lease)| (target.clone(), lease.epoch))
            .collect();
        let dispatchers = shared.dispatchers.write();
        let mut dispatchers = dispatchers.unwrap_or_else(PoisonError::into_inner);
        self.held.retain(|target, lease| {
            let is_held = valid_leases.get(target) == Some(&lease.epoch);
            if !is_held {
                dispatchers.remove(target);
                shared.metrics.count(Counted::Leases, "target lost");
            }
            is_held
        });
        for (target, epoch) in valid_leases {
            if self.held.contains_key(&target) {
                continue;
            }
            shared.metrics.count(Counted::Leases, "target taken");
            let address = self.spawn_dispatcher(&target, epoch, now);
            dispatchers.insert(target.clone(), address);
            self.held.insert(target, HeldLease { epoch, since: now });
        }
        shared.metrics.set("targets held", self.held.len());
    }

    fn spawn_dispatcher(&self, target: &str, epoch: Epoch, now: Instant) -> Address<Dispatcher> {
        let checks_fencing = {
            let view = self.shared.view();
            let listed = view.listed.get(target);
            let checks_fencing = |kind: &Kind| {
                matches!(
                    kind,
                    Kind::Engine {
                        checks_fencing: true,
                        ..
                    }
                )
            };
            listed.is_some_and(|l| checks_fencing(&l.kind))
        };
        // The previous lease had expired before this host could claim the target. An order of
        // the previous holder may still be in transit, though, and a target that does not
        // check fencing tokens would execute it.
        let landing_time = ms(self.shared.settings.lease.landing_ms);
        let orders_from = if checks_fencing {
            now
        } else {
            now + landing_time
        };
        dispatch::spawn(&self.shared, target, epoch, orders_from)
    }
}

/// Starts the actor, its ticks and the reader of its stream.
pub(crate) fn start(shared: &Arc<Shared>) -> Address<TargetLeases> {
    let now = Instant::now();
    let leases = TargetLeases {
        shared: Arc::clone(shared),
        fleet: Fleet::default(),
        last_record_at: HashMap::new(),
        held: HashMap::new(),
        pending: None,
        is_caught_up: false,
        is_releasing: false,
        last_append_at: None,
        session_valid_until: now,
        next_seq: 1,
    };
    let address = xtra::spawn_tokio(leases, Mailbox::unbounded());
    tokio::spawn(send_ticks(Arc::clone(shared), address.downgrade()));
    tokio::spawn(read_stream(Arc::clone(shared), address.downgrade()));
    address
}

async fn send_ticks(shared: Arc<Shared>, address: Address<TargetLeases, Weak>) {
    let mut ticks = shared.timer.subscribe(TICK_INTERVAL);
    while ticks.recv().await.is_some() && shared.phase() != Phase::Stopped {
        if address.send(Tick).await.is_err() {
            return;
        }
    }
}

async fn read_stream(shared: Arc<Shared>, address: Address<TargetLeases, Weak>) {
    let mut next = None;
    while address.is_connected() {
        let res = read_page(&shared, next).await;
        match res {
            Ok((records, after, end)) => {
                next = Some(after);
                if address.send(RecordsRead(records, end)).await.is_err() {
                    return;
                }
            }
            Err(ReadError::Expired { .. }) => next = None,
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

type RecordPage = (Vec<(Offset, Record)>, Offset, bool);

async fn read_page(shared: &Shared, next: Option<Offset>) -> Result<RecordPage, ReadError> {
    let from = match next {
        Some(next) => next,
        None => {
            let bounds = shared.log.bounds(STREAM).await?;
            bounds
                .first
                .max(bounds.next.saturating_sub(INITIAL_RECORDS_MAX))
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
