//! Names of jobs in the stream: the workspace that owns the job and the name chosen by its
//! caller.
//!
//! The workspace is part of the name rather than a field of [`Accepted`](super::Accepted):
//! two workspaces may choose the same name, every record of a job identifies its workspace,
//! and records of versions without workspaces remain readable. Jobs belong to the workspace
//! rather than to its API key, so revoking a key does not end any job.

use super::JobId;

/// Separates the two parts. HTTP does not permit control characters in headers, so neither
/// part contains one.
const SEPARATOR: char = '\u{1f}';

/// Returns the name of a job in the stream.
///
/// ```
/// use notchwharf_ledger::jobs::{job_id, workspace_of};
///
/// let job = job_id(Some("choir"), "j1");
/// assert_ne!(job, job_id(Some("strings"), "j1"));
/// assert_eq!(workspace_of(&job), Some("choir"));
/// assert_eq!(workspace_of(&job_id(None, "j1")), None);
/// ```
pub fn job_id(workspace: Option<&str>, name: &str) -> JobId {
    match workspace {
        Some(workspace) => format!("{workspace}{SEPARATOR}{name}"),
        None => name.to_owned(),
    }
}

/// Returns the workspace that owns a job; `None` for a job accepted without one.
pub fn workspace_of(job: &str) -> Option<&str> {
    job.split_once(SEPARATOR).map(|(workspace, _)| workspace)
}
