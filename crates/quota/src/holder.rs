//! State of a holder: the shares leased to it, and a token bucket per limited workspace.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::HostKey;
use crate::WorkspaceKey;
use crate::bucket::Bucket;
use crate::params::BucketParams;

/// Time after the allowance was requested during which leases still add theirs: a healthy
/// store responds within about 10 ms, and leases arrive within three requests. Two allowances
/// requested one window apart must not move closer together than this.
pub(crate) const ALLOWANCE_TTL: Duration = Duration::from_secs(1);

/// Time after the first lease within which requests that would be refused are answered as
/// unknown instead, so that they are retried: the other leases and the allowance usually
/// arrive within it.
const FILL_TIME: Duration = Duration::from_millis(200);

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run after a delay.
    Admitted {
        /// Time until the request may run.
        delay: Duration,
    },
    /// The limit is reached.
    Refused {
        /// Time until a token is available again.
        retry_after: Duration,
    },
    /// The holder has no leases, or does not know the workspace's limit.
    Unknown,
}

/// Fraction of a holder slot's shares above which its holder requests the allowance: more than
/// half, which no two hosts can hold at the same time.
const ALLOWANCE_SHARE_MIN: f64 = 0.6;

#[derive(Clone, Copy, Debug)]
struct Lease {
    share: f64,
    expires_at: Instant,
}

/// Buckets of one holder slot. They are refilled whenever the total share changes, so each
/// refills at a constant rate between two changes, however rarely it is used.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holder {
    leases: HashMap<HostKey, Lease>,
    /// Sum of the leased shares.
    total_share: f64,
    limits: HashMap<WorkspaceKey, BucketParams>,
    buckets: HashMap<WorkspaceKey, Bucket>,
    /// Expiry of the lease that ends next.
    next_expiry: Option<Instant>,
    allowance: Allowance,
    /// Time until which a refusal is reported as unknown because more tokens may still be
    /// added.
    pending_until: Option<Instant>,
}

/// State of the allowance for buckets of a holder that does not know what was admitted
/// before.
#[derive(Clone, Debug, Default)]
enum Allowance {
    /// It has not been requested.
    #[default]
    NotRequested,
    /// It has been requested.
    Requested,
    /// It was denied, or its time is over.
    Closed,
    /// Leases obtained until `until` add their allowance, each host's once.
    Open {
        until: Instant,
        added: HashSet<HostKey>,
    },
}

impl Holder {
    /// Replaces the limits. Buckets of the initial limits start empty because earlier
    /// requests are unknown. Buckets added later belong to limits that did not exist before,
    /// for which nothing was counted, and start full.
    pub(crate) fn set_limits(&mut self, limits: HashMap<WorkspaceKey, BucketParams>, now: Instant) {
        self.refill_buckets(now);
        let is_first = self.limits.is_empty();
        self.limits = limits;
        self.buckets.retain(|key, _| self.limits.contains_key(key));
        for (key, params) in &self.limits {
            let capacity = params.scale(self.total_share).capacity;
            let tokens = if is_first { 0.0 } else { capacity };
            let bucket = self.buckets.entry(*key);
            let bucket = bucket.or_insert_with(|| Bucket::new(tokens, now));
            bucket.refill(params.scale(self.total_share), now);
        }
    }

    /// Adds or extends the lease of a host's share.
    pub(crate) fn add_lease(
        &mut self,
        host: HostKey,
        share: f64,
        expires_at: Instant,
        now: Instant,
    ) {
        self.remove_expired(now);
        if expires_at <= now {
            return;
        }
        let previous = self.leases.get(&host);
        let is_changed = previous.is_none_or(|previous| previous.share != share);
        if self.leases.is_empty() {
            self.pending_until = Some(now + FILL_TIME);
        }
        let expires_at =
            previous.map_or(expires_at, |previous| previous.expires_at.max(expires_at));
        self.leases.insert(host, Lease { share, expires_at });
        self.next_expiry = Some(
            self.next_expiry
                .map_or(expires_at, |expiry| expiry.min(expires_at)),
        );
        if is_changed {
            self.update_total_share(now);
        }
        self.add_allowance(now);
    }

    /// Returns whether the allowance should be requested: it has not been yet, and the holder
    /// has so much of the slot that no other host has as much.
    pub(crate) fn should_request_allowance(&self, slot_share: f64) -> bool {
        let is_unrequested = matches!(self.allowance, Allowance::NotRequested);
        is_unrequested && self.has_limits() && self.total_share >= slot_share * ALLOWANCE_SHARE_MIN
    }

    /// Records that the allowance is being requested.
    pub(crate) fn mark_allowance_requested(&mut self) {
        self.allowance = Allowance::Requested;
    }

    /// Records that the allowance was denied.
    pub(crate) fn deny_allowance(&mut self) {
        self.allowance = Allowance::Closed;
    }

    /// Returns whether more tokens than the refill rate yields may still be added.
    fn may_gain_tokens(&self, now: Instant) -> bool {
        let is_open = !matches!(self.allowance, Allowance::Closed);
        is_open && self.pending_until.is_some_and(|until| now < until)
    }

    /// Grants the allowance, for current leases and those still to come. Its time starts when
    /// it was requested, as recorded in the store, and not when the store responded: a late
    /// response could otherwise overlap with the next allowance.
    pub(crate) fn grant_allowance(&mut self, requested_at: Instant, now: Instant) {
        self.allowance = Allowance::Open {
            until: requested_at + ALLOWANCE_TTL,
            added: HashSet::new(),
        };
        self.add_allowance(now);
    }

    /// Adds the allowance of leases that have not added theirs yet.
    fn add_allowance(&mut self, now: Instant) {
        let Allowance::Open { until, added } = &mut self.allowance else {
            return;
        };
        if now >= *until {
            self.allowance = Allowance::Closed;
            return;
        }
        let new_leases = self.leases.iter().filter(|(host, _)| added.insert(**host));
        let new_share: f64 = new_leases.map(|(_, lease)| lease.share).sum();
        if new_share <= 0.0 {
            return;
        }
        for (key, bucket) in &mut self.buckets {
            if let Some(params) = self.limits.get(key) {
                let allowance = params.scale(new_share).allowance;
                bucket.add(allowance, params.scale(self.total_share));
            }
        }
    }

    /// Removes expired leases.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        if self.next_expiry.is_none_or(|expiry| now < expiry) {
            return;
        }
        let count_before = self.leases.len();
        self.leases.retain(|_, lease| now < lease.expires_at);
        self.next_expiry = self.leases.values().map(|lease| lease.expires_at).min();
        if self.leases.len() < count_before {
            self.update_total_share(now);
        }
    }

    /// Releases all leases.
    pub(crate) fn release_all(&mut self, now: Instant) {
        self.leases.clear();
        self.next_expiry = None;
        self.update_total_share(now);
    }

    /// Recalculates the total share. Buckets refill at the previous share until now; tokens
    /// above the new capacity are discarded.
    fn update_total_share(&mut self, now: Instant) {
        self.refill_buckets(now);
        let sum: f64 = self.leases.values().map(|lease| lease.share).sum();
        self.total_share = sum.min(1.0);
        if self.leases.is_empty() {
            // Knowledge of earlier requests ends with the last lease.
            self.allowance = Allowance::NotRequested;
        }
        self.refill_buckets(now);
    }

    fn refill_buckets(&mut self, now: Instant) {
        for (key, bucket) in &mut self.buckets {
            if let Some(params) = self.limits.get(key) {
                bucket.refill(params.scale(self.total_share), now);
            }
        }
    }

    /// Returns whether a host's share is leased to this holder.
    pub(crate) fn has_lease(&self, host: HostKey, now: Instant) -> bool {
        self.leases
            .get(&host)
            .is_some_and(|lease| now < lease.expires_at)
    }

    /// Returns whether any workspace is limited.
    pub(crate) fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Returns the sum of the leased shares.
    pub(crate) fn total_share(&self) -> f64 {
        self.total_share
    }

    /// Decides whether a request may run, now or within `max_delay`: a request that arrives
    /// shortly before a token is available can still meet its objective. A delay never
    /// extends beyond the next expiry of a lease, so that the leases held now cover it.
    pub(crate) fn decide(
        &mut self,
        workspace: WorkspaceKey,
        max_delay: Duration,
        now: Instant,
    ) -> Decision {
        self.remove_expired(now);
        let until_expiry = self
            .next_expiry
            .map(|expiry| expiry.saturating_duration_since(now));
        let max_delay = max_delay.min(until_expiry.unwrap_or_default());
        let may_gain_tokens = self.may_gain_tokens(now);
        let (Some(params), Some(bucket)) = (
            self.limits.get(&workspace),
            self.buckets.get_mut(&workspace),
        ) else {
            return Decision::Unknown;
        };
        if self.total_share <= 0.0 {
            return Decision::Unknown;
        }
        let params = params.scale(self.total_share);
        bucket.refill(params, now);
        if let Some(delay) = bucket.try_take(params, max_delay) {
            return Decision::Admitted { delay };
        }
        if may_gain_tokens {
            return Decision::Unknown;
        }
        Decision::Refused {
            retry_after: bucket.next_retry_after(params, now),
        }
    }

    /// Returns the token of a request that was not run.
    pub(crate) fn refund(&mut self, workspace: WorkspaceKey, now: Instant) {
        self.remove_expired(now);
        let params = self.limits.get(&workspace);
        if let (Some(params), Some(bucket)) = (params, self.buckets.get_mut(&workspace)) {
            bucket.refund(params.scale(self.total_share));
        }
    }
}
