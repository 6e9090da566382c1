//! What is logged and counted of a request.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::{Name, Refusal};
use tokio::time::Instant;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::slots::PlacedBy;
use crate::state::GatewayState;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestOutcome {
    /// The caller got the whole answer.
    Answered,
    /// The caller got a target's failure.
    TargetFailed,
    /// The stream broke off and could not be resumed.
    BrokenOff,
    /// The caller left.
    CallerLeft,
}

impl RequestOutcome {
    fn word(self) -> &'static str {
        match self {
            RequestOutcome::Answered => "answered",
            RequestOutcome::TargetFailed => "target-failed",
            RequestOutcome::BrokenOff => "broken-off",
            RequestOutcome::CallerLeft => "caller-left",
        }
    }
}

/// One line for each request, written when it ends, however it ends.
pub(crate) struct RequestRecord {
    state: Arc<GatewayState>,
    request_id: Name,
    route: Name,
    team: Name,
    declarations: u64,
    began: Instant,
    first_event: Option<Duration>,
    sends: u32,
    target: Option<Name>,
    placed_by: Option<PlacedBy>,
    /// Time that the search for slots took.
    placing: Duration,
    outcome: Option<RequestOutcome>,
    is_written: bool,
    /// A host that leaves waits for it.
    _held: TaskTrackerToken,
}

impl RequestRecord {
    /// A request that was admitted under declarations of this version.
    pub(crate) fn new(
        state: &Arc<GatewayState>,
        request_id: Option<&Name>,
        route: &Name,
        team: Option<&Name>,
        declarations: u64,
    ) -> Self {
        let none = || Name::from("-");
        RequestRecord {
            state: state.clone(),
            request_id: request_id.cloned().unwrap_or_else(none),
            route: route.clone(),
            team: team.cloned().unwrap_or_else(none),
            declarations,
            began: Instant::now(),
            first_event: None,
            sends: 0,
            target: None,
            placed_by: None,
            placing: Duration::ZERO,
            outcome: None,
            is_written: false,
            _held: state.tasks.token(),
        }
    }

    /// When the request came.
    pub(crate) fn began(&self) -> Instant {
        self.began
    }

    /// A slot was searched for, and chosen or not.
    pub(crate) fn note_place(&mut self, placed_by: PlacedBy, took: Duration) {
        self.placed_by = Some(placed_by);
        self.placing += took;
        self.state.metrics.note_placement(placed_by.word(), took);
    }

    /// It was sent to a target.
    pub(crate) fn note_send(&mut self, target: &Name) {
        self.sends += 1;
        self.target = Some(target.clone());
    }

    /// Whether a target may have it.
    pub(crate) fn has_sent(&self) -> bool {
        self.sends > 0
    }

    /// A send brought no answer to use; one line with what decided the next step.
    pub(crate) fn note_failure(&self, failure: &str, detail: &str, next: &str) {
        log::info!(
            request_id = &*self.request_id, target_id = self.target.as_deref().unwrap_or("-"),
            failure = failure, detail = detail, sends = self.sends,
            after_ms = self.began.elapsed().as_millis() as u64, next = next;
            "attempt-failed"
        );
    }

    /// A target broke under it.
    pub(crate) fn note_crash(&self, fingerprint: u64, crashes: u32) {
        log::warn!(
            request_id = &*self.request_id, target_id = self.target.as_deref().unwrap_or("-"),
            fingerprint = fingerprint, crashes = crashes;
            "request-suspected"
        );
    }

    /// The first event went to the caller.
    pub(crate) fn note_first_event(&mut self) {
        if self.first_event.is_none() {
            let time = self.began.elapsed();
            self.first_event = Some(time);
            self.state.metrics.note_first_event(time);
        }
    }

    /// It ended so.
    pub(crate) fn end(&mut self, outcome: RequestOutcome) {
        self.outcome = Some(outcome);
    }

    /// It was refused.
    pub(crate) fn end_refused(&mut self, refusal: &Refusal) {
        self.is_written = true;
        self.state.metrics.count_request("refused");
        log::info!(
            request_id = &*self.request_id, route = &*self.route, team = &*self.team,
            declarations = self.declarations, sends = self.sends,
            target_id = self.target.as_deref().unwrap_or("-"),
            placed_by = self.placed_by.map_or("-", PlacedBy::word),
            placing_us = self.placing.as_micros() as u64,
            code = refusal.code.number(), name = refusal.code.name(),
            execution = refusal.execution.as_str(),
            retry_after_ms = refusal.retry_after.map_or(0, |after| after.as_millis() as u64),
            reason = refusal.message.as_str(), took_ms = self.began.elapsed().as_millis() as u64;
            "request-refused"
        );
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if self.is_written {
            return;
        }
        // Dropped without an end: the caller closed the connection, which drops the answer.
        let outcome = self.outcome.unwrap_or(RequestOutcome::CallerLeft);
        let took = self.began.elapsed();
        self.state.metrics.count_request(outcome.word());
        self.state.metrics.note_answer(took);
        log::info!(
            request_id = &*self.request_id, route = &*self.route, team = &*self.team,
            declarations = self.declarations, sends = self.sends,
            target_id = self.target.as_deref().unwrap_or("-"),
            placed_by = self.placed_by.map_or("-", PlacedBy::word),
            placing_us = self.placing.as_micros() as u64, outcome = outcome.word(),
            first_event_ms = self.first_event.map_or(0, |time| time.as_millis() as u64),
            took_ms = took.as_millis() as u64;
            "request-ended"
        );
    }
}
