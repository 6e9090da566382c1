//! Accepts jobs durably, at most once each, and within the limit of waiting tokens of a team on a route.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::{Execution, Refusal, ResultCode, hash_parts};
use cuminramp_fleet::{AcceptanceStep, AcceptanceView, ItemSpec, JobRowWriter, JobSpec, RouteRule};
use cuminramp_platform::{CommitOutcome, StoreError, Transaction};
use cuminramp_wire::encode_row;
use cuminramp_wire::fleet::{GateRow, JobRow};
use http::{Response, StatusCode};
use tokio::time::Instant;

use super::directory::{KnownJob, unix_ms};
use super::draft::{JobDraft, JobSubmission, MAX_INPUT_ROW_BYTES, build_draft, check_items};
use super::hedged_commit::commit_hedged;
use super::names::{input_key, input_object, jobs_prefix};
use super::{JobCaller, writer};
use crate::entry::{ResponseBody, complete_response};
use crate::online::{OTHER_HOST_RETRY_AFTER, refuse_draining};
use crate::state::{GatewayState, lock};

/// Timeout after which a host stops trying to make a job durable. Callers wait 4 s and then retry at
/// another host; a response within 3 s still reaches them.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Delay after a failed call to the store.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(80);
/// Delay after which callers should retry a job that was refused because the team's limit of waiting tokens
/// was reached or the store was unavailable.
const RETRY_AFTER: Duration = Duration::from_millis(700);
/// Maximum number of rows that one scan of a partition reads.
const MAX_SCAN_ROWS: usize = 5_000;

/// Outcome of a write of the job's row.
enum WriteOutcome {
    /// The directory shows whether the write was applied: it was updated after the write ended.
    Visible,
    /// The write was not applied and won't be.
    NotApplied(String),
    /// The write may have been applied, or may be later.
    Unknown(String),
}

/// Accepts a job that a caller submitted on `route`.
pub(crate) async fn accept_job(
    state: &Arc<GatewayState>,
    route: &RouteRule,
    caller: JobCaller,
    body: Bytes,
    version: u64,
) -> Result<Response<ResponseBody>, Refusal> {
    let started_at = Instant::now();
    let outcome = accept(state, route, &caller, &body, version, started_at).await;
    let items = caller.head.request_id.as_deref().and_then(|id| state.directory.get(id));
    let items = items.map_or(0, |known| known.row.total);
    let job = caller.head.request_id.as_deref().unwrap_or("-");
    let took_ms = started_at.elapsed().as_millis() as u64;
    match &outcome {
        Ok(kind) => {
            state.metrics.record_acceptance(started_at.elapsed());
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

/// Accepts a job and returns the outcome for the log line: `known`, `accepted` or `repeated`.
async fn accept(
    state: &Arc<GatewayState>,
    route: &RouteRule,
    caller: &JobCaller,
    body: &Bytes,
    version: u64,
    started_at: Instant,
) -> Result<&'static str, Refusal> {
    let Some(id) = caller.head.request_id.clone() else {
        return Err(Refusal::not_run(ResultCode::FieldInvalid, "the job has no request ID"));
    };
    if is_known(state, &id, &caller.team) {
        return Ok("known");
    }
    if state.is_draining() {
        return Err(refuse_draining(state, "the host is draining"));
    }
    if state.is_cut_off().await {
        let reason = "this host is cut off from most hosts and from the store";
        let refusal = Refusal::not_run(ResultCode::StoreUnavailable, reason);
        return Err(refusal.with_retry_after(OTHER_HOST_RETRY_AFTER));
    }
    let items = state
        .call_format
        .read_job(body)
        .map_err(|error| Refusal::not_run(ResultCode::BodyMalformed, error.to_string()))?;
    check_items(state, &caller.head.host, &items)?;
    let digest = hash_parts(&[&String::from_utf8_lossy(body)]);
    let submission = JobSubmission { id: &id, caller, route, version, started_at };
    let mut draft = build_draft(state, &submission, &items, digest);
    if draft.row.input_rows == 0 {
        store_input_object(state, &draft).await?;
    }
    let outcome = make_durable(state, &mut draft).await?;
    if outcome == "accepted" {
        start_job(state, &draft, items);
    }
    Ok(outcome)
}

/// Returns whether the directory has a job with this ID of the team.
fn is_known(state: &GatewayState, id: &str, team: &str) -> bool {
    state.directory.get(id).is_some_and(|known| known.row.team == team)
}

fn unavailable(reason: impl Into<String>) -> Refusal {
    Refusal::not_run(ResultCode::StoreUnavailable, reason).with_retry_after(RETRY_AFTER)
}

/// Stores an input that is too large for rows as an object.
async fn store_input_object(state: &GatewayState, draft: &JobDraft) -> Result<(), Refusal> {
    let name = input_object(&draft.row.team, &draft.row.id);
    loop {
        match state.store.put(&name, draft.input.clone()).await {
            Ok(()) => return Ok(()),
            Err(error) if draft.started_at.elapsed() >= ACCEPT_TIMEOUT => {
                return Err(unavailable(error.to_string()));
            }
            Err(error) => {
                record_failure(state, draft, &error.to_string());
                tokio::time::sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads and writes the jobs table until the job is accepted or refused. Returns the outcome for the log
/// line: `accepted`, or `repeated` if another call had the job accepted.
async fn make_durable(
    state: &Arc<GatewayState>,
    draft: &mut JobDraft,
) -> Result<&'static str, Refusal> {
    let mut is_fresh = false;
    let mut reason = String::from("too many concurrent changes");
    loop {
        let view = acceptance_view(state, draft, is_fresh);
        // Read together with the waiting tokens: if another acceptance writes the lock row after that, the
        // write of this job conflicts, so that two jobs never use the same free tokens.
        let lock_version = state.directory.acceptance_lock_version(&draft.row.team);
        match view.next_step() {
            AcceptanceStep::Accepted => return Ok("accepted"),
            AcceptanceStep::AlreadyAccepted => return Ok("repeated"),
            AcceptanceStep::Refresh => match refresh_directory(state, &draft.row.team).await {
                Ok(()) => is_fresh = true,
                Err(error) => {
                    return Err(refusal_for(view.after_failed_read(), &view, &error.to_string()));
                }
            },
            AcceptanceStep::Write => match write_row(state, draft, lock_version).await {
                WriteOutcome::Visible => is_fresh = true,
                WriteOutcome::NotApplied(error) => {
                    reason = error;
                    is_fresh = false;
                }
                WriteOutcome::Unknown(error) => {
                    draft.has_pending_write = true;
                    reason = error;
                    is_fresh = false;
                }
            },
            step => return Err(refusal_for(step, &view, &reason)),
        }
    }
}

/// Returns what the directory shows of the job and of its team.
fn acceptance_view(state: &GatewayState, draft: &JobDraft, is_fresh: bool) -> AcceptanceView {
    let row_writer = match state.directory.get(&draft.row.id) {
        None => JobRowWriter::Missing,
        Some(known) if known.row.team != draft.row.team => JobRowWriter::OtherTeam,
        Some(known) if is_written_by(&known, draft) => JobRowWriter::Own,
        Some(_) => JobRowWriter::Other,
    };
    AcceptanceView {
        row_writer,
        waiting_tokens: state.directory.waiting_tokens(&draft.row.team, &draft.row.route),
        job_tokens: draft.tokens,
        max_waiting_tokens: draft.max_waiting_tokens,
        is_fresh,
        has_pending_write: draft.has_pending_write,
        is_past_deadline: draft.started_at.elapsed() >= ACCEPT_TIMEOUT,
    }
}

/// Returns whether a known row was written by this acceptance rather than by another one of the same job.
fn is_written_by(known: &KnownJob, draft: &JobDraft) -> bool {
    known.row.holder_address == draft.row.holder_address
        && known.row.holder_incarnation == draft.row.holder_incarnation
        && known.row.accepted_ms == draft.row.accepted_ms
}

/// Returns the refusal for a step that ends the acceptance.
fn refusal_for(step: AcceptanceStep, view: &AcceptanceView, reason: &str) -> Refusal {
    match step {
        AcceptanceStep::RefuseFull => {
            let reason = format!(
                "{} tokens are waiting, the limit is {}",
                view.waiting_tokens, view.max_waiting_tokens
            );
            Refusal::not_run(ResultCode::RateExceeded, reason).with_retry_after(RETRY_AFTER)
        }
        AcceptanceStep::RefuseUsedId => {
            Refusal::not_run(ResultCode::FieldInvalid, "another team has a job with this ID")
        }
        AcceptanceStep::RefuseUnknown => Refusal::not_run(ResultCode::DeadlineExceeded, reason)
            .with_execution(Execution::MayHaveRun),
        _ => unavailable(reason),
    }
}

/// Reads the rows of a team's partition and updates the directory.
async fn refresh_directory(state: &Arc<GatewayState>, team: &str) -> Result<(), StoreError> {
    let rows = state.store.scan(&jobs_prefix(team), "", MAX_SCAN_ROWS).await?;
    for row in rows {
        super::directory::apply_row(state, &row);
    }
    Ok(())
}

/// Writes the job's row and the team's acceptance lock row in one transaction. Further attempts write the
/// lock row as well, so that at most one of several takes effect.
async fn write_row(state: &Arc<GatewayState>, draft: &JobDraft, lock_version: u64) -> WriteOutcome {
    let lock_row = GateRow { accepted: draft.row.accepted_ms };
    let mut transaction = Transaction::default()
        .put_if_version(draft.lock_key.clone(), lock_version, encode_row(&lock_row))
        .put_if_version(draft.job_key.clone(), 0, encode_row(&draft.row));
    if draft.row.input_rows > 0 {
        // The input is part of the same write: storing an object first takes five times as long, and while
        // the store is slow callers would receive the acceptance seconds too late.
        for (index, bytes) in draft.input.chunks(MAX_INPUT_ROW_BYTES).enumerate() {
            let key = input_key(&draft.row.team, &draft.row.id, index);
            transaction = transaction.put(key, Bytes::copy_from_slice(bytes));
        }
    }
    let outcome = tokio::select! {
        biased;
        outcome = commit_hedged(state, transaction) => outcome,
        () = wait_for_row(state, draft) => return WriteOutcome::Visible,
    };
    let reason = match outcome {
        Ok(CommitOutcome::Committed(version)) => {
            state.directory.put(draft.row.clone(), version);
            state.directory.put_acceptance_lock(&draft.lock_key, version);
            return WriteOutcome::Visible;
        }
        Ok(CommitOutcome::Conflict(_)) => None,
        Err(StoreError::Unavailable(reason)) => {
            record_failure(state, draft, &reason);
            tokio::time::sleep(STORE_RETRY_DELAY).await;
            return WriteOutcome::NotApplied(reason);
        }
        Err(StoreError::Unknown(reason)) => {
            record_failure(state, draft, &reason);
            Some(reason)
        }
    };
    match (refresh_directory(state, &draft.row.team).await, reason) {
        (Ok(()), None) => WriteOutcome::Visible,
        (Ok(()), Some(reason)) => WriteOutcome::Unknown(reason),
        (Err(error), unknown_reason) => {
            let reason = error.to_string();
            record_failure(state, draft, &reason);
            tokio::time::sleep(STORE_RETRY_DELAY).await;
            match unknown_reason {
                None => WriteOutcome::NotApplied(reason),
                Some(_) => WriteOutcome::Unknown(reason),
            }
        }
    }
}

/// Waits until the watch of the jobs table returns the row that this acceptance writes.
///
/// If the store's response to the write is lost, the write ends only at the call's timeout, and callers
/// would receive the acceptance too late.
async fn wait_for_row(state: &GatewayState, draft: &JobDraft) {
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

fn record_failure(state: &GatewayState, draft: &JobDraft, reason: &str) {
    state.metrics.count_store_failure("accept");
    log::warn!(
        job = draft.row.id.as_str(), team = draft.row.team.as_str(), reason = reason,
        since_ms = draft.started_at.elapsed().as_millis() as u64;
        "job-not-written"
    );
}

/// Starts work on an accepted job, unless the job is held, has listed results or is no longer open.
///
/// If the store responded late, this host may have loaded the job from the table meanwhile and listed some
/// of its results. That work goes on, or the scan for orphaned jobs loads the job with those results.
fn start_job(state: &Arc<GatewayState>, draft: &JobDraft, items: Vec<ItemSpec>) {
    let Some(known) = state.directory.get(&draft.row.id) else { return };
    if !known.is_open() || known.row.listed > 0 {
        return;
    }
    let spec = job_spec(&known.row, items.into_iter().map(Arc::new).collect());
    writer::hold_job(state, known, spec, &[], vec![]);
}

/// Converts a job's row and items to the specification that the job table holds. Unix times become
/// instants of this host's clock.
pub(super) fn job_spec(row: &JobRow, items: Vec<Arc<ItemSpec>>) -> JobSpec {
    let now = Instant::now();
    let unix = unix_ms();
    let at = |ms: u64| now + Duration::from_millis(ms.saturating_sub(unix));
    JobSpec {
        id: row.id.as_str().into(),
        team: row.team.as_str().into(),
        route: row.route.as_str().into(),
        declarations_version: Some(row.declarations_version).filter(|version| *version > 0),
        host: row.host.as_str().into(),
        due: at(row.due_ms),
        expires: at(row.give_up_ms),
        max_failures: row.max_attempts.max(1),
        items,
    }
}

/// Returns the number of jobs that this host holds, for log lines.
pub(super) fn held_count(state: &GatewayState) -> usize {
    lock(&state.jobs).jobs().count()
}
