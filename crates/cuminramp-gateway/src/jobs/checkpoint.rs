//! Saves the progress of running items in the store.
//!
//! A host that is killed or loses power loses the output of its items. Without saved progress, a failure of
//! all hosts would restart every item in progress on targets that had little free capacity before, and jobs
//! would finish seconds after they are due. Another host resumes an item with saved progress from the next
//! event.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::Name;
use cuminramp_fleet::{ItemProgress, UnsavedProgress};
use cuminramp_platform::Transaction;
use cuminramp_wire::encode_row;
use cuminramp_wire::fleet::{ProgressRow, ProgressSoftware};

use super::names::progress_key;
use crate::state::{GatewayState, lock};

/// Maximum length in bytes of an item's output in a row. Rows hold 64 KiB in base64, so the output of a
/// finished item that is longer is stored as an object; longer progress is not saved.
pub(super) const MAX_ROW_TEXT_BYTES: usize = 40 << 10;
/// Maximum number of bytes of output in one write. The store accepts 1 MB.
pub(super) const MAX_WRITE_TEXT_BYTES: usize = 500 << 10;
/// Maximum number of progress rows in one write. The store accepts 100 entries.
const MAX_WRITE_ROWS: usize = 90;
/// Interval between two checks for unsaved progress.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time that an item has run on targets since its last saved progress before its progress is saved
/// again. Less isn't worth a write.
const MIN_UNSAVED_RUN: Duration = Duration::from_millis(600);

/// Adds progress rows to a transaction, as many as fit, and returns the indices of their items.
pub(super) fn add_progress_rows<'a>(
    mut transaction: Transaction,
    team: &str,
    job: &str,
    items: impl Iterator<Item = (usize, &'a Name, &'a ItemProgress)>,
) -> (Transaction, Vec<usize>) {
    let (mut written, mut bytes) = (Vec::new(), 0);
    for (index, item, progress) in items {
        let length = progress.text.len();
        let is_full = bytes + length > MAX_WRITE_TEXT_BYTES || written.len() == MAX_WRITE_ROWS;
        if length > MAX_ROW_TEXT_BYTES || is_full {
            continue;
        }
        let row = ProgressRow {
            item: item.to_string(),
            last_event: progress.last_event.unwrap_or(0),
            text: progress.text.clone(),
            ran_ms: progress.run_time.as_millis() as u64,
            software: progress.software.map(|software| ProgressSoftware {
                pool: software.pool,
                version: software.version,
            }),
        };
        transaction = transaction.put(progress_key(team, job, item), encode_row(&row));
        written.push(index);
        bytes += length;
    }
    (transaction, written)
}

/// Saves progress of running items until the host drains.
pub(crate) async fn save_progress(state: Arc<GatewayState>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(SAVE_INTERVAL) => {}
            () = state.drain.cancelled() => return,
        }
        let unsaved = lock(&state.jobs).unsaved_progress(MIN_UNSAVED_RUN);
        for job in unsaved {
            if !save_job(&state, job).await {
                break;
            }
        }
    }
}

/// Saves progress of one job; returns `false` if the write failed.
///
/// The write has no condition, because a late one does no harm. A host that has lost the job meanwhile
/// writes an earlier part of the same output, and a write after the item's result was listed leaves a row
/// that is never read.
async fn save_job(state: &Arc<GatewayState>, unsaved: UnsavedProgress) -> bool {
    let items = unsaved.items.iter().map(|(index, item, progress)| (*index, item, progress));
    let (transaction, written) =
        add_progress_rows(Transaction::default(), &unsaved.team, &unsaved.job, items);
    if written.is_empty() {
        return true;
    }
    let rows = written.len();
    match state.store.commit(transaction).await {
        Ok(_) => {
            let mut jobs = lock(&state.jobs);
            for (index, _, progress) in &unsaved.items {
                if written.contains(index) {
                    jobs.mark_saved(&unsaved.job, *index, progress);
                }
            }
            log::info!(job = &*unsaved.job, items = rows; "progress-saved");
            true
        }
        Err(error) => {
            state.metrics.count_store_failure("save-progress");
            let reason = error.to_string();
            log::warn!(job = &*unsaved.job, items = rows, reason = reason.as_str(); "progress-not-saved");
            false
        }
    }
}
