//! What a host may let in for all others: the parts that were lent to it, and a bucket
//! for each limited workspace.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::HostKey;
use crate::WorkspaceKey;
use crate::bucket::Bucket;
use crate::limit::BucketParams;

/// Time for which parts bring their allowance after it was asked for: a healthy store
/// answers within some ten milliseconds, and parts come within three calls. Two that are
/// asked for a window apart must not come closer by more than this.
pub(crate) const ALLOWANCE_TIME: Duration = Duration::from_secs(1);

/// Time after the first part within which whoever would be refused is told to ask again:
/// the other parts and the allowance mostly come within it.
const PENDING: Duration = Duration::from_millis(200);

/// What came of a request's question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may go when so much time has passed.
    Admitted {
        /// The time.
        delay: Duration,
    },
    /// The limit is reached.
    Refused {
        /// When there is room again.
        retry_after: Duration,
    },
    /// No part is lent to the holder, or it knows of no such limit.
    Unknown,
}

/// Part of a slot from which on its holder asks for the allowance: more than half, which
/// two hosts cannot have at once.
const SHARE_MIN: f64 = 0.6;

#[derive(Clone, Copy, Debug)]
struct Part {
    part: f64,
    until: Instant,
}

/// The buckets of one slot. They are settled whenever the sum of parts changes: between
/// two changes each fills evenly, however seldom it is looked at.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holder {
    parts: HashMap<HostKey, Part>,
    /// The sum of the parts.
    share: f64,
    terms: HashMap<WorkspaceKey, BucketParams>,
    buckets: HashMap<WorkspaceKey, Bucket>,
    /// When the next part falls back.
    next_end: Option<Instant>,
    allowance: Allowance,
    /// Until when it is worth a wait whether the allowance is given.
    pending_until: Option<Instant>,
}

/// Whether the buckets of a holder that knows nothing of what went before may begin with
/// the allowance.
#[derive(Clone, Debug, Default)]
enum Allowance {
    /// Nobody has asked for it.
    #[default]
    Unasked,
    /// It was asked for.
    Query,
    /// It was not given, or is over.
    Closed,
    /// Parts that come until then bring their allowance, each once.
    Open {
        until: Instant,
        brought: HashSet<HostKey>,
    },
}

impl Holder {
    /// Puts other limits in force. Buckets of the first limits begin empty: nobody knows
    /// what went before. Later ones belong to limits that were not there before, under
    /// which nothing is counted, and begin full.
    pub(crate) fn set_limits(&mut self, terms: HashMap<WorkspaceKey, BucketParams>, now: Instant) {
        self.settle(now);
        let is_first = self.terms.is_empty();
        self.terms = terms;
        self.buckets.retain(|key, _| self.terms.contains_key(key));
        for (key, terms) in &self.terms {
            let capacity = terms.share(self.share).capacity;
            let level = if is_first { 0.0 } else { capacity };
            let bucket = self.buckets.entry(*key);
            let bucket = bucket.or_insert_with(|| Bucket::new(level, now));
            bucket.fill(terms.share(self.share), now);
        }
    }

    /// Takes in that a host has lent its part until a time.
    pub(crate) fn lent(&mut self, host: HostKey, part: f64, until: Instant, now: Instant) {
        self.expire(now);
        if until <= now {
            return;
        }
        let before = self.parts.get(&host);
        let is_change = before.is_none_or(|before| before.part != part);
        if self.parts.is_empty() {
            self.pending_until = Some(now + PENDING);
        }
        let until = before.map_or(until, |before| before.until.max(until));
        self.parts.insert(host, Part { part, until });
        self.next_end = Some(self.next_end.map_or(until, |end| end.min(until)));
        if is_change {
            self.sum_up(now);
        }
        self.bring(now);
    }

    /// Returns whether the allowance should be asked for: nearly all of the slot is here,
    /// so that no other host has as much, and nobody has asked since.
    pub(crate) fn next_allowance_request(&self, whole: f64) -> bool {
        let is_new = matches!(self.allowance, Allowance::Unasked);
        is_new && self.has_limits() && self.share >= whole * SHARE_MIN
    }

    /// Notes that the allowance is being asked for.
    pub(crate) fn ask_allowance(&mut self) {
        self.allowance = Allowance::Query;
    }

    /// Notes that the allowance is not given.
    pub(crate) fn deny_allowance(&mut self) {
        self.allowance = Allowance::Closed;
    }

    /// Returns whether more may come than what flows in.
    fn is_pending(&self, now: Instant) -> bool {
        let is_open = !matches!(self.allowance, Allowance::Closed);
        is_open && self.pending_until.is_some_and(|until| now < until)
    }

    /// Takes the allowance: for the parts that are here, and for those to come. Its time
    /// runs from when it was asked for, which the record says, and not from the store's
    /// answer: that may be late, and the next one be given meanwhile.
    pub(crate) fn grant_allowance(&mut self, asked: Instant, now: Instant) {
        self.allowance = Allowance::Open {
            until: asked + ALLOWANCE_TIME,
            brought: HashSet::new(),
        };
        self.bring(now);
    }

    /// Adds the allowance of parts that have not brought it yet.
    fn bring(&mut self, now: Instant) {
        let Allowance::Open { until, brought } = &mut self.allowance else {
            return;
        };
        if now >= *until {
            self.allowance = Allowance::Closed;
            return;
        }
        let new = self.parts.iter().filter(|(host, _)| brought.insert(**host));
        let share: f64 = new.map(|(_, part)| part.part).sum();
        if share <= 0.0 {
            return;
        }
        for (key, bucket) in &mut self.buckets {
            if let Some(terms) = self.terms.get(key) {
                let allowance = terms.share(share).allowance;
                bucket.add(allowance, terms.share(self.share));
            }
        }
    }

    /// Gives back parts whose time is over.
    pub(crate) fn expire(&mut self, now: Instant) {
        if self.next_end.is_none_or(|end| now < end) {
            return;
        }
        let before = self.parts.len();
        self.parts.retain(|_, part| now < part.until);
        self.next_end = self.parts.values().map(|part| part.until).min();
        if self.parts.len() < before {
            self.sum_up(now);
        }
    }

    /// Lets all parts go.
    pub(crate) fn let_go(&mut self, now: Instant) {
        self.parts.clear();
        self.next_end = None;
        self.sum_up(now);
    }

    /// Sums the parts up: buckets have filled by the share until now, and what they hold
    /// beyond the new one runs over.
    fn sum_up(&mut self, now: Instant) {
        self.settle(now);
        let sum: f64 = self.parts.values().map(|part| part.part).sum();
        self.share = sum.min(1.0);
        if self.parts.is_empty() {
            // With the last part what was known of earlier requests is lost.
            self.allowance = Allowance::Unasked;
        }
        self.settle(now);
    }

    fn settle(&mut self, now: Instant) {
        for (key, bucket) in &mut self.buckets {
            if let Some(terms) = self.terms.get(key) {
                bucket.fill(terms.share(self.share), now);
            }
        }
    }

    /// Returns whether a host's part is here.
    pub(crate) fn has(&self, host: HostKey, now: Instant) -> bool {
        self.parts.get(&host).is_some_and(|part| now < part.until)
    }

    /// Returns whether any workspace is limited.
    pub(crate) fn has_limits(&self) -> bool {
        !self.terms.is_empty()
    }

    /// Returns the sum of the parts that are here.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }

    /// Answers whether a request may go, now or within a time: one that comes a moment
    /// before there is room is served in time all the same. Promises are made only for as
    /// long as no part falls back, so that they are kept by what is held.
    pub(crate) fn take(
        &mut self,
        workspace: WorkspaceKey,
        patience: Duration,
        now: Instant,
    ) -> Decision {
        self.expire(now);
        let certain = self.next_end.map(|end| end.saturating_duration_since(now));
        let patience = patience.min(certain.unwrap_or_default());
        let is_pending = self.is_pending(now);
        let (Some(terms), Some(bucket)) =
            (self.terms.get(&workspace), self.buckets.get_mut(&workspace))
        else {
            return Decision::Unknown;
        };
        if self.share <= 0.0 {
            return Decision::Unknown;
        }
        let terms = terms.share(self.share);
        bucket.fill(terms, now);
        if let Some(delay) = bucket.take(terms, patience) {
            return Decision::Admitted { delay };
        }
        if is_pending {
            return Decision::Unknown;
        }
        Decision::Refused {
            retry_after: bucket.retry_after(terms, now),
        }
    }

    /// Takes back what a request took that did not go.
    pub(crate) fn refund(&mut self, workspace: WorkspaceKey, now: Instant) {
        self.expire(now);
        let terms = self.terms.get(&workspace);
        if let (Some(terms), Some(bucket)) = (terms, self.buckets.get_mut(&workspace)) {
            bucket.put_back(terms.share(self.share));
        }
    }
}
