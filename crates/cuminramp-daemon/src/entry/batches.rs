//! Batch jobs as callers see them.

use std::sync::Arc;

use axum::Json;
use axum::extract::{Path, Request, State};
use axum::response::Response;
use cuminramp_core::{Refusal, ResultCode};
use serde::Deserialize;
use serde_json::{Map, Value, json};

use crate::admission::{admit_request, request_cost};
use crate::batch::{JobRequest, cancel_job, create_job, describe_job, list_jobs};
use crate::entry::answers::answer;
use crate::entry::auth::{KnownCaller, authenticate, check_ready};
use crate::entry::body::read_bounded;
use crate::state::DaemonState;

/// The one endpoint that batch items may ask for.
const BATCH_ENDPOINT: &str = "/v1/chat/completions";

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

/// Creates a job.
pub(crate) async fn create_batch(
    State(state): State<Arc<DaemonState>>,
    request: Request,
) -> Response {
    let outcome = accept_batch(&state, request).await;
    answer(&state, outcome.map(Json))
}

async fn accept_batch(state: &Arc<DaemonState>, request: Request) -> Result<Value, Refusal> {
    check_ready(state)?;
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
    let named = head.headers.get("idempotency-key").and_then(|value| value.to_str().ok());
    let request = JobRequest {
        team: caller.team.name.clone(),
        input_file: body.input_file_id,
        endpoint: body.endpoint,
        completion_window: body.completion_window,
        metadata: body.metadata,
        idempotency_key: named.unwrap_or_default().to_owned(),
    };
    create_job(state, request).await
}

/// Shows a job.
pub(crate) async fn show_batch(
    State(state): State<Arc<DaemonState>>,
    KnownCaller { team, .. }: KnownCaller,
    Path(id): Path<String>,
) -> Response {
    let outcome = describe_job(&state, &team.name, &id).await;
    answer(&state, outcome.map(Json))
}

/// Lists a team's jobs.
pub(crate) async fn list_batches(
    State(state): State<Arc<DaemonState>>,
    KnownCaller { team, .. }: KnownCaller,
) -> Response {
    let outcome = list_jobs(&state, &team.name).await;
    let outcome = outcome.map(|jobs| json!({"object": "list", "data": jobs, "has_more": false}));
    answer(&state, outcome.map(Json))
}

/// Cancels a job.
pub(crate) async fn cancel_batch(
    State(state): State<Arc<DaemonState>>,
    KnownCaller { team, .. }: KnownCaller,
    Path(id): Path<String>,
) -> Response {
    let outcome = cancel_job(&state, &team.name, &id).await;
    answer(&state, outcome.map(Json))
}
