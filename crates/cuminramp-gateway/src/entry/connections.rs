//! Accepts callers' connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use cuminramp_http::accept_next;
use futures_util::FutureExt;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep_until};

use super::{ResponseBody, answer_call};
use crate::readers::{CallerReader, CallerSocket};
use crate::state::GatewayState;

/// Time by which idle connections outlive the idle timeout that callers apply. Without it, a caller could
/// send a request on a connection that this host is just closing.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Minimum buffer size for request heads that hyper accepts.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Timeout for the head of a request. It includes the time before the first byte, so it must not be shorter than
/// idle timeouts; [`serve_connection`] applies these.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Time after the last byte of a response by which its caller has taken it, if it reads.
const MAX_TAKING_TIME: Duration = Duration::from_secs(1);

/// Serves callers until the gateway stops. A draining host still accepts connections: callers that have not
/// received new steering responses yet would otherwise fail.
pub(crate) async fn serve_callers(state: Arc<GatewayState>, listener: TcpListener) {
    while let Some(stream) = accept_next(&listener, &state.closing).await {
        state.connection_tasks.spawn(serve_connection(state.clone(), stream));
    }
}

/// Returns the time for which a caller's connection may stay idle, by the declarations in force.
fn idle_timeout(state: &GatewayState) -> Duration {
    let limits = state.current_declarations().map(|declared| declared.limits());
    limits.unwrap_or_default().idle_timeout + IDLE_MARGIN
}

/// Serves one connection. Closes it once it has been idle for the timeout, or on a drain once it is idle.
async fn serve_connection(state: Arc<GatewayState>, stream: TcpStream) {
    let limits = state.current_declarations().map(|declared| declared.limits()).unwrap_or_default();
    let reader = Arc::new(CallerReader::new());
    let budget = state.readers.is_some().then(|| state.clone());
    let socket = CallerSocket::new(stream, reader.clone(), budget);
    let (service_state, service_reader) = (state.clone(), reader.clone());
    let service = service_fn(move |request| {
        answer_request(service_state.clone(), service_reader.clone(), request).boxed()
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT.max(limits.idle_timeout + IDLE_MARGIN))
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    // A connection accepted after idle ones were closed still brings one request; its response closes it.
    let is_late = state.drain_idle.is_cancelled();
    let close_idle = if is_late { &state.closing } else { &state.drain_idle }.cancelled();
    tokio::pin!(close_idle);
    let idle_check = sleep_until(reader.idle_at(idle_timeout(&state)));
    tokio::pin!(idle_check);
    let mut is_closing = false;
    loop {
        tokio::select! {
            outcome = &mut connection => {
                if let Err(error) = outcome {
                    log::debug!(reason = error.to_string().as_str(); "connection-ended");
                    return;
                }
                break;
            }
            () = state.stop.cancelled() => return,
            () = reader.end().cancelled() => return,
            () = &mut idle_check, if !is_closing => {
                let idle_at = reader.idle_at(idle_timeout(&state));
                if idle_at > Instant::now() {
                    idle_check.as_mut().reset(idle_at);
                } else {
                    is_closing = true;
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                }
            }
            () = &mut close_idle, if !is_closing => {
                is_closing = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
        }
    }
    if state.is_draining() && reader.idle_at(MAX_TAKING_TIME) > Instant::now() {
        wait_until_taken(&state, &reader, connection.into_parts().io.into_inner()).await;
    }
}

/// Waits until the caller has taken the last response of its connection, which it shows by closing its side: the host may
/// exit right after.
async fn wait_until_taken(state: &GatewayState, reader: &CallerReader, mut socket: CallerSocket) {
    let mut discarded = tokio::io::sink();
    let taking = tokio::io::copy(&mut socket, &mut discarded);
    tokio::select! {
        _ = taking => {}
        () = state.stop.cancelled() => {}
        () = reader.end().cancelled() => {}
    }
}

/// Handles one request. While this host drains, asks the caller to close the connection.
async fn answer_request(
    state: Arc<GatewayState>,
    reader: Arc<CallerReader>,
    mut request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let _token = state.tasks.token();
    reader.set_serving(true);
    let activity = reader.clone();
    if state.readers.is_some() {
        reader.reset_tag();
        request.extensions_mut().insert(reader);
    }
    let mut response = answer_call(&state, request).await;
    activity.set_serving(false);
    if state.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
