//! Log line and metrics of an online request.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::{Name, Refusal};
use cuminramp_fleet::{ExitCheck, FleetTarget, PromptPart, RejectionReason, ShareReport};
use tokio::time::Instant;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::readers::CallerReader;
use crate::slots::{AdmissionResult, PlacedBy};
use crate::state::{GatewayState, lock};
use crate::targets::ResponseFraming;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestOutcome {
    /// The caller received the complete response.
    Answered,
    /// The caller received the response of a target that failed.
    TargetFailed,
    /// The stream was interrupted and could not be resumed.
    StreamBroken,
    /// The caller closed the connection.
    CallerLeft,
    /// This host closed the connection, because the caller did not read.
    EndedUnread,
    /// This host exited before the response was complete.
    CutByExit,
}

impl RequestOutcome {
    /// Returns the label in logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            RequestOutcome::Answered => "answered",
            RequestOutcome::TargetFailed => "target-failed",
            RequestOutcome::StreamBroken => "broken-off",
            RequestOutcome::CallerLeft => "caller-left",
            RequestOutcome::EndedUnread => "ended-unread",
            RequestOutcome::CutByExit => "cut-by-exit",
        }
    }
}

/// What owners' admission queues decided on a request.
#[derive(Clone, Copy, Debug)]
struct QueueRecord {
    /// Total time for which the request waited.
    waited: Duration,
    /// Objective of the request's route.
    objective: Duration,
    /// Why the request was rejected last; `None` if it got a slot.
    rejection: Option<RejectionReason>,
    /// Figures on which an owner based its last decision that came with them.
    report: Option<ShareReport>,
}

impl QueueRecord {
    /// Returns the value of `reason_kind` in log lines.
    fn reason_kind(&self) -> &'static str {
        self.rejection.map_or("-", RejectionReason::as_str)
    }

    fn waited_ms(&self) -> u64 {
        self.waited.as_millis() as u64
    }

    /// Returns the value of `team_share` in log lines, in slots.
    fn team_share(&self) -> String {
        self.describe(|report| Some(format_slots(report.share_centi)))
    }

    /// Returns the value of `team_usage` in log lines, in slots.
    fn team_usage(&self) -> String {
        self.describe(|report| Some(format_slots(report.usage_centi)))
    }

    /// Returns the value of `pace_age_ms` in log lines.
    fn pace_age_ms(&self) -> String {
        self.describe(|report| report.pace_age_ms.map(|age| age.to_string()))
    }

    fn describe(&self, figure: impl Fn(ShareReport) -> Option<String>) -> String {
        self.report.and_then(figure).unwrap_or_else(|| "-".to_owned())
    }
}

fn format_slots(centi: u32) -> String {
    format!("{:.2}", f64::from(centi) / 100.0)
}

/// How the body of a stream's last response ended.
#[derive(Clone, Copy, Debug)]
struct StreamEndRecord {
    framing: ResponseFraming,
    /// Number of bytes after the last complete event.
    rest_bytes: usize,
}

/// Writes the log line of a refused request, with more keys in pools with admission queues.
macro_rules! log_refusal {
    ($record:ident, $refusal:ident $(, $key:ident = $value:expr)*) => {
        log::info!(
            request_id = &*$record.request_id, route = &*$record.route, team = &*$record.team,
            declarations = $record.declarations, sends = $record.sends,
            target_id = $record.target.as_deref().unwrap_or("-"),
            placed_by = $record.placed_by.map_or("-", PlacedBy::as_str),
            placing_us = $record.placement_time.as_micros() as u64,
            code = $refusal.code.number(), name = $refusal.code.name(),
            execution = $refusal.execution.as_str(),
            retry_after_ms = $refusal.retry_after.map_or(0, |delay| delay.as_millis() as u64),
            reason = $refusal.message.as_str(),
            took_ms = $record.started_at.elapsed().as_millis() as u64
            $(, $key = $value)*;
            "request-refused"
        )
    };
}

/// Collects the log line of one request, and writes it when the request ends, however it ends.
pub(crate) struct RequestRecord {
    state: Arc<GatewayState>,
    request_id: Name,
    route: Name,
    team: Name,
    declarations: u64,
    started_at: Instant,
    first_event: Option<Duration>,
    /// End of the body; `None` if it was not read to its end, or is no stream.
    stream_end: Option<StreamEndRecord>,
    sends: u32,
    /// When the request was sent to a target for the first time.
    sent_at: Option<Instant>,
    target: Option<Name>,
    /// Software version of the target.
    target_version: Option<Name>,
    placed_by: Option<PlacedBy>,
    /// Total time of the searches for slots.
    placement_time: Duration,
    /// Decisions of admission queues; `None` in a pool without them.
    queue: Option<QueueRecord>,
    outcome: Option<RequestOutcome>,
    is_logged: bool,
    /// The caller; `None` if it is not watched for reads.
    reader: Option<Arc<CallerReader>>,
    /// Keeps a draining host running until the request ends or the grace period is over.
    _task_token: TaskTrackerToken,
}

impl RequestRecord {
    /// Starts the record of a request whose head arrived at `started_at`, and that was admitted under version
    /// `declarations` of the declarations.
    pub(crate) fn new(
        state: &Arc<GatewayState>,
        started_at: Instant,
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
            started_at,
            first_event: None,
            stream_end: None,
            sends: 0,
            sent_at: None,
            target: None,
            target_version: None,
            placed_by: None,
            placement_time: Duration::ZERO,
            queue: None,
            outcome: None,
            is_logged: false,
            reader: None,
            _task_token: state.tasks.token(),
        }
    }

    /// Sets the caller, which tells whether this host closed its connection.
    pub(crate) fn watch_reader(&mut self, reader: Arc<CallerReader>) {
        self.reader = Some(reader);
    }

    /// Returns the outcome of a request whose response was dropped before its end.
    fn dropped_outcome(&self) -> RequestOutcome {
        if self.state.stop.is_cancelled() {
            return RequestOutcome::CutByExit;
        }
        let is_ended = self.reader.as_ref().is_some_and(|reader| reader.end().is_cancelled());
        if is_ended { RequestOutcome::EndedUnread } else { RequestOutcome::CallerLeft }
    }

    /// Returns when the head of the request arrived. The caller's deadline counts from then.
    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Records a search for a slot, whether or not it found one.
    pub(crate) fn record_placement(&mut self, placed_by: PlacedBy, elapsed: Duration) {
        self.placed_by = Some(placed_by);
        self.placement_time += elapsed;
        self.state.metrics.record_placement(placed_by.as_str(), elapsed);
    }

    /// Records the decision of an owner's admission queue.
    pub(crate) fn record_admission(&mut self, admission: AdmissionResult, objective: Duration) {
        self.state.metrics.count_admission(&self.team, admission.as_str());
        let new = QueueRecord { waited: Duration::ZERO, objective, rejection: None, report: None };
        let queue = self.queue.get_or_insert(new);
        queue.waited += admission.waited;
        queue.rejection = admission.rejection;
        queue.report = admission.report.or(queue.report);
    }

    /// Returns why an admission queue rejected the request, if one did.
    pub(crate) fn rejection(&self) -> Option<RejectionReason> {
        self.queue.and_then(|queue| queue.rejection)
    }

    /// Records a send to a target.
    pub(crate) fn record_send(&mut self, target: &FleetTarget) {
        self.sends += 1;
        self.sent_at.get_or_insert_with(Instant::now);
        self.set_target(target);
    }

    /// Sets the target that serves the request, of several that it was sent to.
    pub(crate) fn set_target(&mut self, target: &FleetTarget) {
        self.target = Some(target.id.clone());
        self.target_version = Some(target.version.clone());
    }

    /// Logs that the request resumes a stream for its caller, and which request began it.
    pub(crate) fn log_resumption(&self, last_event: u64, first_request_id: Option<&Name>) {
        log::info!(
            request_id = &*self.request_id, route = &*self.route, last_event = last_event,
            first_request_id = first_request_id.map_or("-", |id| &**id);
            "stream-taken-up"
        );
    }

    /// Logs whether a draining host sends the request, with the times that decide it.
    pub(crate) fn log_exit_check(&self, check: &ExitCheck) {
        let expected_ms = check.expected.map(|expected| expected.as_millis().to_string());
        log::info!(
            request_id = &*self.request_id, route = &*self.route,
            decision = if check.fits() { "send" } else { "refuse" },
            time_left_ms = check.time_left.as_millis() as u64,
            expected_ms = expected_ms.as_deref().unwrap_or("-"),
            until_deadline_ms = check.until_deadline.as_millis() as u64;
            "exit-checked"
        );
    }

    /// Returns whether the request was sent to any target.
    pub(crate) fn has_sent(&self) -> bool {
        self.sends > 0
    }

    /// Logs a failed send, with the failure and the next step.
    pub(crate) fn record_failure(&self, failure: &str, detail: &str, next: &str) {
        log::info!(
            request_id = &*self.request_id, target_id = self.target.as_deref().unwrap_or("-"),
            target_version = self.target_version.as_deref().unwrap_or("-"),
            failure = failure, detail = detail, sends = self.sends,
            after_ms = self.started_at.elapsed().as_millis() as u64, next = next;
            "attempt-failed"
        );
    }

    /// Logs that a target crashed while it ran the request, how that was seen, and the request's crash count.
    pub(crate) fn record_crash(
        &self,
        fingerprint: u64,
        crashes: u32,
        parts: &[PromptPart],
        reason: &str,
    ) {
        let parts = parts.iter().map(PromptPart::to_string).collect::<Vec<_>>().join(",");
        log::warn!(
            request_id = &*self.request_id, target_id = self.target.as_deref().unwrap_or("-"),
            fingerprint = fingerprint, crashes = crashes, parts = parts.as_str(),
            reason = reason;
            "request-suspected"
        );
    }

    /// Logs that no target resumes an interrupted stream: why it was interrupted, and the refusal.
    pub(crate) fn record_not_resumed(&self, reason: &str, refusal: &Refusal) {
        log::info!(
            request_id = &*self.request_id, target_id = self.target.as_deref().unwrap_or("-"),
            reason = reason, code = refusal.code.number(), name = refusal.code.name(),
            detail = refusal.message.as_str(), sends = self.sends,
            after_ms = self.started_at.elapsed().as_millis() as u64;
            "stream-not-resumed"
        );
    }

    /// Records that an event is passed on to the caller. Only the first call has an effect.
    pub(crate) fn record_first_event(&mut self) {
        if self.first_event.is_none() {
            let elapsed = self.started_at.elapsed();
            self.first_event = Some(elapsed);
            self.state.metrics.record_first_event(elapsed);
        }
    }

    /// Records the end of a stream's body, with the number of bytes after its last complete event.
    pub(crate) fn record_stream_end(&mut self, framing: ResponseFraming, rest_bytes: usize) {
        self.stream_end = Some(StreamEndRecord { framing, rest_bytes });
    }

    /// Returns whether an event was passed on to the caller.
    pub(crate) fn has_first_event(&self) -> bool {
        self.first_event.is_some()
    }

    /// Records the outcome; the log line is written on drop.
    pub(crate) fn end(&mut self, outcome: RequestOutcome) {
        self.outcome = Some(outcome);
    }

    /// Logs and counts the request as refused.
    pub(crate) fn end_refused(&mut self, refusal: &Refusal) {
        self.is_logged = true;
        self.state.metrics.count_request("refused");
        match self.queue {
            Some(queue) => log_refusal!(
                self,
                refusal,
                reason_kind = queue.reason_kind(),
                waited_ms = queue.waited_ms(),
                team_share = &*queue.team_share(),
                team_usage = &*queue.team_usage(),
                pace_age_ms = &*queue.pace_age_ms()
            ),
            None => log_refusal!(self, refusal),
        }
    }

    /// Logs that a request waited longer than its objective before it was served.
    fn log_long_wait(&self) {
        let Some(queue) = self.queue else { return };
        if queue.waited > queue.objective && self.has_sent() {
            log::info!(
                request_id = &*self.request_id, route = &*self.route, team = &*self.team,
                reason_kind = queue.reason_kind(), waited_ms = queue.waited_ms(),
                team_share = &*queue.team_share(), team_usage = &*queue.team_usage(),
                pace_age_ms = &*queue.pace_age_ms();
                "request-waited"
            );
        }
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if self.is_logged {
            return;
        }
        // Without an outcome, the response was dropped because the connection was closed.
        let outcome = self.outcome.unwrap_or_else(|| self.dropped_outcome());
        let elapsed = self.started_at.elapsed();
        self.state.metrics.count_request(outcome.as_str());
        self.state.metrics.record_answer(elapsed);
        if let Some(sent_at) = self.sent_at {
            let now = Instant::now();
            lock(&self.state.route_durations).record(&self.route, now - sent_at, now);
        }
        self.log_long_wait();
        log::info!(
            request_id = &*self.request_id, route = &*self.route, team = &*self.team,
            declarations = self.declarations, sends = self.sends,
            target_id = self.target.as_deref().unwrap_or("-"),
            target_version = self.target_version.as_deref().unwrap_or("-"),
            placed_by = self.placed_by.map_or("-", PlacedBy::as_str),
            placing_us = self.placement_time.as_micros() as u64, outcome = outcome.as_str(),
            first_event_ms = self.first_event.map_or(0, |elapsed| elapsed.as_millis() as u64),
            framing = self.stream_end.map_or("-", |end| end.framing.as_str()),
            rest_bytes = self.stream_end.map_or(0, |end| end.rest_bytes),
            took_ms = elapsed.as_millis() as u64;
            "request-ended"
        );
    }
}
