//! Serves operators and scrapers.

mod declarations;
mod keys;
mod views;

use std::sync::Arc;

use axum::Router;
use axum::extract::{DefaultBodyLimit, Request, State};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use cuminramp_core::{KeyDigest, Refusal, ResultCode};
use http::StatusCode;
use http::header::AUTHORIZATION;
use serde_json::json;

use crate::entry::refusal_response;
use crate::state::DaemonState;
use crate::sync::PublishError;

/// The largest file of declarations.
const MOST_DECLARATION_BYTES: usize = 64 << 20;

/// The interface for operators.
pub(crate) fn build_router(state: Arc<DaemonState>) -> Router {
    let guarded = Router::new()
        .route("/operator/declarations", get(declarations::show).put(declarations::apply))
        .route("/operator/generations", get(declarations::show_generations))
        .route("/operator/keys", get(keys::list).post(keys::grant))
        .route("/operator/keys/{name}", delete(keys::withdraw))
        .route("/operator/hosts", get(views::show_hosts))
        .route("/operator/targets", get(views::show_targets))
        .route("/operator/teams", get(views::show_teams))
        .route("/operator/jobs", get(views::list_jobs))
        .route("/operator/jobs/{team}/{id}", get(views::show_job))
        .route("/operator/jobs/{team}/{id}/cancel", post(views::cancel_job))
        .layer(from_fn_with_state(state.clone(), check_operator));
    let guarded = guarded.layer(DefaultBodyLimit::max(MOST_DECLARATION_BYTES));
    Router::new()
        .route("/healthz", get(views::show_health))
        .route("/readyz", get(views::show_readiness))
        .route("/metrics", get(views::show_metrics))
        .merge(guarded)
        .with_state(state)
}

/// Lets operators in who send the token, where one is set.
async fn check_operator(
    State(state): State<Arc<DaemonState>>,
    request: Request,
    next: Next,
) -> Response {
    let wanted = &state.settings.operator_token;
    let value = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let sent = value.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    if wanted.is_empty() || KeyDigest::of_key(wanted).matches(&KeyDigest::of_key(sent)) {
        return next.run(request).await;
    }
    let message = "send the operators' token as Authorization: Bearer";
    refusal_response(&state, &Refusal::not_run(ResultCode::OperatorUnknown, message))
}

/// Answers an operator whose change was not accepted; a conflict and a bad generation come with what
/// the operator needs to see.
fn publish_failure(state: &DaemonState, error: PublishError) -> Response {
    let (code, message, details) = match error {
        PublishError::Conflict { generation, difference } => {
            let message =
                format!("generation {generation} is in force now; look at it and try again");
            let details = json!({"generation": generation, "difference": difference});
            (ResultCode::GenerationConflict, message, details)
        }
        PublishError::Invalid(faults) => {
            let message = format!("refused whole: {} faults", faults.len());
            (ResultCode::DeclarationsInvalid, message, json!({"faults": faults}))
        }
        PublishError::Unavailable(reason) => (ResultCode::StoreUnavailable, reason, json!({})),
        PublishError::Unknown(reason) => {
            (ResultCode::StoreUnavailable, reason, json!({"unknown": true}))
        }
    };
    state.metrics.count_refusal(code.number());
    let status = StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_REQUEST);
    let body = json!({
        "error": {"code": code.name(), "cuminramp_code": code.number(), "message": message},
        "details": details,
    });
    (status, axum::Json(body)).into_response()
}
