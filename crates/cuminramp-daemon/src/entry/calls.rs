//! Calls to plain services, and requests that may not be repeated.

use std::sync::Arc;

use axum::extract::{Request, State};
use axum::response::Response;
use cuminramp_core::{Execution, Refusal, ResultCode};
use cuminramp_routes::RouteQuery;
use http::HeaderMap;
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http_body_util::BodyExt;

use crate::admission::{admit_request, request_cost};
use crate::dispatch::{OnlineRequest, dispatch_online};
use crate::entry::answers::answer;
use crate::entry::auth::{authenticate, check_ready};
use crate::entry::body::read_bounded;
use crate::entry::chat::{WorkTraits, find_route, kept_answer, make_online};
use crate::interfaces::TargetRequest;
use crate::marks::{MarkDecision, MarkEnd, StartedMark, begin_marked};
use crate::state::DaemonState;

/// The header by which a caller tells a resend from a new request.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The longest such key.
const MOST_KEY_CHARS: usize = 256;

/// Answers a call to a plain service.
pub(crate) async fn call_service(
    State(state): State<Arc<DaemonState>>,
    request: Request,
) -> Response {
    let outcome = run_call(&state, request).await;
    answer(&state, outcome)
}

async fn run_call(state: &Arc<DaemonState>, request: Request) -> Result<Response, Refusal> {
    check_ready(state)?;
    let (head, body) = request.into_parts();
    let caller = authenticate(state, &head.headers)?;
    let (route, pool) = find_route(state, RouteQuery::Path(head.uri.path()))?;
    let body = read_bounded(state, body, state.settings.limits.max_body_bytes).await?;
    admit_request(state, &caller.team, request_cost(&caller.team, None)).await?;
    state.metrics.count_request(&route.name);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let target_request = TargetRequest {
        method: head.method,
        path,
        headers: forwarded_headers(&head.headers),
        body,
    };
    let traits =
        WorkTraits { prefix: None, fingerprint: target_request.content_hash(), is_stream: false };
    let online = make_online(state, caller, route, pool, target_request, traits);
    run_marked(state, online, &head.headers).await
}

/// A caller's headers without its key and without those that belong to its connection.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let dropped = [
        AUTHORIZATION,
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        HOST,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    let mut kept = headers.clone();
    for name in dropped {
        kept.remove(name);
    }
    kept
}

/// Runs a request, under a start mark where it may not be repeated and its caller named it.
pub(crate) async fn run_marked(
    state: &Arc<DaemonState>,
    online: OnlineRequest,
    headers: &HeaderMap,
) -> Result<Response, Refusal> {
    let key = headers.get(IDEMPOTENCY_KEY).map(|value| value.to_str().unwrap_or_default());
    let Some(key) = key.filter(|_| !online.route.is_repeatable()) else {
        return dispatch_online(state, online).await;
    };
    if key.is_empty() || key.len() > MOST_KEY_CHARS {
        let message = format!("Idempotency-Key must have 1 to {MOST_KEY_CHARS} characters");
        return Err(Refusal::not_run(ResultCode::FieldInvalid, message));
    }
    match begin_marked(state, &online.team.name, key, online.request.content_hash()).await? {
        MarkDecision::Answered(row) => Ok(kept_answer(row.status, &row.content_type, row.answer)),
        MarkDecision::Run(mark) => {
            // The caller may go away; the request goes on, and its end has to be written.
            let owned = state.clone();
            let running = state.tasks.spawn(async move { run_started(&owned, online, mark).await });
            running.await.unwrap_or_else(|_| {
                let refusal = Refusal::not_run(ResultCode::Internal, "the request broke off");
                Err(refusal.with_execution(Execution::MayHaveRun))
            })
        }
    }
}

async fn run_started(
    state: &Arc<DaemonState>,
    online: OnlineRequest,
    mark: StartedMark,
) -> Result<Response, Refusal> {
    match dispatch_online(state, online).await {
        Ok(response) => keep_answer(state, response, mark).await,
        Err(refusal) => {
            let not_run = refusal.execution == Execution::NotRun;
            state.marks.finish(mark, if not_run { MarkEnd::NotRun } else { MarkEnd::Unkept });
            Err(refusal)
        }
    }
}

/// Keeps a small whole answer for a caller who asks again; a stream is passed on and not kept.
async fn keep_answer(
    state: &DaemonState,
    response: Response,
    mark: StartedMark,
) -> Result<Response, Refusal> {
    let most = state.settings.marks.max_kept_bytes as u64;
    let size = http_body::Body::size_hint(response.body()).exact();
    if size.is_none_or(|size| size > most) {
        state.marks.finish(mark, MarkEnd::Unkept);
        return Ok(response);
    }
    let (head, body) = response.into_parts();
    let bytes = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let content_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    state.marks.finish(
        mark,
        MarkEnd::Answered {
            status: head.status.as_u16().into(),
            content_type: content_type.unwrap_or_default().to_owned(),
            answer: bytes.to_vec(),
        },
    );
    Ok(Response::from_parts(head, bytes.into()))
}
