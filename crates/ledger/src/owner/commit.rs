//! Records on their way into the log: one append at a time, and who waits.
//!
//! This stands apart because it alone decides what a caller may be told: done
//! when the record was read back, not run when it can never count, and unknown
//! otherwise. Answering on the append's own answer was rejected, since a lost
//! answer says nothing.

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

/// First pause before an append is sent again.
const RESEND_MIN: Duration = Duration::from_millis(50);
/// Longest pause before an append is sent again.
const RESEND_MAX: Duration = Duration::from_secs(1);
/// Most entries in one append.
const ENTRIES_MAX: usize = 4_096;

impl Owner {
    pub(super) fn confirm(&mut self, outcomes: Vec<Outcome>) {
        let Some(outstanding) = self.outstanding.take() else {
            return;
        };
        let entries = outstanding.record.entries;
        for ((token, entry), outcome) in outstanding.tokens.into_iter().zip(entries).zip(outcomes) {
            if let Some(token) = token {
                let res = self.confirmed(&entry, outcome);
                self.reply(token, res);
            }
        }
    }

    fn confirmed(&self, entry: &Entry, outcome: Outcome) -> Result<Reply, CommandError> {
        match (entry, outcome) {
            (_, Err(Ignored::Fenced)) => Err(self.not_owner()),
            (_, Err(ignored)) => Err(CommandError::Invalid(ignored)),
            (Entry::File(file), Ok(())) => self.file(&file.id, &file.tenant),
            (Entry::Job(spec), Ok(())) => self.view(&spec.id, None),
            (Entry::Cancel { job }, Ok(())) => self.view(job, None),
            (_, Ok(())) => Ok(Reply::Done),
        }
    }

    pub(super) fn append_lost(&mut self, now: Now) {
        if let Some(outstanding) = &mut self.outstanding {
            outstanding.resend_at = Some(now.at + outstanding.pause);
            outstanding.pause = (outstanding.pause * 2).min(RESEND_MAX);
        }
    }

    pub(super) fn resend(&mut self, now: Now) {
        let fenced = self.outstanding.as_ref().is_some_and(|o| self.is_void(o));
        if fenced {
            self.give_up_outstanding();
            return;
        }
        if let Some(outstanding) = &mut self.outstanding
            && outstanding.resend_at.is_some_and(|at| now.at >= at)
        {
            outstanding.resend_at = None;
            // The validity of the lease counts from the first sending, which
            // is the earliest moment at which the log can have taken it.
            let record = outstanding.record.clone();
            self.effects.push(Effect::Append(record));
        }
    }

    /// Returns whether a record cannot take effect any more.
    fn is_void(&self, outstanding: &Outstanding) -> bool {
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

    fn give_up_outstanding(&mut self) {
        let refused = self.not_owner();
        if let Some(outstanding) = self.outstanding.take() {
            for token in outstanding.tokens.into_iter().flatten() {
                self.reply(token, Err(refused.clone()));
            }
        }
    }

    /// Answers commands that have waited too long for the log.
    pub(super) fn answer_overdue(&mut self, now: Now) {
        let timeout = self.cfg.reply_timeout;
        let overdue = |since: Instant| now.at.duration_since(since) >= timeout;
        let mut late = Vec::new();
        self.pending.retain_mut(|pending| {
            let Some(token) = pending.token.filter(|_| overdue(pending.since)) else {
                return true;
            };
            late.push((token, CommandError::LogDown));
            // Reports of hosts are kept: they cost work to make again.
            pending.token = None;
            is_report(&pending.entry)
        });
        if let Some(outstanding) = &mut self.outstanding
            && overdue(outstanding.first_sent)
        {
            let tokens = outstanding.tokens.iter_mut();
            late.extend(tokens.filter_map(|t| t.take().map(|t| (t, CommandError::Unknown))));
        }
        for (token, refused) in late {
            self.reply(token, Err(refused));
        }
    }

    pub(super) fn maybe_claim(&mut self, now: Now) {
        if !self.preferred || !self.caught_up || self.outstanding.is_some() {
            return;
        }
        let silent = now.at.duration_since(self.heard_at) >= self.cfg.lease_duration;
        let (supersedes, seen) = match self.shard.lease() {
            Some(_) if !silent => return,
            Some(lease) => (Some(lease.epoch), lease.last),
            None => (None, 0),
        };
        let claim = Entry::Claim { supersedes, seen };
        self.send(now, None, vec![None], vec![claim]);
    }

    pub(super) fn maybe_release(&mut self, now: Now) {
        let settled = now.at.duration_since(self.held_since) >= self.cfg.takeover_grace;
        let quiet = self.outstanding.is_none() && self.pending.is_empty();
        if settled && quiet {
            self.push(None, now.at, Entry::Release);
        }
    }

    pub(super) fn flush(&mut self, now: Now) {
        let Some(epoch) = self.held else {
            return;
        };
        if self.outstanding.is_some() {
            return;
        }
        let last_sent = self.last_sent;
        let due = |pause| last_sent.is_none_or(|at| now.at.duration_since(at) >= pause);
        if self.pending.is_empty() && due(self.cfg.renew_interval) {
            self.push(None, now.at, Entry::Renew);
        }
        if self.pending.is_empty() || !due(self.cfg.commit_interval.max(self.pace)) {
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
        debug_assert!(self.outstanding.is_none(), "One append at a time.");
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
        self.last_sent = Some(now.at);
        self.effects.push(Effect::Append(record.clone()));
        self.outstanding = Some(Outstanding {
            record,
            tokens,
            first_sent: now.at,
            resend_at: None,
            pause: RESEND_MIN,
        });
    }

    pub(super) fn push(&mut self, token: Option<Token>, since: Instant, entry: Entry) {
        self.pending.push(Pending {
            token,
            since,
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

    pub(super) fn refuse_all(&mut self) {
        let refused = self.not_owner();
        let pending = std::mem::take(&mut self.pending);
        for token in pending.into_iter().filter_map(|p| p.token) {
            self.reply(token, Err(refused.clone()));
        }
    }
}

/// Returns whether an entry reports work that a host has done.
pub(super) fn is_report(entry: &Entry) -> bool {
    matches!(
        entry,
        Entry::Done { .. } | Entry::Failed { .. } | Entry::Attempt { .. } | Entry::KeyEnd { .. }
    )
}
