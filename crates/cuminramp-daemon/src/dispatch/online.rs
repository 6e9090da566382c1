//! Runs an online request: makes attempts until a target answers or the request can't be retried.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use cuminramp_core::{Execution, KeyDigest, Name, Refusal, ResultCode};
use cuminramp_routes::{Pool, PoolKind, Route, Team};
use cuminramp_targets::{
    AttemptFailure, ChoiceQuery, FailureStage, RequestTraits, RetryDecision, TargetChoice,
    TargetSpec, WorkKind, decide_retry, execution_after,
};
use cuminramp_wire::peer::{CrashCount, CrashReport};
use futures_util::future::join_all;
use http::HeaderMap;
use http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::dispatch::answer::TargetAnswer;
use crate::dispatch::attempt::TargetLease;
use crate::dispatch::forward::{
    ActiveRequest, BodyError, forward_stream, key_withdrawn_refusal, read_full_body,
};
use crate::dispatch::open_attempts::{OpenAttempts, next_response, next_response_after};
use crate::dispatch::queue::wait_for_turn;
use crate::dispatch::target_specs;
use crate::interfaces::TargetRequest;
use crate::state::{DaemonState, lock};

/// An admitted request with its route and pool.
pub(crate) struct OnlineRequest {
    pub(crate) id: Name,
    pub(crate) team: Team,
    pub(crate) key: KeyDigest,
    pub(crate) route: Route,
    pub(crate) pool: Pool,
    pub(crate) request: TargetRequest,
    /// Hash of the beginning of the prompt, for engines that cache prefixes.
    pub(crate) prefix: Option<u64>,
    /// Hash of the work that a target does for the request, by which crashes are counted.
    ///
    /// It doesn't depend on the caller or on whether the answer is streamed: a poison request crashes
    /// targets either way.
    pub(crate) fingerprint: u64,
    pub(crate) is_stream: bool,
    pub(crate) deadline: Instant,
}

impl OnlineRequest {
    /// Returns the time after which a target that has not sent the head of an answer counts as silent.
    ///
    /// The head of a stream arrives before its first token. Any other head arrives only when the complete
    /// answer is finished, so it gets the timeout of the route.
    pub(crate) fn first_byte_timeout(&self, state: &DaemonState) -> Duration {
        if self.is_stream {
            state.settings.targets.first_byte_timeout()
        } else {
            self.route.timeout()
        }
    }

    /// Returns the properties that the retry policy depends on.
    pub(crate) fn traits(
        &self,
        state: &DaemonState,
        earlier_execution: Execution,
    ) -> RequestTraits {
        let engines = self.pool.kind == PoolKind::Engines;
        RequestTraits {
            is_repeatable: self.route.is_repeatable(),
            is_resumable: engines && !state.settings.targets.resume_header.is_empty(),
            deadline: self.deadline,
            max_attempts: state.settings.retries.attempts,
            earlier_execution,
        }
    }
}

/// Tracks a running request in the crash table; dropping it records that the run has ended.
pub(crate) struct CrashTracker {
    state: Arc<DaemonState>,
    fingerprint: u64,
}

impl CrashTracker {
    /// Starts tracking a request.
    ///
    /// Refuses a request that has crashed too many targets, and one that has crashed a target and is
    /// already running.
    fn begin(state: &Arc<DaemonState>, fingerprint: u64) -> Result<Self, Refusal> {
        let now = Instant::now();
        if lock(&state.crashes).begin(fingerprint, now) {
            return Ok(CrashTracker { state: state.clone(), fingerprint });
        }
        let crashes = lock(&state.crashes).crashes(fingerprint);
        if crashes < state.settings.retries.quarantine_after {
            let message =
                "the same request crashed a target and is already running; only one runs at a time";
            let refusal = Refusal::not_run(ResultCode::TargetsUnavailable, message);
            return Err(refusal.with_retry_after(Duration::from_secs(1)));
        }
        log::info!(fingerprint = fingerprint, decision = "quarantined"; "crash");
        let message = "this request crashed the targets that ran it and is quarantined for a while";
        Err(Refusal::not_run(ResultCode::RequestQuarantined, message))
    }

    /// Records that the target crashed while it ran the request, reports the crash count to other hosts,
    /// and waits until they have it or don't answer.
    ///
    /// The request is answered or retried only after that. Its caller may send it again through any host
    /// at once, and a host without the count would let it crash one more target.
    async fn record_crash(&self) {
        let crashes = lock(&self.state.crashes).record_crash(self.fingerprint, Instant::now());
        log::info!(fingerprint = self.fingerprint, crashes = crashes; "crash");
        let report =
            CrashReport { counts: vec![CrashCount { fingerprint: self.fingerprint, crashes }] };
        let peers = lock(&self.state.members).surviving_peers();
        // Tasks of their own: the reports are sent even if the caller closes its connection meanwhile.
        let reports = peers.into_iter().map(|address| {
            let (state, report) = (self.state.clone(), report.clone());
            self.state.metrics.count_peer_call("report-crash");
            tokio::spawn(async move { state.peers.report_crash(&address, report).await.is_some() })
        });
        let reports: Vec<JoinHandle<bool>> = reports.collect();
        let (all, results) = (reports.len(), join_all(reports).await);
        let received = results.into_iter().filter(|result| matches!(result, Ok(true))).count();
        if received < all {
            log::warn!(
                fingerprint = self.fingerprint, hosts = all, received = received;
                "crash-not-reported"
            );
        }
    }

    /// Records that the request ran to completion, which clears its crash count.
    pub(crate) fn record_success(&self) {
        lock(&self.state.crashes).record_success(self.fingerprint);
    }

    /// Returns the targets that the request should not run on while another one is eligible.
    ///
    /// For a request that has crashed a target, they are the targets on which other such requests run. If
    /// two of them ran on one target and it crashed, the crash would be counted against the harmless one
    /// too.
    fn excluded_targets(&self) -> Vec<Name> {
        let crashes = lock(&self.state.crashes);
        if crashes.crashes(self.fingerprint) > 0 { crashes.poison_targets() } else { Vec::new() }
    }

    /// Returns whether the request has crashed a target.
    pub(crate) fn has_crashed(&self) -> bool {
        lock(&self.state.crashes).crashes(self.fingerprint) > 0
    }

    /// Returns whether the request has crashed so many targets that it may not run any more.
    pub(crate) fn is_quarantined(&self) -> bool {
        lock(&self.state.crashes).remaining_quarantine(self.fingerprint, Instant::now()).is_some()
    }

    /// Records the target that the request is sent to.
    fn record_target(&self, target: &Name) {
        lock(&self.state.crashes).set_target(self.fingerprint, target);
    }

    /// Returns whether another attempt may start after a crash, and if so counts it as running.
    pub(crate) fn begin_retry(&self) -> bool {
        let mut crashes = lock(&self.state.crashes);
        crashes.end(self.fingerprint);
        crashes.begin(self.fingerprint, Instant::now())
    }
}

impl Drop for CrashTracker {
    fn drop(&mut self) {
        lock(&self.state.crashes).end(self.fingerprint);
    }
}

/// Runs a request and returns the response to its caller: for a stream as soon as the head of the answer
/// has arrived, otherwise when the answer is complete.
pub(crate) async fn dispatch_online(
    state: &Arc<DaemonState>,
    online: OnlineRequest,
) -> Result<Response, Refusal> {
    let crash_tracker = CrashTracker::begin(state, online.fingerprint)?;
    lock(&state.budget).earn();
    let started = Instant::now();
    let mut active = ActiveRequest::new(online, crash_tracker);
    let mut open = OpenAttempts::default();
    let mut next = next_response(state, &mut active, &mut open, false).await?;
    loop {
        let (lease, target_response) = next;
        let mut answer = TargetAnswer::new(state, lease, target_response);
        state.metrics.record_first_byte(started.elapsed().as_secs_f64());
        if active.online.is_stream && answer.is_event_stream() {
            return Ok(forward_stream(state.clone(), active, answer));
        }
        match read_full_body(state, &mut active, &mut open, &mut answer).await {
            Ok(body) => {
                active.crash_tracker.record_success();
                let mut response = Response::new(Body::from(body));
                *response.status_mut() = answer.response.status;
                *response.headers_mut() = end_to_end_headers(&answer.response.headers);
                return Ok(response);
            }
            Err(BodyError::KeyWithdrawn) => return Err(key_withdrawn_refusal()),
            Err(BodyError::Failed(failure)) => {
                drop(answer);
                next = next_response_after(state, &mut active, &mut open, failure).await?;
            }
        }
    }
}

/// Applies the retry policy to a failed attempt. Returns `Ok` if another attempt follows, otherwise the
/// refusal for the caller.
pub(crate) async fn handle_failure(
    state: &DaemonState,
    active: &mut ActiveRequest,
    failure: AttemptFailure,
) -> Result<(), Refusal> {
    if failure.is_crash {
        active.crash_tracker.record_crash().await;
    }
    let failure = active.with_progress(failure);
    let decision = decide_next_attempt(state, active, failure);
    active.earlier_execution = active.earlier_execution.max(execution_after(failure.stage));
    let decision_name = match decision {
        RetryDecision::Resend => "resend",
        RetryDecision::Resume { .. } => "resume",
        RetryDecision::GiveUp { .. } => "give-up",
    };
    let stage = format!("{:?}", failure.stage);
    log::info!(
        request = &*active.online.id, attempt = active.attempt, stage = stage.as_str(),
        decision = decision_name;
        "retry"
    );
    if let RetryDecision::GiveUp { code, execution } = decision {
        return Err(give_up_refusal(state, code, execution));
    }
    if failure.is_crash && !active.crash_tracker.begin_retry() {
        active.may_start = false;
        let message = "this request crashed the targets that ran it";
        return Err(Refusal::not_run(ResultCode::RequestQuarantined, message)
            .with_execution(Execution::Ran));
    }
    state.metrics.count_retry();
    Ok(())
}

/// Decides whether another attempt may start beside those on silent targets, which are not ended.
///
/// A request that crashed a target runs on one target at a time.
pub(crate) fn decide_beside_silence(state: &DaemonState, active: &mut ActiveRequest) -> bool {
    if active.crash_tracker.has_crashed() {
        return false;
    }
    let silence = AttemptFailure { stage: FailureStage::Sent, is_crash: false };
    let silence = active.with_progress(silence);
    decide_next_attempt(state, active, silence);
    if active.may_start {
        log::info!(request = &*active.online.id, attempt = active.attempt; "retry-beside-silence");
        state.metrics.count_retry();
    }
    active.may_start
}

/// Decides what follows a failure, and records whether another attempt may start. One that was allowed and
/// has not started yet is not taken from the retry budget again.
fn decide_next_attempt(
    state: &DaemonState,
    active: &mut ActiveRequest,
    failure: AttemptFailure,
) -> RetryDecision {
    let traits = active.online.traits(state, active.earlier_execution);
    let is_allowed = active.may_start;
    let may_retry = || is_allowed || lock(&state.budget).spend();
    let decision = decide_retry(&traits, failure, active.attempt, Instant::now(), may_retry);
    active.may_start = !matches!(decision, RetryDecision::GiveUp { .. });
    decision
}

/// Returns the refusal for a request that is not retried any more.
fn give_up_refusal(state: &DaemonState, code: ResultCode, execution: Execution) -> Refusal {
    let message = match execution {
        Execution::NotRun => "no target accepted the request",
        Execution::MayHaveRun => "the request was sent to a target, which did not answer",
        Execution::Ran => "the target failed while running the request",
    };
    let refusal = Refusal::not_run(code, message).with_execution(execution);
    match execution {
        Execution::NotRun => refusal.with_retry_after(lock(&state.budget).retry_after()),
        _ => refusal,
    }
}

/// Waits until a target has a free slot and acquires it for the next attempt.
pub(crate) async fn acquire_target(
    state: &Arc<DaemonState>,
    active: &mut ActiveRequest,
) -> Result<TargetLease, Refusal> {
    let online = &active.online;
    let specs = target_specs(&online.pool);
    if !lock(&state.targets).has_targets(&specs) {
        return Err(Refusal::not_run(ResultCode::TargetsUnavailable, "the pool has no targets")
            .with_retry_after(Duration::from_secs(1)));
    }
    let deadline = online.deadline.min(Instant::now() + state.settings.targets.queue_timeout());
    let mut waited = !state.queues.is_empty(&online.pool.name);
    if waited {
        wait_for_turn(state, &online.pool.name, &online.team.name, online.team.weight, deadline)
            .await?;
    }
    loop {
        let mut avoided = active.tried.clone();
        avoided.extend(active.crash_tracker.excluded_targets());
        if let Some(choice) = choose_target(state, online, &specs, &avoided) {
            let target = online.pool.targets[choice.index].clone();
            log::info!(
                request = &*online.id, team = &*online.team.name, route = &*online.route.name,
                pool = &*online.pool.name, target_name = &*target.name, attempt = active.attempt + 1,
                reason = choice.reason.as_str(), waited = waited;
                "route"
            );
            if online.pool.kind == PoolKind::Engines {
                state.batch.report_online(state, &target.name);
            }
            active.crash_tracker.record_target(&target.name);
            active.tried.push(target.name.clone());
            active.attempt += 1;
            active.may_start = false;
            return Ok(TargetLease::new(state, &online.pool.name, target, WorkKind::Online));
        }
        waited = true;
        wait_for_turn(state, &online.pool.name, &online.team.name, online.team.weight, deadline)
            .await?;
    }
}

/// Returns the headers of a target's answer without those that apply to its connection only.
fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in [CONNECTION, CONTENT_LENGTH, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        forwarded.remove(name);
    }
    forwarded
}

/// Chooses a target among those preferred for online work, or among all targets if no preferred one has a
/// free slot.
///
/// While batch jobs are open, online work is concentrated on a part of the engines.
fn choose_target(
    state: &DaemonState,
    online: &OnlineRequest,
    specs: &[TargetSpec],
    avoided: &[Name],
) -> Option<TargetChoice> {
    let now = Instant::now();
    let query = ChoiceQuery { prefix: online.prefix, avoided };
    let preferred = match online.pool.kind {
        PoolKind::Engines => state.batch.preferred_online_targets(state, &online.pool.name, specs),
        PoolKind::Services => None,
    };
    let mut random = lock(&state.random);
    let targets = lock(&state.targets);
    let preferred_choice = preferred.and_then(|preferred| {
        let choice = targets.choose(&preferred, query, random.as_mut(), now)?;
        let name = &preferred[choice.index].name;
        let index = specs.iter().position(|spec| spec.name == *name)?;
        Some(TargetChoice { index, ..choice })
    });
    preferred_choice.or_else(|| targets.choose(specs, query, random.as_mut(), now))
}

/// Returns the request for the next attempt. If tokens were forwarded, a header asks the engine to resume
/// the answer after them.
pub(crate) fn resumed_request(
    state: &DaemonState,
    request: &TargetRequest,
    delivered_tokens: usize,
) -> TargetRequest {
    let mut request = request.clone();
    let name = HeaderName::try_from(state.settings.targets.resume_header.as_str());
    if let (Ok(name), true) = (name, delivered_tokens > 0) {
        request.headers.insert(name, delivered_tokens.into());
    }
    request
}

/// Returns the failure of an answer that ended after `delivered_tokens` tokens were forwarded to the
/// caller.
pub(crate) fn partial_failure(delivered_tokens: usize, is_crash: bool) -> AttemptFailure {
    AttemptFailure { stage: FailureStage::Partial { events: delivered_tokens }, is_crash }
}
