//! Sends an online request to targets until one answers.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::{Execution, Name, Refusal, ResultCode, hash_parts};
use cuminramp_fleet::{
    FleetTarget, PartDecision, PlacementDecision, PlacementRequest, PoolPart, RouteKind, RouteRule,
    SoftwareVersion, ZoneLimit,
};
use cuminramp_targets::{AttemptFailure, FailureStage, RequestTraits, RetryDecision, decide_retry};
use http::{Response, request};
use tokio::time::Instant;

use super::RequestRecord;
use super::forward::{forward_complete, forward_stream};
use super::origin::{bind_to_origin, stream_of};
use crate::entry::{ResponseBody, is_retry};
use crate::interfaces::CallHead;
use crate::parts::{
    admit_parts, decide_parts, parts_in_pool, record_part_crash, record_sound_parts, refuse_part,
};
use crate::slots::{AdmissionResult, AdmissionTerms, find_slot};
use crate::state::{GatewayState, lock};

/// Timeout without a response head or data after which a request that may run again is also sent to another
/// target. Callers abandon a stream after two seconds without an event; this leaves the other target
/// time to send the next one.
pub(super) const FAILOVER_TIMEOUT: Duration = Duration::from_millis(900);
/// Part of the time left until a caller's deadline that it waits at most before a retry, as a divisor.
const MAX_RETRY_DELAY_DIVISOR: u32 = 3;
/// Time subtracted from a caller's deadline, so that the final response still arrives in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);

/// Returns the time from the arrival of a request until its final response.
pub(crate) fn time_allowed(head: &CallHead, route: &RouteRule) -> Duration {
    let until_deadline = head.deadline.map(|deadline| deadline.saturating_sub(DEADLINE_MARGIN));
    until_deadline.map_or(route.timeout, |until_deadline| until_deadline.min(route.timeout))
}

/// A request that passed admission.
pub(crate) struct AdmittedRequest {
    pub(crate) parts: request::Parts,
    pub(crate) head: CallHead,
    pub(crate) body: Bytes,
    pub(crate) route: RouteRule,
    pub(crate) team: Option<Name>,
    pub(crate) pool: Name,
    /// Zones in which the request may run.
    pub(crate) zones: ZoneLimit,
}

/// A request that is being sent to targets, and the state of its sends.
pub(crate) struct RequestDispatch {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) request: AdmittedRequest,
    pub(crate) record: RequestRecord,
    /// Number of sends that a target may have run, or may still run.
    pub(crate) runs: u32,
    /// Number of sends that don't count as runs.
    pub(super) uncounted_sends: u32,
    /// Whether the path to a target was cut after the request was sent there.
    pub(super) has_cut_send: bool,
    /// IDs of the targets that the request was sent to. Cleared once all usable targets have failed.
    pub(super) tried: Vec<Name>,
    /// Key of the stream, by the request that brought its first event.
    pub(crate) stream: u64,
    /// Last event that was passed on to the caller.
    pub(crate) last_event: Option<u64>,
    /// Software of the targets at which the request may run: that of the events that the caller has. `None`
    /// before the first one.
    pub(crate) software: Option<SoftwareVersion>,
    /// Time by which the caller receives its final response.
    deadline: Instant,
    /// Set while the request waits in an owner's queue, to the time at which it was queued.
    queued_at: OnceLock<Instant>,
    /// Hash of team, URI and body, computed on first use. All calls that repeat a request have
    /// the same one.
    fingerprint: OnceLock<u64>,
    /// Parts of the prompt that other requests share, at the pool.
    parts: Vec<PoolPart>,
}

impl RequestDispatch {
    fn new(state: Arc<GatewayState>, request: AdmittedRequest, record: RequestRecord) -> Self {
        let deadline = record.started_at() + time_allowed(&request.head, &request.route);
        let last_event = request.head.last_event;
        let stream = stream_of(&request);
        let parts = parts_in_pool(&request.head.shared_parts, &request.pool);
        lock(&state.failover_budget).earn();
        RequestDispatch {
            state,
            request,
            record,
            runs: 0,
            uncounted_sends: 0,
            has_cut_send: false,
            tried: Vec::new(),
            stream,
            last_event,
            software: None,
            deadline,
            queued_at: OnceLock::new(),
            fingerprint: OnceLock::new(),
            parts,
        }
    }

    fn fingerprint(&self) -> u64 {
        *self.fingerprint.get_or_init(|| {
            let request = &self.request;
            let team = request.team.as_deref().unwrap_or_default();
            let body = String::from_utf8_lossy(&request.body);
            hash_parts(&[team, &request.parts.uri.to_string(), &body])
        })
    }

    /// Returns a refusal if the request is quarantined: its crash count, as recorded here or reported by
    /// another host, has reached the limit, or a part of its prompt is quarantined.
    pub(super) fn check_quarantine(&self) -> Result<(), Refusal> {
        self.check_crashes()?;
        self.check_parts(decide_parts(&self.state, &self.parts))
    }

    /// Like [`Self::check_quarantine`], just before the request is sent: parts may have been quarantined while it
    /// waited for a slot.
    pub(super) fn admit(&self) -> Result<(), Refusal> {
        self.check_crashes()?;
        self.check_parts(admit_parts(&self.state, &self.parts))
    }

    fn check_parts(&self, decision: PartDecision) -> Result<(), Refusal> {
        match decision {
            PartDecision::Admit | PartDecision::Trial(_) => Ok(()),
            PartDecision::Hold(part) => {
                Err(refuse_part(&self.state, part).with_execution(self.execution()))
            }
        }
    }

    fn check_crashes(&self) -> Result<(), Refusal> {
        let crashes = lock(&self.state.crashes);
        if crashes.is_empty() {
            return Ok(());
        }
        let Some(remaining) = crashes.remaining_quarantine(self.fingerprint(), Instant::now())
        else {
            return Ok(());
        };
        let reason = "the same request crashed several targets";
        Err(Refusal::not_run(ResultCode::RequestHeldBack, reason)
            .with_execution(self.execution())
            .with_retry_after(remaining))
    }

    /// Records that this request may have crashed a target: the only request on a connection is counted when
    /// the connection breaks. Other hosts receive the count with the next heartbeat, which is requested here.
    pub(crate) fn record_crash(&self, target: &FleetTarget, reason: &str) {
        self.record_part_crash(target);
        let crashes = lock(&self.state.crashes).record_crash(self.fingerprint(), Instant::now());
        let parts = &self.request.head.shared_parts;
        self.record.record_crash(self.fingerprint(), crashes, parts, reason);
        self.state.request_heartbeat();
    }

    /// Records that a target broke a response off that had not gone beyond its begin: a part of the prompt may have
    /// crashed it.
    pub(crate) fn record_part_crash(&self, target: &FleetTarget) {
        record_part_crash(&self.state, self.parts.clone(), target);
    }

    /// Records that a response went beyond its begin, so that no part of the prompt crashes targets.
    pub(crate) fn record_sound_parts(&self) {
        record_sound_parts(&self.state, &self.parts);
    }

    /// Records that the request was answered completely, which resets its crash count.
    pub(crate) fn record_success(&self) {
        let mut crashes = lock(&self.state.crashes);
        if !crashes.is_empty() {
            crashes.record_success(self.fingerprint());
        }
    }

    /// Returns the time by which the caller receives its final response.
    pub(crate) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the timeout for the next response head or data: short while another target may run the
    /// request, else up to the deadline.
    pub(crate) fn read_timeout(&self) -> Duration {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if self.may_run_again() { remaining.min(FAILOVER_TIMEOUT) } else { remaining }
    }

    /// Returns whether another target may run the request after the earlier runs.
    pub(crate) fn may_run_again(&self) -> bool {
        self.request.route.is_repeatable() && self.runs < self.request.route.max_attempts
    }

    /// Returns whether a send may be started beside one whose target is silent, and counts it if so.
    pub(super) fn spend_failover(&self) -> bool {
        self.may_run_again() && lock(&self.state.failover_budget).spend()
    }

    /// Returns whether the response is a stream of events.
    pub(crate) fn is_stream(&self) -> bool {
        self.request.route.kind == RouteKind::Stream
    }

    /// Searches for a free slot at a target.
    pub(super) async fn place(&mut self) -> PlacementDecision {
        // Set if an earlier search was cancelled while it waited.
        self.queued_at.take();
        let placement_request = PlacementRequest {
            pool: &self.request.pool,
            objective: self.request.route.objective,
            is_retry: is_retry(&self.request.head, &self.request.route) || self.runs > 0,
            tried: &self.tried,
            zones: &self.request.zones,
            software: self.software,
        };
        let terms = AdmissionTerms {
            team: self.request.team.as_ref(),
            priority: self.request.route.priority,
            started_at: self.record.started_at(),
            deadline: self.deadline.min(self.give_up_at()),
            max_retry_delay: self.deadline.saturating_duration_since(Instant::now())
                / MAX_RETRY_DELAY_DIVISOR,
            queued_at: &self.queued_at,
        };
        let started_at = Instant::now();
        let placement = find_slot(&self.state, &placement_request, &terms).await;
        self.queued_at.take();
        self.record.record_placement(placement.placed_by, started_at.elapsed());
        if let Some(admission) = placement.admission {
            self.record.record_admission(admission, self.request.route.objective);
        }
        placement.decision
    }

    /// Returns the time at which the caller gives up if it receives no further event.
    fn give_up_at(&self) -> Instant {
        let waits_since =
            if self.record.has_first_event() { Instant::now() } else { self.record.started_at() };
        waits_since + self.request.route.give_up_after()
    }

    /// Records that the deadline passed, as a decision of the queue if the request was waiting in one.
    fn record_deadline(&mut self) {
        if let Some(queued_at) = self.queued_at.take() {
            let admission = AdmissionResult::deadline_passed(queued_at.elapsed());
            self.record.record_admission(admission, self.request.route.objective);
        }
    }

    /// Applies the retry rules to the failure of a response. `Ok` means that the request is sent again or resumed.
    pub(crate) fn decide_next_step(
        &mut self,
        stage: FailureStage,
        failure_kind: &str,
        detail: &str,
    ) -> Result<(), Refusal> {
        self.decide_retry(stage, true, failure_kind, detail)
    }

    /// Applies the retry rules to a failure. Sends that don't count as attempts have a limit of their own, which
    /// `may_retry` applies.
    pub(super) fn decide_retry(
        &mut self,
        stage: FailureStage,
        may_retry: bool,
        failure_kind: &str,
        detail: &str,
    ) -> Result<(), Refusal> {
        let max_attempts = self.request.route.max_attempts;
        let traits = RequestTraits {
            is_repeatable: self.request.route.is_repeatable(),
            is_resumable: self.request.route.is_resumable,
            deadline: self.deadline,
            max_attempts,
            earlier_execution: self.execution(),
        };
        let failure = AttemptFailure { stage, is_crash: false };
        let is_not_run = matches!(stage, FailureStage::NotSent | FailureStage::Refused);
        let attempt = if is_not_run { self.runs.min(max_attempts - 1) } else { self.runs };
        let decision = decide_retry(&traits, failure, attempt, Instant::now(), || may_retry);
        match decision {
            RetryDecision::Resend | RetryDecision::Resume { .. } => {
                self.record.record_failure(failure_kind, detail, "send-again");
                Ok(())
            }
            RetryDecision::GiveUp { code, execution } => {
                self.record.record_failure(failure_kind, detail, "give-up");
                let refusal = Refusal::not_run(code, failure_kind).with_execution(execution);
                Err(match execution {
                    Execution::NotRun => refusal.with_retry_after(self.retry_after()),
                    _ => refusal,
                })
            }
        }
    }

    /// Returns the delay after which a refused caller should retry. It is short, since another host or
    /// target may be able to serve the request immediately.
    fn retry_after(&self) -> Duration {
        /// Retry delay after failed sends. Long enough for the placement tables of all hosts to receive the
        /// failures recorded here.
        const RETRY_DELAY: Duration = Duration::from_millis(150);
        RETRY_DELAY
    }
}

/// Serves one admitted request, within its deadline.
pub(crate) async fn serve_request(
    state: Arc<GatewayState>,
    request: AdmittedRequest,
    record: RequestRecord,
) -> Result<Response<ResponseBody>, Refusal> {
    if let Some(last_event) = request.head.last_event {
        record.log_resumption(last_event, request.head.first_request_id.as_ref());
    }
    let mut dispatch = RequestDispatch::new(state, request, record);
    let deadline = dispatch.deadline();
    let serving = async {
        bind_to_origin(&mut dispatch).await?;
        dispatch.send_until_answered().await
    };
    let result = match tokio::time::timeout_at(deadline, serving).await {
        Ok(result) => result,
        Err(_) => {
            dispatch.record_deadline();
            let execution =
                if dispatch.record.has_sent() { Execution::MayHaveRun } else { Execution::NotRun };
            let refusal =
                Refusal::not_run(ResultCode::DeadlineExceeded, "no response before the deadline");
            Err(refusal.with_execution(execution))
        }
    };
    let response = match result {
        Ok(response) => response,
        Err(refusal) => {
            dispatch.record.end_refused(&refusal);
            return Err(refusal);
        }
    };
    if dispatch.is_stream() && response.parts.status.is_success() {
        Ok(forward_stream(dispatch, response))
    } else {
        forward_complete(dispatch, response).await
    }
}
