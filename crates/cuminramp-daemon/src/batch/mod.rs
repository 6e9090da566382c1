//! Batch jobs on this host.
//!
//! - `jobs` creates, lists and cancels jobs for callers and operators;
//! - `claims` leases chunks of open jobs and closes finished jobs; `leased` holds the leased chunks;
//! - `windows` limits the batch items in each engine; `runner` runs items within those limits;
//! - `chunks` updates the rows of leased chunks; `results` writes and reads results.

mod chunks;
mod claims;
mod jobs;
mod leased;
mod results;
mod runner;
mod windows;

pub(crate) use claims::{release_chunks, run_claims};
pub(crate) use jobs::{
    JobRequest, cancel_job, create_job, describe_job, list_jobs, list_open_jobs,
};
pub(crate) use results::read_output;
pub(crate) use runner::run_items;
pub(crate) use windows::BatchState;

/// Returns the name of the object that holds the positions of a job's chunks in its input file.
fn layout_name(job: &str) -> String {
    format!("jobs/{job}/layout")
}

/// Returns the name of the object that lists the results of a finished job.
fn manifest_name(job: &str) -> String {
    format!("jobs/{job}/manifest")
}

/// Returns the key of the row that lists a job among its team's jobs.
fn team_job_key(team: &str, job: &str) -> String {
    format!("team-job/{team}/{job}")
}
