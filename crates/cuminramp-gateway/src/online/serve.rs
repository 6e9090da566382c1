//! Sends a request to targets until one answers.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::{Execution, Name, Refusal, ResultCode, hash_parts};
use cuminramp_fleet::{
    FleetTarget, PlacementDecision, PlacementRequest, RouteKind, RouteRule, WorkKind, ZoneLimit,
};
use cuminramp_targets::{AttemptFailure, FailureStage, RequestTraits, RetryDecision, decide_retry};
use http::{Response, request};
use tokio::time::Instant;

use super::RequestRecord;
use super::relay::{relay_stream, relay_whole};
use crate::entry::{AnswerBody, is_retry};
use crate::interfaces::{CallHead, TargetHead};
use crate::slots::find_slot;
use crate::state::{GatewayState, lock};
use crate::targets::{SendFailure, TargetAnswer, TargetRequest, TargetRun, send_request};

/// Sends that no target ran, as when it was full or could not be reached, for one attempt of a
/// caller. Each takes a few milliseconds, and the board avoids what refused.
const MOST_UNRUN_SENDS: u32 = 5;
/// Time without a head or event after which a stream that can be resumed goes on elsewhere.
/// Callers give a stream up after two seconds without an event; this leaves time for the other
/// target to get it going.
const SILENCE_LIMIT: Duration = Duration::from_millis(900);
/// Time that is kept back of a caller's deadline, so that the last answer still arrives.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);

/// A request that passed admission.
pub(crate) struct AdmittedRequest {
    pub(crate) parts: request::Parts,
    pub(crate) head: CallHead,
    pub(crate) body: Bytes,
    pub(crate) route: RouteRule,
    pub(crate) team: Option<Name>,
    pub(crate) pool: Name,
    /// Where it may run.
    pub(crate) zones: ZoneLimit,
}

/// A request on its way through targets.
pub(crate) struct RequestPass {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) request: AdmittedRequest,
    pub(crate) record: RequestRecord,
    /// Sends that a target may have run.
    pub(crate) runs: u32,
    unrun: u32,
    tried: Vec<Name>,
    /// The last event that the caller has.
    pub(crate) last_event: Option<u64>,
    deadline: Instant,
    /// What tells it from other requests, whichever caller's attempt it is.
    fingerprint: OnceLock<u64>,
}

impl RequestPass {
    fn new(state: Arc<GatewayState>, request: AdmittedRequest, record: RequestRecord) -> Self {
        let mut limit = request.route.timeout;
        if let Some(deadline) = request.head.deadline {
            limit = limit.min(deadline.saturating_sub(DEADLINE_MARGIN));
        }
        let deadline = record.began() + limit;
        let last_event = request.head.last_event;
        RequestPass {
            state,
            request,
            record,
            runs: 0,
            unrun: 0,
            tried: Vec::new(),
            last_event,
            deadline,
            fingerprint: OnceLock::new(),
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

    /// A refusal, if the request broke as many targets as are allowed, here or at other hosts.
    fn refuse_suspect(&self) -> Result<(), Refusal> {
        let crashes = lock(&self.state.crashes);
        if crashes.is_empty() {
            return Ok(());
        }
        let Some(left) = crashes.quarantine_left(self.fingerprint(), Instant::now()) else {
            return Ok(());
        };
        let execution = if self.runs > 0 { Execution::MayHaveRun } else { Execution::NotRun };
        let reason = "the same request broke several targets";
        Err(Refusal::not_run(ResultCode::RequestHeldBack, reason)
            .with_execution(execution)
            .with_retry_after(left))
    }

    /// A target broke the connection while it had nothing but this request to answer on it.
    pub(crate) fn note_crash(&self) {
        let crashes = lock(&self.state.crashes).on_crash(self.fingerprint(), Instant::now());
        self.record.note_crash(self.fingerprint(), crashes);
        self.state.request_heartbeat();
    }

    /// It ran to its end.
    pub(crate) fn note_whole(&self) {
        let mut crashes = lock(&self.state.crashes);
        if !crashes.is_empty() {
            crashes.on_success(self.fingerprint());
        }
    }

    /// When the caller has its final answer at the latest.
    pub(crate) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// How long the next silence may last: short while the request can go on elsewhere.
    pub(crate) fn silence_limit(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if self.may_run_again() { left.min(SILENCE_LIMIT) } else { left }
    }

    /// Whether another target may run it after one that did.
    pub(crate) fn may_run_again(&self) -> bool {
        self.request.route.is_repeatable() && self.runs < self.request.route.max_attempts
    }

    /// Whether the answer is a stream of events.
    pub(crate) fn is_stream(&self) -> bool {
        self.request.route.kind == RouteKind::Stream
    }

    async fn place(&mut self) -> PlacementDecision {
        let placement_request = PlacementRequest {
            pool: &self.request.pool,
            objective: self.request.route.objective,
            is_retry: is_retry(&self.request.head, &self.request.route) || self.runs > 0,
            tried: &self.tried,
            zones: &self.request.zones,
        };
        let began = Instant::now();
        let (decision, placed_by) = find_slot(&self.state, &placement_request).await;
        self.record.note_place(placed_by, began.elapsed());
        decision
    }

    async fn send(&mut self, target: FleetTarget) -> Result<TargetAnswer, SendFailure> {
        self.record.note_send(&target.id);
        let head = TargetHead {
            deadline: Some(self.deadline.saturating_duration_since(Instant::now())),
            team: self.request.team.as_deref(),
            target: &target.id,
            last_event: self.last_event,
        };
        let message = TargetRequest {
            method: self.request.parts.method.clone(),
            path: self.request.parts.uri.clone(),
            headers: self.state.calls.target_headers(&self.request.parts, &head),
            body: self.request.body.clone(),
            request_id: self.request.head.request_id.clone(),
            is_fresh: !self.request.route.is_repeatable(),
            head_limit: self.silence_limit(),
        };
        self.tried.push(target.id.clone());
        let run = TargetRun::begin(&self.state, target, WorkKind::Online);
        send_request(run, message).await
    }

    /// Sends it until a target answers or there is nothing more to try.
    pub(crate) async fn find_answer(&mut self) -> Result<TargetAnswer, Refusal> {
        loop {
            self.refuse_suspect()?;
            let target = match self.place().await {
                PlacementDecision::Send(target) => target,
                PlacementDecision::Full(after) => return Err(self.refuse_full(after)),
                PlacementDecision::Nowhere if !self.tried.is_empty() => {
                    self.tried.clear();
                    continue;
                }
                PlacementDecision::Nowhere => return Err(self.refuse_nowhere()),
            };
            let failure = match self.send(target).await {
                Ok(answer) => {
                    self.runs += 1;
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            self.after_failure(&failure)?;
        }
    }

    fn refuse_full(&self, after: Duration) -> Refusal {
        let reason = "every slot is taken, and the shortest queue is too long";
        Refusal::not_run(ResultCode::TargetsUnavailable, reason).with_retry_after(after)
    }

    fn refuse_nowhere(&self) -> Refusal {
        /// Targets register within about a second of their start.
        const SOON: Duration = Duration::from_millis(700);
        let reason = format!("pool {} has no target", self.request.pool);
        let execution = if self.runs > 0 { Execution::MayHaveRun } else { Execution::NotRun };
        Refusal::not_run(ResultCode::TargetsUnavailable, reason)
            .with_retry_after(SOON)
            .with_execution(execution)
    }

    /// Decides what follows a failed send; `Ok` means to go on.
    fn after_failure(&mut self, failure: &SendFailure) -> Result<(), Refusal> {
        let stage = match failure {
            SendFailure::NotSent(_) => FailureStage::NotSent,
            SendFailure::Refused { .. } => FailureStage::Refused,
            _ => FailureStage::Sent,
        };
        if failure.is_not_run() {
            self.unrun += 1;
        } else {
            self.runs += 1;
        }
        if matches!(failure, SendFailure::Broken(_)) {
            self.note_crash();
        }
        self.decide(stage, failure.word(), &format!("{failure:?}"))
    }

    /// Asks the one place that decides about retries.
    pub(crate) fn decide(
        &mut self,
        stage: FailureStage,
        word: &str,
        detail: &str,
    ) -> Result<(), Refusal> {
        let is_repeatable = self.request.route.is_repeatable();
        let traits = RequestTraits {
            is_repeatable,
            is_resumable: self.request.route.is_resumable,
            deadline: self.deadline,
            max_attempts: self.request.route.max_attempts,
            earlier: if self.runs > 0 { Execution::MayHaveRun } else { Execution::NotRun },
        };
        let failure = AttemptFailure { stage, is_crash: false };
        let is_unrun = matches!(stage, FailureStage::NotSent | FailureStage::Refused);
        // Sends that did not run are bounded by themselves; they use up no attempt.
        let attempt = if is_unrun { self.runs.min(traits.max_attempts - 1) } else { self.runs };
        let may_retry = !is_unrun || self.unrun < MOST_UNRUN_SENDS;
        let decision = decide_retry(&traits, failure, attempt, Instant::now(), || may_retry);
        match decision {
            RetryDecision::Resend | RetryDecision::Resume { .. } => {
                self.record.note_failure(word, detail, "send-again");
                Ok(())
            }
            RetryDecision::GiveUp { code, execution } => {
                self.record.note_failure(word, detail, "give-up");
                let refusal = Refusal::not_run(code, word).with_execution(execution);
                Err(match execution {
                    Execution::NotRun => refusal.with_retry_after(self.retry_after()),
                    _ => refusal,
                })
            }
        }
    }

    /// When a refused caller should come back: soon, since another host or target may do at once.
    fn retry_after(&self) -> Duration {
        /// Long enough for the board of every host to know what failed here.
        const SHORTLY: Duration = Duration::from_millis(150);
        SHORTLY
    }
}

/// Serves one request.
pub(crate) async fn serve_request(
    state: Arc<GatewayState>,
    request: AdmittedRequest,
    record: RequestRecord,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut pass = RequestPass::new(state, request, record);
    let deadline = pass.deadline();
    let found = match tokio::time::timeout_at(deadline, pass.find_answer()).await {
        Ok(found) => found,
        Err(_) => {
            let execution =
                if pass.record.has_sent() { Execution::MayHaveRun } else { Execution::NotRun };
            let refusal = Refusal::not_run(ResultCode::DeadlineExceeded, "no answer in time");
            Err(refusal.with_execution(execution))
        }
    };
    let answer = match found {
        Ok(answer) => answer,
        Err(refusal) => {
            pass.record.end_refused(&refusal);
            return Err(refusal);
        }
    };
    if pass.is_stream() && answer.parts.status.is_success() {
        Ok(relay_stream(pass, answer))
    } else {
        relay_whole(pass, answer).await
    }
}
