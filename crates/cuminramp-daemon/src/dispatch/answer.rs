//! Reads the answer of a target, and replaces it by that of another target if the first is silent.

use std::sync::Arc;

use bytes::Bytes;
use cuminramp_http::CallError;
use cuminramp_targets::AttemptEnd;
use futures_util::StreamExt;
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use tokio::time::sleep_until;

use crate::dispatch::attempt::TargetLease;
use crate::dispatch::forward::ActiveRequest;
use crate::dispatch::online::decide_beside_silence;
use crate::dispatch::open_attempts::{OpenAttempts, next_response};
use crate::dispatch::silence::SilenceWatch;
use crate::interfaces::TargetResponse;
use crate::state::DaemonState;

/// Answer of a target whose head has arrived.
pub(crate) struct TargetAnswer {
    pub(crate) lease: TargetLease,
    pub(crate) response: TargetResponse,
    watch: SilenceWatch,
}

/// Result of a read from an answer.
pub(crate) enum AnswerPart {
    /// The next bytes.
    Bytes(Bytes),
    /// The body ended.
    End,
    /// The connection broke.
    Broken,
    /// Another target answers instead of the silent one, from the beginning or from where it was asked to
    /// resume.
    Replaced,
    /// The request's deadline passed.
    DeadlinePassed,
}

impl TargetAnswer {
    pub(crate) fn new(state: &DaemonState, lease: TargetLease, response: TargetResponse) -> Self {
        let timeout = state.settings.targets.progress_timeout();
        let watch = SilenceWatch::new(state, &lease.target, timeout);
        TargetAnswer { lease, response, watch }
    }

    pub(crate) fn is_event_stream(&self) -> bool {
        is_event_stream(&self.response.headers)
    }

    /// Reads the next part.
    ///
    /// If the target is silent, another one is tried beside it, and the one that sends first is kept. The
    /// silent one may be the only target that can go on. If it fails meanwhile, the other attempts stay open.
    pub(crate) async fn next_part(
        &mut self,
        state: &Arc<DaemonState>,
        active: &mut ActiveRequest,
        open: &mut OpenAttempts,
    ) -> AnswerPart {
        let deadline = active.online.deadline;
        self.watch.restart();
        loop {
            tokio::select! {
                biased;
                part = self.response.body.next() => return self.end_read(state, part),
                () = sleep_until(deadline) => return AnswerPart::DeadlinePassed,
                () = self.watch.wait() => self.watch.record_silence(state),
            }
            if !decide_beside_silence(state, active) {
                continue;
            }
            let next = tokio::select! {
                biased;
                part = self.response.body.next() => {
                    if matches!(part, Some(Ok(_))) {
                        open.clear();
                    }
                    return self.end_read(state, part);
                }
                () = sleep_until(deadline) => return AnswerPart::DeadlinePassed,
                next = next_response(state, active, open, true) => next,
            };
            if let Ok((lease, response)) = next
                && self.can_continue_with(&response)
            {
                *self = TargetAnswer::new(state, lease, response);
                return AnswerPart::Replaced;
            }
        }
    }

    /// Returns whether a response of another target can take the place of this one.
    fn can_continue_with(&self, response: &TargetResponse) -> bool {
        let is_same_kind = is_event_stream(&response.headers) == self.is_event_stream();
        response.status.is_success() && is_same_kind
    }

    fn end_read(
        &mut self,
        state: &DaemonState,
        part: Option<Result<Bytes, CallError>>,
    ) -> AnswerPart {
        match part {
            Some(Ok(bytes)) => {
                self.watch.record_data(state);
                AnswerPart::Bytes(bytes)
            }
            Some(Err(_)) => {
                self.lease.record_outcome(AttemptEnd::Failed);
                AnswerPart::Broken
            }
            None => AnswerPart::End,
        }
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with("text/event-stream"))
}
