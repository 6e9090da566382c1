//! Chat completions and the list of models.

use std::sync::Arc;

use axum::Json;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use cuminramp_core::{Name, Refusal, ResultCode, hash_parts};
use cuminramp_routes::{Pool, Route, RouteQuery};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::admission::{admit_request, request_cost};
use crate::dispatch::OnlineRequest;
use crate::entry::auth::{AuthenticatedCaller, authenticate, check_exit, check_not_stopping};
use crate::entry::body::read_bounded;
use crate::entry::calls::run_with_mark;
use crate::entry::responses::respond;
use crate::interfaces::TargetRequest;
use crate::state::DaemonState;

/// Path of the chat completions endpoint on engines.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Fields of a chat request that the daemon reads. The engine receives the body unchanged.
#[derive(Deserialize)]
struct ChatFields {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    messages: Vec<Value>,
}

/// Handles a chat request.
pub(crate) async fn complete_chat(
    State(state): State<Arc<DaemonState>>,
    request: Request,
) -> Response {
    let outcome = run_chat(&state, request).await;
    respond(&state, outcome)
}

async fn run_chat(state: &Arc<DaemonState>, request: Request) -> Result<Response, Refusal> {
    check_not_stopping(state)?;
    let (head, body) = request.into_parts();
    let caller = authenticate(state, &head.headers)?;
    let body = read_bounded(state, body, state.settings.limits.max_body_bytes).await?;
    let fields = read_fields(&body)?;
    let (route, pool) = find_route(state, RouteQuery::Model(&fields.model))?;
    check_exit(state, route.timeout())?;
    let max_tokens = fields.max_completion_tokens.or(fields.max_tokens);
    admit_request(state, &caller.team, request_cost(&caller.team, max_tokens)).await?;
    state.metrics.count_request(&route.name);
    let attributes = RequestAttributes {
        prefix: prefix_hash(state, &fields),
        fingerprint: prompt_hash(&fields),
        is_stream: fields.stream,
    };
    let online = build_online_request(state, caller, route, pool, chat_request(body), attributes);
    run_with_mark(state, online, &head.headers).await
}

/// Parses the fields of a chat request. Refuses a request without messages.
fn read_fields(body: &[u8]) -> Result<ChatFields, Refusal> {
    let fields: ChatFields = serde_json::from_slice(body)
        .map_err(|error| Refusal::not_run(ResultCode::BodyMalformed, error.to_string()))?;
    if fields.messages.is_empty() {
        return Err(Refusal::not_run(ResultCode::FieldInvalid, "messages is empty"));
    }
    Ok(fields)
}

/// Returns the request for an engine. It has none of the caller's headers, so the engine doesn't receive
/// the key.
pub(crate) fn chat_request(body: Bytes) -> TargetRequest {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    TargetRequest { method: Method::POST, path: CHAT_PATH.into(), headers, body }
}

/// Returns a hash of the beginning of the prompt. Requests that share it should run on one engine, which
/// then reuses its prefix cache.
fn prefix_hash(state: &DaemonState, fields: &ChatFields) -> Option<u64> {
    let first = fields.messages.first()?.get("content")?.as_str()?;
    let prefix_chars = state.settings.targets.prefix_chars;
    let end = first.char_indices().nth(prefix_chars).map_or(first.len(), |(index, _)| index);
    Some(hash_parts(&[&fields.model, &first[..end]]))
}

/// Returns the route for a query and the pool of the route.
pub(crate) fn find_route(
    state: &DaemonState,
    query: RouteQuery<'_>,
) -> Result<(Route, Pool), Refusal> {
    let in_force = state.configuration.in_force();
    let configuration = &in_force.configuration;
    let found = in_force.index.find(configuration, query);
    let found = found.and_then(|route| Some((route, configuration.pools.get(&*route.pool)?)));
    match found {
        Some((route, pool)) => Ok((route.clone(), pool.clone())),
        None => {
            let message = match query {
                RouteQuery::Model(model) => format!("no route serves the model {model:?}"),
                RouteQuery::Path(path) => format!("no route serves the path {path:?}"),
            };
            Err(Refusal::not_run(ResultCode::RouteUnknown, message))
        }
    }
}

/// Returns a hash of the complete prompt.
fn prompt_hash(fields: &ChatFields) -> u64 {
    let messages: Vec<String> = fields.messages.iter().map(|message| message.to_string()).collect();
    let parts: Vec<&str> = messages.iter().map(String::as_str).collect();
    hash_parts(&parts)
}

/// Properties of a request for the choice of a target and for crash counting.
pub(crate) struct RequestAttributes {
    /// Hash of the beginning of the prompt.
    pub(crate) prefix: Option<u64>,
    /// Hash of the work, by which crashes are counted.
    pub(crate) fingerprint: u64,
    pub(crate) is_stream: bool,
}

/// Builds an online request from an admitted request. Its deadline is the timeout of the route from now.
pub(crate) fn build_online_request(
    state: &DaemonState,
    caller: AuthenticatedCaller,
    route: Route,
    pool: Pool,
    request: TargetRequest,
    attributes: RequestAttributes,
) -> OnlineRequest {
    let deadline = Instant::now() + route.timeout();
    let id: Name = format!("{:x}-{}", state.me.id.incarnation, state.next_number()).into();
    let (team, key) = (caller.team, caller.key);
    let RequestAttributes { prefix, fingerprint, is_stream } = attributes;
    OnlineRequest { id, team, key, route, pool, request, prefix, fingerprint, is_stream, deadline }
}

/// Handles a request for the list of models that have a route.
pub(crate) async fn list_models(
    State(state): State<Arc<DaemonState>>,
    _: AuthenticatedCaller,
) -> Json<Value> {
    let in_force = state.configuration.in_force();
    let models = in_force.index.models();
    let data: Vec<Value> = models
        .map(|model| json!({"id": &**model, "object": "model", "created": 0, "owned_by": "cuminramp"}))
        .collect();
    Json(json!({"object": "list", "data": data}))
}

/// Returns the response for an answer that was saved in a mark.
pub(crate) fn saved_answer(status: u32, content_type: &str, body: Vec<u8>) -> Response {
    let mut response = Body::from(body).into_response();
    let status = u16::try_from(status).ok();
    if let Some(status) = status.and_then(|status| http::StatusCode::from_u16(status).ok()) {
        *response.status_mut() = status;
    }
    if let Ok(content_type) = HeaderValue::try_from(content_type) {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}
