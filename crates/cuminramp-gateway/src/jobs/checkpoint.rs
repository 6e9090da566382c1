//! Saves how far running items came.
//!
//! A host that is killed or loses power takes the texts of its items with it. Where all hosts do, every
//! item under way would begin anew, on targets that had little room to spare before: callers would get
//! jobs seconds after they are due. What the store has goes on at another host from the next event.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::Name;
use cuminramp_fleet::{ItemProgress, UnsavedJob};
use cuminramp_platform::Transaction;
use cuminramp_wire::encode_row;
use cuminramp_wire::fleet::ProgressRow;

use super::names::progress_key;
use crate::state::{GatewayState, lock};

/// Texts over this length go into an object of their own: rows hold 64 KiB in base64.
pub(super) const MAX_ROW_TEXT_BYTES: usize = 40 << 10;
/// Bytes of texts in one write; the store takes a megabyte.
pub(super) const MAX_WRITE_TEXT_BYTES: usize = 500 << 10;
/// Rows of progress in one write; the store takes a hundred entries.
const MOST_ROWS: usize = 90;
/// Between two looks for progress to save.
const SAVE_EVERY: Duration = Duration::from_millis(500);
/// Time on a target that a write of an item has to be worth.
const LEAST_UNSAVED: Duration = Duration::from_millis(600);

/// Adds rows of progress to a write, as many as it takes; returns the indices of their items.
pub(super) fn add_progress_rows<'a>(
    mut transaction: Transaction,
    team: &str,
    job: &str,
    items: impl Iterator<Item = (usize, &'a Name, &'a ItemProgress)>,
) -> (Transaction, Vec<usize>) {
    let (mut written, mut bytes) = (Vec::new(), 0);
    for (index, item, progress) in items {
        let length = progress.text.len();
        let is_over = bytes + length > MAX_WRITE_TEXT_BYTES || written.len() == MOST_ROWS;
        if length > MAX_ROW_TEXT_BYTES || is_over {
            continue;
        }
        let row = ProgressRow {
            item: item.to_string(),
            last_event: progress.last_event.unwrap_or(0),
            text: progress.text.clone(),
            ran_ms: progress.ran.as_millis() as u64,
        };
        transaction = transaction.put(progress_key(team, job, item), encode_row(&row));
        written.push(index);
        bytes += length;
    }
    (transaction, written)
}

/// Saves progress until the host leaves.
pub(crate) async fn save_progress(state: Arc<GatewayState>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(SAVE_EVERY) => {}
            () = state.drain.cancelled() => return,
        }
        let unsaved = lock(&state.jobs).unsaved(LEAST_UNSAVED);
        for job in unsaved {
            if !save_job(&state, job).await {
                break;
            }
        }
    }
}

/// Saves progress of one job; `false` where the store did not take it.
///
/// The write has no condition. One of a host that lost the job meanwhile puts an earlier part of the
/// same text there, and one that lands after the item was listed leaves a row that nobody reads.
async fn save_job(state: &Arc<GatewayState>, unsaved: UnsavedJob) -> bool {
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
