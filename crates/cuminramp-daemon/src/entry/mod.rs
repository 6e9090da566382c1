//! HTTP interface for callers: chat completions, files, batches, calls to services, and steering.

mod auth;
mod batches;
mod body;
mod calls;
pub(crate) mod chat;
pub(crate) mod files;
mod responses;
mod steering;

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::{any, get, post};

pub(crate) use responses::{error_body, refusal_response};

use crate::state::DaemonState;

/// Builds the router of the interface for callers.
pub(crate) fn build_router(state: Arc<DaemonState>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat::complete_chat))
        .route("/v1/models", get(chat::list_models))
        .route("/v1/files", post(files::upload_file).get(files::list_files))
        .route("/v1/files/{id}", get(files::show_file))
        .route("/v1/files/{id}/content", get(files::read_file))
        .route("/v1/batches", post(batches::create_batch).get(batches::list_batches))
        .route("/v1/batches/{id}", get(batches::show_batch))
        .route("/v1/batches/{id}/cancel", post(batches::cancel_batch))
        .route("/cuminramp/hosts", get(steering::show_hosts))
        .route("/v1/{*rest}", any(responses::unknown_endpoint))
        .fallback(calls::call_service)
        .method_not_allowed_fallback(responses::unknown_endpoint)
        .layer(DefaultBodyLimit::disable())
        .with_state(state)
}
