//! Start marks: proof in the table that a request which may not be repeated was begun.

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

/// Marks that wait to be written; more are refused.
const MOST_WAITING: usize = 10_000;
/// How often a write whose answer was lost is read back.
const SETTLE_TRIES: u32 = 8;
/// Waits between those tries.
const SETTLE_PAUSE: Duration = Duration::from_millis(250);
/// How often the end of a request is written again while the table is away.
const FINISH_TRIES: u32 = 240;
/// Waits between those tries.
const FINISH_PAUSE: Duration = Duration::from_millis(500);
/// Ends of requests are written so many times more seldom than marks: only a resend waits for them.
const END_PACE: u32 = 4;
/// When a caller may ask again for an answer that is not known yet.
const ASK_AGAIN: Duration = Duration::from_secs(1);

/// A mark to write.
struct PendingMark {
    key: String,
    row: MarkRow,
    /// The version the row must have; 0: it must not be there.
    version: Version,
    done: oneshot::Sender<MarkOutcome>,
}

/// What became of it.
enum MarkOutcome {
    /// It is written, at this version: the request may run.
    Written(Version),
    /// Another one stands there.
    Exists(Row),
    /// The table can't be asked, and the request must not run.
    Unavailable(String),
}

/// The end of a marked request, to write.
struct PendingEnd {
    key: String,
    row: MarkRow,
    /// The version of the mark. A late copy of "not run" must not undo the mark of another host that
    /// took the request over meanwhile: a third one would run it again.
    version: Version,
}

/// Gathers marks into few writes.
pub(crate) struct MarkWriter {
    marks: mpsc::Sender<PendingMark>,
    ends: mpsc::UnboundedSender<PendingEnd>,
    receivers: std::sync::Mutex<Option<MarkReceivers>>,
}

struct MarkReceivers {
    marks: mpsc::Receiver<PendingMark>,
    ends: mpsc::UnboundedReceiver<PendingEnd>,
}

/// A request that was begun; its end is written when it is known.
pub(crate) struct StartedMark {
    key: String,
    row: MarkRow,
    version: Version,
}

/// What a resend of a request gets.
pub(crate) enum MarkDecision {
    /// It is the first: run it.
    Run(StartedMark),
    /// It ran before: this was its answer.
    Answered(MarkRow),
}

impl MarkWriter {
    pub(crate) fn new() -> Self {
        let (marks, mark_receiver) = mpsc::channel(MOST_WAITING);
        let (ends, end_receiver) = mpsc::unbounded_channel();
        let receivers = MarkReceivers { marks: mark_receiver, ends: end_receiver };
        MarkWriter { marks, ends, receivers: std::sync::Mutex::new(Some(receivers)) }
    }

    async fn write(&self, key: &str, row: &MarkRow, version: u64) -> MarkOutcome {
        let (done, outcome) = oneshot::channel();
        let pending = PendingMark { key: key.to_owned(), row: row.clone(), version, done };
        if self.marks.try_send(pending).is_err() {
            return MarkOutcome::Unavailable("too many marks wait to be written".into());
        }
        outcome.await.unwrap_or_else(|_| MarkOutcome::Unavailable("the daemon stops".into()))
    }

    /// Writes how a request ended, in the background.
    pub(crate) fn finish(&self, mark: StartedMark, end: MarkEnd) {
        let StartedMark { key, row, version } = mark;
        let row = match end {
            MarkEnd::Answered { status, content_type, answer } => {
                MarkRow { finished: true, status, content_type, answer, ..row }
            }
            MarkEnd::Unkept => MarkRow { finished: true, ..row },
            MarkEnd::NotRun => MarkRow { not_run: true, ..row },
        };
        let _ = self.ends.send(PendingEnd { key, row, version });
    }
}

/// How a marked request ended.
pub(crate) enum MarkEnd {
    /// With an answer that is kept for a caller who asks again.
    Answered {
        /// Its status.
        status: u32,
        /// Its type.
        content_type: String,
        /// Its body.
        answer: Vec<u8>,
    },
    /// It ran, or may have; its answer is not kept.
    Unkept,
    /// It surely did not run, and may be sent again.
    NotRun,
}

/// Begins a request that may not be repeated: the mark is in the table before any target sees a byte.
///
/// A mark of another run shows that the request was begun before, perhaps through another host.
pub(crate) async fn begin_marked(
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
        key: state.writer_mark(),
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
                return Err(refusal.with_retry_after(ASK_AGAIN));
            }
            MarkOutcome::Exists(found) => {
                let Ok(known) = decode_row::<MarkRow>(&found.value) else {
                    return Err(Refusal::not_run(ResultCode::Internal, "the mark can't be read"));
                };
                if known.body_hash != body_hash {
                    let message = "this Idempotency-Key came before with another request";
                    return Err(Refusal::not_run(ResultCode::FieldInvalid, message));
                }
                if !known.not_run {
                    return decide_resend(known);
                }
                // The earlier one surely did not run: this one takes its place.
                version = found.version;
            }
        }
    }
}

fn decide_resend(known: MarkRow) -> Result<MarkDecision, Refusal> {
    if known.finished && known.status > 0 {
        return Ok(MarkDecision::Answered(known));
    }
    let (execution, message) = if known.finished {
        (Execution::Ran, "the request ran before; its answer was not kept")
    } else {
        (Execution::MayHaveRun, "the request was begun before; its end is not known yet")
    };
    let refusal = Refusal::not_run(ResultCode::AlreadyStarted, message).with_execution(execution);
    Err(if known.finished { refusal } else { refusal.with_retry_after(ASK_AGAIN) })
}

/// Writes marks and ends until the daemon stops.
///
/// A mark that comes alone is written at once. Under load writes keep a distance, and what comes
/// meanwhile goes into the next: the table takes only so many writes a second from all hosts.
pub(crate) async fn run_marks(state: Arc<DaemonState>) {
    let receivers = crate::state::lock(&state.marks.receivers).take();
    let Some(MarkReceivers { marks, ends }) = receivers else { return };
    tokio::join!(gather_marks(&state, marks), gather_ends(&state, ends));
}

async fn gather_marks(state: &Arc<DaemonState>, mut marks: mpsc::Receiver<PendingMark>) {
    let mut pace = GroupPace::new(state.settings.marks.group());
    while let Some(first) = marks.recv().await {
        pace.wait().await;
        let mut group = vec![first];
        while group.len() < state.settings.marks.group_size
            && let Ok(mark) = marks.try_recv()
        {
            group.push(mark);
        }
        // One write at a time would let a slow table hold all marks back behind it.
        let state = state.clone();
        tokio::spawn(async move { write_group(&state, group).await });
    }
}

async fn gather_ends(state: &Arc<DaemonState>, mut ends: mpsc::UnboundedReceiver<PendingEnd>) {
    let mut pace = GroupPace::new(state.settings.marks.group() * END_PACE);
    while let Some(first) = ends.recv().await {
        pace.wait().await;
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

/// Keeps a distance between writes.
struct GroupPace {
    distance: Duration,
    last: Option<Instant>,
}

impl GroupPace {
    fn new(distance: Duration) -> Self {
        GroupPace { distance, last: None }
    }

    /// Returns once the distance to the last write is kept.
    async fn wait(&mut self) {
        if let Some(last) = self.last {
            tokio::time::sleep_until(last + self.distance).await;
        }
        self.last = Some(Instant::now());
    }
}

/// Writes a group in one transaction; what meets a conflict is answered and the rest written again.
async fn write_group(state: &DaemonState, mut group: Vec<PendingMark>) {
    while !group.is_empty() {
        let transaction = group.iter().fold(Transaction::default(), |transaction, mark| {
            transaction.put_at(mark.key.clone(), mark.version, encode_row(&mark.row))
        });
        match state.platform.table.commit(transaction).await {
            Ok(CommitOutcome::Committed(version)) => {
                log::info!(marks = group.len() as u64; "marks-written");
                return answer_all(group, || MarkOutcome::Written(version));
            }
            Ok(CommitOutcome::Conflict(keys)) => {
                let (lost, rest) = group.into_iter().partition(|mark| keys.contains(&mark.key));
                group = rest;
                settle_marks(state, lost).await;
            }
            Err(StoreError::Unavailable(reason)) => {
                return answer_all(group, || MarkOutcome::Unavailable(reason.clone()));
            }
            Err(StoreError::Unknown(_)) => return settle_marks(state, group).await,
        }
    }
}

fn answer_all(group: Vec<PendingMark>, outcome: impl Fn() -> MarkOutcome) {
    for mark in group {
        let _ = mark.done.send(outcome());
    }
}

/// Reads back what stands in the table: a mark holds its writer's own word, so that a write whose
/// answer was lost is distinguished from one by another host.
async fn settle_marks(state: &DaemonState, group: Vec<PendingMark>) {
    let keys: Vec<String> = group.iter().map(|mark| mark.key.clone()).collect();
    for _ in 0..SETTLE_TRIES {
        if let Ok(rows) = state.platform.table.read(&keys).await {
            for (mark, row) in group.into_iter().zip(rows) {
                let _ = mark.done.send(settled_outcome(&mark.row, row));
            }
            return;
        }
        tokio::time::sleep(SETTLE_PAUSE).await;
    }
    // Whether the marks stand is unknown, and none of the requests was given to a target.
    answer_all(group, || MarkOutcome::Unavailable("the table can't be asked".into()));
}

fn settled_outcome(wanted: &MarkRow, row: Option<Row>) -> MarkOutcome {
    let Some(row) = row else {
        return MarkOutcome::Unavailable("the table did not take the mark".into());
    };
    let is_own = decode_row::<MarkRow>(&row.value).is_ok_and(|found| found.key == wanted.key);
    if is_own { MarkOutcome::Written(row.version) } else { MarkOutcome::Exists(row) }
}

async fn write_ends(state: &DaemonState, mut ended: Vec<PendingEnd>) {
    for _ in 0..FINISH_TRIES {
        let transaction = ended.iter().fold(Transaction::default(), |transaction, end| {
            transaction.put_at(end.key.clone(), end.version, encode_row(&end.row))
        });
        match state.platform.table.commit(transaction).await {
            Ok(CommitOutcome::Committed(_)) => return,
            // Those are written already, by a try whose answer was lost, or taken over.
            Ok(CommitOutcome::Conflict(keys)) => ended.retain(|end| !keys.contains(&end.key)),
            Err(_) => tokio::time::sleep(FINISH_PAUSE).await,
        }
        if ended.is_empty() {
            return;
        }
    }
    log::warn!(ends = ended.len() as u64; "mark-ends-lost");
}
