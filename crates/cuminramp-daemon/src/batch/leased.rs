//! Chunks that this host holds the lease of, with their jobs and items.

use std::sync::{Arc, Mutex};

use cuminramp_batch::{BatchItem, ChunkCounts, ChunkLayout, HeldLease, ItemOutcome};
use cuminramp_core::Name;
use cuminramp_platform::Version;
use cuminramp_wire::rows::{ChunkRow, JobRow, SuspectItem};
use tokio_util::sync::CancellationToken;

use crate::state::lock;

/// An open job, as this host last read it from the table.
pub(crate) struct TrackedJob {
    pub(crate) row: JobRow,
    pub(crate) id: Name,
    pub(crate) team: Name,
    /// Version of the row that lists the job as open. Each update of a chunk's row is conditional on
    /// it, so that nothing is committed to a cancelled job.
    pub(crate) open_version: Version,
    pub(crate) layout: ChunkLayout,
    /// Cancelled when the job is no longer open.
    pub(crate) closed: CancellationToken,
}

/// An item of a leased chunk and its state.
pub(crate) struct LeasedItem {
    pub(crate) custom_id: String,
    /// `None` if the input line is invalid.
    pub(crate) item: Option<BatchItem>,
    pub(crate) outcome: Option<ItemOutcome>,
    /// Attempts that failed without a crash of the target.
    pub(crate) failures: u32,
    /// Crashes of targets while they ran only this item; `None` if no target crashed while it ran this
    /// item, alone or with others.
    pub(crate) crashes: Option<u32>,
}

/// The row of a leased chunk as this host last wrote or read it.
pub(crate) struct LeasedRow {
    pub(crate) row: ChunkRow,
    pub(crate) version: Version,
}

/// A chunk that this host holds the lease of.
pub(crate) struct LeasedChunk {
    pub(crate) job: Arc<TrackedJob>,
    pub(crate) index: u32,
    pub(crate) lease: HeldLease,
    pub(crate) items: Mutex<Vec<LeasedItem>>,
    /// Locked across writes, so that two updates of the row never run at the same time.
    pub(crate) row: tokio::sync::Mutex<LeasedRow>,
    /// Cancelled when the lease is lost, the job is closed or the chunk is released.
    pub(crate) dropped: CancellationToken,
}

/// A reference to an item of a leased chunk.
#[derive(Clone)]
pub(crate) struct ItemRef {
    pub(crate) chunk: Arc<LeasedChunk>,
    pub(crate) index: usize,
}

impl LeasedChunk {
    /// Returns the indexes of the items that have no outcome yet.
    pub(crate) fn unfinished_items(&self) -> Vec<usize> {
        let items = lock(&self.items);
        let open = items.iter().enumerate().filter(|(_, item)| item.outcome.is_none());
        open.map(|(index, _)| index).collect()
    }

    /// Records an item's outcome. Returns whether all items now have one, `false` if this item already
    /// had one.
    pub(crate) fn record_outcome(&self, index: usize, outcome: ItemOutcome) -> bool {
        let mut items = lock(&self.items);
        // A run that was considered lost may still end; only the first outcome counts.
        if items[index].outcome.is_some() {
            return false;
        }
        items[index].outcome = Some(outcome);
        items.iter().all(|item| item.outcome.is_some())
    }

    /// Counts the completed and failed items. An item without an outcome counts as failed.
    pub(crate) fn counts(&self) -> ChunkCounts {
        let items = lock(&self.items);
        let ended = items.iter().filter_map(|item| item.outcome.as_ref());
        let completed = ended.filter(|outcome| outcome.is_success()).count() as u32;
        ChunkCounts { completed, failed: items.len() as u32 - completed }
    }

    /// Returns the chunk's lines of the output file (`success`) or of the error file.
    pub(crate) fn lines(&self, success: bool) -> String {
        let items = lock(&self.items);
        let mut text = String::new();
        for item in items.iter() {
            let Some(outcome) = item.outcome.as_ref().filter(|end| end.is_success() == success)
            else {
                continue;
            };
            text.push_str(&outcome.to_line(&self.job.id, &item.custom_id));
            text.push('\n');
        }
        text
    }

    /// Returns the crash counts of items, as the chunk's row stores them. Items that no target crashed
    /// with are left out.
    pub(crate) fn crash_counts(&self) -> Vec<SuspectItem> {
        let items = lock(&self.items);
        let indexed = items.iter().enumerate();
        indexed
            .filter_map(|(index, item)| {
                Some(SuspectItem { index: index as u32, crashes: item.crashes? })
            })
            .collect()
    }
}
