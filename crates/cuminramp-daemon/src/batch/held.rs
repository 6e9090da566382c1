//! Chunks that this host works on.

use std::sync::{Arc, Mutex};

use cuminramp_batch::{BatchItem, ChunkLayout, ChunkTally, ItemOutcome, LeaseHolder};
use cuminramp_core::Name;
use cuminramp_platform::Version;
use cuminramp_wire::rows::{ChunkRow, JobRow, SuspectItem};
use tokio_util::sync::CancellationToken;

use crate::state::lock;

/// A job that is open, as this host knows it.
pub(crate) struct KnownJob {
    pub(crate) row: JobRow,
    pub(crate) id: Name,
    pub(crate) team: Name,
    /// The version of the row that lists it as open. A commit names it, so that nothing is committed
    /// to a job that was cancelled.
    pub(crate) open_version: Version,
    pub(crate) layout: ChunkLayout,
    /// Cancelled when the job is open no more.
    pub(crate) closed: CancellationToken,
}

/// An item with what has become of it.
pub(crate) struct HeldItem {
    pub(crate) custom_id: String,
    /// `None` for a line that can't run.
    pub(crate) item: Option<BatchItem>,
    pub(crate) outcome: Option<ItemOutcome>,
    pub(crate) failures: u32,
    /// Crashes of targets under it; `None` while no target died.
    pub(crate) crashes: Option<u32>,
}

/// The row of a held chunk as this host last wrote or read it.
pub(crate) struct HeldRow {
    pub(crate) row: ChunkRow,
    pub(crate) version: Version,
}

/// A chunk that this host holds the lease of.
pub(crate) struct HeldChunk {
    pub(crate) job: Arc<KnownJob>,
    pub(crate) index: u32,
    pub(crate) lease: LeaseHolder,
    pub(crate) items: Mutex<Vec<HeldItem>>,
    /// Held across writes, so that two steps of the row never cross.
    pub(crate) row: tokio::sync::Mutex<HeldRow>,
    /// Cancelled when the lease is lost, the job closed or the chunk given back.
    pub(crate) dropped: CancellationToken,
}

/// An item of a held chunk.
#[derive(Clone)]
pub(crate) struct ItemRef {
    pub(crate) chunk: Arc<HeldChunk>,
    pub(crate) slot: usize,
}

impl HeldChunk {
    /// Items that have no outcome yet.
    pub(crate) fn open_slots(&self) -> Vec<usize> {
        let items = lock(&self.items);
        let open = items.iter().enumerate().filter(|(_, item)| item.outcome.is_none());
        open.map(|(slot, _)| slot).collect()
    }

    /// Notes an outcome; says whether it was the last one missing.
    pub(crate) fn finish_item(&self, slot: usize, outcome: ItemOutcome) -> bool {
        let mut items = lock(&self.items);
        // A run that was given up for lost may end after all: the first outcome stays.
        if items[slot].outcome.is_some() {
            return false;
        }
        items[slot].outcome = Some(outcome);
        items.iter().all(|item| item.outcome.is_some())
    }

    /// How many items ended how.
    pub(crate) fn tally(&self) -> ChunkTally {
        let items = lock(&self.items);
        let ended = items.iter().filter_map(|item| item.outcome.as_ref());
        let completed = ended.filter(|outcome| outcome.is_success()).count() as u32;
        ChunkTally { completed, failed: items.len() as u32 - completed }
    }

    /// The lines of the output file or of the error file.
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

    /// Items under which a target died, for the row.
    pub(crate) fn suspects(&self) -> Vec<SuspectItem> {
        let items = lock(&self.items);
        let suspects = items.iter().enumerate();
        suspects
            .filter_map(|(slot, item)| {
                Some(SuspectItem { index: slot as u32, crashes: item.crashes? })
            })
            .collect()
    }
}
