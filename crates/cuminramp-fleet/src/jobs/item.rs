//! Jobs and items as they are handed in, run and finished.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::Name;
use tokio::time::Instant;

/// One item as the caller handed it in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemSpec {
    /// Its identity, unique in its job.
    pub id: Name,
    /// The path that targets get.
    pub path: Name,
    /// Headers that targets get.
    pub headers: Vec<(Name, Name)>,
    /// The body that targets get.
    pub body: Bytes,
    /// Prompt tokens and the most output tokens together.
    pub tokens: u64,
}

/// A job as it was accepted.
#[derive(Clone, Debug)]
pub struct JobSpec {
    /// Its identity.
    pub id: Name,
    /// The team that handed it in.
    pub team: Name,
    /// The name of its route.
    pub route: Name,
    /// The `Host` header that targets get.
    pub host: Name,
    /// When results are due.
    pub due: Instant,
    /// When items may be given up.
    pub give_up: Instant,
    /// Runs of an item that may fail before it is given up.
    pub max_attempts: u32,
    /// Its items.
    pub items: Vec<Arc<ItemSpec>>,
}

/// How far an item has come on targets that did not finish it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ItemProgress {
    /// The last whole event that came; `None` before the first.
    pub last_event: Option<u64>,
    /// The data of all whole events, separated by line feeds.
    pub text: String,
    /// Time on targets that led to this.
    pub ran: Duration,
}

/// An item to send to a target now.
#[derive(Clone, Debug)]
pub struct ItemStart {
    /// Its job.
    pub job: Name,
    /// Its index in the job.
    pub index: usize,
    /// The item.
    pub item: Arc<ItemSpec>,
    /// Where it goes on.
    pub progress: ItemProgress,
}

/// How a run of an item ended without an end of the item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemFailure {
    /// It gave way, or no target took it: nothing is held against it.
    GaveWay,
    /// The connection broke or fell silent while the target worked on it.
    Broken,
    /// The target answered that the run failed.
    Failed,
    /// The target answered that the item can never be done.
    Impossible,
}

/// What became of an item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ItemOutcome {
    /// Its whole output.
    Complete(String),
    /// It was given up.
    GivenUp,
}

/// An item with its outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinishedItem {
    /// Its index in the job.
    pub index: usize,
    /// What became of it.
    pub outcome: ItemOutcome,
    /// Whether the store has a row with its progress, which nobody needs any more.
    pub is_saved: bool,
}
