//! Handles one call: authenticates its team, finds its route, and admits or refuses it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::{Name, Refusal, ResultCode};
use cuminramp_fleet::{
    AttemptKind, FleetDeclarations, QuotaDecision, RouteKind, RouteRule, StartWait, TeamRule,
};
use http::{Request, Response, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use super::{ResponseBody, refusal_response};
use crate::interfaces::{CallHead, CallerKey, CallerOperation};
use crate::jobs::{JobCaller, accept_job, end_job, read_item, read_results};
use crate::online::{AdmittedRequest, RequestRecord, check_exit, serve_request, time_allowed};
use crate::readers::CallerReader;
use crate::state::GatewayState;
use crate::tokens::{acquire_token, limits_retries};

/// Timeout for receiving the complete body of a request. Callers send it right after the head.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Retry-After of a call that is refused because no declarations are known yet. A host reads them within a
/// few hundred milliseconds of its start.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Maximum time that a call waits for declarations: no longer than the caller would be told to.
const MAX_DECLARATIONS_WAIT: Duration = STARTUP_RETRY_AFTER;
/// Maximum Retry-After for a team above its rate.
const MAX_RATE_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// Maximum time from the first attempt of a caller to its scheduled retry: the maximum Retry-After and the
/// time to connect again.
const MAX_SCHEDULED_RETURN: Duration = Duration::from_millis(1_600);

/// Share of the route's objective that a request may wait for its team's rate. A caller should receive a
/// refusal within a quarter of the objective.
const RATE_WAIT_SHARE: f64 = 0.2;
/// Minimum wait before the quota is asked again to admit a request.
const MIN_RATE_WAIT: Duration = Duration::from_millis(2);
/// Share of the route's timeout. A call with less time left until its deadline counts as a retry.
const RETRY_DEADLINE_SHARE: f64 = 0.985;

/// Handles one call and returns its response.
pub(crate) async fn answer_call(
    state: &Arc<GatewayState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let head = state.call_format.read_head(&parts);
    match dispatch(state, parts, &head, body).await {
        Ok(response) => response,
        Err(refusal) => refusal_response(state, &refusal),
    }
}

/// Writes the log line of a call that was refused before it was passed to its route's handler, with more keys
/// for teams above their rates.
macro_rules! log_call_refusal {
    ($head:ident, $route:expr, $version:ident, $refusal:ident $(, $key:ident = $value:expr)*) => {
        log::info!(
            request_id = $head.request_id.as_deref().unwrap_or("-"), host = &*$head.host,
            route = $route, declarations = $version,
            code = $refusal.code.number(), name = $refusal.code.name(),
            execution = $refusal.execution.as_str(),
            retry_after_ms = $refusal.retry_after.map_or(0, |after| after.as_millis() as u64),
            reason = $refusal.message.as_str()
            $(, $key = $value)*;
            "call-refused"
        )
    };
}

/// Logs a call that was refused before it was passed to its route's handler.
fn log_refusal(head: &CallHead, route: Option<&RouteRule>, version: u64, refusal: &Refusal) {
    log_call_refusal!(head, route.map_or("-", |route| &*route.name), version, refusal);
}

/// Returns the value of `reason_kind` for a team above its rate where retries are limited. A retry after more
/// than [`MAX_RATE_RETRY_AFTER`] counts as one that no token is expected for.
fn rate_reason_kind(wait: Duration) -> &'static str {
    if wait > MAX_RATE_RETRY_AFTER { "rate-no-token-expected" } else { "rate" }
}

/// Logs a refused call about a job. Most calls about jobs have no request ID, so that a caller's
/// complaint can only be traced by the job's ID.
fn log_job_refusal(head: &CallHead, job: Option<Name>, version: u64, refusal: &Refusal) {
    log::info!(
        job = job.as_deref().unwrap_or("-"),
        request_id = head.request_id.as_deref().unwrap_or("-"), host = &*head.host,
        declarations = version, code = refusal.code.number(), name = refusal.code.name(),
        execution = refusal.execution.as_str(),
        retry_after_ms = refusal.retry_after.map_or(0, |after| after.as_millis() as u64),
        reason = refusal.message.as_str();
        "job-call-refused"
    );
}

/// Returns the declarations in force. Right after a start, waits for them.
async fn await_declarations(state: &GatewayState) -> Option<Arc<FleetDeclarations>> {
    let wait = StartWait {
        uptime: state.started_at.elapsed(),
        waited: Duration::ZERO,
        max_wait: MAX_DECLARATIONS_WAIT,
    };
    if state.current_declarations().is_none() && wait.should_wait() {
        let mut known = state.has_declarations.subscribe();
        let _ = timeout(MAX_DECLARATIONS_WAIT, known.wait_for(|is_known| *is_known)).await;
    }
    state.current_declarations()
}

/// Passes a call about a job, a new job or an online request to its handler.
async fn dispatch(
    state: &Arc<GatewayState>,
    parts: request::Parts,
    head: &CallHead,
    body: Incoming,
) -> Result<Response<ResponseBody>, Refusal> {
    let arrived_at = Instant::now();
    let Some(declared) = await_declarations(state).await else {
        let refusal =
            Refusal::not_run(ResultCode::ConfigurationUnknown, "no declarations are known yet")
                .with_retry_after(STARTUP_RETRY_AFTER);
        log_refusal(head, None, 0, &refusal);
        return Err(refusal);
    };
    let version = declared.version();
    let operation = state.call_format.read_operation(&parts);
    if operation != CallerOperation::Request {
        let job = operation.job().cloned();
        let outcome = answer_job_call(state, &declared, head, operation).await;
        return outcome.inspect_err(|refusal| log_job_refusal(head, job, version, refusal));
    }
    let path = parts.uri.path();
    let Some(route) = declared.find_route(&head.host, path).cloned() else {
        let refusal = Refusal::not_run(ResultCode::RouteUnknown, "no route matches");
        log_refusal(head, None, version, &refusal);
        return Err(refusal);
    };
    let team = find_team(&declared, head, route.is_public);
    let team = team.inspect_err(|refusal| log_refusal(head, Some(&route), version, refusal))?;
    let limit = declared.limits().body_bytes;
    let body = read_body(body, limit)
        .await
        .inspect_err(|refusal| log_refusal(head, Some(&route), version, refusal))?;
    let team = team.cloned();
    if route.kind == RouteKind::Batch {
        let Some(team) = team else {
            return Err(Refusal::not_run(ResultCode::KeyMissing, "a job needs a key"));
        };
        let caller = JobCaller { team: team.name, head: head.clone() };
        return accept_job(state, &route, caller, body, version).await;
    }
    // Before the request takes one of its team's tokens.
    check_exit(state, &route.name, arrived_at + time_allowed(head, &route))
        .inspect_err(|refusal| log_refusal(head, Some(&route), version, refusal))?;
    enforce_rate(state, head, &route, team.as_ref(), version).await?;
    let request = admit(state, parts, head, body, route, team.as_ref(), version)?;
    let mut record = RequestRecord::new(
        state,
        arrived_at,
        head.request_id.as_ref(),
        &request.route.name,
        request.team.as_ref(),
        version,
    );
    let reader = request.parts.extensions.get::<Arc<CallerReader>>().cloned();
    if let Some(reader) = reader {
        reader.set_tag(head.request_id.as_ref(), request.team.as_ref(), &request.route);
        record.watch_reader(reader);
    }
    serve_request(state.clone(), request, record).await
}

/// Enforces the rate of a request's team. If the rate admits the request shortly, this waits instead of
/// refusing: a refusal would delay the caller far longer.
async fn enforce_rate(
    state: &Arc<GatewayState>,
    head: &CallHead,
    route: &RouteRule,
    team: Option<&TeamRule>,
    version: u64,
) -> Result<(), Refusal> {
    let Some(team) = team else { return Ok(()) };
    let attempt = attempt_kind(state, head, route);
    let until = Instant::now() + route.objective.mul_f64(RATE_WAIT_SHARE);
    loop {
        let now = Instant::now();
        let decision = acquire_token(state, &team.name, attempt).await;
        let QuotaDecision::Exceeded(wait) = decision else {
            state.request_heartbeat();
            return Ok(());
        };
        if now + wait < until {
            tokio::time::sleep(wait.max(MIN_RATE_WAIT)).await;
            continue;
        }
        // A longer wait says that no token is expected for the caller's retry.
        let limits_retries = limits_retries(state);
        let max_retry_after = if limits_retries { route.timeout } else { MAX_RATE_RETRY_AFTER };
        let reason =
            format!("team {} is above its rate for another {} ms", team.name, wait.as_millis());
        let refusal = Refusal::not_run(ResultCode::RateExceeded, reason)
            .with_retry_after(wait.min(max_retry_after));
        if limits_retries {
            log_call_refusal!(
                head,
                &*route.name,
                version,
                refusal,
                team = &*team.name,
                reason_kind = rate_reason_kind(wait)
            );
        } else {
            log_refusal(head, Some(route), version, &refusal);
        }
        return Err(refusal);
    }
}

/// Returns which attempt of its caller a call is.
fn attempt_kind(state: &GatewayState, head: &CallHead, route: &RouteRule) -> AttemptKind {
    if !is_retry(head, route) {
        return AttemptKind::First;
    }
    let elapsed = head.deadline.map_or(Duration::ZERO, |left| route.timeout.saturating_sub(left));
    if limits_retries(state) && elapsed > MAX_SCHEDULED_RETURN {
        AttemptKind::UnscheduledRetry
    } else {
        AttemptKind::Retry
    }
}

/// Returns whether a call repeats one that was refused: a retry has noticeably less time left until its
/// deadline than the route's timeout.
pub(crate) fn is_retry(head: &CallHead, route: &RouteRule) -> bool {
    let threshold = route.timeout.as_secs_f64() * RETRY_DEADLINE_SHARE;
    head.deadline.is_some_and(|left| left.as_secs_f64() < threshold)
}

/// Returns an admitted request with its pool and the zones it may run in.
fn admit(
    state: &Arc<GatewayState>,
    parts: request::Parts,
    head: &CallHead,
    body: Bytes,
    route: RouteRule,
    team: Option<&TeamRule>,
    version: u64,
) -> Result<AdmittedRequest, Refusal> {
    let Some(pool) = route.pick_pool(state.random_below(usize::MAX >> 1) as u64).cloned() else {
        let refusal = Refusal::not_run(ResultCode::TargetsUnavailable, "the route has no pool");
        log_refusal(head, Some(&route), version, &refusal);
        return Err(refusal);
    };
    let team_home_regions = team.map_or(&[][..], |team| &team.home_regions);
    let zones = state.regions.limit(&route.home_regions, team_home_regions);
    let team = team.map(|team| team.name.clone());
    Ok(AdmittedRequest { parts, head: head.clone(), body, route, team, pool, zones })
}

/// Returns the team of a call, or `None` if the call needs no key and has no known one.
fn find_team<'a>(
    declared: &'a FleetDeclarations,
    head: &CallHead,
    is_public: bool,
) -> Result<Option<&'a TeamRule>, Refusal> {
    let is_key_optional = is_public || !declared.has_teams();
    match &head.key {
        CallerKey::Ambiguous => {
            Err(Refusal::not_run(ResultCode::FieldInvalid, "more than one key was sent"))
        }
        CallerKey::Missing if is_key_optional => Ok(None),
        CallerKey::Missing => Err(Refusal::not_run(ResultCode::KeyMissing, "no key was sent")),
        CallerKey::Present(key) => match declared.find_team(key) {
            Some(team) => Ok(Some(team)),
            None if is_key_optional => Ok(None),
            None => Err(Refusal::not_run(ResultCode::KeyUnknown, "the key is unknown")),
        },
    }
}

/// Reads the body of a request, up to `limit` bytes and within [`BODY_TIMEOUT`].
async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let collecting = Limited::new(body, limit).collect();
    match tokio::time::timeout(BODY_TIMEOUT, collecting).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Refusal::not_run(ResultCode::BodyTooLarge, "the body is too large"))
        }
        Ok(Err(error)) => Err(Refusal::not_run(ResultCode::BodyMalformed, error.to_string())),
        Err(_) => Err(Refusal::not_run(ResultCode::BodyTimeout, "timed out reading the body")),
    }
}

/// Handles a call that reads or ends an existing job.
async fn answer_job_call(
    state: &Arc<GatewayState>,
    declared: &FleetDeclarations,
    head: &CallHead,
    operation: CallerOperation,
) -> Result<Response<ResponseBody>, Refusal> {
    let team = find_team(declared, head, false)?;
    let team: Name = team.map_or_else(|| "".into(), |team| team.name.clone());
    let caller = JobCaller { team, head: head.clone() };
    match operation {
        CallerOperation::ReadResults { job, from, wait } => {
            read_results(state, &caller, &job, from, wait).await
        }
        CallerOperation::ReadItem { job, item } => read_item(state, &caller, &job, &item).await,
        CallerOperation::CancelJob { job } => end_job(state, &caller, &job).await,
        CallerOperation::Request => {
            Err(Refusal::not_run(ResultCode::EndpointUnknown, "not a job call"))
        }
    }
}
