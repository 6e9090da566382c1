//! HTTP handlers for batch jobs.

use std::sync::Arc;

use axum::Json;
use axum::extract::{Path, Request, State};
use axum::response::Response;
use cuminramp_core::{Refusal, ResultCode};
use serde::Deserialize;
use serde_json::{Map, Value, json};

use crate::admission::{admit_request, request_cost};
use crate::batch::{JobRequest, cancel_job, create_job, describe_job, list_jobs};
use crate::entry::auth::{AuthenticatedCaller, authenticate, check_not_stopping};
use crate::entry::body::read_bounded;
use crate::entry::responses::respond;
use crate::state::DaemonState;

/// Only endpoint that batch items may use.
const BATCH_ENDPOINT: &str = "/v1/chat/completions";

/// Body of a request to create a job.
#[derive(Deserialize)]
struct CreateBody {
    input_file_id: String,
    endpoint: String,
    #[serde(default = "default_window")]
    completion_window: String,
    #[serde(default)]
    metadata: Option<Map<String, Value>>,
}

fn default_window() -> String {
    "24h".into()
}

/// Handles a request to create a job.
pub(crate) async fn create_batch(
    State(state): State<Arc<DaemonState>>,
    request: Request,
) -> Response {
    let outcome = accept_batch(&state, request).await;
    respond(&state, outcome.map(Json))
}

async fn accept_batch(state: &Arc<DaemonState>, request: Request) -> Result<Value, Refusal> {
    check_not_stopping(state)?;
    let (head, body) = request.into_parts();
    let caller = authenticate(state, &head.headers)?;
    let body = read_bounded(state, body, state.settings.limits.max_body_bytes).await?;
    let body: CreateBody = serde_json::from_slice(&body)
        .map_err(|error| Refusal::not_run(ResultCode::BodyMalformed, error.to_string()))?;
    if body.endpoint != BATCH_ENDPOINT {
        let message = format!("endpoint must be {BATCH_ENDPOINT}");
        return Err(Refusal::not_run(ResultCode::FieldInvalid, message));
    }
    admit_request(state, &caller.team, request_cost(&caller.team, None)).await?;
    let idempotency_key = head.headers.get("idempotency-key").and_then(|value| value.to_str().ok());
    let request = JobRequest {
        team: caller.team.name.clone(),
        input_file: body.input_file_id,
        endpoint: body.endpoint,
        completion_window: body.completion_window,
        metadata: body.metadata,
        idempotency_key: idempotency_key.unwrap_or_default().to_owned(),
    };
    create_job(state, request).await
}

/// Handles a request for one job.
pub(crate) async fn show_batch(
    State(state): State<Arc<DaemonState>>,
    AuthenticatedCaller { team, .. }: AuthenticatedCaller,
    Path(id): Path<String>,
) -> Response {
    let outcome = describe_job(&state, &team.name, &id).await;
    respond(&state, outcome.map(Json))
}

/// Handles a request for the list of a team's jobs.
pub(crate) async fn list_batches(
    State(state): State<Arc<DaemonState>>,
    AuthenticatedCaller { team, .. }: AuthenticatedCaller,
) -> Response {
    let outcome = list_jobs(&state, &team.name).await;
    let outcome = outcome.map(|jobs| json!({"object": "list", "data": jobs, "has_more": false}));
    respond(&state, outcome.map(Json))
}

/// Handles a request to cancel a job.
pub(crate) async fn cancel_batch(
    State(state): State<Arc<DaemonState>>,
    AuthenticatedCaller { team, .. }: AuthenticatedCaller,
    Path(id): Path<String>,
) -> Response {
    let outcome = cancel_job(&state, &team.name, &id).await;
    respond(&state, outcome.map(Json))
}
