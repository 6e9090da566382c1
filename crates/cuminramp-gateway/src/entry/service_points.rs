//! Small answers beside callers' requests: steering, readiness and metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_fleet::{SteeringArea, SteeringBounds};
use cuminramp_http::accept_next;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::interfaces::SteeringCall;
use crate::state::{GatewayState, lock};

/// Until the head of a small call is whole.
const HEAD_LIMIT: Duration = Duration::from_secs(5);
/// How many hosts a steering answer names.
const NAMED_HOSTS: SteeringBounds = SteeringBounds { min_near: 2, max_hosts: 64 };

type SmallAnswer = Response<Full<Bytes>>;

async fn serve_small(
    state: Arc<GatewayState>,
    listener: TcpListener,
    answer: fn(&GatewayState, &Request<Incoming>) -> SmallAnswer,
) {
    while let Some(stream) = accept_next(&listener, &state.stop).await {
        let state = state.clone();
        let stop = state.stop.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = answer(&state, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let serving = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_LIMIT)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                outcome = serving => if let Err(error) = outcome {
                    log::debug!(reason = error.to_string().as_str(); "connection-ended");
                },
                () = stop.cancelled() => {}
            }
        });
    }
}

fn small(status: StatusCode, body: impl Into<Bytes>) -> SmallAnswer {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Where a caller stands, and where its work may run.
fn steering_area(state: &GatewayState, call: SteeringCall) -> SteeringArea {
    let homes = state.declared().map_or_else(Vec::new, |declared| declared.homes_of(&call.host));
    let home_zones = homes.iter().flat_map(|home| state.regions.zones_of(home));
    SteeringArea {
        region_zones: state.regions.zones_of(&call.region),
        home_zones: home_zones.collect(),
        zone: call.zone,
    }
}

/// Tells callers which hosts to use.
pub(crate) async fn serve_steering(state: Arc<GatewayState>, listener: TcpListener) {
    serve_small(state, listener, |state, request| {
        let (mut parts, ()) = Request::new(()).into_parts();
        parts.uri = request.uri().clone();
        parts.method = request.method().clone();
        let Some(call) = state.calls.read_steering(&parts) else {
            return small(StatusCode::NOT_FOUND, "{}");
        };
        let is_ready = state.is_ready();
        let area = steering_area(state, call);
        let peers = lock(&state.peers);
        let mut random = lock(&state.random);
        let hosts = peers.steer(&area, is_ready, NAMED_HOSTS, &mut **random, Instant::now());
        drop(random);
        drop(peers);
        if hosts.is_empty() {
            return small(StatusCode::SERVICE_UNAVAILABLE, "{}");
        }
        let keep = Duration::from_secs_f64(state.settings.steering_keep_s);
        small(StatusCode::OK, state.calls.write_steering(&hosts, keep))
    })
    .await;
}

/// Tells the platform whether this host takes callers.
pub(crate) async fn serve_readiness(state: Arc<GatewayState>, listener: TcpListener) {
    serve_small(state, listener, |state, _| {
        if state.is_ready() {
            small(StatusCode::OK, r#"{"ready":true}"#)
        } else {
            small(StatusCode::SERVICE_UNAVAILABLE, r#"{"ready":false}"#)
        }
    })
    .await;
}

/// Serves metrics as text.
pub(crate) async fn serve_metrics(state: Arc<GatewayState>, listener: TcpListener) {
    serve_small(state, listener, |state, _| {
        let version = state.declared().map_or(0, |declared| declared.version());
        let (heard, _) = lock(&state.peers).count_alive(Instant::now());
        let held = lock(&state.jobs).jobs().count();
        state.metrics.note_state(version, heard, held);
        let drained = lock(&state.drains).drained().len();
        state.metrics.note_drained(drained);
        match state.metrics.render() {
            Ok(text) => {
                let mut response = small(StatusCode::OK, text);
                let kind = HeaderValue::from_static("text/plain; version=0.0.4");
                response.headers_mut().insert(CONTENT_TYPE, kind);
                response
            }
            Err(error) => small(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    })
    .await;
}
