//! Chat completions and the list of models.

use std::sync::Arc;
use std::time::Duration;

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
use crate::entry::answers::answer;
use crate::entry::auth::{KnownCaller, authenticate, check_ready};
use crate::entry::body::read_bounded;
use crate::entry::calls::run_marked;
use crate::interfaces::TargetRequest;
use crate::state::DaemonState;

/// The path of the same endpoint on engines.
const CHAT_PATH: &str = "/v1/chat/completions";

/// What the daemon reads of a chat request; the rest goes to the engine as it came.
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

/// Answers a chat request.
pub(crate) async fn complete_chat(
    State(state): State<Arc<DaemonState>>,
    request: Request,
) -> Response {
    let outcome = run_chat(&state, request).await;
    answer(&state, outcome)
}

async fn run_chat(state: &Arc<DaemonState>, request: Request) -> Result<Response, Refusal> {
    check_ready(state)?;
    let (head, body) = request.into_parts();
    let caller = authenticate(state, &head.headers)?;
    let body = read_bounded(state, body, state.settings.limits.max_body_bytes).await?;
    let fields = read_fields(&body)?;
    let (route, pool) = find_route(state, RouteQuery::Model(&fields.model))?;
    let max_tokens = fields.max_completion_tokens.or(fields.max_tokens);
    admit_request(state, &caller.team, request_cost(&caller.team, max_tokens)).await?;
    state.metrics.count_request(&route.name);
    let traits = WorkTraits {
        prefix: prefix_hash(state, &fields),
        fingerprint: prompt_hash(&fields),
        is_stream: fields.stream,
    };
    let online = make_online(state, caller, route, pool, chat_request(body), traits);
    run_marked(state, online, &head.headers).await
}

fn read_fields(body: &[u8]) -> Result<ChatFields, Refusal> {
    let fields: ChatFields = serde_json::from_slice(body)
        .map_err(|error| Refusal::not_run(ResultCode::BodyMalformed, error.to_string()))?;
    if fields.messages.is_empty() {
        return Err(Refusal::not_run(ResultCode::FieldInvalid, "messages is empty"));
    }
    Ok(fields)
}

/// The request that an engine gets: nothing of the caller's headers, and so not its key.
pub(crate) fn chat_request(body: Bytes) -> TargetRequest {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    TargetRequest { method: Method::POST, path: CHAT_PATH.into(), headers, body }
}

/// A hash of the prompt's beginning: requests that share it run best on one engine.
fn prefix_hash(state: &DaemonState, fields: &ChatFields) -> Option<u64> {
    let first = fields.messages.first()?.get("content")?.as_str()?;
    let length = state.settings.targets.prefix_chars;
    let end = first.char_indices().nth(length).map_or(first.len(), |(index, _)| index);
    Some(hash_parts(&[&fields.model, &first[..end]]))
}

/// The route for a query and the pool behind it.
pub(crate) fn find_route(
    state: &DaemonState,
    query: RouteQuery<'_>,
) -> Result<(Route, Pool), Refusal> {
    let in_force = state.configuration.in_force();
    let configuration = &in_force.configuration;
    let found = in_force.planner.plan(configuration, query);
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

/// A hash of the whole prompt.
fn prompt_hash(fields: &ChatFields) -> u64 {
    let messages: Vec<String> = fields.messages.iter().map(|message| message.to_string()).collect();
    let parts: Vec<&str> = messages.iter().map(String::as_str).collect();
    hash_parts(&parts)
}

/// What the choice of target and the watch for crashes look at.
pub(crate) struct WorkTraits {
    pub(crate) prefix: Option<u64>,
    pub(crate) fingerprint: u64,
    pub(crate) is_stream: bool,
}

/// Puts a request together that was admitted.
pub(crate) fn make_online(
    state: &DaemonState,
    caller: KnownCaller,
    route: Route,
    pool: Pool,
    request: TargetRequest,
    traits: WorkTraits,
) -> OnlineRequest {
    let deadline = Instant::now() + Duration::from_millis(route.timeout_ms.into());
    let id: Name = format!("{:x}-{}", state.me.id.incarnation, state.next_number()).into();
    let (team, key) = (caller.team, caller.key);
    let WorkTraits { prefix, fingerprint, is_stream } = traits;
    OnlineRequest { id, team, key, route, pool, request, prefix, fingerprint, is_stream, deadline }
}

/// Lists the models that have a route.
pub(crate) async fn list_models(
    State(state): State<Arc<DaemonState>>,
    _: KnownCaller,
) -> Json<Value> {
    let in_force = state.configuration.in_force();
    let models = in_force.planner.models();
    let data: Vec<Value> = models
        .map(|model| json!({"id": &**model, "object": "model", "created": 0, "owned_by": "cuminramp"}))
        .collect();
    Json(json!({"object": "list", "data": data}))
}

/// An answer that was kept.
pub(crate) fn kept_answer(status: u32, content_type: &str, body: Vec<u8>) -> Response {
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
