//! The names of jobs in the stream: the workspace that a job belongs to, and the name
//! that its caller chose.
//!
//! The workspace is part of the name and not a field of the acceptance: two workspaces
//! may choose one name, all records of a job tell whose it is, and records of versions
//! that knew no workspaces are read as they are. It is the workspace and not the key, so
//! a key that is taken away ends no job.

use super::JobId;

/// What stands between the two. HTTP lets no control character into a header, so
/// neither part has one.
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

/// Returns the workspace that a job belongs to; nothing for one that was taken in from
/// anybody.
pub fn workspace_of(job: &str) -> Option<&str> {
    job.split_once(SEPARATOR).map(|(workspace, _)| workspace)
}
