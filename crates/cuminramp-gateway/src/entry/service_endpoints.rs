//! Service endpoints: steering, readiness and metrics.

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

use crate::interfaces::SteeringRequest;
use crate::state::{GatewayState, lock};

/// Timeout for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Bounds on the number of hosts that a steering response names.
const STEERING_BOUNDS: SteeringBounds = SteeringBounds { min_near_hosts: 2, max_hosts: 64 };

/// Response of a service endpoint.
type EndpointResponse = Response<Full<Bytes>>;

/// Serves every request of a listener with `answer` until the gateway stops.
async fn serve_endpoint(
    state: Arc<GatewayState>,
    listener: TcpListener,
    answer: fn(&GatewayState, &Request<Incoming>) -> EndpointResponse,
) {
    while let Some(stream) = accept_next(&listener, &state.closing).await {
        let tracker = state.connection_tasks.clone();
        let state = state.clone();
        let (closing, stop) = (state.closing.clone(), state.stop.clone());
        tracker.spawn(async move {
            let service = service_fn(move |request| {
                let response = answer(&state, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let serving = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            tokio::pin!(serving);
            let outcome = tokio::select! {
                outcome = &mut serving => outcome,
                () = closing.cancelled() => {
                    serving.as_mut().graceful_shutdown();
                    tokio::select! {
                        outcome = &mut serving => outcome,
                        () = stop.cancelled() => return,
                    }
                }
            };
            if let Err(error) = outcome {
                log::debug!(reason = error.to_string().as_str(); "connection-ended");
            }
        });
    }
}

/// Returns a response with a JSON body.
fn json_response(status: StatusCode, body: impl Into<Bytes>) -> EndpointResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns the zones by which a caller is steered: its own, those of its region, and those of the home
/// regions in which its work may run.
fn steering_area(state: &GatewayState, request: SteeringRequest) -> SteeringArea {
    let home_regions = state
        .current_declarations()
        .map_or_else(Vec::new, |declared| declared.home_regions_of(&request.host));
    let home_zones = home_regions.iter().flat_map(|region| state.regions.zones_of(region));
    SteeringArea {
        region_zones: state.regions.zones_of(&request.region),
        home_zones: home_zones.collect(),
        zone: request.zone,
    }
}

/// Serves steering: answers callers with the hosts to use.
pub(crate) async fn serve_steering(state: Arc<GatewayState>, listener: TcpListener) {
    serve_endpoint(state, listener, |state, request| {
        let (mut parts, ()) = Request::new(()).into_parts();
        parts.uri = request.uri().clone();
        parts.method = request.method().clone();
        let Some(steering_request) = state.call_format.read_steering(&parts) else {
            return json_response(StatusCode::NOT_FOUND, "{}");
        };
        let is_ready = state.is_ready();
        let area = steering_area(state, steering_request);
        let peers = lock(&state.peers);
        let mut random = lock(&state.random);
        let hosts = peers.steer(&area, is_ready, STEERING_BOUNDS, &mut **random, Instant::now());
        drop(random);
        drop(peers);
        if hosts.is_empty() {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, "{}");
        }
        let ttl = Duration::from_secs_f64(state.settings.steering_keep_s);
        json_response(StatusCode::OK, state.call_format.write_steering(&hosts, ttl))
    })
    .await;
}

/// Serves readiness to the platform: whether this host accepts callers' requests.
pub(crate) async fn serve_readiness(state: Arc<GatewayState>, listener: TcpListener) {
    serve_endpoint(state, listener, |state, _| {
        if state.is_ready() {
            json_response(StatusCode::OK, r#"{"ready":true}"#)
        } else {
            json_response(StatusCode::SERVICE_UNAVAILABLE, r#"{"ready":false}"#)
        }
    })
    .await;
}

/// Serves the metrics in Prometheus' text format.
pub(crate) async fn serve_metrics(state: Arc<GatewayState>, listener: TcpListener) {
    serve_endpoint(state, listener, |state, _| {
        let version = state.current_declarations().map_or(0, |declared| declared.version());
        let (alive, _) = lock(&state.peers).count_alive(Instant::now());
        let held_jobs = lock(&state.jobs).jobs().count();
        state.metrics.record_state(version, alive, held_jobs);
        let drained = lock(&state.drains).drained().len();
        state.metrics.record_drained(drained);
        let slow = lock(&state.placement).slow_targets();
        state.metrics.record_slow_targets(slow);
        match state.metrics.render() {
            Ok(text) => {
                let mut response = json_response(StatusCode::OK, text);
                let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
                response.headers_mut().insert(CONTENT_TYPE, content_type);
                response
            }
            Err(error) => json_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    })
    .await;
}
