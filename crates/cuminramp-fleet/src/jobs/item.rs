//! Jobs and items as they are submitted, run and finished.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::Name;
use tokio::time::Instant;

use crate::software::SoftwareVersion;

/// An item as its caller submitted it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemSpec {
    /// Identifier, unique within the job.
    pub id: Name,
    /// Path of the request to the target.
    pub path: Name,
    /// Headers of the request to the target.
    pub headers: Vec<(Name, Name)>,
    /// Body of the request to the target.
    pub body: Bytes,
    /// Prompt tokens plus the maximum number of output tokens.
    pub tokens: u64,
}

/// An accepted job.
#[derive(Clone, Debug)]
pub struct JobSpec {
    /// Identifier of the job.
    pub id: Name,
    /// Team that submitted the job.
    pub team: Name,
    /// Name of the route that the job was submitted to.
    pub route: Name,
    /// Version of the declarations by which the job was accepted; `None` if it is not known.
    pub declarations_version: Option<u64>,
    /// `Host` header of the requests to targets.
    pub host: Name,
    /// Time by which the results are due.
    pub due: Instant,
    /// Time after which unfinished items may be given up.
    pub expires: Instant,
    /// Number of failed runs after which an item is given up.
    pub max_failures: u32,
    /// Items of the job.
    pub items: Vec<Arc<ItemSpec>>,
}

/// Output of an item received so far, over all its runs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ItemProgress {
    /// Number of the last event that was received completely; `None` before the first.
    pub last_event: Option<u64>,
    /// Data of all events that were received completely, separated by line feeds.
    pub text: String,
    /// Time that targets worked to produce `text`.
    pub run_time: Duration,
    /// Software that produced `text`; `None` if that is not known.
    pub software: Option<SoftwareVersion>,
}

impl ItemProgress {
    /// Returns whether a target with `software` can go on with the item.
    pub(super) fn can_resume(&self, software: SoftwareVersion) -> bool {
        self.last_event.is_none() || self.software == Some(software)
    }
}

/// An item to send to a target, with the progress to resume from.
#[derive(Clone, Debug)]
pub struct ItemStart {
    /// Identifier of the job.
    pub job: Name,
    /// Index of the item in the job.
    pub index: usize,
    /// The item.
    pub item: Arc<ItemSpec>,
    /// Progress from which the run resumes.
    pub progress: ItemProgress,
}

/// Why a run of an item ended before the item was complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemFailure {
    /// The run was preempted, or no target accepted it; neither counts as a failure or a crash.
    Preempted,
    /// A part of the item's prompt is quarantined, so that it was not sent.
    Held,
    /// The target was silent, or the network path to it was cut; neither says anything of the item.
    Lost,
    /// The connection broke while the target worked on the item; counts as a crash.
    Crashed,
    /// The target answered that the run failed.
    Failed,
    /// The target answered that the item can never be processed.
    Impossible,
}

/// Final result of an item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ItemOutcome {
    /// The complete output.
    Complete(String),
    /// The item was given up without a complete output.
    GivenUp,
}

/// A finished item with its outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinishedItem {
    /// Index of the item in the job.
    pub index: usize,
    /// Final result of the item.
    pub outcome: ItemOutcome,
    /// Whether the store has a row with the item's progress, which is obsolete now.
    pub is_saved: bool,
}
