//! Works on batch jobs.

mod chunks;
mod claims;
mod held;
mod jobs;
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

/// The object that says where a job's chunks lie in its input.
fn layout_name(job: &str) -> String {
    format!("jobs/{job}/layout")
}

/// The object that lists a finished job's results.
fn manifest_name(job: &str) -> String {
    format!("jobs/{job}/manifest")
}

/// The row by which a team's jobs are listed.
fn team_job_key(team: &str, job: &str) -> String {
    format!("team-job/{team}/{job}")
}
