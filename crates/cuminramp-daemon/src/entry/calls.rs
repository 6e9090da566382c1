//! Calls to services other than engines, and requests that must not run twice.

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
use crate::entry::auth::{authenticate, check_exit, check_not_stopping};
use crate::entry::body::read_bounded;
use crate::entry::chat::{RequestAttributes, build_online_request, find_route, saved_answer};
use crate::entry::responses::respond;
use crate::interfaces::TargetRequest;
use crate::marks::{MarkDecision, MarkEnd, StartedMark, start_marked};
use crate::state::DaemonState;

/// Header with the key that distinguishes a retry from a new request.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Maximum length of an idempotency key, in characters.
const MAX_KEY_CHARS: usize = 256;

/// Handles a call to a service.
pub(crate) async fn call_service(
    State(state): State<Arc<DaemonState>>,
    request: Request,
) -> Response {
    let outcome = run_call(&state, request).await;
    respond(&state, outcome)
}

async fn run_call(state: &Arc<DaemonState>, request: Request) -> Result<Response, Refusal> {
    check_not_stopping(state)?;
    let (head, body) = request.into_parts();
    let caller = authenticate(state, &head.headers)?;
    let (route, pool) = find_route(state, RouteQuery::Path(head.uri.path()))?;
    let body = read_bounded(state, body, state.settings.limits.max_body_bytes).await?;
    check_exit(state, route.timeout())?;
    admit_request(state, &caller.team, request_cost(&caller.team, None)).await?;
    state.metrics.count_request(&route.name);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let target_request = TargetRequest {
        method: head.method,
        path,
        headers: forwarded_headers(&head.headers),
        body,
    };
    let attributes = RequestAttributes {
        prefix: None,
        fingerprint: target_request.content_hash(),
        is_stream: false,
    };
    let online = build_online_request(state, caller, route, pool, target_request, attributes);
    run_with_mark(state, online, &head.headers).await
}

/// Returns a caller's headers without its key and without those that apply to its connection only.
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
    let mut forwarded = headers.clone();
    for name in dropped {
        forwarded.remove(name);
    }
    forwarded
}

/// Runs a request.
///
/// If it must not run twice and has an idempotency key, a start mark is written to the table first: a row
/// which proves that the request was started. A retry receives the answer that was saved in the mark.
pub(crate) async fn run_with_mark(
    state: &Arc<DaemonState>,
    online: OnlineRequest,
    headers: &HeaderMap,
) -> Result<Response, Refusal> {
    let key = headers.get(IDEMPOTENCY_KEY).map(|value| value.to_str().unwrap_or_default());
    let Some(key) = key.filter(|_| !online.route.is_repeatable()) else {
        return dispatch_online(state, online).await;
    };
    if key.is_empty() || key.len() > MAX_KEY_CHARS {
        let message = format!("Idempotency-Key must have 1 to {MAX_KEY_CHARS} characters");
        return Err(Refusal::not_run(ResultCode::FieldInvalid, message));
    }
    match start_marked(state, &online.team.name, key, online.request.content_hash()).await? {
        MarkDecision::Answered(row) => Ok(saved_answer(row.status, &row.content_type, row.answer)),
        MarkDecision::Run(mark) => {
            // The request continues if its caller disconnects, since its outcome has to be written to the
            // mark.
            let shared = state.clone();
            let task = state.tasks.spawn(async move { run_started(&shared, online, mark).await });
            task.await.unwrap_or_else(|_| {
                let refusal =
                    Refusal::not_run(ResultCode::Internal, "the task that ran the request failed");
                Err(refusal.with_execution(Execution::MayHaveRun))
            })
        }
    }
}

/// Runs a marked request and writes its outcome to the mark.
async fn run_started(
    state: &Arc<DaemonState>,
    online: OnlineRequest,
    mark: StartedMark,
) -> Result<Response, Refusal> {
    match dispatch_online(state, online).await {
        Ok(response) => save_answer(state, response, mark).await,
        Err(refusal) => {
            let not_run = refusal.execution == Execution::NotRun;
            state
                .marks
                .finish(mark, if not_run { MarkEnd::NotRun } else { MarkEnd::AnswerNotStored });
            Err(refusal)
        }
    }
}

/// Saves an answer in the mark for a caller that retries.
///
/// Streams and answers that are larger than the limit of the settings are forwarded but not saved.
async fn save_answer(
    state: &DaemonState,
    response: Response,
    mark: StartedMark,
) -> Result<Response, Refusal> {
    let max_bytes = state.settings.marks.max_kept_bytes as u64;
    let size = http_body::Body::size_hint(response.body()).exact();
    if size.is_none_or(|size| size > max_bytes) {
        state.marks.finish(mark, MarkEnd::AnswerNotStored);
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
