//! Answers to commands, from the folded state or after a record.

use super::Now;
use super::Outstanding;
use super::Owner;
use super::Token;
use super::command::Answer;
use super::command::Command;
use super::command::Reply;
use super::command::Verdict;
use super::command::View;
use super::commit::is_report;
use crate::error::CommandError;
use crate::error::Ignored;
use crate::job::Job;
use crate::job::State;
use crate::record::Entry;
use crate::record::HostId;
use crate::record::Incarnation;
use crate::record::ItemIndex;
use crate::record::JobId;
use crate::record::KeyId;

impl Owner {
    pub(super) fn ask(&mut self, now: Now, token: Token, command: Command) {
        if self.held.is_none() {
            let refused = self.not_owner();
            self.reply(token, Err(refused));
            return;
        }
        match self.answer(now, command) {
            Answered::Now(res) => self.reply(token, res),
            Answered::After(entry) => {
                if self.log_down(now) && !is_report(&entry) {
                    self.reply(token, Err(CommandError::LogDown));
                    return;
                }
                self.push(Some(token), now.at, entry);
                self.flush(now);
            }
        }
    }

    /// Returns whether the lease has lapsed for want of a confirmed append.
    ///
    /// Nobody else can have taken the shard through the log in an outage, but
    /// this host cannot tell an outage from being cut off.
    fn log_down(&self, now: Now) -> bool {
        let late = |o: &Outstanding| now.at.duration_since(o.first_sent) >= self.cfg.reply_timeout;
        now.at >= self.valid_until || self.outstanding.as_ref().is_some_and(late)
    }

    fn answer(&mut self, now: Now, command: Command) -> Answered {
        match command {
            Command::PutFile(file) => Answered::After(Entry::File(file)),
            Command::GetFile { file, tenant } => Answered::Now(self.file(&file, &tenant)),
            Command::CreateJob(spec) => {
                if self.shard.jobs().contains_key(&spec.id) {
                    return Answered::Now(self.view(&spec.id, Some(&spec.tenant)));
                }
                Answered::After(Entry::Job(spec))
            }
            Command::GetJob { job, tenant } => Answered::Now(self.view(&job, tenant.as_deref())),
            Command::ListJobs { tenant } => Answered::Now(Ok(self.list(tenant.as_deref()))),
            Command::CancelJob { job, tenant } => self.cancel(job, tenant.as_deref()),
            Command::Answers {
                job,
                tenant,
                from,
                max,
            } => Answered::Now(self.answers(&job, &tenant, from, max)),
            Command::Take {
                serving,
                max,
                host,
                incarnation,
            } => Answered::Now(self.take(now, &serving, max, (&host, incarnation))),
            Command::Running {
                items,
                host,
                incarnation,
            } => {
                for key in items {
                    self.queue.mark_running(key, (&host, incarnation), now.at);
                }
                Answered::Now(Ok(Reply::Done))
            }
            Command::Settle { job, item, verdict } => self.settle(job, item, verdict),
            Command::Return { items } => {
                for key in items {
                    self.queue.give_back(self.shard.jobs(), key);
                }
                Answered::Now(Ok(Reply::Done))
            }
            Command::KeyStart { key, digest } => self.start_key(now, key, digest),
            Command::KeyEnd { key, place } => Answered::After(Entry::KeyEnd { key, place }),
            Command::KeyUnsent { key } => Answered::After(Entry::KeyUnsent { key }),
        }
    }

    pub(super) fn file(&self, file: &str, tenant: &str) -> Result<Reply, CommandError> {
        self.shard
            .files()
            .get(file)
            .filter(|f| f.tenant == tenant)
            .map(|f| Reply::File(f.clone()))
            .ok_or(CommandError::Invalid(Ignored::Unknown))
    }

    fn job(&self, job: &str, tenant: Option<&str>) -> Result<&Job, CommandError> {
        self.shard
            .jobs()
            .get(job)
            .filter(|j| tenant.is_none_or(|t| t == j.spec.tenant))
            .ok_or(CommandError::Invalid(Ignored::Unknown))
    }

    pub(super) fn view(&self, job: &str, tenant: Option<&str>) -> Result<Reply, CommandError> {
        let job = self.job(job, tenant)?;
        Ok(Reply::Job(Box::new(View::of(job))))
    }

    fn list(&self, tenant: Option<&str>) -> Reply {
        let wanted = |j: &&Job| tenant.is_none_or(|t| t == j.spec.tenant);
        Reply::Jobs(
            self.shard
                .jobs()
                .values()
                .filter(wanted)
                .map(View::of)
                .collect(),
        )
    }

    fn cancel(&self, job: JobId, tenant: Option<&str>) -> Answered {
        match self.job(&job, tenant) {
            Err(refused) => Answered::Now(Err(refused)),
            Ok(found) if found.state() != State::InProgress => {
                Answered::Now(Ok(Reply::Job(Box::new(View::of(found)))))
            }
            Ok(_) => Answered::After(Entry::Cancel { job }),
        }
    }

    fn answers(
        &self,
        job: &str,
        tenant: &str,
        from: ItemIndex,
        max: u32,
    ) -> Result<Reply, CommandError> {
        let job = self.job(job, Some(tenant))?;
        let upto = job.counts.total.min(from.saturating_add(max.max(1)));
        let answers = (from..upto)
            .filter_map(|item| Answer::of(job, item))
            .collect();
        let next = (upto < job.counts.total).then_some(upto);
        Ok(Reply::Answers { answers, next })
    }

    pub(super) fn take(
        &mut self,
        now: Now,
        serving: &str,
        max: u32,
        host: (&HostId, Incarnation),
    ) -> Result<Reply, CommandError> {
        if now.at >= self.valid_until {
            return Err(CommandError::LogDown);
        }
        if now.at.duration_since(self.held_since) < self.cfg.takeover_grace {
            // Hosts still report what they run; handing it out would run it
            // twice for nothing.
            return Ok(Reply::Work(Vec::new()));
        }
        let jobs = self.shard.jobs();
        let works = self.queue.take(jobs, serving, max as usize, host, now.at);
        Ok(Reply::Work(works))
    }

    fn settle(&self, job: JobId, item: ItemIndex, verdict: Verdict) -> Answered {
        let known = match self.job(&job, None) {
            Err(refused) => return Answered::Now(Err(refused)),
            Ok(known) => known,
        };
        if known.cancelled {
            return Answered::Now(Err(CommandError::Invalid(Ignored::Cancelled)));
        }
        Answered::After(match verdict {
            Verdict::Done(place) => Entry::Done { job, item, place },
            Verdict::Failed(failure) => Entry::Failed { job, item, failure },
            Verdict::TargetFailed { before } => Entry::Attempt { job, item, before },
        })
    }

    fn start_key(&self, now: Now, key: KeyId, digest: String) -> Answered {
        let at_unix_ms = now.unix_ms;
        match self.shard.keys().get(&key) {
            None => Answered::After(Entry::KeyStart {
                key,
                digest,
                at_unix_ms,
            }),
            Some(known) if known.digest != digest => {
                Answered::Now(Err(CommandError::Invalid(Ignored::OtherBody)))
            }
            Some(known) => Answered::Now(
                known
                    .end
                    .map(Reply::Ended)
                    .ok_or(CommandError::Invalid(Ignored::Started)),
            ),
        }
    }
}

enum Answered {
    Now(Result<Reply, CommandError>),
    After(Entry),
}
