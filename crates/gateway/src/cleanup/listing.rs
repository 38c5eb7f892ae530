//! The job records of one round of the cleanup, and which of them may be deleted.
//!
//! The decision needs only the records, so it is kept apart from the calls of the store. Folding
//! the records that would remain, to see whether a refused submission is accepted, was rejected:
//! it costs a fold for each set of jobs, and offsets suffice.

use std::collections::HashMap;
use std::ops::RangeInclusive;

use notchwharf_ledger::jobs::Applied;
use notchwharf_ledger::jobs::Job;
use notchwharf_ledger::jobs::JobId;
use notchwharf_ledger::jobs::Jobs;
use notchwharf_ledger::jobs::Offset;
use notchwharf_ledger::jobs::Record;

use crate::ports::StoredRecord;

/// The job records in the store.
#[derive(Debug, Default)]
pub(super) struct Listing {
    /// The jobs according to the records.
    pub(super) jobs: Jobs,
    /// The submissions that were refused, which belong to no job.
    pub(super) refused: Vec<Refused>,
    by_job: HashMap<JobId, JobRecords>,
}

/// The record of a refused submission.
#[derive(Debug)]
pub(super) struct Refused {
    pub(super) key: String,
    pub(super) submitted_unix_ms: u64,
    offset: Offset,
}

/// The records of a job.
#[derive(Debug)]
struct JobRecords {
    keys: Vec<String>,
    /// From the offset of the first record to that of the last.
    span: RangeInclusive<Offset>,
}

impl Listing {
    /// Returns the listing of records in the order of their offsets.
    pub(super) fn of(records: Vec<StoredRecord>) -> Self {
        let mut listing = Self::default();
        for record in records {
            listing.add(record);
        }
        listing
    }

    fn add(&mut self, stored: StoredRecord) {
        let StoredRecord { offset, entry } = stored;
        let Some(record) = entry.value.as_deref().and_then(Record::decode) else {
            return;
        };
        let job = record.job().clone();
        let submitted_unix_ms = match &record {
            Record::Accepted(accepted) => accepted.submitted_unix_ms,
            _ => 0,
        };
        if let Applied::OverQuota { .. } = self.jobs.apply(offset, record) {
            self.refused.push(Refused {
                key: entry.key,
                submitted_unix_ms,
                offset,
            });
            return;
        }
        let of_job = self.by_job.entry(job).or_insert_with(|| JobRecords {
            keys: Vec::new(),
            span: offset..=offset,
        });
        of_job.keys.push(entry.key);
        of_job.span = *of_job.span.start()..=offset;
    }

    /// Returns the closed jobs that were submitted before a time and whose records may be deleted:
    /// no submission that was refused meanwhile is left, which would be accepted without them.
    pub(super) fn expired(&self, expiry_unix_ms: u64) -> Vec<&Job> {
        let jobs = self.jobs.iter().map(|(_, job)| job);
        let expired = jobs.filter(|job| super::is_expired(job, expiry_unix_ms));
        expired
            .filter(|job| !self.has_refused_during(job))
            .collect()
    }

    fn has_refused_during(&self, job: &Job) -> bool {
        let records = self.by_job.get(&job.accepted.job);
        records.is_some_and(|records| {
            let mut refused = self.refused.iter();
            refused.any(|refused| records.span.contains(&refused.offset))
        })
    }

    /// Returns the keys of a job's records.
    pub(super) fn keys_of(&self, job: &Job) -> &[String] {
        let records = self.by_job.get(&job.accepted.job);
        records.map_or(&[], |records| &records.keys)
    }
}
