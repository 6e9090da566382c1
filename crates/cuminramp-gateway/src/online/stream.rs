//! A stream of events to a caller, from one target after another.

use std::io;

use bytes::Bytes;
use cuminramp_fleet::RouteKind;
use cuminramp_targets::FailureStage;
use futures_util::StreamExt;
use futures_util::stream::{BoxStream, unfold};
use http_body::Frame;
use http_body_util::BodyExt;
use tokio::time::Instant;

use super::RequestOutcome;
use super::serve::RequestPass;
use crate::targets::{EventSplitter, TargetAnswer};

/// What a caller's connection gets.
pub(crate) type EventFrames = BoxStream<'static, Result<Frame<Bytes>, io::Error>>;

struct StreamRelay {
    pass: RequestPass,
    answer: Option<TargetAnswer>,
    splitter: EventSplitter,
    /// Why nothing more can be taken from the present answer, once its events are passed on.
    gap: Option<String>,
    /// The last event that the caller had when the present answer began.
    begun_after: Option<u64>,
}

/// What the next read brought.
enum StreamStep {
    /// Whole events.
    Events(Bytes),
    /// The stream ended whole.
    End(Bytes),
    /// It broke off.
    Broken(String),
}

/// The body of an answer: dropped with the caller's connection, and the target's with it.
pub(crate) fn stream_body(pass: RequestPass, answer: TargetAnswer) -> EventFrames {
    let relay = StreamRelay {
        begun_after: pass.last_event,
        pass,
        answer: Some(answer),
        splitter: EventSplitter::default(),
        gap: None,
    };
    unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next_frame().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    })
    .boxed()
}

impl StreamRelay {
    /// The next bytes for the caller; `None` after the end.
    async fn next_frame(&mut self) -> Result<Option<Bytes>, io::Error> {
        loop {
            if self.answer.is_none() {
                return Ok(None);
            }
            match self.read_step().await {
                StreamStep::Events(bytes) => {
                    self.pass.record.note_first_event();
                    return Ok(Some(bytes));
                }
                StreamStep::End(rest) => {
                    self.end_whole();
                    return Ok(Some(rest).filter(|rest| !rest.is_empty()));
                }
                StreamStep::Broken(reason) => self.go_on_elsewhere(&reason).await?,
            }
        }
    }

    async fn read_step(&mut self) -> StreamStep {
        loop {
            let taken = self.splitter.take_following(&mut self.pass.last_event);
            self.gap = self.gap.take().or(taken.gap);
            if !taken.bytes.is_empty() {
                return StreamStep::Events(taken.bytes.freeze());
            }
            if let Some(reason) = self.gap.take() {
                return StreamStep::Broken(reason);
            }
            let limit = self.pass.silence_limit();
            let Some(answer) = &mut self.answer else {
                return StreamStep::Broken("no answer".into());
            };
            match tokio::time::timeout(limit, answer.body.frame()).await {
                Err(_) => {
                    return StreamStep::Broken(format!("silent for {} ms", limit.as_millis()));
                }
                Ok(Some(Err(error))) => {
                    // One that broke off later had begun well.
                    if self.pass.last_event == self.begun_after {
                        self.pass.note_crash();
                    }
                    return StreamStep::Broken(error.to_string());
                }
                Ok(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.splitter.push(&bytes);
                    }
                }
                Ok(None) => {
                    let rest = Bytes::copy_from_slice(self.splitter.rest());
                    return StreamStep::End(rest);
                }
            }
        }
    }

    fn end_whole(&mut self) {
        if let Some(answer) = self.answer.take() {
            answer.run.end_whole(answer.head.keep_alive);
        }
        self.pass.note_whole();
        self.pass.record.end(RequestOutcome::Answered);
    }

    /// Resumes at another target, or breaks the caller's stream off: an answer that ends early must
    /// not look complete.
    async fn go_on_elsewhere(&mut self, reason: &str) -> Result<(), io::Error> {
        if let Some(answer) = self.answer.take() {
            answer.run.end_failed();
        }
        self.splitter = EventSplitter::default();
        let broken = |reason: &str| io::Error::other(reason.to_owned());
        if self.pass.request.route.kind != RouteKind::Stream
            || Instant::now() >= self.pass.deadline()
        {
            self.pass.record.end(RequestOutcome::BrokenOff);
            return Err(broken(reason));
        }
        let events = self.pass.last_event.map_or(0, |last| last as usize + 1);
        let stage = FailureStage::Partial { events };
        let outcome = match self.pass.decide(stage, "broken-stream", reason) {
            Ok(()) => {
                let deadline = self.pass.deadline();
                tokio::time::timeout_at(deadline, self.pass.find_answer()).await
            }
            Err(refusal) => Ok(Err(refusal)),
        };
        match outcome {
            Ok(Ok(answer)) if answer.parts.status.is_success() => {
                self.answer = Some(answer);
                self.begun_after = self.pass.last_event;
                Ok(())
            }
            _ => {
                self.pass.record.end(RequestOutcome::BrokenOff);
                Err(broken(reason))
            }
        }
    }
}
