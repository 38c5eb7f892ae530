//! Appending of records, one at a time, and replies to the commands that wait for them.
//!
//! This module alone decides which outcome a caller receives: success once the record was
//! read back, not executed if the record can no longer take effect, and unknown otherwise.
//! Replying on the response to the append was rejected because a lost response does not
//! indicate whether the append took effect.

use std::time::Duration;
use std::time::Instant;

use super::Effect;
use super::Now;
use super::Outstanding;
use super::Owner;
use super::Pending;
use super::Token;
use super::command::Reply;
use crate::error::CommandError;
use crate::error::Ignored;
use crate::record::Entry;
use crate::record::Epoch;
use crate::record::Record;
use crate::record::RecordId;
use crate::shard::Outcome;

/// First delay before an append is resent; doubles with each resend.
const RESEND_DELAY_MIN: Duration = Duration::from_millis(50);
/// Maximum delay before an append is resent.
const RESEND_DELAY_MAX: Duration = Duration::from_secs(1);
/// Maximum number of entries in one append.
const ENTRIES_MAX: usize = 4_096;

impl Owner {
    /// Replies to the commands of the outstanding append after its record was read back.
    pub(super) fn confirm(&mut self, outcomes: Vec<Outcome>) {
        let Some(outstanding) = self.outstanding.take() else {
            return;
        };
        let entries = outstanding.record.entries;
        for ((token, entry), outcome) in outstanding.tokens.into_iter().zip(entries).zip(outcomes) {
            if let Some(token) = token {
                let res = self.reply_to(&entry, outcome);
                self.reply(token, res);
            }
        }
    }

    fn reply_to(&self, entry: &Entry, outcome: Outcome) -> Result<Reply, CommandError> {
        match (entry, outcome) {
            (_, Err(Ignored::Fenced)) => Err(self.not_owner()),
            (_, Err(ignored)) => Err(CommandError::Invalid(ignored)),
            (Entry::File(file), Ok(())) => self.file(&file.id, &file.tenant),
            (Entry::Job(spec), Ok(())) => self.view(&spec.id, None),
            (Entry::Cancel { job }, Ok(())) => self.view(job, None),
            (_, Ok(())) => Ok(Reply::Done),
        }
    }

    pub(super) fn schedule_resend(&mut self, now: Now) {
        if let Some(outstanding) = &mut self.outstanding {
            outstanding.resend_at = Some(now.at + outstanding.resend_delay);
            outstanding.resend_delay = (outstanding.resend_delay * 2).min(RESEND_DELAY_MAX);
        }
    }

    pub(super) fn resend(&mut self, now: Now) {
        let should_abandon = self
            .outstanding
            .as_ref()
            .is_some_and(|o| self.is_obsolete(o));
        if should_abandon {
            self.abandon_outstanding();
            return;
        }
        if let Some(outstanding) = &mut self.outstanding
            && outstanding.resend_at.is_some_and(|at| now.at >= at)
        {
            outstanding.resend_at = None;
            // `first_sent_at` is not updated: the lease's validity is measured from the first
            // append of the record, the earliest time at which the log can have accepted it.
            let record = outstanding.record.clone();
            self.effects.push(Effect::Append(record));
        }
    }

    /// Returns whether a record can no longer take effect.
    fn is_obsolete(&self, outstanding: &Outstanding) -> bool {
        let epoch = outstanding.record.epoch;
        let current = self.shard.lease().map(|l| l.epoch);
        if epoch.is_some() {
            return current != epoch;
        }
        match outstanding.record.entries.first() {
            Some(Entry::Claim { supersedes, seen }) => {
                let last = self.shard.lease().map_or(0, |l| l.last);
                *supersedes != current || last > *seen
            }
            _ => true,
        }
    }

    fn abandon_outstanding(&mut self) {
        let err = self.not_owner();
        if let Some(outstanding) = self.outstanding.take() {
            for token in outstanding.tokens.into_iter().flatten() {
                self.reply(token, Err(err.clone()));
            }
        }
    }

    /// Replies with an error to commands that have waited too long for the log.
    pub(super) fn time_out_commands(&mut self, now: Now) {
        let timeout = self.cfg.reply_timeout;
        let is_overdue = |since: Instant| now.at.duration_since(since) >= timeout;
        let mut overdue = Vec::new();
        self.pending.retain_mut(|pending| {
            let Some(token) = pending.token.filter(|_| is_overdue(pending.pending_since)) else {
                return true;
            };
            overdue.push((token, CommandError::LogDown));
            // Reports by hosts are retained because their work would have to be repeated.
            pending.token = None;
            is_report(&pending.entry)
        });
        if let Some(outstanding) = &mut self.outstanding
            && is_overdue(outstanding.first_sent_at)
        {
            let tokens = outstanding.tokens.iter_mut();
            overdue.extend(tokens.filter_map(|t| t.take().map(|t| (t, CommandError::Unknown))));
        }
        for (token, err) in overdue {
            self.reply(token, Err(err));
        }
    }

    pub(super) fn maybe_claim(&mut self, now: Now) {
        if !self.is_preferred || !self.is_caught_up || self.outstanding.is_some() {
            return;
        }
        let is_expired = now.at.duration_since(self.lease_renewed_at) >= self.cfg.lease_duration;
        let (supersedes, seen) = match self.shard.lease() {
            Some(_) if !is_expired => return,
            Some(lease) => (Some(lease.epoch), lease.last),
            None => (None, 0),
        };
        let claim = Entry::Claim { supersedes, seen };
        self.send(now, None, vec![None], vec![claim]);
    }

    pub(super) fn maybe_release(&mut self, now: Now) {
        let is_grace_over = now.at.duration_since(self.held_since) >= self.cfg.takeover_grace;
        let is_idle = self.outstanding.is_none() && self.pending.is_empty();
        if is_grace_over && is_idle {
            self.push(None, now.at, Entry::Release);
        }
    }

    /// Appends the pending entries, or a renewal if one is due, unless an append is outstanding
    /// or the last one is too recent.
    pub(super) fn flush(&mut self, now: Now) {
        let Some(epoch) = self.held_epoch else {
            return;
        };
        if self.outstanding.is_some() {
            return;
        }
        let last_append_at = self.last_append_at;
        let is_due =
            |interval| last_append_at.is_none_or(|at| now.at.duration_since(at) >= interval);
        if self.pending.is_empty() && is_due(self.cfg.renew_interval) {
            self.push(None, now.at, Entry::Renew);
        }
        if self.pending.is_empty() || !is_due(self.cfg.commit_interval.max(self.append_interval)) {
            return;
        }
        let count = self.pending.len().min(ENTRIES_MAX);
        let batch: Vec<Pending> = self.pending.drain(..count).collect();
        let tokens = batch.iter().map(|p| p.token).collect();
        let entries = batch.into_iter().map(|p| p.entry).collect();
        self.send(now, Some(epoch), tokens, entries);
    }

    fn send(
        &mut self,
        now: Now,
        epoch: Option<Epoch>,
        tokens: Vec<Option<Token>>,
        entries: Vec<Entry>,
    ) {
        debug_assert!(
            self.outstanding.is_none(),
            "At most one append is outstanding."
        );
        let record = Record {
            id: RecordId {
                host: self.cfg.host.clone(),
                incarnation: self.cfg.incarnation,
                seq: self.next_seq,
            },
            epoch,
            snapshot: self.shard.snapshot(),
            entries,
        };
        self.next_seq += 1;
        self.last_append_at = Some(now.at);
        self.effects.push(Effect::Append(record.clone()));
        self.outstanding = Some(Outstanding {
            record,
            tokens,
            first_sent_at: now.at,
            resend_at: None,
            resend_delay: RESEND_DELAY_MIN,
        });
    }

    pub(super) fn push(&mut self, token: Option<Token>, pending_since: Instant, entry: Entry) {
        self.pending.push(Pending {
            token,
            pending_since,
            entry,
        });
    }

    pub(super) fn reply(&mut self, token: Token, res: Result<Reply, CommandError>) {
        self.effects.push(Effect::Reply { token, res });
    }

    pub(super) fn not_owner(&self) -> CommandError {
        let lease = self.shard.lease();
        let holder = lease
            .map(|l| l.holder.clone())
            .filter(|holder| *holder != self.cfg.host);
        CommandError::NotOwner { holder }
    }

    /// Discards the pending entries and replies with an error to their commands.
    pub(super) fn reject_pending(&mut self) {
        let err = self.not_owner();
        let pending = std::mem::take(&mut self.pending);
        for token in pending.into_iter().filter_map(|p| p.token) {
            self.reply(token, Err(err.clone()));
        }
    }
}

/// Returns whether an entry reports the outcome of work done by a host.
pub(super) fn is_report(entry: &Entry) -> bool {
    matches!(
        entry,
        Entry::Done { .. } | Entry::Failed { .. } | Entry::Attempt { .. } | Entry::KeyEnd { .. }
    )
}
