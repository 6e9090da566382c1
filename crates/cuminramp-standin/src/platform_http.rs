//! HTTP interface of the platform stand-in.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use cuminramp_core::Name;
use cuminramp_http::{ServeLimits, serve_router};
use cuminramp_platform::wire_format::{
    CommitBody, CommitReply, HostBody, HostsReply, ReadBody, RowBody, RowsReply, ScanBody,
};
use cuminramp_platform::{CommitOutcome, HostEntry, HostList, ObjectStore, StoreError, TableStore};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{MemoryPlatform, PlatformFaults};

const SERVE_LIMITS: ServeLimits =
    ServeLimits { header_timeout: Duration::from_secs(30), max_connections: 10_000 };

/// Serves a platform stand-in until `stop` is cancelled.
pub async fn serve_platform(
    listener: TcpListener,
    platform: Arc<MemoryPlatform>,
    stop: CancellationToken,
) {
    let router = Router::new()
        .route("/table/read", post(read_rows))
        .route("/table/scan", post(scan_rows))
        .route("/table/commit", post(commit_rows))
        .route("/objects/{*name}", get(get_object).put(put_object).delete(delete_object))
        .route("/hosts", get(list_hosts).put(announce_host))
        .route("/faults", get(show_faults).post(set_faults))
        .route("/stats", get(show_stats))
        .layer(DefaultBodyLimit::disable())
        .with_state(platform);
    serve_router(listener, router, SERVE_LIMITS, stop.clone(), stop).await;
}

/// Converts a [`StoreError`] to a response: status 503 if the call had no effect, 500 if its outcome is
/// unknown.
struct StoreFailure(StoreError);

impl IntoResponse for StoreFailure {
    fn into_response(self) -> Response {
        let status = match self.0 {
            StoreError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
            StoreError::Unknown(_) => StatusCode::INTERNAL_SERVER_ERROR,
        };
        (status, self.0.to_string()).into_response()
    }
}

impl From<StoreError> for StoreFailure {
    fn from(error: StoreError) -> Self {
        StoreFailure(error)
    }
}

type Platform = State<Arc<MemoryPlatform>>;

async fn read_rows(
    State(platform): Platform,
    Json(body): Json<ReadBody>,
) -> Result<Json<RowsReply>, StoreFailure> {
    let rows = platform.read(&body.keys).await?;
    let rows = rows.iter().map(|row| row.as_ref().map(RowBody::from_row)).collect();
    Ok(Json(RowsReply { rows }))
}

async fn scan_rows(
    State(platform): Platform,
    Json(body): Json<ScanBody>,
) -> Result<Json<RowsReply>, StoreFailure> {
    let rows = platform.scan(&body.prefix, &body.after, body.limit).await?;
    Ok(Json(RowsReply { rows: rows.iter().map(|row| Some(RowBody::from_row(row))).collect() }))
}

async fn commit_rows(
    State(platform): Platform,
    Json(body): Json<CommitBody>,
) -> Result<Response, StoreFailure> {
    let Some(transaction) = body.into_transaction() else {
        return Ok((StatusCode::BAD_REQUEST, "a value is not valid base64").into_response());
    };
    let reply = match platform.commit(transaction).await? {
        CommitOutcome::Committed(version) => {
            CommitReply { version: Some(version), conflicts: Vec::new() }
        }
        CommitOutcome::Conflict(conflicts) => CommitReply { version: None, conflicts },
    };
    Ok(Json(reply).into_response())
}

async fn put_object(
    State(platform): Platform,
    Path(name): Path<String>,
    body: Bytes,
) -> Result<StatusCode, StoreFailure> {
    platform.put(&name, body).await?;
    Ok(StatusCode::OK)
}

async fn get_object(
    State(platform): Platform,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Result<Response, StoreFailure> {
    let found = match read_range(&headers) {
        Some((start, end)) => platform.get_range(&name, start, end).await?,
        None => platform.get(&name).await?,
    };
    Ok(found.map_or_else(|| StatusCode::NOT_FOUND.into_response(), IntoResponse::into_response))
}

/// Parses the header `range: bytes=start-last` and returns `(start, end)`, with `end` exclusive.
fn read_range(headers: &HeaderMap) -> Option<(u64, u64)> {
    let text = headers.get("range")?.to_str().ok()?.strip_prefix("bytes=")?;
    let (start, last) = text.split_once('-')?;
    Some((start.parse().ok()?, last.parse::<u64>().ok()? + 1))
}

async fn delete_object(
    State(platform): Platform,
    Path(name): Path<String>,
) -> Result<StatusCode, StoreFailure> {
    platform.delete(&name).await?;
    Ok(StatusCode::OK)
}

async fn list_hosts(State(platform): Platform) -> Result<Json<HostsReply>, StoreFailure> {
    let hosts = platform.list().await?.into_iter();
    let hosts = hosts
        .map(|host| HostBody { address: host.address.to_string(), leaving: host.leaving })
        .collect();
    Ok(Json(HostsReply { hosts }))
}

async fn announce_host(
    State(platform): Platform,
    Json(body): Json<HostBody>,
) -> Result<StatusCode, StoreFailure> {
    let entry = HostEntry { address: Name::from(body.address), leaving: body.leaving };
    platform.announce(&entry).await?;
    Ok(StatusCode::OK)
}

async fn show_faults(State(platform): Platform) -> Json<PlatformFaults> {
    Json(platform.faults())
}

async fn set_faults(State(platform): Platform, Json(faults): Json<PlatformFaults>) -> StatusCode {
    platform.set_faults(faults);
    StatusCode::OK
}

async fn show_stats(State(platform): Platform) -> Response {
    Json(platform.stats()).into_response()
}
