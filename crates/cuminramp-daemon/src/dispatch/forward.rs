//! Forwards the answer of a target to the caller.

use std::sync::Arc;

use axum::body::Body;
use axum::response::Response;
use bytes::{Bytes, BytesMut};
use cuminramp_core::{Execution, KeyDigest, Name, Refusal, ResultCode};
use cuminramp_targets::{AttemptEnd, AttemptFailure, FailureStage};
use futures_util::StreamExt;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::dispatch::answer::{AnswerPart, TargetAnswer};
use crate::dispatch::events::{EventKind, EventParser, StreamEvent};
use crate::dispatch::online::{CrashTracker, OnlineRequest, partial_failure, resumed_request};
use crate::dispatch::open_attempts::{OpenAttempts, next_response_after};
use crate::entry::error_body;
use crate::interfaces::TargetRequest;
use crate::state::DaemonState;

/// Maximum number of events that are buffered for a slow caller. While the buffer is full, the target's
/// stream is not read.
const MAX_BUFFERED_EVENTS: usize = 64;

/// State of an online request over all of its attempts.
pub(crate) struct ActiveRequest {
    pub(crate) online: OnlineRequest,
    pub(crate) crash_tracker: CrashTracker,
    /// Number of attempts started.
    pub(crate) attempt: u32,
    /// Whether another attempt may start: the first, or one that the retry policy allowed.
    pub(crate) may_start: bool,
    /// Targets of earlier attempts.
    pub(crate) tried: Vec<Name>,
    /// Highest execution state of the attempts so far: not run, may have run, or ran.
    pub(crate) earlier_execution: Execution,
    /// Number of tokens that were forwarded to the caller.
    delivered_tokens: usize,
}

impl ActiveRequest {
    pub(crate) fn new(online: OnlineRequest, crash_tracker: CrashTracker) -> Self {
        ActiveRequest {
            online,
            crash_tracker,
            attempt: 0,
            may_start: true,
            tried: Vec::new(),
            earlier_execution: Execution::NotRun,
            delivered_tokens: 0,
        }
    }

    /// Returns the request for the next attempt.
    pub(crate) fn next_request(&self, state: &DaemonState) -> TargetRequest {
        resumed_request(state, &self.online.request, self.delivered_tokens)
    }

    /// Returns the failure with the stage that the caller sees.
    ///
    /// After the first forwarded token the answer must not start over, so every failure becomes a partial
    /// one.
    pub(crate) fn with_progress(&self, failure: AttemptFailure) -> AttemptFailure {
        if self.delivered_tokens == 0 {
            return failure;
        }
        AttemptFailure { stage: FailureStage::Partial { events: self.delivered_tokens }, ..failure }
    }
}

/// Reason why an answer could not be read completely.
pub(crate) enum BodyError {
    /// The target failed, its answer is larger than allowed, or the deadline passed.
    Failed(AttemptFailure),
    /// The caller's key was withdrawn.
    KeyWithdrawn,
}

/// Reads the complete body of an answer that is not a stream of events.
pub(crate) async fn read_full_body(
    state: &Arc<DaemonState>,
    active: &mut ActiveRequest,
    open: &mut OpenAttempts,
    answer: &mut TargetAnswer,
) -> Result<Bytes, BodyError> {
    let mut collected = BytesMut::new();
    let withdrawal = wait_for_key_withdrawal(state, active.online.key);
    tokio::pin!(withdrawal);
    loop {
        let part = tokio::select! {
            part = answer.next_part(state, active, open) => part,
            () = &mut withdrawal => return Err(BodyError::KeyWithdrawn),
        };
        match part {
            AnswerPart::End => return Ok(collected.freeze()),
            AnswerPart::Replaced => collected.clear(),
            AnswerPart::Bytes(bytes)
                if collected.len() + bytes.len() <= state.settings.limits.max_answer_bytes =>
            {
                collected.extend_from_slice(&bytes);
            }
            AnswerPart::Bytes(_) | AnswerPart::DeadlinePassed => {
                return Err(BodyError::Failed(partial_failure(0, false)));
            }
            AnswerPart::Broken => return Err(BodyError::Failed(partial_failure(0, true))),
        }
    }
}

/// Completes when the caller's key is no longer in force.
///
/// The future is created once per answer and looks the key up only when keys change, not for each part of
/// the answer.
async fn wait_for_key_withdrawal(state: &DaemonState, key: KeyDigest) {
    let mut changes = state.configuration.watch();
    while state.configuration.find_key(&key).is_some() {
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// Responds with a stream that continues when a target fails and another one resumes the answer.
pub(crate) fn forward_stream(
    state: Arc<DaemonState>,
    active: ActiveRequest,
    answer: TargetAnswer,
) -> Response {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
    let tasks = state.tasks.clone();
    tasks.spawn(async move {
        let mut forwarder =
            StreamForwarder { state, active, open: OpenAttempts::default(), sender };
        forwarder.run(answer).await;
    });
    let events = ReceiverStream::new(receiver).map(Ok::<Bytes, std::convert::Infallible>);
    let mut response = Response::new(Body::from_stream(events));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, http::HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, http::HeaderValue::from_static("no-cache"));
    response
}

/// Returns the error for a caller whose key is withdrawn while its answer is being forwarded.
pub(crate) fn key_withdrawn_refusal() -> Refusal {
    let refusal = Refusal::not_run(ResultCode::KeyUnknown, "the key was withdrawn");
    refusal.with_execution(Execution::Ran)
}

/// Outcome of forwarding the stream of one target.
enum StreamEnd {
    /// The answer is complete.
    Complete,
    /// The caller disconnected.
    CallerDisconnected,
    /// The caller's key was withdrawn.
    KeyWithdrawn,
    /// The target failed or sent an event that is larger than allowed, or the deadline passed.
    Failed(AttemptFailure),
}

/// Forwards one streamed answer to its caller, over all attempts of the request.
struct StreamForwarder {
    state: Arc<DaemonState>,
    active: ActiveRequest,
    open: OpenAttempts,
    sender: mpsc::Sender<Bytes>,
}

impl StreamForwarder {
    /// Forwards events until the answer is complete.
    ///
    /// If a target fails, another one resumes the answer at the same token. If none can, the caller
    /// receives an error event and no `[DONE]`.
    async fn run(&mut self, mut answer: TargetAnswer) {
        loop {
            let end = self.forward_events(&mut answer).await;
            drop(answer);
            let failure = match end {
                StreamEnd::Complete => return self.active.crash_tracker.record_success(),
                StreamEnd::CallerDisconnected => return,
                StreamEnd::KeyWithdrawn => return self.send_error(key_withdrawn_refusal()).await,
                StreamEnd::Failed(failure) => failure,
            };
            let (active, open) = (&mut self.active, &mut self.open);
            match next_response_after(&self.state, active, open, failure).await {
                Ok((lease, response)) => answer = TargetAnswer::new(&self.state, lease, response),
                Err(refusal) => {
                    return self.send_error(refusal.with_execution(Execution::Ran)).await;
                }
            }
        }
    }

    /// Forwards the events of an answer until it ends.
    async fn forward_events(&mut self, answer: &mut TargetAnswer) -> StreamEnd {
        let mut parser = EventParser::default();
        let state = self.state.clone();
        let withdrawal = wait_for_key_withdrawal(&state, self.active.online.key);
        tokio::pin!(withdrawal);
        loop {
            let part = tokio::select! {
                part = answer.next_part(&state, &mut self.active, &mut self.open) => part,
                () = self.sender.closed() => return StreamEnd::CallerDisconnected,
                () = &mut withdrawal => return StreamEnd::KeyWithdrawn,
            };
            match part {
                AnswerPart::Bytes(bytes) if parser.push(&bytes) => {}
                AnswerPart::Bytes(_) | AnswerPart::DeadlinePassed => return self.end_failed(false),
                AnswerPart::Replaced => parser = EventParser::default(),
                AnswerPart::Broken => return self.end_failed(true),
                AnswerPart::End => {
                    answer.lease.record_outcome(AttemptEnd::Failed);
                    return self.end_failed(true);
                }
            }
            while let Some(event) = parser.next_event() {
                if let Some(end) = self.forward_event(event).await {
                    return end;
                }
            }
        }
    }

    fn end_failed(&self, is_crash: bool) -> StreamEnd {
        StreamEnd::Failed(partial_failure(self.active.delivered_tokens, is_crash))
    }

    /// Forwards one event. Returns `Some` if the stream ends with it.
    async fn forward_event(&mut self, event: StreamEvent) -> Option<StreamEnd> {
        let kind = event.kind;
        if self.sender.send(event.bytes).await.is_err() {
            return Some(StreamEnd::CallerDisconnected);
        }
        match kind {
            EventKind::Token => self.active.delivered_tokens += 1,
            EventKind::Other => {}
            EventKind::Done => return Some(StreamEnd::Complete),
        }
        None
    }

    /// Sends an error event in place of the rest of the answer.
    async fn send_error(&mut self, refusal: Refusal) {
        self.state.metrics.count_refusal(refusal.code.number());
        log::info!(
            request = &*self.active.online.id, code = refusal.code.number(),
            execution = refusal.execution.as_str();
            "stream-ended-early"
        );
        let event = format!("data: {}\n\n", error_body(&refusal));
        let _ = self.sender.send(Bytes::from(event)).await;
    }
}
