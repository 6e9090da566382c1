//! Sends an item to its target and reads the stream that the target responds with.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::Name;
use cuminramp_fleet::{ItemFailure, ItemProgress, ItemStart, JobSpec, PartDecision};
use http::{Method, StatusCode, Uri};
use http_body_util::BodyExt;
use tokio::time::Instant;

use crate::interfaces::TargetHead;
use crate::parts::{SOUND_EVENTS, admit_item_parts, parts_in_pool, record_sound_parts};
use crate::state::{GatewayState, lock};
use crate::targets::{
    EventOrder, EventSplitter, ResponseFraming, SendFailure, StreamEnd, TargetRequest,
    TargetResponse, TargetRun, UNACKNOWLEDGED_TIMEOUT, describe_error, is_path_cut, send_request,
};

/// Timeout after which an item whose target sends no byte is resumed on another target.
const TARGET_SILENCE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Minimum interval between two records of a running item's progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout after which an item whose target sends bytes, but no new event, is resumed on another target.
const NO_EVENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size in bytes of an item's output: a page of results holds a megabyte.
const MAX_OUTPUT_BYTES: usize = 1 << 20;
/// Deadline that a target receives with an item. It limits orphaned work of a host
/// that is lost.
const ITEM_DEADLINE: Duration = Duration::from_secs(15);

/// How a run of an item on a target ended.
pub(super) enum RunEnd {
    /// The output is complete.
    Complete,
    /// The run failed or was cancelled, with the reason for the log.
    Failed(ItemFailure, String),
}

/// Returns the end of a run that the target did not complete: it broke the connection or sent an unusable
/// response.
fn broken(reason: impl Into<String>) -> RunEnd {
    RunEnd::Failed(ItemFailure::Crashed, reason.into())
}

/// Returns the end of a run whose target is silent or can't be reached any more.
fn lost(reason: impl Into<String>) -> RunEnd {
    RunEnd::Failed(ItemFailure::Lost, reason.into())
}

/// Sends an item to its target and reads the response.
pub(super) async fn send_item(
    state: &Arc<GatewayState>,
    start: &ItemStart,
    run: TargetRun,
    progress: &mut ItemProgress,
) -> RunEnd {
    let Some(spec) = lock(&state.jobs).get(&start.job).map(|job| job.spec().clone()) else {
        return RunEnd::Failed(ItemFailure::Preempted, "the job was released".into());
    };
    let parts = parts_in_pool(&state.call_format.item_parts(&start.item), &run.target.pool);
    if let PartDecision::Hold(part) = admit_item_parts(state, &parts) {
        return RunEnd::Failed(ItemFailure::Held, format!("part {part} is quarantined"));
    }
    let resumed_after = progress.last_event;
    let end = send_to_target(state, start, &spec, run, progress).await;
    let events = events_until(progress.last_event) - events_until(resumed_after);
    // A crash counts for nothing: items never crash targets by themselves.
    if events >= SOUND_EVENTS || matches!(end, RunEnd::Complete) {
        record_sound_parts(state, &parts);
    }
    end
}

fn events_until(last: Option<u64>) -> u64 {
    last.map_or(0, |last| last + 1)
}

async fn send_to_target(
    state: &Arc<GatewayState>,
    start: &ItemStart,
    spec: &JobSpec,
    run: TargetRun,
    progress: &mut ItemProgress,
) -> RunEnd {
    let head = TargetHead {
        deadline: Some(ITEM_DEADLINE),
        team: Some(&spec.team),
        target: &run.target.id.clone(),
        last_event: progress.last_event,
    };
    let headers = match state.call_format.item_headers(&start.item, &spec.host, &head) {
        Ok(headers) => headers,
        Err(error) => return RunEnd::Failed(ItemFailure::Failed, error.to_string()),
    };
    let Ok(path) = start.item.path.parse::<Uri>() else {
        return RunEnd::Failed(ItemFailure::Failed, "the path is not a valid URI".into());
    };
    let request = TargetRequest {
        method: Method::POST,
        path,
        headers,
        body: start.item.body.clone(),
        request_id: Some(start.item.id.clone()),
        needs_new_connection: false,
        unacknowledged_timeout: UNACKNOWLEDGED_TIMEOUT,
        head_timeout: TARGET_SILENCE_TIMEOUT,
    };
    match send_request(run, request).await {
        Ok(response) => {
            let recorder = ProgressRecorder::new(state, start, progress);
            let reading = read_response(response, progress, recorder);
            match tokio::time::timeout_at(spec.expires, reading).await {
                Ok(end) => end,
                Err(_) => lost("the item has expired"),
            }
        }
        Err(failure @ (SendFailure::NotSent(_) | SendFailure::Refused { .. })) => {
            RunEnd::Failed(ItemFailure::Preempted, failure.as_str().into())
        }
        Err(failure @ (SendFailure::Silent(_) | SendFailure::Cut(_))) => {
            lost(format!("{failure:?}"))
        }
        Err(failure) => broken(format!("{failure:?}")),
    }
}

/// Checks the status of a target's response and reads its events.
async fn read_response(
    response: TargetResponse,
    progress: &mut ItemProgress,
    recorder: ProgressRecorder,
) -> RunEnd {
    let status = response.parts.status;
    if status == StatusCode::UNPROCESSABLE_ENTITY {
        return RunEnd::Failed(ItemFailure::Impossible, status.to_string());
    }
    if status == StatusCode::INTERNAL_SERVER_ERROR {
        return RunEnd::Failed(ItemFailure::Failed, status.to_string());
    }
    if !status.is_success() {
        return broken(status.to_string());
    }
    read_events(response, progress, recorder).await
}

/// Reads events into `progress` until the stream ends or fails.
async fn read_events(
    mut response: TargetResponse,
    progress: &mut ItemProgress,
    mut recorder: ProgressRecorder,
) -> RunEnd {
    let mut splitter = EventSplitter::default();
    let (mut seen_events, mut progressed_at) = (0, Instant::now());
    loop {
        let silent_at = Instant::now() + TARGET_SILENCE_TIMEOUT;
        let deadline = silent_at.min(progressed_at + NO_EVENT_TIMEOUT);
        let frame = match tokio::time::timeout_at(deadline, response.body.frame()).await {
            Err(_) => {
                response.run.end_failed();
                return lost("no new event within the timeout");
            }
            Ok(Some(Err(error))) => {
                response.run.end_failed();
                let reason = describe_error(&error);
                return if is_path_cut(&error) { lost(reason) } else { broken(reason) };
            }
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => {
                let end = splitter.end(ResponseFraming::of(&response.parts));
                return end_stream(response, end, progress);
            }
        };
        let Ok(bytes) = frame.into_data() else { continue };
        splitter.push(&bytes);
        while let Some(event) = splitter.next_event() {
            let Some(id) = event.id else { continue };
            match EventOrder::of(Some(id), progress.last_event) {
                EventOrder::Repeated => continue,
                EventOrder::Gap(reason) => return broken(reason),
                EventOrder::Next => {}
            }
            if recorder.exceeds_limits(progress, id) {
                // The events before this one are not the item's output either.
                *progress = ItemProgress::default();
                response.run.end_failed();
                return broken("more output than the item can have");
            }
            if progress.last_event.is_some() {
                progress.text.push('\n');
            }
            progress.text.push_str(&event.data());
            progress.last_event = Some(id);
        }
        recorder.record(progress);
        if let Some(reason) = splitter.error() {
            response.run.end_failed();
            return broken(reason);
        }
        if seen_events != splitter.progress() {
            (seen_events, progressed_at) = (splitter.progress(), Instant::now());
        }
    }
}

/// Ends the run of an item whose response was read to its end.
fn end_stream(response: TargetResponse, end: StreamEnd, progress: &ItemProgress) -> RunEnd {
    let reason = match end {
        StreamEnd::Complete(_) if progress.last_event.is_some() => {
            response.run.end_complete(response.head.keep_alive);
            return RunEnd::Complete;
        }
        StreamEnd::Complete(_) => "the stream ended without an event".to_owned(),
        StreamEnd::BrokenOff(reason) => reason,
    };
    response.run.end_failed();
    broken(reason)
}

/// Records a running item's progress in the job table, at most once per [`PROGRESS_INTERVAL`].
struct ProgressRecorder {
    state: Arc<GatewayState>,
    job: Name,
    index: usize,
    /// Number of tokens of the item's prompt and output; 0 if it is not known.
    tokens: u64,
    started_at: Instant,
    /// Time that earlier runs of the item took.
    run_time_before: Duration,
    /// When progress was last recorded.
    recorded: Instant,
}

impl ProgressRecorder {
    fn new(state: &Arc<GatewayState>, start: &ItemStart, progress: &ItemProgress) -> Self {
        let now = Instant::now();
        ProgressRecorder {
            state: state.clone(),
            job: start.job.clone(),
            index: start.index,
            tokens: start.item.tokens,
            started_at: now,
            run_time_before: progress.run_time,
            recorded: now,
        }
    }

    /// Returns whether an event with this number would be more output than the item can have: an event stands for one
    /// token at least.
    fn exceeds_limits(&self, progress: &ItemProgress, event: u64) -> bool {
        let has_too_many = self.tokens > 0 && event > self.tokens;
        has_too_many || progress.text.len() > MAX_OUTPUT_BYTES
    }

    fn record(&mut self, progress: &ItemProgress) {
        if self.recorded.elapsed() < PROGRESS_INTERVAL {
            return;
        }
        self.recorded = Instant::now();
        let run_time = self.run_time_before + self.started_at.elapsed();
        let progress = ItemProgress { run_time, ..progress.clone() };
        lock(&self.state.jobs).record_progress(&self.job, self.index, &progress);
    }
}
