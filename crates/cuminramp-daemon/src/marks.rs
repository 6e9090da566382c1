//! Start marks: rows in the table which prove that a request that may not be repeated was started.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::{Execution, Name, Refusal, ResultCode};
use cuminramp_platform::{CommitOutcome, Row, StoreError, Transaction, Version};
use cuminramp_wire::rows::MarkRow;
use cuminramp_wire::{decode_row, encode_row};
use sha2::{Digest, Sha256};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::state::DaemonState;

/// Maximum number of marks that wait to be written; requests that exceed it are refused.
const MAX_WAITING_MARKS: usize = 10_000;
/// Maximum number of attempts to read marks back after a conflict or a write with unknown outcome.
const MAX_READ_BACK_ATTEMPTS: u32 = 8;
/// Delay between attempts to read marks back.
const READ_BACK_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of attempts to write the ends of requests while the table is unavailable.
const MAX_END_WRITE_ATTEMPTS: u32 = 240;
/// Delay between attempts to write the ends of requests.
const END_WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Minimum interval between writes of ends, as a multiple of the interval between writes of marks.
/// Ends can be written less often, because only a retry by the caller depends on them.
const END_INTERVAL_FACTOR: u32 = 4;
/// Retry-After of a refusal because the mark can't be written or the earlier request has not ended yet.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A mark that waits to be written.
struct PendingMark {
    key: String,
    row: MarkRow,
    /// Version that the row must have; 0 if the row must not exist.
    version: Version,
    result: oneshot::Sender<MarkOutcome>,
}

/// Result of writing a mark.
enum MarkOutcome {
    /// The mark is written at this version: the request may run.
    Written(Version),
    /// The row holds the mark of another writer.
    Exists(Row),
    /// It is not known that the mark was written, so the request must not run.
    Unavailable(String),
}

/// The end of a marked request that waits to be written.
struct PendingEnd {
    key: String,
    row: MarkRow,
    /// Version that the mark was written at. Without this condition, a delayed write of "not run" could
    /// overwrite the mark of another host that started the request meanwhile, and a third host would
    /// run the request again.
    version: Version,
}

/// Groups marks and ends of requests, so that many of them share one write.
pub(crate) struct MarkWriter {
    marks: mpsc::Sender<PendingMark>,
    ends: mpsc::UnboundedSender<PendingEnd>,
    receivers: std::sync::Mutex<Option<MarkReceivers>>,
}

struct MarkReceivers {
    marks: mpsc::Receiver<PendingMark>,
    ends: mpsc::UnboundedReceiver<PendingEnd>,
}

/// The mark of a request that was started. [`MarkWriter::finish`] consumes it when the request ends.
pub(crate) struct StartedMark {
    key: String,
    row: MarkRow,
    version: Version,
}

/// What happens to a request with an idempotency key.
pub(crate) enum MarkDecision {
    /// No request with this key has run, so this one runs.
    Run(StartedMark),
    /// The request ran before; the row holds its answer.
    Answered(MarkRow),
}

impl MarkWriter {
    pub(crate) fn new() -> Self {
        let (marks, mark_receiver) = mpsc::channel(MAX_WAITING_MARKS);
        let (ends, end_receiver) = mpsc::unbounded_channel();
        let receivers = MarkReceivers { marks: mark_receiver, ends: end_receiver };
        MarkWriter { marks, ends, receivers: std::sync::Mutex::new(Some(receivers)) }
    }

    async fn write(&self, key: &str, row: &MarkRow, version: u64) -> MarkOutcome {
        let (result, outcome) = oneshot::channel();
        let pending = PendingMark { key: key.to_owned(), row: row.clone(), version, result };
        if self.marks.try_send(pending).is_err() {
            return MarkOutcome::Unavailable("too many start marks wait to be written".into());
        }
        outcome.await.unwrap_or_else(|_| MarkOutcome::Unavailable("the daemon is stopping".into()))
    }

    /// Queues a request's end, which is written in the background.
    pub(crate) fn finish(&self, mark: StartedMark, end: MarkEnd) {
        let StartedMark { key, row, version } = mark;
        let row = match end {
            MarkEnd::Answered { status, content_type, answer } => {
                MarkRow { finished: true, status, content_type, answer, ..row }
            }
            MarkEnd::AnswerNotStored => MarkRow { finished: true, ..row },
            MarkEnd::NotRun => MarkRow { not_run: true, ..row },
        };
        let _ = self.ends.send(PendingEnd { key, row, version });
    }
}

/// How a marked request ended.
pub(crate) enum MarkEnd {
    /// The request ended with an answer, which is stored for a retry by the caller.
    Answered {
        /// HTTP status of the answer.
        status: u32,
        /// Content type of the answer.
        content_type: String,
        /// Body of the answer.
        answer: Vec<u8>,
    },
    /// The request ran or may have run; its answer is not stored.
    AnswerNotStored,
    /// The request certainly did not run, so a retry by the caller may run.
    NotRun,
}

/// Starts a request that may not be repeated.
///
/// When this returns [`MarkDecision::Run`], the mark is in the table, and no target has received a byte
/// of the request yet. A mark by another writer proves that the request was started before, possibly
/// through another host.
///
/// # Errors
///
/// Refuses the request if the table is unavailable, if the key was used for a different request, or if
/// the request was started before and has no stored answer.
pub(crate) async fn start_marked(
    state: &DaemonState,
    team: &Name,
    idempotency_key: &str,
    body_hash: u64,
) -> Result<MarkDecision, Refusal> {
    let hashed = Sha256::digest(idempotency_key.as_bytes());
    let hex: String = hashed.iter().take(16).map(|byte| format!("{byte:02x}")).collect();
    let key = format!("mark/{team}/{hex}");
    let row = MarkRow {
        team: team.to_string(),
        key: state.unique_writer_id(),
        host: state.me.id.address.to_string(),
        host_incarnation: state.me.id.incarnation,
        body_hash,
        ..MarkRow::default()
    };
    let mut version = 0;
    loop {
        match state.marks.write(&key, &row, version).await {
            MarkOutcome::Written(version) => {
                return Ok(MarkDecision::Run(StartedMark { key, row, version }));
            }
            MarkOutcome::Unavailable(reason) => {
                let refusal = Refusal::not_run(ResultCode::StoreUnavailable, reason);
                return Err(refusal.with_retry_after(RETRY_AFTER));
            }
            MarkOutcome::Exists(found) => {
                let Ok(existing) = decode_row::<MarkRow>(&found.value) else {
                    return Err(Refusal::not_run(
                        ResultCode::Internal,
                        "the start mark can't be decoded",
                    ));
                };
                if existing.body_hash != body_hash {
                    let message = "this Idempotency-Key was used before with a different request";
                    return Err(Refusal::not_run(ResultCode::FieldInvalid, message));
                }
                if !existing.not_run {
                    return decide_caller_retry(existing);
                }
                // The earlier request certainly did not run, so this mark replaces its mark.
                version = found.version;
            }
        }
    }
}

/// Decides on a retry by the caller of a request that ran or may have run.
fn decide_caller_retry(existing: MarkRow) -> Result<MarkDecision, Refusal> {
    if existing.finished && existing.status > 0 {
        return Ok(MarkDecision::Answered(existing));
    }
    let (execution, message) = if existing.finished {
        (Execution::Ran, "the request ran before; its answer was not stored")
    } else {
        (Execution::MayHaveRun, "the request was started before; its outcome is not known yet")
    };
    let refusal = Refusal::not_run(ResultCode::AlreadyStarted, message).with_execution(execution);
    Err(if existing.finished { refusal } else { refusal.with_retry_after(RETRY_AFTER) })
}

/// Writes marks and ends until the daemon stops.
///
/// A mark that arrives after a pause is written at once. Under load, writes are spaced by a minimum
/// interval and marks that arrive in between share the next write, because the table accepts only a
/// limited number of writes per second from all hosts together.
pub(crate) async fn run_marks(state: Arc<DaemonState>) {
    let receivers = crate::state::lock(&state.marks.receivers).take();
    let Some(MarkReceivers { marks, ends }) = receivers else { return };
    tokio::join!(gather_marks(&state, marks), gather_ends(&state, ends));
}

/// Writes marks in groups. A group is limited in size and holds what has arrived when its write starts.
async fn gather_marks(state: &Arc<DaemonState>, mut marks: mpsc::Receiver<PendingMark>) {
    let mut throttle = WriteThrottle::new(state.settings.marks.write_interval());
    while let Some(first) = marks.recv().await {
        throttle.wait().await;
        let mut group = vec![first];
        while group.len() < state.settings.marks.group_size
            && let Ok(mark) = marks.try_recv()
        {
            group.push(mark);
        }
        // Spawned: with one write at a time, a slow table would delay all later marks.
        let state = state.clone();
        tokio::spawn(async move { write_group(&state, group).await });
    }
}

/// Writes ends of requests in groups, as [`gather_marks`] does for marks, at a longer interval.
async fn gather_ends(state: &Arc<DaemonState>, mut ends: mpsc::UnboundedReceiver<PendingEnd>) {
    let mut throttle =
        WriteThrottle::new(state.settings.marks.write_interval() * END_INTERVAL_FACTOR);
    while let Some(first) = ends.recv().await {
        throttle.wait().await;
        let mut group = vec![first];
        while group.len() < state.settings.marks.group_size
            && let Ok(end) = ends.try_recv()
        {
            group.push(end);
        }
        let state = state.clone();
        tokio::spawn(async move { write_ends(&state, group).await });
    }
}

/// Enforces a minimum interval between writes.
struct WriteThrottle {
    interval: Duration,
    last_write: Option<Instant>,
}

impl WriteThrottle {
    fn new(interval: Duration) -> Self {
        WriteThrottle { interval, last_write: None }
    }

    /// Waits until the interval since the last write has passed, then counts the next write as made now.
    async fn wait(&mut self) {
        if let Some(last_write) = self.last_write {
            tokio::time::sleep_until(last_write + self.interval).await;
        }
        self.last_write = Some(Instant::now());
    }
}

/// Writes a group of marks in one transaction. After a conflict, the marks concerned are read back and
/// the others are written again.
async fn write_group(state: &DaemonState, mut group: Vec<PendingMark>) {
    while !group.is_empty() {
        let transaction = group.iter().fold(Transaction::default(), |transaction, mark| {
            transaction.put_if_version(mark.key.clone(), mark.version, encode_row(&mark.row))
        });
        match state.platform.table.commit(transaction).await {
            Ok(CommitOutcome::Committed(version)) => {
                log::info!(marks = group.len() as u64; "marks-written");
                return send_all(group, || MarkOutcome::Written(version));
            }
            Ok(CommitOutcome::Conflict(keys)) => {
                let (conflicting, rest) =
                    group.into_iter().partition(|mark| keys.contains(&mark.key));
                group = rest;
                read_back_marks(state, conflicting).await;
            }
            Err(StoreError::Unavailable(reason)) => {
                return send_all(group, || MarkOutcome::Unavailable(reason.clone()));
            }
            Err(StoreError::Unknown(_)) => return read_back_marks(state, group).await,
        }
    }
}

/// Sends the same result to all requests of a group.
fn send_all(group: Vec<PendingMark>, outcome: impl Fn() -> MarkOutcome) {
    for mark in group {
        let _ = mark.result.send(outcome());
    }
}

/// Reads marks back after a conflict or a write with unknown outcome, and reports the result of each.
///
/// A mark holds the id of its writer (`MarkRow::key`), which distinguishes this host's write, if its answer
/// was lost, from a write by another host.
async fn read_back_marks(state: &DaemonState, group: Vec<PendingMark>) {
    let keys: Vec<String> = group.iter().map(|mark| mark.key.clone()).collect();
    for _ in 0..MAX_READ_BACK_ATTEMPTS {
        if let Ok(rows) = state.platform.table.read(&keys).await {
            for (mark, row) in group.into_iter().zip(rows) {
                let _ = mark.result.send(read_back_outcome(&mark.row, row));
            }
            return;
        }
        tokio::time::sleep(READ_BACK_RETRY_DELAY).await;
    }
    // It is unknown whether the marks are written, but none of the requests was sent to a target.
    send_all(group, || MarkOutcome::Unavailable("the table is unavailable".into()));
}

/// Returns the result of writing `wanted`, given the row that the table holds now.
fn read_back_outcome(wanted: &MarkRow, row: Option<Row>) -> MarkOutcome {
    let Some(row) = row else {
        return MarkOutcome::Unavailable("the table does not hold the start mark".into());
    };
    let is_own = decode_row::<MarkRow>(&row.value).is_ok_and(|found| found.key == wanted.key);
    if is_own { MarkOutcome::Written(row.version) } else { MarkOutcome::Exists(row) }
}

/// Writes the ends of a group of requests in one transaction, and repeats it while the table is
/// unavailable.
async fn write_ends(state: &DaemonState, mut ended: Vec<PendingEnd>) {
    for _ in 0..MAX_END_WRITE_ATTEMPTS {
        let transaction = ended.iter().fold(Transaction::default(), |transaction, end| {
            transaction.put_if_version(end.key.clone(), end.version, encode_row(&end.row))
        });
        match state.platform.table.commit(transaction).await {
            Ok(CommitOutcome::Committed(_)) => return,
            // The conflicting ends were written by an earlier attempt whose answer was lost, or
            // another host has replaced their marks.
            Ok(CommitOutcome::Conflict(keys)) => ended.retain(|end| !keys.contains(&end.key)),
            Err(_) => tokio::time::sleep(END_WRITE_RETRY_DELAY).await,
        }
        if ended.is_empty() {
            return;
        }
    }
    log::warn!(ends = ended.len() as u64; "mark-ends-lost");
}
