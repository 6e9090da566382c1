//! Accepts jobs: durably, once, and within what a team may have waiting.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::{Execution, Name, Refusal, ResultCode, hash_parts};
use cuminramp_fleet::{AcceptanceStep, AcceptanceView, FoundJob, ItemSpec, JobSpec, RouteRule};
use cuminramp_platform::{CommitOutcome, StoreError, Transaction};
use cuminramp_wire::encode_row;
use cuminramp_wire::fleet::{GateRow, JobHeader, JobInput, JobItem, JobPhase, JobRow};
use http::{Response, StatusCode};
use tokio::time::Instant;

use super::directory::{KnownJob, unix_ms};
use super::names::{acceptance_lock_key, input_key, input_object, job_key, jobs_prefix};
use super::{JobCaller, writer};
use crate::entry::{AnswerBody, complete_response};
use crate::state::{GatewayState, lock};

/// How long a host tries to make a job durable. Callers wait four seconds and then ask another
/// host; a little less lets the answer arrive.
const ACCEPT_LIMIT: Duration = Duration::from_millis(3_000);
/// Pause after a call of the store that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(80);
/// When a refused job should come back.
const RETURN_PAUSE: Duration = Duration::from_millis(700);
/// When a job should come back that another host can accept at once.
const ELSEWHERE_PAUSE: Duration = Duration::from_millis(50);
/// Most rows of a partition that one scan reads.
const MOST_ROWS: usize = 5_000;

/// Bytes of a job's input in one row: rows hold 64 KiB in base64.
const PIECE_BYTES: usize = 40 << 10;
/// Rows that a job's input may take; a write holds a megabyte. Larger inputs become objects.
const MOST_PIECES: usize = 15;

/// What becomes durable.
struct JobDraft {
    row: JobRow,
    /// Its input.
    input: Bytes,
    tokens: u64,
    limit: u64,
    gate: String,
    key: String,
    began: Instant,
    /// A write of it may still take effect.
    is_unsettled: bool,
}

/// How a write of the job's row went.
enum WriteOutcome {
    /// The table was read or written after it: what is known tells whether it took effect.
    Settled,
    /// It surely had no effect.
    NotDone(String),
    /// It may have taken effect, or may yet.
    Unsettled(String),
}

/// Accepts a job handed in on `route`.
pub(crate) async fn accept_job(
    state: &Arc<GatewayState>,
    route: &RouteRule,
    caller: JobCaller,
    body: Bytes,
    version: u64,
) -> Result<Response<AnswerBody>, Refusal> {
    let began = Instant::now();
    let outcome = accept(state, route, &caller, &body, began).await;
    let items = caller.head.request_id.as_deref().and_then(|id| state.directory.get(id));
    let items = items.map_or(0, |known| known.row.total);
    let job = caller.head.request_id.as_deref().unwrap_or("-");
    let took_ms = began.elapsed().as_millis() as u64;
    match &outcome {
        Ok(kind) => {
            state.metrics.note_acceptance(began.elapsed());
            log::info!(
                job = job, team = &*caller.team, route = &*route.name, declarations = version,
                items = items, outcome = *kind, took_ms = took_ms;
                "job-accepted"
            );
        }
        Err(refusal) => log::info!(
            job = job, team = &*caller.team, route = &*route.name, declarations = version,
            code = refusal.code.number(), name = refusal.code.name(),
            execution = refusal.execution.as_str(), reason = refusal.message.as_str(),
            took_ms = took_ms;
            "job-refused"
        ),
    }
    outcome.map(|_| complete_response(StatusCode::ACCEPTED, Bytes::from_static(b"{}")))
}

async fn accept(
    state: &Arc<GatewayState>,
    route: &RouteRule,
    caller: &JobCaller,
    body: &Bytes,
    began: Instant,
) -> Result<&'static str, Refusal> {
    let Some(id) = caller.head.request_id.clone() else {
        return Err(Refusal::not_run(ResultCode::FieldInvalid, "the job has no identity"));
    };
    if is_known(state, &id, &caller.team) {
        return Ok("known");
    }
    if state.is_draining() {
        let refusal = Refusal::not_run(ResultCode::HostDraining, "the host is leaving");
        return Err(refusal.with_retry_after(ELSEWHERE_PAUSE));
    }
    if state.is_cut_off().await {
        let reason = "this host is cut off from most hosts and from the store";
        let refusal = Refusal::not_run(ResultCode::StoreUnavailable, reason);
        return Err(refusal.with_retry_after(ELSEWHERE_PAUSE));
    }
    let items = state
        .calls
        .read_job(body)
        .map_err(|error| Refusal::not_run(ResultCode::BodyMalformed, error.to_string()))?;
    let mut draft = make_draft(state, route, caller, &id, &items, body, began);
    if draft.row.input_rows == 0 {
        store_input(state, &draft).await?;
    }
    let outcome = make_durable(state, &mut draft).await?;
    if outcome == "accepted" {
        hold(state, &draft, items);
    }
    Ok(outcome)
}

fn is_known(state: &GatewayState, id: &str, team: &str) -> bool {
    state.directory.get(id).is_some_and(|known| known.row.team == team)
}

fn make_draft(
    state: &GatewayState,
    route: &RouteRule,
    caller: &JobCaller,
    id: &Name,
    items: &[ItemSpec],
    body: &Bytes,
    began: Instant,
) -> JobDraft {
    let tokens = items.iter().map(|item| item.tokens).sum();
    let input = pack_input(items);
    let pieces = input.len().div_ceil(PIECE_BYTES);
    let now = unix_ms();
    let row = JobRow {
        id: id.to_string(),
        team: caller.team.to_string(),
        route: route.name.to_string(),
        host: caller.head.host.to_string(),
        phase: JobPhase::Open as i32,
        holder_address: state.me.address.to_string(),
        holder_incarnation: state.me.incarnation,
        fence: 1,
        accepted_ms: now,
        due_ms: now + route.due.as_millis() as u64,
        give_up_ms: now + route.keep.as_millis() as u64,
        max_attempts: route.max_attempts,
        total: items.len() as u32,
        listed: 0,
        waiting_tokens: tokens,
        commit: 0,
        digest: hash_parts(&[&String::from_utf8_lossy(body)]),
        input_rows: if pieces <= MOST_PIECES { pieces as u32 } else { 0 },
    };
    JobDraft {
        row,
        input,
        tokens,
        limit: route.waiting_tokens,
        gate: acceptance_lock_key(&caller.team),
        key: job_key(&caller.team, id),
        began,
        is_unsettled: false,
    }
}

fn unavailable(reason: impl Into<String>) -> Refusal {
    Refusal::not_run(ResultCode::StoreUnavailable, reason).with_retry_after(RETURN_PAUSE)
}

fn pack_input(items: &[ItemSpec]) -> Bytes {
    let packed = items.iter().map(|item| JobItem {
        id: item.id.to_string(),
        path: item.path.to_string(),
        headers: item
            .headers
            .iter()
            .map(|(name, value)| JobHeader { name: name.to_string(), value: value.to_string() })
            .collect(),
        body: item.body.to_vec(),
        tokens: item.tokens,
    });
    Bytes::from(encode_row(&JobInput { items: packed.collect() }))
}

/// Stores an input that is too large for rows.
async fn store_input(state: &GatewayState, draft: &JobDraft) -> Result<(), Refusal> {
    let name = input_object(&draft.row.team, &draft.row.id);
    loop {
        match state.store.put(&name, draft.input.clone()).await {
            Ok(()) => return Ok(()),
            Err(error) if draft.began.elapsed() >= ACCEPT_LIMIT => {
                return Err(unavailable(error.to_string()));
            }
            Err(error) => {
                note_failure(state, draft, &error.to_string());
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

async fn make_durable(
    state: &Arc<GatewayState>,
    draft: &mut JobDraft,
) -> Result<&'static str, Refusal> {
    let mut is_fresh = false;
    let mut reason = String::from("too many changes at once");
    loop {
        let view = view_of(state, draft, is_fresh);
        // Read with the room: if another acceptance moves the gate after it, the write fails there.
        let gate_version = state.directory.acceptance_lock_version(&draft.row.team);
        match view.next_step() {
            AcceptanceStep::Accepted => return Ok("accepted"),
            AcceptanceStep::Repeated => return Ok("repeated"),
            AcceptanceStep::Refresh => match refresh(state, &draft.row.team).await {
                Ok(()) => is_fresh = true,
                Err(error) => {
                    return Err(refuse(view.after_failed_read(), &view, &error.to_string()));
                }
            },
            AcceptanceStep::Write => match write_row(state, draft, gate_version).await {
                WriteOutcome::Settled => is_fresh = true,
                WriteOutcome::NotDone(why) => {
                    reason = why;
                    is_fresh = false;
                }
                WriteOutcome::Unsettled(why) => {
                    draft.is_unsettled = true;
                    reason = why;
                    is_fresh = false;
                }
            },
            step => return Err(refuse(step, &view, &reason)),
        }
    }
}

fn view_of(state: &GatewayState, draft: &JobDraft, is_fresh: bool) -> AcceptanceView {
    let found = match state.directory.get(&draft.row.id) {
        None => FoundJob::Missing,
        Some(known) if is_written_by(&known, draft) => FoundJob::Own,
        Some(_) => FoundJob::Others,
    };
    AcceptanceView {
        found,
        waiting: state.directory.waiting_tokens(&draft.row.team, &draft.row.route),
        tokens: draft.tokens,
        limit: draft.limit,
        is_fresh,
        is_unsettled: draft.is_unsettled,
        is_time_up: draft.began.elapsed() >= ACCEPT_LIMIT,
    }
}

fn is_written_by(known: &KnownJob, draft: &JobDraft) -> bool {
    known.row.holder_address == draft.row.holder_address
        && known.row.holder_incarnation == draft.row.holder_incarnation
        && known.row.accepted_ms == draft.row.accepted_ms
}

fn refuse(step: AcceptanceStep, view: &AcceptanceView, reason: &str) -> Refusal {
    match step {
        AcceptanceStep::RefuseFull => {
            let reason = format!("{} tokens wait, {} are allowed", view.waiting, view.limit);
            Refusal::not_run(ResultCode::RateExceeded, reason).with_retry_after(RETURN_PAUSE)
        }
        AcceptanceStep::LeaveOpen => Refusal::not_run(ResultCode::DeadlineExceeded, reason)
            .with_execution(Execution::MayHaveRun),
        _ => unavailable(reason),
    }
}

/// Reads a team's partition anew.
async fn refresh(state: &Arc<GatewayState>, team: &str) -> Result<(), StoreError> {
    let rows = state.store.scan(&jobs_prefix(team), "", MOST_ROWS).await?;
    for row in rows {
        super::directory::apply_row(state, &row);
    }
    Ok(())
}

/// Writes the job's row through the team's gate. Each further write goes through the gate as well,
/// so that of several at most one takes effect.
async fn write_row(state: &Arc<GatewayState>, draft: &JobDraft, gate_version: u64) -> WriteOutcome {
    let gate = GateRow { accepted: draft.row.accepted_ms };
    let mut transaction = Transaction::default()
        .put_at(draft.gate.clone(), gate_version, encode_row(&gate))
        .put_at(draft.key.clone(), 0, encode_row(&draft.row));
    if draft.row.input_rows > 0 {
        // With the job in one write: an object before it takes five times as long, and while the store
        // is slow callers would hear of the acceptance seconds after they want to.
        for (piece, bytes) in draft.input.chunks(PIECE_BYTES).enumerate() {
            let key = input_key(&draft.row.team, &draft.row.id, piece);
            transaction = transaction.put(key, Bytes::copy_from_slice(bytes));
        }
    }
    let outcome = tokio::select! {
        biased;
        outcome = state.store.commit(transaction) => outcome,
        () = row_seen(state, draft) => return WriteOutcome::Settled,
    };
    let reason = match outcome {
        Ok(CommitOutcome::Committed(version)) => {
            state.directory.put(draft.row.clone(), version);
            state.directory.put_acceptance_lock(&draft.gate, version);
            return WriteOutcome::Settled;
        }
        Ok(CommitOutcome::Conflict(_)) => None,
        Err(StoreError::Unavailable(reason)) => {
            note_failure(state, draft, &reason);
            tokio::time::sleep(FAILURE_PAUSE).await;
            return WriteOutcome::NotDone(reason);
        }
        Err(StoreError::Unknown(reason)) => {
            note_failure(state, draft, &reason);
            Some(reason)
        }
    };
    match (refresh(state, &draft.row.team).await, reason) {
        (Ok(()), None) => WriteOutcome::Settled,
        (Ok(()), Some(reason)) => WriteOutcome::Unsettled(reason),
        (Err(error), unknown) => {
            let reason = error.to_string();
            note_failure(state, draft, &reason);
            tokio::time::sleep(FAILURE_PAUSE).await;
            match unknown {
                None => WriteOutcome::NotDone(reason),
                Some(_) => WriteOutcome::Unsettled(reason),
            }
        }
    }
}

/// Waits until the watch of the table brings the row that this call writes. An answer that got lost would
/// be missed only when the call's limit has passed, and callers would hear of the acceptance too late.
async fn row_seen(state: &GatewayState, draft: &JobDraft) {
    let mut changes = state.directory.subscribe();
    loop {
        let known = state.directory.get(&draft.row.id);
        if known.is_some_and(|known| is_written_by(&known, draft)) {
            return;
        }
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

fn note_failure(state: &GatewayState, draft: &JobDraft, reason: &str) {
    state.metrics.count_store_failure("accept");
    log::warn!(
        job = draft.row.id.as_str(), team = draft.row.team.as_str(), reason = reason,
        since_ms = draft.began.elapsed().as_millis() as u64;
        "job-not-written"
    );
}

/// Begins work on an accepted job. Where the acceptance was answered late, this host may have heard
/// of the job from the table and have done some of it; that work goes on, or the look for orphaned
/// jobs takes it up with what is listed.
fn hold(state: &Arc<GatewayState>, draft: &JobDraft, items: Vec<ItemSpec>) {
    let Some(known) = state.directory.get(&draft.row.id) else { return };
    if !known.is_open() || known.row.listed > 0 {
        return;
    }
    let spec = job_spec(&known.row, items.into_iter().map(Arc::new).collect());
    writer::hold_job(state, known, spec, &[], vec![]);
}

/// A job as the board holds it.
pub(super) fn job_spec(row: &JobRow, items: Vec<Arc<ItemSpec>>) -> JobSpec {
    let now = Instant::now();
    let unix = unix_ms();
    let at = |ms: u64| now + Duration::from_millis(ms.saturating_sub(unix));
    JobSpec {
        id: row.id.as_str().into(),
        team: row.team.as_str().into(),
        route: row.route.as_str().into(),
        host: row.host.as_str().into(),
        due: at(row.due_ms),
        give_up: at(row.give_up_ms),
        max_attempts: row.max_attempts.max(1),
        items,
    }
}

/// Counts held jobs for the log.
pub(super) fn held_count(state: &GatewayState) -> usize {
    lock(&state.jobs).jobs().count()
}
