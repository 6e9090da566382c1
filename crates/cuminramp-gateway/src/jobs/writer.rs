//! One task for each held job: lists results, one write after another.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::{Name, SortedMap};
use cuminramp_fleet::{FinishedItem, ItemOutcome, ItemProgress, JobSpec};
use cuminramp_platform::{CommitOutcome, StoreError, Transaction};
use cuminramp_wire::fleet::{JobPhase, JobRow, ResultRow};
use cuminramp_wire::{decode_row, encode_row};
use tokio::sync::{mpsc, oneshot};

use super::checkpoint::{MAX_ROW_TEXT_BYTES, MAX_WRITE_TEXT_BYTES, add_progress_rows};
use super::directory::KnownJob;
use super::names::{job_key, progress_key, result_key, result_object};
use super::run::stop_job;
use crate::state::{GatewayState, lock};

/// Results in one write; the store takes a hundred rows and a megabyte.
const MOST_RESULTS: usize = 40;
/// First and longest pause after a write that failed.
const PAUSES: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(500));

/// What a keeper is asked to do.
#[derive(Debug)]
pub(super) enum WriterCommand {
    /// List an item.
    List(FinishedItem),
    /// Give the job back, with what is known of its items; answers when that is written.
    HandOver(oneshot::Sender<()>),
}

/// The keepers of the jobs that this host holds.
#[derive(Debug, Default)]
pub(crate) struct JobWriters {
    commands: Mutex<SortedMap<Name, mpsc::UnboundedSender<WriterCommand>>>,
}

impl JobWriters {
    /// Asks the keeper of a job; a job that is no longer held has none, and then nothing is owed.
    pub(super) fn send(&self, job: &str, command: WriterCommand) {
        if let Some(commands) = lock(&self.commands).get(job) {
            let _ = commands.send(command);
        }
    }

    /// Ends the keeper of a job.
    pub(super) fn remove(&self, job: &str) {
        lock(&self.commands).remove(job);
    }
}

/// Takes a job: its items may run from now on. A job that is held stays as it is: a second keeper
/// would not know what the first has listed, and items would stand at two positions.
pub(super) fn hold_job(
    state: &Arc<GatewayState>,
    known: KnownJob,
    spec: JobSpec,
    finished: &[Name],
    progress: Vec<(Name, ItemProgress)>,
) {
    let (sender, commands) = mpsc::unbounded_channel();
    let items = spec.items.iter().map(|item| item.id.clone()).collect();
    let mut jobs = lock(&state.jobs);
    if jobs.get(&spec.id).is_some() {
        return;
    }
    lock(&state.writers.commands).insert(spec.id.clone(), sender);
    jobs.add(spec, finished, progress);
    drop(jobs);
    let writer = JobWriter { state: state.clone(), known, items, commands };
    let stop = state.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = writer.run() => {}
            () = stop.cancelled() => {}
        }
    });
    state.items_wanted.notify_one();
    state.request_heartbeat();
}

struct JobWriter {
    state: Arc<GatewayState>,
    known: KnownJob,
    items: Vec<Name>,
    commands: mpsc::UnboundedReceiver<WriterCommand>,
}

impl JobWriter {
    async fn run(mut self) {
        let mut held_back: Option<WriterCommand> = None;
        loop {
            let command = match held_back.take() {
                Some(command) => Some(command),
                None => self.commands.recv().await,
            };
            let Some(command) = command else { return };
            let is_kept = match command {
                WriterCommand::List(first) => {
                    let batch = self.gather(first, &mut held_back);
                    self.list(batch).await
                }
                WriterCommand::HandOver(done) => {
                    self.hand_over().await;
                    let _ = done.send(());
                    false
                }
            };
            if !is_kept {
                return;
            }
        }
    }

    /// Items that are finished by now, as many as one write takes.
    fn gather(
        &mut self,
        first: FinishedItem,
        held_back: &mut Option<WriterCommand>,
    ) -> Vec<FinishedItem> {
        let mut bytes = text_len(&first);
        let mut batch = vec![first];
        while batch.len() < MOST_RESULTS && bytes < MAX_WRITE_TEXT_BYTES {
            match self.commands.try_recv() {
                Ok(WriterCommand::List(next)) => {
                    bytes += text_len(&next).min(MAX_ROW_TEXT_BYTES);
                    batch.push(next);
                }
                Ok(command) => {
                    *held_back = Some(command);
                    break;
                }
                Err(_) => break,
            }
        }
        batch
    }

    /// Lists results; `false` where the job is done or no longer this host's.
    async fn list(&mut self, batch: Vec<FinishedItem>) -> bool {
        let mut pause = PAUSES.0;
        loop {
            let next = self.next_row(batch.len());
            let transaction = match self.make_write(&next, &batch).await {
                Ok(transaction) => transaction,
                Err(error) => {
                    self.wait_after(&error, &mut pause).await;
                    continue;
                }
            };
            match self.state.store.commit(transaction).await {
                Ok(CommitOutcome::Committed(version)) => return self.listed(next, version, &batch),
                Ok(CommitOutcome::Conflict(_)) => {}
                Err(error) => self.wait_after(&error, &mut pause).await,
            }
            match self.read_back().await {
                None => {}
                Some(found) if found.row.commit == next.commit && self.is_mine(&found.row) => {
                    // The row as it is now: the caller may have ended the job since. Going on from
                    // the row that was written here would open it again.
                    return self.listed(found.row, found.version, &batch);
                }
                Some(found) if self.is_unchanged(&found) => self.known = found,
                Some(found) => {
                    log::info!(
                        job = self.known.row.id.as_str(), fence = found.row.fence,
                        holder = found.row.holder_address.as_str(), row_version = found.version;
                        "job-lost"
                    );
                    self.state.directory.put(found.row, found.version);
                    stop_job(&self.state, &self.known.row.id);
                    return false;
                }
            }
        }
    }

    async fn wait_after(&self, error: &StoreError, pause: &mut Duration) {
        self.state.metrics.count_store_failure("list");
        let reason = error.to_string();
        log::warn!(
            job = self.known.row.id.as_str(), row_version = self.known.version,
            reason = reason.as_str();
            "results-not-listed"
        );
        tokio::time::sleep(*pause).await;
        *pause = (*pause * 2).min(PAUSES.1);
    }

    /// Whether a row is as this keeper left it, so that its next write still fits. Another commit of
    /// the same run means that somebody else listed items of it; the job is then loaded anew.
    fn is_unchanged(&self, found: &KnownJob) -> bool {
        let is_same_commit = found.row.commit == self.known.row.commit;
        found.is_open() && is_same_commit && self.is_mine(&found.row)
    }

    fn is_mine(&self, row: &JobRow) -> bool {
        row.holder_address == self.known.row.holder_address
            && row.holder_incarnation == self.known.row.holder_incarnation
            && row.fence == self.known.row.fence
    }

    fn next_row(&self, count: usize) -> JobRow {
        let mut next = self.known.row.clone();
        next.listed += count as u32;
        next.commit += 1;
        if next.listed >= next.total {
            next.phase = JobPhase::Done as i32;
        }
        let jobs = lock(&self.state.jobs);
        next.waiting_tokens = jobs.get(&next.id).map_or(0, |job| job.unfinished_tokens());
        next
    }

    async fn make_write(
        &self,
        next: &JobRow,
        batch: &[FinishedItem],
    ) -> Result<Transaction, StoreError> {
        let (team, id) = (&self.known.row.team, &self.known.row.id);
        let mut transaction =
            Transaction::default().put_at(job_key(team, id), self.known.version, encode_row(next));
        for (offset, finished) in batch.iter().enumerate() {
            let position = self.known.row.listed + offset as u32;
            let mut row = ResultRow {
                item: self.items[finished.index].to_string(),
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

    fn listed(&mut self, row: JobRow, version: u64, batch: &[FinishedItem]) -> bool {
        for (offset, finished) in batch.iter().enumerate() {
            let is_complete = matches!(finished.outcome, ItemOutcome::Complete(_));
            self.state.metrics.count_item(if is_complete { "complete" } else { "given-up" });
            log::info!(
                job = row.id.as_str(), item = &*self.items[finished.index],
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
        }
        if !is_open {
            stop_job(&self.state, &self.known.row.id);
        }
        is_open
    }

    async fn read_back(&self) -> Option<KnownJob> {
        let key = job_key(&self.known.row.team, &self.known.row.id);
        let rows = self.state.store.read(&[key]).await;
        let row = rows.ok()?.into_iter().next()??;
        let job = decode_row::<JobRow>(&row.value).ok()?;
        Some(KnownJob { row: job, version: row.version })
    }

    /// Writes that nobody holds the job, with how far its items came. Without it other hosts would
    /// wait until this one counts as lost, and begin its items anew.
    async fn hand_over(&mut self) {
        let id = self.known.row.id.clone();
        let Some(held) = lock(&self.state.jobs).remove(&id) else { return };
        let team = self.known.row.team.clone();
        let mut next = self.known.row.clone();
        next.holder_address = String::new();
        next.holder_incarnation = 0;
        next.commit += 1;
        let key = job_key(&team, &id);
        let transaction = Transaction::default().put_at(key, self.known.version, encode_row(&next));
        let progress =
            held.progress().map(|(index, progress)| (index, &self.items[index], progress));
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

fn text_len(finished: &FinishedItem) -> usize {
    match &finished.outcome {
        ItemOutcome::Complete(text) => text.len(),
        ItemOutcome::GivenUp => 0,
    }
}
