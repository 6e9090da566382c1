//! One call of a caller: who makes it, what it is for, and whether it is admitted.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::{Name, Refusal, ResultCode};
use cuminramp_fleet::{FleetDeclarations, QuotaDecision, RouteKind, RouteRule, TeamRule};
use http::{Request, Response, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::{AnswerBody, refusal_response};
use crate::interfaces::{CallHead, CallerCall, CallerKey};
use crate::jobs::{JobCaller, accept_job, end_job, read_item, read_results};
use crate::online::{AdmittedRequest, RequestRecord, serve_request};
use crate::state::{GatewayState, lock};

/// Until the body of a request is whole; callers send theirs at once.
const BODY_LIMIT: Duration = Duration::from_secs(5);
/// A caller refused for want of declarations comes back after so long: a host reads them within a
/// few hundred milliseconds of its start.
const START_PAUSE: Duration = Duration::from_millis(300);
/// The longest Retry-After of a team above its rate.
const LONGEST_RATE_PAUSE: Duration = Duration::from_millis(1_500);

/// Part of the objective that a request may wait for room in its team's rate; callers should know
/// within a quarter of it that they have to come back.
const RATE_WAIT_SHARE: f64 = 0.2;
/// The least such wait.
const LEAST_RATE_WAIT: Duration = Duration::from_millis(2);
/// A caller that has less of its usual time left has been here before.
const AGAIN_SHARE: f64 = 0.985;

/// Answers one call.
pub(crate) async fn answer_call(
    state: &Arc<GatewayState>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    let head = state.calls.read_head(&parts);
    match dispatch(state, parts, &head, body).await {
        Ok(response) => response,
        Err(refusal) => refusal_response(state, &refusal),
    }
}

/// Logs a call that ended before it reached a route.
fn log_refusal(head: &CallHead, route: Option<&RouteRule>, version: u64, refusal: &Refusal) {
    log::info!(
        request_id = head.request_id.as_deref().unwrap_or("-"), host = &*head.host,
        route = route.map_or("-", |route| &*route.name), declarations = version,
        code = refusal.code.number(), name = refusal.code.name(),
        execution = refusal.execution.as_str(),
        retry_after_ms = refusal.retry_after.map_or(0, |after| after.as_millis() as u64),
        reason = refusal.message.as_str();
        "call-refused"
    );
}

/// Logs a call about a job that failed. Such calls mostly have no identity of their own; without the
/// job's, a caller's complaint about it would find no line.
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

async fn dispatch(
    state: &Arc<GatewayState>,
    parts: request::Parts,
    head: &CallHead,
    body: Incoming,
) -> Result<Response<AnswerBody>, Refusal> {
    let Some(declared) = state.declared() else {
        let refusal =
            Refusal::not_run(ResultCode::ConfigurationUnknown, "no declarations are known yet")
                .with_retry_after(START_PAUSE);
        log_refusal(head, None, 0, &refusal);
        return Err(refusal);
    };
    let version = declared.version();
    let call = state.calls.read_call(&parts);
    if call != CallerCall::Request {
        let job = call.job().cloned();
        let outcome = answer_job_call(state, &declared, head, call).await;
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
    hold_to_rate(state, head, &route, team.as_ref(), version).await?;
    let request = admit(state, parts, head, body, route, team.as_ref(), version)?;
    let record = RequestRecord::new(
        state,
        head.request_id.as_ref(),
        &request.route.name,
        request.team.as_ref(),
        version,
    );
    serve_request(state.clone(), request, record).await
}

/// Holds a request to its team's rate. Where room comes within a moment it waits for it: a refusal
/// would cost the caller far more.
async fn hold_to_rate(
    state: &Arc<GatewayState>,
    head: &CallHead,
    route: &RouteRule,
    team: Option<&TeamRule>,
    version: u64,
) -> Result<(), Refusal> {
    let Some(team) = team else { return Ok(()) };
    let is_retry = is_retry(head, route);
    let until = Instant::now() + route.objective.mul_f64(RATE_WAIT_SHARE);
    loop {
        let now = Instant::now();
        let decision = lock(&state.quota).admit(&team.name, is_retry, now);
        let QuotaDecision::Exceeded(after) = decision else {
            state.request_heartbeat();
            return Ok(());
        };
        if now + after < until {
            tokio::time::sleep(after.max(LEAST_RATE_WAIT)).await;
            continue;
        }
        let back = lock(&state.quota).retry_after(&team.name, now).min(LONGEST_RATE_PAUSE);
        let reason =
            format!("team {} is above its rate, room in {} ms", team.name, after.as_millis());
        let refusal = Refusal::not_run(ResultCode::RateExceeded, reason).with_retry_after(back);
        log_refusal(head, Some(route), version, &refusal);
        return Err(refusal);
    }
}

/// Whether a caller has been refused before: it has less of its usual time left.
pub(crate) fn is_retry(head: &CallHead, route: &RouteRule) -> bool {
    let usual = route.timeout.as_secs_f64() * AGAIN_SHARE;
    head.deadline.is_some_and(|left| left.as_secs_f64() < usual)
}

/// Chooses the pool of a request.
fn admit(
    state: &Arc<GatewayState>,
    parts: request::Parts,
    head: &CallHead,
    body: Bytes,
    route: RouteRule,
    team: Option<&TeamRule>,
    version: u64,
) -> Result<AdmittedRequest, Refusal> {
    let Some(pool) = route.pick_pool(state.draw(usize::MAX >> 1) as u64).cloned() else {
        let refusal = Refusal::not_run(ResultCode::TargetsUnavailable, "the route has no pool");
        log_refusal(head, Some(&route), version, &refusal);
        return Err(refusal);
    };
    let team_homes = team.map_or(&[][..], |team| &team.homes);
    let zones = state.regions.limit(&route.homes, team_homes);
    let team = team.map(|team| team.name.clone());
    Ok(AdmittedRequest { parts, head: head.clone(), body, route, team, pool, zones })
}

/// The team of a call; `None` where none is needed and no known key came.
fn find_team<'a>(
    declared: &'a FleetDeclarations,
    head: &CallHead,
    is_public: bool,
) -> Result<Option<&'a TeamRule>, Refusal> {
    let is_open = is_public || !declared.has_teams();
    match &head.key {
        CallerKey::Ambiguous => {
            Err(Refusal::not_run(ResultCode::FieldInvalid, "more than one key came"))
        }
        CallerKey::Missing if is_open => Ok(None),
        CallerKey::Missing => Err(Refusal::not_run(ResultCode::KeyMissing, "no key came")),
        CallerKey::Given(key) => match declared.find_team(key) {
            Some(team) => Ok(Some(team)),
            None if is_open => Ok(None),
            None => Err(Refusal::not_run(ResultCode::KeyUnknown, "the key is not known")),
        },
    }
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let collecting = Limited::new(body, limit).collect();
    match tokio::time::timeout(BODY_LIMIT, collecting).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Refusal::not_run(ResultCode::BodyTooLarge, "the body is too large"))
        }
        Ok(Err(error)) => Err(Refusal::not_run(ResultCode::BodyMalformed, error.to_string())),
        Err(_) => Err(Refusal::not_run(ResultCode::BodyTimeout, "the body came too slowly")),
    }
}

async fn answer_job_call(
    state: &Arc<GatewayState>,
    declared: &FleetDeclarations,
    head: &CallHead,
    call: CallerCall,
) -> Result<Response<AnswerBody>, Refusal> {
    let team = find_team(declared, head, false)?;
    let team: Name = team.map_or_else(|| "".into(), |team| team.name.clone());
    let caller = JobCaller { team, head: head.clone() };
    match call {
        CallerCall::ReadResults { job, after, wait } => {
            read_results(state, &caller, &job, after, wait).await
        }
        CallerCall::ReadItem { job, item } => read_item(state, &caller, &job, &item).await,
        CallerCall::EndJob { job } => end_job(state, &caller, &job).await,
        CallerCall::Request => Err(Refusal::not_run(ResultCode::EndpointUnknown, "no such call")),
    }
}
