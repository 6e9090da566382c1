//! Event stream to a caller, resumed at another target when it is interrupted.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_fleet::{RECORD_RENEWAL, RouteKind};
use cuminramp_targets::FailureStage;
use futures_util::StreamExt;
use futures_util::stream::{BoxStream, unfold};
use http_body::Frame;
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout, timeout_at};

use super::RequestOutcome;
use super::serve::RequestDispatch;
use crate::parts::SOUND_EVENTS;
use crate::streams::record_stream;
use crate::targets::{
    EventSplitter, ResponseFraming, StreamEnd, TargetResponse, describe_error, is_path_cut,
};

/// Body frames of the caller's response.
pub(crate) type EventFrames = BoxStream<'static, Result<Frame<Bytes>, io::Error>>;

/// Time after the head of a response for which the target that was silent is kept beside it. A stream may run at
/// two targets at once for 400 ms at most.
const FIRST_DATA_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without a new event, beyond the failover timeout, after which a target that sends bytes is given up.
const STALL_MARGIN: Duration = Duration::from_millis(100);

/// State of a stream that is passed on to a caller.
struct StreamForwarder {
    dispatch: RequestDispatch,
    /// Current response of a target; `None` after the end of the stream.
    response: Option<TargetResponse>,
    splitter: EventSplitter,
    /// Why the current response can't be read further; applied once the events before it are passed on.
    read_error: Option<String>,
    /// Last event that the caller had when the current response started.
    resumed_after: Option<u64>,
    /// When the record of the stream's software was sent last.
    recorded_at: Option<Instant>,
    /// Whether the current target was recorded as silent and has sent nothing since.
    is_silent: bool,
    /// Whether the current response has gone beyond its begin.
    is_sound: bool,
    /// Progress of the current response, and when it changed last.
    progress: u64,
    progressed_at: Instant,
}

/// Result of a read from the current response.
enum StreamStep {
    /// Complete events.
    Events(Bytes),
    /// The stream is complete; holds the bytes after its last event.
    End(Bytes),
    /// The stream was interrupted, for this reason.
    Interrupted(String),
}

/// Next frame of a body; `None` at its end.
type BodyFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// Which of two targets went on with a stream.
enum BesideEnd {
    /// The one that was silent.
    Current(BodyFrame),
    /// The other one, or none; with how the silent one broke off, if it did.
    Other(Option<Box<ResumedResponse>>, Option<BodyFrame>),
}

/// Result of a wait for the next frame of a target's response.
enum FrameRead {
    /// The next frame.
    Frame(BodyFrame),
    /// The target was silent. Another one goes on, or none can now.
    Silent,
    /// The deadline passed.
    DeadlinePassed,
}

/// Returns the body of a streamed response. Closing the caller's connection drops it, and with it the
/// target's response.
pub(crate) fn stream_body(dispatch: RequestDispatch, response: TargetResponse) -> EventFrames {
    let forwarder = StreamForwarder {
        resumed_after: dispatch.last_event,
        dispatch,
        response: Some(response),
        splitter: EventSplitter::default(),
        read_error: None,
        recorded_at: None,
        is_silent: false,
        is_sound: false,
        progress: 0,
        progressed_at: Instant::now(),
    };
    unfold(Some(forwarder), |forwarder| async move {
        let mut forwarder = forwarder?;
        match forwarder.next_frame().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(forwarder))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    })
    .boxed()
}

impl StreamForwarder {
    /// Returns the next bytes for the caller; `None` after the end.
    async fn next_frame(&mut self) -> Result<Option<Bytes>, io::Error> {
        loop {
            if self.response.is_none() {
                return Ok(None);
            }
            match self.read_step().await {
                StreamStep::Events(bytes) => {
                    self.record_sound_parts();
                    self.bind_software().await;
                    self.dispatch.record.record_first_event();
                    return Ok(Some(bytes));
                }
                StreamStep::End(rest) => {
                    self.end_complete();
                    return Ok(Some(rest).filter(|rest| !rest.is_empty()));
                }
                StreamStep::Interrupted(reason) => self.resume_elsewhere(&reason).await?,
            }
        }
    }

    /// Returns the number of events that the current response has brought.
    fn new_events(&self) -> u64 {
        let events_until = |last: Option<u64>| last.map_or(0, |last| last + 1);
        events_until(self.dispatch.last_event).saturating_sub(events_until(self.resumed_after))
    }

    /// Records once for each response that it has gone beyond its begin.
    fn record_sound_parts(&mut self) {
        if !self.is_sound && self.new_events() >= SOUND_EVENTS {
            self.is_sound = true;
            self.dispatch.record_sound_parts();
        }
    }

    /// Lets the stream go on only at targets with the software that its events are of, at this host and at
    /// those where its caller may take it up. The record is sent before the first event leaves.
    async fn bind_software(&mut self) {
        let is_recorded = self.recorded_at.is_some_and(|at| at.elapsed() < RECORD_RENEWAL);
        let Some(response) = self.response.as_ref().filter(|_| !is_recorded) else { return };
        self.recorded_at = Some(Instant::now());
        let target = &response.run.target;
        self.dispatch.software = Some(target.software());
        if self.dispatch.request.route.is_resumable {
            record_stream(&self.dispatch.state, self.dispatch.stream, target).await;
        }
    }

    /// Reads from the current response until there are events to pass on, or the response ends.
    async fn read_step(&mut self) -> StreamStep {
        loop {
            let taken = self.splitter.take_following(&mut self.dispatch.last_event);
            self.read_error = self.read_error.take().or(taken.stop_reason);
            if !taken.bytes.is_empty() {
                return StreamStep::Events(taken.bytes.freeze());
            }
            if let Some(reason) = self.read_error.take().or_else(|| self.stall()) {
                return StreamStep::Interrupted(reason);
            }
            let frame = match self.read_frame().await {
                FrameRead::Frame(frame) => frame,
                FrameRead::Silent => continue,
                FrameRead::DeadlinePassed => {
                    return StreamStep::Interrupted("the deadline passed".into());
                }
            };
            match frame {
                Some(Err(error)) => return self.record_break(&error),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.splitter.push(&bytes);
                    }
                }
                None => return self.end_body(),
            }
        }
    }

    /// Returns an error text if the target sends bytes, but no new event for so long that another one is to resume the
    /// stream. A target that sends nothing is kept beside the other one, since it may go on.
    fn stall(&mut self) -> Option<String> {
        if self.progress != self.splitter.progress() || self.is_silent {
            self.progress = self.splitter.progress();
            self.progressed_at = Instant::now();
        }
        let timeout = self.dispatch.read_timeout() + STALL_MARGIN;
        let is_stalled = self.dispatch.may_run_again() && self.progressed_at.elapsed() > timeout;
        is_stalled.then(|| format!("bytes without a new event for {} ms", timeout.as_millis()))
    }

    /// Returns whether the stream is complete where the body ended.
    fn end_body(&mut self) -> StreamStep {
        let Some(response) = &self.response else {
            return StreamStep::Interrupted("no response".into());
        };
        let framing = ResponseFraming::of(&response.parts);
        let rest_bytes = self.splitter.rest().len();
        self.dispatch.record.record_stream_end(framing, rest_bytes);
        match self.splitter.end(framing) {
            StreamEnd::Complete(rest) => StreamStep::End(rest),
            StreamEnd::BrokenOff(reason) => self.break_off(reason),
        }
    }

    /// Waits for the next frame of the current response. Once the target has been silent for the failover
    /// timeout, lets another one resume the stream, and goes on with whichever sends first: the silent one may
    /// be the only target that the stream can have.
    async fn read_frame(&mut self) -> FrameRead {
        let Some(response) = &mut self.response else { return FrameRead::Frame(None) };
        if let Ok(frame) = timeout(self.dispatch.read_timeout(), response.body.frame()).await {
            self.end_silence();
            return FrameRead::Frame(frame);
        }
        if Instant::now() >= self.dispatch.deadline() {
            return FrameRead::DeadlinePassed;
        }
        if !self.is_silent {
            self.is_silent = true;
            self.dispatch.record_silence(&response.run.target);
        }
        if self.dispatch.spend_failover() { self.read_beside().await } else { FrameRead::Silent }
    }

    /// Records that the current target sends again.
    fn end_silence(&mut self) {
        if let Some(response) = self.response.as_ref().filter(|_| self.is_silent) {
            self.is_silent = false;
            response.run.record_resumed();
        }
    }

    /// Waits for the current target, which is silent, and for another one that resumes the stream.
    async fn read_beside(&mut self) -> FrameRead {
        let Some(response) = &mut self.response else { return FrameRead::Frame(None) };
        let deadline = self.dispatch.deadline();
        let framing = ResponseFraming::of(&response.parts);
        let is_complete = matches!(self.splitter.end(framing), StreamEnd::Complete(_));
        let end = {
            let resuming = timeout_at(deadline, resume_beside(&mut self.dispatch));
            tokio::pin!(resuming);
            tokio::select! {
                biased;
                frame = response.body.frame() => match frame {
                    Some(Ok(_)) => BesideEnd::Current(frame),
                    None if is_complete => BesideEnd::Current(frame),
                    // The other target may still go on.
                    broken => BesideEnd::Other(resuming.await.ok().flatten(), Some(broken)),
                },
                resumed = &mut resuming => BesideEnd::Other(resumed.ok().flatten(), None),
            }
        };
        match end {
            BesideEnd::Current(frame) => {
                self.dispatch.record.set_target(&response.run.target);
                self.end_silence();
                FrameRead::Frame(frame)
            }
            BesideEnd::Other(Some(resumed), broken) => {
                if let Some(Some(Err(error))) = broken {
                    self.record_break(&error);
                }
                let ResumedResponse { response, frame } = *resumed;
                self.go_on_with(response);
                FrameRead::Frame(Some(Ok(frame)))
            }
            BesideEnd::Other(None, Some(broken)) => FrameRead::Frame(broken),
            BesideEnd::Other(None, None) => {
                self.dispatch.record.set_target(&response.run.target);
                FrameRead::Silent
            }
        }
    }

    /// Goes on with the response of a target that resumes the stream.
    fn go_on_with(&mut self, response: TargetResponse) {
        self.splitter = EventSplitter::default();
        self.response = Some(response);
        self.resumed_after = self.dispatch.last_event;
        self.is_silent = false;
        self.is_sound = false;
        self.progress = 0;
        self.progressed_at = Instant::now();
    }

    /// Records that the target broke the response off. It counts as a crash unless the response has brought
    /// a new event.
    fn break_off(&self, reason: String) -> StreamStep {
        if let Some(response) = &self.response {
            let target = &response.run.target;
            match self.new_events() {
                0 => self.dispatch.record_crash(target, &reason),
                events if events < SOUND_EVENTS => self.dispatch.record_part_crash(target),
                _ => {}
            }
        }
        StreamStep::Interrupted(reason)
    }

    /// Records an error of the response, which counts as a crash unless the path to the target was cut.
    fn record_break(&self, error: &hyper::Error) -> StreamStep {
        let reason = describe_error(error);
        if is_path_cut(error) { StreamStep::Interrupted(reason) } else { self.break_off(reason) }
    }

    /// Ends the stream as complete.
    fn end_complete(&mut self) {
        if let Some(response) = self.response.take() {
            response.run.end_complete(response.head.keep_alive);
        }
        self.dispatch.record_success();
        self.dispatch.record_sound_parts();
        self.dispatch.record.end(RequestOutcome::Answered);
    }

    /// Resumes the stream at another target, or returns an error that aborts the caller's stream: a response
    /// that ends early must not look complete.
    async fn resume_elsewhere(&mut self, reason: &str) -> Result<(), io::Error> {
        if let Some(response) = self.response.take() {
            response.run.end_failed();
        }
        let interrupted = |reason: &str| io::Error::other(reason.to_owned());
        if self.dispatch.request.route.kind != RouteKind::Stream
            || Instant::now() >= self.dispatch.deadline()
        {
            self.dispatch.record.end(RequestOutcome::StreamBroken);
            return Err(interrupted(reason));
        }
        let events = self.dispatch.last_event.map_or(0, |last| last as usize + 1);
        let stage = FailureStage::Partial { events };
        let outcome = match self.dispatch.decide_next_step(stage, "broken-stream", reason) {
            Ok(()) => {
                let deadline = self.dispatch.deadline();
                timeout_at(deadline, self.dispatch.send_until_answered()).await
            }
            Err(refusal) => Ok(Err(refusal)),
        };
        match outcome {
            Ok(Ok(response)) if response.parts.status.is_success() => {
                self.go_on_with(response);
                Ok(())
            }
            Ok(Err(refusal)) => {
                self.dispatch.record.record_not_resumed(reason, &refusal);
                self.dispatch.record.end(RequestOutcome::StreamBroken);
                Err(interrupted(reason))
            }
            _ => {
                self.dispatch.record.end(RequestOutcome::StreamBroken);
                Err(interrupted(reason))
            }
        }
    }
}

/// Response of a target that resumes a stream, and its first frame.
struct ResumedResponse {
    response: TargetResponse,
    frame: Frame<Bytes>,
}

/// Lets another target resume a stream whose present one is silent. Returns `None` if no target does. A response
/// head alone is not enough: the target may fall silent before it sends an event.
async fn resume_beside(dispatch: &mut RequestDispatch) -> Option<Box<ResumedResponse>> {
    let mut response = dispatch.send_until_answered().await.ok()?;
    if !response.parts.status.is_success() {
        return None;
    }
    let first = match timeout(FIRST_DATA_TIMEOUT, response.body.frame()).await {
        Ok(first) => first,
        // Both targets would go on with the work.
        Err(_) => Some(Ok(Frame::data(Bytes::new()))),
    };
    let reason = match first {
        Some(Ok(frame)) => return Some(Box::new(ResumedResponse { response, frame })),
        Some(Err(error)) if is_path_cut(&error) => None,
        Some(Err(error)) => Some(describe_error(&error)),
        None => Some("the stream ended without an event".to_owned()),
    };
    if let Some(reason) = reason {
        dispatch.record_crash(&response.run.target, &reason);
    }
    response.run.end_failed();
    None
}
