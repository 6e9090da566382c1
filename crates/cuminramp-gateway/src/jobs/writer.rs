//! Job writers: one task for each held job, which lists its results in one write at a time.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::{Name, SortedMap};
use cuminramp_fleet::{FinishedItem, ItemOutcome, ItemProgress, JobSpec};
use cuminramp_platform::{CommitOutcome, StoreError, Transaction};
use cuminramp_wire::fleet::{JobPhase, JobRow, ResultRow};
use cuminramp_wire::{decode_row, encode_row};
use rand::Rng;
use tokio::sync::{mpsc, oneshot};

use super::checkpoint::{MAX_ROW_TEXT_BYTES, MAX_WRITE_TEXT_BYTES, add_progress_rows};
use super::directory::KnownJob;
use super::input::delete_input;
use super::names::{job_key, progress_key, result_key, result_object};
use super::run::stop_job;
use crate::state::{GatewayState, lock};

/// Maximum number of results in one write. The store accepts 100 rows and 1 MB.
const MAX_WRITE_RESULTS: usize = 40;
/// First and maximum delay after a failed call to the store. The delay doubles with each failure.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(500));

/// Command to a job writer.
#[derive(Debug)]
pub(super) enum WriterCommand {
    /// List the result of an item.
    List(FinishedItem),
    /// Hand the job over with the progress of its items, and signal when the write has ended.
    HandOver(oneshot::Sender<()>),
}

/// Command channel of a job writer.
#[derive(Debug)]
struct WriterHandle {
    /// Random number of the writer.
    writer: u64,
    sender: mpsc::UnboundedSender<WriterCommand>,
}

/// Command channels of the job writers of all jobs that this host holds.
#[derive(Debug, Default)]
pub(crate) struct JobWriters {
    handles: Mutex<SortedMap<Name, WriterHandle>>,
}

impl JobWriters {
    /// Sends a command to a job's writer. Drops the command if the job has no writer, as this host then no
    /// longer holds the job and has nothing to write for it.
    pub(super) fn send(&self, job: &str, command: WriterCommand) {
        if let Some(handle) = lock(&self.handles).get(job) {
            let _ = handle.sender.send(command);
        }
    }

    /// Returns whether a writer is the one of the present holding of its job. A writer may still wait for the store when
    /// its host has lost the job and taken it over again.
    fn is_current(&self, job: &str, writer: u64) -> bool {
        lock(&self.handles).get(job).is_some_and(|handle| handle.writer == writer)
    }

    /// Closes the command channel of a job's writer, which then ends.
    pub(super) fn remove(&self, job: &str) {
        lock(&self.handles).remove(job);
    }
}

/// Holds a job: starts its writer and lets its items run.
///
/// Does nothing if the job is held already. A second writer would not have the results that the first has
/// listed, and items would be listed at two positions.
pub(super) fn hold_job(
    state: &Arc<GatewayState>,
    known: KnownJob,
    spec: JobSpec,
    finished: &[Name],
    progress: Vec<(Name, ItemProgress)>,
) {
    let (sender, commands) = mpsc::unbounded_channel();
    let item_ids = spec.items.iter().map(|item| item.id.clone()).collect();
    let mut jobs = lock(&state.jobs);
    if jobs.get(&spec.id).is_some() {
        return;
    }
    let number = rand::rng().next_u64();
    let handle = WriterHandle { writer: number, sender };
    lock(&state.writers.handles).insert(spec.id.clone(), handle);
    jobs.add(spec, finished, progress);
    drop(jobs);
    let writer = JobWriter { state: state.clone(), writer: number, known, item_ids, commands };
    let stop = state.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = writer.run() => {}
            () = stop.cancelled() => {}
        }
    });
    state.item_slots_requested.notify_one();
    state.request_heartbeat();
}

/// Task that writes the results of a held job.
struct JobWriter {
    state: Arc<GatewayState>,
    /// Random number of this writer.
    writer: u64,
    /// The job's row as this writer last read or wrote it.
    known: KnownJob,
    /// IDs of the job's items, by index.
    item_ids: Vec<Name>,
    commands: mpsc::UnboundedReceiver<WriterCommand>,
}

impl JobWriter {
    async fn run(mut self) {
        let mut deferred: Option<WriterCommand> = None;
        loop {
            let command = match deferred.take() {
                Some(command) => Some(command),
                None => self.commands.recv().await,
            };
            let Some(command) = command else { return };
            let is_held = match command {
                WriterCommand::List(first) => {
                    let batch = self.collect_batch(first, &mut deferred);
                    self.list(batch).await
                }
                WriterCommand::HandOver(done) => {
                    self.hand_over().await;
                    let _ = done.send(());
                    false
                }
            };
            if !is_held {
                return;
            }
        }
    }

    /// Collects finished items from the command channel, up to the limits of one write. Another command ends
    /// the batch and is stored in `deferred`.
    fn collect_batch(
        &mut self,
        first: FinishedItem,
        deferred: &mut Option<WriterCommand>,
    ) -> Vec<FinishedItem> {
        let mut bytes = output_len(&first);
        let mut batch = vec![first];
        while batch.len() < MAX_WRITE_RESULTS && bytes < MAX_WRITE_TEXT_BYTES {
            match self.commands.try_recv() {
                Ok(WriterCommand::List(next)) => {
                    bytes += output_len(&next).min(MAX_ROW_TEXT_BYTES);
                    batch.push(next);
                }
                Ok(command) => {
                    *deferred = Some(command);
                    break;
                }
                Err(_) => break,
            }
        }
        batch
    }

    /// Writes the results of a batch, and retries until the write is known to be committed. Returns `false`
    /// if the job is no longer open or no longer held by this host.
    async fn list(&mut self, batch: Vec<FinishedItem>) -> bool {
        let mut delay = RETRY_DELAYS.0;
        loop {
            let next = self.next_row(batch.len());
            let transaction = match self.build_transaction(&next, &batch).await {
                Ok(transaction) => transaction,
                Err(error) => {
                    self.back_off(&error, &mut delay).await;
                    continue;
                }
            };
            match self.state.store.commit(transaction).await {
                Ok(CommitOutcome::Committed(version)) => return self.record(next, version, &batch),
                Ok(CommitOutcome::Conflict(_)) => {}
                Err(error) => self.back_off(&error, &mut delay).await,
            }
            match self.read_row().await {
                None => {}
                Some(found) if self.has_committed(&next, &found.row) => {
                    // Uses the row that was read, because the caller may have ended the job since the
                    // write. Continuing from the row that was written would reopen the job.
                    return self.record(found.row, found.version, &batch);
                }
                Some(found) if self.can_continue_from(&found) => self.known = found,
                Some(found) => {
                    log::info!(
                        job = self.known.row.id.as_str(), fence = found.row.fence,
                        holder = found.row.holder_address.as_str(), row_version = found.version;
                        "job-lost"
                    );
                    self.state.directory.put(found.row, found.version);
                    if self.state.writers.is_current(&self.known.row.id, self.writer) {
                        stop_job(&self.state, &self.known.row.id);
                    }
                    return false;
                }
            }
        }
    }

    /// Logs a failed call to the store, waits, and doubles the delay.
    async fn back_off(&self, error: &StoreError, delay: &mut Duration) {
        self.state.metrics.count_store_failure("list");
        let reason = error.to_string();
        log::warn!(
            job = self.known.row.id.as_str(), row_version = self.known.version,
            reason = reason.as_str();
            "results-not-listed"
        );
        tokio::time::sleep(*delay).await;
        *delay = (*delay * 2).min(RETRY_DELAYS.1);
    }

    /// Returns whether the row that was read shows that the commit of `next` took effect. Another writer of this host may
    /// have made a commit with the same number, after the job was lost and taken over again.
    fn has_committed(&self, next: &JobRow, found: &JobRow) -> bool {
        found.commit == next.commit && found.writer == next.writer && self.is_holder(found)
    }

    /// Returns whether the row in the store has changed in nothing that this writer depends on, so that its
    /// next write still applies. A different commit number under the same holder means that another writer
    /// has listed items of the job; the job is then released and loaded again.
    fn can_continue_from(&self, found: &KnownJob) -> bool {
        let is_same_commit = found.row.commit == self.known.row.commit;
        found.is_open() && is_same_commit && self.is_holder(&found.row)
    }

    /// Returns whether a row has the holder and the fence that this writer writes under.
    fn is_holder(&self, row: &JobRow) -> bool {
        row.holder_address == self.known.row.holder_address
            && row.holder_incarnation == self.known.row.holder_incarnation
            && row.fence == self.known.row.fence
    }

    /// Returns the job's row after `count` more results.
    fn next_row(&self, count: usize) -> JobRow {
        let mut next = self.known.row.clone();
        next.listed += count as u32;
        next.commit += 1;
        next.writer = self.writer;
        if next.listed >= next.total {
            next.phase = JobPhase::Done as i32;
        }
        let jobs = lock(&self.state.jobs);
        next.waiting_tokens = jobs.get(&next.id).map_or(0, |job| job.unfinished_tokens());
        next
    }

    /// Builds the write of a batch's results, and stores long outputs as objects first.
    async fn build_transaction(
        &self,
        next: &JobRow,
        batch: &[FinishedItem],
    ) -> Result<Transaction, StoreError> {
        let (team, id) = (&self.known.row.team, &self.known.row.id);
        let mut transaction = Transaction::default().put_if_version(
            job_key(team, id),
            self.known.version,
            encode_row(next),
        );
        for (offset, finished) in batch.iter().enumerate() {
            let position = self.known.row.listed + offset as u32;
            let mut row = ResultRow {
                item: self.item_ids[finished.index].to_string(),
                is_complete: matches!(finished.outcome, ItemOutcome::Complete(_)),
                ..ResultRow::default()
            };
            if let ItemOutcome::Complete(text) = &finished.outcome {
                if text.len() > MAX_ROW_TEXT_BYTES {
                    row.object = result_object(team, id, position, next.fence);
                    let bytes = Bytes::copy_from_slice(text.as_bytes());
                    self.state.store.put(&row.object, bytes).await?;
                } else {
                    row.text = text.clone();
                }
            }
            transaction = transaction.put(result_key(team, id, position), encode_row(&row));
            if finished.is_saved {
                transaction.deletes.push(progress_key(team, id, &row.item));
            }
        }
        Ok(transaction)
    }

    /// Logs and counts the listed results, and records the job's new row. Returns whether the job is still
    /// open.
    fn record(&mut self, row: JobRow, version: u64, batch: &[FinishedItem]) -> bool {
        for (offset, finished) in batch.iter().enumerate() {
            let is_complete = matches!(finished.outcome, ItemOutcome::Complete(_));
            self.state.metrics.count_item(if is_complete { "complete" } else { "given-up" });
            log::info!(
                job = row.id.as_str(), item = &*self.item_ids[finished.index],
                position = self.known.row.listed as u64 + offset as u64,
                is_complete = is_complete, row_version = version;
                "item-listed"
            );
        }
        let (is_done, is_open) = (row.phase() == JobPhase::Done, row.phase() == JobPhase::Open);
        self.known = KnownJob { row: row.clone(), version };
        self.state.directory.put(row, version);
        if is_done {
            log::info!(job = self.known.row.id.as_str(), row_version = version; "job-done");
            delete_input(&self.state, &self.known.row);
        }
        if !is_open {
            stop_job(&self.state, &self.known.row.id);
        }
        is_open
    }

    /// Reads the job's row from the store; returns `None` if the read fails.
    async fn read_row(&self) -> Option<KnownJob> {
        let key = job_key(&self.known.row.team, &self.known.row.id);
        let rows = self.state.store.read(&[key]).await;
        let row = rows.ok()?.into_iter().next()??;
        let job = decode_row::<JobRow>(&row.value).ok()?;
        Some(KnownJob { row: job, version: row.version })
    }

    /// Writes the job's row without a holder, and the progress of its items. Otherwise other hosts would
    /// wait until this host counts as lost, and restart its items.
    async fn hand_over(&mut self) {
        let id = self.known.row.id.clone();
        let Some(held) = lock(&self.state.jobs).remove(&id) else { return };
        let team = self.known.row.team.clone();
        let mut next = self.known.row.clone();
        next.holder_address = String::new();
        next.holder_incarnation = 0;
        next.commit += 1;
        let key = job_key(&team, &id);
        let transaction =
            Transaction::default().put_if_version(key, self.known.version, encode_row(&next));
        let progress = held
            .waiting_progress()
            .map(|(index, progress)| (index, &self.item_ids[index], progress));
        let (transaction, written) = add_progress_rows(transaction, &team, &id, progress);
        let outcome = self.state.store.commit(transaction).await;
        let outcome = format!("{outcome:?}");
        log::info!(
            job = id.as_str(), items_under_way = written.len(), row_version = self.known.version,
            outcome = outcome.as_str();
            "job-handed-over"
        );
        self.state.writers.remove(&id);
    }
}

/// Returns the length of an item's output in bytes.
fn output_len(finished: &FinishedItem) -> usize {
    match &finished.outcome {
        ItemOutcome::Complete(text) => text.len(),
        ItemOutcome::GivenUp => 0,
    }
}
