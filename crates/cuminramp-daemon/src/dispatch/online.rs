//! An online request: attempts until there is an answer or it makes no more sense.

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
use http::HeaderMap;
use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use tokio::time::Instant;

use crate::dispatch::attempt::{AttemptResult, TargetLease, start_attempt};
use crate::dispatch::queue::wait_turn;
use crate::dispatch::relay::{BodyError, RelayJob, read_whole, relay_stream, withdrawn_refusal};
use crate::dispatch::target_specs;
use crate::interfaces::{TargetAnswer, TargetRequest};
use crate::state::{DaemonState, lock};

/// A request that was admitted and has its route.
pub(crate) struct OnlineRequest {
    pub(crate) id: Name,
    pub(crate) team: Team,
    pub(crate) key: KeyDigest,
    pub(crate) route: Route,
    pub(crate) pool: Pool,
    pub(crate) request: TargetRequest,
    /// A hash of the prompt's beginning, for engines.
    pub(crate) prefix: Option<u64>,
    /// Tells apart what targets work on, however it is asked for and whoever asks: a request that
    /// crashes targets does so streamed or whole.
    pub(crate) fingerprint: u64,
    pub(crate) is_stream: bool,
    pub(crate) deadline: Instant,
}

impl OnlineRequest {
    /// How long the head of an answer may take: that of a stream comes before its first token, any
    /// other comes when all is done.
    fn first_byte_wait(&self, state: &DaemonState) -> Duration {
        if self.is_stream {
            state.settings.targets.first_byte_timeout()
        } else {
            Duration::from_millis(self.route.timeout_ms.into())
        }
    }

    pub(crate) fn traits(&self, state: &DaemonState, earlier: Execution) -> RequestTraits {
        let engines = self.pool.kind == PoolKind::Engines;
        RequestTraits {
            is_repeatable: self.route.is_repeatable(),
            is_resumable: engines && !state.settings.targets.resume_header.is_empty(),
            deadline: self.deadline,
            max_attempts: state.settings.retries.attempts,
            earlier,
        }
    }
}

/// Takes part in the bookkeeping of crashes while a request runs.
pub(crate) struct CrashWatch {
    state: Arc<DaemonState>,
    fingerprint: u64,
}

impl CrashWatch {
    /// Begins, unless the request has crashed too many targets or is a suspect that runs elsewhere.
    fn begin(state: &Arc<DaemonState>, fingerprint: u64) -> Result<Self, Refusal> {
        let now = Instant::now();
        if lock(&state.crashes).begin(fingerprint, now) {
            return Ok(CrashWatch { state: state.clone(), fingerprint });
        }
        let crashes = lock(&state.crashes).crashes(fingerprint);
        if crashes < state.settings.retries.quarantine_after {
            let message = "the same request crashed a target and is being tried alone";
            let refusal = Refusal::not_run(ResultCode::TargetsUnavailable, message);
            return Err(refusal.with_retry_after(Duration::from_secs(1)));
        }
        log::info!(fingerprint = fingerprint, decision = "quarantined"; "crash");
        let message =
            "this request crashed the targets that ran it and is not run again for a while";
        Err(Refusal::not_run(ResultCode::RequestQuarantined, message))
    }

    /// The target died under the request: remembers it here and tells other hosts.
    pub(crate) fn note_crash(&self) {
        let crashes = lock(&self.state.crashes).on_crash(self.fingerprint, Instant::now());
        log::info!(fingerprint = self.fingerprint, crashes = crashes; "crash");
        let report =
            CrashReport { counts: vec![CrashCount { fingerprint: self.fingerprint, crashes }] };
        for address in lock(&self.state.members).usable_peers() {
            let (state, report) = (self.state.clone(), report.clone());
            self.state.metrics.count_peer_call("report-crash");
            tokio::spawn(async move { state.peers.report_crash(&address, report).await });
        }
    }

    /// The request ran to its end.
    pub(crate) fn note_success(&self) {
        lock(&self.state.crashes).on_success(self.fingerprint);
    }

    /// Targets to keep away from: for a suspect, those on which other suspects run.
    fn shunned_targets(&self) -> Vec<Name> {
        let crashes = lock(&self.state.crashes);
        if crashes.crashes(self.fingerprint) > 0 { crashes.suspect_targets() } else { Vec::new() }
    }

    /// The request goes to this target.
    fn place(&self, target: &Name) {
        lock(&self.state.crashes).place(self.fingerprint, target);
    }

    /// After a crash: whether another attempt may begin.
    pub(crate) fn begin_again(&self) -> bool {
        let mut crashes = lock(&self.state.crashes);
        crashes.end(self.fingerprint);
        crashes.begin(self.fingerprint, Instant::now())
    }
}

impl Drop for CrashWatch {
    fn drop(&mut self) {
        lock(&self.state.crashes).end(self.fingerprint);
    }
}

/// Runs a request to its answer; a stream is answered once its head is there.
pub(crate) async fn dispatch_online(
    state: &Arc<DaemonState>,
    online: OnlineRequest,
) -> Result<Response, Refusal> {
    let watch = CrashWatch::begin(state, online.fingerprint)?;
    lock(&state.budget).earn();
    let started = Instant::now();
    let mut job = RelayJob::new(online, watch);
    loop {
        let (lease, answer) = next_answer(state, &mut job).await?;
        state.metrics.note_first_byte(started.elapsed().as_secs_f64());
        if job.online.is_stream && is_event_stream(&answer.headers) {
            return Ok(relay_stream(state.clone(), job, lease, answer));
        }
        let (status, headers) = (answer.status, kept_headers(&answer.headers));
        match read_whole(state, &job, &lease, answer).await {
            Ok(body) => {
                job.watch.note_success();
                let mut response = Response::new(Body::from(body));
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                return Ok(response);
            }
            Err(BodyError::Withdrawn) => return Err(withdrawn_refusal()),
            Err(BodyError::Failed(failure)) => {
                drop(lease);
                decide_next(state, &mut job, failure)?;
            }
        }
    }
}

/// Attempts until the head of an answer is there, or the request is given up.
pub(crate) async fn next_answer(
    state: &Arc<DaemonState>,
    job: &mut RelayJob,
) -> Result<(TargetLease, TargetAnswer), Refusal> {
    loop {
        job.attempt += 1;
        let earlier = job.earlier;
        let lease = find_target(state, job).await.map_err(|refusal| {
            let execution = refusal.execution.max(earlier);
            refusal.with_execution(execution)
        })?;
        let request = job.next_request(state);
        let wait = job.online.first_byte_wait(state);
        match start_attempt(state, &lease, request, wait, job.online.deadline).await {
            AttemptResult::Answered(answer) => return Ok((lease, answer)),
            AttemptResult::Failed(failure) => {
                drop(lease);
                decide_next(state, job, failure)?;
            }
        }
    }
}

/// Decides what follows a failure: returns where another attempt follows.
pub(crate) fn decide_next(
    state: &DaemonState,
    job: &mut RelayJob,
    failure: AttemptFailure,
) -> Result<(), Refusal> {
    if failure.is_crash {
        job.watch.note_crash();
    }
    let traits = job.online.traits(state, job.earlier);
    let failure = job.with_progress(failure);
    job.earlier = job.earlier.max(execution_after(failure.stage));
    let now = Instant::now();
    let decision = decide_retry(&traits, failure, job.attempt, now, || lock(&state.budget).spend());
    let word = match decision {
        RetryDecision::Resend => "resend",
        RetryDecision::Resume { .. } => "resume",
        RetryDecision::GiveUp { .. } => "give-up",
    };
    let stage = format!("{:?}", failure.stage);
    log::info!(request = &*job.online.id, attempt = job.attempt, stage = stage.as_str(), decision = word; "retry");
    if let RetryDecision::GiveUp { code, execution } = decision {
        return Err(give_up(state, code, execution));
    }
    if failure.is_crash && !job.watch.begin_again() {
        let message = "this request crashed the targets that ran it";
        return Err(Refusal::not_run(ResultCode::RequestQuarantined, message)
            .with_execution(Execution::Ran));
    }
    state.metrics.count_retry();
    Ok(())
}

fn give_up(state: &DaemonState, code: ResultCode, execution: Execution) -> Refusal {
    let message = match execution {
        Execution::NotRun => "no target took the request",
        Execution::MayHaveRun => "the target was given the request and did not answer",
        Execution::Ran => "the target failed while it ran the request",
    };
    let refusal = Refusal::not_run(code, message).with_execution(execution);
    match execution {
        Execution::NotRun => refusal.with_retry_after(lock(&state.budget).pause()),
        _ => refusal,
    }
}

/// Waits for a target with room and takes a place on it.
async fn find_target(state: &Arc<DaemonState>, job: &mut RelayJob) -> Result<TargetLease, Refusal> {
    let online = &job.online;
    let specs = target_specs(&online.pool);
    if !lock(&state.targets).has_targets(&specs) {
        return Err(Refusal::not_run(ResultCode::TargetsUnavailable, "the pool has no targets")
            .with_retry_after(Duration::from_secs(1)));
    }
    let deadline = online.deadline.min(Instant::now() + state.settings.targets.queue_timeout());
    let mut waited = !state.queues.is_empty(&online.pool.name);
    if waited {
        wait_turn(state, &online.pool.name, &online.team.name, online.team.weight, deadline)
            .await?;
    }
    loop {
        let mut tried = job.tried.clone();
        tried.extend(job.watch.shunned_targets());
        if let Some(choice) = choose_target(state, online, &specs, &tried) {
            let target = online.pool.targets[choice.index].clone();
            log::info!(
                request = &*online.id, team = &*online.team.name, route = &*online.route.name,
                pool = &*online.pool.name, target_name = &*target.name, attempt = job.attempt,
                reason = choice.reason.as_str(), waited = waited;
                "route"
            );
            if online.pool.kind == PoolKind::Engines {
                state.batch.announce_online(state, &target.name);
            }
            job.watch.place(&target.name);
            job.tried.push(target.name.clone());
            return Ok(TargetLease::new(state, &online.pool.name, target, WorkKind::Online));
        }
        waited = true;
        wait_turn(state, &online.pool.name, &online.team.name, online.team.weight, deadline)
            .await?;
    }
}

/// The headers of a target's answer without those that belong to its connection.
fn kept_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in [CONNECTION, CONTENT_LENGTH, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        kept.remove(name);
    }
    kept
}

/// Chooses among the targets that online work keeps to, and among all where none of those has room.
fn choose_target(
    state: &DaemonState,
    online: &OnlineRequest,
    specs: &[TargetSpec],
    tried: &[Name],
) -> Option<TargetChoice> {
    let now = Instant::now();
    let query = ChoiceQuery { prefix: online.prefix, tried };
    let packed = match online.pool.kind {
        PoolKind::Engines => state.batch.pack_online(state, &online.pool.name, specs),
        PoolKind::Services => None,
    };
    let mut random = lock(&state.random);
    let targets = lock(&state.targets);
    let placed = packed.and_then(|packed| {
        let choice = targets.choose(&packed, query, random.as_mut(), now)?;
        let name = &packed[choice.index].name;
        let index = specs.iter().position(|spec| spec.name == *name)?;
        Some(TargetChoice { index, ..choice })
    });
    placed.or_else(|| targets.choose(specs, query, random.as_mut(), now))
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with("text/event-stream"))
}

/// The request for the next attempt, which goes on after what the caller has.
pub(crate) fn resumed_request(
    state: &DaemonState,
    request: &TargetRequest,
    tokens: usize,
) -> TargetRequest {
    let mut request = request.clone();
    let name = HeaderName::try_from(state.settings.targets.resume_header.as_str());
    if let (Ok(name), true) = (name, tokens > 0) {
        request.headers.insert(name, tokens.into());
    }
    request
}

/// A failure in the middle of an answer of which the caller has `tokens` tokens.
pub(crate) fn partial_failure(tokens: usize, is_crash: bool) -> AttemptFailure {
    AttemptFailure { stage: FailureStage::Partial { events: tokens }, is_crash }
}
