//! Passes an answer on to the caller.

use std::sync::Arc;

use axum::body::Body;
use axum::response::Response;
use bytes::{Bytes, BytesMut};
use cuminramp_core::{Execution, KeyDigest, Name, Refusal, ResultCode};
use cuminramp_targets::{AttemptEnd, AttemptFailure, FailureStage};
use futures_util::StreamExt;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;

use crate::dispatch::attempt::TargetLease;
use crate::dispatch::events::{EventCutter, EventKind, StreamEvent};
use crate::dispatch::online::{
    CrashWatch, OnlineRequest, decide_next, next_answer, partial_failure, resumed_request,
};
use crate::entry::error_body;
use crate::interfaces::{TargetAnswer, TargetRequest};
use crate::state::DaemonState;

/// Events that wait for a slow caller before the target's stream is read on.
const EVENTS_AHEAD: usize = 64;

/// A request on its way, over all of its attempts.
pub(crate) struct RelayJob {
    pub(crate) online: OnlineRequest,
    pub(crate) watch: CrashWatch,
    pub(crate) attempt: u32,
    pub(crate) tried: Vec<Name>,
    /// What the attempts so far left.
    pub(crate) earlier: Execution,
    /// Tokens that the caller has.
    tokens: usize,
}

impl RelayJob {
    pub(crate) fn new(online: OnlineRequest, watch: CrashWatch) -> Self {
        RelayJob {
            online,
            watch,
            attempt: 0,
            tried: Vec::new(),
            earlier: Execution::NotRun,
            tokens: 0,
        }
    }

    pub(crate) fn next_request(&self, state: &DaemonState) -> TargetRequest {
        resumed_request(state, &self.online.request, self.tokens)
    }

    /// A failure as the caller sees it: once it has tokens, nothing may be sent from the start.
    pub(crate) fn with_progress(&self, failure: AttemptFailure) -> AttemptFailure {
        if self.tokens == 0 {
            return failure;
        }
        AttemptFailure { stage: FailureStage::Partial { events: self.tokens }, ..failure }
    }
}

/// Why an answer could not be read whole.
pub(crate) enum BodyError {
    /// The target broke off.
    Failed(AttemptFailure),
    /// The caller's key was withdrawn.
    Withdrawn,
}

/// Reads an answer that is not a stream of events.
pub(crate) async fn read_whole(
    state: &DaemonState,
    job: &RelayJob,
    lease: &TargetLease,
    mut answer: TargetAnswer,
) -> Result<Bytes, BodyError> {
    let mut whole = BytesMut::new();
    let withdrawn = key_withdrawn(state, job.online.key);
    tokio::pin!(withdrawn);
    loop {
        let limit = progress_limit(state, job);
        let part = tokio::select! {
            part = tokio::time::timeout_at(limit, answer.body.next()) => part,
            () = lease.silenced.cancelled() => return Err(BodyError::Failed(partial_failure(0, false))),
            () = &mut withdrawn => return Err(BodyError::Withdrawn),
        };
        match part {
            Ok(None) => return Ok(whole.freeze()),
            Ok(Some(Ok(bytes)))
                if whole.len() + bytes.len() <= state.settings.limits.max_answer_bytes =>
            {
                whole.extend_from_slice(&bytes);
            }
            Ok(Some(Ok(_))) => return Err(BodyError::Failed(partial_failure(0, false))),
            Ok(Some(Err(_))) => {
                lease.note(AttemptEnd::Failed);
                return Err(BodyError::Failed(partial_failure(0, true)));
            }
            Err(_) => {
                lease.note(AttemptEnd::Silent);
                return Err(BodyError::Failed(partial_failure(0, false)));
            }
        }
    }
}

fn progress_limit(state: &DaemonState, job: &RelayJob) -> Instant {
    let silence = Instant::now() + state.settings.targets.progress_timeout();
    silence.min(job.online.deadline)
}

/// Ends when a caller's key is in force no more. Made once for an answer: it looks the key up again only
/// when keys change, not with each part.
async fn key_withdrawn(state: &DaemonState, key: KeyDigest) {
    let mut changes = state.configuration.watch();
    while state.configuration.find_key(&key).is_some() {
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// Answers with a stream that lasts over failures of targets.
pub(crate) fn relay_stream(
    state: Arc<DaemonState>,
    job: RelayJob,
    lease: TargetLease,
    answer: TargetAnswer,
) -> Response {
    let (sender, receiver) = mpsc::channel(EVENTS_AHEAD);
    let tasks = state.tasks.clone();
    tasks.spawn(async move {
        let mut relay = StreamRelay { state, job, sender };
        relay.run(lease, answer).await;
    });
    let events = ReceiverStream::new(receiver).map(Ok::<Bytes, std::convert::Infallible>);
    let mut response = Response::new(Body::from_stream(events));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, http::HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, http::HeaderValue::from_static("no-cache"));
    response
}

/// The error for a caller whose key is withdrawn while its answer is on the way.
pub(crate) fn withdrawn_refusal() -> Refusal {
    let refusal = Refusal::not_run(ResultCode::KeyUnknown, "the key was withdrawn");
    refusal.with_execution(Execution::Ran)
}

/// How reading from one target ended.
enum StreamEnd {
    /// The answer is whole.
    Whole,
    /// The caller went away.
    CallerGone,
    /// The caller's key was withdrawn.
    Withdrawn,
    /// The target broke off.
    Failed(AttemptFailure),
}

struct StreamRelay {
    state: Arc<DaemonState>,
    job: RelayJob,
    sender: mpsc::Sender<Bytes>,
}

impl StreamRelay {
    /// Passes events on until the answer is whole; a target that breaks off is replaced by another
    /// that goes on at the same token. Where none can, the caller gets an error event and no `[DONE]`.
    async fn run(&mut self, lease: TargetLease, answer: TargetAnswer) {
        let (mut lease, mut answer) = (lease, answer);
        loop {
            let end = self.pass_events(&lease, answer).await;
            drop(lease);
            let failure = match end {
                StreamEnd::Whole => return self.job.watch.note_success(),
                StreamEnd::CallerGone => return,
                StreamEnd::Withdrawn => return self.send_error(withdrawn_refusal()).await,
                StreamEnd::Failed(failure) => failure,
            };
            let next = match decide_next(&self.state, &mut self.job, failure) {
                Ok(()) => next_answer(&self.state, &mut self.job).await,
                Err(refusal) => Err(refusal),
            };
            match next {
                Ok(resumed) => (lease, answer) = resumed,
                Err(refusal) => {
                    return self.send_error(refusal.with_execution(Execution::Ran)).await;
                }
            }
        }
    }

    async fn pass_events(&mut self, lease: &TargetLease, mut answer: TargetAnswer) -> StreamEnd {
        let mut cutter = EventCutter::default();
        let state = self.state.clone();
        let withdrawn = key_withdrawn(&state, self.job.online.key);
        tokio::pin!(withdrawn);
        loop {
            let limit = progress_limit(&self.state, &self.job);
            let part = tokio::select! {
                part = tokio::time::timeout_at(limit, answer.body.next()) => part,
                () = self.sender.closed() => return StreamEnd::CallerGone,
                () = lease.silenced.cancelled() => {
                    return StreamEnd::Failed(partial_failure(self.job.tokens, false));
                }
                () = &mut withdrawn => return StreamEnd::Withdrawn,
            };
            match part {
                Ok(Some(Ok(bytes))) => {
                    if !cutter.push(&bytes) {
                        return StreamEnd::Failed(partial_failure(self.job.tokens, false));
                    }
                }
                Ok(Some(Err(_)) | None) => {
                    lease.note(AttemptEnd::Failed);
                    return StreamEnd::Failed(partial_failure(self.job.tokens, true));
                }
                Err(_) => {
                    lease.note(AttemptEnd::Silent);
                    return StreamEnd::Failed(partial_failure(self.job.tokens, false));
                }
            }
            while let Some(event) = cutter.next_event() {
                if let Some(end) = self.pass_event(event).await {
                    return end;
                }
            }
        }
    }

    async fn pass_event(&mut self, event: StreamEvent) -> Option<StreamEnd> {
        let kind = event.kind;
        if self.sender.send(event.bytes).await.is_err() {
            return Some(StreamEnd::CallerGone);
        }
        match kind {
            EventKind::Token => self.job.tokens += 1,
            EventKind::Other => {}
            EventKind::Done => return Some(StreamEnd::Whole),
        }
        None
    }

    async fn send_error(&mut self, refusal: Refusal) {
        self.state.metrics.count_refusal(refusal.code.number());
        log::info!(
            request = &*self.job.online.id, code = refusal.code.number(),
            execution = refusal.execution.as_str();
            "stream-ended-early"
        );
        let event = format!("data: {}\n\n", error_body(&refusal));
        let _ = self.sender.send(Bytes::from(event)).await;
    }
}
