//! Batch jobs: accepts them durably, runs their items in slots that online work leaves free, and lists their
//! results by position.

mod accept;
mod checkpoint;
mod directory;
mod draft;
mod end;
mod hand_over;
mod hedged_commit;
mod input;
mod item_stream;
mod names;
mod read;
mod run;
mod takeover;
mod writer;

use cuminramp_core::Name;

use crate::interfaces::CallHead;

pub(crate) use accept::accept_job;
pub(crate) use checkpoint::save_progress;
pub(crate) use directory::{JobDirectory, JobsFollower, record_reported_end, unix_ms};
pub(crate) use end::end_job;
pub(crate) use hand_over::hand_over_jobs;
pub(crate) use read::{read_item, read_results};
pub(crate) use run::{RunningItems, fill_slots, may_run_in, run_items, waiting_pools};
pub(crate) use takeover::take_over_jobs;
pub(crate) use writer::JobWriters;

/// Caller of a job operation: its team and the head of its call.
#[derive(Clone, Debug)]
pub(crate) struct JobCaller {
    pub(crate) team: Name,
    pub(crate) head: CallHead,
}
