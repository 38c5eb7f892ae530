//! Execution of commands: replies from the folded state, or appends an entry first.

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
use crate::job::Phase;
use crate::job::State;
use crate::record::Entry;
use crate::record::HostId;
use crate::record::Incarnation;
use crate::record::ItemIndex;
use crate::record::JobId;
use crate::record::KeyId;

impl Owner {
    pub(super) fn execute(&mut self, now: Now, token: Token, command: Command) {
        if self.held_epoch.is_none() {
            let err = self.not_owner();
            self.reply(token, Err(err));
            return;
        }
        match self.decide(now, command) {
            Decision::Reply(res) => self.reply(token, res),
            Decision::Append(entry) => {
                if self.is_log_down(now) && !is_report(&entry) {
                    self.reply(token, Err(CommandError::LogDown));
                    return;
                }
                self.push(Some(token), now.at, entry);
                self.flush(now);
            }
        }
    }

    /// Returns whether the lease has expired, or the outstanding append has timed out, because
    /// no append was confirmed.
    ///
    /// If the log is unavailable, no other host can claim the shard. But this host cannot
    /// distinguish that from being partitioned from a log that other hosts still reach.
    fn is_log_down(&self, now: Now) -> bool {
        let is_overdue =
            |o: &Outstanding| now.at.duration_since(o.first_sent_at) >= self.cfg.reply_timeout;
        now.at >= self.lease_valid_until || self.outstanding.as_ref().is_some_and(is_overdue)
    }

    fn decide(&mut self, now: Now, command: Command) -> Decision {
        match command {
            Command::PutFile(file) => Decision::Append(Entry::File(file)),
            Command::GetFile { file, tenant } => Decision::Reply(self.file(&file, &tenant)),
            Command::CreateJob(spec) => {
                if self.shard.jobs().contains_key(&spec.id) {
                    return Decision::Reply(self.view(&spec.id, Some(&spec.tenant)));
                }
                Decision::Append(Entry::Job(spec))
            }
            Command::GetJob { job, tenant } => Decision::Reply(self.view(&job, tenant.as_deref())),
            Command::ListJobs { tenant } => Decision::Reply(Ok(self.list(tenant.as_deref()))),
            Command::CancelJob { job, tenant } => self.cancel(job, tenant.as_deref()),
            Command::Answers {
                job,
                tenant,
                from,
                max,
            } => Decision::Reply(self.answers(&job, &tenant, from, max)),
            Command::Take {
                serving,
                max,
                host,
                incarnation,
            } => Decision::Reply(self.assign(now, &serving, max, (&host, incarnation))),
            Command::Running {
                items,
                host,
                incarnation,
            } => {
                let mut res = Ok(Reply::Done);
                for key in items {
                    match self.check_runnable(&key.0, key.1) {
                        Ok(()) => self.queue.mark_running(key, (&host, incarnation), now.at),
                        Err(ignored) => res = Err(CommandError::Invalid(ignored)),
                    }
                }
                Decision::Reply(res)
            }
            Command::Settle { job, item, verdict } => self.record_outcome(job, item, verdict),
            Command::Return { items } => {
                for key in items {
                    self.queue.requeue(self.shard.jobs(), key);
                }
                Decision::Reply(Ok(Reply::Done))
            }
            Command::KeyStart { key, digest } => self.start_key(now, key, digest),
            Command::KeyEnd { key, place } => Decision::Append(Entry::KeyEnd { key, place }),
            Command::KeyUnsent { key } => Decision::Append(Entry::KeyUnsent { key }),
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
        let is_visible = |j: &&Job| tenant.is_none_or(|t| t == j.spec.tenant);
        Reply::Jobs(
            self.shard
                .jobs()
                .values()
                .filter(is_visible)
                .map(View::of)
                .collect(),
        )
    }

    fn cancel(&self, job: JobId, tenant: Option<&str>) -> Decision {
        match self.job(&job, tenant) {
            Err(err) => Decision::Reply(Err(err)),
            Ok(found) if found.state() != State::InProgress => {
                Decision::Reply(Ok(Reply::Job(Box::new(View::of(found)))))
            }
            Ok(_) => Decision::Append(Entry::Cancel { job }),
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
        let page_end = job.counts.total.min(from.saturating_add(max.max(1)));
        let answers = (from..page_end)
            .filter_map(|item| Answer::of(job, item))
            .collect();
        let next = (page_end < job.counts.total).then_some(page_end);
        Ok(Reply::Answers { answers, next })
    }

    pub(super) fn assign(
        &mut self,
        now: Now,
        serving: &str,
        max: u32,
        host: (&HostId, Incarnation),
    ) -> Result<Reply, CommandError> {
        if now.at >= self.lease_valid_until {
            return Err(CommandError::LogDown);
        }
        if now.at.duration_since(self.held_since) < self.cfg.takeover_grace {
            // Hosts are still reporting the items that they run; assigning these again would
            // run them twice.
            return Ok(Reply::Work(Vec::new()));
        }
        let jobs = self.shard.jobs();
        let works = self.queue.assign(jobs, serving, max as usize, host, now.at);
        Ok(Reply::Work(works))
    }

    fn check_runnable(&self, job: &str, item: ItemIndex) -> Result<(), Ignored> {
        let job = self.shard.jobs().get(job).ok_or(Ignored::Unknown)?;
        if job.cancelled {
            return Err(Ignored::Cancelled);
        }
        let item = job.items.get(item as usize).ok_or(Ignored::Unknown)?;
        if item.phase != Phase::Pending {
            return Err(Ignored::Settled);
        }
        Ok(())
    }

    fn record_outcome(&self, job: JobId, item: ItemIndex, verdict: Verdict) -> Decision {
        let job_state = match self.job(&job, None) {
            Err(err) => return Decision::Reply(Err(err)),
            Ok(job_state) => job_state,
        };
        if job_state.cancelled {
            return Decision::Reply(Err(CommandError::Invalid(Ignored::Cancelled)));
        }
        Decision::Append(match verdict {
            Verdict::Done(place) => Entry::Done { job, item, place },
            Verdict::Failed(failure) => Entry::Failed { job, item, failure },
            Verdict::TargetFailed { before } => Entry::Attempt { job, item, before },
        })
    }

    fn start_key(&self, now: Now, key: KeyId, digest: String) -> Decision {
        let at_unix_ms = now.unix_ms;
        match self.shard.keys().get(&key) {
            None => Decision::Append(Entry::KeyStart {
                key,
                digest,
                at_unix_ms,
            }),
            Some(known) if known.digest != digest => {
                Decision::Reply(Err(CommandError::Invalid(Ignored::OtherBody)))
            }
            Some(known) => Decision::Reply(
                known
                    .end
                    .map(Reply::Ended)
                    .ok_or(CommandError::Invalid(Ignored::Started)),
            ),
        }
    }
}

/// How a command is executed.
enum Decision {
    /// Reply immediately.
    Reply(Result<Reply, CommandError>),
    /// Append an entry, and reply once it was read back.
    Append(Entry),
}
