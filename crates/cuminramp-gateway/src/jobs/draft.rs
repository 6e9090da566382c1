//! A submitted job before it is durable: its checks, its row and its input.

use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::{Name, Refusal, ResultCode};
use cuminramp_fleet::{ItemSpec, RouteRule};
use cuminramp_wire::encode_row;
use cuminramp_wire::fleet::{JobHeader, JobInput, JobItem, JobPhase, JobRow};
use http::{HeaderValue, Uri};
use tokio::time::Instant;

use super::JobCaller;
use super::directory::unix_ms;
use super::names::{acceptance_lock_key, job_key};
use crate::interfaces::TargetHead;
use crate::state::GatewayState;

/// Maximum difference of two hosts' clocks for which no item is given up too early: the times in a job's row are by the
/// clock of the host that accepted it.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(5);
/// Maximum number of bytes of a job's input in one row. Rows hold 64 KiB in base64.
pub(super) const MAX_INPUT_ROW_BYTES: usize = 40 << 10;
/// Maximum number of rows for a job's input, as one write holds 1 MB. Larger inputs are stored as objects.
const MAX_INPUT_ROWS: usize = 15;

/// A job that is being accepted, and the state of its writes.
pub(super) struct JobDraft {
    pub(super) row: JobRow,
    /// The encoded [`JobInput`].
    pub(super) input: Bytes,
    /// Tokens of all items.
    pub(super) tokens: u64,
    /// Maximum number of tokens that the team may have waiting on the route; 0 if unlimited.
    pub(super) max_waiting_tokens: u64,
    /// Key of the team's acceptance lock row.
    pub(super) lock_key: String,
    /// Key of the job's row.
    pub(super) job_key: String,
    pub(super) started_at: Instant,
    /// Whether the outcome of a write is unknown, so that it may still take effect.
    pub(super) has_pending_write: bool,
}

/// Checks that each item can be sent to a target. One that can't would otherwise be accepted, and given up without
/// having run.
pub(super) fn check_items(
    state: &GatewayState,
    host: &Name,
    items: &[ItemSpec],
) -> Result<(), Refusal> {
    let head = TargetHead { deadline: None, team: None, target: "-", last_event: None };
    for item in items {
        let path = item.path.parse::<Uri>();
        let reason = if item.id.is_empty() || HeaderValue::from_str(&item.id).is_err() {
            "the ID is empty or can't be sent in a header".to_owned()
        } else if !path.is_ok_and(|path| path.path().starts_with('/')) {
            "the path is not a valid URI".to_owned()
        } else if let Err(error) = state.call_format.item_headers(item, host, &head) {
            error.to_string()
        } else {
            continue;
        };
        let reason = format!("item {}: {reason}", item.id);
        return Err(Refusal::not_run(ResultCode::FieldInvalid, reason));
    }
    Ok(())
}

/// A call that submits a job.
pub(super) struct JobSubmission<'a> {
    pub(super) id: &'a Name,
    pub(super) caller: &'a JobCaller,
    pub(super) route: &'a RouteRule,
    /// Version of the declarations that have the route.
    pub(super) version: u64,
    pub(super) started_at: Instant,
}

/// Returns the draft of a submitted job, whose body has this digest.
pub(super) fn build_draft(
    state: &GatewayState,
    submission: &JobSubmission<'_>,
    items: &[ItemSpec],
    digest: u64,
) -> JobDraft {
    let JobSubmission { id, caller, route, version, started_at } = *submission;
    let tokens = items.iter().map(|item| item.tokens).sum();
    let input = encode_input(items);
    let input_rows = input.len().div_ceil(MAX_INPUT_ROW_BYTES);
    let now = unix_ms();
    let row = JobRow {
        id: id.to_string(),
        team: caller.team.to_string(),
        route: route.name.to_string(),
        host: caller.head.host.to_string(),
        phase: JobPhase::Open as i32,
        holder_address: state.local_host.address.to_string(),
        holder_incarnation: state.incarnation(),
        fence: 1,
        accepted_ms: now,
        due_ms: now + route.due_after.as_millis() as u64,
        give_up_ms: now + (route.item_ttl + CLOCK_TOLERANCE).as_millis() as u64,
        max_attempts: route.max_attempts,
        total: items.len() as u32,
        listed: 0,
        waiting_tokens: tokens,
        commit: 0,
        digest,
        input_rows: if input_rows <= MAX_INPUT_ROWS { input_rows as u32 } else { 0 },
        declarations_version: version,
        writer: 0,
    };
    JobDraft {
        row,
        input,
        tokens,
        max_waiting_tokens: route.max_waiting_tokens,
        lock_key: acceptance_lock_key(&caller.team),
        job_key: job_key(&caller.team, id),
        started_at,
        has_pending_write: false,
    }
}

/// Encodes the items as [`JobInput`].
fn encode_input(items: &[ItemSpec]) -> Bytes {
    let items = items.iter().map(|item| JobItem {
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
    Bytes::from(encode_row(&JobInput { items: items.collect() }))
}
