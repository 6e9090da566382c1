//! Batch jobs: accepted whole, run in what online work leaves free, listed by position.

mod accept;
mod checkpoint;
mod directory;
mod end;
mod leave;
mod names;
mod read;
mod run;
mod takeover;
mod writer;

use cuminramp_core::Name;

use crate::interfaces::CallHead;

pub(crate) use accept::accept_job;
pub(crate) use checkpoint::save_progress;
pub(crate) use directory::{JobDirectory, JobsFollower, notice_end};
pub(crate) use end::end_job;
pub(crate) use leave::hand_jobs_over;
pub(crate) use read::{read_item, read_results};
pub(crate) use run::{RunningItems, fill_slots, may_run_in, run_items, waiting_pools};
pub(crate) use takeover::take_jobs_over;
pub(crate) use writer::JobWriters;

/// Who asks about a job.
#[derive(Clone, Debug)]
pub(crate) struct JobCaller {
    pub(crate) team: Name,
    pub(crate) head: CallHead,
}
